package placer

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestHoldOffInAnyOrder guards against requests to a replica that has asked for none, and
// against leaving it out for longer, after lists of any age, with or without its start, and
// answers that are late or repeated.
func TestHoldOffInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		p := &Placer{}
		// starts are the starts of the replica so far, oldest first, and until until when
		// the one that runs wants no requests.
		starts := []int64{now.UnixMilli() - 1000}
		var until, latest time.Time
		at := func(start int64, known bool) Replica {
			r := Replica{ID: "r0", Address: "r0:1", Service: "s", Slots: 4}
			if known {
				r.StartedAtMs = start
			}
			return r
		}
		listed, listedStart := at(starts[0], true), starts[0]
		p.Update([]Replica{listed}, now)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			current := starts[len(starts)-1]
			wait := time.Duration(rapid.IntRange(1, 5000).Draw(t, "wait")) * time.Millisecond
			switch rapid.SampledFrom([]string{"start", "list", "list", "list old", "vanish", "refuse", "refuse", "refuse late"}).Draw(t, "step") {
			case "start":
				starts = append(starts, now.UnixMilli())
				until = time.Time{}
			case "list":
				listed, listedStart = at(current, rapid.Bool().Draw(t, "start known")), current
				p.Update([]Replica{listed}, now)
			case "list old":
				listedStart = rapid.SampledFrom(starts).Draw(t, "start")
				listed = at(listedStart, true)
				p.Update([]Replica{listed}, now)
			case "vanish":
				p.Update(nil, now)
			case "refuse":
				// The request was placed with what is listed, and the replica that runs answers.
				p.HoldOff(listed, now.Add(wait), now)
				if until.Before(now.Add(wait)) {
					until = now.Add(wait)
				}
			case "refuse late":
				p.HoldOff(at(rapid.SampledFrom(starts).Draw(t, "start"), true), now.Add(wait), now)
			}
			if latest.Before(now.Add(wait)) {
				latest = now.Add(wait)
			}
			placed, err := p.Place(context.Background(), Query{Service: "s"}, now)
			if err != nil {
				continue
			}
			placed.Done(Neutral, now)
			if now.Before(until) && listedStart == current {
				t.Fatalf("start %d is used, listed as %d, %v before it wants requests", listedStart, placed.Replica.StartedAtMs, until.Sub(now))
			}
		}
		if latest.After(now) {
			now = latest
		}
		// The latest placement may have begun a trial.
		now = now.Add(trialTime)
		p.Update([]Replica{listed}, now)
		if _, err := p.Place(context.Background(), Query{Service: "s"}, now); err != nil {
			t.Fatalf("the replica is not used after the last time: %v", err)
		}
	})
}
