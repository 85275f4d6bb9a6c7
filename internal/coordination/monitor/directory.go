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

// livenessBits is the number of low bits of a directory record's sequence in
// which entry daemons count removals and returns of a VM whose agent reported
// no change, so that each record of an incarnation has a distinct sequence.
// The agent's own sequence occupies the bits above.
const livenessBits = 16

// ReplicaView is a snapshot of the state of one replica as known to this
// daemon. Its messages are shared and must not be modified.
type ReplicaView struct {
	Replica *messenger.Replica
	// Load is the latest load, or nil if none is known. LoadTime is when it
	// arrived at this daemon.
	Load     *messenger.Load
	LoadTime time.Time
	// Suspect is set when no message about the replica has arrived for
	// SuspectAfter. A suspect replica is picked only if there is no other.
	Suspect bool
	// InSubset is set when this daemon receives the replica's detailed load.
	InSubset bool
	// Transfers and LastOrderError are set only if the agent has a session with
	// this daemon or its status is sent to it.
	Transfers      []*messenger.Transfer
	LastOrderError string
}

// replica is one record of the directory with its local state.
type replica struct {
	record *messenger.Replica
	hash   uint64
	load   *messenger.Load
	// loadTime is when load arrived. lastHeard is when a report or load of the
	// replica last arrived.
	loadTime  time.Time
	lastHeard time.Time
	// silent is set when a relay has received no report for SuspectAfter.
	silent bool
	// changedAt is when record arrived.
	changedAt time.Time
	// session is set while the agent reports to this daemon.
	session        *session
	transfers      []*messenger.Transfer
	lastOrderError string
	// statusSequence is the sequence of the last status applied.
	statusSequence uint64
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
			Replica: r.record, Load: r.load, LoadTime: r.loadTime,
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
		return now.Sub(r.session.lastReport) >= SuspectAfter
	}
	return r.silent || m.isSilent(r, now, SuspectAfter)
}

// isSilent reports whether this daemon has received nothing for the duration: of
// the replica if this daemon monitors it, and otherwise of the replica's
// failure domain.
func (m *Monitor) isSilent(r *replica, now time.Time, duration time.Duration) bool {
	domain := r.record.GetFailureDomain()
	if _, responsible := m.responsibleSince[domain]; responsible && m.isResponsibleFor(r) {
		return m.silenceDuration(r.lastHeard, domain, now) >= duration
	}
	return m.isDomainSilent(domain, now, duration)
}

// isDomainSilent reports whether a failure domain with entry daemons has sent
// no heartbeat for the duration. A domain without entry daemons sends no
// heartbeats and does not count as silent.
func (m *Monitor) isDomainSilent(domain string, now time.Time, duration time.Duration) bool {
	if domain == m.self.GetFailureDomain() && m.topology().relay {
		return false
	}
	lastHeard, known := m.domainLastHeard[domain]
	return known && m.hasEntries(domain) && now.Sub(lastHeard) >= duration
}

// compareReplicas orders the records of one VM from oldest to newest.
func compareReplicas(a, b *messenger.Replica) int {
	return cmp.Or(
		cmp.Compare(a.GetStartedMs(), b.GetStartedMs()),
		strings.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetSequence(), b.GetSequence()),
	)
}

// mergeReplica stores and broadcasts the record if it is newer than the known
// one.
func (m *Monitor) mergeReplica(record *messenger.Replica, from *link, now time.Time) {
	vm := record.GetVm()
	old := m.replicas[vm]
	if old != nil && compareReplicas(record, old.record) <= 0 {
		return
	}
	if from != nil && (proto.Size(record) > maxRecordBytes || old == nil && !m.hasRoomForReplica()) {
		return
	}
	if from != nil && old != nil && isRemoval(record) && m.contradictsRemoval(old, record, now) {
		// The removal comes from a daemon that was partitioned: this daemon still
		// receives messages of the replica.
		alive := proto.CloneOf(old.record)
		alive.Sequence = record.GetSequence() + 1
		record, from = alive, nil
	}
	r := old
	switch {
	case old == nil:
		r = &replica{lastHeard: now}
	case old.record.GetIncarnation() != record.GetIncarnation() || old.isGone():
		// Load and transfers of the previous incarnation do not apply to this one.
		r = &replica{lastHeard: now, hash: old.hash}
		if old.session != nil && old.session.incarnation == record.GetIncarnation() {
			r.session = old.session
		}
	}
	m.replicas[vm] = r
	m.digest ^= r.hash
	r.record, r.changedAt, r.hash = record, now, 0
	if !r.isGone() {
		r.hash = hashReplica(record)
	}
	m.digest ^= r.hash
	m.generation++
	m.broadcast(recordKey{kindReplica, vm}, record, from)
}

