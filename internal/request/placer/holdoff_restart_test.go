package placer

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHoldOffOfUnlistedStartIsLost guards against requests to a replica that has started again
// and asked for none before its registration had the new start.
func TestHoldOffOfUnlistedStartIsLost(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	listed := func(startedAt time.Time) Replica {
		return Replica{ID: "r0", Address: "r0:1", Service: "s", Slots: 4, StartedAtMs: startedAt.UnixMilli()}
	}
	type said struct{ at, until int }
	tests := []struct {
		name string
		// answers are those of requests placed with the old start.
		answers []said
		started int
		// later are those of requests placed with the new start.
		later []said
		asked int
		want  bool
	}{
		{"answered before the new start", []said{{0, 3000}}, 500, nil, 1500, true},
		{"answered after the new start", []said{{1000, 4000}}, 500, nil, 3900, false},
		{"answered after the new start, time over", []said{{1000, 4000}}, 500, nil, 4000, true},
		{"answered before it, and shorter after it", []said{{0, 9000}, {1000, 2000}}, 500, nil, 1900, false},
		{"answered before it, and shorter after it, time over", []said{{0, 9000}, {1000, 2000}}, 500, nil, 2000, true},
		{"answered after it, then with the new start and shorter", []said{{1000, 4000}}, 500, []said{{1600, 2000}}, 3900, false},
		{"answered before it, then with the new start and shorter", []said{{0, 9000}}, 500, []said{{1600, 2000}}, 2000, true},
	}
	for _, tc := range tests {
		p := &Placer{}
		p.Update([]Replica{listed(at(-1000))}, start)
		for _, a := range tc.answers {
			p.HoldOff(listed(at(-1000)), at(a.until), at(a.at))
		}
		p.Update([]Replica{listed(at(tc.started))}, at(1500))
		for _, a := range tc.later {
			p.HoldOff(listed(at(tc.started)), at(a.until), at(a.at))
		}
		_, err := p.Place(context.Background(), Query{Service: "s"}, at(tc.asked))
		qt.Check(t, err == nil, qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}
