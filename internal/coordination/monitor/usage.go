package monitor

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// usageInterval is the interval of updates. A change in demand takes up to
	// three intervals to cross two relays.
	usageInterval = heartbeatInterval / 2
	// A rate that changes by more than usageChangeFactor is sent with the next
	// heartbeat, one that changes by more than urgentUsageChangeFactor
	// immediately.
	usageChangeFactor       = 1.05
	urgentUsageChangeFactor = 1.5
	// usageRefreshInterval is the maximum time between two messages about an
	// unchanged demand. usageExpiry is more than twice as long, so that one late
	// refresh does not expire the demand.
	usageRefreshInterval = 8 * time.Second
	// usageExpiry is how long a demand is valid without a refresh. It equals
	// the silence after which a daemon is removed, because a removed daemon has
	// no share of a team's limit.
	usageExpiry = RemoveAfter
	// maxUsages limits the entries of remoteUsage, one for each team and source.
	maxUsages = 65_536
)

// usageKey identifies a received demand. The source is the VM that sent it or,
// for the sum of a failure domain, the domain.
type usageKey struct {
	scope  messenger.UsageScope
	source string
	team   string
}

// linkUsageKey identifies a demand sent on one link.
type linkUsageKey struct {
	scope messenger.UsageScope
	team  string
}

// rates is the demand of a team in requests and tokens per second.
type rates struct {
	requests, tokens float32
}

type receivedUsage struct {
	rates
	receivedAt time.Time
}

type sentUsage struct {
	rates
	sentAt time.Time
}

func (r rates) add(o rates) rates { return rates{r.requests + o.requests, r.tokens + o.tokens} }

func (r rates) subtract(o rates) rates {
	return rates{max(r.requests-o.requests, 0), max(r.tokens-o.tokens, 0)}
}

// differs reports whether requests or tokens differ by more than the factor.
func (r rates) differs(o rates, factor float32) bool {
	return max(r.requests, o.requests) > factor*min(r.requests, o.requests) ||
		max(r.tokens, o.tokens) > factor*min(r.tokens, o.tokens)
}

// mergeUsage stores a demand received from a peer. Zero rates delete it.
func (m *Monitor) mergeUsage(u *messenger.TeamUsage, from *link, now time.Time) {
	k := usageKey{u.GetScope(), from.peer.GetVm(), u.GetTeam()}
	if k.scope == messenger.UsageScope_USAGE_SCOPE_FAILURE_DOMAIN {
		k.source = from.peer.GetFailureDomain()
	}
	r := rates{sanitizeRate(u.GetRequests()), sanitizeRate(u.GetTokens())}
	_, known := m.remoteUsage[k]
	switch {
	case r == rates{}:
		delete(m.remoteUsage, k)
	case known || len(m.remoteUsage) < maxUsages:
		m.remoteUsage[k] = receivedUsage{r, now}
	}
}

// sanitizeRate returns zero for a rate that is negative, infinite or NaN.
func sanitizeRate(rate float32) float32 {
	if rate > 0 && rate <= math.MaxFloat32 {
		return rate
	}
	return 0
}

// usageSender periodically exchanges the demand of teams with other daemons.
type usageSender struct {
	*Monitor
}

