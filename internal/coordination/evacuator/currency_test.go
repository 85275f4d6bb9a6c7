package evacuator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/shared/timekeeper"
)

// TestCurrency guards against requests that are sent although an evacuation may have been missed, and
// against a daemon that stops for good because the store and the other daemons are down.
func TestCurrency(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	// An event is evidence, a message or a check.
	type event struct {
		kind string
		// at is the moment of the event, and suspended the part of the time before that the clock has not counted.
		at, suspended time.Duration
		// of is the moment of the evidence.
		of   time.Duration
		want bool
	}
	tests := []struct {
		name   string
		events []event
	}{
		{"nothing known", []event{{kind: "check"}, {kind: "check", at: 4999 * ms}}},
		{"recent answer", []event{{kind: "confirm"}, {kind: "check", at: 2500 * ms, want: true}}},
		{"old answer", []event{{kind: "confirm"}, {kind: "check", at: 2501 * ms}}},
		{"messages go on", []event{
			{kind: "confirm"},
			{kind: "message", at: 2000 * ms, of: 1900 * ms},
			{kind: "message", at: 4000 * ms, of: 3900 * ms},
			{kind: "check", at: 6 * time.Second, want: true},
		}},
		{"message after a stop of the process", []event{
			{kind: "confirm"},
			{kind: "check", at: 100 * ms, want: true},
			{kind: "message", at: 8 * time.Second, of: 8 * time.Second},
			{kind: "check", at: 8 * time.Second},
		}},
		{"answer after a stop of the process", []event{
			{kind: "confirm"},
			{kind: "check", at: 100 * ms, want: true},
			{kind: "check", at: 8 * time.Second},
			{kind: "confirm", at: 8010 * ms, of: 8 * time.Second},
			{kind: "check", at: 8010 * ms, want: true},
		}},
		{"suspension that the clock does not count", []event{
			{kind: "confirm"}, {kind: "check", at: 100 * ms, want: true}, {kind: "check", at: 200 * ms, suspended: 8 * time.Second},
		}},
		{"nobody answers", []event{
			{kind: "confirm"}, {kind: "check", at: 2501 * ms}, {kind: "check", at: 4500 * ms}, {kind: "check", at: 6500 * ms}, {kind: "check", at: 7501 * ms, want: true},
		}},
		{"stopped again while nobody answers", []event{
			{kind: "confirm"},
			{kind: "check", at: 2501 * ms},
			{kind: "check", at: 4500 * ms},
			{kind: "check", at: 6500 * ms},
			{kind: "check", at: 7501 * ms, want: true},
			{kind: "check", at: 20 * time.Second},
		}},
	}
	for _, tc := range tests {
		c := &Currency{Limit: 2500 * ms, Patience: 5 * time.Second}
		for i, e := range tc.events {
			now := timekeeper.Moment{Time: start.Add(e.at), Suspended: e.suspended}
			of := timekeeper.Moment{Time: start.Add(e.of), Suspended: e.suspended}
			switch e.kind {
			case "confirm":
				c.Confirm(of)
			case "message":
				c.RecordMessage(of, now)
			case "check":
				qt.Check(t, c.Check(now), qt.Equals, e.want, qt.Commentf("%s, event %d", tc.name, i))
			}
		}
	}
}
