// Package loader keeps an engine on the newest announced version of its model: it
// transfers the version, stages its chunks at the engine, verifies the staged
// chunks and orders the engine to load them.
package loader

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/recoverer"
	"github.com/lentilbridge/lentilbridge/internal/shared/timekeeper"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/internal/weights/selector"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/fetcher"
	"github.com/lentilbridge/lentilbridge/pkg/limiter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/storer"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

const (
	// pollInterval is how often the engine's state is read. The engine runs on the
	// same VM, where reading its state is free and returns current data.
	pollInterval = 100 * time.Millisecond
	// maxEngineSilence is how long the last state holds after the last answer while polls
	// time out: the engine may pause and go on.
	maxEngineSilence = 2500 * time.Millisecond
	// transferTimeout limits the duration of one transfer. A transfer takes two
	// seconds at the rate of the VM's link. After a timeout the next transfer
	// continues with the chunks that are already held.
	transferTimeout = 12 * time.Second
	// maxCorruptChunks is the number of corrupt chunks after which the manifest of a
	// transfer that received no valid chunk is discarded and read again.
	maxCorruptChunks = 3
	// drainNotice is the time between the notice to entry daemons and the order
	// to load. It covers the propagation of the notice and requests in transit.
	drainNotice = 100 * time.Millisecond
	// orderGracePeriod is how long an order is considered in progress although the
	// engine does not report yet that it is busy.
	orderGracePeriod = 400 * time.Millisecond
	// maxHeldVersions limits the versions that are held for other agents: the
	// served one and the next.
	maxHeldVersions = 2
	// retryDelay is the pause after a failed step or transfer.
	retryDelay = 250 * time.Millisecond
	// maxLoadDelay limits the pause after loads that were given up one after the other.
	maxLoadDelay = 8 * time.Second
	// maxDelayDoublings limits how often that pause is doubled.
	maxDelayDoublings = 5
)

// State is the state that the engine reports.
type State struct {
	// Up is set if the engine answers.
	Up bool
	// Model is the model that the engine is configured for.
	Model string
	// Version is the version of all layers, or 0 if layers are missing.
	Version int
	// Busy is set while the engine executes an order.
	Busy bool
	// Orders is the number of orders accepted since the engine started.
	Orders uint64
	// Running is the number of requests in progress.
	Running int
	// Incarnation identifies the run of the engine process.
	Incarnation int64
	// ColdUntil is until when the engine is cold; zero if it is not.
	ColdUntil time.Time
}

// minColdChange is the least extension of the time until which the engine is cold that is reported at once.
const minColdChange = 500 * time.Millisecond

// Engine is the agent's local engine.
type Engine interface {
	State(ctx context.Context) (State, error)
	// Staged returns a staged chunk, or false if the chunk is not staged. Of one larger
	// than maxBytes, which can't be valid, it returns no data.
	Staged(ctx context.Context, model string, chunk int, maxBytes int64) ([]byte, bool, error)
	// Stage stores a chunk at the engine.
	Stage(ctx context.Context, model string, chunk int, data []byte) error
	// Load orders the engine to load the staged chunks as a version. orders is
	// State.Orders as last read; it prevents the same order from being executed
	// twice. check is called as the last step before the order is sent; if it returns
	// an error, the order is not sent and Load returns that error.
	Load(ctx context.Context, model string, version int, orders uint64, check func() error) error
}

// Origin is the source that weights are first read from.
type Origin interface {
	adapter.WeightSource
	// Describe returns the manifest of a version.
	Describe(ctx context.Context, model string, version int) (*verifier.Manifest, error)
	// Region returns the region of the origin and whether a transfer from the
	// origin to each region is slower than transfers between regions.
	Region() (region string, slow bool)
}

// Peers returns the other agents of the service and this agent's position in the
// load order.
type Peers func(ctx context.Context) ([]*messenger.Peer, selector.LoadPosition)

