package monitor

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

// role is the place of a peer in the tree of relays, seen from here.
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

// apply takes a frame. It reports whether the link may stay.
func (m *Monitor) apply(l *link, frame *messenger.ExchangeFrame, now time.Time) bool {
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
	l.received = now
	if sender != nil {
		l.peer = sender
		m.mergeEntry(sender, l, now)
	}
	if !l.introduced {
		l.introduced = true
		m.introduce(l)
	}
	m.hearPeer(l, now)
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

// introduce queues what only this daemon may know, and what the digest does
// not cover.
func (m *Monitor) introduce(l *link) {
	for vm, r := range m.replicas {
		if r.session != nil {
			l.urgent.Put(key{kindReplica, vm}, r.record)
		}
	}
	for shard, f := range m.leases {
		l.urgent.Put(key{kindLease, shard}, f)
	}
	for fingerprint, s := range m.suspicions {
		l.urgent.Put(key{kindSuspicion, fingerprint}, s)
	}
}

func (m *Monitor) hearPeer(l *link, now time.Time) {
	e := m.entries[l.peer.GetVm()]
	if e == nil {
		return
	}
	e.heard = now
	if e.unreachable {
		e.unreachable = false
		m.entryGeneration++
	}
}

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
			m.kickSessions()
		}
	}
	for _, s := range frame.GetStatuses() {
		if m.routeStatus(s, l) {
			statuses = append(statuses, s)
		}
	}
	return suspicions, leases, statuses
}

// applyLoad takes one load of a frame. Without a load it says that a relay
// has had no report for SuspectAfter; with draining and no sequence it is a
// hint of the VM list.
func (m *Monitor) applyLoad(l *link, load *messenger.ReplicaLoad, now time.Time) {
	r := m.replicas[load.GetVm()]
	switch {
	case r == nil:
	case load.GetLoad() == nil:
		if r.session == nil && !m.guards(r) && !r.silent {
			r.silent = true
			m.spread(key{kindLoad, load.GetVm()}, load, l)
		}
	case isHint(load.GetLoad()):
		m.takeHint(load, l)
	default:
		m.mergeLoad(load.GetVm(), load.GetLoad(), l, now)
	}
}

// spread queues a record that every daemon is to have. Only relays pass on
// what they got: from a daemon of their failure domain to all, from another
// failure domain to the daemons of their own.
func (m *Monitor) spread(k key, record proto.Message, from *link) {
	if from != nil && !m.topology().relay {
		return
	}
	for l := range m.links {
		if l == from || l.peer == nil {
			continue
		}
		if from == nil || passes(m.roleOf(from), m.roleOf(l)) {
			l.urgent.Put(k, record)
		}
	}
}

func passes(from, to role) bool {
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

// isPrimary reports whether this daemon, of the relays of its failure domain,
// is the one that sends loads and summaries to the VM.
func (m *Monitor) isPrimary(vm string) bool {
	topo := m.topology()
	return topo.relay && ranker.Position("primary/"+vm, topo.relays[m.self.GetFailureDomain()], m.self.GetVm()) == 0
}

const (
	// loadRefresh is the longest time without a load to a daemon while the
	// load does not change.
	loadRefresh = 6 * time.Second
	// signOfLife is the same towards relays, which judge by it whether the
	// agent is silent. It is less than the interval of reports.
	signOfLife = 1500 * time.Millisecond
)

// passLoad queues the load of a replica for the links that want it.
func (m *Monitor) passLoad(r *replica, from *link, now time.Time) {
	source := roleMember
	if from != nil {
		source = m.roleOf(from)
	}
	for l := range m.links {
		if l == from || l.peer == nil || !m.wantsLoad(l, r, from == nil, source, now) {
			continue
		}
		refresh := loadRefresh
		if m.roleOf(l) != roleMember {
			refresh = signOfLife
		}
		last, passed := l.passed[r.record.GetVm()]
		if passed && sameLoad(last.load, r.load) && now.Sub(last.at) < refresh {
			continue
		}
		l.passed[r.record.GetVm()] = passedLoad{r.load, now}
		l.loads.Put(key{kindLoad, r.record.GetVm()}, &messenger.ReplicaLoad{Vm: r.record.GetVm(), Load: r.load})
	}
}

func (m *Monitor) wantsLoad(l *link, r *replica, local bool, source role, now time.Time) bool {
	to := m.roleOf(l)
	switch {
	case to == roleRelay:
		// Each holder of a session tells both relays itself.
		return local
	case !m.topology().relay || !m.isPrimary(l.peer.GetVm()):
		return false
	case to == roleMember:
		return m.wanted(l.peer, r, now)
	default:
		return source != roleRemote && m.wantedAbroad(l.peer, r, now)
	}
}

// sameLoad reports whether a load differs too little to be sent before the
// next refresh.
func sameLoad(a, b *messenger.Load) bool {
	return a.GetQueued() == b.GetQueued() && a.GetRunning() == b.GetRunning() &&
		a.GetDraining() == b.GetDraining() && a.GetVersion() == b.GetVersion() &&
		max(a.GetRate(), b.GetRate()) <= 1.1*min(a.GetRate(), b.GetRate())
}

// compareDigests starts a repair when the directories of the two ends differ.
// A difference counts when neither has changed for a heartbeat; without that,
// records on their way would be taken for a loss.
func (m *Monitor) compareDigests(l *link, digest uint64, now time.Time) {
	first := !l.synced
	atRest := digest == l.peerDigest && m.digest == l.ownDigest
	l.synced, l.peerDigest, l.ownDigest = true, digest, m.digest
	if digest == m.digest {
		l.differs = time.Time{}
		return
	}
	if l.differs.IsZero() {
		l.differs = now
	}
	// The relay begins, since it usually knows more.
	begin := first && m.topology().relay
	overdue := now.Sub(l.differs) >= repairAfter && now.Sub(l.repaired) >= repairAfter
	if begin || overdue || (atRest && l.urgent.Len() == 0) {
		m.sendAll(l, now)
	}
}

// sendAll queues everything that every daemon is to have.
func (m *Monitor) sendAll(l *link, now time.Time) {
	l.repaired, l.differs = now, time.Time{}
	l.peerDigest, l.ownDigest = 0, 0
	for vm, e := range m.entries {
		if e.confirmed {
			l.urgent.Put(key{kindEntry, vm}, e.record)
		}
	}
	for vm, r := range m.replicas {
		l.urgent.Put(key{kindReplica, vm}, r.record)
		if r.silent {
			l.urgent.Put(key{kindLoad, vm}, &messenger.ReplicaLoad{Vm: vm})
		}
	}
	for k, s := range m.summaries {
		if now.Sub(s.received) < RemoveAfter {
			l.urgent.Put(key{kindSummary, k.String()}, s.record)
		}
	}
}
