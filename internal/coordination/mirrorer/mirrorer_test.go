package mirrorer

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// fakeStore is an object store that can fail in the same ways as the platform's store.
// It implements Source.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]Object
	history  []historyEntry
	down     bool
	// dropNotifications makes pending watches miss changes without an error.
	dropNotifications bool
	changed           chan struct{}
	calls             int
	// historyTime is how long the history is kept, or zero if it is kept for good.
	historyTime time.Duration
	// latency is the time of each call.
	latency time.Duration
	// hung is set if the store does not answer, so that calls end after callTimeout.
	hung bool
}

// callTimeout is the time after which a call that is not answered ends.
const callTimeout = 2 * time.Second

// waitWhileHung waits for the end of a call that is not answered.
func (s *fakeStore) waitWhileHung(ctx context.Context) error {
	s.mu.Lock()
	hung := s.hung
	s.mu.Unlock()
	if !hung {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}

func (s *fakeStore) countCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

type historyEntry struct {
	revision uint64
	change   Change
	at       time.Time
	// otherKind is set for changes that watches don't return.
	otherKind bool
}

var errDown = errors.New("store is down")

func newFakeStore() *fakeStore {
	return &fakeStore{revision: 1, objects: map[string]Object{}, changed: make(chan struct{})}
}

func (s *fakeStore) put(name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := Object{Name: name, Revision: s.revision, Spec: []byte(spec)}
	s.objects[name] = o
	s.record(Change{Object: o})
}

func (s *fakeStore) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := s.objects[name]
	o.Revision = s.revision
	delete(s.objects, name)
	s.record(Change{Object: o, Deleted: true})
}

// changeOtherKind changes an object that watches don't return.
func (s *fakeStore) changeOtherKind() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.keep(historyEntry{otherKind: true})
}

// keep adds a change to the history, and drops those that are too old.
func (s *fakeStore) keep(e historyEntry) {
	e.revision, e.at = s.revision, time.Now()
	s.history = append(s.history, e)
	for s.historyTime > 0 && e.at.Sub(s.history[0].at) > s.historyTime {
		s.history = s.history[1:]
	}
}

func (s *fakeStore) record(c Change) {
	s.keep(historyEntry{change: c})
	if !s.dropNotifications {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
}

// goBack returns to an earlier revision without its history.
func (s *fakeStore) goBack(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.history = revision, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setFaults(down, dropNotifications bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.dropNotifications = down, dropNotifications
}

func (s *fakeStore) List(context.Context, string, bool) (Snapshot, error) {
	time.Sleep(s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return Snapshot{}, errDown
	}
	out := Snapshot{Revision: s.revision, Objects: map[string]Object{}, ReadAt: time.Now()}
	for name, o := range s.objects {
		out.Objects[name] = o
	}
	return out, nil
}

func (s *fakeStore) Watch(ctx context.Context, kind string, from uint64, wait time.Duration) (Changes, error) {
	readAt := time.Now()
	time.Sleep(s.latency)
	if err := s.waitWhileHung(ctx); err != nil {
		return Changes{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		if !expired {
			s.calls++
		}
		out, err := s.since(kind, from)
		out.ReadAt, out.Prompt = readAt, wait > 0
		changed := s.changed
		s.mu.Unlock()
		if err != nil || len(out.List) > 0 || expired {
			return out, err
		}
		select {
		case <-ctx.Done():
			return Changes{}, ctx.Err()
		case <-timer.C:
			expired = true
		case <-changed:
		}
	}
}

func (s *fakeStore) since(kind string, from uint64) (Changes, error) {
	if s.down {
		return Changes{}, errDown
	}
	if from > s.revision {
		return Changes{}, &CompactedError{Kind: kind, Revision: from}
	}
	out := Changes{Revision: s.revision}
	covered := from
	for _, entry := range s.history {
		if entry.revision > from && !entry.otherKind {
			out.List = append(out.List, entry.change)
		}
		covered = max(covered, entry.revision)
	}
	if covered < s.revision || (len(s.history) > 0 && s.history[0].revision > from+1) {
		return Changes{}, &CompactedError{Kind: kind, Revision: from}
	}
	return out, nil
}

// fakePeer is another daemon with a settable snapshot. It implements Peers.
type fakePeer struct {
	mu       sync.Mutex
	snapshot Snapshot
}

func (p *fakePeer) set(s Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshot = s
}

func (p *fakePeer) HaveNewer(_ string, above uint64, _ Scope) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snapshot.ContentRevision > above
}

func (p *fakePeer) FetchNewer(_ context.Context, _ string, above uint64, _ Scope) (Update, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snapshot, p.snapshot.ContentRevision > above
}

// maxPropagationTime is the time within which a change has to be in force.
const maxPropagationTime = 2 * time.Second

func spec(m *Mirror, name string) string {
	s, _ := m.Get()
	return string(s.Objects[name].Spec)
}

// TestFollows guards against changes that do not arrive because of a fault of the
// store. The cases in which watches miss changes fail without Probe.
func TestFollows(t *testing.T) {
	tests := []struct {
		name string
		// fault changes the store, with or without a fault.
		fault func(s *fakeStore)
		want  string
	}{
		{"plain change", func(s *fakeStore) { s.put("a", "2") }, "2"},
		{"removed", func(s *fakeStore) { s.remove("a") }, ""},
		{"history compacted", func(s *fakeStore) { s.put("a", "2"); s.compact() }, "2"},
		{"history compacted while watches miss changes", func(s *fakeStore) {
			s.setFaults(false, true)
			s.put("a", "2")
			s.compact()
		}, "2"},
		{"removed while watches miss changes", func(s *fakeStore) {
			s.setFaults(false, true)
			s.remove("a")
			s.compact()
		}, ""},
		{"changed during an outage", func(s *fakeStore) {
			s.setFaults(true, false)
			time.Sleep(3 * time.Second)
			s.put("a", "2")
			s.compact()
			s.setFaults(false, false)
		}, "2"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				s := newFakeStore()
				s.put("a", "1")
				m := &Mirror{Kind: "k", Source: s, WatchPause: 300 * time.Millisecond, ProbeInterval: 600 * time.Millisecond, Log: zap.NewNop()}
				go m.Run(ctx)
				go m.Probe(ctx, func() bool { return true })
				time.Sleep(5 * time.Second)
				qt.Assert(t, spec(m, "a"), qt.Equals, "1")
				tc.fault(s)
				time.Sleep(maxPropagationTime)
				qt.Assert(t, spec(m, "a"), qt.Equals, tc.want)
			})
		})
	}
}

