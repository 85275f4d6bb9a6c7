package commander

import (
	"context"
	"flag"
	"slices"
	"strings"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

var deleteSubcommand = subcommand{
	name:      "delete",
	arguments: "KIND/NAME... | block FINGERPRINT",
	summary:   "delete published objects or a block",
	details: `Delete removes objects and publishes the result as one new revision. An object
that others refer to cannot be deleted. "delete block" lets requests run again
that are blocked because they crashed backend servers.`,
	example:       "lentil delete rollout/drafting-v2\nlentil delete block 5f1c2a",
	usesObjectAPI: true,
	publishes:     true,
	defineFlags:   func(*flag.FlagSet) runFunc { return runDelete },
}

func runDelete(ctx context.Context, s *session, args []string) error {
	if len(args) > 0 && args[0] == "block" {
		if len(args) != 2 {
			return &UsageError{Message: "delete block needs one fingerprint", Suggestion: "type lentil get blocks to see them"}
		}
		return s.deleteBlock(ctx, args[1])
	}
	refs, err := parseRefs(s.subcommand, args)
	if err != nil {
		return err
	}
	base, err := s.load(ctx)
	if err != nil {
		return err
	}
	for _, ref := range refs {
		if _, err := findObject(base, ref); err != nil {
			return err
		}
	}
	if err := checkUnused(base.Set, refs); err != nil {
		return err
	}
	return s.publishAndPrint(ctx, planEdits(base, parser.NewDeclaration(), refs))
}

// checkUnused returns an error if objects that are not deleted refer to any of
// the objects to delete.
func checkUnused(set *parser.Set, refs []parser.Ref) error {
	var problems []parser.Problem
	for _, ref := range refs {
		var users []string
		for _, user := range usedBy(set, ref) {
			if !slices.Contains(refs, user) {
				users = append(users, user.String())
			}
		}
		if len(users) > 0 {
			problems = append(problems, parser.Problem{
				File: publishedObjectsFile, Object: ref,
				Message:    "the object is used by " + strings.Join(users, ", "),
				Suggestion: "edit or delete these, too",
			})
		}
	}
	if len(problems) == 0 {
		return nil
	}
	return &parser.ProblemsError{Problems: problems}
}
