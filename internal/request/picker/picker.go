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
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// Candidate is a replica from the directory with its most recent load report.
type Candidate struct {
	Replica  *messenger.Replica
	Load     *messenger.Load
	LoadTime time.Time
	// Suspect is set if the replica has not sent a report for 6 s.
	Suspect bool
}

// Query holds the requirements of an attempt.
type Query struct {
	// Subject identifies the request in decision log lines.
	Subject string
	Target  identifier.Target
	// PrefixHash is the hash of the prompt prefix; 0 disables prefix affinity.
	PrefixHash uint64
	// Version restricts the choice to one model version; empty accepts any.
	Version string
	// Regions are the regions in which the request may run; nil means any.
	Regions matcher.Regions
	// Exclude lists servers that earlier attempts already tried.
	Exclude []*Server
}

// Choice is a picked server. It counts as one attempt in flight until Done,
// Unreachable or Release is called.
type Choice struct {
	*Server
	// Reason is the reason in the decision log line.
	Reason string
	pool   *pool
	picker *Picker
}

// Picker chooses replicas. Set its exported fields before the first Update.
type Picker struct {
	// VM, Region and FailureDomain locate this entry daemon.
	VM            string
	Region        string
	FailureDomain string
	// Config returns the configuration in force, whose evacuations apply, or nil if
	// there is none yet. Without it nothing is evacuated.
	Config func() *parser.Revision
	Log    *logger.Logger
	// Policy defaults to TwoChoices.
	Policy Policy
	// SubsetSize is the maximum number of replicas per target; 0 means
	// DefaultSubsetSize.
	SubsetSize int
	// Random is the source of random numbers; nil uses math/rand/v2.
	Random func() uint64
	// OnUpdate is called after each Update if not nil.
	OnUpdate func(now time.Time)

	mu      sync.Mutex
	servers map[serverKey]*Server
	// members holds the ready servers of each target.
	members map[identifier.Target][]*Server
	// returned holds when the evacuation of a failure domain ended.
	returned map[string]time.Time
	// restricted holds the restrictions of the last configuration that was applied.
	restricted atomic.Pointer[restrictions]
	// pools holds the pools of the last Update, so that Pick needs no lock.
	pools    atomic.Pointer[map[identifier.Target]*pool]
	prefixes prefixTable
	// rotation is the position of RoundRobin in the list of servers.
	rotation atomic.Uint64
}

// serverKey identifies a server. A restarted agent has a new incarnation.
type serverKey struct {
	vm          string
	incarnation string
}

// pool holds the servers of one target, sorted by distance.
type pool struct {
	servers []*Server
	// outside holds servers outside of the daemon's subset for requests that are
	// restricted to regions.
	outside []*Server
	// evacuated holds the servers in evacuated failure domains.
	evacuated []*Server
	// ends[d] is the number of servers at distance d or nearer, which is the end
	// of distance d in servers.
	ends [numDistances]int
	// ready is the number of ready replicas before subsetting.
	ready int
}

// Distance classes between this entry daemon and a replica.
const (
	distanceDomain = iota
	distanceRegion
	distanceRemote
	numDistances
)

// Update replaces the directory. Servers that remain in it keep their counters.
func (p *Picker) Update(candidates []Candidate, now time.Time) {
	p.applyConfiguration(now)
	p.mu.Lock()
	servers := make(map[serverKey]*Server, len(candidates))
	members := map[identifier.Target][]*Server{}
	for _, c := range candidates {
		s := p.updateServer(c, now)
		servers[serverKey{s.VM, s.Incarnation}] = s
		if c.Replica.GetState() != messenger.ReplicaState_REPLICA_STATE_READY {
			s.draining.Store(true)
			continue
		}
		for _, t := range targets(c.Replica) {
			members[t] = append(members[t], s)
		}
	}
	p.servers, p.members = servers, members
	p.rebuildPools()
	p.mu.Unlock()
	if p.OnUpdate != nil {
		p.OnUpdate(now)
	}
}

// rebuildPools builds the pools from members. The caller holds the lock.
func (p *Picker) rebuildPools() {
	pools := make(map[identifier.Target]*pool, len(p.members))
	for t, all := range p.members {
		pools[t] = p.newPool(all)
	}
	p.pools.Store(&pools)
}

// updateServer returns the server of a candidate with its state updated. It creates
// the server if it is new or its address has changed.
func (p *Picker) updateServer(c Candidate, now time.Time) *Server {
	r := c.Replica
	s := p.servers[serverKey{r.GetVm(), r.GetIncarnation()}]
	if s == nil || s.Address != r.GetAddress() {
		s = newServer(r, xxhash.Sum64String(r.GetVm()), p.distance(r))
		p.markServer(s, p.restricted.Load())
	}
	// A server that reported draining with its load stays excluded until the
	// directory has a newer record of it.
	old := s.replica.Swap(r)
	if r.GetSequence() > old.GetSequence() || r.GetState() != old.GetState() {
		s.draining.Store(false)
	}
	s.suspect.Store(c.Suspect)
	reportedAt := c.LoadTime
	if reportedAt.IsZero() {
		reportedAt = now
	}
	s.Report(c.Load, reportedAt)
	return s
}

func (p *Picker) distance(r *messenger.Replica) int {
	switch {
	case r.GetRegion() != p.Region:
		return distanceRemote
	case r.GetFailureDomain() != p.FailureDomain:
		return distanceRegion
	}
	return distanceDomain
}

