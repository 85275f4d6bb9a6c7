package activator_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/weights/activator"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/storer"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

// fakeEngine records the orders that it receives. It implements only State and
// Apply of adapter.Engine.
type fakeEngine struct {
	adapter.Engine
	state adapter.EngineState
	// down is the error of each State call.
	down   error
	loads  int
	epochs []uint64
	// reports overrides the version that the engine reports after a load.
	reports string
	// onState is called during each State call, after the state was read.
	onState func()
	// refuses is the error returned for each order.
	refuses error
}

func (e *fakeEngine) State(context.Context) (adapter.EngineState, error) {
	state := e.state
	if e.onState != nil {
		e.onState()
	}
	return state, e.down
}

func (e *fakeEngine) Apply(_ context.Context, epoch uint64, order adapter.EngineOrder) error {
	e.epochs = append(e.epochs, epoch)
	if e.refuses != nil {
		return e.refuses
	}
	switch order := order.(type) {
	case adapter.LoadVersion:
		data, err := io.ReadAll(order.Weights)
		if err != nil || int64(len(data)) != order.Bytes {
			return errors.New("weights are not complete")
		}
		e.loads++
		e.state.Version, e.state.Adapters = order.Version, nil
		if e.reports != "" {
			e.state.Version = e.reports
		}
	case adapter.LoadAdapter:
		e.state.Adapters = append(e.state.Adapters, order.Adapter)
	case adapter.UnloadVersion:
		e.state.Version = ""
	}
	return nil
}

func (e *fakeEngine) restart() {
	e.state = adapter.EngineState{Instance: e.state.Instance + "x"}
}

// fixture is an Activator with a fake engine and a guard that records fences.
type fixture struct {
	*activator.Activator
	engine *fakeEngine
	store  *storer.Storer
	guard  error
	fences []*messenger.Fence
}

func newFixture() *fixture {
	f := &fixture{engine: &fakeEngine{state: adapter.EngineState{Instance: "a"}}, store: &storer.Storer{}}
	f.Activator = &activator.Activator{Engine: f.engine, Source: f.store, Guard: f.admit, Log: zap.NewNop()}
	return f
}

func (f *fixture) admit(fence *messenger.Fence) (uint64, error) {
	f.fences = append(f.fences, fence)
	return max(fence.GetEpoch(), 7), f.guard
}

// version adds a version of two chunks to the store and stores the given number of
// its chunks.
func (f *fixture) version(c *qt.C, name string, chunks int) *messenger.VersionRef {
	data := strings.Repeat(name[:1], 8)
	m, err := verifier.BuildManifest("m", name, 4, strings.NewReader(data))
	c.Assert(err, qt.IsNil)
	digest, err := f.store.AddVersion(m)
	c.Assert(err, qt.IsNil)
	for i := range chunks {
		chunk, err := verifier.VerifyChunk(m, i, []byte(data[:4]))
		c.Assert(err, qt.IsNil)
		_, err = f.store.AddChunk(digest, chunk)
		c.Assert(err, qt.IsNil)
	}
	return &messenger.VersionRef{Model: "m", Name: name, Digest: digest}
}

var fence = &messenger.Fence{Shard: "rollouts/1", Epoch: 9}

// Guards against loading a version that lacks chunks into the engine.
func TestActivateRefusesIncompleteVersion(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	err := f.Activate(t.Context(), fence, f.version(c, "b", 1))
	var incomplete *storer.IncompleteError
	c.Assert(errors.As(err, &incomplete), qt.IsTrue)
	c.Assert(f.engine.epochs, qt.HasLen, 0)
	c.Assert(f.Status().Ready, qt.IsFalse)
}

// Guards against applying an order with a stale epoch, and against marking the
// engine as not ready because of an order that the guard refused.
func TestActivateAsksGuardBeforeApply(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	old := f.version(c, "a", 2)
	c.Assert(f.Activate(t.Context(), fence, old), qt.IsNil)
	c.Assert(f.engine.epochs, qt.DeepEquals, []uint64{9})
	f.guard = &adapter.StaleEpochError{Shard: "rollouts/1", Epoch: 9, Highest: 10}
	err := f.Activate(t.Context(), fence, f.version(c, "b", 2))
	var stale *adapter.StaleEpochError
	c.Assert(errors.As(err, &stale), qt.IsTrue)
	c.Assert(f.engine.loads, qt.Equals, 1)
	c.Assert(f.Status().Ready, qt.IsTrue)
	c.Assert(f.Status().Version.GetDigest(), qt.Equals, old.GetDigest())
}

