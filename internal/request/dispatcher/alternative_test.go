package dispatcher

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/drainer"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/internal/request/prover"
)

const (
	ms     = time.Millisecond
	second = time.Second
)

func plainPart(after time.Duration, out Outcome) []part { return []part{{after: after, outcome: out}} }

// TestSilencesOfTwoReplicas guards against a request that ends, or waits for its deadline,
// because the replica that was tried beside a silent one is silent too or fails.
func TestSilencesOfTwoReplicas(t *testing.T) {
	refused := Refused{Proof: prover.RefusedByReplica(503, true)}
	lost := Lost{Cause: errBroken}
	tests := []struct {
		name    string
		kind    matcher.Kind
		scripts [][]part
		data    string
		took    time.Duration
	}{
		{"both silent, a third responds", matcher.Idempotent, [][]part{
			plainPart(time.Hour, lost), plainPart(time.Hour, lost), plainPart(100*ms, answered(200, "c")),
		}, "c", 3700 * ms},
		{"both silent, a third responds later than the second", matcher.Idempotent, [][]part{
			plainPart(time.Hour, lost), plainPart(2*second, answered(200, "b")), plainPart(second, answered(200, "c")),
		}, "b", 3800 * ms},
		{"both silent, a third responds later than the first", matcher.Idempotent, [][]part{
			plainPart(4*second, answered(200, "a")), plainPart(time.Hour, lost), plainPart(second, answered(200, "c")),
		}, "a", 4 * second},
		{"both silent, the second refuses before a third responds", matcher.Idempotent, [][]part{
			plainPart(time.Hour, lost), plainPart(2200*ms, refused), plainPart(second, answered(200, "c")),
		}, "c", 4600 * ms},
		{"both silent, the second fails before a third responds", matcher.Idempotent, [][]part{
			plainPart(time.Hour, lost), plainPart(2200*ms, answered(500, "e")), plainPart(second, answered(200, "c")),
		}, "c", 4600 * ms},
		{"first lost, second silent", matcher.Idempotent, [][]part{
			plainPart(2*second, lost), plainPart(time.Hour, lost), plainPart(100*ms, answered(200, "c")),
		}, "c", 3700 * ms},
		{"first lost, then the second refuses", matcher.Idempotent, [][]part{
			plainPart(2*second, lost), plainPart(500*ms, refused), plainPart(100*ms, answered(200, "c")),
		}, "c", 2400 * ms},
		{"both streams silent", matcher.Streaming, [][]part{
			silentStream(time.Hour), {{after: time.Hour, event: "2"}}, {{event: "2"}, {err: io.EOF}},
		}, "12", 2800 * ms},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				start := time.Now()
				sender := &silentSender{scripts: tc.scripts}
				d := newDispatcher(sender, &budgeter.Budget{Burst: 10}, start)
				sink := &recordingSink{}
				d.Dispatch(context.Background(), newRequest(tc.kind, true, 3, start), sink)
				c.Check(sink.data, qt.Equals, tc.data)
				c.Check(time.Since(start), qt.Equals, tc.took)
				c.Check(d.Placer.Loads(), qt.DeepEquals, map[string]placer.Load{})
			})
		})
	}
}

// TestSecondSilenceOfReplica guards against a stream that stays at a silent replica because
// another one refused in an earlier pause.
func TestSecondSilenceOfReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		start := time.Now()
		sender := &silentSender{scripts: [][]part{
			{{event: "1"}, {after: 1400 * ms, event: "2"}, {after: time.Hour, event: "3"}},
			{{outcome: Refused{Proof: prover.RefusedByReplica(503, true)}}},
			{{event: "3"}, {err: io.EOF}},
		}}
		d := newDispatcher(sender, &budgeter.Budget{Burst: 10}, start)
		d.Placer.Update(plainReplicas(2), start)
		time.AfterFunc(1500*ms, func() { d.Placer.Update(plainReplicas(3), time.Now()) })
		sink := &recordingSink{}
		d.Dispatch(context.Background(), newRequest(matcher.Streaming, true, 2, start), sink)
		c.Check(sink.data, qt.Equals, "123")
		c.Check(sender.sent[2].LastEventID, qt.Equals, "2")
		c.Check(time.Since(start), qt.Equals, 2400*ms)
	})
}

