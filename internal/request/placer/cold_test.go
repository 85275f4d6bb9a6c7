package placer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/shedder"
	"github.com/lentilbridge/lentilbridge/internal/request/warmer"
)

// coldPlacer returns the placer of the only entry daemon, which may send 4 requests per second to r1 from now on,
// while r2 is warm.
func coldPlacer(now time.Time) *Placer {
	w := &warmer.Warmer{VM: "vm", FailureDomain: "east1", StartedAt: now.Add(-time.Hour)}
	w.SetLimits(map[string]warmer.Limit{"s": {Duration: 10 * time.Second, PerSecond: 4}})
	p := &Placer{VM: "vm", FailureDomain: "east1", Random: zeroRandom, Warmer: w}
	p.SetColdServices([]string{"s"})
	list := []Replica{placedReplica("r1", "east1"), placedReplica("r2", "west1")}
	list[0].Slots, list[1].Slots = 100, 100
	setCold(p, 0, now)
	p.Update(list, now)
	return p
}

// setCold makes r1 cold for a time. The share of the daemon in it rises after 1.6 s.
func setCold(p *Placer, left time.Duration, now time.Time) {
	p.Warmer.SetRegistrations([]warmer.Registration{{ID: "r1", Address: "r1:1", Service: "s", FailureDomain: "east1", Revision: uint64(now.UnixNano()) + uint64(left), ColdLeft: left}}, now)
	updateCold(p, now)
}

func updateCold(p *Placer, now time.Time) {
	view := warmer.View{Members: []warmer.Member{{VM: "vm", FailureDomain: "east1", Live: true, Ready: true}}, Alone: true}
	p.SetCold(p.Warmer.Update(view, now), now)
}

// awaitShare makes r1 cold and waits until the daemon has its share.
func awaitShare(p *Placer) {
	setCold(p, 10*time.Second, time.Now())
	time.Sleep(1600 * time.Millisecond)
	updateCold(p, time.Now())
}

func placeNow(p *Placer, q Query) (Placement, error) {
	return p.Place(context.Background(), q, time.Now())
}

// TestChoiceOfColdReplica guards against more requests to a cold replica than the share of the daemon, and against a share
// that is not used.
func TestChoiceOfColdReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := coldPlacer(time.Now())
		count := func() (cold, warm int) {
			for range 100 {
				time.Sleep(10 * time.Millisecond)
				placed, err := placeNow(p, Query{Service: "s"})
				c.Assert(err, qt.IsNil)
				if placed.Replica.ID == "r1" {
					cold++
					c.Check(placed.Cold, qt.Equals, p.Cold(time.Now()) > 0)
				} else {
					warm++
					c.Check(placed.Cold, qt.IsFalse)
				}
				c.Check(placed.Permitted(Query{Service: "s"}, time.Now()), qt.IsNil)
				placed.Done(Succeeded, time.Now())
			}
			return cold, warm
		}
		cold, _ := count()
		c.Check(cold, qt.Equals, 100)
		setCold(p, 10*time.Second, time.Now())
		cold, _ = count()
		c.Check(cold, qt.Equals, 0)
		time.Sleep(700 * time.Millisecond)
		updateCold(p, time.Now())
		cold, warm := count()
		c.Check(cold, qt.Equals, 4)
		c.Check(warm, qt.Equals, 96)
		time.Sleep(10 * time.Second)
		updateCold(p, time.Now())
		cold, _ = count()
		c.Check(cold, qt.Equals, 100)
	})
}

