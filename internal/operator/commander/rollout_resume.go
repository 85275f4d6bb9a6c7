package commander

import (
	"context"
	"flag"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

var rolloutResumeSubcommand = subcommand{
	name:          "rollout resume",
	arguments:     "NAME",
	summary:       "resume a paused rollout",
	details:       `Rollout resume sets the state of a paused rollout to running.`,
	example:       "lentil rollout resume drafting-v2",
	usesObjectAPI: true,
	publishes:     true,
	defineFlags: func(*flag.FlagSet) runFunc {
		return func(ctx context.Context, s *session, args []string) error {
			return setRolloutState(ctx, s, args, parser.RolloutRunning)
		}
	},
}
