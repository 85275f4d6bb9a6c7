package warmer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMissingDaemon guards against shares that a daemon uses beside its successor because what it sends is lost, against
// shares that it drops because a few others have missed its messages, and against reports without limits.
func TestMissingDaemon(t *testing.T) {
	view := View{Members: []Member{{VM: "vm", FailureDomain: "a", Live: true, Ready: true}}}
	for i := range 6 {
		// Two of the others are not live, of which one has drained, and one is in another failure domain.
		view.Members = append(view.Members, Member{VM: fmt.Sprint("x-", i), FailureDomain: "a", Live: i < 4, Ready: i < 5})
	}
	view.Members[4].FailureDomain = "b"
	tests := []struct {
		name string
		do   func(w *Warmer)
		want bool
	}{
		{"one of three", func(w *Warmer) { w.RecordMissing("x-0", []string{"vm"}, at(4*time.Second)) }, true},
		{"two of three", func(w *Warmer) {
			w.RecordMissing("x-0", []string{"vm"}, at(4*time.Second))
			w.RecordMissing("x-1", []string{"y", "vm"}, at(4*time.Second))
		}, false},
		{"others", func(w *Warmer) {
			w.RecordMissing("x-0", []string{"x-1"}, at(4*time.Second))
			w.RecordMissing("x-1", []string{"x-2"}, at(4*time.Second))
		}, true},
		{"messages arrive again", func(w *Warmer) {
			w.RecordMissing("x-0", []string{"vm"}, at(4*time.Second))
			w.RecordMissing("x-1", []string{"vm"}, at(4*time.Second))
			w.RecordMissing("x-1", nil, at(4*time.Second))
		}, true},
		{"old", func(w *Warmer) {
			w.RecordMissing("x-0", []string{"vm"}, at(4*time.Second-maxReportAge-1))
			w.RecordMissing("x-1", []string{"vm"}, at(4*time.Second))
		}, true},
		{"not live, or of another failure domain", func(w *Warmer) {
			w.RecordMissing("x-3", []string{"vm"}, at(4*time.Second))
			w.RecordMissing("x-4", []string{"vm"}, at(4*time.Second))
			w.RecordMissing("unknown", []string{"vm"}, at(4*time.Second))
		}, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := newWarmer()
			w.SetRegistrations(registration(1, 1, time.Minute), start)
			for d := time.Duration(0); d <= 4*time.Second; d += 100 * time.Millisecond {
				recordMessage(w, d)
				w.Update(view, at(d))
			}
			qt.Check(t, w.Missing(), qt.DeepEquals, []string{"x-4"})
			tc.do(w)
			qt.Check(t, w.Update(view, at(4*time.Second+1))["r"].Rate > 0, qt.Equals, tc.want)
			qt.Check(t, w.Usable(at(4*time.Second+1)), qt.Equals, tc.want)
			w.SetLimits(nil)
			qt.Check(t, w.Missing(), qt.IsNil)
		})
	}
}
