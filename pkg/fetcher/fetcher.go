// Package fetcher runs the transfer of a version to one agent, from the weight
// source and from other agents.
package fetcher

import (
	"context"
	"errors"
	"math/rand/v2"
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
	// tickInterval is how often presence and takeovers are examined.
	tickInterval = 100 * time.Millisecond
	// eventQueue lets requests finish while the loop plans.
	eventQueue = 64
)

// Transfer brings one version to this agent. Fields are set before Run. A
// Transfer runs once; a new one with the same Store resumes.
type Transfer struct {
	Version *messenger.VersionRef
	Self    *messenger.Peer
	// Policy is "time" or "origin-bytes"; empty is "time".
	Policy       string
	OriginRegion string
	Source       adapter.WeightSource
	Dial         Dialer
	Store        *storer.Storer
	// Limiter paces downloads; nil does not limit.
	Limiter *limiter.Limiter
	Log     *logger.Logger
	// Clock is time.Now when nil.
	Clock func() time.Time
	// Seed makes random choices reproducible; 0 takes a random seed.
	Seed uint64
	// Importers, Neighbours and InFlight override the planner's defaults when
	// positive.
	Importers  int
	Neighbours int
	InFlight   int
	// MaxImportBackoff overrides the planner's when positive.
	MaxImportBackoff time.Duration

	once     sync.Once
	events   chan event
	manifest *verifier.Manifest
	digest   string
	plan     *planner.Planner
	random   *rand.Rand
	watches  map[string]*watch
	// cancels holds the requests in flight by chunk.
	cancels map[int][]*request
	running sync.WaitGroup

	mu       sync.Mutex
	peers    []planner.Peer
	progress messenger.Transfer
}

// event is what the loop receives. It is one of the types below.
type event interface{ event() }

type (
	peersChanged struct{}
	peerUp       struct {
		watch  *watch
		chunks []uint32
	}
	peerAdded struct {
		watch  *watch
		chunks []uint32
	}
	peerDown struct {
		watch *watch
	}
	finished struct {
		request *request
		result  planner.Result
		chunk   verifier.Chunk
		err     error
	}
)

func (peersChanged) event() {}
func (peerUp) event()       {}
func (peerAdded) event()    {}
func (peerDown) event()     {}
func (finished) event()     {}

// SetPeers replaces the list of agents that hold or want the version. It may
// be called before and during Run.
func (t *Transfer) SetPeers(peers []*messenger.Peer) {
	t.once.Do(t.start)
	t.mu.Lock()
	t.peers = make([]planner.Peer, 0, len(peers))
	for _, peer := range peers {
		t.peers = append(t.peers, toPeer(peer))
	}
	t.mu.Unlock()
	select {
	case t.events <- peersChanged{}:
	default:
		// The loop reads the list at each tick as well.
	}
}

// Progress returns a copy of the counters.
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

// Run transfers the version and returns nil once the store holds all of it.
// It returns early only when ctx ends or the store refuses the version.
func (t *Transfer) Run(ctx context.Context) error {
	t.once.Do(t.start)
	ctx, cancel := context.WithCancel(ctx)
	defer t.running.Wait()
	defer cancel()
	if err := t.obtainManifest(ctx); err != nil {
		t.setError(err)
		return err
	}
	digest, err := t.Store.Begin(t.manifest)
	if err != nil {
		t.setError(err)
		return err
	}
	t.digest = digest
	if err := t.resume(); err != nil {
		t.setError(err)
		return err
	}
	return t.transfer(ctx)
}

func (t *Transfer) start() {
	t.events = make(chan event, eventQueue)
	t.watches = map[string]*watch{}
	t.cancels = map[int][]*request{}
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
	t.random = rand.New(rand.NewPCG(seed, planSeed(t.Self.GetVm())))
}

// resume sets up the plan with the chunks that the store holds already.
func (t *Transfer) resume() error {
	held, progress, err := t.Store.Held(t.digest)
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

func (t *Transfer) transfer(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var known []planner.Peer
	t.applyPeers(&known)
	for !t.plan.Complete() {
		t.advance(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			t.applyPeers(&known)
			t.plan.Tick(t.Clock())
			t.Limiter.Tick(t.Clock())
		case e := <-t.events:
			if err := t.handle(e, &known); err != nil {
				t.setError(err)
				return err
			}
		}
	}
	t.finish()
	return nil
}

func (t *Transfer) finish() {
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

// applyPeers gives a changed list of peers to the plan.
func (t *Transfer) applyPeers(known *[]planner.Peer) {
	t.mu.Lock()
	peers := t.peers
	t.mu.Unlock()
	if *known != nil && samePeers(*known, peers) {
		return
	}
	// A list without agents differs from no list.
	*known = append([]planner.Peer{}, peers...)
	t.plan.SetPeers(peers, t.Clock())
	t.plan.Tick(t.Clock())
}

// advance opens the watches that the plan asks for and starts the requests
// that it allows.
func (t *Transfer) advance(ctx context.Context) {
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

func (t *Transfer) handle(e event, known *[]planner.Peer) error {
	now := t.Clock()
	switch e := e.(type) {
	case peersChanged:
		t.applyPeers(known)
	case peerUp:
		if t.watches[e.watch.peer.VM] == e.watch {
			t.plan.MarkReachable(e.watch.peer.VM, now)
			t.plan.AddChunks(e.watch.peer.VM, e.chunks, now)
			t.plan.Tick(now)
		}
	case peerAdded:
		if t.watches[e.watch.peer.VM] == e.watch {
			t.plan.AddChunks(e.watch.peer.VM, e.chunks, now)
		}
	case peerDown:
		if t.watches[e.watch.peer.VM] == e.watch {
			t.plan.MarkUnreachable(e.watch.peer.VM, now)
			t.plan.Tick(now)
		}
	case finished:
		return t.finishRequest(e)
	}
	return nil
}

// setError keeps the cause of an earlier failure when the transfer ends.
func (t *Transfer) setError(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ended := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	if ended && t.progress.Error != "" {
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
