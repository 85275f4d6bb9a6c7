// Package selector decides on which model versions requests may start and which
// version a replica loads next.
package selector

import (
	"slices"
	"sync"
	"time"
)

// margin is the time before the end of the window from which new requests no longer
// use the older version. It covers the time that a request may be queued at its
// replica, and the delay with which the first daemon learns of the newer version.
const margin = 1200 * time.Millisecond

// recallMargin is the time before the end of the window at which a request that is
// still queued at its replica is recalled. It covers the delay with which the first
// daemon learns of the newer version.
const recallMargin = time.Second

// VersionTracker records the announced versions of each model and when they were
// announced. Window must be set before use.
//
// Nothing says when an announcement was made. A daemon learns of it late by any amount if
// the process, its watch or the daemon that it asked was held up. So each keeps the time
// by which it was made and the time after which it was, and takes both from the daemon
// that learned of it first. Windows begin at the earlier one. A daemon that observed the
// announcement knows more than one that assumes the earliest possible time.
type VersionTracker struct {
	// Window is how long requests may start on an older version after a newer one
	// was announced.
	Window time.Duration
	// CheckPause calls RecordPause if this process has just not run, if set.
	CheckPause func()

	mu     sync.Mutex
	models map[string]*modelHistory
	// reported holds the latest report for each model whose version is not known here.
	reported map[string]Announcement
	// pauseBegan and pauseEnded are the times of the last pause of this process.
	pauseBegan, pauseEnded time.Time
}

// Announcement is a version of a model that was announced after one time and by another.
type Announcement struct {
	Model   string
	Version int
	After   time.Time
	By      time.Time
	// Observed is set if After is when the announcement was delivered to a daemon that
	// waited for it, and not only the earliest possible time.
	Observed bool
	// Unanswered is set if the store answered none of the polls of a daemon between After
	// and By. What was delivered to other daemons at the same time may have been held up.
	Unanswered bool
}

// modelHistory holds the announced versions of one model.
type modelHistory struct {
	newest int
	// history holds the latest announcements in ascending order of version.
	history []Announcement
}

const (
	// maxHistory limits the announcements that are kept for each model.
	maxHistory = 16
	// maxReportedModels limits the reports that wait for their versions.
	maxReportedModels = 64
	// maxDiscoveryShare is the share of the window within which some daemon learns of an
	// announcement.
	maxDiscoveryShare = 0.5
	// minCorrection is the smallest change of the beginning of a window that is reported.
	minCorrection = 100 * time.Millisecond
	// minPauseAftermath is the shortest time after a pause within which news may be from
	// before its end. The sender repeats what was lost at intervals that grow up to the
	// length of the pause.
	minPauseAftermath = 2 * time.Second
	// maxDeliverySpread is the time within which daemons that wait for an announcement
	// learn of it.
	maxDeliverySpread = 500 * time.Millisecond
)

// Update records the newest announced versions and returns those that were unknown. after
// is the earliest time at which they may have been announced: now if they were delivered to
// this daemon while it waited, or zero if the time is unknown. The versions of the first
// call are treated as announced a window ago until another daemon reports more: a daemon
// that has just started does not know.
func (n *VersionTracker) Update(versions map[string]int, after, now time.Time) []Announcement {
	return n.update(versions, after, false, now)
}

// UpdateUnanswered is Update on a daemon that polls the store, after which the store
// answered none of its polls until now.
func (n *VersionTracker) UpdateUnanswered(versions map[string]int, after, now time.Time) []Announcement {
	return n.update(versions, after, true, now)
}

func (n *VersionTracker) update(versions map[string]int, after time.Time, unanswered bool, now time.Time) []Announcement {
	n.checkPause()
	n.mu.Lock()
	defer n.mu.Unlock()
	// Polls that this process did not make say nothing about the store.
	a := Announcement{After: n.earliest(after, now), By: now, Unanswered: unanswered && !n.isAfterPause(now)}
	if n.models == nil {
		n.models = map[string]*modelHistory{}
		a.After, a.Unanswered = now.Add(-n.Window), false
	}
	var unknown []Announcement
	a.Observed = a.After.Equal(now)
	for model, version := range versions {
		a.Model, a.Version = model, version
		if recorded, ok := n.record(a); ok {
			unknown = append(unknown, recorded)
		}
	}
	return unknown
}

