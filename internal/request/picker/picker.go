// Package picker chooses the replica that runs an attempt.
package picker

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap/zapcore"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// Candidate is one replica of the directory with its last known load.
type Candidate struct {
	Replica  *messenger.Replica
	Load     *messenger.Load
	LoadTime time.Time
	// Suspect is set when the replica has not reported for 6 s.
	Suspect bool
}

// Query is what an attempt needs from a replica.
type Query struct {
	// Subject is the request, for the log.
	Subject string
	Target  identifier.Target
	// PrefixHash asks for prefix affinity; 0 turns it off.
	PrefixHash uint64
	// Version asks for one model version; empty accepts any.
	Version string
	// Exclude are servers that were tried before.
	Exclude []*Server
}

// Choice is a picked server. Its place is held until Done.
type Choice struct {
	*Server
	Reason string
	pool   *pool
	picker *Picker
}

// Picker chooses replicas. Set its exported fields before the first Update.
type Picker struct {
	// VM, Region and FailureDomain are those of this entry daemon.
	VM            string
	Region        string
	FailureDomain string
	Log           *logger.Logger
	// Policy is TwoChoices when nil.
	Policy Policy
	// SubsetSize bounds the replicas per target; 0 is DefaultSubset.
	SubsetSize int
	// Random is the source of random numbers; nil is the runtime's.
	Random func() uint64
	// Changed is called after each Update, if set.
	Changed func(now time.Time)

	mu       sync.Mutex
	servers  map[serverKey]*Server
	pools    atomic.Pointer[map[identifier.Target]*pool]
	prefixes prefixes
	turn     atomic.Uint64
}

type serverKey struct {
	vm          string
	incarnation string
}

// pool holds the servers of one target, nearest first.
type pool struct {
	servers []*Server
	// ends are the ends of the servers of the same failure domain, of the same
	// region, and of all.
	ends [distances]int
	// ready is the number of replicas before the subset was taken.
	ready int
}

// Distances between this entry daemon and a replica.
const (
	sameDomain = iota
	sameRegion
	elsewhere
	distances
)

// Update replaces the directory. Counters of servers that stay are kept.
func (p *Picker) Update(candidates []Candidate, now time.Time) {
	p.mu.Lock()
	servers := make(map[serverKey]*Server, len(candidates))
	members := map[identifier.Target][]*Server{}
	for _, c := range candidates {
		s := p.server(c, now)
		servers[serverKey{s.VM, s.Incarnation}] = s
		if c.Replica.GetState() != messenger.ReplicaState_REPLICA_STATE_READY {
			s.draining.Store(true)
			continue
		}
		for _, t := range targets(c.Replica) {
			members[t] = append(members[t], s)
		}
	}
	p.servers = servers
	pools := make(map[identifier.Target]*pool, len(members))
	for t, all := range members {
		pools[t] = p.newPool(all)
	}
	p.pools.Store(&pools)
	p.mu.Unlock()
	if p.Changed != nil {
		p.Changed(now)
	}
}

func (p *Picker) server(c Candidate, now time.Time) *Server {
	r := c.Replica
	s := p.servers[serverKey{r.GetVm(), r.GetIncarnation()}]
	if s == nil || s.Address != r.GetAddress() {
		s = newServer(r, xxhash.Sum64String(r.GetVm()), p.distance(r))
	}
	// A server that announced its drain with its load stays out until the
	// directory has a newer record of it.
	old := s.replica.Swap(r)
	if r.GetSequence() > old.GetSequence() || r.GetState() != old.GetState() {
		s.draining.Store(false)
	}
	s.suspect.Store(c.Suspect)
	at := c.LoadTime
	if at.IsZero() {
		at = now
	}
	s.Report(c.Load, at)
	return s
}

func (p *Picker) distance(r *messenger.Replica) int {
	switch {
	case r.GetRegion() != p.Region:
		return elsewhere
	case r.GetFailureDomain() != p.FailureDomain:
		return sameRegion
	}
	return sameDomain
}

func targets(r *messenger.Replica) []identifier.Target {
	if r.GetService() != "" {
		return []identifier.Target{{Service: r.GetService()}}
	}
	all := []identifier.Target{{Model: r.GetModel()}}
	for _, a := range r.GetAdapters() {
		all = append(all, identifier.Target{Model: r.GetModel(), Adapter: a})
	}
	return all
}

