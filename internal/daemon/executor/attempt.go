package executor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// attempt serves one Attempt stream.
type attempt struct {
	executor *Executor
	stream   grpc.BidiStreamingServer[messenger.AttemptFrame, messenger.AttemptEvent]
	start    *messenger.AttemptStart
	record   *record
}

// brokenError reports an attempt that started and did not complete.
type brokenError struct {
	detail string
	// tokens is the number of tokens sent to the caller.
	tokens int
	// crash is set when the backend server's process died.
	crash *crashRecord
}

func (e *brokenError) Error() string { return e.detail }

// notStartedError reports an attempt that the backend server did not start.
type notStartedError struct {
	refusal refusal
}

func (e *notStartedError) Error() string { return e.refusal.detail }

var (
	errCanceled = errors.New("the attempt was canceled")
	errStopped  = errors.New("the agent stopped")
)

// serve admits the attempt, waits for a slot and runs the call.
func (a *attempt) serve(now time.Time) error {
	e := a.executor
	ctx, cancel := a.callContext(now)
	defer cancel(nil)
	if r := a.admit(cancel, now); r != nil {
		return a.sendRefused(*r)
	}
	if r := a.waitForSlot(now); r != nil {
		return a.sendRefused(*r)
	}
	e.Metrics.Started.Add(1)
	if a.start.GetModel() != nil {
		return a.serveModel(ctx)
	}
	return a.serveService(ctx)
}

// callContext returns the context of the call to the backend server. A service
// call that is not idempotent continues after its caller disconnects or its
// deadline passes, so that its outcome is recorded.
func (a *attempt) callContext(now time.Time) (context.Context, context.CancelCauseFunc) {
	ctx := a.stream.Context()
	if a.mustRunToEnd() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	limit := a.limit(now)
	if limit.IsZero() {
		return ctx, cancel
	}
	ctx, stopTimer := context.WithDeadline(ctx, limit)
	return ctx, func(cause error) {
		cancel(cause)
		stopTimer()
	}
}

// mustRunToEnd reports whether the attempt is a service call that is not idempotent.
func (a *attempt) mustRunToEnd() bool {
	call := a.start.GetService()
	return call != nil && !call.GetIdempotent()
}

// limit returns when the call to the backend server is ended, or the zero time if it
// has no limit.
func (a *attempt) limit(now time.Time) time.Time {
	if a.mustRunToEnd() {
		return a.executor.reservedLimit(now)
	}
	deadline := a.deadline(now)
	if a.start.GetService() != nil && deadline.IsZero() {
		return now.Add(a.executor.ServiceTimeout)
	}
	return deadline
}

// reservedLimit returns when a call that starts now with a reservation is ended.
func (e *Executor) reservedLimit(now time.Time) time.Time {
	return now.Add(ReservationTime + e.ServiceTimeout)
}

// deadline returns the deadline of the attempt, or the zero time if it has none.
func (a *attempt) deadline(now time.Time) time.Time {
	if a.start.GetRemainingMs() == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(a.start.GetRemainingMs()) * time.Millisecond)
}

