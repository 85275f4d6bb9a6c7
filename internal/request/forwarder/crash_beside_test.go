package forwarder

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
)

// TestCrashEndsSoundAttempt guards against a request that fails because the crash of a silent
// backend server ends the attempt at a sound one beside it, with no other server left.
func TestCrashEndsSoundAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := &fakeAgent{script: after(2500*time.Millisecond, crashes), cancelState: running}
		sound := &fakeAgent{script: after(time.Second, serveWords), cancelState: running}
		r := newFixture(t, "", silent, sound)
		var got sink
		res := r.Run(t.Context(), modelRequest(), &got)
		qt.Assert(t, res.Outcome, qt.Equals, identifier.OutcomeServed, qt.Commentf("%v", res.Err))
	})
}
