package dispatcher

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/internal/request/prover"
)

// script answers sends in turn. It implements Sender.
type script struct {
	outcomes []Outcome
	sent     []Attempt
	// hang makes each send wait for the end of its context.
	hang bool
}

func (s *script) Send(ctx context.Context, a Attempt) Outcome {
	s.sent = append(s.sent, a)
	if s.hang {
		<-ctx.Done()
		return Lost{Cause: ctx.Err()}
	}
	out := s.outcomes[0]
	s.outcomes = s.outcomes[1:]
	return out
}

// caller notes what it is told. It implements Sink.
type caller struct {
	told []string
	data string
}

func (c *caller) Answer(a Answer) { c.told = append(c.told, "answer"); c.data += string(a.Body) }

func (c *caller) Refuse(prover.NotRun, time.Duration) { c.told = append(c.told, "refuse") }

func (c *caller) Fail(timeout bool, _ string) {
	if timeout {
		c.told = append(c.told, "timeout")
		return
	}
	c.told = append(c.told, "fail")
}

func (c *caller) Begin(Answer) { c.told = append(c.told, "begin") }

func (c *caller) Write(data []byte) error { c.data += string(data); return nil }

func (c *caller) End() { c.told = append(c.told, "end") }

func (c *caller) Abort() { c.told = append(c.told, "abort") }

// events yields batches and then an error. It implements Events.
type events struct {
	batches []Batch
	err     error
}

func (e *events) Next() (Batch, error) {
	if len(e.batches) == 0 {
		return Batch{}, e.err
	}
	b := e.batches[0]
	e.batches = e.batches[1:]
	return b, nil
}

func (e *events) Close() {}

// noVersions has no bounds unless expires is set. It implements Versions.
type noVersions struct{ expires time.Duration }

func (noVersions) Oldest(string, time.Time) int { return 0 }

func (v noVersions) Expires(string, int, time.Time) (time.Duration, bool) {
	return v.expires, v.expires > 0
}

type ignore struct{}

func (ignore) Ended(*Request, string, time.Duration, time.Duration) {}
func (ignore) Retried(string)                                       {}

func newDispatcher(s Sender, budget *budgeter.Budget, now time.Time) *Dispatcher {
	p := &placer.Placer{FailureDomain: "a", Random: func() float64 { return 0 }}
	var replicas []placer.Replica
	for _, id := range []string{"r1", "r2", "r3", "r4", "r5"} {
		replicas = append(replicas, placer.Replica{ID: id, Address: id, Service: "s", FailureDomain: "a", Slots: 2})
	}
	p.Update(replicas, now)
	return &Dispatcher{
		Placer: p, Sender: s, Budgets: func(string) *budgeter.Budget { return budget }, Blocker: &blocker.Blocker{},
		Versions: noVersions{}, RetryAfter: func(*Request, time.Time) time.Duration { return time.Second },
		Log: zap.NewNop(), Observer: ignore{},
	}
}

func newRequest(kind matcher.Kind, resumable bool, attempts int, now time.Time) *Request {
	return &Request{
		ID:      "id",
		Route:   &matcher.Route{Name: "r", Kind: kind, Resumable: resumable, MaxAttempts: attempts, Target: 400 * time.Millisecond, Timeout: 6 * time.Second},
		Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second), Fingerprint: 7,
	}
}

func answer(status int, body string) Answered {
	return Answered{Answer: Answer{Status: status, Body: []byte(body)}}
}

func streamOf(err error, batches ...Batch) Streaming {
	return Streaming{Answer: Answer{Status: 200}, Events: &events{batches: batches, err: err}}
}

var errBroken = errors.New("connection reset")

