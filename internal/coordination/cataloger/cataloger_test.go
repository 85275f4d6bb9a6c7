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

// changed returns a registration with some fields set.
func changed(r placer.Replica, change func(*placer.Replica)) placer.Replica {
	change(&r)
	return r
}

// heartbeatInterval is the interval that the deployments of the platform use.
const heartbeatInterval = 1200 * time.Millisecond

// removalTime is when the store has removed the registrations of silent replicas.
const removalTime = silentHeartbeats*heartbeatInterval + removalDelay

// TestRestoredRegistrations guards against requests to a replica that left before the
// store was restored from an older copy, and against excluding a running one.
func TestRestoredRegistrations(t *testing.T) {
	start := time.Unix(1000, 0)
	ready := changed(registration("r"), func(r *placer.Replica) { r.StartedAtMs = 100 })
	draining := changed(ready, func(r *placer.Replica) { r.Draining = true })
	restarted := changed(ready, func(r *placer.Replica) { r.StartedAtMs = 200 })
	withoutStart := changed(ready, func(r *placer.Replica) { r.StartedAtMs = 0 })
	updated := changed(ready, func(r *placer.Replica) { r.Versions = map[string]int{"m": 2} })
	list := func(r ...placer.Replica) []placer.Replica { return r }
	type step struct {
		at       time.Duration
		restored bool
		outage   bool
		list     []placer.Replica
	}
	later := time.Second
	tests := []struct {
		name  string
		steps []step
		at    time.Duration
		used  bool
	}{
		{"draining before", []step{{list: list(ready)}, {list: list(draining)}, {at: later, restored: true, list: list(ready)}}, later, false},
		{"draining before, known from the first list", []step{{list: list(draining)}, {at: later, restored: true, list: list(ready)}}, later, false},
		{"draining before, long after", []step{{list: list(draining)}, {at: later, restored: true, list: list(ready)}}, later + time.Hour, false},
		{"draining before, content changed", []step{{list: list(draining)}, {at: later, restored: true, list: list(ready)}, {at: 2 * later, list: list(updated)}}, 2 * later, false},
		{"draining before, in a later list", []step{{list: list(draining)}, {at: later, restored: true}, {at: 2 * later, list: list(ready)}}, 2 * later, false},
		{"draining and removed before", []step{{list: list(draining)}, {}, {at: later, restored: true, list: list(ready)}}, later + removalTime + time.Second, false},
		{"draining before and in the restored list", []step{{list: list(draining)}, {at: later, restored: true, list: list(draining)}}, later + time.Hour, false},
		{"draining before, restarted", []step{{list: list(draining)}, {at: later, restored: true, list: list(restarted)}}, later, true},
		{"draining before, restarted after the restore", []step{{list: list(draining)}, {at: later, restored: true, list: list(ready)}, {at: 2 * later, list: list(restarted)}}, 2 * later, true},
		{"draining before, two restores", []step{{list: list(draining)}, {at: later, restored: true, list: list(draining)}, {at: 2 * later, restored: true, list: list(ready)}}, 2 * later, false},
		{"draining before, two restores, removed between", []step{{list: list(draining)}, {at: later, restored: true, list: list(ready)}, {at: 2 * later}, {at: 3 * later, restored: true, list: list(ready)}}, time.Hour, false},
		{"draining only in the copy", []step{{list: list(restarted)}, {at: later, restored: true, list: list(draining)}}, later, false},
		{"draining only in the copy, then registered again", []step{{list: list(restarted)}, {at: later, restored: true, list: list(draining)}, {at: 2 * later, list: list(restarted)}}, 2 * later, true},
		{"draining only in the copy, corrected by the same incarnation", []step{{list: list(ready)}, {at: later, restored: true, list: list(draining)}, {at: 2 * later, list: list(ready)}}, 2 * later, true},
		{"ready after draining without a restore", []step{{list: list(draining)}, {at: later, list: list(ready)}}, later, true},

		{"gone before", []step{{list: list(ready)}, {}, {at: later, restored: true, list: list(ready)}}, later, false},
		{"gone before, start unknown before", []step{{list: list(withoutStart)}, {}, {at: later, restored: true, list: list(ready)}}, later, false},
		{"gone before, start unknown in the copy", []step{{list: list(ready)}, {}, {at: later, restored: true, list: list(withoutStart)}}, later, false},
		{"gone before as a later incarnation", []step{{list: list(restarted)}, {}, {at: later, restored: true, list: list(ready)}}, later, false},
		{"gone before, unchanged", []step{{list: list(ready)}, {}, {at: later, restored: true, list: list(ready)}, {at: 2 * later, list: list(ready)}}, 2 * later, false},
		{"gone before, until the store would have removed it", []step{{list: list(ready)}, {}, {at: later, restored: true, list: list(ready)}}, later + removalTime, false},
		{"gone before, still registered", []step{{list: list(ready)}, {}, {at: later, restored: true, list: list(ready)}}, later + removalTime + time.Millisecond, true},
		{"gone before, store unreachable meanwhile", []step{{list: list(ready)}, {}, {at: later, restored: true, list: list(ready)}, {at: 3 * later, outage: true}}, 3*later + removalTime, false},
		{"gone before, content changed", []step{{list: list(ready)}, {}, {at: later, restored: true, list: list(ready)}, {at: 2 * later, list: list(updated)}}, 2 * later, true},
		{"gone before, restarted", []step{{list: list(ready)}, {}, {at: later, restored: true, list: list(restarted)}}, later, true},
		{"gone before, not in the first list", []step{{list: list(ready)}, {}, {at: later, restored: true}, {at: 2 * later, list: list(ready)}}, 2 * later, true},
		{"gone before, draining in the copy", []step{{list: list(ready)}, {}, {at: later, restored: true, list: list(draining)}}, later + time.Hour, false},
		{"gone before, removed and returned", []step{{list: list(ready)}, {}, {at: later, restored: true, list: list(ready)}, {at: 2 * later}, {at: 3 * later, list: list(ready)}}, 3 * later, true},
		{"gone before, two restores", []step{{list: list(ready)}, {}, {at: later, restored: true, list: list(ready)}, {at: 5 * later, restored: true, list: list(ready)}}, later + removalTime + later, false},
		{"gone before, two restores, missing in the first copy", []step{{list: list(ready)}, {}, {at: later, restored: true}, {at: 2 * later, restored: true, list: list(ready)}}, 2 * later, false},
		{"gone without a restore", []step{{list: list(ready)}, {}, {at: later, list: list(ready)}}, later, true},
		{"missing in the first of two copies", []step{{list: list(ready)}, {at: later, restored: true}, {at: 3 * later, restored: true, list: list(ready)}}, 3 * later, true},
		{"unknown before", []step{{at: later, restored: true, list: list(ready)}}, later, true},
		{"first list of a daemon that started after the restore", []step{{list: list(ready)}}, 0, true},
		{"left too long ago to be in a copy", []step{{list: list(ready)}, {}, {at: departureRetention + later}, {at: departureRetention + later, restored: true, list: list(ready)}}, departureRetention + later, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := Catalog{DrainTime: drainTime, HeartbeatInterval: heartbeatInterval, Log: zap.NewNop()}
			for _, s := range tc.steps {
				at := start.Add(s.at)
				c.Replicas(at)
				if s.outage {
					c.RecordOutage(at)
					continue
				}
				if s.restored {
					c.RecordRestore(at)
				}
				c.SetRegistrations(s.list, at)
			}
			qt.Assert(t, len(usable(&c, start.Add(tc.at))) == 1, qt.Equals, tc.used)
		})
	}
}

