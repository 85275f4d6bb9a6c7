package placer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/shared/ramper"
)

// countUsable counts the replicas that could run the request by a time if they had a free
// slot.
func (p *Placer) countUsable(q Query, now, by time.Time) int {
	n := 0
	for _, s := range p.services[q.Service] {
		if _, ok := s.eligible(q, now); ok && !s.heldUntil.After(by) && !s.withoutShare(by) {
			n++
		}
	}
	return n
}

// eligible reports whether the replica may run the request regardless of its load,
// and the version of the model that it serves.
func (s *replicaState) eligible(q Query, now time.Time) (version int, ok bool) {
	if s.Draining || s.evacuated || !q.Regions.Allows(s.Region) {
		return 0, false
	}
	for _, id := range q.Exclude {
		if id == s.ID {
			return 0, false
		}
	}
	if q.Model == "" || s.Engine == nil {
		return 0, true
	}
	version = s.Versions[q.Model]
	if version == s.invalid.version && q.Model == s.invalid.model && now.Before(s.invalid.until) {
		return 0, false
	}
	return version, version > 0 && version >= q.MinVersion
}

// InvalidateVersion records that the replica at an address does not serve the version
// of a model that it is listed with. Later lists may still contain the version,
// because registrations lag; it is ignored for invalidationTime.
func (p *Placer) InvalidateVersion(address, model string, version int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.services {
		for _, s := range list {
			if s.Address == address {
				s.invalid = invalidVersion{model: model, version: version, until: now.Add(invalidationTime)}
			}
		}
	}
}

// invalidVersion is a version that a replica is listed with but does not serve.
type invalidVersion struct {
	model   string
	version int
	until   time.Time
}

// choose reserves a slot on the eligible replica with the lowest score. Scores
// have a random part, so that daemons with the same view of the load do not all
// choose the same replica. A busy replica is skipped if the predicted time to the
// first token misses the target.
func (p *Placer) choose(q Query, waited time.Duration, now time.Time) (Placement, bool) {
	p.expirePeers(now)
	if p.suspended {
		return Placement{}, false
	}
	q.away = p.runsAway(q, now)
	var best *replicaState
	var placed Placement
	bestScore := math.Inf(1)
	for _, s := range p.services[q.Service] {
		version, ok := s.eligible(q, now)
		if !ok || now.Before(s.fullUntil) || now.Before(s.heldUntil) || !p.mayTry(s, now) {
			continue
		}
		cold := p.isCold(s, now)
		if cold && !p.Warmer.Has(s.ID, now) {
			continue
		}
		load := p.load(s, now)
		if !p.hasRoom(s, load, q, now) {
			continue
		}
		pace := s.pace.Pace(p.servicePace(s.Service), now)
		predicted := p.predict(s, load, q.PromptTokens, pace)
		if q.TargetLatency > 0 && s.Engine != nil && q.elapsed(waited)+predicted+placementMargin > q.TargetLatency && load.requests > 0 {
			continue
		}
		score := p.score(s, load, now) + pacePenalty*(pace-1)
		if cold {
			score += q.coldPenalty()
		}
		if score < bestScore {
			best, bestScore = s, score
			placed = Placement{
				Load: load.requests, Predicted: predicted, Version: version,
				Waited: waited, placed: now, owner: p, state: s,
			}
		}
	}
	if best == nil {
		return Placement{}, false
	}
	token, ok := p.takeToken(best, &placed, now)
	if !ok {
		return Placement{}, false
	}
	placed.Replica, placed.LoadAge = best.Replica, p.loadAge(now)
	prefill := best.Engine.prefillTime(q.PromptTokens)
	placed.prefill, placed.lastEvent = &prefill, new(time.Time)
	best.inFlight++
	best.prefill += prefill
	placed.record = best.recordPlacement(prefill, now)
	placed.record.token = token
	p.recordRate(q, now)
	if best.onTrial {
		p.beginTrial(best, now)
	}
	return placed, true
}

// elapsed returns the part of the target latency that the wait has used up. A returning
// request is late already: the target then limits only the load of its replica.
func (q Query) elapsed(waited time.Duration) time.Duration {
	if q.Class.Returning {
		return 0
	}
	return waited
}

// estimatedLoad is the load on a replica from all daemons.
type estimatedLoad struct {
	requests float64
	prefill  time.Duration
}

