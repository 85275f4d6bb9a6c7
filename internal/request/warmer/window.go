package warmer

import (
	"math"
	"time"
)

const (
	// slotTime is the resolution at which a window counts, and slots is the number of counts that
	// cover at least a second.
	slotTime = 50 * time.Millisecond
	slots    = int(time.Second/slotTime) + 1
	// burstShare is the part of the rate that may be sent within slotTime, if that is more than
	// one request.
	burstShare = 0.1
	// roundingError is the part of a request that may be missing because of rounding.
	roundingError = 1e-9
)

// window counts the requests of the past second. Unlike a token bucket of one request it loses nothing when
// requests come irregularly (with a bucket, 13 daemons used 0.76 of the rate of 17 replicas instead of 0.87), and
// unlike a larger bucket it allows no second more than the rate. The zero value is ready for use.
type window struct {
	// counts are those of the slots up to latest, in a ring.
	counts [slots]int
	latest int64
	// began is the time of slot 0. Slots follow the monotonic clock: a step of the wall clock would clear the counts,
	// or move them to the future.
	began time.Time
	// last is the time of the latest request, for rates below one.
	last time.Time
}

func (w *window) slotOf(t time.Time) int64 {
	return max(int64(t.Sub(w.began)/slotTime), int64(slots))
}

func (w *window) count(slot int64) *int { return &w.counts[slot%int64(slots)] }

func (w *window) advance(now time.Time) {
	if w.began.IsZero() {
		// The slots before the first one are empty.
		w.began = now.Add(-time.Duration(slots) * slotTime)
	}
	slot := w.slotOf(now)
	for s := max(w.latest+1, slot-int64(slots)+1); s <= slot; s++ {
		*w.count(s) = 0
	}
	w.latest = max(w.latest, slot)
}

// wait returns the time until a request may be sent.
func (w *window) wait(rate float64, now time.Time) time.Duration {
	if rate <= 0 {
		return math.MaxInt64
	}
	if rate < 1 {
		if w.last.IsZero() {
			return 0
		}
		return max(time.Duration(float64(time.Second)/rate)-now.Sub(w.last), 0)
	}
	w.advance(now)
	excess := 1 - int(rate+roundingError)
	for _, n := range w.counts {
		excess += n
	}
	next := w.latest
	if *w.count(next) >= max(1, int(burstShare*rate)) {
		next++
	}
	for s := w.latest - int64(slots) + 1; excess > 0; s++ {
		excess -= *w.count(s)
		next = max(next, s+int64(slots))
	}
	if next == w.latest {
		return 0
	}
	return time.Duration(next)*slotTime - now.Sub(w.began)
}

// take counts a request, and reports whether it may be sent.
func (w *window) take(rate float64, now time.Time) bool {
	if w.wait(rate, now) > 0 {
		return false
	}
	w.advance(now)
	*w.count(w.latest)++
	w.last = now
	return true
}

// put takes back a request that was counted at a time.
func (w *window) put(at, now time.Time) {
	w.advance(now)
	if s := w.slotOf(at); s > w.latest-int64(slots) && *w.count(s) > 0 {
		*w.count(s)--
	}
	if w.last.Equal(at) {
		w.last = time.Time{}
	}
}
