// Package broadcaster keeps the configuration of a daemon up to date. Relays
// watch the head in the object API. The other daemons learn of a new revision
// from heartbeats and pull it from the daemon that announced it. A lower
// revision never replaces a higher one.
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
	// pollInterval is the average interval between reads of the head when there
	// is no watch.
	pollInterval = 2 * time.Second
	// watchTimeout is the timeout of one watch call. It ends a call whose
	// connection was lost without an error.
	watchTimeout = 90 * time.Second
	// emptyWatchDelay is the delay before the next watch when a watch ends
	// immediately without a change. It limits the rate of calls.
	emptyWatchDelay = 200 * time.Millisecond
	callTimeout     = 5 * time.Second
	// relayCheckInterval is the interval at which a daemon checks during a watch
	// whether it is still a relay.
	relayCheckInterval = time.Second
	initialRetryDelay  = 200 * time.Millisecond
	maxRetryDelay      = 10 * time.Second
	// startupPeerCount is the number of peers that a starting daemon asks after
	// each failed read from the object API.
	startupPeerCount = 3
	// carryOverDelay is the time in which heartbeats of peers announce their
	// revisions, before a relay carries its own over into a new era.
	// maxCarryOverDelays limits the wait for an announced revision that it does
	// not have.
	carryOverDelay     = 2 * time.Second
	maxCarryOverDelays = 5
)

// Broadcaster keeps the current configuration. Its exported fields must be set
// before Run.
type Broadcaster struct {
	API adapter.ObjectAPI
	// Load reads the head and the parts that it lists from the object API.
	Load func(ctx context.Context) (*parser.Revision, error)
	// CarryOver publishes the current revision again if the store was restored
	// from an earlier copy, which may lack it. It is optional.
	CarryOver func(ctx context.Context, current *parser.Revision) error
	// IsFromCopy reports whether a loaded revision is one that a restore of the store
	// has brought back, so that peers may have a newer one. It is optional.
	IsFromCopy func(*parser.Revision) bool
	// Encode and Decode convert a revision to and from the format that daemons
	// exchange.
	Encode func(*parser.Revision) ([]byte, error)
	Decode func([]byte) (*parser.Revision, error)
	// IsRelay reports whether this daemon is a relay. If nil, it always is.
	IsRelay func(now time.Time) bool
	// Peers returns the RPC addresses of other entry daemons.
	Peers func(now time.Time) []string
	// Client returns a client for an RPC address.
	Client func(address string) (messenger.EntryClient, error)
	Log    *logger.Logger
	// LowerRevisions counts the revisions that Offer refused because they were
	// lower than the current one; PullFailures counts pulls that failed at every
	// source.
	LowerRevisions, PullFailures metrics.Counter
	// Jitter returns a number in [0, 1); rand.Float64 when nil.
	Jitter func() float64

	notify notifier.Notifier
	once   sync.Once
	// announced holds a value after ObserveRevision has raised highestKnown.
	announced chan struct{}

	mu      sync.Mutex
	current *parser.Revision
	// encoded is the encoded current revision, or nil until it is requested.
	encoded []byte
	// highestKnown is the highest known revision, and announcedBy the address of
	// the peer that last announced a higher one than before.
	highestKnown uint64
	announcedBy  string
	// era is the era of the store into which the configuration was carried over.
	era    uint64
	status Status
}

// Status describes how current the configuration is.
type Status struct {
	Revision uint64
	// HighestKnown is the highest revision known to this daemon.
	HighestKnown uint64
	// Relay is set while this daemon is a relay, and Watching while it watches the
	// head.
	Relay, Watching bool
	// Confirmed is the time at which the object API last confirmed the revision.
	Confirmed time.Time
	// LastRefused is the last revision that was refused because it was lower than
	// the current one, or 0.
	LastRefused uint64
}

// Run keeps the configuration up to date until ctx ends.
func (b *Broadcaster) Run(ctx context.Context) error {
	b.init()
	b.loadInitial(ctx)
	var workers sync.WaitGroup
	workers.Add(2)
	go puller{b}.run(ctx, &workers)
	go watcher{b}.run(ctx, &workers)
	workers.Wait()
	return ctx.Err()
}

// Current returns the current configuration, or nil when there is none yet.
func (b *Broadcaster) Current() *parser.Revision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

// RevisionNumber returns the number of the current revision, or 0 when there is
// none yet.
func (b *Broadcaster) RevisionNumber() uint64 {
	if current := b.Current(); current != nil {
		return current.Number
	}
	return 0
}

