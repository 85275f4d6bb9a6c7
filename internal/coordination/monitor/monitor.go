// Package monitor maintains the membership of entry daemons, the directory of
// replicas and their load. Agents report over Entry.Session; entry daemons
// exchange records over Entry.Exchange through two relays in each failure
// domain. Slowly changing records are sent to every daemon. Detailed load is
// sent only to the daemons whose subset contains the replica; the others
// receive summaries.
package monitor

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/lentilbridge/lentilbridge/internal/shared/notifier"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// SuspectAfter is the time without a report or frame after which a replica
	// or an entry daemon is suspect.
	SuspectAfter = 6 * time.Second
	// RemoveAfter is the time without a report or frame after which it is
	// removed.
	RemoveAfter = 20 * time.Second
	// removalRetention is how long the removal of a VM is kept. It outlasts
	// a partition of an hour, so that stale records from the other side do not
	// restore a removed VM.
	removalRetention = 2 * time.Hour
	// heartbeatInterval is the interval of frames on an idle link.
	heartbeatInterval = time.Second
	// summaryInterval is the interval of summaries and of the heartbeat of
	// a failure domain.
	summaryInterval = 2 * time.Second
	// maxTickGap is the minimum time between two ticks that indicates that the
	// process was suspended.
	maxTickGap = 3 * heartbeatInterval
	// DefaultLoadBytesPerSecond limits the detailed loads sent to one daemon.
	// When more loads change, each is sent less often.
	DefaultLoadBytesPerSecond = 1500
	// maxSuspicions limits the suspicions kept in memory.
	maxSuspicions = 65_536
)

// Monitor maintains membership, directory and load. Its exported fields must be
// set before Run is called; the functions are optional.
type Monitor struct {
	// Self is the record of this daemon. StartedMs orders it after earlier
	// processes on the VM and defaults to the current time. The RPC address must
	// be set: a record without one marks a removed daemon.
	Self   *messenger.EntryVM
	API    adapter.ObjectAPI
	VMList adapter.VMList
	// Seeds are the RPC addresses of entry daemons to contact at startup.
	Seeds []string
	// Client returns a client for an RPC address.
	Client func(address string) (messenger.EntryClient, error)
	Log    *logger.Logger
	// Revision returns the configuration revision in force. RevisionChanged
	// returns a channel that is closed at its next change. OnRevision is called
	// with the revision of each frame and the RPC address of its sender.
	Revision        func() uint64
	RevisionChanged func() <-chan struct{}
	OnRevision      func(revision uint64, from string)
	// Evacuated returns whether a failure domain is evacuated in the revision in
	// force, and that revision. Notices to agents hold both, so that an agent that
	// reports the revision knows of the evacuation. It may be nil.
	Evacuated func(failureDomain string) (revision uint64, evacuated bool)
	// Leases returns the leases known to this daemon. LeasesChanged returns
	// a channel that is closed at their next change. OnLeases is called with newer
	// leases from other daemons.
	Leases        func() []*messenger.LeaseFact
	LeasesChanged func() <-chan struct{}
	OnLeases      func([]*messenger.LeaseFact)
	// OnSuspicions is called with suspicions that are new to this daemon.
	OnSuspicions func([]*messenger.Suspicion)
	// OnCacheEvents is called with the cache events of agents that have a session
	// with this daemon.
	OnCacheEvents func(vm, incarnation string, events []*messenger.CacheEvent)
	// OnStatus is called with statuses whose destination is this daemon.
	OnStatus func(*messenger.DaemonStatus)
	// Usage is called every half second with the demand of teams at all other
	// daemons and returns the demand at this one. known is false while the demand
	// at other daemons is not known, as on an isolated daemon.
	Usage func(others []*messenger.TeamUsage, known bool, now time.Time) []*messenger.TeamUsage
	// StatusShards returns the shards to whose holders the status is sent. It
	// defaults to DefaultStatusShards.
	StatusShards func(status *messenger.DaemonStatus, known []string) []string
	// LoadBytesPerSecond limits the detailed loads sent to one daemon. It defaults
	// to DefaultLoadBytesPerSecond.
	LoadBytesPerSecond int
	// MaxReportBytes limits the reports of agents. It defaults to DefaultMaxReportBytes.
	MaxReportBytes int
	// Jitter returns a random number in [0, 1). It defaults to rand.Float64.
	Jitter func() float64

	notify notifier.Notifier
	once   sync.Once
	// exchanges is the number of calls of Exchange.
	exchanges atomic.Int64

	mu sync.Mutex
	// self is the current record of this daemon.
	self *messenger.EntryVM
	// replicas and entries are keyed by VM.
	replicas map[string]*replica
	entries  map[string]*entry
	// domainLastHeard is when the last heartbeat or summary of each failure domain
	// arrived.
	domainLastHeard map[string]time.Time
	summaries       map[summaryKey]*summary
	links           map[*link]bool
	dialers         map[string]*dialer
	sessions        map[*session]bool
	// leases are keyed by shard, suspicions by fingerprint, hints by VM.
	leases     map[string]*messenger.LeaseFact
	suspicions map[string]*messenger.Suspicion
	hints      map[string]*drainHint
	// remoteUsage is the demand received from other daemons, ownUsage the demand
	// at this one.
	remoteUsage map[usageKey]receivedUsage
	ownUsage    map[string]rates
	// digest is the XOR of the hashes of all entries and replicas that are not
	// removed.
	digest    uint64
	index     *subsetIndex
	indexedAt time.Time
	// generation counts the changes of the directory.
	generation uint64
	// entryGeneration counts the changes of entries. cachedTopology is derived
	// from them.
	entryGeneration uint64
	cachedTopology  *topology
	// responsibleSince is, for each failure domain that this daemon monitors as
	// a relay, since when it has done so.
	responsibleSince map[string]time.Time
	// connectedSince is the time from which the silence of other daemons and of
	// replicas counts as a failure. Before it, this daemon was partitioned or its
	// peers had not had time to reconnect.
	connectedSince time.Time
	// subset holds the VMs of this daemon's subset.
	subset     map[string]bool
	registered registration
}

