// Package notifier tells any number of waiting goroutines that something
// changed. Several changes before a waiter looks again count as one.
package notifier

import "sync"

// Notifier is ready for use as its zero value.
type Notifier struct {
	mu      sync.Mutex
	changed chan struct{}
}

// Changed returns a channel that is closed at the next call of Notify. A
// waiter takes the channel first and reads the state after that, so that it
// misses no change.
func (n *Notifier) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed
}

// Notify wakes all waiters.
func (n *Notifier) Notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}
