package monitor

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// livenessBits are the low bits of the sequence of a directory record. Entry
// daemons count there the removals and returns of a VM whose agent has changed
// nothing, so that each record of one incarnation has its own number. The
// agent's own sequence is above them.
const livenessBits = 16

// ReplicaView is what this daemon knows of one replica. Its messages are
// shared: the caller must not change them.
type ReplicaView struct {
	Replica *messenger.Replica
	// Load is the newest load, nil when none is known; LoadTime is when it
	// arrived here.
	Load     *messenger.Load
	LoadTime time.Time
	// Suspect replicas are not picked unless there is no other.
	Suspect bool
	// InSubset is set when this daemon gets the replica's load in detail.
	InSubset bool
	// Transfers and LastOrderError are known when the agent has a session here
	// or its status is sent here.
	Transfers      []*messenger.Transfer
	LastOrderError string
}

// replica is one record of the directory.
type replica struct {
	record *messenger.Replica
	hash   uint64
	load   *messenger.Load
	// loaded is when the load arrived; heard is when any sign of life did.
	loaded time.Time
	heard  time.Time
	// silent is set by a relay that had no report for SuspectAfter.
	silent bool
	// changed is when the record arrived.
	changed time.Time
	// session is set while the agent reports to this daemon.
	session        *session
	transfers      []*messenger.Transfer
	lastOrderError string
	status         uint64
}

func (r *replica) isGone() bool { return isRemoval(r.record) }

// Replicas returns the replicas that are not removed, ordered by VM.
func (m *Monitor) Replicas(now time.Time) []ReplicaView {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateIndex(now)
	views := make([]ReplicaView, 0, len(m.replicas))
	for _, r := range m.replicas {
		if r.isGone() || (r.session == nil && m.isSilent(r, now, RemoveAfter)) {
			continue
		}
		views = append(views, ReplicaView{
			Replica: r.record, Load: r.load, LoadTime: r.loaded,
			Suspect:        m.isSuspect(r, now),
			InSubset:       m.subset[r.record.GetVm()],
			Transfers:      r.transfers,
			LastOrderError: r.lastOrderError,
		})
	}
	slices.SortFunc(views, func(a, b ReplicaView) int {
		return strings.Compare(a.Replica.GetVm(), b.Replica.GetVm())
	})
	return views
}

func (m *Monitor) isSuspect(r *replica, now time.Time) bool {
	if r.session != nil {
		return now.Sub(r.session.reported) >= SuspectAfter
	}
	return r.silent || m.isSilent(r, now, SuspectAfter)
}

// isSilent reports whether the replica, or the failure domain that would tell
// of it, has given no sign of life for the duration.
func (m *Monitor) isSilent(r *replica, now time.Time, duration time.Duration) bool {
	domain := r.record.GetFailureDomain()
	if _, guarded := m.guarded[domain]; guarded && m.guards(r) {
		return m.silence(r.heard, domain, now) >= duration
	}
	return m.isUnheard(domain, now, duration)
}

// isUnheard reports whether a failure domain with entry daemons has given no
// sign of life for the duration. A domain without entry daemons gives none.
func (m *Monitor) isUnheard(domain string, now time.Time, silence time.Duration) bool {
	if domain == m.self.GetFailureDomain() && m.topology().relay {
		return false
	}
	heard, known := m.domains[domain]
	return known && m.hasEntries(domain) && now.Sub(heard) >= silence
}

// compareReplicas orders records of one VM by age.
func compareReplicas(a, b *messenger.Replica) int {
	return cmp.Or(
		cmp.Compare(a.GetStartedMs(), b.GetStartedMs()),
		strings.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetSequence(), b.GetSequence()),
	)
}

