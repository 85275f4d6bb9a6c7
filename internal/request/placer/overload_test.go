package placer

import (
	"context"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/shedder"
)

// overload is a load on a placer of which each request takes a place for a while.
type overload struct {
	placer *Placer
	query  Query
	// hold is the time for which each request takes its place.
	hold time.Duration

	mu     sync.Mutex
	served []time.Time
	// refused are the waits of requests without a place.
	refused []time.Duration
}

// request makes one request, and frees its place after hold.
func (o *overload) request() {
	arrived := time.Now()
	placed, err := o.placer.Place(context.Background(), o.query, arrived)
	o.mu.Lock()
	if err != nil {
		o.refused = append(o.refused, time.Since(arrived))
		o.mu.Unlock()
		return
	}
	o.served = append(o.served, time.Now())
	o.mu.Unlock()
	time.Sleep(o.hold)
	placed.Done(Succeeded, time.Now())
}

// run makes requests at an interval for a time, and returns when they have ended.
func (o *overload) run(interval, length time.Duration) {
	var wg sync.WaitGroup
	for range length / interval {
		wg.Go(o.request)
		time.Sleep(interval)
	}
	wg.Wait()
}

// servedBetween counts the requests that were placed in a span.
func (o *overload) servedBetween(from, to time.Time) int {
	n := 0
	for _, at := range o.served {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// TestHopelessRequestsWait guards against requests that wait for as long as they may, and are
// refused then, although many wait already for the few places that become free, and against
// places that stay free because of that.
func TestHopelessRequestsWait(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name      string
		returning bool
		maxWait   time.Duration
		hold      time.Duration
		interval  time.Duration
		// held is for how long all replicas hold requests off after a second.
		held time.Duration
	}{
		{"returning, twice the capacity", true, 1500 * ms, 200 * ms, 25 * ms, 0},
		{"returning, five times the capacity", true, 1500 * ms, 500 * ms, 25 * ms, 0},
		{"returning, after a hold-off", true, 1500 * ms, 200 * ms, 25 * ms, 3 * time.Second},
		{"returning, half of the capacity", true, 1500 * ms, 40 * ms, 20 * ms, 0},
		{"new, half of the capacity", false, 120 * ms, 40 * ms, 20 * ms, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const replicas, length = 4, 20 * time.Second
				start := time.Now()
				p := &Placer{}
				var list []Replica
				for _, id := range []string{"r0", "r1", "r2", "r3"} {
					list = append(list, Replica{ID: id, Address: id, Service: "s", Slots: 1})
				}
				p.Update(list, start)
				if tc.held > 0 {
					time.AfterFunc(time.Second, func() {
						for _, r := range list {
							p.HoldOff(r, time.Now().Add(tc.held), time.Now())
						}
					})
				}
				o := &overload{placer: p, query: Query{Service: "s", Class: shedder.Class{Returning: tc.returning}, MaxWait: tc.maxWait}, hold: tc.hold}
				o.run(tc.interval, length)

				perSecond := math.Min(replicas/tc.hold.Seconds(), 1/tc.interval.Seconds())
				from := start.Add(time.Second + tc.held)
				got := float64(o.servedBetween(from, start.Add(length)))
				want := perSecond * (length - tc.held - time.Second).Seconds()
				qt.Check(t, got >= 0.97*want, qt.IsTrue, qt.Commentf("%v of %v requests have a place", got, want))
				got = float64(o.servedBetween(from, from.Add(time.Second)))
				qt.Check(t, got >= 0.9*perSecond, qt.IsTrue, qt.Commentf("%v of %v in the first second", got, perSecond))
				if len(o.refused) == 0 {
					return
				}
				slices.Sort(o.refused)
				waited := o.refused[len(o.refused)*3/4]
				qt.Check(t, waited < tc.maxWait/4, qt.IsTrue, qt.Commentf("a quarter of %d refused requests waited for %v or longer", len(o.refused), waited))
			})
		})
	}
}
