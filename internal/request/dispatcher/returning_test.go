package dispatcher

import (
	"context"
	"io"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/internal/request/prover"
)

// busySlots takes all slots of the replicas of a dispatcher and releases them after a
// while.
type busySlots struct {
	placements []placer.Placement
	until      time.Duration
}

func (b *busySlots) run() {
	time.Sleep(b.until)
	for _, p := range b.placements {
		p.Done(placer.Succeeded, time.Now())
	}
}

// TestReturningCallerWaits guards against a second refusal of a caller who returned at the
// time of its Retry-After, while replicas are busy for a second: the caller gives up after
// it. A new request is still refused at once, so that it can return in time.
func TestReturningCallerWaits(t *testing.T) {
	tests := []struct {
		name      string
		returning bool
		busy      time.Duration
		want      string
	}{
		{"new request, busy for a second", false, time.Second, "refuse"},
		{"returning request, busy for a second", true, time.Second, "begin"},
		{"returning request, busy for long", true, 10 * time.Second, "refuse"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				now := time.Now()
				d := newDispatcher(&scriptedSender{outcomes: []Outcome{streaming(io.EOF, Batch{Data: []byte("x")})}}, budgeter.New(), now)
				busy := &busySlots{until: tc.busy}
				for {
					p, err := d.Placer.Place(context.Background(), placer.Query{Service: "s"}, now)
					if err != nil {
						break
					}
					busy.placements = append(busy.placements, p)
				}
				go busy.run()
				r := newRequest(matcher.Streaming, true, 2, now)
				r.Route.TargetLatency, r.Deadline = 400*time.Millisecond, now.Add(4*time.Second)
				r.Returning = tc.returning
				sink := &recordingSink{}
				d.Dispatch(context.Background(), r, sink)
				c.Assert(sink.calls[0], qt.Equals, tc.want)
				c.Assert(time.Since(now) < 2*time.Second, qt.IsTrue, qt.Commentf("ended after %s", time.Since(now)))
				time.Sleep(tc.busy)
			})
		})
	}
}

// TestCallerReturnsBeforeReplicas guards against callers that are asked to return while all
// replicas still hold requests off, and against requests that wait until then.
func TestCallerReturnsBeforeReplicas(t *testing.T) {
	tests := []struct {
		name string
		held time.Duration
		want time.Duration
	}{
		{"for longer than the usual delay", 3 * time.Second, 3500 * time.Millisecond},
		{"for less than half of it", 400 * time.Millisecond, time.Second},
	}
	for _, tc := range tests {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			now := time.Now()
			d := newDispatcher(&scriptedSender{}, budgeter.New(), now)
			for _, id := range []string{"r1", "r2", "r3", "r4", "r5"} {
				d.Placer.HoldOff(placer.Replica{ID: id}, now.Add(tc.held), now)
			}
			r := newRequest(matcher.Idempotent, false, 2, now)
			r.Route.TargetLatency = 100 * time.Millisecond
			sink := &recordingSink{}
			d.Dispatch(context.Background(), r, sink)
			c.Check(sink.calls, qt.DeepEquals, []string{"refuse"}, qt.Commentf(tc.name))
			c.Check(sink.retryAfter, qt.Equals, tc.want, qt.Commentf(tc.name))
			c.Check(time.Since(now), qt.Equals, time.Duration(0), qt.Commentf(tc.name))
		})
	}
}

// pausingSender refuses each attempt and makes the replica hold requests off.
type pausingSender struct {
	placer *placer.Placer
	wait   time.Duration
}

func (s *pausingSender) Send(_ context.Context, a Attempt) Outcome {
	now := time.Now()
	s.placer.HoldOff(a.Replica, now.Add(s.wait), now)
	return Refused{Proof: prover.RefusedByReplica(503, true)}
}

// TestCallerReturnsBeforeTriedReplica guards against callers that are asked to return before
// the replicas that have just refused their request and hold all requests off.
func TestCallerReturnsBeforeTriedReplica(t *testing.T) {
	tests := []struct {
		name     string
		replicas int
		budget   *budgeter.Budget
	}{
		{"the only replica", 1, budgeter.New()},
		{"both replicas", 2, budgeter.New()},
		{"more than are tried", maxSends, budgeter.New()},
		{"the only replica, no retries left", 1, &budgeter.Budget{}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				sender := &pausingSender{wait: 3 * time.Second}
				d := newDispatcher(sender, tc.budget, now)
				sender.placer = d.Placer
				var list []placer.Replica
				for i := range tc.replicas {
					list = append(list, placer.Replica{ID: "r" + strconv.Itoa(i), Address: "r" + strconv.Itoa(i), Service: "s", Slots: 2})
				}
				d.Placer.Update(list, now)
				sink := &recordingSink{}
				d.Dispatch(context.Background(), newRequest(matcher.Idempotent, false, 2, now), sink)
				qt.Assert(t, sink.calls, qt.DeepEquals, []string{"refuse"})
				qt.Assert(t, sink.retryAfter, qt.Equals, 3500*time.Millisecond)
			})
		})
	}
}

// expiringVersions allows version 1 of each model until a time, and only later ones from
// then on. It implements Versions.
type expiringVersions struct{ end time.Time }

func (v expiringVersions) OldestAllowed(_ string, now time.Time) int {
	if now.Before(v.end) {
		return 1
	}
	return 2
}

func (v expiringVersions) ExpiresIn(_ string, version int, now time.Time) (time.Duration, bool) {
	return v.end.Sub(now), version < 2
}

// TestVersionExpiresWhileWaiting guards against a request that is sent to a replica whose
// version has expired while the request waited for a place there.
func TestVersionExpiresWhileWaiting(t *testing.T) {
	tests := []struct {
		name    string
		expires time.Duration
		want    string
		sends   int
	}{
		{"after the wait", 2 * time.Second, "begin", 1},
		{"during the wait", 500 * time.Millisecond, "refuse", 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				now := time.Now()
				sender := &scriptedSender{outcomes: []Outcome{streaming(io.EOF, Batch{Data: []byte("x")})}}
				d := newDispatcher(sender, budgeter.New(), now)
				d.Versions = expiringVersions{now.Add(tc.expires)}
				d.Placer.Update([]placer.Replica{{
					ID: "r1", Address: "r1", Service: "s", FailureDomain: "a", Slots: 1, Engine: &placer.Engine{}, Versions: map[string]int{"m": 1},
				}}, now)
				p, err := d.Placer.Place(context.Background(), placer.Query{Service: "s"}, now)
				c.Assert(err, qt.IsNil)
				go (&busySlots{placements: []placer.Placement{p}, until: time.Second}).run()
				r := newRequest(matcher.Streaming, true, 2, now)
				r.Model, r.Returning = "m", true
				sink := &recordingSink{}
				d.Dispatch(context.Background(), r, sink)
				c.Assert(sink.calls[0], qt.Equals, tc.want)
				c.Assert(sender.sent, qt.HasLen, tc.sends)
			})
		})
	}
}
