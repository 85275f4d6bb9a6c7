// Package loader keeps an engine on the newest named version of its model: it
// transfers the version, stages it at the engine, verifies what is staged and
// orders the engine to load it.
package loader

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/internal/weights/selector"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/limiter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/storer"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

const (
	// tick is how often the engine is looked at. Its state is fresh and free
	// from the VM it runs on.
	tick = 100 * time.Millisecond
	// transferTime bounds one transfer. A copy takes two seconds on the VM's
	// link; one that does not end is begun again with the chunks that are there.
	transferTime = 12 * time.Second
	// corruptLimit is the number of corrupt chunks in a transfer without any
	// good one after which its manifest is read anew.
	corruptLimit = 3
	// drainNotice is the time between the notice to entry daemons and the order
	// to load. It covers messages on their way.
	drainNotice = 60 * time.Millisecond
	// loadingTime is how long an order counts as in progress before the engine
	// says so.
	loadingTime = 400 * time.Millisecond
	// keptVersions are held for other agents: the served one and the next.
	keptVersions = 2
	// errorPause is the time after a failed step.
	errorPause = 250 * time.Millisecond
	// stageRounds bounds how often what is staged is read back and mended.
	stageRounds = 4
)

// State is what the engine says of itself.
type State struct {
	Up bool
	// Model is the model that the engine is for.
	Model string
	// Version is the version that all layers have; 0 when layers are missing.
	Version int
	Busy    bool
	// Orders is the number of orders accepted since the start.
	Orders  uint64
	Running int
	// Incarnation identifies the start of the engine.
	Incarnation int64
}

// Engine is the engine beside the agent.
type Engine interface {
	State(ctx context.Context) (State, error)
	// Staged returns a staged chunk, and false when there is none.
	Staged(ctx context.Context, model string, chunk int) ([]byte, bool, error)
	Stage(ctx context.Context, model string, chunk int, data []byte) error
	// Load orders the engine to load what is staged as a version.
	Load(ctx context.Context, model string, version int, orders uint64) error
}

// Origin is the origin of weights.
type Origin interface {
	adapter.WeightSource
	// Describe returns the manifest of a version.
	Describe(ctx context.Context, model string, version int) (*verifier.Manifest, error)
	// Region returns the region of the origin and whether copies for each
	// region from the origin would take longer than copies between regions.
	Region() (region string, slow bool)
}

// Peers returns the other agents of the service and this agent's turn to load.
type Peers func(ctx context.Context) ([]*messenger.Peer, selector.LoadPosition)

// Loader runs beside one engine. Fields are set before Run.
type Loader struct {
	Engine  Engine
	Origin  Origin
	Peers   Peers
	Self    *messenger.Peer
	Store   *storer.Storer
	Limiter *limiter.Limiter
	// ServingRate bounds the transfers once the engine has served, in bytes per
	// second; 0 does not bound them. An engine without weights has no answers
	// that would wait on the link.
	ServingRate float64
	// InFlight bounds the chunks that are requested from other agents at once.
	InFlight int
	// Importers bounds the agents of a region that read from the origin at once.
	Importers int
	// MaxImportBackoff bounds the pause between two reads of a chunk that the
	// origin does not deliver; 0 is the planner's default.
	MaxImportBackoff time.Duration
	Versions         *selector.VersionTracker
	// OnChange is called when entry daemons should hear of a new state.
	OnChange func()
	Log      *logger.Logger

	mu    sync.Mutex
	state State
	// loading is until when an order counts as in progress.
	loading time.Time
	// announced is set while entry daemons are told to send nothing.
	announced bool
	held      map[int]*verifier.Manifest
	// completed is since when a held version is there whole.
	completed map[int]time.Time
	turn      selector.LoadPosition
	// limited and running, the newest transfer, are used by Run only.
	limited bool
	running *transferRun
}

func (l *Loader) setTurn(t selector.LoadPosition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Replicas > 0 {
		l.turn = t
	}
}

func (l *Loader) getTurn() selector.LoadPosition {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.turn
}

// Snapshot returns the engine's state and whether entry daemons should leave it
// alone.
func (l *Loader) Snapshot() (State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.announced
}

