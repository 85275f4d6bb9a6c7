package monitor_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/coordination/monitor"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

func entryIn(domain, vm string) *messenger.EntryVM {
	return &messenger.EntryVM{
		Vm: vm, RpcAddress: vm + ":1", PublicAddress: vm + ":2", Region: domain[:1], FailureDomain: domain,
	}
}

func replicaIn(domain, vm string) *messenger.Replica {
	return &messenger.Replica{
		Vm: vm, Address: vm + ":1", Region: domain[:1], FailureDomain: domain, Fleet: "f", Model: "m",
		Incarnation: vm + "-first", StartedMs: 1, Sequence: 1, State: messenger.ReplicaState_REPLICA_STATE_READY,
	}
}

// startDomains starts n daemons in each failure domain; the first is the seed.
func startDomains(t *testing.T, network *network, n int, domains ...string) []*node {
	var nodes []*node
	for _, domain := range domains {
		for i := range n {
			m := &monitor.Monitor{Self: entryIn(domain, fmt.Sprintf("entry-%s-%d", domain, i))}
			nodes = append(nodes, network.start(t, m, "entry-"+domains[0]+"-0:1"))
		}
	}
	return nodes
}

func stopAll(nodes []*node) {
	for _, d := range nodes {
		d.stop()
	}
}

func viewOf(d *node, vm string) *monitor.ReplicaView {
	for _, view := range d.Replicas(time.Now()) {
		if view.Replica.GetVm() == vm {
			return &view
		}
	}
	return nil
}

// relaysOf returns the relays of a failure domain as the daemons compute them.
func relaysOf(nodes []*node, domain string) []string {
	var names []string
	for _, d := range nodes {
		if d.Self.GetFailureDomain() == domain {
			names = append(names, d.Self.GetVm())
		}
	}
	return ranker.Top(nil, "relay/"+domain, names, 2)
}

// Guards against records that do not reach every daemon, and load that does not
// reach the daemons whose subset contains the replica.
func TestEveryDaemonLearnsReplicasAndLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		nodes := startDomains(t, network, 4, "a1", "a2", "b1")
		a := network.startAgent(t, replicaIn("b1", "replica-1"), nodes[8], nodes[9])
		time.Sleep(30 * time.Second)
		for _, d := range nodes {
			c.Assert(d.Entries(time.Now()), qt.HasLen, 12)
			view := viewOf(d, "replica-1")
			c.Assert(view, qt.IsNotNil)
			c.Assert(view.Suspect, qt.IsFalse)
			c.Assert(view.Load, qt.IsNotNil, qt.Commentf(d.address))
			c.Assert(time.Since(view.LoadTime) < 10*time.Second, qt.IsTrue)
		}
		a.stop()
		stopAll(nodes)
	})
}

// Guards against a failure domain that is isolated when both of its relays
// die, and against dead daemons that stay in the membership.
func TestRelayDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		nodes := startDomains(t, network, 4, "a1", "b1")
		time.Sleep(20 * time.Second)
		dead := relaysOf(nodes, "a1")
		var holders, rest []*node
		for _, d := range nodes {
			switch {
			case d.Self.GetVm() == dead[0] || d.Self.GetVm() == dead[1]:
				d.stop()
			case d.Self.GetFailureDomain() == "a1":
				holders = append(holders, d)
				rest = append(rest, d)
			default:
				rest = append(rest, d)
			}
		}
		a := network.startAgent(t, replicaIn("a1", "replica-1"), holders...)
		time.Sleep(removalTime)
		for _, d := range rest {
			view := viewOf(d, "replica-1")
			c.Assert(view, qt.IsNotNil, qt.Commentf(d.address))
			c.Assert(view.Suspect, qt.IsFalse)
			c.Assert(view.Load, qt.IsNotNil)
			c.Assert(d.Entries(time.Now()), qt.HasLen, 6, qt.Commentf(d.address))
		}
		a.stop()
		stopAll(rest)
	})
}

// removalTime is the time in which a silent daemon or replica is removed and
// every daemon learns of it.
const removalTime = monitor.RemoveAfter + 10*time.Second

