package planner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/weights/planner"
)

var pauses = []time.Duration{1100 * time.Millisecond, 1500 * time.Millisecond, 1900 * time.Millisecond}

// TestPausedOriginIsReadTwice guards against chunks that importers take over from each other
// because the origin pauses for all of them.
func TestPausedOriginIsReadTwice(t *testing.T) {
	for _, pause := range pauses {
		t.Run(pause.String(), func(t *testing.T) {
			c := qt.New(t)
			all := peers("central", 2)
			p := newPlanner(all[0], 400, all)
			markAllReachable(p, epoch)
			now := epoch
			// Imports take 20 ms until the origin pauses.
			for now.Before(epoch.Add(time.Second)) {
				p.Tick(now)
				requests := startAll(p, now)
				now = now.Add(20 * time.Millisecond)
				for _, req := range requests {
					p.Finish(req, planner.Done, now)
				}
				for i := range 400 {
					if p.ImportOrder(i)[0].VM == all[1].VM && !p.Holds(i) {
						p.AddChunks(all[1].VM, []uint32{uint32(i)}, now)
						break
					}
				}
			}
			c.Assert(p.MissingChunks() > 200, qt.IsTrue)
			p.Tick(now)
			waiting := startAll(p, now)
			c.Assert(len(waiting) > 0, qt.IsTrue)
			for end := now.Add(pause); now.Before(end); now = now.Add(100 * time.Millisecond) {
				p.Tick(now)
				for _, req := range startAll(p, now) {
					c.Check(req.Kind == planner.FromOrigin, qt.IsFalse, qt.Commentf("%s", req.Reason))
				}
			}
			for _, req := range waiting {
				c.Check(p.Timeout(req) > pause || req.Kind == planner.FromPeer, qt.IsTrue)
			}
		})
	}
}

// TestPausedSenderIsAvoided guards against a sender that is not used for long because it
// paused.
func TestPausedSenderIsAvoided(t *testing.T) {
	c := qt.New(t)
	all := peers("central", 2)
	p := newPlanner(all[0], 4, all)
	markAllReachable(p, epoch, 0, 1, 2, 3)
	now := epoch
	for range 3 {
		requests := startAll(p, now)
		c.Assert(len(requests) > 0, qt.IsTrue)
		now = now.Add(1100 * time.Millisecond)
		for _, req := range requests {
			c.Check(req.VM, qt.Equals, all[1].VM)
			p.Finish(req, planner.Failed, now)
		}
		now = now.Add(1100 * time.Millisecond)
		p.Tick(now)
	}
	c.Assert(p.Avoided(), qt.HasLen, 0)
}
