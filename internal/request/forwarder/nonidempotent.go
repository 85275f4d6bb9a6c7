package forwarder

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/internal/request/drainer"
	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// maxReservations limits the servers that are asked for a reservation.
	maxReservations = 3
	// statusPollInterval is the time between status queries for a running call.
	statusPollInterval = 50 * time.Millisecond
	// maxSilentQueries is how many status queries in a row may time out: an agent may
	// pause and go on.
	maxSilentQueries = 3
)

// nonIdempotentCall is the state of a non-idempotent service call. The call is
// first reserved, then claimed, and then started. Only a failed start can leave its
// outcome unknown.
type nonIdempotentCall struct {
	*Forwarder
	req    *identifier.Request
	call   *identifier.ServiceCall
	result Result
	// tried holds the servers that must not be picked again.
	tried []*picker.Server
	// trial is the permit to run a suspect request, or nil.
	trial *trial
	// loadRefusals counts the reservations that were refused because of load.
	loadRefusals int
	// claimed is set while the current attempt holds the claim.
	claimed bool
}

func (c *nonIdempotentCall) run(ctx context.Context, suspected bool) Result {
	ctx, cancel := context.WithDeadlineCause(ctx, c.req.Deadline, errDeadline)
	defer cancel()
	c.Budget.AddFirstAttempt(time.Now())
	var err *identifier.RequestError
	if suspected {
		c.trial, err = c.requestTrial(ctx, c.req)
	}
	if err == nil {
		err = c.runAttempts(ctx)
	}
	if c.trial != nil {
		c.endTrial(ctx, c.req, c.trial, err == nil)
	}
	c.result.Outcome = identifier.OutcomeServed
	if err != nil {
		if err.Outcome == "" {
			err.Outcome = identifier.OutcomeNotRun
		}
		c.result.Outcome, c.result.Err = err.Outcome, err
	}
	return c.result
}

// runAttempts tries servers until one of them starts the call. Once started, a call
// is never started again.
func (c *nonIdempotentCall) runAttempts(ctx context.Context) *identifier.RequestError {
	var last *identifier.RequestError
	for range maxReservations {
		if ctx.Err() != nil {
			return requestEndedError(context.Cause(ctx))
		}
		a, reservation, err := c.reserve(ctx)
		if a == nil {
			return firstError(last, err)
		}
		if err != nil {
			a.releaseUnreserved(err)
			last = err
			if !c.mayRetry(err) {
				return err
			}
			continue
		}
		if c.req.ClaimKey != "" {
			done, err := c.claim(ctx, a)
			if done || err != nil {
				a.choice.Release()
				return err
			}
		}
		again, err := c.start(ctx, a, reservation)
		if !again {
			return err
		}
		last = err
	}
	return last
}

// mayRetry reports whether another server may be tried after a failed reservation.
// A retry because of a planned change uses no retry budget.
func (c *nonIdempotentCall) mayRetry(err *identifier.RequestError) bool {
	switch err.Code {
	case codeServerLeaving:
		return true
	case codeOverloaded:
		c.loadRefusals++
		if c.loadRefusals > maxLoadRetries {
			return false
		}
	}
	return c.Budget.Take(time.Now())
}

// releaseUnreserved releases a picked server that gave no reservation.
func (a *attempt) releaseUnreserved(err *identifier.RequestError) {
	now := time.Now()
	switch err.Code {
	case codeOverloaded:
		a.choice.Overloaded(now)
		a.choice.Release()
	case codeServerLeaving:
		a.choice.Release()
	default:
		a.choice.Done(false, now)
	}
}

// firstError returns a, or b if a is nil.
func firstError(a, b *identifier.RequestError) *identifier.RequestError {
	if a != nil {
		return a
	}
	return b
}

// reserve picks a server and requests a reservation from it. The attempt is nil if no
// server is left.
func (c *nonIdempotentCall) reserve(ctx context.Context) (*attempt, string, *identifier.RequestError) {
	q := picker.Query{Subject: c.req.ID, Target: c.req.Target, Regions: c.regions(c.req), Exclude: c.tried}
	choice, ok := c.Picker.Pick(&q, time.Now())
	if !ok {
		if reason := c.Picker.Refusal(c.req.Target, c.regions(c.req), time.Now()); reason != "" {
			return nil, "", identifier.UnplaceableError(reason)
		}
		err := serverError(http.StatusServiceUnavailable, "no-replica", "no replica of "+c.req.Target.Name()+" can run the request")
		err.RetryAfter = time.Second
		return nil, "", err
	}
	c.tried = append(c.tried, choice.Server)
	c.result.Attempts++
	c.result.VM = choice.VM
	a := &attempt{
		Forwarder: c.Forwarder, req: c.req, choice: choice, incarnation: choice.Incarnation,
		id: &messenger.AttemptId{RequestId: c.req.ID, Number: uint32(c.result.Attempts)},
	}
	reservation, err := a.reserve(ctx, c.req)
	return a, reservation, err
}

