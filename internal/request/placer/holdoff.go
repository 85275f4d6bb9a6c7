package placer

import (
	"container/heap"
	"maps"
	"time"
)

// hold is a time until which a replica has asked for no requests. It ends when the replica
// starts again, and outlasts a registration that vanishes and returns.
type hold struct {
	startedAtMs int64
	until       time.Time
}

// HoldOff places nothing on a replica until a time, as the replica has asked. Of several
// times the latest counts. Requests that wait and can no longer be placed in time are
// refused at once. It reports whether the time is later than the one before.
func (p *Placer) HoldOff(r Replica, until, now time.Time) (extended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byID[r.ID]
	if s != nil && s.StartedAtMs != r.StartedAtMs || !until.After(p.heldUntil(r)) {
		return false
	}
	if p.holds == nil {
		p.holds = map[string]hold{}
	}
	p.holds[r.ID] = hold{startedAtMs: r.StartedAtMs, until: until}
	if s == nil {
		return true
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

// heldUntil returns the time until which a replica has asked for no requests. The caller
// holds p.mu.
func (p *Placer) heldUntil(r Replica) time.Time {
	if h := p.holds[r.ID]; h.startedAtMs == r.StartedAtMs {
		return h.until
	}
	return time.Time{}
}

// forgetHolds removes the holds that have ended. The caller holds p.mu.
func (p *Placer) forgetHolds(now time.Time) {
	maps.DeleteFunc(p.holds, func(_ string, h hold) bool { return !now.Before(h.until) })
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
