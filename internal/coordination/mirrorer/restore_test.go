package mirrorer

import (
	"context"
	"maps"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"
)

// restoredStore is a store that can be restored from copies of its earlier states.
type restoredStore struct {
	era, revision uint64
	objects       map[string]Object
	history       []Change
	copies        []restoredStore
}

func (s *restoredStore) write(name string, deleted bool) {
	s.revision++
	o := object(name, JoinRevision(s.era, s.revision))
	if deleted {
		delete(s.objects, name)
	} else {
		s.objects[name] = o
	}
	s.history = append(s.history, Change{Object: o, Deleted: deleted})
}

func (s *restoredStore) copied() restoredStore {
	return restoredStore{revision: s.revision, objects: maps.Clone(s.objects)}
}

func (s *restoredStore) restore(from restoredStore) {
	s.era++
	s.revision, s.objects, s.history = from.revision, map[string]Object{}, nil
	for name, o := range from.objects {
		o.Revision = JoinRevision(s.era, StoreRevision(o.Revision))
		s.objects[name] = o
	}
}

// update returns what a mirror reads whose copy has a revision: changes, or a list if the
// store does not have the history since then.
func (s *restoredStore) update(since uint64) Update {
	at := JoinRevision(s.era, s.revision)
	out := Changes{Revision: at}
	for _, c := range s.history {
		if c.Object.Revision > since {
			out.List = append(out.List, c)
		}
	}
	if Era(since) != s.era || at-since != uint64(len(out.List)) {
		return Snapshot{Revision: at, Objects: maps.Clone(s.objects)}
	}
	return out
}

// read applies an answer of the store.
func (m *Mirror) read(u Update, now time.Time) {
	switch u := u.(type) {
	case Snapshot:
		u.Objects = maps.Clone(u.Objects)
		m.replace(u, now)
	case Changes:
		m.apply(u, now)
	}
}

// followNewer updates the copy from another daemon whose content is newer.
func (m *Mirror) followNewer(from *Mirror, now time.Time) {
	if from.ContentRevision() <= m.ContentRevision() {
		return
	}
	switch u, _ := from.UpdateSince(m.ContentRevision()); u := u.(type) {
	case Snapshot:
		u.Objects = maps.Clone(u.Objects)
		m.replaceFromPeer(u, now)
	case Changes:
		m.applyFromPeer(u, now)
	}
}

// TestRestoresLeaveOldObjects guards against objects of before a restore in a copy that is
// up to date, after any sequence of changes, restores, late answers of the store and updates
// from other daemons.
func TestRestoresLeaveOldObjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := &restoredStore{era: 1, revision: 10, objects: map[string]Object{}}
		s.copies = append(s.copies, s.copied())
		mirrors := []*Mirror{newEmptyMirror(), newEmptyMirror(), newEmptyMirror()}
		answers := map[*Mirror][]Update{}
		read := func(m *Mirror) {
			u := s.update(m.Revision())
			answers[m] = append(answers[m], u)
			m.read(u, now)
		}
		check := func(m *Mirror) {
			if got, _ := m.Get(); !sameObjects(got.Objects, s.objects) {
				t.Fatalf("copy has %v, store %v", got.Objects, s.objects)
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			m := mirrors[rapid.IntRange(0, len(mirrors)-1).Draw(t, "mirror")]
			switch rapid.SampledFrom([]string{"write", "delete", "copy", "restore", "read", "late answer", "follow"}).Draw(t, "step") {
			case "write":
				s.write(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), false)
			case "delete":
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
				if _, ok := s.objects[name]; ok {
					s.write(name, true)
				}
			case "copy":
				s.copies = append(s.copies, s.copied())
			case "restore":
				s.restore(s.copies[rapid.IntRange(0, len(s.copies)-1).Draw(t, "copy")])
			case "read":
				read(m)
				check(m)
			case "late answer":
				if n := len(answers[m]); n > 0 {
					m.read(answers[m][rapid.IntRange(0, n-1).Draw(t, "answer")], now)
				}
			case "follow":
				m.followNewer(mirrors[rapid.IntRange(0, len(mirrors)-1).Draw(t, "peer")], now)
			}
		}
		read(mirrors[0])
		check(mirrors[0])
		for _, m := range mirrors[1:] {
			m.followNewer(mirrors[0], now)
			check(m)
		}
	})
}

func newEmptyMirror() *Mirror { return &Mirror{Kind: "k", Log: zap.NewNop()} }

// TestFollowerKeepsObjectLostInRestore guards against an object that a daemon keeps because
// the daemon that it follows had no objects before and after the restore that lost it.
func TestFollowerKeepsObjectLostInRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name string
		// later is the change after the restore, if any.
		later []Change
		want  []string
	}{
		{"no change since", nil, nil},
		{"another object since", []Change{put("b", JoinRevision(2, 12))}, []string{"b"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			watcher, follower := newEmptyMirror(), newEmptyMirror()
			for _, m := range []*Mirror{watcher, follower} {
				m.replace(Snapshot{Revision: JoinRevision(1, 10), Objects: map[string]Object{}}, now)
			}
			follower.apply(Changes{Revision: JoinRevision(1, 15), List: []Change{put("a", JoinRevision(1, 15))}}, now)
			watcher.replace(Snapshot{Revision: JoinRevision(2, 11), Objects: map[string]Object{}}, now)
			if tc.later != nil {
				watcher.apply(Changes{Revision: JoinRevision(2, 12), List: tc.later}, now)
			}
			follower.followNewer(watcher, now)
			got, _ := follower.Get()
			var names []string
			for name := range got.Objects {
				names = append(names, name)
			}
			c.Assert(names, qt.DeepEquals, tc.want)
		})
	}
}

