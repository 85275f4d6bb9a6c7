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

// scriptedSender returns the outcomes in order. It implements Sender.
type scriptedSender struct {
	outcomes []Outcome
	sent     []Attempt
	// hang makes each attempt wait for the end of its context.
	hang bool
}

func (s *scriptedSender) Send(ctx context.Context, a Attempt) Outcome {
	s.sent = append(s.sent, a)
	if s.hang {
		<-ctx.Done()
		return Lost{Cause: ctx.Err()}
	}
	out := s.outcomes[0]
	s.outcomes = s.outcomes[1:]
	return out
}

// recordingSink records its calls and the data. It implements Sink.
type recordingSink struct {
	calls []string
	data  string
	// retryAfter is that of the refusal.
	retryAfter time.Duration
}

func (c *recordingSink) Respond(r Response) {
	c.calls = append(c.calls, "respond")
	c.data += string(r.Body)
}

func (c *recordingSink) Refuse(_ prover.NotRun, after time.Duration) {
	c.calls, c.retryAfter = append(c.calls, "refuse"), after
}

func (c *recordingSink) Fail(timeout bool, _ string) {
	if timeout {
		c.calls = append(c.calls, "timeout")
		return
	}
	c.calls = append(c.calls, "fail")
}

func (c *recordingSink) Begin(Response) { c.calls = append(c.calls, "begin") }

func (c *recordingSink) Write(data []byte) error { c.data += string(data); return nil }

func (c *recordingSink) End() { c.calls = append(c.calls, "end") }

func (c *recordingSink) Abort() { c.calls = append(c.calls, "abort") }

// scriptedEvents returns the batches and then the error. It implements Events.
type scriptedEvents struct {
	batches []Batch
	err     error
}

func (e *scriptedEvents) Next() (Batch, error) {
	if len(e.batches) == 0 {
		return Batch{}, e.err
	}
	b := e.batches[0]
	e.batches = e.batches[1:]
	return b, nil
}

func (e *scriptedEvents) Close() {}

// fakeVersions allows all versions, with no time limit unless expires is set. It
// implements Versions.
type fakeVersions struct{ expires time.Duration }

func (fakeVersions) OldestAllowed(string, time.Time) int { return 0 }

func (v fakeVersions) ExpiresIn(string, int, time.Time) (time.Duration, bool) {
	return v.expires, v.expires > 0
}

type noopObserver struct{}

func (noopObserver) Ended(*Request, string, time.Duration, time.Duration) {}
func (noopObserver) Retried(string)                                       {}
func (noopObserver) RetryDenied(string)                                   {}
func (noopObserver) Silent(string)                                        {}
func (noopObserver) Unplaced(*placer.RefusedError)                        {}
func (noopObserver) Excluded(string, placer.Exclusions)                   {}
func (noopObserver) NotPermitted(string)                                  {}

func newDispatcher(s Sender, budget *budgeter.Budget, now time.Time) *Dispatcher {
	p := &placer.Placer{FailureDomain: "a", Random: func() float64 { return 0 }}
	var replicas []placer.Replica
	for _, id := range []string{"r1", "r2", "r3", "r4", "r5"} {
		replicas = append(replicas, placer.Replica{ID: id, Address: id, Service: "s", FailureDomain: "a", Slots: 2})
	}
	p.Update(replicas, now)
	return &Dispatcher{
		Placer: p, Sender: s, Budgets: func(string) *budgeter.Budget { return budget }, Blocker: &blocker.Blocker{},
		Versions: fakeVersions{}, RetryAfter: func(*Request, time.Time) time.Duration { return time.Second },
		Log: zap.NewNop(), Observer: noopObserver{},
	}
}

func newRequest(kind matcher.Kind, resumable bool, attempts int, now time.Time) *Request {
	return &Request{
		ID:      "id",
		Route:   &matcher.Route{Name: "r", Kind: kind, Resumable: resumable, MaxAttempts: attempts, TargetLatency: 400 * time.Millisecond, Timeout: 6 * time.Second},
		Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second), Fingerprint: 7,
	}
}

func answered(status int, body string) Answered {
	return Answered{Response: Response{Status: status, Body: []byte(body)}}
}

func streaming(err error, batches ...Batch) Streaming {
	return Streaming{Response: Response{Status: 200}, Events: &scriptedEvents{batches: batches, err: err}}
}

var errBroken = errors.New("connection reset")

