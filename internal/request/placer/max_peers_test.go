package placer

import (
	"cmp"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/divider"
)

// TestMaxPeers guards against a limit on the number of daemons that has no effect on the loads or the
// demands that are kept. The limit on the failure domains is tested with divider.Divider.
func TestMaxPeers(t *testing.T) {
	for _, limit := range []int{0, 32, 2500} {
		t.Run(strconv.Itoa(limit), func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			p := &Placer{Divider: divider.Divider{MaxPeers: limit}}
			want := cmp.Or(limit, divider.DefaultMaxPeers)
			demands := 0
			for i := range want + 10 {
				vm := strconv.Itoa(i)
				p.SetPeerLoad(vm, nil, now)
				p.SetPeerDemand(vm, map[string]float64{"s": 1}, now)
				p.SetDomainDemand(vm, nil, now)
				if _, known := p.Divider.Reports.Demand(vm, "s", time.Second, now); known {
					demands++
				}
			}
			c.Check(p.peers, qt.HasLen, want)
			c.Check(demands, qt.Equals, want)
			c.Check(p.Divider.MaxPeers, qt.Equals, limit)
		})
	}
}
