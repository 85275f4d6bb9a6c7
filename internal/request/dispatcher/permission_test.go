package dispatcher

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/internal/request/prover"
	"github.com/lentilbridge/lentilbridge/internal/request/warmer"
)

// interruptedVersions calls a function between the decision on a replica and the send, where the VM may
// be paused and what other daemons know may change. It implements Versions.
type interruptedVersions struct {
	between func(decisions int)
	calls   int
}

func (*interruptedVersions) OldestAllowed(string, time.Time) int { return 0 }

func (v *interruptedVersions) ExpiresIn(string, int, time.Time) (time.Duration, bool) {
	v.calls++
	v.between(v.calls)
	return 0, false
}

// observedPermissions counts what it observes.
type observedPermissions struct {
	noopObserver
	notPermitted int
	excluded     placer.Exclusions
}

func (o *observedPermissions) NotPermitted(string) { o.notPermitted++ }

func (o *observedPermissions) Excluded(_ string, e placer.Exclusions) { o.excluded = e }

// turnCold makes the replicas of failure domain a cold. The daemon receives messages of no other one and has no share in them.
func turnCold(p *placer.Placer, _ int) {
	p.Warmer = &warmer.Warmer{}
	setCold(p)
}

// TestSendAfterDecision guards against a request that is sent on a decision made before a pause of the
// VM: its replica may drain, be evacuated or be cold since then.
func TestSendAfterDecision(t *testing.T) {
	drained := placedReplicas("a", "b")
	for i := range drained {
		drained[i].Draining = drained[i].FailureDomain == "a"
	}
	tests := []struct {
		name    string
		kind    matcher.Kind
		between func(p *placer.Placer, decisions int)
		calls   []string
		// domains are the failure domains that requests reached.
		domains      []string
		notPermitted int
	}{
		{"nothing happens", matcher.NonIdempotent, func(*placer.Placer, int) {}, []string{"respond"}, []string{"a"}, 0},
		{"evacuated", matcher.NonIdempotent, func(p *placer.Placer, _ int) { p.SetEvacuated([]string{"a"}, time.Now()) }, []string{"respond"}, []string{"b"}, 1},
		{"all evacuated", matcher.NonIdempotent, func(p *placer.Placer, _ int) { p.SetEvacuated([]string{"a", "b"}, time.Now()) }, []string{"refuse"}, nil, 1},
		{"other evacuated at the second decision", matcher.NonIdempotent, func(p *placer.Placer, decisions int) {
			p.SetEvacuated([]string{[]string{"", "a", "b", "b"}[decisions]}, time.Now())
		}, []string{"respond"}, []string{"a"}, 2},
		{"turns cold", matcher.NonIdempotent, turnCold, []string{"respond"}, []string{"b"}, 1},
		{"drains", matcher.Idempotent, func(p *placer.Placer, _ int) { p.Update(drained, time.Now()) }, []string{"respond"}, []string{"b"}, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				sender := &scriptedSender{outcomes: []Outcome{answered(200, "x")}}
				d := newPlacedDispatcher(sender, budgeter.New(), "a", "b")
				observer := &observedPermissions{}
				d.Observer = observer
				d.Versions = &interruptedVersions{between: func(decisions int) { tc.between(d.Placer, decisions) }}
				sink := dispatchModel(d, newRequest(tc.kind, false, 1, time.Now()))
				c.Check(sink.calls, qt.DeepEquals, tc.calls)
				c.Check(reachedDomains(sender.sent), qt.DeepEquals, tc.domains)
				c.Check(observer.notPermitted, qt.Equals, tc.notPermitted)
				if sink.calls[0] == "refuse" {
					c.Check(sink.retryAfter > 0, qt.IsTrue)
					c.Check(observer.excluded.Evacuations > 0, qt.IsTrue)
				}
				// Attempts that were not sent leave no request on their replicas.
				c.Check(d.Placer.Loads(), qt.HasLen, 0)
			})
		})
	}
}