// TestOutcome guards against a second run of a request that is not idempotent, and
// against a refusal that tells the caller, without proof, that the request has not
// run.
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
		calls     []string
		data      string
		sends     int
	}{
		{"answered", matcher.NonIdempotent, false, 1, []Outcome{answered(200, "x")}, []string{"respond"}, "x", 1},
		{"not idempotent, lost", matcher.NonIdempotent, false, 3, []Outcome{lost}, []string{"fail"}, "", 1},
		{"not idempotent, refused with proof", matcher.NonIdempotent, false, 1, []Outcome{refused, answered(200, "x")}, []string{"respond"}, "x", 2},
		{"not idempotent, refused everywhere", matcher.NonIdempotent, false, 1, []Outcome{refused, refused, refused, refused}, []string{"refuse"}, "", 4},
		{"not idempotent, refused and then lost", matcher.NonIdempotent, false, 1, []Outcome{refused, lost}, []string{"fail"}, "", 2},
		{"not idempotent, failed by the replica", matcher.NonIdempotent, false, 3, []Outcome{answered(500, "e")}, []string{"respond"}, "e", 1},
		{"no connection", matcher.NonIdempotent, false, 1, []Outcome{unreachable, unreachable, answered(200, "x")}, []string{"respond"}, "x", 3},
		{"idempotent, lost once", matcher.Idempotent, false, 2, []Outcome{lost, answered(200, "x")}, []string{"respond"}, "x", 2},
		{"idempotent, lost too often", matcher.Idempotent, false, 2, []Outcome{lost, lost}, []string{"fail"}, "", 2},
		{"idempotent, lost and then refused", matcher.Idempotent, false, 2, []Outcome{lost, refused, refused, refused}, []string{"fail"}, "", 4},
		{"idempotent, failed by the replica", matcher.Idempotent, false, 2, []Outcome{answered(500, "e"), answered(200, "x")}, []string{"respond"}, "x", 2},
		{"idempotent, failed by two replicas", matcher.Idempotent, false, 2, []Outcome{answered(500, "e"), answered(500, "f")}, []string{"respond"}, "f", 2},
		{"stream", matcher.Streaming, true, 2, []Outcome{streaming(io.EOF, Batch{Data: []byte("1"), LastID: "1"})}, []string{"begin", "end"}, "1", 1},
		{"stream, lost before it began", matcher.Streaming, true, 2, []Outcome{lost, streaming(io.EOF, Batch{Data: []byte("1")})}, []string{"begin", "end"}, "1", 2},
		{"stream, resumed", matcher.Streaming, true, 2, []Outcome{
			streaming(errBroken, Batch{Data: []byte("1"), LastID: "1"}), streaming(io.EOF, Batch{Data: []byte("2"), LastID: "2"}),
		}, []string{"begin", "end"}, "12", 2},
		{"stream, broken twice", matcher.Streaming, true, 2, []Outcome{
			streaming(errBroken, Batch{Data: []byte("1"), LastID: "1"}), streaming(errBroken),
		}, []string{"begin", "abort"}, "1", 2},
		{"stream that cannot be resumed", matcher.Streaming, false, 2, []Outcome{streaming(errBroken, Batch{Data: []byte("1"), LastID: "1"})}, []string{"begin", "abort"}, "1", 1},
		{"stream that cannot be resumed, lost", matcher.Streaming, false, 2, []Outcome{lost}, []string{"fail"}, "", 1},
		{"stream, resumed by a plain answer", matcher.Streaming, true, 2, []Outcome{
			streaming(errBroken, Batch{Data: []byte("1"), LastID: "1"}), answered(200, "x"),
		}, []string{"begin", "abort"}, "1", 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				sender := &scriptedSender{outcomes: tc.outcomes}
				d := newDispatcher(sender, &budgeter.Budget{Burst: 10}, time.Now())
				sink := &recordingSink{}
				d.Dispatch(context.Background(), newRequest(tc.kind, tc.resumable, tc.attempts, time.Now()), sink)
				c.Check(sink.calls, qt.DeepEquals, tc.calls)
				c.Check(sink.data, qt.Equals, tc.data)
				c.Check(sender.sent, qt.HasLen, tc.sends)
				c.Check(d.Placer.Loads(), qt.DeepEquals, map[string]placer.Load{})
			})
		})
	}
}

