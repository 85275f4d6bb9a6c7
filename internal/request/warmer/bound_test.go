package warmer_test

import (
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestColdReplicasStayWithinBound guards against a cold replica that gets more requests in a second than it
// tolerates, while all daemons together want to send it more, through failures of holders, views that differ and
// lost messages.
func TestColdReplicasStayWithinBound(t *testing.T) {
	tests := []struct {
		name    string
		loss    float64
		disturb func(f *fleet)
		// most is the limit on the requests in a second, if it is below the bound: 17 by design, and up to 3
		// more while a holder and its successor change places.
		most float64
		// use is the least part of the capacity that is used at the end.
		use float64
	}{
		{name: "steady", disturb: func(f *fleet) { f.run(8 * time.Second) }, most: perSecond, use: 0.8},
		{name: "holders killed", disturb: func(f *fleet) {
			for _, d := range f.holders(4) {
				f.run(700 * time.Millisecond)
				d.stopped = true
			}
			f.run(6 * time.Second)
		}, most: 20, use: 0.8},
		{name: "holders paused", disturb: func(f *fleet) {
			for i, d := range f.holders(9) {
				d.paused = true
				f.run(time.Duration(400+450*i) * time.Millisecond)
				d.paused = false
				f.run(300 * time.Millisecond)
			}
		}},
		{name: "holders paused at once", disturb: func(f *fleet) {
			for _, d := range f.holders(4) {
				d.paused = true
			}
			f.run(4 * time.Second)
			for _, d := range f.holders(4) {
				d.paused = false
			}
			f.run(6 * time.Second)
		}, most: 20, use: 0.8},
		{name: "holders paused, messages of their return late", disturb: func(f *fleet) {
			first := f.holders(4)
			for _, d := range first {
				d.paused = true
			}
			f.run(4 * time.Second)
			for _, d := range f.of("a") {
				d.paused = false
				if !slices.Contains(first, d) {
					d.lateBy = 900 * time.Millisecond
				}
			}
			f.run(6 * time.Second)
		}, most: 20, use: 0.7},
		{name: "holders cut off", disturb: func(f *fleet) {
			for _, d := range f.holders(4) {
				d.cutOff = true
			}
			f.run(5 * time.Second)
			for _, d := range f.holders(4) {
				d.cutOff = false
			}
			f.run(6 * time.Second)
		}, most: 20, use: 0.8},
		{name: "daemons become ready at once", disturb: func(f *fleet) {
			first := f.holders(4)
			setReady(first, false)
			f.run(4 * time.Second)
			setReady(first, true)
			f.run(6 * time.Second)
		}, most: 20, use: 0.8},
		{name: "daemons become ready, messages late", disturb: func(f *fleet) {
			first, second := f.holders(4), f.holders(8)[4:]
			setReady(first, false)
			f.run(5 * time.Second)
			for _, d := range second {
				d.lateBy = 900 * time.Millisecond
			}
			f.run(time.Second)
			setReady(first, true)
			f.run(6 * time.Second)
		}, use: 0.8},
		{name: "daemons join and leave", disturb: func(f *fleet) {
			for i := range 4 {
				f.list(f.add("a", 20+i, f.now), 30*time.Second, "a")
				f.run(time.Second)
				f.of("a")[i].self.Ready = false
				f.run(time.Second)
				f.of("a")[i].stopped = true
			}
		}},
		{name: "half of the failure domain restarts", disturb: func(f *fleet) {
			for _, d := range f.of("a")[:6] {
				d.stopped = true
			}
			f.run(500 * time.Millisecond)
			for i := range 6 {
				f.list(f.add("a", i, f.now), 20*time.Second, "a")
			}
			f.run(6 * time.Second)
		}},
		{name: "whole failure domain of daemons restarts", disturb: func(f *fleet) {
			for _, d := range f.of("a") {
				d.stopped = true
			}
			f.run(6 * time.Second)
			for i := range 13 {
				f.list(f.add("a", i, f.now), 20*time.Second, "a")
			}
			f.run(6 * time.Second)
		}},
		{name: "partition of the failure domain", disturb: func(f *fleet) {
			f.partition(8*time.Second, f.of("a")[:6])
			f.run(4 * time.Second)
		}},
		{name: "failure domain cut off from the others", disturb: func(f *fleet) {
			f.partition(10*time.Second, f.of("a"))
			f.run(3 * time.Second)
		}},
		{name: "partition of the failure domain into five", disturb: func(f *fleet) {
			groups := make([][]*daemon, 5)
			for i, d := range f.of("a") {
				groups[i%5] = append(groups[i%5], d)
			}
			f.partition(8*time.Second, groups...)
			f.run(4 * time.Second)
		}},
		{name: "all failure domains cut off from each other", disturb: func(f *fleet) {
			f.partition(10*time.Second, f.of("a"), f.of("b"), f.of("c"))
			f.run(3 * time.Second)
		}},
		{name: "daemons of the failure domain receive only from those of others", disturb: func(f *fleet) {
			f.silentDomain = "a"
			f.run(8 * time.Second)
			f.silentDomain = ""
			f.run(4 * time.Second)
		}},
		{name: "messages lost", loss: 0.3, disturb: func(f *fleet) { f.run(10 * time.Second) }},
		{name: "messages late", disturb: func(f *fleet) {
			for _, d := range f.of("a")[:5] {
				d.lateBy = 900 * time.Millisecond
			}
			for i := range 6 {
				f.of("a")[i].demand, f.of("a")[12-i].demand = 5, 100
				f.run(1500 * time.Millisecond)
			}
		}},
		{name: "demand moves", disturb: func(f *fleet) {
			for i := range 12 {
				for j, d := range f.of("a") {
					d.demand = 5
					if (i+j)%3 == 0 {
						d.demand = 100
					}
				}
				f.run(800 * time.Millisecond)
			}
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(13, 6, 1)
			f.loss = max(f.loss, tc.loss)
			f.drain("b", "c")
			for _, d := range f.daemons {
				d.demand = 60
			}
			f.turnCold(30*time.Second, "a")
			f.run(400 * time.Millisecond)
			from := f.now
			f.run(5 * time.Second)
			tc.disturb(f)
			most, limit := f.most("a", from.Add(time.Second), f.now), bound
			if tc.most > 0 {
				limit = tc.most
			}
			t.Logf("most %d, use %.2f, refused %d of %d", most, f.use("a", from.Add(2*time.Second), f.now), f.refused, f.refused+f.placed)
			qt.Assert(t, most <= int(math.Floor(limit)), qt.IsTrue, qt.Commentf("%d requests in a second, %v allowed", most, limit))
			use := f.use("a", f.now.Add(-2*time.Second), f.now)
			qt.Assert(t, use >= tc.use, qt.IsTrue, qt.Commentf("%.2f of the capacity is used", use))
		})
	}
}

// missingHolders returns the most requests in a second at a replica while holders are missing: their messages are lost, and
// those of the others reach them. The holders get requests at the given rates, the other daemons 60 in a second.
func missingHolders(demands ...float64) int {
	f := newFleet(13, 6, 1)
	f.drain("b", "c")
	for _, d := range f.daemons {
		d.demand = 60
	}
	f.turnCold(30*time.Second, "a")
	f.run(400 * time.Millisecond)
	from := f.now
	f.run(5 * time.Second)
	for i, d := range f.holders(len(demands)) {
		d.missing, d.demand = true, demands[i]
	}
	f.run(8 * time.Second)
	return f.most("a", from.Add(time.Second), f.now)
}

// TestMissingHolders guards against too many requests while holders do not learn that others have taken over their
// shares, because only what they send is lost.
func TestMissingHolders(t *testing.T) {
	for _, demands := range [][]float64{{60}, {200}, {60, 60}} {
		most := missingHolders(demands...)
		t.Logf("%v: most %d", demands, most)
		qt.Check(t, float64(most) <= bound, qt.IsTrue, qt.Commentf("%v: %d requests in a second, %v allowed", demands, most, bound))
	}
}

// TestBusyMissingHolders guards against the same with two holders that have most of the demand. Neither receives
// messages of the other one, so each takes half of the limit.
func TestBusyMissingHolders(t *testing.T) {
	most := missingHolders(200, 200)
	t.Logf("most %d", most)
	qt.Check(t, float64(most) <= bound, qt.IsTrue, qt.Commentf("%d requests in a second, %v allowed", most, bound))
}

// TestColdCapacityIsUsed guards against shares that nobody uses: a failure domain that returns would otherwise stay
// idle while the others are overloaded.
func TestColdCapacityIsUsed(t *testing.T) {
	tests := []struct {
		name              string
		daemons, replicas int
		demand            float64
		min               float64
	}{
		{"a few replicas", 13, 4, 20, 0.8},
		{"a whole failure domain", 13, 17, 30, 0.8},
		{"two daemons", 2, 4, 100, 0.8},
		{"one daemon", 1, 2, 100, 0.8},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(tc.daemons, tc.replicas, 2)
			f.drain("b", "c")
			for _, d := range f.daemons {
				d.demand = tc.demand
			}
			f.turnCold(30*time.Second, "a")
			f.run(4 * time.Second)
			from := f.now
			f.run(10 * time.Second)
			got := f.use("a", from, f.now)
			t.Logf("use %.2f", got)
			qt.Assert(t, got >= tc.min, qt.IsTrue, qt.Commentf("used %.2f", got))
			qt.Assert(t, f.most("a", from, f.now) <= int(perSecond), qt.IsTrue)
		})
	}
}
