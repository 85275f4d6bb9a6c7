// Package ranker orders names by rendezvous hashing (highest random weight).
// Processes with the same list of names compute the same order for a key
// without communication. Removing a name changes the first choice only of the
// keys for which that name was first.
package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxStackScores is the largest n for which Top keeps its scores on the stack.
const maxStackScores = 64

// Score returns the weight of the name for the key.
func Score(key, name string) uint64 {
	return Combine(Hash(key), Hash(name))
}

// Hash returns the hash of a key or name for Combine. Callers can cache the
// hashes of long lists.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Combine returns the weight for the hashes of a key and a name. It applies the
// mixing function of SplitMix64, because a plain exclusive or would rank the
// same names first for keys with similar hashes.
func Combine(key, name uint64) uint64 {
	x := key ^ (name<<29 | name>>35)
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

type scoredName struct {
	name  string
	score uint64
}

// Rank returns the names in order of preference for the key, most preferred
// first. Names with equal scores are ordered alphabetically.
func Rank(key string, names []string) []string {
	hash := Hash(key)
	all := make([]scoredName, len(names))
	for i, name := range names {
		all[i] = scoredName{name, Combine(hash, Hash(name))}
	}
	slices.SortFunc(all, compareScores)
	ranked := make([]string, len(all))
	for i := range all {
		ranked[i] = all[i].name
	}
	return ranked
}

// Position returns the number of names that precede self in the order for the
// key. self need not be in names. Position does not allocate.
func Position(key string, names []string, self string) int {
	hash := Hash(key)
	own := scoredName{self, Combine(hash, Hash(self))}
	position := 0
	for _, name := range names {
		if compareScores(scoredName{name, Combine(hash, Hash(name))}, own) < 0 {
			position++
		}
	}
	return position
}

// Top appends the n most preferred names for the key to dst, in order. It does
// not allocate when dst has sufficient capacity and n is at most 64.
//
//	Top(nil, "shard-1", []string{"vm-1", "vm-2", "vm-3"}, 2) // two of the names
func Top(dst []string, key string, names []string, n int) []string {
	n = min(n, len(names))
	if n > maxStackScores {
		return append(dst, Rank(key, names)[:n]...)
	}
	var best [maxStackScores]scoredName
	count := 0
	hash := Hash(key)
	for _, name := range names {
		s := scoredName{name, Combine(hash, Hash(name))}
		if count == n && (n == 0 || compareScores(best[n-1], s) <= 0) {
			continue
		}
		if count < n {
			count++
		}
		i := count - 1
		for i > 0 && compareScores(s, best[i-1]) < 0 {
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

// compareScores orders names by descending score, then alphabetically.
func compareScores(a, b scoredName) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.name, b.name)
}