// TestAddressOfTwoReplicas guards against requests to a crashed replica that a restored
// store lists at an address which another replica has.
func TestAddressOfTwoReplicas(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(id string, startedAtMs int64) placer.Replica {
		return placer.Replica{ID: id, Address: "a:1", Service: id, Slots: 4, StartedAtMs: startedAtMs}
	}
	earlier, later := at("earlier", 100), at("later", 200)
	leaving := later
	leaving.Draining = true
	list := func(r ...placer.Replica) []placer.Replica { return r }
	tests := []struct {
		name     string
		before   []placer.Replica
		restored bool
		// lists follow each other by one second.
		lists [][]placer.Replica
		wait  time.Duration
		want  []string
	}{
		{"later one missing in the copy", list(earlier, later), true, [][]placer.Replica{list(earlier)}, 0, []string{"later"}},
		{"later one registered again", list(earlier, later), true, [][]placer.Replica{list(earlier), list(earlier, later)}, 0, []string{"later"}},
		{"later one did not return", list(earlier, later), true, [][]placer.Replica{list(earlier), list(earlier), list(earlier), list(earlier)}, 0, nil},
		{"later one unknown before", list(earlier), true, [][]placer.Replica{list(earlier), list(earlier, later)}, 0, []string{"later"}},
		{"later one only, earlier one in the copy", list(later), true, [][]placer.Replica{list(earlier)}, 0, []string{"later"}},
		{"later one did not return, earlier one changed", list(earlier, later), true, [][]placer.Replica{list(earlier), list(earlier), list(earlier), list(changed(earlier, func(r *placer.Replica) { r.Slots++ }))}, 0, []string{"earlier"}},
		{"later one draining", list(earlier, leaving), true, [][]placer.Replica{list(earlier)}, 0, nil},
		{"earlier one removed by the store", list(earlier, later), true, [][]placer.Replica{list(earlier), list(later)}, 0, []string{"later"}},
		{"both still registered", list(earlier, later), true, [][]placer.Replica{list(earlier, later)}, removalTime + time.Millisecond, []string{"earlier", "later"}},
		{"start of one unknown", list(at("earlier", 0), later), true, [][]placer.Replica{list(at("earlier", 0), later)}, 0, []string{"earlier", "later"}},
		{"restarted under the same ID", list(at("later", 300)), true, [][]placer.Replica{list(later)}, 0, []string{"later"}},
		{"without a restore", list(earlier, later), false, [][]placer.Replica{list(earlier, later)}, 0, []string{"earlier", "later"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := Catalog{DrainTime: drainTime, HeartbeatInterval: heartbeatInterval, Log: zap.NewNop()}
			now := start
			c.SetRegistrations(tc.before, now)
			c.RecordOutage(now)
			if tc.restored {
				c.RecordRestore(now)
			}
			for i, l := range tc.lists {
				now = start.Add(time.Duration(i) * time.Second)
				c.SetRegistrations(l, now)
				c.Replicas(now)
			}
			qt.Assert(t, usable(&c, now.Add(tc.wait)), qt.DeepEquals, tc.want)
		})
	}
}

