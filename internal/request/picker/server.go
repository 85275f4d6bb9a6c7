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
	// maxLoadAge is the age from which on a load report is ignored. Agents report at
	// least every 2 s.
	maxLoadAge = 6 * time.Second
	// reportedTimeConstant is the time constant of the moving average of reported
	// requests. Single reports vary much more than the load does.
	reportedTimeConstant = 2 * time.Second
	// successWeight is the weight of the newest result in the moving average of
	// the success rate.
	successWeight = 0.1
	// minSuccessRate is a lower bound that keeps the cost of a failing server
	// finite.
	minSuccessRate = 0.05
	// ejectSuccessRate is the success rate below which a server is ejected when an
	// attempt fails, after at least minEjectSamples results.
	ejectSuccessRate = 0.5
	minEjectSamples  = 5
	// minEjectTime is the time of the first ejection. It doubles with each further
	// one without a success in between, up to maxEjectTime.
	minEjectTime = 5 * time.Second
	maxEjectTime = time.Minute
)

// Server is this entry daemon's view of one backend server. It exists as long as
// its incarnation is in the directory.
type Server struct {
	VM          string
	Address     string
	Incarnation string

	region        string
	failureDomain string
	hash          uint64
	distance      int
	replica       atomic.Pointer[messenger.Replica]
	suspect       atomic.Bool
	draining      atomic.Bool
	// evacuated is set while the failure domain is evacuated, and returnedAt is when
	// its last evacuation ended, in Unix nanoseconds, or 0.
	evacuated  atomic.Bool
	returnedAt atomic.Int64

	// inFlight counts the attempts of this entry daemon in progress.
	inFlight atomic.Int64
	// queued is the last reported number of queued requests.
	queued atomic.Int64
	// reportedMean, rate, fallbackRate and successRate hold the bits of a float64:
	// the moving average of reported requests, the reported service rate, the rate
	// that is used without a report, and the moving average of the results.
	reportedMean atomic.Uint64
	rate         atomic.Uint64
	fallbackRate atomic.Uint64
	successRate  atomic.Uint64
	// loadAt and ejectedUntil are times in Unix nanoseconds.
	loadAt       atomic.Int64
	ejectedUntil atomic.Int64
	limit        *admitter.Concurrency

	mu sync.Mutex
	// sequence is the sequence number of the last load report.
	sequence uint64
	// samples counts the results of attempts.
	samples int
	// ejections counts the ejections since the last success.
	ejections int
}

func newServer(r *messenger.Replica, hash uint64, distance int) *Server {
	s := &Server{
		VM:          r.GetVm(),
		Address:     r.GetAddress(),
		Incarnation: r.GetIncarnation(),

		region: r.GetRegion(), failureDomain: r.GetFailureDomain(),
		hash:     hash,
		distance: distance,
		limit:    admitter.NewConcurrency(),
	}
	s.successRate.Store(math.Float64bits(1))
	s.fallbackRate.Store(math.Float64bits(1))
	return s
}

// Replica returns the server's directory entry.
func (s *Server) Replica() *messenger.Replica { return s.replica.Load() }

// InFlight returns the number of attempts of this entry daemon on the server.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Report records a load reported by the server. Reports older than the last one
// are ignored.
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
	s.updateReportedMean(float64(load.GetQueued()+load.GetRunning()), now)
	s.rate.Store(math.Float64bits(load.GetRate()))
	s.draining.Store(load.GetDraining())
	s.loadAt.Store(now.UnixNano())
}

// updateReportedMean updates the moving average of reported requests. Its time
// constant is reportedTimeConstant at any report interval.
func (s *Server) updateReportedMean(requests float64, now time.Time) {
	old := math.Float64frombits(s.reportedMean.Load())
	age := now.Sub(time.Unix(0, s.loadAt.Load()))
	if age > maxLoadAge {
		old = requests
	}
	weight := 1 - math.Exp(-max(age, 0).Seconds()/reportedTimeConstant.Seconds())
	s.reportedMean.Store(math.Float64bits(old + weight*(requests-old)))
}

// FirstToken records the time to the first token of an attempt.
func (s *Server) FirstToken(delay time.Duration, now time.Time) {
	s.limit.Observe(delay, s.InFlight(), now)
}

// Overloaded records that the server refused an attempt because of its load.
func (s *Server) Overloaded(now time.Time) { s.limit.Overloaded(now) }

// Concurrency returns the current limit on attempts in flight.
func (s *Server) Concurrency() int { return s.limit.Limit() }

// recordResult updates the success rate and reports whether the server should be
// ejected.
func (s *Server) recordResult(ok bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := 0.0
	if ok {
		value = 1
		s.ejections = 0
	}
	rate := math.Float64frombits(s.successRate.Load())
	rate += successWeight * (value - rate)
	s.successRate.Store(math.Float64bits(rate))
	s.samples++
	return !ok && s.samples >= minEjectSamples && rate < ejectSuccessRate
}

// eject excludes the server from picks for a time that doubles with each ejection.
func (s *Server) eject(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := min(minEjectTime<<min(s.ejections, 4), maxEjectTime)
	s.ejections++
	s.ejectedUntil.Store(now.Add(d).UnixNano())
}

// cost estimates the waiting time: (attempts in flight from this daemon + last
// reported queue + 1) / service rate, divided by the success rate. A server that
// returns from an evacuation counts as loaded at first.
func (s *Server) cost(now int64) float64 {
	load := float64(s.inFlight.Load() + 1)
	if now-s.loadAt.Load() < int64(maxLoadAge) {
		load += float64(s.queued.Load())
	}
	load += s.returning(now) * float64(s.limit.Limit())
	success := math.Float64frombits(s.successRate.Load())
	return load / (s.serviceRate() * max(success, minSuccessRate))
}

// reportedLoad returns the moving average of the number of requests of all entry
// daemons on the server, or 0 if the last report is stale.
func (s *Server) reportedLoad(now int64) float64 {
	if now-s.loadAt.Load() < int64(maxLoadAge) {
		return math.Float64frombits(s.reportedMean.Load())
	}
	return 0
}

// serviceRate returns the reported service rate, or the fallback if there is none.
func (s *Server) serviceRate() float64 {
	if r := math.Float64frombits(s.rate.Load()); r > 0 {
		return r
	}
	return math.Float64frombits(s.fallbackRate.Load())
}

// usable reports whether the server matches the query and the conditions of the
// pass.
func (s *Server) usable(q *Query, now int64, p pass) bool {
	if s.draining.Load() || !q.Regions.Allows(s.region) || slices.Contains(q.Exclude, s) {
		return false
	}
	if q.Version != "" && s.replica.Load().GetVersion() != q.Version {
		return false
	}
	if p < passAny && (s.suspect.Load() || s.ejectedUntil.Load() > now) {
		return false
	}
	return p > passBelowLimit || s.inFlight.Load() < int64(s.limitAt(now))
}
