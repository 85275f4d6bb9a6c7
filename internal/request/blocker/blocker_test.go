package blocker

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBlocked guards against blocking requests that were merely in progress
// beside the one at fault, and against sending on the one at fault.
func TestBlocked(t *testing.T) {
	now := time.Unix(1000, 0)
	crash := func(replicas ...string) []Crash {
		var out []Crash
		for _, r := range replicas {
			out = append(out, Crash{Fingerprint: 1, Replica: r})
		}
		return out
	}
	tests := []struct {
		name    string
		crashes []Crash
		success bool
		after   time.Duration
		want    bool
	}{
		{"one replica", crash("a"), false, 0, false},
		{"the same one again", crash("a", "a", "a", "a"), false, 0, false},
		{"two replicas", crash("a", "b"), false, 0, false},
		{"three replicas", crash("a", "b", "c"), false, 0, true},
		{"cleared by a success", crash("a", "b", "c"), true, 0, false},
		{"long ago", crash("a", "b", "c"), false, rememberFor, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var b Blocker
			for _, c := range tc.crashes {
				b.Crashed(c, now)
			}
			if tc.success {
				b.Succeeded(1)
			}
			qt.Assert(t, b.Blocked(1, now.Add(tc.after)), qt.Equals, tc.want)
			qt.Assert(t, b.Blocked(2, now), qt.IsFalse)
		})
	}
}

// TestFingerprint guards against two requests that differ and share a
// fingerprint because their parts were joined.
func TestFingerprint(t *testing.T) {
	qt.Assert(t, NewFingerprint("ab", "c"), qt.Not(qt.Equals), NewFingerprint("a", "bc"))
	qt.Assert(t, NewFingerprint("a", "b"), qt.Equals, NewFingerprint("a", "b"))
}
