package listener

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// times returns a list with an element n times.
func times[T any](n int, element func(i int) T) []T {
	out := make([]T, n)
	for i := range out {
		out[i] = element(i)
	}
	return out
}

// TestElements guards against messages whose elements need many times the bytes of the message,
// and against limits that messages of daemons reach.
func TestElements(t *testing.T) {
	serviceCall := func(headers []*messenger.Header) proto.Message {
		return &messenger.AttemptFrame{Frame: &messenger.AttemptFrame_Start{Start: &messenger.AttemptStart{
			Call: &messenger.AttemptStart_Service{Service: &messenger.ServiceCall{Headers: headers}},
		}}}
	}
	replica := func(i int) *messenger.Replica {
		return &messenger.Replica{Vm: fmt.Sprint("vm-", i), Address: "10.0.0.1:9090", Region: "r", FailureDomain: "z", Fleet: "f", Model: "m", Incarnation: fmt.Sprint(i), Sequence: uint64(i)}
	}
	tests := []struct {
		name    string
		message proto.Message
		refused bool
	}{
		{"empty transfers", &messenger.AgentReport{Transfers: times(4<<10, func(int) *messenger.Transfer { return &messenger.Transfer{} })}, true},
		{"few empty transfers", &messenger.AgentReport{Transfers: times(100, func(int) *messenger.Transfer { return &messenger.Transfer{} })}, false},
		{"empty header fields", serviceCall(times(4<<10, func(int) *messenger.Header { return &messenger.Header{} })), true},
		{"many empty texts", &messenger.SuspectRequest{InProgress: make([]string, 1<<20)}, true},
		{"many numbers", &messenger.ClaimedCallsRequest{Shards: make([]uint32, 1<<20)}, true},
		{"empty replicas", &messenger.ExchangeFrame{Replicas: times(4<<10, func(int) *messenger.Replica { return &messenger.Replica{} })}, true},
		{"shortest header fields of 16 KiB", serviceCall(times(16<<10/5, func(i int) *messenger.Header {
			return &messenger.Header{Name: string([]byte{byte('a' + i/64%26), byte('a' + i%26)}), Values: []string{""}}
		})), false},
		{"one header field with many values", serviceCall([]*messenger.Header{{Name: "a", Values: make([]string, 4<<10)}}), false},
		{"large body", &messenger.ServiceCall{Body: make([]byte, 4<<20)}, false},
		{"cache events", &messenger.AgentReport{CacheEvents: times(8<<10, func(i int) *messenger.CacheEvent {
			return &messenger.CacheEvent{Sequence: uint64(i + 1), PrefixHash: math.MaxUint64 - uint64(i)}
		})}, false},
		{"shards", &messenger.ClaimedCallsRequest{Shards: times(1<<10, func(i int) uint32 { return uint32(i) })}, false},
		{"full directory", &messenger.ExchangeFrame{
			Replicas: times(8<<10, replica),
			Loads: times(8<<10, func(i int) *messenger.ReplicaLoad {
				return &messenger.ReplicaLoad{Vm: fmt.Sprint("vm-", i), Load: &messenger.Load{Queued: 1, Running: 1, Version: "v", Sequence: 1}}
			}),
			Statuses: times(4<<10, func(i int) *messenger.DaemonStatus {
				return &messenger.DaemonStatus{Vm: fmt.Sprint("vm-", i), Role: "agent", Replica: replica(i)}
			}),
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			raw, err := proto.Marshal(test.message)
			c.Assert(err, qt.IsNil)
			// Messages arrive in several buffers.
			half := len(raw) / 2
			out := test.message.ProtoReflect().New().Interface()
			err = newBoundedCodec().Unmarshal(mem.BufferSlice{mem.SliceBuffer(raw[:half]), mem.SliceBuffer(raw[half:])}, out)
			var refused *elementsError
			c.Assert(errors.As(err, &refused), qt.Equals, test.refused, qt.Commentf("%d bytes: %v", len(raw), err))
			if !test.refused {
				c.Assert(err, qt.IsNil)
				c.Check(proto.Equal(out, test.message), qt.IsTrue)
			}
		})
	}
}

// TestMalformedMessages guards against malformed messages that the look at their elements does not
// end on.
func TestMalformedMessages(t *testing.T) {
	for _, data := range [][]byte{
		bytes.Repeat([]byte{0xff}, 4<<10),
		bytes.Repeat([]byte{0x1a}, 4<<10),
		append(bytes.Repeat([]byte{0x1b}, 4<<10), 0),
		append(bytes.Repeat([]byte{0x1a, 0}, 200), 0x1a, 0x7f),
	} {
		c := qt.New(t)
		c.Check(newBoundedCodec().Unmarshal(mem.BufferSlice{mem.SliceBuffer(data)}, &messenger.AgentReport{}), qt.IsNotNil)
	}
}

// TestCompressedMessages guards against compressed messages, which need a thousand times their
// bytes, and against a limit that a request for a revision reaches.
func TestCompressedMessages(t *testing.T) {
	tests := []struct {
		name    string
		data    []byte
		refused bool
	}{
		{"request for a revision", []byte{8, 0xff, 0xff, 0xff, 0xff, 0xff, 1}, false},
		{"zeros", make([]byte, 1<<20), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var zipped bytes.Buffer
			w := gzip.NewWriter(&zipped)
			_, err := w.Write(test.data)
			c := qt.New(t)
			c.Assert(err, qt.IsNil)
			c.Assert(w.Close(), qt.IsNil)
			s := &stream{}
			for _, b := range append([]byte{1, 0, 0, byte(zipped.Len() >> 8), byte(zipped.Len())}, zipped.Bytes()...) {
				s.add([]byte{b})
			}
			c.Check(s.overCompressed, qt.Equals, test.refused, qt.Commentf("%d bytes", zipped.Len()))
			c.Check(s.cost() >= int64(len(test.data)), qt.IsTrue)
			c.Check(test.refused || s.cost() < freeMessageBytes, qt.IsTrue, qt.Commentf("%d", s.cost()))
		})
	}
}
