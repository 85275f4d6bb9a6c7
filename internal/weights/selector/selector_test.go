package selector

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const window = 8 * time.Second

// holding returns a function for Next that reports the versions as complete before
// they were announced.
func holding(versions ...int) func(int) (time.Time, bool) {
	return holdingSince(time.Time{}, versions...)
}

// holdingSince returns a function for Next that reports the versions as complete
// since a point in time.
func holdingSince(since time.Time, versions ...int) func(int) (time.Time, bool) {
	return func(v int) (time.Time, bool) { return since, slices.Contains(versions, v) }
}

// TestOldest guards against requests that start on a version whose window has
// ended, also in a daemon that has just started.
func TestOldest(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	n := &VersionTracker{Window: window}
	c.Assert(n.Initialized(), qt.IsFalse)
	n.Update(map[string]int{"m": 2}, start, start)
	c.Assert(n.Initialized(), qt.IsTrue)
	c.Assert(n.OldestAllowed("m", start), qt.Equals, 2)
	c.Assert(n.Update(map[string]int{"m": 3}, start.Add(time.Second), start.Add(time.Second)), qt.HasLen, 1)
	c.Assert(n.Update(map[string]int{"m": 3}, start.Add(2*time.Second), start.Add(2*time.Second)), qt.HasLen, 0)
	tests := []struct {
		after time.Duration
		want  int
	}{
		{time.Second, 2},
		{time.Second + window - margin - time.Millisecond, 2},
		{time.Second + window - margin, 3},
	}
	for _, tc := range tests {
		c.Check(n.OldestAllowed("m", start.Add(tc.after)), qt.Equals, tc.want)
	}
	c.Assert(n.OldestAllowed("other", start), qt.Equals, 0)
	left, ends := n.ExpiresIn("m", 2, start.Add(2*time.Second))
	c.Assert(ends, qt.IsTrue)
	c.Assert(left, qt.Equals, window-time.Second-recallMargin)
	_, ends = n.ExpiresIn("m", 3, start)
	c.Assert(ends, qt.IsFalse)
}

