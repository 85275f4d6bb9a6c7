package main

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

// TestShortSoak guards against a broken guarantee under the faults of a few
// seeds, and against a soak that no longer runs. The seeds that ever failed are
// kept, each with its cause.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	tests := []struct {
		seed  uint64
		cause string
	}{
		{7, "none: a seed with stops, pauses and an outage of the store"},
	}
	dir := t.TempDir()
	binary, err := build(dir, "")
	qt.Assert(t, err, qt.IsNil)
	for _, tc := range tests {
		s := &soak{Binary: binary, Dir: dir, Seed: tc.seed, Duration: 8 * time.Second, Entries: 3, Engines: 3, Callers: 8}
		r, err := s.run(context.Background())
		qt.Assert(t, err, qt.IsNil)
		var out bytes.Buffer
		r.print(&out, tc.seed)
		qt.Check(t, r.violations, qt.HasLen, 0, qt.Commentf("%s\n%s", tc.cause, out.String()))
		qt.Check(t, r.counts["served"] > 0, qt.IsTrue, qt.Commentf("%s", out.String()))
	}
}

// TestMutations guards against a mutation that no longer removes anything,
// because the source has changed.
func TestMutations(t *testing.T) {
	root, err := moduleRoot()
	qt.Assert(t, err, qt.IsNil)
	for _, m := range mutations {
		_, err := mutate(root, t.TempDir(), m.name)
		qt.Check(t, err, qt.IsNil)
	}
	_, err = mutate(root, t.TempDir(), "nothing")
	qt.Check(t, err, qt.ErrorMatches, `mutation "nothing": does not exist; .*`)
}

