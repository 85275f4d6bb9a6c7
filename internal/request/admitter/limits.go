package admitter

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// limits holds the rate limits of all teams on this entry daemon.
type limits struct {
	teams map[string]*teamLimits
	// entries is the number of entry daemons at the last update of the shares; 0
	// before the first update.
	entries    int
	lastUpdate time.Time
	// hasRemoteUsage is set while the usage at the other daemons is known.
	hasRemoteUsage bool
}

// teamLimits holds this daemon's shares of the limits of one team.
type teamLimits struct {
	requests quota
	tokens   quota
}

// charge takes one request and its cost in tokens from the team's limits, or
// returns an error if a limit is exceeded.
func (l *limits) charge(team *parser.Team, cost, entries int, now time.Time) error {
	t := l.limitsOf(team, entries, now)
	t.requests.requested++
	t.tokens.requested += float64(cost)
	requests, wait := reserve(t.requests.limiter, 1, now)
	if requests == nil {
		return newRefusal(http.StatusTooManyRequests, "rate_limit_exceeded", "the team has reached its limit of requests per second", wait)
	}
	tokens, wait := reserve(t.tokens.limiter, cost, now)
	if tokens == nil {
		requests.CancelAt(now)
		return newRefusal(http.StatusTooManyRequests, "rate_limit_exceeded", "the team has reached its limit of tokens per second", wait)
	}
	return nil
}

// limitsOf returns the limits of a team, updated to its present configuration.
func (l *limits) limitsOf(team *parser.Team, entries int, now time.Time) *teamLimits {
	if l.teams == nil {
		l.teams = map[string]*teamLimits{}
	}
	t := l.teams[team.Name]
	if t == nil {
		t = &teamLimits{}
		l.teams[team.Name] = t
		if l.hasRemoteUsage {
			t.requests.fraction, t.tokens.fraction = 1/float64(entries), 1/float64(entries)
		}
	}
	t.requests.updateLimiter(team.RequestsPerSecond, minBurstRequests, entries, now)
	t.tokens.updateLimiter(team.TokensPerSecond, minBurstTokens, entries, now)
	return t
}

// updateShares updates the shares of all teams and returns the local usage.
func (l *limits) updateShares(remoteUsage []*messenger.TeamUsage, hasRemoteUsage bool, entries int, now time.Time) []*messenger.TeamUsage {
	elapsed := now.Sub(l.lastUpdate)
	if l.lastUpdate.IsZero() || elapsed <= 0 {
		elapsed = time.Second
	}
	l.lastUpdate, l.hasRemoteUsage, l.entries = now, hasRemoteUsage, entries
	remoteByTeam := make(map[string]*messenger.TeamUsage, len(remoteUsage))
	for _, u := range remoteUsage {
		remoteByTeam[u.GetTeam()] = u
	}
	var localUsage []*messenger.TeamUsage
	for name, t := range l.teams {
		t.requests.updateDemand(elapsed)
		t.tokens.updateDemand(elapsed)
		if !hasRemoteUsage {
			t.requests.fraction, t.tokens.fraction = 0, 0
		} else {
			t.requests.updateFraction(float64(remoteByTeam[name].GetRequests()), entries, elapsed)
			t.tokens.updateFraction(float64(remoteByTeam[name].GetTokens()), entries, elapsed)
		}
		if t.requests.demand > 0 || t.tokens.demand > 0 {
			localUsage = append(localUsage, &messenger.TeamUsage{
				Team: name, Requests: float32(t.requests.demand), Tokens: float32(t.tokens.demand),
			})
		}
	}
	return localUsage
}

// reserve takes n tokens of the token bucket, or returns nil and the time until they
// are available, but at least minRetryAfter. A cost above the burst is reduced to the
// burst, because it would never be admitted otherwise.
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
