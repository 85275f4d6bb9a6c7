package shedder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestShares guards against requests that are refused although no more urgent class lacks places: of the
// only rank, of the most urgent one, of returning requests, or for longer than 2 s after a burst.
func TestShares(t *testing.T) {
	first, last, returning := Class{Rank: 0}, Class{Rank: 2}, Class{Returning: true, Rank: 2}
	tests := []struct {
		name     string
		classes  []Class
		unplaced Class
		// overload is for how long the requests of a class get no place, and calm the time since then.
		overload, calm time.Duration
		class          Class
		min, max       float64
	}{
		{"only rank", []Class{first}, first, 4 * time.Second, 0, first, 1, 1},
		{"only rank, returning", []Class{first, {Returning: true}}, first, 4 * time.Second, 0, Class{Returning: true}, 1, 1},
		{"less urgent rank", []Class{first, last}, first, 4 * time.Second, 0, last, minShare, minShare},
		{"most urgent rank", []Class{first, last}, first, 4 * time.Second, 0, first, 1, 1},
		{"returning requests of another rank", []Class{first, last, returning}, first, 4 * time.Second, 0, returning, 1, 1},
		{"burst of the least urgent rank", []Class{first, last}, last, 4 * time.Second, 0, first, 1, 1},
		{"half a second after a burst", []Class{first, last}, first, 4 * time.Second, 500 * time.Millisecond, last, minShare, 0.6},
		{"two seconds after a burst", []Class{first, last}, first, 4 * time.Second, 2 * time.Second, last, 1, 1},
	}
	for _, tc := range tests {
		var s Shedder
		now := time.Unix(1000, 0)
		for end := now.Add(tc.overload); now.Before(end); now = now.Add(20 * time.Millisecond) {
			for _, c := range tc.classes {
				s.Admit(c, now)
			}
			s.RecordUnplaced(tc.unplaced, now)
		}
		got := s.Share(tc.class, now.Add(tc.calm))
		qt.Check(t, got >= tc.min-1e-9 && got <= tc.max+1e-9, qt.IsTrue, qt.Commentf("%s: %.2f", tc.name, got))
	}
}

// TestAdmittedRequests guards against a class of which fewer than 0.3 of the requests may compete for places.
func TestAdmittedRequests(t *testing.T) {
	var s Shedder
	now := time.Unix(1000, 0)
	admitted := 0
	const requests, least = 1000, 0.3
	for range requests {
		now = now.Add(20 * time.Millisecond)
		s.Admit(Class{Rank: 0}, now)
		s.RecordUnplaced(Class{Rank: 0}, now)
		if s.Admit(Class{Rank: 1}, now) {
			admitted++
		}
	}
	qt.Check(t, float64(admitted) >= least*requests, qt.IsTrue, qt.Commentf("%d of %d", admitted, requests))
}
