package cataloger

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/placer"
)

// TestCrashedReplicaOfSuccessorIsUsed guards against requests to a replica that has crashed and whose VM runs
// another one of the service already, while its registration has not been removed.
func TestCrashedReplicaOfSuccessorIsUsed(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(id, service string, startedAtMs int64) placer.Replica {
		return placer.Replica{ID: id, Address: "a:1", Service: service, Slots: 4, StartedAtMs: startedAtMs}
	}
	list := func(r ...placer.Replica) []placer.Replica { return r }
	crashed, successor := at("crashed", "s", 100), at("successor", "s", 200)
	changedLater := changed(crashed, func(r *placer.Replica) { r.StartedAtMs = 300 })
	tests := []struct {
		name string
		// lists follow each other by one second.
		lists [][]placer.Replica
		// replaced is set if another replica responds at the address of crashed after the first list.
		replaced bool
		wait     time.Duration
		want     []string
	}{
		{"both in the first list", [][]placer.Replica{list(crashed, successor)}, false, 0, []string{"successor"}},
		{"successor registered later", [][]placer.Replica{list(crashed), list(crashed, successor)}, false, 0, []string{"successor"}},
		{"removed by the store", [][]placer.Replica{list(crashed, successor), list(successor)}, false, 0, []string{"successor"}},
		{"both still registered", [][]placer.Replica{list(crashed, successor)}, false, removalTime + time.Millisecond, []string{"crashed", "successor"}},
		{"successor of another service", [][]placer.Replica{list(crashed, at("other", "t", 200))}, false, 0, []string{"crashed", "other"}},
		{"start unknown", [][]placer.Replica{list(at("crashed", "s", 0), successor)}, false, 0, []string{"crashed", "successor"}},
		{"another one responds", [][]placer.Replica{list(crashed)}, true, 0, nil},
		{"another one responds, same registration", [][]placer.Replica{list(crashed), list(crashed)}, true, 0, nil},
		{"another one responds, started again", [][]placer.Replica{list(crashed), list(changedLater)}, true, 0, []string{"crashed"}},
		{"another one responds, still registered", [][]placer.Replica{list(crashed), list(crashed)}, true, removalTime + time.Millisecond, []string{"crashed"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := Catalog{DrainTime: drainTime, HeartbeatInterval: heartbeatInterval, Log: zap.NewNop()}
			now := start
			for i, l := range tc.lists {
				now = start.Add(time.Duration(i) * time.Second)
				c.SetRegistrations(l, now)
				c.Replicas(now)
				if i == 0 && tc.replaced {
					qt.Assert(t, c.RecordReplaced(crashed, now), qt.IsTrue)
				}
			}
			qt.Assert(t, usable(&c, now.Add(tc.wait)), qt.DeepEquals, tc.want)
			if tc.wait > 0 {
				// The registration does not change, so it stays in use.
				c.SetRegistrations(tc.lists[len(tc.lists)-1], now.Add(tc.wait))
				qt.Assert(t, usable(&c, now.Add(tc.wait)), qt.DeepEquals, tc.want)
			}
		})
	}
}
