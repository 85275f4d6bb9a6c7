package mirrorer

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/timekeeper"
)

// answers is a source with a prepared answer to each watch and list. It implements Source.
type answers struct {
	list    Snapshot
	watch   Changes
	err     error
	present *time.Time
}

// delay is the time that each call takes.
const delay = time.Second

func (a *answers) List(context.Context, string, bool) (Snapshot, error) {
	*a.present = a.present.Add(delay)
	return a.list, a.err
}

func (a *answers) Watch(context.Context, string, uint64, time.Duration) (Changes, error) {
	*a.present = a.present.Add(delay)
	return a.watch, a.err
}

// TestConfirmation guards against a copy that counts as current because of an answer that is older than it, that did
// not come, or that was asked for earlier than it came.
func TestConfirmation(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name   string
		answer answers
		want   bool
		// confirmed is the time of the confirmation after the second poll.
		confirmed time.Duration
	}{
		{"nothing new", answers{watch: Changes{Revision: 20}}, true, delay},
		{"a change", answers{watch: Changes{Revision: 21, List: []Change{{Object: Object{Name: "x", Revision: 21}}}}}, true, delay},
		{"older than the copy", answers{watch: Changes{Revision: 19}}, true, 0},
		{"no answer", answers{err: errDown}, false, 0},
		{"history gone, no list", answers{err: &CompactedError{}}, false, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			present := start
			source := &answers{list: Snapshot{Revision: 20, Objects: map[string]Object{}}, present: &present}
			m := &Mirror{Kind: "k", Source: source, Log: zap.NewNop(), Now: func() timekeeper.Moment { return timekeeper.Moment{Time: present} }}
			c.Assert(m.Poll(context.Background()), qt.IsTrue)
			c.Assert(m.ConfirmedAt().Time, qt.Equals, start)
			tc.answer.present = &present
			m.Source = &tc.answer
			c.Check(m.Poll(context.Background()), qt.Equals, tc.want)
			c.Check(m.ConfirmedAt().Time, qt.Equals, start.Add(tc.confirmed))
		})
	}
}
