// Package leaser holds leases on shards of work. A lease is an object of the
// object API that its holder renews by conditional update. A challenger takes
// it over once it has seen the same version for the lease's duration plus a
// margin on its own monotonic clock, so that clocks of different VMs are never
// compared.
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
	DefaultRenewEvery    = 2 * time.Second
	DefaultDrift         = time.Second
	DefaultHandOverAfter = 30 * time.Second
)

const (
	// callTimeout bounds one call to the object API. It is short enough for a
	// second try before the deadline of a lease renewed every two seconds.
	callTimeout = 1500 * time.Millisecond
	// observers is how many of the preferred daemons of a shard read its lease
	// at every round. The others read every idleEvery, which keeps the reads
	// of 1,000 daemons under a hundred a second.
	observers = 3
	idleEvery = 20 * time.Second
	// rankStep is how much longer each place in the order of preference waits
	// before it challenges; maxRankSteps bounds it.
	rankStep     = 500 * time.Millisecond
	maxRankSteps = 4
	// renewalsAtOnce bounds concurrent writes of one daemon.
	renewalsAtOnce = 8
	// maxBackoff bounds the wait between rounds while the object API is down.
	maxBackoff = 10 * time.Second
	// maxHandOverDoublings bounds the wait between hand-overs of one shard.
	maxHandOverDoublings = 6
)

// Lease is the right to do the work of a shard.
type Lease struct {
	Shard string
	Epoch uint64
}

// Leaser acquires and renews leases. Its exported fields are set before Run.
type Leaser struct {
	API    adapter.ObjectAPI
	VM     string
	Shards []string
	// Candidates returns the live entry VMs. Nil stands for this VM only.
	Candidates func(now time.Time) []string
	Log        *logger.Logger
	// Duration of a lease; RenewEvery is the interval of renewals. Drift is
	// taken from the holder's deadline and added to the challenger's wait.
	Duration, RenewEvery, Drift time.Duration
	// HandOverAfter is how long another VM is preferred for a shard before the
	// holder releases it, so that work spreads over daemons that start later.
	HandOverAfter time.Duration
	// Jitter returns a number in [0, 1); rand.Float64 when nil.
	Jitter func() float64

	notify notifier.Notifier
	wake   chan struct{}
	once   sync.Once
	writer string

	mu       sync.Mutex
	shards   map[string]*shard
	renewal  uint64
	nextList time.Time

	// failed is set when the last round got no answer; only Run uses it.
	failed bool
}

// shard is what is known about one lease.
type shard struct {
	name string
	// last is the newest record and version read or written.
	last    record
	version uint64
	exists  bool
	// firstSeen is when this version was first read.
	firstSeen time.Time
	// mine is set while the newest version is this process's and not released.
	mine     bool
	deadline time.Time
	// holder and epoch are the newest known, also from other daemons.
	holder string
	epoch  uint64
	// preferredElsewhere is since when another VM is preferred.
	preferredElsewhere time.Time
	// handOvers counts releases in favour of another VM. Each doubles the time
	// before the next, in case the preferred VM never takes the lease.
	handOvers int
}

// Run acquires and renews leases until ctx ends, then releases those held.
func (l *Leaser) Run(ctx context.Context) error {
	l.init()
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = l.RenewEvery
	retry.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		timer := time.NewTimer(l.wait(l.round(ctx, time.Now()), retry))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-l.wake:
		}
		timer.Stop()
	}
	l.release(context.WithoutCancel(ctx))
	return ctx.Err()
}

// wait returns the time until the next round. A holder tries again quickly
// while it still holds a lease; otherwise failures back off with jitter, so
// that daemons do not call all at once when the object API returns.
func (l *Leaser) wait(err error, retry *backoff.ExponentialBackOff) time.Duration {
	if err == nil {
		retry.Reset()
		return l.RenewEvery - time.Duration(l.jitter()*float64(l.RenewEvery)/10)
	}
	l.failed = true
	if l.holdsAny(time.Now()) {
		return l.RenewEvery / 4
	}
	return retry.NextBackOff()
}

// Held returns the lease of the shard if this daemon may act on it at now. The
// caller asks again after each blocking step.
func (l *Leaser) Held(name string, now time.Time) (Lease, bool) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shards[name]
	if s == nil || !s.mine || !now.Before(s.deadline) {
		return Lease{}, false
	}
	return Lease{Shard: name, Epoch: s.last.Epoch}, true
}

// Holder returns the last known holder of the shard and its epoch. The holder
// is empty after a release or when nothing is known.
func (l *Leaser) Holder(name string) (vm string, epoch uint64) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.shards[name]; s != nil {
		return s.holder, s.epoch
	}
	return "", 0
}

// Changed returns a channel that is closed when a holder or epoch changes.
func (l *Leaser) Changed() <-chan struct{} { return l.notify.Changed() }

// Facts returns the last known holders, for other daemons and agents.
func (l *Leaser) Facts() []*messenger.LeaseFact {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	facts := make([]*messenger.LeaseFact, 0, len(l.shards))
	for name, s := range l.shards {
		if s.epoch > 0 {
			facts = append(facts, &messenger.LeaseFact{Shard: name, Holder: s.holder, Epoch: s.epoch})
		}
	}
	slices.SortFunc(facts, compareFacts)
	return facts
}

// Observe takes facts from another daemon. They only tell whom to ask; a lease
// is never held or taken over because of them.
func (l *Leaser) Observe(facts []*messenger.LeaseFact) {
	l.init()
	changed := false
	var released []string
	l.mu.Lock()
	for _, f := range facts {
		s := l.shards[f.GetShard()]
		if s == nil {
			s = &shard{name: f.GetShard()}
			l.shards[s.name] = s
		}
		// A release keeps the epoch and clears the holder, so within one epoch
		// only an empty holder replaces a name.
		if f.GetEpoch() == s.epoch && (f.GetHolder() != "" || s.mine) {
			continue
		}
		if !s.takeFact(f.GetHolder(), f.GetEpoch()) {
			continue
		}
		changed = true
		if s.holder == "" {
			released = append(released, s.name)
		}
	}
	l.mu.Unlock()
	if changed {
		l.notify.Notify()
	}
	l.wakeFor(released, time.Now())
}

// wakeFor starts a round at once when a lease was released for which this
// daemon is one of the preferred.
func (l *Leaser) wakeFor(released []string, now time.Time) {
	if len(released) == 0 {
		return
	}
	candidates := l.candidates(now)
	for _, name := range released {
		if !slices.Contains(l.Shards, name) || l.position(name, candidates) >= observers {
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
	if l.RenewEvery == 0 {
		l.RenewEvery = DefaultRenewEvery
	}
	if l.Drift == 0 {
		l.Drift = DefaultDrift
	}
	if l.HandOverAfter == 0 {
		l.HandOverAfter = DefaultHandOverAfter
	}
	if l.Log == nil {
		l.Log = zap.NewNop()
	}
	l.writer = l.VM + "/" + strconv.FormatUint(rand.Uint64(), 36)
	l.wake = make(chan struct{}, 1)
	l.shards = make(map[string]*shard, len(l.Shards))
	for _, name := range l.Shards {
		l.shards[name] = &shard{name: name}
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

// position is this daemon's place in the order of preference for the shard.
func (l *Leaser) position(name string, candidates []string) int {
	return ranker.Position("lease/"+name, candidates, l.VM)
}

func (l *Leaser) holdsAny(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.shards {
		if s.mine && now.Before(s.deadline) {
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
