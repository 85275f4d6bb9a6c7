package admitter

import (
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	// quantumTokens is the round-robin quantum of a team of weight 1, in tokens.
	quantumTokens = 512
	// lowestPriorityInterval is the number of dispatches of which one goes to the
	// lowest waiting priority, so that batch requests progress under constant
	// interactive load.
	lowestPriorityInterval = 16
	// runSampleWeight is the weight of one request in the moving averages of run
	// time and cost.
	runSampleWeight = 0.05
	// priorityCount is the number of priorities: interactive, standard and batch.
	priorityCount = 3
	// runTimeFactor is the ratio of the expected run time to the mean. It is above
	// 1 so that most runs end before the deadline.
	runTimeFactor = 1.5
)

// waiter is one request in a queue.
type waiter struct {
	queue    *queue
	team     *parser.Team
	priority messenger.Priority
	cost     int
	enqueued time.Time
	deadline time.Time
	// decided is closed when the request is admitted or rejected. isTooLate is set
	// before that if it is rejected because it would miss its deadline.
	decided   chan struct{}
	isTooLate bool
	// refusal is set before that if no backend server may run the request any more.
	refusal string
}

// queue holds the requests that wait for one target and are restricted to the same
// regions.
type queue struct {
	target  identifier.Target
	regions matcher.Regions
	group   *group
	// running and waiting count the admitted and the queued requests.
	running int
	waiting int
	// dispatched counts the calls of next.
	dispatched int
	// secondsPerToken is meanRunSeconds divided by meanRunTokens. The mean of the
	// ratios of single requests would be far higher, because short requests
	// occupy a slot almost as long as others.
	secondsPerToken float64
	meanRunSeconds  float64
	meanRunTokens   float64
	// levels holds the queued requests by priority, the highest first.
	levels [priorityCount]priorityLevel
}

// level returns the level of a priority. Requests without one are standard requests.
func (q *queue) level(p messenger.Priority) *priorityLevel {
	switch p {
	case messenger.Priority_PRIORITY_INTERACTIVE:
		return &q.levels[0]
	case messenger.Priority_PRIORITY_BATCH:
		return &q.levels[2]
	}
	return &q.levels[1]
}

func (q *queue) push(w *waiter) {
	q.level(w.priority).push(w)
	q.waiting++
}

func (q *queue) remove(w *waiter) {
	if q.level(w.priority).remove(w) {
		q.waiting--
	}
}

// dispatch admits waiters while there is capacity. A waiter that has queued and
// is no longer expected to finish before its deadline is rejected, because its
// run would be wasted.
func (q *queue) dispatch(capacity int, now time.Time) {
	for q.waiting > 0 && q.running < capacity {
		q.admitNext(now)
	}
}

// admitNext admits or rejects the next waiter. There must be one.
func (q *queue) admitNext(now time.Time) {
	w := q.next()
	q.waiting--
	w.isTooLate = now.After(w.enqueued) && now.Add(q.expectedRun(w)).After(w.deadline)
	if w.isTooLate {
		q.level(w.priority).refund(w)
	} else {
		q.running++
	}
	close(w.decided)
}

// refuseAll rejects all waiters for a reason.
func (q *queue) refuseAll(reason string) {
	for i := range q.levels {
		for len(q.levels[i].teams) > 0 {
			w := q.levels[i].teams[0].waiters[0]
			q.levels[i].remove(w)
			q.waiting--
			w.refusal = reason
			close(w.decided)
		}
	}
}

// next removes the next waiter to run: the first of the highest waiting priority,
// and of the lowest one every lowestPriorityInterval calls.
func (q *queue) next() *waiter {
	q.dispatched++
	if q.dispatched%lowestPriorityInterval == 0 {
		for i := range slices.Backward(q.levels[:]) {
			if len(q.levels[i].teams) > 0 {
				return q.levels[i].next()
			}
		}
	}
	for i := range q.levels {
		if len(q.levels[i].teams) > 0 {
			return q.levels[i].next()
		}
	}
	return nil
}

// recordRun updates the averages from a request that has finished.
func (q *queue) recordRun(cost int, duration time.Duration) {
	if q.meanRunTokens == 0 {
		q.meanRunSeconds, q.meanRunTokens = duration.Seconds(), float64(cost)
	}
	q.meanRunSeconds += runSampleWeight * (duration.Seconds() - q.meanRunSeconds)
	q.meanRunTokens += runSampleWeight * (float64(cost) - q.meanRunTokens)
	q.secondsPerToken = q.meanRunSeconds / q.meanRunTokens
}