// TestQuietKindLosesTimeOfChange guards against a change whose time is unknown because the
// store no longer has the history since the watch began.
func TestQuietKindLosesTimeOfChange(t *testing.T) {
	for _, quiet := range []time.Duration{5 * time.Second, 21 * time.Second, 28 * time.Second, 45 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s := newFakeStore()
			s.historyTime = 20 * time.Second
			m := &Mirror{Kind: "k", Source: s, Permanent: true, HistoryTime: s.historyTime, Log: zap.NewNop()}
			go m.Run(ctx)
			for range int(quiet / time.Second) {
				time.Sleep(time.Second)
				s.changeOtherKind()
			}
			time.Sleep(500 * time.Millisecond)
			s.put("a", "1")
			synctest.Wait()
			got, _ := m.Get()
			qt.Assert(t, spec(m, "a"), qt.Equals, "1")
			qt.Assert(t, time.Since(got.ChangedAfter), qt.Equals, time.Duration(0), qt.Commentf("after %v", quiet))
		})
	}
}

// TestHungProbeKeepsOthersFromProbing guards against changes that arrive late because the
// daemon that probes the store for all waits for an answer.
func TestHungProbeKeepsOthersFromProbing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := newFakeStore()
		m := &Mirror{Kind: "k", Source: s, ProbeInterval: 600 * time.Millisecond, Log: zap.NewNop()}
		go m.Run(ctx)
		go m.Probe(ctx, func() bool { return true })
		time.Sleep(5 * time.Second)
		qt.Assert(t, m.StoreReachable(), qt.IsTrue)
		s.mu.Lock()
		s.hung = true
		s.mu.Unlock()
		time.Sleep(2 * m.ProbeInterval)
		synctest.Wait()
		qt.Assert(t, m.StoreReachable(), qt.IsFalse)
	})
}

// TestFollower guards against store calls by a daemon for which another one watches,
// and against a copy that stays out of date once no daemon watches for it.
func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := newFakeStore()
		s.put("a", "1")
		peer := &fakePeer{}
		var alone atomic.Bool
		m := &Mirror{Kind: "k", Source: s, Peers: peer, ShouldFollow: func() bool { return !alone.Load() }, Log: zap.NewNop()}
		go m.Run(ctx)
		time.Sleep(time.Second)
		calls := s.countCalls()
		peer.set(Snapshot{Revision: 9, ContentRevision: 9, Objects: map[string]Object{"a": {Name: "a", Revision: 9, Spec: []byte("2")}}})
		time.Sleep(maxPropagationTime)
		qt.Assert(t, spec(m, "a"), qt.Equals, "2")
		qt.Assert(t, s.countCalls(), qt.Equals, calls)
		alone.Store(true)
		for range 10 {
			s.put("a", "3")
		}
		time.Sleep(maxPropagationTime)
		qt.Assert(t, spec(m, "a"), qt.Equals, "3")
	})
}

