package matcher

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRegionsOfRouteAndTeam guards against a request that is served in a region that its
// route or its team does not allow, in particular where the two have none in common.
func TestRegionsOfRouteAndTeam(t *testing.T) {
	tests := []struct {
		name          string
		route, team   Regions
		want          Regions
		allows, keeps string
	}{
		{name: "no restriction", allows: "north"},
		{name: "route only", route: Regions{"north"}, want: Regions{"north"}, allows: "north", keeps: "south"},
		{name: "team only", team: Regions{"north"}, want: Regions{"north"}, allows: "north", keeps: "south"},
		{name: "both", route: Regions{"north", "south"}, team: Regions{"south", "west"}, want: Regions{"south"}, allows: "south", keeps: "north"},
		{name: "none in common", route: Regions{"north"}, team: Regions{"south"}, want: Regions{}, keeps: "north"},
		{name: "none allowed", route: Regions{}, want: Regions{}, keeps: "north"},
		{name: "unknown region of a backend server", route: Regions{"north"}, want: Regions{"north"}, keeps: ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := CommonRegions(tt.route, tt.team)
			qt.Assert(t, got, qt.DeepEquals, tt.want)
			if tt.allows != "" {
				qt.Assert(t, got.Allows(tt.allows), qt.IsTrue)
			}
			if got != nil {
				qt.Assert(t, got.Allows(tt.keeps), qt.IsFalse)
			}
		})
	}
}
