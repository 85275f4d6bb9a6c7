package forwarder

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	neverStarted = messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED
	running      = messenger.AttemptState_ATTEMPT_STATE_RUNNING
	finished     = messenger.AttemptState_ATTEMPT_STATE_FINISHED
	forgotten    = messenger.AttemptState_ATTEMPT_STATE_FORGOTTEN
	overloaded   = messenger.RefuseReason_REFUSE_REASON_OVERLOADED
	brokenOff    = messenger.AttemptState_ATTEMPT_STATE_BROKEN
	keyUsed      = messenger.RefuseReason_REFUSE_REASON_CLAIM_KEY_USED
	keyMismatch  = messenger.RefuseReason_REFUSE_REASON_CLAIM_KEY_MISMATCH
	duplicate    = messenger.RefuseReason_REFUSE_REASON_DUPLICATE
	draining     = messenger.RefuseReason_REFUSE_REASON_DRAINING
)

func acceptedV1() *messenger.AttemptEvent { return accepted("v1") }
func firstTwo() *messenger.AttemptEvent   { return tokens(0, "a", "b") }
func refuseLoad() *messenger.AttemptEvent { return refusal(overloaded) }

// TestModelOutcome guards against a wrong outcome or a wrong answer for each way in
// which an attempt can fail.
func TestModelOutcome(t *testing.T) {
	cut := playEvents(acceptedV1, firstTwo)
	tests := []struct {
		name     string
		versions string
		agents   []*fakeAgent
		outcome  identifier.Outcome
		code     string
		text     string
		counter  string
	}{
		{name: "whole answer", agents: []*fakeAgent{{script: serveWords}}, outcome: "served", text: "abcd"},
		{name: "frozen agent that acknowledges the cancel", agents: []*fakeAgent{{script: blockUntilCanceled, cancelState: neverStarted}}, outcome: "not-run", code: "no-replica"},
		{name: "frozen agent that does not reply to the cancel", agents: []*fakeAgent{{script: blockUntilCanceled}}, outcome: "unknown", code: "no-replica"},
		{name: "frozen agent that had started", agents: []*fakeAgent{{script: blockUntilCanceled, cancelState: running}}, outcome: "unknown", code: "no-replica"},
		{name: "frozen agent, then a healthy one", agents: []*fakeAgent{{script: blockUntilCanceled}, {script: serveWords}}, outcome: "served", text: "abcd"},
		{name: "events of another request", outcome: "served", text: "abcd", counter: "attempt-events-crossed", agents: []*fakeAgent{{script: func(s *fakeStream, start *messenger.AttemptStart) error {
			s.send(withFirstAttemptID("other", accepted("v1")), withFirstAttemptID("other", tokens(0, "x", "y")), withFirstAttemptID("other", end(2, "v1")))
			return serveWords(s, start)
		}}}},
		{name: "events of an earlier attempt", outcome: "served", text: "abcd", counter: "attempt-events-abandoned", agents: []*fakeAgent{{script: blockUntilCanceled}, {script: func(s *fakeStream, start *messenger.AttemptStart) error {
			s.send(withFirstAttemptID("req", accepted("v0")), withFirstAttemptID("req", tokens(0, "x")), withFirstAttemptID("req", end(1, "v0")))
			return serveWords(s, start)
		}}}},
		{name: "broken stream is resumed", agents: []*fakeAgent{{script: cut}, {script: serveWords}}, outcome: "served", text: "abcd", counter: "resumes"},
		{name: "broken stream without another replica of the version", versions: "12", agents: []*fakeAgent{{script: cut}, {script: serveWords}}, outcome: "unknown", code: "stream-broken", text: "ab"},
		{name: "repeated tokens", outcome: "served", text: "abcd", counter: "attempt-faults", agents: []*fakeAgent{{script: playEvents(acceptedV1, firstTwo, firstTwo)}, {script: serveWords}}},
		{name: "missing tokens", outcome: "served", text: "abcd", counter: "attempt-faults", agents: []*fakeAgent{{script: playEvents(acceptedV1, func() *messenger.AttemptEvent { return tokens(1, "b") })}, {script: serveWords}}},
		{name: "end with too few tokens", outcome: "served", text: "abcd", counter: "attempt-faults", agents: []*fakeAgent{{script: playEvents(acceptedV1, firstTwo, func() *messenger.AttemptEvent { return end(4, "v1") })}, {script: serveWords}}},
		{name: "end with another version", outcome: "unknown", code: "stream-broken", text: "ab", agents: []*fakeAgent{{script: playEvents(acceptedV1, firstTwo, func() *messenger.AttemptEvent { return end(2, "v2") })}}},
		{name: "resumed by an agent that has switched versions", outcome: "unknown", code: "stream-broken", text: "ab", agents: []*fakeAgent{{script: cut}, {script: playEvents(event(accepted, "v2"), func() *messenger.AttemptEvent { return tokens(2, "x", "y") })}}},
		{name: "tokens before the attempt is accepted", outcome: "served", text: "abcd", counter: "attempt-faults", agents: []*fakeAgent{{script: playEvents(firstTwo)}, {script: serveWords}}},
		{name: "duplicate of an attempt that may run", outcome: "unknown", code: "no-replica", agents: []*fakeAgent{{script: playEvents(func() *messenger.AttemptEvent { return refusal(duplicate) }), cancelState: running}}},
		{name: "one refusal for load", agents: []*fakeAgent{{script: playEvents(refuseLoad)}, {script: serveWords}}, outcome: "served", text: "abcd"},
		{name: "two refusals for load", agents: []*fakeAgent{{script: playEvents(refuseLoad)}, {script: playEvents(refuseLoad)}, {script: serveWords}}, outcome: "not-run", code: "overloaded"},
		{name: "refused after it was accepted", agents: []*fakeAgent{{script: playEvents(acceptedV1, refuseLoad), cancelState: running}}, outcome: "unknown", code: "no-replica", counter: "attempt-faults"},
		{name: "refused after tokens", agents: []*fakeAgent{{script: playEvents(acceptedV1, firstTwo, refuseLoad), cancelState: running}, {script: serveWords}}, outcome: "served", text: "abcd", counter: "attempt-faults"},
		{name: "three draining servers", agents: []*fakeAgent{{script: playEvents(func() *messenger.AttemptEvent { return refusal(draining) })}, {script: playEvents(func() *messenger.AttemptEvent { return refusal(draining) })}, {script: serveWords}}, outcome: "served", text: "abcd"},
		{name: "one crash", agents: []*fakeAgent{{script: playEvents(acceptedV1, func() *messenger.AttemptEvent { return crash("f1") })}, {script: serveWords}}, outcome: "served", text: "abcd"},
		{name: "two crashes", agents: []*fakeAgent{{script: playEvents(acceptedV1, event(func(f string) *messenger.AttemptEvent { return crash(f) }, "f1"))}, {script: playEvents(acceptedV1, event(func(f string) *messenger.AttemptEvent { return crash(f) }, "f1"))}, {script: serveWords}}, outcome: "unknown", code: "request-blocked"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				r := newFixture(t, tt.versions, tt.agents...)
				var got sink
				res := r.Run(t.Context(), modelRequest(), &got)
				code := ""
				if res.Err != nil {
					code = res.Err.Code
				}
				c.Check(res.Outcome, qt.Equals, tt.outcome)
				c.Check(code, qt.Equals, tt.code)
				c.Check(got.text, qt.Equals, tt.text)
				if tt.counter != "" {
					c.Check(r.counts[tt.counter].Value() > 0, qt.IsTrue)
				}
				for _, s := range r.Picker.Servers(identifier.Target{Model: "m"}) {
					c.Check(s.InFlight(), qt.Equals, 0)
				}
			})
		})
	}
}