// TestWindowFromLateNews guards against requests that start on a version after its window
// because this daemon learned late of the next one, and against windows that end early
// although another daemon knows when it was announced.
func TestWindowFromLateNews(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	report := func(n *VersionTracker, after, by float64) {
		n.RecordReport(Announcement{Model: "m", Version: 2, After: at(after), By: at(by)})
	}
	tests := []struct {
		name   string
		events func(n *VersionTracker)
		// want is when version 2 counts as announced, in seconds.
		want float64
	}{
		{"learned at once", func(n *VersionTracker) { n.Update(map[string]int{"m": 2}, at(8), at(8)) }, 8},
		{"found by a poll", func(n *VersionTracker) { n.Update(map[string]int{"m": 2}, at(7.4), at(8)) }, 7.4},
		{"found after an unknown time", func(n *VersionTracker) { n.Update(map[string]int{"m": 2}, time.Time{}, at(8)) }, 4},
		{"pause noticed before the news", func(n *VersionTracker) {
			n.RecordPause(at(8), at(11.8), 0)
			n.Update(map[string]int{"m": 2}, at(11.8), at(11.8))
		}, 8},
		{"pause noticed after the news", func(n *VersionTracker) {
			n.Update(map[string]int{"m": 2}, at(11.8), at(11.8))
			n.RecordPause(at(8), at(11.9), 0)
		}, 8},
		{"news sent again after a long pause", func(n *VersionTracker) {
			n.RecordPause(at(6), at(9), 0)
			n.Update(map[string]int{"m": 2}, at(11.9), at(11.9))
		}, 6},
		{"news long after a pause", func(n *VersionTracker) {
			n.RecordPause(at(2), at(4), 0)
			n.Update(map[string]int{"m": 2}, at(8), at(8))
		}, 8},
		{"clock that stops", func(n *VersionTracker) {
			n.Update(map[string]int{"m": 2}, at(8), at(8))
			n.RecordPause(at(9), at(9.2), 4*time.Second)
		}, 4},
		{"announced while the clock stopped", func(n *VersionTracker) {
			n.Update(map[string]int{"m": 2}, at(9.1), at(9.1))
			n.RecordPause(at(9), at(9.2), 4*time.Second)
		}, 5},
		{"reported before the clock stopped", func(n *VersionTracker) {
			report(n, 8.3, 8.3)
			n.RecordPause(at(9), at(9.2), 4*time.Second)
			n.Update(map[string]int{"m": 2}, at(9.2), at(9.2))
		}, 4.3},
		{"reported after the news", func(n *VersionTracker) {
			n.Update(map[string]int{"m": 2}, at(11.8), at(11.8))
			report(n, 8.3, 8.3)
			report(n, 8.2, 8.25)
			report(n, 10, 10)
		}, 8.2},
		{"reported before the news", func(n *VersionTracker) {
			report(n, 8.3, 8.3)
			report(n, 8.2, 8.25)
			report(n, 10, 10)
			n.Update(map[string]int{"m": 2}, at(11.8), at(11.8))
		}, 8.2},
		{"reported by a daemon that was running in the pause", func(n *VersionTracker) {
			n.RecordPause(at(4), at(11.8), 0)
			n.Update(map[string]int{"m": 2}, at(11.8), at(11.8))
			report(n, 8.3, 8.3)
		}, 8.3},
		{"reported by a daemon that learned of it after the pause", func(n *VersionTracker) {
			n.RecordPause(at(8), at(11.8), 0)
			n.Update(map[string]int{"m": 2}, at(11.8), at(11.8))
			report(n, 11.9, 11.9)
		}, 8},
		{"reports that waited in the pause", func(n *VersionTracker) {
			n.RecordPause(at(4), at(11.8), 0)
			report(n, 11.7, 11.7)
			n.Update(map[string]int{"m": 2}, at(11.8), at(11.8))
			report(n, 11.2, 11.2)
			report(n, 8.3, 8.3)
		}, 8.3},
	}
	for _, tc := range tests {
		n := &VersionTracker{Window: window}
		n.Update(map[string]int{"m": 1}, start, start)
		tc.events(n)
		end := at(tc.want).Add(window - margin)
		qt.Check(t, n.OldestAllowed("m", end), qt.Equals, 2, qt.Commentf("%s, at the end", tc.name))
		qt.Check(t, n.OldestAllowed("m", end.Add(-time.Millisecond)), qt.Equals, 1, qt.Commentf("%s, before the end", tc.name))
	}
}

// TestStartedDaemonLearnsAge guards against a daemon that uses no replica of the earlier
// version for the rest of its window because it was started in it.
func TestStartedDaemonLearnsAge(t *testing.T) {
	start := time.Unix(1000, 0)
	n := &VersionTracker{Window: window}
	n.Update(map[string]int{"m": 2}, time.Time{}, start)
	qt.Assert(t, n.OldestAllowed("m", start), qt.Equals, 2)
	reported := Announcement{Model: "m", Version: 2, After: start.Add(-2 * time.Second), By: start.Add(-time.Second)}
	n.RecordReport(reported)
	qt.Assert(t, n.OldestAllowed("m", start), qt.Equals, 0)
	qt.Assert(t, n.Announcements(start), qt.DeepEquals, []Announcement{reported})
	qt.Assert(t, n.Announcements(start.Add(window)), qt.HasLen, 0)
}

// TestStartedDaemonEndsNoWindowElsewhere guards against callers that lose all replicas of a
// version at the naming of the next one because another daemon started just then.
func TestStartedDaemonEndsNoWindowElsewhere(t *testing.T) {
	start := time.Unix(1000, 0)
	running, started := &VersionTracker{Window: window}, &VersionTracker{Window: window}
	running.Update(map[string]int{"m": 1}, start.Add(-time.Minute), start.Add(-time.Minute))
	started.Update(map[string]int{"m": 2}, start, start)
	learned := start.Add(20 * time.Millisecond)
	running.Update(map[string]int{"m": 2}, learned, learned)
	qt.Assert(t, started.Announcements(learned), qt.HasLen, 0)
	running.RecordReport(Announcement{Model: "m", Version: 2, After: start.Add(-window), By: start})
	qt.Assert(t, running.OldestAllowed("m", start.Add(window-margin)), qt.Equals, 1)
}

