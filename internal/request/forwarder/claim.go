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
	// maxStoredAnswerBytes is the size in bytes of the largest answer that is stored with
	// a claim.
	maxStoredAnswerBytes = 16 << 10
	// completeClaimTimeout limits the time to record the outcome of a claim.
	// If it is not recorded, the agent can still be asked for it.
	completeClaimTimeout = 2 * time.Second
	// maxNotRunningPolls limits the consecutive polls at which an agent does not
	// report the attempt as running. The agent may not know the attempt yet
	// because the claim is written just before the start frame is sent.
	maxNotRunningPolls = 4
)

// earlierCallNote is appended to refusals of calls with an idempotency key, because
// the outcome not-run refers to this call only.
const earlierCallNote = "; an earlier call with the same idempotency key may have been run"

// claim records the claim for the attempt. It returns true if the result is the
// stored answer of an earlier call, and an error if the call must not run.
func (c *nonIdempotentCall) claim(ctx context.Context, a *attempt) (bool, *identifier.RequestError) {
	// notRunningPolls counts the consecutive polls at which no attempt was running.
	notRunningPolls := 0
	for {
		reply, err := c.Claims.Claim(ctx, &messenger.ClaimRequest{
			Key: c.req.ClaimKey, BodyDigest: c.req.BodyDigest, Team: c.req.Team.Name, Service: c.req.Target.Service,
			Attempt: a.id, AgentAddress: a.choice.Address, AgentIncarnation: a.choice.Incarnation,
		})
		if err != nil {
			return false, c.claimNotAcknowledged(ctx, a)
		}
		if reply.GetExpiresMs() > 0 {
			c.result.KeyExpires = time.UnixMilli(reply.GetExpiresMs())
		}
		switch reply.GetState() {
		case messenger.ClaimState_CLAIM_STATE_GRANTED:
			c.claimed = true
			return false, nil
		case messenger.ClaimState_CLAIM_STATE_DONE:
			return c.recordedResult(reply)
		case messenger.ClaimState_CLAIM_STATE_MISMATCH:
			return false, mismatchError()
		case messenger.ClaimState_CLAIM_STATE_UNAVAILABLE:
			return false, claimError("claims-unavailable", "the call could not be claimed")
		case messenger.ClaimState_CLAIM_STATE_IN_PROGRESS:
			done, isRunning, err := c.resolveInProgress(ctx, reply)
			if done || err != nil {
				return done, err
			}
			notRunningPolls++
			if isRunning {
				notRunningPolls = 0
			}
			if notRunningPolls >= maxNotRunningPolls || !waiter.Wait(ctx, statusPollInterval) {
				return false, unresolvedError()
			}
		default:
			return false, c.claimNotAcknowledged(ctx, a)
		}
	}
}

// claimNotAcknowledged handles a claim that may have been recorded although no
// valid reply arrived. It makes the agent record that the attempt never starts, so
// that a later call with the same key can resolve the claim.
func (c *nonIdempotentCall) claimNotAcknowledged(ctx context.Context, a *attempt) *identifier.RequestError {
	a.cancel(ctx)
	return claimError("claim-unknown", "the claim of the call was not acknowledged")
}

// recordedResult returns the recorded result of the earlier call that holds the
// claim.
func (c *nonIdempotentCall) recordedResult(reply *messenger.ClaimReply) (bool, *identifier.RequestError) {
	switch identifier.Outcome(reply.GetOutcome()) {
	case identifier.OutcomeServed:
		return c.returnStoredAnswer(reply.GetAnswer())
	case identifier.OutcomeNotRun:
		err := serverError(http.StatusServiceUnavailable, "key-used", "an earlier call with the same idempotency key was not run; use a new key")
		return false, err
	}
	return false, unknownError("the outcome of an earlier call with the same idempotency key is not known; this call was not run")
}

// returnStoredAnswer makes the answer of an earlier call the result of this one.
func (c *nonIdempotentCall) returnStoredAnswer(answer *messenger.ServiceAnswer) (bool, *identifier.RequestError) {
	if answer == nil {
		err := serverError(http.StatusConflict, "answer-not-kept", "the answer of the earlier call with the same idempotency key was not kept")
		err.Outcome = identifier.OutcomeServed
		return false, err
	}
	c.result.Answer = answer
	return true, nil
}