// TestRewrittenChangeCountsAsNew guards against a change that counts as made after a restore,
// because the restored store did not have it until it was written again.
func TestRewrittenChangeCountsAsNew(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	const lastRead, restored = 5, 7
	tests := []struct {
		name            string
		asked, answered float64
		prompt          bool
		// want is the earliest time of the change.
		want float64
	}{
		{"a poll", 7.2, 7.3, false, lastRead},
		{"a watch that began after the change", 7.2, 7.3, true, lastRead},
		{"a watch that waited", 7.2, 8, true, lastRead},
		{"a watch that waited for long", 7.2, 30, true, 30},
		{"a poll long after the restore", 30, 30.1, false, lastRead},
	}
	for _, tc := range tests {
		m := newEmptyMirror()
		m.replace(Snapshot{Revision: JoinRevision(1, 10), Objects: map[string]Object{}, ReadAt: start}, start)
		m.apply(Changes{Revision: JoinRevision(1, 12), ReadAt: at(lastRead)}, at(lastRead))
		m.replace(Snapshot{Revision: JoinRevision(2, 11), Objects: map[string]Object{}, ReadAt: at(restored)}, at(restored))
		m.apply(Changes{Revision: JoinRevision(2, 12), ReadAt: at(tc.asked), Prompt: tc.prompt, List: []Change{put("a", JoinRevision(2, 12))}}, at(tc.answered))
		s, _ := m.Get()
		qt.Check(t, s.ChangedAfter.Sub(start).Seconds(), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// olderStore answers watches with changes of an earlier era than lists.
type olderStore struct {
	watches int
}

func (s *olderStore) List(context.Context, string, bool) (Snapshot, error) {
	return Snapshot{Revision: JoinRevision(2, 10), Objects: map[string]Object{}}, nil
}

func (s *olderStore) Watch(context.Context, string, uint64, time.Duration) (Changes, error) {
	time.Sleep(4 * time.Millisecond)
	s.watches++
	return Changes{Revision: JoinRevision(1, 11), List: []Change{put("a", JoinRevision(1, 11))}}, nil
}

// TestOlderAnswersFloodStore guards against watches without a pause while their answers are
// older than the copy.
func TestOlderAnswersFloodStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := &olderStore{}
		m := newEmptyMirror()
		m.Source = s
		go m.Run(ctx)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		// One for each of the longest pauses, and those of the first second.
		qt.Assert(t, s.watches < 60, qt.IsTrue, qt.Commentf("%d watches", s.watches))
		// The call in progress ends before the test: time stops then.
		cancel()
		time.Sleep(time.Second)
	})
}

// TestOlderVersionIsIgnoredSilently guards against a version that operators wrote after a
// restore, that is not in force because it is lower, and of which no log line tells.
func TestOlderVersionIsIgnoredSilently(t *testing.T) {
	now := time.Unix(1000, 0)
	versioned := func(version, revision uint64) Object {
		return Object{Name: "a", Revision: revision, Spec: strconv.AppendUint(nil, version, 10)}
	}
	list := func(o Object) Snapshot {
		return Snapshot{Revision: o.Revision, ContentRevision: o.Revision, Objects: map[string]Object{"a": o}}
	}
	change := func(o Object) Changes {
		return Changes{Revision: o.Revision, List: []Change{{Object: o}}}
	}
	older := versioned(7, JoinRevision(2, 30))
	tests := []struct {
		name  string
		write func(*Mirror)
	}{
		{"in a list", func(m *Mirror) { m.replace(list(older), now) }},
		{"in a change", func(m *Mirror) { m.apply(change(older), now) }},
		{"in the list of another daemon", func(m *Mirror) { m.replaceFromPeer(list(older), now) }},
		{"in a change of another daemon", func(m *Mirror) { m.applyFromPeer(change(older), now) }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			core, logs := observer.New(zapcore.WarnLevel)
			m := newEmptyMirror()
			m.Log = zap.New(core)
			m.Version = versionOf
			m.replace(list(versioned(10, JoinRevision(1, 31))), now)
			tc.write(m)
			got, _ := m.Get()
			c.Assert(string(got.Objects["a"].Spec), qt.Equals, "10")
			lines := logs.FilterMessage("older version ignored").All()
			c.Assert(lines, qt.HasLen, 1)
			c.Assert(lines[0].ContextMap()["version"], qt.Equals, uint64(7))
			c.Assert(lines[0].ContextMap()["known"], qt.Equals, uint64(10))
		})
	}
}
