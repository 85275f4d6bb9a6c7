package executor_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/daemon/executor"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// Guards against running a start that arrives after the agent has replied that
// the attempt will never start (G3).
func TestStartAfterCancelIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, engine := newModelExecutor(4)
		c.Assert(cancelAttempt(e, "r1"), qt.Equals, messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED)
		time.Sleep(executor.RetentionTime - time.Second)
		late := openAttempt(t, e, modelStart("r1"))
		c.Assert(late.refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_CANCELLED)
		c.Assert(engine.startedIDs(), qt.HasLen, 0)
	})
}

// Guards against streams without a start frame that stay open forever.
func TestStreamWithoutStartEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, _ := newModelExecutor(1)
		began := time.Now()
		s := openAttempt(t, e, nil)
		<-s.ended
		c.Assert(time.Since(began), qt.Equals, 5*time.Second)
	})
}

// Guards against a cancel frame that is recorded by the agent but not forwarded
// to the engine.
func TestCancelFrameStopsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, engine := newModelExecutor(1)
		s := openAttempt(t, e, modelStart("r1"))
		s.frames <- &messenger.AttemptFrame{Frame: &messenger.AttemptFrame_Cancel{Cancel: &messenger.AttemptCancel{}}}
		c.Assert(s.last().GetBroken(), qt.IsNotNil)
		c.Assert(engine.canceled, qt.Contains, "r1.1")
	})
}

// Guards against a waiting attempt that starts after its cancel was confirmed.
func TestCancelOfWaitingAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, engine := newModelExecutor(1)
		openAttempt(t, e, modelStart("r1"))
		waiting := openAttempt(t, e, modelStart("r2"))
		c.Assert(cancelAttempt(e, "r2"), qt.Equals, messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED)
		c.Assert(waiting.refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_CANCELLED)
		engine.sendEnd("r1.1", 0)
		c.Assert(engine.startedIDs(), qt.DeepEquals, []string{"r1.1"})
		c.Assert(statusOf(e, "r2").GetState(), qt.Equals, messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED)
		c.Assert(openAttempt(t, e, modelStart("r2")).refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_CANCELLED)
	})
}

// Guards against a NEVER_STARTED reply that the agent cannot guarantee: at the
// limit of retained records, adding one would remove that of an older canceled
// attempt, which could then start.
func TestCancelIsNotGuaranteedAtRecordLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, _ := newModelExecutor(1)
		for i := range executor.MaxRetainedRecords {
			c.Assert(cancelAttempt(e, fmt.Sprint(i)), qt.Equals, messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED)
		}
		c.Assert(cancelAttempt(e, "one more"), qt.Equals, messenger.AttemptState_ATTEMPT_STATE_FORGOTTEN)
		c.Assert(openAttempt(t, e, modelStart("0")).refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_CANCELLED)
		time.Sleep(executor.RetentionTime)
		c.Assert(cancelAttempt(e, "one more"), qt.Equals, messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED)
	})
}

// Guards against a non-idempotent call that starts late, twice, for another
// attempt, or without a reservation (G4).
func TestReservations(t *testing.T) {
	tests := []struct {
		name   string
		wait   time.Duration
		start  func(reservation string) *messenger.AttemptStart
		reason messenger.RefuseReason
	}{
		{"in time", executor.ReservationTime - 1, func(r string) *messenger.AttemptStart { return serviceStart("r1", r) }, messenger.RefuseReason_REFUSE_REASON_UNSPECIFIED},
		{"expired", executor.ReservationTime, func(r string) *messenger.AttemptStart { return serviceStart("r1", r) }, messenger.RefuseReason_REFUSE_REASON_RESERVATION_EXPIRED},
		{"other attempt", 0, func(r string) *messenger.AttemptStart { return serviceStart("r2", r) }, messenger.RefuseReason_REFUSE_REASON_RESERVATION_EXPIRED},
		{"wrong reservation", 0, func(string) *messenger.AttemptStart { return serviceStart("r1", "other") }, messenger.RefuseReason_REFUSE_REASON_RESERVATION_EXPIRED},
		{"none", 0, func(string) *messenger.AttemptStart { return serviceStart("r1", "") }, messenger.RefuseReason_REFUSE_REASON_RESERVATION_EXPIRED},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				e, service := newServiceExecutor()
				reservation := reserve(e, "r1").GetReservation()
				c.Assert(reservation, qt.Not(qt.Equals), "")
				time.Sleep(test.wait)
				s := openAttempt(t, e, test.start(reservation))
				c.Assert(s.refuseReason(), qt.Equals, test.reason)
				if test.reason != messenger.RefuseReason_REFUSE_REASON_UNSPECIFIED {
					c.Assert(service.callCount(), qt.Equals, 0)
					return
				}
				service.answers <- adapter.ServiceAnswer{Status: 201}
				c.Assert(s.last().GetAnswer().GetStatus(), qt.Equals, uint32(201))
				again := openAttempt(t, e, test.start(reservation))
				c.Assert(again.refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_DUPLICATE)
				c.Assert(service.callCount(), qt.Equals, 1)
			})
		})
	}
}

