package blocker

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	dead   Fingerprint = 1
	common Fingerprint = 2
	rare   Fingerprint = 3
)

// partEvent is a crash if replica is set, and a success or block of the parts otherwise.
type partEvent struct {
	at      time.Duration
	replica string
	request Fingerprint
	success bool
	// reported is set if another daemon saw the event; seen is when this one learns of it.
	reported bool
	seen     time.Duration
	parts    []Fingerprint
}

func (e *partEvent) apply(b *Blocker, start time.Time) {
	at, now := start.Add(e.at), start.Add(max(e.at, e.seen))
	switch {
	case e.replica != "":
		b.RecordCrash(Crash{Fingerprint: e.request, Replica: e.replica, Parts: e.parts}, at)
	case e.success && e.reported:
		b.RecordReportedSuccess(PartTime{Part: e.parts[0], At: at}, now)
	case e.success:
		b.RecordPartSuccess(e.parts, at, now)
	default:
		b.RecordReportedBlock(PartTime{Part: e.parts[0], At: at}, now)
	}
}

// TestPartBlocked guards against requests with a crashing part that reach replica after
// replica, and against blocks of sound parts that were beside the cause.
func TestPartBlocked(t *testing.T) {
	const s = time.Second
	crash := func(at time.Duration, replica string, request Fingerprint, parts ...Fingerprint) partEvent {
		return partEvent{at: at, replica: replica, request: request, parts: parts}
	}
	success := func(at time.Duration, parts ...Fingerprint) partEvent {
		return partEvent{at: at, success: true, parts: parts}
	}
	reported := func(e partEvent, seen time.Duration) partEvent {
		e.reported, e.seen = true, seen
		return e
	}
	three := []partEvent{crash(0, "a", 11, dead, common), crash(s, "b", 12, dead, common), crash(2*s, "c", 13, dead, common)}
	with := func(before []partEvent, after ...partEvent) []partEvent {
		return append(append([]partEvent(nil), before...), after...)
	}
	tests := []struct {
		name    string
		events  []partEvent
		at      time.Duration
		blocked []Fingerprint
	}{
		{"three replicas under three requests", []partEvent{crash(0, "a", 11, dead), crash(s, "b", 12, dead), crash(2*s, "c", 13, dead)}, 2 * s, []Fingerprint{dead}},
		{"two replicas", three[:2], 2 * s, nil},
		{"one replica under three requests", []partEvent{crash(0, "a", 11, dead), crash(s, "a", 12, dead), crash(2*s, "a", 13, dead)}, 2 * s, nil},
		{"one request on three replicas", []partEvent{crash(0, "a", 11, dead), crash(s, "b", 11, dead), crash(2*s, "c", 11, dead)}, 2 * s, nil},
		{"many connections break at once", []partEvent{crash(0, "a", 11, rare), crash(10*time.Millisecond, "b", 12, rare), crash(20*time.Millisecond, "c", 13, rare), crash(150*time.Millisecond, "d", 14, rare)}, s, nil},
		{"beginning that succeeded before", with([]partEvent{success(-5*s, common)}, three...), 3 * s, []Fingerprint{dead}},
		{"beginning that succeeds all the time", []partEvent{
			success(-s, common), crash(0, "a", 11, common), success(s/2, common), crash(s, "b", 12, common), success(3*s/2, common), crash(2*s, "c", 13, common),
		}, 3 * s, nil},
		{"beginning that succeeds elsewhere", []partEvent{
			crash(0, "a", 11, common), crash(s, "b", 12, common), reported(success(s, common), s+50*time.Millisecond), crash(2*s, "c", 13, common),
		}, 3 * s, nil},
		{"rare part beside the cause", with(three, crash(2*s, "c", 21, rare), crash(0, "a", 22, rare), crash(s, "b", 23, rare)), 3 * s, []Fingerprint{dead}},
		{"report of the cause comes last", with([]partEvent{success(-3*s, common), crash(0, "a", 11, dead, common), crash(s, "b", 12, dead, common), crash(2*s, "c", 31, common)}, crash(2*s, "c", 13, dead, common)), 3 * s, []Fingerprint{dead}},
		{"reports of the cause come much later", with([]partEvent{success(-3*s, common), crash(0, "a", 31, common), crash(s, "b", 32, common), crash(2*s, "c", 33, common)}, three...), 3 * s, []Fingerprint{dead}},
		{"rare part beside the cause in two crashes", with([]partEvent{crash(0, "a", 22, rare), crash(s, "b", 23, rare)}, three...), 3 * s, []Fingerprint{dead}},
		{"cause that succeeded until it began to crash replicas", with([]partEvent{success(-s/2, dead)}, crash(s/2, "a", 11, dead), crash(s, "b", 12, dead), crash(2*s, "c", 13, dead), crash(5*s/2, "d", 14, dead), crash(3*s, "e", 15, dead)), 3 * s, []Fingerprint{dead}},
		{"success after the block", with(three, success(3*s, dead)), 3 * s, nil},
		{"success elsewhere after the block", with(three, reported(success(3*s, dead), 4*s)), 4 * s, nil},
		{"success long before the last crash, reported late", with(three, reported(success(-10*s, dead), 4*s)), 4 * s, []Fingerprint{dead}},
		{"expired", three, 2*s + crashTTL, nil},
		{"one crash after the end of the block", with(three, crash(crashTTL+10*s, "d", 14, dead)), crashTTL + 11*s, []Fingerprint{dead}},
		{"blocked elsewhere", []partEvent{reported(partEvent{at: 0, parts: []Fingerprint{dead}}, s)}, s, []Fingerprint{dead}},
		{"blocked elsewhere, long ago", []partEvent{reported(partEvent{at: 0, parts: []Fingerprint{dead}}, crashTTL+s)}, crashTTL + s, nil},
		{"blocked elsewhere, but succeeded here", []partEvent{success(s, common), reported(partEvent{at: 2 * s, parts: []Fingerprint{common}}, 2*s)}, 3 * s, nil},
		{"blocked elsewhere, but explained by another part", with(three, reported(partEvent{at: 2 * s, parts: []Fingerprint{common}}, 3*s)), 3 * s, []Fingerprint{dead}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var b Blocker
			start := time.Unix(1000, 0)
			for _, e := range tc.events {
				e.apply(&b, start)
			}
			var got []Fingerprint
			for _, part := range []Fingerprint{dead, common, rare} {
				if b.PartBlocked([]Fingerprint{99, part}, start.Add(tc.at)) {
					got = append(got, part)
				}
			}
			qt.Assert(t, got, qt.DeepEquals, tc.blocked)
			qt.Assert(t, b.Blocks(start.Add(tc.at)), qt.HasLen, len(tc.blocked))
		})
	}
}

