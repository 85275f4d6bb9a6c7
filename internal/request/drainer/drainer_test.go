package drainer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestTakenRequestOutlastsStop guards against taking a request that may last longer than
// the process, after the callers have been asked to leave or although it cannot be repeated.
func TestTakenRequestOutlastsStop(t *testing.T) {
	began := time.Unix(1000, 0)
	tests := []struct {
		name            string
		listed, stop    time.Duration
		arrives, expire time.Duration
		// once is set if the request cannot be sent again, and alone if no other daemon
		// can take it.
		once, alone bool
		want        bool
	}{
		{"at the signal", 2500 * time.Millisecond, 8 * time.Second, 0, 6 * time.Second, false, false, true},
		{"callers still know the address", 2500 * time.Millisecond, 8 * time.Second, 2400 * time.Millisecond, 8400 * time.Millisecond, false, false, true},
		{"may outlast the process", 2500 * time.Millisecond, 8 * time.Second, 3550 * time.Millisecond, 9500 * time.Millisecond, false, false, false},
		{"may outlast the process by little", 2500 * time.Millisecond, 8 * time.Second, 2600 * time.Millisecond, 7400 * time.Millisecond, false, false, false},
		{"ends before the process", 2500 * time.Millisecond, 8 * time.Second, 3550 * time.Millisecond, 6 * time.Second, false, false, true},
		{"stop time shorter than the listed time", 2500 * time.Millisecond, 2 * time.Second, 950 * time.Millisecond, 6 * time.Second, false, false, false},
		{"very short stop time", 2500 * time.Millisecond, 500 * time.Millisecond, 250 * time.Millisecond, 6 * time.Second, false, false, false},
		{"runs once, ends before the process", 2500 * time.Millisecond, 8 * time.Second, 0, 6 * time.Second, true, false, true},
		{"runs once, may outlast the process", 2500 * time.Millisecond, 8 * time.Second, 1400 * time.Millisecond, 7400 * time.Millisecond, true, false, false},
		{"runs once, short stop time", 2500 * time.Millisecond, 2 * time.Second, 0, 6 * time.Second, true, false, false},
		{"runs once, no other daemon", 2500 * time.Millisecond, 8 * time.Second, 1400 * time.Millisecond, 7400 * time.Millisecond, true, true, true},
		{"runs once, no other daemon, after the intake", 2500 * time.Millisecond, 8 * time.Second, 2600 * time.Millisecond, 7400 * time.Millisecond, true, true, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			p := NewPlan(began, tc.listed, tc.stop)
			p.HasOtherDaemon = func(time.Time) bool { return !tc.alone }
			qt.Assert(t, p.Takes(began.Add(tc.expire), !tc.once, began.Add(tc.arrives)), qt.Equals, tc.want)
		})
	}
}

// TestShortStopEndsRequestsEarly guards against ending requests before the last sixth of
// a short stop time, although the process could go on.
func TestShortStopEndsRequestsEarly(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, stop := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second} {
		t.Run(stop.String(), func(t *testing.T) {
			c := qt.New(t)
			p := NewPlan(began, 2500*time.Millisecond, stop)
			c.Check(p.RequestsEnd.Sub(began) >= stop*5/6, qt.IsTrue, qt.Commentf("requests end after %s", p.RequestsEnd.Sub(began)))
			c.Check(p.ConnectionsClose.After(p.RequestsEnd), qt.IsTrue)
			c.Check(p.ConnectionsClose.Sub(began) < stop, qt.IsTrue)
		})
	}
}
