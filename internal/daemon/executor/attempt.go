package executor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// attempt is one attempt while its stream is open.
type attempt struct {
	executor *Executor
	stream   grpc.BidiStreamingServer[messenger.AttemptFrame, messenger.AttemptEvent]
	start    *messenger.AttemptStart
	record   *record
}

// brokenError is the end of an attempt that had started and did not complete.
type brokenError struct {
	detail string
	tokens int
	// crash is set when the backend server's process died.
	crash *crashRecord
}

func (e *brokenError) Error() string { return e.detail }

// notStartedError is the end of an attempt that the backend server refused.
type notStartedError struct {
	refusal refusal
}

func (e *notStartedError) Error() string { return e.refusal.detail }

var errCanceled = errors.New("the attempt was canceled")

func (a *attempt) serve(now time.Time) error {
	e := a.executor
	ctx, cancel := a.context(now)
	defer cancel()
	if r := a.begin(cancel, now); r != nil {
		return a.sendRefused(*r)
	}
	if r := a.waitForPlace(now); r != nil {
		return a.sendRefused(*r)
	}
	e.Metrics.Started.Add(1)
	if a.start.GetModel() != nil {
		return a.serveModel(ctx)
	}
	return a.serveService(ctx)
}

// context returns the context of the call to the backend server. A service
// call that is not idempotent goes on when its caller has gone or its deadline
// has passed, so that its outcome becomes known.
func (a *attempt) context(now time.Time) (context.Context, context.CancelFunc) {
	ctx := a.stream.Context()
	if call := a.start.GetService(); call != nil && !call.GetIdempotent() {
		return context.WithTimeout(context.WithoutCancel(ctx), ReservationTime+a.executor.ServiceTimeout)
	}
	deadline := a.deadline(now)
	if a.start.GetService() != nil && deadline.IsZero() {
		deadline = now.Add(a.executor.ServiceTimeout)
	}
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

func (a *attempt) deadline(now time.Time) time.Time {
	if a.start.GetRemainingMs() == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(a.start.GetRemainingMs()) * time.Millisecond)
}