// reserve requests a reservation from the agent and returns its ID.
func (a *attempt) reserve(ctx context.Context, req *identifier.Request) (string, *identifier.RequestError) {
	if err := a.dial(); err != nil {
		return "", serverError(http.StatusServiceUnavailable, "no-replica", "no backend server can be reached")
	}
	if err := a.Picker.Permitted(a.choice, a.regions(req), time.Now()); err != nil {
		refusal := serverError(http.StatusServiceUnavailable, codeServerLeaving, err.Error())
		refusal.RetryAfter = time.Second
		return "", refusal
	}
	cctx, cancel := context.WithTimeout(ctx, a.startTimeout())
	defer cancel()
	reply, err := a.client.Reserve(cctx, &messenger.ReserveRequest{
		Id: a.id, Incarnation: a.incarnation, Service: req.Target.Service, ClaimKey: req.ClaimKey,
	})
	if err != nil {
		// A reservation does not start the call. If it was made, it expires.
		return "", serverError(http.StatusServiceUnavailable, "reservation-failed", "the backend server gave no reservation")
	}
	if r := reply.GetRefused(); r != nil {
		a.choice.Report(r.GetLoad(), time.Now())
		refusal := overloadError(time.Duration(r.GetRetryAfterMs()) * time.Millisecond)
		refusal.Message = "the backend server refused a reservation"
		if isPlannedChange(r.GetReason()) {
			refusal.Code = codeServerLeaving
		}
		return "", refusal
	}
	return reply.GetReservation(), nil
}

// start starts the reserved call. The first result reports whether another server
// may be tried.
func (c *nonIdempotentCall) start(ctx context.Context, a *attempt, reservation string) (bool, *identifier.RequestError) {
	start := newAttemptStart(c.req, a)
	start.Reservation = reservation
	start.Alone = c.trial != nil
	start.Call = &messenger.AttemptStart_Service{Service: serviceCall(c.req, c.call)}
	// The call continues if the caller disconnects, because it must not be
	// repeated. Its result is recorded for a retry by the caller.
	sctx, stop := untilStopped(ctx)
	defer stop()
	rctx, cancel := context.WithDeadlineCause(sctx, c.req.Deadline, errDeadline)
	defer cancel()
	a.open(rctx)
	e := a.run(rctx, start)
	a.releaseServer(e, time.Now())
	return c.handleEnding(rctx, a, e)
}

// untilStopped returns a context that ends when the daemon stops, but not when the
// caller disconnects.
func untilStopped(ctx context.Context) (context.Context, context.CancelFunc) {
	sctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	unregister := context.AfterFunc(ctx, func() {
		if stopped := drainer.StopCause(ctx); stopped != nil {
			cancel(stopped)
		}
	})
	return sctx, func() {
		unregister()
		cancel(nil)
	}
}

// handleEnding records the outcome of a started call. The first result reports whether
// another server may be tried.
func (c *nonIdempotentCall) handleEnding(ctx context.Context, a *attempt, e ending) (bool, *identifier.RequestError) {
	switch e := e.(type) {
	case answered:
		return false, c.recordServed(ctx, a, e.ServiceAnswer)
	case neverSent:
		c.completeClaim(ctx, a, identifier.OutcomeNotRun, nil)
		return true, serverError(http.StatusServiceUnavailable, "not-sent", "the backend server could not be reached")
	case notPermitted:
		c.completeClaim(ctx, a, identifier.OutcomeNotRun, nil)
		err := serverError(http.StatusServiceUnavailable, codeServerLeaving, e.cause.Error())
		err.RetryAfter = time.Second
		return true, err
	case refused:
		// The store has lost the claim of an earlier call. The outcome not-run
		// would allow a further call.
		switch e.GetReason() {
		case messenger.RefuseReason_REFUSE_REASON_CLAIM_KEY_USED:
			return false, c.resolveLost(ctx, a)
		case messenger.RefuseReason_REFUSE_REASON_CLAIM_KEY_MISMATCH:
			c.completeClaim(ctx, a, identifier.OutcomeUnknown, nil)
			return false, mismatchError()
		}
		c.completeClaim(ctx, a, identifier.OutcomeNotRun, nil)
		if e.GetReason() == messenger.RefuseReason_REFUSE_REASON_RESERVATION_EXPIRED {
			// The reservation expired while an earlier call with the same key was
			// in progress. The server can be tried again.
			c.tried = c.tried[:len(c.tried)-1]
		}
		err := overloadError(time.Duration(e.GetRetryAfterMs()) * time.Millisecond)
		return isPlannedChange(e.GetReason()), err
	case broken:
		return false, c.handleBroken(ctx, a, e)
	}
	return false, c.resolveLost(ctx, a)
}

