package warmer

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/shared/timekeeper"
)

// BenchmarkUpdate measures an update of the shares while a whole failure domain is cold, in the deployment with 38 entry daemons and
// 52 replicas and at the target size.
func BenchmarkUpdate(b *testing.B) {
	for _, size := range []struct{ entries, replicas int }{{38, 52}, {1000, 4300}} {
		b.Run(fmt.Sprintf("%d-entries", size.entries), func(b *testing.B) {
			w := &Warmer{VM: "vm-0", FailureDomain: "domain-0", StartedAt: start.Add(-time.Hour)}
			w.SetLimits(map[string]Limit{"llm": {Duration: time.Hour, PerSecond: 17}})
			var view View
			for i := range size.entries {
				view.Members = append(view.Members, Member{VM: fmt.Sprint("vm-", i), FailureDomain: fmt.Sprint("domain-", i%3), Live: true, Ready: true})
			}
			var list []Registration
			for i := range size.replicas {
				reg := Registration{ID: fmt.Sprint("r-", i), Address: fmt.Sprint("a-", i), Service: "llm", FailureDomain: fmt.Sprint("domain-", i%3)}
				if i%3 == 0 {
					reg.ColdLeft = MaxCold
				}
				list = append(list, reg)
			}
			w.SetRegistrations(list, start)
			now := start
			for b.Loop() {
				now = now.Add(time.Microsecond)
				w.RecordMessage(timekeeper.Moment{Time: now}, timekeeper.Moment{Time: now})
				w.Update(view, now)
			}
		})
	}
}
