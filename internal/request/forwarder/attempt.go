package forwarder

import (
	"context"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

type attemptStream = grpc.BidiStreamingClient[messenger.AttemptFrame, messenger.AttemptEvent]

// attempt is one attempt to run a request on one agent.
type attempt struct {
	*Forwarder
	req    *identifier.Request
	id     *messenger.AttemptId
	choice picker.Choice
	// incarnation is the agent incarnation that the attempt is addressed to.
	incarnation string
	client      messenger.AgentClient
	sink        Sink
	// lead is nil if the attempt is the only one that may serve the caller.
	lead *lead
	// streamCtx is the context of the stream, which stop ends.
	streamCtx context.Context
	stop      context.CancelCauseFunc

	// offset is the number of tokens passed to the sink so far, including those
	// of earlier attempts.
	offset int
	// version is the model version that must generate the answer. It is empty
	// until an attempt is accepted.
	version     string
	versionName string
	// isAccepted is set once the agent has accepted the attempt.
	isAccepted bool
	// hasSetVersion is set once the sink has the version.
	hasSetVersion bool
	// firstTokenAt is when the first token of this attempt arrived.
	firstTokenAt time.Time
	// sentAt is when the start frame was sent.
	sentAt time.Time
	// crash is the report of the crash at which the attempt ended, if it is reported while
	// others go on.
	crash *crashReport
}

// open prepares the context of the stream. Canceling it closes the stream; the agent then
// cancels the attempt.
func (a *attempt) open(ctx context.Context) {
	a.streamCtx, a.stop = context.WithCancelCause(ctx)
}

// run sends the start frame and processes events until the attempt ends. open must come
// first.
func (a *attempt) run(ctx context.Context, start *messenger.AttemptStart) ending {
	defer a.stop(nil)
	if err := a.dial(); err != nil {
		return neverSent{err}
	}
	wd := newWatchdog(a, a.startTimeout(), time.Now())
	defer wd.timer.Stop()
	stream, err := a.client.Attempt(a.streamCtx)
	if cause := a.requestEndCause(ctx, time.Now()); err != nil && cause != nil {
		return requestEnded{cause}
	}
	if err != nil && a.isSuperseded() {
		return superseded{}
	}
	if err != nil {
		return neverSent{err}
	}
	a.sentAt = time.Now()
	// The configuration may have changed since the choice, also while this process was
	// paused.
	if err := a.Picker.Permitted(a.choice, a.regions(a.req), a.sentAt); err != nil {
		return notPermitted{err}
	}
	frame := &messenger.AttemptFrame{Frame: &messenger.AttemptFrame_Start{Start: start}}
	if err := stream.Send(frame); err != nil && !errors.Is(err, io.EOF) {
		return a.streamError(ctx, err)
	}
	return a.readEvents(ctx, stream, wd)
}

// dial sets the client of the attempt unless it is set already.
func (a *attempt) dial() error {
	if a.client != nil {
		return nil
	}
	client, err := a.Dial(a.choice.Address)
	if err == nil {
		a.client = client
	}
	return err
}

// readEvents processes events until one of them, or an error of the stream, ends the
// attempt.
func (a *attempt) readEvents(ctx context.Context, stream attemptStream, wd *watchdog) ending {
	for {
		event, err := stream.Recv()
		if err != nil {
			return a.streamError(ctx, err)
		}
		if !a.ownsEvent(event.GetId()) {
			continue
		}
		if e := a.handleEvent(ctx, event, wd); e != nil {
			return e
		}
	}
}

// ownsEvent reports whether an event belongs to this attempt. Events of other
// attempts are dropped and counted. Arriving on this attempt's stream does not make
// an event belong to it.
func (a *attempt) ownsEvent(id *messenger.AttemptId) bool {
	if id.GetRequestId() == a.id.GetRequestId() && id.GetNumber() == a.id.GetNumber() {
		return true
	}
	if id.GetRequestId() == a.id.GetRequestId() {
		a.Counters.add(a.Counters.abandonedEvents)
	} else {
		a.Counters.add(a.Counters.crossedEvents)
	}
	return false
}

// handleEvent processes one event. It returns nil if the attempt continues.
func (a *attempt) handleEvent(ctx context.Context, event *messenger.AttemptEvent, wd *watchdog) ending {
	now := time.Now()
	switch e := event.GetEvent().(type) {
	case *messenger.AttemptEvent_Accepted:
		wd.reset(a.firstTokenTimeout(), now)
		return a.handleAccepted(e.Accepted, now)
	case *messenger.AttemptEvent_Refused:
		return a.handleRefused(e.Refused, now)
	case *messenger.AttemptEvent_Tokens:
		// The watchdog covers the agent only. The sink limits the wait for a slow
		// caller.
		wd.pause()
		end := a.handleTokens(ctx, e.Tokens, now)
		wd.reset(a.tokenTimeout(), time.Now())
		return end
	case *messenger.AttemptEvent_End:
		a.choice.Report(e.End.GetLoad(), now)
		if a.sink == nil {
			return a.protocolError("service call ended with the end event of a model answer")
		}
		return a.handleEnd(e.End)
	case *messenger.AttemptEvent_Answer:
		a.choice.Report(e.Answer.GetLoad(), now)
		if a.sink != nil {
			return a.protocolError("model request ended with a service answer")
		}
		if !a.serves() {
			return superseded{}
		}
		// A service answer has no tokens; its arrival is reported instead.
		a.choice.FirstToken(now.Sub(a.sentAt), now)
		return answered{e.Answer}
	case *messenger.AttemptEvent_Broken:
		if cause := a.requestEndCause(ctx, now); cause != nil && !e.Broken.GetBackendCrashed() {
			return requestEnded{cause}
		}
		return broken{e.Broken}
	}
	return nil
}

// handleRefused processes a refusal. A refusal as a duplicate does not show that the
// attempt was not run: the agent has received it before and may have started it. Nor does
// one of a model request that was accepted, which the engine has begun. A service call is
// accepted before the service is called.
func (a *attempt) handleRefused(e *messenger.AttemptRefused, now time.Time) ending {
	a.choice.Report(e.GetLoad(), now)
	if e.GetReason() == messenger.RefuseReason_REFUSE_REASON_DUPLICATE {
		return a.protocolError("agent refused the attempt as a duplicate")
	}
	if a.isAccepted && a.sink != nil {
		return a.protocolError("agent refused the attempt after it was accepted")
	}
	return refused{e}
}

// handleAccepted checks and records the version that the agent uses.
func (a *attempt) handleAccepted(e *messenger.AttemptAccepted, now time.Time) ending {
	a.choice.Report(e.GetLoad(), now)
	if a.version != "" && e.GetVersion() != a.version {
		return a.protocolError("agent accepted the attempt with a version other than the requested one")
	}
	if a.version == "" {
		a.version = e.GetVersion()
	}
	a.isAccepted, a.versionName = true, e.GetVersionName()
	if !a.lead.isBeside(a) && !a.serves() {
		return superseded{}
	}
	return nil
}

// handleTokens checks that the tokens follow the previous ones and passes them to the
// sink.
func (a *attempt) handleTokens(ctx context.Context, e *messenger.AttemptTokens, now time.Time) ending {
	if !a.isAccepted {
		return a.protocolError("tokens received before the attempt was accepted")
	}
	if int(e.GetOffset()) != a.offset {
		return a.protocolError("token offset does not match the number of tokens received")
	}
	if a.sink == nil {
		return a.protocolError("tokens received for a service call")
	}
	if len(e.GetTokens()) == 0 {
		return nil
	}
	if !a.serves() {
		return superseded{}
	}
	if a.firstTokenAt.IsZero() {
		a.firstTokenAt = now
		a.choice.FirstToken(now.Sub(a.sentAt), now)
	}
	if err := a.sink.Tokens(ctx, e.GetTokens()); err != nil {
		return requestEnded{err}
	}
	a.offset += len(e.GetTokens())
	return nil
}

// handleEnd checks that the answer is complete and from a single version.
func (a *attempt) handleEnd(e *messenger.AttemptEnd) ending {
	if !a.isAccepted || int(e.GetTokenCount()) != a.offset {
		return a.protocolError("token count of the end event differs from the number of tokens received")
	}
	if e.GetVersion() != a.version {
		return a.protocolError("version of the end event differs from the accepted version")
	}
	if !a.serves() {
		return superseded{}
	}
	return completed{e}
}

// serves reports whether the attempt serves the caller. An attempt beside a silent one does
// so from its first token on, unless another one has responded.
func (a *attempt) serves() bool {
	if !a.lead.take(a) {
		return false
	}
	if a.sink != nil && !a.hasSetVersion {
		a.hasSetVersion = true
		a.sink.Version(a.version, a.versionName)
	}
	return true
}

// isSuperseded reports whether another attempt serves the caller.
func (a *attempt) isSuperseded() bool {
	return errors.Is(context.Cause(a.streamCtx), errSuperseded)
}

// protocolError ends an attempt whose events are inconsistent. The tokens received
// before are contiguous, so another attempt can resume after them.
func (a *attempt) protocolError(reason string) ending {
	a.Counters.add(a.Counters.faults)
	a.warn(reason)
	return lost{reason}
}

// streamError returns the ending of an attempt whose stream failed.
func (a *attempt) streamError(ctx context.Context, err error) ending {
	if cause := a.requestEndCause(ctx, time.Now()); cause != nil {
		return requestEnded{cause}
	}
	switch {
	case a.isSuperseded():
		return superseded{}
	case errors.Is(context.Cause(a.streamCtx), errStreamTimeout):
		return lost{errStreamTimeout.Error()}
	case errors.Is(err, io.EOF):
		return lost{"stream closed without an end event"}
	}
	return lost{err.Error()}
}

// requestEndCause returns why the request has ended, or nil if it has not. The deadline
// is compared explicitly because the agent also enforces it, and the agent's last
// event can arrive before the local context expires.
func (a *attempt) requestEndCause(ctx context.Context, now time.Time) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if !now.Before(a.req.Deadline) {
		return errDeadline
	}
	return nil
}

// cancel cancels the attempt at the agent and returns its state. If the agent has
// not received the attempt yet, it records that the attempt must never start.
func (a *attempt) cancel(ctx context.Context) messenger.AttemptState {
	if a.client == nil {
		return messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED
	}
	cctx, done := a.detachedContext(ctx)
	defer done()
	reply, err := a.client.Cancel(cctx, &messenger.CancelRequest{Id: a.id, Incarnation: a.incarnation})
	if err != nil {
		a.warn("failed to cancel the attempt: " + err.Error())
		return messenger.AttemptState_ATTEMPT_STATE_UNSPECIFIED
	}
	return reply.GetState()
}

func (a *attempt) warn(message string) {
	if a.Log == nil {
		return
	}
	a.Log.Warn(message, zap.String("request", a.id.GetRequestId()),
		zap.Uint32("attempt", a.id.GetNumber()), zap.String("vm", a.choice.VM))
}
