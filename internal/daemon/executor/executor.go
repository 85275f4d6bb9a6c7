// Package executor runs attempts on the backend server of its VM. It decides
// which attempts start, remembers what became of them, and records what was
// in progress when the backend server's process died.
package executor

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/discard"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// ReservationTime is how long a reservation holds its place.
	ReservationTime = 5 * time.Second
	// MemoryTime is how long the outcome of an attempt is remembered.
	MemoryTime = 10 * time.Minute
	// MaxRemembered bounds the attempts that are remembered as canceled, and
	// likewise those that are remembered as finished.
	MaxRemembered = 65536
	// MaxAnswerBytes is the largest service answer that is remembered.
	MaxAnswerBytes = 16 << 10
	// MaxAnswersBytes bounds all remembered service answers together.
	MaxAnswersBytes = 16 << 20

	defaultMaxRunning     = 64
	defaultMaxWaiting     = 256
	defaultServiceTimeout = 60 * time.Second
	expiryInterval        = 250 * time.Millisecond
	loadSequenceBits      = 16
)

// ActiveVersion is the version that the engine runs.
type ActiveVersion struct {
	Model    string
	Name     string
	Digest   string
	Adapters []string
}

// Versions tells which version is active and verified. The weights path
// implements it. It must not call the executor from these methods.
type Versions interface {
	// Ready reports whether the version is active and verified. The empty
	// version asks whether any is.
	Ready(version string) bool
	ActiveVersion() ActiveVersion
}

// BackendState is what is known of the backend server's process.
type BackendState struct {
	Up bool
	// Instance changes when an engine restarts; empty for services.
	Instance string
	// Queued is the engine's own, lagged number.
	Queued int
}

// Metrics counts what the executor does.
type Metrics struct {
	Started         metrics.Counter
	Refused         metrics.Counter
	Finished        metrics.Counter
	Broken          metrics.Counter
	Canceled        metrics.Counter
	BackendCrashes  metrics.Counter
	Tokens          metrics.Counter
	CancelsUnproven metrics.Counter
}

// DiscardMetrics returns metrics that count nothing.
func DiscardMetrics() Metrics {
	c := discard.NewCounter()
	return Metrics{c, c, c, c, c, c, c, c}
}

// Executor implements the methods Attempt, Reserve, Cancel and AttemptStatus
// of messenger.AgentServer. The exported fields are set before Run.
type Executor struct {
	// Incarnation is new for each start of the agent.
	Incarnation string
	// Engine or Service is set, not both.
	Engine  adapter.Engine
	Service adapter.Service
	// ServiceName refuses calls of other services; empty accepts all.
	ServiceName string
	// Versions is set with Engine.
	Versions Versions
	// MaxRunning bounds the attempts that run at once, MaxWaiting those that
	// wait for a place.
	MaxRunning int
	MaxWaiting int
	// ServiceTimeout bounds service calls without a shorter deadline.
	ServiceTimeout time.Duration
	// OnCrash is told the fingerprints that were in progress at a crash.
	OnCrash func(fingerprints []string)
	// OnFirstToken is told the delay of the first token of each model answer.
	OnFirstToken func(delay time.Duration, now time.Time)
	Metrics      Metrics
	Log          *logger.Logger

	start sync.Once
	mu    sync.Mutex
	table *table
	rate  rateMeter
	state BackendState
	loads uint64
}

// Run expires reservations and waiting attempts until the context ends.
func (e *Executor) Run(ctx context.Context) error {
	e.start.Do(e.setUp)
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			e.mu.Lock()
			e.table.advance(now)
			e.mu.Unlock()
		}
	}
}

func (e *Executor) setUp() {
	if e.MaxRunning == 0 {
		e.MaxRunning = defaultMaxRunning
	}
	if e.MaxWaiting == 0 {
		e.MaxWaiting = defaultMaxWaiting
	}
	if e.ServiceTimeout == 0 {
		e.ServiceTimeout = defaultServiceTimeout
	}
	if e.Metrics.Started == nil {
		e.Metrics = DiscardMetrics()
	}
	if e.Log == nil {
		e.Log = zap.NewNop()
	}
	e.table = newTable(e.MaxRunning, e.MaxWaiting)
	// A restarted agent continues above the numbers of the former one.
	e.loads = uint64(time.Now().UnixMilli()) << loadSequenceBits
}

// SetBackend records the state of the backend server's process. Attempts are
// refused while it is down.
func (e *Executor) SetBackend(state BackendState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = state
}

// Load returns the load that attempts' events and reports carry.
func (e *Executor) Load(now time.Time) *messenger.Load {
	e.start.Do(e.setUp)
	version := e.activeVersion()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads++
	// What waits in the engine's own queue counts as queued, not as running.
	running := max(0, e.table.running-e.state.Queued)
	return &messenger.Load{
		Queued:   uint32(e.table.waitingCount() + e.table.running - running),
		Running:  uint32(running),
		Version:  version.Digest,
		Draining: e.table.draining,
		Rate:     e.rate.perSecond(now),
		Sequence: e.loads,
	}
}

// InProgress returns the number of attempts that run, wait or hold a
// reservation.
func (e *Executor) InProgress() int {
	e.start.Do(e.setUp)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.running + e.table.reserved + e.table.waitingCount()
}

// Drain refuses new attempts from now on, and those that wait. Attempts that
// run and reservations that are held go on.
func (e *Executor) Drain() {
	e.start.Do(e.setUp)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.draining = true
	e.table.refuseWaiting(drainingRefusal, time.Now())
}

// Hold refuses new attempts and returns once none runs, so that the engine
// can switch versions. Release ends it, also after an error.
func (e *Executor) Hold(ctx context.Context) error {
	e.start.Do(e.setUp)
	e.mu.Lock()
	e.table.held++
	e.table.refuseWaiting(switchingRefusal, time.Now())
	e.mu.Unlock()
	return e.WaitIdle(ctx)
}

// Release admits attempts again after Hold.
func (e *Executor) Release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.held--
}

// WaitIdle returns once no attempt runs and no reservation is held.
func (e *Executor) WaitIdle(ctx context.Context) error {
	e.start.Do(e.setUp)
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		e.mu.Lock()
		e.table.advance(time.Now())
		idle := e.table.running+e.table.reserved == 0
		changed := e.table.changed
		e.mu.Unlock()
		if idle {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}

// activeVersion returns the version that attempts get, if any.
func (e *Executor) activeVersion() ActiveVersion {
	if e.Versions == nil || !e.Versions.Ready("") {
		return ActiveVersion{}
	}
	return e.Versions.ActiveVersion()
}
