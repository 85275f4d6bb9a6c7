package main

import "time"

// limits are those of a route that operators change.
type limits struct {
	timeout  time.Duration
	attempts int
}

// limitChange is a change of the limits of a route.
type limitChange struct {
	limits
	writtenAt time.Time
}

// recordLimits records the limits of a route in a configuration that is being written to the
// store. A write may take effect although its acknowledgement is lost.
func (c *checker) recordLimits(name string, l limits, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := c.limitChanges[name]
	if n := len(changes); n == 0 || changes[n-1].limits != l {
		c.limitChanges[name] = append(changes, limitChange{limits: l, writtenAt: now})
	}
}

// loosestLimits returns the shortest timeout and the most attempts of the configurations that
// may apply to a request: those from the latest one that its entry daemon must have applied
// before the request was sent.
func (c *checker) loosestLimits(r *request) limits {
	var out limits
	for _, change := range c.limitChanges[r.Route.Name] {
		settled := r.Sent.Sub(change.writtenAt) >= maxConfigurationDelay+schedulingSlack
		if out.attempts == 0 || settled && c.undisturbed(change.writtenAt, false, subjectStore, entrySubject(r.Entry)) {
			out = change.limits
			continue
		}
		out.timeout, out.attempts = min(out.timeout, change.timeout), max(out.attempts, change.attempts)
	}
	if out.attempts == 0 {
		out = limits{timeout: routeTimeout, attempts: r.Route.Attempts}
	}
	return out
}
