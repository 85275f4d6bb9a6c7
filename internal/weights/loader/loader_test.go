package loader

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/weights/selector"
	"github.com/lentilbridge/lentilbridge/pkg/limiter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/storer"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

const (
	chunkCount = 4
	chunkBytes = 16
)

// fakeEngine holds staged chunks and corrupts some of them. It implements Engine.
type fakeEngine struct {
	state  State
	mu     sync.Mutex
	staged map[int][]byte
	// corruptions is how many times each chunk is corrupted when it is staged.
	corruptions map[int]int
	// loaded holds the staged chunks at the time of each order.
	loaded []map[int][]byte
	// orders holds the number of accepted orders that each order was sent with.
	orders []uint64
}

func (e *fakeEngine) State(context.Context) (State, error) { return e.state, nil }

func (e *fakeEngine) Staged(_ context.Context, _ string, chunk int, _ int64) ([]byte, bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, ok := e.staged[chunk]
	return data, ok, nil
}

func (e *fakeEngine) Stage(_ context.Context, _ string, chunk int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	data = bytes.Clone(data)
	if e.corruptions[chunk] > 0 {
		e.corruptions[chunk]--
		data[0]++
	}
	e.staged[chunk] = data
	return nil
}

func (e *fakeEngine) Load(_ context.Context, _ string, _ int, orders uint64, check func() error) error {
	if err := check(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	staged := map[int][]byte{}
	for i, data := range e.staged {
		staged[i] = data
	}
	e.loaded = append(e.loaded, staged)
	e.orders = append(e.orders, orders)
	return nil
}

// fakeOrigin serves manifests but no chunks. It implements Origin.
type fakeOrigin struct{}

var errNoOrigin = errors.New("origin is down")

func (fakeOrigin) Manifest(context.Context, string) ([]byte, error) { return nil, errNoOrigin }

func (fakeOrigin) ReadRange(context.Context, string, int64, int64) ([]byte, error) {
	return nil, errNoOrigin
}

func (fakeOrigin) Describe(_ context.Context, model string, version int) (*verifier.Manifest, error) {
	m := &verifier.Manifest{
		Model: model, Name: strconv.Itoa(version), Algorithm: verifier.AlgorithmSHA256,
		SizeBytes: chunkCount * chunkBytes, ChunkSizeBytes: chunkBytes,
	}
	for i := range chunkCount {
		m.Chunks = append(m.Chunks, sha256.Sum256(chunk(version, i)))
	}
	return m, nil
}

func (fakeOrigin) Region() (string, bool) { return "r", true }

func chunk(version, index int) []byte {
	return bytes.Repeat([]byte{byte(16*version + index)}, chunkBytes)
}

// versionChunks returns all chunks of a version.
func versionChunks(v int) map[int][]byte {
	out := map[int][]byte{}
	for i := range chunkCount {
		out[i] = chunk(v, i)
	}
	return out
}

func newLoader(e *fakeEngine, versions map[string]int, now time.Time) *Loader {
	l := &Loader{
		Engine: e, Origin: fakeOrigin{}, Store: &storer.Storer{}, Limiter: &limiter.Limiter{}, Versions: &selector.VersionTracker{Window: 8 * time.Second},
		Self: &messenger.Peer{Vm: "self"},
		Peers: func(context.Context) ([]*messenger.Peer, selector.LoadPosition) {
			return nil, selector.LoadPosition{Replicas: 1}
		},
		OnChange: func() {}, Log: zap.NewNop(),
	}
	l.Versions.Update(versions, now, now)
	return l
}

// TestStaged guards against an order to load chunks that are corrupt or of another
// version: the engine does not verify staged chunks.
func TestStaged(t *testing.T) {
	corrupt := versionChunks(2)
	corrupt[1] = []byte("corrupt")
	mixed := versionChunks(2)
	mixed[3] = chunk(1, 3)
	tests := []struct {
		name        string
		staged      map[int][]byte
		corruptions map[int]int
		loads       int
	}{
		{"nothing staged", map[int][]byte{}, nil, 1},
		{"whole version staged", versionChunks(2), nil, 1},
		{"a corrupt chunk", corrupt, nil, 1},
		{"a chunk of another version", mixed, nil, 1},
		{"corrupted while it is staged", map[int][]byte{}, map[int]int{2: 2}, 1},
		{"corrupted in each round", map[int][]byte{}, map[int]int{2: 99}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEngine{state: State{Up: true, Model: "m", Orders: 5}, staged: tc.staged, corruptions: tc.corruptions}
				l := newLoader(e, map[string]int{"m": 2}, time.Now())
				l.held = map[int]*verifier.Manifest{}
				m, err := l.Origin.Describe(context.Background(), "m", 2)
				qt.Assert(t, err, qt.IsNil)
				digest, err := l.Store.AddVersion(m)
				qt.Assert(t, err, qt.IsNil)
				for i := range chunkCount {
					c, err := verifier.VerifyChunk(m, i, chunk(2, i))
					qt.Assert(t, err, qt.IsNil)
					_, err = l.Store.AddChunk(digest, c)
					qt.Assert(t, err, qt.IsNil)
				}
				l.held[2] = m
				err = l.load(context.Background(), e.state, 2)
				qt.Assert(t, e.loaded, qt.HasLen, tc.loads)
				qt.Assert(t, err == nil, qt.Equals, tc.loads == 1)
				for i, staged := range e.loaded {
					qt.Assert(t, staged, qt.DeepEquals, versionChunks(2))
					qt.Assert(t, e.orders[i], qt.Equals, uint64(5))
				}
			})
		})
	}
}

