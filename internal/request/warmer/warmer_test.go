package warmer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/divider"
	"github.com/lentilbridge/lentilbridge/internal/shared/timekeeper"
	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// alone is the view of the only entry daemon.
var alone = View{Members: []Member{{VM: "vm", FailureDomain: "a", Live: true, Ready: true}}, Alone: true}

func newWarmer() *Warmer {
	w := &Warmer{VM: "vm", FailureDomain: "a", StartedAt: start.Add(-time.Hour), Overage: 1.5, Slack: 5}
	w.SetLimits(map[string]Limit{"llm": {Duration: 10 * time.Second, PerSecond: 17}})
	return w
}

func registration(started int64, revision uint64, left time.Duration) []Registration {
	return []Registration{{ID: "r", Address: "addr", Service: "llm", FailureDomain: "a", StartedAtMs: started, Revision: revision, ColdLeft: left}}
}

// TestColdTime guards against a replica that gets its full load while it is cold, and against one that counts as
// cold after a restart of the whole system or for longer than something says.
func TestColdTime(t *testing.T) {
	tests := []struct {
		name string
		do   func(w *Warmer)
		// until is when the replica is no longer cold, after start; 0 if it never is.
		until time.Duration
	}{
		{"in the first list", func(w *Warmer) { w.SetRegistrations(registration(1, 1, 0), start) }, 0},
		{"registered as cold", func(w *Warmer) { w.SetRegistrations(registration(1, 1, 4*time.Second), start) }, 4 * time.Second},
		{"registered as cold for too long", func(w *Warmer) { w.SetRegistrations(registration(1, 1, time.Hour), start) }, MaxCold},
		{"the same registration again", func(w *Warmer) {
			w.SetRegistrations(registration(1, 1, 4*time.Second), start)
			w.SetRegistrations(registration(1, 1, 4*time.Second), at(2*time.Second))
		}, 4 * time.Second},
		{"a later registration says less", func(w *Warmer) {
			w.SetRegistrations(registration(1, 1, 4*time.Second), start)
			w.SetRegistrations(registration(1, 2, 0), at(time.Second))
		}, 4 * time.Second},
		{"restored incarnation of before", func(w *Warmer) {
			w.SetRegistrations(registration(2, 2, 4*time.Second), start)
			w.SetRegistrations(registration(1, 1, 0), at(time.Second))
			w.SetRegistrations(registration(2, 2, 0), at(2*time.Second))
		}, 12 * time.Second},
		{"cold again", func(w *Warmer) {
			w.SetRegistrations(registration(1, 1, 4*time.Second), start)
			w.SetRegistrations(registration(1, 2, 6*time.Second), at(3*time.Second))
		}, 9 * time.Second},
		{"new incarnation", func(w *Warmer) {
			w.SetRegistrations(registration(1, 1, 0), start)
			w.SetRegistrations(registration(2, 2, 0), at(time.Second))
		}, 11 * time.Second},
		{"new incarnation that says more", func(w *Warmer) {
			w.SetRegistrations(registration(1, 1, 0), start)
			w.SetRegistrations(registration(2, 2, 20*time.Second), at(time.Second))
		}, 21 * time.Second},
		{"first replica after an empty list", func(w *Warmer) {
			w.SetRegistrations(nil, start)
			w.SetRegistrations(registration(1, 1, 0), at(time.Second))
		}, 11 * time.Second},
		{"registration vanishes for a moment", func(w *Warmer) {
			w.SetRegistrations(registration(1, 1, 0), start)
			w.SetRegistrations(nil, at(time.Second))
			w.SetRegistrations(registration(1, 2, 0), at(2*time.Second))
		}, 0},
		{"report of the agent", func(w *Warmer) {
			w.SetRegistrations(registration(1, 1, 0), start)
			w.RecordReport("addr", 3*time.Second, at(time.Second))
		}, 4 * time.Second},
		{"report for too long", func(w *Warmer) {
			w.SetRegistrations(registration(1, 1, 0), start)
			w.RecordReport("addr", time.Hour, start)
		}, MaxCold},
		{"report of the end", func(w *Warmer) {
			w.SetRegistrations(registration(1, 1, 0), start)
			w.RecordReport("addr", 3*time.Second, start)
			w.RecordReport("addr", 0, at(time.Second))
		}, 0},
		{"report that says less than the registration", func(w *Warmer) {
			w.SetRegistrations(registration(1, 1, 5*time.Second), start)
			w.RecordReport("addr", time.Second, start)
		}, 5 * time.Second},
		{"report of another replica", func(w *Warmer) {
			w.SetRegistrations(registration(1, 1, 0), start)
			w.RecordReport("other", 3*time.Second, start)
		}, 0},
		{"evacuation removed", func(w *Warmer) {
			w.SetRegistrations(registration(1, 1, 0), start)
			w.ReturnedAt = func(domain string) time.Time {
				if domain == "a" {
					return at(time.Second)
				}
				return time.Time{}
			}
		}, 11 * time.Second},
		{"evacuation removed, registered for longer", func(w *Warmer) {
			w.SetRegistrations(registration(1, 1, 15*time.Second), start)
			w.ReturnedAt = func(string) time.Time { return at(time.Second) }
		}, 15 * time.Second},
		{"service without a limit", func(w *Warmer) {
			w.SetLimits(map[string]Limit{"llm": {Duration: time.Second}, "other": {Duration: time.Second, PerSecond: 1}})
			w.SetRegistrations(registration(1, 1, 4*time.Second), start)
		}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := newWarmer()
			tc.do(w)
			c := qt.New(t)
			from := at(4 * time.Second)
			if tc.until > 0 {
				from = at(tc.until - time.Millisecond)
				c.Check(w.Update(alone, from)["r"].Until, qt.Equals, at(tc.until))
				from = at(tc.until)
			}
			c.Check(w.Update(alone, from), qt.HasLen, 0)
		})
	}
}

