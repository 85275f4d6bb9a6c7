package main

import (
	"container/list"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	prefixSeed     = 1
	prefixReplicas = 16
	prefixEntries  = 4
	// prefixCount times cachedPrefixes leaves room for each prefix in only one
	// or two caches.
	prefixCount    = 2000
	cachedPrefixes = 200
	prefixSkew     = 1.1
	// cacheEventDelay and cacheEventLoss are how late events arrive and which
	// share of them is lost.
	cacheEventDelay = 2 * time.Second
	cacheEventLoss  = 0.2
	prefixLoad      = 0.6
	prefixWarmUp    = 2 * time.Minute
	prefixDuration  = 10 * time.Minute
	// cachedPrefill is the part of the prefill that a cached prefix leaves.
	cachedPrefill = 0.2
	loadBound     = 1.25
)

// prefixRun is one way to route requests with shared prefixes.
type prefixRun struct {
	name string
	// affinity asks the picker for it; perfect replaces the picker by one that
	// knows all caches and loads.
	affinity bool
	perfect  bool

	events   *events
	random   *rand.Rand
	zipf     *rand.Zipf
	servers  []*cachingEngine
	byVM     map[string]*cachingEngine
	pickers  []*picker.Picker
	measure  bool
	requests int
	hits     int
}

// cachingEngine is an engine with a cache of prefixes, the least recently used
// of which is dropped.
type cachingEngine struct {
	virtualEngine
	number   int
	order    *list.List
	places   map[uint64]*list.Element
	requests int
	inFlight int
	// loadSum adds up the attempts in flight at each sample.
	loadSum int
}

// benchPrefix measures cache hits and the load of the hottest server.
func benchPrefix(w io.Writer) error {
	fmt.Fprintf(w, "prefix/seed %d number\n", prefixSeed)
	runs := []*prefixRun{
		{name: "perfect-knowledge", perfect: true},
		{name: "affinity", affinity: true},
		{name: "affinity-off"},
	}
	for _, r := range runs {
		r.simulate()
		r.print(w, runs[0])
	}
	return nil
}

func (r *prefixRun) print(w io.Writer, perfect *prefixRun) {
	hits := float64(r.hits) / float64(r.requests)
	best := float64(perfect.hits) / float64(perfect.requests)
	fmt.Fprintf(w, "prefix/%s/hits %.1f %%\n", r.name, 100*hits)
	fmt.Fprintf(w, "prefix/%s/hits-to-perfect %.3f ratio\n", r.name, hits/best)
	mostLoad, sumLoad, mostRequests := 0, 0, 0
	for _, s := range r.servers {
		mostLoad = max(mostLoad, s.loadSum)
		mostRequests = max(mostRequests, s.requests)
		sumLoad += s.loadSum
	}
	fmt.Fprintf(w, "prefix/%s/hottest-load-to-mean %.3f ratio\n", r.name, float64(mostLoad*len(r.servers))/float64(sumLoad))
	fmt.Fprintf(w, "prefix/%s/hottest-requests-to-mean %.3f ratio\n", r.name, float64(mostRequests*len(r.servers))/float64(r.requests))
}

func (r *prefixRun) simulate() {
	r.events = newEvents()
	r.random = rand.New(rand.NewPCG(prefixSeed, prefixSeed))
	r.zipf = rand.NewZipf(r.random, prefixSkew, 1, prefixCount-1)
	r.byVM = map[string]*cachingEngine{}
	for i := range prefixReplicas {
		s := &cachingEngine{number: i, order: list.New(), places: map[uint64]*list.Element{}}
		s.virtualEngine = virtualEngine{events: r.events, slots: engineSlots, slowness: 1}
		r.servers = append(r.servers, s)
		r.byVM[replica(i).GetVm()] = s
	}
	for i := range prefixEntries {
		r.pickers = append(r.pickers, &picker.Picker{
			VM: fmt.Sprintf("entry-%d", i), Region: "r0", FailureDomain: "d0", Random: r.random.Uint64,
		})
	}
	r.report()
	r.arrive()
	r.events.run(prefixWarmUp)
	r.measure = true
	r.events.run(prefixDuration)
}

