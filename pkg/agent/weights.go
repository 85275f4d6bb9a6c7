package agent

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/zeebo/blake3"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/executor"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// Apply gives an order to the engine under the fence of the order that is
// being carried out.
type Apply func(ctx context.Context, order adapter.EngineOrder) error

// Weights is the weights path of an agent. Prepare and Drop return at once;
// the transfer runs in Run. The methods that take an Apply are called one at a
// time, and Activate and Restore only while no attempt runs.
type Weights interface {
	executor.Versions
	Run(ctx context.Context) error
	// Prepare starts or updates the transfer of a version.
	Prepare(order *messenger.PrepareOrder) error
	// Prepared reports whether the whole version is here and verified.
	Prepared(digest string) bool
	// Drop stops a transfer and frees its chunks.
	Drop(digest string) error
	// Activate gives the version to the engine and compares the digest that
	// the engine reports. For a version that is already active it only takes
	// over the names.
	Activate(ctx context.Context, order *messenger.ActivateOrder, apply Apply) error
	Unload(ctx context.Context, order *messenger.UnloadOrder, apply Apply) error
	LoadAdapter(ctx context.Context, order *messenger.LoadAdapterOrder, apply Apply) error
	UnloadAdapter(ctx context.Context, order *messenger.UnloadAdapterOrder, apply Apply) error
	// ObserveEngine compares what the engine reports with the active version,
	// and reports whether Restore is needed. It is not called during orders.
	ObserveEngine(state adapter.EngineState) bool
	// Restore gives the active version again to an engine that lost it.
	Restore(ctx context.Context, apply Apply) error
	Transfers() []*messenger.Transfer
}

const (
	sourceReadBytes   = 4 << 20
	maxPendingPrepare = 16
)

// sourceWeights reads whole versions from the weight source.
type sourceWeights struct {
	Source adapter.WeightSource
	Engine adapter.Engine
	Log    *logger.Logger

	once    sync.Once
	pending chan *messenger.PrepareOrder

	mu       sync.Mutex
	active   executor.ActiveVersion
	verified bool
	copies   map[string]*sourceCopy
}

type sourceCopy struct {
	ref      *messenger.VersionRef
	data     []byte
	complete bool
	err      string
}

func (w *sourceWeights) setUp() {
	w.once.Do(func() {
		w.pending = make(chan *messenger.PrepareOrder, maxPendingPrepare)
		w.copies = map[string]*sourceCopy{}
	})
}

// Run implements Weights.
func (w *sourceWeights) Run(ctx context.Context) error {
	w.setUp()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case order := <-w.pending:
			w.read(ctx, order.GetVersion())
		}
	}
}

// Prepare implements Weights.
func (w *sourceWeights) Prepare(order *messenger.PrepareOrder) error {
	w.setUp()
	if w.Source == nil {
		return errors.New("the agent has no weight source")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	digest := order.GetVersion().GetDigest()
	if c := w.copies[digest]; c != nil && c.err == "" {
		return nil
	}
	select {
	case w.pending <- order:
		w.copies[digest] = &sourceCopy{ref: order.GetVersion()}
		return nil
	default:
		return errors.New("too many transfers are pending")
	}
}

// Prepared implements Weights.
func (w *sourceWeights) Prepared(digest string) bool {
	w.setUp()
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.copies[digest]
	return c != nil && c.complete
}

// Drop implements Weights.
func (w *sourceWeights) Drop(digest string) error {
	w.setUp()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.copies, digest)
	return nil
}

// Activate implements Weights.
func (w *sourceWeights) Activate(ctx context.Context, order *messenger.ActivateOrder, apply Apply) error {
	ref := order.GetVersion()
	next := executor.ActiveVersion{Model: ref.GetModel(), Name: ref.GetName(), Digest: ref.GetDigest()}
	if w.Ready(ref.GetDigest()) {
		w.mu.Lock()
		defer w.mu.Unlock()
		next.Adapters = w.active.Adapters
		w.active = next
		return nil
	}
	return w.load(ctx, next, apply)
}

// Restore implements Weights.
func (w *sourceWeights) Restore(ctx context.Context, apply Apply) error {
	return w.load(ctx, w.ActiveVersion(), apply)
}

