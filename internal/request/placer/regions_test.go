package placer

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
)

// placedReplica returns a replica without an engine in a failure domain that has the name of its region and
// a number.
func placedReplica(id, domain string) Replica {
	region := ""
	if domain != "" {
		region = domain[:len(domain)-1]
	}
	return Replica{ID: id, Address: id + ":1", Service: "s", FailureDomain: domain, Region: region, Slots: 4}
}

// TestRestrictedChoice guards against a request on a replica outside its regions or in an evacuated failure
// domain, and against an exclusion that is not named in the refusal.
func TestRestrictedChoice(t *testing.T) {
	now := time.Unix(100, 0)
	list := []Replica{placedReplica("r1", "east1"), placedReplica("r2", "west1"), placedReplica("r3", "")}
	tests := []struct {
		name      string
		regions   matcher.Regions
		evacuated []string
		exclude   []string
		want      map[string]bool
		excluded  Exclusions
	}{
		{name: "unrestricted", want: map[string]bool{"r1": true, "r2": true, "r3": true}},
		{name: "one region", regions: matcher.Regions{"west"}, want: map[string]bool{"r2": true}},
		{name: "unknown region", regions: matcher.Regions{"north"}, excluded: Exclusions{Regions: 3}},
		{name: "no region", regions: matcher.Regions{}, excluded: Exclusions{Regions: 3}},
		{name: "empty name of a region", regions: matcher.Regions{""}, excluded: Exclusions{Regions: 3}},
		{name: "tried in the only region", regions: matcher.Regions{"west"}, exclude: []string{"r2"}, excluded: Exclusions{Regions: 2}},
		{name: "evacuated", evacuated: []string{"east1"}, want: map[string]bool{"r2": true, "r3": true}},
		{name: "evacuation elsewhere", evacuated: []string{"west2"}, want: map[string]bool{"r1": true, "r2": true, "r3": true}},
		{name: "only region evacuated", regions: matcher.Regions{"west"}, evacuated: []string{"west1"}, excluded: Exclusions{Regions: 2, Evacuations: 1}},
		{name: "all evacuated", evacuated: []string{"east1", "west1", ""}, excluded: Exclusions{Evacuations: 3}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			p := &Placer{FailureDomain: "east1"}
			p.Update(list, now)
			p.SetEvacuated(tc.evacuated, now)
			q := Query{Service: "s", Regions: tc.regions, Exclude: tc.exclude, MaxWait: time.Second}
			got := map[string]bool{}
			for range 12 {
				placed, err := p.Place(context.Background(), q, now)
				if err != nil {
					var refused *RefusedError
					c.Assert(errors.As(err, &refused), qt.IsTrue)
					c.Check(refused.Excluded, qt.Equals, tc.excluded)
					break
				}
				got[placed.Replica.ID] = true
				// Requests stay on the replicas, so that each one that may be used is.
				if len(got) == len(tc.want) {
					break
				}
			}
			if tc.want == nil {
				tc.want = map[string]bool{}
			}
			c.Check(got, qt.DeepEquals, tc.want)
			for _, r := range list {
				err := placementOn(p, r).Permitted(q, now)
				allowed := tc.want[r.ID] || len(tc.exclude) > 0 && r.ID == tc.exclude[0]
				c.Check(err == nil, qt.Equals, allowed, qt.Commentf("%s: %v", r.ID, err))
			}
		})
	}
}

// TestPermitted guards against a request that is sent on what was known at its placement.
func TestPermitted(t *testing.T) {
	now := time.Unix(100, 0)
	placed := placedReplica("r1", "east1")
	draining, moved, elsewhere := placed, placed, placed
	draining.Draining = true
	moved.FailureDomain, moved.Region = "west1", "west"
	elsewhere.Address, elsewhere.Draining = "other:1", true
	tests := []struct {
		name      string
		list      []Replica
		evacuated []string
		regions   matcher.Regions
		want      string
	}{
		{"unchanged", []Replica{placed}, nil, nil, ""},
		{"no longer listed", nil, nil, nil, ""},
		{"no longer listed and evacuated", nil, []string{"east1"}, nil, "replica r1: its failure domain is evacuated"},
		{"evacuated", []Replica{placed}, []string{"east1"}, nil, "replica r1: its failure domain is evacuated"},
		{"drains", []Replica{draining}, nil, nil, "replica r1: it drains"},
		{"its ID has another address", []Replica{elsewhere}, nil, nil, ""},
		{"listed in another region", []Replica{moved}, nil, matcher.Regions{"east"}, "replica r1: its region is not allowed"},
		{"region of the placement not allowed", nil, nil, matcher.Regions{"west"}, "replica r1: its region is not allowed"},
	}
	for _, tc := range tests {
		p := &Placer{}
		p.Update([]Replica{placed}, now)
		p.Update(tc.list, now)
		p.SetEvacuated(tc.evacuated, now)
		got := ""
		if err := placementOn(p, placed).Permitted(Query{Service: "s", Regions: tc.regions}, now); err != nil {
			got = err.Error()
		}
		qt.Check(t, got, qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// BenchmarkPlaceRestricted measures a choice among 52 replicas and its release, with and without a restriction to
// two of three regions.
func BenchmarkPlaceRestricted(b *testing.B) {
	for _, regions := range []matcher.Regions{nil, {"region-0", "region-1"}} {
		b.Run(fmt.Sprint(len(regions), "-regions"), func(b *testing.B) {
			now := time.Unix(1000, 0)
			p := &Placer{VM: "vm-0", FailureDomain: "domain-0"}
			var list []Replica
			for i := range 52 {
				list = append(list, Replica{
					ID: fmt.Sprint("replica-", i), Service: "s", Slots: 8, FailureDomain: fmt.Sprint("domain-", i%3), Region: fmt.Sprint("region-", i%3),
					Engine: &Engine{PrefillTokensPerSecond: 12700, Step: 13 * time.Millisecond, Stride: 4},
				})
			}
			p.Update(list, now)
			q := Query{Service: "s", PromptTokens: 900, TargetLatency: 600 * time.Millisecond, Regions: regions}
			b.ReportAllocs()
			for b.Loop() {
				placed, err := p.Place(context.Background(), q, now)
				if err == nil && placed.Permitted(q, now) == nil {
					placed.Done(Neutral, now)
				}
			}
		})
	}
}
