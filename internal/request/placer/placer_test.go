package placer

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/shedder"
)

func zeroRandom() float64 { return 0 }

func replica(id, domain string, slots int) Replica {
	return Replica{
		ID: id, Address: id + ":1", Service: "llm", FailureDomain: domain, Slots: slots,
		Engine:   &Engine{PrefillTokensPerSecond: 20_000, Step: 9 * time.Millisecond, Stride: 5},
		Versions: map[string]int{"m": 1},
	}
}

func newPlacer(now time.Time, replicas ...Replica) *Placer {
	p := &Placer{VM: "self", FailureDomain: "a", Random: zeroRandom}
	p.Update(replicas, now)
	return p
}

// TestChoice guards against placing a request on a replica that cannot run it, and
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
		{"replica preferred by this VM before one preferred by others", []Replica{
			{ID: "r1", Service: "llm", FailureDomain: "a", Slots: 4, PreferredBy: []string{"x"}},
			{ID: "r2", Service: "llm", FailureDomain: "a", Slots: 4, PreferredBy: []string{"self", "x"}},
		}, Query{}, nil, "r2"},
		{"same failure domain before another", []Replica{replica("r1", "b", 4), replica("r2", "a", 4)}, Query{}, nil, "r2"},
		{"another failure domain if the same one is loaded", []Replica{replica("r1", "b", 16), replica("r2", "a", 16)}, Query{}, func(p *Placer) {
			p.SetPeerLoad("vm", map[string]Load{"r2": {Requests: 5}}, now)
			p.SetDomainLoad("b", map[string]Load{}, now)
		}, "r1"},
		{"no other failure domain without reports of it", []Replica{replica("r1", "b", 16), replica("r2", "a", 16)}, Query{}, func(p *Placer) {
			p.SetPeerLoad("vm", map[string]Load{"r2": {Requests: 5}}, now)
		}, "r2"},
		{"outdated load of a peer is ignored", []Replica{replica("r1", "b", 16), replica("r2", "a", 16)}, Query{}, func(p *Placer) {
			p.SetPeerLoad("vm", map[string]Load{"r2": {Requests: 5}}, now.Add(-maxPeerLoadAge-time.Second))
		}, "r2"},
		{"draining replica is skipped", []Replica{draining, replica("r2", "b", 4)}, Query{}, nil, "r2"},
		{"excluded replica is skipped", []Replica{replica("r1", "a", 4), replica("r2", "b", 4)}, Query{Exclude: []string{"r1"}}, nil, "r2"},
		{"version below the minimum is skipped", []Replica{replica("r1", "a", 4)}, Query{Model: "m", MinVersion: 2}, nil, ""},
		{"replica without the model is skipped", []Replica{replica("r1", "a", 4)}, Query{Model: "other"}, nil, ""},
		{"version from an updated list", []Replica{replica("r1", "a", 4)}, Query{Model: "m", MinVersion: 2}, func(p *Placer) {
			changed := replica("r1", "a", 4)
			changed.Versions = map[string]int{"m": 2}
			p.Update([]Replica{changed}, now)
		}, "r1"},
		// After a restart, 348 requests were refused because an outdated list
		// restored versions that replicas had already refused to run.
		{"version that the replica refused to run is skipped", []Replica{replica("r1", "a", 4)}, Query{Model: "m"}, func(p *Placer) {
			p.InvalidateVersion("r1:1", "m", 1, now)
			p.Update([]Replica{replica("r1", "a", 4)}, now)
		}, ""},
		{"refusal of one version does not exclude another", []Replica{replica("r1", "a", 4)}, Query{Model: "m"}, func(p *Placer) {
			p.InvalidateVersion("r1:1", "m", 2, now)
		}, "r1"},
		{"refused version is tried again after invalidationTime", []Replica{replica("r1", "a", 4)}, Query{Model: "m"}, func(p *Placer) {
			p.InvalidateVersion("r1:1", "m", 1, now.Add(-invalidationTime))
		}, "r1"},
		{"unreachable replica is skipped", []Replica{replica("r1", "a", 4), replica("r2", "b", 4)}, Query{}, func(p *Placer) {
			pl, _ := p.choose(Query{Service: "llm"}, 0, now)
			pl.Done(Unreachable, now)
		}, "r2"},
		{"unreachable replica is used if there is no other", []Replica{replica("r1", "a", 4)}, Query{}, func(p *Placer) {
			pl, _ := p.choose(Query{Service: "llm"}, 0, now)
			pl.Done(Unreachable, now)
		}, "r1"},
		{"replica that keeps failing is skipped", []Replica{replica("r1", "a", 4), replica("r2", "b", 4)}, Query{}, func(p *Placer) {
			for range 4 {
				pl, _ := p.choose(Query{Service: "llm", Exclude: []string{"r2"}}, 0, now)
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

// TestBurst guards against late first tokens when requests arrive together and all
// go to one engine, which processes all their prompts before it generates tokens.
// With 16 requests on an engine with 16 slots, first tokens took 0.5 to 1.9 s.
func TestBurst(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	const target = 400 * time.Millisecond
	p := newPlacer(now, replica("r1", "a", 16), replica("r2", "a", 16))
	var placed []Placement
	for {
		pl, err := p.Place(context.Background(), Query{Service: "llm", Model: "m", PromptTokens: 1000, TargetLatency: target}, now)
		if err != nil {
			break
		}
		c.Assert(pl.Predicted < target, qt.IsTrue)
		placed = append(placed, pl)
	}
	c.Assert(len(placed) > 4 && len(placed) < 16, qt.IsTrue, qt.Commentf("%d placed", len(placed)))
	// After the prefill of their prompts, requests can fill all slots.
	for len(placed) < 32 {
		for _, pl := range placed {
			pl.RecordFirstToken(now)
		}
		pl, err := p.Place(context.Background(), Query{Service: "llm", Model: "m", PromptTokens: 1000, TargetLatency: target}, now)
		c.Assert(err, qt.IsNil)
		placed = append(placed, pl)
	}
	for _, pl := range placed {
		pl.Done(Succeeded, now)
	}
	c.Assert(p.Loads(), qt.DeepEquals, map[string]Load{})
}

// TestThunderingHerd guards against daemons that all send their requests to a replica
// that has just become free, because they do not know yet what the others have sent.
func TestThunderingHerd(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	const target = 400 * time.Millisecond
	const daemons = 3
	total := 0
	for range daemons {
		shared := replica("r1", "a", 16)
		shared.PreferredBy = []string{"x", "y", "self"}
		p := newPlacer(now, shared)
		for _, peer := range []string{"x", "y"} {
			p.SetPeerLoad(peer, nil, now)
		}
		for {
			at := now.Add(50 * time.Millisecond)
			if _, err := p.Place(context.Background(), Query{Service: "llm", Model: "m", PromptTokens: 1000, TargetLatency: target}, at); err != nil {
				break
			}
			total++
		}
	}
	// A single daemon would place five requests within the target.
	c.Assert(total <= 2*daemons, qt.IsTrue, qt.Commentf("%d placed by %d daemons", total, daemons))
}

// TestNewlyUsableReplica guards against overloading a replica that has just loaded its
// weights, which all daemons see as idle until they learn what the others have
// sent. It simulates half a second of a fleet at its usual load: 4 daemons that
// prefer the replica, 8 of its failure domain that do not, and 24 of other failure
// domains.
func TestNewlyUsableReplica(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(100, 0)
	const (
		slots       = 12
		usualLoad   = 5
		interval    = 70 * time.Millisecond
		reportDelay = 500 * time.Millisecond
	)
	tests := []struct {
		name   string
		domain string
		vm     string
		n      int
	}{
		{"preferring", "a", "s", 4},
		{"not preferring", "a", "x", 8},
		{"other failure domains", "b", "f", 24},
	}
	toNewReplica := 0
	for _, tc := range tests {
		for i := range tc.n {
			p := &Placer{VM: tc.vm + strconv.Itoa(i), FailureDomain: tc.domain, Random: func() float64 { return 0.5 }}
			list := []Replica{replica("new", "a", slots)}
			list[0].PreferredBy = []string{"s0", "s1", "s2", "s3"}
			list[0].Draining = true
			loads := map[string]Load{}
			for j := range 10 {
				id := "r" + strconv.Itoa(j)
				list = append(list, replica(id, tc.domain, slots))
				loads[id] = Load{Requests: usualLoad}
			}
			p.Update(list, start.Add(-time.Minute))
			list[0].Draining = false
			p.Update(list, start)
			p.SetPeerLoad("others", loads, start)
			for k := range 4 {
				if peer := "s" + strconv.Itoa(k); tc.domain == "a" && peer != p.VM {
					p.SetPeerLoad(peer, nil, start)
				}
			}
			for at := start; at.Before(start.Add(reportDelay)); at = at.Add(interval) {
				pl, err := p.Place(context.Background(), Query{Service: "llm", Model: "m"}, at)
				c.Assert(err, qt.IsNil)
				if pl.Replica.ID == "new" {
					toNewReplica++
				}
			}
		}
	}
	c.Assert(toNewReplica > 0, qt.IsTrue)
	c.Assert(toNewReplica <= slots+slots/2, qt.IsTrue, qt.Commentf("%d requests to a replica with %d slots", toNewReplica, slots))
}

// TestNewlyUsableReplicaWithoutEngine guards against refusing requests for a service
// without a model engine while its only replica, which has just become usable, is
// idle.
func TestNewlyUsableReplicaWithoutEngine(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	plain := Replica{ID: "r1", Address: "r1:1", Service: "portal", FailureDomain: "b", Slots: 6, Draining: true}
	p := newPlacer(now, plain)
	plain.Draining = false
	p.Update([]Replica{plain}, now)
	_, err := p.Place(context.Background(), Query{Service: "portal"}, now)
	c.Assert(err, qt.IsNil)
}

// TestPredictionCorrection guards against late first tokens because predictions stay
// too short, and against predictions that stay too long once engines have recovered.
func TestPredictionCorrection(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	const target = 400 * time.Millisecond
	q := Query{Service: "llm", Model: "m", PromptTokens: 1000, TargetLatency: target}
	p := newPlacer(now, replica("r1", "a", 16))
	countPlaceable := func() int {
		var placed []Placement
		for {
			pl, err := p.Place(context.Background(), q, now)
			if err != nil {
				break
			}
			placed = append(placed, pl)
		}
		for _, pl := range placed {
			pl.Done(Neutral, now)
		}
		return len(placed)
	}
	serve := func(factor float64) {
		for range 100 {
			pl, err := p.Place(context.Background(), q, now)
			c.Assert(err, qt.IsNil)
			pl.RecordFirstToken(now.Add(time.Duration(factor * float64(pl.Predicted) / max(p.correction["llm"], 1))))
			pl.Done(Succeeded, now)
		}
	}
	before := countPlaceable()
	serve(2)
	c.Assert(countPlaceable() < before, qt.IsTrue)
	serve(1)
	c.Assert(countPlaceable(), qt.Equals, before)
}

// TestRefusingReplica guards against repeatedly choosing a replica that loads
// weights, which looks idle because it refuses all requests.
func TestRefusingReplica(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	p := newPlacer(now, replica("r1", "a", 16))
	sends := 0
	for at := now; at.Before(now.Add(3 * time.Second)); at = at.Add(10 * time.Millisecond) {
		pl, err := p.Place(context.Background(), Query{Service: "llm"}, at)
		if err != nil {
			continue
		}
		sends++
		pl.Done(Full, at)
	}
	c.Assert(sends <= 7, qt.IsTrue, qt.Commentf("%d sends", sends))
}

// TestQueueOrder guards against serving a returning request before a new one, and
// a request of lower priority before one of higher priority.
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
			{"returning", Query{Service: "llm", Class: shedder.Class{Returning: true}, MaxWait: time.Second}},
			{"low", Query{Service: "llm", Class: shedder.Class{Rank: 2}, MaxWait: time.Second}},
			{"high", Query{Service: "llm", Class: shedder.Class{Rank: 1}, MaxWait: time.Second}},
		}
		for _, q := range queries {
			w := &queuedRequest{placer: p, name: q.name, query: q.query, order: order}
			go w.run()
			synctest.Wait()
		}
		held.Done(Succeeded, time.Now())
		for _, want := range []string{"high", "low", "returning"} {
			c.Assert(<-order, qt.Equals, want)
		}
	})
}

