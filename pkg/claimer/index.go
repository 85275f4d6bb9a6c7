package claimer

import (
	"bytes"
	"container/list"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// maxAnswerBytesHeld bounds the answers that one shard remembers. The oldest
// answers are dropped first; their outcomes stay.
const maxAnswerBytesHeld = 16 << 20

// index is what the segments of one shard say, replayed in order.
type index struct {
	keys map[string]*record
	// order holds the keys by claim time, oldest first, for expiry.
	order *list.List
	// answers holds the records with an answer, oldest first, and held their
	// elements by key.
	answers     *list.List
	held        map[string]*list.Element
	answerBytes int
}

func newIndex() *index {
	return &index{keys: map[string]*record{}, order: list.New(), answers: list.New(), held: map[string]*list.Element{}}
}

// apply replays one record.
func (x *index) apply(r record) {
	known := x.keys[r.Key]
	if known == nil || known.ClaimedMS != r.ClaimedMS {
		x.order.PushBack(&agedKey{key: r.Key, claimedMS: r.ClaimedMS})
	}
	if known != nil {
		x.forgetAnswer(known)
	}
	stored := r
	x.keys[r.Key] = &stored
	if stored.Answer != nil {
		x.answerBytes += stored.answerBytes()
		x.held[r.Key] = x.answers.PushBack(&stored)
	}
	x.dropOldAnswers()
}

// expire forgets keys that were claimed before the time.
func (x *index) expire(before time.Time) {
	for front := x.order.Front(); front != nil; front = x.order.Front() {
		aged := front.Value.(*agedKey)
		if aged.claimedMS >= before.UnixMilli() {
			return
		}
		x.order.Remove(front)
		r := x.keys[aged.key]
		if r != nil && r.ClaimedMS == aged.claimedMS {
			x.forgetAnswer(r)
			delete(x.keys, aged.key)
		}
	}
}

// answerClaim decides a claim. It returns the reply, or the record to write
// when the claim can be granted.
func (x *index) answerClaim(req *messenger.ClaimRequest, maxKeys int, retention time.Duration, now time.Time) (*messenger.ClaimReply, *record) {
	known := x.keys[req.GetKey()]
	if known == nil {
		if len(x.keys) >= maxKeys {
			return &messenger.ClaimReply{State: messenger.ClaimState_CLAIM_STATE_UNAVAILABLE}, nil
		}
		r := claimRecord(req, now)
		return nil, &r
	}
	if !bytes.Equal(known.BodyDigest, req.GetBodyDigest()) {
		return known.reply(messenger.ClaimState_CLAIM_STATE_MISMATCH, retention), nil
	}
	switch {
	case known.Outcome == OutcomeServed:
		return known.reply(messenger.ClaimState_CLAIM_STATE_DONE, retention), nil
	case known.Outcome == OutcomeNotRun:
		r := claimRecord(req, now)
		r.ClaimedMS = known.ClaimedMS
		return nil, &r
	case known.isAttempt(req.GetAttempt()):
		// The same attempt asks again because the answer was lost.
		return known.reply(messenger.ClaimState_CLAIM_STATE_GRANTED, retention), nil
	}
	return known.reply(messenger.ClaimState_CLAIM_STATE_IN_PROGRESS, retention), nil
}

// answerComplete decides an outcome. It returns the record to write, or nil
// when nothing is to be written.
func (x *index) answerComplete(req *messenger.CompleteClaimRequest) (recorded bool, r *record) {
	known := x.keys[req.GetKey()]
	if known == nil || !known.isAttempt(req.GetAttempt()) {
		return false, nil
	}
	if known.Outcome == req.GetOutcome() || known.Outcome == OutcomeServed {
		return known.Outcome == req.GetOutcome(), nil
	}
	updated := *known
	updated.Outcome = req.GetOutcome()
	updated.Answer = storeAnswer(req.GetAnswer())
	updated.AnswerSize = len(req.GetAnswer().GetBody())
	return true, &updated
}

func (x *index) dropOldAnswers() {
	for x.answerBytes > maxAnswerBytesHeld {
		front := x.answers.Front()
		if front == nil {
			return
		}
		x.forgetAnswer(front.Value.(*record))
	}
}

// forgetAnswer drops the answer of a record, but not its outcome.
func (x *index) forgetAnswer(r *record) {
	e := x.held[r.Key]
	if e == nil {
		return
	}
	x.answerBytes -= r.answerBytes()
	x.answers.Remove(e)
	delete(x.held, r.Key)
	r.Answer = nil
}

type agedKey struct {
	key       string
	claimedMS int64
}

func (r *record) answerBytes() int {
	if r.Answer == nil {
		return 0
	}
	return r.Answer.size()
}

// encodedBytes estimates the size of the record in JSON, where the answer is in
// base64.
func (r *record) encodedBytes() int {
	return r.answerBytes()*4/3 + len(r.Key) + recordBytes
}

func (r *record) reply(state messenger.ClaimState, retention time.Duration) *messenger.ClaimReply {
	return &messenger.ClaimReply{
		State:            state,
		Answer:           r.Answer.message(),
		Attempt:          &messenger.AttemptId{RequestId: r.RequestID, Number: r.Attempt},
		AgentAddress:     r.Agent,
		AgentIncarnation: r.Incarnation,
		ExpiresMs:        r.ClaimedMS + retention.Milliseconds(),
		Outcome:          r.Outcome,
	}
}
