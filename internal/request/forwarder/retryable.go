package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// retryableRequest is the state of a request that may be run more than once: a
// model request or an idempotent service call.
type retryableRequest struct {
	*Forwarder
	req    *identifier.Request
	sink   Sink
	result Result

	// offset is the number of tokens passed to the sink, and version the digest of the
	// version that generated them.
	offset  int
	version string
	// tried holds the servers of all attempts so far.
	tried []*picker.Server
	// abandoned are the attempts that may have started and did not complete.
	abandoned []*attempt
	// started is set once an agent reported that an attempt had started.
	started bool
	// loadRetries counts the retries after refusals because of load.
	loadRetries int
	// trial is the permit to run a suspect request, or nil.
	trial *trial
}

// run makes attempts until the request is served or must not be retried.
func (r *retryableRequest) run(ctx context.Context, suspected bool) Result {
	ctx, cancel := context.WithDeadlineCause(ctx, r.req.Deadline, errDeadline)
	defer cancel()
	r.Budget.AddFirstAttempt(time.Now())
	var err *identifier.RequestError
	if suspected {
		r.trial, err = r.requestTrial(ctx, r.req)
	}
	if err == nil {
		err = r.runAttempts(ctx)
	}
	if r.trial != nil {
		r.endTrial(ctx, r.req, r.trial, err == nil)
	}
	if err != nil {
		return r.failureResult(ctx, err)
	}
	r.result.Outcome = identifier.OutcomeServed
	return r.result
}

// runAttempts makes attempts until one completes or the request must not be retried.
func (r *retryableRequest) runAttempts(ctx context.Context) *identifier.RequestError {
	for {
		a, e := r.runAttempt(ctx)
		if a == nil {
			return r.noReplicaError()
		}
		switch e := e.(type) {
		case completed:
			r.result.FinishReason = e.GetFinishReason()
			r.result.PromptTokens = int(e.GetPromptTokens())
			return nil
		case answered:
			r.result.Answer = e.ServiceAnswer
			return nil
		}
		if err := r.handleFailure(ctx, a, e); err != nil {
			return err
		}
		if r.result.Attempts >= maxAttempts {
			err := serverError(http.StatusServiceUnavailable, "attempts-failed", "every attempt failed")
			err.RetryAfter = time.Second
			return err
		}
	}
}

// runAttempt picks a server and runs one attempt on it, and others beside it while it is
// silent. It returns the one that ended the last, or nil if there is no server.
func (r *retryableRequest) runAttempt(ctx context.Context) (*attempt, ending) {
	choice, ok := r.pick(r.version, time.Now())
	if !ok {
		return nil, nil
	}
	c := newRace(r)
	return c.run(ctx, c.newAttempt(choice, r.offset, r.version))
}

func (r *retryableRequest) pick(version string, now time.Time) (picker.Choice, bool) {
	return r.Picker.Pick(&picker.Query{
		Subject: r.req.ID, Target: r.req.Target, PrefixHash: r.req.PrefixHash, Version: version,
		Regions: r.regions(r.req), Exclude: r.tried,
	}, now)
}

// startFrame returns the start frame of an attempt.
func (r *retryableRequest) startFrame(a *attempt) *messenger.AttemptStart {
	start := newAttemptStart(r.req, a)
	start.Alone = r.trial != nil
	switch call := r.req.Call.(type) {
	case *identifier.Completion:
		start.Call = &messenger.AttemptStart_Model{Model: r.modelCall(call, a)}
	case *identifier.ServiceCall:
		start.Call = &messenger.AttemptStart_Service{Service: serviceCall(r.req, call)}
	}
	return start
}

func (r *retryableRequest) modelCall(call *identifier.Completion, a *attempt) *messenger.ModelCall {
	return &messenger.ModelCall{
		Model:        r.req.Target.Model,
		Version:      a.version,
		Adapter:      r.req.Target.Adapter,
		Prompt:       call.Prompt,
		MaxTokens:    uint32(call.MaxTokens),
		ResumeOffset: uint32(a.offset),
		Temperature:  call.Temperature,
		Stop:         call.Stop,
		Seed:         call.Seed,
		Request:      call.Body,
	}
}

func newAttemptStart(req *identifier.Request, a *attempt) *messenger.AttemptStart {
	return &messenger.AttemptStart{
		Id:          a.id,
		Incarnation: a.incarnation,
		Team:        req.Team.Name,
		Priority:    req.Priority,
		RemainingMs: remainingMilliseconds(req.Deadline, time.Now()),
		Fingerprint: req.Fingerprint,
	}
}

// remainingMilliseconds rounds up, so that the agent does not end an attempt before the
// deadline. This would be treated as a server failure and retried.
func remainingMilliseconds(deadline, now time.Time) int64 {
	return max((deadline.Sub(now) + time.Millisecond - 1).Milliseconds(), 1)
}