// Guards against three failures of a region that is partitioned for an hour: it
// does not rejoin, it still lists replicas that are unreachable on the other
// side, or replicas that died meanwhile are restored by stale records from the
// other side.
func TestPartitionedRegionRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		nodes := startDomains(t, network, 3, "a1", "b1")
		stays := network.startAgent(t, replicaIn("a1", "stays"), nodes[0], nodes[1])
		dies := network.startAgent(t, replicaIn("a1", "dies"), nodes[0], nodes[1])
		remote := network.startAgent(t, replicaIn("b1", "far"), nodes[3], nodes[4])
		time.Sleep(30 * time.Second)
		for _, d := range nodes {
			c.Assert(d.Replicas(time.Now()), qt.HasLen, 3)
		}

		network.setPartition(func(from, to string) bool {
			return strings.HasPrefix(from, "entry") && strings.HasPrefix(to, "entry") && from[6] != to[6]
		})
		dies.stop()
		time.Sleep(8 * time.Second)
		c.Assert(viewOf(nodes[3], "stays").Suspect, qt.IsTrue)
		c.Assert(viewOf(nodes[0], "stays").Suspect, qt.IsFalse)
		time.Sleep(time.Hour)
		c.Assert(viewOf(nodes[3], "stays"), qt.IsNil)
		c.Assert(viewOf(nodes[3], "far").Suspect, qt.IsFalse)
		c.Assert(viewOf(nodes[0], "dies"), qt.IsNil)

		network.setPartition(nil)
		returned := false
		for range 60 {
			time.Sleep(time.Second)
			returned = returned || viewOf(nodes[0], "dies") != nil
		}
		c.Assert(returned, qt.IsFalse)
		for _, d := range nodes {
			c.Assert(d.Entries(time.Now()), qt.HasLen, 6, qt.Commentf(d.address))
			c.Assert(viewOf(d, "dies"), qt.IsNil, qt.Commentf(d.address))
			for _, vm := range []string{"stays", "far"} {
				c.Assert(viewOf(d, vm), qt.IsNotNil, qt.Commentf("%s at %s", vm, d.address))
				c.Assert(viewOf(d, vm).Suspect, qt.IsFalse, qt.Commentf("%s at %s", vm, d.address))
			}
		}
		stays.stop()
		remote.stop()
		stopAll(nodes)
	})
}

// Guards against a dead agent that stays in the directory, a slow one that does
// not return after its removal, and a new incarnation that is replaced by
// delayed records of the old one.
func TestDeadSlowAndRestartedAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		nodes := startDomains(t, network, 3, "a1", "b1")
		slow := network.startAgent(t, replicaIn("a1", "slow"), nodes[0], nodes[1])
		dies := network.startAgent(t, replicaIn("a1", "dies"), nodes[0], nodes[1])
		restarts := network.startAgent(t, replicaIn("a1", "restarts"), nodes[0], nodes[1])
		time.Sleep(20 * time.Second)
		dies.stop()
		slow.setSilent(true)
		time.Sleep(10 * time.Second)
		for _, d := range nodes {
			c.Assert(viewOf(d, "dies").Suspect, qt.IsTrue, qt.Commentf(d.address))
			c.Assert(viewOf(d, "slow").Suspect, qt.IsTrue, qt.Commentf(d.address))
			c.Assert(viewOf(d, "restarts").Suspect, qt.IsFalse, qt.Commentf(d.address))
		}
		time.Sleep(15 * time.Second)
		for _, d := range nodes {
			c.Assert(viewOf(d, "dies"), qt.IsNil, qt.Commentf(d.address))
			c.Assert(viewOf(d, "slow"), qt.IsNil, qt.Commentf(d.address))
		}

		slow.setSilent(false)
		old := replicaIn("a1", "restarts")
		restarts.stop()
		next := replicaIn("a1", "restarts")
		next.Incarnation, next.StartedMs = "restarts-second", 2
		restarted := network.startAgent(t, next, nodes[1], nodes[2])
		// A session of the old incarnation is still open and reports after the
		// new one.
		old.Sequence = 99
		stale := network.startAgent(t, old, nodes[0])
		time.Sleep(10 * time.Second)
		for _, d := range nodes {
			c.Assert(viewOf(d, "slow"), qt.IsNotNil, qt.Commentf(d.address))
			c.Assert(viewOf(d, "slow").Suspect, qt.IsFalse)
			c.Assert(viewOf(d, "restarts").Replica.GetIncarnation(), qt.Equals, "restarts-second")
			c.Assert(viewOf(d, "restarts").Suspect, qt.IsFalse)
		}
		for _, a := range []*agent{slow, restarted, stale} {
			a.stop()
		}
		stopAll(nodes)
	})
}

// Guards against a drain that some daemon does not learn of, so that it keeps
// sending requests to the agent, and against a confirmation before all daemons
// know of the drain.
func TestDrainIsConfirmedAndKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		nodes := startDomains(t, network, 3, "a1", "b1")
		a := network.startAgent(t, replicaIn("a1", "leaves"), nodes[0], nodes[1])
		time.Sleep(20 * time.Second)
		c.Assert(a.notice(nodes[0]).GetDrainConfirmed(), qt.IsFalse)
		a.change(func(r *messenger.Replica) { r.State = messenger.ReplicaState_REPLICA_STATE_DRAINING })
		time.Sleep(3 * time.Second)
		for _, d := range nodes {
			c.Assert(viewOf(d, "leaves").Replica.GetState(), qt.Equals, messenger.ReplicaState_REPLICA_STATE_DRAINING)
		}
		time.Sleep(2 * time.Second)
		c.Assert(a.notice(nodes[0]).GetDrainConfirmed(), qt.IsTrue)
		c.Assert(a.notice(nodes[1]).GetDrainConfirmed(), qt.IsTrue)
		a.stop()
		stopAll(nodes)
	})
}
