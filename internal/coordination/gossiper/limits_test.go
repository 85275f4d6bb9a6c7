package gossiper

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// TestMaxMembers guards against messages of programs that are no daemons, whose members fill the memory,
// and against a setting of their number that has no effect.
func TestMaxMembers(t *testing.T) {
	tests := []struct {
		limit, want int
	}{
		{0, 4096},
		{64, 64},
		{5000, 5000},
	}
	for _, tc := range tests {
		t.Run(strconv.Itoa(tc.limit), func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			m := Members{Max: tc.limit}
			for i := range tc.want + 10 {
				name := strconv.Itoa(i)
				member := Member{VM: name, Role: Entry, FailureDomain: "d", Address: name}
				switch i % 3 {
				case 0:
					m.RecordMessage(member, nil, now)
				case 1:
					m.AddReported([]Member{member}, now)
				default:
					m.RecordDomain("d", []Member{member}, false, now)
				}
			}
			c.Check(m.Known(Entry, now), qt.HasLen, tc.want)
		})
	}
}

// TestMaxReplicas guards against messages of programs that are no daemons, whose replicas fill the
// memory, and against a setting of their number that has no effect.
func TestMaxReplicas(t *testing.T) {
	tests := []struct {
		limit, want int
	}{
		{0, 8192},
		{64, 64},
		{9000, 9000},
	}
	for _, tc := range tests {
		t.Run(strconv.Itoa(tc.limit), func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			g := &Gossiper{
				MaxReplicas: tc.limit, Log: zap.NewNop(),
				Self: func() Member { return Member{VM: "self", Role: Entry, FailureDomain: "d", Address: "self"} },
			}
			from := Member{VM: "a", Role: Agent, FailureDomain: "d", Address: "a"}
			for i := range tc.want + 10 {
				g.receive(message{From: from, Replica: &ReplicaState{Address: strconv.Itoa(i), Up: true}}, now)
			}
			c.Check(g.relay.replicas, qt.HasLen, tc.want)
		})
	}
}
