package warmer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestShareAtStart guards against shares that are used before the others know the same holders, or while others still send to
// an earlier incarnation, and against a replica that stays unused after its start although they agree.
func TestShareAtStart(t *testing.T) {
	both := View{Members: append(slices.Clone(alone.Members), Member{VM: "vm-2", FailureDomain: "a", Live: true, Ready: true})}
	other := []Registration{{ID: "r-2", Address: "addr-2", Service: "llm", FailureDomain: "a", Revision: 1}}
	left := registration(2, 2, 4*time.Second)
	tests := []struct {
		name string
		// first is the first list, and do is called before the replica starts after 3 s.
		first []Registration
		do    func(w *Warmer)
		want  float64
	}{
		{"new replica", other, func(*Warmer) {}, 8},
		{"returns", registration(1, 1, 0), func(w *Warmer) { w.SetRegistrations(other, at(time.Second)) }, 8},
		{"returns soon", registration(1, 1, 0), func(w *Warmer) { w.SetRegistrations(other, at(2*time.Second)) }, 0},
		{"restarts", registration(1, 1, 0), func(*Warmer) {}, 0},
		{"in the first list", nil, func(w *Warmer) {
			w.listed = false
			w.SetRegistrations(left, at(3*time.Second))
		}, 0},
		{"view has changed", other, func(w *Warmer) {
			w.Update(alone, at(2*time.Second))
			w.Update(both, at(2100*time.Millisecond))
		}, 0},
		{"updates stopped", other, func(w *Warmer) { w.updatedAt = start }, 0},
		{"message after a silence", other, func(w *Warmer) { w.lastMessage.Time = start }, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := newWarmer()
			w.SetRegistrations(tc.first, start)
			for d := time.Duration(0); d <= 2500*time.Millisecond; d += 100 * time.Millisecond {
				recordMessage(w, d)
				w.Update(both, at(d))
			}
			tc.do(w)
			recordMessage(w, 3*time.Second)
			w.SetRegistrations(left, at(3*time.Second))
			rate := w.Update(both, at(3*time.Second))["r"].Rate
			qt.Check(t, rate > 0, qt.Equals, tc.want > 0, qt.Commentf("%v", rate))
			qt.Check(t, rate <= tc.want+1, qt.IsTrue, qt.Commentf("%v", rate))
		})
	}
}

// TestMovedReplica guards against holders of the earlier failure domain that go on beside those of the new one, if a
// registration changes its failure domain without a new start.
func TestMovedReplica(t *testing.T) {
	view := View{Members: append(slices.Clone(alone.Members), Member{VM: "vm-2", FailureDomain: "b", Live: true, Ready: true})}
	w := newWarmer()
	left := registration(1, 1, time.Minute)
	w.SetRegistrations(left, start)
	for d := time.Duration(0); d <= 2*time.Second; d += 100 * time.Millisecond {
		recordMessage(w, d)
		w.Update(view, at(d))
	}
	qt.Assert(t, w.Update(view, at(2*time.Second))["r"].Rate, qt.Equals, 17.0)
	left[0].FailureDomain, left[0].Revision = "b", 2
	w.SetRegistrations(left, at(2*time.Second))
	qt.Assert(t, w.Update(view, at(2*time.Second))["r"].Rate, qt.Equals, 0.0)
}

// TestReportAmongOthers guards against a report of a registered replica that is lost because other programs have sent
// as many reports as are kept.
func TestReportAmongOthers(t *testing.T) {
	w := newWarmer()
	w.SetRegistrations(registration(1, 1, 0), start)
	for i := range maxReports {
		w.RecordReport(fmt.Sprint("a-", i), time.Minute, start)
	}
	qt.Check(t, w.RecordReport("addr", time.Minute, start), qt.IsTrue)
	qt.Check(t, w.Update(alone, start), qt.HasLen, 1)
	qt.Check(t, w.RecordReport("unknown", time.Minute, start), qt.IsFalse)
}
