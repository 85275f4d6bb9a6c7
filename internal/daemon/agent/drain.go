package agent

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// announceTimeout is how long an agent that leaves waits for its sessions
	// to confirm before it refuses new attempts.
	announceTimeout = 2 * time.Second
	// goneTimeout bounds the last report and the end of open calls.
	goneTimeout = time.Second
)

// drain announces that the agent leaves, refuses new attempts once entry
// daemons know, and finishes those that run.
func (a *Agent) drain(parts context.Context) error {
	a.Log.Info("drain started", zap.Int("in-progress", a.executor.InProgress()))
	a.reports.setState(messenger.ReplicaState_REPLICA_STATE_DRAINING)
	a.sessions.waitForDrainConfirmed(parts, announceTimeout)
	a.executor.Drain()
	err := a.finishAttempts(parts)
	a.reports.setState(messenger.ReplicaState_REPLICA_STATE_GONE)
	a.sessions.waitForGone(parts, goneTimeout)
	a.Log.Info("drain ended", zap.Int("in-progress", a.executor.InProgress()), zap.Error(err))
	return err
}

// DrainTimeoutError reports attempts that were still running at the end of
// the drain.
type DrainTimeoutError struct {
	Running int
}

func (e *DrainTimeoutError) Error() string {
	return "--drain-timeout passed before all attempts ended"
}

func (a *Agent) finishAttempts(parts context.Context) error {
	ctx, cancel := context.WithTimeout(parts, a.Settings.DrainTimeout)
	defer cancel()
	err := a.executor.WaitIdle(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return &DrainTimeoutError{Running: a.executor.InProgress()}
	}
	return err
}