// TestReportOfReplicaThatLeft guards against requests to an engine that left before a
// restore and still answers its agent, and to a restored one that its agent reports as
// down.
func TestReportOfReplicaThatLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	c := Catalog{DrainTime: drainTime, HeartbeatInterval: heartbeatInterval, Log: zap.NewNop()}
	c.SetRegistrations(registrations(2), now)
	c.SetRegistrations(registrations(1), now)
	c.RecordReport("r0:1", false, false, nil, now)
	c.RecordReport("r1:1", true, false, map[string]int{"m": 1}, now)
	c.RecordRestore(now)
	c.SetRegistrations(registrations(2), now)
	qt.Assert(t, usable(&c, now), qt.HasLen, 0)
}

// TestDeparturesBounded guards against unbounded memory for replicas that left.
func TestDeparturesBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	c := Catalog{DrainTime: drainTime, HeartbeatInterval: heartbeatInterval, Log: zap.NewNop()}
	c.SetRegistrations([]placer.Replica{registration("oldest")}, now)
	now = now.Add(time.Second)
	c.SetRegistrations(registrations(maxDepartures), now)
	c.SetRegistrations(nil, now)
	now = now.Add(drainTime)
	c.SetRegistrations(nil, now)
	qt.Assert(t, c.departures, qt.HasLen, maxDepartures)
	_, ok := c.departures["oldest"]
	qt.Assert(t, ok, qt.IsFalse)
	c.SetRegistrations(nil, now.Add(departureRetention+time.Millisecond))
	qt.Assert(t, c.departures, qt.HasLen, 0)
}

// TestRemovalLearnedLateIsWaitedFor guards against requests to replicas that left more than
// the drain time ago, because this daemon learned of it late and waited for their return.
func TestRemovalLearnedLateIsWaitedFor(t *testing.T) {
	left := time.Unix(1000, 0)
	end := left.Add(drainTime - detectionDelay)
	for _, late := range []time.Duration{0, 800 * time.Millisecond, 1800 * time.Millisecond} {
		c := Catalog{DrainTime: drainTime, Log: zap.NewNop()}
		c.SetRegistrations(registrations(4), left.Add(-time.Minute))
		c.SetChangedRegistrations(registrations(1), left, left.Add(late))
		if learned := left.Add(late); learned.Before(end) {
			qt.Check(t, usable(&c, learned), qt.HasLen, 4, qt.Commentf("%v late", late))
			qt.Check(t, usable(&c, end.Add(-time.Millisecond)), qt.HasLen, 4, qt.Commentf("%v late", late))
		}
		qt.Check(t, usable(&c, left.Add(max(late, drainTime-detectionDelay))), qt.DeepEquals, []string{"r0"}, qt.Commentf("%v late", late))
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
