package cataloger

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/placer"
)

// statement is that a replica leaves, which it repeats until it has started again.
type statement struct {
	// startedAtMs is the latest start of the replica with which it said so, or 0 if that
	// is unknown.
	startedAtMs int64
	// saidAt is when it last said so.
	saidAt time.Time
}

// covers reports whether the statement holds for a replica with a start. If one of both
// starts is unknown, the incarnation may be the same.
func (s statement) covers(startedAtMs int64) bool {
	if s.startedAtMs == 0 {
		return startedAtMs <= s.saidAt.UnixMilli()
	}
	return startedAtMs <= s.startedAtMs
}

// RecordLeaving records that a replica said in a response that it leaves. Registrations and
// reports that say otherwise are older, unless they name a later start. It reports whether
// that is new.
func (c *Catalog) RecordLeaving(r placer.Replica, now time.Time) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[r.ID]
	if r.StartedAtMs == 0 && e != nil {
		r.StartedAtMs = e.replica.StartedAtMs
	}
	known, ok := c.statements[r.ID]
	if ok && known.startedAtMs != 0 && known.covers(r.StartedAtMs) {
		return false
	}
	if c.statements == nil {
		c.statements = map[string]statement{}
	}
	c.statements[r.ID] = statement{startedAtMs: r.StartedAtMs, saidAt: now}
	c.forgetStatements()
	if e == nil || !c.statements[r.ID].covers(e.replica.StartedAtMs) {
		return false
	}
	changed = e.suspicion != announcedLeaving
	e.suspicion = announcedLeaving
	if changed {
		c.logChange("said in a response that it leaves", e.replica, now)
	}
	return changed
}

// hasSaidItLeaves reports whether the replica of a registration has said that it leaves.
// The start that a registration names is kept if it was unknown.
func (c *Catalog) hasSaidItLeaves(r placer.Replica) bool {
	s, ok := c.statements[r.ID]
	if !ok || !s.covers(r.StartedAtMs) {
		return false
	}
	if s.startedAtMs == 0 {
		s.startedAtMs = r.StartedAtMs
		c.statements[r.ID] = s
	}
	return true
}

// forgetStatements bounds the number of remembered statements. Those of replicas that are
// registered are kept. Many are removed at a time, because the oldest have to be found.
func (c *Catalog) forgetStatements() {
	excess := len(c.statements) - len(c.entries) - maxDepartures
	if excess < maxDepartures/8 {
		return
	}
	var unregistered []string
	for id := range c.statements {
		if c.entries[id] == nil {
			unregistered = append(unregistered, id)
		}
	}
	slices.SortFunc(unregistered, func(a, b string) int { return c.statements[a].saidAt.Compare(c.statements[b].saidAt) })
	for _, id := range unregistered[:min(excess, len(unregistered))] {
		delete(c.statements, id)
	}
}

// statementFields returns the log fields of what a replica said.
func (c *Catalog) statementFields(id string, now time.Time) []zap.Field {
	s, ok := c.statements[id]
	if !ok {
		return nil
	}
	return []zap.Field{zap.Int64("said-started-at-ms", s.startedAtMs), zap.Duration("since-said", now.Sub(s.saidAt))}
}
