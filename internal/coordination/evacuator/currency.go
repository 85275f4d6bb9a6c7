package evacuator

import (
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/shared/timekeeper"
)

// Currency decides whether the known evacuations are recent enough to send requests on them. A daemon that
// was paused or cut off may have missed an evacuation that all others obey.
//
// Evidence is a moment at which the copy had all that the store, or another daemon, had. Without
// recent evidence the daemon asks for it, and sends nothing until it has an answer. If nobody answers for
// Patience, the store and the other daemons are probably down, and it goes on.
type Currency struct {
	// Limit is the age from which evidence does not count.
	Limit time.Duration
	// Patience is the time without an answer after which the daemon goes on.
	Patience time.Duration

	mu sync.Mutex
	// evidence is the latest one, and checked is the moment of the last check.
	evidence, checked timekeeper.Moment
	// uncertainSince is the moment since which there is no recent evidence, if set.
	uncertainSince timekeeper.Moment
}

// Confirm records that the source or another daemon, asked at a moment, had nothing newer than the copy.
func (c *Currency) Confirm(asked timekeeper.Moment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asked.Time.After(c.evidence.Time) {
		c.evidence = asked
	}
}

// RecordMessage records that a message of another daemon, sent after a moment, had nothing newer than the copy. After
// a time without evidence it does not count: the sender may have been paused at the same
// time.
func (c *Currency) RecordMessage(sentAfter, now timekeeper.Moment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasEvidence(now) && sentAfter.Time.After(c.evidence.Time) {
		c.evidence = sentAfter
	}
}

func (c *Currency) hasEvidence(now timekeeper.Moment) bool {
	return !c.evidence.Time.IsZero() && now.Since(c.evidence) <= c.Limit
}

// Check reports whether requests may be sent.
func (c *Currency) Check(now timekeeper.Moment) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	paused := !c.checked.Time.IsZero() && now.Since(c.checked) > c.Limit
	c.checked = now
	switch {
	case c.hasEvidence(now):
		c.uncertainSince = timekeeper.Moment{}
		return true
	case paused, c.uncertainSince.Time.IsZero():
		c.uncertainSince = now
	}
	return now.Since(c.uncertainSince) >= c.Patience
}

// Due reports whether the daemon has to ask for evidence.
func (c *Currency) Due(now timekeeper.Moment) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.hasEvidence(now)
}
