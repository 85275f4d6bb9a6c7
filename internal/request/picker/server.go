package picker

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/admitter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// staleLoad is the age at which a reported queue says nothing any more;
	// agents report at least every 2 s.
	staleLoad = 6 * time.Second
	// reportedTime averages the reported requests, because single reports vary
	// much more than the load does.
	reportedTime = 2 * time.Second
	// successWeight is the weight of one result in the moving success rate.
	successWeight = 0.1
	// leastSuccess keeps a failing server's cost finite.
	leastSuccess = 0.05
	// ejectBelow and ejectSamples decide when a server is ejected.
	ejectBelow   = 0.5
	ejectSamples = 5
	ejectFor     = 5 * time.Second
	ejectAtMost  = time.Minute
)

// Server is one backend server as this entry daemon sees it. It lives as long
// as its incarnation is in the directory.
type Server struct {
	VM          string
	Address     string
	Incarnation string

	hash     uint64
	distance int
	replica  atomic.Pointer[messenger.Replica]
	suspect  atomic.Bool
	draining atomic.Bool

	inFlight atomic.Int64
	queued   atomic.Int64
	reported atomic.Uint64
	loadAt   atomic.Int64
	rate     atomic.Uint64
	fallback atomic.Uint64
	success  atomic.Uint64
	ejected  atomic.Int64
	limit    *admitter.Concurrency

	mu        sync.Mutex
	sequence  uint64
	samples   int
	ejections int
}

func newServer(r *messenger.Replica, hash uint64, distance int) *Server {
	s := &Server{
		VM:          r.GetVm(),
		Address:     r.GetAddress(),
		Incarnation: r.GetIncarnation(),
		hash:        hash,
		distance:    distance,
		limit:       admitter.NewConcurrency(),
	}
	s.success.Store(math.Float64bits(1))
	s.fallback.Store(math.Float64bits(1))
	return s
}

// Replica returns the server's entry of the directory.
func (s *Server) Replica() *messenger.Replica { return s.replica.Load() }

// InFlight returns the number of attempts of this entry daemon.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Report takes a load that the server reported itself. An older one is
// ignored.
func (s *Server) Report(load *messenger.Load, now time.Time) {
	if load == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if load.GetSequence() < s.sequence {
		return
	}
	s.sequence = load.GetSequence()
	s.queued.Store(int64(load.GetQueued()))
	s.averageReported(float64(load.GetQueued()+load.GetRunning()), now)
	s.rate.Store(math.Float64bits(load.GetRate()))
	s.draining.Store(load.GetDraining())
	s.loadAt.Store(now.UnixNano())
}

// averageReported follows the reported requests with a time constant of
// reportedTime, whatever the interval of the reports is.
func (s *Server) averageReported(requests float64, now time.Time) {
	old := math.Float64frombits(s.reported.Load())
	age := now.Sub(time.Unix(0, s.loadAt.Load()))
	if age > staleLoad {
		old = requests
	}
	weight := 1 - math.Exp(-max(age, 0).Seconds()/reportedTime.Seconds())
	s.reported.Store(math.Float64bits(old + weight*(requests-old)))
}

// FirstToken takes the delay of a first token.
func (s *Server) FirstToken(delay time.Duration, now time.Time) {
	s.limit.Observe(delay, s.InFlight(), now)
}

// Overloaded takes a refusal for load.
func (s *Server) Overloaded(now time.Time) { s.limit.Overloaded(now) }

// Concurrency returns the current limit of attempts in progress.
func (s *Server) Concurrency() int { return s.limit.Limit() }

// result adds one result to the success rate and reports whether the server
// fails often enough to be ejected.
func (s *Server) result(ok bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := 0.0
	if ok {
		value = 1
		s.ejections = 0
	}
	rate := math.Float64frombits(s.success.Load())
	rate += successWeight * (value - rate)
	s.success.Store(math.Float64bits(rate))
	s.samples++
	return !ok && s.samples >= ejectSamples && rate < ejectBelow
}

func (s *Server) eject(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := min(ejectFor<<min(s.ejections, 4), ejectAtMost)
	s.ejections++
	s.ejected.Store(now.Add(d).UnixNano())
}

// cost is the expected wait: (in flight here + lagged reported queue + this
// one) / measured rate, raised by the share of failures.
func (s *Server) cost(now int64) float64 {
	load := float64(s.inFlight.Load() + 1)
	if now-s.loadAt.Load() < int64(staleLoad) {
		load += float64(s.queued.Load())
	}
	success := math.Float64frombits(s.success.Load())
	return load / (s.speed() * max(success, leastSuccess))
}

// reportedLoad returns the mean number of requests of all entry daemons on the
// server in the last few seconds; 0 when the last report is stale.
func (s *Server) reportedLoad(now int64) float64 {
	if now-s.loadAt.Load() < int64(staleLoad) {
		return math.Float64frombits(s.reported.Load())
	}
	return 0
}

func (s *Server) speed() float64 {
	if r := math.Float64frombits(s.rate.Load()); r > 0 {
		return r
	}
	return math.Float64frombits(s.fallback.Load())
}

// usable reports whether the pass admits the server.
func (s *Server) usable(q *Query, now int64, p pass) bool {
	if s.draining.Load() || slices.Contains(q.Exclude, s) {
		return false
	}
	if q.Version != "" && s.replica.Load().GetVersion() != q.Version {
		return false
	}
	if p < passAny && (s.suspect.Load() || s.ejected.Load() > now) {
		return false
	}
	return p > passFree || s.inFlight.Load() < int64(s.limit.Limit())
}
