package publisher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// interceptor calls before at each write with its number, and after it.
type interceptor struct {
	*emulator.MemoryObjects
	writes int
	before func(write int)
	after  func(write int)
}

func (i *interceptor) Create(ctx context.Context, key string, value []byte) (adapter.Object, error) {
	defer i.begin()()
	return i.MemoryObjects.Create(ctx, key, value)
}

func (i *interceptor) Update(ctx context.Context, key string, value []byte, version uint64) (adapter.Object, error) {
	defer i.begin()()
	return i.MemoryObjects.Update(ctx, key, value, version)
}

func (i *interceptor) Delete(ctx context.Context, key string, version uint64) error {
	defer i.begin()()
	return i.MemoryObjects.Delete(ctx, key, version)
}

func (i *interceptor) begin() func() {
	i.writes++
	write := i.writes
	if i.before != nil {
		i.before(write)
	}
	return func() {
		if i.after != nil {
			i.after(write)
		}
	}
}

func team(name string, weight int) Edit {
	t := &parser.Team{Kind: parser.KindTeam, Name: name, Weight: weight}
	return Edit{Ref: t.Ref(), After: t}
}

const teamCount = 10

func manyTeams(weight int) []Edit {
	edits := make([]Edit, teamCount)
	for i := range edits {
		edits[i] = team(fmt.Sprintf("t%02d", i), weight)
	}
	return edits
}

// publish fails the test on an error.
func publish(c *qt.C, p *Publisher, base uint64, edits ...Edit) Result {
	result, err := p.Publish(context.Background(), start, Request{Edits: edits, BaseRevision: base})
	c.Assert(err, qt.IsNil)
	return result
}

func load(c *qt.C, p *Publisher) *parser.Revision {
	revision, _, err := p.Load(context.Background())
	c.Assert(err, qt.IsNil)
	return revision
}

// weights returns the distinct weights of the teams; more than one means that
// a revision was published in part.
func weights(revision *parser.Revision) map[int]int {
	found := map[int]int{}
	for _, t := range revision.Set.Teams {
		found[t.Weight]++
	}
	return found
}

// A lost answer at any step of a publish must neither fail it nor publish it
// twice.
func TestLostAnswerAtEachStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		lost := 0
		for step := 1; ; step++ {
			objects := &interceptor{MemoryObjects: &emulator.MemoryObjects{}}
			p := &Publisher{Objects: objects, Author: "mali", PartBytes: 200}
			publish(c, p, 0, manyTeams(1)...)
			first := objects.writes
			objects.before = func(write int) {
				if write == first+step {
					objects.LoseAnswers(1)
				}
			}
			result := publish(c, p, 1, manyTeams(2)...)
			c.Assert(result, qt.Equals, Result{Revision: 2, Changed: true})
			c.Assert(weights(load(c, p)), qt.DeepEquals, map[int]int{2: teamCount})
			head, _, err := p.ReadHead(t.Context())
			c.Assert(err, qt.IsNil)
			c.Assert(head.History, qt.HasLen, 2)
			if objects.Stats().LostAnswers == 0 {
				break
			}
			lost++
		}
		// Each part and the head were lost once.
		c.Assert(lost > 3, qt.IsTrue)
	})
}

// An object API that goes down at any step must leave the whole old revision
// in force, and the operator must get an error.
func TestOutageAtEachStepPublishesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for step := 1; ; step++ {
			objects := &interceptor{MemoryObjects: &emulator.MemoryObjects{}}
			p := &Publisher{Objects: objects, PartBytes: 200}
			publish(c, p, 0, manyTeams(1)...)
			first := objects.writes
			objects.before = func(write int) { objects.SetDown(write >= first+step) }
			_, err := p.Publish(t.Context(), start, Request{Edits: manyTeams(2), BaseRevision: 1})
			objects.SetDown(false)
			if err == nil {
				c.Assert(step > 3, qt.IsTrue)
				break
			}
			var unavailable *adapter.UnavailableError
			c.Assert(errors.As(err, &unavailable), qt.IsTrue)
			revision := load(c, p)
			c.Assert(revision.Number, qt.Equals, uint64(1))
			c.Assert(weights(revision), qt.DeepEquals, map[int]int{1: teamCount})
		}
	})
}

