package mirrorer

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/recoverer"
)

// replace replaces the copy with a list of the store unless the copy is newer.
func (m *Mirror) replace(s Snapshot, now time.Time) {
	m.mu.Lock()
	if m.loaded && s.Revision < m.snapshot.Revision {
		m.mu.Unlock()
		m.logIgnored("list", s.Revision)
		return
	}
	m.recordRestore(s.Revision, now)
	s.ContentRevision, s.ChangedAfter, s.MadeAfter = s.Revision, m.currentAt, later(m.currentAt, m.outageAt)
	s.Unanswered = m.isUnanswered(now)
	m.recordRead(s.ReadAt)
	switch {
	case m.Permanent:
		s.ContentRevision = max(newestObject(s.Objects), m.snapshot.ContentRevision)
	case m.loaded && Era(s.Revision) == Era(m.snapshot.Revision) && sameObjects(m.snapshot.Objects, s.Objects):
		s.ContentRevision = m.snapshot.ContentRevision
	}
	m.keepLater(s.Objects)
	m.setSnapshot(s)
	m.queue(now)
	m.mu.Unlock()
	m.logReplaced(s, "list")
	m.notify()
}

// replaceFromPeer replaces the copy with that of another daemon unless the copy has the
// same or newer content.
func (m *Mirror) replaceFromPeer(s Snapshot, now time.Time) {
	m.mu.Lock()
	if m.loaded && s.ContentRevision <= m.snapshot.ContentRevision {
		m.mu.Unlock()
		return
	}
	m.recordRestore(s.Revision, now)
	s.Revision, s.ChangedAfter = max(s.Revision, m.snapshot.Revision), m.currentAt
	m.keepLater(s.Objects)
	m.setSnapshot(s)
	m.queue(now)
	m.mu.Unlock()
	m.logReplaced(s, "peer")
	m.notify()
}

// setSnapshot sets the copy. The history is kept if the content is the same. It is
// called with the lock held.
func (m *Mirror) setSnapshot(s Snapshot) {
	if !m.loaded || s.ContentRevision != m.snapshot.ContentRevision {
		m.history = history{start: s.Revision}
	}
	m.snapshot = s
	m.loaded = true
	m.countVersions()
}

func (m *Mirror) logReplaced(s Snapshot, origin string) {
	m.Log.Info("objects replaced", zap.String("kind", m.Kind), zap.String("from", origin),
		zap.Uint64("revision", s.Revision), zap.Uint64("content", s.ContentRevision), zap.Int("objects", len(s.Objects)))
}

