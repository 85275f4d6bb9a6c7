package executor

import (
	"context"
	"crypto/rand"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const maxIdentifierBytes = 256

// Attempt implements messenger.AgentServer.
func (e *Executor) Attempt(stream grpc.BidiStreamingServer[messenger.AttemptFrame, messenger.AttemptEvent]) error {
	e.initOnce.Do(e.initialize)
	reader := &frameReader{executor: e, stream: stream, first: make(chan firstFrame, 1)}
	go reader.run()
	start, err := reader.waitForStart()
	if err != nil {
		return err
	}
	a := &attempt{executor: e, stream: stream, start: start}
	return a.serve(time.Now())
}

// Reserve implements messenger.AgentServer.
func (e *Executor) Reserve(_ context.Context, req *messenger.ReserveRequest) (*messenger.ReserveReply, error) {
	e.initOnce.Do(e.initialize)
	if err := checkAttemptID(req.GetId()); err != nil {
		return nil, err
	}
	now := time.Now()
	reservation := rand.Text()
	if r := e.reserve(req, reservation, now); r != nil {
		e.logRefusal(keyOf(req.GetId()), *r)
		return &messenger.ReserveReply{Refused: e.refusedEvent(*r, now)}, nil
	}
	return &messenger.ReserveReply{Reservation: reservation, ExpiresInMs: ReservationTime.Milliseconds()}, nil
}

func (e *Executor) reserve(req *messenger.ReserveRequest, reservation string, now time.Time) *refusal {
	if req.GetIncarnation() != e.Incarnation {
		return e.incarnationRefusal()
	}
	if r := e.checkService(req.GetService()); r != nil {
		return r
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.table.outlastsDrain(e.reservedLimit(now.Add(ReservationTime))) {
		return &drainingRefusal
	}
	if !e.state.Up {
		return backendDownRefusal()
	}
	if r := e.heldRefusal(now); r != nil {
		return r
	}
	return e.table.reserve(keyOf(req.GetId()), reservation, req.GetService(), now)
}

// Cancel implements messenger.AgentServer. NEVER_STARTED guarantees that a start
// that arrives later is refused. RUNNING means that the attempt had started: a
// model call is stopped, a service call that is not idempotent runs to its end.
func (e *Executor) Cancel(_ context.Context, req *messenger.CancelRequest) (*messenger.CancelReply, error) {
	e.initOnce.Do(e.initialize)
	if err := checkAttemptID(req.GetId()); err != nil {
		return nil, err
	}
	if req.GetIncarnation() != e.Incarnation {
		return &messenger.CancelReply{State: messenger.AttemptState_ATTEMPT_STATE_FORGOTTEN}, nil
	}
	e.mu.Lock()
	rec, recorded := e.table.cancel(keyOf(req.GetId()), time.Now())
	state := attemptState(e.table.resolveEarlier(rec))
	var stop context.CancelCauseFunc
	if rec != nil && !rec.mustRunToEnd {
		stop = rec.cancel
	}
	e.mu.Unlock()
	if stop != nil {
		stop(errCanceled)
	}
	e.Metrics.Canceled.Add(1)
	if !recorded {
		e.Metrics.CancelsUnproven.Add(1)
		e.Log.Warn("cancel of an unknown attempt cannot be guaranteed: too many attempts are retained")
	}
	return &messenger.CancelReply{State: state}, nil
}

// AttemptStatus implements messenger.AgentServer. A reserved or waiting attempt
// is reported as RUNNING, because it may still run.
func (e *Executor) AttemptStatus(_ context.Context, req *messenger.AttemptStatusRequest) (*messenger.AttemptStatusReply, error) {
	e.initOnce.Do(e.initialize)
	if err := checkAttemptID(req.GetId()); err != nil {
		return nil, err
	}
	if req.GetIncarnation() != e.Incarnation {
		return &messenger.AttemptStatusReply{State: messenger.AttemptState_ATTEMPT_STATE_FORGOTTEN}, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.advance(time.Now())
	rec := e.table.resolveEarlier(e.table.records[keyOf(req.GetId())])
	reply := &messenger.AttemptStatusReply{State: attemptState(rec)}
	if rec != nil {
		reply.Answer = rec.answer
	}
	return reply, nil
}

func attemptState(rec *record) messenger.AttemptState {
	if rec == nil {
		return messenger.AttemptState_ATTEMPT_STATE_FORGOTTEN
	}
	switch rec.phase {
	case phaseReserved, phaseWaiting, phaseRunning:
		return messenger.AttemptState_ATTEMPT_STATE_RUNNING
	case phaseFinished:
		return messenger.AttemptState_ATTEMPT_STATE_FINISHED
	case phaseBroken:
		return messenger.AttemptState_ATTEMPT_STATE_BROKEN
	case phaseNeverStarted:
		return messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED
	}
	return messenger.AttemptState_ATTEMPT_STATE_UNSPECIFIED
}

func checkAttemptID(id *messenger.AttemptId) error {
	if id.GetRequestId() == "" || len(id.GetRequestId()) > maxIdentifierBytes {
		return status.Errorf(codes.InvalidArgument, "the attempt's request-id must have 1 to %d bytes", maxIdentifierBytes)
	}
	return nil
}

// refusedEvent returns the event or reply for a refusal, with the current load.
func (e *Executor) refusedEvent(r refusal, now time.Time) *messenger.AttemptRefused {
	e.Metrics.Refused.Add(1)
	return &messenger.AttemptRefused{
		Reason: r.reason, Detail: r.detail, RetryAfterMs: r.retryAfter.Milliseconds(), Load: e.Load(now),
	}
}

func (e *Executor) logRefusal(key attemptKey, r refusal) {
	logger.LogDecision(e.Log, logger.Decision{Kind: "admit", Subject: key.requestID, Reason: r.detail},
		zap.Uint32("number", key.number), zap.Stringer("refuse-reason", r.reason))
}

func (e *Executor) incarnationRefusal() *refusal {
	return &refusal{
		reason: messenger.RefuseReason_REFUSE_REASON_WRONG_INCARNATION,
		detail: "the attempt is for another incarnation of the agent than " + e.Incarnation,
	}
}

// checkService returns the refusal of a call to a service that the backend
// server does not run.
func (e *Executor) checkService(service string) *refusal {
	if e.Service == nil {
		return &refusal{reason: messenger.RefuseReason_REFUSE_REASON_UNKNOWN_TARGET, detail: "the backend server runs no service"}
	}
	if e.ServiceName != "" && service != e.ServiceName {
		return &refusal{reason: messenger.RefuseReason_REFUSE_REASON_UNKNOWN_TARGET, detail: "the backend server runs the service " + e.ServiceName + ", not " + service}
	}
	return nil
}

func backendDownRefusal() *refusal {
	return &refusal{reason: messenger.RefuseReason_REFUSE_REASON_NOT_READY, detail: "the backend server's process does not answer", retryAfter: notReadyRetryAfter}
}
