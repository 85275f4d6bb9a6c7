package claimer

import (
	"bytes"
	"container/list"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// maxRetainedAnswerBytes limits the answers that a shard keeps in memory. The
// oldest answers are evicted first; their outcomes are kept.
const maxRetainedAnswerBytes = 16 << 20

// index is the in-memory state of a shard, built by replaying its segments in
// order.
type index struct {
	keys map[string]*record
	// byClaimTime lists the keys in the order in which they expire.
	byClaimTime *list.List
	// answers lists the records that have an answer, oldest first, and
	// answerElements holds their list elements by key.
	answers        *list.List
	answerElements map[string]*list.Element
	answerBytes    int
}

func newIndex() *index {
	return &index{keys: map[string]*record{}, byClaimTime: list.New(), answers: list.New(), answerElements: map[string]*list.Element{}}
}

// apply adds a record of a segment or snapshot to the index.
func (x *index) apply(r record) {
	existing := x.keys[r.Key]
	if existing == nil || existing.ClaimedMS != r.ClaimedMS {
		x.byClaimTime.PushBack(&claimedKey{key: r.Key, claimedMS: r.ClaimedMS})
	}
	if existing != nil {
		x.dropAnswer(existing)
	}
	stored := r
	x.keys[r.Key] = &stored
	if stored.Answer != nil {
		x.answerBytes += stored.answerBytes()
		x.answerElements[r.Key] = x.answers.PushBack(&stored)
	}
	x.evictAnswers()
}

// expire removes the keys that were claimed before the given time.
func (x *index) expire(before time.Time) {
	for front := x.byClaimTime.Front(); front != nil; front = x.byClaimTime.Front() {
		oldest := front.Value.(*claimedKey)
		if oldest.claimedMS >= before.UnixMilli() {
			return
		}
		x.byClaimTime.Remove(front)
		r := x.keys[oldest.key]
		if r != nil && r.ClaimedMS == oldest.claimedMS {
			x.dropAnswer(r)
			delete(x.keys, oldest.key)
		}
	}
}

// decideClaim returns the reply to a claim, or the record to write before the
// claim is granted.
func (x *index) decideClaim(req *messenger.ClaimRequest, maxKeys int, retention time.Duration, now time.Time) (*messenger.ClaimReply, *record) {
	existing := x.keys[req.GetKey()]
	if existing == nil {
		if len(x.keys) >= maxKeys {
			return &messenger.ClaimReply{State: messenger.ClaimState_CLAIM_STATE_UNAVAILABLE}, nil
		}
		r := newClaimRecord(req, now)
		return nil, &r
	}
	if !bytes.Equal(existing.BodyDigest, req.GetBodyDigest()) {
		return existing.reply(messenger.ClaimState_CLAIM_STATE_MISMATCH, retention), nil
	}
	switch {
	case existing.Outcome == OutcomeServed:
		return existing.reply(messenger.ClaimState_CLAIM_STATE_DONE, retention), nil
	case existing.Outcome == OutcomeNotRun:
		r := newClaimRecord(req, now)
		r.ClaimedMS, r.EarlierGrants = existing.ClaimedMS, existing.EarlierGrants+1
		return nil, &r
	case existing.isClaimedBy(req.GetAttempt()):
		// The attempt repeats its claim because the reply was lost.
		return existing.reply(messenger.ClaimState_CLAIM_STATE_GRANTED, retention), nil
	}
	return existing.reply(messenger.ClaimState_CLAIM_STATE_IN_PROGRESS, retention), nil
}

// decideOutcome returns the record to write for an outcome. The record is nil
// when no write is needed; recorded then reports whether the index already has
// the outcome.
func (x *index) decideOutcome(req *messenger.CompleteClaimRequest) (recorded bool, r *record) {
	existing := x.keys[req.GetKey()]
	if existing == nil || !existing.isClaimedBy(req.GetAttempt()) {
		return false, nil
	}
	// After a restore of the store, a daemon may have written the outcome already without
	// the answer, which daemons do not remember.
	lacksAnswer := existing.Answer == nil && req.GetAnswer() != nil
	switch {
	case existing.Outcome == req.GetOutcome() && !lacksAnswer:
		return true, nil
	case existing.Outcome == OutcomeServed && req.GetOutcome() != OutcomeServed:
		return false, nil
	}
	updated := *existing
	updated.Outcome = req.GetOutcome()
	updated.Answer = newAnswerRecord(req.GetAnswer())
	updated.AnswerSize = len(req.GetAnswer().GetBody())
	return true, &updated
}

func (x *index) evictAnswers() {
	for x.answerBytes > maxRetainedAnswerBytes {
		front := x.answers.Front()
		if front == nil {
			return
		}
		x.dropAnswer(front.Value.(*record))
	}
}

// dropAnswer removes the answer of a record and keeps its outcome.
func (x *index) dropAnswer(r *record) {
	e := x.answerElements[r.Key]
	if e == nil {
		return
	}
	x.answerBytes -= r.answerBytes()
	x.answers.Remove(e)
	delete(x.answerElements, r.Key)
	r.Answer = nil
}

// claimedKey is an element of byClaimTime.
type claimedKey struct {
	key       string
	claimedMS int64
}

func (r *record) answerBytes() int {
	if r.Answer == nil {
		return 0
	}
	return r.Answer.size()
}

// estimatedBytes estimates the size of the record in JSON, which encodes the
// answer in base64.
func (r *record) estimatedBytes() int {
	return r.answerBytes()*4/3 + len(r.Key) + recordOverheadBytes
}

func (r *record) reply(state messenger.ClaimState, retention time.Duration) *messenger.ClaimReply {
	return &messenger.ClaimReply{
		State:            state,
		Answer:           r.Answer.toMessage(),
		Attempt:          &messenger.AttemptId{RequestId: r.RequestID, Number: r.Attempt},
		AgentAddress:     r.Agent,
		AgentIncarnation: r.Incarnation,
		ExpiresMs:        r.ClaimedMS + retention.Milliseconds(),
		Outcome:          r.Outcome,
		EarlierGrants:    r.EarlierGrants,
	}
}
