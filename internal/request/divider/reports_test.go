package divider

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReportsOfOtherPrograms guards against reports of daemons that do not exist, which fill the memory.
func TestReportsOfOtherPrograms(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &Reports{}
	for i := range DefaultMaxPeers + 100 {
		r.Set(fmt.Sprint("vm-", i), map[string]float64{"s": 1}, now)
	}
	qt.Check(t, r.byName, qt.HasLen, DefaultMaxPeers)
	_, known := r.Demand("vm-0", "s", time.Second, now)
	qt.Check(t, known, qt.IsTrue)
	r.Set("b", map[string]float64{"s": 1}, now.Add(maxReportAge+1))
	r.Set("c", map[string]float64{"s": 1}, now.Add(maxReportAge+1))
	qt.Check(t, r.byName, qt.HasLen, 1)
}

// TestAgeOfReports guards against a report that is used at an age above that of its user.
func TestAgeOfReports(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &Reports{}
	r.Set("vm", map[string]float64{"s": 1}, now)
	for _, tc := range []struct {
		maxAge, age time.Duration
		want        bool
	}{
		{time.Second, time.Second, true},
		{time.Second, time.Second + 1, false},
		{time.Hour, maxReportAge, true},
		{time.Hour, maxReportAge + 1, false},
	} {
		_, known := r.Demand("vm", "s", tc.maxAge, now.Add(tc.age))
		qt.Check(t, known, qt.Equals, tc.want, qt.Commentf("%v", tc))
	}
}