// TestRegionsOnEveryPath guards against a restricted request that reaches a replica in another region on a path
// other than that of the first attempt.
func TestRegionsOnEveryPath(t *testing.T) {
	const ms = time.Millisecond
	refused := Refused{Proof: prover.RefusedByReplica(503, true)}
	whole := []part{{event: "1"}, {err: io.EOF}}
	tests := []struct {
		name    string
		kind    matcher.Kind
		regions matcher.Regions
		scripts [][]part
		// busy is the time until which the replicas in the allowed region have no free slots.
		busy  time.Duration
		calls []string
		sends int
	}{
		{"first attempt", matcher.Streaming, matcher.Regions{"region of b"}, [][]part{whole}, 0, []string{"begin", "end"}, 1},
		{"queued", matcher.Streaming, matcher.Regions{"region of b"}, [][]part{whole}, 80 * ms, []string{"begin", "end"}, 1},
		{"queued in vain", matcher.Streaming, matcher.Regions{"region of b"}, nil, 2 * time.Second, []string{"refuse"}, 0},
		{"refused", matcher.NonIdempotent, matcher.Regions{"region of b"}, [][]part{{{outcome: refused}}, {{outcome: answered(200, "x")}}}, 0, []string{"respond"}, 2},
		{"refused by all", matcher.NonIdempotent, matcher.Regions{"region of b"}, [][]part{{{outcome: refused}}, {{outcome: refused}}}, 0, []string{"refuse"}, 2},
		{"resumed", matcher.Streaming, matcher.Regions{"region of b"}, [][]part{{{event: "1"}, {err: errBroken}}, {{event: "2"}, {err: io.EOF}}}, 0, []string{"begin", "end"}, 2},
		{"resumed in vain", matcher.Streaming, matcher.Regions{"region of b"}, [][]part{{{event: "1"}, {err: errBroken}}, {{event: "2"}, {err: errBroken}}}, 0, []string{"begin", "abort"}, 2},
		{"silent", matcher.Streaming, matcher.Regions{"region of b"}, [][]part{silentStream(1900 * ms), {{event: "2"}, {err: io.EOF}}}, 0, []string{"begin", "end"}, 2},
		{"no replica", matcher.Streaming, matcher.Regions{"region of c"}, nil, 0, []string{"refuse"}, 0},
		{"no region", matcher.Idempotent, matcher.Regions{}, nil, 0, []string{"refuse"}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				now := time.Now()
				sender := &silentSender{scripts: tc.scripts}
				d := newPlacedDispatcher(sender, &budgeter.Budget{Burst: 10}, "a", "b")
				observer := &observedPermissions{}
				d.Observer = observer
				keepBusy(d.Placer, tc.regions, tc.busy)
				r := newRequest(tc.kind, true, 3, now)
				r.Regions = tc.regions
				sink := dispatchModel(d, r)
				c.Check(sink.calls, qt.DeepEquals, tc.calls)
				c.Check(sender.sent, qt.HasLen, tc.sends)
				for _, a := range sender.sent {
					c.Check(tc.regions.Allows(a.Replica.Region), qt.IsTrue, qt.Commentf("attempt %d reached %s", a.Number, a.Replica.ID))
				}
				if tc.calls[0] == "refuse" {
					c.Check(sink.retryAfter > 0, qt.IsTrue)
					if tc.sends == 0 && tc.busy == 0 {
						c.Check(time.Since(now), qt.Equals, time.Duration(0))
						c.Check(observer.excluded.Regions, qt.Equals, 4)
					}
				}
				time.Sleep(tc.busy)
			})
		})
	}
}

// TestOnlyReplicaAfterPause guards against a request that is refused because its only replica counts as tried,
// although the attempt was not sent: the daemon had been paused, and knows a moment later that nothing was evacuated.
func TestOnlyReplicaAfterPause(t *testing.T) {
	for _, kind := range []matcher.Kind{matcher.Idempotent, matcher.NonIdempotent, matcher.Streaming} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				now := time.Now()
				sender := &scriptedSender{outcomes: []Outcome{answered(200, "x")}}
				d := newDispatcher(sender, budgeter.New(), now)
				d.Placer.Update(placedReplicas("a")[:1], now)
				asked := 0
				d.Placer.Current = func() bool {
					if asked++; asked > 1 {
						return true
					}
					d.Placer.SetSuspended(true, time.Now())
					time.AfterFunc(20*time.Millisecond, func() { d.Placer.SetSuspended(false, time.Now()) })
					return false
				}
				sink := dispatchModel(d, newRequest(kind, true, 2, now))
				c.Check(sink.calls, qt.DeepEquals, []string{"respond"})
				c.Check(sender.sent, qt.HasLen, 1)
			})
		})
	}
}

