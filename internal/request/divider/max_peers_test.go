package divider

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMaxPeers guards against reports of daemons that do not exist, which fill the memory, and against a
// setting of their number that has no effect.
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
			d := &Divider{MaxPeers: tc.limit}
			for i := range tc.want + 10 {
				d.SetReport(strconv.Itoa(i), nil, now)
				d.SetDomainReport(strconv.Itoa(i), nil, now)
			}
			c.Check(d.Reports.all(), qt.HasLen, tc.want)
			c.Check(d.domains.all(), qt.HasLen, tc.want)
		})
	}
}