// TestResumeAtExactOffset guards against a resumed stream that repeats or skips
// tokens, or that continues with another version or seed.
func TestResumeAtExactOffset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		second := &fakeAgent{script: serveWords}
		r := newFixture(t, "", &fakeAgent{script: playEvents(acceptedV1, firstTwo)}, second)
		r.Run(t.Context(), modelRequest(), &sink{})
		call := second.starts[0].GetModel()
		c.Assert(call.GetResumeOffset(), qt.Equals, uint32(2))
		c.Assert(call.GetVersion(), qt.Equals, "v1")
		c.Assert(call.GetSeed(), qt.Equals, int64(7))
	})
}

// TestTrialRunAfterCrash guards against running a suspect request concurrently with
// others, and against a third backend server that the request crashes.
func TestTrialRunAfterCrash(t *testing.T) {
	crashing := func(s *fakeStream, _ *messenger.AttemptStart) error {
		s.send(accepted("v1"), crash("f1"))
		return nil
	}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second, third := &fakeAgent{script: crashing}, &fakeAgent{script: crashing}, &fakeAgent{script: serveWords}
		r := newFixture(t, "", first, second, third)
		r.Run(t.Context(), modelRequest(), &sink{})
		c.Assert(first.starts[0].GetAlone(), qt.IsFalse)
		c.Assert(second.starts[0].GetAlone(), qt.IsTrue)

		res := r.Run(t.Context(), modelRequest(), &sink{})
		c.Assert(third.starts, qt.HasLen, 0)
		c.Assert(res.Err.Status, qt.Equals, 422)
		c.Assert(res.Outcome, qt.Equals, identifier.OutcomeNotRun)
	})
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		second := &fakeAgent{script: serveWords}
		r := newFixture(t, "", &fakeAgent{script: crashing}, second)
		r.isolation.down = true
		res := r.Run(t.Context(), modelRequest(), &sink{})
		c.Assert(res.Outcome, qt.Equals, identifier.OutcomeUnknown)
		c.Assert(second.starts, qt.HasLen, 0, qt.Commentf("run again although the crash was not recorded"))
	})
}