// Guards against expired reservations that keep their slots.
func TestExpiredReservationFreesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, _ := newServiceExecutor()
		e.MaxRunning = 1
		c.Assert(reserve(e, "r1").GetRefused(), qt.IsNil)
		c.Assert(reserve(e, "r2").GetRefused().GetReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_OVERLOADED)
		time.Sleep(executor.ReservationTime)
		c.Assert(reserve(e, "r2").GetRefused(), qt.IsNil)
		c.Assert(statusOf(e, "r1").GetState(), qt.Equals, messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED)
	})
}

// Guards against a restarted agent that runs attempts sent to its previous
// incarnation, or reports on the attempts of that incarnation.
func TestOldIncarnationIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, engine := newModelExecutor(1)
		old := modelStart("r1")
		old.Incarnation = "incarnation-1"
		c.Assert(openAttempt(t, e, old).refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_WRONG_INCARNATION)
		c.Assert(engine.startedIDs(), qt.HasLen, 0)
		reply, err := e.Cancel(context.Background(), &messenger.CancelRequest{Id: idOf("r1"), Incarnation: "incarnation-1"})
		c.Assert(err, qt.IsNil)
		c.Assert(reply.GetState(), qt.Equals, messenger.AttemptState_ATTEMPT_STATE_FORGOTTEN)
	})
}

// Guards against a crash report that omits a running request or lists one that
// was not running.
func TestCrashReportsWhatWasInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, engine := newModelExecutor(3)
		openAttempt(t, e, modelStart("r0"))
		engine.sendEnd("r0.1", 0)
		var streams []*fakeStream
		for _, request := range []string{"r1", "r2", "r3"} {
			streams = append(streams, openAttempt(t, e, modelStart(request)))
		}
		waiting := openAttempt(t, e, modelStart("r4"))
		engine.sendPiece("r1.1", adapter.GeneratedTokens{Tokens: []string{"a", "b"}, Version: "v1"})
		engine.crash()
		for i, s := range streams {
			broken := s.last().GetBroken()
			c.Assert(broken.GetBackendCrashed(), qt.IsTrue)
			inProgress := slices.Sorted(slices.Values(broken.GetInProgress()))
			c.Assert(inProgress, qt.DeepEquals, []string{"fingerprint-r1", "fingerprint-r2", "fingerprint-r3"}, qt.Commentf("stream %d", i))
		}
		c.Assert(streams[0].last().GetBroken().GetTokenCount(), qt.Equals, uint32(2))
		c.Assert(waiting.refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_NOT_READY)
		c.Assert(openAttempt(t, e, modelStart("r5")).refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_NOT_READY)
	})
}

// Guards against treating a single broken connection as a crash, which would
// make unrelated requests suspects.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, engine := newModelExecutor(2)
		s := openAttempt(t, e, modelStart("r1"))
		close(engine.streams["r1.1"].broken)
		c.Assert(s.last().GetBroken(), qt.IsNotNil)
		c.Assert(s.last().GetBroken().GetBackendCrashed(), qt.IsFalse)
		c.Assert(statusOf(e, "r1").GetState(), qt.Equals, messenger.AttemptState_ATTEMPT_STATE_BROKEN)
	})
}

