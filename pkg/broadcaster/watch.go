package broadcaster

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// watcher holds the watch on the head while this daemon is a relay.
type watcher struct {
	*Broadcaster
}

func (b watcher) run(ctx context.Context, workers *sync.WaitGroup) {
	defer workers.Done()
	retry := b.newBackoff(pollEvery)
	for ctx.Err() == nil {
		if !b.isRelay(time.Now()) {
			b.pause(ctx, time.Second)
			continue
		}
		after, err := b.poll(ctx)
		if err == nil {
			retry.Reset()
			err = b.watch(ctx, after)
		}
		b.setWatching(false)
		if err == nil || ctx.Err() != nil {
			continue
		}
		b.Log.Warn("watch of the configuration lost, polling", zap.Error(err))
		b.pause(ctx, b.pollPause(err, retry.NextBackOff()))
	}
}

// pollPause is the wait before the next read of the head: the poll interval
// with jitter after a lost watch, longer while the object API is down.
func (b *Broadcaster) pollPause(err error, backoff time.Duration) time.Duration {
	var unavailable *adapter.UnavailableError
	if errors.As(err, &unavailable) || errors.Is(err, context.DeadlineExceeded) {
		return backoff
	}
	return pollEvery/2 + time.Duration(b.jitter()*float64(pollEvery))
}

// poll reads the head, loads its revision when it is not the current one, and
// returns the version to watch from.
func (b *Broadcaster) poll(ctx context.Context) (uint64, error) {
	getCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	head, err := b.API.Get(getCtx, HeadKey)
	var missing *adapter.NotFoundError
	if errors.As(err, &missing) {
		return 0, b.load(ctx)
	}
	if err != nil {
		return 0, err
	}
	return head.Version, b.load(ctx)
}

// watch follows the head until the watch is lost or another daemon is the
// relay. Changes up to the version already read are replays and cost no call.
func (b *Broadcaster) watch(ctx context.Context, after uint64) error {
	from := after
	for ctx.Err() == nil && b.isRelay(time.Now()) {
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
			if err := b.load(ctx); err != nil {
				return err
			}
			after = newest
		} else if time.Since(started) < emptyWatchPause {
			b.pause(ctx, emptyWatchPause)
		}
		from = max(from, next, after)
	}
	return nil
}

func (b *Broadcaster) watchOnce(ctx context.Context, after uint64) ([]adapter.Change, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	go roleWatcher{b}.run(ctx, cancel)
	changes, next, err := b.API.Watch(ctx, HeadKey, after)
	if err != nil && !b.isRelay(time.Now()) {
		return nil, next, nil
	}
	return changes, next, err
}

// roleWatcher ends a watch once another daemon is the relay. A watch may wait for
// half a minute, and every daemon is a relay until it has found the others, so
// that all daemons would watch for as long after they start together.
type roleWatcher struct {
	*Broadcaster
}

func (b roleWatcher) run(ctx context.Context, endWatch context.CancelFunc) {
	for ctx.Err() == nil {
		b.pause(ctx, roleInterval)
		if !b.isRelay(time.Now()) {
			endWatch()
			return
		}
	}
}

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
