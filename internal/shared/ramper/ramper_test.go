package ramper

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLeft guards against an effect that never ends, or that is negative after its
// end or above its initial value before its start.
func TestLeft(t *testing.T) {
	tests := []struct {
		elapsed time.Duration
		want    float64
	}{
		{-time.Second, 1},
		{0, 1},
		{time.Second, 0.75},
		{3 * time.Second, 0.25},
		{4 * time.Second, 0},
		{time.Hour, 0},
	}
	for _, tt := range tests {
		qt.Check(t, Left(tt.elapsed, 4*time.Second), qt.Equals, tt.want, qt.Commentf("%v", tt.elapsed))
	}
}
