package placer

import (
	"container/heap"
	"time"
)

// HoldOff places nothing on a replica until a time, as the replica has asked. Of several
// times the latest counts. Requests that wait and can no longer be placed in time are
// refused at once. It reports whether the time is later than the one before.
func (p *Placer) HoldOff(id string, until, now time.Time) (extended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byID[id]
	if s == nil || !until.After(s.heldUntil) {
		return false
	}
	s.heldUntil = until
	for _, w := range p.waiting.ofService(s.Service) {
		if p.countUsable(w.query, now, w.since.Add(w.query.MaxWait)) == 0 {
			heap.Remove(&p.waiting, w.index)
			close(w.hopeless)
		}
	}
	return true
}

// firstReturn returns the time until the first replica that could run the request takes
// requests again, or 0 if it does not depend on that.
func (p *Placer) firstReturn(q Query, now time.Time) time.Duration {
	var first time.Duration
	for _, s := range p.services[q.Service] {
		if _, ok := s.eligible(q, now); !ok {
			continue
		}
		left := s.heldUntil.Sub(now)
		if left <= 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}

// refusal returns the error for a request that is not placed.
func (p *Placer) refusal(q Query, reason string, now time.Time) *RefusedError {
	err := &RefusedError{
		Service: q.Service, Reason: reason, Replicas: p.countUsable(q, now, now.Add(q.MaxWait)), Waiting: p.waiting.Len(), RetryAfter: p.firstReturn(q, now),
	}
	switch {
	case err.Replicas == 0 && err.RetryAfter > 0:
		err.Reason = "all replicas hold requests off"
	case err.Replicas == 0:
		err.Reason = "no usable replica"
	}
	return err
}
