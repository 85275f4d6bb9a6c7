package picker

import (
	"math"
	"math/bits"
)

// Policy is a server selection algorithm: TwoChoices, or one of the baselines
// that benchmarks compare it with.
type Policy interface {
	policy()
}

// TwoChoices is the production policy: prefix affinity with bounded load, or
// else the cheaper of two random servers, with a preference for near ones.
type TwoChoices struct{}

// Random picks any usable server.
type Random struct{}

// RoundRobin picks usable servers in rotation.
type RoundRobin struct{}

// LeastReported picks the server with the shortest reported queue.
type LeastReported struct{}

// LinearScan compares all usable servers and picks the one with the lowest cost.
type LinearScan struct{}

func (TwoChoices) policy()    {}
func (Random) policy()        {}
func (RoundRobin) policy()    {}
func (LeastReported) policy() {}
func (LinearScan) policy()    {}

// pass selects the servers that a search considers. Each pass relaxes the
// conditions and runs only if the previous pass found no server.
type pass int

const (
	// passBelowLimit considers healthy servers below their concurrency limit.
	passBelowLimit pass = iota
	// passHealthy considers all healthy servers.
	passHealthy
	// passAny also considers suspect and ejected servers.
	passAny
	numPasses
)

const (
	// samplesPerServer is the number of random samples per wanted server before
	// the servers are scanned sequentially.
	samplesPerServer = 4
	// maxScan is the maximum number of servers that a sequential scan or
	// prefix affinity examines. It bounds the time of a pick in a large subset.
	maxScan = 128
	// maxAffinityLoadRatio is the ratio of a server's load to the mean above
	// which requests of a prefix go to the next server in rendezvous order.
	maxAffinityLoadRatio = 1.25
	// minReportedMean is the lowest mean of reported requests that the load
	// bound is computed from, so that nearly idle servers keep their prefixes.
	minReportedMean = 1
	// maxAffinityCostRatio is the ratio of a server's cost to the mean above
	// which it gets no prefix, so that prefixes avoid much slower servers.
	maxAffinityCostRatio = 2
	// farCostFactor is the factor by which the cost of a near server must exceed
	// that of a farther one for the farther one to be preferred.
	farCostFactor = 2
)

// Reasons in decision log lines.
const (
	reasonAffinity   = "prefix affinity"
	reasonTwoChoices = "cheaper of two random choices"
	reasonNearLoaded = "near servers are loaded"
	reasonOutside    = "the subset has no server in the regions of the request"
	reasonAtLimit    = "all servers are at their concurrency limit"
	reasonUnhealthy  = "no healthy server, a suspect or ejected one is tried"
	reasonBaseline   = "baseline policy"
	reasonNone       = "no server fits"
)

// choose selects a server by the policy. other is a server that was considered too, or
// nil.
func (p *Picker) choose(pl *pool, q *Query, now int64) (s, other *Server, reason string) {
	switch p.Policy.(type) {
	case Random:
		s, _ = p.sample(pl.servers, q, now, passHealthy)
		return s, nil, reasonBaseline
	case RoundRobin:
		return p.nextInRotation(pl, q, now), nil, reasonBaseline
	case LeastReported:
		return leastReported(pl, q, now), nil, reasonBaseline
	case LinearScan:
		return cheapest(pl, q, now), nil, reasonBaseline
	}
	return p.twoChoices(pl, q, now)
}

// twoChoices implements TwoChoices.
func (p *Picker) twoChoices(pl *pool, q *Query, now int64) (s, other *Server, reason string) {
	if q.PrefixHash != 0 && len(pl.servers) <= maxScan {
		if s = pl.affinityServer(q, p.prefixes.holder(q.PrefixHash), now); s != nil {
			if far := p.cheaperFarther(pl, q, now, s); far != nil {
				return far, s, reasonNearLoaded
			}
			return s, nil, reasonAffinity
		}
	}
	for pass := passBelowLimit; pass < numPasses; pass++ {
		s, other, reason = p.nearest(pl, q, now, pass)
		if s == nil {
			continue
		}
		switch pass {
		case passHealthy:
			reason = reasonAtLimit
		case passAny:
			reason = reasonUnhealthy
		}
		return s, other, reason
	}
	return nil, nil, reasonNone
}

// cheaperFarther samples the servers that are farther away than s. It returns one
// that is cheaper by farCostFactor, which makes up for the loss of the cached
// prefix, or nil.
func (p *Picker) cheaperFarther(pl *pool, q *Query, now int64, s *Server) *Server {
	a, b := p.sample(pl.servers[pl.ends[s.distance]:], q, now, passBelowLimit)
	if b != nil && b.cost(now) < a.cost(now) {
		a = b
	}
	if a != nil && farCostFactor*a.cost(now) < s.cost(now) {
		return a
	}
	return nil
}

