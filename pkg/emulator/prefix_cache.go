package emulator

import (
	"container/list"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// maxCacheEvents is the number of events kept for readers.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prompt prefixes. Its events become visible
// after eventDelay, and each event whose sequence number is a multiple of
// eventGap is lost.
type prefixCache struct {
	capacity   int
	eventDelay time.Duration
	eventGap   int

	lru          *list.List
	entries      map[uint64]*list.Element
	lastSequence uint64
	events       []timedEvent
}

type timedEvent struct {
	adapter.PrefixEvent
	recordedAt time.Time
}

func newPrefixCache(capacity int, eventDelay time.Duration, eventGap int) *prefixCache {
	return &prefixCache{capacity: capacity, eventDelay: eventDelay, eventGap: eventGap, lru: list.New(), entries: map[uint64]*list.Element{}}
}

// lookupAndInsert returns how many leading blocks of the prompt are cached and
// then inserts all blocks of the prompt.
func (c *prefixCache) lookupAndInsert(prompt string, now time.Time) int {
	hashes := adapter.PrefixHashes(prompt)
	hits := 0
	for hits < len(hashes) && c.entries[hashes[hits]] != nil {
		hits++
	}
	// The longest prefix is inserted first and becomes the least recently used
	// one, so that the tails of prompts are evicted before shared prefixes.
	for i := len(hashes) - 1; i >= 0; i-- {
		c.insert(hashes[i], now)
	}
	return hits
}

// insert marks the block as most recently used and evicts the least recently
// used block when the cache is full.
func (c *prefixCache) insert(hash uint64, now time.Time) {
	if e := c.entries[hash]; e != nil {
		c.lru.MoveToFront(e)
		return
	}
	if c.capacity <= 0 {
		return
	}
	if c.lru.Len() >= c.capacity {
		oldest := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.entries, oldest)
		c.recordEvent(oldest, true, now)
	}
	c.entries[hash] = c.lru.PushFront(hash)
	c.recordEvent(hash, false, now)
}

func (c *prefixCache) evictAll(now time.Time) {
	for hash := range c.entries {
		c.recordEvent(hash, true, now)
	}
	c.lru.Init()
	clear(c.entries)
}

func (c *prefixCache) recordEvent(hash uint64, removed bool, now time.Time) {
	c.lastSequence++
	if c.eventGap > 0 && c.lastSequence%uint64(c.eventGap) == 0 {
		return
	}
	event := adapter.PrefixEvent{Sequence: c.lastSequence, PrefixHash: hash, Removed: removed}
	c.events = append(c.events, timedEvent{PrefixEvent: event, recordedAt: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the visible events after a sequence number.
func (c *prefixCache) eventsAfter(sequence uint64, now time.Time) []adapter.PrefixEvent {
	var found []adapter.PrefixEvent
	for _, e := range c.events {
		if e.Sequence > sequence && now.Sub(e.recordedAt) >= c.eventDelay {
			found = append(found, e.PrefixEvent)
		}
	}
	return found
}
