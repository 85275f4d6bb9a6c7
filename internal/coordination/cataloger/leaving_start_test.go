package cataloger

import (
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
