package commander

import (
	"context"
	"flag"

	"github.com/lentilbridge/lentilbridge/internal/operator/checker"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

var checkSubcommand = subcommand{
	name:      "check",
	arguments: "PATH...",
	summary:   "check files without publishing them",
	details: `Check reads files and directories (.yaml, .yml, .json) and checks all objects
together as a whole set. It does not call the object API, unless --merge is
given: then the published objects count, too, as they do for lentil apply.`,
	example:       "lentil check examples/authority",
	usesObjectAPI: true,
	defineFlags: func(fs *flag.FlagSet) runFunc {
		c := &checkCommand{}
		fs.BoolVar(&c.merge, "merge", false, "check together with the published objects")
		return c.run
	},
}

type checkCommand struct {
	merge bool
}

// checkReport is the JSON output of check.
type checkReport struct {
	Objects  int              `json:"objects"`
	Problems []parser.Problem `json:"problems"`
}

func (c *checkCommand) run(ctx context.Context, s *session, args []string) error {
	if err := checkArgumentCount(s.subcommand, args, 1, -1); err != nil {
		return err
	}
	declared, err := parser.ReadPaths(args)
	if err != nil {
		return err
	}
	problems, err := c.problems(ctx, s, declared)
	if err != nil {
		return err
	}
	if s.json() {
		report := checkReport{Objects: len(declared.Objects), Problems: append([]parser.Problem{}, problems...)}
		if err := s.writeJSON(report); err != nil {
			return err
		}
	}
	if len(problems) > 0 {
		return &parser.ProblemsError{Problems: problems}
	}
	if !s.json() {
		s.printf("%s, no problems\n", countObjects(len(declared.Objects)))
	}
	return nil
}

// problems checks the declared objects, with --merge together with the published
// ones.
func (c *checkCommand) problems(ctx context.Context, s *session, declared *parser.Declaration) ([]parser.Problem, error) {
	if !c.merge {
		return checker.Check(declared), nil
	}
	base, err := s.load(ctx)
	if err != nil {
		return nil, err
	}
	p := planEdits(base, declared, nil)
	return p.problems(base.Set, p.result()), nil
}
