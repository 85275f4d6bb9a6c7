package placer

import (
	"container/heap"
	"maps"
	"time"
)

// holdOff is until when a replica wants no requests.
type holdOff struct {
	// until counts for startedAtMs, the latest start with which the replica said so, and
	// earlier ones.
	startedAtMs int64
	until       time.Time
	// unknownUntil counts for all starts until unknownAt, when the replica last said so while
	// its start was unknown.
	unknownAt, unknownUntil time.Time
}

// of returns until when a replica with a start wants no requests. If that is unknown, the
// incarnation may be any.
func (h holdOff) of(startedAtMs int64) time.Time {
	var until time.Time
	if startedAtMs <= h.startedAtMs {
		until = h.until
	}
	if startedAtMs <= h.unknownAt.UnixMilli() && h.unknownUntil.After(until) {
		until = h.unknownUntil
	}
	return until
}

// add adds what a replica with a start has said.
func (h holdOff) add(startedAtMs int64, until, now time.Time) holdOff {
	switch {
	case startedAtMs == 0:
		h.unknownAt = now
		if until.After(h.unknownUntil) {
			h.unknownUntil = until
		}
	case startedAtMs > h.startedAtMs, startedAtMs == h.startedAtMs && until.After(h.until):
		h.startedAtMs, h.until = startedAtMs, until
	}
	return h
}

// HoldOff places nothing on a replica until a time, as the replica has asked, also if its
// registration vanishes meanwhile. Of several times the latest counts; a later start ends it.
// Requests that wait and can no longer be placed in time are refused at once. It reports
// whether the time is later than the one before.
func (p *Placer) HoldOff(r Replica, until, now time.Time) (extended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byID[r.ID]
	if r.StartedAtMs == 0 && s != nil {
		r.StartedAtMs = s.StartedAtMs
	}
	if s != nil && r.StartedAtMs < s.StartedAtMs {
		return false
	}
	old := p.holds[r.ID]
	h := old.add(r.StartedAtMs, until, now)
	if p.holds == nil {
		p.holds = map[string]holdOff{}
	}
	p.holds[r.ID] = h
	if !h.of(r.StartedAtMs).After(old.of(r.StartedAtMs)) {
		return false
	}
	if s == nil {
		return true
	}
	s.heldUntil = h.of(s.StartedAtMs)
	time.AfterFunc(until.Sub(now), p.admitAfterHoldOff)
	p.refuseHopeless(s.Service, now)
	return true
}

// HeldOff returns the number of listed replicas that want no requests.
func (p *Placer) HeldOff(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.byID {
		if now.Before(s.heldUntil) {
			n++
		}
	}
	return n
}

// refuseHopeless refuses the queued requests of a service that can no longer be placed in
// time because all replicas that could run them hold requests off.
func (p *Placer) refuseHopeless(service string, now time.Time) {
	for _, w := range p.waiting.ofService(service) {
		by := w.since.Add(w.query.MaxWait)
		if p.countUsable(w.query, now, by) == 0 && now.Add(p.firstReturn(w.query, now)).After(by) {
			heap.Remove(&p.waiting, w.index)
			close(w.hopeless)
		}
	}
}

// admitAfterHoldOff assigns the free slots of a replica that takes requests again.
func (p *Placer) admitAfterHoldOff() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.admitWaiting(time.Now())
}

// expireHolds removes the times that have passed.
func (p *Placer) expireHolds(now time.Time) {
	maps.DeleteFunc(p.holds, func(_ string, h holdOff) bool { return !now.Before(h.until) && !now.Before(h.unknownUntil) })
}

// FirstReturn returns the time until the first replica that could run the request takes
// requests again, or 0 if it does not depend on that.
func (p *Placer) FirstReturn(q Query, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.firstReturn(q, now)
}

// firstReturn is FirstReturn, and is called with the lock held.
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