// Reporting a publish as failed although its head update took effect would
// make the operator repeat it over somebody else's edits.
func TestLostHeadAnswer(t *testing.T) {
	tests := []struct {
		name string
		// then happens after the head update took effect without an answer.
		then func(*qt.C, *emulator.MemoryObjects)
		want Result
		err  any
	}{
		{"outage", func(_ *qt.C, m *emulator.MemoryObjects) { m.SetDown(true) }, Result{}, new(*UnknownOutcomeError)},
		{"another operator publishes first", func(c *qt.C, m *emulator.MemoryObjects) {
			m.LoseAnswers(0)
			publish(c, &Publisher{Objects: m, Author: "anan"}, 2, team("other", 5))
		}, Result{Revision: 2, Changed: true}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				objects := &interceptor{MemoryObjects: &emulator.MemoryObjects{}}
				p := &Publisher{Objects: objects}
				publish(c, p, 0, team("a", 1))
				head := objects.writes + 2
				objects.before = func(write int) {
					if write == head {
						objects.LoseAnswers(1)
					}
				}
				objects.after = func(write int) {
					if write == head {
						test.then(c, objects.MemoryObjects)
					}
				}
				result, err := p.Publish(t.Context(), start, Request{Edits: []Edit{team("a", 2)}, BaseRevision: 1})
				c.Assert(result, qt.Equals, test.want)
				if test.err != nil {
					c.Assert(errors.As(err, test.err), qt.IsTrue)
				} else {
					c.Assert(err, qt.IsNil)
				}
			})
		})
	}
}

// Two operators who edit the same object from the same revision must not
// overwrite each other; the loser learns what the other changed.
func TestConflict(t *testing.T) {
	tests := []struct {
		name  string
		other Edit
		own   Edit
		base  uint64
		want  string
	}{
		{"same field", team("a", 2), team("a", 3), 1, "team/a: weight: changed by anan in revision 2, after revision 1 on which this edit is based"},
		{"deleted by the other", Edit{Ref: team("a", 1).Ref}, team("a", 3), 1, "team/a: deleted by anan in revision 2, after revision 1 on which this edit is based"},
		{"deleted by the own edit", team("a", 2), Edit{Ref: team("a", 1).Ref}, 1, "team/a: weight: changed by anan in revision 2, after revision 1 on which this edit is based"},
		{"based on the other's revision", team("a", 2), team("a", 3), 2, ""},
		{"same change", team("a", 2), team("a", 2), 1, ""},
		{"other object", team("b", 2), team("a", 3), 1, ""},
		{"revision that does not exist", team("b", 2), team("a", 3), 9, "revision 9 does not exist, the current one is 2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			objects := &emulator.MemoryObjects{}
			publish(c, &Publisher{Objects: objects, Author: "mali"}, 0, team("a", 1))
			publish(c, &Publisher{Objects: objects, Author: "anan"}, 1, test.other)
			p := &Publisher{Objects: objects, Author: "mali"}
			before := load(c, p)
			_, err := p.Publish(t.Context(), start, Request{Edits: []Edit{test.own}, BaseRevision: test.base})
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, test.want)
			c.Assert(load(c, p), qt.DeepEquals, before)
		})
	}
}

// Operators who race for the head with edits of different objects must all
// succeed, without losing any edit and without a gap in the revisions.
func TestRaceOnDifferentObjects(t *testing.T) {
	c := qt.New(t)
	const operators, edits = 8, 5
	objects := &emulator.MemoryObjects{}
	var group errgroup.Group
	for i := range operators {
		group.Go(func() error {
			p := &Publisher{Objects: objects, Author: fmt.Sprintf("operator %d", i)}
			for n := range edits {
				base, _, err := p.Load(t.Context())
				if err != nil {
					return err
				}
				edit := team(fmt.Sprintf("t-%d-%d", i, n), 1)
				if _, err := p.Publish(t.Context(), start, Request{Edits: []Edit{edit}, BaseRevision: base.Number}); err != nil {
					return err
				}
			}
			return nil
		})
	}
	c.Assert(group.Wait(), qt.IsNil)
	revision := load(c, &Publisher{Objects: objects})
	c.Assert(revision.Number, qt.Equals, uint64(operators*edits))
	c.Assert(revision.Set.Teams, qt.HasLen, operators*edits)
}

