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

// interceptingObjects calls the hooks before and after each write, with the
// number of the write, starting at 1.
type interceptingObjects struct {
	*emulator.MemoryObjects
	writes int
	before func(write int)
	after  func(write int)
}

func (i *interceptingObjects) Create(ctx context.Context, key string, value []byte) (adapter.Object, error) {
	defer i.begin()()
	return i.MemoryObjects.Create(ctx, key, value)
}

func (i *interceptingObjects) Update(ctx context.Context, key string, value []byte, version uint64) (adapter.Object, error) {
	defer i.begin()()
	return i.MemoryObjects.Update(ctx, key, value, version)
}

func (i *interceptingObjects) Delete(ctx context.Context, key string, version uint64) error {
	defer i.begin()()
	return i.MemoryObjects.Delete(ctx, key, version)
}

func (i *interceptingObjects) begin() func() {
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

func teamEdit(name string, weight int) Edit {
	t := &parser.Team{Kind: parser.KindTeam, Name: name, Weight: weight}
	return Edit{Ref: t.Ref(), After: t}
}

const teamCount = 10

func teamEdits(weight int) []Edit {
	edits := make([]Edit, teamCount)
	for i := range edits {
		edits[i] = teamEdit(fmt.Sprintf("t%02d", i), weight)
	}
	return edits
}

// publish publishes the edits and fails the test on an error.
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

// teamsByWeight counts the teams by weight. After a publish that sets all teams
// to one weight, several weights mean that it was applied in part.
func teamsByWeight(revision *parser.Revision) map[int]int {
	found := map[int]int{}
	for _, t := range revision.Set.Teams {
		found[t.Weight]++
	}
	return found
}

// Guards against a publish that fails or creates two revisions when the response
// to any one of its writes is lost.
func TestLostAnswerAtEachStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		lost := 0
		for step := 1; ; step++ {
			objects := &interceptingObjects{MemoryObjects: &emulator.MemoryObjects{}}
			p := &Publisher{Objects: objects, Author: "mali", MaxPartBytes: 200}
			publish(c, p, 0, teamEdits(1)...)
			first := objects.writes
			objects.before = func(write int) {
				if write == first+step {
					objects.LoseAnswers(1)
				}
			}
			result := publish(c, p, 1, teamEdits(2)...)
			c.Assert(result, qt.Equals, Result{Revision: 2, Changed: true})
			c.Assert(teamsByWeight(load(c, p)), qt.DeepEquals, map[int]int{2: teamCount})
			head, _, err := p.ReadHead(t.Context())
			c.Assert(err, qt.IsNil)
			c.Assert(head.History, qt.HasLen, 2)
			if objects.Stats().LostAnswers == 0 {
				break
			}
			lost++
		}
		// The responses to the writes of each part and of the head were lost
		// once each.
		c.Assert(lost > 3, qt.IsTrue)
	})
}

// Guards against a partly published revision, or a publish without an error,
// when the object API becomes unavailable at any step.
func TestOutageAtEachStepPublishesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for step := 1; ; step++ {
			objects := &interceptingObjects{MemoryObjects: &emulator.MemoryObjects{}}
			p := &Publisher{Objects: objects, MaxPartBytes: 200}
			publish(c, p, 0, teamEdits(1)...)
			first := objects.writes
			objects.before = func(write int) { objects.SetDown(write >= first+step) }
			_, err := p.Publish(t.Context(), start, Request{Edits: teamEdits(2), BaseRevision: 1})
			objects.SetDown(false)
			if err == nil {
				c.Assert(step > 3, qt.IsTrue)
				break
			}
			var unavailable *adapter.UnavailableError
			c.Assert(errors.As(err, &unavailable), qt.IsTrue)
			revision := load(c, p)
			c.Assert(revision.Number, qt.Equals, uint64(1))
			c.Assert(teamsByWeight(revision), qt.DeepEquals, map[int]int{1: teamCount})
		}
	})
}