// TestTokenAtSend guards against a request that is sent to a cold replica without a token of that time: it was placed before the
// replica became cold, or has waited since.
func TestTokenAtSend(t *testing.T) {
	tests := []struct {
		name string
		// place prepares the replica and places the request, and before is called before its send.
		place  func(p *Placer) Placement
		before func(p *Placer)
		// left is the number of further requests that may be sent within the second.
		left    int
		refused bool
	}{
		{"at once", placeCold, func(*Placer) {}, 3, false},
		{"waited for a moment", placeCold, func(*Placer) { time.Sleep(90 * time.Millisecond) }, 3, false},
		{"waited for longer", placeCold, func(*Placer) { time.Sleep(200 * time.Millisecond) }, 2, false},
		{"waited until others have used the tokens", placeCold, func(p *Placer) {
			time.Sleep(100 * time.Millisecond)
			useTokens(p)
		}, 1, true},
		{"waited, daemon does not hear from others", placeCold, func(p *Placer) {
			p.SetCold(p.Warmer.Update(warmer.View{}, time.Now()), time.Now())
		}, 0, true},
		{"turned cold", func(p *Placer) Placement {
			placed, _ := placeNow(p, Query{Service: "s"})
			return placed
		}, awaitShare, 3, false},
		{"turned cold, others have used the tokens", func(p *Placer) Placement {
			placed, _ := placeNow(p, Query{Service: "s"})
			return placed
		}, func(p *Placer) {
			awaitShare(p)
			useTokens(p)
		}, 0, true},
		{"turned cold, no share yet", func(p *Placer) Placement {
			placed, _ := placeNow(p, Query{Service: "s"})
			return placed
		}, func(p *Placer) { setCold(p, 10*time.Second, time.Now()) }, 0, true},
		{"turned cold, no longer listed", func(p *Placer) Placement {
			placed, _ := placeNow(p, Query{Service: "s"})
			return placed
		}, func(p *Placer) {
			p.Update([]Replica{placedReplica("r2", "west1")}, time.Now())
			setCold(p, 10*time.Second, time.Now())
		}, 0, true},
		{"no longer cold", placeCold, func(p *Placer) {
			useTokens(p)
			time.Sleep(10 * time.Second)
			updateCold(p, time.Now())
		}, 0, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := coldPlacer(time.Now())
				placed := tc.place(p)
				c.Assert(placed.Replica.ID, qt.Equals, "r1")
				tc.before(p)
				err := placed.Permitted(Query{Service: "s"}, time.Now())
				var notPermitted *NotPermittedError
				c.Check(errors.As(err, &notPermitted), qt.Equals, tc.refused, qt.Commentf("%v", err))
				left := 0
				if p.Cold(time.Now()) > 0 {
					left = useTokens(p)
				}
				c.Check(left, qt.Equals, tc.left)
			})
		})
	}
}

func placeCold(p *Placer) Placement {
	awaitShare(p)
	placed, _ := placeNow(p, Query{Service: "s"})
	return placed
}

// useTokens takes the tokens of the present second and returns their number.
func useTokens(p *Placer) (n int) {
	for range 10 {
		time.Sleep(50 * time.Millisecond)
		if placementOn(p, Replica{ID: "r1", Address: "r1:1"}).Permitted(Query{Service: "s"}, time.Now()) == nil {
			n++
		}
	}
	return n
}

// placementOn returns the placement of a request on a replica, without a token.
func placementOn(p *Placer, r Replica) Placement {
	return Placement{Replica: r, owner: p, record: &placementRecord{}}
}

// TestSecondCheck guards against a request that takes a token at each check of the same send: once before a connection
// is made, and once afterwards.
func TestSecondCheck(t *testing.T) {
	placeWarm := func(p *Placer) Placement {
		placed, _ := placeNow(p, Query{Service: "s"})
		awaitShare(p)
		return placed
	}
	tests := []struct {
		name  string
		place func(p *Placer) Placement
		// wait is the time between the checks.
		wait time.Duration
		left int
	}{
		{"placed on a cold replica", placeCold, 0, 3},
		{"turned cold", placeWarm, 0, 3},
		{"turned cold, connection made quickly", placeWarm, 90 * time.Millisecond, 3},
		{"turned cold, connection made slowly", placeWarm, 150 * time.Millisecond, 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := coldPlacer(time.Now())
				placed := tc.place(p)
				c.Assert(placed.Replica.ID, qt.Equals, "r1")
				c.Check(placed.Permitted(Query{Service: "s"}, time.Now()), qt.IsNil)
				time.Sleep(tc.wait)
				c.Check(placed.Permitted(Query{Service: "s"}, time.Now()), qt.IsNil)
				placed.Done(Neutral, time.Now())
				c.Check(useTokens(p), qt.Equals, tc.left)
			})
		})
	}
}

