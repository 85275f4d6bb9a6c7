package main

import (
	"fmt"
	"time"
)

const (
	// callerPatience is the pause within a stream after which the platform's callers leave.
	callerPatience = 4 * routeTargetLatency
	// stallInterval is the interval at which the soak checks that it runs, and minStall the
	// shortest delay that it reports.
	stallInterval = 100 * time.Millisecond
	minStall      = 300 * time.Millisecond
)

// Sent implements simulator.Observer.
func (c *checker) Sent(replica, id string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return
	}
	r.longestGap = max(r.longestGap, r.gap(now))
	r.lastSender, r.lastSent = replica, now
}

// gap returns the time since the latest event of a stream; 0 before the first one.
func (r *request) gap(now time.Time) time.Duration {
	if r.lastSent.IsZero() {
		return 0
	}
	return now.Sub(r.lastSent)
}

// outlastsPatience reports whether the replicas of a stream that has begun sent nothing for so
// long that the platform's callers leave it.
func (r *request) outlastsPatience(now time.Time) bool {
	return max(r.longestGap, r.gap(now)) >= callerPatience
}

// stallWatch reports the times in which this process does not run, because its stand-ins send
// nothing then. They excuse nothing. Fields are set before run.
type stallWatch struct {
	Checker *checker

	checkedAt time.Time
}

// check is called every stallInterval.
func (w *stallWatch) check(now time.Time) {
	late := now.Sub(w.checkedAt) - stallInterval
	if !w.checkedAt.IsZero() && late >= minStall {
		w.Checker.recordStall(late, now)
	}
	w.checkedAt = now
}

func (c *checker) recordStall(d time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["stalls"]++
	c.stalls = append(c.stalls, fmt.Sprintf("%6.1fs for %s", now.Sub(c.Start).Seconds(), d.Round(time.Millisecond)))
}
