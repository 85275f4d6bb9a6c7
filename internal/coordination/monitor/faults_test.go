package monitor_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/coordination/monitor"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// Guards against an isolated daemon that, because no messages reach it, removes the
// other daemons and replicas, and spreads the removals when it is reconnected.
func TestIsolatedDaemonRemovesNoMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		nodes := startDomains(t, network, 4, "a1", "b1")
		a := network.startAgent(t, replicaIn("a1", "replica-1"), nodes[0], nodes[1])
		time.Sleep(30 * time.Second)
		for _, isolated := range nodes[2:5] {
			network.setPartition(func(from, to string) bool { return from == isolated.address || to == isolated.address })
			time.Sleep(2 * time.Minute)
			network.setPartition(nil)
			for range 600 {
				time.Sleep(100 * time.Millisecond)
				for _, d := range nodes {
					if d == isolated {
						continue
					}
					view := viewOf(d, "replica-1")
					c.Assert(view, qt.IsNotNil, qt.Commentf("at %s, %s was isolated", d.address, isolated.address))
					c.Assert(view.Suspect, qt.IsFalse, qt.Commentf("at %s, %s was isolated", d.address, isolated.address))
				}
			}
			for _, d := range nodes {
				c.Assert(d.Entries(time.Now()), qt.HasLen, 8, qt.Commentf("at %s, %s was isolated", d.address, isolated.address))
				c.Assert(viewOf(d, "replica-1"), qt.IsNotNil, qt.Commentf(d.address))
			}
		}
		a.stop()
		stopAll(nodes)
	})
}

// Guards against daemons that do not find each other: without seeds, with
// a list that contains dead daemons, and in two groups that started without
// links between them.
func TestDaemonsFindEachOtherThroughObjectAPI(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		objects := &emulator.FaultyObjects{}
		_, err := objects.Create(t.Context(), "entries/a1", []byte(`{"failure-domain":"a1","entries":[{"vm":"dead","rpc-address":"dead:1","region":"a"}]}`))
		c.Assert(err, qt.IsNil)
		network.setPartition(func(from, to string) bool { return strings.HasSuffix(from, "-1:1") != strings.HasSuffix(to, "-1:1") })
		var nodes []*node
		for _, name := range []string{"entry-a1-0", "entry-a1-1", "entry-a1-2", "entry-b1-0", "entry-b1-1"} {
			nodes = append(nodes, network.start(t, &monitor.Monitor{Self: entryIn(name[6:8], name), API: objects}))
		}
		time.Sleep(time.Minute)
		network.setPartition(nil)
		time.Sleep(3 * time.Minute)
		for _, d := range nodes {
			c.Assert(d.Entries(time.Now()), qt.HasLen, 5, qt.Commentf(d.address))
		}
		list, err := objects.Get(t.Context(), "entries/a1")
		c.Assert(err, qt.IsNil)
		c.Assert(strings.Contains(string(list.Value), "dead"), qt.IsFalse)
		writes := objects.WriteCalls()

		// While nothing changes, nothing is written and only relays read.
		before := objects.TotalCalls()
		time.Sleep(10 * time.Minute)
		c.Assert(objects.TotalCalls()-before <= 5*10*60/20, qt.IsTrue, qt.Commentf("%d calls", objects.TotalCalls()-before))
		c.Assert(objects.WriteCalls(), qt.Equals, writes)
		stopAll(nodes)
	})
}

// Guards against a burst of calls when the object API returns after an hour of
// outage.
func TestRegistrationDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		objects := &emulator.FaultyObjects{}
		objects.SetFault(func(string, string) emulator.Fault { return emulator.FaultDown })
		var nodes []*node
		for _, name := range []string{"entry-a1-0", "entry-a1-1", "entry-b1-0"} {
			nodes = append(nodes, network.start(t, &monitor.Monitor{Self: entryIn(name[6:8], name), API: objects}, "entry-a1-0:1"))
		}
		time.Sleep(time.Minute)
		for _, d := range nodes {
			c.Assert(d.Entries(time.Now()), qt.HasLen, 3)
		}
		before := objects.TotalCalls()
		time.Sleep(time.Hour)
		c.Assert(objects.TotalCalls()-before < 3*3600/10, qt.IsTrue, qt.Commentf("%d calls", objects.TotalCalls()-before))
		objects.SetFault(nil)
		before = objects.TotalCalls()
		time.Sleep(30 * time.Second)
		c.Assert(objects.TotalCalls()-before < 30, qt.IsTrue, qt.Commentf("%d calls", objects.TotalCalls()-before))
		for _, domain := range []string{"a1", "b1"} {
			_, err := objects.Get(t.Context(), "entries/"+domain)
			c.Assert(err, qt.IsNil)
		}
		stopAll(nodes)
	})
}

// fakeVMList is a VM list that tests set.
type fakeVMList struct {
	mu  sync.Mutex
	vms []adapter.ListedVM
}

func (f *fakeVMList) List(context.Context) ([]adapter.ListedVM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms, nil
}

func (f *fakeVMList) set(vms ...adapter.ListedVM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = vms
}

