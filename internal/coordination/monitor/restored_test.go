package monitor_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/coordination/monitor"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
)

// Guards against a list of entry daemons that a restore of the object API has removed
// or set back, and that nobody writes again.
func TestEntryListReturnsAfterRestore(t *testing.T) {
	tests := []struct {
		name string
		// listed is the number of daemons that the copy lists, of 3. With 0 it has no
		// list.
		listed int
		// joins is set if a daemon starts after the restore.
		joins bool
	}{
		{"no list in the copy", 0, false},
		{"no list in the copy, daemon starts later", 0, true},
		{"shorter list in the copy", 1, false},
		{"shorter list in the copy, daemon starts later", 1, true},
		{"same list in the copy", 3, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				network := newNetwork()
				objects := &emulator.MemoryObjects{}
				earlier := objects.Copy()
				var nodes []*node
				start := func(name string) {
					nodes = append(nodes, network.start(t, &monitor.Monitor{Self: entryIn("a1", name), API: objects}, "entry-a1-0:1"))
					time.Sleep(time.Minute)
					if len(nodes) == tt.listed {
						earlier = objects.Copy()
					}
				}
				for _, name := range []string{"entry-a1-0", "entry-a1-1", "entry-a1-2"} {
					start(name)
				}
				objects.Restore(earlier)
				// Other writes use the versions again.
				for _, key := range []string{"x", "y", "z"} {
					_, err := objects.Create(t.Context(), key, nil)
					c.Assert(err, qt.IsNil)
				}
				if tt.joins {
					start("entry-a1-3")
				}
				time.Sleep(time.Minute)
				o, err := objects.Get(t.Context(), "entries/a1")
				c.Assert(err, qt.IsNil)
				var list struct {
					Entries []struct{} `json:"entries"`
				}
				c.Assert(json.Unmarshal(o.Value, &list), qt.IsNil)
				c.Assert(list.Entries, qt.HasLen, len(nodes))
				stopAll(nodes)
			})
		})
	}
}
