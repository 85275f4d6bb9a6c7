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

// repeatable is the state of a request that may be run again: a model request
// or an idempotent service call.
type repeatable struct {
	*Forwarder
	req    *identifier.Request
	sink   Sink
	result Result

	offset  int
	version string
	tried   []*picker.Server
	// abandoned are attempts that may have started and did not complete.
	abandoned []*attempt
	// started is set once an agent showed that it began to run the request.
	started     bool
	loadRetries int
	trial       *trial
}

// run runs the request until it is served or its failure is final.
func (m *repeatable) run(ctx context.Context, suspected bool) Result {
	ctx, cancel := context.WithDeadlineCause(ctx, m.req.Deadline, errDeadline)
	defer cancel()
	m.Budget.AddFirstAttempt(time.Now())
	var err *identifier.RequestError
	if suspected {
		m.trial, err = m.askTrial(ctx, m.req)
	}
	if err == nil {
		err = m.attempts(ctx)
	}
	if m.trial != nil {
		m.closeTrial(ctx, m.req, m.trial, err == nil)
	}
	if err != nil {
		return m.failed(ctx, err)
	}
	m.result.Outcome = identifier.OutcomeServed
	return m.result
}

func (m *repeatable) attempts(ctx context.Context) *identifier.RequestError {
	for {
		a, e := m.try(ctx)
		if a == nil {
			return m.noReplica()
		}
		switch e := e.(type) {
		case completed:
			m.result.FinishReason = e.GetFinishReason()
			m.result.PromptTokens = int(e.GetPromptTokens())
			return nil
		case answered:
			m.result.Answer = e.ServiceAnswer
			return nil
		}
		if err := m.next(ctx, a, e); err != nil {
			return err
		}
		if m.result.Attempts >= maxAttempts {
			err := serverError(http.StatusServiceUnavailable, "attempts-failed", "every attempt failed")
			err.RetryAfter = time.Second
			return err
		}
	}
}

// try runs one attempt on a newly picked server.
func (m *repeatable) try(ctx context.Context) (*attempt, ending) {
	q := picker.Query{
		Subject: m.req.ID, Target: m.req.Target, PrefixHash: m.req.PrefixHash,
		Version: m.version, Exclude: m.tried,
	}
	choice, ok := m.Picker.Pick(&q, time.Now())
	if !ok {
		return nil, nil
	}
	m.result.Attempts++
	m.result.VM = choice.VM
	a := &attempt{
		Forwarder: m.Forwarder, req: m.req, choice: choice, incarnation: choice.Incarnation, sink: m.sink,
		id:     &messenger.AttemptId{RequestId: m.req.ID, Number: uint32(m.result.Attempts)},
		offset: m.offset, version: m.version,
	}
	e := a.run(ctx, m.start(a))
	m.settle(a, e)
	return a, e
}

func (m *repeatable) start(a *attempt) *messenger.AttemptStart {
	start := startOf(m.req, a)
	start.Alone = m.trial != nil
	switch call := m.req.Call.(type) {
	case *identifier.Completion:
		start.Call = &messenger.AttemptStart_Model{Model: m.modelCall(call)}
	case *identifier.ServiceCall:
		start.Call = &messenger.AttemptStart_Service{Service: serviceCall(m.req, call)}
	}
	return start
}

func (m *repeatable) modelCall(call *identifier.Completion) *messenger.ModelCall {
	return &messenger.ModelCall{
		Model:        m.req.Target.Model,
		Version:      m.version,
		Adapter:      m.req.Target.Adapter,
		Prompt:       call.Prompt,
		MaxTokens:    uint32(call.MaxTokens),
		ResumeOffset: uint32(m.offset),
		Temperature:  call.Temperature,
		Stop:         call.Stop,
		Seed:         call.Seed,
		Request:      call.Body,
	}
}

func startOf(req *identifier.Request, a *attempt) *messenger.AttemptStart {
	return &messenger.AttemptStart{
		Id:          a.id,
		Incarnation: a.incarnation,
		Team:        req.Team.Name,
		Priority:    req.Priority,
		RemainingMs: remainingMillis(req.Deadline, time.Now()),
		Fingerprint: req.Fingerprint,
	}
}

// remainingMillis rounds up, so that the agent does not end an attempt before
// the deadline: that would look like a failure of the server and be retried.
func remainingMillis(deadline, now time.Time) int64 {
	return max((deadline.Sub(now) + time.Millisecond - 1).Milliseconds(), 1)
}

