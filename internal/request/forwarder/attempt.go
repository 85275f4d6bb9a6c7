package forwarder

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

type attemptStream = grpc.BidiStreamingClient[messenger.AttemptFrame, messenger.AttemptEvent]

// attempt is one attempt of a request on one agent.
type attempt struct {
	*Forwarder
	req    *identifier.Request
	id     *messenger.AttemptId
	choice picker.Choice
	// incarnation is the agent's that the attempt is meant for.
	incarnation string
	client      messenger.AgentClient
	sink        Sink

	// offset is the number of tokens that the caller has.
	offset int
	// version is the version that the answer has to come from; empty until
	// the first attempt is accepted.
	version     string
	versionName string
	isAccepted  bool
	// firstToken is when this attempt's first token arrived.
	firstToken time.Time
	sent       time.Time
}

// errSilent is the cause of a stream that ended for want of events.
var errSilent = errors.New("no event from the agent in time")

// watchdog ends a stream that has been silent for too long.
type watchdog struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
	fired  atomic.Bool
}

func newWatchdog(d time.Duration, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{cancel: cancel}
	w.timer = time.AfterFunc(d, w.fire)
	return w
}

func (w *watchdog) fire() {
	w.fired.Store(true)
	w.cancel(errSilent)
}

// run sends the start frame and reads events until the attempt has ended.
func (a *attempt) run(ctx context.Context, start *messenger.AttemptStart) ending {
	if err := a.dial(); err != nil {
		return neverSent{err}
	}
	sctx, cancel := context.WithCancelCause(ctx)
	// Ending the context closes the stream; the agent cancels the attempt.
	defer cancel(nil)
	dog := newWatchdog(a.startTimeout(), cancel)
	defer dog.timer.Stop()
	stream, err := a.client.Attempt(sctx)
	if cause := a.over(ctx, time.Now()); err != nil && cause != nil {
		return unwanted{cause}
	}
	if err != nil {
		return neverSent{err}
	}
	a.sent = time.Now()
	frame := &messenger.AttemptFrame{Frame: &messenger.AttemptFrame_Start{Start: start}}
	if err := stream.Send(frame); err != nil && !errors.Is(err, io.EOF) {
		return a.interrupted(ctx, dog, err)
	}
	return a.read(ctx, stream, dog)
}

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

func (a *attempt) read(ctx context.Context, stream attemptStream, dog *watchdog) ending {
	for {
		event, err := stream.Recv()
		if err != nil {
			return a.interrupted(ctx, dog, err)
		}
		if !a.mine(event.GetId()) {
			continue
		}
		if e := a.event(ctx, event, dog); e != nil {
			return e
		}
	}
}

