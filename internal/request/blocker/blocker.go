// Package blocker stops requests that crash each replica that runs them. It
// needs no coordination: daemons tell each other what they saw, and each decides
// by itself. Package isolator gives trial runs one at a time instead, which
// needs an owner for each request.
package blocker

import (
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// crashesToBlock is the number of different replicas that a request has to
	// break before it is blocked. A request that was merely in progress beside
	// the one at fault is unlikely to break as many.
	crashesToBlock = 3
	// rememberFor is how long a crash counts after the last one.
	rememberFor = 60 * time.Second
	// maxFingerprints bounds the memory.
	maxFingerprints = 4096
)

// Fingerprint identifies requests that are the same for a replica.
type Fingerprint uint64

// NewFingerprint hashes what a replica sees of a request.
func NewFingerprint(parts ...string) Fingerprint {
	h := fnv.New64a()
	for _, part := range parts {
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return Fingerprint(h.Sum64())
}

// Crash is a replica that broke off while it ran the request.
type Crash struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Replica names one start of a replica.
	Replica string `json:"replica"`
}

// Blocker knows the recent crashes. The zero value is ready for use.
type Blocker struct {
	mu    sync.Mutex
	known map[Fingerprint]*suspect
}

type suspect struct {
	replicas []string
	at       time.Time
}

// Crashed records a crash, seen here or by another daemon, and reports whether
// it was news.
func (b *Blocker) Crashed(c Crash, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.known == nil {
		b.known = map[Fingerprint]*suspect{}
	}
	s := b.known[c.Fingerprint]
	if s == nil {
		b.forget(now)
		if len(b.known) >= maxFingerprints {
			return false
		}
		s = &suspect{}
		b.known[c.Fingerprint] = s
	}
	if slices.Contains(s.replicas, c.Replica) {
		return false
	}
	s.replicas = append(s.replicas, c.Replica)
	s.at = now
	return true
}

// Succeeded clears a request that a replica ran to its end.
func (b *Blocker) Succeeded(f Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.known, f)
}

// Blocked tells whether the request must not be sent to a replica.
func (b *Blocker) Blocked(f Fingerprint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.known[f]
	return s != nil && len(s.replicas) >= crashesToBlock && now.Sub(s.at) < rememberFor
}

func (b *Blocker) forget(now time.Time) {
	for f, s := range b.known {
		if now.Sub(s.at) >= rememberFor {
			delete(b.known, f)
		}
	}
}
