package placer

import (
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/divider"
	"github.com/lentilbridge/lentilbridge/internal/request/pacer"
	"github.com/lentilbridge/lentilbridge/internal/request/shedder"
)

const (
	// overbooking is the number of requests beyond its slots that a replica may have for this
	// daemon to use its share. Demands change, and the daemons learn of it at different times;
	// the replica queues what exceeds its slots.
	overbooking = 2
	// borrowMargin is the number of slots of a replica that must be free for this daemon to
	// exceed its share. It covers what the others place until their next report.
	borrowMargin = 2
	// farBorrowMargin is the same number for replicas that only other daemons prefer, whose
	// reports come less often.
	farBorrowMargin = 3
	// maxBorrowAge is the age of reports up to which a daemon exceeds its share. Some reports in
	// a row may be lost.
	maxBorrowAge = 700 * time.Millisecond
	// minSlotsPerMargin bounds both margins to a part of the slots.
	minSlotsPerMargin = 4
	// returningMargin is the number of further slots that returning requests leave to new ones.
	// Without it, they took all slots that other daemons may borrow for seconds after a burst.
	// shedMargin is the same for new requests that are shed, which can still be answered in time,
	// and minSlotsPerYield bounds the whole margin.
	returningMargin  = 2
	shedMargin       = 1
	minSlotsPerYield = 3
	// maxPooledSlots is the average number of slots of a service for each daemon of the failure domain up
	// to which the daemons pool their shares. With one to four slots, a daemon's own share is often full
	// while those of others are empty. With 12 slots and seven or nine daemons, pooling answered a tenth
	// less in time, because all daemons fill the same slots between two reports.
	maxPooledSlots = 4.5
	// maxSharers is the number of daemons up to which they pool their shares. It bounds the cost of
	// hasPooledSlot.
	maxSharers = 32
	// divideInterval is the least time between two divisions of the slots.
	divideInterval = 100 * time.Millisecond
	// holdGain is the weight of the newest request in the average time of holding a slot.
	holdGain = 0.05
)

// recordArrival records a request that asks for a place, and reports whether it may compete for
// one. A repeat does without that: the work of the earlier attempt is lost without a place.
func (p *Placer) recordArrival(q Query, now time.Time) (admitted bool) {
	engines := p.hasEngines(q.Service)
	if q.ExtraSlots > 0 || !engines && !p.coldServices[q.Service] {
		return true
	}
	if !q.Class.Returning {
		p.Divider.RecordRequest(q.Service, now)
	}
	return !engines || p.shedder(q.Service).Admit(q.contender(), now)
}

// hasEngines reports whether the replicas of a service are model engines. The requests of other
// services are short, and their replicas few.
func (p *Placer) hasEngines(service string) bool {
	list := p.services[service]
	return len(list) > 0 && list[0].Engine != nil
}

// contender returns the class of a request for the shedder, which distinguishes requests by rank
// only if the routes of the service have different ranks.
func (q *Query) contender() shedder.Class {
	if !q.Ranked {
		return shedder.Class{Returning: q.Class.Returning}
	}
	return q.Class
}

// shedder returns the shedder of a service.
func (p *Placer) shedder(service string) *shedder.Shedder {
	s := p.shedders[service]
	if s == nil {
		if p.shedders == nil {
			p.shedders = map[string]*shedder.Shedder{}
		}
		s = &shedder.Shedder{}
		p.shedders[service] = s
	}
	return s
}

// Demand returns the demand at this daemon for each service of model engines, and for each whose cold
// replicas have a limit, in requests per second, as far as it is known.
func (p *Placer) Demand(now time.Time) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.demands(p.Divider.Demand, now)
	for service := range p.coldServices {
		if perSecond, known := out[service]; known {
			out[service] = p.Warmer.SettleDemand(service, perSecond)
		}
	}
	return out
}

// DomainDemand returns the demand at all daemons of the failure domain.
func (p *Placer) DomainDemand(now time.Time) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demands(p.Divider.DomainDemand, now)
}

func (p *Placer) demands(of func(service string, now time.Time) (float64, bool), now time.Time) map[string]float64 {
	var out map[string]float64
	for service := range p.services {
		if !p.coldServices[service] && !p.hasEngines(service) {
			continue
		}
		perSecond, known := of(service, now)
		if !known {
			continue
		}
		if out == nil {
			out = map[string]float64{}
		}
		out[service] = perSecond
	}
	return out
}

