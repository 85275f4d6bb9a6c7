package leaser_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

// Guards against an epoch that is given out twice, two holders at a time, and a
// lease without a holder after a restore of the store.
func TestRestoredStoreGivesNoEpochTwice(t *testing.T) {
	const shard = "rollouts-0"
	tests := []struct {
		name string
		// copyAt is the number of acquisitions in the copy, of 2.
		copyAt   int
		outage   time.Duration
		restores int
		// replace ends all daemons with the restore and starts others.
		replace bool
		// join starts another daemon after the restore, which prefers itself.
		join bool
	}{
		{"copy before the first lease", 0, 0, 1, false, false},
		{"copy with the former holder", 1, 0, 1, false, false},
		{"copy with the holder", 2, 0, 1, false, false},
		{"outage", 1, 3 * time.Second, 1, false, false},
		{"long outage", 1, time.Minute, 1, false, false},
		{"two restores", 1, 3 * time.Second, 2, false, false},
		{"new daemons", 1, 0, 1, true, false},
		{"new daemons, copy before the first lease", 0, 0, 1, true, false},
		{"joining daemon, copy before the first lease", 0, 0, 1, false, true},
		{"joining daemon, copy with the former holder", 1, 0, 1, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				objects := &emulator.MemoryObjects{}
				vms := ranker.Rank("lease/"+shard, []string{"vm-1", "vm-2", "vm-3"})
				running := map[string]*daemon{}
				holders := map[uint64]string{}
				var highest uint64
				watch := func(d time.Duration) (held bool) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
						held = false
						for vm, daemon := range running {
							lease, ok := daemon.Held(shard, time.Now())
							if !ok {
								continue
							}
							c.Assert(held, qt.IsFalse, qt.Commentf("two holders"))
							held = true
							if holders[lease.Epoch] == "" {
								holders[lease.Epoch] = vm
							}
							c.Assert(holders[lease.Epoch], qt.Equals, vm, qt.Commentf("epoch %d", lease.Epoch))
							highest = max(highest, lease.Epoch)
						}
					}
					return held
				}
				copies := []emulator.ObjectCopy{objects.Copy()}
				for _, vm := range vms {
					running[vm] = start(t, objects, vm, vms, shard)
				}
				c.Assert(watch(10*time.Second), qt.IsTrue)
				copies = append(copies, objects.Copy())
				running[vms[0]].stop()
				delete(running, vms[0])
				c.Assert(watch(10*time.Second), qt.IsTrue)
				copies = append(copies, objects.Copy())
				before := highest

				for range test.restores {
					objects.SetDown(true)
					watch(test.outage)
					objects.Restore(copies[test.copyAt])
					objects.SetDown(false)
				}
				if test.replace {
					for vm, daemon := range running {
						daemon.cancel()
						delete(running, vm)
					}
					for _, vm := range []string{"vm-4", "vm-5"} {
						running[vm] = start(t, objects, vm, []string{"vm-4", "vm-5"}, shard)
					}
				}
				if test.join {
					running["vm-4"] = start(t, objects, "vm-4", []string{"vm-4"}, shard)
				}
				c.Assert(watch(30*time.Second), qt.IsTrue)
				c.Assert(highest > before, qt.IsTrue, qt.Commentf("epoch %d after %d", highest, before))
				for _, daemon := range running {
					daemon.stop()
				}
			})
		})
	}
}
