package agent

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// drainConfirmTimeout limits the wait for entry daemons to confirm the
	// drain, before the agent refuses new attempts.
	drainConfirmTimeout = 2 * time.Second
	// shutdownTimeout limits the wait for the last report, and the graceful stop
	// of the gRPC server after the end of the drain.
	shutdownTimeout = time.Second
)

// drain reports that the agent is draining and waits for the running attempts. It
// takes no more attempts that may outlast the drain, and none at all once the entry
// daemons have confirmed the report. ctx is the context of the components, which
// outlives that of Run.
func (a *Agent) drain(ctx context.Context) error {
	now := time.Now()
	end := now.Add(a.Settings.DrainTimeout)
	a.executor.BeginDrain(end, now)
	a.rpc.drainEnd.Store(end.UnixNano())
	a.Log.Info("drain started", zap.Int("in-progress", a.executor.InProgress()))
	a.reports.setShutdownState(messenger.ReplicaState_REPLICA_STATE_DRAINING)
	a.sessions.waitForDrainConfirmed(ctx, drainConfirmTimeout)
	a.executor.Drain()
	err := a.waitForAttempts(ctx, end)
	a.reports.setShutdownState(messenger.ReplicaState_REPLICA_STATE_GONE)
	a.sessions.waitForGone(ctx, shutdownTimeout)
	a.Log.Info("drain ended", zap.Int("in-progress", a.executor.InProgress()), zap.Error(err))
	return err
}

// DrainTimeoutError reports that attempts were still running at the end of the
// drain.
type DrainTimeoutError struct {
	Running int
}

func (e *DrainTimeoutError) Error() string {
	return "--drain-timeout passed before all attempts ended"
}

// waitForAttempts waits until no attempt runs. At the end of the drain it stops those that
// do, and waits for their ends for at most shutdownTimeout.
func (a *Agent) waitForAttempts(ctx context.Context, end time.Time) error {
	dctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	err := a.executor.WaitIdle(dctx)
	if !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	timeout := &DrainTimeoutError{Running: a.executor.InProgress()}
	a.executor.Stop()
	sctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := a.executor.WaitIdle(sctx); err != nil {
		a.Log.Warn("attempts not stopped", zap.Int("in-progress", a.executor.InProgress()), zap.Error(err))
	}
	return timeout
}
