package main

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

// TestSilenceExcusesCut guards against a checker that excuses an entry daemon that cuts a
// response because the replica is silent.
func TestSilenceExcusesCut(t *testing.T) {
	for _, f := range silenceFaults {
		qt.Check(t, f.planned, qt.IsTrue, qt.Commentf("%s", f.name))
	}
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			c := &cluster{Checker: newChecker(start), Silences: true}
			replica := &simulator.Replica{ID: firstReplica}
			c.slots = []*replicaSlot{{VM: "plain-0", Service: routeLookup.Service, replica: replica}}
			s := &schedule{Cluster: c, Rand: rand.New(rand.NewPCG(seed, 0))}
			s.silenceReplicas()()
			qt.Check(t, time.Since(start) >= minSilence+minSilenceGap, qt.IsTrue)
			r := newRequest("c0-1", routeLookup, "b", teams[0], 0)
			c.Checker.recordSent(r)
			arrive(c.Checker, r, start)
			c.Checker.checkLostConnection(r, start.Add(minSilence))
			qt.Assert(t, c.Checker.violations, qt.HasLen, 1)
			qt.Assert(t, c.Checker.violations[0].Rule, qt.Equals, "LOST")
		})
	}
}

// TestLimitsExcuse guards against a checker that excuses a request by limits that no longer
// apply, or that reports one by limits that may not apply yet.
func TestLimitsExcuse(t *testing.T) {
	start := time.Now()
	const settled = maxConfigurationDelay + schedulingSlack
	short := limits{timeout: 3 * time.Second, attempts: 1}
	long := limits{timeout: 9 * time.Second, attempts: 4}
	cutAt := func(c *checker, r *request, d time.Duration) {
		r.Deadline = time.Minute
		arrive(c, r, r.Sent)
		c.checkLostConnection(r, r.Sent.Add(d))
	}
	runs := func(c *checker, r *request, n int) {
		for range n {
			c.Ran(simulator.Run{ID: r.ID, Method: "POST", Path: r.Path, Body: "b", Team: r.Team, Service: r.Route.Service}, r.Sent)
		}
	}
	tests := []struct {
		name string
		// changed is the time from the change to the request.
		changed     time.Duration
		first, next limits
		play        func(c *checker, r *request)
		want        string
	}{
		{"cut at the earlier timeout, applied", settled, short, long, func(c *checker, r *request) { cutAt(c, r, short.timeout) }, "LOST"},
		{"cut at the earlier timeout, just changed", settled - tick, short, long, func(c *checker, r *request) { cutAt(c, r, short.timeout) }, ""},
		{"cut at the later timeout", 0, long, short, func(c *checker, r *request) { cutAt(c, r, short.timeout) }, ""},
		{"cut before both timeouts", 0, long, short, func(c *checker, r *request) { cutAt(c, r, short.timeout-tick) }, "LOST"},
		{"earlier attempts, the daemon was paused", settled, long, short, func(c *checker, r *request) {
			c.beginDisturbance(entrySubject(0), false)
			runs(c, r, long.attempts)
		}, ""},
		{"earlier attempts, applied", settled, long, short, func(c *checker, r *request) { runs(c, r, short.attempts+1) }, "BUDGET"},
		{"earlier attempts, just changed", settled - tick, long, short, func(c *checker, r *request) { runs(c, r, long.attempts) }, ""},
		{"earlier attempts, the store was away", settled, long, short, func(c *checker, r *request) {
			c.beginDisturbance(subjectStore, false)
			runs(c, r, long.attempts)
		}, ""},
		{"more than both attempts", 0, long, short, func(c *checker, r *request) { runs(c, r, long.attempts+1) }, "BUDGET"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := newChecker(start)
			r := newRequest("c0-1", routeLookup, "b", teams[0], 0)
			r.Sent = start
			c.recordSent(r)
			c.recordLimits(routeLookup.Name, tc.first, start.Add(-time.Minute))
			c.recordLimits(routeLookup.Name, tc.next, start.Add(-tc.changed))
			tc.play(c, r)
			got := ""
			for _, v := range c.violations {
				got = v.Rule
			}
			qt.Assert(t, got, qt.Equals, tc.want, qt.Commentf("%v", c.violations))
		})
	}
}

// TestSecondServiceHidesRoute guards against a checker that takes a run on another service for
// one on the second service of the streams.
func TestSecondServiceHidesRoute(t *testing.T) {
	tests := []struct {
		route   route
		service string
		want    int
	}{
		{routeStream, routeStream.Service, 0},
		{routeStream, secondStreamService, 0},
		{routeStream, routeLookup.Service, 1},
		{routeLookup, secondStreamService, 1},
	}
	for _, tc := range tests {
		c := newChecker(time.Now())
		r := newRequest("c0-1", tc.route, "b", teams[0], 0)
		c.recordSent(r)
		c.Ran(simulator.Run{ID: r.ID, Method: "POST", Path: r.Path, Body: "b", Team: r.Team, Service: tc.service}, time.Now())
		qt.Check(t, c.violations, qt.HasLen, tc.want)
	}
}
