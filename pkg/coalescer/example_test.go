package coalescer_test

import (
	"fmt"

	"github.com/lentilbridge/lentilbridge/pkg/coalescer"
)

// A reader that is slower than the writer gets the newest load of each replica
// and skips older ones.
func Example() {
	var loads coalescer.Queue[string, string]
	loads.Put("replica-1", "replica-1 queues 3")
	loads.Put("replica-2", "replica-2 queues 0")
	loads.Put("replica-1", "replica-1 queues 9")

	<-loads.Ready()
	for _, load := range loads.Take(nil, 10) {
		fmt.Println(load)
	}
	// Output:
	// replica-1 queues 9
	// replica-2 queues 0
}
