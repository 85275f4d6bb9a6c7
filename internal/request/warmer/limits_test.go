package warmer

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMaxReports guards against a setting of the number of replicas whose reports are kept that has no
// effect. The number of daemons whose demand is kept is tested with divider.Reports.
func TestMaxReports(t *testing.T) {
	tests := []struct{ reports, want int }{
		{0, 8192},
		{64, 64},
		{9000, 9000},
	}
	for _, tc := range tests {
		t.Run(strconv.Itoa(tc.want), func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			w := &Warmer{MaxReports: tc.reports}
			w.SetLimits(map[string]Limit{"s": {PerSecond: 1}})
			for i := range tc.want + 10 {
				w.RecordReport(strconv.Itoa(i), time.Second, now)
			}
			c.Check(w.reports, qt.HasLen, tc.want)
		})
	}
}
