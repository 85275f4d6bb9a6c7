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

// asker is what a daemon is asked for, and what it hears of the others.
type asker struct {
	mu     sync.Mutex
	asks   float32
	others float32
	known  bool
}

func (a *asker) usage(others []*messenger.TeamUsage, known bool, _ time.Time) []*messenger.TeamUsage {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.others, a.known = 0, known
	for _, u := range others {
		a.others += u.GetRequests()
	}
	if a.asks == 0 {
		return nil
	}
	return []*messenger.TeamUsage{{Team: "team-1", Requests: a.asks, Tokens: 300 * a.asks}}
}

func (a *asker) set(asks float32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asks = asks
}

func (a *asker) heard() (float32, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.others, a.known
}

func startAskers(t *testing.T, network *network, n int, domains ...string) ([]*node, []*asker) {
	var nodes []*node
	var askers []*asker
	for _, domain := range domains {
		for i := range n {
			a := &asker{}
			m := &monitor.Monitor{Self: entryIn(domain, fmt.Sprintf("entry-%s-%d", domain, i)), Usage: a.usage}
			nodes = append(nodes, network.start(t, m, "entry-"+domains[0]+"-0:1"))
			askers = append(askers, a)
		}
	}
	time.Sleep(30 * time.Second)
	return nodes, askers
}

// assertOthers checks that each daemon knows the demand of the others, up to a
// factor of error.
func assertOthers(c *qt.C, askers []*asker, factor float32) {
	c.Helper()
	total := float32(0)
	for _, a := range askers {
		total += a.asks
	}
	for i, a := range askers {
		others, known := a.heard()
		c.Check(known, qt.IsTrue)
		due := total - a.asks
		c.Check(max(others, due) <= factor*min(others, due), qt.IsTrue, qt.Commentf("daemon %d: %v, due %v", i, others, due))
	}
}

// newsTime is an update at each of the four daemons on the way and three pauses
// between frames. Without the first update it is within the two seconds that
// the tests of the admitter assume.
const newsTime = 2*time.Second + 400*time.Millisecond

// early is the factor by which the sums of two relays may be off by then.
const early = 1.5 * 1.5

// heartbeats are those of the three links on the way, with which changes by
// less than a factor of 1.5 are sent. Each may leave out a change by 5%, until
// the refreshes.
const (
	heartbeats = 3 * time.Second
	refreshes  = 24 * time.Second
)

// exact allows for rounding.
const exact = 1.001

// TestUsageReachesEveryDaemon guards against demand that is lost, late or
// counted twice on its way over the relays, and against that of a dead daemon.
func TestUsageReachesEveryDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		nodes, askers := startAskers(t, network, 4, "a1", "a2", "b1")
		assertOthers(c, askers, exact)
		for i, a := range askers {
			a.set(float32(1 + i))
		}
		time.Sleep(newsTime)
		assertOthers(c, askers, early)
		time.Sleep(heartbeats)
		assertOthers(c, askers, 1.16)
		time.Sleep(refreshes)
		assertOthers(c, askers, exact)
		for _, a := range askers[4:] {
			a.set(0)
		}
		time.Sleep(newsTime)
		assertOthers(c, askers, early)
		time.Sleep(heartbeats)
		assertOthers(c, askers, 1.16)
		time.Sleep(refreshes)
		assertOthers(c, askers, exact)
		time.Sleep(time.Minute)
		assertOthers(c, askers, exact)
		// The first four daemons are all those of a failure domain.
		for dead := range 3 {
			nodes[dead].stop()
			time.Sleep(15 * time.Second)
			assertOthers(c, askers[dead+1:], exact)
		}
		stopAll(nodes[3:])
	})
}

// TestUsageAcrossPartition guards against demand that is forgotten as soon as
// a region is split off, and against demand that is kept without end.
func TestUsageAcrossPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		nodes, askers := startAskers(t, network, 3, "a1", "b1")
		for _, a := range askers {
			a.set(2)
		}
		time.Sleep(newsTime)
		network.setCut(func(from, to string) bool {
			return strings.HasPrefix(from, "entry-a") != strings.HasPrefix(to, "entry-a")
		})
		for _, step := range []struct {
			wait time.Duration
			due  float32
		}{{10 * time.Second, 10}, {20 * time.Second, 4}} {
			time.Sleep(step.wait)
			for _, a := range askers {
				others, known := a.heard()
				c.Check(known, qt.IsTrue)
				c.Check(others, qt.Equals, step.due)
			}
		}
		network.setCut(nil)
		time.Sleep(20 * time.Second)
		assertOthers(c, askers, exact)
		// A daemon alone does not know what others are asked for.
		network.setCut(func(from, to string) bool { return from == nodes[2].address || to == nodes[2].address })
		time.Sleep(15 * time.Second)
		others, known := askers[2].heard()
		c.Check(known, qt.IsFalse, qt.Commentf("others %v", others))
		stopAll(nodes)
	})
}

// TestUsageBytes guards against control traffic of a daemon that grows with
// the number of daemons that are asked.
func TestUsageBytes(t *testing.T) {
	sent := map[int]int{}
	for _, n := range []int{4, 12} {
		synctest.Test(t, func(t *testing.T) {
			network := newNetwork()
			nodes, askers := startAskers(t, network, n, "a1", "b1")
			for i, a := range askers {
				a.set(float32(1 + i))
			}
			time.Sleep(30 * time.Second)
			before := network.usageBytes(memberOf(nodes, "a1"))
			time.Sleep(4 * time.Minute)
			sent[n] = network.usageBytes(memberOf(nodes, "a1")) - before
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

// usageBytes returns the bytes of demand to and from the daemon.
func (n *network) usageBytes(d *node) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 0
	for ends, bytes := range n.usages {
		if strings.HasPrefix(ends, d.address+" ") || strings.HasSuffix(ends, " "+d.address) {
			sum += bytes
		}
	}
	return sum
}
