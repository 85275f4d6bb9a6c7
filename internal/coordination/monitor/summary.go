package monitor

import (
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// summaryRefreshInterval is the maximum time between two summaries of a model
// with unchanged load. It is less than RemoveAfter, after which summaries
// expire.
const summaryRefreshInterval = 10 * time.Second

type summaryKey struct {
	model, domain string
}

func (k summaryKey) String() string { return k.domain + "/" + k.model }

type summary struct {
	record     *messenger.Summary
	receivedAt time.Time
	// sentAt is when this daemon last sent the summary, or zero for a summary
	// received from another daemon.
	sentAt time.Time
}

// mergeSummary stores and forwards a received summary: of another failure
// domain, or of this one from its first relay. A summary without a model is the
// heartbeat of the domain.
func (m *Monitor) mergeSummary(s *messenger.Summary, from *link, now time.Time) {
	k := summaryKey{s.GetModel(), s.GetFailureDomain()}
	old := m.summaries[k]
	// The sequence is the author's clock, and the clock of a new author may be
	// behind. Lower sequences are therefore ignored for SuspectAfter only.
	if old != nil && s.GetSequence() <= old.record.GetSequence() && now.Sub(old.receivedAt) < SuspectAfter {
		return
	}
	m.summaries[k] = &summary{record: s, receivedAt: now}
	m.domainLastHeard[k.domain] = now
	m.forwardSummary(k, s, from)
}

// forwardSummary queues the summary on links, if this daemon is a relay: its
// own summaries on all links, those from another failure domain on the links
// to members.
func (m *Monitor) forwardSummary(k summaryKey, s *messenger.Summary, from *link) {
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
		// Both relays forward heartbeats, because the primary one may have just
		// returned and not be linked to the other failure domain yet.
		wanted := k.model == "" || m.isPrimary(l.peer.GetVm())
		if local || (fromRemote && toMember && wanted) {
			l.bulk.Put(recordKey{kindSummary, k.String()}, s)
		}
	}
}

// summarize sends the heartbeat of the failure domain if this daemon is
// a relay, and the summaries that have changed if it is the first relay.
func (m *Monitor) summarize(now time.Time) {
	if !m.topology().relay {
		return
	}
	m.domainLastHeard[m.self.GetFailureDomain()] = now
	if !m.topology().firstRelay {
		// Both relays send heartbeats, so that a partitioned one does not make
		// its whole failure domain suspect elsewhere.
		heartbeat := m.domainHeartbeat(now)
		m.forwardSummary(summaryKey{"", heartbeat.GetFailureDomain()}, heartbeat, nil)
		return
	}
	sums := m.computeSummaries(now)
	for k, old := range m.summaries {
		// An empty summary is sent once for a model that has lost its replicas;
		// after that, the summary expires.
		if k.domain == m.self.GetFailureDomain() && sums[k] == nil && old.record.GetReady() > 0 {
			sums[k] = &messenger.Summary{
				Model: k.model, Region: m.self.GetRegion(), FailureDomain: k.domain, Sequence: uint64(now.UnixMilli()),
			}
		}
	}
	for k, s := range sums {
		old := m.summaries[k]
		if old != nil && k.model != "" && now.Sub(old.sentAt) < summaryRefreshInterval && similarSummaries(s, old.record) {
			continue
		}
		m.summaries[k] = &summary{record: s, receivedAt: now, sentAt: now}
		m.forwardSummary(k, s, nil)
	}
}

// domainHeartbeat returns the summary without a model that other failure
// domains take as a sign that this one is alive.
func (m *Monitor) domainHeartbeat(now time.Time) *messenger.Summary {
	return &messenger.Summary{
		Region: m.self.GetRegion(), FailureDomain: m.self.GetFailureDomain(), Sequence: uint64(now.UnixMilli()),
	}
}

// computeSummaries returns the heartbeat and the summary of each model over
// the replicas that this daemon monitors.
func (m *Monitor) computeSummaries(now time.Time) map[summaryKey]*messenger.Summary {
	sums := map[summaryKey]*messenger.Summary{
		{"", m.self.GetFailureDomain()}: m.domainHeartbeat(now),
	}
	for _, r := range m.replicas {
		if r.isGone() || !m.isResponsibleFor(r) {
			continue
		}
		k := summaryKey{modelOrService(r.record), r.record.GetFailureDomain()}
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

// similarSummaries reports whether the loads in two summaries differ by at most
// 10%, which does not matter for the choice between failure domains.
func similarSummaries(a, b *messenger.Summary) bool {
	return a.GetReady() == b.GetReady() &&
		within10Percent(float64(a.GetQueued()), float64(b.GetQueued())) &&
		within10Percent(float64(a.GetRunning()), float64(b.GetRunning())) &&
		within10Percent(a.GetRate(), b.GetRate())
}

func within10Percent(a, b float64) bool { return max(a, b) <= 1.1*min(a, b) }
