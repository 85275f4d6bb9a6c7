package gossiper

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
	"github.com/lentilbridge/lentilbridge/internal/weights/selector"
)

// TestNewcomerSendsCrashingRequest guards against daemons that hand requests to replicas that
// the others refuse, or need as many crashes again, because they did not run or were cut off
// when the crashes were announced.
func TestNewcomerSendsCrashingRequest(t *testing.T) {
	const (
		blocked, crashedTwice, crashedOnce blocker.Fingerprint = 11, 12, 13
		missing                                                = 6 * time.Second
	)
	tests := []struct {
		name string
		// begin is called before the crashes and end when the daemon is back; both return the
		// daemon.
		begin func(f *fleet) *fleetDaemon
		end   func(f *fleet, d *fleetDaemon) *fleetDaemon
	}{
		{
			"restarted", func(f *fleet) *fleetDaemon { return f.entries()[1] },
			func(f *fleet, d *fleetDaemon) *fleetDaemon {
				d.self.Incarnation++
				d.resync.wantedSince, d.resync.receivedAt = time.Time{}, time.Time{}
				d.Resync("start", f.now)
				return d
			},
		},
		{"started", func(*fleet) *fleetDaemon { return nil }, func(f *fleet, _ *fleetDaemon) *fleetDaemon { return f.start(0) }},
		{"first in its failure domain", func(*fleet) *fleetDaemon { return nil }, func(f *fleet, _ *fleetDaemon) *fleetDaemon { return f.start(2) }},
		{
			"cut off for a time", func(f *fleet) *fleetDaemon { d := f.entries()[1]; d.down = true; return d },
			func(_ *fleet, d *fleetDaemon) *fleetDaemon { d.down = false; return d },
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(2, 4, 0, 0.1)
			f.run(4 * time.Second)
			blockers := f.blockers()
			d := tc.begin(f)
			crash := func(by int, request blocker.Fingerprint, replica int, part blocker.Fingerprint) {
				e := f.entries()[by]
				e.crashAt(blockers[e], "r"+strconv.Itoa(replica), int(request), 1, part)
				f.run(300 * time.Millisecond)
			}
			for i := range 3 {
				crash(2, blocked, i, 100)
			}
			crash(3, crashedTwice, 10, 101)
			crash(2, crashedTwice, 11, 101)
			crash(3, crashedOnce, 20, 101)
			f.run(missing)
			d = tc.end(f, d)
			b := blockers[d]
			if b == nil || tc.name == "restarted" {
				b = d.observe()
			}
			f.run(2 * time.Second)
			c.Check(b.Blocked(blocked, f.now), qt.IsTrue)
			c.Check(b.Blocked(crashedTwice, f.now), qt.IsFalse)
			b.RecordCrash(blocker.Crash{Fingerprint: crashedTwice, Replica: "last"}, f.now)
			c.Check(b.Blocked(crashedTwice, f.now), qt.IsTrue, qt.Commentf("third crash"))
			// The part of both requests has crashed three replicas under two of them.
			b.RecordCrash(blocker.Crash{Fingerprint: 14, Replica: "other", Parts: []blocker.Fingerprint{101}}, f.now)
			c.Check(b.PartBlocked([]blocker.Fingerprint{101}, f.now), qt.IsTrue)
			c.Check(d.Synchronized(f.now), qt.IsTrue)
		})
	}
}

// start adds an entry daemon to a failure domain, as it is right after its start.
func (f *fleet) start(domain int) *fleetDaemon {
	f.add(domain, 60, Entry)
	d := f.daemons[len(f.daemons)-1]
	d.Resync("start", f.now)
	return d
}

// TestLostCrashNoticeIsMissedForever guards against a daemon that never learns of a blocked
// request because it missed all notices while others reached it.
func TestLostCrashNoticeIsMissedForever(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, 4, 0, 0)
	f.run(4 * time.Second)
	blockers := f.blockers()
	deaf := f.entries()[1]
	onCrash := deaf.OnCrash
	deaf.OnCrash = func(blocker.Crash, time.Time) bool { return false }
	e := f.entries()[2]
	for i := range 3 {
		e.crashAt(blockers[e], "r"+strconv.Itoa(i), 11, 1)
	}
	f.run(3 * time.Second)
	deaf.OnCrash = onCrash
	f.run(8 * time.Second)
	c.Assert(blockers[deaf].Blocked(11, f.now), qt.IsTrue)
}

// TestStateExceedsDatagram guards against an answer that is lost because it does not fit
// into a datagram, and against one that grows without limit.
func TestStateExceedsDatagram(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 2, 0, 0)
	f.run(2 * time.Second)
	blockers := f.blockers()
	e := f.entries()[0]
	for i := range 1000 {
		parts := make([]blocker.Fingerprint, 64)
		for j := range parts {
			parts[j] = blocker.Fingerprint(1000 + 64*i + j)
		}
		blockers[e].RecordCrash(blocker.Crash{Fingerprint: blocker.Fingerprint(i), Replica: strconv.Itoa(i), Parts: parts}, f.now)
	}
	f.largest, f.bytes = 0, 0
	f.start(0)
	f.run(time.Second)
	c.Check(f.largest <= maxDatagram/2, qt.IsTrue, qt.Commentf("%d bytes", f.largest))
	c.Check(f.bytes <= 256<<10, qt.IsTrue, qt.Commentf("%d bytes", f.bytes))
	c.Check(f.daemons[len(f.daemons)-1].Synchronized(f.now), qt.IsTrue)
}

// TestDaemonsWaitForEachOther guards against daemons that are never ready because all have
// just started and none knows more than the others.
func TestDaemonsWaitForEachOther(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 3, 0, 0)
	for _, d := range f.entries() {
		d.Resync("start", f.now)
	}
	f.run(resyncTimeout / 2)
	c.Check(f.entries()[0].Synchronized(f.now), qt.IsFalse)
	f.run(resyncTimeout)
	for _, d := range f.entries() {
		c.Check(d.Synchronized(f.now), qt.IsTrue)
	}
	f.run(2 * resyncPatience)
	c.Check(f.entries()[0].resync.wantedSince.IsZero(), qt.IsTrue)
}

// TestPauseStopsMessages guards against a daemon that sends and receives no more messages after
// a pause of the process: the pause is noticed while a message is composed, and the one who
// reports it waits for the message, which waits for the report.
func TestPauseStopsMessages(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 2, 0, 0)
	f.run(time.Second)
	d := f.entries()[0]
	reported, waiting := 0, 0
	d.Announcements = func(now time.Time) []selector.Announcement {
		done := make(chan struct{})
		go func() {
			d.Resync("the process did not run", now)
			d.Synchronized(now)
			close(done)
		}()
		select {
		case <-done:
			reported++
		case <-time.After(5 * time.Second):
			waiting++
		}
		return nil
	}
	d.sendRound(true, f.now)
	c.Assert(reported > 0, qt.IsTrue)
	c.Assert(waiting, qt.Equals, 0)
}
