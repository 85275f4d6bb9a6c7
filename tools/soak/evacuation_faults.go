package main

import "time"

// evacuationFaults lists kinds of faults with evacuations. They are drawn only with Evacuations.
var evacuationFaults = []fault{
	{"evacuate a failure domain", 8, true, func(s *schedule, d time.Duration) func() { return s.evacuate(d) }},
	{"evacuate a failure domain while daemons are paused", 5, false, func(s *schedule, d time.Duration) func() { return s.evacuateInPause(d) }},
}

// evacuate returns a fault that evacuates a failure domain for longer than daemons may take to obey.
func (s *schedule) evacuate(d time.Duration) func() {
	domain := failureDomain(s.Rand.IntN(2))
	return func() {
		c := s.Cluster
		if _, evacuated := c.evacuating.LoadOrStore(domain, true); evacuated {
			return
		}
		defer c.evacuating.Delete(domain)
		s.writeWithRetry(func(now time.Time) bool {
			accepted := c.store.WriteEvacuation(domain, now)
			if accepted {
				c.Checker.beginEvacuation(domain, now)
			}
			return accepted
		})
		time.Sleep(maxEvacuationDelay + schedulingSlack + d)
		s.writeWithRetry(func(now time.Time) bool {
			c.Checker.endEvacuation(domain, now)
			return c.store.RemoveEvacuation(domain, now)
		})
	}
}

// evacuateInPause returns a fault that evacuates a failure domain while some of the entry daemons and an agent are
// paused until after the time in which they have to obey.
func (s *schedule) evacuateInPause(d time.Duration) func() {
	order, n, agent, evacuate := s.Rand.Perm(len(s.Cluster.entries)), 1+s.Rand.IntN(len(s.Cluster.entries)), s.randomAgent(), s.evacuate(d+maxFaultDuration)
	pause := maxEvacuationDelay + schedulingSlack + minFaultDuration + d/2
	return func() {
		pauses := []func(){s.pauseDaemon(agent, pause)}
		for _, i := range order[:n] {
			pauses = append(pauses, s.pauseDaemon(s.Cluster.entries[i], pause))
		}
		for _, p := range pauses {
			s.running.Add(1)
			go (&injection{schedule: s, inject: p}).run()
		}
		time.Sleep(minFaultDuration / 2)
		evacuate()
	}
}