// TestOutcome guards against a second run of a request that must not be
// repeated, and against telling a caller that a request has not run without
// proof.
func TestOutcome(t *testing.T) {
	refused := Refused{Proof: prover.RefusedByReplica(503, true)}
	unreachable := Refused{Proof: prover.NeverConnected(errBroken)}
	lost := Lost{Cause: errBroken, Broken: true}
	tests := []struct {
		name      string
		kind      matcher.Kind
		resumable bool
		attempts  int
		outcomes  []Outcome
		told      []string
		data      string
		sends     int
	}{
		{"answered", matcher.NonIdempotent, false, 1, []Outcome{answer(200, "x")}, []string{"answer"}, "x", 1},
		{"not idempotent, lost", matcher.NonIdempotent, false, 3, []Outcome{lost}, []string{"fail"}, "", 1},
		{"not idempotent, refused with proof", matcher.NonIdempotent, false, 1, []Outcome{refused, answer(200, "x")}, []string{"answer"}, "x", 2},
		{"not idempotent, refused everywhere", matcher.NonIdempotent, false, 1, []Outcome{refused, refused, refused, refused}, []string{"refuse"}, "", 4},
		{"not idempotent, refused and then lost", matcher.NonIdempotent, false, 1, []Outcome{refused, lost}, []string{"fail"}, "", 2},
		{"not idempotent, failed by the replica", matcher.NonIdempotent, false, 3, []Outcome{answer(500, "e")}, []string{"answer"}, "e", 1},
		{"no connection", matcher.NonIdempotent, false, 1, []Outcome{unreachable, unreachable, answer(200, "x")}, []string{"answer"}, "x", 3},
		{"idempotent, lost once", matcher.Idempotent, false, 2, []Outcome{lost, answer(200, "x")}, []string{"answer"}, "x", 2},
		{"idempotent, lost too often", matcher.Idempotent, false, 2, []Outcome{lost, lost}, []string{"fail"}, "", 2},
		{"idempotent, lost and then refused", matcher.Idempotent, false, 2, []Outcome{lost, refused, refused, refused}, []string{"fail"}, "", 4},
		{"idempotent, failed by the replica", matcher.Idempotent, false, 2, []Outcome{answer(500, "e"), answer(200, "x")}, []string{"answer"}, "x", 2},
		{"idempotent, failed by two replicas", matcher.Idempotent, false, 2, []Outcome{answer(500, "e"), answer(500, "f")}, []string{"answer"}, "f", 2},
		{"stream", matcher.Streaming, true, 2, []Outcome{streamOf(io.EOF, Batch{Data: []byte("1"), LastID: "1"})}, []string{"begin", "end"}, "1", 1},
		{"stream, lost before it began", matcher.Streaming, true, 2, []Outcome{lost, streamOf(io.EOF, Batch{Data: []byte("1")})}, []string{"begin", "end"}, "1", 2},
		{"stream, resumed", matcher.Streaming, true, 2, []Outcome{
			streamOf(errBroken, Batch{Data: []byte("1"), LastID: "1"}), streamOf(io.EOF, Batch{Data: []byte("2"), LastID: "2"}),
		}, []string{"begin", "end"}, "12", 2},
		{"stream, broken twice", matcher.Streaming, true, 2, []Outcome{
			streamOf(errBroken, Batch{Data: []byte("1"), LastID: "1"}), streamOf(errBroken),
		}, []string{"begin", "abort"}, "1", 2},
		{"stream that cannot be resumed", matcher.Streaming, false, 2, []Outcome{streamOf(errBroken, Batch{Data: []byte("1"), LastID: "1"})}, []string{"begin", "abort"}, "1", 1},
		{"stream that cannot be resumed, lost", matcher.Streaming, false, 2, []Outcome{lost}, []string{"fail"}, "", 1},
		{"stream, resumed by a plain answer", matcher.Streaming, true, 2, []Outcome{
			streamOf(errBroken, Batch{Data: []byte("1"), LastID: "1"}), answer(200, "x"),
		}, []string{"begin", "abort"}, "1", 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := &script{outcomes: tc.outcomes}
				d := newDispatcher(s, &budgeter.Budget{Burst: 10}, time.Now())
				sink := &caller{}
				d.Dispatch(context.Background(), newRequest(tc.kind, tc.resumable, tc.attempts, time.Now()), sink)
				c.Check(sink.told, qt.DeepEquals, tc.told)
				c.Check(sink.data, qt.Equals, tc.data)
				c.Check(s.sent, qt.HasLen, tc.sends)
				c.Check(d.Placer.Loads(), qt.DeepEquals, map[string]placer.Load{})
			})
		})
	}
}