// TestColdWithoutHolders guards against a cold replica that counts as warm while this daemon knows no holders of it.
func TestColdWithoutHolders(t *testing.T) {
	w := newWarmer()
	w.SetRegistrations(registration(1, 1, 4*time.Second), start)
	qt.Assert(t, w.Update(View{}, start), qt.DeepEquals, map[string]State{"r": {Until: at(4 * time.Second)}})
}

// TestHolders guards against a cold replica whose holders are down, draining or far away, and against daemons that
// use the whole limit although they may know only half of the others.
func TestHolders(t *testing.T) {
	member := func(vm, domain string, live, ready bool) Member {
		return Member{VM: vm, FailureDomain: domain, Live: live, Ready: ready}
	}
	six := []string{"a1", "a2", "a3", "a4", "a5", "a6"}
	members := func(down ...string) []Member {
		var out []Member
		for _, vm := range six {
			out = append(out, member(vm, "a", !slices.Contains(down, vm), true))
		}
		return append(out, member("b1", "b", true, true), member("b2", "b", true, true))
	}
	tests := []struct {
		name    string
		members []Member
		want    []string
		partial bool
	}{
		{"all live", members(), ranker.Rank("r", six)[:4], false},
		{"first is down", members(ranker.Rank("r", six)[0]), ranker.Rank("r", six)[1:5], false},
		{"half are down", members("a1", "a2", "a3"), ranker.Rank("r", []string{"a4", "a5", "a6"}), true},
		{"others have drained", []Member{member("a1", "a", true, true), member("a2", "a", false, false), member("a3", "a", false, false)}, []string{"a1"}, false},
		{"not ready", []Member{member("a1", "a", true, true), member("a2", "a", true, false)}, []string{"a1"}, false},
		{"none in the failure domain", []Member{member("b1", "b", true, true)}, []string{"b1"}, false},
		{"none live in the failure domain", []Member{member("a1", "a", false, true), member("b1", "b", true, true)}, []string{"b1"}, true},
		{"none", nil, []string{}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := &Warmer{view: View{Members: tc.members}}
			got, reserved := w.holders("r", "a")
			qt.Check(t, got, qt.DeepEquals, tc.want)
			qt.Check(t, reserved > 0, qt.Equals, tc.partial)
			qt.Check(t, reserved <= 1, qt.IsTrue)
		})
	}
}