// TestLateRepeat guards against a repeat so close to the deadline that its caller
// has left, or is about to, when it reaches a replica.
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
				sender := &scriptedSender{outcomes: []Outcome{lost, lost}}
				d := newDispatcher(sender, &budgeter.Budget{Burst: 10}, time.Now())
				r := newRequest(matcher.Idempotent, false, 2, time.Now())
				r.Deadline = time.Now().Add(tc.left)
				d.Dispatch(context.Background(), r, &recordingSink{})
				qt.Assert(t, sender.sent, qt.HasLen, tc.sends)
			})
		})
	}
}

// TestResumePoint guards against events of a resumed stream that are missing or
// duplicated.
func TestResumePoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		sender := &scriptedSender{outcomes: []Outcome{
			streaming(errBroken, Batch{Data: []byte("5"), LastID: "5"}, Batch{Data: []byte("6"), LastID: "6"}), streaming(io.EOF),
		}}
		d := newDispatcher(sender, &budgeter.Budget{Burst: 10}, time.Now())
		r := newRequest(matcher.Streaming, true, 2, time.Now())
		r.LastEventID = "4"
		d.Dispatch(context.Background(), r, &recordingSink{})
		c.Assert(sender.sent[0].LastEventID, qt.Equals, "4")
		c.Assert(sender.sent[1].LastEventID, qt.Equals, "6")
		c.Assert(sender.sent[1].Replica.ID, qt.Not(qt.Equals), sender.sent[0].Replica.ID)
	})
}

// TestDeadline guards against a caller that gets no response at its deadline, and
// against a refusal of a request that a silent replica may still run.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDispatcher(&scriptedSender{hang: true}, &budgeter.Budget{}, time.Now())
		sink := &recordingSink{}
		start := time.Now()
		d.Dispatch(context.Background(), newRequest(matcher.NonIdempotent, false, 1, start), sink)
		c.Assert(sink.calls, qt.DeepEquals, []string{"timeout"})
		c.Assert(time.Since(start), qt.Equals, 6*time.Second)
	})
}

// TestBeginsInTime guards against a request that waits at its replica and begins
// on an expired version. A request that had waited there for 2 s began 130 ms
// after the expiry.
func TestBeginsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		sender := &scriptedSender{outcomes: []Outcome{streaming(io.EOF)}}
		d := newDispatcher(sender, &budgeter.Budget{}, time.Now())
		d.Versions = fakeVersions{expires: 300 * time.Millisecond}
		d.Placer.Update([]placer.Replica{{
			ID: "r1", Address: "r1", Service: "s", FailureDomain: "a", Slots: 2, Engine: &placer.Engine{}, Versions: map[string]int{"m": 1},
		}}, time.Now())
		r := newRequest(matcher.Streaming, true, 1, time.Now())
		r.Model = "m"
		d.Dispatch(context.Background(), r, &recordingSink{})
		c.Assert(sender.sent[0].VersionLeft, qt.Equals, 300*time.Millisecond)
	})
}

// TestRetryBudget guards against retries that exceed the retry budget.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		sender := &scriptedSender{outcomes: []Outcome{Lost{Cause: errBroken}}}
		d := newDispatcher(sender, &budgeter.Budget{}, time.Now())
		sink := &recordingSink{}
		d.Dispatch(context.Background(), newRequest(matcher.Idempotent, false, 2, time.Now()), sink)
		c.Assert(sink.calls, qt.DeepEquals, []string{"fail"})
		c.Assert(sender.sent, qt.HasLen, 1)
	})
}

// TestCrashingRequest guards against a request that crashes every replica it is
// sent to and is never blocked.
func TestCrashingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		sender := &scriptedSender{}
		for range 8 {
			sender.outcomes = append(sender.outcomes, Lost{Cause: errBroken, Broken: true})
		}
		d := newDispatcher(sender, &budgeter.Budget{Burst: 100}, time.Now())
		for range 4 {
			d.Dispatch(context.Background(), newRequest(matcher.Idempotent, false, 2, time.Now()), &recordingSink{})
		}
		c.Assert(len(sender.sent) <= 4, qt.IsTrue, qt.Commentf("%d sends", len(sender.sent)))
		sink := &recordingSink{}
		d.Dispatch(context.Background(), newRequest(matcher.Idempotent, false, 2, time.Now()), sink)
		c.Assert(sink.calls, qt.DeepEquals, []string{"refuse"})
	})
}
