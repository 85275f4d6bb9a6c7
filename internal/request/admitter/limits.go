package admitter

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// limits are the limits of all teams on this entry daemon.
type limits struct {
	teams map[string]*teamLimit
	// entries is the number of daemons at the last update of the shares, and
	// updated its time.
	entries int
	updated time.Time
	// known is set while the demand at the other daemons is known.
	known bool
}

// teamLimit is one team's share of its limits.
type teamLimit struct {
	requests, tokens quota
}

// take charges one request to the team or refuses it.
func (l *limits) take(team *parser.Team, cost, entries int, now time.Time) error {
	t := l.team(team, entries, now)
	t.requests.asked++
	t.tokens.asked += float64(cost)
	requests, wait := reserve(t.requests.limiter, 1, now)
	if requests == nil {
		return refusal(http.StatusTooManyRequests, "rate_limit_exceeded", "the team has reached its limit of requests per second", wait)
	}
	tokens, wait := reserve(t.tokens.limiter, cost, now)
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
		if l.known {
			t.requests.fraction, t.tokens.fraction = 1/float64(entries), 1/float64(entries)
		}
	}
	t.requests.adjust(team.RequestsPerSecond, minBurstRequests, entries, now)
	t.tokens.adjust(team.TokensPerSecond, minBurstTokens, entries, now)
	return t
}

// share updates the shares of all teams and returns the demand here.
func (l *limits) share(others []*messenger.TeamUsage, known bool, entries int, now time.Time) []*messenger.TeamUsage {
	elapsed := now.Sub(l.updated)
	if l.updated.IsZero() || elapsed <= 0 {
		elapsed = time.Second
	}
	l.updated, l.known, l.entries = now, known, entries
	elsewhere := make(map[string]*messenger.TeamUsage, len(others))
	for _, u := range others {
		elsewhere[u.GetTeam()] = u
	}
	var here []*messenger.TeamUsage
	for name, t := range l.teams {
		t.requests.measure(elapsed)
		t.tokens.measure(elapsed)
		if !known {
			t.requests.fraction, t.tokens.fraction = 0, 0
		} else {
			t.requests.grant(float64(elsewhere[name].GetRequests()), entries, elapsed)
			t.tokens.grant(float64(elsewhere[name].GetTokens()), entries, elapsed)
		}
		if t.requests.demand > 0 || t.tokens.demand > 0 {
			here = append(here, &messenger.TeamUsage{
				Team: name, Requests: float32(t.requests.demand), Tokens: float32(t.tokens.demand),
			})
		}
	}
	return here
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
