package agent

import (
	"context"
	"errors"
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
	// maxBackendSilence is how long a process counts as up after its last answer while its
	// polls time out: it may pause and go on.
	maxBackendSilence = 3 * time.Second
	// maxCacheEvents limits the cache events that are kept for reports.
	maxCacheEvents = 1024
)

// backend polls the state of the backend server's process.
type backend struct {
	Engine   adapter.Engine
	Service  adapter.Service
	Weights  Weights
	Executor *executor.Executor
	Orders   *orders
	Log      *logger.Logger

	mu sync.Mutex
	up bool
	// everUp is set once the process has answered.
	everUp bool
	// answeredAt is the time of the last answer.
	answeredAt time.Time
	engine     adapter.EngineState
	events     []*messenger.CacheEvent
	crashes    int
	// lastEvent is the sequence number of the last cache event.
	lastEvent uint64
}

// serve polls the backend server's process until ctx ends.
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
	pollCtx, cancel := context.WithTimeout(ctx, backendPollTimeout)
	defer cancel()
	sequence := b.Orders.currentSequence()
	state, err := b.Engine.State(pollCtx)
	now := time.Now()
	if err != nil {
		b.recordFailure(err, now)
		return
	}
	b.mu.Lock()
	restarted := b.engine.Instance != "" && b.engine.Instance != state.Instance
	b.engine = state
	if restarted {
		b.events, b.lastEvent = nil, 0
	}
	b.mu.Unlock()
	b.observeEngine(state, sequence)
	b.setState(executor.BackendState{Up: true, Instance: state.Instance, Queued: state.Queued}, nil, now)
	b.pollEvents(pollCtx)
}

// observeEngine compares the engine's state with the active version and
// enqueues a restore when the engine lost it. A state that was read during an
// order to the engine is ignored, because it may be from before or after the
// order.
func (b *backend) observeEngine(state adapter.EngineState, sequence uint64) {
	if sequence%2 == 1 || b.Orders.currentSequence() != sequence {
		return
	}
	if b.Weights.ObserveEngine(state) && b.Orders.enqueueRestore() {
		b.Log.Info("the engine lost the active version", zap.String("reported", state.Version), zap.String("instance", state.Instance))
	}
}

func (b *backend) pollEvents(ctx context.Context) {
	b.mu.Lock()
	after := b.lastEvent
	b.mu.Unlock()
	events, err := b.Engine.PrefixEvents(ctx, after)
	if err != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range events {
		if e.Sequence <= b.lastEvent {
			continue
		}
		b.lastEvent = e.Sequence
		b.events = append(b.events, &messenger.CacheEvent{Sequence: e.Sequence, PrefixHash: e.PrefixHash, Removed: e.Removed})
	}
	if excess := len(b.events) - maxCacheEvents; excess > 0 {
		b.events = b.events[excess:]
	}
}

func (b *backend) pollService(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, backendPollTimeout)
	defer cancel()
	err := b.Service.Healthy(ctx)
	now := time.Now()
	if err != nil {
		b.recordFailure(err, now)
		return
	}
	b.setState(executor.BackendState{Up: true}, nil, now)
}

// recordFailure records that the process did not answer a poll.
func (b *backend) recordFailure(err error, now time.Time) {
	b.mu.Lock()
	paused := b.up && errors.Is(err, context.DeadlineExceeded) && now.Sub(b.answeredAt) < maxBackendSilence
	silence := now.Sub(b.answeredAt)
	b.mu.Unlock()
	if paused {
		b.Log.Info("the backend server's process is silent", zap.Duration("silence", silence))
		return
	}
	b.setState(executor.BackendState{}, err, now)
}

// setState passes the state to the executor and logs a change.
func (b *backend) setState(state executor.BackendState, err error, now time.Time) {
	b.mu.Lock()
	changed := b.up != state.Up
	b.up = state.Up
	b.everUp = b.everUp || state.Up
	if state.Up {
		b.answeredAt = now
	}
	b.mu.Unlock()
	b.Executor.SetBackend(state)
	if changed {
		b.Log.Info("the backend server's process changed", zap.Bool("up", state.Up), zap.Error(err))
	}
}

// recordCrash records a crash that the executor detected.
func (b *backend) recordCrash([]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashes++
	b.up = false
}

// status returns whether the process answers, whether it has ever answered, and
// the role of the engine.
func (b *backend) status() (up, everUp bool, role string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.up, b.everUp, b.engine.Role
}

// eventsAfter returns the first n cache events after a sequence number.
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
