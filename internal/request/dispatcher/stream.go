package dispatcher

import (
	"context"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/placer"
)

// stream passes the events on. It reports whether the request has ended; when
// the stream broke off and may continue on another replica, it has not.
func (x *run) stream(ctx context.Context, placed placer.Placement, out Streaming) bool {
	defer out.Events.Close()
	x.runs++
	placed.Started(time.Now())
	if !x.began {
		x.began = true
		x.sink.Begin(out.Answer)
	}
	for {
		batch, err := out.Events.Next()
		now := time.Now()
		if writeErr := x.pass(batch, now); writeErr != nil {
			placed.Done(placer.Neutral, now)
			x.sink.Abort()
			x.ended("caller-left")
			return true
		}
		if errors.Is(err, io.EOF) {
			placed.Done(placer.Succeeded, now)
			x.Blocker.Succeeded(x.request.Fingerprint)
			x.sink.End()
			x.ended("streamed")
			return true
		}
		if err != nil {
			return x.broken(ctx, placed, err, now)
		}
	}
}

// pass writes whole events to the caller and notes where a resumed stream would
// continue.
func (x *run) pass(batch Batch, now time.Time) error {
	if len(batch.Data) == 0 {
		return nil
	}
	if x.first == 0 {
		x.first = now.Sub(x.request.Arrived)
	}
	if batch.LastID != "" {
		x.resume = batch.LastID
	}
	return x.sink.Write(batch.Data)
}

// broken decides what follows a stream that broke off at the replica.
func (x *run) broken(ctx context.Context, placed placer.Placement, err error, now time.Time) bool {
	if ctx.Err() != nil {
		placed.Done(placer.Neutral, now)
		return x.giveUp(ctx)
	}
	placed.Done(placer.Failed, now)
	x.crashed(placed.Replica, now)
	x.Log.Info("decision", zap.String("kind", "stream-broken"), zap.String("subject", x.request.ID),
		zap.String("chosen", placed.Replica.ID), zap.String("resume", x.resume), zap.Error(err))
	if x.request.Route.Resumable && x.mayRepeat(now) {
		return false
	}
	return x.fail(false, "the replica broke off the stream")
}
