// Package placer decides which replica runs an attempt, whether a request
// waits for a place, and when it is refused.
//
// It answers a load above what the replicas can run: a replica runs a bounded
// number of requests at once, because one more makes the first token of each
// later. A request that finds no place waits for a small part of its target and
// is refused at once when the wait would be longer.
package placer

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// distancePenalty is the number of requests in progress by which a replica
	// of another failure domain has to be less loaded. Bytes between failure
	// domains have a price of about a thirtieth of an answer's worth.
	distancePenalty = 3.0
	// failurePenalty is the load that a replica counts as having when all its
	// recent requests failed.
	failurePenalty = 12.0
	// failureGain is the weight of the newest result in the failure rate.
	failureGain = 0.25
	// failureHalfLife is the time in which a failure rate halves without new
	// results, so that a replica that was avoided is tried again.
	failureHalfLife = 3 * time.Second
	// unreachableFor is how long a replica without a connection is avoided. It
	// is a few times the time a crashed replica takes to vanish from the list.
	unreachableFor = time.Second
	// peerLoadAge is the age at which the load told by another daemon no longer
	// counts.
	peerLoadAge = 2 * time.Second
	// maxWaiting bounds the requests that wait in one daemon.
	maxWaiting = 512
)

// Replica is one replica of a service.
type Replica struct {
	ID            string
	Address       string
	Service       string
	FailureDomain string
	// Places is how many requests it runs at once.
	Places int
	// Draining replicas take no new requests.
	Draining bool
	// Versions are the model versions that it serves, by model.
	Versions map[string]int
	// Engine tells model engines from plain services.
	Engine bool
}

// Query is what an attempt needs.
type Query struct {
	Service string
	Model   string
	// MinVersion is the oldest version of the model that may run.
	MinVersion int
	// Exclude are replicas that were tried before.
	Exclude []string
	// Returning is set for a request that was refused before. It waits behind
	// new requests: its answer is late already.
	Returning bool
	Priority  int
	// MaxWait bounds the time in the queue.
	MaxWait time.Duration
	// Excess is the number of requests above its places that a replica may be
	// given, for attempts that have to be placed although the load is high.
	Excess int
}

// RefusedError reports that no replica can run the request in time.
type RefusedError struct {
	Service  string
	Reason   string
	Replicas int
	Waiting  int
	// RetryAfter is when a second try is likely to be served.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("service %s: %s (%d replicas, %d waiting)", e.Service, e.Reason, e.Replicas, e.Waiting)
}

// Result is how an attempt ended.
type Result int

// Results of attempts.
const (
	Succeeded Result = iota
	// Failed attempts count against the replica.
	Failed
	// Unreachable replicas are avoided at once.
	Unreachable
	// Neutral results say nothing about the replica.
	Neutral
)

// Placement is a place on a replica until Done.
type Placement struct {
	Replica Replica
	// Load is the load that the choice was based on, and LoadAge the age of the
	// oldest part of it.
	Load    float64
	LoadAge time.Duration
	// Version is the version of the model that the replica is known to serve.
	Version int
	// Waited is the time in the queue.
	Waited time.Duration

	owner *Placer
	state *state
}

type state struct {
	Replica
	inFlight    int
	failures    float64
	failuresAt  time.Time
	unreachable time.Time
	full        time.Time
}

type peerLoad struct {
	inFlight map[string]int
	at       time.Time
}

// Placer knows the replicas and their load. Fields are set before use.
type Placer struct {
	FailureDomain string
	// Random returns uniform numbers in [0, 1); nil is the runtime's.
	Random func() float64

	mu       sync.Mutex
	services map[string][]*state
	peers    map[string]peerLoad
	waiting  waitQueue
	sequence uint64
}

// Update replaces the list of replicas. Those that stay keep their counts.
func (p *Placer) Update(replicas []Replica, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]*state{}
	for _, list := range p.services {
		for _, s := range list {
			known[s.ID+"@"+s.Address] = s
		}
	}
	p.services = map[string][]*state{}
	for _, r := range replicas {
		s := known[r.ID+"@"+r.Address]
		if s == nil {
			s = &state{}
		}
		s.Replica = r
		p.services[r.Service] = append(p.services[r.Service], s)
	}
	p.admitWaiting(now)
}

