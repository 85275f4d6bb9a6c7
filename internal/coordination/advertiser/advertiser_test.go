package advertiser

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/coordination/gossiper"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
)

// TestAddresses guards against advertising draining daemons, and against an answer
// with a single address when other daemons are available.
func TestAddresses(t *testing.T) {
	member := func(name, domain string, ready bool) gossiper.Member {
		return gossiper.Member{VM: name, FailureDomain: domain, CallerAddress: name, Ready: ready}
	}
	regions := func(domain string) string { return domain[:1] }
	tests := []struct {
		name string
		live []gossiper.Member
		want []string
	}{
		{"own failure domain", []gossiper.Member{member("1", "a1", true), member("2", "a1", true), member("3", "b1", true)}, []string{"1", "2"}},
		{"region when one is left", []gossiper.Member{member("1", "a1", true), member("2", "a2", true), member("3", "b1", true)}, []string{"1", "2"}},
		{"all when the region has one", []gossiper.Member{member("1", "a1", true), member("2", "a1", false), member("3", "b1", true)}, []string{"1", "3"}},
		{"none ready", []gossiper.Member{member("1", "a1", false)}, nil},
	}
	for _, tc := range tests {
		got := Addresses(tc.live, Caller{FailureDomain: "a1", Region: "a"}, regions)
		qt.Check(t, got, qt.DeepEquals, tc.want, qt.Commentf(tc.name))
	}
}

// TestRestrictedAddresses guards against a caller of a host with restricted routes that is sent to a region which is
// neither allowed nor its own, and against an answer without an address.
func TestRestrictedAddresses(t *testing.T) {
	member := func(name, domain string, ready bool) gossiper.Member {
		return gossiper.Member{VM: name, FailureDomain: domain, CallerAddress: name, Ready: ready}
	}
	regions := func(domain string) string {
		if domain == "x1" {
			return ""
		}
		return domain[:1]
	}
	all := []gossiper.Member{member("1", "a1", true), member("2", "b1", true), member("3", "b1", true), member("4", "c1", true), member("5", "x1", true)}
	tests := []struct {
		name string
		live []gossiper.Member
		Caller
		want []string
	}{
		{"unrestricted", all, Caller{FailureDomain: "a1", Region: "a"}, []string{"1", "2", "3", "4", "5"}},
		{"allowed region and the caller's", all, Caller{FailureDomain: "a1", Region: "a", Allowed: matcher.Regions{"b"}}, []string{"1", "2", "3"}},
		{"the caller's region is allowed", all, Caller{FailureDomain: "b1", Region: "b", Allowed: matcher.Regions{"b"}}, []string{"2", "3"}},
		{"the caller's region has no daemon", all, Caller{FailureDomain: "d1", Region: "d", Allowed: matcher.Regions{"c"}}, []string{"4"}},
		{"no region allowed", all, Caller{FailureDomain: "a1", Region: "a", Allowed: matcher.Regions{}}, []string{"1"}},
		{"region not reported", all, Caller{FailureDomain: "a1", Allowed: matcher.Regions{"c"}}, []string{"1", "4"}},
		{"place not known", all, Caller{FailureDomain: "x1", Allowed: matcher.Regions{"c"}}, []string{"4"}},
		{"none permitted", all, Caller{FailureDomain: "d1", Region: "d", Allowed: matcher.Regions{"e"}}, []string{"1", "2", "3", "4", "5"}},
		{"permitted ones not ready", []gossiper.Member{member("1", "a1", true), member("4", "c1", false)}, Caller{FailureDomain: "d1", Region: "d", Allowed: matcher.Regions{"c"}}, []string{"1"}},
	}
	for _, tc := range tests {
		qt.Check(t, Addresses(tc.live, tc.Caller, regions), qt.DeepEquals, tc.want, qt.Commentf(tc.name))
	}
}
