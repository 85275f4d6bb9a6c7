// Package broadcaster keeps the current configuration of a daemon. Relays
// watch the head in the object API; the other daemons hear of a new revision
// in heartbeats and pull it from the daemon that named it. A lower revision is
// never taken.
package broadcaster

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/discard"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/notifier"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// HeadKey is the key of the object that names the current revision.
const HeadKey = "config/head"

const (
	// pollEvery is the interval of reads of the head without a watch.
	pollEvery = 2 * time.Second
	// watchTimeout ends a watch on a half-open connection.
	watchTimeout = 90 * time.Second
	// emptyWatchPause bounds the calls when watches end at once.
	emptyWatchPause = 200 * time.Millisecond
	callTimeout     = 5 * time.Second
	// roleInterval is how often a daemon that watches asks whether it still is
	// a relay.
	roleInterval  = time.Second
	retryAfter    = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// startPeers is how many peers a starting daemon asks at once when the
	// object API does not answer.
	startPeers = 3
)

// Broadcaster keeps the current configuration. Its exported fields are set
// before Run.
type Broadcaster struct {
	API adapter.ObjectAPI
	// Load reads the head and its parts from the object API.
	Load func(ctx context.Context) (*parser.Revision, error)
	// Encode and Decode are the format of a revision between daemons.
	Encode func(*parser.Revision) ([]byte, error)
	Decode func([]byte) (*parser.Revision, error)
	// IsRelay reports whether this daemon holds a watch. Nil stands for always.
	IsRelay func(now time.Time) bool
	// Peers returns the RPC addresses of other entry daemons.
	Peers func(now time.Time) []string
	// Client returns a client for an RPC address.
	Client func(address string) (messenger.EntryClient, error)
	Log    *logger.Logger
	// LowerRevisions counts heads and replies that were lower than the current
	// revision; PullFailures counts pulls without a result.
	LowerRevisions, PullFailures metrics.Counter
	// Jitter returns a number in [0, 1); rand.Float64 when nil.
	Jitter func() float64

	notify notifier.Notifier
	once   sync.Once
	heard  chan struct{}

	mu      sync.Mutex
	current *parser.Revision
	encoded []byte
	// wanted is the highest revision that a peer named, and from its address.
	wanted uint64
	from   string
	status Status
}

// Status tells how fresh the configuration is.
type Status struct {
	Revision uint64
	// Wanted is the highest revision that this daemon has heard of.
	Wanted uint64
	// Relay and Watching are set when this daemon holds the watch.
	Relay, Watching bool
	// Refreshed is when the revision was last confirmed by the object API.
	Refreshed time.Time
	// Lower is the lowest revision seen after a higher one; 0 is none.
	Lower uint64
}

// Run keeps the configuration current until ctx ends.
func (b *Broadcaster) Run(ctx context.Context) error {
	b.init()
	b.start(ctx)
	var workers sync.WaitGroup
	workers.Add(2)
	go puller{b}.run(ctx, &workers)
	go watcher{b}.run(ctx, &workers)
	workers.Wait()
	return ctx.Err()
}

// Current returns the configuration in force, or nil before the first.
func (b *Broadcaster) Current() *parser.Revision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

// Number returns the revision in force; 0 before the first.
func (b *Broadcaster) Number() uint64 {
	if current := b.Current(); current != nil {
		return current.Number
	}
	return 0
}

// Changed returns a channel that is closed when a new revision is in force.
func (b *Broadcaster) Changed() <-chan struct{} { return b.notify.Changed() }

// Status returns the present state.
func (b *Broadcaster) Status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.status
	s.Wanted = b.wanted
	if b.current != nil {
		s.Revision = b.current.Number
	}
	return s
}

// Hear takes the revision that a heartbeat from the RPC address named.
func (b *Broadcaster) Hear(revision uint64, from string) {
	b.init()
	b.mu.Lock()
	defer b.mu.Unlock()
	if revision <= b.wanted || (b.current != nil && revision <= b.current.Number) {
		return
	}
	b.wanted, b.from = revision, from
	select {
	case b.heard <- struct{}{}:
	default:
	}
}

// Offer takes a revision from any source. It reports whether the revision is
// now in force, and raises the alarm when it is lower than the current one.
func (b *Broadcaster) Offer(revision *parser.Revision, source string) bool {
	b.init()
	b.mu.Lock()
	if b.current != nil && revision.Number < b.current.Number {
		current := b.current.Number
		b.status.Lower = revision.Number
		b.mu.Unlock()
		b.LowerRevisions.Add(1)
		b.Log.Error("a lower revision was refused", zap.String("source", source),
			zap.Uint64("current", current), zap.Uint64("refused", revision.Number))
		return false
	}
	if b.current != nil && revision.Number == b.current.Number {
		b.mu.Unlock()
		return true
	}
	b.current, b.encoded = revision, nil
	b.wanted = max(b.wanted, revision.Number)
	b.mu.Unlock()
	b.Log.Info("revision in force", zap.Uint64("revision", revision.Number), zap.String("source", source))
	b.notify.Notify()
	return true
}

func (b *Broadcaster) init() { b.once.Do(b.setDefaults) }

func (b *Broadcaster) setDefaults() {
	if b.Log == nil {
		b.Log = zap.NewNop()
	}
	if b.LowerRevisions == nil {
		b.LowerRevisions = discard.NewCounter()
	}
	if b.PullFailures == nil {
		b.PullFailures = discard.NewCounter()
	}
	b.heard = make(chan struct{}, 1)
}

// start gets the first revision: from the object API, or from peers when it
// does not answer. It returns when there is one, or when ctx ends.
func (b *Broadcaster) start(ctx context.Context) {
	retry := b.newBackoff(retryAfter)
	for ctx.Err() == nil {
		err := b.load(ctx)
		if err == nil {
			return
		}
		b.Log.Warn("configuration not read from the object API", zap.Error(err))
		for _, address := range b.somePeers(time.Now(), startPeers) {
			if err := b.pull(ctx, address, 0); err != nil {
				b.Log.Info("configuration not pulled", zap.String("peer", address), zap.Error(err))
			}
		}
		if b.Current() != nil {
			return
		}
		b.pause(ctx, retry.NextBackOff())
	}
}

func (b *Broadcaster) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := b.Load(ctx)
	var missing *adapter.NotFoundError
	if errors.As(err, &missing) && missing.Key == HeadKey {
		// Nothing has been published yet.
		revision, err = &parser.Revision{Set: parser.NewSet()}, nil
	}
	if err != nil {
		return err
	}
	if b.Offer(revision, "object API") {
		b.mu.Lock()
		b.status.Refreshed = time.Now()
		b.mu.Unlock()
	}
	return nil
}

func (b *Broadcaster) newBackoff(initial time.Duration) *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initial
	retry.MaxInterval = maxRetryAfter
	return retry
}

func (b *Broadcaster) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (b *Broadcaster) jitter() float64 {
	if b.Jitter != nil {
		return b.Jitter()
	}
	return rand.Float64()
}
