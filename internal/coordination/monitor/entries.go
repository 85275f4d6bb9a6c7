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
	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

const (
	// relaysPerDomain is the number of relays in each failure domain.
	relaysPerDomain = 2
	// maxSessionChoices limits the entry daemons listed in a notice to an agent.
	maxSessionChoices = 8
	// candidateTTL is how long daemons known from the object API only are kept
	// as candidates. The next read of the lists adds them again.
	candidateTTL = 2 * time.Minute
	// maxEntries limits the known entry daemons. The largest deployment has 1,000.
	maxEntries = 4096
)

// entry is one known entry daemon. A record without an RPC address marks
// a removed daemon.
type entry struct {
	record *messenger.EntryVM
	hash   uint64
	// lastHeard is when a frame from the daemon or a newer record last arrived.
	lastHeard time.Time
	// changedAt is when record arrived.
	changedAt time.Time
	// confirmed is false for daemons known from the object API only.
	confirmed bool
	// unreachable is set when the last link to the daemon breaks and cleared
	// when a message of it arrives again. An unreachable daemon is not chosen as a relay if
	// there is another.
	unreachable bool
}

func (e *entry) isGone() bool { return e.record.GetRpcAddress() == "" }

// isLive reports whether the daemon is a member and has not been removed.
func (e *entry) isLive() bool { return e.confirmed && !e.isGone() }

// Entries returns the live entry daemons including this one, ordered by VM.
// Daemons that are leaving are included and marked as such.
func (m *Monitor) Entries(now time.Time) []*messenger.EntryVM {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.liveEntries(now)
}

func (m *Monitor) liveEntries(now time.Time) []*messenger.EntryVM {
	live := make([]*messenger.EntryVM, 0, len(m.entries))
	for _, e := range m.entries {
		if e.isLive() && !m.isDomainSilent(e.record.GetFailureDomain(), now, RemoveAfter) {
			live = append(live, e.record)
		}
	}
	slices.SortFunc(live, func(a, b *messenger.EntryVM) int { return strings.Compare(a.GetVm(), b.GetVm()) })
	return live
}

// SessionOrder returns the entry daemons for an agent's sessions in order of
// preference. They are taken from the agent's failure domain, or from its
// region if the domain has none, or from anywhere if the region has none.
// Daemons that are leaving are skipped.
func SessionOrder(vm, failureDomain, region string, entries []*messenger.EntryVM) []*messenger.EntryVM {
	nearest := map[string]*messenger.EntryVM{}
	closest := 0
	for _, e := range entries {
		if e.GetLeaving() {
			continue
		}
		closeness := 1
		if e.GetRegion() == region {
			closeness++
		}
		if e.GetFailureDomain() == failureDomain {
			closeness++
		}
		if closeness > closest {
			closest = closeness
			clear(nearest)
		}
		if closeness == closest {
			nearest[e.GetVm()] = e
		}
	}
	names := make([]string, 0, len(nearest))
	for name := range nearest {
		names = append(names, name)
	}
	order := make([]*messenger.EntryVM, 0, maxSessionChoices)
	for _, name := range ranker.Top(nil, "session/"+vm, names, maxSessionChoices) {
		order = append(order, nearest[name])
	}
	return order
}

// mergeEntry stores and broadcasts the record if it is newer than the known
// one.
func (m *Monitor) mergeEntry(record *messenger.EntryVM, from *link, now time.Time) {
	vm := record.GetVm()
	e := m.entries[vm]
	if e != nil && e.confirmed && compareEntries(record, e.record) <= 0 {
		return
	}
	if vm == m.self.GetVm() && from != nil {
		m.refute(record, now)
		return
	}
	if from != nil && (proto.Size(record) > maxRecordBytes || e == nil && !m.hasRoomForEntry()) {
		return
	}
	if e != nil && e.confirmed && !e.isGone() && record.GetRpcAddress() == "" && from != nil && m.hasActiveLinkTo(vm, now) {
		// The removal comes from a daemon that was partitioned: this daemon still
		// receives frames from the removed one.
		alive := cloneEntry(e.record)
		alive.Sequence = record.GetSequence() + 1
		alive.StartedMs = record.GetStartedMs()
		record, from = alive, nil
	}
	if e == nil {
		e = &entry{}
		m.entries[vm] = e
	}
	m.digest ^= e.hash
	e.record, e.lastHeard, e.changedAt, e.confirmed, e.hash = record, now, now, true, 0
	e.unreachable = false
	if !e.isGone() {
		e.hash = hashEntry(record)
		if m.domainLastHeard[record.GetFailureDomain()].IsZero() {
			m.domainLastHeard[record.GetFailureDomain()] = now
		}
	}
	m.digest ^= e.hash
	m.generation++
	m.entryGeneration++
	m.broadcast(recordKey{kindEntry, vm}, record, from)
	m.wakeSessions()
}

// hasRoomForEntry reports whether a further daemon can be kept. At maxEntries it deletes the record
// of a removed one, if there is any.
func (m *Monitor) hasRoomForEntry() bool {
	if len(m.entries) < maxEntries {
		return true
	}
	for vm, e := range m.entries {
		if e.isGone() {
			delete(m.entries, vm)
			m.entryGeneration++
			return true
		}
	}
	return false
}

