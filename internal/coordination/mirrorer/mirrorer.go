// Package mirrorer keeps a copy of the objects of one kind in an object store and
// updates it with a watch. While the store is unreachable, the copy is updated from
// the copies of other daemons, so that a daemon that the store rejects still
// receives changes.
package mirrorer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/notifier"
	"github.com/lentilbridge/lentilbridge/internal/shared/timekeeper"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

const (
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call. The
	// maximum is well under the two seconds within which a change of the configuration
	// has to be in force.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// peerCheckInterval is the time between two checks of CatchUpWithPeers.
	peerCheckInterval = 250 * time.Millisecond
	// followInterval is the time between two checks while another daemon watches for
	// this one.
	followInterval = 100 * time.Millisecond
	// peerLeadTolerance is how long other daemons have to be ahead before a copy is
	// fetched from one of them. A working watch delivers the same change within this time.
	peerLeadTolerance = 400 * time.Millisecond
	// maxWatchWait is the longest wait of a watch call that the store allows. Each call is
	// billed.
	maxWatchWait = 30 * time.Second
	// watchShare is the share of the time for which the source keeps its history that a
	// watch waits. The revision of a watch that waits for longer is lost when a change is
	// made, and a list does not tell when that was.
	watchShare = 0.7
	// minWatchWait is the time after which an answer to a watch counts as delayed until a
	// change was made. An earlier answer may be of a change made before the watch.
	minWatchWait = 250 * time.Millisecond
	// relistAfterOutage is the time between the end of an outage of the store and the
	// next list. Registrations that expired in the outage are back after two
	// seconds, and one that is missing then counts as gone.
	relistAfterOutage = 2500 * time.Millisecond
)

// CompactedError reports a watch from a revision whose history the store has
// discarded.
type CompactedError struct {
	Kind     string
	Revision uint64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("history of kind %q since revision %d has been compacted", e.Kind, e.Revision)
}

// Source is an object store.
type Source interface {
	// List returns all objects of a kind. With stale, the store may answer with an
	// older state.
	List(ctx context.Context, kind string, stale bool) (Snapshot, error)
	// Watch returns the changes after the revision. If there are none, it waits for
	// one, at most for the given time. It returns a *CompactedError if the history
	// has been compacted.
	Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (Changes, error)
}

// Scope selects the daemons from which a copy is updated.
type Scope int

const (
	// Near are the daemons of the same failure domain.
	Near Scope = iota
	// All are the daemons of all failure domains. Traffic between them is billed.
	All
)

// Peers provides access to the other daemons that mirror a kind.
type Peers interface {
	// HaveNewer reports whether another daemon has a content revision above the given
	// one.
	HaveNewer(kind string, content uint64, scope Scope) bool
	// FetchNewer fetches what such a daemon has since the given content revision. It
	// returns false if there is none or the call fails.
	FetchNewer(ctx context.Context, kind string, content uint64, scope Scope) (Update, bool)
}

// Mirror is the copy of one kind. Its exported fields are set before Run.
type Mirror struct {
	Kind   string
	Source Source
	// Peers may be nil.
	Peers Peers
	// Permanent is set if objects of the kind are never deleted. The content revision
	// of a list is then that of its newest object, so that daemons which list at
	// different times have the same content revision.
	Permanent bool
	// Version returns the version that operators gave the contents of an object, for
	// permanent kinds whose versions only rise, if set. It is the same in all eras: of the
	// contents that a restored store lists, those with a lower version are not taken.
	Version func(Object) uint64
	// HistoryTime is how long the source keeps its history, or zero if that is unknown.
	HistoryTime time.Duration
	// WatchPause is the pause between two watch calls, which batches changes that
	// arrive meanwhile. It is zero for kinds that rarely change.
	WatchPause time.Duration
	// OnChange is called with the new copy after each change, if set.
	OnChange func(Snapshot, time.Time)
	// ShouldFollow reports whether another daemon watches the store for this one, if
	// set. Changes then come from Peers, and this daemon makes no watch calls.
	ShouldFollow func() bool
	// ProbeInterval is the time between two calls that Probe makes to the store.
	ProbeInterval time.Duration
	// OnProbeChange is called when a probe finds a change that the watch has not
	// delivered, if set.
	OnProbeChange func()
	// OnRestore is called before OnChange with the first copy of a restored store, if set.
	OnRestore func(now time.Time)
	// OnOutage is called after each failed call and at the end of an outage, if set.
	OnOutage func(now time.Time)
	// Now returns the present moment; nil means the clocks of the VM.
	Now func() timekeeper.Moment
	Log *logger.Logger

	mu       sync.Mutex
	snapshot Snapshot
	loaded   bool
	history  history
	changed  notifier.Notifier
	// unreachable is set if the last call failed.
	unreachable bool
	// versions is the sum of the versions of the objects, which rises with each change.
	versions uint64
	// outageAt is when a call last failed, or an outage ended.
	outageAt time.Time
	// restoredAt is when the first copy of a restored store was last received.
	restoredAt time.Time
	// era is that of the last copy that was passed on, if any was.
	era      uint64
	eraKnown bool
	// currentAt is when the copy was last known to have all changes of the source.
	currentAt time.Time
	// confirmedAt is when the source was last asked and had nothing newer than the copy.
	confirmedAt timekeeper.Moment
	// polledAt is when the last answered poll was made while this daemon polls, or zero.
	polledAt time.Time
	// deliveries holds the copies that are to be passed on, and delivering is set while a
	// goroutine does so.
	deliveries []delivery
	delivering bool
}

