package blocker

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBlocked guards against blocking requests that ran concurrently with the one
// that caused a crash, and against sending the cause to further replicas.
func TestBlocked(t *testing.T) {
	now := time.Unix(1000, 0)
	crash := func(replicas ...string) []Crash {
		var out []Crash
		for _, r := range replicas {
			out = append(out, Crash{Fingerprint: 1, Replica: r})
		}
		return out
	}
	tests := []struct {
		name    string
		crashes []Crash
		success bool
		after   time.Duration
		want    bool
	}{
		{"one replica", crash("a"), false, 0, false},
		{"the same replica again", crash("a", "a", "a", "a"), false, 0, false},
		{"two replicas", crash("a", "b"), false, 0, false},
		{"three replicas", crash("a", "b", "c"), false, 0, true},
		{"cleared by a success", crash("a", "b", "c"), true, 0, false},
		{"expired", crash("a", "b", "c"), false, crashTTL, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var b Blocker
			for _, c := range tc.crashes {
				b.RecordCrash(c, now)
			}
			if tc.success {
				b.RecordSuccess(1, now)
			}
			qt.Assert(t, b.Blocked(1, now.Add(tc.after)), qt.Equals, tc.want)
			qt.Assert(t, b.Blocked(2, now), qt.IsFalse)
		})
	}
}

// TestFingerprint guards against different requests with the same fingerprint
// because their parts are concatenated without boundaries.
func TestFingerprint(t *testing.T) {
	qt.Assert(t, NewFingerprint("ab", "c"), qt.Not(qt.Equals), NewFingerprint("a", "bc"))
	qt.Assert(t, NewFingerprint("a", "b"), qt.Equals, NewFingerprint("a", "b"))
}

// TestOldCrashesAreForgotten guards against a request being blocked because of crashes
// that had expired before the last one.
func TestOldCrashesAreForgotten(t *testing.T) {
	var b Blocker
	now := time.Unix(1000, 0)
	for i, replica := range []string{"a", "b", "c"} {
		now = now.Add(time.Duration(i) * crashTTL)
		b.RecordCrash(Crash{Fingerprint: 1, Replica: replica}, now)
	}
	qt.Assert(t, b.Blocked(1, now), qt.IsFalse)
}

// TestReportedRequestBlock guards against a request that is sent to replicas although another
// daemon blocks it, and against one that stays blocked after a success or without end.
func TestReportedRequestBlock(t *testing.T) {
	start := time.Unix(1000, 0)
	const s = time.Second
	report := func(b *Blocker, at, now time.Duration) bool {
		return b.RecordRequestBlock(RequestTime{Request: 1, At: start.Add(at)}, start.Add(now))
	}
	tests := []struct {
		name  string
		do    func(b *Blocker)
		at    time.Duration
		want  bool
		known int
	}{
		{"reported", func(b *Blocker) { report(b, 0, s) }, s, true, 1},
		{"expired", func(b *Blocker) { report(b, 0, s) }, crashTTL, false, 0},
		{"reported too late", func(b *Blocker) { report(b, 0, crashTTL) }, crashTTL, false, 0},
		{"success here since", func(b *Blocker) {
			report(b, 0, s)
			b.RecordSuccess(1, start.Add(2*s))
			report(b, s, 3*s)
		}, 3 * s, false, 0},
		{"crashes after the success", func(b *Blocker) {
			b.RecordSuccess(1, start)
			report(b, s, 2*s)
		}, 3 * s, true, 1},
		{"repeated with delay", func(b *Blocker) {
			report(b, 0, 0)
			report(b, s/2, s/2)
		}, crashTTL + s/4, false, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var b Blocker
			tc.do(&b)
			qt.Check(t, b.Blocked(1, start.Add(tc.at)), qt.Equals, tc.want)
			qt.Check(t, b.RequestBlocks(start.Add(tc.at)), qt.HasLen, tc.known)
		})
	}
}