// resolveInProgress resolves the claim of another attempt by asking the agent that
// the claim names. done reports that the result holds the answer of that attempt. If
// done is false and the error is nil, the claim must be requested again; isRunning
// then reports whether its attempt is still running.
func (c *nonIdempotentCall) resolveInProgress(ctx context.Context, reply *messenger.ClaimReply) (done, isRunning bool, _ *identifier.RequestError) {
	holder, err := c.claimHolder(reply)
	if err != nil {
		return false, false, unresolvedError()
	}
	status, err := holder.status(ctx)
	if err != nil {
		return false, false, unresolvedError()
	}
	switch status.GetState() {
	case messenger.AttemptState_ATTEMPT_STATE_FINISHED:
		c.completeClaimOf(ctx, reply.GetAttempt(), identifier.OutcomeServed, status.GetAnswer())
		done, err := c.returnStoredAnswer(status.GetAnswer())
		return done, false, err
	case messenger.AttemptState_ATTEMPT_STATE_BROKEN:
		c.completeClaimOf(ctx, reply.GetAttempt(), identifier.OutcomeUnknown, nil)
		return false, false, unresolvedError()
	case messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED:
		c.completeClaimOf(ctx, reply.GetAttempt(), identifier.OutcomeNotRun, nil)
	case messenger.AttemptState_ATTEMPT_STATE_RUNNING:
		return false, true, nil
	}
	return false, false, nil
}

// unresolvedError reports an earlier call whose outcome could not be determined.
func unresolvedError() *identifier.RequestError {
	return unknownError("an earlier call with the same idempotency key has no known outcome; this call was not run")
}

// claimHolder returns the attempt that a claim names. Another entry daemon may have
// started it.
func (c *nonIdempotentCall) claimHolder(reply *messenger.ClaimReply) (*attempt, error) {
	client, err := c.Dial(reply.GetAgentAddress())
	if err != nil {
		return nil, err
	}
	a := &attempt{Forwarder: c.Forwarder, req: c.req, id: reply.GetAttempt(), client: client}
	a.incarnation = reply.GetAgentIncarnation()
	return a, nil
}

// completeClaim records the outcome of the current attempt if it holds the claim.
func (c *nonIdempotentCall) completeClaim(ctx context.Context, a *attempt, outcome identifier.Outcome, answer *messenger.ServiceAnswer) {
	if !c.claimed {
		return
	}
	c.claimed = false
	c.completeClaimOf(ctx, a.id, outcome, answer)
}

// completeClaimOf records the outcome of an attempt in the claim of the call. Answers
// above maxStoredAnswerBytes are not stored, nor are those of requests that are
// restricted to regions: the claim passes through entry daemons and the object API
// of other regions.
func (c *nonIdempotentCall) completeClaimOf(ctx context.Context, id *messenger.AttemptId, outcome identifier.Outcome, answer *messenger.ServiceAnswer) {
	if c.regions(c.req) != nil || answer != nil && proto.Size(answer) > maxStoredAnswerBytes {
		answer = nil
	}
	cctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), completeClaimTimeout)
	defer cancel()
	reply, err := c.Claims.CompleteClaim(cctx, &messenger.CompleteClaimRequest{
		Key: c.req.ClaimKey, Attempt: id, Outcome: string(outcome), Answer: answer,
	})
	if (err != nil || !reply.GetRecorded()) && c.Log != nil {
		c.Log.Warn("the outcome of a claim was not recorded")
	}
}

// mismatchError reports an idempotency key that was used with another request.
func mismatchError() *identifier.RequestError {
	return &identifier.RequestError{
		Status: http.StatusUnprocessableEntity, Type: identifier.TypeInvalidRequest,
		Code: "idempotency-key-reused", Param: "idempotency-key", Outcome: identifier.OutcomeNotRun,
		Message: "the idempotency key was used before with another request",
	}
}

// claimError reports a call that was not run because it could not be claimed.
func claimError(code, message string) *identifier.RequestError {
	err := serverError(http.StatusServiceUnavailable, code, message+earlierCallNote)
	err.Outcome = identifier.OutcomeNotRun
	err.RetryAfter = time.Second
	return err
}