// Changed returns a channel that is closed when the current revision changes.
func (b *Broadcaster) Changed() <-chan struct{} { return b.notify.Changed() }

// Status returns the current status.
func (b *Broadcaster) Status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.status
	s.HighestKnown = b.highestKnown
	if b.current != nil {
		s.Revision = b.current.Number
	}
	return s
}

// ObserveRevision records that a heartbeat from the given RPC address announced
// a revision. Run pulls the revision when it is higher than the current one.
func (b *Broadcaster) ObserveRevision(revision uint64, from string) {
	b.init()
	b.mu.Lock()
	defer b.mu.Unlock()
	if revision <= b.highestKnown || (b.current != nil && revision <= b.current.Number) {
		return
	}
	b.highestKnown, b.announcedBy = revision, from
	select {
	case b.announced <- struct{}{}:
	default:
	}
}

// Offer makes the revision current if it is higher than the current one. It
// reports whether the revision is now current. It logs an error and counts the
// revision in LowerRevisions when it is lower.
func (b *Broadcaster) Offer(revision *parser.Revision, source string) bool {
	b.init()
	b.mu.Lock()
	if b.current != nil && revision.Number < b.current.Number {
		current := b.current.Number
		b.status.LastRefused = revision.Number
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
	b.highestKnown = max(b.highestKnown, revision.Number)
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
	b.announced = make(chan struct{}, 1)
}

// loadInitial loads the first revision from the object API or, when that fails or
// the store was restored, from peers. It returns when there is a revision or ctx ends.
func (b *Broadcaster) loadInitial(ctx context.Context) {
	retry := b.newBackoff(initialRetryDelay)
	for ctx.Err() == nil {
		revision, err := b.load(ctx)
		switch {
		case err != nil:
			b.Log.Warn("configuration not read from the object API", zap.Error(err))
			b.pullFromPeers(ctx, 0)
		case b.IsFromCopy == nil || !b.IsFromCopy(revision):
			b.confirm(revision)
		default:
			b.Log.Warn("the object API was restored, configuration requested from peers", zap.Uint64("restored", revision.Number))
			b.awaitNewer(ctx, revision, time.Now())
		}
		if b.Current() != nil {
			return
		}
		b.sleep(ctx, retry.NextBackOff())
	}
}

// awaitNewer makes a restored revision current only if no peer has a newer one within
// carryOverDelay, or announces one that it does not have by then.
func (b *Broadcaster) awaitNewer(ctx context.Context, restored *parser.Revision, started time.Time) {
	for ctx.Err() == nil {
		b.pullFromPeers(ctx, restored.Number+1)
		if b.Current() != nil {
			return
		}
		waited := time.Since(started)
		if wanted, _, _ := b.pendingRevision(); waited >= carryOverDelay*maxCarryOverDelays || waited >= carryOverDelay && wanted <= restored.Number {
			b.confirm(restored)
			return
		}
		b.sleep(ctx, initialRetryDelay)
	}
}

// pullFromPeers requests a revision of at least the given number from some peers.
func (b *Broadcaster) pullFromPeers(ctx context.Context, wanted uint64) {
	for _, address := range b.randomPeers(time.Now(), startupPeerCount) {
		if err := b.pull(ctx, address, wanted); err != nil {
			b.Log.Info("configuration not pulled", zap.String("peer", address), zap.Error(err))
		}
	}
}

// load reads the current revision. It is empty if nothing has been published yet.
func (b *Broadcaster) load(ctx context.Context) (*parser.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := b.Load(ctx)
	var notFound *adapter.NotFoundError
	if errors.As(err, &notFound) && notFound.Key == HeadKey {
		return &parser.Revision{Set: parser.NewSet()}, nil
	}
	return revision, err
}

func (b *Broadcaster) loadFromAPI(ctx context.Context) error {
	revision, err := b.load(ctx)
	if err != nil {
		return err
	}
	b.confirm(revision)
	return nil
}

// confirm offers a revision that the object API has returned.
func (b *Broadcaster) confirm(revision *parser.Revision) {
	isCurrent := b.Offer(revision, "object API")
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case isCurrent:
		b.status.Confirmed = time.Now()
	case b.IsFromCopy != nil && b.IsFromCopy(revision):
		// An update of the head that was sent before the restore took effect after
		// it. The configuration is carried over again.
		b.era = 0
	}
}

func (b *Broadcaster) newBackoff(initial time.Duration) *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initial
	retry.MaxInterval = maxRetryDelay
	return retry
}

func (b *Broadcaster) sleep(ctx context.Context, d time.Duration) {
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
