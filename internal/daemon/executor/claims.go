package executor

import (
	"bytes"
	"container/list"
	"context"
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/claimer"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// MaxClaimedCalls limits the started calls with a claim key that are remembered.
const MaxClaimedCalls = 65536

var (
	keyUsedRefusal     = refusal{reason: messenger.RefuseReason_REFUSE_REASON_CLAIM_KEY_USED, detail: "a call with the same claim key was started before"}
	keyMismatchRefusal = refusal{reason: messenger.RefuseReason_REFUSE_REASON_CLAIM_KEY_MISMATCH, detail: "a call with the same claim key and another body was started before"}
)

// claimedCalls remembers the started calls that have a claim key for
// RetentionTime. Their claims may be lost in a restore of the object API. Its
// methods are called with the executor's lock held.
type claimedCalls struct {
	byKey map[string]*list.Element
	// calls is ordered by start, oldest first.
	calls *list.List
	// lastEviction is when a call was last forgotten before RetentionTime.
	lastEviction time.Time
}

type claimedCall struct {
	key        string
	bodyDigest []byte
	attempt    attemptKey
	startedAt  time.Time
}

func newClaimedCalls() claimedCalls {
	return claimedCalls{byKey: map[string]*list.Element{}, calls: list.New()}
}

// add remembers a call. It returns the call that was started with the same claim
// key by an earlier attempt, if there is one.
func (c *claimedCalls) add(call *claimedCall, now time.Time) *claimedCall {
	c.expire(now)
	if e := c.byKey[call.key]; e != nil {
		return e.Value.(*claimedCall)
	}
	if c.calls.Len() >= MaxClaimedCalls {
		c.forget(c.calls.Front())
		c.lastEviction = now
	}
	c.byKey[call.key] = c.calls.PushBack(call)
	return nil
}

// remove forgets a call that the backend server did not start.
func (c *claimedCalls) remove(key string, attempt attemptKey) {
	if e := c.byKey[key]; e != nil && e.Value.(*claimedCall).attempt == attempt {
		c.forget(e)
	}
}

func (c *claimedCalls) expire(now time.Time) {
	for e := c.calls.Front(); e != nil && now.Sub(e.Value.(*claimedCall).startedAt) >= RetentionTime; e = c.calls.Front() {
		c.forget(e)
	}
}

func (c *claimedCalls) forget(e *list.Element) {
	delete(c.byKey, c.calls.Remove(e).(*claimedCall).key)
}

func (c *claimedCall) toMessage(now time.Time) *messenger.ClaimedCall {
	return &messenger.ClaimedCall{
		Key: c.key, BodyDigest: c.bodyDigest, AgeMs: now.Sub(c.startedAt).Milliseconds(),
		Attempt: &messenger.AttemptId{RequestId: c.attempt.requestID, Number: c.attempt.number},
	}
}

// ClaimedCalls implements messenger.AgentServer.
func (e *Executor) ClaimedCalls(_ context.Context, req *messenger.ClaimedCallsRequest) (*messenger.ClaimedCallsReply, error) {
	e.initOnce.Do(e.initialize)
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	// Reservations that have expired by now cannot be used after the reply.
	e.table.advance(now)
	claims := &e.table.claims
	claims.expire(now)
	reply := &messenger.ClaimedCallsReply{Incomplete: !claims.lastEviction.IsZero() && now.Sub(claims.lastEviction) < RetentionTime}
	for el := claims.calls.Front(); el != nil; el = el.Next() {
		call := el.Value.(*claimedCall)
		if slices.Contains(req.GetShards(), uint32(claimer.ShardOf(call.key))) {
			reply.Calls = append(reply.Calls, call.toMessage(now))
		}
	}
	return reply, nil
}

// addClaimedCall remembers a call that uses the reservation and is about to start.
// It returns the refusal of a call whose claim key was used by another attempt. The
// refused attempt is not recorded as never started: its claim would be given to a
// further attempt, perhaps at another agent.
func (t *table) addClaimedCall(rec, reservation *record, now time.Time) *refusal {
	if rec.claimKey == "" {
		return nil
	}
	earlier := t.claims.add(&claimedCall{key: rec.claimKey, bodyDigest: rec.bodyDigest, attempt: rec.key, startedAt: now}, now)
	if earlier == nil {
		return nil
	}
	t.recordEnd(reservation, phaseBroken, nil, now)
	if !bytes.Equal(earlier.bodyDigest, rec.bodyDigest) {
		return &keyMismatchRefusal
	}
	reservation.earlier = &earlier.attempt
	return &keyUsedRefusal
}

// resolveEarlier returns the record of the attempt that has used the claim key of a
// refused one, or nil if that is no longer known.
func (t *table) resolveEarlier(rec *record) *record {
	if rec == nil || rec.earlier == nil {
		return rec
	}
	return t.records[*rec.earlier]
}
