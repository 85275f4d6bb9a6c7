package main

import (
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

const (
	// holdOffDelay is the time in which an entry daemon stops sending requests to a
	// replica that wants none. Until the end of the time that the replica asks for,
	// at most maxHeldOffArrivals reach it after that.
	holdOffDelay       = 500 * time.Millisecond
	maxHeldOffArrivals = 2
)

// hop is the way of requests from an entry VM to a replica.
type hop struct {
	entry   int
	replica string
}

// leavingResponse is a response to a request in which a replica says that it leaves.
type leavingResponse struct {
	replica string
	refused bool
	at      time.Time
}

// passedResponse is a leavingResponse that an entry daemon has handled, and the time at which
// the caller knew.
type passedResponse struct{ writtenAt, receivedAt time.Time }

// holdOff is a time in which a replica wants no requests from an entry VM, and the number of
// those that reach it nevertheless.
type holdOff struct {
	from, until time.Time
	arrivals    int
}

// Signaled implements simulator.Observer.
func (c *checker) Signaled(replica, id string, s simulator.Signal, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return
	}
	if s.Leaving {
		c.counts["said leaving"]++
		r.leaving = append(r.leaving, leavingResponse{replica: replica, refused: s.Refused(), at: now})
	}
	if s.HoldOff > 0 {
		c.counts["held off"]++
		h := hop{r.Entry, replica}
		c.holdOffs[h] = append(c.holdOffs[h], &holdOff{from: now, until: now.Add(s.HoldOff)})
	}
}

// recordHead records that a caller receives the head of a response, passed on from a replica
// unless its ID is empty. The entry daemon has then handled the refusals of other replicas.
func (c *checker) recordHead(r *request, replica string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range r.leaving {
		handled := l.replica == replica || l.refused && c.undisturbed(r.Sent, false, linkSubject(vmOf(l.replica)))
		h := hop{r.Entry, l.replica}
		old, known := c.leavingHops[h]
		if handled && (!known || c.interrupted(r.Entry, old.writtenAt)) {
			c.leavingHops[h] = passedResponse{writtenAt: l.at, receivedAt: now}
		}
	}
}

// interrupted reports whether an entry daemon was restarted or paused since it received a
// response that a replica wrote at a time.
func (c *checker) interrupted(entry int, writtenAt time.Time) bool {
	return slices.ContainsFunc(c.disturbances, func(d disturbance) bool {
		// The next process does not start earlier than this.
		return d.subject == processSubject(entrySubject(entry)) && (d.to.IsZero() || !d.to.Add(restartDelay).Before(writtenAt))
	})
}

// checkLeaving reports a request that reaches a replica although its entry daemon has passed on
// long before that the replica leaves.
func (c *checker) checkLeaving(r *request, replica string) {
	passed, ok := c.leavingHops[hop{r.Entry, replica}]
	elapsed := r.Sent.Sub(passed.receivedAt)
	if ok && elapsed > drainTime && !c.interrupted(r.Entry, passed.writtenAt) {
		c.addViolationLocked("DRAIN", "%s reached replica %s through entry %d, sent %s after that VM had passed on that the replica leaves", r.ID, replica, r.Entry, elapsed.Round(time.Millisecond))
	}
}

// checkHoldOff reports requests that reach a replica while it wants none from their entry VM.
func (c *checker) checkHoldOff(r *request, replica string, now time.Time) {
	h := hop{r.Entry, replica}
	c.holdOffs[h] = slices.DeleteFunc(c.holdOffs[h], func(o *holdOff) bool { return !now.Before(o.until) })
	for _, o := range c.holdOffs[h] {
		elapsed := now.Sub(o.from)
		if elapsed <= holdOffDelay+schedulingSlack || c.interrupted(r.Entry, o.from) || !c.undisturbed(o.from, false, linkSubject(vmOf(replica))) {
			continue
		}
		o.arrivals++
		if o.arrivals > maxHeldOffArrivals {
			c.addViolationLocked("BUDGET", "%s is request %d that reached replica %s through entry %d, %s after it had asked for none for %s", r.ID, o.arrivals, replica, r.Entry, elapsed.Round(time.Millisecond), o.until.Sub(o.from).Round(time.Millisecond))
			// The other times overlap and would report the same requests.
			delete(c.holdOffs, h)
			return
		}
	}
}
