package dispatcher

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/internal/request/prover"
)

// part is what a replica sends after a pause: an event, an error or both, or an outcome without
// events.
type part struct {
	after   time.Duration
	event   string
	outcome Outcome
	err     error
}

// silentSender plays one script for each attempt, in order. It implements Sender.
type silentSender struct {
	mu      sync.Mutex
	scripts [][]part
	sent    []Attempt
}

func (s *silentSender) Send(ctx context.Context, a Attempt) Outcome {
	s.mu.Lock()
	events := &silentEvents{ctx: ctx, attempt: a, parts: s.scripts[len(s.sent)]}
	s.sent = append(s.sent, a)
	s.mu.Unlock()
	first := events.parts[0]
	if first.outcome != nil {
		if err := events.wait(first.after, a.FirstByteSilence); err != nil {
			return Lost{Cause: err}
		}
		return first.outcome
	}
	batch, err := events.next(a.FirstByteSilence)
	if err != nil && !errors.Is(err, io.EOF) {
		return Lost{Cause: err, Broken: errors.Is(err, errBroken)}
	}
	events.first, events.hasFirst = batch, true
	return Streaming{Response: Response{Status: 200}, Events: events}
}

// silentEvents is the stream of a silentSender. It implements Events.
type silentEvents struct {
	ctx      context.Context
	attempt  Attempt
	parts    []part
	first    Batch
	hasFirst bool
}

func (e *silentEvents) Next() (Batch, error) {
	if e.hasFirst {
		e.hasFirst = false
		return e.first, nil
	}
	return e.next(e.attempt.EventSilence)
}

func (e *silentEvents) next(silence time.Duration) (Batch, error) {
	p := e.parts[0]
	e.parts = e.parts[1:]
	if err := e.wait(p.after, silence); err != nil {
		return Batch{}, err
	}
	return Batch{Data: []byte(p.event), LastID: p.event}, p.err
}

// wait waits for the next part of the response and reports the silence meanwhile.
func (e *silentEvents) wait(d, silence time.Duration) error {
	if silence > 0 && silence < d {
		timer := time.AfterFunc(silence, e.attempt.OnSilence)
		defer timer.Stop()
	}
	select {
	case <-time.After(d):
		return e.ctx.Err()
	case <-e.ctx.Done():
		return e.ctx.Err()
	}
}

func (e *silentEvents) Close() {}

// silentStream is a stream with a pause before its second event.
func silentStream(pause time.Duration) []part {
	return []part{{event: "1"}, {after: pause, event: "2"}, {err: io.EOF}}
}

