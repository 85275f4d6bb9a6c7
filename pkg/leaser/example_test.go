package leaser_test

import (
	"context"
	"fmt"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/leaser"
)

// A process acquires the lease of a shard and does the shard's work under the
// lease's epoch. It calls Held again after each blocking step.
func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := &leaser.Leaser{API: &emulator.MemoryObjects{}, VM: "vm-1", Shards: []string{"clean-up"}}
	go l.Run(ctx)
	for {
		changed := l.Changed()
		if lease, held := l.Held("clean-up", time.Now()); held {
			fmt.Println("work on", lease.Shard, "with epoch", lease.Epoch)
			break
		}
		<-changed
	}
	_, held := l.Held("clean-up", time.Now().Add(leaser.DefaultDuration))
	fmt.Println("held without renewal:", held)
	// Output:
	// work on clean-up with epoch 1
	// held without renewal: false
}
