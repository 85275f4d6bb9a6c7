package identifier

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// TestRegionsOfRequest guards against a request that may run in a region that its
// team, its route or the route that falls back does not allow.
func TestRegionsOfRequest(t *testing.T) {
	chat := &Completion{Model: "big", Prompt: "hello"}
	tests := []struct {
		name                string
		team, big, small    []string
		call                Call
		bigReady            bool
		want                matcher.Regions
		wantModel           string
		asked               []matcher.Regions
		withoutReplicaCheck bool
	}{
		{name: "none", call: chat, bigReady: true, wantModel: "m", asked: []matcher.Regions{nil}},
		{name: "route", big: []string{"north"}, call: chat, bigReady: true, want: matcher.Regions{"north"}, wantModel: "m", asked: []matcher.Regions{{"north"}}},
		{name: "empty lists", team: []string{}, big: []string{}, call: chat, bigReady: true, wantModel: "m", asked: []matcher.Regions{nil}},
		{name: "route and team", team: []string{"south", "west"}, big: []string{"north", "south"}, call: chat, bigReady: true, want: matcher.Regions{"south"}, wantModel: "m", asked: []matcher.Regions{{"south"}}},
		{name: "nothing in common", team: []string{"west"}, big: []string{"north"}, call: chat, want: matcher.Regions{}, wantModel: "m", asked: []matcher.Regions{{}, {}}},
		{name: "fallback keeps the route's regions", big: []string{"north"}, call: chat, want: matcher.Regions{"north"}, wantModel: "s", asked: []matcher.Regions{{"north"}, {"north"}}},
		{name: "fallback has regions too", big: []string{"north", "south"}, small: []string{"south"}, call: chat, want: matcher.Regions{"south"}, wantModel: "s", asked: []matcher.Regions{{"north", "south"}, {"south"}}},
		{name: "no directory", big: []string{"north"}, call: chat, want: matcher.Regions{"north"}, wantModel: "m", withoutReplicaCheck: true},
		{name: "service", team: []string{"north"}, call: &ServiceCall{Service: "portal", Method: "POST"}, want: matcher.Regions{"north"}},
		{name: "service without", call: &ServiceCall{Service: "portal", Method: "POST"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			set := testSet()
			set.Teams["all"].Regions, set.Routes["big"].Regions, set.Routes["small"].Regions = tt.team, tt.big, tt.small
			var asked []matcher.Regions
			i := &Identifier{
				Config: func() *parser.Revision { return &parser.Revision{Set: set} },
				Ready: func(target Target, regions matcher.Regions, _ time.Time) bool {
					asked = append(asked, regions)
					return (target.Model == "m") == tt.bigReady && (regions == nil || len(regions) > 0)
				},
			}
			if tt.withoutReplicaCheck {
				i.Ready = nil
			}
			r, err := i.Identify(Incoming{Authorization: "Bearer k-all", Call: tt.call}, now)
			c.Assert(err, qt.IsNil)
			c.Check(r.Regions, qt.DeepEquals, tt.want)
			c.Check(r.Target.Model, qt.Equals, tt.wantModel)
			c.Check(asked, qt.DeepEquals, tt.asked)
		})
	}
}
