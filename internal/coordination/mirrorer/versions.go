package mirrorer

import (
	"context"
	"maps"
	"strings"
	"time"

	"go.uber.org/zap"
)

// versionsTime is how long after a restore daemons tell each other the versions of their
// contents. In that time operators write them to the store again.
const versionsTime = time.Minute

// VersionsKind is the name under which daemons tell each other Versions of a kind.
func VersionsKind(kind string) string { return kind + versionsSuffix }

// KindOf returns the kind of objects that a name in HaveNewer and FetchNewer stands for, and
// whether that is of VersionsKind.
func KindOf(name string) (kind string, versions bool) { return strings.CutSuffix(name, versionsSuffix) }

const versionsSuffix = "/versions"

// Versions returns the sum of the versions of all contents, and false unless the store was
// restored lately. A daemon that started since then has earlier contents from the store
// until operators have written the later ones again.
func (m *Mirror) Versions(now time.Time) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.versions, m.Version != nil && !m.restoredAt.IsZero() && now.Sub(m.restoredAt) < versionsTime
}

// CatchUpWithVersions takes contents of later versions from another daemon that tells of
// them.
func (m *Mirror) CatchUpWithVersions(ctx context.Context) {
	m.mu.Lock()
	known, versions := m.loaded && m.Version != nil, m.versions
	m.mu.Unlock()
	if !known || !m.Peers.HaveNewer(VersionsKind(m.Kind), versions, All) {
		return
	}
	update, ok := m.Peers.FetchNewer(ctx, VersionsKind(m.Kind), versions, All)
	if s, isSnapshot := update.(Snapshot); ok && isSnapshot {
		m.adoptLater(s, time.Now())
	}
}

// keepLater adds the contents of the copy to objects that are to replace it where their
// versions are later. It is called with the lock held.
func (m *Mirror) keepLater(objects map[string]Object) {
	for name, known := range m.snapshot.Objects {
		if m.isLater(known, objects[name]) {
			m.logOlderVersion(known, objects[name])
			objects[name] = known
		}
	}
}

// isLater reports whether the contents of an object are of a later version than others.
func (m *Mirror) isLater(o, other Object) bool {
	return m.Version != nil && m.Version(o) > m.Version(other)
}

// logOlderVersion logs a version of the store that is not taken. It may have been written after
// a restore, and is then not in force until a later one is.
func (m *Mirror) logOlderVersion(known, older Object) {
	m.Log.Warn("older version ignored", zap.String("kind", m.Kind), zap.String("object", known.Name),
		zap.Uint64("version", m.Version(older)), zap.Uint64("known", m.Version(known)))
}

// adoptLater adds contents of later versions to the copy, whose revisions stay.
func (m *Mirror) adoptLater(s Snapshot, now time.Time) {
	m.mu.Lock()
	objects := maps.Clone(m.snapshot.Objects)
	for name, o := range s.Objects {
		if m.isLater(o, objects[name]) {
			objects[name] = o
			m.Log.Info("later version taken", zap.String("kind", m.Kind), zap.String("object", name), zap.Uint64("version", m.Version(o)))
		}
	}
	m.snapshot.Objects = objects
	m.countVersions()
	m.queue(now)
	m.mu.Unlock()
	m.notify()
}

// countVersions sums up the versions of the copy. It is called with the lock held.
func (m *Mirror) countVersions() {
	m.versions = 0
	if m.Version == nil {
		return
	}
	for _, o := range m.snapshot.Objects {
		m.versions += m.Version(o)
	}
}
