package advertiser

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/coordination/gossiper"
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