// nearest samples two servers at each distance and keeps the cheaper one. It
// returns the nearest of these, unless a farther one is cheaper by
// farCostFactor.
func (p *Picker) nearest(pl *pool, q *Query, now int64, pass pass) (best, other *Server, reason string) {
	reason = reasonTwoChoices
	start := 0
	for _, end := range pl.ends {
		a, b := p.sample(pl.servers[start:end], q, now, pass)
		start = end
		if a == nil {
			continue
		}
		if b != nil && b.cost(now) < a.cost(now) {
			a, b = b, a
		}
		switch {
		case best == nil:
			best, other = a, b
		case farCostFactor*a.cost(now) < best.cost(now):
			best, other, reason = a, best, reasonNearLoaded
		}
	}
	if best == nil && q.Regions != nil {
		if best, other = p.sample(pl.outside, q, now, pass); best != nil {
			return best, other, reasonOutside
		}
	}
	return best, other, reason
}

// sample returns up to two distinct usable servers chosen at random.
func (p *Picker) sample(servers []*Server, q *Query, now int64, pass pass) (a, b *Server) {
	n := len(servers)
	if n == 0 {
		return nil, nil
	}
	for range 2 * samplesPerServer {
		s := servers[p.random(n)]
		if s == a || !s.usable(q, now, pass) {
			continue
		}
		if a != nil {
			return a, s
		}
		a = s
	}
	if a != nil {
		return a, nil
	}
	start := p.random(n)
	for i := range min(n, maxScan) {
		s := servers[(start+i)%n]
		if s.usable(q, now, pass) {
			return s, nil
		}
	}
	return nil, nil
}

// affinityServer returns the server for the prefix at the nearest distance that
// has a server within the load bound: the server known to cache the prefix if it
// is within the bound, or else the first in rendezvous order.
func (pl *pool) affinityServer(q *Query, holder *Server, now int64) *Server {
	start := 0
	for _, end := range pl.ends {
		if s := affinityServerAmong(pl.servers[start:end], q, holder, now); s != nil {
			return s
		}
		start = end
	}
	return nil
}

// affinityServerAmong returns the server for the prefix among servers at one distance,
// or nil if none is within the load bound.
func affinityServerAmong(servers []*Server, q *Query, holder *Server, now int64) *Server {
	total, reported, cost, n := int64(1), 0.0, 0.0, int64(0)
	for _, s := range servers {
		if s.usable(q, now, passBelowLimit) {
			total += s.inFlight.Load()
			reported += s.reportedLoad(now)
			cost += s.cost(now)
			n++
		}
	}
	if n == 0 {
		return nil
	}
	// The bound is rounded down, because rounding up would exceed it by far at a
	// few requests per server. A minimum of one above the mean ensures that some
	// server is always within the bound.
	maxInFlight := max(int64(maxAffinityLoadRatio*float64(total)/float64(n)), total/n+1)
	// The in-flight requests of this entry daemon are only a part of the load,
	// and one above their mean may be far above the bound. The load that the
	// servers report is therefore bounded as well.
	maxReported := maxAffinityLoadRatio * max(reported/float64(n), minReportedMean)
	maxCost := maxAffinityCostRatio * cost / float64(n)
	var best *Server
	var bestScore uint64
	for _, s := range servers {
		score := rendezvousScore(q.PrefixHash, s.hash)
		if s == holder {
			score = math.MaxUint64
		}
		if best != nil && score <= bestScore {
			continue
		}
		if s.usable(q, now, passBelowLimit) && s.inFlight.Load() < maxInFlight &&
			s.reportedLoad(now) <= maxReported && s.cost(now) <= maxCost {
			best, bestScore = s, score
		}
	}
	return best
}

// rendezvousScore returns the rendezvous score of two hashes: a hash of the pair.
func rendezvousScore(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xbf58476d1ce4e5b9)
	x := hi ^ lo
	x ^= x >> 32
	x *= 0x94d049bb133111eb
	return x ^ x>>29
}

// nextInRotation implements RoundRobin.
func (p *Picker) nextInRotation(pl *pool, q *Query, now int64) *Server {
	for range pl.servers {
		s := pl.servers[p.rotation.Add(1)%uint64(len(pl.servers))]
		if s.usable(q, now, passHealthy) {
			return s
		}
	}
	return nil
}

// leastReported implements LeastReported.
func leastReported(pl *pool, q *Query, now int64) *Server {
	var best *Server
	for _, s := range pl.servers {
		if s.usable(q, now, passHealthy) && (best == nil || s.queued.Load() < best.queued.Load()) {
			best = s
		}
	}
	return best
}

// cheapest implements LinearScan.
func cheapest(pl *pool, q *Query, now int64) *Server {
	var best *Server
	bestCost := math.Inf(1)
	for _, s := range pl.servers {
		if !s.usable(q, now, passHealthy) {
			continue
		}
		if c := s.cost(now); c < bestCost {
			best, bestCost = s, c
		}
	}
	return best
}
