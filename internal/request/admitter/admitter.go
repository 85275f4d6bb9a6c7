// Package admitter is the admission control of an entry daemon. It enforces the
// rate limits of each team, shares the backend servers fairly between teams,
// orders requests by priority, and rejects requests that cannot meet their
// deadline.
package admitter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/drainer"
	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// maxWaitingPerTeam bounds the queued requests of one team for one target and
	// priority.
	maxWaitingPerTeam = 1024
	// maxQueueTime bounds the expected queueing time of requests with a distant
	// deadline. Batch requests are exempt and may wait until their deadline.
	maxQueueTime = 30 * time.Second
	// minRetryAfter is the lower bound of the retry-after time in a rejection.
	minRetryAfter = time.Second
)

// Admitter queues and admits requests. Its exported fields must be set before
// the first call.
type Admitter struct {
	// Capacity returns how many requests that are restricted to the regions the
	// target's backend servers may run concurrently.
	Capacity func(t identifier.Target, regions matcher.Regions, now time.Time) int
	// Reserved returns the part of it at servers that only restricted requests use. It may be nil.
	Reserved func(t identifier.Target, regions matcher.Regions, now time.Time) int
	// Refusal returns why regions or evacuations prevent such requests from running
	// on any backend server, or an empty string if they don't. It may be nil.
	Refusal func(t identifier.Target, regions matcher.Regions, now time.Time) string
	// Entries returns the number of live entry daemons. If it is nil, this daemon
	// is the only one.
	Entries func(now time.Time) int

	mu     sync.Mutex
	limits limits
	// groups holds the queues of each target that has been requested.
	groups map[identifier.Target]*group
}

// Permit is the permission to run one request, held until Release is called.
type Permit struct {
	admitter *Admitter
	queue    *queue
	// cost is the cost of the request in tokens.
	cost     int
	admitted time.Time
}

// Admit returns a permit for the request, immediately or after queueing. It
// returns an *identifier.RequestError if the team exceeds a rate limit, if the
// request cannot finish before its deadline, or if ctx ends first.
func (a *Admitter) Admit(ctx context.Context, req *identifier.Request, now time.Time) (*Permit, error) {
	w, err := a.enqueue(req, now)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(req.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case <-w.decided:
		if w.isTooLate {
			return nil, newRefusal(http.StatusServiceUnavailable, "queue-timeout", "no backend server was free in time", minRetryAfter)
		}
		if w.refusal != "" {
			return nil, identifier.UnplaceableError(w.refusal)
		}
		return &Permit{admitter: a, queue: w.queue, cost: w.cost, admitted: time.Now()}, nil
	case <-ctx.Done():
		a.abandon(w, time.Now())
		if drainer.StopCause(ctx) != nil {
			return nil, identifier.StoppingError(identifier.OutcomeNotRun)
		}
		return nil, newRefusal(http.StatusServiceUnavailable, "caller-gone", "the caller has closed the connection", 0)
	case <-timer.C:
		a.abandon(w, time.Now())
		return nil, newRefusal(http.StatusServiceUnavailable, "queue-timeout", "no backend server was free before the deadline", minRetryAfter)
	}
}

// enqueue checks the request and adds it to the queue of its target. It may be
// admitted before enqueue returns.
func (a *Admitter) enqueue(req *identifier.Request, now time.Time) (*waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	capacity := a.Capacity(req.Target, req.Regions, now)
	if capacity == 0 {
		if reason := a.refusal(req.Target, req.Regions, now); reason != "" {
			return nil, identifier.UnplaceableError(reason)
		}
		return nil, newRefusal(http.StatusServiceUnavailable, "no-replica", "no replica of "+req.Target.Name()+" is ready", minRetryAfter)
	}
	q := a.queueFor(req.Target, req.Regions)
	w := newWaiter(q, req, now)
	if err := a.checkWait(w, capacity, now); err != nil {
		return nil, err
	}
	// The rate limits are charged last, so that a rejected request costs nothing.
	if err := a.limits.charge(req.Team, w.cost, a.shareCount(now), now); err != nil {
		return nil, err
	}
	q.push(w)
	a.dispatch(q.group, now)
	return w, nil
}

func newWaiter(q *queue, req *identifier.Request, now time.Time) *waiter {
	return &waiter{
		queue: q, cost: max(req.Cost, 1), team: req.Team, priority: req.Priority,
		enqueued: now, deadline: req.Deadline, decided: make(chan struct{}),
	}
}

// checkWait rejects a request that is not expected to finish before its
// deadline, or whose queue is too long.
func (a *Admitter) checkWait(w *waiter, capacity int, now time.Time) error {
	q := w.queue
	if q.waiting == 0 && q.running < capacity && (q.regions == nil || a.hasRoom(q, now)) {
		return nil
	}
	wait := q.expectedWait(w, capacity)
	isTooLong := wait+q.expectedRun(w) >= w.deadline.Sub(now)
	if w.priority != messenger.Priority_PRIORITY_BATCH {
		isTooLong = isTooLong || wait >= maxQueueTime
	}
	if isTooLong || q.level(w.priority).waiting(w.team.Name) >= maxWaitingPerTeam {
		return newRefusal(http.StatusServiceUnavailable, "overloaded", "the backend servers of "+q.target.Name()+" are overloaded", max(wait, minRetryAfter))
	}
	return nil
}