// TestRepeatedNoticeOutlivesSuccess guards against crashes that count again after a success
// because their notices are repeated.
func TestRepeatedNoticeOutlivesSuccess(t *testing.T) {
	var b Blocker
	start := time.Unix(1000, 0)
	crashes := []Crash{{Fingerprint: 1, Replica: "a"}, {Fingerprint: 1, Replica: "b"}, {Fingerprint: 1, Replica: "c"}}
	for _, c := range crashes {
		b.RecordCrash(c, start)
	}
	b.RecordSuccess(1, start.Add(time.Second))
	for _, c := range crashes {
		b.RecordCrash(c, start)
	}
	qt.Assert(t, b.Blocked(1, start.Add(2*time.Second)), qt.IsFalse)
}

// TestKnownCrashes guards against crashes that are reported to another daemon although they do
// not count any more, or without the parts that they count for.
func TestKnownCrashes(t *testing.T) {
	c := qt.New(t)
	var b Blocker
	start := time.Unix(1000, 0)
	at := start.Add
	b.RecordCrash(Crash{Fingerprint: 1, Replica: "a", Parts: []Fingerprint{dead, common}}, at(0))
	b.RecordCrash(Crash{Fingerprint: 2, Replica: "b", Parts: []Fingerprint{dead}}, at(time.Second))
	b.RecordCrash(Crash{Fingerprint: 3, Replica: "c"}, at(2*time.Second))
	b.RecordPartSuccess([]Fingerprint{common}, at(0), at(3*time.Second))
	b.RecordSuccess(3, at(3*time.Second))
	c.Assert(b.Crashes(at(4*time.Second)), qt.DeepEquals, []ObservedCrash{
		{Crash{Fingerprint: 2, Replica: "b", Parts: []Fingerprint{dead}}, at(time.Second)},
		{Crash{Fingerprint: 1, Replica: "a", Parts: []Fingerprint{dead}}, at(0)},
	})
	c.Assert(b.Crashes(at(crashTTL+time.Second)), qt.HasLen, 0)
}

// TestBlockEndsWhileRequestComes guards against a request that crashes replicas again each time
// its block ends although it was refused all the while, and against a block of a request that
// only happened to run where replicas crashed.
func TestBlockEndsWhileRequestComes(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name string
		// crashes are the times of crashes of different replicas.
		crashes []time.Duration
		// every is the time between two requests.
		every   time.Duration
		success time.Duration
		// until is when the first request is sent to a replica.
		until time.Duration
	}{
		{"comes all the time", []time.Duration{0, 70 * time.Millisecond, s}, s, 0, s + maxBlockTime},
		{"comes seldom", []time.Duration{0, 70 * time.Millisecond, s}, 2 * crashTTL, 0, 2 * crashTTL},
		{"replicas crashed at once", []time.Duration{0, 10 * time.Millisecond, 20 * time.Millisecond}, s, 0, crashTTL + s},
		{"succeeds", []time.Duration{0, s, 2 * s}, s, 10 * s, 10 * s},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var b Blocker
			start := time.Unix(1000, 0)
			for i, at := range tc.crashes {
				b.RecordCrash(Crash{Fingerprint: 1, Replica: string(rune('a' + i))}, start.Add(at))
			}
			sent := time.Duration(0)
			for at := max(tc.every, 2*s); sent == 0; at += tc.every {
				now := start.Add(at)
				if at == tc.success {
					b.RecordSuccess(1, now)
				}
				if b.Blocked(1, now) {
					b.RecordRefusal(1, now)
				} else {
					sent = at
				}
			}
			qt.Assert(t, sent, qt.Equals, tc.until)
		})
	}
}