// TestSilenceEndsResponse guards against a response that ends because its replica pauses: no
// other replica may have a place, or respond earlier.
func TestSilenceEndsResponse(t *testing.T) {
	const ms, second = time.Millisecond, time.Second
	refused := part{outcome: Refused{Proof: prover.RefusedByReplica(503, true)}}
	lost := part{outcome: Lost{Cause: errBroken}}
	later := func(d time.Duration) []part { return []part{{after: d, event: "2"}, {err: io.EOF}} }
	plain := func(d time.Duration, text string) []part { return []part{{after: d, outcome: answered(200, text)}} }
	whole := []string{"begin", "end"}
	tests := []struct {
		name     string
		kind     matcher.Kind
		replicas int
		burst    float64
		scripts  [][]part
		calls    []string
		data     string
		sends    int
		// took is the time until the end of the response.
		took time.Duration
	}{
		{"stream, short pause", matcher.Streaming, 2, 10, [][]part{silentStream(900 * ms)}, whole, "12", 1, 900 * ms},
		{"stream, no other replica", matcher.Streaming, 1, 10, [][]part{silentStream(1900 * ms)}, whole, "12", 1, 1900 * ms},
		{"stream, no retry allowed", matcher.Streaming, 2, 0, [][]part{silentStream(1900 * ms)}, whole, "12", 1, 1900 * ms},
		{"stream, others refuse", matcher.Streaming, 3, 10, [][]part{silentStream(1900 * ms), {refused}, {refused}}, whole, "12", 3, 1900 * ms},
		{"stream, other breaks", matcher.Streaming, 2, 10, [][]part{silentStream(1900 * ms), {lost}}, whole, "12", 2, 1900 * ms},
		{"stream, other fails", matcher.Streaming, 2, 10, [][]part{silentStream(1900 * ms), plain(0, "x")}, whole, "12", 2, 1900 * ms},
		{"stream, other goes on", matcher.Streaming, 2, 10, [][]part{silentStream(1900 * ms), later(300 * ms)}, whole, "12", 2, 1300 * ms},
		{"stream, other is later", matcher.Streaming, 2, 10, [][]part{silentStream(1400 * ms), later(600 * ms)}, whole, "12", 2, 1400 * ms},
		{"stream, breaks while the other is asked", matcher.Streaming, 2, 10, [][]part{
			{{event: "1"}, {after: 1400 * ms, err: errBroken}}, later(600 * ms),
		}, whole, "12", 2, 1600 * ms},
		{"stream, breaks after an event while the other is asked", matcher.Streaming, 2, 10, [][]part{
			{{event: "1"}, {after: 1400 * ms, event: "2", err: errBroken}}, later(600 * ms),
		}, whole, "12", 2, 1600 * ms},
		{"stream, breaks and the other too", matcher.Streaming, 2, 10, [][]part{
			{{event: "1"}, {after: 1400 * ms, err: errBroken}}, {{after: 600 * ms, err: errBroken}},
		}, []string{"begin", "abort"}, "1", 2, 1600 * ms},
		{"stream, second silence after a change", matcher.Streaming, 3, 10, [][]part{
			silentStream(5 * second), {{event: "2"}, {after: 1500 * ms, event: "3"}, {err: io.EOF}},
		}, whole, "123", 2, 2500 * ms},
		{"stream, late first event, no other replica", matcher.Streaming, 1, 10, [][]part{{{after: 2500 * ms, event: "1"}, {err: io.EOF}}}, whole, "1", 1, 2500 * ms},
		{"stream, late first event, other is earlier", matcher.Streaming, 2, 10, [][]part{
			{{after: 2500 * ms, event: "1"}, {err: io.EOF}}, {{after: 100 * ms, event: "1"}, {err: io.EOF}},
		}, whole, "1", 2, 1900 * ms},
		{"stream, late first event, other is later", matcher.Streaming, 2, 10, [][]part{
			{{after: 2 * second, event: "1"}, {err: io.EOF}}, {{after: second, event: "1"}, {err: io.EOF}},
		}, whole, "1", 2, 2 * second},
		{"plain, no other replica", matcher.Idempotent, 1, 10, [][]part{plain(2*second, "a")}, []string{"respond"}, "a", 1, 2 * second},
		{"plain, others refuse", matcher.Idempotent, 2, 10, [][]part{plain(2*second, "a"), {refused}}, []string{"respond"}, "a", 2, 2 * second},
		{"plain, other is earlier", matcher.Idempotent, 2, 10, [][]part{plain(3*second, "a"), plain(100*ms, "b")}, []string{"respond"}, "b", 2, 1900 * ms},
		{"plain, other is later", matcher.Idempotent, 2, 10, [][]part{plain(2*second, "a"), plain(second, "b")}, []string{"respond"}, "a", 2, 2 * second},
		{"plain, lost while the other is asked", matcher.Idempotent, 2, 10, [][]part{{{after: 2 * second, outcome: lost.outcome}}, plain(second, "b")}, []string{"respond"}, "b", 2, 2800 * ms},
		{"plain, refused while the other is asked", matcher.Idempotent, 2, 10, [][]part{{{after: 2 * second, outcome: refused.outcome}}, plain(second, "b")}, []string{"respond"}, "b", 2, 2800 * ms},
		{"plain, failed while the other is asked", matcher.Idempotent, 2, 10, [][]part{{{after: 2 * second, outcome: answered(500, "e")}}, plain(second, "b")}, []string{"respond"}, "b", 2, 2800 * ms},
		{"plain, other fails", matcher.Idempotent, 2, 10, [][]part{plain(2*second, "a"), {{outcome: answered(500, "e")}}}, []string{"respond"}, "a", 2, 2 * second},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				start := time.Now()
				sender := &silentSender{scripts: tc.scripts}
				d := newDispatcher(sender, &budgeter.Budget{Burst: tc.burst}, start)
				d.Placer.Update(plainReplicas(tc.replicas), start)
				sink := &recordingSink{}
				d.Dispatch(context.Background(), newRequest(tc.kind, true, 2, start), sink)
				c.Check(time.Since(start), qt.Equals, tc.took)
				c.Check(sink.calls, qt.DeepEquals, tc.calls)
				c.Check(sink.data, qt.Equals, tc.data)
				c.Check(sender.sent, qt.HasLen, tc.sends)
				for _, a := range sender.sent[1:] {
					c.Check(a.Replica.ID, qt.Not(qt.Equals), sender.sent[0].Replica.ID)
					c.Check(a.LastEventID, qt.Equals, map[bool]string{true: "1"}[sender.scripts[0][0].event == "1" && sender.scripts[0][0].after == 0])
				}
				c.Check(d.Placer.Loads(), qt.DeepEquals, map[string]placer.Load{})
			})
		})
	}
}