// load switches the engine. Nothing is ready from the first byte on until the
// engine has reported which version it runs.
func (w *sourceWeights) load(ctx context.Context, next executor.ActiveVersion, apply Apply) error {
	w.mu.Lock()
	c := w.copies[next.Digest]
	if c == nil || !c.complete {
		w.mu.Unlock()
		return fmt.Errorf("version %s is not complete", next.Digest)
	}
	previous := w.active
	w.verified = false
	w.mu.Unlock()
	next.Adapters = nil
	applyErr := apply(ctx, adapter.LoadVersion{
		Model: next.Model, Version: next.Digest, Weights: bytes.NewReader(c.data), Bytes: int64(len(c.data)),
	})
	state, err := w.Engine.State(ctx)
	if err != nil {
		return errors.Join(applyErr, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case state.Version == next.Digest && applyErr == nil:
		w.active, w.verified = next, true
	case state.Version != "" && state.Version == previous.Digest:
		w.verified = true
	}
	if applyErr == nil && !w.verified {
		return fmt.Errorf("the engine reports the version %q after it was given %q", state.Version, next.Digest)
	}
	return applyErr
}

// Unload implements Weights.
func (w *sourceWeights) Unload(ctx context.Context, order *messenger.UnloadOrder, apply Apply) error {
	w.mu.Lock()
	w.verified = false
	w.active = executor.ActiveVersion{}
	w.mu.Unlock()
	return apply(ctx, adapter.UnloadVersion{Model: order.GetModel()})
}

// LoadAdapter implements Weights.
func (w *sourceWeights) LoadAdapter(ctx context.Context, order *messenger.LoadAdapterOrder, apply Apply) error {
	if w.Source == nil {
		return errors.New("the agent has no weight source")
	}
	data, err := w.readAll(ctx, order.GetVersion())
	if err != nil {
		return err
	}
	err = apply(ctx, adapter.LoadAdapter{Adapter: order.GetAdapter(), Weights: bytes.NewReader(data), Bytes: int64(len(data))})
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slices.Contains(w.active.Adapters, order.GetAdapter()) {
		w.active.Adapters = append(slices.Clone(w.active.Adapters), order.GetAdapter())
	}
	return nil
}

// UnloadAdapter implements Weights.
func (w *sourceWeights) UnloadAdapter(ctx context.Context, order *messenger.UnloadAdapterOrder, apply Apply) error {
	if err := apply(ctx, adapter.UnloadAdapter{Adapter: order.GetAdapter()}); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active.Adapters = slices.DeleteFunc(slices.Clone(w.active.Adapters), func(name string) bool { return name == order.GetAdapter() })
	return nil
}

// ObserveEngine implements Weights. An agent that has just started takes over
// the version of a running engine: it was verified when the engine got it,
// and attempts name the version that they need.
func (w *sourceWeights) ObserveEngine(state adapter.EngineState) bool {
	w.setUp()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active.Digest == "" {
		w.active = executor.ActiveVersion{Digest: state.Version, Adapters: state.Adapters}
		w.verified = state.Version != ""
		return false
	}
	w.verified = state.Version == w.active.Digest
	if w.verified {
		w.active.Adapters = state.Adapters
	}
	c := w.copies[w.active.Digest]
	return !w.verified && c != nil && c.complete
}

// Ready implements executor.Versions.
func (w *sourceWeights) Ready(version string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.verified && (version == "" || version == w.active.Digest)
}

// ActiveVersion implements executor.Versions.
func (w *sourceWeights) ActiveVersion() executor.ActiveVersion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.active
}

// Transfers implements Weights.
func (w *sourceWeights) Transfers() []*messenger.Transfer {
	w.setUp()
	w.mu.Lock()
	defer w.mu.Unlock()
	transfers := make([]*messenger.Transfer, 0, len(w.copies))
	for digest, c := range w.copies {
		transfers = append(transfers, &messenger.Transfer{
			Digest: digest, ChunksHeld: uint32(len(c.data) / sourceReadBytes), ChunksTotal: uint32(c.ref.GetSizeBytes() / sourceReadBytes),
			BytesFromOrigin: uint64(len(c.data)), Complete: c.complete, Error: c.err,
		})
	}
	return transfers
}

func (w *sourceWeights) read(ctx context.Context, ref *messenger.VersionRef) {
	data, err := w.readAll(ctx, ref)
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.copies[ref.GetDigest()]
	if c == nil {
		return
	}
	if err != nil {
		c.err = err.Error()
		w.Log.Warn("transfer failed", zap.String("digest", ref.GetDigest()), zap.Error(err))
		return
	}
	c.data, c.complete = data, true
}

func (w *sourceWeights) readAll(ctx context.Context, ref *messenger.VersionRef) ([]byte, error) {
	manifest, err := w.Source.Manifest(ctx, ref.GetSource())
	if err != nil {
		return nil, err
	}
	sum := blake3.Sum256(manifest)
	if digest := hex.EncodeToString(sum[:]); digest != ref.GetDigest() {
		return nil, fmt.Errorf("the manifest of %s has the digest %s, expected %s", ref.GetSource(), digest, ref.GetDigest())
	}
	var data []byte
	size := int64(ref.GetSizeBytes())
	for offset := int64(0); offset < size; offset = int64(len(data)) {
		piece, err := w.Source.ReadRange(ctx, ref.GetSource(), offset, min(sourceReadBytes, size-offset))
		if err != nil {
			return nil, err
		}
		data = append(data, piece...)
	}
	return data, nil
}
