// Package recognizer distinguishes new requests from retries of refused ones, by the
// refusals of this daemon and of those that tell it theirs.
//
// An early deadline does not identify a retry, because the callers of a route set
// different deadlines.
package recognizer

import (
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
)

const (
	// refusalTTL is how long a refusal is remembered. Callers retry within a third
	// of the time that remains until their deadline; this third is at most 2 s.
	refusalTTL = 3 * time.Second
	// maxRefusals bounds the number of remembered refusals.
	maxRefusals = 4096
)

// Recognizer remembers recent refusals. The zero value is ready for use.
type Recognizer struct {
	mu        sync.Mutex
	refusedAt map[blocker.Fingerprint]time.Time
}

// RecordRefusal records the refusal of a request. It has no effect while maxRefusals
// unexpired refusals are remembered.
func (r *Recognizer) RecordRefusal(f blocker.Fingerprint, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusedAt == nil {
		r.refusedAt = map[blocker.Fingerprint]time.Time{}
	}
	if len(r.refusedAt) >= maxRefusals {
		r.removeExpired(now)
	}
	if len(r.refusedAt) < maxRefusals {
		r.refusedAt[f] = now
	}
}

// Returning reports whether the same request was refused within refusalTTL. It
// forgets the refusal, so that a later request with the same content counts as new.
func (r *Recognizer) Returning(f blocker.Fingerprint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.refusedAt[f]
	delete(r.refusedAt, f)
	return ok && now.Sub(at) <= refusalTTL
}

func (r *Recognizer) removeExpired(now time.Time) {
	for f, at := range r.refusedAt {
		if now.Sub(at) > refusalTTL {
			delete(r.refusedAt, f)
		}
	}
}