// TestTokenOfUnsentRequest guards against tokens that are lost with requests that were placed and not sent, and against those
// that are returned although the replica may have got the request.
func TestTokenOfUnsentRequest(t *testing.T) {
	tests := []struct {
		name string
		send bool
		wait time.Duration
		left int
	}{
		{"not sent", false, 0, 4},
		{"not sent for some time", false, 200 * time.Millisecond, 3},
		{"sent", true, 0, 3},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := coldPlacer(time.Now())
				placed := placeCold(p)
				if tc.send {
					c.Assert(placed.Permitted(Query{Service: "s"}, time.Now()), qt.IsNil)
				}
				time.Sleep(tc.wait)
				placed.Done(Neutral, time.Now())
				c.Check(useTokens(p), qt.Equals, tc.left)
				requests, _ := p.Warmer.Counts()
				c.Check(requests, qt.Equals, uint64(4))
			})
		})
	}
}

// TestQueueForColdReplica guards against requests that are refused although the daemon gets tokens in time, that get them out of the
// order of their ranks, and that wait although other daemons use the replica.
func TestQueueForColdReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := coldPlacer(time.Now())
		p.SetEvacuated([]string{"west1"}, time.Now())
		awaitShare(p)
		began := time.Now()
		done := make(chan int, 16)
		for rank := range 3 {
			for range 3 {
				go func() {
					time.Sleep(time.Duration(3-rank) * time.Millisecond)
					q := Query{Service: "s", MaxWait: 2500 * time.Millisecond, Class: shedder.Class{Rank: rank}, Ranked: true}
					placed, err := placeNow(p, q)
					if err == nil {
						c.Check(placed.Permitted(q, time.Now()), qt.IsNil)
						done <- rank
					}
				}()
			}
		}
		var order []int
		for range 9 {
			order = append(order, <-done)
		}
		// The first token is there before the more urgent requests come.
		c.Check(order[1:], qt.DeepEquals, []int{0, 0, 0, 1, 1, 1, 2, 2})
		c.Check(time.Since(began) > 2*time.Second && time.Since(began) < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))

		useTokens(p)
		began = time.Now()
		time.AfterFunc(100*time.Millisecond, func() { p.SetCold(p.Warmer.Update(warmer.View{}, time.Now()), time.Now()) })
		_, err := placeNow(p, Query{Service: "s", MaxWait: time.Second})
		var refused *RefusedError
		c.Assert(errors.As(err, &refused), qt.IsTrue)
		c.Check(refused.Reason, qt.Equals, "the usable replicas are cold and get requests from other daemons")
		c.Check(time.Since(began), qt.Equals, 100*time.Millisecond)
		_, err = placeNow(p, Query{Service: "s", MaxWait: time.Second})
		c.Check(errors.As(err, &refused), qt.IsTrue)
		c.Check(time.Since(began), qt.Equals, 100*time.Millisecond)
	})
}

// TestUrgentRequestsGetColdCapacity guards against less urgent requests that use up the tokens of a near replica while others
// have to go elsewhere.
func TestUrgentRequestsGetColdCapacity(t *testing.T) {
	tests := []struct {
		name   string
		rank   int
		ranked bool
		want   string
	}{
		{"first rank", 0, true, "r1"},
		{"last rank", 2, true, "r2"},
		{"ranks do not count", 2, false, "r1"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := coldPlacer(time.Now())
				awaitShare(p)
				placed, err := placeNow(p, Query{Service: "s", Class: shedder.Class{Rank: tc.rank}, Ranked: tc.ranked})
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, placed.Replica.ID, qt.Equals, tc.want)
			})
		})
	}
}

// TestWithoutColdLimits guards against a change of the choices, the reports or the cost in a deployment without limits of cold
// replicas.
func TestWithoutColdLimits(t *testing.T) {
	now := time.Now()
	p := &Placer{VM: "vm", FailureDomain: "east1", Random: zeroRandom, Warmer: &warmer.Warmer{}}
	p.Update([]Replica{placedReplica("r1", "east1")}, now)
	p.SetCold(nil, now)
	qt.Check(t, p.Demand(now), qt.IsNil)
	q := Query{Service: "s"}
	place := func() {
		placed, err := p.Place(context.Background(), q, now)
		if err != nil || placed.Cold || placed.Permitted(q, now) != nil {
			t.Error("not placed")
		}
		placed.Done(Succeeded, now)
	}
	with := testing.AllocsPerRun(100, place)
	p.Warmer = nil
	without := testing.AllocsPerRun(100, place)
	qt.Check(t, with, qt.Equals, without)
	qt.Check(t, p.Demand(now), qt.IsNil)
}
