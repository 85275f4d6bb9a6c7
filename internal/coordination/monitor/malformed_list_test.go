package monitor_test

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/coordination/monitor"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
)

// Guards against a list of entry daemons that another writer left in place of a good one and
// that nobody replaces.
func TestMalformedEntryListStays(t *testing.T) {
	tests := []struct{ name, value string }{
		{"empty", ``},
		{"list", `[]`},
		{"entries of another type", `{"failure-domain":"a1","entries":{}}`},
		{"start out of range", `{"failure-domain":"a1","entries":[{"vm":"x","started-ms":1e400}]}`},
		{"nested", `{"a":` + strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000) + `}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				network := newNetwork()
				objects := &emulator.MemoryObjects{}
				_, err := objects.Create(t.Context(), "entries/a1", []byte(tt.value))
				c.Assert(err, qt.IsNil)
				var nodes []*node
				for _, name := range []string{"entry-a1-0", "entry-a1-1"} {
					nodes = append(nodes, network.start(t, &monitor.Monitor{Self: entryIn("a1", name), API: objects}, "entry-a1-0:1"))
				}
				time.Sleep(2 * time.Minute)
				o, err := objects.Get(t.Context(), "entries/a1")
				c.Assert(err, qt.IsNil)
				var list struct {
					Entries []struct{} `json:"entries"`
				}
				c.Check(json.Unmarshal(o.Value, &list), qt.IsNil)
				c.Check(list.Entries, qt.HasLen, len(nodes))
				stopAll(nodes)
			})
		})
	}
}