// TestReportedBlockIsExtendedWithoutEnd guards against daemons that extend a block for each
// other although none of them knows its crashes.
func TestReportedBlockIsExtendedWithoutEnd(t *testing.T) {
	start := time.Unix(1000, 0)
	daemons := []*Blocker{{}, {}}
	daemons[0].RecordRequestBlock(RequestTime{Request: 1, At: start}, start)
	for at := time.Duration(0); at < 3*crashTTL; at += time.Second {
		now := start.Add(at)
		for i, b := range daemons {
			b.RecordRefusal(1, now)
			for _, p := range b.RequestBlocks(now) {
				daemons[1-i].RecordRequestBlock(RequestTime{Request: 1, At: p.At.Add(300 * time.Millisecond)}, now.Add(300*time.Millisecond))
			}
		}
	}
	qt.Assert(t, daemons[0].Blocked(1, start.Add(crashTTL+2*blockExtension)), qt.IsFalse)
}

// TestExtendedBlockIsPassedOn guards against a daemon that learns late of a block that was
// extended and does not extend it in turn.
func TestExtendedBlockIsPassedOn(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	var old, late Blocker
	for i := range 3 {
		old.RecordCrash(Crash{Fingerprint: 1, Replica: string(rune('a' + i))}, start.Add(time.Duration(i)*time.Second))
	}
	now := start
	for ; now.Sub(start) < 3*crashTTL; now = now.Add(10 * time.Second) {
		old.RecordRefusal(1, now)
	}
	for _, p := range old.RequestBlocks(now) {
		late.RecordRequestBlock(p, now)
	}
	for _, crash := range old.Crashes(now) {
		late.RecordCrash(crash.Crash, crash.At)
	}
	c.Assert(late.Blocked(1, now), qt.IsTrue)
	late.RecordRefusal(1, now)
	c.Assert(late.Blocked(1, now.Add(crashTTL-time.Second)), qt.IsTrue)
}

// TestManyCrashesHideNextOne guards against a request that is never blocked because so many
// others have crashed replicas.
func TestManyCrashesHideNextOne(t *testing.T) {
	c := qt.New(t)
	var b Blocker
	now := time.Unix(1000, 0)
	for _, replica := range []string{"a", "b", "c"} {
		b.RecordCrash(Crash{Fingerprint: 1, Replica: replica}, now)
	}
	for i := range 2 * maxFingerprints {
		b.RecordCrash(Crash{Fingerprint: Fingerprint(1000 + i), Replica: "a"}, now)
	}
	for _, replica := range []string{"a", "b", "c"} {
		b.RecordCrash(Crash{Fingerprint: 2, Replica: replica}, now)
	}
	c.Check(b.Blocked(1, now), qt.IsTrue, qt.Commentf("blocked before"))
	c.Check(b.Blocked(2, now), qt.IsTrue, qt.Commentf("crashes after the others"))
	c.Check(len(b.records) <= maxFingerprints, qt.IsTrue)
}

// TestRequestNeedsAllCrashesAgain guards against a request that crashes as many replicas again
// after its block has ended. The first crashes came at once, so that the block was not extended.
func TestRequestNeedsAllCrashesAgain(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	tests := []struct {
		name    string
		after   time.Duration
		success bool
		want    bool
	}{
		{"right after the block", crashTTL + time.Second, false, true},
		{"minutes later", maxBlockTime, false, true},
		{"too late", maxBlockTime + crashTTL, false, false},
		{"after a success", crashTTL + time.Second, true, false},
	}
	for _, tc := range tests {
		var b Blocker
		for i := range 3 {
			b.RecordCrash(Crash{Fingerprint: 1, Replica: string(rune('a' + i))}, start.Add(time.Duration(i)*30*time.Millisecond))
		}
		now := start.Add(tc.after)
		c.Assert(b.Blocked(1, now), qt.IsFalse, qt.Commentf(tc.name))
		if tc.success {
			b.RecordSuccess(1, now)
		}
		now = now.Add(30 * time.Millisecond)
		b.RecordCrash(Crash{Fingerprint: 1, Replica: "d"}, now)
		c.Check(b.Blocked(1, now), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}