// expectedWait estimates the queueing time of the waiter: all waiting cost of
// higher priorities, plus the waiting cost of its own team divided by the team's
// share.
func (q *queue) expectedWait(w *waiter, capacity int) time.Duration {
	ahead := 0.0
	own := q.level(w.priority)
	for i := range q.levels {
		if &q.levels[i] == own {
			break
		}
		ahead += float64(q.levels[i].cost())
	}
	share, cost := own.share(w.team)
	ahead += float64(cost) / share
	return time.Duration(ahead * q.secondsPerToken / float64(capacity) * float64(time.Second))
}

// expectedRun estimates the run time of the request.
func (q *queue) expectedRun(w *waiter) time.Duration {
	return time.Duration(runTimeFactor * float64(w.cost) * q.secondsPerToken * float64(time.Second))
}

// priorityLevel schedules the teams of one priority by deficit round robin.
type priorityLevel struct {
	// teams holds the teams with waiting requests, starting with the current one.
	teams []*teamQueue
}

// teamQueue holds the waiting requests of one team at one priority.
type teamQueue struct {
	team    *parser.Team
	waiters []*waiter
	// deficit is the number of tokens that the team may still spend in its turn.
	deficit int
	// cost is the total cost of the waiters.
	cost int
	// hasQuantum is set once the quantum of the current turn was added to deficit.
	hasQuantum bool
}

// weight returns the scheduling weight of a team, which is 1 by default.
func weight(t *parser.Team) int { return max(t.Weight, 1) }

func (l *priorityLevel) find(team string) *teamQueue {
	for _, t := range l.teams {
		if t.team.Name == team {
			return t
		}
	}
	return nil
}

// waiting returns the number of waiting requests of a team.
func (l *priorityLevel) waiting(team string) int {
	if t := l.find(team); t != nil {
		return len(t.waiters)
	}
	return 0
}

// cost returns the total cost of the waiting requests.
func (l *priorityLevel) cost() int {
	total := 0
	for _, t := range l.teams {
		total += t.cost
	}
	return total
}

// share returns the fraction of the level that is due to the team by its weight,
// and the cost of the team's waiting requests.
func (l *priorityLevel) share(team *parser.Team) (float64, int) {
	total, cost := weight(team), 0
	for _, t := range l.teams {
		if t.team.Name == team.Name {
			cost = t.cost
			continue
		}
		total += weight(t.team)
	}
	return float64(weight(team)) / float64(total), cost
}

func (l *priorityLevel) push(w *waiter) {
	t := l.find(w.team.Name)
	if t == nil {
		t = &teamQueue{}
		l.teams = append(l.teams, t)
	}
	// The latest configuration of the team applies.
	t.team = w.team
	t.waiters = append(t.waiters, w)
	t.cost += w.cost
}

// next removes and returns the next waiter. There must be one.
func (l *priorityLevel) next() *waiter {
	for {
		t := l.teams[0]
		if !t.hasQuantum {
			t.deficit += quantumTokens * weight(t.team)
			t.hasQuantum = true
		}
		w := t.waiters[0]
		if t.deficit >= w.cost {
			t.deficit -= w.cost
			l.removeAt(t, 0)
			return w
		}
		t.hasQuantum = false
		l.teams = append(l.teams[1:], t)
	}
}

// refund restores the deficit that was spent on a waiter that does not run.
func (l *priorityLevel) refund(w *waiter) {
	if t := l.find(w.team.Name); t != nil {
		t.deficit += w.cost
	}
}

// remove removes a waiter and reports whether it was waiting.
func (l *priorityLevel) remove(w *waiter) bool {
	t := l.find(w.team.Name)
	if t == nil {
		return false
	}
	i := slices.Index(t.waiters, w)
	if i < 0 {
		return false
	}
	l.removeAt(t, i)
	return true
}

// removeAt removes the waiter with index i. A team without waiters loses its
// deficit, so that an idle team cannot accumulate credit.
func (l *priorityLevel) removeAt(t *teamQueue, i int) {
	t.cost -= t.waiters[i].cost
	t.waiters = slices.Delete(t.waiters, i, i+1)
	if len(t.waiters) == 0 {
		l.teams = slices.Delete(l.teams, slices.Index(l.teams, t), slices.Index(l.teams, t)+1)
	}
}
