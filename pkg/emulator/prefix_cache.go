package emulator

import (
	"container/list"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

const maxCacheEvents = 4096

// prefixCache keeps the prompt prefixes that were used last. Its events
// become visible late, and each event whose number is a multiple of the gap
// is lost.
type prefixCache struct {
	capacity int
	delay    time.Duration
	gap      int

	order    *list.List
	entries  map[uint64]*list.Element
	sequence uint64
	events   []cacheEvent
}

type cacheEvent struct {
	adapter.PrefixEvent
	at time.Time
}

func newPrefixCache(capacity int, delay time.Duration, gap int) *prefixCache {
	return &prefixCache{capacity: capacity, delay: delay, gap: gap, order: list.New(), entries: map[uint64]*list.Element{}}
}

// use returns how many leading blocks of the prompt were cached and caches
// all of them.
func (c *prefixCache) use(prompt string, now time.Time) int {
	hashes := adapter.PrefixHashes(prompt)
	hits := 0
	for hits < len(hashes) && c.entries[hashes[hits]] != nil {
		hits++
	}
	// The longest prefix is touched first, so that eviction begins with the
	// ends of prompts and leaves shared beginnings.
	for i := len(hashes) - 1; i >= 0; i-- {
		c.touch(hashes[i], now)
	}
	return hits
}

func (c *prefixCache) touch(hash uint64, now time.Time) {
	if e := c.entries[hash]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	if c.capacity <= 0 {
		return
	}
	if c.order.Len() >= c.capacity {
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.entries, oldest)
		c.record(oldest, true, now)
	}
	c.entries[hash] = c.order.PushFront(hash)
	c.record(hash, false, now)
}

func (c *prefixCache) clear(now time.Time) {
	for hash := range c.entries {
		c.record(hash, true, now)
	}
	c.order.Init()
	clear(c.entries)
}

func (c *prefixCache) record(hash uint64, removed bool, now time.Time) {
	c.sequence++
	if c.gap > 0 && c.sequence%uint64(c.gap) == 0 {
		return
	}
	event := adapter.PrefixEvent{Sequence: c.sequence, PrefixHash: hash, Removed: removed}
	c.events = append(c.events, cacheEvent{PrefixEvent: event, at: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

func (c *prefixCache) after(sequence uint64, now time.Time) []adapter.PrefixEvent {
	var found []adapter.PrefixEvent
	for _, e := range c.events {
		if e.Sequence > sequence && now.Sub(e.at) >= c.delay {
			found = append(found, e.PrefixEvent)
		}
	}
	return found
}
