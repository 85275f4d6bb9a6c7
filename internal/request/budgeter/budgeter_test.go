package budgeter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestWindow guards against exceeding the budget: for any sequence of requests and
// retries, each window of 10 s has at most the share of its requests, plus the
// maximum available at its start, plus what time adds.
func TestWindow(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{Ratio: 0.2, Burst: 5, PerSecond: 0.5}
		now := time.Unix(0, 0)
		var taken, firsts []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			b.AddFirstAttempt(now)
			firsts = append(firsts, now)
			for range rapid.IntRange(0, 2).Draw(t, "retries") {
				if b.Take(now) {
					taken = append(taken, now)
				}
			}
		}
		for _, end := range taken {
			limit := 0.2*float64(between(firsts, end.Add(-window), end)) + 5 + 0.5*window.Seconds() + 1
			if n := between(taken, end.Add(-window), end); float64(n) > limit {
				t.Fatalf("%d retries in a window, limit %.1f", n, limit)
			}
		}
	})
}

// between counts the times after from and up to to.
func between(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// TestTimeRestores guards against a service that remains without retries after a
// failure because its budget is not refilled with time.
func TestTimeRestores(t *testing.T) {
	c := qt.New(t)
	b := &Budget{Burst: 1, PerSecond: 0.5}
	now := time.Unix(0, 0)
	c.Assert(b.Take(now), qt.IsTrue)
	c.Assert(b.Take(now.Add(time.Second)), qt.IsFalse)
	c.Assert(b.Take(now.Add(2*time.Second)), qt.IsTrue)
}