// TestAlternativeNotAllowed guards against an attempt beside a silent replica for which too
// little time is left, which is blocked, on a version that expires while it waits for a place,
// or above the number of attempts.
func TestAlternativeNotAllowed(t *testing.T) {
	refused := Refused{Proof: prover.RefusedByReplica(503, true)}
	slow := plainPart(5*second, answered(200, "a"))
	tests := []struct {
		name    string
		scripts [][]part
		// free is when the other replica gets a free place; 0 for several with places.
		free   time.Duration
		change func(d *Dispatcher, r *Request, start time.Time)
		sends  int
	}{
		{"place in time", [][]part{slow, slow}, 2500 * ms, func(*Dispatcher, *Request, time.Time) {}, 2},
		{"stop", [][]part{slow, slow}, 2500 * ms, func(d *Dispatcher, _ *Request, start time.Time) {
			plan := drainer.NewPlan(start.Add(-5*second), second, 8*second)
			plan.RequestsEnd = start.Add(2800 * ms)
			d.Stop = func() *drainer.Plan { return &plan }
		}, 1},
		{"little time left", [][]part{slow, slow}, 4900 * ms, func(_ *Dispatcher, r *Request, start time.Time) {
			r.Deadline = start.Add(5200 * ms)
		}, 1},
		{"blocked before the silence", [][]part{slow, slow}, 0, func(d *Dispatcher, r *Request, start time.Time) {
			time.AfterFunc(second, func() { crashEverywhere(d, r) })
		}, 1},
		{"blocked while it waits", [][]part{slow, slow}, 2500 * ms, func(d *Dispatcher, r *Request, start time.Time) {
			time.AfterFunc(2200*ms, func() { crashEverywhere(d, r) })
		}, 1},
		{"version expires while it waits", [][]part{slow, slow}, 2500 * ms, func(d *Dispatcher, r *Request, start time.Time) {
			r.Model = "m"
			d.Versions = endingVersions{at: start.Add(2200 * ms)}
		}, 1},
		{"all others refuse", [][]part{slow, plainPart(0, refused), plainPart(0, refused), plainPart(0, refused)}, 0, func(*Dispatcher, *Request, time.Time) {}, maxSends},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				start := time.Now()
				sender := &silentSender{scripts: tc.scripts}
				d := newDispatcher(sender, &budgeter.Budget{Burst: 10}, start)
				var replicas []placer.Replica
				for _, id := range []string{"r1", "r2", "r3", "r4", "r5"} {
					replicas = append(replicas, placer.Replica{
						ID: id, Address: id, Service: "s", FailureDomain: "a", Slots: 2, Engine: &placer.Engine{}, Versions: map[string]int{"m": 1},
					})
				}
				d.Placer.Update(replicas, start)
				if tc.free > 0 {
					d.Placer.Update(replicas[:2], start)
					fill(c, d.Placer, "r2", 4, tc.free)
				}
				r := newRequest(matcher.Idempotent, true, 2, start)
				tc.change(d, r, start)
				sink := &recordingSink{}
				d.Dispatch(context.Background(), r, sink)
				c.Check(sink.data, qt.Equals, "a")
				c.Check(sender.sent, qt.HasLen, tc.sends)
				c.Check(d.Placer.Loads(), qt.DeepEquals, map[string]placer.Load{})
			})
		})
	}
}

// fill takes places at a replica for a time.
func fill(c *qt.C, p *placer.Placer, id string, places int, d time.Duration) {
	for range places {
		placed, err := p.Place(context.Background(), placer.Query{Service: "s", Exclude: []string{"r1"}, ExtraSlots: 2}, time.Now())
		c.Assert(err, qt.IsNil)
		c.Assert(placed.Replica.ID, qt.Equals, id)
		time.AfterFunc(d, func() { placed.Done(placer.Neutral, time.Now()) })
	}
}

