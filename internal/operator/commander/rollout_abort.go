package commander

import (
	"context"
	"flag"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

var rolloutAbortVerb = verb{
	name:      "rollout abort",
	arguments: "NAME",
	summary:   "abort a rollout",
	details: `Rollout abort sets the state of a rollout to aborted: all replicas of the fleet
return to the version of the fleet. An aborted rollout cannot be resumed.`,
	example:   "lentil rollout abort drafting-v2",
	objects:   true,
	publishes: true,
	setUp: func(*flag.FlagSet) runner {
		return func(ctx context.Context, s *session, args []string) error {
			return setRolloutState(ctx, s, args, parser.RolloutAborted)
		}
	},
}
