package monitor

import (
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// summaryRefresh is the longest time between two summaries of a model whose
// load has not changed. It is under RemoveAfter, when summaries expire.
const summaryRefresh = 10 * time.Second

type summaryKey struct {
	model, domain string
}

func (k summaryKey) String() string { return k.domain + "/" + k.model }

type summary struct {
	record   *messenger.Summary
	received time.Time
	// sent is when this daemon, as its author, last sent it.
	sent time.Time
}

// mergeSummary takes a summary of another failure domain, or of this one from
// its first relay. One without a model is the sign of life of the domain.
func (m *Monitor) mergeSummary(s *messenger.Summary, from *link, now time.Time) {
	k := summaryKey{s.GetModel(), s.GetFailureDomain()}
	old := m.summaries[k]
	// The sequence is the author's clock. Another author may have an earlier
	// one, so an old summary does not hold newer ones off for long.
	if old != nil && s.GetSequence() <= old.record.GetSequence() && now.Sub(old.received) < SuspectAfter {
		return
	}
	m.summaries[k] = &summary{record: s, received: now}
	m.domains[k.domain] = now
	m.passSummary(k, s, from)
}

func (m *Monitor) passSummary(k summaryKey, s *messenger.Summary, from *link) {
	if !m.topology().relay {
		return
	}
	for l := range m.links {
		if l == from || l.peer == nil {
			continue
		}
		local := from == nil
		toMember := m.roleOf(l) == roleMember
		fromRemote := !local && m.roleOf(from) == roleRemote
		// Both relays pass a sign of life on: the primary one may have just
		// returned and not be linked to the other failure domain yet.
		wanted := k.model == "" || m.isPrimary(l.peer.GetVm())
		if local || (fromRemote && toMember && wanted) {
			l.bulk.Put(key{kindSummary, k.String()}, s)
		}
	}
}

// summarize sends, as the first relay of the failure domain, its sign of life
// and the summaries that have changed.
func (m *Monitor) summarize(now time.Time) {
	if !m.topology().relay {
		return
	}
	m.domains[m.self.GetFailureDomain()] = now
	if !m.topology().first {
		// Both relays send the sign of life, so that one that is cut off does
		// not make its whole failure domain suspect elsewhere.
		life := m.signOfLife(now)
		m.passSummary(summaryKey{"", life.GetFailureDomain()}, life, nil)
		return
	}
	sums := m.sums(now)
	for k, old := range m.summaries {
		// A model without replicas is said once, and then expires.
		if k.domain == m.self.GetFailureDomain() && sums[k] == nil && old.record.GetReady() > 0 {
			sums[k] = &messenger.Summary{
				Model: k.model, Region: m.self.GetRegion(), FailureDomain: k.domain, Sequence: uint64(now.UnixMilli()),
			}
		}
	}
	for k, s := range sums {
		old := m.summaries[k]
		if old != nil && k.model != "" && now.Sub(old.sent) < summaryRefresh && sameSummary(s, old.record) {
			continue
		}
		m.summaries[k] = &summary{record: s, received: now, sent: now}
		m.passSummary(k, s, nil)
	}
}

func (m *Monitor) signOfLife(now time.Time) *messenger.Summary {
	return &messenger.Summary{
		Region: m.self.GetRegion(), FailureDomain: m.self.GetFailureDomain(), Sequence: uint64(now.UnixMilli()),
	}
}

func (m *Monitor) sums(now time.Time) map[summaryKey]*messenger.Summary {
	sums := map[summaryKey]*messenger.Summary{
		{"", m.self.GetFailureDomain()}: m.signOfLife(now),
	}
	for _, r := range m.replicas {
		if r.isGone() || !m.guards(r) {
			continue
		}
		k := summaryKey{nameOf(r.record), r.record.GetFailureDomain()}
		s := sums[k]
		if s == nil {
			s = &messenger.Summary{
				Model: k.model, Region: r.record.GetRegion(), FailureDomain: k.domain,
				Sequence: uint64(now.UnixMilli()),
			}
			sums[k] = s
		}
		if r.record.GetState() == messenger.ReplicaState_REPLICA_STATE_READY && !r.silent {
			s.Ready++
		}
		s.Queued += r.load.GetQueued()
		s.Running += r.load.GetRunning()
		s.Rate += r.load.GetRate()
	}
	return sums
}

// sameSummary reports whether the load of a model changed by less than a
// tenth, which the choice between failure domains does not need.
func sameSummary(a, b *messenger.Summary) bool {
	return a.GetReady() == b.GetReady() &&
		near(float64(a.GetQueued()), float64(b.GetQueued())) &&
		near(float64(a.GetRunning()), float64(b.GetRunning())) &&
		near(a.GetRate(), b.GetRate())
}

func near(a, b float64) bool { return max(a, b) <= 1.1*min(a, b) }
