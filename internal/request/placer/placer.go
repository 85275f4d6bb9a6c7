// Package placer decides which replica runs an attempt, whether a request
// is queued for a free slot, and when it is refused.
//
// It handles overload and bursts, such as the requests that arrive when replicas
// have finished loading weights. A model engine processes all waiting prompts
// before it generates further tokens, so the time to the first token grows with
// the prompts that were sent and have no token yet. A request is placed on a busy
// replica only if the predicted time to the first token meets its target. Otherwise
// it is queued for up to a small part of the target, and refused if no replica has
// become available by then.
package placer

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/divider"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/request/pacer"
	"github.com/lentilbridge/lentilbridge/internal/request/shedder"
	"github.com/lentilbridge/lentilbridge/internal/request/warmer"
)

const (
	// distancePenalty is the number of requests in progress by which a replica
	// of another failure domain must be less loaded to be chosen. Traffic between
	// failure domains costs about a thirtieth of the value of an answer.
	distancePenalty = 3.0
	// randomWeight is the maximum of the random part of a score, in requests in
	// progress. The loads that daemons know of each other are about 0.1 s old; with
	// a weight of 1, too many daemons chose the replica that looked least loaded.
	randomWeight = 6.0
	// failurePenalty is added to the score of a replica whose recent requests all
	// failed, in requests in progress.
	failurePenalty = 12.0
	// failureGain is the weight of the newest result in the moving average of the
	// failure rate.
	failureGain = 0.25
	// failureHalfLife is the time in which the failure rate halves without new
	// results, so that an avoided replica is tried again.
	failureHalfLife = 3 * time.Second
	// unreachableBackoff is how long a replica is avoided after a failed
	// connection. It is a few times as long as a crashed replica takes to leave
	// the list.
	unreachableBackoff = time.Second
	// maxPeerLoadAge is the age above which a peer's load report is ignored.
	maxPeerLoadAge = 2 * time.Second
	// unreachablePenalty ranks unreachable replicas after all others.
	unreachablePenalty = 1000
	// prefillPerRequest is the prefill time that counts as much as one request in
	// progress. It is half the prefill time of a prompt of average length.
	prefillPerRequest = 25 * time.Millisecond
	// placementMargin allows for network latency and for requests that other
	// daemons have placed since their last load report.
	placementMargin = 30 * time.Millisecond
	// minFullBackoff and maxFullBackoff bound the exponential backoff of a replica
	// that refused a request because it was full. The minimum is about the time in
	// which one of its requests ends. A replica that loads weights refuses for
	// longer, so the backoff doubles with each further refusal.
	minFullBackoff = 100 * time.Millisecond
	maxFullBackoff = 800 * time.Millisecond
	// A peer is assumed to have placed as many requests on a replica since its last
	// load report as this daemon. For a peer that does not prefer the replica, only
	// the fraction nonPreferringShare is assumed. With more than
	// maxNonPreferringShares/nonPreferringShare peers, the fraction is
	// maxNonPreferringShares divided by the number of peers.
	nonPreferringShare     = 0.3
	maxNonPreferringShares = 1.5
	// correctionGain is the weight of the newest observation in the correction
	// factor; at 20 requests per second the factor adapts within a second.
	correctionGain = 0.05
	// maxCorrection bounds the correction factor, so that a single unresponsive
	// replica does not prevent all placements.
	maxCorrection = 1.5
	// nonPreferredPenalty is the number of requests in progress by which a replica
	// that other daemons prefer must be less loaded to be chosen.
	nonPreferredPenalty = 1.5
	// A model engine that becomes usable looks idle to all daemons at once, and
	// those of other failure domains learn its load half a second later. Daemons
	// that do not prefer the engine therefore assume initialRequests requests on it,
	// each with a prefill time of initialPrefill. The assumed load falls to 0 within
	// initialLoadTime. First tokens took 0.5 s at replicas that were wrongly taken
	// to be idle, and 0.2 s at the usual load of 5 requests.
	initialRequests = 8.0
	initialPrefill  = 40 * time.Millisecond
	initialLoadTime = 1500 * time.Millisecond
	// pacePenalty is added to the score of a replica that works twice as long as the others, in
	// requests in progress.
	pacePenalty = 6.0
	// invalidationTime is how long InvalidateVersion takes effect. The registrations
	// are up to date again after this time.
	invalidationTime = 1500 * time.Millisecond
	// maxWaiting is the maximum number of queued requests in one daemon.
	maxWaiting = 512
)

