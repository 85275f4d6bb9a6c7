package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/drainer"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/request/prover"
)

// TestAttemptBeginsInStop guards against an attempt that a stopping daemon begins although
// it may not be able to wait for its end.
func TestAttemptBeginsInStop(t *testing.T) {
	refused := Refused{Proof: prover.RefusedByReplica(503, true)}
	lost := Lost{Cause: errBroken}
	broken := streaming(errBroken, Batch{Data: []byte("1"), LastID: "1"})
	tests := []struct {
		name      string
		kind      matcher.Kind
		resumable bool
		// first is the outcome of the attempt in which the stop begins.
		first Outcome
		// since is the time since the beginning of the stop after that attempt.
		since time.Duration
		alone bool
		calls []string
		sends int
	}{
		{"runs once, ends in time", matcher.NonIdempotent, false, refused, time.Second, false, []string{"respond"}, 2},
		{"runs once, may outlast the stop", matcher.NonIdempotent, false, refused, 2 * time.Second, false, []string{"refuse"}, 1},
		{"runs once, no other daemon", matcher.NonIdempotent, false, refused, 2 * time.Second, true, []string{"respond"}, 2},
		{"stream that runs once", matcher.Streaming, false, refused, 2 * time.Second, false, []string{"refuse"}, 1},
		{"repeatable, in the intake", matcher.Idempotent, false, refused, 2 * time.Second, false, []string{"respond"}, 2},
		{"repeatable, after the intake", matcher.Idempotent, false, refused, 3 * time.Second, false, []string{"refuse"}, 1},
		{"may have run, time for a repeat", matcher.Idempotent, false, lost, 3 * time.Second, false, []string{"respond"}, 2},
		{"may have run, no time for a repeat", matcher.Idempotent, false, lost, 7 * time.Second, false, []string{"fail"}, 1},
		{"failed at its replica, no time for a repeat", matcher.Idempotent, false, answered(500, "x"), 7 * time.Second, false, []string{"respond"}, 1},
		{"stream broke, no time to resume", matcher.Streaming, true, broken, 7 * time.Second, false, []string{"begin", "abort"}, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				sender := &scriptedSender{outcomes: []Outcome{tc.first, answered(200, "x")}}
				now := time.Now()
				d := newDispatcher(sender, &budgeter.Budget{Burst: 10}, now)
				plan := drainer.NewPlan(now.Add(-tc.since), 2500*time.Millisecond, 8*time.Second)
				plan.HasOtherDaemon = func(time.Time) bool { return !tc.alone }
				d.Stop = func() *drainer.Plan {
					if len(sender.sent) == 0 {
						return nil
					}
					return &plan
				}
				sink := &recordingSink{}
				d.Dispatch(context.Background(), newRequest(tc.kind, tc.resumable, 2, now), sink)
				c.Check(sink.calls, qt.DeepEquals, tc.calls)
				c.Check(sender.sent, qt.HasLen, tc.sends)
				if tc.calls[0] == "refuse" {
					c.Check(sink.retryAfter, qt.Equals, drainer.RetryAfter)
				}
			})
		})
	}
}