// Guards against reporting a publish as failed although its update of the head
// was applied and only the response lost. The operator would repeat it and
// overwrite other operators' edits.
func TestLostHeadAnswer(t *testing.T) {
	tests := []struct {
		name string
		// afterUpdate runs after the update of the head was applied and its
		// response lost.
		afterUpdate func(*qt.C, *emulator.MemoryObjects)
		want        Result
		err         any
	}{
		{"outage", func(_ *qt.C, m *emulator.MemoryObjects) { m.SetDown(true) }, Result{}, new(*UnknownOutcomeError)},
		{"another operator publishes first", func(c *qt.C, m *emulator.MemoryObjects) {
			m.LoseAnswers(0)
			publish(c, &Publisher{Objects: m, Author: "anan"}, 2, teamEdit("other", 5))
		}, Result{Revision: 2, Changed: true}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				objects := &interceptingObjects{MemoryObjects: &emulator.MemoryObjects{}}
				p := &Publisher{Objects: objects}
				publish(c, p, 0, teamEdit("a", 1))
				head := objects.writes + 2
				objects.before = func(write int) {
					if write == head {
						objects.LoseAnswers(1)
					}
				}
				objects.after = func(write int) {
					if write == head {
						test.afterUpdate(c, objects.MemoryObjects)
					}
				}
				result, err := p.Publish(t.Context(), start, Request{Edits: []Edit{teamEdit("a", 2)}, BaseRevision: 1})
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

// Guards against overwriting another operator's change of the same object. The
// second operator gets a conflict that names the changed fields.
func TestConflict(t *testing.T) {
	tests := []struct {
		name  string
		other Edit
		own   Edit
		base  uint64
		want  string
	}{
		{"same field", teamEdit("a", 2), teamEdit("a", 3), 1, "team/a: weight: changed by anan in revision 2, after revision 1 on which this edit is based"},
		{"deleted by the other", Edit{Ref: teamEdit("a", 1).Ref}, teamEdit("a", 3), 1, "team/a: deleted by anan in revision 2, after revision 1 on which this edit is based"},
		{"deleted by the own edit", teamEdit("a", 2), Edit{Ref: teamEdit("a", 1).Ref}, 1, "team/a: weight: changed by anan in revision 2, after revision 1 on which this edit is based"},
		{"based on the other's revision", teamEdit("a", 2), teamEdit("a", 3), 2, ""},
		{"same change", teamEdit("a", 2), teamEdit("a", 2), 1, ""},
		{"other object", teamEdit("b", 2), teamEdit("a", 3), 1, ""},
		{"revision that does not exist", teamEdit("b", 2), teamEdit("a", 3), 9, "revision 9 does not exist, the current one is 2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			objects := &emulator.MemoryObjects{}
			publish(c, &Publisher{Objects: objects, Author: "mali"}, 0, teamEdit("a", 1))
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

// Guards against lost edits, failed publishes and gaps in the revision numbers
// when operators publish edits of different objects concurrently.
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
				edit := teamEdit(fmt.Sprintf("t-%d-%d", i, n), 1)
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

// When operators concurrently change the same object from the same revision,
// exactly one succeeds and all others get a conflict.
func TestRaceOnSameObject(t *testing.T) {
	c := qt.New(t)
	const operators = 8
	objects := &emulator.MemoryObjects{}
	publish(c, &Publisher{Objects: objects}, 0, teamEdit("a", 1))
	var group errgroup.Group
	var conflicts atomic.Int32
	for i := range operators {
		group.Go(func() error {
			p := &Publisher{Objects: objects, Author: fmt.Sprintf("operator %d", i)}
			_, err := p.Publish(t.Context(), start, Request{Edits: []Edit{teamEdit("a", 10+i)}, BaseRevision: 1})
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

// Edits that are valid separately may be invalid together, so the merged set has
// to be validated again.
func TestMergedSetIsValidated(t *testing.T) {
	c := qt.New(t)
	objects := &interceptingObjects{MemoryObjects: &emulator.MemoryObjects{}}
	errTooMany := errors.New("too many teams")
	p := &Publisher{Objects: objects, Validate: func(_, after *parser.Set) error {
		if len(after.Teams) > 2 {
			return errTooMany
		}
		return nil
	}}
	publish(c, p, 0, teamEdit("a", 1))
	head := objects.writes + 2
	objects.before = func(write int) {
		if write == head {
			publish(c, &Publisher{Objects: objects.MemoryObjects}, 1, teamEdit("b", 1))
		}
	}
	_, err := p.Publish(t.Context(), start, Request{Edits: []Edit{teamEdit("c", 1)}, BaseRevision: 1})
	c.Assert(errors.Is(err, errTooMany), qt.IsTrue)
	c.Assert(load(c, p).Set.Teams, qt.HasLen, 2)
}

// Garbage collection deletes old parts, but neither referenced ones nor recent
// ones, which a publish may be about to reference or a reader may need.
func TestDeleteUnreferencedParts(t *testing.T) {
	c := qt.New(t)
	ctx := t.Context()
	objects := &emulator.MemoryObjects{}
	p := &Publisher{Objects: objects}
	publish(c, p, 0, teamEdit("a", 1))
	publish(c, p, 1, teamEdit("a", 2))
	collect := func(now time.Time) int {
		deleted, err := p.DeleteUnreferencedParts(ctx, now)
		c.Assert(err, qt.IsNil)
		return deleted
	}
	c.Assert(collect(start.Add(59*time.Minute)), qt.Equals, 0)
	later := start.Add(2 * time.Hour)
	_, err := p.Publish(ctx, later, Request{Edits: []Edit{teamEdit("a", 1)}, BaseRevision: 2})
	c.Assert(err, qt.IsNil)
	c.Assert(collect(later), qt.Equals, 1)
	c.Assert(collect(later.Add(24*time.Hour)), qt.Equals, 0)
	c.Assert(teamsByWeight(load(c, p)), qt.DeepEquals, map[int]int{1: 1})
}

// Guards against deleting a part of the revision being published when garbage
// collection runs at any step of the publish, which may have been paused for
// hours. The part may be new, referenced or left over from an earlier revision.
func TestDeleteUnreferencedPartsAtEachStepOfPublish(t *testing.T) {
	c := qt.New(t)
	for step := 1; ; step++ {
		objects := &interceptingObjects{MemoryObjects: &emulator.MemoryObjects{}}
		p := &Publisher{Objects: objects, MaxPartBytes: 200}
		publish(c, p, 0, teamEdits(1)...)
		publish(c, p, 1, teamEdits(2)...)
		first := objects.writes
		collected := false
		objects.before = func(write int) {
			if write != first+step {
				return
			}
			collected = true
			_, err := (&Publisher{Objects: objects.MemoryObjects}).DeleteUnreferencedParts(t.Context(), start.Add(3*time.Hour))
			c.Assert(err, qt.IsNil)
		}
		edits := teamEdits(1)
		edits[teamCount-1] = teamEdit("new", 1)
		publish(c, p, 2, edits...)
		c.Assert(load(c, p).Set.Teams, qt.HasLen, teamCount+1)
		if !collected {
			c.Assert(step > 3, qt.IsTrue)
			break
		}
	}
}

// Guards against deleting a part left over from an earlier revision that a
// publish uses again while garbage collection is running.
func TestPublishAtEachStepOfDeleteUnreferencedParts(t *testing.T) {
	c := qt.New(t)
	for step := 1; ; step++ {
		objects := &interceptingObjects{MemoryObjects: &emulator.MemoryObjects{}}
		other := &Publisher{Objects: objects.MemoryObjects, MaxPartBytes: 200}
		publish(c, other, 0, teamEdits(1)...)
		publish(c, other, 1, teamEdits(2)...)
		published := false
		objects.before = func(write int) {
			if write == step {
				published = true
				publish(c, other, 2, teamEdits(1)...)
			}
		}
		_, err := (&Publisher{Objects: objects}).DeleteUnreferencedParts(t.Context(), start.Add(3*time.Hour))
		// A concurrent update of the head makes the collection fail with a
		// conflict; the next collection continues.
		var conflict *adapter.ConflictError
		c.Assert(err == nil || errors.As(err, &conflict), qt.IsTrue)
		if !published {
			c.Assert(step > 3, qt.IsTrue)
			break
		}
		c.Assert(teamsByWeight(load(c, other)), qt.DeepEquals, map[int]int{1: teamCount})
	}
}

// Corrupt heads and parts must be reported as errors, never loaded as a set with
// missing objects.
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
			publish(c, p, 0, teamEdit("a", 1))
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

// Parts are read from the network, so no content may cause a panic.
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

// The head is read from the network, so no content may cause a panic.
func FuzzDecodeHead(f *testing.F) {
	f.Add([]byte(`{"revision":7,"parts":["` + strings.Repeat("0", 64) + `"],"writer":"w","history":[{"revision":7}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		head, err := DecodeHead(data)
		if err == nil {
			_ = head.oldestKnownBase()
			_, _, _ = head.lastChange(parser.Ref{}, 0)
		}
	})
}
