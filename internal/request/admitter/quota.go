package admitter

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstSeconds is the burst as a multiple of the rate per second. Callers use
	// one entry daemon for a while, so requests arrive unevenly at each daemon.
	burstSeconds = 5
	// minBurstRequests and minBurstTokens are lower bounds of the burst, limited to
	// burstSeconds of the team's whole limit. A team with a small limit can then
	// start to use one daemon while its share there still grows.
	minBurstRequests = 8
	minBurstTokens   = 8192
	// demandTimeConstant is the time constant of the moving average of the demand.
	demandTimeConstant = 3 * time.Second
	// idleDemandFraction is the fraction of an equal share below which a daemon
	// counts as idle. An idle daemon gets an equal share in advance.
	idleDemandFraction = 0.01
	// minShareFraction is the fraction of an equal share that a daemon with demand
	// always has. The shares of daemons with demand add up to at most
	// 1 + minShareFraction.
	minShareFraction = 0.05
	// maxGrowthPerSecond is the factor by which a share may grow in one second. It
	// bounds the excess when demand starts on all daemons at once, until they have
	// received each other's usage.
	maxGrowthPerSecond = 2
)

// quota is this daemon's share of one rate limit of a team.
type quota struct {
	limiter *rate.Limiter
	// limit is the rate limit of the team over all daemons; 0 means unlimited.
	limit float64
	// requested is the amount requested since the last update, and demand its
	// moving average per second, at most the limit.
	requested float64
	demand    float64
	// fraction is the share of the limit that this daemon has; 0 means an equal
	// share.
	fraction float64
}

// updateDemand updates the demand from the amount requested in the elapsed time.
func (q *quota) updateDemand(elapsed time.Duration) {
	current := q.requested / elapsed.Seconds()
	q.requested = 0
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
	q.demand = min(q.demand+weight*(current-q.demand), q.limit)
	if q.demand < idleDemandFraction*idleDemandFraction*q.limit {
		q.demand = 0
	}
}

// updateFraction sets the share in proportion to the local and the remote demand.
func (q *quota) updateFraction(remoteDemand float64, entries int, elapsed time.Duration) {
	equalShare := 1 / float64(entries)
	if q.demand <= idleDemandFraction*equalShare*q.limit {
		q.fraction = equalShare
		return
	}
	share := max(q.demand/(q.demand+remoteDemand), minShareFraction*equalShare)
	q.fraction = min(share, max(math.Pow(maxGrowthPerSecond, elapsed.Seconds())*q.fraction, equalShare))
}

// updateLimiter applies the share to the limiter. A new limiter starts with its
// full burst, and a changed one keeps its tokens.
func (q *quota) updateLimiter(teamLimit, minBurst float64, entries int, now time.Time) {
	q.limit = teamLimit
	equalShare := teamLimit / float64(entries)
	share, leastBurst := equalShare, 1.0
	if q.fraction > 0 {
		share, leastBurst = q.fraction*teamLimit, max(1, min(teamLimit*burstSeconds, minBurst))
	}
	limit, burst := rate.Limit(share), int(max(share*burstSeconds, equalShare*burstSeconds, leastBurst))
	if teamLimit <= 0 {
		limit, burst = rate.Inf, 0
	}
	if q.limiter == nil || (q.limiter.Limit() == rate.Inf) != (limit == rate.Inf) {
		q.limiter = rate.NewLimiter(limit, burst)
		return
	}
	if q.limiter.Limit() != limit {
		q.limiter.SetLimitAt(now, limit)
	}
	if q.limiter.Burst() != burst {
		q.limiter.SetBurstAt(now, burst)
	}
}
