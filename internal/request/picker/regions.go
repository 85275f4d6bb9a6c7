package picker

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
)

// serversPerRegion is how many servers of each region a daemon can use for requests
// that are restricted to it, if the region has as many. The daemon's subset may hold
// none.
const serversPerRegion = 16

// allowed returns the servers on which a request that is restricted to the regions
// may run.
func (pl *pool) allowed(regions matcher.Regions) []*Server {
	if regions == nil {
		return pl.servers
	}
	var allowed []*Server
	for _, servers := range [][]*Server{pl.servers, pl.outside} {
		for _, s := range servers {
			if regions.Allows(s.region) {
				allowed = append(allowed, s)
			}
		}
	}
	return allowed
}

// Reserved returns the part of Capacity at servers outside of the subset, which only restricted requests use.
func (p *Picker) Reserved(t identifier.Target, regions matcher.Regions, now time.Time) int {
	p.applyConfiguration(now)
	pl := p.pool(t)
	if pl == nil || regions == nil {
		return 0
	}
	var allowed []*Server
	for _, s := range pl.outside {
		if regions.Allows(s.region) {
			allowed = append(allowed, s)
		}
	}
	return capacityOf(allowed, now)
}

// selectOutside returns servers that are not in the subset, so that it and they
// together hold serversPerRegion servers of each region.
func selectOutside(self uint64, all, subset []*Server) []*Server {
	held := map[string]int{}
	inSubset := make(map[*Server]bool, len(subset))
	for _, s := range subset {
		held[s.region]++
		inSubset[s] = true
	}
	ranked := slices.Clone(all)
	slices.SortFunc(ranked, func(a, b *Server) int {
		return cmp.Compare(rendezvousScore(self, b.hash), rendezvousScore(self, a.hash))
	})
	var outside []*Server
	for _, s := range ranked {
		if !inSubset[s] && held[s.region] < serversPerRegion {
			held[s.region]++
			outside = append(outside, s)
		}
	}
	return outside
}
