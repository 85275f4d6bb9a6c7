package monitor

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

const (
	// relaysPerDomain is the number of relays of a failure domain.
	relaysPerDomain = 2
	// sessionChoices bounds the entry daemons named to one agent.
	sessionChoices = 8
	// forgetCandidates is how long daemons that only the object API names are
	// tried. They are read again with the lists.
	forgetCandidates = 2 * time.Minute
)

// entry is one known entry daemon. A record without an RPC address stands for
// a removed daemon.
type entry struct {
	record *messenger.EntryVM
	hash   uint64
	// heard is when a frame of the daemon or a newer record arrived.
	heard   time.Time
	changed time.Time
	// confirmed is false for daemons that only the object API has named.
	confirmed bool
	// unreachable is set when the last link to the daemon broke, until it is
	// heard again. It is not taken for a relay meanwhile.
	unreachable bool
}

func (e *entry) isGone() bool { return e.record.GetRpcAddress() == "" }

func (e *entry) isLive() bool { return e.confirmed && !e.isGone() }

// Entries returns the live entry daemons with this one, ordered by VM. Those
// that leave are marked.
func (m *Monitor) Entries(now time.Time) []*messenger.EntryVM {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.liveEntries(now)
}

func (m *Monitor) liveEntries(now time.Time) []*messenger.EntryVM {
	live := make([]*messenger.EntryVM, 0, len(m.entries))
	for _, e := range m.entries {
		if e.isLive() && !m.isUnheard(e.record.GetFailureDomain(), now, RemoveAfter) {
			live = append(live, e.record)
		}
	}
	slices.SortFunc(live, func(a, b *messenger.EntryVM) int { return strings.Compare(a.GetVm(), b.GetVm()) })
	return live
}

// SessionOrder returns the entry daemons that an agent prefers for its
// sessions, in order: those of its failure domain, else of its region, else
// any, without those that leave.
func SessionOrder(vm, failureDomain, region string, entries []*messenger.EntryVM) []*messenger.EntryVM {
	near := map[string]*messenger.EntryVM{}
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
			clear(near)
		}
		if closeness == closest {
			near[e.GetVm()] = e
		}
	}
	names := make([]string, 0, len(near))
	for name := range near {
		names = append(names, name)
	}
	order := make([]*messenger.EntryVM, 0, sessionChoices)
	for _, name := range ranker.Top(nil, "session/"+vm, names, sessionChoices) {
		order = append(order, near[name])
	}
	return order
}

// mergeEntry keeps the record and passes it on if it is newer.
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
	if e != nil && e.confirmed && !e.isGone() && record.GetRpcAddress() == "" && from != nil && m.hasLinkTo(vm, now) {
		// A daemon that was cut off itself has removed one that is heard here.
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
	e.record, e.heard, e.changed, e.confirmed, e.hash = record, now, now, true, 0
	e.unreachable = false
	if !e.isGone() {
		e.hash = hashEntry(record)
		if m.domains[record.GetFailureDomain()].IsZero() {
			m.domains[record.GetFailureDomain()] = now
		}
	}
	m.digest ^= e.hash
	m.generation++
	m.entryGeneration++
	m.spread(key{kindEntry, vm}, record, from)
	m.kickSessions()
}

// hasLinkTo reports whether frames of the VM arrive on a link.
func (m *Monitor) hasLinkTo(vm string, now time.Time) bool {
	l := m.linkTo(vm, nil)
	return l != nil && now.Sub(l.received) < SuspectAfter
}

// refute answers a newer record of this daemon itself, such as its removal by
// a relay that could not hear it, with one that is newer still.
func (m *Monitor) refute(record *messenger.EntryVM, now time.Time) {
	self := cloneEntry(m.self)
	self.StartedMs = max(self.GetStartedMs(), record.GetStartedMs())
	self.Sequence = max(self.GetSequence(), record.GetSequence()) + 1
	m.self = self
	m.mergeEntry(self, nil, now)
}

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

// judgeEntries removes the daemons of this failure domain that this daemon,
// as a relay, has not heard for RemoveAfter.
func (m *Monitor) judgeEntries(now time.Time) {
	domain := m.self.GetFailureDomain()
	relay := m.topology().relay
	for vm, e := range m.entries {
		switch {
		case vm == m.self.GetVm():
		case e.isGone():
			if now.Sub(e.changed) >= retainRemoved {
				delete(m.entries, vm)
				m.entryGeneration++
			}
		case !e.confirmed && now.Sub(e.changed) >= forgetCandidates && len(m.entries) > 2:
			delete(m.entries, vm)
			m.entryGeneration++
		case relay && e.confirmed && e.record.GetFailureDomain() == domain && min(m.silence(e.heard, domain, now), now.Sub(m.connected)) >= RemoveAfter:
			removed := cloneEntry(e.record)
			removed.RpcAddress, removed.PublicAddress = "", ""
			removed.Sequence++
			m.mergeEntry(removed, nil, now)
		}
	}
}

// topology is what follows from the known entry daemons. It is computed again
// when they change.
type topology struct {
	generation uint64
	relays     map[string][]string
	// ideal are the relays if every daemon were reachable. Links to them are
	// tried again and again.
	ideal map[string][]string
	// relay and first are set when this daemon is a relay of its failure
	// domain, and the one that summarizes and registers it.
	relay, first bool
}

func (m *Monitor) topology() *topology {
	if m.topo != nil && m.topo.generation == m.entryGeneration {
		return m.topo
	}
	able, others, all := map[string][]string{}, map[string][]string{}, map[string][]string{}
	for vm, e := range m.entries {
		domain := e.record.GetFailureDomain()
		if e.confirmed && !e.isGone() && !e.record.GetLeaving() {
			all[domain] = append(all[domain], vm)
		}
		switch {
		case e.isGone():
		case e.confirmed && !e.record.GetLeaving() && !e.unreachable:
			able[domain] = append(able[domain], vm)
		default:
			others[domain] = append(others[domain], vm)
		}
	}
	// Daemons that leave or to which a link broke are relays only where there
	// is no other.
	for domain, names := range others {
		if len(able[domain]) == 0 {
			able[domain] = names
		}
	}
	m.topo = &topology{generation: m.entryGeneration, relays: map[string][]string{}, ideal: map[string][]string{}}
	for domain, names := range able {
		m.topo.relays[domain] = ranker.Top(nil, "relay/"+domain, names, relaysPerDomain)
	}
	for domain, names := range all {
		m.topo.ideal[domain] = ranker.Top(nil, "relay/"+domain, names, relaysPerDomain)
	}
	own := m.topo.relays[m.self.GetFailureDomain()]
	m.topo.relay = slices.Contains(own, m.self.GetVm())
	m.topo.first = m.topo.relay && own[0] == m.self.GetVm()
	return m.topo
}

func (m *Monitor) hasEntries(domain string) bool {
	return len(m.topology().relays[domain]) > 0
}