// queuedRequest is a request that waits for a slot. run places it, sends its name
// to order and releases the slot.
type queuedRequest struct {
	placer *Placer
	name   string
	query  Query
	order  chan string
}

func (w *queuedRequest) run() {
	placed, err := w.placer.Place(context.Background(), w.query, time.Now())
	if err != nil {
		w.order <- w.name + " refused"
		return
	}
	w.order <- w.name
	placed.Done(Succeeded, time.Now())
}

// TestWaitIsBounded guards against queueing a request for longer than its MaxWait,
// and against queueing one that no replica can run.
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
		// A request for a service without replicas is refused immediately.
		began = time.Now()
		_, err = p.Place(context.Background(), Query{Service: "none", MaxWait: time.Second}, began)
		c.Assert(errors.As(err, &refused), qt.IsTrue)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
	})
}

// TestCountsSurviveUpdate guards against losing the count of requests in progress
// when the list of replicas changes.
func TestCountsSurviveUpdate(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	p := newPlacer(now, replica("r1", "a", 4))
	placed, err := p.Place(context.Background(), Query{Service: "llm"}, now)
	c.Assert(err, qt.IsNil)
	p.Update([]Replica{replica("r1", "a", 4), replica("r2", "a", 4)}, now)
	c.Assert(p.Loads(), qt.DeepEquals, map[string]Load{"r1": {Requests: 1}})
	placed.Done(Succeeded, now)
	c.Assert(p.Loads(), qt.DeepEquals, map[string]Load{})
}
