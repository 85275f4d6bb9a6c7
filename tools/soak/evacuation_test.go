package main

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
)

// arrivals counts the requests that reached replicas of a failure domain after a time.
func (c *checker) arrivals(domain string, since time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.requests {
		if r.arrived.After(since) && c.domains[vmOf(r.arrivedAt)] == domain {
			n++
		}
	}
	return n
}

// TestEvacuationInPause guards against entry daemons that send to an evacuated failure domain because they, or the store,
// were away when it was evacuated, against an evacuation that the operator is not informed of, and against
// replicas that stay unused after its end.
func TestEvacuationInPause(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	c := startCluster(t, &cluster{Entries: 3, Engines: 4, Evacuations: true})
	for seed := range uint64(2) {
		s := &schedule{Cluster: c, Rand: rand.New(rand.NewPCG(seed, 0))}
		s.evacuateInPause(2 * maxFaultDuration)()
		s.running.Wait()
		waiter.Wait(t.Context(), 2*time.Second)
		ended := time.Now()
		waiter.Wait(t.Context(), time.Second)
		for _, domain := range []string{failureDomain(0), failureDomain(1)} {
			qt.Check(t, c.Checker.arrivals(domain, ended) > 0, qt.IsTrue, qt.Commentf("%s is unused", domain))
		}
	}
	qt.Check(t, c.store.WriteEvacuation(failureDomain(0), time.Now()), qt.IsTrue)
	waiter.Wait(t.Context(), maxEvacuationDelay)
	qt.Check(t, c.store.EvacuationStatus(failureDomain(0)), qt.Equals, `{"InForce":true,"Daemons":3}`)
	c.Checker.mu.Lock()
	defer c.Checker.mu.Unlock()
	qt.Check(t, c.Checker.violations, qt.HasLen, 0, qt.Commentf("%v", c.Checker.violations))
	qt.Check(t, c.Checker.counts["evacuations"], qt.Equals, 2)
	qt.Check(t, c.Checker.counts["served"] > 0, qt.IsTrue)
}

// TestEvacuationIsChecked guards against a checker that excuses requests in an evacuated failure domain, or reports
// those that are allowed.
func TestEvacuationIsChecked(t *testing.T) {
	start := time.Now()
	const due = maxEvacuationDelay + schedulingSlack
	tests := []struct {
		name string
		play func(c *checker)
		// after is the time from the evacuation to the arrival of a request and of an order to load.
		after time.Duration
		// want is the number of violations.
		want int
	}{
		{"in time", func(*checker) {}, due, 0},
		{"late", func(*checker) {}, due + tick, 2},
		{"late, the daemon was paused and the store away", func(c *checker) {
			c.beginDisturbance(entrySubject(0), false)
			c.beginDisturbance(subjectStore, false)
		}, due + tick, 2},
		{"late, the link to the replica held the request up", func(c *checker) { c.beginDisturbance(linkSubject(vmOf(firstReplica)), false) }, due + tick, 1},
		{"after the end", func(c *checker) { c.endEvacuation("z0", start) }, due + tick, 0},
		{"another failure domain", func(c *checker) { c.recordReplicaDomain(vmOf(firstReplica), "z1") }, due + tick, 0},
	}
	for _, tc := range tests {
		c := newChecker(start)
		c.recordReplicaDomain(vmOf(firstReplica), "z0")
		c.beginEvacuation("z0", start)
		tc.play(c)
		r := newRequest("c0-1", routeLookup, "b", teams[0], 0)
		c.recordSent(r)
		arrive(c, r, start.Add(tc.after))
		c.Ordered(vmOf(firstReplica), 2, start.Add(tc.after))
		qt.Check(t, c.violations, qt.HasLen, tc.want, qt.Commentf("%s: %v", tc.name, c.violations))
	}
}

// TestRestrictedRegions guards against entry daemons that send restricted requests to other regions, or that refuse
// those that could be served, also when replicas crash and are silent.
func TestRestrictedRegions(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, c := t.Context(), startCluster(t, &cluster{Entries: 3, Engines: 4, Restricted: true})
	s := &schedule{Cluster: c, Rand: rand.New(rand.NewPCG(1, 0))}
	for i := range 3 {
		waiter.Wait(ctx, time.Second)
		for _, slot := range c.slots {
			slot.currentReplica().FallSilent(1600*time.Millisecond, true, time.Now())
		}
		waiter.Wait(ctx, time.Second)
		s.crashReplica(c.slots[len(c.slots)-1-i], maxFaultDuration)()
	}
	waiter.Wait(ctx, 2*time.Second)
	c.Checker.mu.Lock()
	defer c.Checker.mu.Unlock()
	served := map[string]int{}
	for _, r := range c.Checker.requests {
		if r.completed {
			served[r.Route.Name+" of "+r.Team]++
		}
	}
	// No region allows the route and the team together.
	qt.Check(t, served[routeLookup.Name+" of "+teams[0].name], qt.Equals, 0)
	for _, r := range []route{routeLookup, routeStream, routeOrder} {
		qt.Check(t, served[r.Name+" of "+teams[1].name] > 0, qt.IsTrue, qt.Commentf("%v", served))
	}
	for _, r := range []route{routeStream, routeOrder} {
		qt.Check(t, served[r.Name+" of "+teams[0].name] > 0, qt.IsTrue, qt.Commentf("%v", served))
	}
	qt.Check(t, c.Checker.violations, qt.HasLen, 0, qt.Commentf("%v", c.Checker.violations))
}
