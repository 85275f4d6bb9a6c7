package warmer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPlacedBeforeCold guards against a burst at a replica that turns cold after requests have been placed on it and before
// they are sent, because they waited or the VM was paused.
func TestPlacedBeforeCold(t *testing.T) {
	f := newFleet(13, 6, 3)
	for _, d := range f.daemons {
		d.demand = 60
	}
	f.drain("b", "c")
	f.turnCold(0)
	f.run(400 * time.Millisecond)
	f.sendDelay = 3 * time.Second
	f.run(2 * time.Second)
	f.sendDelay = 0
	f.turnCold(30*time.Second, "a")
	f.run(400 * time.Millisecond)
	from := f.now
	f.run(6 * time.Second)
	most := f.most("a", from, f.now)
	t.Logf("most %d", most)
	qt.Assert(t, most <= int(perSecond), qt.IsTrue, qt.Commentf("%d requests in a second", most))
}

// TestEvacuationRemoved guards against the full load of all daemons at the replicas of a failure domain that returns from an
// evacuation: they may have become cold meanwhile.
func TestEvacuationRemoved(t *testing.T) {
	f := newFleet(13, 6, 4)
	for _, d := range f.daemons {
		d.demand = 60
		d.placer.SetEvacuated([]string{"a"}, f.now)
		var returned time.Time
		d.warmer.ReturnedAt = func(domain string) time.Time {
			if domain != "a" {
				return time.Time{}
			}
			return returned
		}
		due := f.now.Add(2*time.Second + time.Duration(f.rng.IntN(800))*time.Millisecond)
		d.changes = append(d.changes, func(now time.Time) {
			if now.Before(due) || !returned.IsZero() {
				return
			}
			// The same order as in the daemon: the replicas are cold before they get requests again.
			returned = now
			d.update(f)
			d.placer.SetEvacuated(nil, now)
		})
	}
	f.drain("b", "c")
	f.turnCold(0)
	f.run(400 * time.Millisecond)
	from := f.now
	f.run(1500 * time.Millisecond)
	qt.Assert(t, f.most("a", from, f.now), qt.Equals, 0)
	f.run(10 * time.Second)
	most := f.most("a", from, f.now)
	t.Logf("most %d, use %.2f", most, f.use("a", from.Add(6*time.Second), f.now))
	qt.Assert(t, most > 0 && most <= int(perSecond), qt.IsTrue, qt.Commentf("%d requests in a second", most))
	f.run(4 * time.Second)
	qt.Assert(t, f.most("a", f.now.Add(-time.Second), f.now) > int(perSecond), qt.IsTrue, qt.Commentf("the replicas count as cold for too long"))
}

// TestWarmReplicasKeepTheirLoad guards against requests that are refused, or crowd on a few warm replicas, while a whole
// failure domain is cold at the usual demand.
func TestWarmReplicasKeepTheirLoad(t *testing.T) {
	f := newFleet(13, 17, 5)
	f.turnCold(30*time.Second, "a")
	f.run(3 * time.Second)
	f.refused, f.placed = 0, 0
	from := f.now
	f.run(8 * time.Second)
	qt.Assert(t, f.refused, qt.Equals, 0)
	seconds := f.now.Sub(from).Seconds()
	mean := float64(f.placed) / seconds / 51
	for _, r := range f.replicas {
		n := 0
		for _, at := range f.sends[r.ID] {
			if !at.Before(from) {
				n++
			}
		}
		qt.Check(t, float64(n)/seconds < 1.6*mean, qt.IsTrue, qt.Commentf("%s gets %.1f requests per second, the average is %.1f", r.ID, float64(n)/seconds, mean))
	}
}

// TestReturningDomain guards against replicas that stay unused for a part of their cold time after they have returned, although
// all daemons agree on their holders, and against more than they tolerate while a holder is lost in that time.
func TestReturningDomain(t *testing.T) {
	tests := []struct {
		name    string
		disturb func(f *fleet)
		// use is the least part of the capacity of the first 2 s that is used, and most the limit on the requests in
		// a second.
		use, most float64
	}{
		{"steady", func(*fleet) {}, 0.7, perSecond},
		{"holder killed", func(f *fleet) { f.holders(1)[0].stopped = true }, 0, perSecond},
		{"holder drains", func(f *fleet) { setReady(f.holders(1), false) }, 0, perSecond},
		{"half of the daemons cut off", func(f *fleet) {
			for _, d := range f.of("a")[:6] {
				d.group = 1
			}
		}, 0, bound},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(13, 6, 6)
			for _, d := range f.daemons {
				d.demand = 60
			}
			f.drain("b", "c")
			f.restart("a", 3*time.Second)
			from := f.now
			f.run(200 * time.Millisecond)
			tc.disturb(f)
			f.run(1800 * time.Millisecond)
			use := f.use("a", from, f.now)
			f.run(6 * time.Second)
			most := f.most("a", from, f.now)
			t.Logf("most %d, use %.2f in the first 2 s", most, use)
			qt.Check(t, most <= int(tc.most), qt.IsTrue, qt.Commentf("%d requests in a second", most))
			qt.Check(t, use >= tc.use, qt.IsTrue, qt.Commentf("used %.2f", use))
		})
	}
}
