package gossiper

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// TestMissing guards against a daemon that does not learn that it is missing for others, and against reports of other programs,
// other failure domains and other messages than heartbeats.
func TestMissing(t *testing.T) {
	now := time.Unix(1000, 0)
	demand := map[string]float64{"s": 1}
	many := slices.Repeat([]string{"x"}, maxMissing+1)
	peer := Member{VM: "vm-2", Role: Entry, FailureDomain: "a", Address: "2"}
	far, agent := peer, peer
	far.FailureDomain, agent.Role = "b", Agent
	tests := []struct {
		name string
		m    message
		want []string
	}{
		{"heartbeat", message{From: peer, Demand: demand, missingReport: missingReport{Missing: []string{"vm-1"}}}, []string{"vm-1"}},
		{"none is missing", message{From: peer, Demand: demand}, []string{}},
		{"too many", message{From: peer, Demand: demand, missingReport: missingReport{Missing: many}}, []string{}},
		{"other failure domain", message{From: far, Demand: demand, missingReport: missingReport{Missing: []string{"vm-1"}}}, nil},
		{"agent", message{From: agent, Demand: demand, missingReport: missingReport{Missing: []string{"vm-1"}}}, nil},
		{"no heartbeat", message{From: peer, missingReport: missingReport{Missing: []string{"vm-1"}}}, nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			var got []string
			g := &Gossiper{Self: func() Member { return Member{VM: "vm-1", Role: Entry, FailureDomain: "a", Address: "1"} }, Log: zap.NewNop()}
			g.OnMissing = func(_ Member, vms []string, _ time.Time) { got = append([]string{}, vms...) }
			raw, err := json.Marshal(tc.m)
			c.Assert(err, qt.IsNil)
			var m message
			c.Assert(decode(raw, &m), qt.IsNil)
			c.Assert(m.isPlausible(), qt.IsTrue)
			g.receive(m, now)
			c.Check(got, qt.DeepEquals, tc.want)
		})
	}
	g := &Gossiper{}
	g.Missing = func() []string { return many }
	qt.Check(t, g.compose(peer, now).Missing, qt.HasLen, maxMissing)
	g.Missing = nil
	qt.Check(t, g.compose(peer, now).Missing, qt.IsNil)
}
