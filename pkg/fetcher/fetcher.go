// Package fetcher transfers the chunks of a weights version to one agent from the
// weight source and from other agents.
package fetcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/weights/planner"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/limiter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/storer"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

const (
	// tickInterval is the interval at which the loop applies a changed list of peers
	// and lets the planner check for unreachable peers and takeovers.
	tickInterval = 100 * time.Millisecond
	// eventQueueSize is the capacity of the event channel. It lets requests deliver
	// their results while the loop is busy.
	eventQueueSize = 64
)

// Transfer fetches one version into Store. Exported fields must be set before Run;
// Self, Clock, Log and Seed also before SetPeers. A Transfer runs once; a new one with
// the same Store resumes where it stopped.
type Transfer struct {
	Version *messenger.VersionRef
	// Self is the agent that runs the transfer.
	Self *messenger.Peer
	// Policy is a planner.Policy: "time" minimizes the transfer time, "origin-bytes"
	// the reads from the origin. Empty means "time".
	Policy       string
	OriginRegion string
	Source       adapter.WeightSource
	Dial         Dialer
	Store        *storer.Storer
	// Limiter limits the download rate; nil means no limit.
	Limiter *limiter.Limiter
	Log     *logger.Logger
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// Seed seeds the random choices; 0 means a random seed.
	Seed uint64
	// Importers, Neighbours and InFlight override the defaults of the planner if
	// positive.
	Importers  int
	Neighbours int
	InFlight   int
	// MaxImportBackoff overrides the default of the planner if positive.
	MaxImportBackoff time.Duration
	// ImportsFirst lets chunks from the origin pass the limiter without a wait; other
	// chunks then wait longer. It is for an origin whose link is slower than that of a
	// VM: behind requests to other agents, imports would leave it idle.
	ImportsFirst bool

	once     sync.Once
	events   chan event
	manifest *verifier.Manifest
	digest   string
	plan     *planner.Planner
	random   *rand.Rand
	// watches holds the open watches by VM.
	watches map[string]*watch
	// requests holds the requests in flight by chunk index.
	requests map[int][]*request
	wg       sync.WaitGroup

	mu       sync.Mutex
	peers    []planner.Peer
	progress messenger.Transfer
}

// event is a message to the event loop: one of the types below.
type event interface{ event() }

type (
	// peersChanged reports that SetPeers has been called.
	peersChanged struct{}
	// peerConnected reports that a Have stream has begun, with the chunks of its bitmap.
	peerConnected struct {
		watch  *watch
		chunks []uint32
	}
	// chunksAdded reports chunks that a peer has added since the bitmap or the last
	// chunksAdded.
	chunksAdded struct {
		watch  *watch
		chunks []uint32
	}
	// peerDisconnected reports that a Have stream has ended or could not be opened.
	peerDisconnected struct {
		watch *watch
	}
	// requestFinished reports the outcome of a chunk request. chunk is set only if
	// result is planner.Done.
	requestFinished struct {
		request *request
		result  planner.Result
		chunk   verifier.Chunk
		err     error
	}
)

func (peersChanged) event()     {}
func (peerConnected) event()    {}
func (chunksAdded) event()      {}
func (peerDisconnected) event() {}
func (requestFinished) event()  {}

// SetPeers replaces the list of agents that hold or fetch the version. It may be
// called before and during Run.
func (t *Transfer) SetPeers(peers []*messenger.Peer) {
	t.once.Do(t.init)
	t.mu.Lock()
	t.peers = make([]planner.Peer, 0, len(peers))
	for _, peer := range peers {
		t.peers = append(t.peers, toPeer(peer))
	}
	t.mu.Unlock()
	select {
	case t.events <- peersChanged{}:
	default:
		// The event queue is full. The loop applies the list at its next tick.
	}
}

// Progress returns a copy of the counters and of the last error.
func (t *Transfer) Progress() *messenger.Transfer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &messenger.Transfer{
		Digest:             t.Version.GetDigest(),
		ChunksHeld:         t.progress.ChunksHeld,
		ChunksTotal:        t.progress.ChunksTotal,
		BytesFromOrigin:    t.progress.BytesFromOrigin,
		BytesFromPeers:     t.progress.BytesFromPeers,
		BytesAcrossRegions: t.progress.BytesAcrossRegions,
		CorruptChunks:      t.progress.CorruptChunks,
		Complete:           t.progress.Complete,
		Error:              t.progress.Error,
	}
}

// Run fetches the version and returns nil once Store holds all chunks. It returns
// an error only if ctx ends or Store returns an error; failed reads are retried.
func (t *Transfer) Run(ctx context.Context) error {
	t.once.Do(t.init)
	ctx, cancel := context.WithCancel(ctx)
	defer t.wg.Wait()
	defer cancel()
	if err := t.fetchManifest(ctx); err != nil {
		t.setError(err)
		return err
	}
	digest, err := t.Store.AddVersion(t.manifest)
	if err != nil {
		t.setError(err)
		return err
	}
	t.digest = digest
	if err := t.initPlan(); err != nil {
		t.setError(err)
		return err
	}
	return t.fetchChunks(ctx)
}