// hasRoomForReplica reports whether a further VM can be kept. At maxReplicas it deletes the record of
// a removed one, if there is any.
func (m *Monitor) hasRoomForReplica() bool {
	if len(m.replicas) < maxReplicas {
		return true
	}
	for vm, r := range m.replicas {
		if r.isGone() {
			delete(m.replicas, vm)
			return true
		}
	}
	return false
}

// isRemoval reports whether the record marks its VM as removed.
func isRemoval(r *messenger.Replica) bool {
	return r.GetState() == messenger.ReplicaState_REPLICA_STATE_GONE
}

// contradictsRemoval reports whether this daemon has recently received
// messages of the incarnation that the record removes.
func (m *Monitor) contradictsRemoval(r *replica, removal *messenger.Replica, now time.Time) bool {
	if r.isGone() || r.record.GetIncarnation() != removal.GetIncarnation() ||
		r.record.GetSequence()>>livenessBits != removal.GetSequence()>>livenessBits {
		return false
	}
	if r.session != nil {
		return now.Sub(r.session.lastReport) < SuspectAfter
	}
	return m.isResponsibleFor(r) && now.Sub(r.lastHeard) < SuspectAfter
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

// mergeReport applies a report of an agent with a session on this daemon and
// returns the resulting directory record.
func (m *Monitor) mergeReport(report *messenger.AgentReport, s *session, now time.Time) *messenger.Replica {
	record := m.directoryRecord(report.GetReplica())
	m.mergeReplica(record, nil, now)
	r := m.replicas[record.GetVm()]
	if r.record.GetIncarnation() != record.GetIncarnation() {
		return r.record
	}
	r.session, r.lastHeard = s, now
	r.transfers, r.lastOrderError = report.GetTransfers(), report.GetLastOrderError()
	if load := report.GetLoad(); load != nil {
		m.mergeLoad(record.GetVm(), load, nil, now)
	}
	return r.record
}

// directoryRecord returns the directory record for an agent's record: the
// agent's sequence is shifted above the liveness bits, which are taken from
// the known record with the same sequence. If that record is a removal and the
// agent is alive, the liveness count is incremented.
func (m *Monitor) directoryRecord(own *messenger.Replica) *messenger.Replica {
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

// newRemoval returns the record that removes a replica.
func newRemoval(r *messenger.Replica) *messenger.Replica {
	return &messenger.Replica{
		Vm: r.GetVm(), Region: r.GetRegion(), FailureDomain: r.GetFailureDomain(),
		Incarnation: r.GetIncarnation(), StartedMs: r.GetStartedMs(),
		Sequence: r.GetSequence() + 1,
		State:    messenger.ReplicaState_REPLICA_STATE_GONE,
	}
}

// mergeLoad records that a message of the replica arrived, stores its load and
// forwards it.
func (m *Monitor) mergeLoad(vm string, load *messenger.Load, from *link, now time.Time) {
	r := m.replicas[vm]
	if r == nil || r.isGone() {
		return
	}
	// A restarted agent numbers its loads from the beginning, so a lower sequence
	// is ignored for SuspectAfter only. Otherwise a delayed load of the old
	// process would hide the loads of the new one.
	stale := r.load != nil && load.GetSequence() < r.load.GetSequence() && now.Sub(r.loadTime) < SuspectAfter
	if stale {
		return
	}
	repeated := r.load != nil && load.GetSequence() == r.load.GetSequence() && now.Sub(r.loadTime) < time.Second
	r.lastHeard = now
	if r.silent {
		r.silent = false
		m.broadcast(recordKey{kindLoad, vm}, &messenger.ReplicaLoad{Vm: vm, Load: load}, from)
	}
	if repeated {
		return
	}
	r.load, r.loadTime = load, now
	m.forwardLoad(r, from, now)
}

// checkLiveness marks as silent or removes the replicas and daemons that this
// daemon monitors as a relay, and deletes removals after removalRetention.
func (m *Monitor) checkLiveness(now time.Time) {
	m.updateResponsibility(now)
	m.updateConnectivity(now)
	for vm, r := range m.replicas {
		silence := m.silenceDuration(r.lastHeard, r.record.GetFailureDomain(), now)
		// Silence while this daemon itself was partitioned is not evidence that
		// the replica is gone.
		silenceWhileConnected := min(silence, now.Sub(m.connectedSince))
		switch {
		case r.isGone():
			if now.Sub(r.changedAt) >= removalRetention {
				delete(m.replicas, vm)
			}
		case !m.isResponsibleFor(r):
		case silenceWhileConnected >= RemoveAfter:
			m.mergeReplica(newRemoval(r.record), nil, now)
		case silenceWhileConnected >= SuspectAfter && !r.silent:
			r.silent = true
			m.broadcast(recordKey{kindLoad, vm}, &messenger.ReplicaLoad{Vm: vm}, nil)
		}
	}
	m.checkEntryLiveness(now)
}

// updateConnectivity maintains connectedSince. This daemon counts as connected
// while it receives messages of more than half of its failure domain or of
// another failure domain, or knows of no other domain. While it is not connected,
// connectedSince is set reconnectGrace ahead, the time that peers get to
// re-establish their links.
func (m *Monitor) updateConnectivity(now time.Time) {
	domain := m.self.GetFailureDomain()
	live, total, hasRemote, liveRemote := 0, 0, false, false
	for vm, e := range m.entries {
		switch {
		case !e.isLive():
		case e.record.GetFailureDomain() != domain:
			hasRemote = true
			liveRemote = liveRemote || now.Sub(m.domainLastHeard[e.record.GetFailureDomain()]) < SuspectAfter
		default:
			total++
			if vm == m.self.GetVm() || now.Sub(e.lastHeard) < SuspectAfter {
				live++
			}
		}
	}
	if m.connectedSince.IsZero() || (2*live <= total && hasRemote && !liveRemote) {
		m.connectedSince = now.Add(reconnectGrace)
	}
}

// updateResponsibility records since when this daemon has been responsible for
// each failure domain.
func (m *Monitor) updateResponsibility(now time.Time) {
	since := map[string]time.Time{}
	for _, r := range m.replicas {
		domain := r.record.GetFailureDomain()
		if _, done := since[domain]; !done && m.isResponsibleFor(r) {
			since[domain] = m.responsibilityStart(domain, now)
		}
	}
	if m.topology().relay {
		since[m.self.GetFailureDomain()] = m.responsibilityStart(m.self.GetFailureDomain(), now)
	}
	m.responsibleSince = since
}

// responsibilityStart returns since when this daemon has been responsible for
// the failure domain, which is now if it was not before.
func (m *Monitor) responsibilityStart(domain string, now time.Time) time.Time {
	if since, known := m.responsibleSince[domain]; known {
		return since
	}
	return now
}

// silenceDuration returns the time since lastHeard. It counts from no earlier
// than when this daemon became responsible for the domain, because reports and
// loads went to other daemons before.
func (m *Monitor) silenceDuration(lastHeard time.Time, domain string, now time.Time) time.Duration {
	if since := m.responsibleSince[domain]; since.After(lastHeard) {
		return now.Sub(since)
	}
	return now.Sub(lastHeard)
}

// isResponsibleFor reports whether this daemon monitors the liveness of the
// replica: it is a relay of the replica's failure domain, or a relay of any
// domain if that one has no entry daemon.
func (m *Monitor) isResponsibleFor(r *replica) bool {
	domain := r.record.GetFailureDomain()
	if domain != m.self.GetFailureDomain() && m.hasEntries(domain) {
		return false
	}
	return m.topology().relay
}
