// Package guard checks the fencing epoch of every order before it is applied to
// the engine of the VM. It refuses orders of former lease holders, also when
// the engine itself ignores fencing epochs.
package guard

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// UnknownEpochError reports an order of a shard whose current epoch is not
// known yet.
type UnknownEpochError struct {
	Shard string
}

func (e *UnknownEpochError) Error() string {
	return fmt.Sprintf("order of shard %q refused: its current epoch is not known yet", e.Shard)
}

// Guard keeps the highest known epoch of each shard and applies orders to the
// engine one at a time. Its exported fields must be set before the first order.
type Guard struct {
	// Engine is nil when the backend server is a service without an engine.
	Engine adapter.Engine
	Log    *logger.Logger

	mu     sync.Mutex
	epochs map[string]uint64
	// engineEpoch is the highest epoch that was passed to the engine or reported
	// by it.
	engineEpoch uint64

	once sync.Once
	// engineLock serializes orders to the engine. It is a channel of capacity 1,
	// so that waiting for it can be canceled.
	engineLock chan struct{}
}

// RaiseEpochs raises the known epochs to those that an entry daemon reported.
func (g *Guard) RaiseEpochs(epochs map[string]uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epochs == nil {
		g.epochs = map[string]uint64{}
	}
	for shard, epoch := range epochs {
		g.epochs[shard] = max(g.epochs[shard], epoch)
	}
}

// Epochs returns a copy of the known epochs.
func (g *Guard) Epochs() map[string]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.epochs)
}

// HighestEpoch returns the highest known epoch of a shard, or 0 when none is
// known.
func (g *Guard) HighestEpoch(shard string) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epochs[shard]
}

// Check returns an error unless the epoch of the fence is current, and records
// the epoch. It also refuses orders of a shard whose epoch is not known: the
// first order that arrives after the start of the agent may be from a former
// holder.
func (g *Guard) Check(fence *messenger.Fence) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	highest, known := g.epochs[fence.GetShard()]
	if !known {
		return &UnknownEpochError{Shard: fence.GetShard()}
	}
	if fence.GetEpoch() < highest {
		return &adapter.StaleEpochError{Shard: fence.GetShard(), Epoch: fence.GetEpoch(), Highest: highest}
	}
	g.epochs[fence.GetShard()] = fence.GetEpoch()
	return nil
}

// Apply applies an order to the engine. The fence is checked again immediately
// before the order is applied, because the sender may have lost the lease while
// the order waited or while weights were transferred.
func (g *Guard) Apply(ctx context.Context, fence *messenger.Fence, order adapter.EngineOrder) error {
	if err := g.Check(fence); err != nil {
		return g.logRefusal(fence, err)
	}
	return g.apply(ctx, fence, order)
}

// Restore applies the last accepted order again after a restart of the engine.
// It needs no fence, because the order was checked when it was accepted.
func (g *Guard) Restore(ctx context.Context, order adapter.EngineOrder) error {
	return g.apply(ctx, nil, order)
}

func (g *Guard) apply(ctx context.Context, fence *messenger.Fence, order adapter.EngineOrder) error {
	if g.Engine == nil {
		return errors.New("the backend server runs no engine")
	}
	if err := g.lockEngine(ctx); err != nil {
		return err
	}
	defer g.unlockEngine()
	state, err := g.Engine.State(ctx)
	if err != nil {
		return err
	}
	epoch, err := g.nextEngineEpoch(fence, state.Epoch)
	if err != nil {
		return g.logRefusal(fence, err)
	}
	err = g.Engine.Apply(ctx, epoch, order)
	var stale *adapter.StaleEpochError
	if errors.As(err, &stale) {
		stale.Shard = fence.GetShard()
	}
	return err
}

// nextEngineEpoch checks the fence again and returns the epoch for the engine.
// The engine keeps a single epoch for the orders of all shards. It therefore
// gets the highest epoch of all its orders and of its own report; whether an
// order is current for its shard is decided here.
func (g *Guard) nextEngineEpoch(fence *messenger.Fence, reported uint64) (uint64, error) {
	if fence != nil {
		if err := g.Check(fence); err != nil {
			return 0, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.engineEpoch = max(g.engineEpoch, reported, fence.GetEpoch())
	return g.engineEpoch, nil
}

func (g *Guard) lockEngine(ctx context.Context) error {
	g.once.Do(func() { g.engineLock = make(chan struct{}, 1) })
	select {
	case g.engineLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Guard) unlockEngine() { <-g.engineLock }

// logRefusal logs the refusal of an order and returns its error.
func (g *Guard) logRefusal(fence *messenger.Fence, err error) error {
	if g.Log != nil {
		logger.LogDecision(g.Log, logger.Decision{Kind: "order", Subject: fence.GetShard(), Reason: err.Error()},
			zap.Uint64("epoch", fence.GetEpoch()))
	}
	return err
}
