package cataloger

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/placer"
)

// started returns a registration of a replica that started some time after the test.
func started(id string, after time.Duration) placer.Replica {
	r := registration(id)
	r.StartedAtMs = time.Unix(1000, 0).Add(after).UnixMilli()
	return r
}

// TestUnknownStartHidesLeaving guards against requests to a replica that has said that it
// leaves when a registration lacks its start or is older than the one known.
func TestUnknownStartHidesLeaving(t *testing.T) {
	start := time.Unix(1000, 0)
	unknown, earlier, known, later := registration("r0"), started("r0", -2*time.Minute), started("r0", -time.Minute), started("r0", 90*time.Second)
	olderDraining := earlier
	olderDraining.Draining = true
	type lists [][]placer.Replica
	tests := []struct {
		name   string
		before placer.Replica
		said   placer.Replica
		then   lists
		want   []string
	}{
		{"start becomes unknown", known, known, lists{{unknown}}, nil},
		{"start becomes unknown and known again", known, known, lists{{unknown}, {known}}, nil},
		{"start becomes known", unknown, unknown, lists{{known}}, nil},
		{"start becomes known, then a later one", unknown, unknown, lists{{known}, {later}}, []string{"r0"}},
		{"said before the start was known", known, unknown, nil, nil},
		{"said before the start was unknown", unknown, known, nil, nil},
		{"an older registration", known, known, lists{{earlier}}, nil},
		{"an older registration, then the last one", known, known, lists{{earlier}, {known}}, nil},
		{"an older registration as draining, vanished, then the last one", known, known, lists{{olderDraining}, nil, {known}}, nil},
		{"started again, then an older registration", known, known, lists{{later}, {known}}, nil},
		{"started again", known, known, lists{{later}}, []string{"r0"}},
		{"started again with unknown start", known, known, lists{{unknown}, {later}}, []string{"r0"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := Catalog{DrainTime: drainTime, HeartbeatInterval: heartbeatInterval, Log: zap.NewNop()}
			c.SetRegistrations([]placer.Replica{tc.before}, start)
			c.RecordLeaving(tc.said, start.Add(time.Minute))
			now := start.Add(2 * time.Minute)
			for _, list := range tc.then {
				c.SetRegistrations(list, now)
				now = now.Add(time.Second)
			}
			qt.Assert(t, usable(&c, now), qt.DeepEquals, tc.want)
		})
	}
}

// TestStatementIsForgotten guards against requests to a replica that said long ago that it
// leaves and whose registration returns as ready.
func TestStatementIsForgotten(t *testing.T) {
	start := time.Unix(1000, 0)
	r := started("r0", -time.Minute)
	tests := []struct {
		name string
		then func(c *Catalog, now time.Time)
	}{
		{"vanished for three hours", func(c *Catalog, now time.Time) {
			c.SetRegistrations(nil, now)
			c.SetRegistrations(nil, now.Add(3*time.Hour))
		}},
		{"lost in a restore after an hour", func(c *Catalog, now time.Time) {
			c.SetRegistrations([]placer.Replica{r}, now.Add(time.Hour))
			c.RecordRestore(now.Add(time.Hour))
			c.SetRegistrations(nil, now.Add(time.Hour))
			c.SetRegistrations(nil, now.Add(time.Hour+time.Minute))
		}},
		{"beside many others that left", func(c *Catalog, now time.Time) {
			c.SetRegistrations(nil, now)
			for i := range maxDepartures - 1 {
				c.RecordLeaving(started("other"+strconv.Itoa(i), 0), now)
			}
			c.SetRegistrations(nil, now)
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := Catalog{DrainTime: drainTime, HeartbeatInterval: heartbeatInterval, Log: zap.NewNop()}
			c.SetRegistrations([]placer.Replica{r}, start)
			c.RecordLeaving(r, start)
			tc.then(&c, start.Add(time.Second))
			c.SetRegistrations([]placer.Replica{r}, start.Add(4*time.Hour))
			qt.Assert(t, usable(&c, start.Add(4*time.Hour)), qt.HasLen, 0)
		})
	}
}

// TestStatementsGrow guards against memory that grows with each replica that leaves.
func TestStatementsGrow(t *testing.T) {
	c := Catalog{DrainTime: drainTime, Log: zap.NewNop()}
	now := time.Unix(1000, 0)
	for i := range 2 * maxDepartures {
		c.RecordLeaving(started("r"+strconv.Itoa(i), 0), now.Add(time.Duration(i)*time.Second))
	}
	qt.Assert(t, len(c.statements) <= maxDepartures*9/8, qt.IsTrue, qt.Commentf("%d statements", len(c.statements)))
	_, newest := c.statements["r"+strconv.Itoa(2*maxDepartures-1)]
	qt.Assert(t, newest, qt.IsTrue)
}
