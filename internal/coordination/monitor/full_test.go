package monitor

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// TestFullDirectory guards against directories of other programs that fill the memory, and against
// limits that keep out changes of known VMs, or new VMs while there are records of removed ones.
func TestFullDirectory(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	m := &Monitor{Self: &messenger.EntryVM{Vm: "self", RpcAddress: "127.0.0.1:1", FailureDomain: "a", StartedMs: 1}}
	m.init()
	l := m.newLink(nil, false, now)
	replica := func(vm string, state messenger.ReplicaState, sequence uint64) *messenger.Replica {
		return &messenger.Replica{Vm: vm, Incarnation: "i", Address: "127.0.0.1:9", FailureDomain: "b", State: state, Sequence: sequence, StartedMs: 1}
	}
	entry := func(vm, address string, sequence uint64) *messenger.EntryVM {
		return &messenger.EntryVM{Vm: vm, RpcAddress: address, FailureDomain: "b", Sequence: sequence, StartedMs: 1}
	}
	frame := &messenger.ExchangeFrame{Sender: entry("peer", "127.0.0.1:9", 1)}
	for i := range maxReplicas + 100 {
		frame.Replicas = append(frame.Replicas, replica(fmt.Sprint("r-", i), messenger.ReplicaState_REPLICA_STATE_READY, 1))
	}
	for i := range maxEntries + 100 {
		frame.Entries = append(frame.Entries, entry(fmt.Sprint("e-", i), "127.0.0.1:9", 1))
	}
	c.Assert(m.applyFrame(l, frame, now), qt.IsTrue)
	c.Check(m.replicas, qt.HasLen, maxReplicas)
	c.Check(m.entries, qt.HasLen, maxEntries)

	// A VM of each kind is removed, and a new one takes its place.
	c.Assert(m.applyFrame(l, &messenger.ExchangeFrame{
		Replicas: []*messenger.Replica{
			replica("r-0", messenger.ReplicaState_REPLICA_STATE_GONE, 2), replica("new", messenger.ReplicaState_REPLICA_STATE_READY, 1),
			replica("r-1", messenger.ReplicaState_REPLICA_STATE_DRAINING, 2),
		},
		Entries: []*messenger.EntryVM{entry("e-0", "", 2), entry("new", "127.0.0.1:9", 1)},
	}, now), qt.IsTrue)
	c.Check(m.replicas["new"], qt.IsNotNil)
	c.Check(m.entries["new"], qt.IsNotNil)
	c.Check(m.replicas["r-1"].record.GetState(), qt.Equals, messenger.ReplicaState_REPLICA_STATE_DRAINING)
	c.Check(m.replicas, qt.HasLen, maxReplicas)
	c.Check(m.entries, qt.HasLen, maxEntries)

	// Records that are too large have no effect.
	large := replica("r-1", messenger.ReplicaState_REPLICA_STATE_READY, 3)
	large.Address = strings.Repeat("x", maxRecordBytes)
	c.Assert(m.applyFrame(l, &messenger.ExchangeFrame{Replicas: []*messenger.Replica{large}}, now), qt.IsTrue)
	c.Check(m.replicas["r-1"].record.GetSequence(), qt.Equals, uint64(2))
}
