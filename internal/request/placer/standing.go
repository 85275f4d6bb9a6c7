package placer

import "time"

// slowPace is the pace from which on a replica counts as slow.
const slowPace = 1.5

// Standing is what a daemon may place, for logs and metrics.
type Standing struct {
	// OwnSlots are the daemon's shares of the slots of engines, and OwnUsed those in use. Borrowed is
	// the number of its requests beyond its shares.
	OwnSlots, OwnUsed, Borrowed int
	// Free is the number of free slots of the replicas that take requests, as far as this daemon knows.
	Free int
	// Slow is the number of replicas that work at least slowPace times as long as the others.
	Slow int
	// AdmittedShare is the part of the requests of a class that may compete for places.
	AdmittedShare float64
}

// Standing returns the sums over all services, and the least share of a class that is admitted.
func (p *Placer) Standing(now time.Time) Standing {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := Standing{AdmittedShare: 1}
	for service, list := range p.services {
		p.addStanding(&out, list, now)
		if s := p.shedders[service]; s != nil {
			out.AdmittedShare = min(out.AdmittedShare, s.LeastShare(now))
		}
	}
	return out
}

// standing returns what the daemon may place for the service and the class of a query.
func (p *Placer) standing(q Query, now time.Time) Standing {
	out := Standing{AdmittedShare: 1}
	p.addStanding(&out, p.services[q.Service], now)
	if s := p.shedders[q.Service]; s != nil {
		out.AdmittedShare = s.Share(q.contender(), now)
	}
	return out
}

func (p *Placer) addStanding(to *Standing, list []*replicaState, now time.Time) {
	for _, s := range list {
		if s.Engine == nil || s.Draining || s.evacuated || now.Before(s.heldUntil) {
			continue
		}
		to.OwnSlots += s.ownSlots
		to.OwnUsed += min(s.inFlight, s.ownSlots)
		to.Borrowed += max(s.inFlight-s.ownSlots, 0)
		to.Free += max(s.Slots-s.inFlight-s.others.Requests, 0)
		if s.pace.Pace(p.servicePace(s.Service), now) >= slowPace {
			to.Slow++
		}
	}
}
