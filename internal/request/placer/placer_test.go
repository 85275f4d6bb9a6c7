package placer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func zero() float64 { return 0 }

func replica(id, domain string, places int) Replica {
	return Replica{
		ID: id, Address: id + ":1", Service: "llm", FailureDomain: domain, Places: places, Engine: true,
		Versions: map[string]int{"m": 1},
	}
}

func newPlacer(now time.Time, replicas ...Replica) *Placer {
	p := &Placer{FailureDomain: "a", Random: zero}
	p.Update(replicas, now)
	return p
}

// TestChoice guards against placing on replicas that cannot run the request and
// against ignoring load, distance and failures.
func TestChoice(t *testing.T) {
	now := time.Unix(100, 0)
	draining := replica("r1", "a", 4)
	draining.Draining = true
	tests := []struct {
		name     string
		replicas []Replica
		query    Query
		prepare  func(p *Placer)
		want     string
	}{
		{"near before far", []Replica{replica("r1", "b", 4), replica("r2", "a", 4)}, Query{}, nil, "r2"},
		{"far when the near one is loaded", []Replica{replica("r1", "b", 16), replica("r2", "a", 16)}, Query{}, func(p *Placer) {
			p.SetPeerLoad("vm", map[string]int{"r2": 5}, now)
		}, "r1"},
		{"old load of a peer does not count", []Replica{replica("r1", "b", 16), replica("r2", "a", 16)}, Query{}, func(p *Placer) {
			p.SetPeerLoad("vm", map[string]int{"r2": 5}, now.Add(-peerLoadAge-time.Second))
		}, "r2"},
		{"not a draining one", []Replica{draining, replica("r2", "b", 4)}, Query{}, nil, "r2"},
		{"not an excluded one", []Replica{replica("r1", "a", 4), replica("r2", "b", 4)}, Query{Exclude: []string{"r1"}}, nil, "r2"},
		{"not an old version", []Replica{replica("r1", "a", 4)}, Query{Model: "m", MinVersion: 2}, nil, ""},
		{"not another model", []Replica{replica("r1", "a", 4)}, Query{Model: "other"}, nil, ""},
		{"a version heard from the agent", []Replica{replica("r1", "a", 4)}, Query{Model: "m", MinVersion: 2}, func(p *Placer) {
			p.SetVersion("r1:1", "m", 2, now)
		}, "r1"},
		{"not an unreachable one", []Replica{replica("r1", "a", 4), replica("r2", "b", 4)}, Query{}, func(p *Placer) {
			pl, _ := p.choose(Query{Service: "llm"}, now)
			pl.Done(Unreachable, now)
		}, "r2"},
		{"an unreachable one rather than none", []Replica{replica("r1", "a", 4)}, Query{}, func(p *Placer) {
			pl, _ := p.choose(Query{Service: "llm"}, now)
			pl.Done(Unreachable, now)
		}, "r1"},
		{"not one that fails", []Replica{replica("r1", "a", 4), replica("r2", "b", 4)}, Query{}, func(p *Placer) {
			for range 4 {
				pl, _ := p.choose(Query{Service: "llm", Exclude: []string{"r2"}}, now)
				pl.Done(Failed, now)
			}
		}, "r2"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			p := newPlacer(now, tc.replicas...)
			if tc.prepare != nil {
				tc.prepare(p)
			}
			q := tc.query
			q.Service = "llm"
			placed, err := p.Place(context.Background(), q, now)
			if tc.want == "" {
				var refused *RefusedError
				c.Assert(errors.As(err, &refused), qt.IsTrue)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(placed.Replica.ID, qt.Equals, tc.want)
		})
	}
}

// TestQueueOrder guards against a returning request that takes the place of a
// new one, and against a lower priority that goes first.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newPlacer(time.Now(), replica("r1", "a", 1))
		held, err := p.Place(context.Background(), Query{Service: "llm"}, time.Now())
		c.Assert(err, qt.IsNil)
		order := make(chan string, 3)
		queries := []struct {
			name  string
			query Query
		}{
			{"returning", Query{Service: "llm", Returning: true, MaxWait: time.Second}},
			{"low", Query{Service: "llm", Priority: 2, MaxWait: time.Second}},
			{"high", Query{Service: "llm", Priority: 1, MaxWait: time.Second}},
		}
		for _, q := range queries {
			w := &waiting{placer: p, name: q.name, query: q.query, order: order}
			go w.run()
			synctest.Wait()
		}
		held.Done(Succeeded, time.Now())
		for _, want := range []string{"high", "low", "returning"} {
			c.Assert(<-order, qt.Equals, want)
		}
	})
}

// waiting places one request, notes its name and gives the place back.
type waiting struct {
	placer *Placer
	name   string
	query  Query
	order  chan string
}

func (w *waiting) run() {
	placed, err := w.placer.Place(context.Background(), w.query, time.Now())
	if err != nil {
		w.order <- w.name + " refused"
		return
	}
	w.order <- w.name
	placed.Done(Succeeded, time.Now())
}

// TestWaitIsBounded guards against holding a request that will be refused.
func TestWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newPlacer(time.Now(), replica("r1", "a", 1))
		_, err := p.Place(context.Background(), Query{Service: "llm"}, time.Now())
		c.Assert(err, qt.IsNil)
		began := time.Now()
		_, err = p.Place(context.Background(), Query{Service: "llm", MaxWait: 100 * time.Millisecond}, began)
		var refused *RefusedError
		c.Assert(errors.As(err, &refused), qt.IsTrue)
		c.Assert(time.Since(began), qt.Equals, 100*time.Millisecond)
		// A service without replicas refuses at once.
		began = time.Now()
		_, err = p.Place(context.Background(), Query{Service: "none", MaxWait: time.Second}, began)
		c.Assert(errors.As(err, &refused), qt.IsTrue)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
	})
}

// TestCountsSurviveUpdate guards against losing the requests in progress when
// the list of replicas changes.
func TestCountsSurviveUpdate(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	p := newPlacer(now, replica("r1", "a", 4))
	placed, err := p.Place(context.Background(), Query{Service: "llm"}, now)
	c.Assert(err, qt.IsNil)
	p.Update([]Replica{replica("r1", "a", 4), replica("r2", "a", 4)}, now)
	c.Assert(p.InFlight(), qt.DeepEquals, map[string]int{"r1": 1})
	placed.Done(Succeeded, now)
	c.Assert(p.InFlight(), qt.DeepEquals, map[string]int{})
}