// Loader manages the weights of one engine. Exported fields must be set before Run.
type Loader struct {
	Engine Engine
	Origin Origin
	Peers  Peers
	// Dial connects to other agents.
	Dial    fetcher.Dialer
	Self    *messenger.Peer
	Store   *storer.Storer
	Limiter *limiter.Limiter
	// ServingRate limits transfers, in bytes per second, from the first time that
	// the engine serves a version; 0 means no limit. Before that, no answers of
	// the engine compete for the link.
	ServingRate float64
	// InFlight limits concurrent chunk requests to other agents.
	InFlight int
	// Importers limits the agents of a region that read from the origin
	// concurrently.
	Importers int
	// MaxImportBackoff limits the backoff between attempts to read a chunk from
	// the origin; 0 means the planner's default.
	MaxImportBackoff time.Duration
	Versions         *selector.VersionTracker
	// Evacuated reports, if set, whether the failure domain is evacuated. No transfer begins then, and no version
	// is loaded.
	Evacuated func(now time.Time) bool
	// OnChange is called when the state has changed and entry daemons should be
	// notified.
	OnChange func()
	// Now returns the present moment; nil means the clocks of the VM.
	Now func() timekeeper.Moment
	Log *logger.Logger

	mu    sync.Mutex
	state State
	// answeredAt is when the engine last reported its state.
	answeredAt time.Time
	// loadingUntil is the time until which the latest order is considered in
	// progress even if the engine does not report that it is busy.
	loadingUntil time.Time
	// drainAnnounced is set while entry daemons are instructed not to send requests to
	// the engine.
	drainAnnounced bool
	// held maps the versions in the store to their manifests.
	held map[int]*verifier.Manifest
	// completeSince maps the completely held versions to the time at which their
	// completion was first seen.
	completeSince map[int]time.Time
	position      selector.LoadPosition
	// rateLimited is set once ServingRate is in effect. Only Run uses it.
	rateLimited bool
	// current is the latest transfer. Only Run uses it.
	current *transferRun
	// givenUp is the number of loads that were given up since the last order, and
	// loadAfter is the earliest time of the next one. Only Run uses them.
	givenUp   int
	loadAfter time.Time
	// addingServed is set while the served version is added to the store.
	addingServed atomic.Bool
}

// setPosition records the load position unless it is unknown.
func (l *Loader) setPosition(p selector.LoadPosition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.Replicas > 0 {
		l.position = p
	}
}

func (l *Loader) loadPosition() selector.LoadPosition {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.position
}

// Snapshot returns the engine's state and whether entry daemons should send it no
// requests.
func (l *Loader) Snapshot() (State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.drainAnnounced
}

// Run keeps the engine on the newest version until ctx ends.
func (l *Loader) Run(ctx context.Context) {
	l.held = map[int]*verifier.Manifest{}
	l.position = selector.LoadPosition{Replicas: 1}
	waiter.Every(ctx, pollInterval, func(now time.Time) {
		l.observe(ctx)
		if err := l.step(ctx, now); err != nil && ctx.Err() == nil {
			l.Log.Warn("loader step failed", zap.Error(err))
			waiter.Wait(ctx, retryDelay)
		}
	})
}

// observe reads the state of the engine, logs changes and calls OnChange for them.
func (l *Loader) observe(ctx context.Context) {
	defer recoverer.Contain(l.Log, "engine state")
	s, err := l.Engine.State(ctx)
	now := time.Now()
	l.mu.Lock()
	old := l.state
	switch {
	case err == nil:
		l.answeredAt = now
	case old.Up && errors.Is(err, context.DeadlineExceeded) && now.Sub(l.answeredAt) < maxEngineSilence:
		l.Log.Info("engine is silent", zap.Duration("silence", now.Sub(l.answeredAt)))
		s = old
	default:
		s = State{}
	}
	if s.Model == "" {
		s.Model = old.Model
	}
	l.state = s
	if l.drainAnnounced && !s.Busy && now.After(l.loadingUntil) {
		l.drainAnnounced = false
	}
	l.mu.Unlock()
	l.applyServingRate(s.Version > 0)
	if old.Up != s.Up {
		event := "dependency regained"
		if !s.Up {
			event = "dependency lost"
		}
		l.Log.Info(event, zap.String("dependency", "engine"), zap.Error(err))
	}
	if old.Up != s.Up || old.Version != s.Version || old.Busy != s.Busy || old.Incarnation != s.Incarnation || s.ColdUntil.Sub(old.ColdUntil) > minColdChange {
		l.Log.Info("engine changed", zap.Bool("up", s.Up), zap.Int("version", s.Version), zap.Bool("busy", s.Busy),
			zap.Uint64("orders", s.Orders), zap.Int64("born", s.Incarnation))
		l.OnChange()
	}
}

