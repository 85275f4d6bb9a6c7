package placer

import (
	"container/heap"
	"time"
)

// admitWaiting assigns free slots to queued requests in queue order.
func (p *Placer) admitWaiting(now time.Time) {
	var skipped []*waiter
	for p.waiting.Len() > 0 {
		w := heap.Pop(&p.waiting).(*waiter)
		placed, ok := p.choose(w.query, now.Sub(w.since), now)
		if !ok {
			skipped = append(skipped, w)
			// A request for another service or version may still find a slot.
			if len(skipped) >= maxSkipped {
				break
			}
			continue
		}
		w.ready <- placed
	}
	for _, w := range skipped {
		heap.Push(&p.waiting, w)
	}
}

// maxSkipped is the number of requests without a slot after which admitWaiting
// stops.
const maxSkipped = 8

// waiter is a queued request. Its index is -1 once it has left the queue.
type waiter struct {
	query    Query
	since    time.Time
	sequence uint64
	ready    chan Placement
	// hopeless is closed when the request leaves the queue without a place.
	hopeless chan struct{}
	index    int
}

// waitQueue orders new requests before returning ones, then by priority, then
// by arrival.
type waitQueue []*waiter

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.query.Returning != b.query.Returning {
		return !a.query.Returning
	}
	if a.query.Priority != b.query.Priority {
		return a.query.Priority < b.query.Priority
	}
	return a.sequence < b.sequence
}

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.index = -1
	return w
}

// ofService returns the queued requests of a service.
func (q waitQueue) ofService(service string) []*waiter {
	var out []*waiter
	for _, w := range q {
		if w.query.Service == service {
			out = append(out, w)
		}
	}
	return out
}

// countAhead counts the queued requests of the service that are served before the
// query.
func (q waitQueue) countAhead(query Query) int {
	n := 0
	for _, w := range q {
		if w.query.Service == query.Service && (query.Returning || !w.query.Returning) && w.query.Priority <= query.Priority {
			n++
		}
	}
	return n
}
