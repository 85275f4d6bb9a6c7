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
	prefixSeed         = 1
	prefixReplicas     = 16
	prefixEntryDaemons = 4
	// With 2,000 prefixes and room for 200 in each of the 16 caches, a prefix
	// fits into only one or two caches.
	prefixCount        = 2000
	prefixCacheSize    = 200
	prefixZipfExponent = 1.1
	// Cache events reach the entry daemons after cacheEventDelay, and the share
	// cacheEventLossRate of them is lost.
	cacheEventDelay    = 2 * time.Second
	cacheEventLossRate = 0.2
	prefixUtilization  = 0.6
	prefixWarmUp       = 2 * time.Minute
	prefixDuration     = 10 * time.Minute
	// cachedPrefillFactor is the prefill time with a cached prefix relative to
	// the time without.
	cachedPrefillFactor = 0.2
	loadBoundFactor     = 1.25
)

// prefixRun simulates one policy that routes requests with shared prefixes.
type prefixRun struct {
	name string
	// affinity passes the prefix hash to the picker.
	affinity bool
	// perfect replaces the picker with one that knows all caches and loads.
	perfect bool

	scheduler *scheduler
	random    *rand.Rand
	zipf      *rand.Zipf
	servers   []*cachingEngine
	byVM      map[string]*cachingEngine
	pickers   []*picker.Picker
	measuring bool
	requests  int
	hits      int
}

// cachingEngine is an engine with an LRU cache of prefixes.
type cachingEngine struct {
	virtualEngine
	number   int
	lru      *list.List
	cached   map[uint64]*list.Element
	requests int
	inFlight int
	// loadSum is the sum of the attempts in flight over all load reports.
	loadSum int
}

// benchPrefix measures the cache hit rate and the load of the busiest server,
// relative to a picker with perfect knowledge.
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
	perfectHits := float64(perfect.hits) / float64(perfect.requests)
	fmt.Fprintf(w, "prefix/%s/hits %.1f %%\n", r.name, 100*hits)
	fmt.Fprintf(w, "prefix/%s/hits-to-perfect %.3f ratio\n", r.name, hits/perfectHits)
	maxLoad, totalLoad, maxRequests := 0, 0, 0
	for _, s := range r.servers {
		maxLoad = max(maxLoad, s.loadSum)
		maxRequests = max(maxRequests, s.requests)
		totalLoad += s.loadSum
	}
	fmt.Fprintf(w, "prefix/%s/hottest-load-to-mean %.3f ratio\n", r.name, float64(maxLoad*len(r.servers))/float64(totalLoad))
	fmt.Fprintf(w, "prefix/%s/hottest-requests-to-mean %.3f ratio\n", r.name, float64(maxRequests*len(r.servers))/float64(r.requests))
}

func (r *prefixRun) simulate() {
	r.scheduler = newScheduler()
	r.random = rand.New(rand.NewPCG(prefixSeed, prefixSeed))
	r.zipf = rand.NewZipf(r.random, prefixZipfExponent, 1, prefixCount-1)
	r.byVM = map[string]*cachingEngine{}
	for i := range prefixReplicas {
		s := &cachingEngine{number: i, lru: list.New(), cached: map[uint64]*list.Element{}}
		s.virtualEngine = virtualEngine{scheduler: r.scheduler, slots: engineSlots, slowness: 1}
		r.servers = append(r.servers, s)
		r.byVM[readyReplica(i).GetVm()] = s
	}
	for i := range prefixEntryDaemons {
		r.pickers = append(r.pickers, &picker.Picker{
			VM: fmt.Sprintf("entry-%d", i), Region: "r0", FailureDomain: "d0", Random: r.random.Uint64,
		})
	}
	r.reportLoads()
	r.scheduleArrivals()
	r.scheduler.run(prefixWarmUp)
	r.measuring = true
	r.scheduler.run(prefixDuration)
}