// logIgnored logs an answer of the store that is older than the copy.
func (m *Mirror) logIgnored(call string, revision uint64) {
	m.Log.Info("older objects ignored", zap.String("kind", m.Kind), zap.String("from", call),
		zap.Uint64("revision", revision), zap.Uint64("copy", m.Revision()))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordRestore records a restore of the store before a copy of a later era replaces that of
// an earlier one. It is called with the lock held.
func (m *Mirror) recordRestore(revision uint64, now time.Time) {
	if m.loaded && Era(revision) > Era(m.snapshot.Revision) {
		m.restoredAt = now
	}
}

// recordRead records that the source had nothing newer than the copy when it was asked. It
// is called with the lock held.
func (m *Mirror) recordRead(at time.Time) {
	if at.After(m.currentAt) && !m.mayLackChanges(at) {
		m.currentAt = at
	}
}

// rewriteTime is how long after a restore the store may lack changes that it acknowledged
// before, until they are written again.
const rewriteTime = 3 * time.Second

// mayLackChanges reports whether the source may have lacked changes at a time, because it
// was restored and they had not been written again. It is called with the lock held.
func (m *Mirror) mayLackChanges(at time.Time) bool {
	return !m.restoredAt.IsZero() && at.Sub(m.restoredAt) < rewriteTime
}

// apply applies changes of the store to the copy unless the copy is newer.
func (m *Mirror) apply(c Changes, now time.Time) {
	m.mu.Lock()
	if c.Revision < m.snapshot.Revision {
		m.mu.Unlock()
		m.logIgnored("watch", c.Revision)
		return
	}
	changedAfter, unanswered := m.currentAt, m.isUnanswered(now)
	if c.Prompt && len(c.List) > 0 && now.Sub(c.ReadAt) >= minWatchWait && !unanswered && !m.mayLackChanges(now) {
		changedAfter, c.ReadAt = now, now
	}
	m.recordRead(c.ReadAt)
	m.snapshot.Revision = c.Revision
	if len(c.List) == 0 {
		m.mu.Unlock()
		return
	}
	c.Revision, c.MadeAfter = max(m.contentAfter(c), m.snapshot.ContentRevision), later(changedAfter, m.outageAt)
	m.merge(c, changedAfter)
	m.snapshot.Unanswered = unanswered
	m.queue(now)
	m.mu.Unlock()
	m.logChanged(c, "watch")
	m.notify()
}

// applyFromPeer applies the changes of another daemon to the copy unless the copy has
// the same or newer content.
func (m *Mirror) applyFromPeer(c Changes, now time.Time) {
	m.mu.Lock()
	if c.Revision <= m.snapshot.ContentRevision {
		m.mu.Unlock()
		return
	}
	m.recordRestore(c.Revision, now)
	m.snapshot.Revision = max(m.snapshot.Revision, c.Revision)
	m.merge(c, m.currentAt)
	m.queue(now)
	m.mu.Unlock()
	m.logChanged(c, "peer")
	m.notify()
}

// merge applies changes to the copy, whose content then has the revision of the
// changes. It is called with the lock held.
func (m *Mirror) merge(c Changes, changedAfter time.Time) {
	objects := maps.Clone(m.snapshot.Objects)
	if objects == nil {
		objects = map[string]Object{}
	}
	for _, change := range c.List {
		// A copy from another daemon may already contain a later revision of the object.
		known, ok := objects[change.Object.Name]
		if ok && known.Revision > change.Object.Revision {
			continue
		}
		if ok && m.isLater(known, change.Object) {
			m.logOlderVersion(known, change.Object)
			continue
		}
		if change.Deleted {
			delete(objects, change.Object.Name)
		} else {
			objects[change.Object.Name] = change.Object
		}
	}
	m.history.add(c)
	m.snapshot = Snapshot{Revision: m.snapshot.Revision, ContentRevision: c.Revision, Objects: objects, ChangedAfter: changedAfter, MadeAfter: c.MadeAfter}
	m.loaded = true
	m.countVersions()
}

// contentAfter returns the content revision after changes of the store: the revision of
// the newest change, which is the same for all daemons, whereas the revision of an
// answer depends on its time. A deletion without a revision of its own counts with that
// of the answer. It is called with the lock held.
func (m *Mirror) contentAfter(c Changes) uint64 {
	var content uint64
	for _, change := range c.List {
		if change.Deleted && change.Object.Revision <= m.snapshot.Objects[change.Object.Name].Revision {
			return c.Revision
		}
		content = max(content, change.Object.Revision)
	}
	return content
}

func newestObject(objects map[string]Object) uint64 {
	var newest uint64
	for _, o := range objects {
		newest = max(newest, o.Revision)
	}
	return newest
}

func (m *Mirror) logChanged(c Changes, origin string) {
	m.Log.Info("objects changed", zap.String("kind", m.Kind), zap.String("from", origin), zap.Uint64("content", c.Revision), zap.Int("changes", len(c.List)))
}

// delivery is a copy that has not been passed on yet, and the time of its change.
type delivery struct {
	snapshot Snapshot
	at       time.Time
}

// queue adds the copy to those that notify passes on. It is called with the lock held, so
// that copies are passed on in the order of their changes.
func (m *Mirror) queue(now time.Time) {
	m.deliveries = append(m.deliveries, delivery{snapshot: m.snapshot, at: now})
}

// notify passes on the queued copies, one at a time. If another goroutine does so already,
// it passes on those of this one too.
func (m *Mirror) notify() {
	m.mu.Lock()
	if m.delivering {
		m.mu.Unlock()
		return
	}
	m.delivering = true
	for len(m.deliveries) > 0 {
		d := m.deliveries[0]
		m.deliveries = m.deliveries[1:]
		m.mu.Unlock()
		m.deliver(d.snapshot, d.at)
		m.mu.Lock()
	}
	m.delivering = false
	m.mu.Unlock()
}

// deliver passes a copy on. A panic over one object must not end the process.
func (m *Mirror) deliver(s Snapshot, now time.Time) {
	defer recoverer.Contain(m.Log, "objects "+m.Kind)
	if from, restored := m.enterEra(Era(s.Revision)); restored {
		m.Log.Warn("store restored", zap.String("kind", m.Kind), zap.Uint64("from-era", from), zap.Uint64("era", Era(s.Revision)),
			zap.Uint64("revision", StoreRevision(s.Revision)))
		if m.OnRestore != nil {
			m.OnRestore(now)
		}
	}
	m.changed.Notify()
	if m.OnChange != nil {
		m.OnChange(s, now)
	}
}

// enterEra records the era of a copy, and reports whether the store was restored since the
// one before.
func (m *Mirror) enterEra(era uint64) (from uint64, restored bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from, restored = m.era, m.eraKnown && era > m.era
	m.era, m.eraKnown = max(m.era, era), true
	return from, restored
}

// sameObjects reports whether both maps hold the same objects at the same revisions.
func sameObjects(a, b map[string]Object) bool {
	return maps.EqualFunc(a, b, func(x, y Object) bool { return x.Revision == y.Revision })
}
