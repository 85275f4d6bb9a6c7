package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/internal/request/prover"
)

// leavingSender returns an outcome after the caller has left.
type leavingSender struct {
	leave   context.CancelFunc
	outcome Outcome
	sends   int
}

func (s *leavingSender) Send(context.Context, Attempt) Outcome {
	s.sends++
	s.leave()
	return s.outcome
}

// endObserver records how a request ended.
type endObserver struct {
	noopObserver
	outcome string
}

func (o *endObserver) Ended(_ *Request, outcome string, _, _ time.Duration) { o.outcome = outcome }

// TestLeftCallerIsToldThatRequestMayHaveRun guards against a caller that closes its side of
// the connection, waits for the response, and is informed that its request may have run though
// it has not, or the other way round.
func TestLeftCallerIsToldThatRequestMayHaveRun(t *testing.T) {
	tests := []struct {
		name string
		// outcome is that of the attempt in which the caller leaves; without one it leaves
		// while the request waits for a place.
		outcome Outcome
		calls   []string
	}{
		{"waits for a place", nil, []string{"refuse"}},
		{"refused by the replica", Refused{Proof: prover.RefusedByReplica(503, true)}, []string{"refuse"}},
		{"may have run", Lost{Cause: errBroken}, []string{"fail"}},
		{"failed at the replica", answered(500, "x"), []string{"respond"}},
		{"within its stream", streaming(errBroken, Batch{Data: []byte("1"), LastID: "1"}), []string{"begin", "abort"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				sender := &leavingSender{leave: cancel, outcome: tc.outcome}
				d := newDispatcher(sender, &budgeter.Budget{Burst: 10}, time.Now())
				ended := &endObserver{}
				d.Observer = ended
				if tc.outcome == nil {
					d.Placer.Update([]placer.Replica{{ID: "full", Address: "full", Service: "s", FailureDomain: "a"}}, time.Now())
					time.AfterFunc(50*time.Millisecond, cancel)
				}
				sink := &recordingSink{}
				d.Dispatch(ctx, newRequest(matcher.Idempotent, true, 2, time.Now()), sink)
				c.Check(sink.calls, qt.DeepEquals, tc.calls)
				c.Check(ended.outcome, qt.Equals, "caller-left")
				c.Check(sender.sends <= 1, qt.IsTrue)
			})
		})
	}
}
