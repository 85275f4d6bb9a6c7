package commander

import (
	"context"
	"flag"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

var rolloutAbortSubcommand = subcommand{
	name:      "rollout abort",
	arguments: "NAME",
	summary:   "abort a rollout",
	details: `Rollout abort sets the state of a rollout to aborted: all replicas of the fleet
return to the version of the fleet. An aborted rollout cannot be resumed.`,
	example:       "lentil rollout abort drafting-v2",
	usesObjectAPI: true,
	publishes:     true,
	defineFlags: func(*flag.FlagSet) runFunc {
		return func(ctx context.Context, s *session, args []string) error {
			return setRolloutState(ctx, s, args, parser.RolloutAborted)
		}
	},
}
