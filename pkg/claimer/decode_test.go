package claimer

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// checkIndex replays records and lets them expire.
func checkIndex(t *testing.T, records []record) {
	x := newIndex()
	for _, r := range records {
		x.apply(r)
		if x.answerBytes > maxAnswerBytesHeld {
			t.Fatalf("%d bytes of answers are held", x.answerBytes)
		}
		req := &messenger.ClaimRequest{Key: r.Key, BodyDigest: r.BodyDigest}
		_, _ = x.answerClaim(req, 10, time.Hour, time.Unix(0, 0))
	}
	x.expire(time.UnixMilli(1 << 62))
	if len(x.keys) > x.order.Len() || x.answers.Len() > len(x.keys) {
		t.Fatalf("%d keys, %d times and %d answers are left", len(x.keys), x.order.Len(), x.answers.Len())
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

// Guards against keys that are taken for the number of another segment.
func FuzzSequenceOf(f *testing.F) {
	f.Add("claims/3/0000000000000007")
	f.Add("claims/3/ 7")
	f.Add("claims/3/7x")
	f.Fuzz(func(t *testing.T, key string) {
		if n, ok := sequenceOf(3, key); ok && segmentKey(3, n) != key {
			t.Fatalf("%q is taken for segment %d", key, n)
		}
	})
}

// oneObject is an object API with one value under all keys.
type oneObject struct {
	adapter.ObjectAPI
	value []byte
}

func (o oneObject) Get(_ context.Context, key string) (adapter.Object, error) {
	return adapter.Object{Key: key, Value: o.value, Version: 1}, nil
}

// Guards against heads and parts of snapshots that make the owner panic.
func FuzzDecodeSnapshot(f *testing.F) {
	f.Add([]byte(`{"through":256,"parts":["a"]}`))
	f.Add([]byte(`[{"key":"k","claimed-unix-ms":5,"answer":{"body":"AA=="}},{"key":"k"}]`))
	f.Fuzz(func(_ *testing.T, value []byte) {
		s := newShard(&Claimer{API: oneObject{value: value}}, 1)
		_, _, _ = s.readHead(context.Background())
		_ = s.loadSnapshot(context.Background(), snapshotHead{Parts: []string{"a", "b"}}, newIndex())
	})
}

// TestExpiredAnswers guards against answers of expired keys in the memory of an
// owner that never holds many at a time.
func TestExpiredAnswers(t *testing.T) {
	x := newIndex()
	for i := range 1000 {
		now := time.UnixMilli(int64(i))
		x.apply(record{Key: now.String(), ClaimedMS: now.UnixMilli(), Outcome: OutcomeServed, Answer: &storedAnswer{Body: []byte("ok")}})
		x.expire(now)
	}
	qt.Assert(t, len(x.keys), qt.Equals, 1)
	qt.Assert(t, x.answers.Len(), qt.Equals, 1)
}

// TestLargeHeaders guards against answers whose headers exceed the bound.
func TestLargeHeaders(t *testing.T) {
	large := &messenger.Header{Name: "a", Values: []string{string(make([]byte, MaxAnswerBytes))}}
	qt.Assert(t, storeAnswer(&messenger.ServiceAnswer{Headers: []*messenger.Header{large}}), qt.IsNil)
}
