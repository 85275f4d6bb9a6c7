package placer

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// heldPlacer returns a placer with replicas of which the first ones hold requests off.
func heldPlacer(holds []time.Duration, now time.Time) *Placer {
	p := &Placer{}
	var list []Replica
	for i := range holds {
		list = append(list, Replica{ID: "r" + strconv.Itoa(i), Address: "r" + strconv.Itoa(i) + ":1", Service: "s", Slots: 4, StartedAtMs: 7})
	}
	p.Update(list, now)
	for i, hold := range holds {
		if hold > 0 {
			p.HoldOff(list[i], now.Add(hold), now)
		}
	}
	return p
}

// TestHeldReplicaIsUsed guards against requests to a replica that has asked for none, and
// against a replica that is not used again after that time or after it has started again.
func TestHeldReplicaIsUsed(t *testing.T) {
	start := time.Unix(1000, 0)
	again := Replica{ID: "r0", Address: "r0:1", Service: "s", Slots: 4, StartedAtMs: start.UnixMilli() + 100}
	tests := []struct {
		name string
		then func(p *Placer)
		at   time.Duration
		want bool
	}{
		{"during the time", func(*Placer) {}, 1900 * time.Millisecond, false},
		{"after the time", func(*Placer) {}, 2 * time.Second, true},
		{"a shorter time later", func(p *Placer) { p.HoldOff(Replica{ID: "r0"}, start.Add(time.Second), start.Add(500*time.Millisecond)) }, 1500 * time.Millisecond, false},
		{"a longer time later", func(p *Placer) { p.HoldOff(Replica{ID: "r0"}, start.Add(3*time.Second), start.Add(time.Second)) }, 2500 * time.Millisecond, false},
		{"listed again", func(p *Placer) { p.Update([]Replica{{ID: "r0", Address: "r0:1", Service: "s", Slots: 4}}, start) }, time.Second, false},
		{"its registration vanished and returned", func(p *Placer) {
			p.Update(nil, start.Add(time.Second))
			p.Update([]Replica{{ID: "r0", Address: "r0:1", Service: "s", Slots: 4}}, start.Add(time.Second))
		}, time.Second, false},
		{"its registration vanished and it started again", func(p *Placer) {
			p.Update(nil, start.Add(time.Second))
			p.Update([]Replica{again}, start.Add(time.Second))
		}, time.Second, true},
		{"asked while it was not listed", func(p *Placer) {
			p.Update(nil, start.Add(2*time.Second))
			p.HoldOff(Replica{ID: "r0"}, start.Add(4*time.Second), start.Add(2*time.Second))
			p.Update([]Replica{{ID: "r0", Address: "r0:1", Service: "s", Slots: 4}}, start.Add(2*time.Second))
		}, 3 * time.Second, false},
		{"asked before it started again", func(p *Placer) {
			p.Update([]Replica{again}, start)
			p.HoldOff(Replica{ID: "r0", StartedAtMs: 5}, start.Add(4*time.Second), start)
		}, time.Second, true},
		{"asked with an unknown start before its start was known", func(p *Placer) {
			p.Update([]Replica{{ID: "r0", Address: "r0:1", Service: "s", Slots: 4, StartedAtMs: 9}}, start)
			p.HoldOff(Replica{ID: "r0"}, start.Add(4*time.Second), start)
		}, time.Second, false},
		{"started again", func(p *Placer) { p.Update([]Replica{again}, start) }, time.Second, true},
	}
	for _, tc := range tests {
		p := heldPlacer([]time.Duration{2 * time.Second}, start)
		tc.then(p)
		_, err := p.Place(context.Background(), Query{Service: "s", ExtraSlots: 4}, start.Add(tc.at))
		qt.Check(t, err == nil, qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// TestHeldOffRequestWaits guards against requests that wait in vain for replicas that hold
// them off for longer than they may wait, and against a retry before a replica returns.
func TestHeldOffRequestWaits(t *testing.T) {
	tests := []struct {
		name    string
		holds   []time.Duration
		maxWait time.Duration
		// later makes the replica hold requests off while the request waits.
		later  bool
		waited time.Duration
		after  time.Duration
		placed bool
	}{
		{"all for longer than it may wait", []time.Duration{2 * time.Second, 3 * time.Second}, time.Second, false, 0, 2 * time.Second, false},
		{"one returns in time", []time.Duration{500 * time.Millisecond, 3 * time.Second}, time.Second, false, 500 * time.Millisecond, 0, true},
		{"one is free", []time.Duration{0, 3 * time.Second}, time.Second, false, 0, 0, true},
		{"the only one while it waits", []time.Duration{100 * time.Millisecond}, time.Second, true, 50 * time.Millisecond, 4950 * time.Millisecond, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				start := time.Now()
				p := heldPlacer(tc.holds, start)
				if tc.later {
					time.AfterFunc(50*time.Millisecond, func() { p.HoldOff(Replica{ID: "r0"}, start.Add(5*time.Second), time.Now()) })
				}
				// Reports of other daemons make the placer look for free places.
				reports := time.NewTicker(100 * time.Millisecond)
				defer reports.Stop()
				go (&reporting{placer: p, ticks: reports.C}).run(ctx)
				_, err := p.Place(ctx, Query{Service: "s", MaxWait: tc.maxWait}, start)
				qt.Assert(t, time.Since(start), qt.Equals, tc.waited)
				qt.Assert(t, err == nil, qt.Equals, tc.placed)
				var refused *RefusedError
				if errors.As(err, &refused) {
					qt.Assert(t, refused.RetryAfter, qt.Equals, tc.after)
				}
			})
		})
	}
}

// reporting delivers empty load reports.
type reporting struct {
	placer *Placer
	ticks  <-chan time.Time
}

func (r *reporting) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-r.ticks:
			r.placer.SetPeerLoad("other", nil, now)
		}
	}
}