// mergeReplica keeps the record and passes it on if it is newer.
func (m *Monitor) mergeReplica(record *messenger.Replica, from *link, now time.Time) {
	vm := record.GetVm()
	old := m.replicas[vm]
	if old != nil && compareReplicas(record, old.record) <= 0 {
		return
	}
	if from != nil && old != nil && isRemoval(record) && m.hears(old, record, now) {
		// A daemon that was cut off itself has removed a replica that is heard
		// here.
		alive := proto.CloneOf(old.record)
		alive.Sequence = record.GetSequence() + 1
		record, from = alive, nil
	}
	r := old
	switch {
	case old == nil:
		r = &replica{heard: now}
	case old.record.GetIncarnation() != record.GetIncarnation() || old.isGone():
		// Load and transfers of the predecessor say nothing about the agent.
		r = &replica{heard: now, hash: old.hash}
		if old.session != nil && old.session.incarnation == record.GetIncarnation() {
			r.session = old.session
		}
	}
	m.replicas[vm] = r
	m.digest ^= r.hash
	r.record, r.changed, r.hash = record, now, 0
	if !r.isGone() {
		r.hash = hashReplica(record)
	}
	m.digest ^= r.hash
	m.generation++
	m.spread(key{kindReplica, vm}, record, from)
}

func isRemoval(r *messenger.Replica) bool {
	return r.GetState() == messenger.ReplicaState_REPLICA_STATE_GONE
}

// hears reports whether the incarnation that the record removes gives signs of
// life to this daemon.
func (m *Monitor) hears(r *replica, removal *messenger.Replica, now time.Time) bool {
	if r.isGone() || r.record.GetIncarnation() != removal.GetIncarnation() ||
		r.record.GetSequence()>>livenessBits != removal.GetSequence()>>livenessBits {
		return false
	}
	if r.session != nil {
		return now.Sub(r.session.reported) < SuspectAfter
	}
	return m.guards(r) && now.Sub(r.heard) < SuspectAfter
}

func hashReplica(r *messenger.Replica) uint64 {
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:8], uint64(r.GetStartedMs()))
	binary.LittleEndian.PutUint64(numbers[8:], r.GetSequence())
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(r.GetVm())
	_, _ = h.WriteString("\x00" + r.GetIncarnation())
	_, _ = h.Write(numbers[:])
	return h.Sum64()
}

// mergeReport takes a report of an agent with a session here. It returns the
// record that is now in the directory.
func (m *Monitor) mergeReport(report *messenger.AgentReport, s *session, now time.Time) *messenger.Replica {
	record := m.recordOf(report.GetReplica())
	m.mergeReplica(record, nil, now)
	r := m.replicas[record.GetVm()]
	if r.record.GetIncarnation() != record.GetIncarnation() {
		return r.record
	}
	r.session, r.heard = s, now
	r.transfers, r.lastOrderError = report.GetTransfers(), report.GetLastOrderError()
	if load := report.GetLoad(); load != nil {
		m.mergeLoad(record.GetVm(), load, nil, now)
	}
	return r.record
}

// recordOf returns the directory record for an agent's own record: its
// sequence is above the liveness bits, which continue those of the same
// record. A removed VM returns with the next number.
func (m *Monitor) recordOf(own *messenger.Replica) *messenger.Replica {
	record := proto.CloneOf(own)
	record.Sequence = own.GetSequence() << livenessBits
	old := m.replicas[own.GetVm()]
	if old == nil || old.record.GetIncarnation() != own.GetIncarnation() ||
		old.record.GetSequence()>>livenessBits != own.GetSequence() {
		return record
	}
	record.Sequence = old.record.GetSequence()
	if old.isGone() && own.GetState() != messenger.ReplicaState_REPLICA_STATE_GONE {
		record.Sequence++
	}
	return record
}

// removalOf returns the record that removes a replica.
func removalOf(r *messenger.Replica) *messenger.Replica {
	return &messenger.Replica{
		Vm: r.GetVm(), Region: r.GetRegion(), FailureDomain: r.GetFailureDomain(),
		Incarnation: r.GetIncarnation(), StartedMs: r.GetStartedMs(),
		Sequence: r.GetSequence() + 1,
		State:    messenger.ReplicaState_REPLICA_STATE_GONE,
	}
}

