package placer

import (
	"slices"
	"time"
)

// admitWaiting assigns free slots to queued requests in queue order.
func (p *Placer) admitWaiting(now time.Time) {
	defer p.awaitToken(now)
	var skipped []*waiter
	for len(skipped) < maxSkipped {
		w := p.firstWaiting(skipped)
		if w == nil {
			return
		}
		placed, ok := p.choose(w.query, now.Sub(w.since), now)
		if !ok {
			// A request for another service or version may still find a slot.
			skipped = append(skipped, w)
			continue
		}
		p.waiting.remove(w)
		w.ready <- placed
	}
}

// maxSkipped is the number of requests without a slot after which admitWaiting
// stops.
const maxSkipped = 8

// waiter is a queued request.
type waiter struct {
	query Query
	since time.Time
	ready chan Placement
	// refused is closed when the request leaves the queue without a place.
	refused chan struct{}
}

// waitQueue holds the queued requests of all services in the order of their arrival.
type waitQueue []*waiter

// remove removes a request if it is queued.
func (q *waitQueue) remove(w *waiter) {
	if i := slices.Index(*q, w); i >= 0 {
		*q = slices.Delete(*q, i, i+1)
	}
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

// firstWaiting returns the queued request that gets the next place, or nil if all are in
// skipped.
func (p *Placer) firstWaiting(skipped []*waiter) *waiter {
	var first *waiter
	for _, w := range p.waiting {
		if slices.Contains(skipped, w) || isBehindRestricted(w, skipped) {
			continue
		}
		if first == nil || w.query.Service == first.query.Service && w.query.Class.Compare(first.query.Class) < 0 {
			first = w
		}
	}
	return first
}

// countAhead counts the queued requests of the service that are served before the query. One that may not use all
// regions of the query does not keep it from a replica in the others.
func (p *Placer) countAhead(q Query) int {
	n := 0
	for _, w := range p.waiting {
		if w.query.Service == q.Service && w.query.Class.Compare(q.Class) <= 0 && w.query.Regions.Covers(q.Regions) {
			n++
		}
	}
	return n
}