// SetVersion records the version that the replica at an address serves, as
// learned from its answers or from the agent beside it; 0 is none.
func (p *Placer) SetVersion(address, model string, version int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.services {
		for _, s := range list {
			if s.Address != address {
				continue
			}
			versions := map[string]int{}
			for m, v := range s.Versions {
				versions[m] = v
			}
			if version == 0 {
				delete(versions, model)
			} else {
				versions[model] = version
			}
			s.Versions = versions
		}
	}
	p.admitWaiting(now)
}

// SetPeerLoad records how many requests another daemon has in progress on each
// replica.
func (p *Placer) SetPeerLoad(daemon string, inFlight map[string]int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = map[string]peerLoad{}
	}
	p.peers[daemon] = peerLoad{inFlight: inFlight, at: now}
	p.admitWaiting(now)
}

// InFlight returns the requests in progress of this daemon by replica.
func (p *Placer) InFlight() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for _, list := range p.services {
		for _, s := range list {
			if s.inFlight > 0 {
				out[s.ID] = s.inFlight
			}
		}
	}
	return out
}

// Place returns a place on the best replica, waits for one, or refuses with a
// *RefusedError.
func (p *Placer) Place(ctx context.Context, q Query, now time.Time) (Placement, error) {
	p.mu.Lock()
	if p.waiting.ahead(q) == 0 {
		if placed, ok := p.choose(q, now); ok {
			p.mu.Unlock()
			return placed, nil
		}
	}
	usable := p.usable(q)
	if usable == 0 || q.MaxWait <= 0 || p.waiting.Len() >= maxWaiting {
		err := &RefusedError{Service: q.Service, Reason: "no free place", Replicas: usable, Waiting: p.waiting.Len()}
		if usable == 0 {
			err.Reason = "no usable replica"
		}
		p.mu.Unlock()
		return Placement{}, err
	}
	w := &waiter{query: q, since: now, sequence: p.sequence, ready: make(chan Placement, 1)}
	p.sequence++
	heap.Push(&p.waiting, w)
	p.mu.Unlock()
	return p.wait(ctx, w)
}

func (p *Placer) wait(ctx context.Context, w *waiter) (Placement, error) {
	timer := time.NewTimer(w.query.MaxWait)
	defer timer.Stop()
	reason := "no place became free in time"
	select {
	case placed := <-w.ready:
		return placed, nil
	case <-timer.C:
	case <-ctx.Done():
		reason = "the caller left"
	}
	p.mu.Lock()
	if w.index >= 0 {
		heap.Remove(&p.waiting, w.index)
	}
	n, usable := p.waiting.Len(), p.usable(w.query)
	p.mu.Unlock()
	select {
	case placed := <-w.ready:
		// The place was given between the end of the wait and the lock.
		return placed, nil
	default:
	}
	return Placement{}, &RefusedError{Service: w.query.Service, Reason: reason, Replicas: usable, Waiting: n}
}

// usable counts the replicas that could run the request if they had room.
func (p *Placer) usable(q Query) int {
	n := 0
	for _, s := range p.services[q.Service] {
		if _, ok := s.fits(q); ok {
			n++
		}
	}
	return n
}

func (s *state) fits(q Query) (version int, ok bool) {
	if s.Draining {
		return 0, false
	}
	for _, id := range q.Exclude {
		if id == s.ID {
			return 0, false
		}
	}
	if q.Model == "" || !s.Engine {
		return 0, true
	}
	version = s.Versions[q.Model]
	return version, version > 0 && version >= q.MinVersion
}

