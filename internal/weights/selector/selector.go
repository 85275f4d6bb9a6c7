// Package selector decides on which model versions requests may start and which
// version a replica loads next.
package selector

import (
	"sync"
	"time"
)

// margin is the time before the end of the window from which new requests no longer
// use the older version. It covers the time that a request may be queued at its
// replica, and the delay between the announcement of the newer version and the
// time at which this daemon learned of it.
const margin = 1200 * time.Millisecond

// recallMargin is the time before the end of the window at which a request that is
// still queued at its replica is recalled. It covers the delay between the
// announcement of the newer version and the time at which this daemon learned of
// it.
const recallMargin = time.Second

// VersionTracker records the announced versions of each model and when this daemon
// learned of them. Window must be set before use.
type VersionTracker struct {
	// Window is how long requests may start on an older version after a newer one
	// was announced.
	Window time.Duration

	mu     sync.Mutex
	models map[string]*modelHistory
}

// modelHistory holds the announced versions of one model.
type modelHistory struct {
	newest int
	// history holds the latest announcements in ascending order of version.
	history []announcement
}

// announcement is a version and when this daemon learned of it.
type announcement struct {
	version int
	at      time.Time
}

// maxHistory limits the announcements that are kept for each model.
const maxHistory = 16

// Update records the newest announced versions and returns the models that have
// a new one. The versions of the first call are treated as announced a window
// ago: a daemon that has just started does not know when they were announced.
func (n *VersionTracker) Update(versions map[string]int, now time.Time) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := now
	if n.models == nil {
		n.models = map[string]*modelHistory{}
		at = now.Add(-n.Window)
	}
	var updated []string
	for model, version := range versions {
		if n.record(model, version, at) {
			updated = append(updated, model)
		}
	}
	return updated
}

// Initialized reports whether Update was called.
func (n *VersionTracker) Initialized() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.models != nil
}

// record adds a version to the history of a model. It returns false if the
// version is not newer than the newest known one.
func (n *VersionTracker) record(model string, version int, at time.Time) bool {
	m := n.models[model]
	if m == nil {
		m = &modelHistory{}
		n.models[model] = m
	}
	if version <= m.newest {
		return false
	}
	m.newest = version
	m.history = append(m.history, announcement{version: version, at: at})
	if len(m.history) > maxHistory {
		m.history = m.history[1:]
	}
	return true
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
		if l.version > version {
			return l.at.Add(n.Window - recallMargin).Sub(now), true
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
		if now.Sub(l.at) >= n.Window-margin {
			oldest = l.version
		}
	}
	return oldest
}

// EngineState is the state of an agent's local engine.
type EngineState struct {
	// Version is the version that the engine serves, or 0 if it serves none.
	Version int
	// Busy is set while the engine executes an order.
	Busy bool
}

// Plan is the next action of an agent. A zero version means no action.
type Plan struct {
	// Load is the version to load into the engine now.
	Load int
	// Fetch is the version to transfer.
	Fetch int
}

const (
	// loadStartShare and loadEndShare are the fractions of the window after which
	// the first and the last replica of a service start to load. In a small fleet,
	// transfers are complete by loadStartShare; after loadEndShare, requests no
	// longer start on the old version.
	loadStartShare = 0.4
	loadEndShare   = 0.85
	// minKeepProgress is the fraction of a version that must have been
	// transferred for its transfer to continue after a newer version is
	// announced: the window of the older version ends earlier, and the origin may
	// fail before the newer one is complete.
	minKeepProgress = 0.25
)

// LoadPosition is the position of a replica in the load order of its service.
type LoadPosition struct {
	// Index is 0 for the replica that loads first.
	Index    int
	Replicas int
}

// Next returns the next action of an agent. held reports whether the agent holds
// a version completely, and since when.
//
// The replicas of a service load one after the other, because a replica accepts no
// requests while it loads and finishes its running requests first. A replica that
// serves no version loads immediately.
func (n *VersionTracker) Next(model string, e EngineState, held func(version int) (time.Time, bool), position LoadPosition, now time.Time) Plan {
	n.mu.Lock()
	defer n.mu.Unlock()
	newest := 1 // the version of a model without announcements
	m := n.models[model]
	if m != nil {
		newest = m.newest
	}
	if e.Version >= newest {
		return Plan{}
	}
	var plan Plan
	if _, ok := held(newest); !ok {
		plan.Fetch = newest
	}
	if e.Busy {
		return plan
	}
	// The newest complete version is loaded, also if it is not the newest announced.
	for version := newest; version > e.Version && version > 0; version-- {
		since, ok := held(version)
		if !ok {
			continue
		}
		if !now.Before(n.loadTime(m, e, position, since)) {
			plan.Load = version
		}
		break
	}
	return plan
}

// KeepTransfer reports whether the transfer of an older version continues after a
// newer one was announced. progress is the transferred fraction of the version.
func KeepTransfer(progress float64) bool { return progress >= minKeepProgress }

// loadTime returns when the replica may load; a zero time means immediately. The
// time is derived from the first announced version that is newer than the engine's,
// because its window ends first. since is when the version to load became complete
// on this agent.
//
// The load times of the replicas are spread over the rest of the window after
// since. All agents complete a transfer at about the same time, and in a large
// fleet half of the load times would have passed by then if they were spread over
// the whole window. Those replicas would load simultaneously; this has left a
// failure domain without replicas for 1.2 s.
func (n *VersionTracker) loadTime(m *modelHistory, e EngineState, position LoadPosition, since time.Time) time.Time {
	if e.Version == 0 || m == nil || position.Replicas <= 1 {
		return time.Time{}
	}
	for _, l := range m.history {
		if l.version > e.Version {
			first := l.at.Add(time.Duration(loadStartShare * float64(n.Window)))
			last := l.at.Add(time.Duration(loadEndShare * float64(n.Window)))
			if since.After(first) {
				first = since
			}
			share := float64(position.Index) / float64(position.Replicas-1)
			return first.Add(time.Duration(share * float64(max(0, last.Sub(first)))))
		}
	}
	return time.Time{}
}
