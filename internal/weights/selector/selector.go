// Package selector decides which model versions requests may begin on and which
// version a replica loads next.
package selector

import (
	"sync"
	"time"
)

// margin is how long before the end of the window a new version is required. A
// request that is sent may wait at its replica before it begins, and the newer
// version became known a little after it was named.
const margin = 1200 * time.Millisecond

// beginMargin is how long before the end of the window a request that waits at
// its replica is taken back. It covers the time in which the naming of the newer
// version became known.
const beginMargin = time.Second

// VersionTracker knows the versions that were named and when. Window is set before use;
// the zero value otherwise is ready.
type VersionTracker struct {
	// Window is how long requests may begin on an older version.
	Window time.Duration

	mu     sync.Mutex
	models map[string]*naming
}

type naming struct {
	newest int
	// history holds the versions with the time at which each was learned.
	history []learned
}

type learned struct {
	version int
	at      time.Time
}

// maxHistory bounds the versions that are remembered of a model.
const maxHistory = 16

// Update records the newest named versions and returns the models that have a
// new one. Versions of the first call count as named long ago: a daemon that has
// just started does not know when they were named.
func (n *VersionTracker) Update(versions map[string]int, now time.Time) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := now
	if n.models == nil {
		n.models = map[string]*naming{}
		at = now.Add(-n.Window)
	}
	var news []string
	for model, version := range versions {
		if n.name(model, version, at) {
			news = append(news, model)
		}
	}
	return news
}

// Initialized reports whether Update was called.
func (n *VersionTracker) Initialized() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.models != nil
}

func (n *VersionTracker) name(model string, version int, at time.Time) bool {
	m := n.models[model]
	if m == nil {
		m = &naming{}
		n.models[model] = m
	}
	if version <= m.newest {
		return false
	}
	m.newest = version
	m.history = append(m.history, learned{version: version, at: at})
	if len(m.history) > maxHistory {
		m.history = m.history[1:]
	}
	return true
}

// Newest returns the newest version of a model, 0 when none was named.
func (n *VersionTracker) Newest(model string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.models[model]; m != nil {
		return m.newest
	}
	return 0
}

// Expires returns how long a request may still wait to begin on a version, and
// false when no newer version is named.
func (n *VersionTracker) Expires(model string, version int, now time.Time) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.models[model]
	if m == nil {
		return 0, false
	}
	for _, l := range m.history {
		if l.version > version {
			return l.at.Add(n.Window - beginMargin).Sub(now), true
		}
	}
	return 0, false
}

// Oldest returns the oldest version on which a request may begin: the newest
// one whose window has ended.
func (n *VersionTracker) Oldest(model string, now time.Time) int {
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

// EngineState is the state of the engine beside an agent.
type EngineState struct {
	// Version is the version that the engine serves; 0 for none.
	Version int
	// Busy is set while an order is in progress.
	Busy bool
}

// Plan is what an agent does next. Zero versions stand for nothing to do.
type Plan struct {
	// Load is the version that the engine is to load now.
	Load int
	// Fetch is the version to transfer.
	Fetch int
}

const (
	// firstLoadShare and lastLoadShare are the parts of the window between which
	// replicas begin to load. A copy of the weights is there after the first in a
	// small fleet, and after the last requests do not begin on the old version.
	firstLoadShare = 0.4
	lastLoadShare  = 0.85
	// keepShare is the part of a version that has to be there for its transfer
	// to go on when a newer version is named: its window ends earlier, and the
	// origin may fail before the newer one is there.
	keepShare = 0.25
)

// LoadPosition is the place of a replica among those of its service, 0 first.
type LoadPosition struct {
	Index    int
	Replicas int
}

// Next decides what an agent does. Held tells which versions it holds whole, and
// since when.
//
// Replicas load one after the other, because one that loads takes no requests
// until those that run have ended. A replica that serves nothing loads at once.
func (n *VersionTracker) Next(model string, e EngineState, held func(version int) (time.Time, bool), turn LoadPosition, now time.Time) Plan {
	n.mu.Lock()
	defer n.mu.Unlock()
	newest := 1
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
	for version := newest; version > e.Version && version > 0; version-- {
		since, ok := held(version)
		if !ok {
			continue
		}
		if !now.Before(n.loadTime(m, e, turn, since)) {
			plan.Load = version
		}
		break
	}
	return plan
}

// KeepTransfer tells whether the transfer of an older version goes on. Progress
// is the part of it that is there.
func KeepTransfer(progress float64) bool { return progress >= keepShare }

// loadTime returns when the replica's turn comes: that of the first version
// that the engine lacks, because the window of that one ends first. Turns are
// spread over the time that is left once the version is there. All agents hold
// it at about the same time, and in a large fleet half of the turns would be over
// by then: on tmfpa grown a failure domain lost all of its replicas for 1.2 s.
func (n *VersionTracker) loadTime(m *naming, e EngineState, turn LoadPosition, since time.Time) time.Time {
	if e.Version == 0 || m == nil || turn.Replicas <= 1 {
		return time.Time{}
	}
	for _, l := range m.history {
		if l.version > e.Version {
			first := l.at.Add(time.Duration(firstLoadShare * float64(n.Window)))
			last := l.at.Add(time.Duration(lastLoadShare * float64(n.Window)))
			if since.After(first) {
				first = since
			}
			share := float64(turn.Index) / float64(turn.Replicas-1)
			return first.Add(time.Duration(share * float64(max(0, last.Sub(first)))))
		}
	}
	return time.Time{}
}
