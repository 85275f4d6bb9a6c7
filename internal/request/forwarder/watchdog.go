package forwarder

import (
	"errors"
	"sync"
	"time"
)

// maxSilenceFactor is how many times its timeout an attempt may be silent in all before it is
// given up although no other attempt has responded.
const maxSilenceFactor = 3

// errStreamTimeout is the cancellation cause of a stream on which no event arrived
// in time.
var errStreamTimeout = errors.New("no event from the agent in time")

// watchdog notices that no event arrives within a timeout. It reports that to the lead of the
// attempt, and ends the stream after a longer silence, or at once without a lead. The timer is
// reset by the reader of the events.
type watchdog struct {
	attempt *attempt
	timer   *time.Timer

	mu      sync.Mutex
	timeout time.Duration
	// due is when the timer expires. It is zero while the timer is stopped.
	due    time.Time
	silent bool
}

func newWatchdog(a *attempt, timeout time.Duration, now time.Time) *watchdog {
	w := &watchdog{attempt: a, timeout: timeout, due: now.Add(timeout)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, w.fire)
	return w
}

func (w *watchdog) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.due.IsZero() || now.Before(w.due) {
		return
	}
	if w.silent || w.attempt.lead == nil {
		w.attempt.stop(errStreamTimeout)
		return
	}
	w.silent = true
	w.startTimer((maxSilenceFactor-1)*w.timeout, now)
	w.attempt.lead.reportSilence(w.attempt)
}

// reset expects the next event within the timeout.
func (w *watchdog) reset(timeout time.Duration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeout, w.silent = timeout, false
	w.startTimer(timeout, now)
}

func (w *watchdog) startTimer(d time.Duration, now time.Time) {
	w.due = now.Add(d)
	w.timer.Reset(d)
}

// pause stops the timer until the next reset.
func (w *watchdog) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = time.Time{}
	w.timer.Stop()
}
