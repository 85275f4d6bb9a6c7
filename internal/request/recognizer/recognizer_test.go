package recognizer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReturning guards against new requests that are queued behind as if their
// callers had been refused, and the other way round.
func TestReturning(t *testing.T) {
	tests := []struct {
		name  string
		route string
		left  time.Duration
		want  bool
	}{
		{"first of a route", "a", 6 * time.Second, false},
		{"same deadline", "a", 6 * time.Second, false},
		{"after a refusal", "a", 5500 * time.Millisecond, true},
		{"another route", "b", time.Second, false},
		{"a longer deadline becomes the measure", "b", 2 * time.Second, false},
		{"the earlier one is now short", "b", time.Second, true},
	}
	var r Recognizer
	for _, tc := range tests {
		qt.Check(t, r.Returning(tc.route, tc.left), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}