// Of several operators who change the same object from the same revision
// exactly one may succeed.
func TestRaceOnSameObject(t *testing.T) {
	c := qt.New(t)
	const operators = 8
	objects := &emulator.MemoryObjects{}
	publish(c, &Publisher{Objects: objects}, 0, team("a", 1))
	var group errgroup.Group
	var conflicts atomic.Int32
	for i := range operators {
		group.Go(func() error {
			p := &Publisher{Objects: objects, Author: fmt.Sprintf("operator %d", i)}
			_, err := p.Publish(t.Context(), start, Request{Edits: []Edit{team("a", 10+i)}, BaseRevision: 1})
			var conflict *ConflictError
			if errors.As(err, &conflict) && conflict.OtherRevision == 2 && slices.Equal(conflict.Fields, []string{"weight"}) {
				conflicts.Add(1)
				return nil
			}
			return err
		})
	}
	c.Assert(group.Wait(), qt.IsNil)
	c.Assert(conflicts.Load(), qt.Equals, int32(operators-1))
	c.Assert(load(c, &Publisher{Objects: objects}).Number, qt.Equals, uint64(2))
}

// Edits that are valid one by one may be invalid together, so the merged set
// has to be checked again.
func TestMergedSetIsValidated(t *testing.T) {
	c := qt.New(t)
	objects := &interceptor{MemoryObjects: &emulator.MemoryObjects{}}
	errTooMany := errors.New("too many teams")
	p := &Publisher{Objects: objects, Validate: func(_, after *parser.Set) error {
		if len(after.Teams) > 2 {
			return errTooMany
		}
		return nil
	}}
	publish(c, p, 0, team("a", 1))
	head := objects.writes + 2
	objects.before = func(write int) {
		if write == head {
			publish(c, &Publisher{Objects: objects.MemoryObjects}, 1, team("b", 1))
		}
	}
	_, err := p.Publish(t.Context(), start, Request{Edits: []Edit{team("c", 1)}, BaseRevision: 1})
	c.Assert(errors.Is(err, errTooMany), qt.IsTrue)
	c.Assert(load(c, p).Set.Teams, qt.HasLen, 2)
}

// Clean-up must delete old parts, but neither referenced ones, nor young ones
// that a publish is about to reference or somebody still reads.
func TestCollectParts(t *testing.T) {
	c := qt.New(t)
	ctx := t.Context()
	objects := &emulator.MemoryObjects{}
	p := &Publisher{Objects: objects}
	publish(c, p, 0, team("a", 1))
	publish(c, p, 1, team("a", 2))
	collect := func(now time.Time) int {
		deleted, err := p.CollectParts(ctx, now)
		c.Assert(err, qt.IsNil)
		return deleted
	}
	c.Assert(collect(start.Add(59*time.Minute)), qt.Equals, 0)
	later := start.Add(2 * time.Hour)
	_, err := p.Publish(ctx, later, Request{Edits: []Edit{team("a", 1)}, BaseRevision: 2})
	c.Assert(err, qt.IsNil)
	c.Assert(collect(later), qt.Equals, 1)
	c.Assert(collect(later.Add(24*time.Hour)), qt.Equals, 0)
	c.Assert(weights(load(c, p)), qt.DeepEquals, map[int]int{1: 1})
}