// SetPeerDemand records the demand at another daemon of the failure domain.
func (p *Placer) SetPeerDemand(vm string, demand map[string]float64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Divider.SetReport(vm, demand, now)
	p.divideSlotsIfDue(now)
}

// SetDomainDemand records the demand at all daemons of another failure domain.
func (p *Placer) SetDomainDemand(domain string, demand map[string]float64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Divider.SetDomainReport(domain, demand, now)
	p.divideSlotsIfDue(now)
}

// SetDaemonDomains records the failure domains that have live entry daemons. The replicas of others belong
// to the daemons of these after a while. It is called again at least every few seconds.
func (p *Placer) SetDaemonDomains(domains []string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Divider.SetDaemonDomains(domains, now)
}

func (p *Placer) divideSlotsIfDue(now time.Time) {
	if now.Sub(p.dividedAt) >= divideInterval {
		p.divideSlots(now)
	}
}

// divideSlots sets this daemon's share of the slots of each engine.
func (p *Placer) divideSlots(now time.Time) {
	p.dividedAt = now
	p.Divider.VM, p.Divider.FailureDomain = p.VM, p.FailureDomain
	p.Divider.Begin(now)
	for service, list := range p.services {
		if !p.hasEngines(service) {
			continue
		}
		division := p.Divider.Divide(service, usableSlots(list, now), preferring(list), now)
		for _, s := range list {
			s.ownSlots = division.Share(s.ID, s.FailureDomain, s.Slots, s.PreferredBy)
			p.poolSlots(s, division)
		}
	}
}

// poolSlots sets the slots of a replica that the daemons of this failure domain pool.
func (p *Placer) poolSlots(s *replicaState, division *divider.Division) {
	s.pooledSlots, s.sharers = 0, division.Daemons()
	local := s.FailureDomain == p.FailureDomain
	if local {
		s.sharers = s.PreferredBy
	}
	pools := division.SlotsPerDaemon() <= maxPooledSlots && len(s.sharers) <= maxSharers
	if pools && (!local || slices.Contains(s.sharers, p.VM)) {
		s.pooledSlots = division.DomainShare(s.ID, s.FailureDomain, s.Slots)
	}
}

// preferring returns the daemons that prefer replicas of a list.
func preferring(list []*replicaState) []string {
	var out []string
	for _, s := range list {
		for _, vm := range s.PreferredBy {
			if !slices.Contains(out, vm) {
				out = append(out, vm)
			}
		}
	}
	return out
}

// usableSlots returns the slots of the replicas that take requests, by failure domain.
func usableSlots(list []*replicaState, now time.Time) map[string]int {
	out := map[string]int{}
	for _, s := range list {
		if !s.Draining && !s.evacuated && !now.Before(s.heldUntil) {
			out[s.FailureDomain] += s.Slots
		}
	}
	return out
}

// hasRoom reports whether a replica may get another request of this daemon. A daemon uses its
// own share whatever it knows of the others, and more only while the replica has free slots.
func (p *Placer) hasRoom(s *replicaState, load estimatedLoad, q Query, now time.Time) bool {
	slots, margin, most := s.Slots+q.ExtraSlots, borrowMargin, s.Slots/minSlotsPerMargin
	switch {
	case s.Engine == nil, p.isCold(s, now):
		return int(load.requests) < slots
	case s.FailureDomain == p.FailureDomain && len(s.PreferredBy) < 2 && s.ownSlots >= s.Slots:
		margin = 0
	case !q.yields() && (s.inFlight < s.ownSlots+q.ExtraSlots || p.hasPooledSlot(s, now)):
		return load.requests < float64(slots+p.overbooking(s.Service))
	case !p.knowsOthers(s, now):
		return q.away && s.inFlight < max(s.Slots/minSlotsPerMargin, 1) && int(load.requests) < slots
	case p.preferredByOthers(s):
		margin = farBorrowMargin
	}
	if q.yields() {
		// The reports of other failure domains are too old for more than the share.
		if s.FailureDomain != p.FailureDomain && s.inFlight >= s.ownSlots {
			return false
		}
		margin, most = margin+shedMargin, s.Slots/minSlotsPerYield
		if q.Class.Returning {
			margin += returningMargin - shedMargin
		}
	}
	return int(load.requests) < slots-min(margin, most)
}

