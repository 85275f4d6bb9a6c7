// Package coalescer implements a queue that keeps only the newest value of each
// key. A slow reader gets fewer values instead of older ones, and memory is
// bounded by the number of keys. In a FIFO queue, the age of the values that a
// slow reader gets would grow without bound.
package coalescer

import "sync"

// DefaultLimit is the maximum number of keys of a queue whose Limit is zero.
const DefaultLimit = 65_536

// Queue is a coalescing queue that is safe for concurrent use. The zero value is
// ready for use.
type Queue[K comparable, V any] struct {
	// Limit is the maximum number of keys. It must be set before the first Put.
	Limit int

	mu      sync.Mutex
	values  map[K]V
	order   []K
	ready   chan struct{}
	dropped uint64
}

// Put adds a value or replaces the pending value of its key. A replaced value
// keeps its position in the queue, so that a key that changes often neither
// starves nor delays other keys. Put returns false when the queue is full and
// the value was dropped.
func (q *Queue[K, V]) Put(key K, value V) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.values == nil {
		q.values = map[K]V{}
	}
	_, pending := q.values[key]
	if !pending && len(q.values) >= q.limit() {
		q.dropped++
		return false
	}
	q.values[key] = value
	if !pending {
		q.order = append(q.order, key)
	}
	q.signal()
	return true
}

// Remove removes the pending value of the key, if any.
func (q *Queue[K, V]) Remove(key K) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, pending := q.values[key]; !pending {
		return
	}
	delete(q.values, key)
	for i := range q.order {
		if q.order[i] == key {
			q.order = append(q.order[:i], q.order[i+1:]...)
			return
		}
	}
}

// Take removes at most n values from the front of the queue and appends them to
// dst.
func (q *Queue[K, V]) Take(dst []V, n int) []V {
	q.mu.Lock()
	defer q.mu.Unlock()
	n = min(n, len(q.order))
	for _, key := range q.order[:n] {
		dst = append(dst, q.values[key])
		delete(q.values, key)
	}
	q.order = q.order[:copy(q.order, q.order[n:])]
	if len(q.order) > 0 {
		q.signal()
	}
	return dst
}

// Ready returns a channel that receives a value when the queue may not be empty.
func (q *Queue[K, V]) Ready() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.readyChannel()
}

// Len returns the number of pending values.
func (q *Queue[K, V]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.order)
}

// Dropped returns the number of values that were dropped because the queue was
// full.
func (q *Queue[K, V]) Dropped() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}

func (q *Queue[K, V]) limit() int {
	if q.Limit == 0 {
		return DefaultLimit
	}
	return q.Limit
}

func (q *Queue[K, V]) readyChannel() chan struct{} {
	if q.ready == nil {
		q.ready = make(chan struct{}, 1)
	}
	return q.ready
}

func (q *Queue[K, V]) signal() {
	select {
	case q.readyChannel() <- struct{}{}:
	default:
	}
}
