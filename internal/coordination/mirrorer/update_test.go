package mirrorer

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

func object(name string, revision uint64) Object {
	return Object{Name: name, Revision: revision, Spec: fmt.Appendf(nil, "%d", revision)}
}

func put(name string, revision uint64) Change { return Change{Object: object(name, revision)} }

func deletion(name string, revision uint64) Change {
	return Change{Object: object(name, revision), Deleted: true}
}

// TestUpdates guards against copies that differ after a chain of updates: each daemon
// gets the changes of the store in batches of its own, or updates from another daemon
// in the middle of them.
func TestUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var log []Change
		revision := uint64(10)
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			revision += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
				log = append(log, deletion(name, revision))
			} else {
				log = append(log, put(name, revision))
			}
		}
		watcher, follower := newTestMirror(), newTestMirror()
		for done := 0; done < len(log); {
			n := rapid.IntRange(1, len(log)-done).Draw(t, "batch")
			batch := log[done : done+n]
			done += n
			at := batch[n-1].Object.Revision
			watcher.apply(Changes{Revision: at, List: batch}, now)
			if rapid.Bool().Draw(t, "follows") {
				follow(t, follower, watcher, now)
			}
		}
		follow(t, follower, watcher, now)
		want, _ := watcher.Get()
		got, _ := follower.Get()
		if !sameObjects(want.Objects, got.Objects) || want.ContentRevision != got.ContentRevision {
			t.Fatalf("follower has %v at %d, watcher %v at %d", got.Objects, got.ContentRevision, want.Objects, want.ContentRevision)
		}
	})
}

