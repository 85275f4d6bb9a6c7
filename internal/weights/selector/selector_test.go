package selector

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const window = 8 * time.Second

func holding(versions ...int) func(int) bool {
	return func(v int) bool {
		for _, held := range versions {
			if held == v {
				return true
			}
		}
		return false
	}
}

// TestOldest guards against requests that begin on a version whose time is
// over, also in a daemon that has just started.
func TestOldest(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	n := &Named{Window: window}
	c.Assert(n.Known(), qt.IsFalse)
	n.Learn(map[string]int{"m": 2}, start)
	c.Assert(n.Known(), qt.IsTrue)
	c.Assert(n.Oldest("m", start), qt.Equals, 2)
	c.Assert(n.Learn(map[string]int{"m": 3}, start.Add(time.Second)), qt.DeepEquals, []string{"m"})
	c.Assert(n.Learn(map[string]int{"m": 3}, start.Add(2*time.Second)), qt.HasLen, 0)
	tests := []struct {
		after time.Duration
		want  int
	}{
		{time.Second, 2},
		{time.Second + window - margin - time.Millisecond, 2},
		{time.Second + window - margin, 3},
	}
	for _, tc := range tests {
		c.Check(n.Oldest("m", start.Add(tc.after)), qt.Equals, tc.want)
	}
	c.Assert(n.Oldest("other", start), qt.Equals, 0)
}

// TestNext guards against agents that load together, that leave an empty engine
// idle, or that fetch a version which a newer one has replaced.
func TestNext(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name   string
		engine Engine
		held   func(int) bool
		turn   Turn
		want   Action
	}{
		{"newest served", Engine{Version: 3}, holding(), Turn{0, 4}, Nothing{}},
		{"newest missing", Engine{Version: 2}, holding(2), Turn{0, 4}, Fetch{Version: 3}},
		{"newest held, first in turn", Engine{Version: 2}, holding(3), Turn{0, 4}, Load{Version: 3, At: start.Add(time.Second)}},
		{"newest held, last in turn", Engine{Version: 2}, holding(3), Turn{3, 4}, Load{Version: 3, At: start.Add(4 * time.Second)}},
		{"busy", Engine{Version: 2, Busy: true}, holding(3), Turn{0, 4}, Nothing{}},
		{"empty engine loads at once", Engine{}, holding(3), Turn{3, 4}, Load{Version: 3, At: start.Add(2 * time.Second)}},
		{"version in between is there first", Engine{Version: 1}, holding(2), Turn{0, 4}, Load{Version: 2, At: start.Add(time.Second - window)}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			n := &Named{Window: window}
			n.Learn(map[string]int{"m": 2}, start)
			n.Learn(map[string]int{"m": 3}, start)
			qt.Assert(t, n.Next("m", tc.engine, tc.held, tc.turn, start.Add(2*time.Second)), qt.DeepEquals, tc.want)
		})
	}
}
