package emulator

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// Guards against writes that ignore the expected version, which would let two
// operators or two lease holders overwrite each other.
func TestConditionalWrites(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	var m MemoryObjects
	created, err := m.Create(ctx, "a/b", []byte("1"))
	c.Assert(err, qt.IsNil)
	var conflict *adapter.ConflictError
	_, err = m.Create(ctx, "a/b", []byte("2"))
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	_, err = m.Update(ctx, "a/b", []byte("2"), created.Version+1)
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	updated, err := m.Update(ctx, "a/b", []byte("2"), created.Version)
	c.Assert(err, qt.IsNil)
	c.Assert(updated.Version > created.Version, qt.IsTrue)
	c.Assert(errors.As(m.Delete(ctx, "a/b", created.Version), &conflict), qt.IsTrue)
	c.Assert(m.Delete(ctx, "a/b", updated.Version), qt.IsNil)
	_, err = m.Update(ctx, "a/b", []byte("3"), updated.Version)
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
}

// Guards against a watch that misses a change while it waits, does not time out,
// or does not report dropped history with a version to continue from.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := t.Context()
		m := &MemoryObjects{HistoryLength: 2}
		time.AfterFunc(time.Second, func() { _, _ = m.Create(ctx, "a/1", nil) })
		changes, next, err := m.Watch(ctx, "a/", 0)
		c.Assert(err, qt.IsNil)
		c.Assert(changes, qt.HasLen, 1)
		changes, next, err = m.Watch(ctx, "a/", next)
		c.Assert(err, qt.IsNil)
		c.Assert(changes, qt.HasLen, 0)
		for _, key := range []string{"b/1", "b/2", "b/3"} {
			_, err = m.Create(ctx, key, nil)
			c.Assert(err, qt.IsNil)
		}
		var gap *adapter.GapError
		_, next, err = m.Watch(ctx, "a/", next)
		c.Assert(errors.As(err, &gap), qt.IsTrue)
		_, _, err = m.Watch(ctx, "a/", next)
		c.Assert(err, qt.IsNil)
	})
}

// Guards against a lost answer whose write has no effect, an outage during which a
// write takes effect, and a watch that does not replay earlier changes.
func TestFaults(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	var m MemoryObjects
	m.LoseAnswers(1)
	_, err := m.Create(ctx, "a", []byte("1"))
	var unavailable *adapter.UnavailableError
	c.Assert(errors.As(err, &unavailable), qt.IsTrue)
	c.Assert(unavailable.Refused, qt.IsFalse)
	o, err := m.Get(ctx, "a")
	c.Assert(err, qt.IsNil)
	m.SetDown(true)
	_, err = m.Update(ctx, "a", []byte("2"), o.Version)
	c.Assert(errors.As(err, &unavailable), qt.IsTrue)
	c.Assert(unavailable.Refused, qt.IsTrue)
	m.SetDown(false)
	again, err := m.Get(ctx, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.DeepEquals, o)
	m.ReplayWatch(1)
	_, err = m.Create(ctx, "b", nil)
	c.Assert(err, qt.IsNil)
	changes, _, err := m.Watch(ctx, "", o.Version)
	c.Assert(err, qt.IsNil)
	c.Assert(changes, qt.HasLen, 2)
}

// Guards against missing rate limits, which would hide a daemon that exceeds the
// platform's call rate.
func TestCallRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := &MemoryObjects{WritesPerSecond: 2, ReadsPerSecond: 5}
		refused := 0
		for _, key := range []string{"a", "b", "c", "d"} {
			if _, err := m.Create(t.Context(), key, nil); err != nil {
				refused++
			}
		}
		c.Assert(refused, qt.Equals, 2)
		_, _, err := m.Watch(t.Context(), "z", m.Stats().Version)
		c.Assert(err, qt.IsNil)
		c.Assert(m.Stats().Reads >= 29, qt.IsTrue)
	})
}

// Guards against watch responses of unlimited size, which would not fit into a
// daemon's memory, and against truncated ones that lose changes.
func TestWatchAnswersAreBounded(t *testing.T) {
	c := qt.New(t)
	var m MemoryObjects
	value := make([]byte, adapter.MaxObjectBytes)
	const written = 10
	for i := range written {
		_, err := m.Create(t.Context(), string(rune('a'+i)), value)
		c.Assert(err, qt.IsNil)
	}
	seen, after := 0, uint64(0)
	for after < written {
		changes, next, err := m.Watch(t.Context(), "", after)
		c.Assert(err, qt.IsNil)
		c.Assert(len(changes) <= 5, qt.IsTrue)
		seen += len(changes)
		after = next
	}
	c.Assert(seen, qt.Equals, written)
}
