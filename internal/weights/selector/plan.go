package selector

import "time"

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
	// minUseShare is the fraction of the window that must be left for loading and using an
	// older version when its transfer is complete.
	minUseShare = 0.3
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

// Transfer is the state of the transfer of a version.
type Transfer struct {
	Model   string
	Version int
	// Progress is the transferred fraction of the version.
	Progress float64
	// Elapsed is the time since the transfer began.
	Elapsed time.Duration
}

// KeepTransfer reports whether the transfer of an older version continues after a newer one was
// announced. It does if enough is complete, and if at the rate so far the version is loaded
// well before requests may no longer start on it. Otherwise a transfer that a failure of the
// origin held up would end when nobody may use its version, and delay that of the newer one.
func (n *VersionTracker) KeepTransfer(t Transfer, now time.Time) bool {
	if t.Progress < minKeepProgress {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.models[t.Model]
	if m == nil {
		return true
	}
	remaining := time.Duration(float64(t.Elapsed) * (1 - t.Progress) / t.Progress)
	for _, l := range m.history {
		if l.Version > t.Version {
			left := l.After.Add(n.Window - margin).Sub(now)
			return remaining+time.Duration(minUseShare*float64(n.Window)) <= left
		}
	}
	return true
}

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
		if l.Version > e.Version {
			first := l.After.Add(time.Duration(loadStartShare * float64(n.Window)))
			last := l.After.Add(time.Duration(loadEndShare * float64(n.Window)))
			if since.After(first) {
				first = since
			}
			share := float64(position.Index) / float64(position.Replicas-1)
			return first.Add(time.Duration(share * float64(max(0, last.Sub(first)))))
		}
	}
	return time.Time{}
}