// plainReplicas returns the replicas r1, r2 and so on.
func plainReplicas(n int) []placer.Replica {
	var out []placer.Replica
	for _, id := range []string{"r1", "r2", "r3"}[:n] {
		out = append(out, placer.Replica{ID: id, Address: id, Service: "s", FailureDomain: "a", Slots: 2})
	}
	return out
}

// TestSilentReplicaRunsRequestTwice guards against a second run of a request that may run only
// once.
func TestSilentReplicaRunsRequestTwice(t *testing.T) {
	tests := []struct {
		name      string
		kind      matcher.Kind
		resumable bool
		attempts  int
		script    []part
		calls     []string
	}{
		{"not idempotent", matcher.NonIdempotent, false, 3, []part{{after: 5 * time.Second, outcome: answered(200, "a")}}, []string{"respond"}},
		{"stream that cannot be resumed", matcher.Streaming, false, 3, silentStream(5 * time.Second), []string{"begin", "end"}},
		{"one attempt", matcher.Idempotent, false, 1, []part{{after: 5 * time.Second, outcome: answered(200, "a")}}, []string{"respond"}},
		{"stream with one attempt", matcher.Streaming, true, 1, silentStream(5 * time.Second), []string{"begin", "end"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				sender := &silentSender{scripts: [][]part{tc.script}}
				d := newDispatcher(sender, &budgeter.Budget{Burst: 10}, time.Now())
				sink := &recordingSink{}
				d.Dispatch(context.Background(), newRequest(tc.kind, tc.resumable, tc.attempts, time.Now()), sink)
				c.Check(sink.calls, qt.DeepEquals, tc.calls)
				c.Check(sender.sent, qt.HasLen, 1)
			})
		})
	}
}

// TestPlaceFoundLate guards against a stream that stays at a silent replica because no place
// was free at the moment at which the silence was noticed.
func TestPlaceFoundLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		start := time.Now()
		sender := &silentSender{scripts: [][]part{silentStream(5 * time.Second), {{event: "2"}, {err: io.EOF}}}}
		d := newDispatcher(sender, &budgeter.Budget{Burst: 10}, start)
		d.Placer.Update(plainReplicas(1), start)
		time.AfterFunc(1500*time.Millisecond, func() { d.Placer.Update(plainReplicas(2), time.Now()) })
		sink := &recordingSink{}
		d.Dispatch(context.Background(), newRequest(matcher.Streaming, true, 2, start), sink)
		c.Check(sink.calls, qt.DeepEquals, []string{"begin", "end"})
		c.Check(sink.data, qt.Equals, "12")
		c.Check(time.Since(start) < 1700*time.Millisecond, qt.IsTrue)
	})
}

// TestCallerLeavesInSilence guards against attempts that go on, or slots that stay taken, after
// the caller has left while both replicas were silent.
func TestCallerLeavesInSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		start := time.Now()
		sender := &silentSender{scripts: [][]part{silentStream(5 * time.Second), {{after: 5 * time.Second, event: "2"}}}}
		d := newDispatcher(sender, &budgeter.Budget{Burst: 10}, start)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(1500*time.Millisecond, cancel)
		sink := &recordingSink{}
		d.Dispatch(ctx, newRequest(matcher.Streaming, true, 2, start), sink)
		c.Check(sink.calls, qt.DeepEquals, []string{"begin", "abort"})
		c.Check(sender.sent, qt.HasLen, 2)
		c.Check(time.Since(start), qt.Equals, 1500*time.Millisecond)
		c.Check(d.Placer.Loads(), qt.DeepEquals, map[string]placer.Load{})
	})
}

