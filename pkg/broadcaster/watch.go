package broadcaster

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// watcher watches the head while this daemon is a relay.
type watcher struct {
	*Broadcaster
}

func (b watcher) run(ctx context.Context, workers *sync.WaitGroup) {
	defer workers.Done()
	retry := b.newBackoff(pollInterval)
	for ctx.Err() == nil {
		if !b.isRelay(time.Now()) {
			b.sleep(ctx, time.Second)
			continue
		}
		after, err := b.poll(ctx)
		if era, changed := b.newEra(); changed {
			if err = b.carryOver(ctx, era); err == nil {
				continue
			}
		}
		if err == nil {
			retry.Reset()
			err = b.watch(ctx, after)
		}
		b.setWatching(false)
		if err == nil || ctx.Err() != nil {
			continue
		}
		b.Log.Warn("watch of the configuration lost, polling", zap.Error(err))
		b.sleep(ctx, b.pollDelay(err, retry.NextBackOff()))
	}
}

// pollDelay returns the delay before the next read of the head: the poll
// interval with jitter after a lost watch, or the backoff while the object API
// is down.
func (b *Broadcaster) pollDelay(err error, backoff time.Duration) time.Duration {
	var unavailable *adapter.UnavailableError
	if errors.As(err, &unavailable) || errors.Is(err, context.DeadlineExceeded) {
		return backoff
	}
	return pollInterval/2 + time.Duration(b.jitter()*float64(pollInterval))
}

// poll reads the head, loads the current revision and returns the version of the
// head from which to watch.
func (b *Broadcaster) poll(ctx context.Context) (uint64, error) {
	getCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	head, err := b.API.Get(getCtx, HeadKey)
	var notFound *adapter.NotFoundError
	if errors.As(err, &notFound) {
		return 0, b.loadFromAPI(ctx)
	}
	if err != nil {
		return 0, err
	}
	return head.Version, b.loadFromAPI(ctx)
}

// watch watches the head until the watch is lost or this daemon is no longer a
// relay. Changes up to the version that has been loaded are replays and do not
// cause another load.
func (b *Broadcaster) watch(ctx context.Context, after uint64) error {
	from := after
	for ctx.Err() == nil && b.mayWatch(time.Now()) {
		b.setWatching(true)
		started := time.Now()
		changes, next, err := b.watchOnce(ctx, from)
		if err != nil {
			return err
		}
		newest := after
		for _, change := range changes {
			newest = max(newest, change.Object.Version)
		}
		if newest > after {
			if err := b.loadFromAPI(ctx); err != nil {
				return err
			}
			after = newest
		} else if time.Since(started) < emptyWatchDelay {
			b.sleep(ctx, emptyWatchDelay)
		}
		from = max(from, next, after)
	}
	return nil
}

func (b *Broadcaster) watchOnce(ctx context.Context, after uint64) ([]adapter.Change, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	go relayMonitor{b}.run(ctx, cancel)
	changes, next, err := b.API.Watch(ctx, HeadKey, after)
	if err != nil && !b.mayWatch(time.Now()) {
		return nil, next, nil
	}
	return changes, next, err
}

// newEra returns the era of the store and whether the configuration was not yet
// carried over into it.
func (b *Broadcaster) newEra() (uint64, bool) {
	era := adapter.EraOf(b.API)
	b.mu.Lock()
	defer b.mu.Unlock()
	return era, era > b.era
}

// carryOver publishes the current revision again after a restore of the store. It
// first gives this daemon time to get a higher one that its peers have.
func (b *Broadcaster) carryOver(ctx context.Context, era uint64) error {
	for range maxCarryOverDelays {
		b.sleep(ctx, carryOverDelay)
		if _, _, behind := b.pendingRevision(); !behind {
			break
		}
	}
	current := b.Current()
	if b.CarryOver != nil && current != nil {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := b.CarryOver(ctx, current); err != nil {
			return err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.era = era
	return nil
}

// mayWatch reports whether this daemon is a relay in an era into which the
// configuration was carried over.
func (b *Broadcaster) mayWatch(now time.Time) bool {
	_, changed := b.newEra()
	return b.isRelay(now) && !changed
}

// relayMonitor ends a watch when this daemon may no longer watch. Every daemon
// is a relay until it has discovered the others, and a watch may block for 30
// seconds. Without the monitor, all daemons that start together would watch for
// that long.
type relayMonitor struct {
	*Broadcaster
}

func (b relayMonitor) run(ctx context.Context, endWatch context.CancelFunc) {
	for ctx.Err() == nil {
		b.sleep(ctx, relayCheckInterval)
		if !b.mayWatch(time.Now()) {
			endWatch()
			return
		}
	}
}

// isRelay reports whether this daemon is a relay and records it in the status.
func (b *Broadcaster) isRelay(now time.Time) bool {
	relay := b.IsRelay == nil || b.IsRelay(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.status.Relay = relay
	return relay
}

func (b *Broadcaster) setWatching(watching bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.status.Watching = watching
}