func (m usageSender) run(ctx context.Context, workers *sync.WaitGroup) {
	defer workers.Done()
	if m.Usage == nil {
		return
	}
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		m.exchangeUsage(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// exchangeUsage passes the demand at other daemons to the Usage callback and
// queues the local demand that the callback returns.
func (m *Monitor) exchangeUsage(now time.Time) {
	m.mu.Lock()
	m.expireUsage(now)
	others, known := m.sumRemoteUsage(now)
	m.mu.Unlock()
	own := map[string]rates{}
	for _, u := range m.Usage(others, known, now) {
		own[u.GetTeam()] = rates{u.GetRequests(), u.GetTokens()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownUsage = own
	m.sendUsage(now)
}

// expireUsage deletes expired demands, and those of daemons to which there is
// no link any more: they are dead or report to another relay. The sum of
// a failure domain is kept when its links break, so that a partition does not
// change shares immediately.
func (m *Monitor) expireUsage(now time.Time) {
	linked := map[string]bool{}
	for l := range m.links {
		linked[l.peer.GetVm()] = true
	}
	for k, u := range m.remoteUsage {
		gone := k.scope != messenger.UsageScope_USAGE_SCOPE_FAILURE_DOMAIN && !linked[k.source]
		if gone || now.Sub(u.receivedAt) >= usageExpiry {
			delete(m.remoteUsage, k)
		}
	}
}

// sumRemoteUsage returns the demand at all other daemons and whether it is
// known. A relay adds up the demands that it has received. Any other daemon
// takes the higher of the sums from its relays, because a relay that has just
// started does not know all demands yet.
func (m *Monitor) sumRemoteUsage(now time.Time) ([]*messenger.TeamUsage, bool) {
	sums := map[string]rates{}
	relay := m.topology().relay
	known := m.hasActiveRelayLink(now)
	if relay {
		// An isolated daemon considers itself a relay, and a relay that has just
		// started has not received the demands yet.
		known = !now.Before(m.connectedSince)
		sums = m.addUsage(sums, messenger.UsageScope_USAGE_SCOPE_DAEMON)
		sums = m.addUsage(sums, messenger.UsageScope_USAGE_SCOPE_FAILURE_DOMAIN)
	} else {
		for k, u := range m.remoteUsage {
			if k.scope == messenger.UsageScope_USAGE_SCOPE_OTHERS {
				s := sums[k.team]
				sums[k.team] = rates{max(s.requests, u.requests), max(s.tokens, u.tokens)}
			}
		}
	}
	others := make([]*messenger.TeamUsage, 0, len(sums))
	for team, r := range sums {
		others = append(others, &messenger.TeamUsage{Team: team, Requests: r.requests, Tokens: r.tokens})
	}
	return others, known
}

// hasActiveRelayLink reports whether frames arrive from a relay of this
// failure domain.
func (m *Monitor) hasActiveRelayLink(now time.Time) bool {
	for l := range m.links {
		if l.peer != nil && m.roleOf(l) == roleRelay && now.Sub(l.lastReceived) < SuspectAfter {
			return true
		}
	}
	return false
}

// addUsage adds the received demands of one scope to sums, by team.
func (m *Monitor) addUsage(sums map[string]rates, scope messenger.UsageScope) map[string]rates {
	for k, u := range m.remoteUsage {
		if k.scope == scope {
			sums[k.team] = sums[k.team].add(u.rates)
		}
	}
	return sums
}

// sendUsage queues the local demand for the relays of the failure domain.
// A relay also sends the sum of its failure domain to the other domains, and
// to each member the total excluding that member, so that the bytes on a link
// depend only on the number of teams.
func (m *Monitor) sendUsage(now time.Time) {
	relay := m.topology().relay
	domain, all := map[string]rates{}, map[string]rates{}
	if relay {
		for team, r := range m.ownUsage {
			domain[team], all[team] = r, r
		}
		domain = m.addUsage(domain, messenger.UsageScope_USAGE_SCOPE_DAEMON)
		all = m.addUsage(all, messenger.UsageScope_USAGE_SCOPE_DAEMON)
		all = m.addUsage(all, messenger.UsageScope_USAGE_SCOPE_FAILURE_DOMAIN)
	}
	for l := range m.links {
		if l.peer == nil {
			continue
		}
		switch to := m.roleOf(l); {
		case to == roleRelay:
			l.queueUsage(messenger.UsageScope_USAGE_SCOPE_DAEMON, m.ownUsage, now)
		case relay && to == roleRemote:
			l.queueUsage(messenger.UsageScope_USAGE_SCOPE_FAILURE_DOMAIN, domain, now)
		case relay:
			l.queueUsage(messenger.UsageScope_USAGE_SCOPE_OTHERS, m.usageExcluding(all, l.peer.GetVm()), now)
		}
	}
}

// usageExcluding returns the total demand minus that of one daemon.
func (m *Monitor) usageExcluding(all map[string]rates, vm string) map[string]rates {
	rest := make(map[string]rates, len(all))
	for team, r := range all {
		own := m.remoteUsage[usageKey{messenger.UsageScope_USAGE_SCOPE_DAEMON, vm, team}]
		rest[team] = r.subtract(own.rates)
	}
	return rest
}

// queueUsage queues the demands that differ from those last sent to the peer.
func (l *link) queueUsage(scope messenger.UsageScope, byTeam map[string]rates, now time.Time) {
	for team, r := range byTeam {
		l.queueTeamUsage(linkUsageKey{scope, team}, r, now)
	}
	for key := range l.sentUsage {
		if _, present := byTeam[key.team]; !present && key.scope == scope {
			l.queueTeamUsage(key, rates{}, now)
		}
	}
}

// queueTeamUsage queues one demand: as urgent after a large change, which
// moves shares between daemons, and otherwise for the next heartbeat.
func (l *link) queueTeamUsage(key linkUsageKey, r rates, now time.Time) {
	last, sent := l.sentUsage[key]
	switch {
	case !sent && r == rates{}:
		return
	case sent && !r.differs(last.rates, usageChangeFactor) && now.Sub(last.sentAt) < usageRefreshInterval:
		return
	case r == rates{}:
		delete(l.sentUsage, key)
	default:
		l.sentUsage[key] = sentUsage{r, now}
	}
	k := recordKey{kindUsage, key.team}
	queue, other := &l.bulk, &l.urgent
	if r.differs(last.rates, urgentUsageChangeFactor) {
		queue, other = other, queue
	}
	other.Remove(k)
	queue.Put(k, &messenger.TeamUsage{Team: key.team, Scope: key.scope, Requests: r.requests, Tokens: r.tokens})
}
