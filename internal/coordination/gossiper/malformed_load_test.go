package gossiper

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/placer"
)

// TestMalformedLoadOverflows guards against loads of other daemons whose sum overflows, so that
// a busy replica looks idle, and against negative ones.
func TestMalformedLoadOverflows(t *testing.T) {
	tests := []struct {
		name string
		load placer.Load
		want bool
	}{
		{"usual", placer.Load{Requests: 16, PrefillMs: 300}, true},
		{"requests near the largest integer", placer.Load{Requests: math.MaxInt - 1}, false},
		{"requests negative", placer.Load{Requests: -16}, false},
		{"prefill time near the largest integer", placer.Load{Requests: 1, PrefillMs: math.MaxInt - 1}, false},
		{"prefill time negative", placer.Load{Requests: 1, PrefillMs: -1}, false},
	}
	for _, tc := range tests {
		for _, digests := range []bool{false, true} {
			c := qt.New(t)
			got := map[string]placer.Load{}
			g := &Gossiper{
				Self:   func() Member { return Member{VM: "self", Role: Entry, FailureDomain: "a", Address: "self:1"} },
				OnLoad: func(_ Member, _ bool, load map[string]placer.Load, _ time.Time) { got = load }, Log: zap.NewNop(),
				Conn: &recordingConn{},
			}
			load := map[string]placer.Load{"good": {Requests: 3}, "odd": tc.load}
			m := message{From: Member{VM: "other", Role: Agent, FailureDomain: "a", Address: "other:1"}, Load: load}
			if digests {
				m = message{From: Member{VM: "other", Role: Agent, FailureDomain: "b", Address: "other:1"}, Digest: &digest{Domain: "b", Load: load}}
			}
			g.receive(m, time.Unix(1_764_887_000, 0))
			c.Check(got["good"], qt.Equals, placer.Load{Requests: 3}, qt.Commentf(tc.name))
			_, taken := got["odd"]
			c.Check(taken, qt.Equals, tc.want, qt.Commentf("%s, digests %v", tc.name, digests))
		}
	}
}