// TestLateRepeat guards against a repeat that reaches a replica when its caller
// has left, or is about to.
func TestLateRepeat(t *testing.T) {
	lost := Lost{Cause: errBroken, Broken: true}
	tests := []struct {
		name  string
		left  time.Duration
		sends int
	}{
		{"less than the target", 390 * time.Millisecond, 1},
		{"the target", 400 * time.Millisecond, 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{outcomes: []Outcome{lost, lost}}
				d := newDispatcher(s, &budgeter.Budget{Burst: 10}, time.Now())
				r := newRequest(matcher.Idempotent, false, 2, time.Now())
				r.Deadline = time.Now().Add(tc.left)
				d.Dispatch(context.Background(), r, &caller{})
				qt.Assert(t, s.sent, qt.HasLen, tc.sends)
			})
		})
	}
}

// TestResumePoint guards against events that are missing or come twice.
func TestResumePoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &script{outcomes: []Outcome{
			streamOf(errBroken, Batch{Data: []byte("5"), LastID: "5"}, Batch{Data: []byte("6"), LastID: "6"}), streamOf(io.EOF),
		}}
		d := newDispatcher(s, &budgeter.Budget{Burst: 10}, time.Now())
		r := newRequest(matcher.Streaming, true, 2, time.Now())
		r.Resume = "4"
		d.Dispatch(context.Background(), r, &caller{})
		c.Assert(s.sent[0].Resume, qt.Equals, "4")
		c.Assert(s.sent[1].Resume, qt.Equals, "6")
		c.Assert(s.sent[1].Replica.ID, qt.Not(qt.Equals), s.sent[0].Replica.ID)
	})
}

// TestDeadline guards against a caller that is told nothing at its deadline,
// and against a promise for a request that a silent replica may run.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDispatcher(&script{hang: true}, &budgeter.Budget{}, time.Now())
		sink := &caller{}
		began := time.Now()
		d.Dispatch(context.Background(), newRequest(matcher.NonIdempotent, false, 1, began), sink)
		c.Assert(sink.told, qt.DeepEquals, []string{"timeout"})
		c.Assert(time.Since(began), qt.Equals, 6*time.Second)
	})
}

// TestBeginsInTime guards against a request that waits at its replica and
// begins on a version whose time is over: on tmfpa scale-1 one began 130 ms late
// after it had waited for two seconds.
func TestBeginsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &script{outcomes: []Outcome{streamOf(io.EOF)}}
		d := newDispatcher(s, &budgeter.Budget{}, time.Now())
		d.Versions = noVersions{expires: 300 * time.Millisecond}
		d.Placer.Update([]placer.Replica{{
			ID: "r1", Address: "r1", Service: "s", FailureDomain: "a", Slots: 2, Engine: &placer.Engine{}, Versions: map[string]int{"m": 1},
		}}, time.Now())
		r := newRequest(matcher.Streaming, true, 1, time.Now())
		r.Model = "m"
		d.Dispatch(context.Background(), r, &caller{})
		c.Assert(s.sent[0].FirstByte, qt.Equals, 300*time.Millisecond)
	})
}

// TestRetryBudget guards against retries that exceed the budget.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &script{outcomes: []Outcome{Lost{Cause: errBroken}}}
		d := newDispatcher(s, &budgeter.Budget{}, time.Now())
		sink := &caller{}
		d.Dispatch(context.Background(), newRequest(matcher.Idempotent, false, 2, time.Now()), sink)
		c.Assert(sink.told, qt.DeepEquals, []string{"fail"})
		c.Assert(s.sent, qt.HasLen, 1)
	})
}

// TestCrashingRequest guards against a request that crashes each replica that
// runs it and is sent on and on.
func TestCrashingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &script{}
		for range 8 {
			s.outcomes = append(s.outcomes, Lost{Cause: errBroken, Broken: true})
		}
		d := newDispatcher(s, &budgeter.Budget{Burst: 100}, time.Now())
		for range 4 {
			d.Dispatch(context.Background(), newRequest(matcher.Idempotent, false, 2, time.Now()), &caller{})
		}
		c.Assert(len(s.sent) <= 4, qt.IsTrue, qt.Commentf("%d sends", len(s.sent)))
		sink := &caller{}
		d.Dispatch(context.Background(), newRequest(matcher.Idempotent, false, 2, time.Now()), sink)
		c.Assert(sink.told, qt.DeepEquals, []string{"refuse"})
	})
}
