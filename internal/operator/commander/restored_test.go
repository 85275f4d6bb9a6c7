package commander

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/operator/publisher"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
)

// Guards against a change that is reported to be in force although a restore of
// the store has lost it before any daemon had it.
func TestApplyReportsRevisionLostByRestore(t *testing.T) {
	for _, loaded := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			ctx := t.Context()
			m := &emulator.MemoryObjects{}
			var out, errOut strings.Builder
			p := &Program{Stdout: &out, Stderr: &errOut, Author: "mali", Objects: m}
			c.Assert(p.Run(ctx, []string{"apply", "testdata/set.yaml", writeTeam(t, "1")}), qt.Equals, ExitDone, qt.Commentf("%s", &errOut))
			daemon := &publisher.Publisher{Objects: m, Author: "entry-1"}
			current, _, err := daemon.Load(ctx)
			c.Assert(err, qt.IsNil)
			earlier := m.Copy()
			time.AfterFunc(time.Second, func() {
				if loaded {
					current, _, _ = daemon.Load(ctx)
				}
				m.Restore(earlier)
				_ = daemon.CarryOver(ctx, time.Now(), current)
				putStatus(ctx, m, "status/central", regionAtRevisions(1_000_000_000+current.Number))
			})
			code := p.Run(ctx, []string{"apply", "--wait", writeTeam(t, "2")})
			if loaded {
				c.Assert(code, qt.Equals, ExitDone, qt.Commentf("%s", &errOut))
				return
			}
			c.Assert(code, qt.Equals, ExitNotInForce, qt.Commentf("%s", &out))
			c.Assert(errOut.String(), qt.Contains, "revision 2 was lost")
		})
	}
}
