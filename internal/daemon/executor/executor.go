// Package executor runs attempts on the backend server of its VM. It admits,
// queues or refuses attempts, retains their outcomes, and records which were in
// progress when the backend server's process died.
package executor

import (
	"context"
	"slices"
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
	// ReservationTime is how long a reservation holds a slot for its attempt.
	ReservationTime = 5 * time.Second
	// RetentionTime is how long the outcome of an attempt is retained.
	RetentionTime = 10 * time.Minute
	// MaxRetainedRecords limits the retained records of attempts that never
	// started, and separately those of finished attempts.
	MaxRetainedRecords = 65536
	// MaxAnswerBytes is the size of the largest service answer that is retained.
	MaxAnswerBytes = 16 << 10
	// MaxTotalAnswerBytes limits the total size of the retained service answers.
	MaxTotalAnswerBytes = 16 << 20

	defaultMaxRunning     = 64
	defaultMaxWaiting     = 256
	defaultServiceTimeout = 60 * time.Second
	// expiryInterval is how often reservations, deadlines and records are checked
	// for expiry.
	expiryInterval = 250 * time.Millisecond
	// loadSequenceBits is the width of the counter below the start time in the
	// sequence numbers of loads.
	loadSequenceBits = 16
)

// ActiveVersion is the version that the engine runs.
type ActiveVersion struct {
	Model    string
	Name     string
	Digest   string
	Adapters []string
}

// Versions returns the version that is active and verified. The weights of the
// agent implement it. Its methods must not call the executor, which may hold
// its lock.
type Versions interface {
	// Ready reports whether the version is active and verified; for the empty
	// version, whether any version is.
	Ready(version string) bool
	ActiveVersion() ActiveVersion
}

// BackendState is the last known state of the backend server's process.
type BackendState struct {
	Up bool
	// Instance changes when an engine restarts. It is empty for services.
	Instance string
	// Queued is the length of the engine's own queue when the state was read.
	Queued int
}

// Metrics holds the counters of the executor.
type Metrics struct {
	Started        metrics.Counter
	Refused        metrics.Counter
	Finished       metrics.Counter
	Broken         metrics.Counter
	Canceled       metrics.Counter
	BackendCrashes metrics.Counter
	Tokens         metrics.Counter
	// CancelsUnproven counts cancels after which the attempt may still start.
	CancelsUnproven metrics.Counter
	// HeldOff counts the times that the backend server asked for no calls.
	HeldOff metrics.Counter
}

// DiscardMetrics returns metrics that discard all values.
func DiscardMetrics() Metrics {
	c := discard.NewCounter()
	return Metrics{c, c, c, c, c, c, c, c, c}
}

// Executor implements the methods Attempt, Reserve, Cancel and AttemptStatus
// of messenger.AgentServer. Its exported fields must be set before Run.
type Executor struct {
	// Incarnation is unique for each start of the agent.
	Incarnation string
	// Exactly one of Engine and Service is set.
	Engine  adapter.Engine
	Service adapter.Service
	// ServiceName is the service whose calls are accepted; empty accepts all.
	ServiceName string
	// Versions is required with Engine.
	Versions Versions
	// MaxRunning limits the attempts that run concurrently, MaxWaiting those
	// that wait for a slot.
	MaxRunning int
	MaxWaiting int
	// ServiceTimeout limits idempotent service calls without a deadline, and all
	// that are not idempotent.
	ServiceTimeout time.Duration
	// OnCrash is called with the fingerprints of the attempts that were in
	// progress at a crash.
	OnCrash func(fingerprints []string)
	// OnFirstToken is called with the delay of the first token of each model
	// answer.
	OnFirstToken func(delay time.Duration, now time.Time)
	Metrics      Metrics
	Log          *logger.Logger

	initOnce sync.Once
	mu       sync.Mutex
	table    *table
	rate     rateMeter
	state    BackendState
	// heldUntil is until when the backend server wants no calls, and malformedAt is when a
	// malformed header of it was last logged.
	heldUntil, malformedAt time.Time
	// loadSequence is the sequence number of the last load.
	loadSequence uint64
}