// TestPauseBeforeNamingShortensNoWindow guards against callers that lose all replicas of a
// version seconds too early because a daemon was suspended before the next one was named.
func TestPauseBeforeNamingShortensNoWindow(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	tests := []struct {
		name string
		// paused and running are when the daemons learn of version 2.
		paused, running float64
		// want is when it counts as announced on both.
		want float64
	}{
		{"first to learn", 8, 8.02, 8},
		{"last to learn", 8.04, 8.02, 8.02},
		{"the other was not waiting", 8, 9, 3},
	}
	for _, tc := range tests {
		paused, running := &VersionTracker{Window: window}, &VersionTracker{Window: window}
		for _, n := range []*VersionTracker{paused, running} {
			n.Update(map[string]int{"m": 1}, at(-60), at(-60))
		}
		paused.RecordPause(at(3), at(7), 0)
		paused.Update(map[string]int{"m": 2}, at(tc.paused), at(tc.paused))
		running.Update(map[string]int{"m": 2}, at(tc.running), at(tc.running))
		ofPaused, ofRunning := paused.Announcements(at(9)), running.Announcements(at(9))
		qt.Assert(t, ofPaused, qt.HasLen, 1)
		qt.Assert(t, ofRunning, qt.HasLen, 1)
		paused.RecordReport(ofRunning[0])
		running.RecordReport(ofPaused[0])
		end := at(tc.want).Add(window - margin)
		for _, n := range []*VersionTracker{paused, running} {
			qt.Check(t, n.OldestAllowed("m", end), qt.Equals, 2, qt.Commentf("%s, at the end", tc.name))
			qt.Check(t, n.OldestAllowed("m", end.Add(-time.Millisecond)), qt.Not(qt.Equals), 2, qt.Commentf("%s, before the end", tc.name))
		}
	}
}

// TestNamingWhileStoreIsCutOffExtendsWindow guards against requests that start on a version
// after its window because all daemons were cut off from the store when the next one was named.
func TestNamingWhileStoreIsCutOffExtendsWindow(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	tests := []struct {
		name string
		// polled is when the polling daemon had its last answer before version 2, found is when
		// it learned of it, and delivered when the waiting daemon did.
		polled, found, delivered float64
		// want is when version 2 counts as announced on both.
		want float64
	}{
		{"delivered first", 7.8, 9.61, 9.6, 7.8},
		{"found first", 7.8, 9.6, 9.65, 7.8},
		{"only the polling daemon was cut off", 7.8, 9.61, 8.26, 8.26},
	}
	for _, tc := range tests {
		polling, waiting, started := &VersionTracker{Window: window}, &VersionTracker{Window: window}, &VersionTracker{Window: window}
		all := []*VersionTracker{polling, waiting, started}
		for _, n := range all {
			n.Update(map[string]int{"m": 1}, at(-60), at(-60))
		}
		polling.UpdateUnanswered(map[string]int{"m": 2}, at(tc.polled), at(tc.found))
		waiting.Update(map[string]int{"m": 2}, at(tc.delivered), at(tc.delivered))
		started.Update(map[string]int{"m": 2}, time.Time{}, at(9.7))
		for range 3 {
			for _, from := range all {
				for _, to := range all {
					if from != to {
						to.RecordReport(from.Announcements(at(9.8))[0])
					}
				}
			}
		}
		end := at(tc.want).Add(window - margin)
		for i, n := range all {
			qt.Check(t, n.OldestAllowed("m", end), qt.Equals, 2, qt.Commentf("%s, daemon %d at the end", tc.name, i))
			qt.Check(t, n.OldestAllowed("m", end.Add(-time.Millisecond)), qt.Not(qt.Equals), 2, qt.Commentf("%s, daemon %d before the end", tc.name, i))
		}
	}
	n := &VersionTracker{Window: window}
	n.Update(map[string]int{"m": 1}, at(-60), at(-60))
	n.RecordPause(at(4), at(8), 0)
	found := n.UpdateUnanswered(map[string]int{"m": 2}, at(3.9), at(8.04))
	qt.Check(t, found[0].Unanswered, qt.IsFalse)
}