// recordAttempt updates the result with the progress of the attempt and releases its
// server.
func (r *retryableRequest) recordAttempt(a *attempt, e ending) {
	now := time.Now()
	a.releaseServer(e, now)
	r.result.VM = a.choice.VM
	if a.offset > r.offset {
		// All tokens of an answer must come from the same version.
		r.version = a.version
		r.offset = a.offset
	}
	if r.offset > 0 || isCompleted(e) {
		r.result.Version, r.result.VersionName = a.version, a.versionName
	}
	if r.result.FirstToken == 0 && !a.firstTokenAt.IsZero() {
		r.result.FirstToken = a.firstTokenAt.Sub(r.req.Arrived)
	}
	r.result.Tokens = r.offset
}

func isCompleted(e ending) bool {
	_, ok := e.(completed)
	return ok
}

// handleFailure returns nil if the request may be retried after an attempt that did
// not complete, or the error that ends the request.
func (r *retryableRequest) handleFailure(ctx context.Context, a *attempt, e ending) *identifier.RequestError {
	switch e := e.(type) {
	case requestEnded:
		r.abandoned = append(r.abandoned, a)
		return requestEndedError(e.cause)
	case refused:
		return r.afterRefusal(a, e)
	case broken:
		r.started = true
		if e.GetBackendCrashed() {
			return r.afterCrash(ctx, a, e)
		}
	case neverSent:
		// No backend server received the attempt. A retry adds no load to them and
		// uses no retry budget.
		r.logRetry(a, "the backend server could not be reached")
		return nil
	case notPermitted:
		// Nothing was sent. The next choice follows the present configuration.
		r.logRetry(a, e.cause.Error())
		return nil
	case lost, superseded:
		r.abandoned = append(r.abandoned, a)
	}
	return r.retry(a, "attempt-failed", "the backend server failed")
}

// afterRefusal returns nil if the request may be retried after a refusal.
func (r *retryableRequest) afterRefusal(a *attempt, e refused) *identifier.RequestError {
	reason := e.GetReason()
	switch {
	case isPlannedChange(reason):
		r.logRetry(a, "planned change on the server")
		return nil
	case reason == messenger.RefuseReason_REFUSE_REASON_OVERLOADED:
		a.choice.Overloaded(time.Now())
		if r.loadRetries >= maxLoadRetries {
			return overloadError(time.Duration(e.GetRetryAfterMs()) * time.Millisecond)
		}
		r.loadRetries++
		if !r.Budget.Take(time.Now()) {
			return overloadError(time.Duration(e.GetRetryAfterMs()) * time.Millisecond)
		}
		r.logRetry(a, "refused because of load")
		return nil
	case reason == messenger.RefuseReason_REFUSE_REASON_DEADLINE:
		return requestEndedError(errDeadline)
	}
	return r.retry(a, "refused", "the backend server refused the request: "+e.GetDetail())
}

// retry returns nil if the retry budget allows another attempt.
func (r *retryableRequest) retry(a *attempt, code, message string) *identifier.RequestError {
	if r.offset > 0 && r.version == "" {
		return serverError(http.StatusBadGateway, "stream-broken", "the stream broke and the version that began it is not known")
	}
	if !r.Budget.Take(time.Now()) {
		r.Counters.add(r.Counters.retriesDenied)
		return serverError(http.StatusBadGateway, code, message+" and the retry budget is used up")
	}
	r.Counters.add(r.Counters.retries)
	if r.offset > 0 {
		r.Counters.add(r.Counters.resumes)
	}
	r.logRetry(a, message)
	return nil
}

func (r *retryableRequest) logRetry(a *attempt, reason string) {
	if r.Log == nil {
		return
	}
	logger.LogDecision(r.Log, logger.Decision{
		Kind: "retry", Subject: r.req.ID, Reason: reason,
	}, zap.String("failed", a.choice.VM), zap.Int("offset", r.offset), zap.String("version", r.version))
}

// noReplicaError reports that no server is left for another attempt.
func (r *retryableRequest) noReplicaError() *identifier.RequestError {
	if r.offset > 0 {
		return serverError(http.StatusBadGateway, "stream-broken",
			"the stream broke and no other replica of the same version can continue it")
	}
	if reason := r.Picker.Refusal(r.req.Target, r.regions(r.req), time.Now()); reason != "" {
		err := identifier.UnplaceableError(reason)
		err.Outcome = ""
		return err
	}
	message := "no replica of " + r.req.Target.Name() + " is ready"
	if r.result.Attempts > 0 {
		message = "the backend server failed and no other replica of " + r.req.Target.Name() + " is ready"
	}
	err := serverError(http.StatusServiceUnavailable, "no-replica", message)
	err.RetryAfter = time.Second
	return err
}

// failureResult sets the outcome of a failed request. It is not-run only if every
// attempt is known not to have started.
func (r *retryableRequest) failureResult(ctx context.Context, err *identifier.RequestError) Result {
	ran := r.started || r.offset > 0
	for _, a := range r.abandoned {
		state := a.cancel(ctx)
		ran = ran || state != messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED
	}
	if err.Outcome == "" {
		err.Outcome = identifier.OutcomeNotRun
	}
	if ran {
		err.Outcome = identifier.OutcomeUnknown
	}
	r.result.Outcome, r.result.Err = err.Outcome, err
	return r.result
}

// errDeadline is the cancellation cause of a request whose deadline has passed.
var errDeadline = errors.New("the deadline of the request has passed")
