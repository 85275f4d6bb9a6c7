package placer

import (
	"fmt"
	"time"
)

// RefusedError is returned if no replica can run the request in time.
type RefusedError struct {
	Service  string
	Reason   string
	Replicas int
	Waiting  int
	// RetryAfter is the time after which a retry is likely to succeed.
	RetryAfter time.Duration
	// Excluded counts the replicas that could run the request elsewhere or later.
	Excluded Exclusions
	// Shed is set if the request was not admitted to compete for places.
	Shed bool
	// Standing is what the daemon could place at that time.
	Standing Standing
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("service %s: %s (%d replicas, %d waiting%s)", e.Service, e.Reason, e.Replicas, e.Waiting, e.Excluded)
}

// unplaced returns the error for a request that has competed for a place and got none.
func (p *Placer) unplaced(q Query, reason string, now time.Time) *RefusedError {
	if q.ExtraSlots == 0 && p.isContended(q, now) {
		p.shedder(q.Service).RecordUnplaced(q.contender(), now)
	}
	return p.refusal(q, reason, now)
}

// refusal returns the error for a request that is not placed.
func (p *Placer) refusal(q Query, reason string, now time.Time) *RefusedError {
	err := &RefusedError{
		Service: q.Service, Reason: reason, Replicas: p.countUsable(q, now, now.Add(q.MaxWait)), Waiting: len(p.waiting), RetryAfter: p.firstReturn(q, now),
	}
	switch {
	case err.Replicas == 0 && err.RetryAfter > 0:
		err.Reason = "all replicas hold requests off"
	case err.Replicas == 0 && p.anyWithoutShare(q, now):
		err.Reason = "the usable replicas are cold and get requests from other daemons"
	case err.Replicas == 0:
		err.Reason = "no usable replica"
	case p.suspended:
		err.Reason = "nothing is placed while an evacuation may have been missed"
	}
	err.Excluded = p.exclusions(q, now)
	err.Shed, err.Standing = q.shed, p.standing(q, now)
	return err
}
