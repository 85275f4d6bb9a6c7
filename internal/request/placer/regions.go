package placer

import (
	"fmt"
	"strings"
	"time"
)

// Exclusions counts the replicas that could run a request but for their place.
type Exclusions struct {
	// Regions is the number of those in regions that the request may not use.
	Regions int
	// Evacuations is the number of others in failure domains that are evacuated.
	Evacuations int
}

func (e Exclusions) String() string {
	var out strings.Builder
	if e.Regions > 0 {
		fmt.Fprintf(&out, ", %d excluded by region", e.Regions)
	}
	if e.Evacuations > 0 {
		fmt.Fprintf(&out, ", %d excluded by an evacuation", e.Evacuations)
	}
	return out.String()
}

// exclusions counts the replicas that could run the request but for their place.
func (p *Placer) exclusions(q Query, now time.Time) Exclusions {
	var out Exclusions
	if q.Regions == nil && len(p.evacuated) == 0 {
		return out
	}
	anywhere := q
	anywhere.Regions = nil
	for _, s := range p.services[q.Service] {
		here := replicaState{Replica: s.Replica, invalid: s.invalid}
		if _, ok := here.eligible(anywhere, now); !ok {
			continue
		}
		switch {
		case !q.Regions.Allows(s.Region):
			out.Regions++
		case s.evacuated:
			out.Evacuations++
		}
	}
	return out
}

// maxSkippedRestricted is the number of restricted requests without a slot after which admitWaiting passes over the
// others of the same regions. Without it, those that wait for a full region keep all others from their slots.
const maxSkippedRestricted = 2

// isBehindRestricted reports whether enough restricted requests that may use all regions of a queued one found no
// slot.
func isBehindRestricted(w *waiter, skipped []*waiter) bool {
	n := 0
	for _, s := range skipped {
		if s.query.Regions != nil && s.query.Service == w.query.Service && s.query.Regions.Covers(w.query.Regions) {
			n++
		}
	}
	return n >= maxSkippedRestricted
}

// isContended reports whether a request got no place because others have them. Otherwise no replica may run it, or
// nothing is placed at present.
func (p *Placer) isContended(q Query, now time.Time) bool {
	switch {
	case p.suspended:
		return false
	case q.Regions == nil && len(p.evacuated) == 0:
		return true
	}
	return p.anyEligible(q, now)
}

// NotPermittedError reports a replica that must not get a request, although the request was
// placed there.
type NotPermittedError struct {
	Replica string
	Reason  string
}

func (e *NotPermittedError) Error() string {
	return fmt.Sprintf("replica %s: %s", e.Replica, e.Reason)
}

// Permitted returns an error of type *NotPermittedError if the request must not be sent to the replica of the
// placement. It is called immediately before a send: since the placement, the request may have
// waited, or the VM may have been paused. For a cold replica it uses the token of the placement, or takes one.
func (pl Placement) Permitted(q Query, now time.Time) error {
	p, r := pl.owner, pl.Replica
	if p.Current != nil && !p.Current() {
		return &NotPermittedError{Replica: r.ID, Reason: "its failure domain may be evacuated"}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.byID[r.ID]; s != nil && s.Address == r.Address {
		r = s.Replica
	} else if state, ok := p.cold[r.ID]; ok {
		r.ColdUntil = state.Until
	}
	switch {
	case !q.Regions.Allows(r.Region):
		return &NotPermittedError{Replica: r.ID, Reason: "its region is not allowed"}
	case p.evacuated[r.FailureDomain]:
		return &NotPermittedError{Replica: r.ID, Reason: "its failure domain is evacuated"}
	case r.Draining:
		return &NotPermittedError{Replica: r.ID, Reason: "it drains"}
	case p.Warmer != nil && now.Before(r.ColdUntil) && !p.useToken(r.ID, &pl.record.token, now):
		return &NotPermittedError{Replica: r.ID, Reason: "it is cold and this daemon has sent its share of requests"}
	}
	return nil
}
