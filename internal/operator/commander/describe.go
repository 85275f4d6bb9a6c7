package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"

	"github.com/lentilbridge/lentilbridge/internal/operator/publisher"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

var describeSubcommand = subcommand{
	name:      "describe",
	arguments: "KIND/NAME...",
	summary:   "show objects with their uses, last change and status",
	details: `Describe shows all fields of published objects, which objects use them, who
changed them last, the progress of rollouts, and at how many daemons an evacuation is
in force.`,
	example:       "lentil describe fleet/drafting",
	usesObjectAPI: true,
	defineFlags:   func(*flag.FlagSet) runFunc { return runDescribe },
}

// description is the output of describe for one object.
type description struct {
	Object     parser.Object         `json:"object"`
	UsedBy     []parser.Ref          `json:"used-by"`
	LastChange *lastChange           `json:"last-change,omitempty"`
	Status     *parser.RolloutStatus `json:"status,omitempty"`
	Replicas   *replicaCounts        `json:"replicas,omitempty"`
	InForce    *inForceCounts        `json:"in-force,omitempty"`
	fields     []parser.FieldDifference
}

type lastChange struct {
	Revision uint64 `json:"revision"`
	Author   string `json:"author"`
	Time     string `json:"time"`
}

// replicaCounts counts the reported replicas of a fleet.
type replicaCounts struct {
	Declared int `json:"declared"`
	Reported int `json:"reported"`
	Ready    int `json:"ready"`
}

// inForceCounts counts the daemons that have reported and those among them that have
// the revision of an object's last change.
type inForceCounts struct {
	InForce int `json:"in-force"`
	Daemons int `json:"daemons"`
}

func runDescribe(ctx context.Context, s *session, args []string) error {
	refs, err := parseRefs(s.subcommand, args)
	if err != nil {
		return err
	}
	revision, err := s.load(ctx)
	if err != nil {
		return err
	}
	head, _, err := s.publisher.ReadHead(ctx)
	if err != nil {
		return err
	}
	descriptions := []description{}
	for _, ref := range refs {
		d, err := s.describe(ctx, revision, head, ref)
		if err != nil {
			return err
		}
		descriptions = append(descriptions, d)
	}
	if s.json() {
		return s.writeJSON(descriptions)
	}
	for i, d := range descriptions {
		if i > 0 {
			s.printf("\n")
		}
		s.printDescription(d)
	}
	return nil
}

func (s *session) describe(ctx context.Context, revision *parser.Revision, head publisher.Head, ref parser.Ref) (description, error) {
	o, err := findObject(revision, ref)
	if err != nil {
		return description{}, err
	}
	d := description{Object: o, UsedBy: usedBy(revision.Set, ref), fields: parser.Differences(nil, o)}
	d.LastChange = findLastChange(head, ref)
	switch o := o.(type) {
	case *parser.Rollout:
		d.Status, err = s.rolloutStatus(ctx, o.Name)
	case *parser.Fleet:
		d.Replicas, err = s.countReplicas(ctx, o)
	case *parser.Evacuation:
		d.InForce, err = s.countEvacuated(ctx, d.LastChange)
	}
	return d, err
}

func (s *session) printDescription(d description) {
	rows := [][]string{}
	for _, f := range d.fields {
		rows = append(rows, []string{f.Field + ":", formatValue(f.After, len(f.After))})
	}
	uses := make([]string, len(d.UsedBy))
	for i, ref := range d.UsedBy {
		uses[i] = ref.String()
	}
	if len(uses) > 0 {
		rows = append(rows, []string{"used by:", strings.Join(uses, ", ")})
	}
	if c := d.LastChange; c != nil {
		rows = append(rows, []string{"last change:", fmt.Sprintf("revision %d by %s at %s", c.Revision, c.Author, c.Time)})
	}
	if d.Replicas != nil {
		rows = append(rows, []string{"status:", fmt.Sprintf("%d of %d replicas ready, %d reported", d.Replicas.Ready, d.Replicas.Declared, d.Replicas.Reported)})
	}
	if d.InForce != nil {
		rows = append(rows, []string{"status:", fmt.Sprintf("in force at %d of %d daemons", d.InForce.InForce, d.InForce.Daemons)})
	}
	if d.Status != nil {
		rows = append(rows, []string{"status:", formatRolloutStatus(*d.Status)})
	}
	writePairs(s.program.Stdout, rows)
}

