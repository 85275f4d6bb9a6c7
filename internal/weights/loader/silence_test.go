package loader

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// pausingEngine does not answer between two times, or fails from a time on. A poll of its
// state times out as one of the platform's engine does.
type pausingEngine struct {
	*fakeEngine
	silentFrom, silentUntil, failsFrom time.Time
}

const (
	statePollTimeout = 800 * time.Millisecond
	orderTimeout     = 2 * time.Second
)

func (e *pausingEngine) State(ctx context.Context) (State, error) {
	now := time.Now()
	if !e.failsFrom.IsZero() && !now.Before(e.failsFrom) {
		return State{}, errors.New("connection refused")
	}
	if now.Before(e.silentFrom) || !now.Before(e.silentUntil) {
		return e.state, nil
	}
	ctx, cancel := context.WithTimeout(ctx, statePollTimeout)
	defer cancel()
	select {
	case <-time.After(time.Until(e.silentUntil)):
		return e.state, nil
	case <-ctx.Done():
		return State{}, ctx.Err()
	}
}

// TestPausedEngineCountsAsDown guards against a replica that its agent reports as down, or
// without a version, because the engine pauses, and against one that stays after its end.
func TestPausedEngineCountsAsDown(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name   string
		pause  time.Duration
		fails  time.Duration
		downBy time.Duration
	}{
		{name: "1.1 s", pause: 1100 * ms},
		{name: "1.5 s", pause: 1500 * ms},
		{name: "1.9 s", pause: 1900 * ms},
		{name: "silent for long", pause: time.Minute, downBy: 3500 * ms},
		{name: "fails", fails: 1, downBy: 200 * ms},
		{name: "fails after a pause", pause: 1500 * ms, fails: 1500 * ms, downBy: 1700 * ms},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				begin := time.Now().Add(time.Second)
				e := &pausingEngine{
					fakeEngine: &fakeEngine{state: State{Up: true, Model: "m", Version: 2, Incarnation: 7}, staged: versionChunks(2)},
					silentFrom: begin, silentUntil: begin.Add(tc.pause),
				}
				if tc.fails > 0 {
					e.failsFrom = begin.Add(tc.fails)
				}
				l := newLoader(e.fakeEngine, map[string]int{"m": 2}, time.Now())
				l.Engine = e
				done := &loaderRun{loader: l, ended: make(chan struct{})}
				go done.run(ctx)
				var downAt time.Duration
				for time.Sleep(time.Until(begin)); time.Since(begin) < 10*time.Second && downAt == 0; time.Sleep(50 * ms) {
					if s, _ := l.Snapshot(); !s.Up || s.Version != 2 {
						downAt = time.Since(begin)
					}
				}
				cancel()
				<-done.ended
				if tc.downBy == 0 {
					c.Assert(downAt, qt.Equals, time.Duration(0), qt.Commentf("reported as down"))
					return
				}
				c.Assert(downAt > 0 && downAt <= tc.downBy, qt.IsTrue, qt.Commentf("down at %v", downAt))
			})
		})
	}
}

// slowOrders is an engine that answers an order late and reports later that it is busy.
type slowOrders struct {
	*fakeEngine
	answersAfter, busyAfter time.Duration
	// busyFrom is in nanoseconds since 1970, or 0 before the first order.
	busyFrom atomic.Int64
}

func (e *slowOrders) State(context.Context) (State, error) {
	s := e.state
	from := e.busyFrom.Load()
	s.Busy = from > 0 && time.Now().UnixNano() >= from
	return s, nil
}

func (e *slowOrders) Load(ctx context.Context, model string, version int, orders uint64, check func() error) error {
	if err := check(); err != nil {
		return err
	}
	time.Sleep(min(e.answersAfter, orderTimeout))
	e.busyFrom.CompareAndSwap(0, time.Now().Add(e.busyAfter).UnixNano())
	e.state.Orders++
	err := e.fakeEngine.Load(ctx, model, version, orders, func() error { return nil })
	if e.answersAfter > orderTimeout {
		err = context.DeadlineExceeded
	}
	return err
}

// TestPauseInOrderRepeatsIt guards against a second order to load, and requests for an engine
// that loads, because the engine paused before it answered the first order.
func TestPauseInOrderRepeatsIt(t *testing.T) {
	for _, pause := range []time.Duration{0, 1100 * time.Millisecond, 1500 * time.Millisecond, 1900 * time.Millisecond, 3 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				e := &slowOrders{
					fakeEngine:   &fakeEngine{state: State{Up: true, Model: "m", Version: 1, Orders: 5}, staged: versionChunks(2)},
					answersAfter: pause, busyAfter: 300 * time.Millisecond,
				}
				l := newLoader(e.fakeEngine, map[string]int{"m": 2}, time.Now())
				l.Engine = e
				done := &loaderRun{loader: l, ended: make(chan struct{})}
				go done.run(ctx)
				for e.busyFrom.Load() == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				for time.Now().UnixNano() < e.busyFrom.Load() {
					_, draining := l.Snapshot()
					c.Check(draining, qt.IsTrue)
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(time.Second)
				cancel()
				<-done.ended
				c.Assert(e.orders, qt.DeepEquals, []uint64{5})
			})
		})
	}
}
