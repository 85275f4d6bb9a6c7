package admitter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// TestRequestsRejectedAsTooLateAreNotCharged guards against a team that loses its
// turn because its deficit was spent on a request that was rejected after too long a
// wait.
func TestRequestsRejectedAsTooLateAreNotCharged(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	small, large := &parser.Team{Name: "small"}, &parser.Team{Name: "large"}
	q := &queue{secondsPerToken: 0.001}
	push := func(team *parser.Team, wait time.Duration) *waiter {
		w := &waiter{
			queue: q, team: team, cost: quantumTokens, priority: interactive,
			enqueued: now, deadline: now.Add(wait), decided: make(chan struct{}),
		}
		q.push(w)
		return w
	}
	tooLate := push(small, time.Second)
	first := push(small, time.Minute)
	other := push(large, time.Minute)
	q.dispatch(1, now.Add(2*time.Second))
	c.Assert(tooLate.isTooLate, qt.IsTrue)
	c.Assert(isDecided(first), qt.IsTrue)
	c.Assert(isDecided(other), qt.IsFalse)
}

func isDecided(w *waiter) bool {
	select {
	case <-w.decided:
		return true
	default:
		return false
	}
}

// TestRunTimeEstimateOfMixedRequests guards against an overestimated queueing time:
// short requests occupy a slot almost as long as long ones, so the mean of the
// ratios of time to cost is too high.
func TestRunTimeEstimateOfMixedRequests(t *testing.T) {
	c := qt.New(t)
	q := &queue{}
	for range 500 {
		q.recordRun(10, 200*time.Millisecond)
		q.recordRun(490, 800*time.Millisecond)
	}
	// A pair of requests takes 1 s for 500 tokens.
	c.Assert(q.secondsPerToken > 0.0019 && q.secondsPerToken < 0.0021, qt.IsTrue, qt.Commentf("%.4f s per token", q.secondsPerToken))
}
