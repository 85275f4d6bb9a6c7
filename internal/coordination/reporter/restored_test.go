package reporter_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/leaser"
)

// Guards against statuses that stay as a restore of the object API has brought them
// back, or that it has removed.
func TestStatusReturnsAfterRestore(t *testing.T) {
	tests := []struct {
		name string
		// copyAfter is the number of statuses before the copy, of 3.
		copyAfter int
		// newEpoch is set if the holder gets a new lease, as in a store with eras.
		newEpoch bool
	}{
		{"no status in the copy", 0, true},
		{"older status in the copy", 1, true},
		{"same status in the copy", 3, true},
		{"no status in the copy, lease kept", 0, false},
		{"older status in the copy, lease kept", 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				objects := &emulator.FaultyObjects{}
				epoch := make(chan uint64, 1)
				epoch <- 1
				h := startReporter(t, objects, func() (leaser.Lease, bool) {
					e := <-epoch
					epoch <- e
					return leaser.Lease{Epoch: e}, e > 0
				})
				earlier := objects.Copy()
				for n := range 3 {
					h.Put(status("vm-1", uint64(n+1), fmt.Sprint(n+1)))
					h.Put(status(fmt.Sprint("vm-", n+2), 1, ""))
					time.Sleep(5 * time.Second)
					if n+1 == tt.copyAfter {
						earlier = objects.Copy()
					}
				}
				objects.Restore(earlier)
				if tt.newEpoch {
					<-epoch
					epoch <- 0
					time.Sleep(8 * time.Second)
					<-epoch
					epoch <- 1 << 32
				}
				time.Sleep(15 * time.Second)
				docs := documents(t, objects)
				c.Assert(docs, qt.HasLen, 1)
				c.Assert(docs[0].Daemons, qt.HasLen, 4)
				c.Assert(docs[0].Daemons[0].LastOrderError, qt.Equals, "3")
				h.stop()
				<-h.done
			})
		})
	}
}