// init sets defaults and creates the internal state. It runs once, at the first
// call of SetPeers or Run.
func (t *Transfer) init() {
	t.events = make(chan event, eventQueueSize)
	t.watches = map[string]*watch{}
	t.requests = map[int][]*request{}
	if t.Clock == nil {
		t.Clock = time.Now
	}
	if t.Log == nil {
		t.Log = zap.NewNop()
	}
	seed := t.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	t.random = rand.New(rand.NewPCG(seed, vmSeed(t.Self.GetVm())))
}

// initPlan creates the planner and marks the chunks that the store already holds.
func (t *Transfer) initPlan() error {
	held, progress, err := t.Store.HeldChunks(t.digest)
	if err != nil {
		return err
	}
	t.plan = &planner.Planner{
		Self:         toPeer(t.Self),
		Digest:       t.digest,
		Chunks:       len(t.manifest.Chunks),
		Policy:       planner.Policy(t.Policy),
		OriginRegion: t.OriginRegion,
		Random:       t.random,
		Importers:    t.Importers,
		Neighbours:   t.Neighbours,
		InFlight:     t.InFlight,

		MaxImportBackoff: t.MaxImportBackoff,
	}
	t.plan.Start(held.Has, t.Clock())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.progress.ChunksHeld = uint32(progress.Held)
	t.progress.ChunksTotal = uint32(progress.Total)
	t.progress.Complete = progress.Complete()
	return nil
}

// fetchChunks runs the event loop until the store holds all chunks.
func (t *Transfer) fetchChunks(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var current []planner.Peer
	t.applyPeers(&current)
	for !t.plan.Complete() {
		t.startRequests(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			t.applyPeers(&current)
			t.plan.Tick(t.Clock())
			t.Limiter.Tick(t.Clock())
		case e := <-t.events:
			if err := t.handleEvent(e, &current); err != nil {
				t.setError(err)
				return err
			}
		}
	}
	t.markComplete()
	return nil
}

// markComplete marks the progress as complete and logs the totals.
func (t *Transfer) markComplete() {
	t.mu.Lock()
	t.progress.Complete = true
	t.progress.Error = ""
	t.mu.Unlock()
	p := t.Progress()
	t.Log.Info("transfer is complete",
		zap.String("version", t.digest),
		zap.Uint32("chunks", p.GetChunksTotal()),
		zap.Uint64("bytes-from-origin", p.GetBytesFromOrigin()),
		zap.Uint64("bytes-from-peers", p.GetBytesFromPeers()),
		zap.Uint64("bytes-across-regions", p.GetBytesAcrossRegions()),
		zap.Uint32("corrupt-chunks", p.GetCorruptChunks()))
}

// applyPeers passes the list of peers to the planner if it differs from current,
// and updates current.
func (t *Transfer) applyPeers(current *[]planner.Peer) {
	t.mu.Lock()
	peers := t.peers
	t.mu.Unlock()
	if *current != nil && slices.Equal(*current, peers) {
		return
	}
	// An empty list is stored as non-nil, because nil means that no list has been
	// applied yet.
	*current = append([]planner.Peer{}, peers...)
	t.plan.SetPeers(peers, t.Clock())
	t.plan.Tick(t.Clock())
}

// startRequests opens and closes watches as the planner requires and starts every
// request that it allows now.
func (t *Transfer) startRequests(ctx context.Context) {
	t.syncWatches(ctx)
	now := t.Clock()
	for {
		req, ok := t.plan.Next(now)
		if !ok {
			return
		}
		t.startRequest(ctx, req)
	}
}

// handleEvent updates the planner. It ignores events of a watch that has been closed
// or replaced.
func (t *Transfer) handleEvent(e event, current *[]planner.Peer) error {
	now := t.Clock()
	switch e := e.(type) {
	case peersChanged:
		t.applyPeers(current)
	case peerConnected:
		if t.watches[e.watch.peer.VM] == e.watch {
			t.plan.MarkReachable(e.watch.peer.VM, now)
			t.plan.AddChunks(e.watch.peer.VM, e.chunks, now)
			t.plan.Tick(now)
		}
	case chunksAdded:
		if t.watches[e.watch.peer.VM] == e.watch {
			t.plan.AddChunks(e.watch.peer.VM, e.chunks, now)
		}
	case peerDisconnected:
		if t.watches[e.watch.peer.VM] == e.watch {
			t.plan.MarkUnreachable(e.watch.peer.VM, now)
			t.plan.Tick(now)
		}
	case requestFinished:
		return t.handleFinished(e)
	}
	return nil
}

// setError records an error for Progress. A cancellation or timeout does not replace
// an earlier error, which is more likely to be the cause.
func (t *Transfer) setError(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stopped := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	if stopped && t.progress.Error != "" {
		return
	}
	t.progress.Error = err.Error()
}

func toPeer(peer *messenger.Peer) planner.Peer {
	return planner.Peer{
		VM:            peer.GetVm(),
		Address:       peer.GetAddress(),
		Region:        peer.GetRegion(),
		FailureDomain: peer.GetFailureDomain(),
	}
}
