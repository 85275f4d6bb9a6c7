package commander

import (
	"context"
	"fmt"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// setRolloutState publishes the rollout with the given state. An aborted rollout
// cannot be resumed, because its replicas return to the version of the fleet.
func setRolloutState(ctx context.Context, s *session, args []string, state string) error {
	if err := checkArgumentCount(s.subcommand, args, 1, 1); err != nil {
		return err
	}
	base, err := s.load(ctx)
	if err != nil {
		return err
	}
	r, err := findRollout(base, args[0])
	if err != nil {
		return err
	}
	if rolloutState(r) == parser.RolloutAborted && state != parser.RolloutAborted {
		return &FailedError{
			Message:    fmt.Sprintf("rollout %s is aborted", r.Name),
			Suggestion: "apply a rollout with another name to start again",
		}
	}
	edited := *r
	if rolloutState(r) != state {
		edited.State = state
	}
	declared := parser.NewDeclaration()
	declared.Add(&parser.Declared{Object: &edited, File: publishedObjectsFile})
	return s.publishAndPrint(ctx, planEdits(base, declared, nil))
}