// recordServed makes the answer the result of the call and records it in the claim.
func (c *nonIdempotentCall) recordServed(ctx context.Context, a *attempt, answer *messenger.ServiceAnswer) *identifier.RequestError {
	c.result.Answer = answer
	c.completeClaim(ctx, a, identifier.OutcomeServed, answer)
	return nil
}

// handleBroken handles a call that started and did not complete. Its outcome is unknown.
func (c *nonIdempotentCall) handleBroken(ctx context.Context, a *attempt, e broken) *identifier.RequestError {
	c.completeClaim(ctx, a, identifier.OutcomeUnknown, nil)
	if e.GetBackendCrashed() {
		reply, err := c.reportCrash(ctx, a, e, c.trial)
		c.trial = nil
		if err == nil && reply.GetBlocked() {
			return blockedError(time.UnixMilli(reply.GetBlockedUntilMs()), time.Now(), identifier.OutcomeUnknown)
		}
	}
	return unknownError("the backend server broke off the call")
}

// resolveLost determines the outcome of a started call whose stream was lost.
func (c *nonIdempotentCall) resolveLost(ctx context.Context, a *attempt) *identifier.RequestError {
	for ctx.Err() == nil {
		reply, err := a.status(ctx)
		if err != nil {
			break
		}
		switch reply.GetState() {
		case messenger.AttemptState_ATTEMPT_STATE_FINISHED, messenger.AttemptState_ATTEMPT_STATE_BROKEN:
			return c.finishWithState(ctx, a, reply.GetState())
		case messenger.AttemptState_ATTEMPT_STATE_RUNNING:
			waiter.Wait(ctx, statusPollInterval)
			continue
		}
		break
	}
	return c.finishWithState(ctx, a, a.cancel(ctx))
}

// finishWithState ends the call according to the state that the agent reported.
func (c *nonIdempotentCall) finishWithState(ctx context.Context, a *attempt, state messenger.AttemptState) *identifier.RequestError {
	switch state {
	case messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED:
		c.completeClaim(ctx, a, identifier.OutcomeNotRun, nil)
		return serverError(http.StatusGatewayTimeout, "not-started", "the backend server did not start the call in time")
	case messenger.AttemptState_ATTEMPT_STATE_FINISHED:
		if reply, err := a.status(ctx); err == nil && reply.GetAnswer() != nil {
			return c.recordServed(ctx, a, reply.GetAnswer())
		}
	case messenger.AttemptState_ATTEMPT_STATE_BROKEN:
		c.completeClaim(ctx, a, identifier.OutcomeUnknown, nil)
	}
	// The claim stays open, so that a later call with the same key asks the agent
	// again.
	return unknownError("the answer of the backend server did not arrive")
}

// status asks the agent for the state of the attempt, again while it is silent and the
// request has not ended.
func (a *attempt) status(ctx context.Context) (*messenger.AttemptStatusReply, error) {
	for n := 1; ; n++ {
		reply, err := a.queryStatus(ctx)
		if status.Code(err) != codes.DeadlineExceeded || n == maxSilentQueries || ctx.Err() != nil {
			return reply, err
		}
	}
}

func (a *attempt) queryStatus(ctx context.Context) (*messenger.AttemptStatusReply, error) {
	cctx, cancel := a.detachedContext(ctx)
	defer cancel()
	return a.client.AttemptStatus(cctx, &messenger.AttemptStatusRequest{Id: a.id, Incarnation: a.incarnation})
}

// unknownError reports a call that may have run.
func unknownError(message string) *identifier.RequestError {
	err := serverError(http.StatusBadGateway, "outcome-unknown", message)
	err.Outcome = identifier.OutcomeUnknown
	return err
}
