package loader

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/shared/timekeeper"
	"github.com/lentilbridge/lentilbridge/internal/weights/selector"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

// decayingEngine pauses once, either in the call of Staged with number pauseAtRead or before
// it sends the order, and a staged chunk becomes corrupt meanwhile.
type decayingEngine struct {
	*fakeEngine
	pauseAtRead int
	// readTime is the duration of each call of Staged.
	readTime time.Duration
	pause    func()
	reads    atomic.Int64
	orders   int
}

func (e *decayingEngine) Staged(ctx context.Context, model string, chunk int, maxBytes int64) ([]byte, bool, error) {
	time.Sleep(e.readTime)
	data, ok, err := e.fakeEngine.Staged(ctx, model, chunk, maxBytes)
	if int(e.reads.Add(1)) == e.pauseAtRead {
		e.pause()
	}
	return data, ok, err
}

func (e *decayingEngine) Load(ctx context.Context, model string, version int, orders uint64, check func() error) error {
	e.orders++
	if e.orders == 1 && e.pauseAtRead == 0 {
		e.pause()
	}
	if err := e.fakeEngine.Load(ctx, model, version, orders, check); err != nil {
		return err
	}
	e.state.Version = version
	return nil
}

// holdVersion adds version 2 to the store of the loader.
func holdVersion(c *qt.C, l *Loader) {
	l.held = map[int]*verifier.Manifest{}
	m, err := l.Origin.Describe(context.Background(), "m", 2)
	c.Assert(err, qt.IsNil)
	digest, err := l.Store.AddVersion(m)
	c.Assert(err, qt.IsNil)
	for i := range chunkCount {
		chunk, err := verifier.VerifyChunk(m, i, chunk(2, i))
		c.Assert(err, qt.IsNil)
		_, err = l.Store.AddChunk(digest, chunk)
		c.Assert(err, qt.IsNil)
	}
	l.held[2] = m
	l.position = selector.LoadPosition{Replicas: 1}
}

// TestPauseHidesCorruptChunk guards against an order to load a staged chunk that became
// corrupt after it was read back, because the agent or its VM stood still before the order,
// and against a load that is not tried again.
func TestPauseHidesCorruptChunk(t *testing.T) {
	const length = 3900 * time.Millisecond
	tests := []struct {
		name string
		// pauseAtRead is the read of a chunk in which the pause is, or 0; inNotice is set
		// if it follows the notice to entry daemons. Otherwise it is in the order.
		pauseAtRead int
		inNotice    bool
		suspended   bool
	}{
		{"at the first chunk", 1, false, false},
		{"between two chunks", 2, false, false},
		{"after the last chunk", chunkCount, false, false},
		{"after the notice", 99, true, false},
		{"before the order is sent", 0, false, false},
		{"VM suspended between two chunks", 2, false, true},
		{"VM suspended after the notice", 99, true, true},
		{"VM suspended before the order is sent", 0, false, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var mu sync.Mutex
				var suspended time.Duration
				e := &decayingEngine{
					fakeEngine:  &fakeEngine{state: State{Up: true, Model: "m", Version: 1, Orders: 5}, staged: versionChunks(2)},
					pauseAtRead: tc.pauseAtRead,
				}
				e.pause = func() {
					c.Check(e.Stage(context.Background(), "m", 0, []byte("corrupt")), qt.IsNil)
					if !tc.suspended {
						time.Sleep(length)
						return
					}
					mu.Lock()
					suspended += length
					mu.Unlock()
				}
				l := newLoader(e.fakeEngine, map[string]int{"m": 2}, time.Now())
				l.Engine = e
				l.Now = func() timekeeper.Moment {
					mu.Lock()
					defer mu.Unlock()
					return timekeeper.Moment{Time: time.Now(), Suspended: suspended}
				}
				holdVersion(c, l)
				notices := 0
				l.OnChange = func() {
					notices++
					if notices == 1 && tc.inNotice {
						e.pause()
					}
				}
				var err error
				for range 50 {
					if len(e.loaded) > 0 {
						break
					}
					time.Sleep(pollInterval)
					l.state = e.state
					err = l.step(context.Background(), time.Now())
				}
				c.Assert(err, qt.IsNil)
				c.Assert(e.loaded, qt.HasLen, 1)
				c.Assert(e.loaded[0], qt.DeepEquals, versionChunks(2))
			})
		})
	}
}

// TestSlowChecksRepeatWithoutPause guards against an agent that reads staged chunks back
// without end, or keeps requests from the engine, because the VM is too slow to do so in
// time.
func TestSlowChecksRepeatWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := &decayingEngine{
			fakeEngine:  &fakeEngine{state: State{Up: true, Model: "m", Version: 1}, staged: versionChunks(2)},
			pauseAtRead: -1, readTime: 5 * time.Second,
		}
		l := newLoader(e.fakeEngine, map[string]int{"m": 2}, time.Now())
		l.Engine = e
		holdVersion(c, l)
		start := time.Now()
		checking := time.Duration(0)
		for time.Since(start) < 5*time.Minute {
			l.state = e.state
			began := time.Now()
			_ = l.step(context.Background(), began)
			checking += time.Since(began)
			_, draining := l.Snapshot()
			c.Assert(draining, qt.IsFalse)
			time.Sleep(pollInterval)
		}
		c.Assert(e.loaded, qt.HasLen, 0)
		c.Assert(checking < time.Since(start)/2, qt.IsTrue, qt.Commentf("%s of %s", checking, time.Since(start)))
		e.readTime = 0
		time.Sleep(maxLoadDelay)
		l.state = e.state
		c.Assert(l.step(context.Background(), time.Now()), qt.IsNil)
		c.Assert(e.loaded, qt.HasLen, 1)
	})
}
