package commander

import (
	"context"
	"fmt"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/operator/checker"
	"github.com/lentilbridge/lentilbridge/internal/operator/publisher"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// Values of change.Action.
const (
	actionCreate = "create"
	actionChange = "change"
	actionDelete = "delete"
)

// publishedObjectsFile takes the place of the file name in problems of objects
// that are published but not declared in the files.
const publishedObjectsFile = "published objects"

// change describes how a publish changes one object.
type change struct {
	Action string                   `json:"action"`
	Object parser.Ref               `json:"object"`
	Fields []parser.FieldDifference `json:"fields,omitempty"`
}

// plan is a set of edits against a published revision.
type plan struct {
	base *parser.Revision
	// declared are the objects to store, with their files and lines.
	declared *parser.Declaration
	edits    []publisher.Edit
	// changes describes the edits, in the same order.
	changes []change
	// unchanged counts the declared objects that equal the published ones.
	unchanged int
}

// planEdits returns the edits that store the declared objects and delete the
// objects of deletions.
func planEdits(base *parser.Revision, declared *parser.Declaration, deletions []parser.Ref) *plan {
	p := &plan{base: base, declared: declared}
	for _, o := range declared.Set.All() {
		p.addEdit(o.Ref(), o)
	}
	for _, ref := range deletions {
		p.addEdit(ref, nil)
	}
	return p
}

func (p *plan) addEdit(ref parser.Ref, after parser.Object) {
	before := p.base.Set.Find(ref)
	if parser.Equal(before, after) {
		p.unchanged++
		return
	}
	c := change{Action: actionChange, Object: ref}
	switch {
	case before == nil:
		c.Action = actionCreate
	case after == nil:
		c.Action = actionDelete
	default:
		c.Fields = parser.Differences(before, after)
	}
	p.edits = append(p.edits, publisher.Edit{Ref: ref, After: after})
	p.changes = append(p.changes, c)
}

// undeclaredObjects returns the published objects that are not declared, which
// --prune deletes.
func undeclaredObjects(base *parser.Revision, declared *parser.Declaration) []parser.Ref {
	var refs []parser.Ref
	for _, o := range base.Set.All() {
		if declared.Set.Find(o.Ref()) == nil {
			refs = append(refs, o.Ref())
		}
	}
	return refs
}

// result returns the base set with the edits applied.
func (p *plan) result() *parser.Set {
	edited := map[parser.Ref]bool{}
	for _, edit := range p.edits {
		edited[edit.Ref] = true
	}
	after := parser.NewSet()
	for _, o := range p.base.Set.All() {
		if !edited[o.Ref()] {
			after.Add(o)
		}
	}
	for _, edit := range p.edits {
		if edit.After != nil {
			after.Add(edit.After)
		}
	}
	return after
}

// validate returns the problems of replacing before with after as a
// *parser.ProblemsError, or nil if there are none.
func (p *plan) validate(before, after *parser.Set) error {
	if problems := p.problems(before, after); len(problems) > 0 {
		return &parser.ProblemsError{Problems: problems}
	}
	return nil
}

// problems checks the whole set after and the replacement of before by it.
// Problems of objects that are not declared in the files have the file
// publishedObjectsFile.
func (p *plan) problems(before, after *parser.Set) []parser.Problem {
	places := map[parser.Ref]*parser.Declared{}
	for _, o := range p.declared.Objects {
		places[o.Object.Ref()] = o
	}
	d := parser.NewDeclaration()
	d.Problems = p.declared.Problems
	for _, o := range after.All() {
		declared := parser.Declared{File: publishedObjectsFile}
		if place := places[o.Ref()]; place != nil {
			declared = *place
		}
		declared.Object = o
		d.Add(&declared)
	}
	problems := append(checker.Check(d), checker.CheckReplacement(before, d)...)
	parser.SortProblems(problems)
	return problems
}

// publish validates the plan and publishes its edits, which were made against
// the revision basedOn.
func (s *session) publish(ctx context.Context, p *plan, basedOn uint64) (publisher.Result, error) {
	if err := p.validate(p.base.Set, p.result()); err != nil {
		return publisher.Result{}, err
	}
	s.publisher.Validate = p.validate
	return s.publisher.Publish(ctx, time.Now(), publisher.Request{Edits: p.edits, BaseRevision: basedOn})
}

// publishReport is the JSON output of a subcommand that publishes.
type publishReport struct {
	Revision  uint64   `json:"revision"`
	Published bool     `json:"published"`
	Merged    bool     `json:"merged,omitempty"`
	Changes   []change `json:"changes"`
	Unchanged int      `json:"unchanged"`
	// InForce is the number of daemons that have the revision, out of Daemons
	// that have reported. Both are set with --wait only.
	InForce *int `json:"in-force,omitempty"`
	Daemons *int `json:"daemons,omitempty"`
}

func (s *session) printChanges(p *plan) {
	for _, c := range p.changes {
		s.printf("%s %s\n", c.Action, c.Object)
	}
}

func (s *session) printResult(p *plan, result publisher.Result) {
	switch {
	case !result.Changed:
		s.printf("no change: %s as in revision %d\n", countObjects(p.unchanged), result.Revision)
	case result.Merged:
		s.printf("revision %d published, merged with edits of other operators to other objects\n", result.Revision)
	default:
		s.printf("revision %d published\n", result.Revision)
	}
}

func (s *session) report(p *plan, result publisher.Result) publishReport {
	changes := p.changes
	if changes == nil || !result.Changed {
		changes = []change{}
	}
	return publishReport{Revision: result.Revision, Published: result.Changed, Merged: result.Merged, Changes: changes, Unchanged: p.unchanged}
}

// publishAndPrint publishes the plan against its base revision and prints the
// result.
func (s *session) publishAndPrint(ctx context.Context, p *plan) error {
	result, err := s.publish(ctx, p, p.base.Number)
	if err != nil {
		return err
	}
	if s.json() {
		return s.writeJSON(s.report(p, result))
	}
	if result.Changed {
		s.printChanges(p)
	}
	s.printResult(p, result)
	return nil
}

func countObjects(n int) string {
	if n == 1 {
		return "1 object"
	}
	return fmt.Sprintf("%d objects", n)
}
