package monitor

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// Guards against registered lists that make a daemon panic, or that make
// members of daemons that nobody has heard.
func FuzzDecodeEntries(f *testing.F) {
	f.Add([]byte(`{"failure-domain":"a2","entries":[{"vm":"e","rpc-address":"10.0.0.1:1","public-address":"10.0.0.1:2","region":"a"}]}`))
	f.Add([]byte(`{"entries":[{"vm":"self","rpc-address":"x"},null]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		now := time.Unix(100, 0)
		m := &Monitor{Self: &messenger.EntryVM{Vm: "self", RpcAddress: "self:1", Region: "a", FailureDomain: "a1"}}
		m.init()
		for _, domain := range []string{"a1", "a2"} {
			m.takeList(adapter.Object{Key: EntriesPrefix + domain, Value: value, Version: 1}, now)
		}
		_ = m.targets(now)
		m.judgeEntries(now.Add(time.Hour))
		if live := m.liveEntries(now); len(live) > 1 {
			t.Fatalf("%q made members: %v", value, live)
		}
	})
}

// TestListedDaemons guards against lists that fill the memory with daemons.
func TestListedDaemons(t *testing.T) {
	m := &Monitor{Self: &messenger.EntryVM{Vm: "self", RpcAddress: "self:1", FailureDomain: "a1"}}
	m.init()
	var list entriesObject
	for i := range 2 * maxListed {
		list.Entries = append(list.Entries, listedEntry{VM: strconv.Itoa(i), RPCAddress: "x:1"})
	}
	value, err := json.Marshal(list)
	qt.Assert(t, err, qt.IsNil)
	m.takeList(adapter.Object{Key: EntriesPrefix + "a2", Value: value}, time.Unix(100, 0))
	qt.Assert(t, m.entries, qt.HasLen, maxListed)
}
