// Package advertiser selects the addresses of entry daemons that are advertised to
// callers.
package advertiser

import (
	"github.com/lentilbridge/lentilbridge/internal/coordination/gossiper"
)

const (
	// maxAddresses is the maximum number of addresses in one answer.
	maxAddresses = 64
	// minPreferred is the minimum number of daemons in the caller's failure domain or
	// region for an answer that contains only these. A caller with a single address
	// would have no other one until its answer expires if that daemon dies.
	minPreferred = 2
)

// Caller is the location of a caller.
type Caller struct {
	FailureDomain string
	Region        string
}

// Addresses returns the addresses of entry daemons for a caller: those in its failure
// domain, otherwise in its region, otherwise all. Traffic between failure domains is
// billed, and a daemon prefers the replicas in its own failure domain.
func Addresses(live []gossiper.Member, c Caller, regionOf func(domain string) string) []string {
	var near, region, all []string
	for _, m := range live {
		if !m.Ready || m.CallerAddress == "" {
			continue
		}
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