// Guards against a hint that does not reach the agent, and against a list that
// lags behind a restart and drains the new agent.
func TestLaggingVMListHintsOnlyLeavingAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		list := &fakeVMList{}
		var nodes []*node
		for _, name := range []string{"entry-a1-0", "entry-a1-1", "entry-a1-2", "entry-a1-3"} {
			nodes = append(nodes, network.start(t, &monitor.Monitor{Self: entryIn("a1", name), VMList: list}, "entry-a1-0:1"))
		}
		first := network.startAgent(t, replicaIn("a1", "vm-1"), nodes...)
		time.Sleep(20 * time.Second)
		c.Assert(first.notice(nodes[0]).GetDrainHint(), qt.IsFalse)
		list.set(adapter.ListedVM{VM: "vm-1", Leaving: true})
		time.Sleep(25 * time.Second)
		for _, d := range nodes {
			c.Assert(first.notice(d).GetDrainHint(), qt.IsTrue, qt.Commentf(d.address))
		}
		first.stop()
		next := replicaIn("a1", "vm-1")
		next.Incarnation, next.StartedMs = "second", 2
		second := network.startAgent(t, next, nodes...)
		time.Sleep(time.Minute)
		for _, d := range nodes {
			c.Assert(second.notice(d).GetDrainHint(), qt.IsFalse, qt.Commentf(d.address))
		}
		second.stop()
		stopAll(nodes)
	})
}

// Guards against an agent that stays drained because of the VM list: either it
// replaced another agent before the lagging list marked that one as leaving, or
// the list no longer marks its VM.
func TestHintOfVMListIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		list := &fakeVMList{}
		var nodes []*node
		for _, name := range []string{"entry-a1-0", "entry-a1-1", "entry-a1-2", "entry-a1-3"} {
			nodes = append(nodes, network.start(t, &monitor.Monitor{Self: entryIn("a1", name), VMList: list}, "entry-a1-0:1"))
		}
		old := network.startAgent(t, replicaIn("a1", "vm-1"), nodes...)
		time.Sleep(10 * time.Second)
		fresh := replicaIn("a1", "vm-2")
		fresh.StartedMs = time.Now().UnixMilli()
		replacement := network.startAgent(t, fresh, nodes...)
		time.Sleep(time.Second)
		hinted := func(a *agent) (n int) {
			for _, d := range nodes {
				if a.notice(d).GetDrainHint() {
					n++
				}
			}
			return n
		}
		list.set(adapter.ListedVM{VM: "vm-1", Leaving: true}, adapter.ListedVM{VM: "vm-2", Leaving: true})
		time.Sleep(25 * time.Second)
		c.Assert(hinted(old), qt.Equals, len(nodes))
		c.Assert(hinted(replacement), qt.Equals, 0)
		time.Sleep(2 * time.Minute)
		c.Assert(hinted(replacement), qt.Equals, 0)
		list.set(adapter.ListedVM{VM: "vm-1"}, adapter.ListedVM{VM: "vm-2"})
		time.Sleep(25 * time.Second)
		c.Assert(hinted(old), qt.Equals, 0)
		list.set(adapter.ListedVM{VM: "vm-1"}, adapter.ListedVM{VM: "vm-2", Leaving: true})
		time.Sleep(25 * time.Second)
		c.Assert(hinted(replacement), qt.Equals, len(nodes))
		old.stop()
		replacement.stop()
		stopAll(nodes)
	})
}

// callbackRecorder records the arguments of the monitors' callbacks.
type callbackRecorder struct {
	mu         sync.Mutex
	leases     map[string]uint64
	revisions  map[string]uint64
	statuses   map[string]int
	suspicions map[string]int
}

func (x *callbackRecorder) update(change func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	change()
}

// Guards against suspicions, leases, revisions and statuses that do not reach
// their destinations or are delivered repeatedly.
func TestBroadcastsReachTheirDestinations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		seen := &callbackRecorder{leases: map[string]uint64{}, revisions: map[string]uint64{}, statuses: map[string]int{}, suspicions: map[string]int{}}
		var nodes []*node
		for _, name := range []string{"entry-a1-0", "entry-a1-1", "entry-a1-2", "entry-a1-3", "entry-b1-0", "entry-b1-1", "entry-b1-2"} {
			m := &monitor.Monitor{
				Self:       entryIn(name[6:8], name),
				OnRevision: func(revision uint64, _ string) { seen.update(func() { seen.revisions[name] = revision }) },
				OnLeases: func(facts []*messenger.LeaseFact) {
					seen.update(func() { seen.leases[name] = facts[0].GetEpoch() })
				},
				OnStatus: func(s *messenger.DaemonStatus) { seen.update(func() { seen.statuses[name+" "+s.GetVm()]++ }) },
				OnSuspicions: func(suspicions []*messenger.Suspicion) {
					seen.update(func() { seen.suspicions[name] += len(suspicions) })
				},
			}
			if name == "entry-b1-2" {
				m.Revision = func() uint64 { return 7 }
				m.Leases = func() []*messenger.LeaseFact {
					return []*messenger.LeaseFact{{Shard: "status-a", Holder: "entry-b1-2", Epoch: 4}}
				}
			}
			nodes = append(nodes, network.start(t, m, "entry-a1-0:1"))
		}
		a := network.startAgent(t, replicaIn("a1", "replica-1"), nodes[0], nodes[1])
		time.Sleep(30 * time.Second)
		nodes[1].BroadcastSuspicions([]*messenger.Suspicion{{Fingerprint: "f", Sequence: 1}})
		time.Sleep(3 * time.Second)
		seen.update(func() {
			for _, d := range nodes {
				name := d.Self.GetVm()
				if name != "entry-b1-2" {
					c.Assert(seen.leases[name], qt.Equals, uint64(4), qt.Commentf(name))
				}
				if name != "entry-a1-1" {
					c.Assert(seen.suspicions[name], qt.Equals, 1, qt.Commentf(name))
				}
			}
			c.Assert(seen.statuses["entry-b1-2 replica-1"] >= 1, qt.IsTrue)
			c.Assert(seen.statuses, qt.HasLen, 1)
		})
		c.Assert(a.notice(nodes[0]).GetRevision(), qt.Equals, uint64(0))
		a.stop()
		stopAll(nodes)
	})
}