// TestForgottenDaemons guards against daemons that use the whole limit on both sides of a partition that lasts longer than
// members are remembered.
func TestForgottenDaemons(t *testing.T) {
	members := func(live bool, from, to int) []Member {
		var out []Member
		for i := from; i < to; i++ {
			out = append(out, Member{VM: fmt.Sprint("vm-", i), FailureDomain: "a", Live: live, Ready: true})
		}
		return out
	}
	self := Member{VM: "vm", FailureDomain: "a", Live: true, Ready: true}
	drained := members(false, 1, 5)
	for i := range drained {
		drained[i].Ready = false
	}
	tests := []struct {
		name  string
		views []View
		want  bool
	}{
		{"forgotten", []View{{Members: append(members(true, 1, 5), self)}, {Members: append(members(false, 1, 5), self)}, {Members: []Member{self}}}, true},
		{"all forgotten", []View{{Members: append(members(true, 1, 5), self)}, {Members: append(members(false, 1, 5), self)}, {Members: []Member{self}, Alone: true}}, true},
		{"drained", []View{{Members: append(members(true, 1, 5), self)}, {Members: append(drained, self)}, {Members: []Member{self}, Alone: true}}, false},
		{"known again", []View{{Members: append(members(true, 1, 5), self)}, {Members: []Member{self}}, {Members: append(members(true, 1, 5), self)}}, false},
		{"a few forgotten", []View{{Members: append(members(true, 1, 9), self)}, {Members: append(members(true, 1, 6), self)}}, false},
		{"never known", []View{{Members: []Member{self}, Alone: true}}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := newWarmer()
			w.SetRegistrations(registration(1, 1, time.Minute), start)
			for i, view := range tc.views {
				w.Update(view, at(time.Duration(i)*10*time.Second))
			}
			_, reserved := w.holders("r", "a")
			qt.Assert(t, reserved > 0, qt.Equals, tc.want)
			w.Update(tc.views[len(tc.views)-1], at(20*time.Second+lossRetention+time.Second))
			_, reserved = w.holders("r", "a")
			qt.Assert(t, reserved, qt.Equals, 0.0)
		})
	}
}

// TestUpdatesStop guards against shares that a daemon uses although it has not compared them with its view for some time:
// others may have taken them over.
func TestUpdatesStop(t *testing.T) {
	w := newWarmer()
	view := View{Members: append(slices.Clone(alone.Members), Member{VM: "b1", FailureDomain: "b", Live: true, Ready: true})}
	w.SetRegistrations(registration(1, 1, time.Minute), start)
	for d := time.Duration(0); d <= 8*time.Second; d += 100 * time.Millisecond {
		recordMessage(w, d)
		if d <= 4*time.Second {
			w.Update(view, at(d))
		}
	}
	qt.Check(t, w.Has("r", at(4*time.Second+maxUpdateAge)), qt.IsTrue)
	qt.Check(t, w.Has("r", at(4*time.Second+maxUpdateAge+time.Millisecond)), qt.IsFalse)
	qt.Check(t, w.Usable(at(8*time.Second)), qt.IsFalse)
	qt.Check(t, w.Take("r", at(8*time.Second)), qt.IsFalse)
	w.Update(view, at(8*time.Second))
	qt.Check(t, w.Take("r", at(8*time.Second)), qt.IsTrue)
}

