package agent

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/daemon/executor"
	"github.com/lentilbridge/lentilbridge/internal/shared/authenticator"
	"github.com/lentilbridge/lentilbridge/internal/weights/activator"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/fetcher"
	"github.com/lentilbridge/lentilbridge/pkg/limiter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/storer"
)

// maxTransfers limits the running and complete transfers of an agent, which are
// those of the active version, the next one and adapters.
const maxTransfers = storer.DefaultMaxVersions

var (
	errNoSource         = errors.New("the agent has no weight source; start it with --weights-address")
	errTooManyTransfers = errors.New("too many versions are held; drop one first")
)

// transferWeights implements Weights for an agent with an engine:
//
//	orders → fetcher ↔ planner → verifier → storer → activator → engine
type transferWeights struct {
	Self    *messenger.Peer
	Source  adapter.WeightSource
	Engine  adapter.Engine
	Store   *storer.Storer
	Limiter *limiter.Limiter
	TLS     *authenticator.Authenticator
	Log     *logger.Logger

	initOnce sync.Once
	// guarded is the engine of the activator.
	guarded   *guardedEngine
	activator *activator.Activator

	mu sync.Mutex
	// runContext is the context of Run, nil before it is called.
	runContext context.Context
	transfers  map[string]*transferRun
}

// transferRun is the transfer of one version. cancel stops it while it is running.
type transferRun struct {
	transfer *fetcher.Transfer
	cancel   context.CancelFunc
	running  bool
	weights  *transferWeights
}

// guardedEngine sends the activator's orders through the guard instead of
// directly to the engine.
type guardedEngine struct {
	adapter.Engine
	apply ApplyFunc
}

// Apply implements adapter.Engine. It ignores the number, which the guard
// chooses.
func (g *guardedEngine) Apply(ctx context.Context, _ uint64, order adapter.EngineOrder) error {
	return g.apply(ctx, order)
}

func (w *transferWeights) initialize() { w.initOnce.Do(w.build) }

func (w *transferWeights) build() {
	w.transfers = map[string]*transferRun{}
	w.guarded = &guardedEngine{Engine: w.Engine}
	w.activator = &activator.Activator{Engine: w.guarded, Source: w.Store, Guard: skipFenceCheck, Log: w.Log}
}

// skipFenceCheck accepts all fences: the guard behind guardedEngine checks them.
func skipFenceCheck(*messenger.Fence) (uint64, error) { return 0, nil }