// admit checks the attempt and adds it to the table, where it runs or waits for
// a slot. It returns the refusal of an attempt that is not admitted.
func (a *attempt) admit(cancel context.CancelCauseFunc, now time.Time) *refusal {
	e := a.executor
	if a.start.GetIncarnation() != e.Incarnation {
		return e.incarnationRefusal()
	}
	if a.start.GetRemainingMs() < 0 {
		return &deadlineRefusal
	}
	if r := a.checkTarget(); r != nil {
		return r
	}
	if a.mustRunToEnd() && a.start.GetReservation() == "" {
		return &expiredRefusal
	}
	rec := &record{
		key: keyOf(a.start.GetId()), priority: a.start.GetPriority(), alone: a.start.GetAlone(),
		deadline: a.deadline(now), limit: a.limit(now), fingerprint: a.start.GetFingerprint(),
		service: a.start.GetService().GetService(), reservation: a.start.GetReservation(),
		cancel: cancel, mustRunToEnd: a.mustRunToEnd(),
		claimKey: a.start.GetService().GetClaimKey(), bodyDigest: a.start.GetService().GetBodyDigest(),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// A duplicate gets the refusal of the existing record, also while the
	// backend server is not ready.
	existing := e.table.records[rec.key]
	if existing == nil || existing.phase == phaseReserved {
		if r := a.checkReady(rec, now); r != nil {
			e.table.releaseReservation(existing, now)
			return r
		}
	}
	if r := e.table.admit(rec, a.start.GetReservation(), now); r != nil {
		return r
	}
	rec.instance = e.state.Instance
	a.record = rec
	return nil
}

// checkTarget returns the refusal of a call that the backend server cannot
// serve.
func (a *attempt) checkTarget() *refusal {
	if a.start.GetService() != nil {
		return a.executor.checkService(a.start.GetService().GetService())
	}
	if a.start.GetModel() == nil {
		return &refusal{reason: messenger.RefuseReason_REFUSE_REASON_UNKNOWN_TARGET, detail: "the attempt names neither a model call nor a service call"}
	}
	if a.executor.Engine == nil {
		return &refusal{reason: messenger.RefuseReason_REFUSE_REASON_UNKNOWN_TARGET, detail: "the backend server runs no model"}
	}
	return nil
}

// checkReady checks the drain and the backend server, and binds a model call to the
// active version. The caller holds the lock: a switch of versions starts with Hold,
// so it happens either before the attempt is admitted or after it has ended.
func (a *attempt) checkReady(rec *record, now time.Time) *refusal {
	e := a.executor
	if e.table.evacuated {
		return &evacuatedRefusal
	}
	if e.table.outlastsDrain(rec.limit) {
		return &drainingRefusal
	}
	if !e.state.Up {
		return backendDownRefusal()
	}
	if r := e.heldRefusal(now); r != nil {
		return r
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

// waitForSlot waits until the attempt is started or refused; it returns nil
// for a started one. A waiting attempt whose caller disconnects is refused.
func (a *attempt) waitForSlot(now time.Time) *refusal {
	ctx := a.stream.Context()
	if deadline := a.deadline(now); !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	select {
	case <-a.record.decided:
	case <-ctx.Done():
		a.leaveQueue(ctx)
	}
	a.executor.mu.Lock()
	defer a.executor.mu.Unlock()
	return a.record.refused
}

// leaveQueue refuses the attempt if it is still waiting after ctx has ended.
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

// markDispatched marks the attempt as sent to the backend server: from now on, a
// crash lists it as in progress.
func (a *attempt) markDispatched(now time.Time) {
	e := a.executor
	e.mu.Lock()
	defer e.mu.Unlock()
	a.record.dispatched = true
	e.rate.started(now)
}

// finish records the end of an attempt that the backend server started.
func (a *attempt) finish(p phase, answer *messenger.ServiceAnswer) {
	e := a.executor
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rate.ended(now)
	e.table.finish(a.record, p, answer, now)
}

// finishNotStarted records that the backend server did not start the attempt.
func (a *attempt) finishNotStarted() {
	e := a.executor
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rate.ended(now)
	e.table.finishNotStarted(a.record, now)
}

// sendFailure records an attempt that did not complete and sends its last event.
func (a *attempt) sendFailure(err error) error {
	var notStarted *notStartedError
	if errors.As(err, &notStarted) {
		a.finishNotStarted()
		return a.sendRefused(notStarted.refusal)
	}
	var broken *brokenError
	if !errors.As(err, &broken) {
		broken = &brokenError{detail: err.Error()}
	}
	a.finish(phaseBroken, nil)
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
		return fmt.Errorf("send attempt event: %w", err)
	}
	return nil
}

// cancellationDetail returns why the context of an attempt ended.
func cancellationDetail(ctx context.Context) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "the deadline passed"
	case errors.Is(context.Cause(ctx), errStopped):
		return errStopped.Error()
	}
	return errCanceled.Error()
}