// TestDivide guards against parts whose sum exceeds the limit, and against a holder without a part or with
// nearly all of it.
func TestDivide(t *testing.T) {
	tests := []struct {
		name    string
		weights []float64
		want    []float64
	}{
		{"equal", []float64{1, 1, 1, 1}, []float64{0.25, 0.25, 0.25, 0.25}},
		{"no demand", []float64{0, 0, 0, 0}, []float64{0.25, 0.25, 0.25, 0.25}},
		{"by demand", []float64{40, 30, 20, 10}, []float64{0.4, 0.3, 0.2, 0.1}},
		{"one has all demand", []float64{100, 0, 0, 0}, []float64{0.5, 0.5 / 3, 0.5 / 3, 0.5 / 3}},
		{"two have all demand", []float64{60, 40, 0, 0}, []float64{0.48, 0.32, 0.1, 0.1}},
		{"one has none", []float64{0, 1, 1, 1}, []float64{0.1, 0.3, 0.3, 0.3}},
		{"two holders", []float64{100, 1}, []float64{0.5, 0.5}},
		{"one holder", []float64{7}, []float64{1}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := divide(tc.weights)
			sum := 0.0
			for i, part := range got {
				sum += part
				qt.Check(t, math.Abs(part-tc.want[i]) < 1e-9, qt.IsTrue, qt.Commentf("%v", got))
				qt.Check(t, part >= minShare-1e-9 && (part <= maxShare+1e-9 || len(got) == 1), qt.IsTrue, qt.Commentf("%v", got))
			}
			qt.Check(t, math.Abs(sum-1) < 1e-9, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 10000 {
		weights := make([]float64, 1+rng.IntN(4))
		for i := range weights {
			weights[i] = rng.Float64() * float64(rng.IntN(3)) * 100
		}
		total := rng.Float64() * 100
		sum := 0.0
		for _, r := range rates(total, divide(weights), rng.Uint64()) {
			qt.Assert(t, r >= 0, qt.IsTrue)
			sum += r
		}
		qt.Assert(t, sum <= total+1e-6 && sum > total-1, qt.IsTrue, qt.Commentf("%v of %v for %v", sum, total, weights))
	}
}

// TestWindow guards against more requests in a second than the rate, however they come, and against a rate that is not
// used although requests come irregularly.
func TestWindow(t *testing.T) {
	tests := []struct {
		rate float64
		// least is the part of the rate that has to be used.
		least float64
	}{
		{0, 0}, {0.3, 0.8}, {1, 0.8}, {4, 0.9}, {5.5, 0.8}, {17, 0.9}, {1000, 0.9},
	}
	for _, tc := range tests {
		t.Run(fmt.Sprint(tc.rate), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			var w window
			var sent []time.Time
			seconds := min(60, 6000/max(tc.rate, 1))
			now := start
			for now.Before(at(time.Duration(seconds * float64(time.Second)))) {
				now = now.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / (tc.rate*5 + 1)))
				wait := w.wait(tc.rate, now)
				if w.take(tc.rate, now) {
					sent = append(sent, now)
					qt.Assert(t, wait, qt.Equals, time.Duration(0))
					continue
				}
				qt.Assert(t, wait > 0, qt.IsTrue)
				if now.Sub(start) > time.Second && tc.rate > 0 {
					later := w
					qt.Assert(t, later.take(tc.rate, now.Add(wait)), qt.IsTrue, qt.Commentf("after %v", wait))
				}
			}
			period := time.Duration(float64(time.Second) / min(max(tc.rate, 0.01), 1))
			first := 0
			for i, s := range sent {
				for s.Sub(sent[first]) >= period {
					first++
				}
				qt.Assert(t, i-first+1 <= max(int(tc.rate), 1), qt.IsTrue)
			}
			qt.Assert(t, float64(len(sent)) >= tc.least*tc.rate*seconds, qt.IsTrue, qt.Commentf("%d", len(sent)))
		})
	}
}