// crashEverywhere records crashes of replicas by a request.
func crashEverywhere(d *Dispatcher, r *Request) {
	for _, id := range []string{"x1", "x2", "x3", "x4"} {
		d.Blocker.RecordCrash(blocker.Crash{Fingerprint: r.Fingerprint, Replica: id}, time.Now())
	}
}

// endingVersions allows all versions until a time. It implements Versions.
type endingVersions struct{ at time.Time }

func (endingVersions) OldestAllowed(string, time.Time) int { return 0 }

func (v endingVersions) ExpiresIn(_ string, _ int, now time.Time) (time.Duration, bool) {
	return v.at.Sub(now), true
}

// stubbornSender responds to the second attempt when it is canceled, and after a time. It
// implements Sender.
type stubbornSender struct {
	mu     sync.Mutex
	first  func(ctx context.Context, a Attempt) Outcome
	second func(ctx context.Context) Outcome
	sent   []Attempt
}

func (s *stubbornSender) Send(ctx context.Context, a Attempt) Outcome {
	s.mu.Lock()
	s.sent = append(s.sent, a)
	n := len(s.sent)
	s.mu.Unlock()
	if n == 1 {
		return s.first(ctx, a)
	}
	return s.second(ctx)
}

// closedEvents records that it was closed. It implements Events.
type closedEvents struct {
	scriptedEvents
	closed int
}

func (e *closedEvents) Close() { e.closed++ }

// TestResponsesAtSameMoment guards against a stream that stays open, a place that stays taken
// or a response that is lost if both replicas respond, or the caller leaves, at the same moment.
func TestResponsesAtSameMoment(t *testing.T) {
	broken := Lost{Cause: errBroken, Broken: true}
	tests := []struct {
		name string
		// first is what the first replica responds with, when the other one does if it is
		// awaited, and otherwise earlier. Without it the caller leaves instead.
		first   Outcome
		awaited bool
		second  func(e Events) Outcome
		calls   []string
		data    string
	}{
		{"response, then a stream", answered(200, "a"), false, func(e Events) Outcome { return Streaming{Events: e} }, []string{"respond"}, "a"},
		{"response, then a response", answered(200, "a"), false, func(Events) Outcome { return answered(200, "b") }, []string{"respond"}, "a"},
		{"response, then a crash", answered(200, "a"), false, func(Events) Outcome { return broken }, []string{"respond"}, "a"},
		{"response after one beside it", answered(200, "a"), true, func(Events) Outcome { return answered(200, "b") }, []string{"respond"}, "b"},
		{"stream after a response beside it", streaming(io.EOF), true, func(Events) Outcome { return answered(200, "b") }, []string{"respond"}, "b"},
		{"caller leaves", nil, true, func(e Events) Outcome { return Streaming{Events: e} }, []string{"fail"}, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				events := &closedEvents{scriptedEvents: scriptedEvents{err: io.EOF}}
				firstEvents := &closedEvents{scriptedEvents: scriptedEvents{err: io.EOF}}
				if first, ok := tc.first.(Streaming); ok {
					first.Events = firstEvents
					tc.first = first
				}
				sender := &stubbornSender{}
				sender.first = func(ctx context.Context, a Attempt) Outcome {
					a.OnSilence()
					time.Sleep(second)
					if tc.awaited {
						<-ctx.Done()
					}
					if tc.first == nil {
						cancel()
						return Lost{Cause: ctx.Err()}
					}
					return tc.first
				}
				sender.second = func(ctx context.Context) Outcome {
					if tc.awaited {
						time.Sleep(2 * second)
					} else {
						<-ctx.Done()
					}
					return tc.second(events)
				}
				d := newDispatcher(sender, &budgeter.Budget{Burst: 10}, time.Now())
				d.OnCrash = func(blocker.Crash, time.Time) { t.Error("a canceled attempt counts as a crash") }
				sink := &recordingSink{}
				d.Dispatch(ctx, newRequest(matcher.Idempotent, true, 2, time.Now()), sink)
				c.Check(sink.calls, qt.DeepEquals, tc.calls)
				c.Check(sink.data, qt.Equals, tc.data)
				if _, ok := tc.second(events).(Streaming); ok {
					c.Check(events.closed, qt.Equals, 1)
				}
				if _, ok := tc.first.(Streaming); ok {
					c.Check(firstEvents.closed, qt.Equals, 1)
				}
				c.Check(d.Placer.Loads(), qt.DeepEquals, map[string]placer.Load{})
			})
		})
	}
}

