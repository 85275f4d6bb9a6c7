package publisher

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// configured is a daemon that takes each higher revision and carries its own over.
type configured struct {
	publisher *Publisher
	current   *parser.Revision
}

func (d *configured) poll(now time.Time) {
	ctx := context.Background()
	if revision, _, err := d.publisher.Load(ctx); err == nil && revision.Number > d.current.Number {
		d.current = revision
	}
	_ = d.publisher.CarryOver(ctx, now, d.current)
}

// Guards against a publish that reports success without effect, or leaves a head
// whose parts are lost, when the store is restored at any of its steps.
func TestRestoreAtEachStepOfPublish(t *testing.T) {
	for _, lost := range []int{0, 1} {
		for step := 1; ; step++ {
			restored := false
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				objects := &interceptingObjects{MemoryObjects: &emulator.MemoryObjects{}}
				p := &Publisher{Objects: objects, MaxPartBytes: 200}
				publish(c, p, 0, teamEdits(1)...)
				daemon := &configured{publisher: &Publisher{Objects: objects.MemoryObjects, MaxPartBytes: 200}, current: load(c, p)}
				earlier := objects.Copy()
				first := objects.writes
				objects.before = func(write int) {
					if write == first+step {
						restored = true
						objects.Restore(earlier)
						objects.LoseAnswers(lost)
					}
				}
				go waiter.Every(ctx, time.Second, daemon.poll)
				result, err := p.Publish(ctx, start, Request{Edits: teamEdits(2), BaseRevision: 1})
				comment := qt.Commentf("step %d, %d answers lost", step, lost)
				c.Assert(err, qt.IsNil, comment)
				time.Sleep(2 * time.Second)
				revision := load(c, p)
				c.Assert(revision.Number, qt.Equals, result.Revision, comment)
				c.Assert(teamsByWeight(revision), qt.DeepEquals, map[int]int{2: teamCount}, comment)
			})
			if !restored {
				qt.Assert(t, step > 3, qt.IsTrue)
				break
			}
		}
	}
}

// Guards against a publish on a restored head before a daemon has confirmed it,
// which would revert changes that the store has lost.
func TestRestoredHeadIsNotExtended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		objects := &emulator.MemoryObjects{}
		p := &Publisher{Objects: objects}
		publish(c, p, 0, teamEdit("a", 1))
		earlier := objects.Copy()
		publish(c, p, 1, teamEdit("b", 1))
		current := load(c, p)
		objects.Restore(earlier)
		_, err := p.Publish(t.Context(), start, Request{Edits: []Edit{teamEdit("c", 1)}, BaseRevision: 1})
		var earlierEra *EarlierEraError
		c.Assert(errors.As(err, &earlierEra), qt.IsTrue)
		c.Assert(*earlierEra, qt.Equals, EarlierEraError{Revision: 1, Era: 1})

		c.Assert(p.CarryOver(t.Context(), start, current), qt.IsNil)
		carried := load(c, p)
		c.Assert(carried.Set.Teams, qt.HasLen, 2)
		c.Assert(carried.Number, qt.Equals, uint64(revisionsPerEra+1))
		// Only edits that are based on the lost revision are known to fit.
		var conflict *ConflictError
		_, err = p.Publish(t.Context(), start, Request{Edits: []Edit{teamEdit("a", 3)}, BaseRevision: 1})
		c.Assert(errors.As(err, &conflict), qt.IsTrue)
		result := publish(c, p, 2, teamEdit("a", 3))
		c.Assert(result.Revision, qt.Equals, uint64(revisionsPerEra+2))
		c.Assert(load(c, p).Set.Teams, qt.HasLen, 2)
	})
}

// Guards against a daemon that carries an outdated configuration over, or one
// that was carried over already.
func TestCarryOverKeepsNewerHead(t *testing.T) {
	c := qt.New(t)
	ctx := t.Context()
	objects := &emulator.MemoryObjects{}
	p := &Publisher{Objects: objects}
	publish(c, p, 0, teamEdit("a", 1))
	outdated := load(c, p)
	publish(c, p, 1, teamEdit("b", 1))
	current := load(c, p)
	c.Assert(p.CarryOver(ctx, start, outdated), qt.IsNil)
	c.Assert(load(c, p).Number, qt.Equals, uint64(2))
	objects.Restore(objects.Copy())
	var behind *BehindError
	c.Assert(errors.As(p.CarryOver(ctx, start, outdated), &behind), qt.IsTrue)
	c.Assert(p.CarryOver(ctx, start, current), qt.IsNil)
	writes := objects.Stats().Writes
	c.Assert(p.CarryOver(ctx, start, current), qt.IsNil)
	c.Assert(objects.Stats().Writes, qt.Equals, writes)
	// An unchanged configuration conflicts with no edit.
	publish(c, p, 1, teamEdit("a", 2))
	c.Assert(load(c, p).Set.Teams, qt.HasLen, 2)
}
