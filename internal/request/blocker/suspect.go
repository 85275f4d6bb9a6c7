package blocker

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// suspect holds the crashes of a part.
type suspect struct {
	// crashes are in the order of their times.
	crashes []partCrash
	// replicas combines the hashes of the replicas in crashes.
	replicas uint64
	// lastCrash is the last crash that is known or was reported with a block.
	lastCrash time.Time
	suspected bool
	// blockedUntil is zero if the part was never blocked. After it, one crash blocks the
	// part again.
	blockedUntil time.Time
	// vouchedAt is when a success was last reported to other daemons.
	vouchedAt time.Time
}

// partCrash is a crash of a replica while it ran requests with a part.
type partCrash struct {
	replica  string
	at       time.Time
	requests []Fingerprint
}

// counts reports whether the crash is recent and later than the last success.
func (c *partCrash) counts(lastSuccess, now time.Time) bool {
	return c.at.After(lastSuccess.Add(successShield)) && now.Sub(c.at) < crashTTL
}

// add adds a crash and reports whether it was unknown.
func (s *suspect) add(c Crash, now time.Time) bool {
	s.lastCrash = later(s.lastCrash, now)
	i := slices.IndexFunc(s.crashes, func(known partCrash) bool { return known.replica == c.Replica })
	if i >= 0 && now.Sub(s.crashes[i].at) >= crashTTL {
		// The replica has crashed again, and the crash that is known counts no longer.
		s.crashes = slices.Delete(s.crashes, i, i+1)
		s.replicas ^= xxhash.Sum64String(c.Replica)
		i = -1
	}
	if i >= 0 {
		known := &s.crashes[i]
		if len(known.requests) >= maxRequestsPerCrash || slices.Contains(known.requests, c.Fingerprint) {
			return false
		}
		known.requests = append(known.requests, c.Fingerprint)
		return true
	}
	s.replicas ^= xxhash.Sum64String(c.Replica)
	s.crashes = append(s.crashes, partCrash{replica: c.Replica, at: now, requests: []Fingerprint{c.Fingerprint}})
	slices.SortStableFunc(s.crashes, func(a, b partCrash) int { return a.at.Compare(b.at) })
	if len(s.crashes) > maxCrashesPerPart {
		s.replicas ^= xxhash.Sum64String(s.crashes[0].replica)
		s.crashes = s.crashes[1:]
	}
	return true
}

func (s *suspect) hasCrashOf(replica string) bool {
	return slices.ContainsFunc(s.crashes, func(c partCrash) bool { return c.replica == replica })
}

// rank orders suspects by how much is lost without them.
func (s *suspect) rank(now time.Time) int {
	switch {
	case s.inForce(now):
		return 2
	case len(s.crashes) >= minSuspectCrashes:
		return 1
	}
	return 0
}

// inForce reports whether the part is blocked at a time.
func (s *suspect) inForce(now time.Time) bool { return now.Before(s.blockedUntil) }

// count returns the crashes that count after the last success, and the number of
// distinct requests in them. Crashes of replicas for which isExplained returns true are
// left out.
func (s *suspect) count(lastSuccess, now time.Time, isExplained func(replica string) bool) (crashes, requests int) {
	var distinct []Fingerprint
	var last time.Time
	for _, c := range s.crashes {
		if !c.counts(lastSuccess, now) || isExplained(c.replica) {
			continue
		}
		if crashes == 0 || c.at.Sub(last) >= crashSpacing {
			crashes++
			last = c.at
		}
		for _, f := range c.requests {
			if !slices.Contains(distinct, f) {
				distinct = append(distinct, f)
			}
		}
	}
	return crashes, len(distinct)
}