// TestLateReportOfSilence guards against an attempt beside a replica that has responded, the
// silence of which is reported late, and against a later silence that goes unnoticed then.
func TestLateReportOfSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		sender := &stubbornSender{}
		events := &reportingEvents{sender: sender}
		sender.first = func(_ context.Context, a Attempt) Outcome {
			events.onSilence = a.OnSilence
			return Streaming{Events: events}
		}
		sender.second = func(context.Context) Outcome { return Lost{Cause: errBroken} }
		d := newDispatcher(sender, &budgeter.Budget{Burst: 10}, time.Now())
		d.Dispatch(context.Background(), newRequest(matcher.Streaming, true, 2, time.Now()), &reportingSink{events: events})
		c.Check(events.sentBefore, qt.Equals, 1)
		c.Check(sender.sent, qt.HasLen, 2)
	})
}

// reportingEvents has one event, and a silence before its end. It implements Events.
type reportingEvents struct {
	sender    *stubbornSender
	onSilence func()
	read      bool
	// sentBefore is the number of attempts before the silence.
	sentBefore int
}

func (e *reportingEvents) Next() (Batch, error) {
	if e.read {
		e.sentBefore = len(e.sender.sent)
		e.onSilence()
		time.Sleep(second)
		return Batch{}, io.EOF
	}
	e.read = true
	return Batch{Data: []byte("1"), LastID: "1"}, nil
}

func (e *reportingEvents) Close() {}

// reportingSink reports silence while an event is forwarded.
type reportingSink struct {
	recordingSink
	events *reportingEvents
}

func (s *reportingSink) Write(data []byte) error {
	s.events.onSilence()
	synctest.Wait()
	return s.recordingSink.Write(data)
}

// TestEndOfAttemptBesideSilentOne guards against the loss of what an attempt beside a silent
// one showed: a crash, a server error, or that the request may have run.
func TestEndOfAttemptBesideSilentOne(t *testing.T) {
	refused := Refused{Proof: prover.RefusedByReplica(503, true)}
	broken := Lost{Cause: errBroken, Broken: true}
	tests := []struct {
		name    string
		scripts [][]part
		burst   float64
		calls   []string
		crashes int32
		retries int32
	}{
		{"crash beside a response", [][]part{plainPart(3*second, answered(200, "a")), plainPart(0, broken)}, 10, []string{"respond"}, 1, 1},
		{"crash, then a response beside it", [][]part{plainPart(2*second, broken), plainPart(second, answered(200, "b"))}, 10, []string{"respond"}, 1, 1},
		{"both crash", [][]part{plainPart(2*second, broken), plainPart(second, broken)}, 10, []string{"fail"}, 2, 1},
		{"error beside a lost attempt", [][]part{plainPart(3*second, Lost{Cause: errBroken}), plainPart(0, answered(500, "e"))}, 10, []string{"respond"}, 0, 1},
		{"lost beside a refusal", [][]part{plainPart(3*second, refused), plainPart(0, broken), plainPart(0, refused), plainPart(0, refused)}, 10, []string{"fail"}, 1, 3},
		{"refusal while the last retry is in use", [][]part{plainPart(2*second, refused), plainPart(second, answered(200, "b"))}, 1, []string{"respond"}, 0, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				start := time.Now()
				d := newDispatcher(&silentSender{scripts: tc.scripts}, &budgeter.Budget{Burst: tc.burst}, start)
				observer := &countingObserver{}
				d.Observer = observer
				var crashes atomic.Int32
				d.OnCrash = func(blocker.Crash, time.Time) { crashes.Add(1) }
				sink := &recordingSink{}
				d.Dispatch(context.Background(), newRequest(matcher.Idempotent, true, 2, start), sink)
				c.Check(sink.calls, qt.DeepEquals, tc.calls)
				c.Check(crashes.Load(), qt.Equals, tc.crashes)
				c.Check(observer.retried.Load(), qt.Equals, tc.retries)
				c.Check(d.Placer.Loads(), qt.DeepEquals, map[string]placer.Load{})
			})
		})
	}
}

