// Package advertiser selects the addresses of entry daemons that are advertised to
// callers.
package advertiser

import (
	"github.com/lentilbridge/lentilbridge/internal/coordination/gossiper"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
)

const (
	// maxAddresses is the maximum number of addresses in one answer.
	maxAddresses = 64
	// minPreferred is the minimum number of daemons in the caller's failure domain or
	// region for an answer that contains only these. A caller with a single address
	// would have no other one until its answer expires if that daemon dies.
	minPreferred = 2
)

// Caller is the location of a caller and what it asks for.
type Caller struct {
	FailureDomain string
	Region        string
	// Allowed are the regions that all restricted routes of the host allow.
	Allowed matcher.Regions
}

// Addresses returns the addresses of entry daemons for a caller: those in its failure
// domain, otherwise in its region, otherwise all. Traffic between failure domains is
// billed, and a daemon prefers the replicas in its own failure domain. If the host has restricted routes, daemons in
// regions that are neither allowed nor the caller's are left out, unless no other one is ready.
func Addresses(live []gossiper.Member, c Caller, regionOf func(domain string) string) []string {
	var near, region, all []string
	for _, m := range permitted(live, c, regionOf) {
		all = append(all, m.CallerAddress)
		if m.FailureDomain == c.FailureDomain {
			near = append(near, m.CallerAddress)
		}
		if regionOf(m.FailureDomain) == c.Region {
			region = append(region, m.CallerAddress)
		}
	}
	for _, list := range [][]string{near, region} {
		if len(list) >= minPreferred {
			return list[:min(len(list), maxAddresses)]
		}
	}
	return all[:min(len(all), maxAddresses)]
}

// permitted returns the daemons that are ready and that a caller may be sent to.
func permitted(live []gossiper.Member, c Caller, regionOf func(domain string) string) []gossiper.Member {
	if c.Region == "" {
		c.Region = regionOf(c.FailureDomain)
	}
	var ready, out []gossiper.Member
	for _, m := range live {
		if !m.Ready || m.CallerAddress == "" {
			continue
		}
		ready = append(ready, m)
		region := regionOf(m.FailureDomain)
		if c.Allowed.Allows(region) || region != "" && region == c.Region {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return ready
	}
	return out
}