// mine reports whether an event belongs to this attempt. An event of another
// attempt is dropped and counted: the connection proves nothing about it.
func (a *attempt) mine(id *messenger.AttemptId) bool {
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

func (a *attempt) event(ctx context.Context, event *messenger.AttemptEvent, dog *watchdog) ending {
	now := time.Now()
	switch e := event.GetEvent().(type) {
	case *messenger.AttemptEvent_Accepted:
		dog.timer.Reset(a.firstTokenTimeout())
		return a.accepted(e.Accepted, now)
	case *messenger.AttemptEvent_Refused:
		return a.refused(e.Refused, now)
	case *messenger.AttemptEvent_Tokens:
		// The watchdog watches the agent; the wait for a slow caller is the
		// sink's to bound.
		dog.timer.Stop()
		end := a.tokens(ctx, e.Tokens, now)
		dog.timer.Reset(a.tokenTimeout())
		return end
	case *messenger.AttemptEvent_End:
		a.choice.Report(e.End.GetLoad(), now)
		if a.sink == nil {
			return a.fault("a service call ended like a model answer")
		}
		return a.end(e.End)
	case *messenger.AttemptEvent_Answer:
		a.choice.Report(e.Answer.GetLoad(), now)
		if a.sink != nil {
			return a.fault("a model request ended like a service call")
		}
		// A service has no first token; its answer takes that place.
		a.choice.FirstToken(now.Sub(a.sent), now)
		return answered{e.Answer}
	case *messenger.AttemptEvent_Broken:
		if cause := a.over(ctx, now); cause != nil && !e.Broken.GetBackendCrashed() {
			return unwanted{cause}
		}
		return broken{e.Broken}
	}
	return nil
}

// refused takes a refusal. A duplicate proves the opposite of one: the agent
// has seen this attempt before and may have started it.
func (a *attempt) refused(e *messenger.AttemptRefused, now time.Time) ending {
	a.choice.Report(e.GetLoad(), now)
	if e.GetReason() == messenger.RefuseReason_REFUSE_REASON_DUPLICATE {
		return a.fault("the agent has seen the attempt before")
	}
	return refused{e}
}

func (a *attempt) accepted(e *messenger.AttemptAccepted, now time.Time) ending {
	a.choice.Report(e.GetLoad(), now)
	if a.version != "" && e.GetVersion() != a.version {
		return a.fault("the agent runs another version than the one asked for")
	}
	a.isAccepted = true
	a.version, a.versionName = e.GetVersion(), e.GetVersionName()
	if a.sink != nil {
		a.sink.Version(a.version, a.versionName)
	}
	return nil
}

func (a *attempt) tokens(ctx context.Context, e *messenger.AttemptTokens, now time.Time) ending {
	if !a.isAccepted {
		return a.fault("tokens of an attempt that was not accepted")
	}
	if int(e.GetOffset()) != a.offset {
		return a.fault("tokens are missing or repeated")
	}
	if a.sink == nil {
		return a.fault("tokens for a call that has none")
	}
	if len(e.GetTokens()) == 0 {
		return nil
	}
	if a.firstToken.IsZero() {
		a.firstToken = now
		a.choice.FirstToken(now.Sub(a.sent), now)
	}
	if err := a.sink.Tokens(ctx, e.GetTokens()); err != nil {
		return unwanted{err}
	}
	a.offset += len(e.GetTokens())
	return nil
}

func (a *attempt) end(e *messenger.AttemptEnd) ending {
	if !a.isAccepted || int(e.GetTokenCount()) != a.offset {
		return a.fault("the answer ended with another number of tokens than arrived")
	}
	if e.GetVersion() != a.version {
		return a.fault("the answer ended with another version than it began with")
	}
	return completed{e}
}

// fault ends an attempt whose events contradict each other. What arrived
// before is contiguous, so another attempt can continue from there.
func (a *attempt) fault(reason string) ending {
	a.Counters.add(a.Counters.faults)
	a.warn(reason)
	return lost{reason}
}

func (a *attempt) interrupted(ctx context.Context, dog *watchdog, err error) ending {
	if cause := a.over(ctx, time.Now()); cause != nil {
		return unwanted{cause}
	}
	switch {
	case dog.fired.Load():
		return lost{errSilent.Error()}
	case errors.Is(err, io.EOF):
		return lost{"the stream ended without an end event"}
	}
	return lost{err.Error()}
}

// over returns why the request has ended, or nil. The agent sees the deadline
// as well, and what it sends then may arrive before the context here ends.
func (a *attempt) over(ctx context.Context, now time.Time) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if !now.Before(a.req.Deadline) {
		return errDeadline
	}
	return nil
}

// cancel asks the agent what became of the attempt; the agent also records
// that an attempt it has not seen will never start.
func (a *attempt) cancel(ctx context.Context) messenger.AttemptState {
	if a.client == nil {
		return messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED
	}
	cctx, done := a.forget(ctx)
	defer done()
	reply, err := a.client.Cancel(cctx, &messenger.CancelRequest{Id: a.id, Incarnation: a.incarnation})
	if err != nil {
		a.warn("cancel was not acknowledged: " + err.Error())
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
