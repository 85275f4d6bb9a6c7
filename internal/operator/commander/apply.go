package commander

import (
	"context"
	"flag"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/operator/publisher"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const defaultApplyTimeout = 30 * time.Second

var applySubcommand = subcommand{
	name:      "apply",
	arguments: "PATH...",
	summary:   "publish the objects in files",
	details: `Apply creates and replaces the objects in the files and publishes the result as
one new revision. The whole set is checked first; on a problem nothing is
published. Edits of other operators to other objects are merged. An object that
another operator changed after the revision given by --based-on is a conflict.`,
	example:       "lentil apply --wait examples/authority",
	usesObjectAPI: true,
	publishes:     true,
	defineFlags: func(fs *flag.FlagSet) runFunc {
		c := &applyCommand{}
		fs.BoolVar(&c.prune, "prune", false, "delete the published objects that are not in the files")
		fs.Uint64Var(&c.basedOn, "based-on", 0, "`revision` that the files are an edit of; the current one when absent")
		fs.BoolVar(&c.wait, "wait", false, "wait until the revision is in force at all daemons")
		fs.DurationVar(&c.timeout, "timeout", defaultApplyTimeout, "how long --wait waits")
		return c.run
	},
}

type applyCommand struct {
	prune   bool
	basedOn uint64
	wait    bool
	timeout time.Duration
}

func (c *applyCommand) run(ctx context.Context, s *session, args []string) error {
	if err := checkArgumentCount(s.subcommand, args, 1, -1); err != nil {
		return err
	}
	p, err := planPaths(ctx, s, args, c.prune)
	if err != nil {
		return err
	}
	basedOn := p.base.Number
	if c.basedOn > 0 {
		basedOn = c.basedOn
	}
	result, err := s.publish(ctx, p, basedOn)
	if err != nil {
		return err
	}
	if !s.json() {
		if result.Changed {
			s.printChanges(p)
		}
		s.printResult(p, result)
	}
	return c.waitAndReport(ctx, s, p, result)
}

// waitAndReport waits for the revision if --wait is given and prints the JSON
// report if -o json is given.
func (c *applyCommand) waitAndReport(ctx context.Context, s *session, p *plan, result publisher.Result) error {
	report := s.report(p, result)
	var failed error
	if c.wait {
		inForce, daemons, err := s.waitInForce(ctx, result.Revision, c.timeout)
		if err != nil {
			failed = err
		}
		report.InForce, report.Daemons = &inForce, &daemons
	}
	if s.json() {
		if err := s.writeJSON(report); err != nil {
			return err
		}
	}
	return failed
}

// planPaths reads the files and plans their publication against the current
// revision. With prune, published objects that are not in the files are deleted.
func planPaths(ctx context.Context, s *session, paths []string, prune bool) (*plan, error) {
	declared, err := parser.ReadPaths(paths)
	if err != nil {
		return nil, err
	}
	base, err := s.load(ctx)
	if err != nil {
		return nil, err
	}
	var deletions []parser.Ref
	if prune {
		deletions = undeclaredObjects(base, declared)
	}
	return planEdits(base, declared, deletions), nil
}
