// Package activator hands complete, verified versions to the engine and says
// whether the engine runs the version that it should run.
package activator

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// DefaultCheckInterval is the time between two reads of the engine's state.
const DefaultCheckInterval = 500 * time.Millisecond

// Guard admits an order right before it is applied and returns the epoch to
// give to the engine. A nil fence asks for the agent's own reload of a version
// that an earlier order activated, after the engine restarted.
type Guard func(fence *messenger.Fence) (epoch uint64, err error)

// Source gives the bytes of complete versions and refuses others.
type Source interface {
	Reader(digest string) (io.Reader, int64, error)
}

// Status is what the activator knows of the engine.
type Status struct {
	// Ready is set while the engine has confirmed the expected version.
	Ready bool
	// Version is the confirmed or expected version.
	Version *messenger.VersionRef
	// Adapters are the adapters that the engine has confirmed.
	Adapters []string
	Instance string
	// Reason says why the engine is not ready.
	Reason string
}

// Activator applies versions to one engine. Fields are set before use.
type Activator struct {
	Engine adapter.Engine
	Source Source
	Guard  Guard
	// Log may be nil.
	Log *logger.Logger
	// CheckInterval is DefaultCheckInterval when 0.
	CheckInterval time.Duration

	// applying serializes orders and checks.
	applying sync.Mutex
	mu       sync.Mutex
	expected *messenger.VersionRef
	adapters map[string]*messenger.VersionRef
	// previous is what the engine was confirmed to run before the activation
	// in progress. An engine that refused the new version still runs it.
	previous *confirmed
	status   Status
	// generation counts Invalidate calls: a state read before an Invalidate
	// must not make the engine ready after it.
	generation uint64
}

// confirmed is a version that the engine has reported, with its adapters.
type confirmed struct {
	version  *messenger.VersionRef
	adapters map[string]*messenger.VersionRef
}

// MismatchError reports an engine that runs another version than expected.
type MismatchError struct {
	Expected string
	Found    string
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("engine reports version %q, expected %q", e.Found, e.Expected)
}

// AdapterError reports an adapter that the engine did not confirm.
type AdapterError struct {
	Adapter string
}

func (e *AdapterError) Error() string {
	return fmt.Sprintf("engine does not report adapter %q after loading it", e.Adapter)
}

// InvalidatedError reports a state that was read before the engine's state was
// invalidated.
type InvalidatedError struct{}

func (e *InvalidatedError) Error() string {
	return "engine state changed while it was being confirmed"
}

// NoActiveVersionError reports an order that needs an active version.
type NoActiveVersionError struct {
	Operation string
}

func (e *NoActiveVersionError) Error() string {
	return e.Operation + " refused: no version is active on this engine"
}

// Status returns the present status.
func (a *Activator) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.status
	out.Version = a.expected
	out.Adapters = slices.Clone(a.status.Adapters)
	return out
}

