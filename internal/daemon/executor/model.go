package executor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// engineCancelTimeout limits the request that cancels an attempt at the engine.
const engineCancelTimeout = time.Second

// serveModel runs a model call and sends the last event of the attempt.
func (a *attempt) serveModel(ctx context.Context) error {
	end, err := a.runModel(ctx)
	if err != nil {
		return a.sendFailure(err)
	}
	a.finish(phaseFinished, nil)
	a.executor.Metrics.Finished.Add(1)
	end.Load = a.executor.Load(time.Now())
	return a.send(&messenger.AttemptEvent{Event: &messenger.AttemptEvent_End{End: end}})
}

func (a *attempt) runModel(ctx context.Context) (*messenger.AttemptEnd, error) {
	e := a.executor
	dispatched := time.Now()
	a.markDispatched(dispatched)
	tokens, err := e.Engine.Generate(ctx, a.generateRequest())
	if err != nil {
		return nil, a.engineFailure(ctx, err, 0)
	}
	defer func() { _ = tokens.Close() }()
	// Close also unblocks a Next that ignores the context.
	defer context.AfterFunc(ctx, func() { _ = tokens.Close() })()
	if err := a.sendAccepted(); err != nil {
		a.stopEngine()
		return nil, err
	}
	end, err := a.relay(ctx, tokens, dispatched)
	if err != nil && ctx.Err() != nil {
		a.stopEngine()
	}
	return end, err
}

// relay forwards the pieces of the answer, each some consecutive tokens, to the
// caller. A piece with an unexpected offset or version breaks the attempt,
// because the caller must not get an answer with a gap or of mixed versions.
func (a *attempt) relay(ctx context.Context, tokens adapter.TokenStream, dispatched time.Time) (*messenger.AttemptEnd, error) {
	next := int(a.start.GetModel().GetResumeOffset())
	for {
		piece, err := tokens.Next()
		sent := next - int(a.start.GetModel().GetResumeOffset())
		if err != nil {
			return nil, a.engineFailure(ctx, err, sent)
		}
		if err := a.checkPiece(piece, next); err != nil {
			a.stopEngine()
			return nil, &brokenError{detail: err.Error(), tokens: sent}
		}
		if len(piece.Tokens) > 0 {
			if sent == 0 {
				a.reportFirstToken(dispatched, time.Now())
			}
			if err := a.sendTokens(piece); err != nil {
				a.stopEngine()
				return nil, err
			}
			next += len(piece.Tokens)
		}
		if piece.End {
			return a.endEvent(piece, next)
		}
	}
}

func (a *attempt) reportFirstToken(dispatched, now time.Time) {
	if a.executor.OnFirstToken != nil {
		a.executor.OnFirstToken(now.Sub(dispatched), now)
	}
}

// checkPiece checks the version and the offset of a piece.
func (a *attempt) checkPiece(piece adapter.GeneratedTokens, next int) error {
	if piece.Version != a.record.version.Digest {
		return fmt.Errorf("the engine answered with the version %q, expected %q", piece.Version, a.record.version.Digest)
	}
	if len(piece.Tokens) > 0 && piece.Offset != next {
		return fmt.Errorf("the engine sent tokens from %d, expected %d", piece.Offset, next)
	}
	return nil
}

// endEvent checks the engine's token count and returns the last event.
func (a *attempt) endEvent(piece adapter.GeneratedTokens, next int) (*messenger.AttemptEnd, error) {
	if piece.TokenCount != next {
		sent := next - int(a.start.GetModel().GetResumeOffset())
		return nil, &brokenError{detail: fmt.Sprintf("the engine counted %d tokens and sent %d", piece.TokenCount, next), tokens: sent}
	}
	return &messenger.AttemptEnd{
		TokenCount: uint32(piece.TokenCount), Version: piece.Version,
		FinishReason: piece.FinishReason, PromptTokens: uint32(piece.PromptTokens),
	}, nil
}

func (a *attempt) sendTokens(piece adapter.GeneratedTokens) error {
	e := a.executor
	e.mu.Lock()
	e.rate.add(len(piece.Tokens), time.Now())
	e.mu.Unlock()
	e.Metrics.Tokens.Add(float64(len(piece.Tokens)))
	return a.send(&messenger.AttemptEvent{Event: &messenger.AttemptEvent_Tokens{Tokens: &messenger.AttemptTokens{
		Offset: uint32(piece.Offset), Tokens: piece.Tokens,
	}}})
}

// stopEngine cancels the request at the engine. Errors are ignored, because the
// tokens of an engine that does not stop are no longer forwarded.
func (a *attempt) stopEngine() {
	ctx, cancel := context.WithTimeout(context.Background(), engineCancelTimeout)
	defer cancel()
	_ = a.executor.Engine.Cancel(ctx, a.engineRequestID())
}

// engineRequestID returns the request ID that the engine gets for this attempt.
func (a *attempt) engineRequestID() string {
	return a.start.GetId().GetRequestId() + "." + strconv.FormatUint(uint64(a.start.GetId().GetNumber()), 10)
}

func (a *attempt) generateRequest() adapter.GenerateRequest {
	call := a.start.GetModel()
	return adapter.GenerateRequest{
		ID: a.engineRequestID(), Model: call.GetModel(), Adapter: call.GetAdapter(), Prompt: call.GetPrompt(),
		MaxTokens: int(call.GetMaxTokens()), ResumeOffset: int(call.GetResumeOffset()),
		Priority: int(a.start.GetPriority()), Temperature: call.GetTemperature(), Seed: call.GetSeed(),
		Stop: call.GetStop(), Request: call.GetRequest(),
	}
}

// engineFailure converts an error of the engine to a brokenError or a
// notStartedError.
func (a *attempt) engineFailure(ctx context.Context, err error, tokens int) error {
	if ctx.Err() != nil {
		a.stopEngine()
		return &brokenError{detail: cancellationDetail(ctx), tokens: tokens}
	}
	if errors.Is(err, io.EOF) {
		return &brokenError{detail: "the engine's answer has no end", tokens: tokens}
	}
	var engineErr *adapter.EngineError
	if !errors.As(err, &engineErr) {
		return &brokenError{detail: err.Error(), tokens: tokens}
	}
	if !engineErr.Started {
		if r := a.executor.holdOff(engineErr.Status, engineErr.RetryAfter, time.Now()); r != nil {
			return &notStartedError{refusal: *r}
		}
		return &notStartedError{refusal: engineRefusal(engineErr)}
	}
	broken := &brokenError{detail: engineErr.Error(), tokens: tokens}
	if engineErr.Crashed {
		broken.crash = a.confirmCrash()
	}
	return broken
}

// engineRefusal maps the HTTP status of an engine error to a refusal.
func engineRefusal(err *adapter.EngineError) refusal {
	r := refusal{detail: err.Error()}
	switch err.Status {
	case 0, http.StatusServiceUnavailable:
		r.reason = messenger.RefuseReason_REFUSE_REASON_NOT_READY
		r.retryAfter = notReadyRetryAfter
	case http.StatusTooManyRequests:
		r.reason = messenger.RefuseReason_REFUSE_REASON_OVERLOADED
		r.retryAfter = overloadedRetryAfter
	case http.StatusNotFound:
		r.reason = messenger.RefuseReason_REFUSE_REASON_UNKNOWN_TARGET
	case http.StatusConflict:
		r.reason = messenger.RefuseReason_REFUSE_REASON_DUPLICATE
	}
	return r
}
