// Package mirrorer keeps a copy of the objects of one kind of an object store.
// The copy follows the store by a watch. While the store cannot be reached it
// follows the copies of other daemons, so that a daemon that the store turns
// away still learns of changes.
package mirrorer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

const (
	// minPause and maxPause bound the time between two calls after a failure.
	// The largest is well under the two seconds in which a change of the
	// configuration has to be in force.
	minPause = 50 * time.Millisecond
	maxPause = 400 * time.Millisecond
	// peerPause is the time between two questions to another daemon.
	peerPause = 250 * time.Millisecond
	// followPause is the time between two looks of a daemon that follows others.
	followPause = 100 * time.Millisecond
	// behindFor is how long another daemon has to be ahead before it is asked.
	// A watch that works brings the same change within this time.
	behindFor = 400 * time.Millisecond
	// longWait is the wait of a watch: each call has a price, and the store
	// allows no longer one.
	longWait = 30 * time.Second
	// relistAfterOutage is when the list is read again after the store was
	// lost: registrations that expired meanwhile are back two seconds after
	// its return, and a missing one then counts as gone.
	relistAfterOutage = 2500 * time.Millisecond
)

// Object is one object of the store.
type Object struct {
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec"`
}

// Snapshot is the state of a kind at a revision of the store.
type Snapshot struct {
	Revision uint64 `json:"revision"`
	// Content is the revision at which the objects last changed. The store's
	// revision also grows by changes of other kinds.
	Content uint64            `json:"content"`
	Objects map[string]Object `json:"objects"`
}

// Change is the new state of an object, or its end.
type Change struct {
	Object  Object
	Deleted bool
}

// Changes are the changes up to a revision.
type Changes struct {
	Revision uint64
	List     []Change
}

// CompactedError reports a watch from a revision whose history is gone.
type CompactedError struct {
	Kind     string
	Revision uint64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("history of %s since revision %d is gone", e.Kind, e.Revision)
}

// Source is the object store.
type Source interface {
	List(ctx context.Context, kind string, stale bool) (Snapshot, error)
	// Watch returns when something changed after the revision, or after the
	// wait. It fails with a *CompactedError when the history is gone.
	Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (Changes, error)
}

// Peers are the other daemons that mirror the kind.
type Peers interface {
	// HaveNewer tells whether another daemon has content of a revision above the
	// one given.
	HaveNewer(kind string, content uint64) bool
	// Newer returns the snapshot of such a daemon, and false when none is known.
	Newer(ctx context.Context, kind string, content uint64) (Snapshot, bool)
}

// Mirror is the copy of one kind. Fields are set before Run.
type Mirror struct {
	Kind   string
	Source Source
	// Peers may be nil.
	Peers Peers
	// Settle is the least time between two watch calls. Changes that arrive
	// meanwhile come with one answer. Zero for kinds that rarely change.
	Settle time.Duration
	// Applied is called after each change, if set.
	Applied func(Snapshot, time.Time)
	// Follow tells whether another daemon watches for this one, if set. Peers
	// then bring the changes, and this daemon makes no calls.
	Follow func() bool
	// ProbeInterval is the time between two probes of the daemon that probes.
	ProbeInterval time.Duration
	// Found is called when a probe found what the watch did not bring, if set.
	Found func()
	// Lost is called at each failed call and at the end of an outage, if set.
	Lost func(now time.Time)
	Log  *logger.Logger

	mu       sync.Mutex
	snapshot Snapshot
	known    bool
	// unreachable is set while calls fail.
	unreachable bool
}

// Get returns the copy and whether there is one. The snapshot must not be
// changed.
func (m *Mirror) Get() (Snapshot, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot, m.known
}

// Revision returns the revision of the copy, 0 when there is none.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot.Revision
}

