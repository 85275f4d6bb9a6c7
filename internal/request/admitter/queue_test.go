package admitter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// Guards against a team that pays with its share for requests that were
// refused because their wait was too long.
func TestLateRequestsAreNotCharged(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	small, large := &parser.Team{Name: "small"}, &parser.Team{Name: "large"}
	q := &queue{pace: 0.001}
	push := func(team *parser.Team, wait time.Duration) *waiter {
		w := &waiter{
			queue: q, team: team, cost: quantum, priority: interactive,
			entered: now, deadline: now.Add(wait), decided: make(chan struct{}),
		}
		q.push(w)
		return w
	}
	late := push(small, time.Second)
	first := push(small, time.Minute)
	other := push(large, time.Minute)
	q.dispatch(1, now.Add(2*time.Second))
	c.Assert(late.late, qt.IsTrue)
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

// Guards against a wait that is overestimated because short requests occupy
// their place for almost as long as long ones.
func TestPaceOfShortAndLongRequests(t *testing.T) {
	c := qt.New(t)
	q := &queue{}
	for range 500 {
		q.finished(10, 200*time.Millisecond)
		q.finished(490, 800*time.Millisecond)
	}
	// 1 s for 500 tokens.
	c.Assert(q.pace > 0.0019 && q.pace < 0.0021, qt.IsTrue, qt.Commentf("%.4f s per token", q.pace))
}
