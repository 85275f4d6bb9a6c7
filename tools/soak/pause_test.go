package main

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
)

// TestPauseBreaksStreams guards against entry daemons that end streams after a pause although
// the replicas have gone on, because a timer fires before the events of the pause are read.
func TestPauseBreaksStreams(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, c := t.Context(), startTestCluster(t, 2, 4)
	s := &schedule{Cluster: c, Rand: rand.New(rand.NewPCG(1, 0))}
	for i := range 4 {
		waiter.Wait(ctx, 2*time.Second)
		s.pauseDaemon(c.entries[i%2], 1300*time.Millisecond)()
	}
	waiter.Wait(ctx, 2*time.Second)
	c.Checker.mu.Lock()
	defer c.Checker.mu.Unlock()
	for _, r := range c.Checker.requests {
		qt.Check(t, len(r.replicas) <= 1, qt.IsTrue, qt.Commentf("%s ran on %v", r.ID, r.replicas))
	}
	qt.Assert(t, c.Checker.counts["cut"], qt.Equals, 0, qt.Commentf("%v", c.Checker.counts))
	qt.Assert(t, c.Checker.counts["served"] > 0, qt.IsTrue)
}

// TestSilenceBreaksResponses guards against entry daemons that end responses because all
// replicas are silent for a moment, also beside changes of the configuration.
func TestSilenceBreaksResponses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, c := t.Context(), startTestCluster(t, 2, 4)
	s := &schedule{Cluster: c, Rand: rand.New(rand.NewPCG(1, 0))}
	for i := range 4 {
		waiter.Wait(ctx, time.Second)
		for _, slot := range c.slots {
			slot.currentReplica().FallSilent(1600*time.Millisecond, i%2 == 0, time.Now())
		}
		waiter.Wait(ctx, time.Second/2)
		s.changeConfiguration(true)()
		waiter.Wait(ctx, 2*time.Second)
	}
	c.Checker.mu.Lock()
	defer c.Checker.mu.Unlock()
	qt.Assert(t, c.Checker.violations, qt.HasLen, 0, qt.Commentf("%v", c.Checker.violations))
	qt.Assert(t, c.Checker.counts["cut"], qt.Equals, 0, qt.Commentf("%v", c.Checker.counts))
	qt.Assert(t, c.Checker.counts["served"] > 0, qt.IsTrue)
}
