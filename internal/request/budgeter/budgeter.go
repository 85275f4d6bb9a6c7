// Package budgeter bounds the retries of one entry daemon. Retries in a general
// failure would multiply the load on the replicas that are left.
package budgeter

import (
	"sync"
	"time"
)

// Defaults of a budget without settings.
const (
	// DefaultShare is the part of first attempts that may be retried.
	DefaultShare = 0.1
	// DefaultMaxSaved bounds the burst of retries after a quiet period.
	DefaultMaxSaved = 10
)

// Budget is a number of retries that grows with first attempts and with time.
// Fields are set before use.
type Budget struct {
	// Share is added for each first attempt.
	Share float64
	// MaxSaved bounds the retries that are saved up.
	MaxSaved float64
	// PerSecond is added each second.
	PerSecond float64

	mu      sync.Mutex
	saved   float64
	started bool
	at      time.Time
}

// New returns a budget with the default share that allows a few retries at
// once.
func New() *Budget { return &Budget{Share: DefaultShare, MaxSaved: DefaultMaxSaved} }

// First counts a first attempt.
func (b *Budget) First(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grow(now)
	b.saved = min(b.saved+b.Share, b.MaxSaved)
}

// Take uses one retry and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grow(now)
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

func (b *Budget) grow(now time.Time) {
	if !b.started {
		b.started = true
		b.saved = b.MaxSaved
		b.at = now
	}
	if passed := now.Sub(b.at); passed > 0 {
		b.saved = min(b.saved+b.PerSecond*passed.Seconds(), b.MaxSaved)
		b.at = now
	}
}