// TestUnreachableReplicaEndsStream guards against a stream, or a request that may have run,
// that ends because the only other replica takes no connection for a moment.
func TestUnreachableReplicaEndsStream(t *testing.T) {
	const timeout = 400 * time.Millisecond
	unreachable := []part{{after: timeout, outcome: Refused{Proof: prover.NeverConnected(errBroken)}}}
	broken := []part{{event: "1"}, {after: timeout, err: errBroken}}
	rest := []part{{event: "2"}, {err: io.EOF}}
	lost := []part{{outcome: Lost{Cause: errBroken}}}
	tests := []struct {
		name    string
		kind    matcher.Kind
		scripts [][]part
		calls   []string
		data    string
	}{
		{"stream", matcher.Streaming, [][]part{broken, unreachable, rest}, []string{"begin", "end"}, "12"},
		{"stream, unreachable for long", matcher.Streaming, [][]part{broken, unreachable, unreachable, unreachable}, []string{"begin", "abort"}, "1"},
		{"may have run", matcher.Idempotent, [][]part{lost, unreachable, {{outcome: answered(200, "a")}}}, []string{"respond"}, "a"},
		{"has not run", matcher.Idempotent, [][]part{unreachable, unreachable}, []string{"refuse"}, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				start := time.Now()
				sender := &silentSender{scripts: tc.scripts}
				d := newDispatcher(sender, &budgeter.Budget{Burst: 1}, start)
				d.Placer.Update(plainReplicas(2), start)
				sink := &recordingSink{}
				d.Dispatch(context.Background(), newRequest(tc.kind, true, 2, start), sink)
				c.Check(sink.calls, qt.DeepEquals, tc.calls)
				c.Check(sink.data, qt.Equals, tc.data)
				c.Check(sender.sent, qt.HasLen, len(tc.scripts))
				c.Check(d.Placer.Loads(), qt.DeepEquals, map[string]placer.Load{})
			})
		})
	}
}

// TestEndAtDeadlineCountsAsCrash guards against sound requests that count as crashing replicas
// because those end their work at the deadline that they were given, slightly before that of the
// request.
func TestEndAtDeadlineCountsAsCrash(t *testing.T) {
	const deadline = 6 * time.Second
	tests := []struct {
		name    string
		kind    matcher.Kind
		script  []part
		crashes int
	}{
		{"stream, at the deadline", matcher.Streaming, []part{{event: "1"}, {after: deadline - replicaEndMargin, err: errBroken}}, 0},
		{"stream, before it", matcher.Streaming, []part{{event: "1"}, {after: deadline - 2*replicaEndMargin, err: errBroken}}, 1},
		{"no event, at the deadline", matcher.Streaming, []part{{after: deadline - replicaEndMargin, err: errBroken}}, 0},
		{"no event, before it", matcher.Streaming, []part{{after: deadline - 2*replicaEndMargin, err: errBroken}}, 1},
		{"plain, at the deadline", matcher.Idempotent, []part{{after: deadline - replicaEndMargin, outcome: Lost{Cause: errBroken, Broken: true}}}, 0},
		{"plain, before it", matcher.Idempotent, []part{{after: deadline - 2*replicaEndMargin, outcome: Lost{Cause: errBroken, Broken: true}}}, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				d := newDispatcher(&silentSender{scripts: [][]part{tc.script}}, budgeter.New(), time.Now())
				crashes := 0
				d.OnCrash = func(blocker.Crash, time.Time) { crashes++ }
				r := newRequest(tc.kind, true, 1, time.Now())
				sink := &recordingSink{}
				d.Dispatch(context.Background(), r, sink)
				c.Check(crashes, qt.Equals, tc.crashes)
				c.Check(sink.calls[len(sink.calls)-1], qt.Not(qt.Equals), "end")
			})
		})
	}
}
