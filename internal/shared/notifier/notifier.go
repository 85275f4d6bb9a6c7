// Package notifier notifies any number of waiting goroutines of a change of state. Changes
// between two reads of the state by a waiter are merged into one notification.
package notifier

import "sync"

// Notifier notifies waiting goroutines of changes. The zero value is ready to use.
type Notifier struct {
	mu      sync.Mutex
	changed chan struct{}
}

// Changed returns a channel that is closed by the next call of Notify. A waiter must call
// Changed before it reads the state, so that it misses no change.
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