// rolloutStatus returns the progress of a rollout, or nil if the daemons have not
// reported any yet.
func (s *session) rolloutStatus(ctx context.Context, name string) (*parser.RolloutStatus, error) {
	o, err := s.publisher.Objects.Get(ctx, parser.RolloutPrefix+name)
	var notFound *adapter.NotFoundError
	if errors.As(err, &notFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	status, err := decodeStatus[parser.RolloutStatus](o)
	return &status, err
}

func (s *session) countReplicas(ctx context.Context, f *parser.Fleet) (*replicaCounts, error) {
	regions, err := s.readStatus(ctx)
	if err != nil {
		return nil, err
	}
	counts := &replicaCounts{Declared: f.Replicas}
	for _, region := range regions {
		for _, daemon := range region.Daemons {
			if daemon.Fleet != f.Name {
				continue
			}
			counts.Reported++
			if daemon.State == "ready" {
				counts.Ready++
			}
		}
	}
	return counts, nil
}

// countEvacuated counts the daemons at which an evacuation is in force. One whose
// change is no longer in the history is older than any revision that a daemon may
// still have.
func (s *session) countEvacuated(ctx context.Context, change *lastChange) (*inForceCounts, error) {
	regions, err := s.readStatus(ctx)
	if err != nil {
		return nil, err
	}
	var revision uint64
	if change != nil {
		revision = change.Revision
	}
	counts := &inForceCounts{}
	counts.InForce, counts.Daemons = countInForce(regions, revision)
	return counts, nil
}

// findLastChange returns the latest change of the object, or nil if the head's
// history does not contain any.
func findLastChange(head publisher.Head, ref parser.Ref) *lastChange {
	for i := len(head.History) - 1; i >= 0; i-- {
		entry := head.History[i]
		for _, c := range entry.Changes {
			if c.Kind == ref.Kind && c.Name == ref.Name {
				return &lastChange{Revision: entry.Revision, Author: entry.Author, Time: formatMillis(entry.TimeMillis)}
			}
		}
	}
	return nil
}

// usedBy returns the objects that refer to the object.
func usedBy(set *parser.Set, ref parser.Ref) []parser.Ref {
	users := []parser.Ref{}
	for _, o := range set.All() {
		for _, used := range referencesOf(o) {
			if used == ref {
				users = append(users, o.Ref())
				break
			}
		}
	}
	return users
}

// referencesOf returns the objects to which the object refers. References that
// are not set have an empty name.
func referencesOf(o parser.Object) []parser.Ref {
	switch o := o.(type) {
	case *parser.ModelVersion:
		return []parser.Ref{{Kind: parser.KindModel, Name: o.Model}}
	case *parser.Adapter:
		return []parser.Ref{{Kind: parser.KindModelVersion, Name: o.Version}}
	case *parser.Fleet:
		refs := refsByName(parser.KindAdapter, o.Adapters)
		return append(refs, parser.Ref{Kind: parser.KindModel, Name: o.Model},
			parser.Ref{Kind: parser.KindService, Name: o.Service}, parser.Ref{Kind: parser.KindModelVersion, Name: o.Version})
	case *parser.Team:
		return append(refsByName(parser.KindRoute, o.Routes), refsByName(parser.KindService, o.Services)...)
	case *parser.Rollout:
		return []parser.Ref{{Kind: parser.KindFleet, Name: o.Fleet}, {Kind: parser.KindModelVersion, Name: o.Version}}
	case *parser.Route:
		return []parser.Ref{
			{Kind: parser.KindModel, Name: o.Model},
			{Kind: parser.KindAdapter, Name: o.Adapter},
			{Kind: parser.KindRoute, Name: o.Fallback},
		}
	}
	return nil
}

func refsByName(kind string, names []string) []parser.Ref {
	refs := make([]parser.Ref, len(names))
	for i, name := range names {
		refs[i] = parser.Ref{Kind: kind, Name: name}
	}
	return refs
}
