package agent

import (
	"context"

	"github.com/lentilbridge/lentilbridge/internal/daemon/executor"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
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
