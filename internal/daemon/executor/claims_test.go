package executor_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/daemon/executor"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/claimer"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

func claimedStart(request, reservation, key, body string) *messenger.AttemptStart {
	start := serviceStart(request, reservation)
	start.GetService().ClaimKey, start.GetService().BodyDigest = key, []byte(body)
	return start
}

// startClaimed reserves and starts a call with a claim key.
func startClaimed(t *testing.T, e *executor.Executor, request, key, body string) *fakeStream {
	return openAttempt(t, e, claimedStart(request, reserve(e, request).GetReservation(), key, body))
}

func claimedCalls(c *qt.C, e *executor.Executor, shards ...uint32) *messenger.ClaimedCallsReply {
	reply, err := e.ClaimedCalls(context.Background(), &messenger.ClaimedCallsRequest{Shards: shards})
	c.Assert(err, qt.IsNil)
	return reply
}

func claimedKeys(c *qt.C, e *executor.Executor) []string {
	var keys []string
	for n := range uint32(claimer.ShardCount) {
		for _, call := range claimedCalls(c, e, n).GetCalls() {
			keys = append(keys, call.GetKey())
		}
	}
	return keys
}

// Guards against a second run of a call whose claim was lost with the store, and
// against a state of the refused attempt that would allow a third one.
func TestClaimKeyRunsOnce(t *testing.T) {
	tests := []struct {
		name string
		// answered is set if the first call ends before the second one starts.
		answered bool
		body     string
		reason   messenger.RefuseReason
		state    messenger.AttemptState
	}{
		{"first call finished", true, "b", messenger.RefuseReason_REFUSE_REASON_CLAIM_KEY_USED, messenger.AttemptState_ATTEMPT_STATE_FINISHED},
		{"first call running", false, "b", messenger.RefuseReason_REFUSE_REASON_CLAIM_KEY_USED, messenger.AttemptState_ATTEMPT_STATE_RUNNING},
		{"other body", true, "other", messenger.RefuseReason_REFUSE_REASON_CLAIM_KEY_MISMATCH, messenger.AttemptState_ATTEMPT_STATE_BROKEN},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				e, service := newServiceExecutor()
				first := startClaimed(t, e, "r1", "team/ledger/1", "b")
				if tt.answered {
					service.answers <- adapter.ServiceAnswer{Status: 201, Body: []byte("stored")}
					c.Assert(first.last().GetAnswer().GetStatus(), qt.Equals, uint32(201))
				}
				second := startClaimed(t, e, "r2", "team/ledger/1", tt.body)
				c.Assert(second.refuseReason(), qt.Equals, tt.reason)
				c.Assert(service.callCount(), qt.Equals, 1)
				c.Assert(statusOf(e, "r2").GetState(), qt.Equals, tt.state)
				c.Assert(cancelAttempt(e, "r2"), qt.Equals, tt.state)
				if !tt.answered {
					service.answers <- adapter.ServiceAnswer{Status: 201, Body: []byte("stored")}
					c.Assert(first.last().GetAnswer().GetStatus(), qt.Equals, uint32(201))
				}
				if tt.body == "b" {
					c.Assert(string(statusOf(e, "r2").GetAnswer().GetBody()), qt.Equals, "stored")
				}
				// The refused call holds no slot.
				c.Assert(e.InProgress(), qt.Equals, 0)
				// The status of the first call ends before that of the refused one.
				time.Sleep(executor.RetentionTime - time.Second)
				c.Assert(statusOf(e, "r2").GetState(), qt.Not(qt.Equals), messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED)
			})
		})
	}
}

// Guards against a call that is listed as started although it has not started, and
// against one that starts after the list was given without it.
func TestClaimedCallsListsStartedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, service := newServiceExecutor()
		const key = "team/ledger/1"
		reservation := reserve(e, "r1").GetReservation()
		c.Assert(claimedKeys(c, e), qt.HasLen, 0)
		time.Sleep(executor.ReservationTime)
		c.Assert(claimedKeys(c, e), qt.HasLen, 0)
		late := openAttempt(t, e, claimedStart("r1", reservation, key, "b"))
		c.Assert(late.refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_RESERVATION_EXPIRED)
		c.Assert(claimedKeys(c, e), qt.HasLen, 0)

		running := startClaimed(t, e, "r2", key, "b")
		c.Assert(claimedKeys(c, e), qt.DeepEquals, []string{key})
		time.Sleep(3 * time.Second)
		calls := claimedCalls(c, e, uint32(claimer.ShardOf(key))).GetCalls()
		c.Assert(calls[0].GetAgeMs(), qt.Equals, int64(3000))
		c.Assert(calls[0].GetAttempt().GetRequestId(), qt.Equals, "r2")
		c.Assert(string(calls[0].GetBodyDigest()), qt.Equals, "b")

		// A trial waits until it is alone, and its reservation is used up.
		start := claimedStart("r3", reserve(e, "r3").GetReservation(), "team/ledger/2", "b")
		start.Alone = true
		trial := openAttempt(t, e, start)
		c.Assert(claimedKeys(c, e), qt.HasLen, 2)
		c.Assert(cancelAttempt(e, "r3"), qt.Equals, messenger.AttemptState_ATTEMPT_STATE_NEVER_STARTED)
		c.Assert(trial.refuseReason(), qt.Equals, messenger.RefuseReason_REFUSE_REASON_CANCELLED)
		c.Assert(claimedKeys(c, e), qt.DeepEquals, []string{key})
		service.answers <- adapter.ServiceAnswer{Status: 201}
		c.Assert(running.last().GetAnswer().GetStatus(), qt.Equals, uint32(201))
		c.Assert(claimedKeys(c, e), qt.DeepEquals, []string{key})
		time.Sleep(executor.RetentionTime)
		c.Assert(claimedKeys(c, e), qt.HasLen, 0)
	})
}

// Guards against calls with claim keys that take memory without bound, and against a
// list that is given as complete although calls were forgotten.
func TestClaimedCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e, service := newServiceExecutor()
		service.answers = make(chan adapter.ServiceAnswer, executor.MaxClaimedCalls+1)
		for n := range executor.MaxClaimedCalls + 1 {
			if n == executor.MaxClaimedCalls {
				c.Assert(claimedCalls(c, e).GetIncomplete(), qt.IsFalse)
			}
			service.answers <- adapter.ServiceAnswer{Status: 201}
			startClaimed(t, e, fmt.Sprint("r", n), fmt.Sprint("team/ledger/", n), "b")
		}
		c.Assert(claimedKeys(c, e), qt.HasLen, executor.MaxClaimedCalls)
		c.Assert(claimedCalls(c, e).GetIncomplete(), qt.IsTrue)
		time.Sleep(executor.RetentionTime)
		c.Assert(claimedKeys(c, e), qt.HasLen, 0)
		c.Assert(claimedCalls(c, e).GetIncomplete(), qt.IsFalse)
	})
}