// targets returns the targets that a replica serves: its service, or its model alone and
// with each adapter.
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

// newPool returns a pool with the subset of the servers that this daemon uses.
func (p *Picker) newPool(all []*Server) *pool {
	size := p.SubsetSize
	if size == 0 {
		size = DefaultSubsetSize
	}
	self := xxhash.Sum64String(p.VM)
	pl := &pool{ready: len(all)}
	usable := make([]*Server, 0, len(all))
	for _, s := range all {
		if s.evacuated.Load() {
			pl.evacuated = append(pl.evacuated, s)
		} else {
			usable = append(usable, s)
		}
	}
	pl.servers = selectSubset(self, usable, size)
	if r := p.restricted.Load(); r != nil && r.hasRegions {
		pl.outside = selectOutside(self, usable, pl.servers)
	}
	pl.setEnds()
	pl.setFallbackRate()
	return pl
}

func (pl *pool) setEnds() {
	for _, s := range pl.servers {
		for d := s.distance; d < numDistances; d++ {
			pl.ends[d]++
		}
	}
}

// setFallbackRate sets the rate of servers that have not reported one to the
// mean of the reported rates.
func (pl *pool) setFallbackRate() {
	sum, n := 0.0, 0
	for _, s := range pl.servers {
		if r := math.Float64frombits(s.rate.Load()); r > 0 {
			sum += r
			n++
		}
	}
	mean := 1.0
	if n > 0 {
		mean = sum / float64(n)
	}
	for _, s := range pl.servers {
		s.fallbackRate.Store(math.Float64bits(mean))
	}
}

// Pick chooses a server and counts an attempt in flight on it until Done,
// Unreachable or Release. It returns false if no server matches the query.
func (p *Picker) Pick(q *Query, now time.Time) (Choice, bool) {
	p.applyConfiguration(now)
	pl := p.pool(q.Target)
	if pl == nil || len(pl.servers) == 0 {
		p.logPick(q, nil, nil, "no replica is ready")
		return Choice{}, false
	}
	s, other, reason := p.choose(pl, q, now.UnixNano())
	p.logPick(q, s, other, reason)
	if s == nil {
		return Choice{}, false
	}
	s.inFlight.Add(1)
	return Choice{Server: s, Reason: reason, pool: pl, picker: p}, true
}

// Ready reports whether the target has a ready replica on which a request that is
// restricted to the regions may run.
func (p *Picker) Ready(t identifier.Target, regions matcher.Regions, now time.Time) bool {
	p.applyConfiguration(now)
	pl := p.pool(t)
	return pl != nil && len(pl.allowed(regions)) > 0
}

// Capacity returns the sum of the concurrency limits that this entry daemon
// applies to the servers of the target on which a request that is restricted to the
// regions may run, without draining servers.
func (p *Picker) Capacity(t identifier.Target, regions matcher.Regions, now time.Time) int {
	p.applyConfiguration(now)
	pl := p.pool(t)
	if pl == nil {
		return 0
	}
	return capacityOf(pl.allowed(regions), now)
}

// capacityOf returns the sum of the concurrency limits of servers that do not drain.
func capacityOf(servers []*Server, now time.Time) int {
	total := 0
	for _, s := range servers {
		if !s.draining.Load() {
			total += s.limitAt(now.UnixNano())
		}
	}
	return total
}

// Done ends the attempt and records its result; ok is false if the server
// failed.
func (c Choice) Done(ok bool, now time.Time) {
	c.inFlight.Add(-1)
	if c.recordResult(ok) {
		c.picker.ejectWithinLimit(c.pool, c.Server, now, "success rate is low")
	}
}

// Unreachable ends an attempt of which no byte could be sent, and ejects the
// server after a single such result. Waiting until its success rate is low would
// cost about ten failed requests, which use up the retry budget.
func (c Choice) Unreachable(now time.Time) {
	c.inFlight.Add(-1)
	c.recordResult(false)
	c.picker.ejectWithinLimit(c.pool, c.Server, now, "could not be reached")
}

// Release ends the attempt without recording a result.
func (c Choice) Release() { c.inFlight.Add(-1) }

// ejectWithinLimit ejects the server, unless more than a third of the pool would
// then be ejected.
func (p *Picker) ejectWithinLimit(pl *pool, s *Server, now time.Time, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ejected := 0
	for _, other := range pl.servers {
		if other.ejectedUntil.Load() > now.UnixNano() {
			ejected++
		}
	}
	if s.ejectedUntil.Load() > now.UnixNano() || 3*(ejected+1) > len(pl.servers) {
		return
	}
	s.eject(now)
	if p.Log != nil {
		logger.LogDecision(p.Log, logger.Decision{Kind: "eject", Subject: s.VM, Reason: reason})
	}
}

// pool returns the pool of a target, or nil.
func (p *Picker) pool(t identifier.Target) *pool {
	pools := p.pools.Load()
	if pools == nil {
		return nil
	}
	return (*pools)[t]
}

// random returns a random number in [0, n).
func (p *Picker) random(n int) int {
	if p.Random == nil {
		return rand.IntN(n)
	}
	return int(p.Random() % uint64(n))
}

// logPick logs a pick and its alternative. It does not allocate while info logging is
// disabled.
func (p *Picker) logPick(q *Query, s, other *Server, reason string) {
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

// Servers returns this entry daemon's subset of the target's servers.
func (p *Picker) Servers(t identifier.Target) []*Server {
	if pl := p.pool(t); pl != nil {
		return pl.servers
	}
	return nil
}
