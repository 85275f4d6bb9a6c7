package cataloger

import (
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/placer"
)

// drainTime is the drain time that the deployments of the platform use.
const drainTime = 2 * time.Second

func registration(id string) placer.Replica {
	return placer.Replica{ID: id, Address: id + ":1", Service: "s", Slots: 4, Versions: map[string]int{"m": 1}}
}

func registrations(n int) []placer.Replica {
	var out []placer.Replica
	for i := range n {
		out = append(out, registration("r"+strconv.Itoa(i)))
	}
	return out
}

// usable returns the sorted IDs of the replicas that accept requests.
func usable(c *Catalog, now time.Time) []string {
	var out []string
	for _, r := range c.Replicas(now) {
		if !r.Draining {
			out = append(out, r.ID)
		}
	}
	slices.Sort(out)
	return out
}

// TestMissingRegistrations guards against requests to a replica that is gone, and against
// removing replicas whose registrations were lost in an outage of the store.
func TestMissingRegistrations(t *testing.T) {
	start := time.Unix(1000, 0)
	draining := registration("r0")
	draining.Draining = true
	tests := []struct {
		name   string
		before []placer.Replica
		after  []placer.Replica
		outage bool
		// outageEnd is relative to the start. The registrations change at 2 s.
		outageEnd time.Duration
		wait      time.Duration
		want      []string
	}{
		{"one replica disappears", registrations(4), registrations(3), false, time.Second, 0, []string{"r0", "r1", "r2"}},
		{"most replicas disappear at once", registrations(4), registrations(1), false, time.Second, 0, []string{"r0", "r1", "r2", "r3"}},
		{"most replicas disappear and do not return", registrations(4), registrations(1), false, time.Second, drainTime - detectionDelay, []string{"r0"}},
		{"one replica disappears after an outage", registrations(4), registrations(3), true, time.Second, 0, []string{"r0", "r1", "r2", "r3"}},
		{"one replica disappears after an outage and does not return", registrations(4), registrations(3), true, time.Second, reregistrationTime, []string{"r0", "r1", "r2"}},
		// A replica that left 1.3 s after an outage was sent requests for another 2.2 s.
		{"one replica disappears 1 s after an outage and is removed 1.2 s later", registrations(4), registrations(3), true, time.Second, reregistrationTime - time.Second, []string{"r0", "r1", "r2"}},
		// A daemon that detected the end of an outage when a replica left sent requests
		// to the replica for another 2.2 s.
		{"one replica disappears at the end of an outage", registrations(4), registrations(3), true, 2 * time.Second, 2*time.Second - 300*time.Millisecond, []string{"r0", "r1", "r2"}},
		{"draining replica disappears after an outage", []placer.Replica{draining}, nil, true, time.Second, 0, nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := Catalog{DrainTime: drainTime, Log: zap.NewNop()}
			c.SetRegistrations(tc.before, start)
			if tc.outage {
				c.RecordOutage(start.Add(tc.outageEnd))
			}
			at := start.Add(2 * time.Second)
			c.SetRegistrations(tc.after, at)
			qt.Assert(t, usable(&c, at.Add(tc.wait)), qt.DeepEquals, tc.want)
		})
	}
}

// TestMissingAfterRestore guards against dropping a replica that registered after the
// copy from which the store was restored, by a daemon that saw no outage of the store.
func TestMissingAfterRestore(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name string
		// restores are the times at which lists of a restored store are set. None has r3.
		restores []time.Duration
		// returnAt is when r3 is registered again, or zero if it is not.
		returnAt time.Duration
		at       time.Duration
		want     []string
	}{
		{"at once", []time.Duration{0}, 0, 0, []string{"r0", "r1", "r2", "r3"}},
		{"before the wait ends", []time.Duration{0}, 0, drainTime - detectionDelay - time.Millisecond, []string{"r0", "r1", "r2", "r3"}},
		{"did not return", []time.Duration{0}, 0, drainTime - detectionDelay, []string{"r0", "r1", "r2"}},
		{"second restore does not prolong the wait", []time.Duration{0, time.Second}, 0, drainTime - detectionDelay, []string{"r0", "r1", "r2"}},
		{"returned", []time.Duration{0}, time.Second, 10 * time.Second, []string{"r0", "r1", "r2", "r3"}},
		{"returned after the wait", []time.Duration{0}, 1900 * time.Millisecond, 1900 * time.Millisecond, []string{"r0", "r1", "r2", "r3"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := Catalog{DrainTime: drainTime, Log: zap.NewNop()}
			c.SetRegistrations(registrations(4), start.Add(-time.Minute))
			for _, after := range tc.restores {
				c.RecordRestore(start.Add(after))
				c.SetRegistrations(registrations(3), start.Add(after))
			}
			if tc.returnAt > 0 {
				c.Replicas(start.Add(tc.returnAt))
				c.SetRegistrations(registrations(4), start.Add(tc.returnAt))
			}
			qt.Assert(t, usable(&c, start.Add(tc.at)), qt.DeepEquals, tc.want)
		})
	}
}

// TestWaitFollowsDrainTime guards against a wait for registrations that exceeds the
// drain time, and against one that ends too early if the drain time is long.
func TestWaitFollowsDrainTime(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		drainTime time.Duration
		wait      time.Duration
	}{
		{0, 0},
		{time.Second, 200 * time.Millisecond},
		{3 * time.Second, 2200 * time.Millisecond},
	}
	for _, tc := range tests {
		c := Catalog{DrainTime: tc.drainTime, Log: zap.NewNop()}
		c.SetRegistrations(registrations(4), now)
		c.SetRegistrations(nil, now)
		if tc.wait > 0 {
			qt.Assert(t, usable(&c, now.Add(tc.wait-time.Millisecond)), qt.HasLen, 4, qt.Commentf("%v", tc.drainTime))
		}
		qt.Assert(t, usable(&c, now.Add(tc.wait)), qt.HasLen, 0, qt.Commentf("%v", tc.drainTime))
	}
}

// TestAgentReports guards against requests to an engine that its agent reports as
// down or loading, and against an old report that keeps excluding an engine.
func TestAgentReports(t *testing.T) {
	now := time.Unix(1000, 0)
	c := Catalog{DrainTime: drainTime, Log: zap.NewNop()}
	c.SetRegistrations(registrations(1), now)
	c.RecordReport("r0:1", true, false, map[string]int{"m": 2}, now)
	qt.Assert(t, c.Replicas(now)[0].Versions, qt.DeepEquals, map[string]int{"m": 2})
	c.RecordReport("r0:1", true, true, nil, now)
	qt.Assert(t, usable(&c, now), qt.HasLen, 0)
	c.RecordReport("r0:1", false, false, nil, now)
	qt.Assert(t, usable(&c, now), qt.HasLen, 0)
	later := now.Add(agentReportTTL + time.Second)
	qt.Assert(t, usable(&c, later), qt.DeepEquals, []string{"r0"})
	qt.Assert(t, c.Replicas(later)[0].Versions, qt.DeepEquals, map[string]int{"m": 1})
}