// mergeLoad takes a sign of life with a load, and passes it on.
func (m *Monitor) mergeLoad(vm string, load *messenger.Load, from *link, now time.Time) {
	r := m.replicas[vm]
	if r == nil || r.isGone() {
		return
	}
	// A restarted agent counts from the beginning again; an older load that
	// arrives after its first one must not last.
	stale := r.load != nil && load.GetSequence() < r.load.GetSequence() && now.Sub(r.loaded) < SuspectAfter
	if stale {
		return
	}
	repeated := r.load != nil && load.GetSequence() == r.load.GetSequence() && now.Sub(r.loaded) < time.Second
	r.heard = now
	if r.silent {
		r.silent = false
		m.spread(key{kindLoad, vm}, &messenger.ReplicaLoad{Vm: vm, Load: load}, from)
	}
	if repeated {
		return
	}
	r.load, r.loaded = load, now
	m.passLoad(r, from, now)
}

// judgeSilence marks and removes the replicas and daemons that this daemon,
// as a relay, watches over, and forgets removals after retainRemoved.
func (m *Monitor) judgeSilence(now time.Time) {
	m.updateGuarded(now)
	m.updateConnected(now)
	for vm, r := range m.replicas {
		silence := m.silence(r.heard, r.record.GetFailureDomain(), now)
		// What this daemon does not hear because it is cut off itself is no news
		// for others.
		told := min(silence, now.Sub(m.connected))
		switch {
		case r.isGone():
			if now.Sub(r.changed) >= retainRemoved {
				delete(m.replicas, vm)
			}
		case !m.guards(r):
		case told >= RemoveAfter:
			m.mergeReplica(removalOf(r.record), nil, now)
		case told >= SuspectAfter && !r.silent:
			r.silent = true
			m.spread(key{kindLoad, vm}, &messenger.ReplicaLoad{Vm: vm}, nil)
		}
	}
	m.judgeEntries(now)
}

// updateConnected notes since when this daemon has heard enough of the others
// to judge who is gone: most daemons of its failure domain, or any other
// failure domain. It adds the time in which the others link to it again.
func (m *Monitor) updateConnected(now time.Time) {
	domain := m.self.GetFailureDomain()
	heard, total, abroad, heardAbroad := 0, 0, false, false
	for vm, e := range m.entries {
		switch {
		case !e.isLive():
		case e.record.GetFailureDomain() != domain:
			abroad = true
			heardAbroad = heardAbroad || now.Sub(m.domains[e.record.GetFailureDomain()]) < SuspectAfter
		default:
			total++
			if vm == m.self.GetVm() || now.Sub(e.heard) < SuspectAfter {
				heard++
			}
		}
	}
	if m.connected.IsZero() || (2*heard <= total && abroad && !heardAbroad) {
		m.connected = now.Add(settleAfter)
	}
}

// updateGuarded notes since when this daemon has been responsible for each
// failure domain.
func (m *Monitor) updateGuarded(now time.Time) {
	guarded := map[string]time.Time{}
	for _, r := range m.replicas {
		domain := r.record.GetFailureDomain()
		if _, done := guarded[domain]; !done && m.guards(r) {
			guarded[domain] = m.guardedSince(domain, now)
		}
	}
	if m.topology().relay {
		guarded[m.self.GetFailureDomain()] = m.guardedSince(m.self.GetFailureDomain(), now)
	}
	m.guarded = guarded
}

func (m *Monitor) guardedSince(domain string, now time.Time) time.Time {
	if since, was := m.guarded[domain]; was {
		return since
	}
	return now
}

// silence is the time without a sign of life. It counts from when this daemon
// became responsible: before that, others were told and not it.
func (m *Monitor) silence(heard time.Time, domain string, now time.Time) time.Duration {
	if since := m.guarded[domain]; since.After(heard) {
		return now.Sub(since)
	}
	return now.Sub(heard)
}

// guards reports whether this daemon watches over the replica: as a relay of
// its failure domain, or as any relay when that domain has no entry daemon.
func (m *Monitor) guards(r *replica) bool {
	domain := r.record.GetFailureDomain()
	if domain != m.self.GetFailureDomain() && m.hasEntries(domain) {
		return false
	}
	return m.topology().relay
}
