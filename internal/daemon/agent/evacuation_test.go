package agent

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/guard"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// recordingWeights records all operations that transfer or load weights.
type recordingWeights struct {
	fakeWeights
	ready bool
	lost  bool
	begun []string
}

func (w *recordingWeights) Ready(string) bool                      { return w.ready }
func (w *recordingWeights) ObserveEngine(adapter.EngineState) bool { return w.lost }
func (w *recordingWeights) Prepare(*messenger.PrepareOrder) error {
	w.begun = append(w.begun, "prepare")
	return nil
}

func (w *recordingWeights) Activate(context.Context, *messenger.ActivateOrder, ApplyFunc) error {
	w.begun = append(w.begun, "activate")
	return nil
}

func (w *recordingWeights) Restore(context.Context, ApplyFunc) error {
	w.begun = append(w.begun, "restore")
	return nil
}

func (w *recordingWeights) LoadAdapter(context.Context, *messenger.LoadAdapterOrder, ApplyFunc) error {
	w.begun = append(w.begun, "load-adapter")
	return nil
}

func (w *recordingWeights) Unload(context.Context, *messenger.UnloadOrder, ApplyFunc) error {
	w.begun = append(w.begun, "unload")
	return nil
}

// TestEvacuationStopsOrders guards against a transfer or a load that begins in an
// evacuated failure domain, in particular one that was accepted before and waits for
// running attempts, against one that is refused after the evacuation, and against an
// evacuation that is reported as a failure of the version.
func TestEvacuationStopsOrders(t *testing.T) {
	adapterOrder := &messenger.OrderRequest{Order: &messenger.OrderRequest_LoadAdapter{LoadAdapter: &messenger.LoadAdapterOrder{}}}
	unload := &messenger.OrderRequest{Order: &messenger.OrderRequest_Unload{Unload: &messenger.UnloadOrder{}}}
	version := &messenger.VersionRef{Digest: "v1"}
	tests := []struct {
		name    string
		request *messenger.OrderRequest
		restore bool
		ready   bool
		// from and until are when the evacuation begins and ends; attempts run until 1 s.
		from, until time.Duration
		refused     bool
		begun       []string
	}{
		{name: "prepare", request: prepare(version), until: time.Hour, refused: true},
		{name: "prepare without", request: prepare(version), begun: []string{"prepare"}},
		{name: "prepare after", request: prepare(version), from: -time.Hour, until: -time.Second, begun: []string{"prepare"}},
		{name: "activate", request: activate(version), until: time.Hour, refused: true},
		{name: "activate without", request: activate(version), begun: []string{"activate"}},
		{name: "activate that waits", request: activate(version), from: 500 * time.Millisecond, until: time.Hour},
		{name: "activate that has begun", request: activate(version), from: 2 * time.Second, until: time.Hour, begun: []string{"activate"}},
		{name: "new names of the active version", request: activate(version), ready: true, until: time.Hour, begun: []string{"activate"}},
		{name: "adapter", request: adapterOrder, until: time.Hour, refused: true},
		{name: "adapter without", request: adapterOrder, begun: []string{"load-adapter"}},
		{name: "unload", request: unload, until: time.Hour, begun: []string{"unload"}},
		{name: "restore", restore: true, until: time.Hour, refused: true},
		{name: "restore without", restore: true, begun: []string{"restore"}},
		{name: "restore that waits", restore: true, from: 500 * time.Millisecond, until: time.Hour},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				began := time.Now()
				weights, admission := &recordingWeights{ready: tt.ready}, &fakeAdmission{idle: make(chan struct{})}
				g := &guard.Guard{}
				g.RaiseEpochs(map[string]uint64{testShard: 5})
				o := &orders{Weights: weights, Guard: g, Admission: admission, DrainTimeout: time.Hour, Log: zap.NewNop()}
				o.Evacuated = func() bool { return time.Since(began) >= tt.from && time.Since(began) < tt.until }
				go (&ordersLoop{o, ctx}).run()
				if tt.restore {
					c.Assert(o.enqueueRestore(), qt.Equals, !tt.refused)
				} else {
					tt.request.Fence = &messenger.Fence{Shard: testShard, Epoch: 5}
					reply, err := o.Order(ctx, tt.request)
					c.Assert(err, qt.IsNil)
					c.Assert(reply.GetAccepted(), qt.Equals, !tt.refused, qt.Commentf("%s", reply.GetError()))
				}
				time.Sleep(time.Second)
				close(admission.idle)
				time.Sleep(time.Second)
				synctest.Wait()
				c.Check(weights.begun, qt.DeepEquals, tt.begun)
				switching, lastError := o.status()
				c.Check(switching, qt.IsFalse)
				c.Check(lastError, qt.Equals, "")
			})
		})
	}
}

// TestEvacuationInNotices guards against an agent that takes a notice of an entry
// daemon that lags behind for the end of an evacuation, or that misses the end.
func TestEvacuationInNotices(t *testing.T) {
	c := qt.New(t)
	var evacuated atomic.Int32
	m := &sessionManager{Guard: &guard.Guard{}, Log: zap.NewNop(), OnEvacuated: func(on bool) {
		if on {
			evacuated.Add(1)
		} else {
			evacuated.Add(-1)
		}
	}}
	m.init()
	s := &session{manager: m}
	steps := []struct {
		revision uint64
		notice   bool
		want     bool
	}{
		{3, false, false},
		{4, true, true},
		{3, false, true},
		{0, false, true},
		{5, true, true},
		{4, true, true},
		{6, false, false},
		{5, true, false},
		{7, true, true},
	}
	for i, step := range steps {
		m.handleNotice(s, &messenger.EntryNotice{Revision: step.revision, Evacuated: step.notice})
		c.Check(m.isEvacuated(), qt.Equals, step.want, qt.Commentf("step %d", i))
		c.Check(evacuated.Load() == 1, qt.Equals, step.want, qt.Commentf("step %d", i))
	}
}
