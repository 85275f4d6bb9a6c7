package admitter

import (
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	// quantum is what a team of weight 1 may run per round, in tokens.
	quantum = 512
	// lowestTurn gives one in so many turns to the lowest waiting priority, so
	// that batch requests progress under constant interactive load.
	lowestTurn = 16
	// paceWeight is the weight of one request in the mean time and cost.
	paceWeight = 0.05
	priorities = 3
	// runHeadroom is how much longer than the mean a run is expected to be, so
	// that most runs end before the deadline.
	runHeadroom = 1.5
)

// waiter is one request in a queue.
type waiter struct {
	queue    *queue
	team     *parser.Team
	priority messenger.Priority
	cost     int
	entered  time.Time
	deadline time.Time
	// decided is closed when the request may run, or is too late to run.
	decided chan struct{}
	late    bool
}

// queue holds the requests that wait for one target.
type queue struct {
	target  identifier.Target
	running int
	waiting int
	turns   int
	// pace is the mean time that one token of cost occupies a place: the mean
	// time of a request by its mean cost. The mean of the ratios of single
	// requests would be far above it, because short ones wait as long as others.
	pace     float64
	meanTime float64
	meanCost float64
	levels   [priorities]level
}

func (q *queue) level(p messenger.Priority) *level {
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

// dispatch admits waiters while there are places. One that has waited and can
// no longer end before its deadline is refused: its run would be wasted.
func (q *queue) dispatch(capacity int, now time.Time) {
	for q.waiting > 0 && q.running < capacity {
		w := q.next()
		q.waiting--
		w.late = now.After(w.entered) && now.Add(q.expectedRun(w)).After(w.deadline)
		if w.late {
			q.level(w.priority).refund(w)
		} else {
			q.running++
		}
		close(w.decided)
	}
}

func (q *queue) next() *waiter {
	q.turns++
	if q.turns%lowestTurn == 0 {
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

func (q *queue) finished(cost int, d time.Duration) {
	if q.meanCost == 0 {
		q.meanTime, q.meanCost = d.Seconds(), float64(cost)
	}
	q.meanTime += paceWeight * (d.Seconds() - q.meanTime)
	q.meanCost += paceWeight * (float64(cost) - q.meanCost)
	q.pace = q.meanTime / q.meanCost
}

// expectedWait estimates the time until the waiter's turn: what its team has
// waiting, at the team's share, after all that waits at higher priorities.
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
	return time.Duration(ahead * q.pace / float64(capacity) * float64(time.Second))
}

// expectedRun estimates how long the request itself will run.
func (q *queue) expectedRun(w *waiter) time.Duration {
	return time.Duration(runHeadroom * float64(w.cost) * q.pace * float64(time.Second))
}

// level is deficit round robin between the teams of one priority.
type level struct {
	// teams are the teams with waiting requests; the first has its turn.
	teams []*teamQueue
}

type teamQueue struct {
	team    *parser.Team
	waiters []*waiter
	deficit int
	cost    int
	// credited is set once the team got its quantum of the present turn.
	credited bool
}

func weight(t *parser.Team) int { return max(t.Weight, 1) }

func (l *level) find(team string) *teamQueue {
	for _, t := range l.teams {
		if t.team.Name == team {
			return t
		}
	}
	return nil
}

func (l *level) waiting(team string) int {
	if t := l.find(team); t != nil {
		return len(t.waiters)
	}
	return 0
}

func (l *level) cost() int {
	total := 0
	for _, t := range l.teams {
		total += t.cost
	}
	return total
}

// share returns the team's share of the level and the cost that it has waiting.
func (l *level) share(team *parser.Team) (float64, int) {
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

func (l *level) push(w *waiter) {
	t := l.find(w.team.Name)
	if t == nil {
		t = &teamQueue{}
		l.teams = append(l.teams, t)
	}
	// The newest revision of the team holds.
	t.team = w.team
	t.waiters = append(t.waiters, w)
	t.cost += w.cost
}

func (l *level) next() *waiter {
	for {
		t := l.teams[0]
		if !t.credited {
			t.deficit += quantum * weight(t.team)
			t.credited = true
		}
		w := t.waiters[0]
		if t.deficit >= w.cost {
			t.deficit -= w.cost
			l.drop(t, 0)
			return w
		}
		t.credited = false
		l.teams = append(l.teams[1:], t)
	}
}

// refund gives back what a waiter cost that was taken out but does not run.
func (l *level) refund(w *waiter) {
	if t := l.find(w.team.Name); t != nil {
		t.deficit += w.cost
	}
}

func (l *level) remove(w *waiter) bool {
	t := l.find(w.team.Name)
	if t == nil {
		return false
	}
	i := slices.Index(t.waiters, w)
	if i < 0 {
		return false
	}
	l.drop(t, i)
	return true
}

// drop takes out one waiter. A team that has none left loses its deficit, as
// it may not save up turns while it has nothing to run.
func (l *level) drop(t *teamQueue, i int) {
	t.cost -= t.waiters[i].cost
	t.waiters = slices.Delete(t.waiters, i, i+1)
	if len(t.waiters) == 0 {
		l.teams = slices.Delete(l.teams, slices.Index(l.teams, t), slices.Index(l.teams, t)+1)
	}
}
