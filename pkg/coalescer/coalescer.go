// Package coalescer holds the newest value of each key until a reader takes
// it. A slow reader then gets fewer values, but not older ones, and the memory
// is bounded by the number of keys. A first-in first-out queue would instead
// give a slow reader values whose age grows without limit.
package coalescer

import "sync"

// DefaultLimit is the number of keys that a queue holds when Limit is zero.
const DefaultLimit = 65_536

// Queue holds the newest value of each key. The zero value is ready for use.
type Queue[K comparable, V any] struct {
	// Limit bounds the number of keys. Set it before the first Put.
	Limit int

	mu      sync.Mutex
	values  map[K]V
	order   []K
	ready   chan struct{}
	dropped uint64
}

// Put adds the value or replaces the untaken value of the key. The key keeps
// its place in the order, so that a key that changes often delays no other. It
// reports false when the queue is full and the value was dropped.
func (q *Queue[K, V]) Put(key K, value V) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.values == nil {
		q.values = map[K]V{}
	}
	_, waiting := q.values[key]
	if !waiting && len(q.values) >= q.limit() {
		q.dropped++
		return false
	}
	q.values[key] = value
	if !waiting {
		q.order = append(q.order, key)
	}
	q.signal()
	return true
}

// Remove drops the untaken value of the key, if any.
func (q *Queue[K, V]) Remove(key K) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, waiting := q.values[key]; !waiting {
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

// Take appends at most n values to dst, those of the keys that have waited
// longest first.
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

// Ready returns a channel that has a value when the queue may hold something.
func (q *Queue[K, V]) Ready() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.readyChannel()
}

// Len returns the number of keys with an untaken value.
func (q *Queue[K, V]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.order)
}

// Dropped returns how many values were refused because the queue was full.
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
