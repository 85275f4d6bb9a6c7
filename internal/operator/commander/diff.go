package commander

import (
	"context"
	"flag"
)

var diffSubcommand = subcommand{
	name:      "diff",
	arguments: "PATH...",
	summary:   "show what apply would change",
	details: `Diff compares the objects in the files with the published ones. It prints + for
an object that apply would create, ~ for one that it would change, with each
field, and - for one that it would delete. Nothing is published.`,
	example:       "lentil diff --prune examples/authority",
	usesObjectAPI: true,
	defineFlags: func(fs *flag.FlagSet) runFunc {
		c := &diffCommand{}
		fs.BoolVar(&c.prune, "prune", false, "compare as for lentil apply --prune")
		return c.run
	},
}

type diffCommand struct {
	prune bool
}

// diffReport is the JSON output of diff.
type diffReport struct {
	Revision  uint64   `json:"revision"`
	Changes   []change `json:"changes"`
	Unchanged int      `json:"unchanged"`
}

func (c *diffCommand) run(ctx context.Context, s *session, args []string) error {
	if err := checkArgumentCount(s.subcommand, args, 1, -1); err != nil {
		return err
	}
	p, err := planPaths(ctx, s, args, c.prune)
	if err != nil {
		return err
	}
	if s.json() {
		changes := append([]change{}, p.changes...)
		if err := s.writeJSON(diffReport{Revision: p.base.Number, Changes: changes, Unchanged: p.unchanged}); err != nil {
			return err
		}
	} else {
		s.printDiff(p)
	}
	return p.validate(p.base.Set, p.result())
}

func (s *session) printDiff(p *plan) {
	signs := map[string]string{actionCreate: "+", actionChange: "~", actionDelete: "-"}
	for _, c := range p.changes {
		s.printf("%s %s\n", signs[c.Action], c.Object)
		for _, f := range c.Fields {
			s.printf("    %s: %s → %s\n", f.Field, orNotSet(f.Before), orNotSet(f.After))
		}
	}
	s.printf("%s to change, %d unchanged, against revision %d\n", countObjects(len(p.changes)), p.unchanged, p.base.Number)
}

func orNotSet(value string) string {
	if value == "" {
		return "(not set)"
	}
	return value
}