// Replica is one replica of a service.
type Replica struct {
	ID            string
	Address       string
	Service       string
	FailureDomain string
	// Region is the region of the failure domain; empty if that is unknown.
	Region string
	// StartedAtMs is when this incarnation of the replica started, in Unix milliseconds,
	// or 0 if that is unknown.
	StartedAtMs int64
	// Slots is the maximum number of requests that it runs at once.
	Slots int
	// Draining replicas accept no new requests.
	Draining bool
	// Versions maps each model to the version that it serves.
	Versions map[string]int
	// Engine is set for model engines.
	Engine *Engine
	// PreferredBy are the VMs of the entry daemons that prefer the replica. It is
	// empty for a replica of another failure domain.
	PreferredBy []string
	// ColdUntil is the time until which the replica is cold; zero if it is not. SetCold sets it.
	ColdUntil time.Time
	// ColdRate is the number of requests per second that this daemon may send while the
	// replica is cold; 0 means none.
	ColdRate float64
}

// Load is the load that one daemon puts on a replica.
type Load struct {
	// Requests is the number of requests in progress.
	Requests int `json:"n"`
	// PrefillMs is the prefill time of the requests without a first token, in
	// milliseconds.
	PrefillMs int `json:"r,omitempty"`
}

// Query holds the requirements of an attempt.
type Query struct {
	Service string
	Model   string
	// MinVersion is the lowest acceptable version of the model.
	MinVersion int
	// Regions are the regions in which the request may be served.
	Regions matcher.Regions
	// Exclude lists the IDs of replicas that earlier attempts already tried.
	Exclude []string
	// Class decides the order in the queue.
	Class shedder.Class
	// Ranked is set if the routes of the service have different ranks.
	Ranked bool
	// MaxWait is the maximum time in the queue.
	MaxWait time.Duration
	// PromptTokens is the number of prompt tokens, for model engines.
	PromptTokens int
	// TargetLatency is the maximum time to the first token, including the time in the
	// queue; 0 means no limit.
	TargetLatency time.Duration
	// ExtraSlots is the number of requests beyond its slots that a replica may get.
	// It is for attempts that must be placed even under high load.
	ExtraSlots int

	// shed is set for a request that may not compete for places. It gets one only while
	// replicas have slots to spare.
	shed bool
	// away is set if only replicas of other failure domains can run the request.
	away bool
}

// Result is the outcome of an attempt.
type Result int

// Outcomes of attempts.
const (
	Succeeded Result = iota
	// Failed attempts raise the failure rate of the replica.
	Failed
	// Unreachable replicas are avoided immediately.
	Unreachable
	// Full replicas refused because they had no free slot.
	Full
	// Neutral outcomes do not affect the replica's failure rate or backoff.
	Neutral
)

// Placement is a reserved slot on a replica. Done releases it.
type Placement struct {
	Replica Replica
	// Load is the load that the choice was based on, and LoadAge the age of the
	// oldest peer report in it.
	Load    float64
	LoadAge time.Duration
	// Predicted is the predicted time to the first token.
	Predicted time.Duration
	// Version is the version of the model that the replica is listed with.
	Version int
	// Waited is the time in the queue.
	Waited time.Duration
	// Cold is set if the replica is cold, and ViewAge is then the age of what this daemon knows
	// of the others that send requests to it.
	Cold    bool
	ViewAge time.Duration

	owner *Placer
	state *replicaState
	// prefill is the prefill time of the request. It is set to 0 by RecordFirstToken
	// and Done.
	prefill *time.Duration
	placed  time.Time
	record  *placementRecord
	// lastEvent is the time of the last event of the stream.
	lastEvent *time.Time
}

// replicaState is a replica with the load and results that this daemon has recorded.
type replicaState struct {
	Replica
	inFlight int
	// ownSlots is this daemon's share of the slots.
	ownSlots int
	// pooledSlots is the share of all daemons of the failure domain if they pool their shares, and
	// otherwise 0. sharers are these daemons.
	pooledSlots int
	sharers     []string
	// pace is how fast the replica works at present.
	pace pacer.Replica
	// prefill is the prefill time of the requests without a first token.
	prefill time.Duration
	// recent are the latest placements, oldest first.
	recent []*placementRecord
	// failureAverage is the moving average of the failure rate at failureAverageAt.
	failureAverage   float64
	failureAverageAt time.Time
	unreachableUntil time.Time
	// fullUntil is the end of the backoff after a refusal, fullBackoff its length.
	fullUntil   time.Time
	fullBackoff time.Duration
	// heldUntil is the time until which the replica has asked for no requests.
	heldUntil time.Time
	// onTrial is set until the first placement after heldUntil.
	onTrial bool
	invalid invalidVersion
	// evacuated is set while the failure domain is evacuated.
	evacuated bool
	// others is the load from the reports of peers that are not older than
	// maxPeerLoadAge.
	others Load
	// domainRequests is the part of others.Requests from the other daemons of this failure domain.
	domainRequests int
	// usableSince is when the replica was added, stopped draining or changed its
	// versions; zero for replicas of the first list.
	usableSince time.Time
}

