package commander

import (
	"context"
	"flag"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

var rolloutResumeVerb = verb{
	name:      "rollout resume",
	arguments: "NAME",
	summary:   "resume a paused rollout",
	details:   `Rollout resume sets the state of a paused rollout to running.`,
	example:   "lentil rollout resume drafting-v2",
	objects:   true,
	publishes: true,
	setUp: func(*flag.FlagSet) runner {
		return func(ctx context.Context, s *session, args []string) error {
			return setRolloutState(ctx, s, args, parser.RolloutRunning)
		}
	},
}
