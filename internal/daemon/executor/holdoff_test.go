package executor_test

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/daemon/executor"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const overloaded = messenger.RefuseReason_REFUSE_REASON_OVERLOADED

// TestServiceThatHoldsOffIsCalled guards against calls to a service that has asked for none
// for a time, and against refusing calls after that time or without such an answer.
func TestServiceThatHoldsOffIsCalled(t *testing.T) {
	tests := []struct {
		name   string
		status int
		after  []string
		at     time.Duration
		held   bool
	}{
		{"during the time", 503, []string{"2"}, 1900 * time.Millisecond, true},
		{"fractions", 503, []string{"0.5"}, 400 * time.Millisecond, true},
		{"the longest of two", 503, []string{"1", "2"}, 1900 * time.Millisecond, true},
		{"after the time", 503, []string{"2"}, 2 * time.Second, false},
		{"without a time", 503, nil, 0, false},
		{"malformed", 503, []string{"soon"}, 0, false},
		{"negative", 503, []string{"-2"}, 0, false},
		{"another failure", 500, []string{"2"}, 0, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				e, service := newServiceExecutor()
				service.answers <- adapter.ServiceAnswer{Status: tc.status, Header: http.Header{"Retry-After": tc.after}}
				first := openAttempt(t, e, serviceStart("r1", reserve(e, "r1").GetReservation()))
				c.Assert(int(first.last().GetAnswer().GetStatus()), qt.Equals, tc.status)
				time.Sleep(tc.at)
				reply := reserve(e, "r2")
				c.Assert(reply.GetRefused() != nil, qt.Equals, tc.held)
				if tc.held {
					c.Assert(reply.GetRefused().GetReason(), qt.Equals, overloaded)
					c.Assert(reply.GetRefused().GetRetryAfterMs(), qt.Equals, int64(100))
				}
			})
		})
	}
}

// TestEngineThatHoldsOffIsCalled guards against calls to an engine that has asked for none
// for a time, and against refusing calls after its restart.
func TestEngineThatHoldsOffIsCalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, engine := newModelExecutor(1)
		engine.refusal = &adapter.EngineError{Operation: "generate", Status: 503, RetryAfter: []string{"2"}, Cause: errors.New("busy")}
		refused := openAttempt(t, e, modelStart("r1")).last().GetRefused()
		c.Assert(refused.GetReason(), qt.Equals, overloaded)
		c.Assert(refused.GetRetryAfterMs(), qt.Equals, int64(2000))
		engine.mu.Lock()
		engine.refusal = nil
		engine.mu.Unlock()
		time.Sleep(time.Second)
		late := openAttempt(t, e, modelStart("r2")).last().GetRefused()
		c.Assert(late.GetReason(), qt.Equals, overloaded)
		c.Assert(late.GetRetryAfterMs(), qt.Equals, int64(1000))
		e.SetBackend(executor.BackendState{Up: true, Instance: "engine-2"})
		c.Assert(openAttempt(t, e, modelStart("r3")).last().GetAccepted(), qt.IsNotNil)
	})
}

// TestWaitingAttemptIsHeldOff guards against attempts that wait for a place at an engine that
// takes none for a time.
func TestWaitingAttemptIsHeldOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, service := newServiceExecutor()
		e.MaxRunning = 1
		openAttempt(t, e, serviceStart("r1", reserve(e, "r1").GetReservation()))
		idempotent := serviceStart("r2", "")
		idempotent.GetService().Idempotent = true
		waiting := openAttempt(t, e, idempotent)
		c.Assert(waiting.last(), qt.IsNil)
		service.answers <- adapter.ServiceAnswer{Status: 503, Header: http.Header{"Retry-After": {"2"}}}
		c.Assert(waiting.refuseReason(), qt.Equals, overloaded)
		c.Assert(service.callCount(), qt.Equals, 1)
	})
}

// TestSilenceForgetsHoldOff guards against calls to an engine that has asked for none for a
// time, because it did not answer in between.
func TestSilenceForgetsHoldOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, engine := newModelExecutor(1)
		engine.refusal = &adapter.EngineError{Operation: "generate", Status: 503, RetryAfter: []string{"9"}, Cause: errors.New("busy")}
		c.Assert(openAttempt(t, e, modelStart("r1")).last().GetRefused().GetReason(), qt.Equals, overloaded)
		time.Sleep(time.Second)
		e.SetBackend(executor.BackendState{})
		time.Sleep(time.Second)
		e.SetBackend(executor.BackendState{Up: true, Instance: "engine-1"})
		late := openAttempt(t, e, modelStart("r2")).last().GetRefused()
		c.Assert(late.GetReason(), qt.Equals, overloaded)
		c.Assert(late.GetRetryAfterMs(), qt.Equals, int64(7000))
		c.Assert(engine.startedIDs(), qt.HasLen, 0)
	})
}
