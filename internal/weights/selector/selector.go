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

// Named knows the versions that were named and when. Window is set before use;
// the zero value otherwise is ready.
type Named struct {
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

// Learn records the newest named versions and returns the models that have a
// new one. Versions of the first call count as named long ago: a daemon that has
// just started does not know when they were named.
func (n *Named) Learn(versions map[string]int, now time.Time) []string {
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

// Known tells whether Learn was called.
func (n *Named) Known() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.models != nil
}

func (n *Named) name(model string, version int, at time.Time) bool {
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
func (n *Named) Newest(model string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.models[model]; m != nil {
		return m.newest
	}
	return 0
}

// Oldest returns the oldest version on which a request may begin: the newest
// one whose window has ended.
func (n *Named) Oldest(model string, now time.Time) int {
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

// Engine is the state of the engine beside an agent.
type Engine struct {
	// Version is the version that the engine serves; 0 for none.
	Version int
	// Busy is set while an order is in progress.
	Busy bool
}

// Action is what an agent does next: Nothing, Fetch or Load.
type Action interface{ action() }

// Nothing means that the engine serves the newest version, or is busy.
type Nothing struct{}

// Fetch means that a version has to be transferred.
type Fetch struct{ Version int }

// Load means that the engine is to load a version that is held, not before a
// time.
type Load struct {
	Version int
	At      time.Time
}

func (Nothing) action() {}
func (Fetch) action()   {}
func (Load) action()    {}

// loadShare is the part of the window within which replicas begin to load. The
// rest is for the requests that are running at the last of them.
const loadShare = 0.5

// Turn is the place of a replica among those of its service, 0 first.
type Turn struct {
	Position int
	Replicas int
}

// Next decides what an agent does. Held tells which versions it holds whole.
//
// Replicas load one after the other, because one that loads takes no requests
// until those that run have ended. A replica that serves nothing loads at once.
func (n *Named) Next(model string, e Engine, held func(version int) bool, turn Turn, now time.Time) Action {
	n.mu.Lock()
	defer n.mu.Unlock()
	newest := 1
	m := n.models[model]
	if m != nil {
		newest = m.newest
	}
	if e.Version >= newest {
		return Nothing{}
	}
	// A version in between is loaded too if it is there before the newest one,
	// because its own window ends earlier.
	for version := newest; version > e.Version; version-- {
		if !held(version) {
			continue
		}
		if e.Busy {
			return Nothing{}
		}
		return Load{Version: version, At: n.loadTime(m, e, version, turn, now)}
	}
	return Fetch{Version: newest}
}

func (n *Named) loadTime(m *naming, e Engine, version int, turn Turn, now time.Time) time.Time {
	if e.Version == 0 || m == nil || turn.Replicas <= 1 {
		return now
	}
	for _, l := range m.history {
		if l.version == version {
			share := loadShare * float64(turn.Position+1) / float64(turn.Replicas)
			return l.at.Add(time.Duration(share * float64(n.Window)))
		}
	}
	return now
}