// hasActiveLinkTo reports whether frames from the VM arrive on a link.
func (m *Monitor) hasActiveLinkTo(vm string, now time.Time) bool {
	l := m.linkTo(vm, nil)
	return l != nil && now.Sub(l.lastReceived) < SuspectAfter
}

// refute supersedes a newer record of this daemon that another daemon created,
// such as its removal by a relay that did not hear it.
func (m *Monitor) refute(record *messenger.EntryVM, now time.Time) {
	self := cloneEntry(m.self)
	self.StartedMs = max(self.GetStartedMs(), record.GetStartedMs())
	self.Sequence = max(self.GetSequence(), record.GetSequence()) + 1
	m.self = self
	m.mergeEntry(self, nil, now)
}

// compareEntries orders the records of one VM from oldest to newest.
func compareEntries(a, b *messenger.EntryVM) int {
	return cmp.Or(
		cmp.Compare(a.GetStartedMs(), b.GetStartedMs()),
		cmp.Compare(a.GetSequence(), b.GetSequence()),
	)
}

func hashEntry(e *messenger.EntryVM) uint64 {
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:8], uint64(e.GetStartedMs()))
	binary.LittleEndian.PutUint64(numbers[8:], e.GetSequence())
	var h xxhash.Digest
	h.ResetWithSeed(1)
	_, _ = h.WriteString(e.GetVm())
	_, _ = h.Write(numbers[:])
	return h.Sum64()
}

// checkEntryLiveness removes, if this daemon is a relay, the daemons of its
// failure domain whose messages have not arrived for RemoveAfter. It also deletes
// removals after removalRetention and candidates after candidateTTL.
func (m *Monitor) checkEntryLiveness(now time.Time) {
	domain := m.self.GetFailureDomain()
	relay := m.topology().relay
	for vm, e := range m.entries {
		switch {
		case vm == m.self.GetVm():
		case e.isGone():
			if now.Sub(e.changedAt) >= removalRetention {
				delete(m.entries, vm)
				m.entryGeneration++
			}
		case !e.confirmed && now.Sub(e.changedAt) >= candidateTTL && len(m.entries) > 2:
			delete(m.entries, vm)
			m.entryGeneration++
		case relay && e.confirmed && e.record.GetFailureDomain() == domain && min(m.silenceDuration(e.lastHeard, domain, now), now.Sub(m.connectedSince)) >= RemoveAfter:
			removed := cloneEntry(e.record)
			removed.RpcAddress, removed.PublicAddress = "", ""
			removed.Sequence++
			m.mergeEntry(removed, nil, now)
		}
	}
}

// topology is derived from the known entry daemons and recomputed when they
// change.
type topology struct {
	generation uint64
	// relays maps each failure domain to the VMs of its relays, the first relay
	// first.
	relays map[string][]string
	// idealRelays maps each failure domain to the relays it would have if
	// every daemon were reachable. Dialers keep trying to reach them.
	idealRelays map[string][]string
	// relay is set if this daemon is a relay of its failure domain, firstRelay if
	// it is the relay that sends the domain's summaries and writes its list.
	relay, firstRelay bool
}

func (m *Monitor) topology() *topology {
	if m.cachedTopology != nil && m.cachedTopology.generation == m.entryGeneration {
		return m.cachedTopology
	}
	eligible, fallback, all := map[string][]string{}, map[string][]string{}, map[string][]string{}
	for vm, e := range m.entries {
		domain := e.record.GetFailureDomain()
		if e.confirmed && !e.isGone() && !e.record.GetLeaving() {
			all[domain] = append(all[domain], vm)
		}
		switch {
		case e.isGone():
		case e.confirmed && !e.record.GetLeaving() && !e.unreachable:
			eligible[domain] = append(eligible[domain], vm)
		default:
			fallback[domain] = append(fallback[domain], vm)
		}
	}
	// Daemons that are leaving, unreachable or unconfirmed become relays only in
	// failure domains without other daemons.
	for domain, names := range fallback {
		if len(eligible[domain]) == 0 {
			eligible[domain] = names
		}
	}
	m.cachedTopology = &topology{generation: m.entryGeneration, relays: map[string][]string{}, idealRelays: map[string][]string{}}
	for domain, names := range eligible {
		m.cachedTopology.relays[domain] = ranker.Top(nil, "relay/"+domain, names, relaysPerDomain)
	}
	for domain, names := range all {
		m.cachedTopology.idealRelays[domain] = ranker.Top(nil, "relay/"+domain, names, relaysPerDomain)
	}
	own := m.cachedTopology.relays[m.self.GetFailureDomain()]
	m.cachedTopology.relay = slices.Contains(own, m.self.GetVm())
	m.cachedTopology.firstRelay = m.cachedTopology.relay && own[0] == m.self.GetVm()
	return m.cachedTopology
}

// hasEntries reports whether the failure domain has entry daemons.
func (m *Monitor) hasEntries(domain string) bool {
	return len(m.topology().relays[domain]) > 0
}
