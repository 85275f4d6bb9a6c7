// Package admitter decides whether and when a request may run: limits of each
// team, fairness between teams, priorities, and early refusal.
package admitter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// maxTeamQueue bounds the waiting requests of one team for one target.
	maxTeamQueue = 1024
	// maxWait bounds the queue for callers with a distant deadline. Only batch
	// requests may wait until their deadline.
	maxWait = 30 * time.Second
	// minRetryAfter is the shortest time a refused caller is told to wait.
	minRetryAfter = time.Second
)

// Admitter admits requests. Set its exported fields before use.
type Admitter struct {
	// Capacity returns how many requests the target's servers may run at once.
	Capacity func(t identifier.Target) int
	// Entries returns the number of live entry daemons.
	Entries func(now time.Time) int

	mu     sync.Mutex
	limits limits
	queues map[identifier.Target]*queue
}

// Place is the permission to run one request until Release.
type Place struct {
	admitter *Admitter
	queue    *queue
	cost     int
	admitted time.Time
}

// Admit returns a place, at once or after a wait in the queue. It refuses with
// a *identifier.RequestError when the team is over its limits or when the wait
// would outlast the deadline.
func (a *Admitter) Admit(ctx context.Context, req *identifier.Request, now time.Time) (*Place, error) {
	w, err := a.enter(req, now)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(req.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case <-w.decided:
		if w.late {
			return nil, refusal(http.StatusServiceUnavailable, "queue-timeout", "no backend server was free in time", minRetryAfter)
		}
		return &Place{admitter: a, queue: w.queue, cost: w.cost, admitted: time.Now()}, nil
	case <-ctx.Done():
		a.leave(w, time.Now())
		return nil, refusal(http.StatusServiceUnavailable, "caller-gone", "the caller has closed the connection", 0)
	case <-timer.C:
		a.leave(w, time.Now())
		return nil, refusal(http.StatusServiceUnavailable, "queue-timeout", "no backend server was free before the deadline", minRetryAfter)
	}
}

func (a *Admitter) enter(req *identifier.Request, now time.Time) (*waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	capacity := a.Capacity(req.Target)
	if capacity == 0 {
		return nil, refusal(http.StatusServiceUnavailable, "no-replica", "no replica of "+req.Target.Name()+" is ready", minRetryAfter)
	}
	q := a.queue(req.Target)
	w := newWaiter(q, req, now)
	if err := a.mayWait(w, capacity, now); err != nil {
		return nil, err
	}
	// The limit is charged last, so that a refused request costs nothing.
	if err := a.limits.take(req.Team, w.cost, a.sharers(now), now); err != nil {
		return nil, err
	}
	q.push(w)
	q.dispatch(capacity, now)
	return w, nil
}

func newWaiter(q *queue, req *identifier.Request, now time.Time) *waiter {
	return &waiter{
		queue: q, cost: max(req.Cost, 1), team: req.Team, priority: req.Priority,
		entered: now, deadline: req.Deadline, decided: make(chan struct{}),
	}
}

// mayWait refuses a request that could not be finished before its deadline.
func (a *Admitter) mayWait(w *waiter, capacity int, now time.Time) error {
	q := w.queue
	if q.waiting == 0 && q.running < capacity {
		return nil
	}
	wait := q.expectedWait(w, capacity)
	late := wait+q.expectedRun(w) >= w.deadline.Sub(now)
	if w.priority != messenger.Priority_PRIORITY_BATCH {
		late = late || wait >= maxWait
	}
	if late || q.level(w.priority).waiting(w.team.Name) >= maxTeamQueue {
		return refusal(http.StatusServiceUnavailable, "overloaded", "the backend servers of "+q.target.Name()+" are overloaded", max(wait, minRetryAfter))
	}
	return nil
}

// Share takes the demand of teams at all other entry daemons, measures the
// demand here and sets this daemon's shares of the limits. It returns the
// demand here. Shares are those of equal daemons before the first call and
// while the demand of the others is not known.
func (a *Admitter) Share(others []*messenger.TeamUsage, known bool, now time.Time) []*messenger.TeamUsage {
	entries := a.entries(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limits.share(others, known, entries, now)
}

// sharers is the number of daemons at the last update of the shares.
func (a *Admitter) sharers(now time.Time) int {
	if a.limits.entries > 0 {
		return a.limits.entries
	}
	return a.entries(now)
}

func (a *Admitter) entries(now time.Time) int {
	if a.Entries == nil {
		return 1
	}
	return max(a.Entries(now), 1)
}

func (a *Admitter) queue(t identifier.Target) *queue {
	if a.queues == nil {
		a.queues = map[identifier.Target]*queue{}
	}
	q := a.queues[t]
	if q == nil {
		q = &queue{target: t}
		a.queues[t] = q
	}
	return q
}

// leave takes a waiter out of its queue, or gives back the place that it got
// in the meantime.
func (a *Admitter) leave(w *waiter, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-w.decided:
		if w.late {
			return
		}
		w.queue.running--
		w.queue.dispatch(a.Capacity(w.queue.target), now)
	default:
		w.queue.remove(w)
	}
}

// Release gives the place back.
func (p *Place) Release(now time.Time) {
	a := p.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	p.queue.finished(p.cost, now.Sub(p.admitted))
	p.queue.running--
	p.queue.dispatch(a.Capacity(p.queue.target), now)
	a.forget(p.queue)
}

// forget drops the queue of a target without replicas, so that targets that
// were removed from the configuration do not stay in memory.
func (a *Admitter) forget(q *queue) {
	if q.running == 0 && q.waiting == 0 && a.Capacity(q.target) == 0 {
		delete(a.queues, q.target)
	}
}

// Waited returns how long a request that arrived at a time has waited.
func (p *Place) Waited(arrived time.Time) time.Duration { return p.admitted.Sub(arrived) }

// Wake admits waiting requests after a change of capacity.
func (a *Admitter) Wake(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for t, q := range a.queues {
		q.dispatch(a.Capacity(t), now)
	}
}

func refusal(status int, code, message string, retryAfter time.Duration) error {
	kind := identifier.TypeServer
	if status == http.StatusTooManyRequests {
		kind = identifier.TypeRateLimit
	}
	return &identifier.RequestError{
		Status: status, Type: kind, Code: code, Message: message,
		Outcome: identifier.OutcomeNotRun, RetryAfter: retryAfter,
	}
}
