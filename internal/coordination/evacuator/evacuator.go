// Package evacuator decides which failure domains are evacuated: operators ask with an object of
// the store that no requests are sent to the replicas of a failure domain until they remove it.
package evacuator

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/coordination/mirrorer"
)

const (
	// rewriteTime is how long an evacuation that a restored store has lost stays in force. Operators
	// write what they had written since the copy was made again within a few seconds.
	rewriteTime = 5 * time.Second
	// returnRetention is how long the end of an evacuation is remembered. It is above the time for
	// which replicas stay cold.
	returnRetention = 10 * time.Minute
	// maxWriteFailures is the number of failed writes of a status after which it is not written. Each call
	// to the store has a cost.
	maxWriteFailures = 3
)

// Evacuation is an object that asks for the evacuation of a failure domain.
type Evacuation struct {
	FailureDomain string
	// Revision is that of the object.
	Revision uint64
	// Confirmed is set if the status of the object says that the evacuation is in force.
	Confirmed bool
}

// Event is the beginning or the end of an evacuation, as far as this daemon knows.
type Event struct {
	FailureDomain string
	Revision      uint64
	// Since is when this daemon learned of the evacuation.
	Since time.Time
}

// Change lists the evacuations that an update has begun and ended.
type Change struct {
	Began, Ended []Event
}

// IsEmpty reports whether nothing has changed.
func (c Change) IsEmpty() bool { return len(c.Began) == 0 && len(c.Ended) == 0 }

// state is an evacuation in force.
type state struct {
	Evacuation
	since time.Time
	// keepUntil is when the evacuation ends after a restore of the store that has lost it, if set.
	keepUntil time.Time
	failures  int
}

// Evacuator holds the evacuations in force. Its exported field is set before use.
type Evacuator struct {
	// OnReturn is called, if set, when this daemon learns that a failure domain is no longer
	// evacuated.
	OnReturn func(domain string, now time.Time)

	mu sync.Mutex
	// inForce and returned are by failure domain.
	inForce  map[string]*state
	returned map[string]time.Time
}

// Update replaces the evacuations by those of a copy of the objects. The era is that of the copy.
func (e *Evacuator) Update(era uint64, list []Evacuation, now time.Time) Change {
	e.mu.Lock()
	change := e.update(era, list, now)
	e.mu.Unlock()
	e.report(change, now)
	return change
}

func (e *Evacuator) update(era uint64, list []Evacuation, now time.Time) Change {
	var change Change
	if e.inForce == nil {
		e.inForce, e.returned = map[string]*state{}, map[string]time.Time{}
	}
	listed := make(map[string]bool, len(list))
	for _, evacuation := range list {
		domain := evacuation.FailureDomain
		listed[domain] = true
		s := e.inForce[domain]
		if s == nil {
			s = &state{Evacuation: evacuation, since: now}
			e.inForce[domain] = s
			delete(e.returned, domain)
			change.Began = append(change.Began, s.event())
		}
		if evacuation.Revision > s.Revision {
			// The object was written again, or its status was.
			s.Evacuation, s.failures = evacuation, 0
		}
		s.keepUntil = time.Time{}
	}
	for domain, s := range e.inForce {
		switch {
		case listed[domain]:
		case mirrorer.Era(s.Revision) == era:
			change.Ended = append(change.Ended, e.end(domain, now))
		case s.keepUntil.IsZero():
			s.keepUntil = now.Add(rewriteTime)
		}
	}
	return change.sorted()
}

// Expire ends the evacuations that a restored store has lost and nobody has written again.
func (e *Evacuator) Expire(now time.Time) Change {
	e.mu.Lock()
	var change Change
	for domain, s := range e.inForce {
		if !s.keepUntil.IsZero() && !now.Before(s.keepUntil) {
			change.Ended = append(change.Ended, e.end(domain, now))
		}
	}
	for domain, at := range e.returned {
		if now.Sub(at) > returnRetention {
			delete(e.returned, domain)
		}
	}
	e.mu.Unlock()
	change = change.sorted()
	e.report(change, now)
	return change
}

// end ends an evacuation. It is called with the lock held.
func (e *Evacuator) end(domain string, now time.Time) Event {
	ended := e.inForce[domain].event()
	delete(e.inForce, domain)
	e.returned[domain] = now
	return ended
}

func (e *Evacuator) report(change Change, now time.Time) {
	if e.OnReturn == nil {
		return
	}
	for _, ended := range change.Ended {
		e.OnReturn(ended.FailureDomain, now)
	}
}

func (s *state) event() Event {
	return Event{FailureDomain: s.FailureDomain, Revision: s.Revision, Since: s.since}
}

func (c Change) sorted() Change {
	for _, list := range [][]Event{c.Began, c.Ended} {
		slices.SortFunc(list, func(a, b Event) int { return strings.Compare(a.FailureDomain, b.FailureDomain) })
	}
	return c
}

// Known reports whether a copy of the objects has been received.
func (e *Evacuator) Known() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inForce != nil
}

// Domains returns the failure domains that are evacuated, in order.
func (e *Evacuator) Domains() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.domains()
}

func (e *Evacuator) domains() []string {
	out := make([]string, 0, len(e.inForce))
	for domain := range e.inForce {
		out = append(out, domain)
	}
	slices.Sort(out)
	return out
}

// Evacuated reports whether a failure domain is evacuated.
func (e *Evacuator) Evacuated(domain string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inForce[domain] != nil
}

// ReturnedAt returns when this daemon learned that a failure domain is no longer evacuated, or
// zero if it was not evacuated lately.
func (e *Evacuator) ReturnedAt(domain string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.returned[domain]
}

// StatusDue returns an evacuation whose status has to be written: all daemons have a copy of the objects
// that contains it. The revisions are those of the copies of all live entry daemons.
func (e *Evacuator) StatusDue(revisions []uint64) (Evacuation, bool) {
	if len(revisions) == 0 {
		return Evacuation{}, false
	}
	oldest := slices.Min(revisions)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, domain := range e.domains() {
		s := e.inForce[domain]
		if !s.Confirmed && s.failures < maxWriteFailures && s.keepUntil.IsZero() && oldest >= s.Revision {
			return s.Evacuation, true
		}
	}
	return Evacuation{}, false
}

// RecordWrite records whether the status of an evacuation was written. After some failures it is not written.
func (e *Evacuator) RecordWrite(written Evacuation, succeeded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.inForce[written.FailureDomain]
	if s == nil || s.Revision != written.Revision {
		return
	}
	if succeeded {
		s.Confirmed = true
		return
	}
	s.failures++
}
