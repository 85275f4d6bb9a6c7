package commander

import (
	"context"
	"flag"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

var rolloutPauseSubcommand = subcommand{
	name:      "rollout pause",
	arguments: "NAME",
	summary:   "pause a rollout",
	details: `Rollout pause sets the state of a rollout to paused: replicas that have switched
keep the new version, no further one switches.`,
	example:       "lentil rollout pause drafting-v2",
	usesObjectAPI: true,
	publishes:     true,
	defineFlags: func(*flag.FlagSet) runFunc {
		return func(ctx context.Context, s *session, args []string) error {
			return setRolloutState(ctx, s, args, parser.RolloutPaused)
		}
	},
}
