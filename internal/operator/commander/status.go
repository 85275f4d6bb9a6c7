package commander

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// inForcePollInterval is the interval at which --wait reads the status. Daemons
// write it at most once a second.
const inForcePollInterval = 500 * time.Millisecond

var statusSubcommand = subcommand{
	name:      "status",
	arguments: "[REGION]",
	summary:   "show the daemons and the revision in force",
	details: `Status shows each daemon with its revision, version and transfers, as last
reported, and at how many daemons the current revision is in force.`,
	example:       "lentil status central",
	usesObjectAPI: true,
	defineFlags:   func(*flag.FlagSet) runFunc { return runStatus },
}

// statusReport is the JSON output of status.
type statusReport struct {
	Revision uint64                `json:"revision"`
	InForce  int                   `json:"in-force"`
	Daemons  int                   `json:"daemons"`
	Regions  []parser.RegionStatus `json:"regions"`
}

func runStatus(ctx context.Context, s *session, args []string) error {
	if err := checkArgumentCount(s.subcommand, args, 0, 1); err != nil {
		return err
	}
	if err := s.requireObjectAPI(); err != nil {
		return err
	}
	head, _, err := s.publisher.ReadHead(ctx)
	if err != nil {
		return err
	}
	regions, err := s.readStatus(ctx)
	if err != nil {
		return err
	}
	report := statusReport{Revision: head.Revision, Regions: regions}
	report.InForce, report.Daemons = countInForce(regions, head.Revision)
	if len(args) == 1 {
		if report.Regions, err = selectRegion(regions, args[0]); err != nil {
			return err
		}
	}
	if s.json() {
		return s.writeJSON(report)
	}
	s.printf("revision %d in force at %d of %d daemons\n", report.Revision, report.InForce, report.Daemons)
	for _, region := range report.Regions {
		s.printf("\n%s, reported at %s\n", region.Region, formatMillis(region.TimeMillis))
		s.writeDaemonTable(region)
	}
	return nil
}

func (s *session) writeDaemonTable(region parser.RegionStatus) {
	rows := make([][]string, len(region.Daemons))
	for i, d := range region.Daemons {
		serves := d.Model
		if serves == "" {
			serves = d.Service
		}
		rows[i] = []string{
			d.VM, d.Role, orDash(d.Fleet), orDash(serves), orDash(d.VersionName), orDash(d.State),
			strconv.FormatUint(d.Revision, 10), formatTransfers(d.Transfers), orDash(d.LastOrderError),
		}
	}
	headings := []string{"vm", "role", "fleet", "serves", "version", "state", "revision", "transfer", "error"}
	writeTable(s.program.Stdout, headings, rows)
}

func formatTransfers(transfers []parser.TransferStatus) string {
	text := ""
	for _, t := range transfers {
		if text != "" {
			text += ","
		}
		switch {
		case t.Error != "":
			text += "failed: " + t.Error
		case t.Complete:
			text += "complete"
		default:
			text += fmt.Sprintf("%d/%d", t.ChunksHeld, t.ChunksTotal)
		}
	}
	return orDash(text)
}

func selectRegion(regions []parser.RegionStatus, name string) ([]parser.RegionStatus, error) {
	names := make([]string, len(regions))
	for i, r := range regions {
		if r.Region == name {
			return regions[i : i+1], nil
		}
		names[i] = r.Region
	}
	suggestion := "type lentil status"
	if near := parser.Nearest(name, names); near != "" {
		suggestion = "write " + near
	}
	return nil, &FailedError{Message: fmt.Sprintf("region %q has not reported a status", name), Suggestion: suggestion}
}

// readStatus reads the status of all regions.
func (s *session) readStatus(ctx context.Context) ([]parser.RegionStatus, error) {
	listed, err := s.publisher.Objects.List(ctx, parser.StatusPrefix)
	if err != nil {
		return nil, err
	}
	regions := []parser.RegionStatus{}
	for _, o := range listed {
		status, err := decodeStatus[parser.RegionStatus](o)
		if err != nil {
			return nil, err
		}
		regions = append(regions, status)
	}
	return regions, nil
}

// countInForce returns how many of the reported daemons have the revision or a
// later one, and how many have reported.
func countInForce(regions []parser.RegionStatus, revision uint64) (inForce, daemons int) {
	for _, region := range regions {
		for _, d := range region.Daemons {
			daemons++
			if d.Revision >= revision {
				inForce++
			}
		}
	}
	return inForce, daemons
}

// waitInForce waits until all daemons that have reported have the revision or a
// later one. After the timeout it returns a *NotInForceError, and a
// *LostRevisionError if a restore of the object API has lost the revision.
func (s *session) waitInForce(ctx context.Context, revision uint64, timeout time.Duration) (inForce, daemons int, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d := s.newProgressDisplay()
	defer d.finish()
	for {
		regions, err := s.readStatus(ctx)
		if err == nil {
			inForce, daemons = countInForce(regions, revision)
			d.show(fmt.Sprintf("revision %d in force at %d of %d daemons", revision, inForce, daemons), inForce, daemons)
		}
		if daemons > 0 && inForce == daemons {
			head, _, err := s.publisher.ReadHead(ctx)
			if earlier := head.CarriedOverWithout(revision); earlier > 0 {
				return 0, daemons, &LostRevisionError{Revision: revision, Earlier: earlier}
			}
			if err == nil {
				return inForce, daemons, nil
			}
		}
		if ctx.Err() != nil {
			return inForce, daemons, &NotInForceError{Revision: revision, InForce: inForce, Daemons: daemons}
		}
		waiter.Wait(ctx, inForcePollInterval)
	}
}