// applyServingRate limits transfers to ServingRate once the engine has served a
// version. The limit stays in effect while the engine loads a later version: other
// agents, whose engines are serving, still read from this one.
func (l *Loader) applyServingRate(serving bool) {
	if !serving || l.rateLimited {
		return
	}
	l.rateLimited = true
	l.Limiter.SetCeiling(l.ServingRate)
}

// step executes the next action that the selector returns.
func (l *Loader) step(ctx context.Context, now time.Time) error {
	defer recoverer.Contain(l.Log, "loader")
	s, _ := l.Snapshot()
	if !s.Up || s.Model == "" || !l.Versions.Initialized() || l.isEvacuated(now) {
		return nil
	}
	engine := selector.EngineState{Version: s.Version, Busy: s.Busy || now.Before(l.loadingUntil)}
	plan := l.Versions.Next(s.Model, engine, func(version int) (time.Time, bool) { return l.holdsComplete(version, now) }, l.loadPosition(), now)
	if plan.Fetch > 0 {
		l.startTransfer(ctx, s.Model, plan.Fetch, now)
	}
	if plan.Load > 0 {
		if now.Before(l.loadAfter) {
			return nil
		}
		return l.load(ctx, s, plan.Load)
	}
	if plan.Fetch == 0 {
		l.addServedVersion(ctx, s)
	}
	return nil
}

// manifest returns the manifest of a version in the store, or nil.
func (l *Loader) manifest(version int) *verifier.Manifest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held[version]
}

// holdsComplete reports whether a version is held completely, and since when.
func (l *Loader) holdsComplete(version int, now time.Time) (since time.Time, ok bool) {
	m := l.manifest(version)
	if m == nil {
		return time.Time{}, false
	}
	_, progress, err := l.Store.HeldChunks(m.Digest())
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || !progress.Complete() {
		delete(l.completeSince, version)
		return time.Time{}, false
	}
	if _, known := l.completeSince[version]; !known {
		if l.completeSince == nil {
			l.completeSince = map[int]time.Time{}
		}
		l.completeSince[version] = now
	}
	return l.completeSince[version], true
}

// addServedVersion adds the version that the engine serves to the store in the
// background, so that other agents can read it. Chunks that are staged at the engine
// need no transfer. An older version than the newest is not added: nobody needs it, and
// the origin may not have it any more.
func (l *Loader) addServedVersion(ctx context.Context, s State) {
	if s.Version == 0 || s.Version < l.Versions.Newest(s.Model) || l.manifest(s.Version) != nil || !l.addingServed.CompareAndSwap(false, true) {
		return
	}
	go (&servedVersion{loader: l, state: s}).run(ctx)
}

// servedVersion adds the version that the engine serves to the store.
type servedVersion struct {
	loader *Loader
	state  State
}

func (v *servedVersion) run(ctx context.Context) {
	defer v.loader.addingServed.Store(false)
	defer recoverer.Contain(v.loader.Log, "served version")
	if _, err := v.loader.addVersion(ctx, v.state.Model, v.state.Version); err != nil && ctx.Err() == nil {
		v.loader.Log.Warn("served version not added", zap.Int("version", v.state.Version), zap.Error(err))
		waiter.Wait(ctx, retryDelay)
	}
}

// addVersion adds a version to the store, including the chunks of it that are
// staged at the engine.
func (l *Loader) addVersion(ctx context.Context, model string, version int) (*verifier.Manifest, error) {
	if m := l.manifest(version); m != nil {
		return m, nil
	}
	m, err := l.describe(ctx, model, version)
	if err != nil {
		return nil, err
	}
	l.dropOldVersions(version)
	digest, err := l.Store.AddVersion(m)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.held[version] = m
	l.mu.Unlock()
	found := 0
	for i := range m.Chunks {
		data, ok, err := l.Engine.Staged(ctx, model, i, m.ChunkSizeBytes)
		if err != nil {
			// The engine is down; the transfer reads the chunks from other agents or
			// from the origin.
			l.Log.Info("failed to read staged chunks", zap.Error(err))
			break
		}
		if !ok {
			continue
		}
		chunk, err := verifier.VerifyChunk(m, i, data)
		if err != nil {
			continue
		}
		if _, err := l.Store.AddChunk(digest, chunk); err != nil {
			return nil, err
		}
		found++
	}
	l.Log.Info("version added to the store", zap.String("model", model), zap.Int("version", version), zap.String("digest", digest),
		zap.Int("staged", found), zap.Int("chunks", len(m.Chunks)))
	return m, nil
}

