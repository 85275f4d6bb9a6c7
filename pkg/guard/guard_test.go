package guard_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/guard"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	shard     = "rollouts/1"
	applyTime = time.Second
)

// fakeEngine is an engine that ignores fencing epochs. State blocks until pause
// is closed.
type fakeEngine struct {
	adapter.Engine
	pause chan struct{}

	mu      sync.Mutex
	applied []uint64
	active  int
	overlap bool
}

func (e *fakeEngine) State(context.Context) (adapter.EngineState, error) {
	if e.pause != nil {
		<-e.pause
	}
	return adapter.EngineState{}, nil
}

func (e *fakeEngine) Apply(_ context.Context, epoch uint64, _ adapter.EngineOrder) error {
	e.mu.Lock()
	e.active++
	e.overlap = e.overlap || e.active > 1
	e.applied = append(e.applied, epoch)
	e.mu.Unlock()
	time.Sleep(applyTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	return nil
}

func fence(epoch uint64) *messenger.Fence { return &messenger.Fence{Shard: shard, Epoch: epoch} }

// caller applies one order in a goroutine.
type caller struct {
	guard *guard.Guard
	epoch uint64
	err   error
}

func (c *caller) run() {
	c.err = c.guard.Apply(context.Background(), fence(c.epoch), adapter.SetRole{Role: "prefill"})
}

// Guards against applying an order of a former lease holder when the engine
// ignores epochs.
func TestStaleEpochIsRefused(t *testing.T) {
	c := qt.New(t)
	engine := &fakeEngine{}
	g := &guard.Guard{Engine: engine}
	g.RaiseEpochs(map[string]uint64{shard: 5})
	g.RaiseEpochs(map[string]uint64{shard: 3})
	err := g.Apply(context.Background(), fence(4), adapter.UnloadVersion{})
	var stale *adapter.StaleEpochError
	c.Assert(errors.As(err, &stale), qt.IsTrue)
	c.Assert(*stale, qt.Equals, adapter.StaleEpochError{Shard: shard, Epoch: 4, Highest: 5})
	c.Assert(engine.applied, qt.HasLen, 0)
}

// Guards against an agent that, after its start, accepts the first order of a
// shard without knowing the current epoch.
func TestOrderWithUnknownEpochIsRefused(t *testing.T) {
	c := qt.New(t)
	engine := &fakeEngine{}
	g := &guard.Guard{Engine: engine}
	g.RaiseEpochs(map[string]uint64{"rollouts/2": 9})
	var unknown *guard.UnknownEpochError
	c.Assert(errors.As(g.Apply(context.Background(), fence(5), adapter.UnloadVersion{}), &unknown), qt.IsTrue)
	c.Assert(engine.applied, qt.HasLen, 0)
}

// Guards against applying an order whose epoch was current at the first check
// but is outdated when the engine is ready.
func TestFenceIsCheckedAgainBeforeApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		engine := &fakeEngine{pause: make(chan struct{})}
		g := &guard.Guard{Engine: engine}
		g.RaiseEpochs(map[string]uint64{shard: 5})
		former := &caller{guard: g, epoch: 5}
		go former.run()
		synctest.Wait()
		g.RaiseEpochs(map[string]uint64{shard: 6})
		close(engine.pause)
		time.Sleep(time.Minute)
		synctest.Wait()
		var stale *adapter.StaleEpochError
		c.Assert(errors.As(former.err, &stale), qt.IsTrue)
		c.Assert(engine.applied, qt.HasLen, 0)
	})
}

// Guards against concurrent orders to the engine, and against applying an order
// that waited while one with a higher epoch was accepted.
func TestOrdersAreSerialized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		engine := &fakeEngine{pause: make(chan struct{})}
		g := &guard.Guard{Engine: engine}
		g.RaiseEpochs(map[string]uint64{shard: 5})
		callers := []*caller{{guard: g, epoch: 5}, {guard: g, epoch: 6}, {guard: g, epoch: 6}}
		for _, each := range callers {
			go each.run()
			synctest.Wait()
		}
		close(engine.pause)
		time.Sleep(time.Minute)
		synctest.Wait()
		c.Assert(engine.overlap, qt.IsFalse)
		c.Assert(callers[0].err, qt.IsNotNil)
		c.Assert(engine.applied, qt.DeepEquals, []uint64{6, 6})
	})
}

// Guards against an engine that refuses orders because the epoch of their shard
// is lower than that of another shard.
func TestEngineEpochIsHighestOfAllShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		engine := &fakeEngine{}
		g := &guard.Guard{Engine: engine}
		g.RaiseEpochs(map[string]uint64{shard: 9, "rollouts/2": 2})
		c.Assert(g.Apply(context.Background(), fence(9), adapter.UnloadVersion{}), qt.IsNil)
		other := &messenger.Fence{Shard: "rollouts/2", Epoch: 2}
		c.Assert(g.Apply(context.Background(), other, adapter.UnloadVersion{}), qt.IsNil)
		c.Assert(engine.applied, qt.DeepEquals, []uint64{9, 9})
	})
}
