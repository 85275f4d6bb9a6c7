// Package monitor keeps the membership of entry daemons, the directory of
// replicas and their load. Agents report over Entry.Session; entry daemons
// tell each other over Entry.Exchange through two relays in each failure
// domain. Slowly changing facts reach every daemon; load reaches in detail
// only the daemons whose subset has the replica, and the others as summaries.
package monitor

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/lentilbridge/lentilbridge/internal/shared/notifier"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// SuspectAfter is the silence after which a replica or an entry daemon is
	// suspect.
	SuspectAfter = 6 * time.Second
	// RemoveAfter is the silence after which it is removed.
	RemoveAfter = 20 * time.Second
	// retainRemoved is how long the removal of a VM is remembered. It is longer
	// than a partition of an hour, so that old facts from the other side do not
	// bring a removed VM back.
	retainRemoved = 2 * time.Hour
	// heartbeatEvery is the interval of frames on an idle link.
	heartbeatEvery = time.Second
	// summaryEvery is the interval of summaries and of the sign of life of a
	// failure domain.
	summaryEvery = 2 * time.Second
	// frozenAfter is the time between two ticks that is too long for a process
	// that runs.
	frozenAfter = 3 * heartbeatEvery
	// DefaultLoadBytesPerSecond bounds the load details to one daemon. When
	// more changes, each replica's load is older, but costs the same.
	DefaultLoadBytesPerSecond = 1500
	maxSuspicions             = 65_536
)

// Monitor keeps membership, directory and load. Its exported fields are set
// before Run; the functions are optional.
type Monitor struct {
	// Self is this daemon. StartedMs orders it against its predecessors; the
	// present time is taken when it is zero. The RPC address must be set: a
	// record without one stands for a removed daemon.
	Self   *messenger.EntryVM
	API    adapter.ObjectAPI
	VMList adapter.VMList
	// Seeds are RPC addresses of entry daemons to begin with.
	Seeds []string
	// Client returns a client for an RPC address.
	Client func(address string) (messenger.EntryClient, error)
	Log    *logger.Logger
	// Revision returns the revision in force, RevisionChanged a channel that is
	// closed at its next change. OnRevision takes a revision that a heartbeat
	// from the RPC address named.
	Revision        func() uint64
	RevisionChanged func() <-chan struct{}
	OnRevision      func(revision uint64, from string)
	// Leases returns the known leases, OnLeases takes those of other daemons.
	Leases        func() []*messenger.LeaseFact
	LeasesChanged func() <-chan struct{}
	OnLeases      func([]*messenger.LeaseFact)
	// OnSuspicions takes suspicions that are new to this daemon.
	OnSuspicions func([]*messenger.Suspicion)
	// OnCacheEvents takes the cache events of agents with a session here.
	OnCacheEvents func(vm, incarnation string, events []*messenger.CacheEvent)
	// OnStatus takes statuses of daemons that are meant for this one.
	OnStatus func(*messenger.DaemonStatus)
	// Usage takes the demand of teams at all other daemons and returns the
	// demand here, every half second. The others are unknown to a daemon that is cut off.
	Usage func(others []*messenger.TeamUsage, known bool, now time.Time) []*messenger.TeamUsage
	// StatusShards returns the shards whose holders want the status;
	// DefaultStatusShards when nil.
	StatusShards func(status *messenger.DaemonStatus, known []string) []string
	// LoadBytesPerSecond bounds the load details sent to one daemon.
	LoadBytesPerSecond int
	// Jitter returns a number in [0, 1); rand.Float64 when nil.
	Jitter func() float64

	notify notifier.Notifier
	once   sync.Once

	mu sync.Mutex
	// self is the present record of this daemon.
	self       *messenger.EntryVM
	replicas   map[string]*replica
	entries    map[string]*entry
	domains    map[string]time.Time
	summaries  map[summaryKey]*summary
	links      map[*link]bool
	dialers    map[string]*dialer
	sessions   map[*session]bool
	leases     map[string]*messenger.LeaseFact
	suspicions map[string]*messenger.Suspicion
	hints      map[string]*hint
	// usage is the demand that others told of, ownUsage that of this daemon.
	usage      map[usageKey]usage
	ownUsage   map[string]rates
	digest     uint64
	index      *subsetIndex
	indexed    time.Time
	generation uint64
	// entryGeneration counts the changes of entries, topo is derived from them.
	entryGeneration uint64
	topo            *topology
	// guarded is since when this daemon, as a relay, watches over the replicas
	// and daemons of a failure domain.
	guarded map[string]time.Time
	// connected is from when the silence of others counts: until then this
	// daemon was cut off itself, or they had no time to link to it.
	connected  time.Time
	subset     map[string]bool
	registered registration
}

