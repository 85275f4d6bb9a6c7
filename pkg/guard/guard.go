// Package guard checks each order to the engine of its VM. It refuses orders
// of former lease holders, also when the engine ignores fencing epochs.
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

// Guard keeps the highest epoch of each shard and passes orders to the engine
// one at a time. The exported fields are set before the first order.
type Guard struct {
	// Engine gets the orders; nil for a plain service.
	Engine adapter.Engine
	Log    *logger.Logger

	mu     sync.Mutex
	epochs map[string]uint64
	// number is the highest that the engine has been given.
	number uint64

	setUp sync.Once
	// turn holds one token; who has it may give orders to the engine.
	turn chan struct{}
}

// Learn raises the known epochs to those that an entry daemon reports.
func (g *Guard) Learn(epochs map[string]uint64) {
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

// Highest returns the known epoch of a shard, 0 when there is none.
func (g *Guard) Highest(shard string) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epochs[shard]
}

// Check returns an error unless the fence is current, and learns its epoch.
// An agent that has just started must not take an order before it knows the
// shard's epoch: the first order to arrive may be from a former holder.
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

// Apply gives an order to the engine. The fence is checked again once it is
// the order's turn, because its holder may have lost the lease while the
// order waited or while weights were transferred.
func (g *Guard) Apply(ctx context.Context, fence *messenger.Fence, order adapter.EngineOrder) error {
	if err := g.Check(fence); err != nil {
		return g.refused(fence, err)
	}
	return g.apply(ctx, fence, order)
}

// Restore repeats the last accepted order after the engine has restarted. It
// needs no fence, since it decides nothing new.
func (g *Guard) Restore(ctx context.Context, order adapter.EngineOrder) error {
	return g.apply(ctx, nil, order)
}

func (g *Guard) apply(ctx context.Context, fence *messenger.Fence, order adapter.EngineOrder) error {
	if g.Engine == nil {
		return errors.New("the backend server runs no engine")
	}
	if err := g.takeTurn(ctx); err != nil {
		return err
	}
	defer g.endTurn()
	state, err := g.Engine.State(ctx)
	if err != nil {
		return err
	}
	number, err := g.nextNumber(fence, state.Epoch)
	if err != nil {
		return g.refused(fence, err)
	}
	err = g.Engine.Apply(ctx, number, order)
	var stale *adapter.StaleEpochError
	if errors.As(err, &stale) {
		stale.Shard = fence.GetShard()
	}
	return err
}

// nextNumber checks the fence for the last time and returns the number for
// the engine. The engine keeps a single number for orders of all shards, so
// it gets the highest of the fence's epoch and what it has seen; which order
// of a shard is current is decided here.
func (g *Guard) nextNumber(fence *messenger.Fence, seen uint64) (uint64, error) {
	if fence != nil {
		if err := g.Check(fence); err != nil {
			return 0, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.number = max(g.number, seen, fence.GetEpoch())
	return g.number, nil
}

func (g *Guard) takeTurn(ctx context.Context) error {
	g.setUp.Do(func() { g.turn = make(chan struct{}, 1) })
	select {
	case g.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Guard) endTurn() { <-g.turn }

func (g *Guard) refused(fence *messenger.Fence, err error) error {
	if g.Log != nil {
		logger.LogDecision(g.Log, logger.Decision{Kind: "order", Subject: fence.GetShard(), Reason: err.Error()},
			zap.Uint64("epoch", fence.GetEpoch()))
	}
	return err
}
