package emulator

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// acquirer acquires a slot, records its priority and releases the slot.
type acquirer struct {
	slots    *slots
	priority int
	acquired *[]int
}

func (a *acquirer) run() {
	if a.slots.acquire(context.Background(), a.priority) == nil {
		*a.acquired = append(*a.acquired, a.priority)
		a.slots.release()
	}
}

// Guards against slots that ignore priorities, and against a slot that is lost
// when a waiting request is canceled.
func TestSlotsHonourPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSlots(1)
		c.Assert(s.acquire(context.Background(), 1), qt.IsNil)
		var acquired []int
		for _, priority := range []int{1, 3, 2} {
			go (&acquirer{s, priority, &acquired}).run()
			synctest.Wait()
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c.Assert(s.acquire(ctx, 9), qt.Equals, context.DeadlineExceeded)
		s.release()
		synctest.Wait()
		c.Assert(acquired, qt.DeepEquals, []int{3, 2, 1})
		running, queued := s.counts()
		c.Assert([]int{running, queued}, qt.DeepEquals, []int{0, 0})
	})
}

// Guards against a cache that exceeds its capacity or evicts a recently used
// block.
func TestPrefixCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	cache := newPrefixCache(2, time.Second, 0)
	block := func(letter string) string { return strings.Repeat(letter, adapter.PrefixBlockBytes) }
	c.Assert(cache.lookupAndInsert(block("a"), now), qt.Equals, 0)
	c.Assert(cache.lookupAndInsert(block("b"), now), qt.Equals, 0)
	c.Assert(cache.lookupAndInsert(block("a"), now), qt.Equals, 1)
	c.Assert(cache.lookupAndInsert(block("c"), now), qt.Equals, 0)
	c.Assert(cache.lookupAndInsert(block("b"), now), qt.Equals, 0)
	c.Assert(cache.eventsAfter(0, now), qt.HasLen, 0)
	c.Assert(cache.eventsAfter(0, now.Add(time.Second)), qt.HasLen, 6)
}

// Guards against an engine that reports its load without the lag.
func TestLoadLags(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	h := &loadHistory{lag: time.Second}
	h.add(1, 0, now)
	c.Assert(h.lagged(now).running, qt.Equals, 0)
	h.add(2, 3, now.Add(500*time.Millisecond))
	c.Assert(h.lagged(now.Add(time.Second)).running, qt.Equals, 1)
	c.Assert(h.lagged(now.Add(1500*time.Millisecond)), qt.Equals, loadSample{recordedAt: now.Add(500 * time.Millisecond), running: 2, queued: 3})
}