// Clean-up that runs at any step of a publish, even of one that was paused for
// hours, must not delete a part of the revision that comes into force, whether
// the part is new, referenced or left over from an earlier revision.
func TestCollectPartsAtEachStepOfPublish(t *testing.T) {
	c := qt.New(t)
	for step := 1; ; step++ {
		objects := &interceptor{MemoryObjects: &emulator.MemoryObjects{}}
		p := &Publisher{Objects: objects, PartBytes: 200}
		publish(c, p, 0, manyTeams(1)...)
		publish(c, p, 1, manyTeams(2)...)
		first := objects.writes
		collected := false
		objects.before = func(write int) {
			if write != first+step {
				return
			}
			collected = true
			_, err := (&Publisher{Objects: objects.MemoryObjects}).CollectParts(t.Context(), start.Add(3*time.Hour))
			c.Assert(err, qt.IsNil)
		}
		edits := manyTeams(1)
		edits[teamCount-1] = team("new", 1)
		publish(c, p, 2, edits...)
		c.Assert(load(c, p).Set.Teams, qt.HasLen, teamCount+1)
		if !collected {
			c.Assert(step > 3, qt.IsTrue)
			break
		}
	}
}

// A publish that takes a left-over part into use while clean-up is about to
// delete it must keep the part.
func TestPublishAtEachStepOfCollectParts(t *testing.T) {
	c := qt.New(t)
	for step := 1; ; step++ {
		objects := &interceptor{MemoryObjects: &emulator.MemoryObjects{}}
		other := &Publisher{Objects: objects.MemoryObjects, PartBytes: 200}
		publish(c, other, 0, manyTeams(1)...)
		publish(c, other, 1, manyTeams(2)...)
		published := false
		objects.before = func(write int) {
			if write == step {
				published = true
				publish(c, other, 2, manyTeams(1)...)
			}
		}
		_, err := (&Publisher{Objects: objects}).CollectParts(t.Context(), start.Add(3*time.Hour))
		// A head that moved meanwhile ends the run; the next one continues.
		var conflict *adapter.ConflictError
		c.Assert(err == nil || errors.As(err, &conflict), qt.IsTrue)
		if !published {
			c.Assert(step > 3, qt.IsTrue)
			break
		}
		c.Assert(weights(load(c, other)), qt.DeepEquals, map[int]int{1: teamCount})
	}
}

// Parts come from the network: a damaged one must be an error, never a set
// that lacks objects.
func TestLoadDamaged(t *testing.T) {
	tests := []struct {
		name, old, replacement string
		part                   bool
	}{
		{"content", `"weight":1`, `"weight":7`, true},
		{"not JSON", `{`, ``, true},
		{"revision 0", `"revision":1,"parts"`, `"revision":0,"parts"`, false},
		{"no parts", `"parts":[`, `"parts":[],"x":[`, false},
		{"part name", `"parts":["`, `"parts":["../`, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			objects := &emulator.MemoryObjects{}
			p := &Publisher{Objects: objects}
			publish(c, p, 0, team("a", 1))
			prefix := HeadKey
			if test.part {
				prefix = PartPrefix
			}
			listed, err := objects.List(t.Context(), prefix)
			c.Assert(err, qt.IsNil)
			value := strings.Replace(string(listed[0].Value), test.old, test.replacement, 1)
			c.Assert(value, qt.Not(qt.Equals), string(listed[0].Value))
			_, err = objects.Update(t.Context(), listed[0].Key, []byte(value), listed[0].Version)
			c.Assert(err, qt.IsNil)
			_, _, err = p.Load(t.Context())
			var corrupt *CorruptError
			c.Assert(errors.As(err, &corrupt), qt.IsTrue)
		})
	}
}

// Parts come from the network: no content may make a daemon panic.
func FuzzDecodePart(f *testing.F) {
	f.Add([]byte(`{"written-unix-ms":1,"objects":[{"kind":"team","name":"a","key-digests":null,"weight":1}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		body, err := decodePart(adapter.Object{Key: PartPrefix + strings.Repeat("0", 64), Value: data})
		if err == nil {
			_ = parser.DecodeInto(parser.NewSet(), body.Objects)
		}
		_ = isExpired(adapter.Object{Value: data}, start)
	})
}

// The head comes from the network: no content may make a daemon panic.
func FuzzDecodeHead(f *testing.F) {
	f.Add([]byte(`{"revision":7,"parts":["` + strings.Repeat("0", 64) + `"],"writer":"w","history":[{"revision":7}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		head, err := DecodeHead(data)
		if err == nil {
			_ = head.oldestBase()
			_, _, _ = head.lastChange(parser.Ref{}, 0)
		}
	})
}
