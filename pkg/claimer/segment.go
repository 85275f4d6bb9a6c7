package claimer

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// MaxAnswerBytes is the maximum size of an answer, including its headers, that
// is stored with an outcome.
const MaxAnswerBytes = 16 << 10

// record is one entry of a segment. The record of a claim has no outcome. The
// record of an outcome repeats the claim, so that it can be applied without the
// claim's record.
//
//	{"key":"team-7/ledger/order-12","body":"…","request-id":"r1","outcome":"served",…}
type record struct {
	Key         string `json:"key"`
	BodyDigest  []byte `json:"body"`
	RequestID   string `json:"request-id"`
	Attempt     uint32 `json:"attempt"`
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	ClaimedMS   int64  `json:"claimed-unix-ms"`
	// EarlierGrants is the number of earlier attempts that held the claim. It orders
	// the claims of a key, which have the time of the first one.
	EarlierGrants uint32        `json:"earlier-grants,omitempty"`
	Outcome       string        `json:"outcome,omitempty"`
	Answer        *answerRecord `json:"answer,omitempty"`
	AnswerSize    int           `json:"answer-size,omitempty"`

	// started is set for a claim that is known from an agent that has started the
	// call.
	started bool
}

type answerRecord struct {
	Status  uint32         `json:"status"`
	Headers []headerRecord `json:"headers,omitempty"`
	Body    []byte         `json:"body,omitempty"`
}

type headerRecord struct {
	Name   string   `json:"name"`
	Values []string `json:"values"`
}

// segment is the value of one object claims/<shard>/<sequence>.
type segment struct {
	// Writer identifies the write. When its response is lost, the segment is read
	// back to determine whether this write created it.
	Writer  string   `json:"writer"`
	Records []record `json:"records"`
}

// Outcomes of a claimed call.
const (
	OutcomeServed  = "served"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

func segmentPrefix(shard int) string {
	return fmt.Sprintf("claims/%d/", shard)
}

func segmentKey(shard int, sequence uint64) string {
	return fmt.Sprintf("claims/%d/%016d", shard, sequence)
}

// sequenceOf parses the sequence number of a segment key.
func sequenceOf(shard int, key string) (uint64, bool) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, segmentPrefix(shard)), 10, 64)
	if err != nil || segmentKey(shard, n) != key {
		return 0, false
	}
	return n, true
}

func decodeSegment(value []byte) (segment, error) {
	var s segment
	if err := json.Unmarshal(value, &s); err != nil {
		return segment{}, fmt.Errorf("decode claim segment: %w", err)
	}
	return s, nil
}

func newClaimRecord(req *messenger.ClaimRequest, now time.Time) record {
	return record{
		Key:         req.GetKey(),
		BodyDigest:  req.GetBodyDigest(),
		RequestID:   req.GetAttempt().GetRequestId(),
		Attempt:     req.GetAttempt().GetNumber(),
		Agent:       req.GetAgentAddress(),
		Incarnation: req.GetAgentIncarnation(),
		ClaimedMS:   now.UnixMilli(),
	}
}

// isClaimedBy reports whether the key was claimed by the attempt.
func (r record) isClaimedBy(id *messenger.AttemptId) bool {
	return r.RequestID == id.GetRequestId() && r.Attempt == id.GetNumber()
}

// newAnswerRecord returns nil for an answer that exceeds MaxAnswerBytes.
func newAnswerRecord(a *messenger.ServiceAnswer) *answerRecord {
	if a == nil {
		return nil
	}
	r := &answerRecord{Status: a.GetStatus(), Body: a.GetBody()}
	for _, h := range a.GetHeaders() {
		r.Headers = append(r.Headers, headerRecord{Name: h.GetName(), Values: h.GetValues()})
	}
	if r.size() > MaxAnswerBytes {
		return nil
	}
	return r
}

// size returns the size of the answer including its headers, which alone could
// exceed the size limit of an object.
func (a *answerRecord) size() int {
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name)
		for _, value := range h.Values {
			n += len(value)
		}
	}
	return n
}

func (a *answerRecord) toMessage() *messenger.ServiceAnswer {
	if a == nil {
		return nil
	}
	m := &messenger.ServiceAnswer{Status: a.Status, Body: a.Body}
	for _, h := range a.Headers {
		m.Headers = append(m.Headers, &messenger.Header{Name: h.Name, Values: h.Values})
	}
	return m
}