// dropOldVersions removes the oldest versions from the store to make room for a
// new one.
func (l *Loader) dropOldVersions(newest int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.held) >= maxHeldVersions {
		oldest := newest
		for version := range l.held {
			oldest = min(oldest, version)
		}
		if oldest == newest {
			return
		}
		l.Store.Drop(l.held[oldest].Digest())
		delete(l.held, oldest)
	}
}

// startTransfer starts the transfer of a version. A running transfer of an older
// version is canceled unless it continues.
func (l *Loader) startTransfer(ctx context.Context, model string, version int, now time.Time) {
	if t := l.current; t != nil {
		if !t.ended.Load() && (t.version == version || l.Versions.KeepTransfer(t.state(now), now)) {
			return
		}
		t.cancel()
		l.current = nil
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	l.current = &transferRun{loader: l, model: model, version: version, began: now, cancel: cancel}
	go l.current.run(ctx)
}

// SourcePath returns the path of a version at the origin.
func SourcePath(model string, version int) string { return fmt.Sprintf("%s@%d", model, version) }

// load stages a version, verifies the staged chunks and orders the engine to load
// them. The order is given up if the verification is too old by then, for example because
// the process was stopped; the next step plans again from the present state.
func (l *Loader) load(ctx context.Context, s State, version int) error {
	m := l.manifest(version)
	verified, err := l.stage(ctx, s.Model, m)
	if err != nil {
		return err
	}
	l.announceLoad(drainNotice + orderGracePeriod)
	l.OnChange()
	if s.Version > 0 {
		waiter.Wait(ctx, drainNotice)
	}
	check := func() error {
		if l.isEvacuated(time.Now()) {
			return &evacuatedError{}
		}
		return checkVerification(l.present().Since(verified))
	}
	if err = check(); err == nil {
		orderCtx, cancel := context.WithTimeout(ctx, verifiedFor-l.present().Since(verified))
		err = l.Engine.Load(orderCtx, s.Model, version, s.Orders, check)
		cancel()
	}
	var stale *staleVerificationError
	var evacuated *evacuatedError
	switch {
	case errors.As(err, &evacuated):
		l.cancelLoad()
	case errors.As(err, &stale):
		err = l.giveUpLoad(stale.Age, time.Now())
	case err == nil || errors.Is(err, context.DeadlineExceeded):
		// The engine may have paused before it took the order.
		l.announceLoad(orderGracePeriod)
		l.givenUp = 0
	}
	l.Log.Info("decision", zap.String("kind", "load"), zap.String("subject", SourcePath(s.Model, version)),
		zap.Int("from", s.Version), zap.Uint64("orders", s.Orders), zap.Int("running", s.Running), zap.Duration("verified-ago", l.present().Since(verified)), zap.Error(err))
	return err
}

func (l *Loader) present() timekeeper.Moment {
	if l.Now == nil {
		return timekeeper.Now()
	}
	return l.Now()
}

// giveUpLoad returns the engine to service and delays the next load, more so the more loads
// were given up: on a VM that is too slow, verifying chunks again at once would not end.
func (l *Loader) giveUpLoad(age time.Duration, now time.Time) error {
	l.cancelLoad()
	l.givenUp++
	delay := min(retryDelay<<min(l.givenUp, maxDelayDoublings), maxLoadDelay)
	l.loadAfter = now.Add(delay)
	return &staleVerificationError{Age: age, GivenUp: l.givenUp, Delay: delay}
}

// cancelLoad returns the engine to service after a load that was not ordered.
func (l *Loader) cancelLoad() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainAnnounced, l.loadingUntil = false, time.Time{}
}

// announceLoad keeps requests and further orders from the engine for the given time.
func (l *Loader) announceLoad(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainAnnounced = true
	l.loadingUntil = time.Now().Add(d)
}
