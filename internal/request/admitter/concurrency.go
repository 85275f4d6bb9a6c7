package admitter

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	initialConcurrency = 32
	// minConcurrency keeps long prompts among short ones, whose first tokens
	// differ without any overload, from closing a server.
	minConcurrency = 4
	maxConcurrency = 1024

	// slowFactor is how far the first-token delay may rise above the baseline
	// before the limit is lowered.
	slowFactor = 2
	// slowFloor is half of the target for the first token, 0.5 s: below it a
	// server is fast enough whatever its baseline is.
	slowFloor = 250 * time.Millisecond
	// decrease is the factor that a slow first token applies to the limit.
	decrease = 0.9
	// overloadDecrease applies when the server itself refuses for load.
	overloadDecrease = 0.7
	// decreaseInterval lets the effect of one decrease show before the next.
	decreaseInterval = 200 * time.Millisecond
	// recentWeight is the weight of one sample in the recent delay.
	recentWeight = 0.2
	// baselineFall makes the baseline follow the fast samples.
	baselineFall = 0.1
	// baselineRiseTime is the time constant with which the baseline follows a
	// server that became slower for good. It counts time and not samples, and
	// only while the limit is unused or at its minimum: otherwise the baseline
	// would follow the delay of an overload, and the limit would grow with it.
	baselineRiseTime = 30 * time.Second
)

// Concurrency is the limit of requests in progress on one backend server:
// additive increase, multiplicative decrease on the first-token delay.
type Concurrency struct {
	mu       sync.Mutex
	exact    float64
	recent   float64
	baseline float64
	lowered  time.Time
	observed time.Time
	limit    atomic.Int32
}

// NewConcurrency returns a limit at its initial value.
func NewConcurrency() *Concurrency {
	c := &Concurrency{exact: initialConcurrency}
	c.limit.Store(initialConcurrency)
	return c
}

// Limit returns how many requests may be in progress.
func (c *Concurrency) Limit() int { return int(c.limit.Load()) }

// Observe takes one first-token delay and the number of requests in progress
// when it was measured.
func (c *Concurrency) Observe(delay time.Duration, inFlight int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isUnused := 2*float64(inFlight) < c.exact
	c.average(float64(delay), isUnused || c.exact <= minConcurrency, now)
	// An unused limit proves nothing about the server and does not move.
	if isUnused {
		return
	}
	if c.recent > max(slowFactor*c.baseline, float64(slowFloor)) {
		c.lower(decrease, now)
		return
	}
	c.set(c.exact + 1/c.exact)
}

func (c *Concurrency) average(delay float64, mayRise bool, now time.Time) {
	passed := max(now.Sub(c.observed), 0)
	c.observed = now
	if c.baseline == 0 {
		c.baseline, c.recent = delay, delay
		return
	}
	c.recent += recentWeight * (delay - c.recent)
	switch {
	case delay < c.baseline:
		c.baseline += baselineFall * (delay - c.baseline)
	case mayRise:
		weight := 1 - math.Exp(-passed.Seconds()/baselineRiseTime.Seconds())
		c.baseline += weight * (delay - c.baseline)
	}
}

// Overloaded takes a refusal for load by the server.
func (c *Concurrency) Overloaded(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lower(overloadDecrease, now)
}

func (c *Concurrency) lower(factor float64, now time.Time) {
	if now.Sub(c.lowered) < decreaseInterval {
		return
	}
	c.lowered = now
	c.set(c.exact * factor)
}

func (c *Concurrency) set(limit float64) {
	c.exact = min(max(limit, minConcurrency), maxConcurrency)
	c.limit.Store(int32(c.exact))
}
