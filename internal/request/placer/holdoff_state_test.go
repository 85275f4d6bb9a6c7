package placer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHoldOffIsLostWithList guards against requests to a replica that has asked for none
// when its registration vanishes, moves or loses its start in that time.
func TestHoldOffIsLostWithList(t *testing.T) {
	start := time.Unix(1000, 0)
	known := Replica{ID: "r0", Address: "r0:1", Service: "s", Slots: 4, StartedAtMs: start.UnixMilli() - 1000}
	other := Replica{ID: "r1", Address: "r1:1", Service: "other", Slots: 4}
	moved, unknown, earlier, later := known, known, known, known
	moved.Address = "r0:2"
	unknown.StartedAtMs, earlier.StartedAtMs, later.StartedAtMs = 0, start.UnixMilli()-2000, start.UnixMilli()+500
	type lists [][]Replica
	tests := []struct {
		name   string
		before lists
		said   Replica
		then   lists
		want   bool
	}{
		{"listed", lists{{known}}, known, lists{{known}}, false},
		{"vanished and listed again", lists{{known}}, known, lists{{other}, {known}}, false},
		{"not listed when it asked", lists{{known}, {other}}, known, lists{{known}}, false},
		{"moved", lists{{known}}, known, lists{{moved}}, false},
		{"start becomes unknown", lists{{known}}, known, lists{{unknown}}, false},
		{"start becomes known", lists{{unknown}}, unknown, lists{{known}}, false},
		{"start becomes known, then a later one", lists{{unknown}}, unknown, lists{{known}, {later}}, true},
		{"an older registration", lists{{known}}, known, lists{{earlier}, {known}}, false},
		{"started again", lists{{known}}, known, lists{{later}}, true},
		{"asked by an earlier incarnation", lists{{later}}, known, nil, true},
		{"started again, then asked by the earlier one", lists{{known}}, known, lists{{later}}, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			p := &Placer{}
			for _, list := range tc.before {
				p.Update(list, start)
			}
			p.HoldOff(tc.said, start.Add(2*time.Second), start)
			for _, list := range tc.then {
				p.Update(list, start)
			}
			_, err := p.Place(context.Background(), Query{Service: "s"}, start.Add(time.Second))
			qt.Assert(t, err == nil, qt.Equals, tc.want)
		})
	}
}

// TestHoldOffEndsUnnoticed guards against a request that waits for a replica that takes
// requests again and that nothing else happens to.
func TestHoldOffEndsUnnoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		p := heldPlacer([]time.Duration{50 * time.Millisecond}, start)
		_, err := p.Place(context.Background(), Query{Service: "s", MaxWait: 200 * time.Millisecond}, start)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, time.Since(start), qt.Equals, 50*time.Millisecond)
	})
}

// TestWaitGoesOnWithoutHope guards against a request that waits in vain once the last
// replica that does not hold requests off has left.
func TestWaitGoesOnWithoutHope(t *testing.T) {
	tests := []struct {
		name   string
		last   bool
		waited time.Duration
		after  time.Duration
	}{
		{"another leaves", false, time.Second, 0},
		{"the last one leaves", true, 100 * time.Millisecond, 4900 * time.Millisecond},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				list := []Replica{{ID: "r0", Service: "s", Slots: 4}, {ID: "r1", Service: "s"}, {ID: "r2", Service: "s"}}
				p := &Placer{}
				p.Update(list, start)
				p.HoldOff(list[0], start.Add(5*time.Second), start)
				time.AfterFunc(100*time.Millisecond, func() {
					list[1].Draining, list[2].Draining = true, tc.last
					p.Update(list, time.Now())
				})
				_, err := p.Place(context.Background(), Query{Service: "s", MaxWait: time.Second}, start)
				var refused *RefusedError
				qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
				qt.Assert(t, time.Since(start), qt.Equals, tc.waited)
				qt.Assert(t, refused.RetryAfter, qt.Equals, tc.after)
			})
		})
	}
}
