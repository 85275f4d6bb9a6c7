package monitor

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

// role is the position of a peer in the relay tree, relative to this daemon.
type role uint8

const (
	// roleMember is a daemon of this failure domain that is not a relay.
	roleMember role = iota
	// roleRelay is a relay of this failure domain.
	roleRelay
	// roleRemote is a daemon of another failure domain.
	roleRemote
)

func (m *Monitor) roleOf(l *link) role {
	if l.peer.GetFailureDomain() != m.self.GetFailureDomain() {
		return roleRemote
	}
	for _, vm := range m.topology().relays[l.peer.GetFailureDomain()] {
		if vm == l.peer.GetVm() {
			return roleRelay
		}
	}
	return roleMember
}

// applyFrame applies a received frame. It returns false if the frame is invalid
// and the link must be closed.
func (m *Monitor) applyFrame(l *link, frame *messenger.ExchangeFrame, now time.Time) bool {
	m.mu.Lock()
	sender := frame.GetSender()
	if sender != nil && (sender.GetVm() == "" || sender.GetRpcAddress() == "" || sender.GetVm() == m.self.GetVm()) {
		m.mu.Unlock()
		return false
	}
	if l.peer == nil && sender == nil {
		m.mu.Unlock()
		return false
	}
	l.lastReceived = now
	if sender != nil {
		l.peer = sender
		m.mergeEntry(sender, l, now)
	}
	if !l.initialSyncSent {
		l.initialSyncSent = true
		m.queueInitialRecords(l)
	}
	m.updatePeerHeard(l, now)
	address := l.peer.GetRpcAddress()
	suspicions, leases, statuses := m.applyRecords(l, frame, now)
	if frame.GetDirectoryDigest() != 0 {
		m.compareDigests(l, frame.GetDirectoryDigest(), now)
	}
	changed := len(frame.GetReplicas())+len(frame.GetEntries())+len(frame.GetLoads())+len(frame.GetSummaries()) > 0
	m.mu.Unlock()

	if m.OnRevision != nil && frame.GetRevision() > 0 {
		m.OnRevision(frame.GetRevision(), address)
	}
	if m.OnSuspicions != nil && len(suspicions) > 0 {
		m.OnSuspicions(suspicions)
	}
	if m.OnLeases != nil && len(leases) > 0 {
		m.OnLeases(leases)
	}
	if m.OnStatus != nil {
		for _, s := range statuses {
			m.OnStatus(s)
		}
	}
	if changed {
		m.notify.Notify()
	}
	return true
}

// queueInitialRecords queues the records of the agents with a session on this
// daemon, which no other daemon may have yet, and the leases and suspicions,
// which the directory digest does not cover.
func (m *Monitor) queueInitialRecords(l *link) {
	for vm, r := range m.replicas {
		if r.session != nil {
			l.urgent.Put(recordKey{kindReplica, vm}, r.record)
		}
	}
	for shard, f := range m.leases {
		l.urgent.Put(recordKey{kindLease, shard}, f)
	}
	for fingerprint, s := range m.suspicions {
		l.urgent.Put(recordKey{kindSuspicion, fingerprint}, s)
	}
}

// updatePeerHeard records that a frame arrived from the peer, which makes it
// eligible as a relay again.
func (m *Monitor) updatePeerHeard(l *link, now time.Time) {
	e := m.entries[l.peer.GetVm()]
	if e == nil {
		return
	}
	e.lastHeard = now
	if e.unreachable {
		e.unreachable = false
		m.entryGeneration++
	}
}

// applyRecords merges the records of a frame. It returns those to pass to the
// callbacks.
func (m *Monitor) applyRecords(l *link, frame *messenger.ExchangeFrame, now time.Time) (
	suspicions []*messenger.Suspicion, leases []*messenger.LeaseFact, statuses []*messenger.DaemonStatus,
) {
	for _, e := range frame.GetEntries() {
		m.mergeEntry(e, l, now)
	}
	for _, r := range frame.GetReplicas() {
		m.mergeReplica(r, l, now)
	}
	for _, s := range frame.GetSummaries() {
		m.mergeSummary(s, l, now)
	}
	for _, load := range frame.GetLoads() {
		m.applyLoad(l, load, now)
	}
	for _, u := range frame.GetUsages() {
		m.mergeUsage(u, l, now)
	}
	for _, s := range frame.GetSuspicions() {
		if m.mergeSuspicion(s, l) {
			suspicions = append(suspicions, s)
		}
	}
	for _, f := range frame.GetLeases() {
		if m.mergeLease(f, l) {
			leases = append(leases, f)
			m.wakeSessions()
		}
	}
	for _, s := range frame.GetStatuses() {
		if m.routeStatus(s, l) {
			statuses = append(statuses, s)
		}
	}
	return suspicions, leases, statuses
}

// applyLoad applies one load record of a frame. A record without a load means
// that a relay has received no report for SuspectAfter; a load that satisfies
// isHint is a hint from the VM list.
func (m *Monitor) applyLoad(l *link, load *messenger.ReplicaLoad, now time.Time) {
	r := m.replicas[load.GetVm()]
	switch {
	case r == nil:
	case load.GetLoad() == nil:
		if r.session == nil && !m.isResponsibleFor(r) && !r.silent {
			r.silent = true
			m.broadcast(recordKey{kindLoad, load.GetVm()}, load, l)
		}
	case isHint(load.GetLoad()):
		m.applyHint(load, l)
	default:
		m.mergeLoad(load.GetVm(), load.GetLoad(), l, now)
	}
}