// Run implements Weights.
func (w *transferWeights) Run(ctx context.Context) error {
	w.initialize()
	w.mu.Lock()
	w.runContext = ctx
	for _, t := range w.transfers {
		w.startLocked(t)
	}
	w.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

// Prepare implements Weights.
func (w *transferWeights) Prepare(order *messenger.PrepareOrder) error {
	w.initialize()
	if w.Source == nil {
		return errNoSource
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	digest := order.GetVersion().GetDigest()
	t := w.transfers[digest]
	if t == nil {
		if len(w.transfers) >= maxTransfers {
			return errTooManyTransfers
		}
		t = &transferRun{weights: w}
		w.transfers[digest] = t
	}
	if rate := order.GetMaxRateBytesPerSecond(); rate > 0 {
		w.Limiter.SetCeiling(float64(rate))
	}
	if !t.running && !w.Prepared(digest) {
		t.transfer = w.newTransfer(order)
		w.startLocked(t)
	}
	if t.transfer != nil {
		t.transfer.SetPeers(order.GetPeers())
	}
	return nil
}

func (w *transferWeights) newTransfer(order *messenger.PrepareOrder) *fetcher.Transfer {
	return &fetcher.Transfer{
		Version:      order.GetVersion(),
		Self:         w.Self,
		Policy:       order.GetPolicy(),
		OriginRegion: order.GetOriginRegion(),
		Source:       w.Source,
		Dial:         fetcher.DialGRPC(w.TLS.DialOption()),
		Store:        w.Store,
		Limiter:      w.Limiter,
		Log:          w.Log,
	}
}

// startLocked starts a transfer if Run has been called. The caller holds the
// lock.
func (w *transferWeights) startLocked(t *transferRun) {
	if w.runContext == nil || t.transfer == nil || t.running {
		return
	}
	ctx, cancel := context.WithCancel(w.runContext)
	t.cancel = cancel
	t.running = true
	go t.run(ctx)
}

func (t *transferRun) run(ctx context.Context) {
	err := t.transfer.Run(ctx)
	t.weights.mu.Lock()
	t.running = false
	t.weights.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		t.weights.Log.Warn("transfer ended", zap.String("digest", t.transfer.Version.GetDigest()), zap.Error(err))
	}
}

// Prepared implements Weights.
func (w *transferWeights) Prepared(digest string) bool {
	_, progress, err := w.Store.HeldChunks(digest)
	return err == nil && progress.Complete()
}

// Drop implements Weights.
func (w *transferWeights) Drop(digest string) error {
	w.initialize()
	w.mu.Lock()
	t := w.transfers[digest]
	delete(w.transfers, digest)
	w.mu.Unlock()
	if t != nil && t.cancel != nil {
		t.cancel()
	}
	w.Store.Drop(digest)
	return nil
}

// Activate implements Weights.
func (w *transferWeights) Activate(ctx context.Context, order *messenger.ActivateOrder, apply ApplyFunc) error {
	w.initialize()
	if w.Ready(order.GetVersion().GetDigest()) {
		w.activator.Expect(order.GetVersion())
		return nil
	}
	w.guarded.apply = apply
	return w.activator.Activate(ctx, nil, order.GetVersion())
}

// Unload implements Weights.
func (w *transferWeights) Unload(ctx context.Context, order *messenger.UnloadOrder, apply ApplyFunc) error {
	w.initialize()
	w.guarded.apply = apply
	return w.activator.Unload(ctx, nil, order.GetModel())
}

// LoadAdapter implements Weights. The adapter must have been transferred with
// Prepare, like a version.
func (w *transferWeights) LoadAdapter(ctx context.Context, order *messenger.LoadAdapterOrder, apply ApplyFunc) error {
	w.initialize()
	if !w.Prepared(order.GetVersion().GetDigest()) {
		return &NotPreparedError{Digest: order.GetVersion().GetDigest()}
	}
	w.guarded.apply = apply
	return w.activator.LoadAdapter(ctx, nil, order.GetAdapter(), order.GetVersion())
}

// UnloadAdapter implements Weights.
func (w *transferWeights) UnloadAdapter(ctx context.Context, order *messenger.UnloadAdapterOrder, apply ApplyFunc) error {
	w.initialize()
	w.guarded.apply = apply
	return w.activator.UnloadAdapter(ctx, nil, order.GetAdapter())
}

// ObserveEngine implements Weights.
func (w *transferWeights) ObserveEngine(state adapter.EngineState) bool {
	w.initialize()
	return w.activator.Observe(state)
}

// Restore implements Weights.
func (w *transferWeights) Restore(ctx context.Context, apply ApplyFunc) error {
	w.guarded.apply = apply
	return w.activator.Check(ctx)
}

// Ready implements executor.Versions.
func (w *transferWeights) Ready(version string) bool {
	w.initialize()
	status := w.activator.Status()
	return status.Ready && (version == "" || version == status.Version.GetDigest())
}

// ActiveVersion implements executor.Versions.
func (w *transferWeights) ActiveVersion() executor.ActiveVersion {
	w.initialize()
	status := w.activator.Status()
	return executor.ActiveVersion{
		Model:    status.Version.GetModel(),
		Name:     status.Version.GetName(),
		Digest:   status.Version.GetDigest(),
		Adapters: status.Adapters,
	}
}

// Transfers implements Weights.
func (w *transferWeights) Transfers() []*messenger.Transfer {
	w.initialize()
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make([]*messenger.Transfer, 0, len(w.transfers))
	for _, t := range w.transfers {
		if t.transfer != nil {
			all = append(all, t.transfer.Progress())
		}
	}
	slices.SortFunc(all, compareDigest)
	return all
}

func compareDigest(a, b *messenger.Transfer) int {
	return strings.Compare(a.GetDigest(), b.GetDigest())
}
