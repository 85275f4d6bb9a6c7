// Package shedder decides which requests may compete for the places of a service while there
// are fewer places than requests.
//
// Under lasting overload some requests can't be served. If nothing decides which, callers that
// were refused and have returned take places although their answers are late already, and
// requests that may wait longer get places before more urgent ones. The shedder refuses a part
// of the least urgent class at once when a more urgent request got no place, and takes less
// from it again when all do:
//
//	a request of rank 0 gets no place  -> a smaller share of rank 2 is admitted, then of rank 1
//	all get places for a while         -> larger shares, of the most urgent class first
//
// The share of returning requests does not change here: the placer gives them only places that new
// requests leave.
//
// Each class keeps a minimum share, so that none starves.
package shedder

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minShare is the share of the requests of a class that is always admitted. Not all that
	// are admitted get places, and 0.3 of them should.
	minShare = 0.35
	// stepInterval is the time between two changes of a share. Requests that got no place
	// within it count once.
	stepInterval = 100 * time.Millisecond
	// decrease is the factor by which a share falls in a step, and increase what is added to
	// the shares in the first step after one. It grows by as much with each further step, so that
	// all shares are back within 2 s of the end of a burst.
	decrease = 0.85
	increase = 0.01
	// classMemory is how long a class without requests is kept.
	classMemory = 10 * time.Second
	// maxRank is the highest rank that is distinguished from others.
	maxRank = 9
	// urgencySteps is the number of ranks that are distinguished in an urgency.
	urgencySteps = 3
)

// MaxUrgency is the urgency of requests that come last.
const MaxUrgency = 9

// Class is what the order of requests depends on.
type Class struct {
	// Returning is set for a request that was refused before.
	Returning bool
	// Rank is that of the team, or else that of the route, 0 for the most urgent requests.
	Rank int
	// RouteRank is that of the route. It decides among requests of the same rank.
	RouteRank int
}

// Compare returns a negative number if a class is more urgent than another one, and a positive
// one if it is less urgent.
func (c Class) Compare(other Class) int {
	if c.Returning != other.Returning {
		if c.Returning {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(c.Rank, other.Rank), cmp.Compare(c.RouteRank, other.RouteRank))
}

// Urgency returns the place of a class in the order of a replica's queue, 0 for the first.
func (c Class) Urgency() int {
	if c.Returning {
		return MaxUrgency
	}
	c = c.normalize()
	return urgencySteps*min(c.Rank, urgencySteps-1) + min(c.RouteRank, urgencySteps-1)
}

func (c Class) normalize() Class {
	c.Rank = min(max(c.Rank, 0), maxRank)
	c.RouteRank = min(max(c.RouteRank, 0), maxRank)
	return c
}

// Shedder holds the admitted shares of the classes of one service. It is not safe for
// concurrent use.
type Shedder struct {
	// classes are those with recent requests, the most urgent first.
	classes []*class
	// steppedAt is when the shares changed last.
	steppedAt time.Time
	// calm is the number of steps since a share fell.
	calm int
}

type class struct {
	Class
	// share is the admitted share, and credit its sum over the requests since the last one
	// that was admitted.
	share, credit float64
	lastRequest   time.Time
	// unplaced is set if a request got no place since the last step.
	unplaced bool
}

// Admit reports whether a request may compete for a place.
func (s *Shedder) Admit(c Class, now time.Time) bool {
	s.step(now)
	cl := s.class(c.normalize())
	cl.lastRequest = now
	// What is beyond 1 is dropped, so that one of a whole number of requests is admitted: half of them
	// as soon as the share is below 1, a third at minShare. With exact parts, the first rank was served
	// worse than the last in a burst (0.82 and 0.90).
	cl.credit = math.Min(cl.credit+cl.share, 1)
	if cl.credit < 1 {
		return false
	}
	cl.credit--
	return true
}

// RecordUnplaced records an admitted request that got no place.
func (s *Shedder) RecordUnplaced(c Class, now time.Time) {
	s.step(now)
	if !c.Returning {
		s.class(c.normalize()).unplaced = true
	}
}

// Share returns the admitted share of a class.
func (s *Shedder) Share(c Class, now time.Time) float64 {
	s.step(now)
	return s.class(c.normalize()).share
}

// LeastShare returns the smallest admitted share of the classes.
func (s *Shedder) LeastShare(now time.Time) float64 {
	s.step(now)
	least := 1.0
	for _, c := range s.classes {
		least = math.Min(least, c.share)
	}
	return least
}

// class returns the state of a class.
func (s *Shedder) class(c Class) *class {
	i, ok := slices.BinarySearchFunc(s.classes, c, func(a *class, c Class) int { return a.Compare(c) })
	if !ok {
		s.classes = slices.Insert(s.classes, i, &class{Class: c, share: 1, credit: 1})
	}
	return s.classes[i]
}

// step changes the shares for the time since the last step.
func (s *Shedder) step(now time.Time) {
	steps := int(now.Sub(s.steppedAt) / stepInterval)
	if steps <= 0 {
		return
	}
	s.steppedAt = now
	s.classes = slices.DeleteFunc(s.classes, func(c *class) bool { return now.Sub(c.lastRequest) > classMemory })
	if s.shed() {
		s.calm = 0
		steps--
	}
	for range min(steps, int(1/increase)) {
		s.calm++
		s.grow(float64(s.calm) * increase)
	}
}

// shed takes from the least urgent class that is less urgent than one without a place, and
// reports whether any was without.
func (s *Shedder) shed() bool {
	first := slices.IndexFunc(s.classes, func(c *class) bool { return c.unplaced })
	if first < 0 {
		return false
	}
	for _, c := range s.classes {
		c.unplaced = false
	}
	for _, c := range slices.Backward(s.classes[first+1:]) {
		if !c.Returning && c.share > minShare {
			c.share = max(c.share*decrease, minShare)
			break
		}
	}
	return true
}

// grow adds to the share of the most urgent class that is not admitted as a whole.
func (s *Shedder) grow(by float64) {
	for _, c := range s.classes {
		if by <= 0 {
			return
		}
		added := min(by, 1-c.share)
		c.share += added
		by -= added
	}
}
