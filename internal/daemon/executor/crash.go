package executor

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
)

// crashCheckTimeout limits the request that checks the backend server's process.
const crashCheckTimeout = time.Second

// crashRecord holds the fingerprints of the attempts that were in progress when
// the backend server's process died. All of these attempts report the same
// record.
type crashRecord struct {
	fingerprints []string
}

// confirmCrash returns the record of the crash when the backend server's process
// died, or nil when only the connection of this attempt broke.
func (a *attempt) confirmCrash() *crashRecord {
	e := a.executor
	if !e.backendDied(a.record.instance) {
		return nil
	}
	crash, isNew := e.recordCrash(a.record)
	if isNew {
		e.Metrics.BackendCrashes.Add(1)
		e.Log.Warn("the backend server's process died", zap.Strings("in-progress", crash.fingerprints))
		if e.OnCrash != nil {
			e.OnCrash(crash.fingerprints)
		}
	}
	return crash
}

// backendDied requests the state of the backend server and reports whether its
// process has ended or was replaced since the given instance. A process that
// does not answer in time may be alive, so a timeout does not count as a crash.
func (e *Executor) backendDied(instance string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if e.Engine == nil {
		return indicatesCrash(e.Service.Healthy(ctx))
	}
	state, err := e.Engine.State(ctx)
	if err != nil {
		return indicatesCrash(err)
	}
	return instance != "" && state.Instance != instance
}

func indicatesCrash(err error) bool {
	return err != nil && !errors.Is(err, context.DeadlineExceeded)
}

// recordCrash attaches one crash record to all running attempts that were
// dispatched to the backend server, and refuses attempts until it is up again.
// It returns false when the crash of rec is already recorded.
func (e *Executor) recordCrash(rec *record) (*crashRecord, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if rec.crash != nil {
		return rec.crash, false
	}
	e.state.Up = false
	crash := &crashRecord{}
	for _, other := range e.table.records {
		if other.phase != phaseRunning || !other.dispatched || other.crash != nil {
			continue
		}
		other.crash = crash
		if other.fingerprint != "" {
			crash.fingerprints = append(crash.fingerprints, other.fingerprint)
		}
	}
	return crash, true
}
