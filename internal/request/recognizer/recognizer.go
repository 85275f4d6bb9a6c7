// Package recognizer tells the first try of a caller from one after a refusal.
// It knows the refusals of its own daemon only: a caller that comes back to
// another daemon counts as new there. The time that callers state does not tell,
// because callers of one route state different times.
package recognizer

import (
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
)

const (
	// rememberFor is how long a refusal is remembered. Callers come back within
	// a third of the time they have, which is two seconds in the deployments.
	rememberFor = 3 * time.Second
	// maxRefusals bounds the memory.
	maxRefusals = 4096
)

// Recognizer remembers refusals. The zero value is ready for use.
type Recognizer struct {
	mu      sync.Mutex
	refused map[blocker.Fingerprint]time.Time
}

// Refused records that a caller was refused.
func (r *Recognizer) Refused(f blocker.Fingerprint, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refused == nil {
		r.refused = map[blocker.Fingerprint]time.Time{}
	}
	if len(r.refused) >= maxRefusals {
		r.forget(now)
	}
	if len(r.refused) < maxRefusals {
		r.refused[f] = now
	}
}

// Returning tells whether the same request was refused a short while ago. It
// forgets the refusal, because the caller may send the request anew later.
func (r *Recognizer) Returning(f blocker.Fingerprint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.refused[f]
	delete(r.refused, f)
	return ok && now.Sub(at) <= rememberFor
}

func (r *Recognizer) forget(now time.Time) {
	for f, at := range r.refused {
		if now.Sub(at) > rememberFor {
			delete(r.refused, f)
		}
	}
}
