package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/drainer"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/internal/request/prover"
)

const (
	// drawnEvents is the number of events of a drawn stream.
	drawnEvents = 4
	// gridStep is the step of all drawn times, so that many of them coincide.
	gridStep = 100 * time.Millisecond
)

// drawnSender draws what each attempt does. It implements Sender.
type drawnSender struct {
	mu   sync.Mutex
	rand *rand.Rand
	// sound makes the first attempt one that ends well, with pauses in which no caller leaves,
	// and no other one fail after it has begun to respond.
	sound  bool
	sent   []Attempt
	sentAt []time.Time
	// unrefused counts the attempts that were not refused.
	unrefused int
	// inProgress counts the attempts without an outcome and the streams that are not closed.
	inProgress atomic.Int32
}

func (s *drawnSender) step(limit int) time.Duration {
	return time.Duration(s.rand.IntN(limit+1)) * gridStep
}

// pause is short for most events and long for some.
func (s *drawnSender) pause(limit int) time.Duration {
	if s.rand.IntN(3) > 0 {
		return s.step(2)
	}
	return s.step(limit)
}

// script draws the parts of a response.
func (s *drawnSender) script(a Attempt, sound, ends bool) []part {
	kind := s.rand.IntN(8)
	delay := s.pause(30)
	if sound {
		delay = s.pause(19)
	}
	switch {
	case sound:
	case kind == 0:
		return []part{{after: delay, outcome: Refused{Proof: prover.RefusedByReplica(503, true)}}}
	case kind == 1:
		return []part{{after: delay, outcome: Refused{Proof: prover.NeverConnected(errBroken)}}}
	case kind == 2:
		return []part{{after: delay, outcome: Lost{Cause: errBroken, Broken: true}}}
	case kind == 3:
		return []part{{after: delay, outcome: answered(500, "e")}}
	case kind == 4:
		return []part{{after: time.Hour, outcome: Lost{Cause: errBroken}}}
	}
	if a.Request.Route.Kind != matcher.Streaming {
		return []part{{after: delay, outcome: answered(200, "a")}}
	}
	first, _ := strconv.Atoi(a.LastEventID)
	breaks := drawnEvents + 1
	if !ends && s.rand.IntN(2) == 0 {
		breaks = first + 1 + s.rand.IntN(drawnEvents-first+1)
	}
	var parts []part
	for n := first + 1; n <= drawnEvents; n++ {
		p := part{after: delay, event: strconv.Itoa(n)}
		if delay = s.pause(30); sound {
			delay = s.pause(19)
		}
		if n == breaks {
			p.err = errBroken
			if s.rand.IntN(2) == 0 {
				p.event = ""
			}
			return append(parts, p)
		}
		parts = append(parts, p)
	}
	return append(parts, part{after: delay, err: io.EOF})
}

func (s *drawnSender) Send(ctx context.Context, a Attempt) Outcome {
	s.mu.Lock()
	first := len(s.sent) == 0
	parts := s.script(a, s.sound && first, s.sound)
	s.sent, s.sentAt = append(s.sent, a), append(s.sentAt, time.Now())
	s.mu.Unlock()
	s.inProgress.Add(1)
	events := &drawnEventReader{silentEvents: silentEvents{ctx: ctx, attempt: a, parts: parts}, sender: s}
	out := s.begin(events, a)
	if _, ok := out.(Streaming); !ok {
		s.inProgress.Add(-1)
	}
	if _, ok := out.(Refused); !ok {
		s.mu.Lock()
		s.unrefused++
		s.mu.Unlock()
	}
	return out
}

func (s *drawnSender) begin(events *drawnEventReader, a Attempt) Outcome {
	if first := events.parts[0]; first.outcome != nil {
		if err := events.wait(first.after, a.FirstByteSilence); err != nil {
			return Lost{Cause: err}
		}
		return first.outcome
	}
	batch, err := events.next(a.FirstByteSilence)
	if err != nil && !errors.Is(err, io.EOF) && len(batch.Data) == 0 {
		return Lost{Cause: err, Broken: errors.Is(err, errBroken)}
	}
	events.first, events.firstErr, events.hasFirst = batch, err, true
	return Streaming{Response: Response{Status: 200}, Events: events}
}

// drawnEventReader is the stream of a drawnSender. It implements Events.
type drawnEventReader struct {
	silentEvents
	firstErr error
	sender   *drawnSender
	closed   atomic.Bool
}

func (e *drawnEventReader) Next() (Batch, error) {
	if e.hasFirst {
		e.hasFirst = false
		return e.first, e.firstErr
	}
	return e.next(e.attempt.EventSilence)
}

func (e *drawnEventReader) Close() {
	if !e.closed.Swap(true) {
		e.sender.inProgress.Add(-1)
	}
}

// countingObserver counts the retries. It implements Observer.
type countingObserver struct {
	noopObserver
	retried, ended atomic.Int32
}

func (o *countingObserver) Retried(string) { o.retried.Add(1) }

func (o *countingObserver) Ended(*Request, string, time.Duration, time.Duration) { o.ended.Add(1) }

