package gossiper

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/coordination/cataloger"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
)

// leavingReplica returns a replica of the fleet.
func leavingReplica(i int) placer.Replica {
	id := fmt.Sprintf("i-%08x", i)
	return placer.Replica{ID: id, Address: id + ":1", Service: "s", Slots: 4, StartedAtMs: time.Unix(900, 0).UnixMilli() + int64(i)}
}

// catalogOf gives a daemon a catalog of replicas.
func (d *fleetDaemon) catalogOf(replicas int) *cataloger.Catalog {
	c := &cataloger.Catalog{DrainTime: 2 * time.Second, Log: zap.NewNop()}
	var list []placer.Replica
	for i := range replicas {
		list = append(list, leavingReplica(i))
	}
	c.SetRegistrations(list, d.fleet.now)
	d.OnLeaving, d.Leaving = c.RecordReportedLeaving, c.Leaving
	return c
}

func (f *fleet) catalogs(replicas int) map[*fleetDaemon]*cataloger.Catalog {
	out := map[*fleetDaemon]*cataloger.Catalog{}
	for _, d := range f.entries() {
		out[d] = d.catalogOf(replicas)
	}
	return out
}

// hearLeaving makes a daemon hear from a replica that it leaves.
func (d *fleetDaemon) hearLeaving(c *cataloger.Catalog, replica int) {
	if l, isNew := c.RecordLeaving(leavingReplica(replica), d.fleet.now); isNew {
		d.AnnounceLeaving(l)
	}
}

// usable counts the replicas that the daemons still use.
func (f *fleet) usable(catalogs map[*fleetDaemon]*cataloger.Catalog) (n int) {
	for _, c := range catalogs {
		for _, r := range c.Replicas(f.now) {
			if !r.Draining {
				n++
			}
		}
	}
	return n
}

// TestLeavingStaysUnknown guards against daemons that use a replica that has informed
// another daemon that it leaves, also in other failure domains, when datagrams are lost, when they
// start later, and when they or their VMs were away meanwhile.
func TestLeavingStaysUnknown(t *testing.T) {
	t.Parallel()
	const perDomain, announcer = 12, 4
	// Among them are the relays of a domain and the first receivers of digests.
	for _, i := range []int{1, 2, 5, 10} {
		t.Run(fmt.Sprintf("daemon %d of two domains is away", i), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(3, perDomain, 0, 0.025)
			catalogs := f.catalogs(1)
			f.run(5 * time.Second)
			entries := f.entries()
			absent := []*fleetDaemon{entries[i], entries[perDomain+i]}
			for _, d := range absent {
				d.down = true
			}
			said := f.now
			entries[announcer].hearLeaving(catalogs[entries[announcer]], 0)
			f.run(1600 * time.Millisecond)
			for _, d := range entries[:perDomain] {
				c.Check(len(catalogs[d].Leaving()) == 1 || d.down, qt.IsTrue, qt.Commentf("%s after 1.6 s", d.self.VM))
			}
			f.run(4 * time.Second)
			c.Check(f.usable(catalogs), qt.Equals, len(absent))

			for _, d := range absent {
				d.down = false
			}
			f.add(1, 60, Entry)
			started := f.daemons[len(f.daemons)-1]
			catalogs[started] = started.catalogOf(1)
			f.run(3 * time.Second)
			for d, catalog := range catalogs {
				known := catalog.Leaving()
				c.Assert(known, qt.HasLen, 1, qt.Commentf(d.self.VM))
				at := known[0].SaidAt
				c.Check(at.Sub(said).Abs() < 20*time.Millisecond, qt.IsTrue, qt.Commentf("%s: said at %s, not %s", d.self.VM, at, said))
			}
		})
	}
}

