package monitor

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// usageEvery is the interval of updates. News of a demand take up to three
	// of them on the way over two relays.
	usageEvery = heartbeatEvery / 2
	// usageTold and usageUrgent are the changes that are sent with the heartbeat
	// and at once.
	usageTold   = 1.05
	usageUrgent = 1.5
	// usageRefresh is the longest time between two messages about a demand that
	// does not change. Two of them fit into usageExpiry.
	usageRefresh = 8 * time.Second
	// usageExpiry is how long a demand counts without news. It is that of
	// daemons: who is no longer a member has no share.
	usageExpiry = RemoveAfter
	// maxUsages bounds the memory for what others tell.
	maxUsages = 65_536
)

// usageKey names what a demand belongs to: the source is the VM that told of
// it, or the failure domain of a sum.
type usageKey struct {
	scope  messenger.UsageScope
	source string
	team   string
}

// usageSlot is the same on one link.
type usageSlot struct {
	scope messenger.UsageScope
	team  string
}

// rates are requests and tokens per second.
type rates struct {
	requests, tokens float32
}

type usage struct {
	rates
	received time.Time
}

type sentUsage struct {
	rates
	at time.Time
}

func (r rates) plus(o rates) rates { return rates{r.requests + o.requests, r.tokens + o.tokens} }

func (r rates) minus(o rates) rates {
	return rates{max(r.requests-o.requests, 0), max(r.tokens-o.tokens, 0)}
}

// differs reports whether one of the rates changed by more than the factor.
func (r rates) differs(o rates, factor float32) bool {
	return max(r.requests, o.requests) > factor*min(r.requests, o.requests) ||
		max(r.tokens, o.tokens) > factor*min(r.tokens, o.tokens)
}

// mergeUsage keeps the demand that a peer tells of. Zero ends it.
func (m *Monitor) mergeUsage(u *messenger.TeamUsage, from *link, now time.Time) {
	k := usageKey{u.GetScope(), from.peer.GetVm(), u.GetTeam()}
	if k.scope == messenger.UsageScope_USAGE_SCOPE_FAILURE_DOMAIN {
		k.source = from.peer.GetFailureDomain()
	}
	r := rates{usable(u.GetRequests()), usable(u.GetTokens())}
	_, known := m.usage[k]
	switch {
	case r == rates{}:
		delete(m.usage, k)
	case known || len(m.usage) < maxUsages:
		m.usage[k] = usage{r, now}
	}
}

// usable takes a rate that is negative, infinite or not a number for none.
func usable(rate float32) float32 {
	if rate > 0 && rate <= math.MaxFloat32 {
		return rate
	}
	return 0
}

// usageSender tells the other daemons the demand of teams here.
type usageSender struct {
	*Monitor
}

