package ranker_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

func names(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("vm-%d", i)
	}
	return all
}

// Guards against Top and Position that disagree with Rank, so that two daemons
// would compute different owners for a key.
func TestTopAndPositionAgreeWithRank(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{0, 1, 5, 100} {
		for _, n := range []int{0, 1, 3, 64, 80} {
			key := fmt.Sprintf("key-%d-%d", size, n)
			all := names(size)
			ranked := ranker.Rank(key, all)
			want := ranked[:min(n, size)]
			got := ranker.Top([]string{}, key, all, n)
			c.Assert(got, qt.DeepEquals, want, qt.Commentf("size %d, n %d", size, n))
			for i, name := range ranked {
				c.Assert(ranker.Position(key, all, name), qt.Equals, i)
			}
		}
	}
}

// Guards against a hash that ranks some names first for many more keys than
// others.
func TestFirstRanksAreBalanced(t *testing.T) {
	c := qt.New(t)
	counts := map[string]int{}
	all := names(10)
	for i := range 10_000 {
		counts[ranker.Top(nil, fmt.Sprintf("shard-%d", i), all, 1)[0]]++
	}
	for _, name := range all {
		c.Assert(counts[name] > 850 && counts[name] < 1150, qt.IsTrue, qt.Commentf("%s: %d", name, counts[name]))
	}
}

// Guards against memory allocation whenever a replica is picked.
func TestTopDoesNotAllocate(t *testing.T) {
	c := qt.New(t)
	all := names(4300)
	dst := make([]string, 0, 64)
	c.Assert(testing.AllocsPerRun(10, func() { ranker.Top(dst, "model", all, 64) }), qt.Equals, 0.0)
}
