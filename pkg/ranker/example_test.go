package ranker_test

import (
	"fmt"

	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

// Processes with the same list of VMs choose the same VM for a shard. When a VM
// is removed, only its shards move to other VMs.
func Example() {
	vms := []string{"entry-1", "entry-2", "entry-3"}
	shards := []string{"claims-2", "claims-3", "claims-6"}
	for _, shard := range shards {
		all := ranker.Rank(shard, vms)
		without := ranker.Rank(shard, []string{"entry-1", "entry-3"})
		fmt.Println(shard, all[0], "without entry-2:", without[0])
	}
	// Output:
	// claims-2 entry-3 without entry-2: entry-3
	// claims-3 entry-1 without entry-2: entry-1
	// claims-6 entry-2 without entry-2: entry-3
}
