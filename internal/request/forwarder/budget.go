package forwarder

import "sync"

const (
	// retryShare is the part of first attempts that may be retried.
	retryShare = 0.1
	// maxSavedRetries bounds the burst of retries after a quiet period.
	maxSavedRetries = 10
)

// Budget is the retry budget of one entry daemon. Retries in a general failure
// would multiply the load on the replicas that are left.
type Budget struct {
	mu    sync.Mutex
	saved float64
}

// NewBudget returns a budget that allows a few retries at once.
func NewBudget() *Budget { return &Budget{saved: maxSavedRetries} }

// First counts a first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+retryShare, maxSavedRetries)
}

// Take uses one retry and reports whether there was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
