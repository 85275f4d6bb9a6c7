package monitor_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/coordination/monitor"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// demandSource is the Usage callback of one daemon. It reports the configured
// demand and stores the demand received from other daemons.
type demandSource struct {
	mu     sync.Mutex
	demand float32
	others float32
	known  bool
}

func (a *demandSource) exchange(others []*messenger.TeamUsage, known bool, _ time.Time) []*messenger.TeamUsage {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.others, a.known = 0, known
	for _, u := range others {
		a.others += u.GetRequests()
	}
	if a.demand == 0 {
		return nil
	}
	return []*messenger.TeamUsage{{Team: "team-1", Requests: a.demand, Tokens: 300 * a.demand}}
}

func (a *demandSource) setDemand(demand float32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.demand = demand
}

func (a *demandSource) received() (float32, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.others, a.known
}

func startDemandSources(t *testing.T, network *network, n int, domains ...string) ([]*node, []*demandSource) {
	var nodes []*node
	var sources []*demandSource
	for _, domain := range domains {
		for i := range n {
			a := &demandSource{}
			m := &monitor.Monitor{Self: entryIn(domain, fmt.Sprintf("entry-%s-%d", domain, i)), Usage: a.exchange}
			nodes = append(nodes, network.start(t, m, "entry-"+domains[0]+"-0:1"))
			sources = append(sources, a)
		}
	}
	time.Sleep(30 * time.Second)
	return nodes, sources
}

// assertRemoteDemand checks that each daemon knows the demand at the other
// daemons to within the factor.
func assertRemoteDemand(c *qt.C, sources []*demandSource, factor float32) {
	c.Helper()
	total := float32(0)
	for _, a := range sources {
		total += a.demand
	}
	for i, a := range sources {
		others, known := a.received()
		c.Check(known, qt.IsTrue)
		want := total - a.demand
		c.Check(max(others, want) <= factor*min(others, want), qt.IsTrue, qt.Commentf("daemon %d: %v, want %v", i, others, want))
	}
}

// propagationTime is the time for a change in demand to cross two relays: the
// update interval of each of the four daemons on the path and three times the
// minimum pause between frames. Without the first update interval it is within
// the two seconds that the tests of the admitter assume.
const propagationTime = 2*time.Second + 400*time.Millisecond

// propagationFactor is the factor by which the sums of two relays may be off
// after propagationTime.
const propagationFactor = 1.5 * 1.5

// Changes by less than a factor of 1.5 are sent with the heartbeats of the
// three links on the path, which takes heartbeatTime. Each link may omit
// a change of 5% until its next refresh; all three refresh within refreshTime.
const (
	heartbeatTime = 3 * time.Second
	refreshTime   = 24 * time.Second
)

// roundingFactor allows for rounding errors.
const roundingFactor = 1.001

// TestUsageReachesEveryDaemon guards against demand that relays lose, delay or
// count twice, and against demand of dead daemons that is still counted.
func TestUsageReachesEveryDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		nodes, sources := startDemandSources(t, network, 4, "a1", "a2", "b1")
		assertRemoteDemand(c, sources, roundingFactor)
		for i, a := range sources {
			a.setDemand(float32(1 + i))
		}
		time.Sleep(propagationTime)
		assertRemoteDemand(c, sources, propagationFactor)
		time.Sleep(heartbeatTime)
		assertRemoteDemand(c, sources, 1.16)
		time.Sleep(refreshTime)
		assertRemoteDemand(c, sources, roundingFactor)
		for _, a := range sources[4:] {
			a.setDemand(0)
		}
		time.Sleep(propagationTime)
		assertRemoteDemand(c, sources, propagationFactor)
		time.Sleep(heartbeatTime)
		assertRemoteDemand(c, sources, 1.16)
		time.Sleep(refreshTime)
		assertRemoteDemand(c, sources, roundingFactor)
		time.Sleep(time.Minute)
		assertRemoteDemand(c, sources, roundingFactor)
		// The first four daemons form one failure domain.
		for dead := range 3 {
			nodes[dead].stop()
			time.Sleep(15 * time.Second)
			assertRemoteDemand(c, sources[dead+1:], roundingFactor)
		}
		stopAll(nodes[3:])
	})
}

// TestUsageAcrossPartition guards against demand of a partitioned region that
// is dropped immediately, and against demand that never expires.
func TestUsageAcrossPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		nodes, sources := startDemandSources(t, network, 3, "a1", "b1")
		for _, a := range sources {
			a.setDemand(2)
		}
		time.Sleep(propagationTime)
		network.setPartition(func(from, to string) bool {
			return strings.HasPrefix(from, "entry-a") != strings.HasPrefix(to, "entry-a")
		})
		for _, step := range []struct {
			wait time.Duration
			want float32
		}{{10 * time.Second, 10}, {20 * time.Second, 4}} {
			time.Sleep(step.wait)
			for _, a := range sources {
				others, known := a.received()
				c.Check(known, qt.IsTrue)
				c.Check(others, qt.Equals, step.want)
			}
		}
		network.setPartition(nil)
		time.Sleep(20 * time.Second)
		assertRemoteDemand(c, sources, roundingFactor)
		// An isolated daemon does not know the demand at other daemons.
		network.setPartition(func(from, to string) bool { return from == nodes[2].address || to == nodes[2].address })
		time.Sleep(15 * time.Second)
		others, known := sources[2].received()
		c.Check(known, qt.IsFalse, qt.Commentf("others %v", others))
		stopAll(nodes)
	})
}

// TestUsageBytes guards against control traffic to and from a daemon that grows
// with the number of daemons that have demand.
func TestUsageBytes(t *testing.T) {
	sent := map[int]int{}
	for _, n := range []int{4, 12} {
		synctest.Test(t, func(t *testing.T) {
			network := newNetwork()
			nodes, sources := startDemandSources(t, network, n, "a1", "b1")
			for i, a := range sources {
				a.setDemand(float32(1 + i))
			}
			time.Sleep(30 * time.Second)
			before := network.demandBytesOf(memberOf(nodes, "a1"))
			time.Sleep(4 * time.Minute)
			sent[n] = network.demandBytesOf(memberOf(nodes, "a1")) - before
			stopAll(nodes)
		})
	}
	t.Logf("bytes in 4 minutes: %v", sent)
	qt.Assert(t, float64(sent[12]) <= 1.2*float64(sent[4]), qt.IsTrue, qt.Commentf("%v", sent))
}

// memberOf returns a daemon of the failure domain that is not a relay.
func memberOf(nodes []*node, domain string) *node {
	for _, d := range nodes {
		if d.Self.GetFailureDomain() == domain && !d.IsRelay(time.Now()) {
			return d
		}
	}
	return nil
}

// demandBytesOf returns the bytes of demand records to and from the daemon.
func (n *network) demandBytesOf(d *node) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 0
	for ends, bytes := range n.demandBytes {
		if strings.HasPrefix(ends, d.address+" ") || strings.HasSuffix(ends, " "+d.address) {
			sum += bytes
		}
	}
	return sum
}
