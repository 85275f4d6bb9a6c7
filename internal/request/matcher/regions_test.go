package matcher

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAllows guards against a restricted request in a region that is not allowed or unknown, and
// against a list without regions that counts as no restriction.
func TestAllows(t *testing.T) {
	tests := []struct {
		name    string
		regions Regions
		region  string
		want    bool
	}{
		{"unrestricted", nil, "east", true},
		{"unrestricted, unknown region", nil, "", true},
		{"allowed", Regions{"west", "east"}, "east", true},
		{"not allowed", Regions{"west"}, "east", false},
		{"unknown region", Regions{"west"}, "", false},
		{"unknown region and an empty name in the list", Regions{""}, "", false},
		{"no region", Regions{}, "east", false},
	}
	for _, tc := range tests {
		qt.Check(t, tc.regions.Allows(tc.region), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// TestCommonRegions guards against a request that satisfies only one of two restrictions, and
// against two restrictions without a common region that count as none.
func TestCommonRegions(t *testing.T) {
	tests := []struct {
		name   string
		a, b   Regions
		want   Regions
		allocs float64
	}{
		{name: "both unrestricted"},
		{name: "first unrestricted", b: Regions{"east"}, want: Regions{"east"}},
		{name: "second unrestricted", a: Regions{"east"}, want: Regions{"east"}},
		{name: "common region", a: Regions{"east", "west"}, b: Regions{"west", "north"}, want: Regions{"west"}, allocs: 1},
		{name: "no common region", a: Regions{"east"}, b: Regions{"west"}, want: Regions{}, allocs: 1},
		{name: "none and unrestricted", a: Regions{}, want: Regions{}},
	}
	for _, tc := range tests {
		got := CommonRegions(tc.a, tc.b)
		qt.Check(t, got, qt.DeepEquals, tc.want, qt.Commentf(tc.name))
		allocs := testing.AllocsPerRun(10, func() { sink = CommonRegions(tc.a, tc.b) })
		qt.Check(t, allocs <= tc.allocs, qt.IsTrue, qt.Commentf("%s: %v allocations", tc.name, allocs))
	}
}

// sink keeps the compiler from removing a call whose allocations are counted.
var sink Regions

// TestHostRegions guards against addresses for callers of a host that only some of its restricted routes allow.
func TestHostRegions(t *testing.T) {
	cfg := &Configuration{Routes: []Route{
		{Host: "A.example", Regions: Regions{"east", "west"}},
		{Host: "a.example"},
		{Host: "a.example", Regions: Regions{"west"}},
		{Host: "b.example"},
		{Host: "c.example", Regions: Regions{"east"}},
		{Host: "c.example", Regions: Regions{"west"}},
	}}
	cfg.Index()
	tests := []struct {
		host string
		want Regions
	}{
		{"a.example", Regions{"west"}},
		{"A.EXAMPLE", Regions{"west"}},
		{"b.example", nil},
		{"c.example", Regions{}},
		{"d.example", nil},
	}
	for _, tc := range tests {
		qt.Check(t, cfg.HostRegions(tc.host), qt.DeepEquals, tc.want, qt.Commentf(tc.host))
	}
}

// TestCovers guards against a request that is taken to compete for all replicas of another one although it may not
// use some of their regions.
func TestCovers(t *testing.T) {
	tests := []struct {
		name    string
		regions Regions
		others  Regions
		want    bool
	}{
		{"both unrestricted", nil, nil, true},
		{"unrestricted", nil, Regions{"west"}, true},
		{"others unrestricted", Regions{"west"}, nil, false},
		{"same in another order", Regions{"west", "east"}, Regions{"east", "west"}, true},
		{"more", Regions{"west", "east"}, Regions{"east"}, true},
		{"fewer", Regions{"west"}, Regions{"east", "west"}, false},
		{"others nowhere", Regions{"west"}, Regions{}, true},
		{"nowhere", Regions{}, Regions{"west"}, false},
	}
	for _, tc := range tests {
		qt.Check(t, tc.regions.Covers(tc.others), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}