// hasPooledSlot reports whether the other daemons of the failure domain leave a slot of their shares
// free, as far as is known. They report their load often.
func (p *Placer) hasPooledSlot(s *replicaState, now time.Time) bool {
	return s.inFlight+s.domainRequests < s.pooledSlots && p.knowsAll(s.sharers, now)
}

// knowsAll reports whether all other daemons of a list have reported their load lately.
func (p *Placer) knowsAll(vms []string, now time.Time) bool {
	for _, vm := range vms {
		if vm != p.VM && now.Sub(p.peers[vm].at) > maxBorrowAge {
			return false
		}
	}
	return true
}

// maxLocalFailureRate is the failure rate above which a replica of this failure domain doesn't keep
// requests from those of others.
const maxLocalFailureRate = 0.5

// runsAway reports whether only replicas of other failure domains can run the request at present,
// if they have free slots.
func (p *Placer) runsAway(q Query, now time.Time) bool {
	for _, s := range p.services[q.Service] {
		if s.FailureDomain != p.FailureDomain || now.Before(s.heldUntil) || now.Before(s.unreachableUntil) || s.withoutShare(now) || s.failureRate(now) > maxLocalFailureRate {
			continue
		}
		if _, ok := s.eligible(q, now); ok {
			return false
		}
	}
	return true
}

// yields reports whether the request gets only places that others don't need.
func (q *Query) yields() bool { return (q.Class.Returning || q.shed) && q.ExtraSlots == 0 }

// overbooking returns the number of requests beyond its slots that a replica of a service may
// have. It is 0 until this daemon can predict how long they wait.
func (p *Placer) overbooking(service string) int {
	if p.holdTimes[service] == 0 {
		return 0
	}
	return overbooking
}

// knowsOthers reports whether all daemons that prefer a replica have reported their load recently.
// No reports come from a failure domain without daemons.
func (p *Placer) knowsOthers(s *replicaState, now time.Time) bool {
	if s.FailureDomain != p.FailureDomain {
		return !p.Divider.HasDaemons(s.FailureDomain, now) || now.Sub(p.peers[domainPrefix+s.FailureDomain].at) <= maxPeerLoadAge
	}
	return p.knowsAll(s.PreferredBy, now)
}

// predict returns the predicted time to the first token of a request.
func (p *Placer) predict(s *replicaState, load estimatedLoad, promptTokens int, pace float64) time.Duration {
	atUsualPace := p.corrected(s.Service, s.Engine.TimeToFirstToken(load.requests, load.prefill, promptTokens))
	return time.Duration(pace*float64(atUsualPace)) + p.slotWait(s, load)
}

// slotWait predicts how long a request waits at a replica until a slot is free.
func (p *Placer) slotWait(s *replicaState, load estimatedLoad) time.Duration {
	ahead := load.requests + 1 - float64(s.Slots)
	if s.Engine == nil || ahead <= 0 {
		return 0
	}
	return time.Duration(ahead * float64(p.holdTimes[s.Service]) / float64(s.Slots))
}

// recordHold adjusts the average time for which a request of the service holds a slot.
func (p *Placer) recordHold(service string, held time.Duration) {
	if p.holdTimes == nil {
		p.holdTimes = map[string]time.Duration{}
	}
	average, ok := p.holdTimes[service]
	if !ok {
		average = held
	}
	p.holdTimes[service] = average + time.Duration(holdGain*float64(held-average))
}

// RecordEvent records a further event of a stream. The pauses between events show the pace of
// the replica.
func (pl Placement) RecordEvent(now time.Time) {
	p, s := pl.owner, pl.state
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.Engine == nil {
		return
	}
	if last := *pl.lastEvent; !last.IsZero() {
		expected := s.Engine.admissionInterval(float64(s.inFlight + s.others.Requests))
		s.pace.Record(p.servicePace(s.Service), now.Sub(last), expected, now)
	}
	*pl.lastEvent = now
}

// servicePace returns the average pace of the replicas of a service.
func (p *Placer) servicePace(service string) *pacer.Service {
	out := p.paces[service]
	if out == nil {
		if p.paces == nil {
			p.paces = map[string]*pacer.Service{}
		}
		out = &pacer.Service{}
		p.paces[service] = out
	}
	return out
}
