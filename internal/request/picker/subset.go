package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultSubset is how many replicas of a target one entry daemon uses. It
// bounds the load reports that the daemon receives.
const DefaultSubset = 64

// Near is a replica as seen by Subset: its VM and its distance to the entry
// daemon (0 same failure domain, 1 same region, 2 elsewhere).
type Near struct {
	VM       string
	Distance int
}

// Subset returns the indexes of the replicas that the entry daemon on VM self
// uses: rendezvous hashing with half of the places for its failure domain and
// a quarter for its region, so that near replicas are preferred and others
// remain when the near ones fail.
func Subset(self string, replicas []Near, size int) []int {
	ranked := make([]rank, len(replicas))
	hash := xxhash.Sum64String(self)
	for i, r := range replicas {
		ranked[i] = rank{index: i, distance: r.Distance, score: mix(hash, xxhash.Sum64String(r.VM))}
	}
	return take(ranked, size)
}

type rank struct {
	index    int
	distance int
	score    uint64
}

func subset(self uint64, servers []*Server, size int) []*Server {
	ranked := make([]rank, len(servers))
	for i, s := range servers {
		ranked[i] = rank{index: i, distance: s.distance, score: mix(self, s.hash)}
	}
	chosen := make([]*Server, 0, min(size, len(servers)))
	for _, i := range take(ranked, size) {
		chosen = append(chosen, servers[i])
	}
	slices.SortStableFunc(chosen, func(a, b *Server) int { return cmp.Compare(a.distance, b.distance) })
	return chosen
}

// take returns the indexes of the chosen ones, highest score first.
func take(ranked []rank, size int) []int {
	slices.SortFunc(ranked, func(a, b rank) int { return cmp.Compare(b.score, a.score) })
	quota := [distances]int{size / 2, size / 4, size - size/2 - size/4}
	var chosen, rest []int
	for _, r := range ranked {
		if quota[r.distance] > 0 {
			quota[r.distance]--
			chosen = append(chosen, r.index)
		} else {
			rest = append(rest, r.index)
		}
	}
	free := max(size-len(chosen), 0)
	return append(chosen, rest[:min(free, len(rest))]...)
}