// TestChangedAfter guards against changes that count as made when they were delivered,
// although they were made while this daemon had no watch.
func TestChangedAfter(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	type answer struct {
		asked, answered float64
		prompt, empty   bool
	}
	tests := []struct {
		name    string
		answers []answer
		want    float64
	}{
		{"a poll", []answer{{asked: 8, answered: 8.1}}, 0},
		{"a watch that waited", []answer{{asked: 5, answered: 8, prompt: true}}, 8},
		{"a watch that began after the change", []answer{{asked: 8, answered: 8.02, prompt: true}}, 0},
		{"the next watch after a wait in vain", []answer{{asked: 1, answered: 7.9, prompt: true, empty: true}, {asked: 7.9, answered: 8, prompt: true}}, 1},
		{"the next watch after a change", []answer{{asked: 1, answered: 7.9, prompt: true}, {asked: 7.9, answered: 8, prompt: true}}, 7.9},
	}
	for _, tc := range tests {
		m := &Mirror{Kind: "k", Log: zap.NewNop()}
		m.replace(Snapshot{Revision: 10, Objects: map[string]Object{}, ReadAt: start}, start)
		for i, a := range tc.answers {
			c := Changes{Revision: uint64(11 + i), ReadAt: at(a.asked), Prompt: a.prompt}
			if !a.empty {
				c.List = []Change{put("a", c.Revision)}
			}
			m.apply(c, at(a.answered))
		}
		s, _ := m.Get()
		qt.Check(t, s.ChangedAfter.Sub(start).Seconds(), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

func newTestMirror() *Mirror {
	m := &Mirror{Kind: "k", Log: zap.NewNop()}
	m.replace(Snapshot{Revision: 10, Objects: map[string]Object{}}, time.Unix(1000, 0))
	return m
}

func follow(t *rapid.T, follower, watcher *Mirror, now time.Time) {
	update, ok := watcher.UpdateSince(follower.ContentRevision())
	if !ok {
		t.Fatalf("watcher has no copy")
	}
	switch update := update.(type) {
	case Snapshot:
		follower.replaceFromPeer(update, now)
	case Changes:
		follower.applyFromPeer(update, now)
	}
}

// TestSameContentRevision guards against daemons that take each other's copies for
// newer although all have the same content: the revision of an answer depends on its
// time, and each difference would be fetched, also from other failure domains.
func TestSameContentRevision(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		updates func(m *Mirror)
		want    uint64
	}{
		{"watched at once", func(m *Mirror) { m.apply(Changes{Revision: 12, List: []Change{put("a", 12)}}, now) }, 12},
		{"watched later", func(m *Mirror) { m.apply(Changes{Revision: 19, List: []Change{put("a", 12)}}, now) }, 12},
		{"deleted with a revision", func(m *Mirror) {
			m.apply(Changes{Revision: 12, List: []Change{put("a", 12)}}, now)
			m.apply(Changes{Revision: 19, List: []Change{deletion("a", 15)}}, now)
		}, 15},
		{"deleted without a revision", func(m *Mirror) {
			m.apply(Changes{Revision: 12, List: []Change{put("a", 12)}}, now)
			m.apply(Changes{Revision: 19, List: []Change{deletion("a", 12)}}, now)
		}, 19},
		{"listed", func(m *Mirror) {
			m.Permanent = true
			m.replace(Snapshot{Revision: 30, Objects: map[string]Object{"a": object("a", 12)}}, now)
		}, 12},
	}
	for _, tc := range tests {
		m := &Mirror{Kind: "k", Log: zap.NewNop()}
		tc.updates(m)
		qt.Check(t, m.ContentRevision(), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// TestUpdateSince guards against whole copies after each change, which are large in a
// large fleet, and against changes that leave out those before the history begins.
func TestUpdateSince(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	m := newTestMirror()
	for i, name := range []string{"a", "b", "c"} {
		revision := 11 + uint64(i)
		m.apply(Changes{Revision: revision, List: []Change{put(name, revision)}}, now)
	}
	tests := []struct {
		since uint64
		want  int
	}{
		{0, -1}, {9, -1}, {10, 3}, {12, 1}, {13, 0},
	}
	for _, tc := range tests {
		update, ok := m.UpdateSince(tc.since)
		c.Assert(ok, qt.IsTrue)
		changes, isChanges := update.(Changes)
		c.Check(isChanges, qt.Equals, tc.want >= 0, qt.Commentf("since %d", tc.since))
		if isChanges {
			c.Check(changes.List, qt.HasLen, tc.want, qt.Commentf("since %d", tc.since))
		}
	}
	for i := range uint64(maxHistoryChanges) {
		m.apply(Changes{Revision: 20 + i, List: []Change{put("a", 20+i)}}, now)
	}
	update, _ := m.UpdateSince(10)
	_, isSnapshot := update.(Snapshot)
	c.Assert(isSnapshot, qt.IsTrue)
}

// TestUpdateOfLargeObject guards against an update that grows with the number of changes
// of an object, until it is too large for the daemon that needs it, and against a history
// that keeps the contents of each change in memory.
func TestUpdateOfLargeObject(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		changes []Change
		want    []Change
	}{
		{"changed often", []Change{put("a", 11), put("a", 12), put("a", 13)}, []Change{put("a", 13)}},
		{"beside others", []Change{put("a", 11), put("b", 12), put("a", 13)}, []Change{put("a", 13), put("b", 12)}},
		{"deleted at last", []Change{put("a", 11), put("a", 12), deletion("a", 13)}, []Change{{Object: Object{Name: "a", Revision: 13}, Deleted: true}}},
		{"deleted and put again", []Change{put("a", 11), deletion("a", 12), put("a", 13)}, []Change{put("a", 13)}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			m := newTestMirror()
			for _, change := range tc.changes {
				m.apply(Changes{Revision: change.Object.Revision, List: []Change{change}}, now)
			}
			update, ok := m.UpdateSince(10)
			c.Assert(ok, qt.IsTrue)
			c.Check(update.(Changes).Revision, qt.Equals, uint64(13))
			c.Check(update.(Changes).List, qt.DeepEquals, tc.want)
			for _, batch := range m.history.batches {
				for _, change := range batch.List {
					c.Check(change.Object.Spec, qt.HasLen, 0, qt.Commentf("contents of %s in the history", change.Object.Name))
				}
			}
		})
	}
}

// TestIgnoredVersionInUpdate guards against an update with a version of an object that
// the daemon itself has not taken, because it knows a later one.
func TestIgnoredVersionInUpdate(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	watcher, follower := newTestMirror(), newTestMirror()
	for _, m := range []*Mirror{watcher, follower} {
		m.Version = func(o Object) uint64 {
			v, _ := strconv.ParseUint(string(o.Spec), 10, 64)
			return v
		}
	}
	later, older := put("a", 11), put("a", 12)
	later.Object.Spec, older.Object.Spec = []byte("5"), []byte("4")
	watcher.apply(Changes{Revision: 11, List: []Change{later}}, now)
	watcher.apply(Changes{Revision: 12, List: []Change{older}}, now)
	update, ok := watcher.UpdateSince(10)
	c.Assert(ok, qt.IsTrue)
	follower.applyFromPeer(update.(Changes), now)
	got, _ := follower.Get()
	c.Check(string(got.Objects["a"].Spec), qt.Equals, "5")
	c.Check(follower.ContentRevision(), qt.Equals, watcher.ContentRevision())
}

// TestSecondCopy guards against objects that go back or are lost because an earlier list or
// earlier changes arrive once more.
func TestSecondCopy(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	m := newTestMirror()
	list := Snapshot{Revision: 15, Objects: map[string]Object{"a": object("a", 13)}}
	first := Changes{Revision: 17, List: []Change{put("a", 16), put("b", 17)}}
	second := Changes{Revision: 19, List: []Change{deletion("a", 18), put("b", 19)}}
	m.replace(list, now)
	m.apply(first, now)
	m.apply(second, now)
	want, _ := m.Get()
	c.Assert(want.Objects, qt.DeepEquals, map[string]Object{"b": object("b", 19)})
	m.replace(list, now)
	m.apply(first, now)
	m.apply(second, now)
	m.apply(Changes{}, now)
	got, _ := m.Get()
	c.Assert(got.Objects, qt.DeepEquals, want.Objects)
	c.Assert(got.Revision, qt.Equals, want.Revision)
}

// TestOutageCountsAsLateNews guards against replicas that are dropped at once because their
// registrations were lost in an outage, before which this daemon had its last answer.
func TestOutageCountsAsLateNews(t *testing.T) {
	start := time.Unix(1000, 0)
	m := &Mirror{Kind: "k", Log: zap.NewNop()}
	m.replace(Snapshot{Revision: 10, Objects: map[string]Object{"a": object("a", 10)}, ReadAt: start}, start)
	m.setUnreachable(start.Add(3 * time.Second))
	ended := start.Add(5 * time.Second)
	m.recordAnswer(ended)
	m.apply(Changes{Revision: 12, List: []Change{deletion("a", 12)}, ReadAt: ended, Prompt: true}, ended)
	update, ok := m.UpdateSince(10)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, update.(Changes).MadeAfter, qt.Equals, ended)
}

// TestWatchHeldUpByCut guards against a change that counts as made when it was delivered,
// although this daemon had been cut off from the store since its last poll.
func TestWatchHeldUpByCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		copies := make(chan Snapshot, 8)
		s := &cutStore{fakeStore: newFakeStore()}
		s.put("a", "1")
		m := &Mirror{Kind: "k", Source: s, ProbeInterval: 600 * time.Millisecond, Log: zap.NewNop(), OnChange: func(s Snapshot, _ time.Time) { copies <- s }}
		go m.Run(ctx)
		<-copies
		go m.Probe(ctx, func() bool { return true })
		for i, held := range []time.Duration{0, 1500 * time.Millisecond} {
			time.Sleep(5 * time.Second)
			changed := time.Now()
			s.cutUntil.Store(changed.Add(held).UnixNano())
			s.put("a", strconv.Itoa(i))
			copied := <-copies
			qt.Check(t, copied.Unanswered, qt.Equals, held > 0, qt.Commentf("held up for %v", held))
			age := changed.Sub(copied.ChangedAfter)
			qt.Check(t, age >= 0 && age <= m.ProbeInterval, qt.IsTrue, qt.Commentf("held up for %v: made up to %v before", held, age))
			time.Sleep(held)
			for len(copies) > 0 {
				<-copies
			}
		}
	})
}

// cutStore is a store whose answers are held up while this daemon is cut off from it.
type cutStore struct {
	*fakeStore
	cutUntil atomic.Int64
}

func (s *cutStore) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (Changes, error) {
	asked := time.Now()
	c, err := s.fakeStore.Watch(ctx, kind, revision, wait)
	time.Sleep(time.Until(time.Unix(0, s.cutUntil.Load())))
	c.ReadAt, c.Prompt = asked, wait > 0
	return c, err
}
