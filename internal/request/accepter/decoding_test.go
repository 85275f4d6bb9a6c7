package accepter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMaxDecoding guards against a setting of the size of the bodies that are decoded at the same time
// that has no effect, against a body above it that waits forever, and against small bodies that wait.
func TestMaxDecoding(t *testing.T) {
	tests := []struct {
		name    string
		limit   int64
		running []int
		size    int
		waits   bool
	}{
		{"default, room", 0, []int{2 << 20}, 2 << 20, false},
		{"default, no room", 0, []int{2 << 20}, 2<<20 + 1, true},
		{"smaller, room", 1 << 20, []int{512 << 10}, 512 << 10, false},
		{"smaller, no room", 1 << 20, []int{512 << 10}, 512<<10 + 1, true},
		{"larger", 16 << 20, []int{8 << 20}, 8 << 20, false},
		{"body above the limit", 64 << 10, nil, 8 << 20, false},
		{"body above the limit, others", 64 << 10, []int{SmallBody + 1}, 8 << 20, true},
		{"small body, others", SmallBody, []int{8 << 20}, SmallBody, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				a := &Accepter{MaxDecoding: tc.limit}
				a.Handler()
				for _, size := range tc.running {
					_, err := a.startDecoding(context.Background(), size)
					c.Assert(err, qt.IsNil)
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err := a.startDecoding(ctx, tc.size)
				if tc.waits {
					c.Check(err, qt.ErrorIs, context.DeadlineExceeded)
				} else {
					c.Check(err, qt.IsNil)
				}
			})
		})
	}
}
