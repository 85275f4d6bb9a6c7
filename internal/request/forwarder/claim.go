package forwarder

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// MaxKeptAnswer is the largest answer that is recorded with a claim.
	MaxKeptAnswer = 16 << 10
	// completeTimeout bounds the wait for the record of an outcome. Without
	// the record, the agent can still tell the outcome.
	completeTimeout = 2 * time.Second
	// forgottenPolls is how often an attempt is asked for that its agent does
	// not know yet: the claim is written just before the start is sent.
	forgottenPolls = 4
)

// earlier is added to refusals of calls with a key: the promise not-run is
// about this call only.
const earlier = "; an earlier call with the same idempotency key may have been run"

// claim writes the claim for the attempt. It returns true when the result is
// an answer recorded earlier, and an error when the call must not run.
func (o *once) claim(ctx context.Context, a *attempt) (bool, *identifier.RequestError) {
	// polls counts the looks in a row at which no attempt was running.
	polls := 0
	for {
		reply, err := o.Claims.Claim(ctx, &messenger.ClaimRequest{
			Key: o.req.ClaimKey, BodyDigest: o.req.BodyDigest, Team: o.req.Team.Name, Service: o.req.Target.Service,
			Attempt: a.id, AgentAddress: a.choice.Address, AgentIncarnation: a.choice.Incarnation,
		})
		if err != nil {
			return false, o.unrecorded(ctx, a)
		}
		if reply.GetExpiresMs() > 0 {
			o.result.KeyExpires = time.UnixMilli(reply.GetExpiresMs())
		}
		switch reply.GetState() {
		case messenger.ClaimState_CLAIM_STATE_GRANTED:
			o.claimed = true
			return false, nil
		case messenger.ClaimState_CLAIM_STATE_DONE:
			return o.recorded(reply)
		case messenger.ClaimState_CLAIM_STATE_MISMATCH:
			return false, mismatchError()
		case messenger.ClaimState_CLAIM_STATE_UNAVAILABLE:
			return false, claimError("claims-unavailable", "the call could not be claimed")
		case messenger.ClaimState_CLAIM_STATE_IN_PROGRESS:
			done, isRunning, err := o.inProgress(ctx, reply)
			if done || err != nil {
				return done, err
			}
			polls++
			if isRunning {
				polls = 0
			}
			if polls >= forgottenPolls || !waiter.Wait(ctx, statusPoll) {
				return false, unresolvedError()
			}
		default:
			return false, o.unrecorded(ctx, a)
		}
	}
}

// unrecorded handles a claim that may have been written. The agent records
// that its attempt never starts, so that a later call can find out.
func (o *once) unrecorded(ctx context.Context, a *attempt) *identifier.RequestError {
	a.cancel(ctx)
	return claimError("claim-unknown", "the claim of the call was not acknowledged")
}

// recorded returns the result of the call that holds the claim.
func (o *once) recorded(reply *messenger.ClaimReply) (bool, *identifier.RequestError) {
	switch identifier.Outcome(reply.GetOutcome()) {
	case identifier.OutcomeServed:
		return o.repeated(reply.GetAnswer())
	case identifier.OutcomeNotRun:
		err := serverError(http.StatusServiceUnavailable, "key-used", "an earlier call with the same idempotency key was not run; use a new key")
		return false, err
	}
	return false, unknownError("the outcome of an earlier call with the same idempotency key is not known; this call was not run")
}

func (o *once) repeated(answer *messenger.ServiceAnswer) (bool, *identifier.RequestError) {
	if answer == nil {
		err := serverError(http.StatusConflict, "answer-not-kept", "the answer of the earlier call with the same idempotency key was too large to keep")
		err.Outcome = identifier.OutcomeServed
		return false, err
	}
	o.result.Answer = answer
	return true, nil
}

// inProgress resolves a claim of another attempt by asking the agent that it
// names. Without an answer and an error, the claim has to be looked at again;
// the second result says that its attempt may still run.
func (o *once) inProgress(ctx context.Context, reply *messenger.ClaimReply) (done, isRunning bool, _ *identifier.RequestError) {
	holder, err := o.holder(reply)
	if err != nil {
		return false, false, unresolvedError()
	}
	status, err := holder.status(ctx)
	if err != nil {
		return false, false, unresolvedError()
	}
	switch status.GetState() {
	case messenger.AttemptState_ATTEMPT_STATE_FINISHED:
		o.completeFor(ctx, reply.GetAttempt(), identifier.OutcomeServed, status.GetAnswer())
		done, err := o.repeated(status.GetAnswer())
		return done, false, err
	case messenger.AttemptState_ATTEMPT_STATE_BROKEN:
		o.completeFor(ctx, reply.GetAttempt(), identifier.OutcomeUnknown, nil)
		return false, false, unresolvedError()
	case messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED:
		o.completeFor(ctx, reply.GetAttempt(), identifier.OutcomeNotRun, nil)
	case messenger.AttemptState_ATTEMPT_STATE_RUNNING:
		return false, true, nil
	}
	return false, false, nil
}

func unresolvedError() *identifier.RequestError {
	return unknownError("an earlier call with the same idempotency key has no known outcome; this call was not run")
}

// holder is the attempt that a claim names, possibly of another entry daemon.
func (o *once) holder(reply *messenger.ClaimReply) (*attempt, error) {
	client, err := o.Dial(reply.GetAgentAddress())
	if err != nil {
		return nil, err
	}
	a := &attempt{Forwarder: o.Forwarder, req: o.req, id: reply.GetAttempt(), client: client}
	a.incarnation = reply.GetAgentIncarnation()
	return a, nil
}

func (o *once) complete(ctx context.Context, a *attempt, outcome identifier.Outcome, answer *messenger.ServiceAnswer) {
	if !o.claimed {
		return
	}
	o.claimed = false
	o.completeFor(ctx, a.id, outcome, answer)
}

func (o *once) completeFor(ctx context.Context, id *messenger.AttemptId, outcome identifier.Outcome, answer *messenger.ServiceAnswer) {
	if answer != nil && proto.Size(answer) > MaxKeptAnswer {
		answer = nil
	}
	cctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), completeTimeout)
	defer cancel()
	reply, err := o.Claims.CompleteClaim(cctx, &messenger.CompleteClaimRequest{
		Key: o.req.ClaimKey, Attempt: id, Outcome: string(outcome), Answer: answer,
	})
	if (err != nil || !reply.GetRecorded()) && o.Log != nil {
		o.Log.Warn("the outcome of a claim was not recorded")
	}
}

func mismatchError() *identifier.RequestError {
	return &identifier.RequestError{
		Status: http.StatusUnprocessableEntity, Type: identifier.TypeInvalidRequest,
		Code: "idempotency-key-reused", Param: "idempotency-key", Outcome: identifier.OutcomeNotRun,
		Message: "the idempotency key was used before with another request",
	}
}

func claimError(code, message string) *identifier.RequestError {
	err := serverError(http.StatusServiceUnavailable, code, message+earlier)
	err.Outcome = identifier.OutcomeNotRun
	err.RetryAfter = time.Second
	return err
}
