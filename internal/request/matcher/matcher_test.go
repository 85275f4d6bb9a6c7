package matcher

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestMatch guards against a shorter prefix that takes precedence over a longer
// one, and against a prefix that matches a part of a path segment.
func TestMatch(t *testing.T) {
	cfg := &Configuration{Routes: []Route{
		{Name: "short", Host: "A.example", PathPrefix: "/a/"},
		{Name: "long", Host: "a.example", PathPrefix: "/a/b/"},
		{Name: "other", Host: "b.example", PathPrefix: "/"},
	}}
	cfg.Index()
	tests := []struct {
		host, path, want string
	}{
		{"a.example", "/a/x", "short"},
		{"a.example", "/a/b/x", "long"},
		{"a.example", "/a/bc", "short"},
		{"a.example", "/a", ""},
		{"b.example", "/a/b/", "other"},
		{"c.example", "/", ""},
	}
	for _, tc := range tests {
		got := ""
		if r := cfg.Match(tc.host, tc.path); r != nil {
			got = r.Name
		}
		qt.Check(t, got, qt.Equals, tc.want, qt.Commentf("%s%s", tc.host, tc.path))
	}
}

// TestSelectService guards against a traffic split that does not follow the weights.
func TestSelectService(t *testing.T) {
	r := Route{Backends: []Backend{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}}
	tests := []struct {
		u    float64
		want string
	}{
		{0, "x"},
		{0.899, "x"},
		{0.901, "y"},
		{0.999, "y"},
	}
	for _, tc := range tests {
		qt.Check(t, r.SelectService(tc.u), qt.Equals, tc.want)
	}
	none := Route{}
	qt.Check(t, none.SelectService(0.5), qt.Equals, "")
}

// TestTeamByKey guards against a revoked key that is still accepted.
func TestTeamByKey(t *testing.T) {
	cfg := &Configuration{Teams: []Team{{Name: "t", Keys: []string{"k"}}}}
	cfg.Index()
	qt.Assert(t, cfg.TeamByKey("k").Name, qt.Equals, "t")
	qt.Assert(t, cfg.TeamByKey(""), qt.IsNil)
	cfg.Teams[0].Keys = nil
	cfg.Index()
	qt.Assert(t, cfg.TeamByKey("k"), qt.IsNil)
}