func (m usageSender) run(ctx context.Context, workers *sync.WaitGroup) {
	defer workers.Done()
	if m.Usage == nil {
		return
	}
	ticker := time.NewTicker(usageEvery)
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

// exchangeUsage updates the shares of teams here, and tells the demand here to
// those that need it.
func (m *Monitor) exchangeUsage(now time.Time) {
	m.mu.Lock()
	m.forgetUsage(now)
	others, known := m.usageElsewhere(now)
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

// forgetUsage drops what has expired, and what daemons told to which no link
// is left: they are dead, or tell another relay. The sum of a failure domain
// outlives its links, so that a partition does not change shares at once.
func (m *Monitor) forgetUsage(now time.Time) {
	linked := map[string]bool{}
	for l := range m.links {
		linked[l.peer.GetVm()] = true
	}
	for k, u := range m.usage {
		gone := k.scope != messenger.UsageScope_USAGE_SCOPE_FAILURE_DOMAIN && !linked[k.source]
		if gone || now.Sub(u.received) >= usageExpiry {
			delete(m.usage, k)
		}
	}
}

// usageElsewhere returns the demand at all other daemons. A relay adds up what
// it is told; another daemon takes the higher word of its relays, because one
// that has just started knows less.
func (m *Monitor) usageElsewhere(now time.Time) ([]*messenger.TeamUsage, bool) {
	sums := map[string]rates{}
	relay := m.topology().relay
	known := m.hearsRelay(now)
	if relay {
		// A daemon that is cut off alone takes itself for a relay, and a relay
		// that has just started has not been told yet.
		known = !now.Before(m.connected)
		sums = m.sumUsage(sums, messenger.UsageScope_USAGE_SCOPE_DAEMON)
		sums = m.sumUsage(sums, messenger.UsageScope_USAGE_SCOPE_FAILURE_DOMAIN)
	} else {
		for k, u := range m.usage {
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

func (m *Monitor) hearsRelay(now time.Time) bool {
	for l := range m.links {
		if l.peer != nil && m.roleOf(l) == roleRelay && now.Sub(l.received) < SuspectAfter {
			return true
		}
	}
	return false
}

func (m *Monitor) sumUsage(sums map[string]rates, scope messenger.UsageScope) map[string]rates {
	for k, u := range m.usage {
		if k.scope == scope {
			sums[k.team] = sums[k.team].plus(u.rates)
		}
	}
	return sums
}

// sendUsage queues the demand here for the relays of the failure domain. A
// relay also tells the other failure domains the sum of its own, and each
// member the sum without that member, so that the bytes on a link depend on
// the number of teams only.
func (m *Monitor) sendUsage(now time.Time) {
	relay := m.topology().relay
	domain, all := map[string]rates{}, map[string]rates{}
	if relay {
		for team, r := range m.ownUsage {
			domain[team], all[team] = r, r
		}
		domain = m.sumUsage(domain, messenger.UsageScope_USAGE_SCOPE_DAEMON)
		all = m.sumUsage(all, messenger.UsageScope_USAGE_SCOPE_DAEMON)
		all = m.sumUsage(all, messenger.UsageScope_USAGE_SCOPE_FAILURE_DOMAIN)
	}
	for l := range m.links {
		if l.peer == nil {
			continue
		}
		switch to := m.roleOf(l); {
		case to == roleRelay:
			l.putUsage(messenger.UsageScope_USAGE_SCOPE_DAEMON, m.ownUsage, now)
		case relay && to == roleRemote:
			l.putUsage(messenger.UsageScope_USAGE_SCOPE_FAILURE_DOMAIN, domain, now)
		case relay:
			l.putUsage(messenger.UsageScope_USAGE_SCOPE_OTHERS, m.without(all, l.peer.GetVm()), now)
		}
	}
}

// without returns the demand less that of one daemon.
func (m *Monitor) without(all map[string]rates, vm string) map[string]rates {
	rest := make(map[string]rates, len(all))
	for team, r := range all {
		own := m.usage[usageKey{messenger.UsageScope_USAGE_SCOPE_DAEMON, vm, team}]
		rest[team] = r.minus(own.rates)
	}
	return rest
}

// putUsage queues what differs from what the peer was told.
func (l *link) putUsage(scope messenger.UsageScope, byTeam map[string]rates, now time.Time) {
	for team, r := range byTeam {
		l.putTeam(usageSlot{scope, team}, r, now)
	}
	for slot := range l.sentUsage {
		if _, present := byTeam[slot.team]; !present && slot.scope == scope {
			l.putTeam(slot, rates{}, now)
		}
	}
}

// putTeam queues one demand: at once after a large change, which moves shares
// between daemons, and otherwise with the heartbeat.
func (l *link) putTeam(slot usageSlot, r rates, now time.Time) {
	last, sent := l.sentUsage[slot]
	switch {
	case !sent && r == rates{}:
		return
	case sent && !r.differs(last.rates, usageTold) && now.Sub(last.at) < usageRefresh:
		return
	case r == rates{}:
		delete(l.sentUsage, slot)
	default:
		l.sentUsage[slot] = sentUsage{r, now}
	}
	k := key{kindUsage, slot.team}
	queue, other := &l.bulk, &l.urgent
	if r.differs(last.rates, usageUrgent) {
		queue, other = other, queue
	}
	other.Remove(k)
	queue.Put(k, &messenger.TeamUsage{Team: slot.team, Scope: slot.scope, Requests: r.requests, Tokens: r.tokens})
}