// TestStalledStreamEndsBeforeCallerLeaves guards against the end of a stream whose caller
// still waits.
func TestStalledStreamEndsBeforeCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &scriptedSender{outcomes: []Outcome{streaming(io.EOF)}}
		d := newDispatcher(sender, &budgeter.Budget{}, time.Now())
		d.Dispatch(context.Background(), newRequest(matcher.Streaming, true, 2, time.Now()), &recordingSink{})
		// Callers wait for 2 s.
		qt.Check(t, sender.sent[0].StallTimeout, qt.Equals, 2500*ms)
	})
}

// TestCrashKnownLate guards against a crash that is counted, and a place at the crashed replica
// that is free, only at the end of the attempt beside the one that crashed.
func TestCrashKnownLate(t *testing.T) {
	broken := Lost{Cause: errBroken, Broken: true}
	tests := []struct {
		name    string
		kind    matcher.Kind
		scripts [][]part
		at      time.Duration
	}{
		{"plain", matcher.Idempotent, [][]part{plainPart(2*second, broken), plainPart(2*second, answered(200, "b"))}, 2 * second},
		{"stream", matcher.Streaming, [][]part{
			{{event: "1"}, {after: 1500 * ms, err: errBroken}}, {{after: 2 * second, event: "2"}, {err: io.EOF}},
		}, 1500 * ms},
		{"stream, breaks after an event", matcher.Streaming, [][]part{
			{{event: "1"}, {after: 1500 * ms, event: "2", err: errBroken}}, {{after: 2 * second, event: "2"}, {err: io.EOF}},
		}, 1500 * ms},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				start := time.Now()
				d := newDispatcher(&silentSender{scripts: tc.scripts}, &budgeter.Budget{Burst: 10}, start)
				var at []time.Duration
				d.OnCrash = func(blocker.Crash, time.Time) { at = append(at, time.Since(start)) }
				time.AfterFunc(tc.at+ms, func() { c.Check(d.Placer.Loads(), qt.HasLen, 1) })
				d.Dispatch(context.Background(), newRequest(tc.kind, true, 2, start), &recordingSink{})
				c.Check(at, qt.DeepEquals, []time.Duration{tc.at})
			})
		})
	}
}

// slowObserver takes a moment to count a retry, in which the first attempt ends.
type slowObserver struct {
	noopObserver
	counted chan struct{}
}

func (o *slowObserver) Retried(string) {
	select {
	case <-o.counted:
	default:
		close(o.counted)
		time.Sleep(20 * ms)
	}
}

// TestRetryTakenInVain guards against a request that is refused because a retry was taken for
// an attempt beside a silent one that is not made, since the silent one has ended.
func TestRetryTakenInVain(t *testing.T) {
	c := qt.New(t)
	counted := make(chan struct{})
	sender := &stubbornSender{second: func(context.Context) Outcome { return answered(200, "b") }}
	sender.first = func(_ context.Context, a Attempt) Outcome {
		a.OnSilence()
		<-counted
		return Refused{Proof: prover.RefusedByReplica(503, true)}
	}
	d := newDispatcher(sender, &budgeter.Budget{Burst: 1}, time.Now())
	d.Observer = &slowObserver{counted: counted}
	sink := &recordingSink{}
	d.Dispatch(context.Background(), newRequest(matcher.Idempotent, true, 2, time.Now()), sink)
	c.Check(sink.calls, qt.DeepEquals, []string{"respond"})
}
