package admitter

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// initialLimit is the limit of a server without measurements.
	initialLimit = 32
	// minLimit keeps a server in use when long prompts are mixed with short ones:
	// their first-token delays differ without any overload.
	minLimit = 4
	// maxLimit bounds the limit of a fast server.
	maxLimit = 1024

	// slowDelayFactor is the ratio of the recent first-token delay to the baseline
	// above which the limit is decreased.
	slowDelayFactor = 2
	// minSlowDelay is the delay below which a server counts as fast whatever its
	// baseline is: half of the first-token target of 0.5 s.
	minSlowDelay = 250 * time.Millisecond
	// decreaseFactor is applied to the limit after a slow first token.
	decreaseFactor = 0.9
	// overloadDecreaseFactor is applied when the server rejects a request because
	// of its load.
	overloadDecreaseFactor = 0.7
	// decreaseInterval is the minimum time between two decreases, so that the
	// first takes effect before the second.
	decreaseInterval = 200 * time.Millisecond
	// recentDelayWeight is the weight of one sample in the moving average of the
	// delay.
	recentDelayWeight = 0.2
	// baselineFallWeight is the weight of a sample below the baseline.
	baselineFallWeight = 0.1
	// baselineRiseTimeConstant is the time constant with which the baseline rises
	// to the delay of a server that became permanently slower. It depends on time
	// and not on the number of samples, and the baseline rises only while the
	// limit is underused or at its minimum: otherwise it would follow the delay of
	// an overload, and the limit would grow with it.
	baselineRiseTimeConstant = 30 * time.Second
)

// Concurrency is an adaptive limit of the requests in progress on one backend
// server. It uses additive increase and multiplicative decrease (AIMD),
// controlled by the first-token delay.
type Concurrency struct {
	mu sync.Mutex
	// exactLimit is the limit before truncation to an integer.
	exactLimit float64
	// recentDelay is the moving average of the first-token delay, and baselineDelay
	// its estimate without overload, both in nanoseconds.
	recentDelay   float64
	baselineDelay float64
	lastDecrease  time.Time
	lastObserved  time.Time
	limit         atomic.Int32
}

// NewConcurrency returns a limit with the value initialLimit.
func NewConcurrency() *Concurrency {
	c := &Concurrency{exactLimit: initialLimit}
	c.limit.Store(initialLimit)
	return c
}

// Limit returns the number of requests that may be in progress.
func (c *Concurrency) Limit() int { return int(c.limit.Load()) }

// Observe updates the limit from a first-token delay and the number of requests
// in progress when it was measured.
func (c *Concurrency) Observe(delay time.Duration, inFlight int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isUnderused := 2*float64(inFlight) < c.exactLimit
	c.updateDelays(float64(delay), isUnderused || c.exactLimit <= minLimit, now)
	// The delay of an underused server does not show whether the limit is right,
	// so the limit stays.
	if isUnderused {
		return
	}
	if c.recentDelay > max(slowDelayFactor*c.baselineDelay, float64(minSlowDelay)) {
		c.decrease(decreaseFactor, now)
		return
	}
	c.setLimit(c.exactLimit + 1/c.exactLimit)
}

// updateDelays updates the moving average and the baseline of the delay. The baseline
// rises only if canRise is set.
func (c *Concurrency) updateDelays(delay float64, canRise bool, now time.Time) {
	elapsed := max(now.Sub(c.lastObserved), 0)
	c.lastObserved = now
	if c.baselineDelay == 0 {
		c.baselineDelay, c.recentDelay = delay, delay
		return
	}
	c.recentDelay += recentDelayWeight * (delay - c.recentDelay)
	switch {
	case delay < c.baselineDelay:
		c.baselineDelay += baselineFallWeight * (delay - c.baselineDelay)
	case canRise:
		weight := 1 - math.Exp(-elapsed.Seconds()/baselineRiseTimeConstant.Seconds())
		c.baselineDelay += weight * (delay - c.baselineDelay)
	}
}

// Overloaded decreases the limit after the server rejected a request because of
// its load.
func (c *Concurrency) Overloaded(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decrease(overloadDecreaseFactor, now)
}

// decrease multiplies the limit by factor, at most once per decreaseInterval.
func (c *Concurrency) decrease(factor float64, now time.Time) {
	if now.Sub(c.lastDecrease) < decreaseInterval {
		return
	}
	c.lastDecrease = now
	c.setLimit(c.exactLimit * factor)
}

func (c *Concurrency) setLimit(limit float64) {
	c.exactLimit = min(max(limit, minLimit), maxLimit)
	c.limit.Store(int32(c.exactLimit))
}