// Run keeps the engine on the newest version until ctx ends.
func (l *Loader) Run(ctx context.Context) {
	l.held = map[int]*verifier.Manifest{}
	l.turn = selector.LoadPosition{Replicas: 1}
	waiter.Each(ctx, tick, func(now time.Time) {
		l.observe(ctx)
		if err := l.step(ctx, now); err != nil && ctx.Err() == nil {
			l.Log.Warn("step failed", zap.Error(err))
			waiter.Wait(ctx, errorPause)
		}
	})
}

// observe reads the state of the engine.
func (l *Loader) observe(ctx context.Context) {
	s, err := l.Engine.State(ctx)
	now := time.Now()
	if err != nil {
		s = State{}
	}
	l.mu.Lock()
	old := l.state
	if s.Model == "" {
		s.Model = old.Model
	}
	l.state = s
	if l.announced && !s.Busy && now.After(l.loading) {
		l.announced = false
	}
	l.mu.Unlock()
	l.limit(s.Version > 0)
	if old.Up != s.Up {
		event := "dependency regained"
		if !s.Up {
			event = "dependency lost"
		}
		l.Log.Info(event, zap.String("dependency", "engine"), zap.Error(err))
	}
	if old.Up != s.Up || old.Version != s.Version || old.Busy != s.Busy || old.Incarnation != s.Incarnation {
		l.Log.Info("engine changed", zap.Bool("up", s.Up), zap.Int("version", s.Version), zap.Bool("busy", s.Busy),
			zap.Uint64("orders", s.Orders), zap.Int64("born", s.Incarnation))
		l.OnChange()
	}
}

// limit bounds the transfers from the first version on that the engine serves.
// While the engine loads a later one, bounds stay: other agents read from here
// while their engines serve.
func (l *Loader) limit(serving bool) {
	if !serving || l.limited {
		return
	}
	l.limited = true
	l.Limiter.SetCeiling(l.ServingRate)
}

// step does what the selector decides.
func (l *Loader) step(ctx context.Context, now time.Time) error {
	s, _ := l.Snapshot()
	if !s.Up || s.Model == "" || !l.Versions.Initialized() {
		return nil
	}
	engine := selector.EngineState{Version: s.Version, Busy: s.Busy || now.Before(l.loading)}
	plan := l.Versions.Next(s.Model, engine, func(version int) (time.Time, bool) { return l.holds(version, now) }, l.getTurn(), now)
	if plan.Fetch > 0 {
		l.fetch(ctx, s.Model, plan.Fetch)
	}
	if plan.Load > 0 {
		return l.load(ctx, s, plan.Load)
	}
	if plan.Fetch == 0 {
		return l.keepServed(ctx, s)
	}
	return nil
}

func (l *Loader) manifest(version int) *verifier.Manifest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held[version]
}

// holds tells whether a version is there whole, and since when.
func (l *Loader) holds(version int, now time.Time) (since time.Time, ok bool) {
	m := l.manifest(version)
	if m == nil {
		return time.Time{}, false
	}
	_, progress, err := l.Store.Held(m.Digest())
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || !progress.Complete() {
		delete(l.completed, version)
		return time.Time{}, false
	}
	if _, known := l.completed[version]; !known {
		if l.completed == nil {
			l.completed = map[int]time.Time{}
		}
		l.completed[version] = now
	}
	return l.completed[version], true
}

// keepServed holds the version that the engine serves, so that other agents can
// read it here. What is staged at the engine spares the transfer.
func (l *Loader) keepServed(ctx context.Context, s State) error {
	if s.Version == 0 || l.manifest(s.Version) != nil {
		return nil
	}
	_, err := l.begin(ctx, s.Model, s.Version)
	return err
}

