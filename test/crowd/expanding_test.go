package crowd

import (
	"bytes"
	"compress/gzip"
	"crypto/rand"
	"encoding/binary"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// compressedMessage returns a compressed message in the framing of gRPC.
func compressedMessage(raw []byte) []byte {
	var zipped bytes.Buffer
	w := gzip.NewWriter(&zipped)
	_, _ = w.Write(raw)
	_ = w.Close()
	return append(binary.BigEndian.AppendUint32([]byte{1}, uint32(zipped.Len())), zipped.Bytes()...)
}

// sendAll sends data as far as the connection is open.
func (r *rpcClient) sendAll(id uint32, data []byte) bool {
	for len(data) > 0 {
		n, ok := r.send(id, data)
		if !ok {
			return false
		}
		data = data[n:]
		if n == 0 && (r.isClosed() || !r.wait(time.Millisecond)) {
			return false
		}
	}
	return true
}

// compressed are the header fields of calls with compressed messages.
var compressed = [][2]string{{"grpc-encoding", "gzip"}}

// empties returns the bytes of a message that repeats an empty message as a field.
func empties(field protowire.Number, n int) []byte {
	one := protowire.AppendBytes(protowire.AppendTag(nil, field, protowire.BytesType), nil)
	return bytes.Repeat(one, n/len(one))
}

func framed(raw []byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(raw))), raw...)
}

// expanding are messages that need much more memory than they have bytes. parts returns a message of
// n bytes that consists of empty parts.
func expanding(method string, parts func(n int) []byte) []load {
	out := []load{}
	for _, l := range []struct {
		name           string
		clients, calls int
		data           []byte
		fields         [][2]string
	}{
		{"empty parts", 4, 1, framed(parts(6 << 20)), nil},
		{"empty parts in many calls", rpcClients, 200, framed(parts(8 << 10)), nil},
		{"compressed empty parts", rpcClients, 8, compressedMessage(parts(15 << 20)), compressed},
		{"short compressed empty parts", rpcClients, 200, compressedMessage(parts(64 << 10)), compressed},
		{"compressed zeros", rpcClients, 64, compressedMessage(make([]byte, 15<<20)), compressed},
	} {
		out = append(out, rpc(l.name, l.clients, false, nil, func(r *rpcClient) {
			r.extra = l.fields
			for range l.calls {
				id, ok := r.open(method)
				if !ok || !r.sendAll(id, l.data) {
					return
				}
			}
			r.holdOpen()
		}))
	}
	return out
}

// TestExpandingMessages plays messages of gRPC that need many times their bytes once they are
// decompressed or decoded.
func TestExpandingMessages(t *testing.T) {
	t.Run("entry", func(t *testing.T) {
		// Reports with empty transfers.
		report := func(n int) []byte { return empties(3, n) }
		play(t, func(t *testing.T) *daemon {
			entry, _ := startProduct(t, smallestEntry, smallestEngine)
			return entry
		}, productHead, rows("rpc", expanding(messenger.Entry_Session_FullMethodName, report)))
	})
	t.Run("agent", func(t *testing.T) {
		// Calls of a service with empty header fields.
		call := func(n int) []byte {
			fields := protowire.AppendBytes(protowire.AppendTag(nil, 11, protowire.BytesType), empties(4, n-16))
			return protowire.AppendBytes(protowire.AppendTag(nil, 1, protowire.BytesType), fields)
		}
		play(t, func(t *testing.T) *daemon {
			_, agent := startProduct(t, smallestEntry, smallestEngine)
			return agent
		}, productHead, rows("rpc", expanding(messenger.Agent_Attempt_FullMethodName, call)))
	})
	t.Run("platform agent", func(t *testing.T) {
		// A request for a chunk has no lists. The parts are of an unknown field.
		request := func(n int) []byte { return empties(15, n) }
		play(t, func(t *testing.T) *daemon { return startPlatformAgent(t, smallestEngine) }, platformHead("h"), rows("chunks", expanding(messenger.Chunks_Get_FullMethodName, request)))
	})
}

// endedCalls is a load of complete calls that go on until the load ends.
func endedCalls(name, method string, request func() proto.Message) load {
	const atOnce = 8
	return rpc(name, rpcClients, false, nil, func(r *rpcClient) {
		for call := 0; !r.isClosed(); call++ {
			id, ok := r.open(method)
			if !ok || !r.sendAll(id, message(request())) {
				return
			}
			r.mu.Lock()
			err := r.framer.WriteData(id, true, nil)
			r.mu.Unlock()
			if err != nil || call%atOnce == atOnce-1 && !r.wait(time.Millisecond) {
				return
			}
		}
	})
}

// textBytes is the length of names that do not exist.
const textBytes = 1000

// crashReport returns a report of a crash of requests and a VM that do not exist.
func crashReport() proto.Message {
	text := string(filling[:textBytes])
	return &messenger.SuspectRequest{Fingerprint: rand.Text() + text, Vm: rand.Text() + text, Crashed: true, InProgress: []string{rand.Text() + text, rand.Text() + text}}
}

// falseDirectory returns a directory of replicas that do not exist.
func falseDirectory() proto.Message {
	const replicas = 50
	out := &messenger.ExchangeFrame{Full: true, Sender: &messenger.EntryVM{
		Vm: rand.Text() + string(filling[:textBytes]), RpcAddress: "127.0.0.1:9", Region: "r", FailureDomain: "z", Sequence: 1, StartedMs: 1,
	}}
	for range replicas {
		out.Replicas = append(out.Replicas, &messenger.Replica{
			Vm: rand.Text(), Incarnation: rand.Text(), Address: "127.0.0.1:9", Region: "r", FailureDomain: "z", Fleet: "drafting", Model: "draft",
			State: messenger.ReplicaState_REPLICA_STATE_READY, Sequence: 1, StartedMs: 1,
		})
	}
	return out
}

// playReports plays complete calls whose contents an entry daemon keeps. Their number matters, so
// the loads last longer than others.
func playReports(t *testing.T, l load) {
	playFor(t, 4*loadTime, func(t *testing.T) *daemon {
		entry, _ := startProduct(t, smallestEntry, smallestEngine)
		return entry
	}, productHead, rows("rpc", []load{l}))
}

// TestCrashReports guards against reports of crashes that are kept without a limit.
func TestCrashReports(t *testing.T) {
	playReports(t, endedCalls("reports of crashes", messenger.Entry_Suspect_FullMethodName, crashReport))
}

// TestFalseDirectories guards against directories of other daemons that are kept without a limit.
func TestFalseDirectories(t *testing.T) {
	playReports(t, endedCalls("directories", messenger.Entry_Exchange_FullMethodName, falseDirectory))
}