// Run keeps the links to other daemons until ctx ends. Session and Exchange
// are served by the caller's gRPC server.
func (m *Monitor) Run(ctx context.Context) error {
	m.init()
	var workers sync.WaitGroup
	workers.Add(5)
	go ticker{m}.run(ctx, &workers)
	go factSender{m}.run(ctx, &workers)
	go registrar{m}.run(ctx, &workers)
	go hintReader{m}.run(ctx, &workers)
	go usageSender{m}.run(ctx, &workers)
	workers.Wait()
	m.closeDialers()
	return ctx.Err()
}

// Changed returns a channel that is closed when directory, membership or load
// changes.
func (m *Monitor) Changed() <-chan struct{} { return m.notify.Changed() }

// Leave announces that this daemon leaves. Agents then move their sessions and
// it is no longer a relay.
func (m *Monitor) Leave() {
	m.init()
	now := time.Now()
	m.mu.Lock()
	self := cloneEntry(m.self)
	self.Leaving = true
	self.Sequence++
	m.self = self
	m.mergeEntry(self, nil, now)
	m.kickSessions()
	m.mu.Unlock()
	m.notify.Notify()
}

// SpreadSuspicions tells the other daemons of suspicions. A higher sequence
// of the same fingerprint replaces a lower one.
func (m *Monitor) SpreadSuspicions(suspicions []*messenger.Suspicion) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range suspicions {
		m.mergeSuspicion(s, nil)
	}
}

// Summaries returns the newest summary of each model and failure domain.
func (m *Monitor) Summaries(now time.Time) []*messenger.Summary {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]*messenger.Summary, 0, len(m.summaries))
	for _, s := range m.summaries {
		if now.Sub(s.received) < RemoveAfter {
			all = append(all, s.record)
		}
	}
	return all
}

// IsRelay reports whether this daemon is one of the two relays of its failure
// domain.
func (m *Monitor) IsRelay(now time.Time) bool {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.topology().relay
}

// Peers returns the RPC addresses of other entry daemons: the relays of this
// failure domain first, then all others, and the seeds while none is known.
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

// EntryVMs returns the names of the live entry daemons that are not leaving,
// in the form that leaser.Leaser.Candidates takes.
func (m *Monitor) EntryVMs(now time.Time) []string {
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
	if m.StatusShards == nil {
		m.StatusShards = DefaultStatusShards
	}
	m.self = cloneEntry(m.Self)
	if m.self.GetStartedMs() == 0 {
		m.self.StartedMs = now.UnixMilli()
	}
	m.replicas = map[string]*replica{}
	m.entries = map[string]*entry{}
	m.domains = map[string]time.Time{}
	m.summaries = map[summaryKey]*summary{}
	m.links = map[*link]bool{}
	m.dialers = map[string]*dialer{}
	m.sessions = map[*session]bool{}
	m.leases = map[string]*messenger.LeaseFact{}
	m.suspicions = map[string]*messenger.Suspicion{}
	m.hints = map[string]*hint{}
	m.guarded = map[string]time.Time{}
	m.usage = map[usageKey]usage{}
	m.mergeEntry(m.self, nil, now)
}

// ticker does the periodic work: links, silence, summaries.
type ticker struct {
	*Monitor
}

func (m ticker) run(ctx context.Context, workers *sync.WaitGroup) {
	defer workers.Done()
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	var summarized, last time.Time
	for {
		now := time.Now()
		m.mu.Lock()
		if now.Sub(last) >= frozenAfter {
			// The process was stopped or starved. What it did not read in that
			// time is not silence of others.
			clear(m.guarded)
			m.connected = time.Time{}
		}
		last = now
		m.updateLinks(ctx, now)
		m.judgeSilence(now)
		if now.Sub(summarized) >= summaryEvery {
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

// factSender tells links and sessions at once of a new revision or lease.
type factSender struct {
	*Monitor
}

func (m factSender) run(ctx context.Context, workers *sync.WaitGroup) {
	defer workers.Done()
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for {
		revision, leases := changedOf(m.RevisionChanged), changedOf(m.LeasesChanged)
		m.spreadFacts()
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
		m.kickSessions()
		m.mu.Unlock()
	}
}

func changedOf(changed func() <-chan struct{}) <-chan struct{} {
	if changed == nil {
		return nil
	}
	return changed()
}

func (m *Monitor) spreadFacts() {
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

// mergeLease keeps the fact if it is newer, and reports whether it is.
func (m *Monitor) mergeLease(f *messenger.LeaseFact, from *link) bool {
	old := m.leases[f.GetShard()]
	newer := old == nil || f.GetEpoch() > old.GetEpoch() ||
		(f.GetEpoch() == old.GetEpoch() && f.GetHolder() == "" && old.GetHolder() != "")
	if newer {
		m.leases[f.GetShard()] = f
		m.spread(key{kindLease, f.GetShard()}, f, from)
	}
	return newer
}

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
	m.spread(key{kindSuspicion, s.GetFingerprint()}, s, from)
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

func (m *Monitor) kickSessions() {
	for s := range m.sessions {
		s.wake()
	}
}

func cloneEntry(e *messenger.EntryVM) *messenger.EntryVM {
	return proto.CloneOf(e)
}