// Run maintains the links to other daemons until ctx ends. The caller's gRPC
// server calls Session and Exchange.
func (m *Monitor) Run(ctx context.Context) error {
	m.init()
	var workers sync.WaitGroup
	workers.Add(5)
	go periodicUpdater{m}.run(ctx, &workers)
	go changeSender{m}.run(ctx, &workers)
	go registrar{m}.run(ctx, &workers)
	go vmListReader{m}.run(ctx, &workers)
	go usageSender{m}.run(ctx, &workers)
	workers.Wait()
	m.closeDialers()
	return ctx.Err()
}

// Changed returns a channel that is closed at the next change of directory,
// membership or load.
func (m *Monitor) Changed() <-chan struct{} { return m.notify.Changed() }

// Leave announces that this daemon is leaving. Agents then move their sessions
// to other daemons, and it remains a relay only if its failure domain has no
// other daemon.
func (m *Monitor) Leave() {
	m.init()
	now := time.Now()
	m.mu.Lock()
	self := cloneEntry(m.self)
	self.Leaving = true
	self.Sequence++
	m.self = self
	m.mergeEntry(self, nil, now)
	m.wakeSessions()
	m.mu.Unlock()
	m.notify.Notify()
}

// BroadcastSuspicions sends suspicions to all other daemons. A higher sequence
// of the same fingerprint replaces a lower one.
func (m *Monitor) BroadcastSuspicions(suspicions []*messenger.Suspicion) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range suspicions {
		m.mergeSuspicion(s, nil)
	}
}

// Summaries returns the latest unexpired summary of each model and failure
// domain.
func (m *Monitor) Summaries(now time.Time) []*messenger.Summary {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]*messenger.Summary, 0, len(m.summaries))
	for _, s := range m.summaries {
		if now.Sub(s.receivedAt) < RemoveAfter {
			all = append(all, s.record)
		}
	}
	return all
}

// IsRelay reports whether this daemon is a relay of its failure domain.
func (m *Monitor) IsRelay(now time.Time) bool {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.topology().relay
}

// Peers returns the RPC addresses of other entry daemons: first the relays of
// this failure domain, then all live ones, or the seeds if there are none. An
// address may occur twice.
func (m *Monitor) Peers(now time.Time) []string {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []string
	for _, vm := range m.topology().relays[m.self.GetFailureDomain()] {
		if vm != m.self.GetVm() {
			peers = append(peers, m.entries[vm].record.GetRpcAddress())
		}
	}
	for vm, e := range m.entries {
		if vm != m.self.GetVm() && e.isLive() {
			peers = append(peers, e.record.GetRpcAddress())
		}
	}
	if len(peers) == 0 {
		peers = append(peers, m.Seeds...)
	}
	return peers
}

// ActiveEntryNames returns the names of the live entry daemons that are not
// leaving, in the form that leaser.Leaser.Candidates takes.
func (m *Monitor) ActiveEntryNames(now time.Time) []string {
	var names []string
	for _, e := range m.Entries(now) {
		if !e.GetLeaving() {
			names = append(names, e.GetVm())
		}
	}
	return names
}

func (m *Monitor) init() { m.once.Do(m.setDefaults) }

