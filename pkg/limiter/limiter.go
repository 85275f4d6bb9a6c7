// Package limiter holds the rates of the weights path, so that transfers give
// way to live requests.
package limiter

import (
	"context"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Link is a direction of transfer with its own rate.
type Link int

// Links of a VM.
const (
	Download Link = iota
	Upload
	AcrossRegions
	links
)

// Policy determines the rate of a link. It is Adaptive, FixedShare or
// Unlimited.
type Policy interface {
	policy()
}

// Adaptive raises the rate by addition and lowers it by multiplication when
// first tokens are later than the VM's own baseline.
type Adaptive struct {
	MinBytesPerSecond float64
	MaxBytesPerSecond float64
	// Increase is added each second without delay.
	Increase float64
	// Decrease is the factor applied when first tokens are late.
	Decrease float64
	// Tolerance is the ratio of first-token delay to the baseline above which
	// the rate is lowered.
	Tolerance float64
}

// FixedShare gives transfers a constant part of the link.
type FixedShare struct {
	LinkBytesPerSecond float64
	Share              float64
}

// Unlimited does not limit.
type Unlimited struct{}

func (Adaptive) policy()   {}
func (FixedShare) policy() {}
func (Unlimited) policy()  {}

const (
	// burstBytes is small, so that a transfer does not delay a live response
	// by more than a few packets.
	burstBytes = 64 << 10
	// controlInterval is the least time between two decreases; a shorter one
	// would react several times to one delayed batch.
	controlInterval = 200 * time.Millisecond
	// idleAfter is the time without transferred bytes after which first-token
	// delays count towards the baseline, and the time without live requests
	// after which transfers may fill the link.
	idleAfter = 2 * time.Second
	// baselineWeight and recentWeight are the weights of a new observation in
	// the two moving averages.
	baselineWeight = 1.0 / 32
	recentWeight   = 1.0 / 16
	// liveShare of the largest rate is left to transfers while live requests
	// arrive. The first-token delay is measured on the VM and does not show a
	// full link, so the delay alone would let transfers fill it.
	liveShare = 0.6
	// noiseMargin is how many times the spread of single delays the recent mean
	// may lie above the tolerance. Prompts differ in length, and the mean of
	// about 31 samples, as many as recentWeight stands for, has a standard
	// deviation of a fifth of the spread.
	noiseMargin = 0.5
)

// Defaults of Adaptive.
const (
	DefaultDecrease  = 0.7
	DefaultTolerance = 1.1
	// DefaultMinShare of the largest rate keeps a transfer moving on a VM whose
	// requests are late for another reason.
	DefaultMinShare = 0.1
	// DefaultIncreaseShare of the largest rate is added each second.
	DefaultIncreaseShare = 0.1
	// DefaultMaxBytesPerSecond is a link of 10 Gbit/s. A finite bound is
	// needed, because an infinite rate cannot be lowered by a factor.
	DefaultMaxBytesPerSecond = 1.25e9
)

// Limiter paces the transfers of one VM. Fields are set before use; a nil
// policy does not limit. A nil *Limiter does not limit either.
type Limiter struct {
	DownloadPolicy      Policy
	UploadPolicy        Policy
	AcrossRegionsPolicy Policy

	once     sync.Once
	buckets  [links]*rate.Limiter
	mu       sync.Mutex
	ceiling  float64
	baseline float64
	// measured is set once the baseline was learnt without a transfer.
	measured bool
	recent   float64
	// spread is the mean distance of single delays from the baseline.
	spread   float64
	lastMove time.Time
	lastStep time.Time
	// lastSeen is the time of the last observation; fresh is set until a step
	// has used it.
	lastSeen time.Time
	fresh    bool
}

// Wait blocks until n bytes may pass the link.
func (l *Limiter) Wait(ctx context.Context, link Link, n int) error {
	if l == nil {
		return ctx.Err()
	}
	l.once.Do(l.start)
	l.moved(time.Now())
	bucket := l.buckets[link]
	for n > 0 {
		part := min(n, burstBytes)
		if err := bucket.WaitN(ctx, part); err != nil {
			return err
		}
		n -= part
	}
	l.moved(time.Now())
	return nil
}

// SetCeiling bounds the rate of each link in bytes per second; 0 removes the
// bound.
func (l *Limiter) SetCeiling(bytesPerSecond float64) {
	l.once.Do(l.start)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ceiling = bytesPerSecond
	for link := range links {
		l.setRate(link, initialRate(l.policyOf(link)))
	}
}

// Rate returns the present rate of a link in bytes per second; it is infinite
// when the link is not limited.
func (l *Limiter) Rate(link Link) float64 {
	l.once.Do(l.start)
	return float64(l.buckets[link].Limit())
}

// ObserveFirstToken records the first-token delay of a live request and
// adapts the rates.
func (l *Limiter) ObserveFirstToken(d time.Duration, now time.Time) {
	l.once.Do(l.start)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSeen = now
	seconds := d.Seconds()
	if l.lastMove.IsZero() || now.Sub(l.lastMove) > idleAfter {
		if !l.measured {
			l.baseline = 0
		}
		l.baseline = average(l.baseline, seconds, baselineWeight)
		l.spread = average(l.spread, math.Abs(seconds-l.baseline), baselineWeight)
		l.measured = true
		l.recent = l.baseline
		return
	}
	l.recent = average(l.recent, seconds, recentWeight)
	l.fresh = true
	// A VM that never saw a request without a transfer follows the low delays.
	// A measured baseline stays, or noise would pull it down during a transfer.
	if !l.measured && (l.baseline == 0 || seconds < l.baseline) {
		l.baseline = average(l.baseline, seconds, baselineWeight)
	}
	l.step(now)
}

// Tick raises the rates when no live request reports a delay. It is called
// about once per second while a transfer runs.
func (l *Limiter) Tick(now time.Time) {
	if l == nil {
		return
	}
	l.once.Do(l.start)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(now)
}

func (l *Limiter) step(now time.Time) {
	if l.lastStep.IsZero() {
		l.lastStep = now
	}
	elapsed := now.Sub(l.lastStep)
	if elapsed < controlInterval {
		return
	}
	l.lastStep = now
	elapsed = min(elapsed, time.Second)
	fresh := l.fresh
	l.fresh = false
	for link := range links {
		if p, ok := l.policyOf(link).(Adaptive); ok {
			l.adapt(link, p, fresh, elapsed, now)
		}
	}
}

// adapt lowers the rate once for each interval with late first tokens and
// raises it when they are in time or when there are no live requests.
func (l *Limiter) adapt(link Link, p Adaptive, fresh bool, elapsed time.Duration, now time.Time) {
	current := float64(l.buckets[link].Limit())
	live := !l.lastSeen.IsZero() && now.Sub(l.lastSeen) < idleAfter
	late := live && l.baseline > 0 && l.recent > l.baseline*p.Tolerance+noiseMargin*l.spread
	most := p.MaxBytesPerSecond
	if live {
		most *= liveShare
	}
	switch {
	case late && fresh:
		l.setRate(link, max(p.MinBytesPerSecond, current*p.Decrease))
	case !late:
		l.setRate(link, min(most, current+p.Increase*elapsed.Seconds()))
	}
}

func (l *Limiter) start() {
	for link := range links {
		l.buckets[link] = rate.NewLimiter(rate.Limit(initialRate(l.policyOf(link))), burstBytes)
	}
}

func (l *Limiter) setRate(link Link, r float64) {
	if l.ceiling > 0 {
		r = min(r, l.ceiling)
	}
	l.buckets[link].SetLimit(rate.Limit(r))
}

func (l *Limiter) moved(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastMove = now
}

func (l *Limiter) policyOf(link Link) Policy {
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

// initialRate starts an adaptive link in the middle of its range, so that a
// transfer neither floods the link at once nor waits long for a fair rate.
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

func average(old, value, weight float64) float64 {
	if old == 0 {
		return value
	}
	return old + weight*(value-old)
}
