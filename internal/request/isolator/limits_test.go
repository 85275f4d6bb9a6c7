package isolator_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/isolator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// TestManySuspects guards against suspects that are kept without a limit, and against a limit that
// keeps a request from being blocked once the others are no longer suspect.
func TestManySuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		net := newNetwork(1)
		node := net.isolators[0]
		report := func(fingerprint, vm string) {
			_, err := node.SuspectHere(context.Background(), &messenger.SuspectRequest{Fingerprint: fingerprint, Vm: vm, Crashed: true})
			c.Assert(err, qt.IsNil)
		}
		const reports, limit = 9000, 8192
		for k := range reports {
			report(fmt.Sprint("mill/", k), "vm-1")
		}
		suspects := 0
		for k := range reports {
			if _, _, suspected := node.Blocked(fmt.Sprint("mill/", k), time.Now()); suspected {
				suspects++
			}
		}
		c.Check(suspects > limit*9/10, qt.IsTrue, qt.Commentf("%d", suspects))
		c.Check(suspects <= limit, qt.IsTrue, qt.Commentf("%d", suspects))
		time.Sleep(isolator.SuspicionDuration + time.Second)
		report("mill/bad", "vm-1")
		report("mill/bad", "vm-2")
		_, blocked, _ := node.Blocked("mill/bad", time.Now())
		c.Check(blocked, qt.IsTrue)
		node.Observe([]*messenger.Suspicion{{Fingerprint: strings.Repeat("x", isolator.MaxTextBytes+1), Sequence: 1, Blocked: true, UntilMs: time.Now().Add(time.Hour).UnixMilli()}})
		_, blocked, _ = node.Blocked(strings.Repeat("x", isolator.MaxTextBytes+1), time.Now())
		c.Check(blocked, qt.IsFalse)
	})
}
