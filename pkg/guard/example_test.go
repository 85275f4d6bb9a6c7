package guard_test

import (
	"errors"
	"fmt"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/guard"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// Orders of a former lease holder are refused, and so are orders of a shard
// whose current epoch is not known yet.
func Example() {
	g := &guard.Guard{}
	order := &messenger.Fence{Shard: "rollouts-0", Epoch: 6}
	var unknown *guard.UnknownEpochError
	fmt.Println("unknown epoch:", errors.As(g.Check(order), &unknown))

	g.RaiseEpochs(map[string]uint64{"rollouts-0": 6})
	fmt.Println("current holder:", g.Check(order))

	g.RaiseEpochs(map[string]uint64{"rollouts-0": 7})
	var stale *adapter.StaleEpochError
	fmt.Println("former holder:", errors.As(g.Check(order), &stale), "highest epoch", stale.Highest)
	// Output:
	// unknown epoch: true
	// current holder: <nil>
	// former holder: true highest epoch 7
}
