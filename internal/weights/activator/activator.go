// Package activator loads complete, verified versions into the engine and monitors
// whether the engine runs the expected version.
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

// Guard checks an order's fence immediately before the order is applied and returns
// the epoch to pass to the engine. The fence is nil if the agent itself reloads a
// version that an earlier order activated, after the engine restarted.
type Guard func(fence *messenger.Fence) (epoch uint64, err error)

// Source provides the weights of complete versions.
type Source interface {
	// Reader returns a reader of a version and its size in bytes. It returns an
	// error if the version is not complete.
	Reader(digest string) (io.Reader, int64, error)
}

// Status is the state of the engine as the activator last determined it.
type Status struct {
	// Ready is set while the engine is known to run the expected version.
	Ready bool
	// Version is the expected version. The engine runs it if Ready is set.
	Version *messenger.VersionRef
	// Adapters are the adapters that the engine has confirmed.
	Adapters []string
	// Instance identifies the engine process.
	Instance string
	// Reason explains why the engine is not ready.
	Reason string
}

// Activator manages the version and the adapters that one engine runs. Exported
// fields must be set before use.
type Activator struct {
	Engine adapter.Engine
	Source Source
	Guard  Guard
	// Log may be nil.
	Log *logger.Logger
	// CheckInterval defaults to DefaultCheckInterval.
	CheckInterval time.Duration

	// orderMu serializes orders and checks. It is locked before mu.
	orderMu  sync.Mutex
	mu       sync.Mutex
	expected *messenger.VersionRef
	adapters map[string]*messenger.VersionRef
	// previous is the confirmed state of the engine before the activation in
	// progress. An engine that rejects the new version still runs it.
	previous *confirmedState
	status   Status
	// generation is incremented whenever the status is reset. A state that was
	// read before that must not make the engine ready afterwards.
	generation uint64
}

// confirmedState is a version that the engine has reported, and its adapters.
type confirmedState struct {
	version  *messenger.VersionRef
	adapters map[string]*messenger.VersionRef
}

// MismatchError reports an engine that runs a different version than expected.
type MismatchError struct {
	Expected string
	Found    string
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("engine reports version %q, expected %q", e.Found, e.Expected)
}

// AdapterError reports an adapter that is missing from the engine's state after it
// was loaded.
type AdapterError struct {
	Adapter string
}

func (e *AdapterError) Error() string {
	return fmt.Sprintf("engine does not report adapter %q after loading it", e.Adapter)
}

// InvalidatedError reports that the status was reset while the engine's state was
// being read.
type InvalidatedError struct{}

func (e *InvalidatedError) Error() string {
	return "engine state changed while it was being confirmed"
}

// NoActiveVersionError reports an order that requires an active version.
type NoActiveVersionError struct {
	Operation string
}

func (e *NoActiveVersionError) Error() string {
	return e.Operation + " refused: no version is active on this engine"
}

// Status returns the current status.
func (a *Activator) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.status
	out.Version = a.expected
	out.Adapters = slices.Clone(a.status.Adapters)
	return out
}

// Run checks the engine periodically until ctx is cancelled.
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

// Expect sets the version that the engine should run without loading it. An agent
// calls it after a restart; the engine is ready once it reports this version.
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

// Invalidate marks the engine as not ready until it is checked again, for example
// after a connection to it broke.
func (a *Activator) Invalidate(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status = Status{Reason: reason}
	a.generation++
}

// Activate loads a complete version into the engine and returns after the engine
// has reported its digest.
func (a *Activator) Activate(ctx context.Context, fence *messenger.Fence, ref *messenger.VersionRef) error {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	order, err := a.newLoadOrder(ref)
	if err != nil {
		return err
	}
	epoch, err := a.Guard(fence)
	if err != nil {
		return err
	}
	a.beginSwitch(ref)
	if err := a.Engine.Apply(ctx, epoch, order); err != nil {
		return err
	}
	logger.LogDecision(a.log(), logger.Decision{Kind: "activate", Subject: ref.GetDigest(), Chosen: ref.GetName(), Reason: "order"})
	if err := a.confirm(ctx); err != nil {
		return err
	}
	a.clearPrevious()
	return nil
}

// Unload removes the weights from the engine.
func (a *Activator) Unload(ctx context.Context, fence *messenger.Fence, model string) error {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	epoch, err := a.Guard(fence)
	if err != nil {
		return err
	}
	a.beginSwitch(nil)
	return a.Engine.Apply(ctx, epoch, adapter.UnloadVersion{Model: model})
}

// LoadAdapter adds a complete adapter to the active version and returns after the
// engine has reported it.
func (a *Activator) LoadAdapter(ctx context.Context, fence *messenger.Fence, name string, ref *messenger.VersionRef) error {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
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

// UnloadAdapter removes an adapter from the engine.
func (a *Activator) UnloadAdapter(ctx context.Context, fence *messenger.Fence, name string) error {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
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

// Check reads the engine's state and updates the status. If the engine restarted
// without weights, the expected version and its adapters are loaded again,
// provided that the version is still held.
func (a *Activator) Check(ctx context.Context) error {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	err := a.confirm(ctx)
	var mismatch *MismatchError
	if err == nil {
		return a.reloadAdapters(ctx)
	}
	// Only an engine without a version is reloaded. If it runs a different
	// version, the lease holder is responsible for correcting it.
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

// reload loads the expected version and its adapters into an engine that restarted
// without weights.
func (a *Activator) reload(ctx context.Context) error {
	ref := a.Status().Version
	order, err := a.newLoadOrder(ref)
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

// reloadAdapters loads the expected adapters that the engine does not report.
func (a *Activator) reloadAdapters(ctx context.Context) error {
	loaded := a.Status().Adapters
	for name, ref := range a.expectedAdapters() {
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

func (a *Activator) newLoadOrder(ref *messenger.VersionRef) (adapter.LoadVersion, error) {
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
