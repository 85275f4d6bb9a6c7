package gossiper

import (
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
)

// FuzzDatagram guards against a datagram that makes the daemon panic, or that makes it
// keep members without an address.
func FuzzDatagram(f *testing.F) {
	f.Add([]byte(`{"from":{"vm":"a","role":"entry","address":"10.0.0.1:1","failure-domain":"d"},"revisions":{"k":3},"introduce":true}`))
	f.Add([]byte(`{"from":{"vm":"a","role":"entry","address":"10.0.0.1:1"},"digest":{"domain":"b","complete":true,"receivers":["self"],"entries":[{}],"replicas":[{}],"crashes":[{}]}}`))
	f.Add([]byte(`{"from":{"address":"x"},"members":[{}],"replica":{},"load":{"":{}}}`))
	f.Add([]byte(`{"from":{"vm":"a","role":"entry","address":"10.0.0.1:1","failure-domain":"d"},"leaving":{"r":[1,2,3],"":[-1],"s":[]}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		conn := &recordingConn{}
		g := &Gossiper{Conn: conn, Log: zap.NewNop(), Self: func() Member { return Member{VM: "self", Role: Entry, Address: "127.0.0.1:1", FailureDomain: "d"} }}
		defer func() {
			if cause := recover(); cause != nil {
				t.Fatalf("panic: %v", cause)
			}
		}()
		now := time.Unix(1000, 0)
		var m message
		if err := decode(raw, &m); err != nil {
			return
		}
		g.receive(m, now)
		g.sendRound(true, now)
		g.handle(raw, &net.UDPAddr{}, now)
		for _, member := range g.Members.Known(Entry, now) {
			if member.Address == "" {
				t.Fatalf("member without an address from %q", raw)
			}
		}
	})
}