// ContentRevision returns the revision of the last change of the copy.
func (m *Mirror) ContentRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot.Content
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := minPause
	reachable := true
	listed := false
	var relist time.Time
	for ctx.Err() == nil {
		if m.follows() {
			m.follow(ctx)
			continue
		}
		if !listed || (!relist.IsZero() && time.Now().After(relist)) {
			if !m.list(ctx) {
				m.lost(ctx, &reachable)
				pause = m.waitForStore(ctx, pause)
				continue
			}
			listed = true
			relist = time.Time{}
			continue
		}
		err := m.watch(ctx, relist)
		var compacted *CompactedError
		switch {
		case err == nil:
			if !reachable {
				m.Log.Info("dependency regained", zap.String("dependency", "object store"), zap.String("kind", m.Kind))
				reachable = true
				relist = time.Now().Add(relistAfterOutage)
			}
			pause = minPause
			waiter.Wait(ctx, m.Settle)
		case errors.As(err, &compacted):
			m.Log.Info("history is gone, reading the list again", zap.String("kind", m.Kind), zap.Uint64("revision", compacted.Revision))
			listed = false
		case ctx.Err() != nil:
			return
		case errors.Is(err, context.DeadlineExceeded) && !relist.IsZero():
			// The wait ended for the list that is due.
		default:
			m.lost(ctx, &reachable)
			// The next watch begins at the same revision, so that an answer that
			// was lost with its connection is repeated.
			pause = m.waitForStore(ctx, pause)
		}
	}
}

// follows tells whether another daemon watches for this one. The first copy
// comes from the store.
func (m *Mirror) follows() bool {
	m.mu.Lock()
	known := m.known
	m.mu.Unlock()
	return known && m.Follow != nil && m.Follow()
}

// follow takes newer content of other daemons for one interval.
func (m *Mirror) follow(ctx context.Context) {
	waiter.Wait(ctx, followPause)
	if m.Peers.HaveNewer(m.Kind, m.ContentRevision()) {
		m.takeNewer(ctx)
	}
}

// takeNewer replaces the copy by a newer one of another daemon, if there is one.
func (m *Mirror) takeNewer(ctx context.Context) {
	if s, ok := m.Peers.Newer(ctx, m.Kind, m.ContentRevision()); ok {
		m.replace(s, time.Now(), "peer")
	}
}

// Reaches tells whether the store answered the last call.
func (m *Mirror) Reaches() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.unreachable
}

func (m *Mirror) setReachable(ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable = !ok
}

func (m *Mirror) lost(ctx context.Context, reachable *bool) {
	m.setReachable(false)
	if m.Lost != nil && ctx.Err() == nil {
		m.Lost(time.Now())
	}
	if *reachable && ctx.Err() == nil {
		m.Log.Warn("dependency lost", zap.String("dependency", "object store"), zap.String("kind", m.Kind), zap.Uint64("revision", m.Revision()))
	}
	*reachable = false
}

// waitForStore asks other daemons for newer copies until the next try.
func (m *Mirror) waitForStore(ctx context.Context, pause time.Duration) time.Duration {
	if m.Peers != nil {
		m.takeNewer(ctx)
	}
	waiter.Wait(ctx, pause/2+rand.N(pause))
	return min(2*pause, maxPause)
}

// FollowPeers asks other daemons for newer content when they have had it for
// a while. It covers a watch that hangs without an error.
func (m *Mirror) FollowPeers(ctx context.Context) {
	var behindSince time.Time
	for ctx.Err() == nil {
		waiter.Wait(ctx, peerPause)
		now := time.Now()
		if !m.Peers.HaveNewer(m.Kind, m.ContentRevision()) {
			behindSince = time.Time{}
			continue
		}
		if behindSince.IsZero() {
			behindSince = now
		}
		if now.Sub(behindSince) < behindFor {
			continue
		}
		m.takeNewer(ctx)
	}
}