// begin decides whether the attempt is admitted.
func (a *attempt) begin(cancel context.CancelFunc, now time.Time) *refusal {
	e := a.executor
	if a.start.GetIncarnation() != e.Incarnation {
		return e.incarnationRefusal()
	}
	if a.start.GetRemainingMs() < 0 {
		return &deadlineRefusal
	}
	if r := a.targetRefusal(); r != nil {
		return r
	}
	if call := a.start.GetService(); call != nil && !call.GetIdempotent() && a.start.GetReservation() == "" {
		return &expiredRefusal
	}
	rec := &record{
		key: keyOf(a.start.GetId()), priority: a.start.GetPriority(), alone: a.start.GetAlone(),
		deadline: a.deadline(now), fingerprint: a.start.GetFingerprint(),
		service: a.start.GetService().GetService(), reservation: a.start.GetReservation(),
	}
	if a.stopsOnCancel() {
		rec.cancel = cancel
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// A late duplicate must hear that it is one, whatever the state is.
	known := e.table.records[rec.key]
	if known == nil || known.phase == phaseReserved {
		if r := a.readyRefusal(rec); r != nil {
			e.table.giveUpReservation(known, now)
			return r
		}
	}
	if r := e.table.begin(rec, a.start.GetReservation(), now); r != nil {
		return r
	}
	rec.instance = e.state.Instance
	a.record = rec
	return nil
}

func (a *attempt) targetRefusal() *refusal {
	if a.start.GetService() != nil {
		return a.executor.serviceRefusal(a.start.GetService().GetService())
	}
	if a.start.GetModel() == nil {
		return &refusal{reason: messenger.RefuseReason_REFUSE_REASON_UNKNOWN_TARGET, detail: "the attempt names neither a model call nor a service call"}
	}
	if a.executor.Engine == nil {
		return &refusal{reason: messenger.RefuseReason_REFUSE_REASON_UNKNOWN_TARGET, detail: "the backend server runs no model"}
	}
	return nil
}

// readyRefusal checks the backend server and binds a model call to the active
// version. It is called with the lock held, so that a switch of versions,
// which begins with Hold, comes wholly before or after the attempt.
func (a *attempt) readyRefusal(rec *record) *refusal {
	e := a.executor
	if !e.state.Up {
		return backendDownRefusal()
	}
	call := a.start.GetModel()
	if call == nil {
		return nil
	}
	if !e.Versions.Ready("") {
		return &refusal{reason: messenger.RefuseReason_REFUSE_REASON_NOT_READY, detail: "no verified version is active", retryAfter: notReadyRetryAfter}
	}
	active := e.Versions.ActiveVersion()
	if active.Model != "" && call.GetModel() != "" && call.GetModel() != active.Model {
		return &refusal{reason: messenger.RefuseReason_REFUSE_REASON_UNKNOWN_TARGET, detail: "the engine runs the model " + active.Model + ", not " + call.GetModel()}
	}
	if call.GetVersion() != "" && !e.Versions.Ready(call.GetVersion()) {
		return &refusal{reason: messenger.RefuseReason_REFUSE_REASON_WRONG_VERSION, detail: "the engine runs the version " + active.Digest}
	}
	rec.version = active
	return nil
}

// waitForPlace returns nil once the attempt may run. An attempt whose caller
// has gone does not start.
func (a *attempt) waitForPlace(now time.Time) *refusal {
	ctx := a.stream.Context()
	if deadline := a.deadline(now); !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	select {
	case <-a.record.granted:
	case <-ctx.Done():
		a.leaveQueue(ctx)
	}
	a.executor.mu.Lock()
	defer a.executor.mu.Unlock()
	return a.record.refused
}

func (a *attempt) leaveQueue(ctx context.Context) {
	e := a.executor
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.record.phase != phaseWaiting {
		return
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.table.refuse(a.record, deadlineRefusal, time.Now())
		return
	}
	e.table.refuse(a.record, canceledRefusal, time.Now())
}

// stopsOnCancel reports whether a cancel reaches the backend server.
func (a *attempt) stopsOnCancel() bool {
	call := a.start.GetService()
	return call == nil || call.GetIdempotent()
}

// dispatch marks the attempt as one that may be in progress on the backend
// server from now on.
func (a *attempt) dispatch(now time.Time) {
	e := a.executor
	e.mu.Lock()
	defer e.mu.Unlock()
	a.record.dispatched = true
	e.rate.started(now)
}

// settle records the end of the attempt.
func (a *attempt) settle(p phase, answer *messenger.ServiceAnswer) {
	e := a.executor
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rate.ended(now)
	e.table.finish(a.record, p, answer, now)
}

// settleNotStarted records that the backend server did not take the attempt.
func (a *attempt) settleNotStarted() {
	e := a.executor
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rate.ended(now)
	e.table.finishNotStarted(a.record, now)
}

// sendFailure records an attempt that did not complete and tells its caller.
func (a *attempt) sendFailure(err error) error {
	var notStarted *notStartedError
	if errors.As(err, &notStarted) {
		a.settleNotStarted()
		return a.sendRefused(notStarted.refusal)
	}
	var broken *brokenError
	if !errors.As(err, &broken) {
		broken = &brokenError{detail: err.Error()}
	}
	a.settle(phaseBroken, nil)
	a.executor.Metrics.Broken.Add(1)
	event := &messenger.AttemptBroken{Detail: broken.detail, TokenCount: uint32(broken.tokens)}
	if broken.crash != nil {
		event.BackendCrashed = true
		event.InProgress = broken.crash.fingerprints
	}
	return a.send(&messenger.AttemptEvent{Event: &messenger.AttemptEvent_Broken{Broken: event}})
}

func (a *attempt) sendRefused(r refusal) error {
	a.executor.logRefusal(keyOf(a.start.GetId()), r)
	refused := a.executor.refusedEvent(r, time.Now())
	return a.send(&messenger.AttemptEvent{Event: &messenger.AttemptEvent_Refused{Refused: refused}})
}

func (a *attempt) sendAccepted() error {
	return a.send(&messenger.AttemptEvent{Event: &messenger.AttemptEvent_Accepted{Accepted: &messenger.AttemptAccepted{
		Load: a.executor.Load(time.Now()), Version: a.record.version.Digest, VersionName: a.record.version.Name,
	}}})
}

func (a *attempt) send(event *messenger.AttemptEvent) error {
	event.Id = a.start.GetId()
	if err := a.stream.Send(event); err != nil {
		return fmt.Errorf("send of an event: %w", err)
	}
	return nil
}

// canceledDetail says why the context of an attempt ended.
func canceledDetail(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return "the deadline passed"
	}
	return errCanceled.Error()
}