// Guards against a crash that is recorded because the engine pauses when its process is
// checked after a broken connection.
func TestPauseIsNoCrash(t *testing.T) {
	for _, pause := range []time.Duration{1100 * time.Millisecond, 1500 * time.Millisecond, 1900 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			e, engine := newModelExecutor(2)
			s := openAttempt(t, e, modelStart("r1"))
			other := openAttempt(t, e, modelStart("r2"))
			engine.mu.Lock()
			engine.pausedUntil = time.Now().Add(pause)
			engine.mu.Unlock()
			close(engine.streams["r1.1"].broken)
			time.Sleep(pause)
			c.Assert(s.last().GetBroken(), qt.IsNotNil)
			c.Assert(s.last().GetBroken().GetBackendCrashed(), qt.IsFalse)
			engine.sendEnd("r2.1", 0)
			c.Assert(other.last().GetEnd(), qt.IsNotNil)
			c.Assert(openAttempt(t, e, modelStart("r3")).last().GetAccepted(), qt.IsNotNil)
		})
	}
}

// Guards against a drain that interrupts running attempts or admits new ones.
func TestDrainFinishesRunningAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, engine := newModelExecutor(1)
		running := openAttempt(t, e, modelStart("r1"))
		waiting := openAttempt(t, e, modelStart("r2"))
		e.Drain()
		c.Assert(waiting.refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_DRAINING)
		c.Assert(openAttempt(t, e, modelStart("r3")).refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_DRAINING)
		began := time.Now()
		waiter := &idleWaiter{executor: e}
		go waiter.run()
		time.Sleep(5 * time.Minute)
		engine.sendPiece("r1.1", adapter.GeneratedTokens{Tokens: []string{"a"}, Version: "v1"})
		c.Assert(waiter.idleAt.IsZero(), qt.IsTrue)
		engine.sendEnd("r1.1", 1)
		c.Assert(running.last().GetEnd().GetTokenCount(), qt.Equals, uint32(1))
		c.Assert(waiter.idleAt.Sub(began), qt.Equals, 5*time.Minute)
	})
}

type idleWaiter struct {
	executor *executor.Executor
	idleAt   time.Time
}

func (w *idleWaiter) run() {
	if w.executor.WaitIdle(context.Background()) == nil {
		w.idleAt = time.Now()
	}
}

// Guards against a drain that refuses the start of a call with a reservation.
func TestDrainKeepsReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, service := newServiceExecutor()
		reservation := reserve(e, "r1").GetReservation()
		e.Drain()
		c.Assert(reserve(e, "r2").GetRefused().GetReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_DRAINING)
		s := openAttempt(t, e, serviceStart("r1", reservation))
		service.answers <- adapter.ServiceAnswer{Status: 200}
		c.Assert(s.last().GetAnswer().GetStatus(), qt.Equals, uint32(200))
		c.Assert(e.WaitIdle(context.Background()), qt.IsNil)
	})
}

// Guards against attempts that begin in an evacuated failure domain because an entry
// daemon does not know of the evacuation, against an evacuation that breaks running
// attempts, and against one that does not end.
func TestEvacuationRefusesNewAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, engine := newModelExecutor(1)
		running := openAttempt(t, e, modelStart("r1"))
		waiting := openAttempt(t, e, modelStart("r2"))
		e.SetEvacuated(true)
		c.Assert(waiting.refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_DRAINING)
		c.Assert(openAttempt(t, e, modelStart("r3")).refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_DRAINING)
		c.Assert(e.Load(time.Now()).GetDraining(), qt.IsTrue)
		engine.sendEnd("r1.1", 0)
		c.Assert(running.last().GetEnd(), qt.IsNotNil)
		e.SetEvacuated(false)
		c.Assert(e.Load(time.Now()).GetDraining(), qt.IsFalse)
		openAttempt(t, e, modelStart("r4"))
		c.Assert(engine.startedIDs(), qt.DeepEquals, []string{"r1.1", "r4.1"})
	})
}

