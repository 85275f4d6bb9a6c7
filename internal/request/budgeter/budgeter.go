// Package budgeter limits the retries of one entry daemon with a token bucket.
// Without a limit, retries during a widespread failure would multiply the load on
// the remaining replicas.
package budgeter

import (
	"sync"
	"time"
)

// Defaults of a budget returned by New.
const (
	// DefaultRatio is the number of retries allowed per first attempt.
	DefaultRatio = 0.1
	// DefaultBurst is the largest burst of retries after a quiet period.
	DefaultBurst = 10
)

// Budget is a token bucket of retries that is refilled by first attempts and with
// time. Set its exported fields before use.
type Budget struct {
	// Ratio is the number of retries added for each first attempt.
	Ratio float64
	// Burst is the maximum number of available retries.
	Burst float64
	// PerSecond is the number of retries added each second, so that a budget
	// recovers without first attempts.
	PerSecond float64
	// StartsEmpty is set for a budget without retries at first; otherwise it starts full.
	StartsEmpty bool

	mu         sync.Mutex
	available  float64
	started    bool
	refilledAt time.Time
}

// New returns a budget with the default values.
func New() *Budget { return &Budget{Ratio: DefaultRatio, Burst: DefaultBurst} }

// Resize changes Burst and PerSecond, for a budget that is a share of a common one.
// Retries above the new burst are lost.
func (b *Budget) Resize(burst, perSecond float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.Burst, b.PerSecond = burst, perSecond
	b.available = min(b.available, burst)
}

// AddFirstAttempt adds the retries that a first attempt allows.
func (b *Budget) AddFirstAttempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.available = min(b.available+b.Ratio, b.Burst)
}

// Take consumes one retry and reports whether one was available.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// Available returns the number of retries that could be taken now, which may have a fraction.
func (b *Budget) Available(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.available
}

// refill adds the retries for the time since the last call; the first call fills
// a budget that starts full.
func (b *Budget) refill(now time.Time) {
	if !b.started {
		b.started = true
		if !b.StartsEmpty {
			b.available = b.Burst
		}
		b.refilledAt = now
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.available = min(b.available+b.PerSecond*elapsed.Seconds(), b.Burst)
		b.refilledAt = now
	}
}