// placementRecord is the time and the prefill time of a request that this daemon
// placed on a replica.
type placementRecord struct {
	at      time.Time
	prefill time.Duration
	ended   bool
	// token is that of the request, if the replica is cold.
	token coldToken
}

// peerLoad is the last load report of a peer.
type peerLoad struct {
	replicas map[string]Load
	at       time.Time
	// summary is set if the report covers all daemons of another failure domain.
	summary bool
}

// Placer holds the replicas and their load. Set its exported fields before use.
type Placer struct {
	// VM is the VM of this daemon.
	VM            string
	FailureDomain string
	// Random returns uniform numbers in [0, 1); nil uses math/rand/v2.
	Random func() float64
	// Current, if set, reports whether the known evacuations are recent enough to send requests.
	Current func() bool
	// Warmer, if set, holds the shares of this daemon in cold replicas.
	Warmer *warmer.Warmer
	// Divider divides the slots of engines among daemons. Its Reports are those of Warmer, if set, and its
	// MaxPeers also limits the daemons whose load is kept. The placer sets its other fields.
	Divider divider.Divider

	mu       sync.Mutex
	services map[string][]*replicaState
	// byID holds the replicas of all services.
	byID  map[string]*replicaState
	peers map[string]peerLoad
	// peerLoads is the number of loads of replicas in peers.
	peerLoads int
	// oldestReport is not after the time of any report in peers.
	oldestReport time.Time
	waiting      waitQueue
	// rates holds, by service, the rate at which returning requests get places.
	rates map[string]placementRate
	// holds has, by ID, the times in which replicas want no requests, whether they are listed or
	// not.
	holds map[string]holdOffs
	// trials has, by service, those of replicas that have held requests off.
	trials map[string]trials
	// shedders decide, by service, which requests may compete for places.
	shedders map[string]*shedder.Shedder
	// dividedAt is when the slots were last divided.
	dividedAt time.Time
	// paces holds the average pace of replicas by service.
	paces map[string]*pacer.Service
	// holdTimes is the average time for which a request holds a slot, by service.
	holdTimes map[string]time.Duration
	// evacuated holds the failure domains that are evacuated.
	evacuated map[string]bool
	// cold holds the replicas that are cold, by ID, and coldServices the services whose cold
	// replicas have a limit.
	cold         map[string]warmer.State
	coldServices map[string]bool
	// coldTimer is set while a timer runs for the next token of a cold replica.
	coldTimer bool
	// suspended is set while nothing is placed.
	suspended bool
	// correction is the ratio of observed to predicted times to the first token,
	// by service.
	correction map[string]float64
}

// Update replaces the list of replicas. Replicas that remain keep their state.
func (p *Placer) Update(replicas []Replica, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expirePeers(now)
	p.expireHolds(now)
	known := map[string]*replicaState{}
	for _, list := range p.services {
		for _, s := range list {
			known[s.ID+"@"+s.Address] = s
		}
	}
	// It is unknown for how long the replicas of the first list have been usable.
	first := p.services == nil
	p.services = map[string][]*replicaState{}
	p.byID = make(map[string]*replicaState, len(replicas))
	for _, r := range replicas {
		s := known[r.ID+"@"+r.Address]
		if s == nil {
			s = &replicaState{}
			if !first {
				s.usableSince = now
			}
		} else if s.Draining && !r.Draining || !maps.Equal(s.Versions, r.Versions) {
			s.usableSince = now
		}
		s.Replica = r
		s.evacuated = p.evacuated[r.FailureDomain]
		s.setCold(p.cold[r.ID])
		s.heldUntil = p.holds[r.ID].of(r.StartedAtMs)
		s.onTrial = s.onTrial || now.Before(s.heldUntil)
		s.others, s.domainRequests = Load{}, 0
		p.services[r.Service] = append(p.services[r.Service], s)
		p.byID[r.ID] = s
	}
	for _, peer := range p.peers {
		p.addPeerLoad(peer, 1)
	}
	p.divideSlots(now)
	p.admitWaiting(now)
	if len(p.holds) == 0 {
		return
	}
	for service := range p.services {
		p.refuseUnplaceable(service, now)
	}
}