// Guards against a call that begins in an evacuated failure domain with a reservation
// from before, and against its slot that is not freed.
func TestEvacuationRefusesReservedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, _ := newServiceExecutor()
		reservation := reserve(e, "r1").GetReservation()
		e.SetEvacuated(true)
		c.Assert(reserve(e, "r2").GetRefused().GetReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_DRAINING)
		c.Assert(openAttempt(t, e, serviceStart("r1", reservation)).refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_DRAINING)
		c.Assert(e.InProgress(), qt.Equals, 0)
		c.Assert(cancelAttempt(e, "r1"), qt.Equals, messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED)
	})
}

// Guards against attempts that run while the engine switches versions (G1).
func TestHoldWaitsForRunningAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, engine := newModelExecutor(1)
		openAttempt(t, e, modelStart("r1"))
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		c.Assert(e.Hold(ctx), qt.Equals, context.DeadlineExceeded)
		c.Assert(openAttempt(t, e, modelStart("r2")).refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_NOT_READY)
		engine.sendEnd("r1.1", 0)
		c.Assert(e.Hold(context.Background()), qt.IsNil)
		e.Release()
		e.Release()
		openAttempt(t, e, modelStart("r3"))
		c.Assert(engine.startedIDs(), qt.DeepEquals, []string{"r1.1", "r3.1"})
	})
}

// Guards against running the same attempt twice.
func TestDuplicateAttemptIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, engine := newModelExecutor(4)
		openAttempt(t, e, modelStart("r1"))
		c.Assert(openAttempt(t, e, modelStart("r1")).refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_DUPLICATE)
		engine.sendEnd("r1.1", 0)
		c.Assert(openAttempt(t, e, modelStart("r1")).refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_DUPLICATE)
		c.Assert(engine.startedIDs(), qt.HasLen, 1)
	})
}

// Guards against an engine that ignores cancels and keeps its slot occupied, or
// whose late tokens still reach the caller.
func TestEngineThatIgnoresCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, engine := newModelExecutor(1)
		s := openAttempt(t, e, modelStart("r1"))
		engine.sendPiece("r1.1", adapter.GeneratedTokens{Tokens: []string{"a"}, Version: "v1"})
		c.Assert(cancelAttempt(e, "r1"), qt.Equals, messenger.AttemptState_ATTEMPT_STATE_RUNNING)
		c.Assert(s.last().GetBroken().GetTokenCount(), qt.Equals, uint32(1))
		engine.sendPiece("r1.1", adapter.GeneratedTokens{Offset: 1, Tokens: []string{"b"}, Version: "v1"})
		c.Assert(s.tokens(), qt.DeepEquals, []string{"a"})
		c.Assert(engine.canceled, qt.Contains, "r1.1")
		c.Assert(e.InProgress(), qt.Equals, 0)
	})
}

// Guards against answers with gaps, repeated tokens, a wrong count or mixed
// versions (G1, G2).
func TestWrongPiecesBreakTheAttempt(t *testing.T) {
	tests := []struct {
		name   string
		pieces []adapter.GeneratedTokens
	}{
		{"gap", []adapter.GeneratedTokens{{Offset: 0, Tokens: []string{"a"}, Version: "v1"}, {Offset: 2, Tokens: []string{"c"}, Version: "v1"}}},
		{"repeated", []adapter.GeneratedTokens{{Offset: 0, Tokens: []string{"a"}, Version: "v1"}, {Offset: 0, Tokens: []string{"a"}, Version: "v1"}}},
		{"count", []adapter.GeneratedTokens{{Offset: 0, Tokens: []string{"a"}, Version: "v1"}, {Offset: 1, End: true, TokenCount: 2, Version: "v1"}}},
		{"version", []adapter.GeneratedTokens{{Offset: 0, Tokens: []string{"a"}, Version: "v1"}, {Offset: 1, Tokens: []string{"b"}, Version: "v2"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				e, engine := newModelExecutor(1)
				s := openAttempt(t, e, modelStart("r1"))
				for _, p := range test.pieces {
					engine.sendPiece("r1.1", p)
				}
				c.Assert(s.last().GetBroken().GetTokenCount(), qt.Equals, uint32(1))
				c.Assert(s.tokens(), qt.DeepEquals, []string{"a"})
			})
		})
	}
}

