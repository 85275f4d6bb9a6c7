package cataloger

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/placer"
)

// TestLeavingReplicaIsUsed guards against requests to a replica that has said in a response
// that it leaves, whatever older registrations and reports say.
func TestLeavingReplicaIsUsed(t *testing.T) {
	start := time.Unix(1000, 0)
	known := registration("r0")
	known.StartedAtMs = 7
	again, draining, earlier := known, known, known
	again.StartedAtMs = 8
	draining.Draining = true
	earlier.StartedAtMs = 6
	tests := []struct {
		name string
		said placer.Replica
		then func(c *Catalog, now time.Time)
		want []string
	}{
		{"at once", known, func(*Catalog, time.Time) {}, nil},
		{"a registration that lags", known, func(c *Catalog, now time.Time) { c.SetRegistrations([]placer.Replica{known}, now) }, nil},
		{"registered as draining, then as ready", known, func(c *Catalog, now time.Time) {
			c.SetRegistrations([]placer.Replica{draining}, now)
			c.SetRegistrations([]placer.Replica{known}, now)
		}, nil},
		{"removed, then registered as ready", known, func(c *Catalog, now time.Time) {
			c.SetRegistrations(nil, now)
			c.SetRegistrations([]placer.Replica{known}, now)
		}, nil},
		{"an agent reports that it is up", known, func(c *Catalog, now time.Time) {
			c.RecordReport(known.Address, true, false, known.Versions, now)
		}, nil},
		{"an outage and a restore of the store", known, func(c *Catalog, now time.Time) {
			c.RecordOutage(now)
			c.RecordRestore(now)
			c.SetRegistrations([]placer.Replica{known}, now)
		}, nil},
		{"started again under its ID", known, func(c *Catalog, now time.Time) { c.SetRegistrations([]placer.Replica{again}, now) }, []string{"r0"}},
		{"said by an earlier incarnation", earlier, func(*Catalog, time.Time) {}, []string{"r0"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := Catalog{DrainTime: drainTime, HeartbeatInterval: heartbeatInterval, Log: zap.NewNop()}
			c.SetRegistrations([]placer.Replica{known}, start)
			c.RecordLeaving(tc.said, start.Add(time.Second))
			tc.then(&c, start.Add(2*time.Second))
			qt.Assert(t, usable(&c, start.Add(time.Minute)), qt.DeepEquals, tc.want)
		})
	}
}
