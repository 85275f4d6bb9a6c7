package forwarder

import (
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

type script = func(*fakeStream, *messenger.AttemptStart) error

// after runs a script after a pause of the agent.
func after(pause time.Duration, then script) script {
	return func(s *fakeStream, start *messenger.AttemptStart) error {
		select {
		case <-time.After(pause):
			return then(s, start)
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
}

// pausesWithin answers with two words, a pause and the other words.
func pausesWithin(pause time.Duration) script {
	return func(s *fakeStream, start *messenger.AttemptStart) error {
		s.send(accepted("v1"), firstTwo())
		return after(pause, func(s *fakeStream, _ *messenger.AttemptStart) error {
			s.send(tokens(2, words[2:]...), end(len(words), "v1"))
			return nil
		})(s, start)
	}
}

func crashes(s *fakeStream, _ *messenger.AttemptStart) error {
	s.send(accepted("v1"), crash("f1"))
	return nil
}

func refuses(s *fakeStream, _ *messenger.AttemptStart) error {
	s.send(refuseLoad())
	return nil
}

// TestSilentAgentEndsRequest guards against a request that ends, or is answered late, because
// an agent or its engine pauses: no other replica may have a place, or respond earlier.
func TestSilentAgentEndsRequest(t *testing.T) {
	const ms, second = time.Millisecond, time.Second
	// A start that waited in the agent's queue before the pause.
	queued := func(pause time.Duration) script { return after(600*ms+pause, serveWords) }
	agents := func(scripts ...script) []script { return scripts }
	tests := []struct {
		name     string
		scripts  []script
		noBudget bool
		starts   []int
		took     time.Duration
		crashes  int
	}{
		{name: "1.1 s within a stream", scripts: agents(pausesWithin(1100 * ms)), starts: []int{1}, took: 1100 * ms},
		{name: "1.9 s within a stream, another replica", scripts: agents(pausesWithin(1900*ms), serveWords), starts: []int{1, 0}, took: 1900 * ms},
		{name: "12 s within a stream, no other replica", scripts: agents(pausesWithin(12 * second)), starts: []int{1}, took: 12 * second},
		{name: "12 s within a stream, another goes on", scripts: agents(pausesWithin(12*second), serveWords), starts: []int{1, 1}, took: 10 * second},
		{name: "12 s within a stream, another is later", scripts: agents(pausesWithin(12*second), after(3*second, serveWords)), starts: []int{1, 1}, took: 12 * second},
		{name: "1.1 s before a stream", scripts: agents(after(1100*ms, serveWords)), starts: []int{1}, took: 1100 * ms},
		{name: "1.9 s before a stream, another replica", scripts: agents(after(1900*ms, serveWords), serveWords), starts: []int{1, 0}, took: 1900 * ms},
		{name: "1.5 s after the queue, no other replica", scripts: agents(queued(1500 * ms)), starts: []int{1}, took: 2100 * ms},
		{name: "1.9 s after the queue, no other replica", scripts: agents(queued(1900 * ms)), starts: []int{1}, took: 2500 * ms},
		{name: "1.9 s after the queue, no retry allowed", scripts: agents(queued(1900*ms), serveWords), noBudget: true, starts: []int{1, 0}, took: 2500 * ms},
		{name: "1.9 s after the queue, another refuses", scripts: agents(queued(1900*ms), refuses), starts: []int{1, 1}, took: 2500 * ms},
		{name: "1.9 s after the queue, another is lost", scripts: agents(queued(1900*ms), playEvents()), starts: []int{1, 1}, took: 2500 * ms},
		{name: "1.9 s after the queue, another is earlier", scripts: agents(queued(1900*ms), after(100*ms, serveWords)), starts: []int{1, 1}, took: 2100 * ms},
		{name: "1.9 s after the queue, another is later", scripts: agents(queued(1900*ms), after(second, serveWords)), starts: []int{1, 1}, took: 2500 * ms},
		{name: "1.9 s after the queue, another crashes", scripts: agents(queued(1900*ms), crashes), starts: []int{1, 1}, took: 2500 * ms, crashes: 1},
		{name: "another crashes, then lost", scripts: agents(after(3*second, playEvents()), crashes, serveWords), starts: []int{1, 1, 1}, took: 3 * second, crashes: 1},
		{name: "crashes while another is asked", scripts: agents(after(2500*ms, crashes), after(second, serveWords), serveWords), starts: []int{1, 1, 1}, took: 2500 * ms, crashes: 1},
		{name: "two others crash", scripts: agents(after(5500*ms, serveWords), after(2500*ms, crashes), after(600*ms, crashes)), starts: []int{1, 1, 1}, took: 5500 * ms, crashes: 2},
		{name: "lost while another is asked", scripts: agents(after(2500*ms, playEvents()), after(second, serveWords)), starts: []int{1, 1}, took: 3 * second},
		{name: "refused while another is asked", scripts: agents(after(2500*ms, refuses), after(second, serveWords)), starts: []int{1, 1}, took: 3 * second},
		{name: "two frozen, a third is asked", scripts: agents(blockUntilCanceled, blockUntilCanceled, serveWords), starts: []int{1, 1, 1}, took: 4 * second},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var all []*fakeAgent
				for _, s := range tc.scripts {
					all = append(all, &fakeAgent{script: s, cancelState: running})
				}
				r := newFixture(t, "", all...)
				if tc.noBudget {
					r.Budget = &budgeter.Budget{}
				}
				begin := time.Now()
				var got sink
				res := r.Run(t.Context(), modelRequest(), &got)
				c.Check(res.Outcome, qt.Equals, identifier.OutcomeServed, qt.Commentf("%v", res.Err))
				c.Check(got.text, qt.Equals, "abcd")
				c.Check(time.Since(begin), qt.Equals, tc.took)
				c.Check(r.isolation.crashes, qt.Equals, tc.crashes)
				for i, a := range all {
					c.Check(a.starts, qt.HasLen, tc.starts[i], qt.Commentf("agent %d", i))
				}
				for _, s := range r.Picker.Servers(identifier.Target{Model: "m"}) {
					c.Check(s.InFlight(), qt.Equals, 0)
				}
			})
		})
	}
}