// TestLeavingFloodsFleet guards against messages about a hundred replicas that leave at once
// that take the links of the daemons from requests, and against daemons that do not learn of
// them in spite of that.
func TestLeavingFloodsFleet(t *testing.T) {
	t.Parallel()
	const domains, perDomain, replicas, seconds = 2, 30, 100, 4
	const limit = 9000
	// observe returns the bytes a second of each daemon, and when all knew the replicas whose
	// signals the daemons receive.
	observe := func(receives func(daemon, replica int) bool) (sent []float64, took time.Duration) {
		f := newFleet(domains, perDomain, 0, 0)
		catalogs := f.catalogs(replicas)
		f.run(4 * time.Second)
		received := map[int]bool{}
		for i, d := range f.entries() {
			d.sentBytes = 0
			for r := range replicas {
				if receives(i, r) {
					received[r] = true
					d.hearLeaving(catalogs[d], r)
				}
			}
		}
		f.run(seconds * time.Second)
		for _, d := range f.entries() {
			sent = append(sent, float64(d.sentBytes)/seconds)
		}
		for took = seconds * time.Second; f.usable(catalogs) > len(catalogs)*(replicas-len(received)) && took < time.Minute; took += time.Second {
			f.run(time.Second)
		}
		return sent, took
	}
	calm, _ := observe(func(int, int) bool { return false })
	tests := []struct {
		name     string
		receives func(daemon, replica int) bool
	}{
		{"those of a cell receive it", func(daemon, replica int) bool {
			return daemon/perDomain == replica%domains && daemon%fleetCells == replica%fleetCells
		}},
		{"one daemon receives all", func(daemon, _ int) bool { return daemon == 7 }},
		{"all receive all", func(int, int) bool { return true }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			sent, took := observe(tc.receives)
			most, mean := 0.0, 0.0
			for i := range sent {
				extra := sent[i] - calm[i]
				most, mean = max(most, extra), mean+extra/float64(len(sent))
			}
			c.Check(most < limit, qt.IsTrue, qt.Commentf("%.0f bytes a second of one daemon", most))
			c.Check(took <= 10*time.Second, qt.IsTrue, qt.Commentf("all know after %s", took))
			t.Logf("%.0f bytes a second of each daemon, at most %.0f of one; all know after %s", mean, most, took)
		})
	}
}

// TestMalformedLeaving guards against replicas that are not used because of an implausible
// message, or because of one that is older than their start.
func TestMalformedLeaving(t *testing.T) {
	r := leavingReplica(0)
	tests := []struct {
		name   string
		id     string
		report [3]int64
		known  bool
	}{
		{"valid", r.ID, [3]int64{r.StartedAtMs, 100, 0}, true},
		{"without start", r.ID, [3]int64{0, 100, 0}, false},
		{"negative start", r.ID, [3]int64{-1, 100, 0}, false},
		{"negative age", r.ID, [3]int64{r.StartedAtMs, -1, 0}, false},
		{"too old", r.ID, [3]int64{r.StartedAtMs, maxReportAge.Milliseconds() + 1, 0}, false},
		{"earlier start", r.ID, [3]int64{r.StartedAtMs - 1, 0, 0}, false},
		{"without ID", "", [3]int64{r.StartedAtMs, 100, 0}, false},
	}
	for _, tc := range tests {
		f := newFleet(1, 2, 0, 0)
		d := f.entries()[1]
		catalog := d.catalogOf(1)
		d.receive(message{From: f.entries()[0].self, reports: reports{Leaving: reportedLeaving{tc.id: tc.report}}}, f.now)
		used := f.usable(map[*fleetDaemon]*cataloger.Catalog{d: catalog}) == 1
		qt.Check(t, used, qt.Equals, !tc.known, qt.Commentf(tc.name))
	}
}

// TestLaterStartIsNotAnnounced guards against a replica whose earlier start hides from the
// other daemons that it leaves again, and against announcing the earlier one.
func TestLaterStartIsNotAnnounced(t *testing.T) {
	now := time.Unix(1000, 0)
	for range 20 {
		var o leavingOutbox
		for start := range int64(3) {
			o.add(leavingNotice{Leaving: cataloger.Leaving{Replica: "r", StartedAtMs: start + 1, SaidAt: now}})
		}
		taken := o.take(1, nearLeavingRate, nearLeavingBurst, now)
		qt.Assert(t, reportLeaving(taken, now), qt.DeepEquals, reportedLeaving{"r": {3, 0, 0}})
		qt.Assert(t, taken, qt.HasLen, 1)
	}
}