// TestInterleavingBreaksResponse guards against interleavings of two attempts, of the end of a
// request and of changes of the replicas in which events are lost or doubled, a request gets
// no result or two, runs too often, is sent after its end, or leaves a place, a retry or an
// attempt behind, and in which a replica that ends its response loses it.
func TestInterleavingBreaksResponse(t *testing.T) {
	routes := []matcher.Route{
		{Kind: matcher.Streaming, Resumable: true}, {Kind: matcher.Idempotent}, {Kind: matcher.Streaming}, {Kind: matcher.NonIdempotent},
	}
	for seed := range uint64(3000) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // drawn test data
				testInterleaving(t, r, routes[[]int{0, 0, 0, 1, 1, 2, 3}[r.IntN(7)]])
			})
		})
	}
}

func testInterleaving(t *testing.T, r *rand.Rand, route matcher.Route) {
	c := qt.New(t)
	start := time.Now()
	sender := &drawnSender{rand: rand.New(rand.NewPCG(r.Uint64(), 1)), sound: r.IntN(3) == 0} //nolint:gosec // drawn test data
	burst := float64(r.IntN(4))
	d := newDispatcher(sender, &budgeter.Budget{Burst: burst}, start)
	observer := &countingObserver{}
	d.Observer = observer
	d.Placer.Random = rand.New(rand.NewPCG(r.Uint64(), 1)).Float64 //nolint:gosec // drawn test data
	replicas := plainReplicas(1 + r.IntN(3))
	d.Placer.Update(replicas, start)
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	leaves := !sender.sound && r.IntN(3) == 0
	end := start.Add(6 * time.Second)
	if leaves {
		at := time.Duration(1+r.IntN(40)) * gridStep
		var cause error
		if r.IntN(2) == 0 {
			plan := drainer.NewPlan(start.Add(at-5*time.Second), 2500*time.Millisecond, 8*time.Second)
			plan.RequestsEnd = start.Add(at)
			d.Stop = func() *drainer.Plan { return &plan }
			cause = &drainer.StoppedError{}
		}
		end = start.Add(at)
		time.AfterFunc(at, func() { cancel(cause) })
	}
	// Replicas leave, come back, hold requests off and have no place.
	for range r.IntN(4) {
		kind, at := r.IntN(4), time.Duration(r.IntN(40))*gridStep
		change := replicas[r.IntN(len(replicas))]
		hold := time.Duration(r.IntN(20)) * gridStep
		fewer := plainReplicas(1 + r.IntN(3))
		time.AfterFunc(at, func() {
			now := time.Now()
			switch kind {
			case 0:
				d.Placer.HoldOff(change, now.Add(hold), now)
			case 1:
				d.Placer.Update(fewer, now)
			case 2:
				d.Placer.Update(nil, now)
			case 3:
				for range 4 {
					placed, err := d.Placer.Place(context.Background(), placer.Query{Service: "s", ExtraSlots: 2}, now)
					if err == nil {
						time.AfterFunc(hold, func() { placed.Done(placer.Neutral, time.Now()) })
					}
				}
			}
		})
	}
	req := newRequest(route.Kind, route.Resumable, 1+r.IntN(3), start)
	sink := &recordingSink{}
	d.Dispatch(ctx, req, sink)
	took := time.Since(start)
	comment := qt.Commentf("%v, attempts %d, burst %v, sent %d %v, %v %q after %s", route, req.Route.MaxAttempts, burst, len(sender.sent), sender.sentAt, sink.calls, sink.data, took)

	calls := strings.Join(sink.calls, " ")
	c.Check(map[string]bool{"respond": true, "refuse": true, "fail": true, "timeout": true, "begin end": true, "begin abort": true}[calls], qt.IsTrue, comment)
	c.Check(observer.ended.Load(), qt.Equals, int32(1), comment)
	if strings.HasPrefix(calls, "begin") {
		c.Check(sink.data, qt.Equals, "1234"[:len(sink.data)], comment)
	}
	if calls == "begin end" {
		c.Check(sink.data, qt.Equals, "1234", comment)
	}
	if calls == "refuse" {
		c.Check(sender.unrefused, qt.Equals, 0, comment)
	}
	limit := 1
	if route.Repeatable() {
		limit = req.Route.MaxAttempts
	}
	c.Check(sender.unrefused <= limit, qt.IsTrue, comment)
	c.Check(len(sender.sent) <= maxSends, qt.IsTrue, comment)
	c.Check(observer.retried.Load() <= int32(burst), qt.IsTrue, comment)
	// A retry may be taken before a place is found.
	c.Check(int(observer.retried.Load()) <= max(len(sender.sent), 1), qt.IsTrue, comment)
	for _, at := range sender.sentAt {
		c.Check(at.After(end), qt.IsFalse, comment)
	}
	c.Check(took <= end.Sub(start), qt.IsTrue, comment)
	c.Check(sender.inProgress.Load(), qt.Equals, int32(0), comment)
	if sender.sound && len(sender.sent) > 0 && took < 6*time.Second {
		c.Check(calls == "respond" && sink.data == "a" || calls == "begin end", qt.IsTrue, comment)
	}
	time.Sleep(10 * time.Second)
	c.Check(d.Placer.Loads(), qt.DeepEquals, map[string]placer.Load{}, comment)
	d.Placer.Update(plainReplicas(3), time.Now())
	c.Check(countPlaces(d.Placer), qt.Equals, 6, comment)
}

// countPlaces takes all free places and returns their number. Replicas that have held requests
// off take the first ones a moment apart.
func countPlaces(p *placer.Placer) int {
	const attempts = 10
	n := 0
	for range attempts {
		for {
			if _, err := p.Place(context.Background(), placer.Query{Service: "s"}, time.Now()); err != nil {
				break
			}
			n++
		}
		time.Sleep(time.Second)
	}
	return n
}
