package executor

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
)

const crashCheckTimeout = time.Second

// crashRecord is what was in progress when the backend server's process died.
// All attempts that broke with it report the same record.
type crashRecord struct {
	fingerprints []string
}

// confirmCrash tells a dead process from a single broken connection, and
// returns what was in progress, or nil.
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

// backendDied asks the backend server. A process that does not answer in time
// may be alive, so a timeout does not count as a crash.
func (e *Executor) backendDied(instance string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if e.Engine == nil {
		return isFailure(e.Service.Healthy(ctx))
	}
	state, err := e.Engine.State(ctx)
	if err != nil {
		return isFailure(err)
	}
	return instance != "" && state.Instance != instance
}

func isFailure(err error) bool {
	return err != nil && !errors.Is(err, context.DeadlineExceeded)
}

// recordCrash gives one record to all attempts that had reached the backend
// server, and refuses further ones until it is up again.
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
