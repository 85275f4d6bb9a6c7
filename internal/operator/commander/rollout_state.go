package commander

import (
	"context"
	"fmt"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// setRolloutState publishes the rollout with another state. An aborted rollout
// cannot go on: its replicas are returning to the fleet's own version.
func setRolloutState(ctx context.Context, s *session, args []string, state string) error {
	if err := wantArguments(s.verb, args, 1, 1); err != nil {
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
	if stateOf(r) == parser.RolloutAborted && state != parser.RolloutAborted {
		return &FailedError{
			Message:    fmt.Sprintf("rollout %s is aborted", r.Name),
			Suggestion: "apply a rollout with another name to start again",
		}
	}
	edited := *r
	if stateOf(r) != state {
		edited.State = state
	}
	declared := parser.NewDeclaration()
	declared.Add(&parser.Declared{Object: &edited, File: publishedObjects})
	return s.publishAndPrint(ctx, planEdits(base, declared, nil))
}
