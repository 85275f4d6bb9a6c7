package placer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEvacuationOfQueuedRequests guards against a queued request that gets a place in a failure domain which
// was evacuated meanwhile, and against one that waits although only that failure domain could run it.
func TestEvacuationOfQueuedRequests(t *testing.T) {
	tests := []struct {
		name string
		// evacuated are evacuated after 100 ms, and the running requests end after 200 ms.
		evacuated []string
		want      string
		took      time.Duration
	}{
		{"none", nil, "r1", 200 * time.Millisecond},
		{"failure domain of the next free place", []string{"east1"}, "r2", 200 * time.Millisecond},
		{"all", []string{"east1", "west1"}, "", 100 * time.Millisecond},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				began := time.Now()
				p := &Placer{FailureDomain: "east1", Random: zeroRandom}
				list := []Replica{placedReplica("r1", "east1"), placedReplica("r2", "west1")}
				for i := range list {
					list[i].Slots = 1
				}
				p.Update(list, began)
				q := Query{Service: "s", MaxWait: time.Second}
				running := []Placement{}
				for range list {
					placed, err := p.Place(context.Background(), q, began)
					c.Assert(err, qt.IsNil)
					running = append(running, placed)
				}
				time.AfterFunc(100*time.Millisecond, func() { p.SetEvacuated(tc.evacuated, time.Now()) })
				time.AfterFunc(200*time.Millisecond, func() {
					for _, r := range running {
						r.Done(Succeeded, time.Now())
					}
				})
				placed, err := p.Place(context.Background(), q, began)
				c.Check(placed.Replica.ID, qt.Equals, tc.want)
				c.Check(time.Since(began), qt.Equals, tc.took)
				var refused *RefusedError
				c.Check(errors.As(err, &refused), qt.Equals, tc.want == "")
				time.Sleep(time.Second)
			})
		})
	}
}

// TestEndOfEvacuation guards against replicas that stay unused after an evacuation, and against a queue
// that reaches them all at once instead of one request for each place.
func TestEndOfEvacuation(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	p := &Placer{FailureDomain: "east1", Random: zeroRandom}
	p.Update([]Replica{placedReplica("r1", "east1"), placedReplica("r2", "east1")}, now)
	p.SetEvacuated([]string{"east1"}, now)
	q := Query{Service: "s"}
	_, err := p.Place(context.Background(), q, now)
	c.Assert(err, qt.IsNotNil)
	// The list is rebuilt while the evacuation lasts.
	p.Update([]Replica{placedReplica("r1", "east1"), placedReplica("r2", "east1")}, now)
	_, err = p.Place(context.Background(), q, now)
	c.Assert(err, qt.IsNotNil)
	p.SetEvacuated(nil, now)
	counts := map[string]int{}
	for range 8 {
		placed, err := p.Place(context.Background(), q, now)
		c.Assert(err, qt.IsNil)
		counts[placed.Replica.ID]++
	}
	c.Assert(counts, qt.DeepEquals, map[string]int{"r1": 4, "r2": 4})
	_, err = p.Place(context.Background(), q, now)
	c.Assert(err, qt.IsNotNil)
}
