package main

import "time"

const (
	minSilence = 700 * time.Millisecond
	maxSilence = 2 * time.Second
	// maxSilences bounds the silences in series, and maxSilenceGap the time between them.
	maxSilences   = 3
	minSilenceGap = 600 * time.Millisecond
	maxSilenceGap = 2 * time.Second
)

// silenceFaults lists kinds of faults with replicas that send nothing for a moment, and changes
// of the configuration beside them. None is a reason for a connection to end without a response.
// They are drawn only with Silences.
var silenceFaults = []fault{
	{"replicas fall silent", 6, true, func(s *schedule, _ time.Duration) func() { return s.silenceReplicas() }},
	{"change the limits of a route", 4, true, func(s *schedule, _ time.Duration) func() { return s.changeLimits() }},
	{"replicas fall silent beside a change of the configuration", 6, true, func(s *schedule, _ time.Duration) func() {
		return s.changeInSilence(s.anyChange())
	}},
	{"replicas fall silent beside a change of the configuration and reloads", 3, true, func(s *schedule, _ time.Duration) func() {
		return s.changeInSilence(s.anyChange(), s.reloadAll())
	}},
	{"replicas fall silent beside a change of the configuration and stops", 3, true, func(s *schedule, d time.Duration) func() {
		return s.changeInSilence(s.anyChange(), s.stopInTurn(d))
	}},
}

// silenceReplicas returns a fault in which one replica, some, all of a service, or all send
// nothing for a moment, once or a few times.
func (s *schedule) silenceReplicas() func() {
	targets, heartbeats := s.drawSilenceTargets(), s.Rand.IntN(2) == 0
	var lengths, gaps []time.Duration
	for range 1 + s.Rand.IntN(maxSilences) {
		lengths = append(lengths, minSilence+randomDuration(s.Rand, maxSilence-minSilence))
		gaps = append(gaps, minSilenceGap+randomDuration(s.Rand, maxSilenceGap-minSilenceGap))
	}
	return func() {
		for i, d := range lengths {
			for _, slot := range targets() {
				slot.currentReplica().FallSilent(d, heartbeats, time.Now())
			}
			time.Sleep(d + gaps[i])
		}
	}
}

// drawSilenceTargets draws the replicas that fall silent. Those of a service are known only at
// the fault, because slots pass from one service to the other.
func (s *schedule) drawSilenceTargets() func() []*replicaSlot {
	var slots []*replicaSlot
	for _, i := range s.Rand.Perm(len(s.Cluster.slots)) {
		slots = append(slots, s.Cluster.slots[i])
	}
	some := slots[:1+s.Rand.IntN(len(slots))]
	switch s.Rand.IntN(4) {
	case 0:
		some = slots[:1]
	case 1:
		return func() []*replicaSlot {
			var out []*replicaSlot
			for _, slot := range slots {
				if slot.service() == slots[0].service() {
					out = append(out, slot)
				}
			}
			return out
		}
	case 2:
		some = slots
	}
	return func() []*replicaSlot { return some }
}

func (s *replicaSlot) service() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Service
}

// changeInSilence returns a fault in which replicas fall silent and others are injected
// meanwhile.
func (s *schedule) changeInSilence(others ...func()) func() {
	silence, wait := s.silenceReplicas(), randomDuration(s.Rand, minSilence)
	return func() {
		s.running.Add(1)
		go (&injection{schedule: s, inject: silence}).run()
		time.Sleep(wait)
		for _, inject := range others {
			inject()
		}
	}
}

func (s *schedule) anyChange() func() {
	if s.Rand.IntN(3) == 0 {
		return s.changeConfiguration(s.Rand.IntN(2) == 0)
	}
	return s.changeLimits()
}

// reloadAll returns a fault that sends SIGHUP to all entry daemons.
func (s *schedule) reloadAll() func() {
	return func() {
		for _, v := range s.Cluster.entries {
			s.reloadSettings(v)()
		}
	}
}

// changeLimits returns a fault that changes the timeout, the attempts or the priority of a route
// that requests use, the priority of a team, or the weights of the services of the streams.
func (s *schedule) changeLimits() func() {
	r := []route{routeStream, routeOrder, routeLookup}[s.Rand.IntN(3)]
	timeout := []time.Duration{routeTimeout * 5 / 12, routeTimeout * 2 / 3, routeTimeout, routeTimeout * 3 / 2}[s.Rand.IntN(4)]
	attempts, priority, weight := 1+s.Rand.IntN(r.Attempts+1), s.Rand.IntN(maxPriority+1), s.Rand.IntN(maxWeight+1)
	t := teams[s.Rand.IntN(len(teams))].name
	kind := s.Rand.IntN(5)
	return func() {
		s.writeWithRetry(func(now time.Time) bool {
			c := s.Cluster
			switch kind {
			case 0:
				l := c.limitsOf(r)
				l.timeout = timeout
				c.limits[r.Name] = l
			case 1:
				l := c.limitsOf(r)
				l.attempts = attempts
				c.limits[r.Name] = l
			case 2:
				c.priorities[r.Name] = priority
			case 3:
				c.priorities[t] = priority
			case 4:
				c.secondWeight = weight
			}
			return c.writeConfiguration(now)
		})
	}
}
