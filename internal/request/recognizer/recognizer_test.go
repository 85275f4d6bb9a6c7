package recognizer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
)

// TestReturning guards against a new request that is taken for a retry and queued
// behind new ones, and against a retry that is taken for a new request.
func TestReturning(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name        string
		refused     []blocker.Fingerprint
		fingerprint blocker.Fingerprint
		elapsed     time.Duration
		want        bool
	}{
		{"never refused", nil, 1, 0, false},
		{"refused", []blocker.Fingerprint{1}, 1, time.Second, true},
		{"another was refused", []blocker.Fingerprint{2}, 1, time.Second, false},
		{"long ago", []blocker.Fingerprint{1}, 1, refusalTTL + time.Second, false},
	}
	for _, tc := range tests {
		var r Recognizer
		for _, f := range tc.refused {
			r.RecordRefusal(f, start)
		}
		qt.Check(t, r.Returning(tc.fingerprint, start.Add(tc.elapsed)), qt.Equals, tc.want, qt.Commentf(tc.name))
		qt.Check(t, r.Returning(tc.fingerprint, start.Add(tc.elapsed)), qt.IsFalse)
	}
}
