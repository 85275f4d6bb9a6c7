package cataloger

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/lentilbridge/lentilbridge/internal/request/placer"
)

// TestLeavingInAnyOrder guards against using a replica that a daemon knows to leave, and
// against not using one that has started again, after responses and announcements that are
// late or repeated, and registrations of any age and with or without their start.
func TestLeavingInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		c := Catalog{DrainTime: drainTime, HeartbeatInterval: heartbeatInterval, Log: zap.NewNop()}
		// starts are the starts of the replica so far, oldest first.
		starts := []int64{now.UnixMilli() - 1000}
		// said is the latest start that this daemon knows to leave.
		var said int64
		var announced []Leaving
		at := func(start int64, known bool) placer.Replica {
			r := registration("r0")
			if known {
				r.StartedAtMs = start
			}
			return r
		}
		// listed is the last registration, and listedStart its start.
		listed, listedStart := at(starts[0], true), starts[0]
		c.SetRegistrations([]placer.Replica{listed}, now)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200_000).Draw(t, "ms")) * time.Millisecond)
			current := starts[len(starts)-1]
			switch rapid.SampledFrom([]string{"start", "register", "register", "register old", "vanish", "restore", "outage", "respond", "respond late", "hear", "hear"}).Draw(t, "step") {
			case "start":
				starts = append(starts, now.UnixMilli())
			case "register":
				listed, listedStart = at(current, rapid.Bool().Draw(t, "start known")), current
				c.SetRegistrations([]placer.Replica{listed}, now)
			case "register old":
				listedStart = rapid.SampledFrom(starts).Draw(t, "start")
				listed = at(listedStart, true)
				c.SetRegistrations([]placer.Replica{listed}, now)
			case "vanish":
				c.SetRegistrations(nil, now)
			case "restore":
				c.RecordRestore(now)
			case "outage":
				c.RecordOutage(now)
			case "respond":
				// The request was placed with what is listed, which is the replica that runs.
				if listedStart == current {
					l, isNew := c.RecordLeaving(listed, now)
					said = current
					if isNew && l.StartedAtMs > 0 {
						announced = append(announced, l)
					}
				}
			case "respond late":
				c.RecordLeaving(at(starts[0], true), now)
				said = max(said, starts[0])
			case "hear":
				start := rapid.SampledFrom(starts).Draw(t, "start")
				age := time.Duration(rapid.IntRange(0, 100_000).Draw(t, "age")) * time.Millisecond
				c.RecordReportedLeaving(Leaving{Replica: "r0", StartedAtMs: start, SaidAt: now.Add(-age)}, now)
				said = max(said, start)
			}
			for _, l := range announced {
				if l.StartedAtMs > said {
					t.Fatalf("start %d is announced, %d has said that it leaves", l.StartedAtMs, said)
				}
			}
			for _, r := range c.Replicas(now) {
				if !r.Draining && listedStart <= said {
					t.Fatalf("start %d is used, registered as %d, after %d has said that it leaves", listedStart, r.StartedAtMs, said)
				}
			}
		}
		// A later incarnation is used, as soon as the store has removed silent replicas.
		later := registration("r0")
		later.StartedAtMs = now.UnixMilli() + 1
		now = now.Add(time.Minute)
		c.SetRegistrations([]placer.Replica{later}, now)
		c.SetRegistrations([]placer.Replica{later}, now)
		if len(usable(&c, now)) != 1 {
			t.Fatalf("start %d is not used, %d has said that it leaves", later.StartedAtMs, said)
		}
	})
}