// Guards against marking an engine as ready that reports a different version than
// the one that was loaded.
func TestActivateComparesReportedDigest(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.engine.reports = "other"
	err := f.Activate(t.Context(), fence, f.version(c, "b", 2))
	var mismatch *activator.MismatchError
	c.Assert(errors.As(err, &mismatch), qt.IsTrue)
	c.Assert(f.Status().Ready, qt.IsFalse)
}

// Guards against requests to an engine that restarted without weights, and against
// an incomplete reload of its version and adapters.
func TestCheckReloadsEmptyEngine(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	ref := f.version(c, "b", 2)
	c.Assert(f.Activate(t.Context(), fence, ref), qt.IsNil)
	c.Assert(f.LoadAdapter(t.Context(), fence, "x", f.version(c, "x", 2)), qt.IsNil)
	f.engine.restart()
	f.guard = errors.New("not now")
	c.Assert(f.Check(t.Context()), qt.IsNotNil)
	c.Assert(f.Status().Ready, qt.IsFalse)
	f.guard = nil
	c.Assert(f.Check(t.Context()), qt.IsNil)
	status := f.Status()
	c.Assert(status.Ready, qt.IsTrue)
	c.Assert(status.Adapters, qt.DeepEquals, []string{"x"})
	c.Assert(status.Instance, qt.Equals, "ax")
	c.Assert(f.fences[len(f.fences)-1], qt.IsNil)
}

// Guards against a restarted agent that accepts any version that its engine runs.
func TestExpectComparesAfterAgentRestart(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	ref := f.version(c, "b", 0)
	f.engine.state.Version = "other"
	c.Assert(f.Check(t.Context()), qt.IsNil)
	c.Assert(f.Status().Ready, qt.IsFalse)
	f.Expect(ref)
	c.Assert(f.Check(t.Context()), qt.IsNotNil)
	c.Assert(f.Status().Ready, qt.IsFalse)
	c.Assert(f.engine.loads, qt.Equals, 0)
	f.engine.state.Version = ref.GetDigest()
	c.Assert(f.Check(t.Context()), qt.IsNil)
	c.Assert(f.Status().Ready, qt.IsTrue)
	f.engine.down = errors.New("connection refused")
	c.Assert(f.Check(t.Context()), qt.IsNotNil)
	c.Assert(f.Status().Ready, qt.IsFalse)
}

// Guards against an engine that becomes ready after a crash because of a state that
// was read before the crash.
func TestInvalidateDuringCheckWins(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	c.Assert(f.Activate(t.Context(), fence, f.version(c, "b", 2)), qt.IsNil)
	f.engine.onState = func() { f.Invalidate("connection broke") }
	c.Assert(f.Check(t.Context()), qt.IsNotNil)
	c.Assert(f.Status().Ready, qt.IsFalse)
}

// Guards against a replica that stops serving because its engine rejected a new
// version. A version that every engine rejects would otherwise take the entire
// fleet out of service, one replica after the other.
func TestRefusedActivationKeepsPreviousVersion(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	old := f.version(c, "a", 2)
	c.Assert(f.Activate(t.Context(), fence, old), qt.IsNil)
	c.Assert(f.LoadAdapter(t.Context(), fence, "x", f.version(c, "x", 2)), qt.IsNil)
	f.engine.refuses = errors.New("out of memory")
	for range 2 {
		c.Assert(f.Activate(t.Context(), fence, f.version(c, "b", 2)), qt.IsNotNil)
		c.Assert(f.Status().Ready, qt.IsFalse)
	}
	c.Assert(f.Observe(f.engine.state), qt.IsFalse)
	c.Assert(f.Status().Ready, qt.IsTrue)
	c.Assert(f.Status().Version.GetDigest(), qt.Equals, old.GetDigest())
	c.Assert(f.Status().Adapters, qt.DeepEquals, []string{"x"})

	// After a successful activation the previous version is no longer accepted.
	f.engine.refuses = nil
	c.Assert(f.Activate(t.Context(), fence, f.version(c, "b", 2)), qt.IsNil)
	f.engine.state.Version = old.GetDigest()
	c.Assert(f.Observe(f.engine.state), qt.IsFalse)
	c.Assert(f.Status().Ready, qt.IsFalse)
}
