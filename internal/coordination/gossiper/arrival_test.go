package gossiper

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/timekeeper"
)

// TestEntryMessages guards against a message that counts as a sign of what another daemon knows now, although it
// was held up on its way, waited while this process was paused, or is that of an agent.
func TestEntryMessages(t *testing.T) {
	entry := Member{VM: "b", Role: Entry, FailureDomain: "x", Address: "10.0.0.2:1", Evacuations: 7}
	agent := entry
	agent.Role = Agent
	tests := []struct {
		name    string
		message message
		// waited is how long the read of the message took.
		waited time.Duration
		want   []time.Duration
	}{
		{"of an entry daemon", message{From: entry}, 5 * time.Millisecond, []time.Duration{time.Minute}},
		{"that was queued", message{From: entry}, 0, []time.Duration{0}},
		{"of an agent", message{From: agent}, 5 * time.Millisecond, nil},
		{"digest for this daemon", message{From: entry, Digest: &digest{Domain: "x", Receivers: []string{"a"}}}, 5 * time.Millisecond, []time.Duration{time.Minute}},
		{"forwarded digest", message{From: entry, Digest: &digest{Domain: "x"}}, 5 * time.Millisecond, nil},
	}
	for _, tc := range tests {
		// Moments are relative to the last read that waited.
		start := timekeeper.Now()
		start.Time = start.Time.Add(-time.Minute - tc.waited)
		var got []time.Duration
		g := &Gossiper{Self: func() Member { return Member{VM: "a", Role: Entry, FailureDomain: "y"} }, Log: zap.NewNop()}
		g.OnEntryMessage = func(from Member, after timekeeper.Moment) {
			qt.Check(t, from.Evacuations, qt.Equals, uint64(7))
			got = append(got, after.Since(start).Round(time.Second))
		}
		g.arrivedAfter = start
		asked := start
		asked.Time = start.Time.Add(time.Minute)
		if tc.waited == 0 {
			asked.Time = time.Now().Add(time.Second)
		}
		g.recordArrival(asked)
		g.receive(tc.message, time.Now())
		qt.Check(t, got, qt.DeepEquals, tc.want, qt.Commentf(tc.name))
	}
}
