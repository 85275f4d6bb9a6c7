package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultSubsetSize is the number of replicas of a target that one entry daemon
// uses. It limits the load reports that the daemon receives.
const DefaultSubsetSize = 64

// SubsetReplica is a replica in the input of Subset: its VM and its distance to
// the entry daemon (0 same failure domain, 1 same region, 2 elsewhere).
type SubsetReplica struct {
	VM       string
	Distance int
}

// Subset returns the indexes of the replicas that the entry daemon on VM self
// uses. It ranks them by rendezvous hashing and reserves half of the subset for
// replicas of the daemon's failure domain and a quarter for others of its region,
// so that near replicas are preferred and farther ones remain if those fail.
func Subset(self string, replicas []SubsetReplica, size int) []int {
	ranked := make([]rankedReplica, len(replicas))
	hash := xxhash.Sum64String(self)
	for i, r := range replicas {
		ranked[i] = rankedReplica{index: i, distance: r.Distance, score: rendezvousScore(hash, xxhash.Sum64String(r.VM))}
	}
	return selectByQuota(ranked, size)
}

// rankedReplica is the index of a replica in the input with its rendezvous score.
type rankedReplica struct {
	index    int
	distance int
	score    uint64
}

// selectSubset returns the servers of the subset, sorted by distance.
func selectSubset(self uint64, servers []*Server, size int) []*Server {
	ranked := make([]rankedReplica, len(servers))
	for i, s := range servers {
		ranked[i] = rankedReplica{index: i, distance: s.distance, score: rendezvousScore(self, s.hash)}
	}
	chosen := make([]*Server, 0, min(size, len(servers)))
	for _, i := range selectByQuota(ranked, size) {
		chosen = append(chosen, servers[i])
	}
	slices.SortStableFunc(chosen, func(a, b *Server) int { return cmp.Compare(a.distance, b.distance) })
	return chosen
}

// selectByQuota returns the indexes of up to size replicas: first those within
// the quota of their distance, then the others, each by descending score.
func selectByQuota(ranked []rankedReplica, size int) []int {
	slices.SortFunc(ranked, func(a, b rankedReplica) int { return cmp.Compare(b.score, a.score) })
	quota := [numDistances]int{size / 2, size / 4, size - size/2 - size/4}
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
