package mirrorer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// fakeStore is an object store with the faults of the platform's. It implements
// Source.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]Object
	history  []recorded
	down     bool
	// deaf makes waiting watches miss changes without an error.
	deaf    bool
	changed chan struct{}
	calls   int
}

func (s *fakeStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

type recorded struct {
	revision uint64
	change   Change
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

func (s *fakeStore) record(c Change) {
	s.history = append(s.history, recorded{revision: s.revision, change: c})
	if !s.deaf {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
}

func (s *fakeStore) set(down, deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.deaf = down, deaf
}

func (s *fakeStore) List(context.Context, string, bool) (Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return Snapshot{}, errDown
	}
	out := Snapshot{Revision: s.revision, Objects: map[string]Object{}}
	for name, o := range s.objects {
		out.Objects[name] = o
	}
	return out, nil
}

func (s *fakeStore) Watch(ctx context.Context, kind string, from uint64, wait time.Duration) (Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.calls++
		out, err := s.since(kind, from)
		changed := s.changed
		s.mu.Unlock()
		if err != nil || len(out.List) > 0 {
			return out, err
		}
		select {
		case <-ctx.Done():
			return Changes{}, ctx.Err()
		case <-timer.C:
			return out, nil
		case <-changed:
		}
	}
}

func (s *fakeStore) since(kind string, from uint64) (Changes, error) {
	if s.down {
		return Changes{}, errDown
	}
	out := Changes{Revision: s.revision}
	covered := from
	for _, r := range s.history {
		if r.revision > from {
			out.List = append(out.List, r.change)
		}
		covered = max(covered, r.revision)
	}
	if covered < s.revision || (len(s.history) > 0 && s.history[0].revision > from+1) {
		return Changes{}, &CompactedError{Kind: kind, Revision: from}
	}
	return out, nil
}

// onePeer is another daemon. It implements Peers.
type onePeer struct {
	mu       sync.Mutex
	snapshot Snapshot
}

func (p *onePeer) set(s Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshot = s
}

func (p *onePeer) HaveNewer(_ string, above uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snapshot.Content > above
}

func (p *onePeer) Newer(_ context.Context, _ string, above uint64) (Snapshot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snapshot, p.snapshot.Content > above
}

// inForce is the time in which a change has to be in force.
const inForce = 2 * time.Second

func spec(m *Mirror, name string) string {
	s, _ := m.Get()
	return string(s.Objects[name].Spec)
}

// TestFollows guards against changes that do not arrive, with each fault of the
// store. Without the probe, the case of missed changes fails.
func TestFollows(t *testing.T) {
	tests := []struct {
		name string
		// fault changes the store and returns once the change is acknowledged.
		fault func(s *fakeStore)
		want  string
	}{
		{"plain change", func(s *fakeStore) { s.put("a", "2") }, "2"},
		{"removed", func(s *fakeStore) { s.remove("a") }, ""},
		{"history dropped", func(s *fakeStore) { s.put("a", "2"); s.compact() }, "2"},
		{"history dropped while watches miss changes", func(s *fakeStore) {
			s.set(false, true)
			s.put("a", "2")
			s.compact()
		}, "2"},
		{"removed while watches miss changes", func(s *fakeStore) {
			s.set(false, true)
			s.remove("a")
			s.compact()
		}, ""},
		{"changed in an outage", func(s *fakeStore) {
			s.set(true, false)
			time.Sleep(3 * time.Second)
			s.put("a", "2")
			s.compact()
			s.set(false, false)
		}, "2"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				s := newFakeStore()
				s.put("a", "1")
				m := &Mirror{Kind: "k", Source: s, Settle: 300 * time.Millisecond, ProbeInterval: 600 * time.Millisecond, Log: zap.NewNop()}
				go m.Run(ctx)
				go m.Probe(ctx, func() bool { return true })
				time.Sleep(5 * time.Second)
				qt.Assert(t, spec(m, "a"), qt.Equals, "1")
				tc.fault(s)
				time.Sleep(inForce)
				qt.Assert(t, spec(m, "a"), qt.Equals, tc.want)
			})
		})
	}
}

// TestFollower guards against calls of a daemon for which another one watches,
// and against a follower that stays behind when no daemon watches for it.
func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := newFakeStore()
		s.put("a", "1")
		peer := &onePeer{}
		var alone atomic.Bool
		m := &Mirror{Kind: "k", Source: s, Peers: peer, Follow: func() bool { return !alone.Load() }, Log: zap.NewNop()}
		go m.Run(ctx)
		time.Sleep(time.Second)
		calls := s.count()
		peer.set(Snapshot{Revision: 9, Content: 9, Objects: map[string]Object{"a": {Name: "a", Revision: 9, Spec: []byte("2")}}})
		time.Sleep(inForce)
		qt.Assert(t, spec(m, "a"), qt.Equals, "2")
		qt.Assert(t, s.count(), qt.Equals, calls)
		alone.Store(true)
		for range 10 {
			s.put("a", "3")
		}
		time.Sleep(inForce)
		qt.Assert(t, spec(m, "a"), qt.Equals, "3")
	})
}

// TestPeersWhileTurnedAway guards against a daemon that the store turns away
// and that never hears of a change, and against a copy that goes back.
func TestPeersWhileTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := newFakeStore()
		s.put("a", "1")
		peer := &onePeer{}
		m := &Mirror{Kind: "k", Source: s, Peers: peer, Log: zap.NewNop()}
		go m.Run(ctx)
		go m.FollowPeers(ctx)
		time.Sleep(time.Second)
		s.set(true, true)
		peer.set(Snapshot{Revision: 9, Content: 9, Objects: map[string]Object{"a": {Name: "a", Revision: 9, Spec: []byte("2")}}})
		time.Sleep(inForce)
		qt.Assert(t, spec(m, "a"), qt.Equals, "2")
		s.set(false, false)
		time.Sleep(10 * time.Second)
		qt.Assert(t, spec(m, "a"), qt.Equals, "2")
	})
}
