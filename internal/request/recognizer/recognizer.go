// Package recognizer tells the first try of a caller from a later one. Callers
// state the time they have left, which is the same for each first try on a route
// and shorter for a try after a refusal.
package recognizer

import (
	"sync"
	"time"
)

// maxRoutes bounds the memory.
const maxRoutes = 8192

// firstShare of the longest deadline of a route is the least that a first try
// states. A try after a refusal has lost at least a round trip and the pause.
const firstShare = 0.99

// Recognizer knows the longest deadline of each route. The zero value is ready
// for use.
type Recognizer struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// Returning takes the deadline of a request and tells whether its caller
// probably tried before.
func (r *Recognizer) Returning(route string, left time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.longest == nil || len(r.longest) >= maxRoutes {
		r.longest = map[string]time.Duration{}
	}
	longest := r.longest[route]
	if left >= longest {
		r.longest[route] = left
		return false
	}
	return float64(left) < firstShare*float64(longest)
}
