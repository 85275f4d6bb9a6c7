package gossiper

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// TestDemandOfOthers guards against a failure domain whose demand the others don't learn, so that they
// leave it no slots, and against malformed demands that take the slots of all others.
func TestDemandOfOthers(t *testing.T) {
	tests := []struct {
		name   string
		demand float64
		want   bool
	}{
		{"usual", 40, true},
		{"none", 0, true},
		{"negative", -1, false},
		{"too large", 1e9, false},
		{"not a number", math.NaN(), false},
	}
	for _, tc := range tests {
		for _, digests := range []bool{false, true} {
			c := qt.New(t)
			var got map[string]float64
			var from Member
			summary := !digests
			g := &Gossiper{
				Self: func() Member { return Member{VM: "self", Role: Entry, FailureDomain: "a", Address: "self:1"} },
				OnDemand: func(m Member, s bool, demand map[string]float64, _ time.Time) {
					got, from, summary = demand, m, s
				},
				Log: zap.NewNop(), Conn: &recordingConn{},
			}
			demand := map[string]float64{"good": 3, "odd": tc.demand}
			m := message{From: Member{VM: "other", Role: Entry, FailureDomain: "a", Address: "other:1"}, Demand: demand}
			if digests {
				m = message{From: Member{VM: "other", Role: Entry, FailureDomain: "b", Address: "other:1"}, Digest: &digest{Domain: "b", Demand: demand}}
			}
			g.receive(m, time.Unix(1_764_887_000, 0))
			c.Check(summary, qt.Equals, digests)
			c.Check(from.FailureDomain, qt.Equals, m.From.FailureDomain)
			c.Check(got["good"], qt.Equals, 3.0, qt.Commentf(tc.name))
			_, taken := got["odd"]
			c.Check(taken, qt.Equals, tc.want, qt.Commentf("%s, digests %v", tc.name, digests))
		}
	}
}

// TestDigestHasDemand guards against digests without the demand of their failure domain.
func TestDigestHasDemand(t *testing.T) {
	conn := &recordingConn{}
	self := Member{VM: "self", Role: Entry, FailureDomain: "a", Address: "127.0.0.1:1", Ready: true}
	g := &Gossiper{
		Self: func() Member { return self }, Conn: conn, Log: zap.NewNop(),
		DomainDemand: func(time.Time) map[string]float64 { return map[string]float64{"s": 40} },
	}
	now := time.Unix(1_764_887_000, 0)
	far := Member{VM: "far", Role: Entry, FailureDomain: "b", Address: "127.0.0.1:2", Ready: true}
	g.sendDigests(self, []Member{far}, false, now)
	var demand map[string]float64
	for _, m := range conn.sent {
		if m.Digest != nil {
			demand = m.Digest.Demand
		}
	}
	qt.Check(t, demand, qt.DeepEquals, map[string]float64{"s": 40})
}
