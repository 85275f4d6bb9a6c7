package admitter

import (
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
)

// group holds the queues of one target: one for the requests that may run on all of
// its backend servers, and one for each list of regions to which others are
// restricted. Their requests share the backend servers.
type group struct {
	target identifier.Target
	queues []*queue
	// turn is the position of the queue that is considered first, so that each of
	// them progresses.
	turn int
}

// queueFor returns the queue of a list of regions and creates it on first use.
func (g *group) queueFor(regions matcher.Regions) *queue {
	for _, q := range g.queues {
		if (q.regions == nil) == (regions == nil) && slices.Equal(q.regions, regions) {
			return q
		}
	}
	q := &queue{target: g.target, regions: regions, group: g}
	g.queues = append(g.queues, q)
	return q
}

func (g *group) remove(q *queue) {
	g.queues = slices.DeleteFunc(g.queues, func(other *queue) bool { return other == q })
}

// running returns the number of admitted requests of the target.
func (g *group) running() int {
	n := 0
	for _, q := range g.queues {
		n += q.running
	}
	return n
}

// shared returns the number of admitted requests that need the servers which all requests may use. Restricted ones
// fill the servers first that only they use.
func (g *group) shared(reserved func(matcher.Regions) int) int {
	n := 0
	for _, q := range g.queues {
		n += max(0, q.running-reserved(q.regions))
	}
	return n
}

// dispatch admits waiters while there is capacity for their queue, and for all
// queues together.
func (g *group) dispatch(capacity, reserved func(matcher.Regions) int, now time.Time) {
	if len(g.queues) == 1 {
		g.queues[0].dispatch(capacity(g.queues[0].regions), now)
		return
	}
	limits := make([]int, len(g.queues))
	for i, q := range g.queues {
		limits[i] = capacity(q.regions)
	}
	total := capacity(nil)
	for passed := 0; passed < len(g.queues); {
		i := g.turn % len(g.queues)
		g.turn++
		passed++
		q := g.queues[i]
		if q.waiting > 0 && q.running < limits[i] && (q.running < reserved(q.regions) || g.shared(reserved) < total) {
			q.admitNext(now)
			passed = 0
		}
	}
}
