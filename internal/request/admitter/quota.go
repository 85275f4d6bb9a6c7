package admitter

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstSeconds is how much of its rate a team may use at once. Callers choose
	// one entry daemon for a while, so the share of one daemon arrives unevenly.
	burstSeconds = 5
	// minBurstRequests and minBurstTokens let a team with a small limit begin at
	// one daemon while its share there still grows, up to burstSeconds of its
	// whole limit.
	minBurstRequests = 8
	minBurstTokens   = 8192
	// demandWindow is the time constant of the average of the demand.
	demandWindow = 3 * time.Second
	// idleDemand is the part of an equal share below which a daemon counts as
	// one without demand. Such a daemon is granted an equal share in advance.
	idleDemand = 0.01
	// minShare is the part of an equal share that a daemon with demand always
	// has. The shares of daemons with demand add up to at most 1 + minShare.
	minShare = 0.05
	// growth bounds how fast a share rises in one second. A demand that starts
	// on all daemons at once then gets a bounded excess until they know of each
	// other.
	growth = 2
)

// quota is this daemon's share of one limit of a team.
type quota struct {
	limiter *rate.Limiter
	// limit is the limit of the whole team; 0 is no limit.
	limit float64
	// asked is what was asked for since the last update, and demand is its
	// average per second, at most the limit.
	asked, demand float64
	// fraction of the limit is granted here; 0 stands for equal shares.
	fraction float64
}

// measure updates the demand.
func (q *quota) measure(elapsed time.Duration) {
	present := q.asked / elapsed.Seconds()
	q.asked = 0
	weight := 1 - math.Exp(-elapsed.Seconds()/demandWindow.Seconds())
	q.demand = min(q.demand+weight*(present-q.demand), q.limit)
	if q.demand < idleDemand*idleDemand*q.limit {
		q.demand = 0
	}
}

// grant sets the share in proportion to the demand here and elsewhere.
func (q *quota) grant(elsewhere float64, entries int, elapsed time.Duration) {
	equal := 1 / float64(entries)
	if q.demand <= idleDemand*equal*q.limit {
		q.fraction = equal
		return
	}
	share := max(q.demand/(q.demand+elsewhere), minShare*equal)
	q.fraction = min(share, max(math.Pow(growth, elapsed.Seconds())*q.fraction, equal))
}

// adjust applies the present share. A new limiter begins with its whole burst,
// a changed one keeps what is used.
func (q *quota) adjust(teamLimit, minBurst float64, entries int, now time.Time) {
	q.limit = teamLimit
	equal := teamLimit / float64(entries)
	share, least := equal, 1.0
	if q.fraction > 0 {
		share, least = q.fraction*teamLimit, max(1, min(teamLimit*burstSeconds, minBurst))
	}
	limit, burst := rate.Limit(share), int(max(share*burstSeconds, equal*burstSeconds, least))
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