// silentOrigin answers no request for the manifest of version 1.
type silentOrigin struct{ fakeOrigin }

func (o silentOrigin) Describe(ctx context.Context, model string, version int) (*verifier.Manifest, error) {
	if version == 1 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return o.fakeOrigin.Describe(ctx, model, version)
}

// TestServedVersionDelaysNothing guards against a new version that is not loaded in time
// because the agent asks for the manifest of the version that its engine serves, which
// the origin may not have any more.
func TestServedVersionDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		e := &fakeEngine{state: State{Up: true, Model: "m", Version: 1}, staged: versionChunks(2)}
		l := newLoader(e, map[string]int{"m": 1}, time.Now())
		l.Origin = silentOrigin{}
		done := &loaderRun{loader: l, ended: make(chan struct{})}
		go done.run(ctx)
		time.Sleep(time.Second)
		l.Versions.Update(map[string]int{"m": 2}, time.Now(), time.Now())
		time.Sleep(l.Versions.Window)
		cancel()
		<-done.ended
		qt.Assert(t, len(e.loaded) > 0, qt.IsTrue)
	})
}

// TestReloadFromStaged guards against an unnecessary transfer after an engine
// crashed while its chunks are still staged. The origin is down as well, so that a
// transfer would fail.
func TestReloadFromStaged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		e := &fakeEngine{state: State{Up: true, Model: "m"}, staged: versionChunks(2)}
		l := newLoader(e, map[string]int{"m": 2}, time.Now())
		done := &loaderRun{loader: l, ended: make(chan struct{})}
		go done.run(ctx)
		time.Sleep(2 * time.Second)
		cancel()
		<-done.ended
		qt.Assert(t, len(e.loaded) > 0, qt.IsTrue)
		qt.Assert(t, e.loaded[0], qt.DeepEquals, versionChunks(2))
	})
}

type loaderRun struct {
	loader *Loader
	ended  chan struct{}
}

func (r *loaderRun) run(ctx context.Context) {
	r.loader.Run(ctx)
	close(r.ended)
}

// TestWaitsForVersions guards against an agent that loads the first version right
// after its start because it does not know yet which versions were announced.
func TestWaitsForVersions(t *testing.T) {
	e := &fakeEngine{state: State{Up: true, Model: "m"}, staged: versionChunks(1)}
	l := newLoader(e, nil, time.Now())
	l.Versions = &selector.VersionTracker{Window: time.Second}
	l.held = map[int]*verifier.Manifest{}
	l.state = e.state
	qt.Assert(t, l.step(context.Background(), time.Now()), qt.IsNil)
	qt.Assert(t, l.current, qt.IsNil)
	qt.Assert(t, e.loaded, qt.HasLen, 0)
}