// earliest returns the earliest time at which versions that this daemon learns of now may
// have been announced.
func (n *VersionTracker) earliest(after, now time.Time) time.Time {
	limit := now.Add(-time.Duration(maxDiscoveryShare * float64(n.Window)))
	if n.isAfterPause(now) {
		limit, after = earlier(limit, n.pauseBegan), earlier(after, n.pauseBegan)
	}
	if after.Before(limit) {
		return limit
	}
	return after
}

// isAfterPause reports whether news may be from before the end of a pause.
func (n *VersionTracker) isAfterPause(now time.Time) bool {
	aftermath := max(minPauseAftermath, n.pauseEnded.Sub(n.pauseBegan))
	return !n.pauseEnded.IsZero() && now.Sub(n.pauseEnded) <= aftermath
}

// Initialized reports whether Update was called.
func (n *VersionTracker) Initialized() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.models != nil
}

// record adds a version to the history of its model and returns it with what other daemons
// have reported of it. It returns false if it is not newer than the newest known one.
func (n *VersionTracker) record(a Announcement) (Announcement, bool) {
	m := n.models[a.Model]
	if m == nil {
		m = &modelHistory{}
		n.models[a.Model] = m
	}
	if a.Version <= m.newest {
		return a, false
	}
	if r, ok := n.reported[a.Model]; ok && r.Version == a.Version {
		a.correct(r)
		delete(n.reported, a.Model)
	}
	m.newest = a.Version
	m.history = append(m.history, a)
	m.trim()
	return a, true
}

// correct takes the times of a report if it is of a daemon that learned of the announcement
// earlier. Times that are not only the earliest possible ones are kept, or taken, unless
// they are too late to agree with the other daemon. It reports whether that moves the
// beginning of the window noticeably.
func (a *Announcement) correct(r Announcement) bool {
	old := a.After
	switch {
	case r.Unanswered && a.Observed:
		if !r.agrees(*a) {
			return false
		}
		a.take(earlier(r.After, a.After), earlier(r.By, a.By), r)
	case a.Unanswered && r.Observed:
		if a.agrees(r) {
			return false
		}
		a.take(r.After, r.By, r)
	case r.isInformed() && !a.isInformed() && r.agrees(*a):
		a.take(earlier(r.After, a.By), earlier(r.By, a.By), r)
	case !r.By.Before(a.By):
		return false
	case a.isInformed() && !r.isInformed() && a.agrees(r):
		a.After, a.By = earlier(a.After, r.By), r.By
	default:
		a.take(r.After, r.By, r)
	}
	return old.Sub(a.After).Abs() >= minCorrection
}

// take sets the times, and takes what they rest on from a report.
func (a *Announcement) take(after, by time.Time, r Announcement) {
	a.After, a.By, a.Observed, a.Unanswered = after, by, r.Observed, r.Unanswered
}

// isInformed reports whether the times are not only the earliest possible ones.
func (a *Announcement) isInformed() bool { return a.Observed || a.Unanswered }

// agrees reports whether an announcement may be the one that another daemon learned of:
// whether it was observed, or found by a daemon without answers, at that time or before.
func (a *Announcement) agrees(other Announcement) bool {
	at := a.After
	if a.Unanswered {
		at = a.By
	}
	return !at.After(other.By.Add(maxDeliverySpread))
}

