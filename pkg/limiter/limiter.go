// Package limiter limits the rate of weight transfers, so that they do not
// delay live requests.
package limiter

import (
	"context"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Link is a kind of transfer with its own rate limit.
type Link int

// Links of a VM.
const (
	Download Link = iota
	Upload
	AcrossRegions
	linkCount
)

// Policy determines the rate limit of a link. It is one of Adaptive,
// FixedShare and Unlimited.
type Policy interface {
	policy()
}

// Adaptive controls the rate by additive increase and multiplicative decrease
// (AIMD). The rate decreases while the first-token delay is above the VM's own
// baseline.
type Adaptive struct {
	MinBytesPerSecond float64
	MaxBytesPerSecond float64
	// Increase is added to the rate, in bytes per second, for each second
	// without delayed first tokens.
	Increase float64
	// Decrease is the factor applied to the rate when first tokens are delayed.
	Decrease float64
	// Tolerance is the ratio of the first-token delay to the baseline above
	// which the rate is lowered.
	Tolerance float64
}

// FixedShare limits transfers to a constant share of the link rate.
type FixedShare struct {
	LinkBytesPerSecond float64
	Share              float64
}

// Unlimited sets no limit.
type Unlimited struct{}

func (Adaptive) policy()   {}
func (FixedShare) policy() {}
func (Unlimited) policy()  {}

const (
	// burstBytes is the size of the token bucket. It is small, so that a
	// transfer delays a live response by no more than a few packets.
	burstBytes = 64 << 10
	// controlInterval is the minimum time between two adjustments. With a
	// shorter one, a single delayed batch would lower the rate several times.
	controlInterval = 200 * time.Millisecond
	// idleTimeout is the time without transferred bytes after which first-token
	// delays update the baseline, and the time without live requests after which
	// transfers may use the whole link.
	idleTimeout = 2 * time.Second
	// baselineSmoothing and recentSmoothing are the smoothing factors of the
	// exponential moving averages: the weight of a new observation.
	baselineSmoothing = 1.0 / 32
	recentSmoothing   = 1.0 / 16
	// liveRequestShare is the share of the maximum rate that transfers may use
	// while live requests arrive. The first-token delay is measured on the VM
	// and does not show a saturated link, so the delay alone would let
	// transfers saturate it.
	liveRequestShare = 0.6
	// deviationMargin is how far the recent mean may exceed the tolerance, as a
	// multiple of the mean deviation of single delays. Prompts differ in length:
	// the mean of about 31 samples, the effective window of recentSmoothing, has
	// a standard deviation of a fifth of the deviation of single delays.
	deviationMargin = 0.5
)

// Defaults of Adaptive.
const (
	DefaultDecrease  = 0.7
	DefaultTolerance = 1.1
	// DefaultMinShare is the minimum rate as a share of the maximum rate. It
	// keeps a transfer in progress on a VM whose requests are delayed for
	// another reason.
	DefaultMinShare = 0.1
	// DefaultIncreaseShare is the increase per second as a share of the maximum
	// rate.
	DefaultIncreaseShare = 0.1
	// DefaultMaxBytesPerSecond is the rate of a 10 Gbit/s link. It is finite
	// because an infinite rate cannot be lowered by a factor.
	DefaultMaxBytesPerSecond = 1.25e9
)

// Limiter limits the transfer rates of one VM. Its exported fields must be set
// before use. A nil policy and a nil *Limiter set no limit.
type Limiter struct {
	DownloadPolicy      Policy
	UploadPolicy        Policy
	AcrossRegionsPolicy Policy

	once    sync.Once
	buckets [linkCount]*rate.Limiter

	mu sync.Mutex
	// ceiling is the maximum rate of every link in bytes per second; 0 sets none.
	ceiling float64
	// baseline and recent are moving averages of the first-token delay in
	// seconds: baseline without a transfer, recent during one.
	baseline float64
	// baselineMeasured is set once a delay was observed without a transfer.
	baselineMeasured bool
	recent           float64
	// deviation is the mean absolute deviation of single delays from the
	// baseline.
	deviation      float64
	lastTransfer   time.Time
	lastAdjustment time.Time
	// lastObservation is the time of the last observed first-token delay.
	lastObservation time.Time
	// observed is set when a delay was observed since the last adjustment.
	observed bool
}

// Wait blocks until n bytes may be transferred over the link.
func (l *Limiter) Wait(ctx context.Context, link Link, n int) error {
	if l == nil {
		return ctx.Err()
	}
	l.once.Do(l.init)
	l.recordTransfer(time.Now())
	bucket := l.buckets[link]
	for n > 0 {
		chunk := min(n, burstBytes)
		if err := bucket.WaitN(ctx, chunk); err != nil {
			return err
		}
		n -= chunk
	}
	l.recordTransfer(time.Now())
	return nil
}

// Charge counts n bytes that are transferred over the link now, without waiting. Later
// calls of Wait wait longer.
func (l *Limiter) Charge(link Link, n int) {
	if l == nil {
		return
	}
	l.once.Do(l.init)
	now := time.Now()
	l.recordTransfer(now)
	for n > 0 {
		chunk := min(n, burstBytes)
		l.buckets[link].ReserveN(now, chunk)
		n -= chunk
	}
}

// SetCeiling sets the maximum rate of every link in bytes per second and
// resets the rates to their initial values. 0 removes the maximum.
func (l *Limiter) SetCeiling(bytesPerSecond float64) {
	l.once.Do(l.init)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ceiling = bytesPerSecond
	for link := range linkCount {
		l.setRate(link, initialRate(l.policyFor(link)))
	}
}

// Rate returns the current rate limit of a link in bytes per second. It is
// infinite when the link is not limited.
func (l *Limiter) Rate(link Link) float64 {
	l.once.Do(l.init)
	return float64(l.buckets[link].Limit())
}

// ObserveFirstToken records the first-token delay of a live request and
// adapts the rates.
func (l *Limiter) ObserveFirstToken(d time.Duration, now time.Time) {
	l.once.Do(l.init)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastObservation = now
	seconds := d.Seconds()
	if l.lastTransfer.IsZero() || now.Sub(l.lastTransfer) > idleTimeout {
		if !l.baselineMeasured {
			l.baseline = 0
		}
		l.baseline = movingAverage(l.baseline, seconds, baselineSmoothing)
		l.deviation = movingAverage(l.deviation, math.Abs(seconds-l.baseline), baselineSmoothing)
		l.baselineMeasured = true
		l.recent = l.baseline
		return
	}
	l.recent = movingAverage(l.recent, seconds, recentSmoothing)
	l.observed = true
	// Until a delay has been observed without a transfer, the baseline follows
	// the lowest delays. A measured baseline does not change during a transfer:
	// random variation would lower it.
	if !l.baselineMeasured && (l.baseline == 0 || seconds < l.baseline) {
		l.baseline = movingAverage(l.baseline, seconds, baselineSmoothing)
	}
	l.adjust(now)
}

// Tick adjusts the rates when no live requests report delays. It must be
// called about once per second while a transfer runs.
func (l *Limiter) Tick(now time.Time) {
	if l == nil {
		return
	}
	l.once.Do(l.init)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adjust(now)
}

func (l *Limiter) adjust(now time.Time) {
	if l.lastAdjustment.IsZero() {
		l.lastAdjustment = now
	}
	elapsed := now.Sub(l.lastAdjustment)
	if elapsed < controlInterval {
		return
	}
	l.lastAdjustment = now
	// After a pause without adjustments, the rate rises by at most one second's
	// increase.
	elapsed = min(elapsed, time.Second)
	observed := l.observed
	l.observed = false
	for link := range linkCount {
		if p, ok := l.policyFor(link).(Adaptive); ok {
			l.adjustLink(link, p, observed, elapsed, now)
		}
	}
}

// adjustLink lowers the rate if first tokens are delayed and at least one was
// observed since the last adjustment. It raises the rate if they are not delayed
// or there are no live requests.
func (l *Limiter) adjustLink(link Link, p Adaptive, observed bool, elapsed time.Duration, now time.Time) {
	current := float64(l.buckets[link].Limit())
	live := !l.lastObservation.IsZero() && now.Sub(l.lastObservation) < idleTimeout
	delayed := live && l.baseline > 0 && l.recent > l.baseline*p.Tolerance+deviationMargin*l.deviation
	maxRate := p.MaxBytesPerSecond
	if live {
		maxRate *= liveRequestShare
	}
	switch {
	case delayed && observed:
		l.setRate(link, max(p.MinBytesPerSecond, current*p.Decrease))
	case !delayed:
		l.setRate(link, min(maxRate, current+p.Increase*elapsed.Seconds()))
	}
}

func (l *Limiter) init() {
	for link := range linkCount {
		l.buckets[link] = rate.NewLimiter(rate.Limit(initialRate(l.policyFor(link))), burstBytes)
	}
}

func (l *Limiter) setRate(link Link, r float64) {
	if l.ceiling > 0 {
		r = min(r, l.ceiling)
	}
	l.buckets[link].SetLimit(rate.Limit(r))
}

func (l *Limiter) recordTransfer(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastTransfer = now
}

func (l *Limiter) policyFor(link Link) Policy {
	var p Policy
	switch link {
	case Download:
		p = l.DownloadPolicy
	case Upload:
		p = l.UploadPolicy
	case AcrossRegions:
		p = l.AcrossRegionsPolicy
	}
	if a, ok := p.(Adaptive); ok {
		return a.withDefaults()
	}
	return p
}

func (a Adaptive) withDefaults() Adaptive {
	if a.Decrease <= 0 || a.Decrease >= 1 {
		a.Decrease = DefaultDecrease
	}
	if a.Tolerance <= 1 {
		a.Tolerance = DefaultTolerance
	}
	if a.MaxBytesPerSecond <= 0 {
		a.MaxBytesPerSecond = DefaultMaxBytesPerSecond
	}
	if a.MinBytesPerSecond <= 0 {
		a.MinBytesPerSecond = a.MaxBytesPerSecond * DefaultMinShare
	}
	if a.Increase <= 0 {
		a.Increase = a.MaxBytesPerSecond * DefaultIncreaseShare
	}
	return a
}

// initialRate returns the middle of the range for an adaptive link, so that a
// new transfer neither saturates the link nor takes long to reach a usable
// rate.
func initialRate(p Policy) float64 {
	switch p := p.(type) {
	case Adaptive:
		return (p.MinBytesPerSecond + p.MaxBytesPerSecond) / 2
	case FixedShare:
		return p.LinkBytesPerSecond * p.Share
	default:
		return float64(rate.Inf)
	}
}

// movingAverage adds a value to an exponential moving average. An average of 0
// has no values yet.
func movingAverage(old, value, weight float64) float64 {
	if old == 0 {
		return value
	}
	return old + weight*(value-old)
}
