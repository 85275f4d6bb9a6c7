// Package ranker orders names by rendezvous hashing (highest random weight),
// so that processes with the same list of names agree on an order for a key
// without communicating. Removing a name moves only the keys it ranked first
// for.
package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxInsertion is the largest n for which Top keeps its scores on the stack.
const maxInsertion = 64

// Score returns the weight of the name for the key.
func Score(key, name string) uint64 {
	return Combine(Hash(key), Hash(name))
}

// Hash returns the hash that Combine takes, for callers that keep the hashes
// of long lists.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Combine returns the weight for the hashes of a key and a name. The mixing
// steps are those of SplitMix64: a plain exclusive or would rank the same
// names first for keys with similar hashes.
func Combine(key, name uint64) uint64 {
	x := key ^ (name<<29 | name>>35)
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

type scored struct {
	name  string
	score uint64
}

// Rank returns the names in order of preference for the key, the most
// preferred first. Equal scores are ordered by name.
func Rank(key string, names []string) []string {
	hash := Hash(key)
	all := make([]scored, len(names))
	for i, name := range names {
		all[i] = scored{name, Combine(hash, Hash(name))}
	}
	slices.SortFunc(all, compare)
	ranked := make([]string, len(all))
	for i := range all {
		ranked[i] = all[i].name
	}
	return ranked
}

// Position returns the number of names that precede self for the key. It does
// not allocate. Self need not be in names.
func Position(key string, names []string, self string) int {
	hash := Hash(key)
	own := scored{self, Combine(hash, Hash(self))}
	position := 0
	for _, name := range names {
		if compare(scored{name, Combine(hash, Hash(name))}, own) < 0 {
			position++
		}
	}
	return position
}

// Top appends the n most preferred names for the key to dst, in order. It does
// not allocate when dst has the capacity and n is at most 64.
//
//	Top(nil, "shard-1", []string{"vm-1", "vm-2", "vm-3"}, 2) // two of the names
func Top(dst []string, key string, names []string, n int) []string {
	n = min(n, len(names))
	if n > maxInsertion {
		return append(dst, Rank(key, names)[:n]...)
	}
	var best [maxInsertion]scored
	count := 0
	hash := Hash(key)
	for _, name := range names {
		s := scored{name, Combine(hash, Hash(name))}
		if count == n && (n == 0 || compare(best[n-1], s) <= 0) {
			continue
		}
		if count < n {
			count++
		}
		i := count - 1
		for i > 0 && compare(s, best[i-1]) < 0 {
			best[i] = best[i-1]
			i--
		}
		best[i] = s
	}
	for i := range count {
		dst = append(dst, best[i].name)
	}
	return dst
}

func compare(a, b scored) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.name, b.name)
}
