package loader

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

// TestEvacuatedAgent guards against an agent that transfers or loads a version while its failure domain is
// evacuated, that does so later although the evacuation has ended, or that keeps requests from its engine for a
// load that it does not order.
func TestEvacuatedAgent(t *testing.T) {
	tests := []struct {
		name string
		// staged is set if the engine has the chunks already, so that only the load is left.
		staged bool
		// from and to are the times of the evacuation.
		from, to time.Duration
		// loaded and transferred are wanted after 2 s, and then after the end.
		loaded, transferred bool
	}{
		{"staged, not evacuated", true, time.Hour, time.Hour, true, true},
		{"staged, evacuated", true, 0, 3 * time.Second, false, false},
		{"not staged, evacuated", false, 0, 3 * time.Second, false, false},
		{"not staged, not evacuated", false, time.Hour, time.Hour, false, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				began := time.Now()
				e := &fakeEngine{state: State{Up: true, Model: "m"}, staged: map[int][]byte{}}
				if tc.staged {
					e.staged = versionChunks(2)
				}
				l := newLoader(e, map[string]int{"m": 2}, began)
				var asked atomic.Int64
				l.Origin = describedOrigin{asked: &asked}
				l.Evacuated = func(now time.Time) bool { return now.Sub(began) >= tc.from && now.Sub(began) < tc.to }
				run := &loaderRun{loader: l, ended: make(chan struct{})}
				go run.run(ctx)
				time.Sleep(2 * time.Second)
				c.Check(e.orderCount() > 0, qt.Equals, tc.loaded)
				c.Check(asked.Load() > 0, qt.Equals, tc.transferred)
				time.Sleep(3 * time.Second)
				c.Check(e.orderCount() > 0, qt.Equals, tc.staged)
				c.Check(asked.Load() > 0, qt.IsTrue)
				cancel()
				<-run.ended
			})
		})
	}
}

// orderCount returns the number of orders to load.
func (e *fakeEngine) orderCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.loaded)
}

// describedOrigin counts the requests for manifests, with which each transfer begins. It implements Origin.
type describedOrigin struct {
	fakeOrigin
	asked *atomic.Int64
}

func (o describedOrigin) Describe(ctx context.Context, model string, version int) (*verifier.Manifest, error) {
	o.asked.Add(1)
	return o.fakeOrigin.Describe(ctx, model, version)
}

// TestEvacuationDuringLoad guards against the order to load a version in a failure domain that was evacuated while
// its chunks were verified, and against an engine that is kept from service afterwards.
func TestEvacuationDuringLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := &fakeEngine{state: State{Up: true, Model: "m", Version: 1}, staged: map[int][]byte{}}
		l := newLoader(e, map[string]int{"m": 2}, time.Now())
		holdVersion(c, l)
		l.Evacuated = func(time.Time) bool { return len(e.staged) == chunkCount }
		c.Assert(l.load(context.Background(), e.state, 2), qt.ErrorMatches, "the failure domain is evacuated")
		c.Assert(e.loaded, qt.HasLen, 0)
		_, loading := l.Snapshot()
		c.Assert(loading, qt.IsFalse)
		l.Evacuated = nil
		c.Assert(l.load(context.Background(), e.state, 2), qt.IsNil)
		c.Assert(e.loaded, qt.HasLen, 1)
	})
}
