package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// rolloutPollInterval is the interval at which --follow reads the status.
const rolloutPollInterval = time.Second

var rolloutStatusSubcommand = subcommand{
	name:      "rollout status",
	arguments: "[NAME]",
	summary:   "show the progress of rollouts",
	details: `Rollout status shows the progress of all rollouts or of one. With --follow it
shows the progress of one rollout until it has ended; on a terminal as a bar.`,
	example:       "lentil rollout status --follow drafting-v2",
	usesObjectAPI: true,
	defineFlags: func(fs *flag.FlagSet) runFunc {
		c := &rolloutStatusCommand{}
		fs.BoolVar(&c.follow, "follow", false, "show the progress until the rollout has ended")
		return c.run
	},
}

type rolloutStatusCommand struct {
	follow bool
}

// rolloutReport is the JSON output of rollout status for one rollout. Status is
// null if the daemons have not reported any progress yet.
type rolloutReport struct {
	Name   string                `json:"name"`
	State  string                `json:"state"`
	Status *parser.RolloutStatus `json:"status"`
}

func (c *rolloutStatusCommand) run(ctx context.Context, s *session, args []string) error {
	if err := checkArgumentCount(s.subcommand, args, 0, 1); err != nil {
		return err
	}
	if c.follow && len(args) == 0 {
		return &UsageError{Message: "--follow needs the name of a rollout", Suggestion: "type lentil rollout status --follow NAME"}
	}
	revision, err := s.load(ctx)
	if err != nil {
		return err
	}
	rollouts, err := selectRollouts(revision, args)
	if err != nil {
		return err
	}
	if c.follow {
		return c.followRollout(ctx, s, rollouts[0])
	}
	reports := []rolloutReport{}
	for _, r := range rollouts {
		status, err := s.rolloutStatus(ctx, r.Name)
		if err != nil {
			return err
		}
		reports = append(reports, rolloutReport{Name: r.Name, State: rolloutState(r), Status: status})
	}
	if s.json() {
		return s.writeJSON(reports)
	}
	if len(reports) == 0 {
		s.printf("no rollouts in revision %d\n", revision.Number)
		return nil
	}
	s.writeRolloutTable(rollouts, reports)
	return nil
}

// selectRollouts returns the rollout given by the argument, or all rollouts,
// sorted by name.
func selectRollouts(revision *parser.Revision, args []string) ([]*parser.Rollout, error) {
	if len(args) == 1 {
		r, err := findRollout(revision, args[0])
		return []*parser.Rollout{r}, err
	}
	rollouts := []*parser.Rollout{}
	for _, r := range revision.Set.Rollouts {
		rollouts = append(rollouts, r)
	}
	sort.Slice(rollouts, func(i, j int) bool { return rollouts[i].Name < rollouts[j].Name })
	return rollouts, nil
}

func findRollout(revision *parser.Revision, name string) (*parser.Rollout, error) {
	o, err := findObject(revision, parser.Ref{Kind: parser.KindRollout, Name: name})
	if err != nil {
		return nil, err
	}
	return o.(*parser.Rollout), nil
}

func (s *session) writeRolloutTable(rollouts []*parser.Rollout, reports []rolloutReport) {
	rows := make([][]string, len(reports))
	for i, r := range reports {
		status := parser.RolloutStatus{Phase: "unknown"}
		if r.Status != nil {
			status = *r.Status
		}
		rows[i] = []string{
			r.Name, rollouts[i].Fleet, rollouts[i].Version, r.State, status.Phase,
			fmt.Sprintf("%d/%d", status.Transferred, status.Replicas),
			fmt.Sprintf("%d/%d", status.Active, status.Replicas),
			strconv.FormatUint(status.BytesFromOrigin, 10), orDash(status.Message),
		}
	}
	headings := []string{"name", "fleet", "version", "state", "phase", "transferred", "active", "origin-bytes", "message"}
	writeTable(s.program.Stdout, headings, rows)
}

// followRollout prints the progress of the rollout whenever it changes, until the
// rollout has ended. It continues when the object API is not available, because
// the rollout does not depend on it.
func (c *rolloutStatusCommand) followRollout(ctx context.Context, s *session, r *parser.Rollout) error {
	d := s.newProgressDisplay()
	defer d.finish()
	for {
		status, err := s.rolloutStatus(ctx, r.Name)
		var unavailable *adapter.UnavailableError
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.As(err, &unavailable):
			d.show(fmt.Sprintf("rollout %s: object API not available, trying again", r.Name), 0, 0)
		case err != nil:
			return err
		case status == nil:
			d.show(fmt.Sprintf("rollout %s: no daemon has reported yet", r.Name), 0, 0)
		default:
			d.show(fmt.Sprintf("rollout %s: %s", r.Name, formatRolloutStatus(*status)), status.Transferred+status.Active, 2*status.Replicas)
			if isTerminalPhase(status.Phase) {
				return rolloutError(*status)
			}
		}
		waiter.Wait(ctx, rolloutPollInterval)
	}
}

func isTerminalPhase(phase string) bool {
	return phase == parser.PhaseDone || phase == parser.PhaseAborted || phase == parser.PhaseFailed
}

// rolloutError returns an error if the rollout has failed.
func rolloutError(status parser.RolloutStatus) error {
	if status.Phase != parser.PhaseFailed {
		return nil
	}
	return &FailedError{
		Message:    fmt.Sprintf("rollout %s failed: %s", status.Rollout, orDash(status.Message)),
		Suggestion: "type lentil rollout abort " + status.Rollout,
	}
}

func formatRolloutStatus(status parser.RolloutStatus) string {
	line := fmt.Sprintf("%s, %d of %d replicas have the weights, %d serve version %s, %d bytes from the origin",
		status.Phase, status.Transferred, status.Replicas, status.Active, status.Version, status.BytesFromOrigin)
	if status.Message != "" {
		line += ": " + status.Message
	}
	return line
}

// rolloutState returns the state of the rollout, which is running if not set.
func rolloutState(r *parser.Rollout) string {
	if r.State == "" {
		return parser.RolloutRunning
	}
	return r.State
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