// Get returns the copy, and false if there is none yet. The caller must not modify
// the snapshot.
func (m *Mirror) Get() (Snapshot, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot, m.loaded
}

// Revision returns the revision of the copy, or 0 if there is none.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot.Revision
}

// ContentRevision returns the revision of the last change of the copy.
func (m *Mirror) ContentRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot.ContentRevision
}

// Changed returns a channel that is closed at the next change of the copy.
func (m *Mirror) Changed() <-chan struct{} { return m.changed.Changed() }

// Run keeps the copy up to date until ctx is canceled.
func (m *Mirror) Run(ctx context.Context) {
	retryDelay := minRetryDelay
	reachable := true
	listed := false
	// compactedAt is the revision of the last watch without history, until a watch works.
	var compactedAt uint64
	var relistAt time.Time
	for ctx.Err() == nil {
		if m.isFollower() {
			m.followOnce(ctx)
			continue
		}
		if !listed || (!relistAt.IsZero() && time.Now().After(relistAt)) {
			if !m.list(ctx) {
				m.recordFailure(ctx, &reachable)
				retryDelay = m.waitForStore(ctx, retryDelay)
				continue
			}
			listed = true
			relistAt = time.Time{}
			if m.Revision() == compactedAt {
				waiter.Wait(ctx, withJitter(retryDelay))
				retryDelay = min(2*retryDelay, maxRetryDelay)
			}
			continue
		}
		older, err := m.watch(ctx, relistAt)
		var compacted *CompactedError
		switch {
		case older:
			waiter.Wait(ctx, withJitter(retryDelay))
			retryDelay = min(2*retryDelay, maxRetryDelay)
		case err == nil:
			if !reachable {
				m.Log.Info("dependency regained", zap.String("dependency", "object store"), zap.String("kind", m.Kind))
				reachable = true
				relistAt = time.Now().Add(relistAfterOutage)
			}
			retryDelay = minRetryDelay
			compactedAt = 0
			waiter.Wait(ctx, m.WatchPause)
		case errors.As(err, &compacted):
			m.Log.Info("history compacted, listing again", zap.String("kind", m.Kind), zap.Uint64("revision", compacted.Revision))
			listed, compactedAt = false, compacted.Revision
		case ctx.Err() != nil:
			return
		case errors.Is(err, context.DeadlineExceeded) && !relistAt.IsZero():
			// The watch was cut short because the list is due.
		default:
			m.recordFailure(ctx, &reachable)
			// The next watch starts at the same revision and thus returns the changes
			// of a lost answer again.
			retryDelay = m.waitForStore(ctx, retryDelay)
		}
	}
}

// Refresh updates the copy once, for a kind that is needed from time to time only: with
// the changes since the last time, or with a list that may be older than the state of
// the store.
func (m *Mirror) Refresh(ctx context.Context) error {
	if _, loaded := m.Get(); loaded {
		changes, err := m.Source.Watch(ctx, m.Kind, m.Revision(), 0)
		var compacted *CompactedError
		if err == nil {
			m.apply(changes, time.Now())
		}
		if !errors.As(err, &compacted) {
			return err
		}
	}
	s, err := m.Source.List(ctx, m.Kind, true)
	if err == nil {
		m.replace(s, time.Now())
	}
	return err
}

// isFollower reports whether another daemon watches for this one. The first copy always
// comes from the store.
func (m *Mirror) isFollower() bool {
	m.mu.Lock()
	known := m.loaded
	m.mu.Unlock()
	return known && m.ShouldFollow != nil && m.ShouldFollow()
}

// followOnce waits for one interval and then fetches newer content from a daemon of the
// same failure domain.
func (m *Mirror) followOnce(ctx context.Context) {
	waiter.Wait(ctx, followInterval)
	if m.Peers.HaveNewer(m.Kind, m.ContentRevision(), Near) {
		m.fetchFromPeers(ctx, Near)
	}
}

// fetchFromPeers updates the copy with newer content from another daemon, if any.
func (m *Mirror) fetchFromPeers(ctx context.Context, scope Scope) {
	update, ok := m.Peers.FetchNewer(ctx, m.Kind, m.ContentRevision(), scope)
	if ok {
		m.Merge(update)
	}
}

