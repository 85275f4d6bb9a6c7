package placer

import "time"

// SetEvacuated sets the failure domains whose replicas get no requests. Queued requests that no
// other replica could run are refused at once. When a failure domain is no longer evacuated,
// queued requests are admitted to its replicas one by one.
func (p *Placer) SetEvacuated(domains []string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = make(map[string]bool, len(domains))
	for _, domain := range domains {
		p.evacuated[domain] = true
	}
	for _, list := range p.services {
		for _, s := range list {
			evacuated := p.evacuated[s.FailureDomain]
			if s.evacuated && !evacuated {
				// Other daemons learn of the end at the same time, and all see idle replicas.
				s.usableSince = now
			}
			s.evacuated = evacuated
		}
	}
	p.divideSlots(now)
	p.refuseExcluded(now)
	p.admitWaiting(now)
}

// SetSuspended begins or ends a time in which nothing is placed, because an evacuation may have been
// missed. Requests are queued meanwhile.
func (p *Placer) SetSuspended(suspended bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspended == suspended {
		return
	}
	p.suspended = suspended
	p.admitWaiting(now)
}

// refuseExcluded refuses the queued requests that only evacuated replicas could run.
func (p *Placer) refuseExcluded(now time.Time) {
	if len(p.evacuated) == 0 {
		return
	}
	for _, w := range append([]*waiter(nil), p.waiting...) {
		if !p.anyEligible(w.query, now) && p.exclusions(w.query, now).Evacuations > 0 {
			p.waiting.remove(w)
			close(w.refused)
		}
	}
}

// anyEligible reports whether a replica may run the request, now or later.
func (p *Placer) anyEligible(q Query, now time.Time) bool {
	for _, s := range p.services[q.Service] {
		if _, ok := s.eligible(q, now); ok {
			return true
		}
	}
	return false
}
