// Package placer decides which replica runs an attempt, whether a request
// waits for a place, and when it is refused.
//
// It answers a load above what the replicas can run, and requests that arrive
// together, as they do when replicas return from loading. A model engine reads
// the prompts that wait before it goes on with any answer, so that the time to
// the first token grows with the prompts that were sent and have no token yet.
// A request is placed only where the predicted time meets its target; it waits
// for a small part of the target, and is refused when no replica fits by then.
package placer

import (
	"container/heap"
	"context"
	"fmt"
	"maps"
	"sync"
	"time"
)

const (
	// distancePenalty is the number of requests in progress by which a replica
	// of another failure domain has to be less loaded. Bytes between failure
	// domains have a price of about a thirtieth of an answer's worth.
	distancePenalty = 3.0
	// randomWeight is the load up to which a choice is random. Daemons whose loads
	// of each other are 0.1 s old would all choose the replica that looked least
	// loaded: on tmfpa-grown quiet-1 the share of credit earned grew from 0.81 to
	// 0.86 with a weight of 6 in place of 1.
	randomWeight = 6.0
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
	// unreachablePenalty puts an unreachable replica behind all others.
	unreachablePenalty = 1000
	// readingPerRequest is the waiting prompt that weighs as much as one request
	// in progress. A prompt of average length takes twice as long to read.
	readingPerRequest = 25 * time.Millisecond
	// placingMargin covers the network and the requests that other daemons have
	// placed since their last message.
	placingMargin = 30 * time.Millisecond
	// minFullFor and maxFullFor bound how long a replica that refused for lack
	// of room is left alone. The first is about the time in which one of its
	// requests ends; it doubles while the replica goes on refusing, as one does
	// that loads weights.
	minFullFor = 100 * time.Millisecond
	maxFullFor = 800 * time.Millisecond
	// strangerLikeness is how much of what this daemon places is assumed of a
	// daemon that prefers other replicas, and maxStrangers bounds the sum over
	// all of them.
	strangerLikeness = 0.3
	maxStrangers     = 1.5
	// biasGain is the weight of the newest first token in the correction of
	// predictions; with 20 requests a second it follows within a second.
	biasGain = 0.05
	// maxBias bounds the correction, so that one silent replica does not stop
	// all placements.
	maxBias = 1.5
	// strangerPenalty is the load by which a replica that others prefer has to be
	// less loaded.
	strangerPenalty = 1.5
	// freshRequests are the requests, and freshReading the prompt of each, that an
	// engine which has just become usable counts as having for daemons that do
	// not prefer it. They vanish within freshFor. All daemons see the replica idle
	// at once, and those of other failure domains hear half a second later of what
	// it got: on tmfpa grown, first tokens took 0.5 s at replicas that were believed
	// to be idle, and 0.2 s at the usual load of 5.
	freshRequests = 8.0
	freshReading  = 40 * time.Millisecond
	freshFor      = 1500 * time.Millisecond
	// refutedFor is the time in which a registration follows its replica.
	refutedFor = 1500 * time.Millisecond
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
	// Engine is set for model engines.
	Engine *Engine
	// Sharers are the VMs of the entry daemons that prefer the replica; none for
	// a replica of another failure domain.
	Sharers []string
}

// Load is the load of one daemon on a replica.
type Load struct {
	// Requests are those in progress.
	Requests int `json:"n"`
	// ReadingMs is the time in which the replica reads the prompts of those that
	// have no token yet, in milliseconds.
	ReadingMs int `json:"r,omitempty"`
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
	// Prompt is the number of prompt tokens, for model engines.
	Prompt int
	// Target is the time to the first token that a placement has to meet with
	// the time in the queue; 0 is no bound.
	Target time.Duration
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
	// Full replicas refused for lack of room.
	Full
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
	// Predicted is the predicted time to the first token.
	Predicted time.Duration
	// Version is the version of the model that the replica is known to serve.
	Version int
	// Waited is the time in the queue.
	Waited time.Duration

	owner *Placer
	state *state
	// prompt is the reading time of the request until Started.
	prompt *time.Duration
	placed time.Time
}

type state struct {
	Replica
	inFlight int
	// reading is the reading time of the prompts without a token.
	reading time.Duration
	// recent are the latest placements, oldest first.
	recent      []placement
	failures    float64
	failuresAt  time.Time
	unreachable time.Time
	// full is until when the replica is taken to refuse, and fullFor the length
	// of that time.
	full    time.Time
	fullFor time.Duration
	refuted refuted
	// usable is since when the replica takes requests on its versions.
	usable time.Time
}

// placement is one placement of this daemon.
type placement struct {
	at      time.Time
	reading time.Duration
}

type peerLoad struct {
	replicas map[string]Load
	at       time.Time
	// summary is set for the load of all daemons of another failure domain.
	summary bool
}

