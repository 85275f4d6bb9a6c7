package agent

import (
	"context"
	"math"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilbridge/lentilbridge/internal/daemon/executor"
	"github.com/lentilbridge/lentilbridge/pkg/guard"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// maxEventsPerReport limits the cache events in a report. It keeps a session
	// within the control traffic that the design allows for each daemon.
	maxEventsPerReport = 32
	// minLoadChangeRatio is the relative change of the number of attempts above
	// which a report is sent immediately.
	minLoadChangeRatio = 0.2
)

// reports builds the agent's reports and notifies the sessions of significant
// changes.
type reports struct {
	Settings Settings
	Address  string
	Started  time.Time
	Executor *executor.Executor
	Backend  *backend
	Orders   *orders
	Guard    *guard.Guard
	Weights  Weights
	Sessions *sessionManager
	Gauges   gauges

	mu sync.Mutex
	// shutdownState overrides the replica state while the agent shuts down.
	shutdownState messenger.ReplicaState
	replica       *messenger.Replica
	sequence      uint64
	// last is the last report with a significant change.
	last *messenger.AgentReport
}

// serve requests reports from the sessions after significant changes until ctx
// ends.
func (r *reports) serve(ctx context.Context) error {
	ticker := time.NewTicker(minReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			report := r.build(now, math.MaxUint64)
			r.Gauges.set(report, r.Sessions.openCount())
			if r.last == nil || isSignificant(r.last, report) {
				r.last = report
				r.Sessions.requestReports()
			}
		}
	}
}

// setShutdownState sets the replica state during shutdown and requests a report
// of it.
func (r *reports) setShutdownState(state messenger.ReplicaState) {
	r.mu.Lock()
	r.shutdownState = state
	r.mu.Unlock()
	r.Sessions.requestReports()
}

// build returns a current report with the cache events after a sequence number.
func (r *reports) build(now time.Time, after uint64) *messenger.AgentReport {
	_, lastError := r.Orders.status()
	report := &messenger.AgentReport{
		Replica:        r.buildReplica(),
		Load:           r.Executor.Load(now),
		Revision:       r.Sessions.revision(),
		CacheEvents:    r.Backend.eventsAfter(after, maxEventsPerReport),
		LastOrderError: lastError,
		Epochs:         r.Guard.Epochs(),
	}
	report.Load.Draining = report.Load.Draining || report.Replica.State == messenger.ReplicaState_REPLICA_STATE_DRAINING
	if r.Weights != nil {
		report.Transfers = r.Weights.Transfers()
	}
	return report
}

// buildReplica returns the directory record. Its sequence number increases with
// each change.
func (r *reports) buildReplica() *messenger.Replica {
	_, _, role := r.Backend.status()
	replica := &messenger.Replica{
		Vm: r.Settings.VM, Address: r.Address, Region: r.Settings.Region, FailureDomain: r.Settings.FailureDomain,
		Fleet: r.Settings.Fleet, Model: r.Settings.Model, Service: r.Settings.Service,
		Incarnation: r.Executor.Incarnation, StartedMs: r.Started.UnixMilli(), Role: role,
	}
	if r.Weights != nil {
		active := r.Weights.ActiveVersion()
		if active.Model != "" {
			replica.Model = active.Model
		}
		// A version that the engine has lost must not be reported as active.
		if r.Weights.Ready("") {
			replica.Version, replica.VersionName, replica.Adapters = active.Digest, active.Name, active.Adapters
		}
	}
	replica.State = r.state()
	r.mu.Lock()
	defer r.mu.Unlock()
	replica.Sequence = r.sequence
	if r.replica == nil || !proto.Equal(r.replica, replica) {
		r.sequence++
		replica.Sequence = r.sequence
		r.replica = replica
	}
	return replica
}

// state returns the replica state.
func (r *reports) state() messenger.ReplicaState {
	r.mu.Lock()
	shutdown := r.shutdownState
	r.mu.Unlock()
	if shutdown != messenger.ReplicaState_REPLICA_STATE_UNSPECIFIED {
		return shutdown
	}
	up, everUp, _ := r.Backend.status()
	switching, _ := r.Orders.status()
	ready := r.Weights == nil || r.Weights.Ready("")
	switch {
	case !up && everUp:
		return messenger.ReplicaState_REPLICA_STATE_FAILED
	case !up:
		return messenger.ReplicaState_REPLICA_STATE_STARTING
	case switching:
		return messenger.ReplicaState_REPLICA_STATE_SWITCHING
	case !ready:
		return messenger.ReplicaState_REPLICA_STATE_STARTING
	case r.Sessions.hasDrainHint():
		return messenger.ReplicaState_REPLICA_STATE_DRAINING
	}
	return messenger.ReplicaState_REPLICA_STATE_READY
}

// ready returns the name of the replica state and whether the agent accepts
// attempts.
func (r *reports) ready(time.Time) (string, bool) {
	state := r.state()
	return state.String(), state == messenger.ReplicaState_REPLICA_STATE_READY
}

// isSignificant reports whether a change is reported immediately rather than
// with the next periodic report.
func isSignificant(old, report *messenger.AgentReport) bool {
	if old.GetReplica().GetSequence() != report.GetReplica().GetSequence() ||
		old.GetLastOrderError() != report.GetLastOrderError() ||
		old.GetRevision() != report.GetRevision() {
		return true
	}
	before := float64(old.GetLoad().GetQueued() + old.GetLoad().GetRunning())
	after := float64(report.GetLoad().GetQueued() + report.GetLoad().GetRunning())
	if math.Abs(after-before) > math.Max(1, minLoadChangeRatio*before) {
		return true
	}
	return transfersChanged(old.GetTransfers(), report.GetTransfers())
}

// transfersChanged reports whether the number of held chunks or of ended transfers
// changed.
func transfersChanged(old, transfers []*messenger.Transfer) bool {
	if len(old) != len(transfers) {
		return true
	}
	ended := 0
	held := 0
	for i := range transfers {
		held += int(transfers[i].GetChunksHeld()) - int(old[i].GetChunksHeld())
		ended += countEnded(transfers[i]) - countEnded(old[i])
	}
	return held != 0 || ended != 0
}

// countEnded returns 1 for a transfer that is complete or has an error.
func countEnded(t *messenger.Transfer) int {
	if t.GetComplete() || t.GetError() != "" {
		return 1
	}
	return 0
}
