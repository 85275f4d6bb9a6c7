package main

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
)

// TestColdIsChecked guards against a checker that excuses requests to cold replicas, or reports those that are allowed.
func TestColdIsChecked(t *testing.T) {
	start := time.Now()
	const allowed = int(coldPerSecond*coldOverage + coldSlack)
	tests := []struct {
		name string
		play func(c *checker)
		// after is the time from the start to the first request, interval that between two, and n their number.
		after, interval time.Duration
		n               int
		want            int
	}{
		{"not cold", func(*checker) {}, 0, tick, 2 * allowed, 0},
		{"within the limit", func(c *checker) { c.beginCold(firstReplica, start, 0) }, 0, tick, allowed, 0},
		{"above the limit", func(c *checker) { c.beginCold(firstReplica, start, 0) }, 0, tick, allowed + 2, 2},
		{"within the limit in each second", func(c *checker) { c.beginCold(firstReplica, start, 0) }, 0, time.Second / time.Duration(allowed), 3 * allowed, 0},
		{"no longer cold", func(c *checker) { c.beginCold(firstReplica, start, 0) }, coldTime, tick, 2 * allowed, 0},
		{"turned cold just now", func(c *checker) { c.beginCold(firstReplica, start, coldNoticeTime) }, 0, tick, 2 * allowed, 0},
		{"turned cold before", func(c *checker) { c.beginCold(firstReplica, start, coldNoticeTime) }, coldNoticeTime, tick, allowed + 1, 1},
		{"turned cold while the store was away", func(c *checker) {
			c.beginDisturbance(subjectStore, false)
			c.beginCold(firstReplica, start, coldNoticeTime)
		}, coldNoticeTime, tick, 2 * allowed, 0},
		{"started cold while the store was away", func(c *checker) {
			c.beginDisturbance(subjectStore, false)
			c.beginCold(firstReplica, start, 0)
		}, 0, tick, allowed + 1, 1},
		{"a daemon was paused", func(c *checker) {
			c.beginDisturbance(entrySubject(0), false)
			c.beginCold(firstReplica, start, 0)
		}, 0, tick, allowed + 1, 1},
		{"its link held requests up", func(c *checker) {
			c.beginDisturbance(linkSubject(vmOf(firstReplica)), false)
			c.beginCold(firstReplica, start, 0)
		}, 0, tick, 2 * allowed, 0},
		{"cold again while it is cold", func(c *checker) {
			c.beginCold(firstReplica, start, 0)
			c.beginCold(firstReplica, start.Add(tick), coldNoticeTime)
		}, tick, tick, allowed + 1, 1},
	}
	for _, tc := range tests {
		c := newChecker(start)
		tc.play(c)
		r := newRequest("c0-1", routeLookup, "b", teams[0], 0)
		c.recordSent(r)
		for i := range tc.n {
			arrive(c, r, start.Add(tc.after+time.Duration(i)*tc.interval))
		}
		qt.Check(t, c.violations, qt.HasLen, tc.want, qt.Commentf("%s: %v", tc.name, c.violations))
	}
}

// TestColdReplicas guards against entry daemons that send more to replicas that have just started or turned cold than they
// tolerate, and against cold replicas that are not used.
func TestColdReplicas(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, c := t.Context(), startCluster(t, &cluster{Entries: 3, Engines: 4, Cold: true})
	s := &schedule{Cluster: c, Rand: rand.New(rand.NewPCG(1, 0))}
	waiter.Wait(ctx, time.Second)
	for _, slot := range c.slots {
		s.running.Go(s.crashReplica(slot, minFaultDuration))
	}
	s.running.Wait()
	waiter.Wait(ctx, coldTime+time.Second)
	for range 2 {
		s.turnReplicasCold()()
		waiter.Wait(ctx, coldTime)
	}
	c.Checker.mu.Lock()
	defer c.Checker.mu.Unlock()
	qt.Check(t, c.Checker.violations, qt.HasLen, 0, qt.Commentf("%v", c.Checker.violations))
	qt.Check(t, c.Checker.counts["cold replicas"] >= len(c.slots), qt.IsTrue)
	qt.Check(t, c.Checker.counts["requests to cold replicas"] >= 2*len(c.slots), qt.IsTrue, qt.Commentf("%v", c.Checker.counts))
}