// Run expires reservations, waiting attempts and old records until ctx ends.
func (e *Executor) Run(ctx context.Context) error {
	e.initOnce.Do(e.initialize)
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

func (e *Executor) initialize() {
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
	// Sequence numbers start at the current time, so that those of a restarted
	// agent are higher than before.
	e.loadSequence = uint64(time.Now().UnixMilli()) << loadSequenceBits
}

// SetBackend sets the state of the backend server's process. Attempts are
// refused while it is down.
func (e *Executor) SetBackend(state BackendState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !state.Up {
		// A process that does not answer may be the same one when it does.
		state.Instance = e.state.Instance
	}
	if state.Instance != e.state.Instance {
		e.heldUntil = time.Time{}
	}
	e.state = state
}

// Load returns the current load, which attempt events and reports include.
func (e *Executor) Load(now time.Time) *messenger.Load {
	e.initOnce.Do(e.initialize)
	version := e.activeVersion()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadSequence++
	// Attempts in the engine's own queue count as queued, not as running.
	running := max(0, e.table.running-e.state.Queued)
	return &messenger.Load{
		Queued:  uint32(e.table.waitingCount() + e.table.running - running),
		Running: uint32(running),
		Version: version.Digest,
		// An entry daemon that is cut off from the configuration learns of an
		// evacuation from the load alone.
		Draining: e.table.draining || e.table.evacuated,
		Rate:     e.rate.perSecond(now),
		Sequence: e.loadSequence,
	}
}

// InProgress returns the number of attempts that run, wait or hold a
// reservation.
func (e *Executor) InProgress() int {
	e.initOnce.Do(e.initialize)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.running + e.table.reserved + e.table.waitingCount()
}

// BeginDrain refuses all attempts, also waiting ones, that may run past the end of
// the drain. The others are admitted until Drain is called.
func (e *Executor) BeginDrain(end, now time.Time) {
	e.initOnce.Do(e.initialize)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.drainEnd = end
	for _, rec := range slices.Clone(e.table.waiting) {
		if e.table.outlastsDrain(rec.limit) {
			e.table.refuse(rec, drainingRefusal, now)
		}
	}
}

// Drain refuses the waiting attempts and all new ones. Running attempts
// and held reservations continue.
func (e *Executor) Drain() {
	e.initOnce.Do(e.initialize)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.draining = true
	e.table.refuseWaiting(drainingRefusal, time.Now())
}

// SetEvacuated sets whether the failure domain is evacuated. Meanwhile waiting and
// new attempts are refused, also those that an entry daemon has sent before it knew,
// or with a reservation. Running attempts continue.
func (e *Executor) SetEvacuated(evacuated bool) {
	e.initOnce.Do(e.initialize)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.evacuated = evacuated
	if evacuated {
		e.table.refuseWaiting(evacuatedRefusal, time.Now())
	}
}

// Stop breaks the running attempts at the end of a drain. Their callers are informed once
// the backend server's process has been instructed to stop.
func (e *Executor) Stop() {
	e.initOnce.Do(e.initialize)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, rec := range e.table.records {
		if rec.phase == phaseRunning {
			rec.cancel(errStopped)
		}
	}
}

// Hold refuses new and waiting attempts and returns once none runs, so that the
// engine can switch versions. Release must follow, also after an error.
func (e *Executor) Hold(ctx context.Context) error {
	e.initOnce.Do(e.initialize)
	e.mu.Lock()
	e.table.holds++
	e.table.refuseWaiting(switchingRefusal, time.Now())
	e.mu.Unlock()
	return e.WaitIdle(ctx)
}

// Release admits attempts again after Hold.
func (e *Executor) Release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.holds--
}

// WaitIdle returns once no attempt runs and no reservation is held.
func (e *Executor) WaitIdle(ctx context.Context) error {
	e.initOnce.Do(e.initialize)
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

// activeVersion returns the active version, or the zero value when none is
// ready.
func (e *Executor) activeVersion() ActiveVersion {
	if e.Versions == nil || !e.Versions.Ready("") {
		return ActiveVersion{}
	}
	return e.Versions.ActiveVersion()
}
