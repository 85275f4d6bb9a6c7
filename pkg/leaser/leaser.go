// Package leaser acquires and renews leases on shards of work. A lease is an
// object in the object API that its holder renews by conditional update.
// Another daemon takes it over when the version of the object has not changed
// for the lease's duration plus a margin. Each daemon measures this time on
// its own monotonic clock, so that clocks of different VMs are never compared.
package leaser

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/notifier"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

// Defaults of the fields of Leaser.
const (
	DefaultDuration      = 6 * time.Second
	DefaultRenewInterval = 2 * time.Second
	DefaultDriftMargin   = time.Second
	DefaultHandOverDelay = 30 * time.Second
)

const (
	// callTimeout is the timeout of a call to the object API. It leaves time
	// for a second attempt before the deadline of a lease that is renewed every
	// two seconds.
	callTimeout = 1500 * time.Millisecond
	// preferredReaders is the number of most preferred daemons of a shard that
	// read its lease in every round. The others read it about every
	// idleReadInterval, which keeps the reads of 1,000 daemons below 100 per
	// second.
	preferredReaders = 3
	idleReadInterval = 20 * time.Second
	// takeoverDelayStep is the additional delay of a takeover for each position
	// in the order of preference, up to maxTakeoverDelaySteps positions. It lets
	// the most preferred daemon write first, without a conflict.
	takeoverDelayStep     = 500 * time.Millisecond
	maxTakeoverDelaySteps = 4
	// maxConcurrentWrites limits the concurrent writes of one daemon.
	maxConcurrentWrites = 8
	// maxBackoff limits the time between rounds while the object API is down.
	maxBackoff = 10 * time.Second
	// epochsPerEra is the range of epochs of one era of the store. A restored store
	// has lost epochs that were in use, so those of the next era are above them.
	epochsPerEra = 1 << 32
	// maxHandOverDoublings limits the exponential backoff between hand-overs of
	// one shard.
	maxHandOverDoublings = 6
)

// Lease identifies one term of a lease on a shard. The epoch increases with
// every acquisition.
type Lease struct {
	Shard string
	Epoch uint64
}

// Leaser acquires and renews leases. Its exported fields must be set before
// the first call of a method.
type Leaser struct {
	API adapter.ObjectAPI
	// VM is the name of this daemon's VM, the holder in its leases.
	VM string
	// Shards are the shards whose leases this daemon tries to acquire.
	Shards []string
	// Candidates returns the live entry VMs. If nil, this VM is the only
	// candidate.
	Candidates func(now time.Time) []string
	Log        *logger.Logger
	// Duration is the time after which a lease that is not renewed expires, and
	// RenewInterval the time between renewals. DriftMargin allows for clock
	// drift: the holder stops that much earlier, and a takeover waits that much
	// longer.
	Duration, RenewInterval, DriftMargin time.Duration
	// HandOverDelay is how long another VM must be preferred for a shard before
	// the holder releases the lease. Hand-overs distribute work to daemons that
	// start later.
	HandOverDelay time.Duration
	// Suspended returns for how long the VM has been suspended since its start, which the
	// clock does not count, if set.
	Suspended func() time.Duration
	// Jitter returns a number in [0, 1); rand.Float64 when nil.
	Jitter func() float64

	notify notifier.Notifier
	wake   chan struct{}
	once   sync.Once
	writer string

	mu     sync.Mutex
	leases map[string]*leaseState
	// lastRenewal numbers the writes of this process.
	lastRenewal uint64
	// nextRead is when a daemon that is not a preferred reader reads next.
	nextRead time.Time

	// lastRoundFailed is set when the object API did not answer in the last
	// round. Only Run uses it.
	lastRoundFailed bool
}

// leaseState is the known state of one lease.
type leaseState struct {
	shard string
	// last and version are the newest record read or written and its version, and
	// era the era of the store that had it.
	last    record
	version uint64
	era     uint64
	exists  bool
	// unchangedSince is the time at which this version was first read.
	unchangedSince time.Time
	// held is set while this process wrote the newest version and has not
	// released the lease. The lease may be used until deadline, which counts
	// suspensions.
	held     bool
	deadline time.Time
	// holder and epoch are the newest known ones, including those passed to
	// MergeHolders.
	holder string
	epoch  uint64
	// otherPreferredSince is the time since which another VM has been preferred.
	otherPreferredSince time.Time
	// handOvers counts hand-overs to another VM. Each doubles the time before
	// the next one, in case the preferred VM never acquires the lease.
	handOvers int
}

// Run acquires and renews leases until ctx ends, then releases all held leases.
func (l *Leaser) Run(ctx context.Context) error {
	l.init()
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = l.RenewInterval
	retry.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		timer := time.NewTimer(l.nextDelay(l.round(ctx, time.Now()), retry))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-l.wake:
		}
		timer.Stop()
	}
	l.releaseAll(context.WithoutCancel(ctx))
	return ctx.Err()
}