// UpdateShares updates this daemon's shares of the teams' rate limits from the
// usage at all other entry daemons and the local usage, and returns the local
// usage. The limits are divided equally before the first call and while
// hasRemoteUsage is false.
func (a *Admitter) UpdateShares(remoteUsage []*messenger.TeamUsage, hasRemoteUsage bool, now time.Time) []*messenger.TeamUsage {
	entries := a.liveEntries(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limits.updateShares(remoteUsage, hasRemoteUsage, entries, now)
}

// shareCount returns the number of entry daemons at the last update of the
// shares, or the present number before the first update.
func (a *Admitter) shareCount(now time.Time) int {
	if a.limits.entries > 0 {
		return a.limits.entries
	}
	return a.liveEntries(now)
}

// liveEntries returns the number of live entry daemons, including this one.
func (a *Admitter) liveEntries(now time.Time) int {
	if a.Entries == nil {
		return 1
	}
	return max(a.Entries(now), 1)
}

// refusal returns why no backend server may run the requests, or an empty string.
func (a *Admitter) refusal(t identifier.Target, regions matcher.Regions, now time.Time) string {
	if a.Refusal == nil {
		return ""
	}
	return a.Refusal(t, regions, now)
}

// queueFor returns the queue of a target and regions and creates it on first use.
func (a *Admitter) queueFor(t identifier.Target, regions matcher.Regions) *queue {
	if a.groups == nil {
		a.groups = map[identifier.Target]*group{}
	}
	g := a.groups[t]
	if g == nil {
		g = &group{target: t}
		a.groups[t] = g
	}
	return g.queueFor(regions)
}

// dispatch admits waiting requests of a target while there is capacity.
func (a *Admitter) dispatch(g *group, now time.Time) {
	capacity := func(regions matcher.Regions) int { return a.Capacity(g.target, regions, now) }
	g.dispatch(capacity, a.reservedOf(g, now), now)
}

// hasRoom reports whether a request of a restricted queue may run beside the admitted ones of its target.
func (a *Admitter) hasRoom(q *queue, now time.Time) bool {
	reserved := a.reservedOf(q.group, now)
	return q.running < reserved(q.regions) || q.group.shared(reserved) < a.Capacity(q.target, nil, now)
}

// reservedOf returns the capacity for a list of regions at servers that only restricted requests use.
func (a *Admitter) reservedOf(g *group, now time.Time) func(matcher.Regions) int {
	return func(regions matcher.Regions) int {
		if a.Reserved == nil || regions == nil {
			return 0
		}
		return a.Reserved(g.target, regions, now)
	}
}

// abandon removes a waiter from its queue, or releases the permit that the waiter
// got in the meantime.
func (a *Admitter) abandon(w *waiter, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-w.decided:
		if w.isTooLate || w.refusal != "" {
			return
		}
		w.queue.running--
		a.dispatch(w.queue.group, now)
	default:
		w.queue.remove(w)
	}
}

// Release frees the permit and admits waiting requests.
func (p *Permit) Release(now time.Time) {
	a := p.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	p.queue.recordRun(p.cost, now.Sub(p.admitted))
	p.queue.running--
	a.dispatch(p.queue.group, now)
	a.dropUnusedQueue(p.queue, now)
}

// dropUnusedQueue deletes an empty queue of a target without capacity, so that
// targets that were removed from the configuration do not stay in memory.
func (a *Admitter) dropUnusedQueue(q *queue, now time.Time) {
	if q.running > 0 || q.waiting > 0 || a.Capacity(q.target, q.regions, now) > 0 {
		return
	}
	q.group.remove(q)
	if len(q.group.queues) == 0 && a.groups[q.target] == q.group {
		delete(a.groups, q.target)
	}
}

// Waited returns the time from arrived to the admission of the request.
func (p *Permit) Waited(arrived time.Time) time.Duration { return p.admitted.Sub(arrived) }

// Wake admits waiting requests, and rejects those that regions or evacuations keep
// from every backend server. It must be called after an increase of capacity and
// after a change of the evacuations.
func (a *Admitter) Wake(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, g := range a.groups {
		for _, q := range g.queues {
			if q.waiting == 0 {
				continue
			}
			if reason := a.refusal(q.target, q.regions, now); reason != "" {
				q.refuseAll(reason)
			}
		}
		a.dispatch(g, now)
	}
}

// newRefusal returns the error of a request that was rejected before it ran.
func newRefusal(status int, code, message string, retryAfter time.Duration) error {
	errorType := identifier.TypeServer
	if status == http.StatusTooManyRequests {
		errorType = identifier.TypeRateLimit
	}
	return &identifier.RequestError{
		Status: status, Type: errorType, Code: code, Message: message,
		Outcome: identifier.OutcomeNotRun, RetryAfter: retryAfter,
	}
}