// TestCrashBesideSilentAttemptIsHidden guards against a third backend server that a request
// crashes because the crash of an attempt beside a silent one was not reported.
func TestCrashBesideSilentAttemptIsHidden(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		third := &fakeAgent{script: serveWords}
		r := newFixture(t, "", &fakeAgent{script: after(3*time.Second, crashes), cancelState: running}, &fakeAgent{script: crashes}, third)
		res := r.Run(t.Context(), modelRequest(), &sink{})
		c.Assert(res.Err.Code, qt.Equals, "request-blocked")
		c.Assert(res.Outcome, qt.Equals, identifier.OutcomeUnknown)
		c.Assert(r.isolation.crashes, qt.Equals, 2)
		c.Assert(third.starts, qt.HasLen, 0)
	})
}

// TestCrashReportedLate guards against a crash beside a silent attempt that is reported only at
// the end of an answer that goes on for long.
func TestCrashReportedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		// The first agent responds after 2.5 s and goes on for 4 s; the other one crashes at 2 s.
		first := after(2500*time.Millisecond, pausesWithin(4*time.Second))
		r := newFixture(t, "", &fakeAgent{script: first, cancelState: running}, &fakeAgent{script: crashes})
		time.AfterFunc(2100*time.Millisecond, func() { c.Check(r.isolation.count(), qt.Equals, 1) })
		res := r.Run(t.Context(), modelRequest(), &sink{})
		c.Check(res.Outcome, qt.Equals, identifier.OutcomeServed)
		c.Check(r.isolation.count(), qt.Equals, 1)
	})
}

// TestSilenceHidesStartedRequest guards against not-run for a request that an agent started
// although another one, asked beside it, refused.
func TestSilenceHidesStartedRequest(t *testing.T) {
	for _, tc := range []struct {
		state   messenger.AttemptState
		outcome identifier.Outcome
	}{{running, identifier.OutcomeUnknown}, {0, identifier.OutcomeUnknown}, {neverStarted, identifier.OutcomeNotRun}} {
		synctest.Test(t, func(t *testing.T) {
			r := newFixture(t, "", &fakeAgent{script: blockUntilCanceled, cancelState: tc.state}, &fakeAgent{script: refuses})
			res := r.Run(t.Context(), modelRequest(), &sink{})
			qt.Check(t, res.Outcome, qt.Equals, tc.outcome)
		})
	}
}

