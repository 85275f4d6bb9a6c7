package evacuator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/coordination/mirrorer"
)

// step is a copy of the objects at a time, or the passing of time if it has no era.
type step struct {
	at   time.Duration
	era  uint64
	list []Evacuation
	want string
}

func describe(c Change) string {
	var out []string
	for _, e := range c.Began {
		out = append(out, "+"+e.FailureDomain)
	}
	for _, e := range c.Ended {
		out = append(out, "-"+e.FailureDomain)
	}
	return strings.Join(out, " ")
}

// TestEvacuations guards against an evacuation that is not obeyed, ends without its removal, or lasts after it.
func TestEvacuations(t *testing.T) {
	one := func(domain string, era, revision uint64) Evacuation {
		return Evacuation{FailureDomain: domain, Revision: mirrorer.JoinRevision(era, revision)}
	}
	tests := []struct {
		name  string
		steps []step
		// domains are evacuated at the end.
		domains []string
		// returned are the failure domains for which OnReturn was called.
		returned string
	}{
		{"none", []step{{era: 1}}, []string{}, ""},
		{"begins and ends", []step{
			{era: 1, list: []Evacuation{one("a", 1, 5)}, want: "+a"},
			{era: 1, list: []Evacuation{one("a", 1, 5)}, want: ""},
			{era: 1, want: "-a"},
		}, []string{}, "a@0s"},
		{"another one begins as one ends", []step{
			{era: 1, list: []Evacuation{one("a", 1, 5)}, want: "+a"},
			{era: 1, list: []Evacuation{one("b", 1, 7)}, want: "+b -a"},
		}, []string{"b"}, "a@0s"},
		{"again before the end of the first was seen", []step{
			{era: 1, list: []Evacuation{one("a", 1, 5)}, want: "+a"},
			{era: 1, list: []Evacuation{one("a", 1, 9)}, want: ""},
		}, []string{"a"}, ""},
		{"again after its end", []step{
			{era: 1, list: []Evacuation{one("a", 1, 5)}, want: "+a"},
			{at: time.Second, era: 1, want: "-a"},
			{at: 2 * time.Second, era: 1, list: []Evacuation{one("a", 1, 9)}, want: "+a"},
		}, []string{"a"}, "a@1s"},
		{"lost in a restore and written again", []step{
			{era: 1, list: []Evacuation{one("a", 1, 5)}, want: "+a"},
			{at: time.Second, era: 2, want: ""},
			{at: time.Second + rewriteTime - 1, want: ""},
			{at: time.Second + rewriteTime - 1, era: 2, list: []Evacuation{one("a", 2, 5)}, want: ""},
			{at: time.Minute, want: ""},
		}, []string{"a"}, ""},
		{"lost in a restore", []step{
			{era: 1, list: []Evacuation{one("a", 1, 5)}, want: "+a"},
			{at: time.Second, era: 2, want: ""},
			{at: 2 * time.Second, era: 2, want: ""},
			{at: time.Second + rewriteTime, want: "-a"},
		}, []string{}, "a@6s"},
		{"kept by a restore and removed then", []step{
			{era: 1, list: []Evacuation{one("a", 1, 5)}, want: "+a"},
			{era: 2, list: []Evacuation{one("a", 2, 5)}, want: ""},
			{era: 2, want: "-a"},
		}, []string{}, "a@0s"},
		{"brought back by a restore", []step{
			{era: 1, list: []Evacuation{one("a", 1, 5)}, want: "+a"},
			{era: 1, want: "-a"},
			{era: 2, list: []Evacuation{one("a", 2, 5)}, want: "+a"},
		}, []string{"a"}, "a@0s"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			start := time.Unix(1000, 0)
			var returned []string
			e := &Evacuator{OnReturn: func(domain string, now time.Time) {
				returned = append(returned, fmt.Sprintf("%s@%s", domain, now.Sub(start)))
			}}
			c.Check(e.Known(), qt.IsFalse)
			for i, s := range tc.steps {
				now := start.Add(s.at)
				var change Change
				if s.era == 0 {
					change = e.Expire(now)
				} else {
					change = e.Update(s.era, s.list, now)
				}
				c.Check(describe(change), qt.Equals, s.want, qt.Commentf("step %d", i))
			}
			c.Check(e.Known(), qt.IsTrue)
			c.Check(e.Domains(), qt.DeepEquals, tc.domains)
			c.Check(strings.Join(returned, " "), qt.Equals, tc.returned)
			for _, domain := range tc.domains {
				c.Check(e.Evacuated(domain), qt.IsTrue)
				c.Check(e.ReturnedAt(domain).IsZero(), qt.IsTrue)
			}
		})
	}
}

// TestStatus guards against a status that says that an evacuation is in force before all daemons have it, and
// against more writes than one success or three failures.
func TestStatus(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name string
		list []Evacuation
		// results are the results of the writes so far.
		results   []bool
		revisions []uint64
		want      string
	}{
		{"all have it", []Evacuation{{FailureDomain: "a", Revision: 5}}, nil, []uint64{5, 7, 6}, "a"},
		{"one lacks it", []Evacuation{{FailureDomain: "a", Revision: 5}}, nil, []uint64{5, 4}, ""},
		{"one has no copy", []Evacuation{{FailureDomain: "a", Revision: 5}}, nil, []uint64{5, 0}, ""},
		{"no daemon", []Evacuation{{FailureDomain: "a", Revision: 5}}, nil, nil, ""},
		{"written by another daemon", []Evacuation{{FailureDomain: "a", Revision: 5, Confirmed: true}}, nil, []uint64{5}, ""},
		{"written", []Evacuation{{FailureDomain: "a", Revision: 5}}, []bool{true}, []uint64{5}, ""},
		{"failed twice", []Evacuation{{FailureDomain: "a", Revision: 5}}, []bool{false, false}, []uint64{5}, "a"},
		{"failed three times", []Evacuation{{FailureDomain: "a", Revision: 5}}, []bool{false, false, false}, []uint64{5}, ""},
		{"second one", []Evacuation{{FailureDomain: "a", Revision: 5}, {FailureDomain: "b", Revision: 6}}, []bool{true}, []uint64{6}, "b"},
	}
	for _, tc := range tests {
		e := &Evacuator{}
		e.Update(0, tc.list, now)
		for _, succeeded := range tc.results {
			due, ok := e.StatusDue(tc.revisions)
			qt.Check(t, ok, qt.IsTrue, qt.Commentf(tc.name))
			e.RecordWrite(due, succeeded)
		}
		due, ok := e.StatusDue(tc.revisions)
		qt.Check(t, due.FailureDomain, qt.Equals, tc.want, qt.Commentf(tc.name))
		qt.Check(t, ok, qt.Equals, tc.want != "", qt.Commentf(tc.name))
	}
}

// TestStatusOfNewEvacuation guards against an evacuation that gets no status because an earlier one of the
// failure domain had it.
func TestStatusOfNewEvacuation(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	e := &Evacuator{}
	e.Update(0, []Evacuation{{FailureDomain: "a", Revision: 5}}, now)
	due, _ := e.StatusDue([]uint64{5})
	e.RecordWrite(due, true)
	// The write of the status gives the object a new revision.
	e.Update(0, []Evacuation{{FailureDomain: "a", Revision: 6, Confirmed: true}}, now)
	_, ok := e.StatusDue([]uint64{6})
	c.Assert(ok, qt.IsFalse)
	// The removal was not seen.
	e.Update(0, []Evacuation{{FailureDomain: "a", Revision: 9}}, now)
	_, ok = e.StatusDue([]uint64{9})
	c.Assert(ok, qt.IsTrue)
}