// Merge updates the copy with what another daemon has sent.
func (m *Mirror) Merge(update Update) {
	switch update := update.(type) {
	case Snapshot:
		m.replaceFromPeer(update, time.Now())
	case Changes:
		m.applyFromPeer(update, time.Now())
	}
}

// UpdateSince returns what a daemon needs whose copy has the given content revision:
// the present state of the objects that have changed since then, which is never larger
// than the copy, or the whole copy if the changes are not all known. It returns false if
// there is no copy yet. The caller must not modify the update.
func (m *Mirror) UpdateSince(content uint64) (Update, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded {
		return nil, false
	}
	if list, madeAfter, ok := m.history.since(content); ok {
		for i, change := range list {
			// The copy may still have an object whose deletion, or whose later change, it
			// did not take.
			if o, found := m.snapshot.Objects[change.Object.Name]; found {
				list[i] = Change{Object: o}
			} else {
				list[i].Deleted = true
			}
		}
		return Changes{Revision: m.snapshot.ContentRevision, List: list, MadeAfter: madeAfter}, true
	}
	return m.snapshot, true
}

// StoreReachable reports whether the store answered the last call.
func (m *Mirror) StoreReachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.unreachable
}

func (m *Mirror) setUnreachable(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable, m.outageAt = true, now
}

// recordFailure records a failed call and logs the first one of an outage.
func (m *Mirror) recordFailure(ctx context.Context, reachable *bool) {
	now := time.Now()
	m.setUnreachable(now)
	if m.OnOutage != nil && ctx.Err() == nil {
		m.OnOutage(now)
	}
	if *reachable && ctx.Err() == nil {
		m.Log.Warn("dependency lost", zap.String("dependency", "object store"), zap.String("kind", m.Kind), zap.Uint64("revision", m.Revision()))
	}
	*reachable = false
}

// waitForStore fetches a newer copy from other daemons, waits for the delay with
// jitter, and returns the next delay.
func (m *Mirror) waitForStore(ctx context.Context, delay time.Duration) time.Duration {
	if m.Peers != nil {
		m.fetchFromPeers(ctx, All)
	}
	waiter.Wait(ctx, withJitter(delay))
	return min(2*delay, maxRetryDelay)
}

func withJitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// CatchUpWithPeers runs until ctx is canceled and fetches newer content from other
// daemons once they have been ahead for peerLeadTolerance. This covers a watch that
// hangs without an error.
func (m *Mirror) CatchUpWithPeers(ctx context.Context) {
	var behindSince time.Time
	for ctx.Err() == nil {
		waiter.Wait(ctx, peerCheckInterval)
		now := time.Now()
		m.CatchUpWithVersions(ctx)
		if !m.Peers.HaveNewer(m.Kind, m.ContentRevision(), All) {
			behindSince = time.Time{}
			continue
		}
		if behindSince.IsZero() {
			behindSince = now
		}
		if now.Sub(behindSince) < peerLeadTolerance {
			continue
		}
		m.fetchFromPeers(ctx, All)
	}
}

// list replaces the copy with the objects that the store lists, and reports whether
// the call succeeded.
func (m *Mirror) list(ctx context.Context) bool {
	asked := m.present()
	s, err := m.Source.List(ctx, m.Kind, false)
	now := time.Now()
	if err != nil {
		if ctx.Err() == nil {
			m.Log.Debug("list failed", zap.String("kind", m.Kind), zap.Error(err))
		}
		return false
	}
	m.recordAnswer(now)
	m.replace(s, now)
	m.recordConfirmation(asked, s.Revision)
	return true
}

// watchWait returns the wait of a watch call.
func (m *Mirror) watchWait() time.Duration {
	if m.HistoryTime <= 0 {
		return maxWatchWait
	}
	return min(maxWatchWait, time.Duration(watchShare*float64(m.HistoryTime)))
}

// watch makes one watch call and applies its changes, unless the answer is older than the
// revision from which it watches, which it reports. The call ends at until, if set.
func (m *Mirror) watch(ctx context.Context, until time.Time) (older bool, err error) {
	if !until.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, until)
		defer cancel()
	}
	from := m.Revision()
	asked := m.present()
	changes, err := m.Source.Watch(ctx, m.Kind, from, m.watchWait())
	if err != nil {
		return false, err
	}
	now := time.Now()
	m.recordAnswer(now)
	m.apply(changes, now)
	m.recordConfirmation(asked, changes.Revision)
	return changes.Revision < from, nil
}

// recordAnswer records that the store answered. If that ends an outage, it calls
// OnOutage with the end of the outage, which has to happen before the changes are
// applied.
func (m *Mirror) recordAnswer(now time.Time) {
	m.mu.Lock()
	wasUnreachable := m.unreachable
	m.unreachable = false
	if wasUnreachable {
		m.outageAt = now
	}
	m.mu.Unlock()
	if wasUnreachable && m.OnOutage != nil {
		m.OnOutage(now)
	}
}