// broadcast queues a record for all daemons. Only relays forward records that
// they received: those from a member of their failure domain to every link
// except those to relays of their own domain, those from another failure
// domain to their members.
func (m *Monitor) broadcast(k recordKey, record proto.Message, from *link) {
	if from != nil && !m.topology().relay {
		return
	}
	for l := range m.links {
		if l == from || l.peer == nil {
			continue
		}
		if from == nil || forwards(m.roleOf(from), m.roleOf(l)) {
			l.urgent.Put(k, record)
		}
	}
}

// forwards reports whether a relay forwards records between peers of these
// roles.
func forwards(from, to role) bool {
	switch from {
	case roleMember:
		return to != roleRelay
	case roleRemote:
		return to == roleMember
	case roleRelay:
		return false
	}
	return false
}

// isPrimary reports whether this daemon is the relay of its failure domain
// that sends loads and summaries to the VM.
func (m *Monitor) isPrimary(vm string) bool {
	topo := m.topology()
	return topo.relay && ranker.Position("primary/"+vm, topo.relays[m.self.GetFailureDomain()], m.self.GetVm()) == 0
}

const (
	// loadRefreshInterval is the maximum time between two loads of a replica to
	// a member while the load does not change.
	loadRefreshInterval = 6 * time.Second
	// relayLoadRefreshInterval is the same for links to relays and to other
	// failure domains, where relays use loads to detect silent agents. It is less
	// than the interval of agent reports.
	relayLoadRefreshInterval = 1500 * time.Millisecond
)

// forwardLoad queues the load of a replica on the links for which wantsLoad
// returns true, unless a similar load was queued recently.
func (m *Monitor) forwardLoad(r *replica, from *link, now time.Time) {
	source := roleMember
	if from != nil {
		source = m.roleOf(from)
	}
	for l := range m.links {
		if l == from || l.peer == nil || !m.wantsLoad(l, r, from == nil, source, now) {
			continue
		}
		refresh := loadRefreshInterval
		if m.roleOf(l) != roleMember {
			refresh = relayLoadRefreshInterval
		}
		last, sent := l.sentLoads[r.record.GetVm()]
		if sent && similarLoads(last.load, r.load) && now.Sub(last.sentAt) < refresh {
			continue
		}
		l.sentLoads[r.record.GetVm()] = sentLoad{r.load, now}
		l.loads.Put(recordKey{kindLoad, r.record.GetVm()}, &messenger.ReplicaLoad{Vm: r.record.GetVm(), Load: r.load})
	}
}

// wantsLoad reports whether the load of a replica is sent on the link. The load
// comes from a session on this daemon if local is set, otherwise from a peer
// with the source role.
func (m *Monitor) wantsLoad(l *link, r *replica, local bool, source role, now time.Time) bool {
	to := m.roleOf(l)
	switch {
	case to == roleRelay:
		// Each daemon with a session of the agent sends its load to both relays.
		return local
	case !m.topology().relay || !m.isPrimary(l.peer.GetVm()):
		return false
	case to == roleMember:
		return m.inSubset(l.peer, r, now)
	default:
		return source != roleRemote && m.inDomainSubset(l.peer, r, now)
	}
}

// similarLoads reports whether two loads differ too little to send the newer
// one before the next refresh.
func similarLoads(a, b *messenger.Load) bool {
	return a.GetQueued() == b.GetQueued() && a.GetRunning() == b.GetRunning() &&
		a.GetDraining() == b.GetDraining() && a.GetVersion() == b.GetVersion() &&
		max(a.GetRate(), b.GetRate()) <= 1.1*min(a.GetRate(), b.GetRate())
}

// compareDigests queues the full directory if the directories of the two ends
// differ. A difference counts only when both digests are unchanged since the
// last heartbeat or after repairDelay, because otherwise records in transit
// would look lost. The first digest on a link is compared immediately by
// a relay.
func (m *Monitor) compareDigests(l *link, digest uint64, now time.Time) {
	first := !l.digestReceived
	unchanged := digest == l.peerDigest && m.digest == l.ownDigest
	l.digestReceived, l.peerDigest, l.ownDigest = true, digest, m.digest
	if digest == m.digest {
		l.differsSince = time.Time{}
		return
	}
	if l.differsSince.IsZero() {
		l.differsSince = now
	}
	// A relay sends first because it usually has the more complete directory.
	initial := first && m.topology().relay
	overdue := now.Sub(l.differsSince) >= repairDelay && now.Sub(l.repairedAt) >= repairDelay
	if initial || overdue || (unchanged && l.urgent.Len() == 0) {
		m.queueFullDirectory(l, now)
	}
}

// queueFullDirectory queues all entries, replicas and summaries.
func (m *Monitor) queueFullDirectory(l *link, now time.Time) {
	l.repairedAt, l.differsSince = now, time.Time{}
	l.peerDigest, l.ownDigest = 0, 0
	for vm, e := range m.entries {
		if e.confirmed {
			l.urgent.Put(recordKey{kindEntry, vm}, e.record)
		}
	}
	for vm, r := range m.replicas {
		l.urgent.Put(recordKey{kindReplica, vm}, r.record)
		if r.silent {
			l.urgent.Put(recordKey{kindLoad, vm}, &messenger.ReplicaLoad{Vm: vm})
		}
	}
	for k, s := range m.summaries {
		if now.Sub(s.receivedAt) < RemoveAfter {
			l.urgent.Put(recordKey{kindSummary, k.String()}, s.record)
		}
	}
}
