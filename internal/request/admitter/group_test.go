package admitter

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// regionalCapacity is the capacity of backend servers in two regions.
type regionalCapacity struct {
	north, south int
	// refusal is the reason that no backend server may run a request.
	refusal string
}

func (r *regionalCapacity) capacity(_ identifier.Target, regions matcher.Regions, _ time.Time) int {
	n := 0
	if regions.Allows("north") {
		n += r.north
	}
	if regions.Allows("south") {
		n += r.south
	}
	return n
}

func (r *regionalCapacity) reason(t identifier.Target, regions matcher.Regions, now time.Time) string {
	if r.capacity(t, regions, now) > 0 {
		return ""
	}
	return r.refusal
}

func newRegional(r *regionalCapacity) *Admitter {
	return &Admitter{Capacity: r.capacity, Refusal: r.reason, Entries: func(time.Time) int { return 1 }}
}

func restricted(regions ...string) *identifier.Request {
	req := request(&parser.Team{Name: "t"}, 1, standard, time.Minute)
	req.Regions = regions
	return req
}

// admission is a request that waits for its admission.
type admission struct {
	admitter *Admitter
	req      *identifier.Request
	permit   *Permit
	err      error
	done     chan struct{}
}

func (w *admission) run(t *testing.T) {
	defer close(w.done)
	w.permit, w.err = w.admitter.Admit(t.Context(), w.req, time.Now())
}

func (w *admission) isDone() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

func start(t *testing.T, a *Admitter, req *identifier.Request) *admission {
	w := &admission{admitter: a, req: req, done: make(chan struct{})}
	go w.run(t)
	synctest.Wait()
	return w
}

// TestRestrictedRequestsShareCapacity guards against restricted requests that take
// the capacity of other regions, against more requests in all than there is capacity,
// and against a queue of one kind that starves the other.
func TestRestrictedRequestsShareCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := newRegional(&regionalCapacity{north: 2, south: 2})
		var north []*admission
		for range 3 {
			north = append(north, start(t, a, restricted("north")))
		}
		c.Assert(north[1].isDone(), qt.IsTrue)
		c.Assert(north[2].isDone(), qt.IsFalse, qt.Commentf("the third request has no server in region north"))
		all := []*admission{start(t, a, restricted()), start(t, a, restricted())}
		c.Assert(all[1].isDone(), qt.IsTrue)
		waiting := start(t, a, restricted())
		other := start(t, a, restricted("south"))
		c.Assert(waiting.isDone(), qt.IsFalse, qt.Commentf("four requests run at four servers"))
		c.Assert(other.isDone(), qt.IsFalse)
		for _, w := range []*admission{north[0], north[1], all[0], all[1]} {
			w.permit.Release(time.Now())
		}
		synctest.Wait()
		for _, w := range []*admission{north[2], waiting, other} {
			c.Assert(w.isDone(), qt.IsTrue)
			c.Assert(w.err, qt.IsNil)
			w.permit.Release(time.Now())
		}
		c.Check(a.groups[identifier.Target{Model: "m"}].running(), qt.Equals, 0)
	})
}

// TestUnplaceableRequestsAreRejected guards against requests that wait until their
// deadline for backend servers on which they may not run, and against a rejection of
// those that only have to wait for their turn.
func TestUnplaceableRequestsAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := &regionalCapacity{north: 1, south: 1, refusal: "evacuated"}
		a := newRegional(r)
		running := start(t, a, restricted("north"))
		queued := start(t, a, restricted("north"))
		other := start(t, a, restricted("south"))
		otherQueued := start(t, a, restricted("south"))
		c.Assert(queued.isDone(), qt.IsFalse)
		r.north = 0
		a.Wake(time.Now())
		synctest.Wait()
		checkRefused(c, queued)
		checkRefused(c, start(t, a, restricted("north")))
		c.Assert(otherQueued.isDone(), qt.IsFalse)
		running.permit.Release(time.Now())
		other.permit.Release(time.Now())
		synctest.Wait()
		c.Assert(otherQueued.err, qt.IsNil)
		otherQueued.permit.Release(time.Now())
		c.Check(a.groups[identifier.Target{Model: "m"}].running(), qt.Equals, 0)

		// Without a reason, there are no ready backend servers, and the message says so.
		r.south, r.refusal = 0, ""
		_, err := a.Admit(t.Context(), restricted(), time.Now())
		c.Assert(err, qt.ErrorMatches, "no replica of m is ready")
	})
}

func checkRefused(c *qt.C, w *admission) {
	c.Helper()
	c.Assert(w.isDone(), qt.IsTrue)
	var refused *identifier.RequestError
	c.Assert(errors.As(w.err, &refused), qt.IsTrue)
	c.Check(refused.Status, qt.Equals, 503)
	c.Check(refused.Outcome, qt.Equals, identifier.OutcomeNotRun)
	c.Check(refused.Message, qt.Equals, "evacuated")
	c.Check(refused.RetryAfter > 0, qt.IsTrue)
}

// TestReservedServers guards against restricted requests that wait although backend servers which only they may use
// are idle, because all others are busy, and against others that wait because restricted ones run on those.
func TestReservedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		// The subset has two servers in the south. Two more in the north are for restricted requests only.
		a := newRegional(&regionalCapacity{south: 2})
		a.Capacity = func(_ identifier.Target, regions matcher.Regions, _ time.Time) int {
			n := 0
			if regions.Allows("south") {
				n += 2
			}
			if regions != nil && regions.Allows("north") {
				n += 2
			}
			return n
		}
		a.Reserved = func(_ identifier.Target, regions matcher.Regions, _ time.Time) int {
			if regions != nil && regions.Allows("north") {
				return 2
			}
			return 0
		}
		var running []*admission
		for range 2 {
			running = append(running, start(t, a, restricted()))
		}
		for range 2 {
			running = append(running, start(t, a, restricted("north")))
		}
		for i, w := range running {
			c.Check(w.isDone(), qt.IsTrue, qt.Commentf("request %d", i))
		}
		waiting := []*admission{start(t, a, restricted()), start(t, a, restricted("north")), start(t, a, restricted("south"))}
		for i, w := range waiting {
			c.Check(w.isDone(), qt.IsFalse, qt.Commentf("waiting request %d", i))
		}
		// A server in the south becomes free, although those in the north are busy.
		running[0].permit.Release(time.Now())
		synctest.Wait()
		c.Check(waiting[0].isDone() != waiting[2].isDone(), qt.IsTrue)
		c.Check(waiting[1].isDone(), qt.IsFalse)
		for _, w := range append(running[1:], waiting...) {
			<-w.done
			c.Assert(w.err, qt.IsNil)
			w.permit.Release(time.Now())
			synctest.Wait()
		}
	})
}
