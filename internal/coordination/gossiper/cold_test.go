package gossiper

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/warmer"
)

// TestColdStates guards against a replica that turns cold without being reported at once, and against messages without pause, or
// cold times that are too long, while it is cold.
func TestColdStates(t *testing.T) {
	tests := []struct {
		name    string
		states  []int
		changed bool
		// sent is the time in a digest that is sent 200 ms later.
		sent int
	}{
		{"not cold", []int{0, 0}, false, 0},
		{"turns cold", []int{0, 5000}, true, 4800},
		{"remains cold", []int{5000, 4500}, false, 4300},
		{"cold again", []int{1000, 9000}, true, 8800},
		{"slightly longer", []int{5000, 5100}, false, 4900},
		{"no longer cold", []int{100, 0}, false, 0},
		{"about to end", []int{0, 100}, false, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var r relay
			var before *ReplicaState
			changed := false
			for _, ms := range tc.states {
				s := &ReplicaState{Address: "a", Up: true, ColdMs: ms}
				if before != nil {
					qt.Check(t, s.isSteady(before), qt.Equals, !tc.changed)
				}
				changed = r.recordReplica(*s, DefaultMaxReplicas, now)
				before = s
			}
			qt.Check(t, changed, qt.Equals, tc.changed)
			var d digest
			r.takeChanges(&d, nil, nil, true, now.Add(200*time.Millisecond))
			qt.Assert(t, d.Replicas, qt.HasLen, 1)
			qt.Check(t, d.Replicas[0].ColdMs, qt.Equals, tc.sent)
		})
	}
}

// TestEntryView guards against daemons that are missing in the view or counted twice, and against a daemon that takes itself for
// the only one although it knows others that are silent.
func TestEntryView(t *testing.T) {
	start := time.Unix(1000, 0)
	self := Member{VM: "b", Role: Entry, FailureDomain: "x", Address: "b:1", Ready: true}
	own := warmer.Member{VM: "b", FailureDomain: "x", Live: true, Ready: true}
	tests := []struct {
		name string
		do   func(m *Members)
		want warmer.View
	}{
		{"alone", func(*Members) {}, warmer.View{Members: []warmer.Member{own}, Alone: true}},
		{"agents only", func(m *Members) {
			m.RecordMessage(Member{VM: "g", Role: Agent, Address: "g:1"}, nil, start)
		}, warmer.View{Members: []warmer.Member{own}, Alone: true}},
		{"others, one silent and one listed", func(m *Members) {
			m.RecordMessage(Member{VM: "a", Role: Entry, FailureDomain: "x", Address: "a:1", Ready: true}, nil, start)
			m.RecordMessage(Member{VM: "c", Role: Entry, FailureDomain: "x", Address: "c:1", Ready: true}, nil, start.Add(-2*time.Second))
			m.AddReported([]Member{{VM: "d", Role: Entry, FailureDomain: "y", Address: "d:1"}}, start)
		}, warmer.View{Members: []warmer.Member{{VM: "a", FailureDomain: "x", Live: true, Ready: true}, own, {VM: "c", FailureDomain: "x", Ready: true}, {VM: "d", FailureDomain: "y"}}}},
		{"itself in the list of another", func(m *Members) {
			m.AddReported([]Member{self}, start)
		}, warmer.View{Members: []warmer.Member{own}, Alone: true}},
		{"moved", func(m *Members) {
			m.RecordMessage(Member{VM: "c", Role: Entry, FailureDomain: "x", Address: "c:1", Ready: true}, nil, start.Add(-2*time.Second))
			m.RecordMessage(Member{VM: "c", Role: Entry, FailureDomain: "x", Address: "c:2", Ready: true}, nil, start)
		}, warmer.View{Members: []warmer.Member{own, {VM: "c", FailureDomain: "x", Live: true, Ready: true}}}},
		{"moved, the new address first", func(m *Members) {
			m.RecordMessage(Member{VM: "c", Role: Entry, FailureDomain: "x", Address: "c:1", Ready: true}, nil, start)
			m.RecordMessage(Member{VM: "c", Role: Entry, FailureDomain: "x", Address: "c:2", Ready: true}, nil, start.Add(-2*time.Second))
		}, warmer.View{Members: []warmer.Member{own, {VM: "c", FailureDomain: "x", Live: true, Ready: true}}}},
		{"forgotten", func(m *Members) {
			m.RecordMessage(Member{VM: "c", Role: Entry, FailureDomain: "x", Address: "c:1"}, nil, start.Add(-time.Hour))
		}, warmer.View{Members: []warmer.Member{own}, Alone: true}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var m Members
			tc.do(&m)
			qt.Assert(t, m.EntryView(self, start), qt.DeepEquals, tc.want)
		})
	}
}

// TestTrafficOfColdReplicas guards against messages that grow with the number of cold replicas, and so take the bandwidth and the
// processors of small VMs while a failure domain returns.
func TestTrafficOfColdReplicas(t *testing.T) {
	// The limit is on what cold replicas add, in bytes per second and entry daemon, sent and received.
	const seconds, limit = 5, 9 << 10
	measure := func(cold bool) (sent, received float64) {
		f := newFleet(3, 13, 34, 0)
		for _, d := range f.entries() {
			d.Demand = func(time.Time) map[string]float64 {
				if !cold {
					return nil
				}
				return map[string]float64{"llm": 20.4}
			}
		}
		f.run(4 * time.Second)
		began := f.now
		for _, d := range f.daemons {
			d.sentBytes, d.receivedBytes = 0, 0
			if d.self.Role == Agent && cold {
				state := d.state
				d.Replica = func() *ReplicaState {
					s := state
					s.ColdMs = int(max(10*time.Second-f.now.Sub(began), 0).Milliseconds())
					return &s
				}
				d.SendSoon()
				d.lastNear = time.Time{}
			}
		}
		f.run(seconds * time.Second)
		n := float64(len(f.entries())) * seconds
		for _, d := range f.entries() {
			sent += float64(d.sentBytes) / n
			received += float64(d.receivedBytes) / n
		}
		for _, d := range f.entries() {
			for address, s := range d.replicas {
				qt.Assert(t, s.ColdMs > 0, qt.Equals, cold, qt.Commentf("%s at %s", address, d.self.VM))
			}
		}
		return sent, received
	}
	sent, received := measure(false)
	coldSent, coldReceived := measure(true)
	t.Logf("sent %.0f, with cold replicas %.0f; received %.0f, with cold replicas %.0f bytes a second", sent, coldSent, received, coldReceived)
	qt.Check(t, coldSent-sent < limit, qt.IsTrue)
	qt.Check(t, coldReceived-received < limit, qt.IsTrue)
}