func (p *Picker) newPool(all []*Server) *pool {
	size := p.SubsetSize
	if size == 0 {
		size = DefaultSubset
	}
	l := &pool{ready: len(all), servers: subset(xxhash.Sum64String(p.VM), all, size)}
	l.setEnds()
	l.setFallbackRate()
	return l
}

func (l *pool) setEnds() {
	for _, s := range l.servers {
		for d := s.distance; d < distances; d++ {
			l.ends[d]++
		}
	}
}

// setFallbackRate gives servers that have not reported a rate the mean of the
// others.
func (l *pool) setFallbackRate() {
	sum, n := 0.0, 0
	for _, s := range l.servers {
		if r := math.Float64frombits(s.rate.Load()); r > 0 {
			sum += r
			n++
		}
	}
	mean := 1.0
	if n > 0 {
		mean = sum / float64(n)
	}
	for _, s := range l.servers {
		s.fallback.Store(math.Float64bits(mean))
	}
}

// Pick chooses a server and holds a place on it until Done. It reports false
// when no server fits.
func (p *Picker) Pick(q *Query, now time.Time) (Choice, bool) {
	l := p.pool(q.Target)
	if l == nil || len(l.servers) == 0 {
		p.log(q, nil, nil, "no replica is ready")
		return Choice{}, false
	}
	s, other, reason := p.choose(l, q, now.UnixNano())
	p.log(q, s, other, reason)
	if s == nil {
		return Choice{}, false
	}
	s.inFlight.Add(1)
	return Choice{Server: s, Reason: reason, pool: l, picker: p}, true
}

// Ready reports whether the target has a ready replica.
func (p *Picker) Ready(t identifier.Target) bool {
	l := p.pool(t)
	return l != nil && len(l.servers) > 0
}

// Capacity returns how many attempts the servers of the target may run at
// once for this entry daemon.
func (p *Picker) Capacity(t identifier.Target) int {
	l := p.pool(t)
	if l == nil {
		return 0
	}
	total := 0
	for _, s := range l.servers {
		if !s.draining.Load() {
			total += s.limit.Limit()
		}
	}
	return total
}

// Done gives the place back. Pass ok false when the server failed.
func (c Choice) Done(ok bool, now time.Time) {
	c.inFlight.Add(-1)
	if c.result(ok) {
		c.picker.tryEject(c.pool, c.Server, now, "success rate is low")
	}
}

// Unreachable gives the place back on a server to which no byte could be
// sent. One such result is enough to eject it: waiting for the success rate
// to fall cost ten requests and the retry budget when an agent was killed.
func (c Choice) Unreachable(now time.Time) {
	c.inFlight.Add(-1)
	c.result(false)
	c.picker.tryEject(c.pool, c.Server, now, "could not be reached")
}

// Release gives the place back without a result.
func (c Choice) Release() { c.inFlight.Add(-1) }

// tryEject ejects the server unless a third of the pool is ejected already.
func (p *Picker) tryEject(l *pool, s *Server, now time.Time, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ejected := 0
	for _, other := range l.servers {
		if other.ejected.Load() > now.UnixNano() {
			ejected++
		}
	}
	if s.ejected.Load() > now.UnixNano() || 3*(ejected+1) > len(l.servers) {
		return
	}
	s.eject(now)
	if p.Log != nil {
		logger.LogDecision(p.Log, logger.Decision{Kind: "eject", Subject: s.VM, Reason: reason})
	}
}

func (p *Picker) pool(t identifier.Target) *pool {
	pools := p.pools.Load()
	if pools == nil {
		return nil
	}
	return (*pools)[t]
}

func (p *Picker) random(n int) int {
	if p.Random == nil {
		return rand.IntN(n)
	}
	return int(p.Random() % uint64(n))
}

// log is kept free of allocation while decision lines are off.
func (p *Picker) log(q *Query, s, other *Server, reason string) {
	if p.Log == nil || !p.Log.Core().Enabled(zapcore.InfoLevel) {
		return
	}
	d := logger.Decision{Kind: "pick", Subject: q.Subject, Reason: reason}
	if s != nil {
		d.Chosen = s.VM
	}
	if other != nil {
		d.Alternatives = []string{other.VM}
	}
	logger.LogDecision(p.Log, d)
}

// Servers returns the servers of the target that this entry daemon uses.
func (p *Picker) Servers(t identifier.Target) []*Server {
	if l := p.pool(t); l != nil {
		return l.servers
	}
	return nil
}
