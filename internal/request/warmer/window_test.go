package warmer

import (
	"testing"
	"time"
	"unsafe"

	qt "github.com/frankban/quicktest"
)

// stepped returns the time at which the wall clock was set by a whole number of seconds: the monotonic reading is
// the same. It depends on the fields of time.Time, of which the first holds the seconds from bit 30 on.
func stepped(t time.Time, seconds int64) time.Time {
	out := t
	*(*uint64)(unsafe.Pointer(&out)) += uint64(seconds) << 30
	return out
}

// TestClockStep guards against a step of the wall clock that lets requests of the past second be forgotten, so that a
// cold replica gets twice the share in a second, or that stops all requests until the clock is where it was.
func TestClockStep(t *testing.T) {
	const rate = 17
	for _, step := range []int64{-3600, -2, 0, 1, 2, 3600} {
		base := time.Now()
		qt.Assert(t, stepped(base, step).Sub(base), qt.Equals, time.Duration(0))
		qt.Assert(t, stepped(base, step).Round(0).Sub(base.Round(0)), qt.Equals, time.Duration(step)*time.Second)
		var w window
		var sent []time.Duration
		for d := time.Duration(0); d < 6*time.Second; d += 5 * time.Millisecond {
			now := base.Add(d)
			if d >= 2500*time.Millisecond {
				now = stepped(now, step)
			}
			qt.Assert(t, w.wait(rate, now) <= 1100*time.Millisecond, qt.IsTrue, qt.Commentf("step of %d s: waits %v", step, w.wait(rate, now)))
			if w.take(rate, now) {
				sent = append(sent, d)
			}
		}
		first := 0
		for i, d := range sent {
			for d-sent[first] >= time.Second {
				first++
			}
			qt.Assert(t, i-first+1 <= rate, qt.IsTrue, qt.Commentf("step of %d s: %d requests in a second", step, i-first+1))
		}
		qt.Assert(t, float64(len(sent)) >= 0.9*6*rate, qt.IsTrue, qt.Commentf("step of %d s: %d requests", step, len(sent)))
	}
}
