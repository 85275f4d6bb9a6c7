package agent

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/daemon/executor"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// silentProcess is an engine or a service that does not answer between two times, or fails
// from a time on.
type silentProcess struct {
	adapter.Engine
	adapter.Service
	silentFrom, silentUntil, failsFrom time.Time
}

func (p *silentProcess) answer(ctx context.Context) error {
	if now := time.Now(); !p.failsFrom.IsZero() && !now.Before(p.failsFrom) {
		return errors.New("connection refused")
	} else if now.Before(p.silentFrom) || !now.Before(p.silentUntil) {
		return nil
	}
	select {
	case <-time.After(time.Until(p.silentUntil)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *silentProcess) State(ctx context.Context) (adapter.EngineState, error) {
	err := p.answer(ctx)
	if err != nil {
		return adapter.EngineState{}, &adapter.EngineError{Operation: "state", Started: true, Cause: err}
	}
	return adapter.EngineState{Instance: "engine-1", Version: "v1"}, nil
}

func (p *silentProcess) PrefixEvents(context.Context, uint64) ([]adapter.PrefixEvent, error) {
	return nil, nil
}

func (p *silentProcess) Healthy(ctx context.Context) error { return p.answer(ctx) }

type backendLoop struct {
	backend *backend
	ctx     context.Context
}

func (l *backendLoop) run() { _ = l.backend.serve(l.ctx) }

// TestPausedProcessCountsAsDown guards against a replica that is withdrawn because its
// process pauses, and against one that stays after its process has ended.
func TestPausedProcessCountsAsDown(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name   string
		pause  time.Duration
		fails  time.Duration
		downBy time.Duration
	}{
		{name: "no pause"},
		{name: "1.1 s", pause: 1100 * ms},
		{name: "1.5 s", pause: 1500 * ms},
		{name: "1.9 s", pause: 1900 * ms},
		{name: "silent for long", pause: time.Minute, downBy: 5 * time.Second},
		{name: "fails", fails: 1, downBy: 300 * ms},
		{name: "fails after a pause", pause: 1500 * ms, fails: 1500 * ms, downBy: 1800 * ms},
	}
	for _, tc := range tests {
		for _, kind := range []string{"engine", "service"} {
			t.Run(tc.name+"/"+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					begin := time.Now().Add(time.Second)
					p := &silentProcess{silentFrom: begin, silentUntil: begin.Add(tc.pause)}
					if tc.fails > 0 {
						p.failsFrom = begin.Add(tc.fails)
					}
					b := &backend{Weights: &fakeWeights{}, Orders: &orders{}, Executor: &executor.Executor{}, Log: zap.NewNop()}
					if kind == "engine" {
						b.Engine = p
					} else {
						b.Service = p
					}
					go (&backendLoop{b, ctx}).run()
					var downAt time.Duration
					for time.Sleep(time.Until(begin)); time.Since(begin) < 10*time.Second && downAt == 0; time.Sleep(50 * ms) {
						if up, _, _ := b.status(); !up {
							downAt = time.Since(begin)
						}
					}
					if tc.downBy == 0 {
						c.Assert(downAt, qt.Equals, time.Duration(0), qt.Commentf("counts as down"))
						return
					}
					c.Assert(downAt > 0 && downAt <= tc.downBy, qt.IsTrue, qt.Commentf("down at %v", downAt))
				})
			})
		}
	}
}
