package agent

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/daemon/executor"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	backendPollInterval = 200 * time.Millisecond
	backendPollTimeout  = time.Second
	// maxCacheEvents bounds the cache events that wait for reports.
	maxCacheEvents = 1024
)

// backend watches the backend server's process.
type backend struct {
	Engine   adapter.Engine
	Service  adapter.Service
	Weights  Weights
	Executor *executor.Executor
	Orders   *orders
	Log      *logger.Logger

	mu       sync.Mutex
	up       bool
	wasUp    bool
	engine   adapter.EngineState
	events   []*messenger.CacheEvent
	crashes  int
	lastSeen uint64
}

// serve polls the backend server until the context ends.
func (b *backend) serve(ctx context.Context) error {
	ticker := time.NewTicker(backendPollInterval)
	defer ticker.Stop()
	for {
		if b.Engine != nil {
			b.pollEngine(ctx)
		} else {
			b.pollService(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (b *backend) pollEngine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, backendPollTimeout)
	defer cancel()
	turn := b.Orders.turn()
	state, err := b.Engine.State(ctx)
	if err != nil {
		b.set(executor.BackendState{}, err)
		return
	}
	b.mu.Lock()
	restarted := b.engine.Instance != "" && b.engine.Instance != state.Instance
	b.engine = state
	if restarted {
		b.events, b.lastSeen = nil, 0
	}
	b.mu.Unlock()
	b.observe(state, turn)
	b.set(executor.BackendState{Up: true, Instance: state.Instance, Queued: state.Queued}, nil)
	b.pollEvents(ctx)
}

// observe hands the state to the weights path, unless an order to the engine
// was carried out at the same time, which makes the state ambiguous.
func (b *backend) observe(state adapter.EngineState, turn uint64) {
	if turn%2 == 1 || b.Orders.turn() != turn {
		return
	}
	if b.Weights.ObserveEngine(state) {
		b.Log.Info("the engine lost the active version", zap.String("reported", state.Version), zap.String("instance", state.Instance))
		b.Orders.enqueueRestore()
	}
}

func (b *backend) pollEvents(ctx context.Context) {
	b.mu.Lock()
	after := b.lastSeen
	b.mu.Unlock()
	events, err := b.Engine.PrefixEvents(ctx, after)
	if err != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range events {
		if e.Sequence <= b.lastSeen {
			continue
		}
		b.lastSeen = e.Sequence
		b.events = append(b.events, &messenger.CacheEvent{Sequence: e.Sequence, PrefixHash: e.PrefixHash, Removed: e.Removed})
	}
	if surplus := len(b.events) - maxCacheEvents; surplus > 0 {
		b.events = b.events[surplus:]
	}
}

func (b *backend) pollService(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, backendPollTimeout)
	defer cancel()
	err := b.Service.Healthy(ctx)
	b.set(executor.BackendState{Up: err == nil}, err)
}

func (b *backend) set(state executor.BackendState, err error) {
	b.mu.Lock()
	changed := b.up != state.Up
	b.up = state.Up
	b.wasUp = b.wasUp || state.Up
	b.mu.Unlock()
	b.Executor.SetBackend(state)
	if changed {
		b.Log.Info("the backend server's process changed", zap.Bool("up", state.Up), zap.Error(err))
	}
}

// crashed counts a crash that the executor has seen.
func (b *backend) crashed([]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashes++
	b.up = false
}

// status returns whether the process answers, and whether it ever has.
func (b *backend) status() (up, wasUp bool, role string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.up, b.wasUp, b.engine.Role
}

// eventsAfter returns up to n cache events after a sequence number.
func (b *backend) eventsAfter(sequence uint64, n int) []*messenger.CacheEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []*messenger.CacheEvent
	for _, e := range b.events {
		if e.Sequence > sequence && len(found) < n {
			found = append(found, e)
		}
	}
	return found
}
