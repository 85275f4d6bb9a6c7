package placer

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/request/shedder"
)

// engineReplica returns a model engine in a failure domain, as placedReplica.
func engineReplica(id, domain string) Replica {
	r := placedReplica(id, domain)
	r.Engine = &Engine{Stride: 1}
	return r
}

// TestQueueOfOtherRegions guards against requests that wait although replicas in their regions are idle, because
// others are queued for a region that is full.
func TestQueueOfOtherRegions(t *testing.T) {
	east, west := matcher.Regions{"east"}, matcher.Regions{"west"}
	tests := []struct {
		name   string
		queued []matcher.Regions
		// regions are those of a request that arrives later.
		regions matcher.Regions
		// waits is set if the request has to wait for its turn.
		waits bool
	}{
		{"unrestricted behind restricted ones", []matcher.Regions{east}, nil, false},
		{"unrestricted behind many restricted ones", []matcher.Regions{east, east, east, east, east, east, east, east, east, east, east, east}, nil, false},
		{"restricted behind those of another region", []matcher.Regions{east, east, east, east, east, east, east, east, east, east, east, east}, west, false},
		{"restricted behind those of the same region", []matcher.Regions{east}, matcher.Regions{"east"}, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := &Placer{FailureDomain: "west1"}
				p.Update([]Replica{placedReplica("r1", "east1"), placedReplica("r2", "west1")}, time.Now())
				for range 4 {
					_, err := p.Place(context.Background(), Query{Service: "s", Regions: east}, time.Now())
					c.Assert(err, qt.IsNil)
				}
				ctx, cancel := context.WithCancel(context.Background())
				for _, regions := range tc.queued {
					go func() {
						_, _ = p.Place(ctx, Query{Service: "s", Regions: regions, MaxWait: time.Minute}, time.Now())
					}()
				}
				synctest.Wait()
				arrived := time.Now()
				placed, err := p.Place(context.Background(), Query{Service: "s", Regions: tc.regions, MaxWait: time.Second}, arrived)
				c.Check(time.Since(arrived) > 0, qt.Equals, tc.waits)
				c.Check(err != nil, qt.Equals, tc.waits)
				if err == nil {
					c.Check(placed.Replica.ID, qt.Equals, "r2")
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestQueuedForFullRegion guards against a queued request that gets no place in an idle region when one becomes
// free there, because many are queued before it for a region that is full.
func TestQueuedForFullRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := &Placer{FailureDomain: "west1"}
		p.Update([]Replica{placedReplica("r1", "east1"), placedReplica("r2", "west1")}, time.Now())
		var west Placement
		for range 8 {
			placed, err := p.Place(context.Background(), Query{Service: "s"}, time.Now())
			c.Assert(err, qt.IsNil)
			if placed.Replica.ID == "r2" {
				west = placed
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		for range 2 * maxSkipped {
			go func() {
				_, _ = p.Place(ctx, Query{Service: "s", Regions: matcher.Regions{"east"}, MaxWait: time.Minute}, time.Now())
			}()
		}
		synctest.Wait()
		var err error
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, err = p.Place(ctx, Query{Service: "s", MaxWait: time.Second}, time.Now())
		}()
		synctest.Wait()
		west.Done(Succeeded, time.Now())
		<-ended
		c.Check(err, qt.IsNil)
		cancel()
		synctest.Wait()
	})
}

// TestExcludedRequestsShedNothing guards against requests that are refused although replicas are idle, because more
// urgent ones find no replica in their regions, outside of evacuated failure domains, or while nothing is placed.
func TestExcludedRequestsShedNothing(t *testing.T) {
	tests := []struct {
		name    string
		regions matcher.Regions
		prepare func(p *Placer, now time.Time)
		end     func(p *Placer, now time.Time)
		// want is set if requests of the least urgent class may be shed.
		shed bool
	}{
		{name: "no region", regions: matcher.Regions{}},
		{name: "region without replicas", regions: matcher.Regions{"north"}},
		{
			name: "all evacuated", prepare: func(p *Placer, now time.Time) { p.SetEvacuated([]string{"east1", "west1"}, now) },
			end: func(p *Placer, now time.Time) { p.SetEvacuated(nil, now) },
		},
		{
			name: "suspended", prepare: func(p *Placer, now time.Time) { p.SetSuspended(true, now) },
			end: func(p *Placer, now time.Time) { p.SetSuspended(false, now) },
		},
		{name: "region is full", regions: matcher.Regions{"east"}, prepare: func(p *Placer, now time.Time) {
			for range 16 {
				_, _ = p.Place(context.Background(), Query{Service: "s", Regions: matcher.Regions{"east"}}, now)
			}
		}, shed: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			p := &Placer{FailureDomain: "west1"}
			p.Update([]Replica{engineReplica("r1", "east1"), engineReplica("r2", "west1")}, now)
			low := Query{Service: "s", Ranked: true, Class: shedder.Class{Rank: 2, RouteRank: 2}}
			_, err := p.Place(context.Background(), low, now)
			c.Assert(err, qt.IsNil)
			if tc.prepare != nil {
				tc.prepare(p, now)
			}
			for range 200 {
				now = now.Add(20 * time.Millisecond)
				_, err := p.Place(context.Background(), Query{Service: "s", Ranked: true, Regions: tc.regions}, now)
				c.Assert(err, qt.IsNotNil)
			}
			if tc.end != nil {
				tc.end(p, now)
			}
			c.Check(p.shedder("s").Share(low.Class, now) < 1, qt.Equals, tc.shed)
		})
	}
}

// TestRefusalWhileSuspended guards against a refusal that does not say that an evacuation may have been missed.
func TestRefusalWhileSuspended(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Millisecond} {
		c := qt.New(t)
		p := &Placer{FailureDomain: "west1"}
		p.Update([]Replica{placedReplica("r1", "west1")}, time.Now())
		p.SetSuspended(true, time.Now())
		_, err := p.Place(context.Background(), Query{Service: "s", MaxWait: wait}, time.Now())
		var refused *RefusedError
		c.Assert(errors.As(err, &refused), qt.IsTrue)
		c.Check(strings.Contains(refused.Reason, "evacuation"), qt.IsTrue, qt.Commentf(refused.Reason))
	}
}