// TestLedger guards against a checker that misses a broken guarantee, or reports
// what is allowed.
func TestLedger(t *testing.T) {
	start := time.Now()
	const orders, lookups, llm = "orders", "lookup", "llm"
	late := func(d time.Duration) time.Time { return start.Add(d + 2*machineSlack) }
	tests := []struct {
		name  string
		route route
		play  func(l *ledger, r *request, run simulator.Run)
		want  string
	}{
		{"once", routeOrder, func(l *ledger, r *request, run simulator.Run) { l.Ran(on(run, orders, 0, "b"), start) }, ""},
		{"twice", routeOrder, func(l *ledger, r *request, run simulator.Run) {
			l.Ran(on(run, orders, 0, "b"), start)
			l.Ran(on(run, orders, 0, "b"), start)
		}, "TWICE"},
		{"repeatable twice", routeLook, func(l *ledger, r *request, run simulator.Run) {
			l.Ran(on(run, lookups, 0, "b"), start)
			l.Ran(on(run, lookups, 0, "b"), start)
		}, ""},
		{"above the attempts of the route", routeLook, func(l *ledger, r *request, run simulator.Run) {
			for range routeLook.Attempts + 1 {
				l.Ran(on(run, lookups, 0, "b"), start)
			}
		}, "BUDGET"},
		{"refused after a run", routeOrder, func(l *ledger, r *request, run simulator.Run) {
			l.Ran(on(run, orders, 0, "b"), start)
			l.answered(r, http.StatusServiceUnavailable)
		}, "REFUSED"},
		{"run after a refusal", routeOrder, func(l *ledger, r *request, run simulator.Run) {
			l.answered(r, http.StatusServiceUnavailable)
			l.Ran(on(run, orders, 0, "b"), start)
		}, "REFUSED"},
		{"failed after a run", routeOrder, func(l *ledger, r *request, run simulator.Run) {
			l.Ran(on(run, orders, 0, "b"), start)
			l.answered(r, http.StatusBadGateway)
		}, ""},
		{"another service", routeOrder, func(l *ledger, r *request, run simulator.Run) { l.Ran(on(run, lookups, 0, "b"), start) }, "ROUTE"},
		{"another body", routeOrder, func(l *ledger, r *request, run simulator.Run) { l.Ran(on(run, orders, 0, "c"), start) }, "UNASKED"},
		{"another team", routeOrder, func(l *ledger, r *request, run simulator.Run) {
			run.Team = "blue"
			l.Ran(on(run, orders, 0, "b"), start)
		}, "UNASKED"},
		{"with the key", routeOrder, func(l *ledger, r *request, run simulator.Run) {
			run.KeyPassed = true
			l.Ran(on(run, orders, 0, "b"), start)
		}, "UNASKED"},
		{"denied", routeOrder, func(l *ledger, r *request, run simulator.Run) { l.answered(r, http.StatusNotFound) }, "DENIED"},
		{"to a replica that left", routeOrder, func(l *ledger, r *request, run simulator.Run) {
			l.Leaving(orders, start)
			r.Sent = late(drainTime)
			l.Arrived(orders, r.ID, late(drainTime))
		}, "DRAIN"},
		{"to a replica that left during an outage", routeOrder, func(l *ledger, r *request, run simulator.Run) {
			l.Leaving(orders, start)
			l.disturb(subjectStore, false)
			r.Sent = late(drainTime)
			l.Arrived(orders, r.ID, late(drainTime))
		}, ""},
		{"an old version", routeStream, func(l *ledger, r *request, run simulator.Run) {
			l.name(2, start)
			l.Ran(on(run, llm, 1, "b"), late(versionTime))
		}, "VERSION"},
		{"an old version in time", routeStream, func(l *ledger, r *request, run simulator.Run) {
			l.name(2, start)
			l.Ran(on(run, llm, 1, "b"), start.Add(versionTime/2))
		}, ""},
		{"cut without a stop", routeOrder, func(l *ledger, r *request, run simulator.Run) {
			l.Ran(on(run, orders, 0, "b"), start)
			l.cut(r)
		}, "LOST"},
		{"cut by a planned stop", routeOrder, func(l *ledger, r *request, run simulator.Run) {
			l.disturb(entrySubject(0), true)
			l.Ran(on(run, orders, 0, "b"), start)
			l.cut(r)
		}, "LOST"},
		{"cut by a kill", routeOrder, func(l *ledger, r *request, run simulator.Run) {
			l.disturb(entrySubject(0), false)
			l.Ran(on(run, orders, 0, "b"), start)
			l.cut(r)
		}, ""},
		{"a route that was removed", route{Name: "extra-1", Service: "lookup"}, func(l *ledger, r *request, run simulator.Run) {
			l.configured([]string{"extra-1"}, start.Add(-time.Minute))
			l.configured(nil, start)
			r.Sent = late(configurationTime)
			l.probed(r, http.StatusOK)
		}, "CONFIG"},
		{"a route that was added", route{Name: "extra-1", Service: "lookup"}, func(l *ledger, r *request, run simulator.Run) {
			l.configured([]string{"extra-1"}, start)
			r.Sent = late(configurationTime)
			l.probed(r, http.StatusNotFound)
		}, "CONFIG"},
		{"a route that was just added", route{Name: "extra-1", Service: "lookup"}, func(l *ledger, r *request, run simulator.Run) {
			l.configured([]string{"extra-1"}, start)
			r.Sent = start
			l.probed(r, http.StatusNotFound)
		}, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			l := newLedger(start)
			r := newRequest("c0-1", tc.route, "b", teams[0], 0)
			r.Sent = start
			l.send(r)
			tc.play(l, r, simulator.Run{ID: r.ID, Method: http.MethodPost, Path: r.Path, Team: r.Team})
			got := ""
			for _, v := range l.violations {
				got = v.Rule
			}
			qt.Assert(t, got, qt.Equals, tc.want, qt.Commentf("%v", l.violations))
		})
	}
}

// on completes a run by where it happens, its version and its body.
func on(run simulator.Run, service string, version int, body string) simulator.Run {
	run.Replica, run.Service, run.Version, run.Body = service, service, version, body
	return run
}