// load estimates the load on a replica from this daemon, the reports of its peers,
// and what the peers are assumed to have placed since.
func (p *Placer) load(s *replicaState, now time.Time) estimatedLoad {
	out := estimatedLoad{requests: float64(s.inFlight), prefill: s.prefill}
	if s.Engine != nil && p.preferredByOthers(s) {
		requests, prefill := s.initialLoad(now)
		out.requests += requests
		out.prefill += prefill
	}
	out.requests += float64(s.others.Requests)
	out.prefill += time.Duration(s.others.PrefillMs) * time.Millisecond
	if n := len(s.recent); n == 0 || now.Sub(s.recent[n-1].at) > maxPeerLoadAge || p.isCold(s, now) {
		// The peers may send few requests to a cold replica.
		return out
	}
	peerShare := min(nonPreferringShare, maxNonPreferringShares/float64(max(len(p.peers), 1)))
	// Whole numbers are added, so that the sum does not depend on the order of the peers.
	ofPreferring, ofOthers := 0, 0
	for vm, peer := range p.peers {
		requests, prefill := s.placedSince(peer.at)
		if requests == 0 {
			continue
		}
		if slices.Contains(s.PreferredBy, vm) {
			ofPreferring += requests
			out.prefill += prefill
			continue
		}
		ofOthers += requests
		out.prefill += time.Duration(peerShare * float64(prefill))
	}
	out.requests += float64(ofPreferring) + peerShare*float64(ofOthers)
	return out
}

// loadAge returns the age of the oldest peer report.
func (p *Placer) loadAge(now time.Time) time.Duration {
	var age time.Duration
	for _, peer := range p.peers {
		age = max(age, now.Sub(peer.at))
	}
	return age
}

// placedSince returns the number and the total prefill time of the requests that this
// daemon placed on the replica after a time. A peer whose last report is from that
// time is assumed to have placed as many since, because all daemons see the same
// replica become free. Without this assumption, seven daemons sent 16 requests each to
// the first replica that had loaded new weights.
func (s *replicaState) placedSince(at time.Time) (requests int, prefill time.Duration) {
	for i := len(s.recent) - 1; i >= 0 && s.recent[i].at.After(at); i-- {
		if r := s.recent[i]; !r.ended {
			requests++
			prefill += r.prefill
		}
	}
	return requests, prefill
}

// recordPlacement adds a placement and drops those older than any peer report that
// still counts.
func (s *replicaState) recordPlacement(prefill time.Duration, now time.Time) *placementRecord {
	keep := 0
	for keep < len(s.recent) && now.Sub(s.recent[keep].at) > maxPeerLoadAge {
		keep++
	}
	r := &placementRecord{at: now, prefill: prefill}
	s.recent = append(s.recent[keep:], r)
	return r
}

// score returns the score of a replica, which is measured in requests in progress.
// The replica with the lowest score is chosen.
func (p *Placer) score(s *replicaState, load estimatedLoad, now time.Time) float64 {
	score := load.requests + failurePenalty*s.failureRate(now) + randomWeight*p.random()
	score += float64(load.prefill) / float64(prefillPerRequest)
	switch {
	case s.FailureDomain != p.FailureDomain:
		score += distancePenalty
	case p.preferredByOthers(s):
		score += nonPreferredPenalty
	}
	if now.Before(s.unreachableUntil) {
		score += unreachablePenalty
	}
	return score
}

// preferredByOthers reports whether the replica is in another failure domain or
// only other daemons prefer it.
func (p *Placer) preferredByOthers(s *replicaState) bool {
	return s.FailureDomain != p.FailureDomain || len(s.PreferredBy) > 0 && !slices.Contains(s.PreferredBy, p.VM)
}

// initialLoad returns the load that is assumed on a replica that has become usable
// recently. It falls to 0 linearly.
func (s *replicaState) initialLoad(now time.Time) (requests float64, prefill time.Duration) {
	left := ramper.Left(now.Sub(s.usableSince), initialLoadTime)
	return left * initialRequests, time.Duration(left * initialRequests * float64(initialPrefill))
}

func (s *replicaState) failureRate(now time.Time) float64 {
	return s.failureAverage * math.Exp2(-float64(now.Sub(s.failureAverageAt))/float64(failureHalfLife))
}

func (p *Placer) random() float64 {
	if p.Random != nil {
		return p.Random()
	}
	return rand.Float64()
}
