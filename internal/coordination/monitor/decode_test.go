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

// FuzzDecodeEntries guards against lists in the object API that make a daemon
// panic, or that add daemons to the membership without a frame from them.
func FuzzDecodeEntries(f *testing.F) {
	f.Add([]byte(`{"failure-domain":"a2","entries":[{"vm":"e","rpc-address":"10.0.0.1:1","public-address":"10.0.0.1:2","region":"a"}]}`))
	f.Add([]byte(`{"entries":[{"vm":"self","rpc-address":"x"},null]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		now := time.Unix(100, 0)
		m := &Monitor{Self: &messenger.EntryVM{Vm: "self", RpcAddress: "self:1", Region: "a", FailureDomain: "a1"}}
		m.init()
		for _, domain := range []string{"a1", "a2"} {
			m.applyEntryList(adapter.Object{Key: EntriesPrefix + domain, Value: value, Version: 1}, now)
		}
		_ = m.linkTargets(now)
		m.checkEntryLiveness(now.Add(time.Hour))
		if live := m.liveEntries(now); len(live) > 1 {
			t.Fatalf("%q added members without a frame: %v", value, live)
		}
	})
}

// TestListedDaemons guards against memory use that is not bounded when lists
// contain very many daemons.
func TestListedDaemons(t *testing.T) {
	m := &Monitor{Self: &messenger.EntryVM{Vm: "self", RpcAddress: "self:1", FailureDomain: "a1"}}
	m.init()
	var list entriesObject
	for i := range 2 * maxListedEntries {
		list.Entries = append(list.Entries, listedEntry{VM: strconv.Itoa(i), RPCAddress: "x:1"})
	}
	value, err := json.Marshal(list)
	qt.Assert(t, err, qt.IsNil)
	m.applyEntryList(adapter.Object{Key: EntriesPrefix + "a2", Value: value}, time.Unix(100, 0))
	qt.Assert(t, m.entries, qt.HasLen, maxListedEntries)
}