// TestSuspectParts guards against popular parts being announced as possible causes.
func TestSuspectParts(t *testing.T) {
	var b Blocker
	now := time.Unix(1000, 0)
	b.RecordPartSuccess([]Fingerprint{common}, now, now)
	qt.Check(t, b.SuspectParts([]Fingerprint{dead, common}, now.Add(successShield)), qt.DeepEquals, []Fingerprint{dead})
	qt.Check(t, b.SuspectParts([]Fingerprint{dead, common}, now.Add(successShield+1)), qt.DeepEquals, []Fingerprint{dead, common})
}

// TestVouched guards against a sound part that stays blocked on the other daemons although
// this one knows a success, and against reports without end.
func TestVouched(t *testing.T) {
	c := qt.New(t)
	var decisions []Decision
	b := Blocker{OnDecision: func(d Decision) { decisions = append(decisions, d) }}
	now := time.Unix(1000, 0)
	b.RecordPartSuccess([]Fingerprint{common}, now, now)
	c.Assert(decisions, qt.HasLen, 0)
	for i := range 4 {
		b.RecordCrash(Crash{Fingerprint: Fingerprint(i), Replica: strconv.Itoa(i), Parts: []Fingerprint{common}}, now.Add(time.Duration(i)*300*time.Millisecond))
	}
	c.Assert(decisions, qt.HasLen, 2)
	c.Assert(decisions[0], qt.DeepEquals, Decision{Kind: Vouched, Part: common, Crashes: 2, Requests: 2, LastCrash: now.Add(300 * time.Millisecond), LastSuccess: now})
	decisions = nil
	b.RecordReportedSuccess(PartTime{Part: common, At: now}, now.Add(time.Second))
	b.RecordReportedBlock(PartTime{Part: common, At: now.Add(time.Second)}, now.Add(2*time.Second))
	c.Assert(decisions, qt.HasLen, 0)
	b.RecordPartSuccess([]Fingerprint{common}, now.Add(3*time.Second), now.Add(3*time.Second))
	b.RecordReportedBlock(PartTime{Part: common, At: now.Add(4 * time.Second)}, now.Add(4*time.Second))
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].Kind, qt.Equals, Vouched)
}

// TestBlockDoesNotEcho guards against daemons that extend a block for each other because
// messages take time.
func TestBlockDoesNotEcho(t *testing.T) {
	start := time.Unix(1000, 0)
	daemons := []*Blocker{{}, {}, {}}
	daemons[0].RecordReportedBlock(PartTime{Part: dead, At: start}, start)
	now := start
	for now.Sub(start) < 2*crashTTL {
		for i, from := range daemons {
			for _, p := range from.Blocks(now) {
				daemons[(i+1)%len(daemons)].RecordReportedBlock(PartTime{Part: dead, At: p.At.Add(300 * time.Millisecond)}, now.Add(300*time.Millisecond))
			}
		}
		now = now.Add(500 * time.Millisecond)
		if blocked := daemons[0].PartBlocked([]Fingerprint{dead}, now); blocked {
			qt.Assert(t, now.Sub(start) < crashTTL+2*blockExtension, qt.IsTrue, qt.Commentf("blocked after %s", now.Sub(start)))
		}
	}
}

// TestPartMemory guards against memory that grows with the number of parts, and against a
// block that is lost because of it.
func TestPartMemory(t *testing.T) {
	c := qt.New(t)
	var b Blocker
	now := time.Unix(1000, 0)
	for i := range 3 {
		now = now.Add(time.Second)
		b.RecordCrash(Crash{Fingerprint: Fingerprint(i), Replica: strconv.Itoa(i), Parts: []Fingerprint{dead}}, now)
	}
	const others = 3 * maxSuccesses
	for i := range others {
		part := []Fingerprint{Fingerprint(1000 + i)}
		now = now.Add(crashTTL / 2 / others)
		b.RecordPartSuccess(part, now, now)
		if i%4 == 0 {
			b.RecordCrash(Crash{Fingerprint: Fingerprint(i), Replica: "x" + strconv.Itoa(i), Parts: part}, now)
		}
	}
	c.Check(b.PartBlocked([]Fingerprint{dead}, now), qt.IsTrue)
	c.Check(len(b.parts.suspects) <= maxSuspects, qt.IsTrue)
	c.Check(len(b.parts.successes.recent)+len(b.parts.successes.older) <= maxSuccesses, qt.IsTrue)
	for i := range 100 {
		b.RecordCrash(Crash{Fingerprint: Fingerprint(i), Replica: "y" + strconv.Itoa(i), Parts: []Fingerprint{dead}}, now)
	}
	c.Check(len(b.parts.suspects[dead].crashes) <= maxCrashesPerPart, qt.IsTrue)
}
