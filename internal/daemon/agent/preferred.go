package agent

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// candidate is an entry daemon with its sort keys in the order of preference.
type candidate struct {
	address  string
	distance int
	score    uint64
}

const (
	sameFailureDomain = iota
	sameRegion
	anyRegion
	// unknownLocation is for seeds that are not in the list of entry daemons.
	unknownLocation
	leavingEntry
)

// preferredEntries returns the RPC addresses of entry daemons in order of
// preference: those of the same failure domain, of the same region, all others,
// seeds that are not among the entries, and entries that are leaving. Within
// each group they are in rendezvous order, which spreads the agents.
func preferredEntries(vm, region, failureDomain string, entries []*messenger.EntryVM, seeds []string) []string {
	seen := map[string]bool{}
	var candidates []candidate
	for _, e := range entries {
		if e.GetRpcAddress() == "" || seen[e.GetRpcAddress()] {
			continue
		}
		seen[e.GetRpcAddress()] = true
		candidates = append(candidates, candidate{e.GetRpcAddress(), distance(region, failureDomain, e), rendezvousScore(vm, e.GetVm())})
	}
	for _, seed := range seeds {
		if !seen[seed] {
			candidates = append(candidates, candidate{seed, unknownLocation, rendezvousScore(vm, seed)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
	})
	addresses := make([]string, len(candidates))
	for i, c := range candidates {
		addresses[i] = c.address
	}
	return addresses
}

func distance(region, failureDomain string, e *messenger.EntryVM) int {
	switch {
	case e.GetLeaving():
		return leavingEntry
	case e.GetRegion() == region && e.GetFailureDomain() == failureDomain:
		return sameFailureDomain
	case e.GetRegion() == region:
		return sameRegion
	}
	return anyRegion
}

func rendezvousScore(vm, entry string) uint64 {
	return xxhash.Sum64String(vm + "\x00" + entry)
}