// TestCallerDisconnects guards against retries for a caller that has disconnected, and
// against an attempt that is not canceled then.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		agent := &fakeAgent{script: blockUntilCanceled, cancelState: running}
		r := newFixture(t, "", agent, &fakeAgent{script: serveWords})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		res := r.Run(ctx, modelRequest(), &sink{})
		c.Assert(res.Err.Code, qt.Equals, "caller-gone")
		c.Assert(agent.cancels, qt.Equals, 1)
		c.Assert(res.Attempts, qt.Equals, 1)
	})
}

// TestAgentEndsAttemptAtDeadline guards against a retry of an attempt that the agent
// ended at the deadline, which must not count as a server failure.
func TestAgentEndsAttemptAtDeadline(t *testing.T) {
	breaks := func(s *fakeStream) error {
		s.send(&messenger.AttemptEvent{Event: &messenger.AttemptEvent_Broken{Broken: &messenger.AttemptBroken{Detail: "the deadline passed"}}})
		return nil
	}
	ends := func(*fakeStream) error { return status.Error(codes.DeadlineExceeded, "the deadline passed") }
	tests := []struct {
		name   string
		remain time.Duration
		finish func(*fakeStream) error
	}{
		{"not a whole number of milliseconds remains", 5*time.Second + 500*time.Microsecond, breaks},
		{"event at the same time", 5 * time.Second, breaks},
		{"end of the stream at the same time", 5 * time.Second, ends},
	}
	// The order of simultaneous events varies between runs.
	const runs = 30
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for range runs {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					untilDeadline := func(s *fakeStream, start *messenger.AttemptStart) error {
						s.send(accepted("v1"), firstTwo())
						time.Sleep(time.Duration(start.GetRemainingMs()) * time.Millisecond)
						return tt.finish(s)
					}
					second := &fakeAgent{script: serveWords}
					r := newFixture(t, "", &fakeAgent{script: untilDeadline, cancelState: running}, second)
					req := modelRequest()
					req.Deadline = time.Now().Add(tt.remain)
					res := r.Run(t.Context(), req, &sink{})
					time.Sleep(time.Second)
					c.Assert(res.Outcome, qt.Equals, identifier.OutcomeUnknown)
					c.Assert(res.Err.Code, qt.Equals, "deadline-exceeded")
					c.Assert(second.starts, qt.HasLen, 0)
				})
			}
		})
	}
}

// TestRetryBudget guards against retries that multiply the load when half of the
// replicas fail.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 2000
		failing := func(s *fakeStream, _ *messenger.AttemptStart) error { return errConnectionLost }
		r := newFixture(t, "", &fakeAgent{script: failing, cancelState: neverStarted}, &fakeAgent{script: failing, cancelState: neverStarted}, &fakeAgent{script: serveWords}, &fakeAgent{script: serveWords})
		attempts := 0
		for range requests {
			attempts += r.Run(t.Context(), modelRequest(), &sink{}).Attempts
		}
		qt.Assert(t, attempts-requests <= requests/10+budgeter.DefaultBurst, qt.IsTrue, qt.Commentf("%d retries", attempts-requests))
	})
}

// TestUnreachableServerSparesRetryBudget guards against an unreachable agent that uses
// up the retry budget, so that requests are refused although other agents could serve
// them.
func TestUnreachableServerSparesRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, "", &fakeAgent{unreachable: true}, &fakeAgent{script: serveWords})
		for range 200 {
			res := r.Run(t.Context(), modelRequest(), &sink{})
			qt.Assert(t, res.Err == nil, qt.IsTrue, qt.Commentf("%v", res.Err))
			qt.Assert(t, res.Attempts <= 2, qt.IsTrue)
		}
	})
}