// statusAfter returns a status function of an agent that does not answer for a time from its
// first query on, and then reports the state.
func statusAfter(pause time.Duration, state messenger.AttemptState) func() (*messenger.AttemptStatusReply, error) {
	var until time.Time
	return func() (*messenger.AttemptStatusReply, error) {
		if until.IsZero() {
			until = time.Now().Add(pause)
		}
		if left := time.Until(until); left > DefaultCancelTimeout {
			time.Sleep(DefaultCancelTimeout)
			return nil, status.Error(codes.DeadlineExceeded, "context deadline exceeded")
		} else if left > 0 {
			time.Sleep(left)
		}
		return &messenger.AttemptStatusReply{State: state, Answer: answer("late").GetAnswer()}, nil
	}
}

// TestPauseHidesOutcome guards against an unknown outcome of a call that may run only once,
// or a second run of it, because its agent pauses when it is asked what became of it.
func TestPauseHidesOutcome(t *testing.T) {
	const ms = time.Millisecond
	inProgress := &messenger.ClaimReply{
		State: messenger.ClaimState_CLAIM_STATE_IN_PROGRESS, AgentAddress: "vm1", Attempt: &messenger.AttemptId{RequestId: "earlier", Number: 1},
	}
	granted := &messenger.ClaimReply{State: messenger.ClaimState_CLAIM_STATE_GRANTED}
	frozen := func() (*messenger.AttemptStatusReply, error) { return statusAfter(time.Hour, running)() }
	lostStream := playEvents(acceptedV1)
	for _, pause := range []time.Duration{0, 1100 * ms, 1500 * ms, 1900 * ms} {
		tests := []struct {
			name          string
			first, second *fakeAgent
			claims        []*messenger.ClaimReply
			outcome       identifier.Outcome
			body          string
			starts        int
		}{
			{
				name: "pause before the start", outcome: "served", body: "stored", starts: 1,
				first: &fakeAgent{script: after(pause, serveStored)}, second: &fakeAgent{script: serveStored},
			},
			{
				name: "pause longer than the start timeout", outcome: "served", body: "late", starts: 1,
				first: &fakeAgent{script: after(2100*ms+pause, serveStored), state: statusAfter(pause, finished)}, second: &fakeAgent{script: serveStored},
			},
			{
				name: "stream lost, call finished", outcome: "served", body: "late", starts: 1,
				first: &fakeAgent{script: lostStream, state: statusAfter(pause, finished), cancelState: running}, second: &fakeAgent{script: serveStored},
			},
			{
				name: "stream lost, call broken", outcome: "unknown", starts: 1,
				first: &fakeAgent{script: lostStream, state: statusAfter(pause, brokenOff), cancelState: brokenOff}, second: &fakeAgent{script: serveStored},
			},
			{
				name: "stream lost, agent silent for long", outcome: "unknown", starts: 1,
				first: &fakeAgent{script: lostStream, state: frozen}, second: &fakeAgent{script: serveStored},
			},
			{
				name: "earlier call finished", outcome: "served", body: "late", claims: []*messenger.ClaimReply{inProgress},
				first: &fakeAgent{script: serveStored}, second: &fakeAgent{script: serveStored, state: statusAfter(pause, finished)},
			},
			{
				name: "earlier call never started", outcome: "served", body: "stored", starts: 1, claims: []*messenger.ClaimReply{inProgress, granted},
				first: &fakeAgent{script: serveStored}, second: &fakeAgent{script: serveStored, state: statusAfter(pause, neverStarted)},
			},
			{
				name: "agent of the earlier call silent for long", outcome: "unknown", claims: []*messenger.ClaimReply{inProgress},
				first: &fakeAgent{script: serveStored}, second: &fakeAgent{script: serveStored, state: frozen},
			},
		}
		for _, tc := range tests {
			t.Run(pause.String()+"/"+tc.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					r := newFixture(t, "", tc.first, tc.second)
					r.claims.replies = tc.claims
					begin := time.Now()
					res := r.Run(t.Context(), orderRequest("k"), &sink{})
					c.Check(res.Outcome, qt.Equals, tc.outcome, qt.Commentf("%v", res.Err))
					c.Check(string(res.Answer.GetBody()), qt.Equals, tc.body)
					c.Check(len(tc.first.starts)+len(tc.second.starts), qt.Equals, tc.starts)
					c.Check(time.Since(begin) < 10*time.Second, qt.IsTrue)
				})
			})
		}
	}
}