func (r *prefixRun) report() {
	candidates := make([]picker.Candidate, len(r.servers))
	for i, s := range r.servers {
		candidates[i] = picker.Candidate{Replica: replica(i), Load: s.sample(routingLag), LoadTime: r.events.now}
		if r.measure {
			s.loadSum += s.inFlight
		}
	}
	for _, p := range r.pickers {
		p.Update(candidates, r.events.now)
	}
	r.events.after(reportEvery, r.report)
}

func (r *prefixRun) arrive() {
	runSeconds := prefillMean.Seconds() + tokensMean*tokenTime.Seconds()
	rate := prefixLoad * prefixReplicas * engineSlots / runSeconds
	r.route(identifier.PrefixHash(fmt.Sprintf("prefix %d", r.zipf.Uint64())))
	r.events.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), r.arrive)
}

func (r *prefixRun) route(hash uint64) {
	if r.perfect {
		s := r.bestServer(hash)
		r.start(s, hash, func() {})
		return
	}
	query := picker.Query{Target: identifier.Target{Model: benchModel}}
	if r.affinity {
		query.PrefixHash = hash
	}
	// Callers use any entry daemon, so that no entry daemon sees all of a
	// prefix's requests.
	choice, ok := r.pickers[r.random.IntN(prefixEntries)].Pick(&query, r.events.now)
	if !ok {
		return
	}
	r.start(r.byVM[choice.VM], hash, func() { choice.Done(true, r.events.now) })
}

// bestServer returns the least loaded server within the bound that has the
// prefix, else the least loaded one.
func (r *prefixRun) bestServer(hash uint64) *cachingEngine {
	total := 1
	for _, s := range r.servers {
		total += s.inFlight
	}
	mean := float64(total) / float64(len(r.servers))
	var least, holder *cachingEngine
	for _, s := range r.servers {
		if least == nil || s.inFlight < least.inFlight {
			least = s
		}
		has := s.places[hash] != nil && float64(s.inFlight) < max(loadBound*mean, mean+1)
		if has && (holder == nil || s.inFlight < holder.inFlight) {
			holder = s
		}
	}
	if holder != nil {
		return holder
	}
	return least
}

func (r *prefixRun) start(s *cachingEngine, hash uint64, done func()) {
	hit := s.places[hash] != nil
	prefill := time.Duration(float64(prefillMean) * skewed(r.random))
	if hit {
		prefill = time.Duration(cachedPrefill * float64(prefill))
	}
	r.cache(s, hash)
	s.inFlight++
	if r.measure {
		r.requests++
		s.requests++
		if hit {
			r.hits++
		}
	}
	tokens := tokensMean * skewed(r.random)
	s.run(&virtualRun{
		prefill: prefill, decode: time.Duration(tokens * float64(tokenTime)),
		first: func() {},
		done: func(bool) {
			s.inFlight--
			done()
		},
	})
}

// cache keeps the prefix on the server and tells the entry daemons late, or
// not at all.
func (r *prefixRun) cache(s *cachingEngine, hash uint64) {
	if place := s.places[hash]; place != nil {
		s.order.MoveToFront(place)
		return
	}
	if s.order.Len() >= cachedPrefixes {
		oldest := s.order.Remove(s.order.Back()).(uint64)
		delete(s.places, oldest)
		r.tell(s, &messenger.CacheEvent{PrefixHash: oldest, Removed: true})
	}
	s.places[hash] = s.order.PushFront(hash)
	r.tell(s, &messenger.CacheEvent{PrefixHash: hash})
}

func (r *prefixRun) tell(s *cachingEngine, e *messenger.CacheEvent) {
	if r.random.Float64() < cacheEventLoss {
		return
	}
	r.events.after(cacheEventDelay, func() {
		for _, p := range r.pickers {
			p.CacheEvents(replica(s.number).GetVm(), "i", []*messenger.CacheEvent{e})
		}
	})
}