// settle takes over what the attempt brought and gives its place back.
func (m *repeatable) settle(a *attempt, e ending) {
	now := time.Now()
	a.giveBack(e, now)
	if a.offset > m.offset {
		// Tokens of two versions must not be mixed in one answer.
		m.version = a.version
		m.offset = a.offset
	}
	if m.offset > 0 || isCompleted(e) {
		m.result.Version, m.result.VersionName = a.version, a.versionName
	}
	if m.result.FirstToken == 0 && !a.firstToken.IsZero() {
		m.result.FirstToken = a.firstToken.Sub(m.req.Arrived)
	}
	m.result.Tokens = m.offset
	m.tried = append(m.tried, a.choice.Server)
}

func isCompleted(e ending) bool {
	_, ok := e.(completed)
	return ok
}

// next decides what follows an attempt that did not complete: nil for another
// attempt, else the error that ends the request.
func (m *repeatable) next(ctx context.Context, a *attempt, e ending) *identifier.RequestError {
	switch e := e.(type) {
	case unwanted:
		m.abandoned = append(m.abandoned, a)
		return unwantedError(e.cause)
	case refused:
		return m.afterRefusal(a, e)
	case broken:
		m.started = true
		if e.GetBackendCrashed() {
			return m.afterCrash(ctx, a, e)
		}
	case neverSent:
		// No backend server has seen the attempt, so that another one adds no
		// load and costs no retry budget.
		m.decide(a, "the backend server could not be reached")
		return nil
	case lost:
		m.abandoned = append(m.abandoned, a)
	}
	return m.retry(a, "attempt-failed", "the backend server failed")
}

func (m *repeatable) afterRefusal(a *attempt, e refused) *identifier.RequestError {
	reason := e.GetReason()
	switch {
	case planned(reason):
		m.decide(a, "planned change on the server")
		return nil
	case reason == messenger.RefuseReason_REFUSE_REASON_OVERLOADED:
		a.choice.Overloaded(time.Now())
		if m.loadRetries >= maxLoadRetries {
			return overloadError(time.Duration(e.GetRetryAfterMs()) * time.Millisecond)
		}
		m.loadRetries++
		if !m.Budget.Take(time.Now()) {
			return overloadError(time.Duration(e.GetRetryAfterMs()) * time.Millisecond)
		}
		m.decide(a, "refused for load")
		return nil
	case reason == messenger.RefuseReason_REFUSE_REASON_DEADLINE:
		return unwantedError(errDeadline)
	}
	return m.retry(a, "refused", "the backend server refused the request: "+e.GetDetail())
}

// retry returns nil when the budget allows another attempt.
func (m *repeatable) retry(a *attempt, code, message string) *identifier.RequestError {
	if m.offset > 0 && m.version == "" {
		return serverError(http.StatusBadGateway, "stream-broken", "the stream broke and the version that began it is not known")
	}
	if !m.Budget.Take(time.Now()) {
		m.Counters.add(m.Counters.retriesDenied)
		return serverError(http.StatusBadGateway, code, message+" and the retry budget is used up")
	}
	m.Counters.add(m.Counters.retries)
	if m.offset > 0 {
		m.Counters.add(m.Counters.resumes)
	}
	m.decide(a, message)
	return nil
}

func (m *repeatable) decide(a *attempt, reason string) {
	if m.Log == nil {
		return
	}
	logger.LogDecision(m.Log, logger.Decision{
		Kind: "retry", Subject: m.req.ID, Reason: reason,
	}, zap.String("failed", a.choice.VM), zap.Int("offset", m.offset), zap.String("version", m.version))
}

func (m *repeatable) noReplica() *identifier.RequestError {
	if m.offset > 0 {
		return serverError(http.StatusBadGateway, "stream-broken",
			"the stream broke and no other replica of the same version can continue it")
	}
	message := "no replica of " + m.req.Target.Name() + " is ready"
	if m.result.Attempts > 0 {
		message = "the backend server failed and no other replica of " + m.req.Target.Name() + " is ready"
	}
	err := serverError(http.StatusServiceUnavailable, "no-replica", message)
	err.RetryAfter = time.Second
	return err
}

// failed settles the outcome: not-run only when every attempt is known never
// to have started.
func (m *repeatable) failed(ctx context.Context, err *identifier.RequestError) Result {
	ran := m.started || m.offset > 0
	for _, a := range m.abandoned {
		state := a.cancel(ctx)
		ran = ran || state != messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED
	}
	if err.Outcome == "" {
		err.Outcome = identifier.OutcomeNotRun
	}
	if ran {
		err.Outcome = identifier.OutcomeUnknown
	}
	m.result.Outcome, m.result.Err = err.Outcome, err
	return m.result
}

var errDeadline = errors.New("the deadline of the request has passed")
