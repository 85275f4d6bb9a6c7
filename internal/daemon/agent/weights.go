package agent

import (
	"context"

	"github.com/lentilbridge/lentilbridge/internal/daemon/executor"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// ApplyFunc sends an order to the engine under the fence of the order that is
// being executed.
type ApplyFunc func(ctx context.Context, order adapter.EngineOrder) error

// Weights transfers, stores and activates the weights of an agent. Prepare and
// Drop return immediately; Run runs the transfers. The methods with an ApplyFunc
// are called one at a time. Activate, except for the active version, Unload and
// Restore are called only while no attempt runs.
type Weights interface {
	executor.Versions
	Run(ctx context.Context) error
	// Prepare starts or updates the transfer of a version.
	Prepare(order *messenger.PrepareOrder) error
	// Prepared reports whether the version is complete and verified on this VM.
	Prepared(digest string) bool
	// Drop stops a transfer and frees its chunks.
	Drop(digest string) error
	// Activate loads the version into the engine and checks the digest that the
	// engine reports. For the active version it only updates its names.
	Activate(ctx context.Context, order *messenger.ActivateOrder, apply ApplyFunc) error
	Unload(ctx context.Context, order *messenger.UnloadOrder, apply ApplyFunc) error
	LoadAdapter(ctx context.Context, order *messenger.LoadAdapterOrder, apply ApplyFunc) error
	UnloadAdapter(ctx context.Context, order *messenger.UnloadAdapterOrder, apply ApplyFunc) error
	// ObserveEngine compares the engine's state with the active version and
	// reports whether Restore is needed. The state must not have been read
	// during an order.
	ObserveEngine(state adapter.EngineState) bool
	// Restore loads the active version again into an engine that lost it.
	Restore(ctx context.Context, apply ApplyFunc) error
	Transfers() []*messenger.Transfer
}