// TestReturnedToken guards against a token that is lost although the request was not sent, and against one that is
// returned twice.
func TestReturnedToken(t *testing.T) {
	var w window
	for i := range 4 {
		qt.Assert(t, w.take(4, at(time.Duration(i)*slotTime)), qt.IsTrue)
	}
	qt.Assert(t, w.take(4, at(4*slotTime)), qt.IsFalse)
	w.put(at(3*slotTime), at(4*slotTime))
	w.put(at(3*slotTime), at(4*slotTime))
	qt.Assert(t, w.take(4, at(4*slotTime)), qt.IsTrue)
	qt.Assert(t, w.take(4, at(5*slotTime)), qt.IsFalse)
	w.put(start, at(3*time.Second))
	qt.Assert(t, w.take(4, at(3*time.Second)), qt.IsTrue)
}

// TestShareRises guards against a share that rises before the others have seen why, or that does not fall at once.
func TestShareRises(t *testing.T) {
	tests := []struct {
		name string
		// due are the shares that are due, one every 400 ms.
		due  []float64
		want float64
	}{
		{"new", []float64{4, 4, 4, 4}, 0},
		{"after the time", []float64{4, 4, 4, 4, 4}, 4},
		{"falls at once", []float64{4, 4, 4, 4, 4, 2}, 2},
		{"rises to the lowest since", []float64{6, 6, 4, 6, 6}, 4},
		{"rises further", []float64{6, 6, 4, 6, 6, 6, 6, 6, 6}, 6},
		{"falls in between", []float64{4, 4, 0, 4, 4}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var s share
			for i, due := range tc.due {
				s.set(due, at(time.Duration(i)*400*time.Millisecond))
			}
			qt.Assert(t, s.rate, qt.Equals, tc.want)
		})
	}
}

// TestDaemonWithoutView guards against the use of shares by a daemon that has just started, receives messages of no other one
// or was suspended, because others may use them.
func TestDaemonWithoutView(t *testing.T) {
	view := View{Members: append(slices.Clone(alone.Members), Member{VM: "b1", FailureDomain: "b", Live: true, Ready: true})}
	tests := []struct {
		name string
		view View
		do   func(w *Warmer)
		// now is the time of the request, after 4 s with a message every 100 ms.
		now  time.Duration
		want bool
	}{
		{"receives from another", view, func(*Warmer) {}, 4 * time.Second, true},
		{"silent for a moment", view, func(*Warmer) {}, 4*time.Second + maxSilence - 100*time.Millisecond, true},
		{"silent", view, func(*Warmer) {}, 4*time.Second + maxSilence + time.Millisecond, false},
		{"receives again", view, func(w *Warmer) {
			recordMessage(w, 6*time.Second)
			w.Update(view, at(6*time.Second))
		}, 6*time.Second + time.Millisecond, false},
		{"receives for some time again", view, func(w *Warmer) {
			for d := 6 * time.Second; d <= 8*time.Second; d += 100 * time.Millisecond {
				recordMessage(w, d)
				w.Update(view, at(d))
			}
		}, 8 * time.Second, true},
		{"message from before the silence", view, func(w *Warmer) {
			w.RecordMessage(timekeeper.Moment{Time: at(4 * time.Second)}, timekeeper.Moment{Time: at(6 * time.Second)})
			w.Update(view, at(6*time.Second))
		}, 6 * time.Second, false},
		{"suspended", view, func(w *Warmer) { w.Suspended = func() time.Duration { return 2 * time.Second } }, 4 * time.Second, false},
		{"started lately", view, func(w *Warmer) { w.StartedAt = at(2500 * time.Millisecond) }, 4 * time.Second, false},
		{"only daemon", alone, func(*Warmer) {}, 6 * time.Second, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := newWarmer()
			w.SetRegistrations(registration(1, 1, time.Minute), start)
			for d := time.Duration(0); d <= 4*time.Second; d += 100 * time.Millisecond {
				recordMessage(w, d)
				w.Update(tc.view, at(d))
			}
			tc.do(w)
			qt.Check(t, w.Has("r", at(tc.now)), qt.Equals, tc.want)
			qt.Check(t, w.Usable(at(tc.now)) && w.Take("r", at(tc.now)), qt.Equals, tc.want)
		})
	}
}