// Probe asks the store at short intervals while active reports true. A watch
// may miss changes without an error when the store drops its history, and then
// returns only at the next change. One daemon probes for all: the others hear
// from it that their copies are old.
func (m *Mirror) Probe(ctx context.Context, active func() bool) {
	for ctx.Err() == nil {
		waiter.Wait(ctx, m.ProbeInterval)
		if !active() {
			continue
		}
		before := m.ContentRevision()
		changes, err := m.Source.Watch(ctx, m.Kind, m.Revision(), 0)
		var compacted *CompactedError
		switch {
		case err == nil:
			now := time.Now()
			m.returned(now)
			m.apply(changes, now)
		case errors.As(err, &compacted):
			m.Log.Info("history is gone, reading the list again", zap.String("kind", m.Kind), zap.Uint64("revision", compacted.Revision))
			m.list(ctx)
		case ctx.Err() == nil:
			m.setReachable(false)
		}
		if m.ContentRevision() != before && m.Found != nil {
			m.Found()
		}
	}
}

func (m *Mirror) list(ctx context.Context) bool {
	s, err := m.Source.List(ctx, m.Kind, false)
	now := time.Now()
	if err != nil {
		if ctx.Err() == nil {
			m.Log.Debug("list failed", zap.String("kind", m.Kind), zap.Error(err))
		}
		return false
	}
	m.returned(now)
	m.replace(s, now, "list")
	return true
}

func (m *Mirror) watch(ctx context.Context, until time.Time) error {
	if !until.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, until)
		defer cancel()
	}
	from := m.Revision()
	changes, err := m.Source.Watch(ctx, m.Kind, from, longWait)
	if err != nil {
		return err
	}
	now := time.Now()
	m.returned(now)
	m.apply(changes, now)
	return nil
}

// returned notes an answer of the store. The outage that it ends lasted until
// now, which Lost has to know before the changes are applied.
func (m *Mirror) returned(now time.Time) {
	m.mu.Lock()
	wasLost := m.unreachable
	m.unreachable = false
	m.mu.Unlock()
	if wasLost && m.Lost != nil {
		m.Lost(now)
	}
}

// replace takes a whole snapshot unless the copy is newer.
func (m *Mirror) replace(s Snapshot, now time.Time, origin string) {
	m.mu.Lock()
	if m.known && s.Revision < m.snapshot.Revision {
		m.mu.Unlock()
		return
	}
	if s.Content == 0 {
		s.Content = s.Revision
		if m.known && sameObjects(m.snapshot.Objects, s.Objects) {
			s.Content = m.snapshot.Content
		}
	}
	m.snapshot = s
	m.known = true
	m.mu.Unlock()
	m.Log.Info("objects replaced", zap.String("kind", m.Kind), zap.String("from", origin),
		zap.Uint64("revision", s.Revision), zap.Int("objects", len(s.Objects)))
	m.tell(s, now)
}

func (m *Mirror) apply(c Changes, now time.Time) {
	m.mu.Lock()
	if c.Revision < m.snapshot.Revision {
		m.mu.Unlock()
		return
	}
	if len(c.List) == 0 {
		m.snapshot.Revision = c.Revision
		m.mu.Unlock()
		return
	}
	objects := maps.Clone(m.snapshot.Objects)
	if objects == nil {
		objects = map[string]Object{}
	}
	for _, change := range c.List {
		// A newer copy from another daemon may have overtaken this change.
		if known, ok := objects[change.Object.Name]; ok && known.Revision > change.Object.Revision {
			continue
		}
		if change.Deleted {
			delete(objects, change.Object.Name)
		} else {
			objects[change.Object.Name] = change.Object
		}
	}
	m.snapshot = Snapshot{Revision: c.Revision, Content: c.Revision, Objects: objects}
	m.known = true
	s := m.snapshot
	m.mu.Unlock()
	m.Log.Info("objects changed", zap.String("kind", m.Kind), zap.Uint64("revision", c.Revision), zap.Int("changes", len(c.List)))
	m.tell(s, now)
}

func (m *Mirror) tell(s Snapshot, now time.Time) {
	if m.Applied != nil {
		m.Applied(s, now)
	}
}

func sameObjects(a, b map[string]Object) bool {
	return maps.EqualFunc(a, b, func(x, y Object) bool { return x.Revision == y.Revision })
}