// reportLoads delivers the delayed loads to all pickers every
// loadReportInterval.
func (r *prefixRun) reportLoads() {
	candidates := make([]picker.Candidate, len(r.servers))
	for i, s := range r.servers {
		candidates[i] = picker.Candidate{Replica: readyReplica(i), Load: s.sampleLoad(loadReportLag), LoadTime: r.scheduler.now}
		if r.measuring {
			s.loadSum += s.inFlight
		}
	}
	for _, p := range r.pickers {
		p.Update(candidates, r.scheduler.now)
	}
	r.scheduler.after(loadReportInterval, r.reportLoads)
}

// scheduleArrivals routes one request and schedules the next one. Arrivals are a
// Poisson process.
func (r *prefixRun) scheduleArrivals() {
	runSeconds := meanPrefill.Seconds() + meanTokens*tokenTime.Seconds()
	rate := prefixUtilization * prefixReplicas * engineSlots / runSeconds
	r.route(identifier.PrefixHash(fmt.Sprintf("prefix %d", r.zipf.Uint64())))
	r.scheduler.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), r.scheduleArrivals)
}

func (r *prefixRun) route(hash uint64) {
	if r.perfect {
		s := r.bestServer(hash)
		r.startAttempt(s, hash, func() {})
		return
	}
	query := picker.Query{Target: identifier.Target{Model: benchModel}}
	if r.affinity {
		query.PrefixHash = hash
	}
	// Callers choose entry daemons at random, so that no entry daemon sees all
	// requests with a prefix.
	choice, ok := r.pickers[r.random.IntN(prefixEntryDaemons)].Pick(&query, r.scheduler.now)
	if !ok {
		return
	}
	r.startAttempt(r.byVM[choice.VM], hash, func() { choice.Done(true, r.scheduler.now) })
}

// bestServer returns the least loaded server that has cached the prefix and
// whose load is within the bound, or the least loaded server if there is none.
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
		eligible := s.cached[hash] != nil && float64(s.inFlight) < max(loadBoundFactor*mean, mean+1)
		if eligible && (holder == nil || s.inFlight < holder.inFlight) {
			holder = s
		}
	}
	if holder != nil {
		return holder
	}
	return least
}

func (r *prefixRun) startAttempt(s *cachingEngine, hash uint64, done func()) {
	hit := s.cached[hash] != nil
	prefill := time.Duration(float64(meanPrefill) * logNormal(r.random))
	if hit {
		prefill = time.Duration(cachedPrefillFactor * float64(prefill))
	}
	r.cachePrefix(s, hash)
	s.inFlight++
	if r.measuring {
		r.requests++
		s.requests++
		if hit {
			r.hits++
		}
	}
	tokens := meanTokens * logNormal(r.random)
	s.run(&virtualAttempt{
		prefill: prefill, decode: time.Duration(tokens * float64(tokenTime)),
		onFirstToken: func() {},
		onDone: func(bool) {
			s.inFlight--
			done()
		},
	})
}

// cachePrefix adds the prefix to the server's cache and sends cache events for
// the added prefix and the evicted one.
func (r *prefixRun) cachePrefix(s *cachingEngine, hash uint64) {
	if element := s.cached[hash]; element != nil {
		s.lru.MoveToFront(element)
		return
	}
	if s.lru.Len() >= prefixCacheSize {
		oldest := s.lru.Remove(s.lru.Back()).(uint64)
		delete(s.cached, oldest)
		r.sendCacheEvent(s, &messenger.CacheEvent{PrefixHash: oldest, Removed: true})
	}
	s.cached[hash] = s.lru.PushFront(hash)
	r.sendCacheEvent(s, &messenger.CacheEvent{PrefixHash: hash})
}

// sendCacheEvent delivers the event to all entry daemons after cacheEventDelay,
// or drops it with probability cacheEventLossRate.
func (r *prefixRun) sendCacheEvent(s *cachingEngine, e *messenger.CacheEvent) {
	if r.random.Float64() < cacheEventLossRate {
		return
	}
	r.scheduler.after(cacheEventDelay, func() {
		for _, p := range r.pickers {
			p.ApplyCacheEvents(readyReplica(s.number).GetVm(), "i", []*messenger.CacheEvent{e})
		}
	})
}
