package picker

import (
	"math"
	"math/bits"
)

// Policy is a way to choose: TwoChoices, or one of the baselines that
// benchmarks compare it with.
type Policy interface {
	policy()
}

// TwoChoices is the policy of production: prefix affinity with bounded load,
// else the cheaper of two random choices, near servers first.
type TwoChoices struct{}

// Random picks any usable server.
type Random struct{}

// RoundRobin picks servers in turn.
type RoundRobin struct{}

// LeastReported picks the server with the shortest reported queue.
type LeastReported struct{}

// LinearScan picks the cheapest server of all.
type LinearScan struct{}

func (TwoChoices) policy()    {}
func (Random) policy()        {}
func (RoundRobin) policy()    {}
func (LeastReported) policy() {}
func (LinearScan) policy()    {}

// pass says which servers are considered. Later passes are tried only when
// the earlier ones find nothing.
type pass int

const (
	// passFree considers healthy servers below their concurrency limit.
	passFree pass = iota
	// passHealthy considers all healthy servers.
	passHealthy
	// passAny also considers suspect and ejected servers.
	passAny
	passes
)

const (
	// draws is the number of random draws for one usable server before the
	// servers are searched in order.
	draws = 4
	// searched bounds that search, so that a pick stays short when the subset
	// is large.
	searched = 128
	// affinityBound is the load relative to the mean above which a prefix
	// overflows to the next server.
	affinityBound = 1.25
	// leastReportedMean is the mean number of reported requests below which
	// the bound does not fall, so that idle servers do not lose their prefixes.
	leastReportedMean = 1
	// affinityCost keeps prefixes away from servers that are much slower than
	// the mean.
	affinityCost = 2
	// farCost is how many times cheaper a farther server has to be.
	farCost = 2
)

// Reasons in decision lines.
const (
	reasonAffinity = "prefix affinity"
	reasonChoices  = "cheaper of two random choices"
	reasonFar      = "near servers are loaded"
	reasonFull     = "all servers are at their concurrency limit"
	reasonUnsure   = "no healthy server, a suspect or ejected one is tried"
	reasonBaseline = "baseline policy"
	reasonNone     = "no server fits"
)

func (p *Picker) choose(l *pool, q *Query, now int64) (s, other *Server, reason string) {
	switch p.Policy.(type) {
	case Random:
		s, _ = p.draw(l.servers, q, now, passHealthy)
		return s, nil, reasonBaseline
	case RoundRobin:
		return p.nextInTurn(l, q, now), nil, reasonBaseline
	case LeastReported:
		return leastReported(l, q, now), nil, reasonBaseline
	case LinearScan:
		return cheapest(l, q, now), nil, reasonBaseline
	}
	return p.twoChoices(l, q, now)
}

func (p *Picker) twoChoices(l *pool, q *Query, now int64) (s, other *Server, reason string) {
	if q.PrefixHash != 0 && len(l.servers) <= searched {
		if s = l.affine(q, p.prefixes.holder(q.PrefixHash), now); s != nil {
			if far := p.clearlyCheaper(l, q, now, s); far != nil {
				return far, s, reasonFar
			}
			return s, nil, reasonAffinity
		}
	}
	for pass := passFree; pass < passes; pass++ {
		s, other, reason = p.nearest(l, q, now, pass)
		if s == nil {
			continue
		}
		switch pass {
		case passHealthy:
			reason = reasonFull
		case passAny:
			reason = reasonUnsure
		}
		return s, other, reason
	}
	return nil, nil, reasonNone
}

// clearlyCheaper looks for a farther server that is worth the loss of the
// cached prefix.
func (p *Picker) clearlyCheaper(l *pool, q *Query, now int64, s *Server) *Server {
	a, b := p.draw(l.servers[l.ends[s.distance]:], q, now, passFree)
	if b != nil && b.cost(now) < a.cost(now) {
		a = b
	}
	if a != nil && farCost*a.cost(now) < s.cost(now) {
		return a
	}
	return nil
}

// nearest makes two random choices at each distance and takes the nearest,
// unless a farther one is clearly cheaper.
func (p *Picker) nearest(l *pool, q *Query, now int64, pass pass) (best, other *Server, reason string) {
	reason = reasonChoices
	start := 0
	for _, end := range l.ends {
		a, b := p.draw(l.servers[start:end], q, now, pass)
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
		case farCost*a.cost(now) < best.cost(now):
			best, other, reason = a, best, reasonFar
		}
	}
	return best, other, reason
}

// draw returns up to two different usable servers at random.
func (p *Picker) draw(servers []*Server, q *Query, now int64, pass pass) (a, b *Server) {
	n := len(servers)
	if n == 0 {
		return nil, nil
	}
	for range 2 * draws {
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
	for i := range min(n, searched) {
		s := servers[(start+i)%n]
		if s.usable(q, now, pass) {
			return s, nil
		}
	}
	return nil, nil
}

// affine returns the server of the prefix among the nearest servers whose load
// is within the bound: the holder if it is one of them, else by rendezvous
// hashing.
func (l *pool) affine(q *Query, holder *Server, now int64) *Server {
	start := 0
	for _, end := range l.ends {
		if s := affineAmong(l.servers[start:end], q, holder, now); s != nil {
			return s
		}
		start = end
	}
	return nil
}

func affineAmong(servers []*Server, q *Query, holder *Server, now int64) *Server {
	total, reported, cost, n := int64(1), 0.0, 0.0, int64(0)
	for _, s := range servers {
		if s.usable(q, now, passFree) {
			total += s.inFlight.Load()
			reported += s.reportedLoad(now)
			cost += s.cost(now)
			n++
		}
	}
	if n == 0 {
		return nil
	}
	// Rounding the bound up would allow much more than it at a few requests
	// per server. One above the mean always leaves a server within the bound.
	most := max(int64(affinityBound*float64(total)/float64(n)), total/n+1)
	// The requests of this entry daemon are a part of the load only, and one
	// above their mean may be far above the bound.
	mostReported := affinityBound * max(reported/float64(n), leastReportedMean)
	mostCost := affinityCost * cost / float64(n)
	var best *Server
	var bestScore uint64
	for _, s := range servers {
		score := mix(q.PrefixHash, s.hash)
		if s == holder {
			score = math.MaxUint64
		}
		if best != nil && score <= bestScore {
			continue
		}
		if s.usable(q, now, passFree) && s.inFlight.Load() < most &&
			s.reportedLoad(now) <= mostReported && s.cost(now) <= mostCost {
			best, bestScore = s, score
		}
	}
	return best
}

// mix is the rendezvous score of two hashes.
func mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xbf58476d1ce4e5b9)
	x := hi ^ lo
	x ^= x >> 32
	x *= 0x94d049bb133111eb
	return x ^ x>>29
}

func (p *Picker) nextInTurn(l *pool, q *Query, now int64) *Server {
	for range l.servers {
		s := l.servers[p.turn.Add(1)%uint64(len(l.servers))]
		if s.usable(q, now, passHealthy) {
			return s
		}
	}
	return nil
}

func leastReported(l *pool, q *Query, now int64) *Server {
	var best *Server
	for _, s := range l.servers {
		if s.usable(q, now, passHealthy) && (best == nil || s.queued.Load() < best.queued.Load()) {
			best = s
		}
	}
	return best
}

func cheapest(l *pool, q *Query, now int64) *Server {
	var best *Server
	bestCost := math.Inf(1)
	for _, s := range l.servers {
		if !s.usable(q, now, passHealthy) {
			continue
		}
		if c := s.cost(now); c < bestCost {
			best, bestCost = s, c
		}
	}
	return best
}