// Guards against a wrong order of waiting attempts under load, and against
// attempts that start after their deadline.
func TestAdmissionOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, engine := newModelExecutor(1)
		withPriority := func(request string, p messenger.Priority) *messenger.AttemptStart {
			start := modelStart(request)
			start.Priority = p
			return start
		}
		openAttempt(t, e, modelStart("r1"))
		batch := openAttempt(t, e, withPriority("r2", messenger.Priority_PRIORITY_BATCH))
		openAttempt(t, e, withPriority("r3", messenger.Priority_PRIORITY_STANDARD))
		openAttempt(t, e, withPriority("r4", messenger.Priority_PRIORITY_INTERACTIVE))
		c.Assert(batch.refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_OVERLOADED)
		engine.sendEnd("r1.1", 0)
		c.Assert(engine.startedIDs(), qt.DeepEquals, []string{"r1.1", "r4.1"})
		withDeadline := withPriority("r5", messenger.Priority_PRIORITY_INTERACTIVE)
		withDeadline.RemainingMs = 100
		late := openAttempt(t, e, withDeadline)
		time.Sleep(100 * time.Millisecond)
		c.Assert(late.refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_DEADLINE)
		engine.sendEnd("r4.1", 0)
		c.Assert(engine.startedIDs(), qt.DeepEquals, []string{"r1.1", "r4.1", "r3.1"})
	})
}

// Guards against a trial run that overlaps with other requests, which a crash
// would make suspects too.
func TestAloneRunsWithNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, engine := newModelExecutor(4)
		openAttempt(t, e, modelStart("r1"))
		alone := modelStart("r2")
		alone.Alone = true
		openAttempt(t, e, alone)
		openAttempt(t, e, modelStart("r3"))
		c.Assert(engine.startedIDs(), qt.DeepEquals, []string{"r1.1"})
		engine.sendEnd("r1.1", 0)
		c.Assert(engine.startedIDs(), qt.DeepEquals, []string{"r1.1", "r2.1"})
		engine.sendEnd("r2.1", 0)
		c.Assert(engine.startedIDs(), qt.DeepEquals, []string{"r1.1", "r2.1", "r3.1"})
	})
}

// Guards against losing the outcome of a service call whose caller disconnects.
func TestServiceCallOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, service := newServiceExecutor()
		s := openAttempt(t, e, serviceStart("r1", reserve(e, "r1").GetReservation()))
		s.disconnect()
		synctest.Wait()
		c.Assert(statusOf(e, "r1").GetState(), qt.Equals, messenger.AttemptState_ATTEMPT_STATE_RUNNING)
		service.answers <- adapter.ServiceAnswer{Status: 201, Body: []byte("order 7")}
		synctest.Wait()
		status := statusOf(e, "r1")
		c.Assert(status.GetState(), qt.Equals, messenger.AttemptState_ATTEMPT_STATE_FINISHED)
		c.Assert(string(status.GetAnswer().GetBody()), qt.Equals, "order 7")
		time.Sleep(executor.RetentionTime)
		c.Assert(statusOf(e, "r1").GetState(), qt.Equals, messenger.AttemptState_ATTEMPT_STATE_FORGOTTEN)
	})
}

// Guards against attempts on an engine whose version is not verified or differs
// from the requested one (G1).
func TestUnverifiedVersionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, engine := newModelExecutor(1)
		start := modelStart("r1")
		start.GetModel().Version = "v2"
		c.Assert(openAttempt(t, e, start).refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_WRONG_VERSION)
		e.Versions = &fakeVersions{}
		c.Assert(openAttempt(t, e, modelStart("r2")).refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_NOT_READY)
		c.Assert(engine.startedIDs(), qt.HasLen, 0)
	})
}