// begin makes a version known to the store, with the chunks that are staged at
// the engine.
func (l *Loader) begin(ctx context.Context, model string, version int) (*verifier.Manifest, error) {
	if m := l.manifest(version); m != nil {
		return m, nil
	}
	m, err := l.Origin.Describe(ctx, model, version)
	if err != nil {
		return nil, err
	}
	l.dropOld(version)
	digest, err := l.Store.Begin(m)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.held[version] = m
	l.mu.Unlock()
	found := 0
	for i := range m.Chunks {
		data, ok, err := l.Engine.Staged(ctx, model, i)
		if err != nil {
			// The engine is down; its chunks come from elsewhere.
			l.Log.Info("staged chunks not read", zap.Error(err))
			break
		}
		if !ok {
			continue
		}
		chunk, err := verifier.Check(m, i, data)
		if err != nil {
			continue
		}
		if _, err := l.Store.Add(digest, chunk); err != nil {
			return nil, err
		}
		found++
	}
	l.Log.Info("version begun", zap.String("model", model), zap.Int("version", version), zap.String("digest", digest),
		zap.Int("staged", found), zap.Int("chunks", len(m.Chunks)))
	return m, nil
}

// dropOld frees the oldest versions, so that the new one finds room.
func (l *Loader) dropOld(newest int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.held) >= keptVersions {
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

// fetch starts the transfer of a version. A running transfer of an older one is
// ended, or goes on when much of it is there.
func (l *Loader) fetch(ctx context.Context, model string, version int) {
	if t := l.running; t != nil {
		if !t.ended.Load() && (t.version == version || selector.KeepTransfer(t.progress())) {
			return
		}
		t.cancel()
		l.running = nil
	}
	ctx, cancel := context.WithTimeout(ctx, transferTime)
	l.running = &transferRun{loader: l, model: model, version: version, cancel: cancel}
	go l.running.run(ctx)
}

// SourcePath is the path of a version in the weight source.
func SourcePath(model string, version int) string { return fmt.Sprintf("%s@%d", model, version) }

// load stages a version, verifies what is staged and gives the order.
func (l *Loader) load(ctx context.Context, s State, version int) error {
	m := l.manifest(version)
	if err := l.stage(ctx, s.Model, m); err != nil {
		return err
	}
	l.mu.Lock()
	l.announced = true
	l.loading = time.Now().Add(drainNotice + loadingTime)
	l.mu.Unlock()
	l.OnChange()
	if s.Version > 0 {
		waiter.Wait(ctx, drainNotice)
	}
	err := l.Engine.Load(ctx, s.Model, version, s.Orders)
	l.Log.Info("decision", zap.String("kind", "load"), zap.String("subject", SourcePath(s.Model, version)),
		zap.Int("from", s.Version), zap.Uint64("orders", s.Orders), zap.Int("running", s.Running), zap.Error(err))
	return err
}

// stage puts a version beside the engine and reads it back until every chunk
// has its digest: nothing else verifies what is staged.
func (l *Loader) stage(ctx context.Context, model string, m *verifier.Manifest) error {
	digest := m.Digest()
	for round := range stageRounds {
		spoilt := 0
		for i := range m.Chunks {
			data, ok, err := l.Engine.Staged(ctx, model, i)
			if err != nil {
				return err
			}
			if ok {
				if _, err := verifier.Check(m, i, data); err == nil {
					continue
				}
			}
			spoilt++
			held, ok := l.Store.Chunk(digest, i)
			if !ok {
				return &transferError{Model: model, Cause: &storer.IncompleteError{Digest: digest, Total: len(m.Chunks)}}
			}
			if err := l.Engine.Stage(ctx, model, i, held); err != nil {
				return err
			}
		}
		if spoilt == 0 {
			return nil
		}
		l.Log.Info("chunks staged", zap.String("digest", digest), zap.Int("round", round), zap.Int("chunks", spoilt))
	}
	return &transferError{Model: model, Cause: &stagingError{Rounds: stageRounds}}
}

// stagingError reports chunks that were spoilt each time they were read back.
type stagingError struct {
	Rounds int
}

func (e *stagingError) Error() string {
	return fmt.Sprintf("staged chunks were spoilt in each of %d rounds", e.Rounds)
}

// transferError reports a version that was not transferred or staged.
type transferError struct {
	Model   string
	Version int
	Cause   error
}

func (e *transferError) Error() string {
	return fmt.Sprintf("weights of %s version %d: %v", e.Model, e.Version, e.Cause)
}

func (e *transferError) Unwrap() error { return e.Cause }