// TestPeersWhileStoreRejects guards against a daemon that the store rejects and that
// never receives a change, and against a copy that reverts to an earlier revision.
func TestPeersWhileStoreRejects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := newFakeStore()
		s.put("a", "1")
		peer := &fakePeer{}
		m := &Mirror{Kind: "k", Source: s, Peers: peer, Log: zap.NewNop()}
		go m.Run(ctx)
		go m.CatchUpWithPeers(ctx)
		time.Sleep(time.Second)
		s.setFaults(true, true)
		peer.set(Snapshot{Revision: 9, ContentRevision: 9, Objects: map[string]Object{"a": {Name: "a", Revision: 9, Spec: []byte("2")}}})
		time.Sleep(maxPropagationTime)
		qt.Assert(t, spec(m, "a"), qt.Equals, "2")
		s.setFaults(false, false)
		time.Sleep(10 * time.Second)
		qt.Assert(t, spec(m, "a"), qt.Equals, "2")
	})
}

// TestStoreWithoutHistoryIsFlooded guards against calls without a pause to a store that has
// neither the history since the revision of the copy nor a newer list.
func TestStoreWithoutHistoryIsFlooded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := newFakeStore()
		s.latency = 4 * time.Millisecond
		s.put("a", "1")
		s.put("a", "2")
		m := &Mirror{Kind: "k", Source: s, Log: zap.NewNop()}
		go m.Run(ctx)
		time.Sleep(time.Second)
		before := s.countCalls()
		s.goBack(1)
		time.Sleep(10 * time.Second)
		// A list and a watch for each of the longest pauses, and those of the first second.
		qt.Assert(t, s.countCalls()-before < 100, qt.IsTrue, qt.Commentf("%d calls", s.countCalls()-before))
		for range 3 {
			s.put("a", "3")
		}
		time.Sleep(maxPropagationTime)
		qt.Assert(t, spec(m, "a"), qt.Equals, "3")
	})
}

// TestLaterChangeOvertakesCopy guards against an older copy that is passed on after a newer
// one, and against a copy of a restored store that is passed on before the restore, when two
// goroutines change the copy.
func TestLaterChangeOvertakesCopy(t *testing.T) {
	at := func(era, revision uint64) Changes {
		p := JoinRevision(era, revision)
		return Changes{Revision: p, List: []Change{{Object: Object{Name: "a", Revision: p}}}}
	}
	tests := []struct {
		name string
		// list is the revision of a list, while which is passed on changes arrive.
		list    uint64
		changes Changes
		want    []string
	}{
		{"of the same era", JoinRevision(1, 12), at(1, 13), []string{"1000000000011", "1000000000012", "1000000000013"}},
		{"of a restored store", JoinRevision(2, 8), at(2, 9), []string{"1000000000011", "restored", "2000000000008", "2000000000009"}},
		{"of a later restore", JoinRevision(2, 8), at(3, 5), []string{"1000000000011", "restored", "2000000000008", "restored", "3000000000005"}},
	}
	sources := []struct {
		name  string
		apply func(*Mirror, Changes, time.Time)
	}{{"watch", (*Mirror).apply}, {"peer", (*Mirror).applyFromPeer}}
	for _, tc := range tests {
		for _, source := range sources {
			t.Run(tc.name+" from a "+source.name, func(t *testing.T) {
				c := qt.New(t)
				now := time.Unix(1000, 0)
				var got []string
				m := &Mirror{Kind: "k", Log: zap.NewNop()}
				interrupt := func() {
					if s, _ := m.Get(); s.Revision == tc.list {
						source.apply(m, tc.changes, now)
					}
				}
				m.OnRestore = func(time.Time) {
					interrupt()
					got = append(got, "restored")
				}
				m.OnChange = func(s Snapshot, _ time.Time) {
					interrupt()
					got = append(got, strconv.FormatUint(s.Revision, 10))
				}
				m.replace(Snapshot{Revision: JoinRevision(1, 11), Objects: map[string]Object{}}, now)
				m.replace(Snapshot{Revision: tc.list, Objects: map[string]Object{}}, now)
				c.Assert(got, qt.DeepEquals, tc.want)
			})
		}
	}
}
