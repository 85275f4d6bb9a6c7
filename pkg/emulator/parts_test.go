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

// taker takes a place and gives it back at once.
type taker struct {
	slots    *slots
	priority int
	order    *[]int
}

func (t *taker) run() {
	if t.slots.acquire(context.Background(), t.priority) == nil {
		*t.order = append(*t.order, t.priority)
		t.slots.release()
	}
}

// Guards against an engine stand-in that ignores priorities or loses a place
// when a waiting request is canceled.
func TestSlotsHonourPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSlots(1)
		c.Assert(s.acquire(context.Background(), 1), qt.IsNil)
		var order []int
		for _, priority := range []int{1, 3, 2} {
			go (&taker{s, priority, &order}).run()
			synctest.Wait()
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c.Assert(s.acquire(ctx, 9), qt.Equals, context.DeadlineExceeded)
		s.release()
		synctest.Wait()
		c.Assert(order, qt.DeepEquals, []int{3, 2, 1})
		running, queued := s.counts()
		c.Assert([]int{running, queued}, qt.DeepEquals, []int{0, 0})
	})
}

// Guards against a cache stand-in without a limit, or one that forgets what
// was used last.
func TestPrefixCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	cache := newPrefixCache(2, time.Second, 0)
	block := func(letter string) string { return strings.Repeat(letter, adapter.PrefixBlockBytes) }
	c.Assert(cache.use(block("a"), now), qt.Equals, 0)
	c.Assert(cache.use(block("b"), now), qt.Equals, 0)
	c.Assert(cache.use(block("a"), now), qt.Equals, 1)
	c.Assert(cache.use(block("c"), now), qt.Equals, 0)
	c.Assert(cache.use(block("b"), now), qt.Equals, 0)
	c.Assert(cache.after(0, now), qt.HasLen, 0)
	c.Assert(cache.after(0, now.Add(time.Second)), qt.HasLen, 6)
}

// Guards against a load that is reported without lag.
func TestLoadLags(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	h := &loadHistory{lag: time.Second}
	h.add(1, 0, now)
	c.Assert(h.at(now).running, qt.Equals, 0)
	h.add(2, 3, now.Add(500*time.Millisecond))
	c.Assert(h.at(now.Add(time.Second)).running, qt.Equals, 1)
	c.Assert(h.at(now.Add(1500*time.Millisecond)), qt.Equals, loadSample{at: now.Add(500 * time.Millisecond), running: 2, queued: 3})
}
