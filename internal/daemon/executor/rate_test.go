package executor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a lightly used server that reports a low rate and therefore
// looks as expensive as a busy one, and against a rate that never decreases.
func TestRateOfLightlyUsedServer(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	m := &rateMeter{}
	m.started(now)
	produce := func(perSecond int, d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(100 * time.Millisecond)
			m.add(perSecond/10, now)
		}
	}
	produce(400, 10*time.Second)
	busy := m.perSecond(now)
	c.Assert(busy > 350, qt.IsTrue, qt.Commentf("%.0f", busy))
	produce(50, 2*time.Second)
	c.Assert(m.perSecond(now) > busy*3/4, qt.IsTrue, qt.Commentf("%.0f after %.0f", m.perSecond(now), busy))
	produce(50, time.Minute)
	c.Assert(m.perSecond(now) < busy/4, qt.IsTrue, qt.Commentf("%.0f after %.0f", m.perSecond(now), busy))
}