// TestReportBeforePauseIsNoticedShortensWindow guards against callers that lose all replicas
// of a version too early because a daemon learned of its age before it noticed a pause.
func TestReportBeforePauseIsNoticedShortensWindow(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	n := &VersionTracker{Window: window}
	n.Update(map[string]int{"m": 1}, at(-60), at(-60))
	n.Update(map[string]int{"m": 2}, at(8), at(8))
	// The clock stops for 2 s.
	paused := true
	n.CheckPause = func() {
		if paused {
			paused = false
			n.RecordPause(at(9), at(9.2), 2*time.Second)
		}
	}
	n.RecordReport(Announcement{Model: "m", Version: 2, After: at(6), By: at(6), Observed: true})
	n.CheckPause()
	end := at(6).Add(window - margin)
	qt.Check(t, n.OldestAllowed("m", end), qt.Equals, 2)
	qt.Check(t, n.OldestAllowed("m", end.Add(-time.Millisecond)), qt.Equals, 1)
	sent := n.Announcements(at(9.2))
	qt.Assert(t, sent, qt.HasLen, 1)
	qt.Check(t, sent[0].By, qt.Equals, at(6))
}

// TestVersionSkippedByLateNews guards against requests that start on a version after its
// window because this daemon learned only of the last of two versions named meanwhile.
func TestVersionSkippedByLateNews(t *testing.T) {
	start := time.Unix(1000, 0)
	skipped := Announcement{Model: "m", Version: 2, After: start, By: start}
	last := Announcement{Model: "m", Version: 3, After: start.Add(3 * time.Second), By: start.Add(3 * time.Second)}
	news := start.Add(3500 * time.Millisecond)
	tests := []struct {
		name  string
		first []Announcement
		then  []Announcement
	}{
		{"reported after the news", nil, []Announcement{last, skipped}},
		{"reported before and after the news", []Announcement{skipped, last}, []Announcement{skipped, last}},
	}
	for _, tc := range tests {
		n := &VersionTracker{Window: window}
		n.Update(map[string]int{"m": 1}, start.Add(-time.Minute), start.Add(-time.Minute))
		for _, r := range tc.first {
			n.RecordReport(r)
		}
		n.Update(map[string]int{"m": 3}, news, news)
		for _, r := range tc.then {
			n.RecordReport(r)
		}
		end := start.Add(window - margin)
		qt.Check(t, n.OldestAllowed("m", end), qt.Equals, 2, qt.Commentf(tc.name))
		left, ends := n.ExpiresIn("m", 1, end)
		qt.Check(t, ends && left == margin-recallMargin, qt.IsTrue, qt.Commentf("%s: %v", tc.name, left))
		qt.Check(t, n.OldestAllowed("m", last.By.Add(window-margin)), qt.Equals, 3, qt.Commentf(tc.name))
	}
	n := &VersionTracker{Window: window}
	n.Update(map[string]int{"m": 3 * maxHistory}, start, start)
	for version := range 3 * maxHistory {
		n.RecordReport(Announcement{Model: "m", Version: version, After: start, By: start})
	}
	qt.Check(t, n.models["m"].history, qt.HasLen, maxHistory)
}

// TestReportsOfUnknownModels guards against memory that grows with what other programs send.
func TestReportsOfUnknownModels(t *testing.T) {
	n := &VersionTracker{Window: window}
	for i := range 2 * maxReportedModels {
		n.RecordReport(Announcement{Model: string(rune('a' + i)), Version: 1, After: time.Unix(1000, 0), By: time.Unix(1000, 0)})
	}
	qt.Assert(t, n.reported, qt.HasLen, maxReportedModels)
}

