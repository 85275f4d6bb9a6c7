package cataloger

import (
	"maps"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/lentilbridge/lentilbridge/internal/request/placer"
)

// TestAnnouncedLeavingHolds guards against using a replica that this daemon has seen
// draining, after any sequence of registrations, outages and restores.
func TestAnnouncedLeavingHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		c := Catalog{DrainTime: drainTime, HeartbeatInterval: heartbeatInterval, Log: zap.NewNop()}
		// running holds the replicas as they would register now, and draining the starts
		// of those that the daemon has seen draining.
		running, store := map[string]placer.Replica{}, map[string]placer.Replica{}
		draining := map[string]int64{}
		copies := []map[string]placer.Replica{{}}
		deliver := func() {
			c.SetRegistrations(slices.Collect(maps.Values(store)), now)
			for id, r := range store {
				if r.Draining {
					draining[id] = r.StartedAtMs
				}
			}
		}
		for i := range rapid.IntRange(10, 29).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom([]string{"r0", "r1"}).Draw(t, "id")
			r, ok := running[id]
			switch step := rapid.SampledFrom([]string{"start", "start again", "drain", "write", "remove", "copy", "copy", "restore", "restore", "outage", "deliver"}).Draw(t, "step"); step {
			case "start", "start again":
				if ok && step == "start" {
					break
				}
				r = registration(id)
				r.StartedAtMs = int64(i + 1)
				running[id], store[id] = r, r
			case "drain":
				if ok {
					r.Draining = true
					running[id], store[id] = r, r
					deliver()
				}
			case "write":
				if ok {
					store[id] = r
				}
			case "remove":
				delete(store, id)
			case "copy":
				copies = append(copies, maps.Clone(store))
			case "restore":
				store = maps.Clone(rapid.SampledFrom(copies).Draw(t, "copy"))
				c.RecordRestore(now)
				deliver()
			case "outage":
				c.RecordOutage(now)
			case "deliver":
				deliver()
			}
			for _, r := range c.Replicas(now) {
				if !r.Draining && r.StartedAtMs == draining[r.ID] && r.StartedAtMs == running[r.ID].StartedAtMs {
					t.Fatalf("replica %s of start %d is used after it was draining", r.ID, r.StartedAtMs)
				}
			}
		}
	})
}
