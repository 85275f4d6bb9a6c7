package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// maxReservations bounds how many servers are asked for a place.
	maxReservations = 3
	// statusPoll is the pause between two questions for a running call.
	statusPoll = 50 * time.Millisecond
)

// once is the state of a non-idempotent service call. It is reserved, claimed
// and then started; only the start can leave its outcome unknown.
type once struct {
	*Forwarder
	req          *identifier.Request
	call         *identifier.ServiceCall
	result       Result
	tried        []*picker.Server
	trial        *trial
	loadRefusals int
	// claimed is set while the claim names the current attempt.
	claimed bool
}

func (o *once) run(ctx context.Context, suspected bool) Result {
	ctx, cancel := context.WithDeadlineCause(ctx, o.req.Deadline, errDeadline)
	defer cancel()
	o.Budget.AddFirstAttempt(time.Now())
	var err *identifier.RequestError
	if suspected {
		o.trial, err = o.askTrial(ctx, o.req)
	}
	if err == nil {
		err = o.attempts(ctx)
	}
	if o.trial != nil {
		o.closeTrial(ctx, o.req, o.trial, err == nil)
	}
	o.result.Outcome = identifier.OutcomeServed
	if err != nil {
		if err.Outcome == "" {
			err.Outcome = identifier.OutcomeNotRun
		}
		o.result.Outcome, o.result.Err = err.Outcome, err
	}
	return o.result
}

// attempts tries servers until one starts the call. A started call is never
// started again.
func (o *once) attempts(ctx context.Context) *identifier.RequestError {
	var last *identifier.RequestError
	for range maxReservations {
		if ctx.Err() != nil {
			return unwantedError(context.Cause(ctx))
		}
		a, reservation, err := o.reserve(ctx)
		if a == nil {
			return firstError(last, err)
		}
		if err != nil {
			a.unreserved(err)
			last = err
			if !o.mayRetry(err) {
				return err
			}
			continue
		}
		if o.req.ClaimKey != "" {
			done, err := o.claim(ctx, a)
			if done || err != nil {
				a.choice.Release()
				return err
			}
		}
		again, err := o.start(ctx, a, reservation)
		if !again {
			return err
		}
		last = err
	}
	return last
}

// mayRetry reports whether another server may be asked after a failed
// reservation. A planned change costs no retry budget.
func (o *once) mayRetry(err *identifier.RequestError) bool {
	switch err.Code {
	case codePlanned:
		return true
	case codeOverloaded:
		o.loadRefusals++
		if o.loadRefusals > maxLoadRetries {
			return false
		}
	}
	return o.Budget.Take(time.Now())
}

// unreserved gives the place back on a server that gave no reservation.
func (a *attempt) unreserved(err *identifier.RequestError) {
	now := time.Now()
	switch err.Code {
	case codeOverloaded:
		a.choice.Overloaded(now)
		a.choice.Release()
	case codePlanned:
		a.choice.Release()
	default:
		a.choice.Done(false, now)
	}
}

func firstError(a, b *identifier.RequestError) *identifier.RequestError {
	if a != nil {
		return a
	}
	return b
}

// reserve picks a server and asks it for a place. The attempt is nil when no
// server is left.
func (o *once) reserve(ctx context.Context) (*attempt, string, *identifier.RequestError) {
	q := picker.Query{Subject: o.req.ID, Target: o.req.Target, Exclude: o.tried}
	choice, ok := o.Picker.Pick(&q, time.Now())
	if !ok {
		err := serverError(http.StatusServiceUnavailable, "no-replica", "no replica of "+o.req.Target.Name()+" can run the request")
		err.RetryAfter = time.Second
		return nil, "", err
	}
	o.tried = append(o.tried, choice.Server)
	o.result.Attempts++
	o.result.VM = choice.VM
	a := &attempt{
		Forwarder: o.Forwarder, req: o.req, choice: choice, incarnation: choice.Incarnation,
		id: &messenger.AttemptId{RequestId: o.req.ID, Number: uint32(o.result.Attempts)},
	}
	reservation, err := a.reserve(ctx, o.req)
	return a, reservation, err
}

func (a *attempt) reserve(ctx context.Context, req *identifier.Request) (string, *identifier.RequestError) {
	if err := a.dial(); err != nil {
		return "", serverError(http.StatusServiceUnavailable, "no-replica", "no backend server can be reached")
	}
	cctx, cancel := context.WithTimeout(ctx, a.startTimeout())
	defer cancel()
	reply, err := a.client.Reserve(cctx, &messenger.ReserveRequest{
		Id: a.id, Incarnation: a.incarnation, Service: req.Target.Service, ClaimKey: req.ClaimKey,
	})
	if err != nil {
		// A reservation is no start: whatever became of this one, it expires.
		return "", serverError(http.StatusServiceUnavailable, "reservation-failed", "the backend server gave no reservation")
	}
	if r := reply.GetRefused(); r != nil {
		a.choice.Report(r.GetLoad(), time.Now())
		e := overloadError(time.Duration(r.GetRetryAfterMs()) * time.Millisecond)
		e.Message = "the backend server refused a reservation"
		if planned(r.GetReason()) {
			e.Code = codePlanned
		}
		return "", e
	}
	return reply.GetReservation(), nil
}

