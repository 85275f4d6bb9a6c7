package placer

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMaxPeers guards against a setting of the number of daemons whose load is kept that has no effect
// or does not reach the division of slots.
func TestMaxPeers(t *testing.T) {
	tests := []struct {
		limit, want int
	}{
		{0, 2048},
		{32, 32},
		{2500, 2500},
	}
	for _, tc := range tests {
		t.Run(strconv.Itoa(tc.limit), func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			p := &Placer{MaxPeers: tc.limit}
			for i := range tc.want + 10 {
				p.SetPeerLoad(strconv.Itoa(i), nil, now)
			}
			c.Check(p.peers, qt.HasLen, tc.want)
			p.SetPeerDemand("a", nil, now)
			c.Check(p.divider.MaxPeers, qt.Equals, tc.limit)
			p.divider.MaxPeers = 0
			p.SetDomainDemand("d", nil, now)
			c.Check(p.divider.MaxPeers, qt.Equals, tc.limit)
		})
	}
}