// runningThen returns a status function that reports an attempt as running n times
// and then in the state last.
func runningThen(n int, last messenger.AttemptState) func() (*messenger.AttemptStatusReply, error) {
	return func() (*messenger.AttemptStatusReply, error) {
		if n--; n >= 0 {
			return &messenger.AttemptStatusReply{State: running}, nil
		}
		return &messenger.AttemptStatusReply{State: last}, nil
	}
}

// refuseOnce refuses the first start and serves the following ones.
func refuseOnce(reason messenger.RefuseReason) func(*fakeStream, *messenger.AttemptStart) error {
	refused := false
	return func(s *fakeStream, start *messenger.AttemptStart) error {
		if refused {
			return serveStored(s, start)
		}
		refused = true
		s.send(refusal(reason))
		return nil
	}
}

// TestServiceOutcome guards against running a non-idempotent call twice, and against
// a wrong outcome of such a call.
func TestServiceOutcome(t *testing.T) {
	claim := func(s messenger.ClaimState) *messenger.ClaimReply {
		return &messenger.ClaimReply{State: s, AgentAddress: "vm1", Attempt: &messenger.AttemptId{RequestId: "earlier", Number: 1}}
	}
	granted := claim(messenger.ClaimState_CLAIM_STATE_GRANTED)
	inProgress := claim(messenger.ClaimState_CLAIM_STATE_IN_PROGRESS)
	done := claim(messenger.ClaimState_CLAIM_STATE_DONE)
	done.Outcome, done.Answer = "served", answer("recorded").GetAnswer()
	state := func(s messenger.AttemptState, body string) func() (*messenger.AttemptStatusReply, error) {
		return func() (*messenger.AttemptStatusReply, error) {
			return &messenger.AttemptStatusReply{State: s, Answer: answer(body).GetAnswer()}, nil
		}
	}
	tests := []struct {
		name    string
		key     string
		first   *fakeAgent
		second  *fakeAgent
		claims  []*messenger.ClaimReply
		err     error
		outcome identifier.Outcome
		code    string
		body    string
		starts  int
		// recorded lists the outcomes recorded in the claim, separated by spaces.
		recorded string
	}{
		{name: "without a key", first: &fakeAgent{script: serveStored}, outcome: "served", body: "stored", starts: 1},
		{name: "with a key", key: "k", first: &fakeAgent{script: serveStored}, outcome: "served", body: "stored", starts: 1, recorded: "served"},
		{name: "key of a completed call", key: "k", claims: []*messenger.ClaimReply{done}, outcome: "served", body: "recorded"},
		{name: "key reused with another body", key: "k", claims: []*messenger.ClaimReply{claim(messenger.ClaimState_CLAIM_STATE_MISMATCH)}, outcome: "not-run", code: "idempotency-key-reused"},
		{name: "claims unavailable", key: "k", claims: []*messenger.ClaimReply{claim(messenger.ClaimState_CLAIM_STATE_UNAVAILABLE)}, outcome: "not-run", code: "claims-unavailable"},
		{name: "claim with unknown outcome", key: "k", claims: []*messenger.ClaimReply{claim(messenger.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME)}, outcome: "not-run", code: "claim-unknown"},
		{name: "connection lost during the claim", key: "k", err: errConnectionLost, outcome: "not-run", code: "claim-unknown"},
		{name: "claim holder finished", key: "k", claims: []*messenger.ClaimReply{inProgress}, second: &fakeAgent{script: serveStored, state: state(finished, "held")}, outcome: "served", body: "held", recorded: "served"},
		{name: "claim holder unreachable", key: "k", claims: []*messenger.ClaimReply{inProgress}, outcome: "unknown", code: "outcome-unknown"},
		{name: "claim holder has no record of the attempt", key: "k", claims: []*messenger.ClaimReply{inProgress}, second: &fakeAgent{script: serveStored, state: state(forgotten, "")}, outcome: "unknown", code: "outcome-unknown"},
		{name: "claim holder still running at the deadline", key: "k", claims: []*messenger.ClaimReply{inProgress}, second: &fakeAgent{script: serveStored, state: state(running, "")}, outcome: "unknown", code: "outcome-unknown"},
		{name: "claim holder never started", key: "k", claims: []*messenger.ClaimReply{inProgress, granted}, second: &fakeAgent{script: serveStored, state: state(neverStarted, "")}, first: &fakeAgent{script: serveStored}, outcome: "served", body: "stored", starts: 1, recorded: "not-run served"},
		{name: "claim holder reported as running ten times, then as never started", key: "k", claims: append(slices.Repeat([]*messenger.ClaimReply{inProgress}, 11), granted), second: &fakeAgent{script: serveStored, state: runningThen(10, neverStarted)}, first: &fakeAgent{script: serveStored}, outcome: "served", body: "stored", starts: 1, recorded: "not-run served"},
		{name: "reservation expired before the start", key: "k", first: &fakeAgent{script: refuseOnce(messenger.RefuseReason_REFUSE_REASON_RESERVATION_EXPIRED)}, second: &fakeAgent{refusal: &messenger.AttemptRefused{Reason: overloaded}}, outcome: "served", body: "stored", starts: 2, recorded: "not-run served"},
		{name: "frozen agent that never started the call", key: "k", first: &fakeAgent{script: blockUntilCanceled, cancelState: neverStarted}, outcome: "not-run", code: "not-started", starts: 1, recorded: "not-run"},
		{name: "frozen agent that does not reply to the cancel", key: "k", first: &fakeAgent{script: blockUntilCanceled}, outcome: "unknown", code: "outcome-unknown", starts: 1},
		{name: "broken stream of a finished call", key: "k", first: &fakeAgent{script: playEvents(acceptedV1), state: state(finished, "late")}, outcome: "served", body: "late", starts: 1, recorded: "served"},
		{name: "broken stream of a call without a key", first: &fakeAgent{script: playEvents(acceptedV1), state: state(forgotten, ""), cancelState: forgotten}, outcome: "unknown", code: "outcome-unknown", starts: 1},
		{name: "duplicate start of a finished call", first: &fakeAgent{script: playEvents(func() *messenger.AttemptEvent { return refusal(duplicate) }), state: state(finished, "late")}, outcome: "served", body: "late", starts: 1},
		{name: "key used at the agent by a call without a claim", key: "k", first: &fakeAgent{script: playEvents(func() *messenger.AttemptEvent { return refusal(keyUsed) }), state: state(finished, "earlier")}, outcome: "served", body: "earlier", starts: 1, recorded: "served"},
		{name: "key used at the agent by a call that runs, whose answer is not kept", key: "k", first: &fakeAgent{script: playEvents(func() *messenger.AttemptEvent { return refusal(keyUsed) }), state: runningThen(10, finished)}, outcome: "unknown", code: "outcome-unknown", starts: 1},
		{name: "key used at the agent by a broken call", key: "k", first: &fakeAgent{script: playEvents(func() *messenger.AttemptEvent { return refusal(keyUsed) }), state: state(brokenOff, "")}, outcome: "unknown", code: "outcome-unknown", starts: 1, recorded: "unknown"},
		{name: "key used at the agent with another body", key: "k", first: &fakeAgent{script: playEvents(func() *messenger.AttemptEvent { return refusal(keyMismatch) })}, outcome: "not-run", code: "idempotency-key-reused", starts: 1, recorded: "unknown"},
		{name: "no reservation on the first server", first: &fakeAgent{refusal: &messenger.AttemptRefused{Reason: overloaded}}, outcome: "served", body: "stored", starts: 1},
		{name: "draining between reservation and start", key: "k", first: &fakeAgent{script: playEvents(func() *messenger.AttemptEvent { return refusal(draining) })}, outcome: "served", body: "stored", starts: 2, recorded: "not-run served"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				first, second := tt.first, tt.second
				if first == nil {
					first = &fakeAgent{script: serveStored, cancelState: neverStarted}
				}
				if second == nil {
					second = &fakeAgent{script: serveStored}
				}
				r := newFixture(t, "", first, second)
				r.claims.replies, r.claims.err = tt.claims, tt.err
				res := r.Run(t.Context(), orderRequest(tt.key), &sink{})
				code, recorded := "", ""
				if res.Err != nil {
					code = res.Err.Code
				}
				for _, done := range r.claims.completed {
					recorded += fmt.Sprintf(" %s", done.GetOutcome())
				}
				c.Check(res.Outcome, qt.Equals, tt.outcome)
				c.Check(code, qt.Equals, tt.code)
				c.Check(string(res.Answer.GetBody()), qt.Equals, tt.body)
				c.Check(len(first.starts)+len(second.starts), qt.Equals, tt.starts)
				want := ""
				if tt.recorded != "" {
					want = " " + tt.recorded
				}
				c.Check(recorded, qt.Equals, want)
			})
		})
	}
}