// start starts the reserved call. The first result asks for another attempt.
func (o *once) start(ctx context.Context, a *attempt, reservation string) (bool, *identifier.RequestError) {
	start := startOf(o.req, a)
	start.Reservation = reservation
	start.Alone = o.trial != nil
	start.Call = &messenger.AttemptStart_Service{Service: serviceCall(o.req, o.call)}
	// A caller that goes away does not stop a call that must not be repeated:
	// its result is recorded for the caller's next try.
	rctx, cancel := context.WithDeadlineCause(context.WithoutCancel(ctx), o.req.Deadline, errDeadline)
	defer cancel()
	e := a.run(rctx, start)
	a.giveBack(e, time.Now())
	return o.after(rctx, a, e)
}

func (o *once) after(ctx context.Context, a *attempt, e ending) (bool, *identifier.RequestError) {
	switch e := e.(type) {
	case answered:
		return false, o.served(ctx, a, e.ServiceAnswer)
	case neverSent:
		o.complete(ctx, a, identifier.OutcomeNotRun, nil)
		return true, serverError(http.StatusServiceUnavailable, "not-sent", "the backend server could not be reached")
	case refused:
		o.complete(ctx, a, identifier.OutcomeNotRun, nil)
		if e.GetReason() == messenger.RefuseReason_REFUSE_REASON_RESERVATION_EXPIRED {
			// The wait for an earlier call with the key outlasted the
			// reservation, which says nothing against the server.
			o.tried = o.tried[:len(o.tried)-1]
		}
		err := overloadError(time.Duration(e.GetRetryAfterMs()) * time.Millisecond)
		return planned(e.GetReason()), err
	case broken:
		return false, o.broken(ctx, a, e)
	}
	return false, o.resolve(ctx, a)
}

func (o *once) served(ctx context.Context, a *attempt, answer *messenger.ServiceAnswer) *identifier.RequestError {
	o.result.Answer = answer
	o.complete(ctx, a, identifier.OutcomeServed, answer)
	return nil
}

func (o *once) broken(ctx context.Context, a *attempt, e broken) *identifier.RequestError {
	o.complete(ctx, a, identifier.OutcomeUnknown, nil)
	if e.GetBackendCrashed() {
		reply, err := o.reportCrash(ctx, a, e, o.trial)
		o.trial = nil
		if err == nil && reply.GetBlocked() {
			return blockedError(time.UnixMilli(reply.GetBlockedUntilMs()), time.Now(), identifier.OutcomeUnknown)
		}
	}
	return unknownError("the backend server broke off the call")
}

// resolve finds out what became of a started call whose stream was lost.
func (o *once) resolve(ctx context.Context, a *attempt) *identifier.RequestError {
	for ctx.Err() == nil {
		status, err := a.status(ctx)
		if err != nil {
			break
		}
		switch status.GetState() {
		case messenger.AttemptState_ATTEMPT_STATE_FINISHED, messenger.AttemptState_ATTEMPT_STATE_BROKEN:
			return o.settled(ctx, a, status.GetState())
		case messenger.AttemptState_ATTEMPT_STATE_RUNNING:
			waiter.Wait(ctx, statusPoll)
			continue
		}
		break
	}
	return o.settled(ctx, a, a.cancel(ctx))
}

// settled ends the call by the state that the agent acknowledged.
func (o *once) settled(ctx context.Context, a *attempt, state messenger.AttemptState) *identifier.RequestError {
	switch state {
	case messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED:
		o.complete(ctx, a, identifier.OutcomeNotRun, nil)
		return serverError(http.StatusGatewayTimeout, "not-started", "the backend server did not start the call in time")
	case messenger.AttemptState_ATTEMPT_STATE_FINISHED:
		if status, err := a.status(ctx); err == nil && status.GetAnswer() != nil {
			return o.served(ctx, a, status.GetAnswer())
		}
	case messenger.AttemptState_ATTEMPT_STATE_BROKEN:
		o.complete(ctx, a, identifier.OutcomeUnknown, nil)
	}
	// The claim stays open: a later call with the same key asks the agent again.
	return unknownError("the answer of the backend server did not arrive")
}

func (a *attempt) status(ctx context.Context) (*messenger.AttemptStatusReply, error) {
	cctx, cancel := a.forget(ctx)
	defer cancel()
	return a.client.AttemptStatus(cctx, &messenger.AttemptStatusRequest{Id: a.id, Incarnation: a.incarnation})
}

func unknownError(message string) *identifier.RequestError {
	err := serverError(http.StatusBadGateway, "outcome-unknown", message)
	err.Outcome = identifier.OutcomeUnknown
	return err
}
