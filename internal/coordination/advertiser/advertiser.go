// Package advertiser decides which entry daemons callers are told to use.
package advertiser

import (
	"github.com/lentilbridge/lentilbridge/internal/coordination/gossiper"
)

const (
	// maxAddresses is the most that one answer names.
	maxAddresses = 64
	// minNear is the least number of daemons of the caller's failure domain to
	// name only those. With one, a caller whose daemon dies would have no other
	// until its answer expires.
	minNear = 2
)

// Caller is where a caller is.
type Caller struct {
	FailureDomain string
	Region        string
}

// Addresses returns the addresses of entry daemons for a caller: those of its
// failure domain, else of its region, else all. Bytes between failure domains
// have a price, and a daemon prefers the replicas of its own.
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
		if len(list) >= minNear {
			return list[:min(len(list), maxAddresses)]
		}
	}
	return all[:min(len(all), maxAddresses)]
}
