package main

import "time"

// Limits of cold replicas. They are lower than in deployments, so that the usual load exceeds them.
const (
	coldTime      = 5 * time.Second
	coldPerSecond = 2.0
	coldOverage   = 1.5
	coldSlack     = 1.0
	// coldNoticeTime is the time in which entry daemons learn that a replica has turned cold. One that starts is
	// registered as cold.
	coldNoticeTime = 2 * time.Second
	// maxTurned bounds the replicas that turn cold at the same time.
	maxTurned = 4
)

// coldFaults lists kinds of faults with replicas that turn cold. They are drawn only with Cold.
var coldFaults = []fault{
	{"replicas turn cold", 8, true, func(s *schedule, _ time.Duration) func() { return s.turnReplicasCold() }},
}

// turnReplicasCold returns a fault in which some replicas turn cold.
func (s *schedule) turnReplicasCold() func() {
	order, n := s.Rand.Perm(len(s.Cluster.slots)), 1+s.Rand.IntN(maxTurned)
	return func() {
		for _, i := range order[:n] {
			r, now := s.Cluster.slots[i].currentReplica(), time.Now()
			s.Cluster.Checker.beginCold(r.ID, now, coldNoticeTime)
			r.TurnCold(coldTime, now)
		}
	}
}

// coldReplica is a replica that has been cold, with the times of the requests that have reached it lately.
type coldReplica struct {
	// turned is set if the replica was warm before; the daemons learn of that from the store.
	turned      bool
	from, until time.Time
	arrivals    []time.Time
}

// beginCold records that a replica is cold for coldTime. The daemons know after the time notice.
func (c *checker) beginCold(replica string, now time.Time, notice time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := now.Add(notice)
	if old := c.cold[replica]; old != nil && now.Before(old.until) {
		from = old.from
	}
	c.cold[replica] = &coldReplica{turned: notice > 0, from: from, until: now.Add(coldTime)}
	c.counts["cold replicas"]++
}

// checkCold reports more requests to a cold replica in a second than it tolerates, unless its link may have held them
// up, or the daemons could not learn from the store that it has turned cold.
func (c *checker) checkCold(r *request, replica string, now time.Time) {
	cold := c.cold[replica]
	if cold == nil || now.Before(cold.from) || !now.Before(cold.until) {
		return
	}
	c.counts["requests to cold replicas"]++
	for len(cold.arrivals) > 0 && now.Sub(cold.arrivals[0]) >= time.Second {
		cold.arrivals = cold.arrivals[1:]
	}
	cold.arrivals = append(cold.arrivals, now)
	n := len(cold.arrivals)
	if float64(n) <= coldPerSecond*coldOverage+coldSlack || !c.undisturbed(now, false, linkSubject(vmOf(replica))) {
		return
	}
	if cold.turned && !c.undisturbed(cold.from, false, subjectStore) {
		return
	}
	c.addViolationLocked("COLD", "%s reached cold replica %s through entry %d as request %d in a second", r.ID, replica, r.Entry, n)
}
