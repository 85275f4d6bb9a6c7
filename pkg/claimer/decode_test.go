package claimer

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// checkIndex applies the records to an index, expires them and checks the
// bounds of the index.
func checkIndex(t *testing.T, records []record) {
	x := newIndex()
	for _, r := range records {
		x.apply(r)
		if x.answerBytes > maxRetainedAnswerBytes {
			t.Fatalf("index retains %d bytes of answers", x.answerBytes)
		}
		req := &messenger.ClaimRequest{Key: r.Key, BodyDigest: r.BodyDigest}
		_, _ = x.decideClaim(req, 10, time.Hour, time.Unix(0, 0))
	}
	x.expire(time.UnixMilli(1 << 62))
	if len(x.keys) > x.byClaimTime.Len() || x.answers.Len() > len(x.keys) {
		t.Fatalf("%d keys, %d claim times and %d answers remain", len(x.keys), x.byClaimTime.Len(), x.answers.Len())
	}
}

// Guards against segments that make the owner of a shard panic, and against
// answers that stay in memory after their keys have expired.
func FuzzDecodeSegment(f *testing.F) {
	f.Add([]byte(`{"writer":"w","records":[{"key":"t/s/k","body":"AA==","request-id":"r","attempt":1,"claimed-unix-ms":5}]}`))
	f.Add([]byte(`{"records":[{"key":"k","outcome":"served","answer":{"status":201,"headers":[{"name":"a","values":null}],"body":"AA=="}},{"key":"k","claimed-unix-ms":-1}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, value []byte) {
		seg, err := decodeSegment(value)
		if err != nil {
			return
		}
		checkIndex(t, seg.Records)
	})
}

// Guards against keys that are parsed as the number of another segment.
func FuzzSequenceOf(f *testing.F) {
	f.Add("claims/3/0000000000000007")
	f.Add("claims/3/ 7")
	f.Add("claims/3/7x")
	f.Fuzz(func(t *testing.T, key string) {
		if n, ok := sequenceOf(3, key); ok && segmentKey(3, n) != key {
			t.Fatalf("%q is parsed as segment %d", key, n)
		}
	})
}

// constantObjects is an object API that returns the same value for every key.
type constantObjects struct {
	adapter.ObjectAPI
	value []byte
}

func (o constantObjects) Get(_ context.Context, key string) (adapter.Object, error) {
	return adapter.Object{Key: key, Value: o.value, Version: 1}, nil
}

// Guards against snapshot heads and parts that make the owner panic.
func FuzzDecodeSnapshot(f *testing.F) {
	f.Add([]byte(`{"through":256,"parts":["a"]}`))
	f.Add([]byte(`[{"key":"k","claimed-unix-ms":5,"answer":{"body":"AA=="}},{"key":"k"}]`))
	f.Fuzz(func(_ *testing.T, value []byte) {
		s := newShard(&Claimer{API: constantObjects{value: value}}, 1)
		_, _, _ = s.readHead(context.Background())
		_ = s.loadSnapshot(context.Background(), snapshotHead{Parts: []string{"a", "b"}}, newIndex())
	})
}

// TestExpiredAnswers guards against answers that stay in memory after their
// keys have expired, when the answers never reach the limit that evicts them.
func TestExpiredAnswers(t *testing.T) {
	x := newIndex()
	for i := range 1000 {
		now := time.UnixMilli(int64(i))
		x.apply(record{Key: now.String(), ClaimedMS: now.UnixMilli(), Outcome: OutcomeServed, Answer: &answerRecord{Body: []byte("ok")}})
		x.expire(now)
	}
	qt.Assert(t, len(x.keys), qt.Equals, 1)
	qt.Assert(t, x.answers.Len(), qt.Equals, 1)
}

// TestLargeHeaders guards against stored answers whose headers exceed
// MaxAnswerBytes.
func TestLargeHeaders(t *testing.T) {
	large := &messenger.Header{Name: "a", Values: []string{string(make([]byte, MaxAnswerBytes))}}
	qt.Assert(t, newAnswerRecord(&messenger.ServiceAnswer{Headers: []*messenger.Header{large}}), qt.IsNil)
}
