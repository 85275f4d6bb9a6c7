package recognizer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
)

// TestReturning guards against new requests that are queued behind as if their
// callers had been refused, and the other way round.
func TestReturning(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		refused []blocker.Fingerprint
		ask     blocker.Fingerprint
		after   time.Duration
		want    bool
	}{
		{"never refused", nil, 1, 0, false},
		{"refused", []blocker.Fingerprint{1}, 1, time.Second, true},
		{"another was refused", []blocker.Fingerprint{2}, 1, time.Second, false},
		{"long ago", []blocker.Fingerprint{1}, 1, rememberFor + time.Second, false},
	}
	for _, tc := range tests {
		var r Recognizer
		for _, f := range tc.refused {
			r.Refused(f, now)
		}
		qt.Check(t, r.Returning(tc.ask, now.Add(tc.after)), qt.Equals, tc.want, qt.Commentf(tc.name))
		qt.Check(t, r.Returning(tc.ask, now.Add(tc.after)), qt.IsFalse)
	}
}
