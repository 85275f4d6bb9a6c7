package admitter

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// burstSeconds is how much of its rate a team may use at once. Callers choose
// one entry daemon for a while, so the share of one daemon arrives unevenly.
const burstSeconds = 5

// limits are the limits of all teams on this entry daemon.
type limits struct {
	teams map[string]*teamLimit
}

// teamLimit is one team's share of its limits.
type teamLimit struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
}

// take charges one request to the team or refuses it.
func (l *limits) take(team *parser.Team, cost, entries int, now time.Time) error {
	t := l.team(team, entries, now)
	requests, wait := reserve(t.requests, 1, now)
	if requests == nil {
		return refusal(http.StatusTooManyRequests, "rate_limit_exceeded", "the team has reached its limit of requests per second", wait)
	}
	tokens, wait := reserve(t.tokens, cost, now)
	if tokens == nil {
		requests.CancelAt(now)
		return refusal(http.StatusTooManyRequests, "rate_limit_exceeded", "the team has reached its limit of tokens per second", wait)
	}
	return nil
}

func (l *limits) team(team *parser.Team, entries int, now time.Time) *teamLimit {
	if l.teams == nil {
		l.teams = map[string]*teamLimit{}
	}
	t := l.teams[team.Name]
	if t == nil {
		t = &teamLimit{}
		l.teams[team.Name] = t
	}
	t.requests = adjust(t.requests, team.RequestsPerSecond/float64(entries), now)
	t.tokens = adjust(t.tokens, team.TokensPerSecond/float64(entries), now)
	return t
}

// adjust applies the present share; 0 is no limit. A new limiter begins with
// its whole burst, a changed one keeps what is used.
func adjust(l *rate.Limiter, share float64, now time.Time) *rate.Limiter {
	limit, burst := rate.Limit(share), max(int(share*burstSeconds), 1)
	if share <= 0 {
		limit, burst = rate.Inf, 0
	}
	if l == nil || (l.Limit() == rate.Inf) != (limit == rate.Inf) {
		return rate.NewLimiter(limit, burst)
	}
	if l.Limit() != limit {
		l.SetLimitAt(now, limit)
		l.SetBurstAt(now, burst)
	}
	return l
}

// reserve takes n from the limiter, or returns the time until n are there. A
// cost above the burst is charged as the whole burst, or it would never pass.
func reserve(l *rate.Limiter, n int, now time.Time) (*rate.Reservation, time.Duration) {
	if l.Limit() != rate.Inf {
		n = min(n, l.Burst())
	}
	r := l.ReserveN(now, n)
	wait := r.DelayFrom(now)
	if wait == 0 {
		return r, 0
	}
	r.CancelAt(now)
	return nil, max(wait, minRetryAfter)
}
