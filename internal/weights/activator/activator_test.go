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

// fakeEngine keeps what it was given. Generate and the other calls are not
// used here.
type fakeEngine struct {
	adapter.Engine
	state  adapter.EngineState
	down   error
	loads  int
	epochs []uint64
	// reports replaces the version that the engine reports after a load.
	reports string
	// onState runs during each State call.
	onState func()
	// refuses is the error of each order.
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

type rig struct {
	*activator.Activator
	engine *fakeEngine
	store  *storer.Storer
	guard  error
	fences []*messenger.Fence
}

func newRig() *rig {
	r := &rig{engine: &fakeEngine{state: adapter.EngineState{Instance: "a"}}, store: &storer.Storer{}}
	r.Activator = &activator.Activator{Engine: r.engine, Source: r.store, Guard: r.admit, Log: zap.NewNop()}
	return r
}

func (r *rig) admit(fence *messenger.Fence) (uint64, error) {
	r.fences = append(r.fences, fence)
	return max(fence.GetEpoch(), 7), r.guard
}

// version stores the first chunks of a version with two chunks.
func (r *rig) version(c *qt.C, name string, chunks int) *messenger.VersionRef {
	data := strings.Repeat(name[:1], 8)
	m, err := verifier.Build("m", name, 4, strings.NewReader(data))
	c.Assert(err, qt.IsNil)
	digest, err := r.store.Begin(m)
	c.Assert(err, qt.IsNil)
	for i := range chunks {
		chunk, err := verifier.Check(m, i, []byte(data[:4]))
		c.Assert(err, qt.IsNil)
		_, err = r.store.Add(digest, chunk)
		c.Assert(err, qt.IsNil)
	}
	return &messenger.VersionRef{Model: "m", Name: name, Digest: digest}
}

var fence = &messenger.Fence{Shard: "rollouts/1", Epoch: 9}

// Guards against an engine that is given a version that lacks chunks.
func TestActivateRefusesIncompleteVersion(t *testing.T) {
	c := qt.New(t)
	r := newRig()
	err := r.Activate(t.Context(), fence, r.version(c, "b", 1))
	var incomplete *storer.IncompleteError
	c.Assert(errors.As(err, &incomplete), qt.IsTrue)
	c.Assert(r.engine.epochs, qt.HasLen, 0)
	c.Assert(r.Status().Ready, qt.IsFalse)
}

// Guards against an order that is applied although its epoch is old, and
// against an engine that stops being ready because of a refused order.
func TestActivateAsksGuardBeforeApply(t *testing.T) {
	c := qt.New(t)
	r := newRig()
	old := r.version(c, "a", 2)
	c.Assert(r.Activate(t.Context(), fence, old), qt.IsNil)
	c.Assert(r.engine.epochs, qt.DeepEquals, []uint64{9})
	r.guard = &adapter.StaleEpochError{Shard: "rollouts/1", Epoch: 9, Highest: 10}
	err := r.Activate(t.Context(), fence, r.version(c, "b", 2))
	var stale *adapter.StaleEpochError
	c.Assert(errors.As(err, &stale), qt.IsTrue)
	c.Assert(r.engine.loads, qt.Equals, 1)
	c.Assert(r.Status().Ready, qt.IsTrue)
	c.Assert(r.Status().Version.GetDigest(), qt.Equals, old.GetDigest())
}

// Guards against an engine that runs something else than it was given.
func TestActivateComparesReportedDigest(t *testing.T) {
	c := qt.New(t)
	r := newRig()
	r.engine.reports = "other"
	err := r.Activate(t.Context(), fence, r.version(c, "b", 2))
	var mismatch *activator.MismatchError
	c.Assert(errors.As(err, &mismatch), qt.IsTrue)
	c.Assert(r.Status().Ready, qt.IsFalse)
}

// Guards against requests to an engine that restarted without weights.
func TestCheckReloadsEmptyEngine(t *testing.T) {
	c := qt.New(t)
	r := newRig()
	ref := r.version(c, "b", 2)
	c.Assert(r.Activate(t.Context(), fence, ref), qt.IsNil)
	c.Assert(r.LoadAdapter(t.Context(), fence, "x", r.version(c, "x", 2)), qt.IsNil)
	r.engine.restart()
	r.guard = errors.New("not now")
	c.Assert(r.Check(t.Context()), qt.IsNotNil)
	c.Assert(r.Status().Ready, qt.IsFalse)
	r.guard = nil
	c.Assert(r.Check(t.Context()), qt.IsNil)
	status := r.Status()
	c.Assert(status.Ready, qt.IsTrue)
	c.Assert(status.Adapters, qt.DeepEquals, []string{"x"})
	c.Assert(status.Instance, qt.Equals, "ax")
	c.Assert(r.fences[len(r.fences)-1], qt.IsNil)
}

// Guards against a restarted agent that trusts whatever its engine runs.
func TestExpectComparesAfterAgentRestart(t *testing.T) {
	c := qt.New(t)
	r := newRig()
	ref := r.version(c, "b", 0)
	r.engine.state.Version = "other"
	c.Assert(r.Check(t.Context()), qt.IsNil)
	c.Assert(r.Status().Ready, qt.IsFalse)
	r.Expect(ref)
	c.Assert(r.Check(t.Context()), qt.IsNotNil)
	c.Assert(r.Status().Ready, qt.IsFalse)
	c.Assert(r.engine.loads, qt.Equals, 0)
	r.engine.state.Version = ref.GetDigest()
	c.Assert(r.Check(t.Context()), qt.IsNil)
	c.Assert(r.Status().Ready, qt.IsTrue)
	r.engine.down = errors.New("connection refused")
	c.Assert(r.Check(t.Context()), qt.IsNotNil)
	c.Assert(r.Status().Ready, qt.IsFalse)
}

// Guards against a state that was read before a crash and makes the engine
// ready after it.
func TestInvalidateDuringCheckWins(t *testing.T) {
	c := qt.New(t)
	r := newRig()
	c.Assert(r.Activate(t.Context(), fence, r.version(c, "b", 2)), qt.IsNil)
	r.engine.onState = func() { r.Invalidate("connection broke") }
	c.Assert(r.Check(t.Context()), qt.IsNotNil)
	c.Assert(r.Status().Ready, qt.IsFalse)
}

// Guards against a replica that stops serving because its engine refused a
// new version: a version that no engine accepts would take the whole fleet
// out of service, one replica after the other.
func TestRefusedActivationKeepsPreviousVersion(t *testing.T) {
	c := qt.New(t)
	r := newRig()
	old := r.version(c, "a", 2)
	c.Assert(r.Activate(t.Context(), fence, old), qt.IsNil)
	c.Assert(r.LoadAdapter(t.Context(), fence, "x", r.version(c, "x", 2)), qt.IsNil)
	r.engine.refuses = errors.New("out of memory")
	for range 2 {
		c.Assert(r.Activate(t.Context(), fence, r.version(c, "b", 2)), qt.IsNotNil)
		c.Assert(r.Status().Ready, qt.IsFalse)
	}
	c.Assert(r.Observe(r.engine.state), qt.IsFalse)
	c.Assert(r.Status().Ready, qt.IsTrue)
	c.Assert(r.Status().Version.GetDigest(), qt.Equals, old.GetDigest())
	c.Assert(r.Status().Adapters, qt.DeepEquals, []string{"x"})

	// After a switch that succeeded the previous version is wrong.
	r.engine.refuses = nil
	c.Assert(r.Activate(t.Context(), fence, r.version(c, "b", 2)), qt.IsNil)
	r.engine.state.Version = old.GetDigest()
	c.Assert(r.Observe(r.engine.state), qt.IsFalse)
	c.Assert(r.Status().Ready, qt.IsFalse)
}
