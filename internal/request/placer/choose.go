package placer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// usable counts the replicas that could run the request if they had room.
func (p *Placer) usable(q Query, now time.Time) int {
	n := 0
	for _, s := range p.services[q.Service] {
		if _, ok := s.fits(q, now); ok {
			n++
		}
	}
	return n
}

func (s *state) fits(q Query, now time.Time) (version int, ok bool) {
	if s.Draining {
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
	if version == s.refuted.version && q.Model == s.refuted.model && now.Before(s.refuted.until) {
		return 0, false
	}
	return version, version > 0 && version >= q.MinVersion
}

// choose takes the replica with the lowest score. Equal scores are decided at
// random, so that daemons with the same view do not all choose the same one.
func (p *Placer) choose(q Query, waited time.Duration, now time.Time) (Placement, bool) {
	var best *state
	var placed Placement
	bestScore := math.Inf(1)
	for _, s := range p.services[q.Service] {
		version, ok := s.fits(q, now)
		if !ok || now.Before(s.full) {
			continue
		}
		load := p.load(s, now)
		if int(load.requests) >= s.Places+q.Excess {
			continue
		}
		predicted := p.biased(q.Service, s.Engine.FirstToken(load.requests, load.reading, q.Prompt))
		if q.Target > 0 && s.Engine != nil && waited+predicted+placingMargin > q.Target && load.requests > 0 {
			continue
		}
		score := p.score(s, load, now)
		if score < bestScore {
			best, bestScore = s, score
			placed = Placement{
				Replica: s.Replica, Load: load.requests, LoadAge: load.age, Predicted: predicted, Version: version,
				Waited: waited, placed: now, owner: p, state: s,
			}
		}
	}
	if best == nil {
		return Placement{}, false
	}
	prompt := best.Engine.reading(q.Prompt)
	placed.prompt = &prompt
	best.inFlight++
	best.reading += prompt
	best.remember(prompt, now)
	return placed, true
}

// seenLoad is the load on a replica, of all daemons.
type seenLoad struct {
	requests float64
	reading  time.Duration
	age      time.Duration
}

func (p *Placer) load(s *state, now time.Time) seenLoad {
	out := seenLoad{requests: float64(s.inFlight), reading: s.reading}
	if s.Engine != nil && p.isStranger(s) {
		requests, reading := s.freshLoad(now)
		out.requests += requests
		out.reading += reading
	}
	stranger := min(strangerLikeness, maxStrangers/float64(max(len(p.peers), 1)))
	for vm, peer := range p.peers {
		since := now.Sub(peer.at)
		if since > peerLoadAge {
			continue
		}
		told := peer.replicas[s.ID]
		requests, reading := s.placedSince(peer.at)
		likeness := stranger
		if slices.Contains(s.Sharers, vm) {
			likeness = 1
		}
		out.requests += float64(told.Requests) + likeness*float64(requests)
		out.reading += time.Duration(told.ReadingMs)*time.Millisecond + time.Duration(likeness*float64(reading))
		out.age = max(out.age, since)
	}
	return out
}

// placedSince sums up what this daemon placed on the replica after a time. The
// daemon that sent its load at that time has probably placed as much since: all
// see the same replica become free. On tmfpa scale-1 seven daemons sent 16
// requests each to the first replica that had loaded new weights.
func (s *state) placedSince(at time.Time) (requests int, reading time.Duration) {
	for i := len(s.recent) - 1; i >= 0 && s.recent[i].at.After(at); i-- {
		requests++
		reading += s.recent[i].reading
	}
	return requests, reading
}

// remember notes a placement and forgets those that no message is older than.
func (s *state) remember(reading time.Duration, now time.Time) {
	keep := 0
	for keep < len(s.recent) && now.Sub(s.recent[keep].at) > peerLoadAge {
		keep++
	}
	s.recent = append(s.recent[keep:], placement{at: now, reading: reading})
}

func (p *Placer) score(s *state, load seenLoad, now time.Time) float64 {
	score := load.requests + failurePenalty*s.failureRate(now) + randomWeight*p.random()
	score += float64(load.reading) / float64(readingPerRequest)
	switch {
	case s.FailureDomain != p.FailureDomain:
		score += distancePenalty
	case p.isStranger(s):
		score += strangerPenalty
	}
	if now.Before(s.unreachable) {
		score += unreachablePenalty
	}
	return score
}

// isStranger tells whether other daemons prefer the replica.
func (p *Placer) isStranger(s *state) bool {
	return s.FailureDomain != p.FailureDomain || len(s.Sharers) > 0 && !slices.Contains(s.Sharers, p.VM)
}

// freshLoad is the load that is assumed on a replica that has just become usable.
func (s *state) freshLoad(now time.Time) (requests float64, reading time.Duration) {
	left := max(0, 1-float64(now.Sub(s.usable))/float64(freshFor))
	return left * freshRequests, time.Duration(left * freshRequests * float64(freshReading))
}

func (s *state) failureRate(now time.Time) float64 {
	return s.failures * math.Exp2(-float64(now.Sub(s.failuresAt))/float64(failureHalfLife))
}

func (p *Placer) random() float64 {
	if p.Random != nil {
		return p.Random()
	}
	return rand.Float64()
}
