package timekeeper

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// TestPause guards against pauses that stay unnoticed, with and without a monotonic clock
// that counts them, and against pauses that were none.
func TestPause(t *testing.T) {
	start := time.Now()
	at := start.Add
	const boot = time.Hour
	tests := []struct {
		name string
		// elapsed and sinceBoot are the times between the two checks.
		elapsed, sinceBoot time.Duration
		want               []Pause
	}{
		{"none", checkInterval, checkInterval, nil},
		{"late check", 2 * checkInterval, 2 * checkInterval, nil},
		{"stopped", 4 * time.Second, 4 * time.Second, []Pause{{Began: at(0), Ended: at(4 * time.Second)}}},
		{"suspended", checkInterval, 4 * time.Second, []Pause{{Began: at(0), Ended: at(checkInterval), Suspended: 4*time.Second - checkInterval}}},
	}
	for _, tc := range tests {
		var got []Pause
		k := &Timekeeper{OnPause: func(p Pause) { got = append(got, p) }, Log: zap.NewNop()}
		k.check(start, boot)
		k.check(start.Add(tc.elapsed), boot+tc.sinceBoot)
		qt.Check(t, got, qt.DeepEquals, tc.want, qt.Commentf(tc.name))
	}
}

// TestClockSinceBoot guards against a platform on which suspensions can't be seen.
func TestClockSinceBoot(t *testing.T) {
	_, first, err := readClocks()
	qt.Assert(t, err, qt.IsNil)
	_, second, err := readClocks()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first > 0 && second >= first, qt.IsTrue)
}