// Place reserves a slot on the best replica, or waits for one up to the query's
// MaxWait. It returns a *RefusedError if none becomes available.
func (p *Placer) Place(ctx context.Context, q Query, now time.Time) (Placement, error) {
	placed, w, err := p.placeOrQueue(q, now)
	if w == nil {
		return placed, err
	}
	return p.wait(ctx, w)
}

// placeOrQueue reserves a slot, queues the request and returns its waiter, or refuses it.
func (p *Placer) placeOrQueue(q Query, now time.Time) (Placement, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q.shed = !p.recordArrival(q, now)
	if p.countAhead(q) == 0 {
		if placed, ok := p.choose(q, 0, now); ok {
			return placed, nil, nil
		}
	}
	if q.shed {
		return Placement{}, nil, p.refusal(q, "the places go to more urgent requests", now)
	}
	if reason := p.reasonNotToQueue(q, now); reason != "" {
		return Placement{}, nil, p.unplaced(q, reason, now)
	}
	w := &waiter{query: q, since: now, ready: make(chan Placement, 1), refused: make(chan struct{})}
	p.waiting = append(p.waiting, w)
	p.awaitToken(now)
	return Placement{}, w, nil
}

// Reasons of refusals after a wait.
const (
	reasonNoPlace     = "no place became free in time"
	reasonUnplaceable = "no place becomes free in time"
)

func (p *Placer) wait(ctx context.Context, w *waiter) (Placement, error) {
	timer := time.NewTimer(w.query.MaxWait)
	defer timer.Stop()
	reason := reasonNoPlace
	select {
	case placed := <-w.ready:
		return placed, nil
	case <-timer.C:
	case <-w.refused:
		reason = reasonUnplaceable
	case <-ctx.Done():
		reason = "the caller left"
	}
	return p.leave(w, reason, time.Now())
}

// leave ends the wait of a request. It returns the placement if a slot was assigned before.
func (p *Placer) leave(w *waiter, reason string, now time.Time) (Placement, error) {
	p.mu.Lock()
	p.waiting.remove(w)
	err := p.unplaced(w.query, reason, now)
	p.mu.Unlock()
	select {
	case placed := <-w.ready:
		// The slot was assigned after the wait ended and before the lock was taken.
		return placed, nil
	default:
	}
	return Placement{}, err
}

// RecordFirstToken records the first token, at which the prefill is complete.
func (pl Placement) RecordFirstToken(now time.Time) {
	pl.owner.mu.Lock()
	defer pl.owner.mu.Unlock()
	pl.state.fullBackoff = 0
	pl.owner.updateCorrection(pl, now.Sub(pl.placed))
	pl.endPrefill()
	pl.owner.admitWaiting(now)
}

// endPrefill subtracts the request's prefill time from that of the replica. Further
// calls have no effect.
func (pl Placement) endPrefill() {
	pl.state.prefill -= *pl.prefill
	*pl.prefill = 0
}

// Done releases the slot and records the result.
func (pl Placement) Done(result Result, now time.Time) {
	p, s := pl.owner, pl.state
	p.mu.Lock()
	defer p.mu.Unlock()
	s.inFlight--
	pl.endPrefill()
	pl.record.ended = true
	p.returnToken(pl, now)
	switch result {
	case Succeeded:
		p.recordHold(s.Service, now.Sub(pl.placed))
		s.failureAverage = s.failureRate(now) * (1 - failureGain)
		s.failureAverageAt = now
		s.unreachableUntil = time.Time{}
		s.fullBackoff = 0
	case Failed:
		s.failureAverage = s.failureRate(now)*(1-failureGain) + failureGain
		s.failureAverageAt = now
	case Unreachable:
		s.unreachableUntil = now.Add(unreachableBackoff)
	case Full:
		s.fullBackoff = min(max(2*s.fullBackoff, minFullBackoff), maxFullBackoff)
		s.fullUntil = now.Add(s.fullBackoff)
	case Neutral:
	}
	p.admitWaiting(now)
}
