package gossiper

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
)

const (
	deadPart  blocker.Fingerprint = 1
	soundPart blocker.Fingerprint = 2
)

// observe makes a daemon decide about parts on the reports that it receives.
func (d *fleetDaemon) observe() *blocker.Blocker {
	b := &blocker.Blocker{}
	b.OnDecision = func(k blocker.Decision) {
		switch {
		case k.Kind == blocker.Vouched:
			d.AnnouncePartSuccess(blocker.PartTime{Part: k.Part, At: k.LastSuccess})
		case k.Kind == blocker.Blocked && !k.Reported:
			d.AnnouncePartBlock(blocker.PartTime{Part: k.Part, At: k.LastCrash})
		}
	}
	d.OnCrash, d.OnPartSuccess, d.OnPartBlock, d.Blocks = b.RecordCrash, b.RecordReportedSuccess, b.RecordReportedBlock, b.Blocks
	d.Crashes, d.RequestBlocks, d.OnRequestBlock = b.Crashes, b.RequestBlocks, b.RecordRequestBlock
	return b
}

// crashAt makes a daemon see a crash under requests with the parts.
func (d *fleetDaemon) crashAt(b *blocker.Blocker, replica string, firstRequest, requests int, parts ...blocker.Fingerprint) {
	for i := range requests {
		c := blocker.Crash{Fingerprint: blocker.Fingerprint(firstRequest + i), Replica: replica, Parts: b.SuspectParts(parts, d.fleet.now)}
		if b.RecordCrash(c, d.fleet.now) {
			d.AnnounceCrash(c, d.fleet.now)
		}
	}
}

// blockers makes all entry daemons decide about parts.
func (f *fleet) blockers() map[*fleetDaemon]*blocker.Blocker {
	out := map[*fleetDaemon]*blocker.Blocker{}
	for _, d := range f.entries() {
		out[d] = d.observe()
	}
	return out
}

func (f *fleet) without(blockers map[*fleetDaemon]*blocker.Blocker, part blocker.Fingerprint) (n int) {
	for _, b := range blockers {
		if !b.PartBlocked([]blocker.Fingerprint{part}, f.now) {
			n++
		}
	}
	return n
}

// TestCrashesOfDifferentDaemons guards against daemons that do not block a part in time
// because each crash was seen by another daemon and datagrams are lost, and against daemons
// that start later and do not learn of the block.
func TestCrashesOfDifferentDaemons(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(3, 20, 0, 0.1)
	f.run(4 * time.Second)
	blockers := f.blockers()
	entries := f.entries()
	for i := range 5 {
		d := entries[i*13%len(entries)]
		d.crashAt(blockers[d], "r"+strconv.Itoa(i), 100*i, 1, deadPart)
		f.run(300 * time.Millisecond)
	}
	f.run(700 * time.Millisecond)
	c.Check(f.without(blockers, deadPart), qt.Equals, 0)

	f.run(3 * time.Second)
	for domain := range 3 {
		f.add(domain, 50, Entry)
		d := f.daemons[len(f.daemons)-1]
		blockers[d] = d.observe()
	}
	restarted := entries[7]
	restarted.self.Incarnation++
	blockers[restarted] = restarted.observe()
	f.run(2 * time.Second)
	c.Check(f.without(blockers, deadPart), qt.Equals, 0)
}

// TestBlockEnds guards against daemons that repeat a block for each other without end.
func TestBlockEnds(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, 4, 0, 0)
	f.run(3 * time.Second)
	blockers := f.blockers()
	f.entries()[0].AnnouncePartBlock(blocker.PartTime{Part: deadPart, At: f.now})
	f.run(50 * time.Second)
	c.Check(f.without(blockers, deadPart), qt.Equals, 0)
	f.run(15 * time.Second)
	c.Check(f.without(blockers, deadPart), qt.Equals, len(blockers))
}

// TestCrashUnderManyRequests guards against crashes that are not learned in time, or cost
// too much traffic, because a dozen requests broke at each of a hundred daemons.
func TestCrashUnderManyRequests(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(4, 25, 0, 0.025)
	f.run(4 * time.Second)
	blockers := f.blockers()
	for i := range 3 {
		for j, d := range f.entries() {
			d.crashAt(blockers[d], "r"+strconv.Itoa(i), 100_000*i+100*j, 12, deadPart, blocker.Fingerprint(1000+j))
		}
		f.run(300 * time.Millisecond)
	}
	f.bytes, f.messages = 0, map[Role]int{}
	f.run(time.Second)
	c.Check(f.without(blockers, deadPart), qt.Equals, 0)
	kilobytes := float64(f.bytes) / float64(len(blockers)) / 1024
	c.Check(kilobytes < 400, qt.IsTrue, qt.Commentf("%.0f KB of each daemon in the second after the crashes", kilobytes))
	f.run(2 * time.Second)
	for _, d := range f.entries() {
		c.Check(d.outbox.isEmpty(), qt.IsTrue, qt.Commentf(d.self.VM))
	}
}

// TestSuccessElsewhere guards against blocks of a sound part on daemons that saw it in
// several crashes only, while another daemon sees requests with it succeed.
func TestSuccessElsewhere(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(3, 20, 0, 0.025)
	f.run(4 * time.Second)
	blockers := f.blockers()
	entries := f.entries()
	witness := entries[59]
	blocked := 0
	for i := range 6 {
		d := entries[i*7]
		blockers[witness].RecordPartSuccess([]blocker.Fingerprint{soundPart}, f.now.Add(-time.Second), f.now)
		d.crashAt(blockers[d], "r"+strconv.Itoa(i), 100*i, 3, soundPart)
		f.run(time.Second)
		blocked += len(blockers) - f.without(blockers, soundPart)
	}
	c.Check(blocked, qt.Equals, 0)

	// A block that a success contradicts later ends everywhere.
	entries[0].AnnouncePartBlock(blocker.PartTime{Part: soundPart, At: f.now})
	f.run(200 * time.Millisecond)
	blockers[witness].RecordPartSuccess([]blocker.Fingerprint{soundPart}, f.now, f.now)
	f.run(1500 * time.Millisecond)
	c.Check(f.without(blockers, soundPart), qt.Equals, len(blockers))
}

// TestLongPromptHidesCrash guards against daemons that do not learn which part crashes replicas,
// because the requests with it have thousands of other parts, and against messages that do not
// fit into a datagram.
func TestLongPromptHidesCrash(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(3, 3, 0, 0.025)
	f.run(4 * time.Second)
	blockers := f.blockers()
	const parts = 4000
	for i, d := range f.entries()[:5] {
		own := make([]blocker.Fingerprint, parts)
		for j := range own {
			own[j] = blocker.Fingerprint(1000 + parts*i + j)
		}
		own[parts-1] = deadPart
		d.crashAt(blockers[d], "r"+strconv.Itoa(i), 100*i, 1, own...)
		f.run(time.Second)
	}
	f.run(3 * time.Second)
	c.Check(f.without(blockers, deadPart), qt.Equals, 0)
	c.Check(f.largest <= maxDatagram, qt.IsTrue, qt.Commentf("%d bytes", f.largest))
}