// Placer knows the replicas and their load. Fields are set before use.
type Placer struct {
	// VM is that of this daemon.
	VM            string
	FailureDomain string
	// Random returns uniform numbers in [0, 1); nil is the runtime's.
	Random func() float64

	mu       sync.Mutex
	services map[string][]*state
	peers    map[string]peerLoad
	waiting  waitQueue
	sequence uint64
	// bias is how much longer first tokens take than predicted, by service.
	bias map[string]float64
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
	// A first list says nothing of how long its replicas have been usable.
	first := p.services == nil
	p.services = map[string][]*state{}
	for _, r := range replicas {
		s := known[r.ID+"@"+r.Address]
		if s == nil {
			s = &state{}
			if !first {
				s.usable = now
			}
		} else if s.Draining && !r.Draining || !maps.Equal(s.Versions, r.Versions) {
			s.usable = now
		}
		s.Replica = r
		p.services[r.Service] = append(p.services[r.Service], s)
	}
	p.admitWaiting(now)
}

// Refute records that the replica at an address does not serve the version of a
// model that it is listed with. Registrations lag, so that the list may name the
// version again for a while.
func (p *Placer) Refute(address, model string, version int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.services {
		for _, s := range list {
			if s.Address == address {
				s.refuted = refuted{model: model, version: version, until: now.Add(refutedFor)}
			}
		}
	}
}

// refuted is a version that a replica was found not to serve.
type refuted struct {
	model   string
	version int
	until   time.Time
}

// SetPeerLoad records the load of the daemon on another VM on each replica.
func (p *Placer) SetPeerLoad(vm string, replicas map[string]Load, now time.Time) {
	p.setLoad(vm, peerLoad{replicas: replicas, at: now}, now)
}

// SetDomainLoad records the load of all daemons of another failure domain.
func (p *Placer) SetDomainLoad(domain string, replicas map[string]Load, now time.Time) {
	p.setLoad("domain "+domain, peerLoad{replicas: replicas, at: now, summary: true}, now)
}

func (p *Placer) setLoad(name string, load peerLoad, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = map[string]peerLoad{}
	}
	p.peers[name] = load
	p.admitWaiting(now)
}

// DomainLoads returns the load of all daemons of this failure domain by replica.
func (p *Placer) DomainLoads(now time.Time) map[string]Load {
	out := p.Loads()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		if peer.summary || now.Sub(peer.at) > peerLoadAge {
			continue
		}
		for id, l := range peer.replicas {
			sum := out[id]
			out[id] = Load{Requests: sum.Requests + l.Requests, ReadingMs: sum.ReadingMs + l.ReadingMs}
		}
	}
	return out
}

// Loads returns the load of this daemon by replica.
func (p *Placer) Loads() map[string]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]Load{}
	for _, list := range p.services {
		for _, s := range list {
			if s.inFlight > 0 {
				out[s.ID] = Load{Requests: s.inFlight, ReadingMs: int(s.reading.Milliseconds())}
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
		if placed, ok := p.choose(q, 0, now); ok {
			p.mu.Unlock()
			return placed, nil
		}
	}
	usable := p.usable(q, now)
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
	n, usable := p.waiting.Len(), p.usable(w.query, time.Now())
	p.mu.Unlock()
	select {
	case placed := <-w.ready:
		// The place was given between the end of the wait and the lock.
		return placed, nil
	default:
	}
	return Placement{}, &RefusedError{Service: w.query.Service, Reason: reason, Replicas: usable, Waiting: n}
}

// Started records the first token: the prompt has been read.
func (pl Placement) Started(now time.Time) {
	pl.owner.mu.Lock()
	defer pl.owner.mu.Unlock()
	pl.state.fullFor = 0
	pl.owner.learn(pl, now.Sub(pl.placed))
	pl.read()
	pl.owner.admitWaiting(now)
}

// read takes the prompt off the replica's reading time, once.
func (pl Placement) read() {
	pl.state.reading -= *pl.prompt
	*pl.prompt = 0
}

// Done gives the place back and records the result.
func (pl Placement) Done(result Result, now time.Time) {
	p, s := pl.owner, pl.state
	p.mu.Lock()
	defer p.mu.Unlock()
	s.inFlight--
	pl.read()
	switch result {
	case Succeeded:
		s.failures = s.failureRate(now) * (1 - failureGain)
		s.failuresAt = now
		s.unreachable = time.Time{}
		s.fullFor = 0
	case Failed:
		s.failures = s.failureRate(now)*(1-failureGain) + failureGain
		s.failuresAt = now
	case Unreachable:
		s.unreachable = now.Add(unreachableFor)
	case Full:
		s.fullFor = min(max(2*s.fullFor, minFullFor), maxFullFor)
		s.full = now.Add(s.fullFor)
	case Neutral:
	}
	p.admitWaiting(now)
}
