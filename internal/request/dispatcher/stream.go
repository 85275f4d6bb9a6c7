package dispatcher

import (
	"context"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
)

const (
	// progressBatches is the number of batches of events after which a replica did not
	// crash because it began to answer. One that does may still send a first event.
	progressBatches = 3
	// minBatchesOfAnswer is the number of batches after which the end of a stream shows
	// that the replica did not crash: the end of a connection may look the same.
	minBatchesOfAnswer = 2
)

// handleStreaming forwards the events to the caller and reports whether the
// request has ended. It has not if the stream broke and can be resumed on another
// replica.
func (x *execution) handleStreaming(ctx context.Context, s *send, out Streaming) bool {
	defer out.Events.Close()
	s.placed.RecordFirstToken(time.Now())
	if !x.streamBegun {
		x.streamBegun = true
		x.sink.Begin(out.Response)
	}
	batches := 0
	var firstBatch time.Time
	for {
		s.wait()
		batch, err := out.Events.Next()
		now := time.Now()
		ended := errors.Is(err, io.EOF)
		broken := err != nil && !ended && s.ctx.Err() == nil
		var suspects []blocker.Fingerprint
		if broken {
			suspects = s.recordBreak(batch, err, batches, now)
		}
		if x.successor = s.settle(err == nil || ended); x.successor != nil {
			if !broken {
				s.placed.Done(placer.Failed, now)
				return false
			}
			// The successor has been asked for these events too.
			batch = Batch{}
		}
		if len(batch.Data) > 0 {
			s.placed.RecordEvent(now)
			batches++
			if batches == 1 {
				firstBatch = now
			}
		}
		if batches == progressBatches && len(batch.Data) > 0 || ended && batches >= minBatchesOfAnswer {
			x.Blocker.RecordPartSuccess(x.request.SharedParts, firstBatch, now)
		}
		if writeErr := x.forward(batch, now); writeErr != nil {
			if !broken {
				s.placed.Done(placer.Neutral, now)
			}
			x.sink.Abort()
			x.recordEnd("caller-left")
			return true
		}
		if ended {
			s.placed.Done(placer.Succeeded, now)
			x.Blocker.RecordSuccess(x.request.Fingerprint, now)
			x.sink.End()
			x.recordEnd("streamed")
			return true
		}
		if broken {
			return x.handleBrokenStream(ctx, s, err, suspects, now)
		}
		if err != nil {
			s.placed.Done(placer.Neutral, now)
			return x.abandon(ctx)
		}
	}
}

// forward writes complete events to the caller and records the id after which the
// stream would be resumed.
func (x *execution) forward(batch Batch, now time.Time) error {
	if len(batch.Data) == 0 {
		return nil
	}
	if x.timeToFirstByte == 0 {
		x.timeToFirstByte = now.Sub(x.request.Arrived)
	}
	if batch.LastID != "" {
		x.lastEventID = batch.LastID
	}
	return x.sink.Write(batch.Data)
}

// recordBreak releases the place of a stream that the replica broke off after some batches of
// events and a last one, and records the crash. It returns the parts of the prompt that may
// have caused it. Nothing of that waits for an attempt beside this one.
func (s *send) recordBreak(last Batch, err error, batches int, now time.Time) (suspects []blocker.Fingerprint) {
	s.placed.Done(placer.Failed, now)
	if s.endedByDeadline(now) {
		return nil
	}
	if len(last.Data) > 0 {
		batches++
	}
	if batches < progressBatches && !isTimeout(err) {
		suspects = s.request.SharedParts
	}
	s.recordCrash(s.placed.Replica, suspects, now)
	return suspects
}

// handleBrokenStream goes on after a stream that the replica broke off, and reports whether
// the request has ended.
func (x *execution) handleBrokenStream(ctx context.Context, s *send, err error, suspects []blocker.Fingerprint, now time.Time) bool {
	if ctx.Err() != nil {
		return x.abandon(ctx)
	}
	if x.successor == nil && x.endedByDeadline(now) {
		return x.fail(true, "the replica ended the stream at its deadline")
	}
	x.Log.Info("decision", zap.String("kind", "stream-broken"), zap.String("subject", x.request.ID),
		zap.String("chosen", s.placed.Replica.ID), zap.String("resume", x.lastEventID), zap.Bool("silent", isTimeout(err)),
		zap.Int("runs", x.possibleRuns), zap.Int("max-attempts", x.request.Route.MaxAttempts), zap.Error(err))
	if x.successor != nil || x.request.Route.Resumable && !x.Blocker.PartSuspected(suspects, now) && x.allowRepeat(now) {
		return false
	}
	return x.fail(false, "the replica broke off the stream")
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
