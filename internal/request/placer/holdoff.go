package placer

import (
	"slices"
	"time"
)

// holdOff is a time in which a replica wants no requests.
type holdOff struct {
	// startedBy bounds the starts that it counts for, in Unix milliseconds. The registration
	// of a replica that has started again comes later than its first answers, so it is when
	// the replica said so, or the start with which it is listed if that is later.
	startedBy int64
	until     time.Time
}

// covers reports whether another hold-off applies to no start to which this one does not, and ends
// no later.
func (h holdOff) covers(other holdOff) bool {
	return other.startedBy <= h.startedBy && !other.until.After(h.until)
}

// holdOffs are the times of one replica, none of which another one covers.
type holdOffs []holdOff

// of returns the time until which a replica that started at a given time wants no requests.
func (h holdOffs) of(startedAtMs int64) time.Time {
	var until time.Time
	for _, o := range h {
		if startedAtMs <= o.startedBy && o.until.After(until) {
			until = o.until
		}
	}
	return until
}

func (h holdOffs) add(o holdOff) holdOffs {
	if slices.ContainsFunc(h, func(old holdOff) bool { return old.covers(o) }) {
		return h
	}
	return append(slices.DeleteFunc(h, o.covers), o)
}

// HoldOff excludes a replica from placement until a time, as the replica has asked, even if its
// registration vanishes meanwhile. Of several times the latest counts; a start after the replica
// has asked ends them. Requests that wait and can no longer be placed in time are refused at once.
// It reports whether the time is later than the one before.
func (p *Placer) HoldOff(r Replica, until, now time.Time) (extended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byID[r.ID]
	if r.StartedAtMs == 0 && s != nil {
		r.StartedAtMs = s.StartedAtMs
	}
	if p.holds == nil {
		p.holds = map[string]holdOffs{}
	}
	start := r.StartedAtMs
	if s != nil {
		start = s.StartedAtMs
	}
	old := p.holds[r.ID].of(start)
	h := p.holds[r.ID].add(holdOff{startedBy: max(r.StartedAtMs, now.UnixMilli()), until: until})
	p.holds[r.ID] = h
	if !h.of(start).After(old) {
		return false
	}
	if s == nil {
		return true
	}
	s.heldUntil, s.onTrial = h.of(start), true
	time.AfterFunc(until.Sub(now), p.admitAfterHoldOff)
	p.refuseUnplaceable(s.Service, now)
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

// refuseUnplaceable refuses the queued requests of a service that can no longer be placed in
// time because all replicas that could run them hold requests off.
func (p *Placer) refuseUnplaceable(service string, now time.Time) {
	for _, w := range p.waiting.ofService(service) {
		by := w.since.Add(w.query.MaxWait)
		if p.countUsable(w.query, now, by) == 0 && now.Add(p.firstReturn(w.query, now)).After(by) {
			p.waiting.remove(w)
			close(w.refused)
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
	for id, h := range p.holds {
		if h = slices.DeleteFunc(h, func(o holdOff) bool { return !now.Before(o.until) }); len(h) == 0 {
			delete(p.holds, id)
			continue
		}
		p.holds[id] = h
	}
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
		if _, ok := s.eligible(q, now); !ok || s.withoutShare(now) {
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