// choose takes the replica with the lowest score. Equal scores are decided at
// random, so that daemons with the same view do not all choose the same one.
func (p *Placer) choose(q Query, now time.Time) (Placement, bool) {
	var best *state
	var placed Placement
	bestScore := math.Inf(1)
	for _, s := range p.services[q.Service] {
		version, ok := s.fits(q)
		if !ok {
			continue
		}
		load, age := p.load(s, now)
		if int(load) >= s.Places+q.Excess {
			continue
		}
		score := p.score(s, load, now)
		if score < bestScore {
			best, bestScore = s, score
			placed = Placement{Replica: s.Replica, Load: load, LoadAge: age, Version: version, owner: p, state: s}
		}
	}
	if best == nil {
		return Placement{}, false
	}
	best.inFlight++
	return placed, true
}

// load is the number of requests in progress on a replica, of all daemons.
func (p *Placer) load(s *state, now time.Time) (load float64, age time.Duration) {
	load = float64(s.inFlight)
	for _, peer := range p.peers {
		since := now.Sub(peer.at)
		if since > peerLoadAge {
			continue
		}
		load += float64(peer.inFlight[s.ID])
		age = max(age, since)
	}
	return load, age
}

func (p *Placer) score(s *state, load float64, now time.Time) float64 {
	score := load + failurePenalty*s.failureRate(now) + p.random()
	if s.FailureDomain != p.FailureDomain {
		score += distancePenalty
	}
	if now.Before(s.unreachable) || now.Before(s.full) {
		score += 1000
	}
	return score
}

func (s *state) failureRate(now time.Time) float64 {
	return s.failures * math.Exp2(-float64(now.Sub(s.failuresAt))/float64(failureHalfLife))
}

func (p *Placer) random() float64 {
	if p.Random != nil {
		return p.Random()
	}
	return rand.Float64()
}

// Done gives the place back and records the result.
func (pl Placement) Done(result Result, now time.Time) {
	p, s := pl.owner, pl.state
	p.mu.Lock()
	defer p.mu.Unlock()
	s.inFlight--
	switch result {
	case Succeeded:
		s.failures = s.failureRate(now) * (1 - failureGain)
		s.failuresAt = now
		s.unreachable = time.Time{}
	case Failed:
		s.failures = s.failureRate(now)*(1-failureGain) + failureGain
		s.failuresAt = now
	case Unreachable:
		s.unreachable = now.Add(unreachableFor)
	case Neutral:
	}
	p.admitWaiting(now)
}

// fullFor is how long a replica that refused for lack of room is avoided: about
// the time in which one of its requests ends.
const fullFor = 100 * time.Millisecond

// Full records that the replica had no room although it was expected to.
func (pl Placement) Full(now time.Time) {
	pl.owner.mu.Lock()
	defer pl.owner.mu.Unlock()
	pl.state.full = now.Add(fullFor)
}

// admitWaiting gives free places to waiting requests, in their order.
func (p *Placer) admitWaiting(now time.Time) {
	var skipped []*waiter
	for p.waiting.Len() > 0 {
		w := heap.Pop(&p.waiting).(*waiter)
		placed, ok := p.choose(w.query, now)
		if !ok {
			skipped = append(skipped, w)
			// A request for another service or version may still find a place.
			if len(skipped) >= maxSkipped {
				break
			}
			continue
		}
		placed.Waited = now.Sub(w.since)
		w.ready <- placed
	}
	for _, w := range skipped {
		heap.Push(&p.waiting, w)
	}
}

// maxSkipped bounds the waiting requests that one change examines.
const maxSkipped = 8

// waiter is a request in the queue.
type waiter struct {
	query    Query
	since    time.Time
	sequence uint64
	ready    chan Placement
	index    int
}

// waitQueue orders new requests before returning ones, then by priority, then
// by arrival.
type waitQueue []*waiter

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.query.Returning != b.query.Returning {
		return !a.query.Returning
	}
	if a.query.Priority != b.query.Priority {
		return a.query.Priority < b.query.Priority
	}
	return a.sequence < b.sequence
}

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.index = -1
	return w
}

// ahead counts the waiting requests of the service that go before the query.
func (q waitQueue) ahead(query Query) int {
	n := 0
	for _, w := range q {
		if w.query.Service == query.Service && (query.Returning || !w.query.Returning) && w.query.Priority <= query.Priority {
			n++
		}
	}
	return n
}