// nextDelay returns the time until the next round. After a failure, a daemon
// that still holds a lease retries quickly. Other daemons back off with jitter,
// so that they do not all call the object API at once when it is available
// again.
func (l *Leaser) nextDelay(err error, retry *backoff.ExponentialBackOff) time.Duration {
	if err == nil {
		retry.Reset()
		return l.RenewInterval - time.Duration(l.jitter()*float64(l.RenewInterval)/10)
	}
	l.lastRoundFailed = true
	if l.holdsAny(time.Now()) {
		return l.RenewInterval / 4
	}
	return retry.NextBackOff()
}

// Held returns the lease of the shard and reports whether this daemon holds it
// at the given time. The caller must call Held again after each blocking step.
func (l *Leaser) Held(shard string, now time.Time) (Lease, bool) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.leases[shard]
	if s == nil || !s.held || !l.withSuspensions(now).Before(s.deadline) {
		return Lease{}, false
	}
	return Lease{Shard: shard, Epoch: s.last.Epoch}, true
}

// Holder returns the last known holder and epoch of the shard's lease. The
// holder is empty after a release or when none is known.
func (l *Leaser) Holder(shard string) (vm string, epoch uint64) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.leases[shard]; s != nil {
		return s.holder, s.epoch
	}
	return "", 0
}

// Changed returns a channel that is closed when the holder or the epoch of a
// lease changes.
func (l *Leaser) Changed() <-chan struct{} { return l.notify.Changed() }

// Holders returns the last known holders and epochs, for distribution to other
// daemons and agents.
func (l *Leaser) Holders() []*messenger.LeaseFact {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	facts := make([]*messenger.LeaseFact, 0, len(l.leases))
	for name, s := range l.leases {
		if s.epoch > 0 {
			facts = append(facts, &messenger.LeaseFact{Shard: name, Holder: s.holder, Epoch: s.epoch})
		}
	}
	slices.SortFunc(facts, compareFacts)
	return facts
}

// MergeHolders merges the holders and epochs known to another daemon. They are
// used for routing only: a lease is never held or taken over because of them.
func (l *Leaser) MergeHolders(facts []*messenger.LeaseFact) {
	l.init()
	changed := false
	var released []string
	l.mu.Lock()
	for _, f := range facts {
		s := l.leases[f.GetShard()]
		if s == nil {
			s = &leaseState{shard: f.GetShard()}
			l.leases[s.shard] = s
		}
		// A release clears the holder and keeps the epoch. Within an epoch,
		// therefore, only an empty holder replaces a known one.
		if f.GetEpoch() == s.epoch && (f.GetHolder() != "" || s.held) {
			continue
		}
		if !s.updateHolder(f.GetHolder(), f.GetEpoch()) {
			continue
		}
		changed = true
		if s.holder == "" {
			released = append(released, s.shard)
		}
	}
	l.mu.Unlock()
	if changed {
		l.notify.Notify()
	}
	l.wakeIfPreferred(released, time.Now())
}

// wakeIfPreferred starts a round immediately when this daemon is one of the
// preferred readers of a released lease.
func (l *Leaser) wakeIfPreferred(released []string, now time.Time) {
	if len(released) == 0 {
		return
	}
	candidates := l.candidates(now)
	for _, name := range released {
		if !slices.Contains(l.Shards, name) || l.position(name, candidates) >= preferredReaders {
			continue
		}
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

func (l *Leaser) init() { l.once.Do(l.setDefaults) }

func (l *Leaser) setDefaults() {
	if l.Duration == 0 {
		l.Duration = DefaultDuration
	}
	if l.RenewInterval == 0 {
		l.RenewInterval = DefaultRenewInterval
	}
	if l.DriftMargin == 0 {
		l.DriftMargin = DefaultDriftMargin
	}
	if l.HandOverDelay == 0 {
		l.HandOverDelay = DefaultHandOverDelay
	}
	if l.Log == nil {
		l.Log = zap.NewNop()
	}
	l.writer = l.VM + "/" + strconv.FormatUint(rand.Uint64(), 36)
	l.wake = make(chan struct{}, 1)
	l.leases = make(map[string]*leaseState, len(l.Shards))
	for _, name := range l.Shards {
		l.leases[name] = &leaseState{shard: name}
	}
}

func (l *Leaser) jitter() float64 {
	if l.Jitter != nil {
		return l.Jitter()
	}
	return rand.Float64()
}

func (l *Leaser) candidates(now time.Time) []string {
	if l.Candidates == nil {
		return nil
	}
	return l.Candidates(now)
}

// position returns this daemon's position in the order of preference for the
// shard.
func (l *Leaser) position(shard string, candidates []string) int {
	return ranker.Position("lease/"+shard, candidates, l.VM)
}

// withSuspensions adds the suspensions that the clock has not counted to a time.
func (l *Leaser) withSuspensions(now time.Time) time.Time {
	if l.Suspended == nil {
		return now
	}
	return now.Add(l.Suspended())
}

func (l *Leaser) holdsAny(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.leases {
		if s.held && l.withSuspensions(now).Before(s.deadline) {
			return true
		}
	}
	return false
}

func compareFacts(a, b *messenger.LeaseFact) int {
	if a.GetShard() < b.GetShard() {
		return -1
	}
	return 1
}