// Run checks the engine until ctx ends.
func (a *Activator) Run(ctx context.Context) error {
	interval := a.CheckInterval
	if interval <= 0 {
		interval = DefaultCheckInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if err := a.Check(ctx); err != nil && ctx.Err() == nil {
			a.log().Warn("engine is not ready", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Expect names the version that the engine should run, without loading it. A
// restarted agent calls it; the engine is ready only once it reports this
// version.
func (a *Activator) Expect(ref *messenger.VersionRef) {
	a.mu.Lock()
	defer a.mu.Unlock()
	same := a.expected.GetDigest() == ref.GetDigest()
	a.expected = ref
	if same {
		return
	}
	a.adapters = nil
	a.previous = nil
	a.status = Status{Reason: "version is not confirmed yet"}
	a.generation++
}

// Invalidate makes the engine not ready until it is checked again, for
// example after a connection to it broke.
func (a *Activator) Invalidate(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status = Status{Reason: reason}
	a.generation++
}

// Activate loads a complete version in one step and returns after the engine
// has confirmed its digest.
func (a *Activator) Activate(ctx context.Context, fence *messenger.Fence, ref *messenger.VersionRef) error {
	a.applying.Lock()
	defer a.applying.Unlock()
	order, err := a.loadOrder(ref)
	if err != nil {
		return err
	}
	epoch, err := a.Guard(fence)
	if err != nil {
		return err
	}
	a.setExpected(ref)
	if err := a.Engine.Apply(ctx, epoch, order); err != nil {
		return err
	}
	logger.LogDecision(a.log(), logger.Decision{Kind: "activate", Subject: ref.GetDigest(), Chosen: ref.GetName(), Reason: "order"})
	if err := a.confirm(ctx); err != nil {
		return err
	}
	a.forgetPrevious()
	return nil
}

// Unload frees the engine's weights.
func (a *Activator) Unload(ctx context.Context, fence *messenger.Fence, model string) error {
	a.applying.Lock()
	defer a.applying.Unlock()
	epoch, err := a.Guard(fence)
	if err != nil {
		return err
	}
	a.setExpected(nil)
	return a.Engine.Apply(ctx, epoch, adapter.UnloadVersion{Model: model})
}

// LoadAdapter adds a complete adapter to the active version and returns after
// the engine has confirmed it.
func (a *Activator) LoadAdapter(ctx context.Context, fence *messenger.Fence, name string, ref *messenger.VersionRef) error {
	a.applying.Lock()
	defer a.applying.Unlock()
	if a.Status().Version == nil {
		return &NoActiveVersionError{Operation: "load adapter " + name}
	}
	if err := a.applyAdapter(ctx, fence, name, ref); err != nil {
		return err
	}
	a.mu.Lock()
	if a.adapters == nil {
		a.adapters = map[string]*messenger.VersionRef{}
	}
	a.adapters[name] = ref
	a.mu.Unlock()
	if err := a.confirm(ctx); err != nil {
		return err
	}
	if !slices.Contains(a.Status().Adapters, name) {
		return &AdapterError{Adapter: name}
	}
	return nil
}

// UnloadAdapter removes an adapter.
func (a *Activator) UnloadAdapter(ctx context.Context, fence *messenger.Fence, name string) error {
	a.applying.Lock()
	defer a.applying.Unlock()
	epoch, err := a.Guard(fence)
	if err != nil {
		return err
	}
	a.mu.Lock()
	delete(a.adapters, name)
	a.mu.Unlock()
	if err := a.Engine.Apply(ctx, epoch, adapter.UnloadAdapter{Adapter: name}); err != nil {
		return err
	}
	return a.confirm(ctx)
}

// Check reads the engine's state. An engine that restarted without the
// expected version gets it again if the version is still held.
func (a *Activator) Check(ctx context.Context) error {
	a.applying.Lock()
	defer a.applying.Unlock()
	err := a.confirm(ctx)
	var mismatch *MismatchError
	if err == nil {
		return a.reloadAdapters(ctx)
	}
	// Only an empty engine is reloaded: another version is for the holder of
	// the lease to correct.
	if !asMismatch(err, &mismatch) || mismatch.Found != "" {
		return err
	}
	return a.reload(ctx)
}

func (a *Activator) log() *logger.Logger {
	if a.Log == nil {
		return zap.NewNop()
	}
	return a.Log
}

func (a *Activator) reload(ctx context.Context) error {
	ref := a.Status().Version
	order, err := a.loadOrder(ref)
	if err != nil {
		return err
	}
	epoch, err := a.Guard(nil)
	if err != nil {
		return err
	}
	if err := a.Engine.Apply(ctx, epoch, order); err != nil {
		return err
	}
	logger.LogDecision(a.log(), logger.Decision{Kind: "activate", Subject: ref.GetDigest(), Chosen: ref.GetName(), Reason: "engine restarted without weights"})
	if err := a.confirm(ctx); err != nil {
		return err
	}
	return a.reloadAdapters(ctx)
}

func (a *Activator) reloadAdapters(ctx context.Context) error {
	loaded := a.Status().Adapters
	for name, ref := range a.wantedAdapters() {
		if slices.Contains(loaded, name) {
			continue
		}
		if err := a.applyAdapter(ctx, nil, name, ref); err != nil {
			return err
		}
		if err := a.confirm(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (a *Activator) loadOrder(ref *messenger.VersionRef) (adapter.LoadVersion, error) {
	r, n, err := a.Source.Reader(ref.GetDigest())
	if err != nil {
		return adapter.LoadVersion{}, err
	}
	return adapter.LoadVersion{Model: ref.GetModel(), Version: ref.GetDigest(), Weights: r, Bytes: n}, nil
}

func (a *Activator) applyAdapter(ctx context.Context, fence *messenger.Fence, name string, ref *messenger.VersionRef) error {
	r, n, err := a.Source.Reader(ref.GetDigest())
	if err != nil {
		return err
	}
	epoch, err := a.Guard(fence)
	if err != nil {
		return err
	}
	return a.Engine.Apply(ctx, epoch, adapter.LoadAdapter{Adapter: name, Weights: r, Bytes: n})
}