func recordMessage(w *Warmer, d time.Duration) {
	w.RecordMessage(timekeeper.Moment{Time: at(d)}, timekeeper.Moment{Time: at(d)})
}

// TestReportsOfDemand guards against shares that follow a report that is lost, old or of another service.
func TestReportsOfDemand(t *testing.T) {
	type report struct {
		demand map[string]float64
		at     time.Time
	}
	holders := []string{"vm", "x", "y", "z"}
	tests := []struct {
		name    string
		reports map[string]report
		held    map[holding]int
		want    []float64
	}{
		{"all reported", map[string]report{"x": {map[string]float64{"llm": 10}, at(0)}, "y": {map[string]float64{"llm": 20}, at(0)}, "z": {map[string]float64{"llm": 30}, at(0)}}, nil, []float64{20, 10, 20, 30}},
		{"one missing", map[string]report{"x": {map[string]float64{"llm": 10}, at(0)}, "y": {map[string]float64{"llm": 30}, at(0)}}, nil, []float64{20, 10, 30, 20}},
		{"one old", map[string]report{"x": {map[string]float64{"llm": 10}, at(-maxReportAge - 1)}, "y": {map[string]float64{"llm": 20}, at(0)}, "z": {map[string]float64{"llm": 20}, at(0)}}, nil, []float64{20, 20, 20, 20}},
		{"all old", map[string]report{"x": {map[string]float64{"llm": 10}, at(-maxReportAge - 1)}}, nil, []float64{20, 20, 20, 20}},
		{"of another service", map[string]report{"x": {map[string]float64{"other": 10}, at(0)}}, nil, []float64{20, 20, 20, 20}},
		{"divided among replicas", nil, map[holding]int{{"x", "llm"}: 2, {"y", "llm"}: 1}, []float64{20, 10, 20, 20}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := newWarmer()
			qt.Assert(t, w.SettleDemand("llm", 20), qt.Equals, 20.0)
			w.Reports = &divider.Reports{}
			for vm, r := range tc.reports {
				w.Reports.Set(vm, r.demand, r.at)
			}
			qt.Check(t, w.weights("llm", holders, tc.held, start), qt.DeepEquals, tc.want)
		})
	}
}

// TestSettledDemand guards against shares that change with each report, and so are used at their lowest value only.
func TestSettledDemand(t *testing.T) {
	w := newWarmer()
	for _, tc := range []struct{ demand, want float64 }{{20, 20}, {22, 20}, {18, 20}, {26, 26}, {22, 26}, {10, 10}, {0, 0}, {0.4, 0}} {
		qt.Check(t, w.SettleDemand("llm", tc.demand), qt.Equals, tc.want, qt.Commentf("%v", tc))
	}
	qt.Check(t, w.SettleDemand("other", 1), qt.Equals, 1.0)
	qt.Check(t, w.SettleDemand("other", 1.1), qt.Equals, 1.1)
}

// TestReportsOfOtherPrograms guards against reports of addresses that do not exist, which fill the memory.
func TestReportsOfOtherPrograms(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	w := &Warmer{}
	w.SetLimits(map[string]Limit{"s": {PerSecond: 1}})
	for i := range maxReports + 1 {
		w.RecordReport(fmt.Sprint("a-", i), time.Second, now)
	}
	c.Check(w.reports, qt.HasLen, maxReports)
	c.Check(w.RecordReport("a-0", 2*time.Second, now), qt.IsTrue)
	c.Check(w.RecordReport("b", time.Second, now.Add(5*time.Second)), qt.IsTrue)
	c.Check(w.reports, qt.HasLen, 1)
}