// correct takes the times of a report of a version that is not newer than the newest. A
// version that this daemon has not seen is added: it ended the window of an earlier one if
// two versions were announced before this daemon learned of either.
func (m *modelHistory) correct(r Announcement) (changed bool) {
	i, known := slices.BinarySearchFunc(m.history, r.Version, func(a Announcement, version int) int { return a.Version - version })
	if known {
		return m.history[i].correct(r)
	}
	if len(m.history) == maxHistory && i == 0 {
		return false
	}
	m.history = slices.Insert(m.history, i, r)
	m.trim()
	return true
}

// trim limits the history to the latest announcements.
func (m *modelHistory) trim() {
	if len(m.history) > maxHistory {
		m.history = m.history[1:]
	}
}

// RecordReport records what another daemon knows of an announcement. It returns true if
// that moves the beginning of its window noticeably. A report may arrive late, and its
// times are then late by as much; none is early.
func (n *VersionTracker) RecordReport(r Announcement) (changed bool) {
	if n.vague(r) {
		return false
	}
	n.checkPause()
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.models[r.Model]; m != nil && r.Version <= m.newest {
		return m.correct(r)
	}
	known, ok := n.reported[r.Model]
	switch {
	case ok && (known.Version > r.Version || known.Version == r.Version && !r.By.Before(known.By)):
		return false
	case !ok && len(n.reported) >= maxReportedModels:
		return false
	case n.reported == nil:
		n.reported = map[string]Announcement{}
	}
	n.reported[r.Model] = r
	return false
}

// RecordPause records that this process did not run for a while. Its clock did not count
// the suspended part. What it learned since the pause began may be from any time of it.
func (n *VersionTracker) RecordPause(began, ended time.Time, suspended time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pauseBegan, n.pauseEnded = began.Add(-suspended), ended
	for _, m := range n.models {
		for i := range m.history {
			a := &m.history[i]
			if a.By.After(began) {
				a.After, a.Observed, a.Unanswered = earlier(a.After, n.pauseBegan), false, false
				continue
			}
			a.After, a.By = a.After.Add(-suspended), a.By.Add(-suspended)
		}
	}
	for model, r := range n.reported {
		r.After, r.By = r.After.Add(-suspended), r.By.Add(-suspended)
		n.reported[model] = r
	}
}

// checkPause records a pause that has just ended. What is recorded after it has other times
// than what was recorded before.
func (n *VersionTracker) checkPause() {
	if n.CheckPause != nil {
		n.CheckPause()
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// vague reports whether an announcement may have been made at any time of a window or
// longer, which is all that a daemon knows that has just started.
func (n *VersionTracker) vague(a Announcement) bool { return a.By.Sub(a.After) >= n.Window }

// Announcements returns the announcements of the last window, for the other daemons. Vague
// ones are left out: they would end the windows of daemons that know more.
func (n *VersionTracker) Announcements(now time.Time) []Announcement {
	n.checkPause()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Announcement
	for _, m := range n.models {
		for _, a := range m.history {
			if now.Sub(a.By) < n.Window && !n.vague(a) {
				out = append(out, a)
			}
		}
	}
	return out
}

// Newest returns the newest announced version of a model, or 0 if there is none.
func (n *VersionTracker) Newest(model string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.models[model]; m != nil {
		return m.newest
	}
	return 0
}

// ExpiresIn returns how long a request may still be queued before it starts on a
// version; the result is negative if that time has passed. It returns false if no
// newer version was announced.
func (n *VersionTracker) ExpiresIn(model string, version int, now time.Time) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.models[model]
	if m == nil {
		return 0, false
	}
	for _, l := range m.history {
		if l.Version > version {
			return l.After.Add(n.Window - recallMargin).Sub(now), true
		}
	}
	return 0, false
}

// OldestAllowed returns the oldest version on which a request may start, or 0 if all
// versions are allowed. It is the newest version that was announced at least a
// window, less margin, ago.
func (n *VersionTracker) OldestAllowed(model string, now time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.models[model]
	if m == nil {
		return 0
	}
	oldest := 0
	for _, l := range m.history {
		if now.Sub(l.After) >= n.Window-margin {
			oldest = l.Version
		}
	}
	return oldest
}
