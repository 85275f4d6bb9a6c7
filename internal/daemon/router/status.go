package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// cleanUpInterval is the interval of cleanUp, cleanUpTimeout the limit of one
	// run.
	cleanUpInterval = 10 * time.Minute
	cleanUpTimeout  = time.Minute
)

// status returns the status that this daemon reports.
func (d *daemon) status(now time.Time) *messenger.DaemonStatus {
	return &messenger.DaemonStatus{
		Vm:       d.cfg.VM,
		Role:     "entry",
		Region:   d.cfg.Region,
		Revision: d.configuration.RevisionNumber(),
		Sequence: uint64(now.UnixMilli()),
	}
}

// cleanUp periodically deletes unreferenced configuration parts while this
// daemon holds the lease of cleanUpShard.
func (d *daemon) cleanUp(ctx context.Context) error {
	for {
		if !waiter.Wait(ctx, cleanUpInterval) {
			return ctx.Err()
		}
		now := time.Now()
		if !d.holdsLease(cleanUpShard, now) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, cleanUpTimeout)
		deleted, err := d.publisher.DeleteUnreferencedParts(callCtx, now)
		cancel()
		if err != nil {
			d.log.Warn("configuration parts not cleaned up", zap.Error(err))
			continue
		}
		d.log.Info("configuration parts cleaned up", zap.Int("deleted", deleted))
	}
}