func (m *Monitor) setDefaults() {
	now := time.Now()
	if m.Log == nil {
		m.Log = zap.NewNop()
	}
	if m.LoadBytesPerSecond == 0 {
		m.LoadBytesPerSecond = DefaultLoadBytesPerSecond
	}
	if m.MaxReportBytes == 0 {
		m.MaxReportBytes = DefaultMaxReportBytes
	}
	if m.StatusShards == nil {
		m.StatusShards = DefaultStatusShards
	}
	m.self = cloneEntry(m.Self)
	if m.self.GetStartedMs() == 0 {
		m.self.StartedMs = now.UnixMilli()
	}
	m.replicas = map[string]*replica{}
	m.entries = map[string]*entry{}
	m.domainLastHeard = map[string]time.Time{}
	m.summaries = map[summaryKey]*summary{}
	m.links = map[*link]bool{}
	m.dialers = map[string]*dialer{}
	m.sessions = map[*session]bool{}
	m.leases = map[string]*messenger.LeaseFact{}
	m.suspicions = map[string]*messenger.Suspicion{}
	m.hints = map[string]*drainHint{}
	m.responsibleSince = map[string]time.Time{}
	m.remoteUsage = map[usageKey]receivedUsage{}
	m.mergeEntry(m.self, nil, now)
}

// periodicUpdater updates links, checks liveness and sends summaries at every
// heartbeatInterval.
type periodicUpdater struct {
	*Monitor
}

func (m periodicUpdater) run(ctx context.Context, workers *sync.WaitGroup) {
	defer workers.Done()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var summarized, last time.Time
	for {
		now := time.Now()
		m.mu.Lock()
		if now.Sub(last) >= maxTickGap {
			// This process was suspended or got no CPU time. It did not read frames
			// meanwhile, so the silence of others proves nothing.
			clear(m.responsibleSince)
			m.connectedSince = time.Time{}
		}
		last = now
		m.updateLinks(ctx, now)
		m.checkLiveness(now)
		if now.Sub(summarized) >= summaryInterval {
			summarized = now
			m.summarize(now)
		}
		m.mu.Unlock()
		m.notify.Notify()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// changeSender sends new revisions and leases to links and sessions without
// waiting for the next heartbeat.
type changeSender struct {
	*Monitor
}

func (m changeSender) run(ctx context.Context, workers *sync.WaitGroup) {
	defer workers.Done()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		revision, leases := changeChannel(m.RevisionChanged), changeChannel(m.LeasesChanged)
		m.broadcastLeases()
		select {
		case <-ctx.Done():
			return
		case <-revision:
		case <-leases:
		case <-ticker.C:
			continue
		}
		m.mu.Lock()
		for l := range m.links {
			l.wake()
		}
		m.wakeSessions()
		m.mu.Unlock()
	}
}

// changeChannel calls changed if it is set. A nil channel never delivers.
func changeChannel(changed func() <-chan struct{}) <-chan struct{} {
	if changed == nil {
		return nil
	}
	return changed()
}

func (m *Monitor) broadcastLeases() {
	if m.Leases == nil {
		return
	}
	facts := m.Leases()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range facts {
		m.mergeLease(f, nil)
	}
}

// mergeLease stores and broadcasts the lease if it is newer than the known one,
// and reports whether it is.
func (m *Monitor) mergeLease(f *messenger.LeaseFact, from *link) bool {
	old := m.leases[f.GetShard()]
	newer := old == nil || f.GetEpoch() > old.GetEpoch() ||
		(f.GetEpoch() == old.GetEpoch() && f.GetHolder() == "" && old.GetHolder() != "")
	if newer {
		m.leases[f.GetShard()] = f
		m.broadcast(recordKey{kindLease, f.GetShard()}, f, from)
	}
	return newer
}

// mergeSuspicion stores and broadcasts the suspicion if it is newer than the
// known one, and reports whether it is. At maxSuspicions an arbitrary one is
// evicted.
func (m *Monitor) mergeSuspicion(s *messenger.Suspicion, from *link) bool {
	old := m.suspicions[s.GetFingerprint()]
	if old != nil && s.GetSequence() <= old.GetSequence() {
		return false
	}
	if old == nil && len(m.suspicions) >= maxSuspicions {
		for fingerprint := range m.suspicions {
			delete(m.suspicions, fingerprint)
			break
		}
	}
	m.suspicions[s.GetFingerprint()] = s
	m.broadcast(recordKey{kindSuspicion, s.GetFingerprint()}, s, from)
	return true
}

func (m *Monitor) revision() uint64 {
	if m.Revision == nil {
		return 0
	}
	return m.Revision()
}

func (m *Monitor) jitter() float64 {
	if m.Jitter != nil {
		return m.Jitter()
	}
	return rand.Float64()
}

func (m *Monitor) wakeSessions() {
	for s := range m.sessions {
		s.wake()
	}
}

func cloneEntry(e *messenger.EntryVM) *messenger.EntryVM {
	return proto.CloneOf(e)
}