// TestNext guards against replicas that load simultaneously, engines without a
// version that are left idle, and agents that wait for the newest version although
// they hold an earlier one.
func TestNext(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name     string
		engine   EngineState
		held     func(int) (time.Time, bool)
		position LoadPosition
		after    time.Duration
		want     Plan
	}{
		{"newest served", EngineState{Version: 3}, holding(), LoadPosition{0, 4}, 0, Plan{}},
		{"newest missing", EngineState{Version: 2}, holding(2), LoadPosition{0, 4}, 2 * time.Second, Plan{Fetch: 3}},
		{"held, first position", EngineState{Version: 2}, holding(3), LoadPosition{0, 4}, 3200 * time.Millisecond, Plan{Load: 3}},
		{"held, last position, before its load time", EngineState{Version: 2}, holding(3), LoadPosition{3, 4}, 6 * time.Second, Plan{}},
		{"held, last position, at its load time", EngineState{Version: 2}, holding(3), LoadPosition{3, 4}, 6800 * time.Millisecond, Plan{Load: 3}},
		// Versions that are complete late. In a fleet of 100 replicas, a version was
		// complete after 0.58 of its window, when 45 load times had already passed.
		{"held late, first position", EngineState{Version: 2}, holdingSince(start.Add(5*time.Second), 3), LoadPosition{0, 4}, 5 * time.Second, Plan{Load: 3}},
		{"held late, second position, before its load time", EngineState{Version: 2}, holdingSince(start.Add(5*time.Second), 3), LoadPosition{1, 4}, 5 * time.Second, Plan{}},
		{"held late, second position, at its load time", EngineState{Version: 2}, holdingSince(start.Add(5*time.Second), 3), LoadPosition{1, 4}, 5600 * time.Millisecond, Plan{Load: 3}},
		{"held after all load times", EngineState{Version: 2}, holdingSince(start.Add(7*time.Second), 3), LoadPosition{3, 4}, 7 * time.Second, Plan{Load: 3}},
		{"busy", EngineState{Version: 2, Busy: true}, holding(3), LoadPosition{0, 4}, 7 * time.Second, Plan{}},
		{"empty engine loads immediately", EngineState{}, holding(3), LoadPosition{3, 4}, 0, Plan{Load: 3}},
		{"empty engine without chunks", EngineState{}, holding(), LoadPosition{3, 4}, 0, Plan{Fetch: 3}},
		{"empty engine loads an older held version", EngineState{}, holding(2), LoadPosition{3, 4}, 0, Plan{Load: 2, Fetch: 3}},
		{"an older version is complete first", EngineState{Version: 1}, holding(2), LoadPosition{3, 4}, 0, Plan{Load: 2, Fetch: 3}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			n := &VersionTracker{Window: window}
			n.Update(map[string]int{"m": 2}, start, start)
			n.Update(map[string]int{"m": 3}, start, start)
			qt.Assert(t, n.Next("m", tc.engine, tc.held, tc.position, start.Add(tc.after)), qt.DeepEquals, tc.want)
		})
	}
}

// TestKeepTransfer guards against a service that gets no version at all. This happened when the
// origin failed right after the second of two versions was announced: the nearly complete
// transfer of the first had been dropped. It guards against the opposite, too: while the origin
// was down, all agents kept the transfer of the first version, completed it when its window had
// nearly ended, and only then began that of the second.
func TestKeepTransfer(t *testing.T) {
	const second = time.Second
	start := time.Unix(1000, 0)
	tests := []struct {
		name string
		// progress and elapsed are those of the transfer of version 2, which was announced at
		// start; version 3 was announced two seconds later.
		progress float64
		elapsed  time.Duration
		want     bool
	}{
		{"hardly begun", 0.1, 2 * second, false},
		{"nearly complete", 0.9, 2 * second, true},
		{"a quarter", 0.25, 2 * second, false},
		{"half", 0.5, 2500 * time.Millisecond, true},
		{"half, held up", 0.5, 5 * second, false},
		{"nearly complete, held up", 0.9, 5 * second, true},
		{"nearly complete, held up until the window ends", 0.9, 9 * second, false},
	}
	for _, tc := range tests {
		n := &VersionTracker{Window: 9700 * time.Millisecond}
		n.Update(map[string]int{"m": 1}, start.Add(-time.Hour), start.Add(-time.Hour))
		n.Update(map[string]int{"m": 2}, start, start)
		n.Update(map[string]int{"m": 3}, start.Add(2*second), start.Add(2*second))
		got := n.KeepTransfer(Transfer{Model: "m", Version: 2, Progress: tc.progress, Elapsed: tc.elapsed}, start.Add(tc.elapsed))
		qt.Check(t, got, qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}