// TestRegionsChangeMeanwhile guards against a request that is sent under the regions of a configuration that was
// replaced while it waited, was placed or ran on another replica.
func TestRegionsChangeMeanwhile(t *testing.T) {
	const ms = time.Millisecond
	a, b := matcher.Regions{"region of a"}, matcher.Regions{"region of b"}
	both := matcher.Regions{"region of a", "region of b"}
	broken := []part{{event: "1"}, {err: errBroken}}
	tests := []struct {
		name            string
		regions, change matcher.Regions
		// after is the time of the change, and busy that until which no replica has a free slot.
		after, busy time.Duration
		scripts     [][]part
		calls       []string
		domains     []string
	}{
		{"before the first attempt", nil, b, 0, 0, [][]part{{{event: "1"}, {err: io.EOF}}}, []string{"begin", "end"}, []string{"b"}},
		{"in the queue", nil, b, 40 * ms, 80 * ms, [][]part{{{event: "1"}, {err: io.EOF}}}, []string{"begin", "end"}, []string{"b"}},
		{"in the queue, none left", a, b, 40 * ms, 80 * ms, [][]part{{{event: "1"}, {err: io.EOF}}}, []string{"refuse"}, nil},
		{"before a stream is resumed", a, b, 5 * ms, 0, [][]part{{{event: "1"}, {after: 20 * ms, err: errBroken}}, {{event: "2"}, {err: io.EOF}}}, []string{"begin", "abort"}, []string{"a"}},
		{"before a stream is resumed elsewhere", both, b, 5 * ms, 0, [][]part{{{event: "1"}, {after: 20 * ms, err: errBroken}}, {{event: "2"}, {err: io.EOF}}}, []string{"begin", "end"}, []string{"a", "b"}},
		{"wider", a, nil, 0, 0, [][]part{broken, broken}, []string{"begin", "abort"}, []string{"a", "a"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				now := time.Now()
				sender := &silentSender{scripts: tc.scripts}
				d := newPlacedDispatcher(sender, &budgeter.Budget{Burst: 10}, "a", "b")
				d.Regions = func(r *Request) matcher.Regions {
					if time.Since(now) >= tc.after {
						return matcher.CommonRegions(r.Regions, tc.change)
					}
					return r.Regions
				}
				keepBusy(d.Placer, nil, tc.busy)
				r := newRequest(matcher.Streaming, true, 3, now)
				r.Regions = tc.regions
				sink := dispatchModel(d, r)
				c.Check(sink.calls, qt.DeepEquals, tc.calls)
				c.Check(reachedDomains(sender.sent), qt.DeepEquals, tc.domains)
				time.Sleep(tc.busy)
			})
		})
	}
}

// TestUnsentAlternativeTakesNoRetry guards against retries and attempts that are used up by attempts beside a silent
// replica that are not sent, because their replicas are evacuated in between: later ones may not be made then.
func TestUnsentAlternativeTakesNoRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		sender := &silentSender{scripts: [][]part{silentStream(time.Hour), {{event: "2"}, {err: io.EOF}}}}
		budget := &budgeter.Budget{Burst: 1}
		d := newPlacedDispatcher(sender, budget, "a", "b", "c", "d", "e")
		observer := &observedPermissions{}
		d.Observer = observer
		d.Versions = &interruptedVersions{between: func(decisions int) {
			// Each decision but the first and the last is followed by the evacuation of all but one failure domain.
			if decisions > 1 {
				d.Placer.SetEvacuated([][]string{{"a", "b", "c", "d"}, {"a", "b", "c", "e"}, {"a", "b", "d", "e"}, {"a", "c", "d", "e"}, {"a"}}[min(decisions-2, 4)], time.Now())
			}
		}}
		sink := dispatchModel(d, newRequest(matcher.Streaming, true, 3, time.Now()))
		c.Check(sink.calls, qt.DeepEquals, []string{"begin", "end"})
		c.Check(sender.sent, qt.HasLen, 2)
		c.Check(observer.notPermitted > 0, qt.IsTrue)
		c.Check(budget.Take(time.Now()), qt.IsFalse)
	})
}
