package cataloger

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/placer"
)

// statement is that a replica leaves, which it repeats until it has started again.
type statement struct {
	// startedAtMs is the latest start with which the replica said so, or 0 if there is none.
	startedAtMs int64
	// unknownAt is when it last said so while its start was unknown.
	unknownAt time.Time
	// saidAt is when it first said so with the latest start.
	saidAt time.Time
}

// covers reports whether the statement holds for a replica with a start. If one of both
// starts is unknown, the incarnation may be the same.
func (s statement) covers(startedAtMs int64) bool {
	return startedAtMs <= s.startedAtMs || startedAtMs <= s.unknownAt.UnixMilli()
}

// Leaving is that a replica has said that it leaves, as daemons tell each other.
type Leaving struct {
	Replica string
	// StartedAtMs is the start with which it said so, in Unix milliseconds, or 0 if that is
	// unknown.
	StartedAtMs int64
	SaidAt      time.Time
}

// RecordLeaving records that a replica said in a response that it leaves. Registrations and
// reports that say otherwise are older, unless they name a later start. It returns what to
// tell the other daemons, and reports whether that is new.
func (c *Catalog) RecordLeaving(r placer.Replica, now time.Time) (l Leaving, isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.entries[r.ID]; r.StartedAtMs == 0 && e != nil {
		r.StartedAtMs = e.replica.StartedAtMs
	}
	l = Leaving{Replica: r.ID, StartedAtMs: r.StartedAtMs, SaidAt: now}
	return l, c.recordStatement(l, "said in a response that it leaves", now)
}

// RecordReportedLeaving records what a replica has said to another daemon. It counts for nothing if the
// replica has started again since. It reports whether that was unknown.
func (c *Catalog) RecordReportedLeaving(l Leaving, now time.Time) (isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return l.StartedAtMs > 0 && c.recordStatement(l, "said to another daemon that it leaves", now)
}

// recordStatement records that a replica leaves. It counts for nothing if the replica is
// registered with a later start.
func (c *Catalog) recordStatement(l Leaving, event string, now time.Time) (isNew bool) {
	s, known := c.statements[l.Replica]
	isNew = !known || !s.covers(l.StartedAtMs)
	if isNew {
		s.saidAt = l.SaidAt
	}
	s.startedAtMs = max(s.startedAtMs, l.StartedAtMs)
	if l.StartedAtMs == 0 {
		s.unknownAt = l.SaidAt
	}
	if c.statements == nil {
		c.statements = map[string]statement{}
	}
	c.statements[l.Replica] = s
	c.forgetStatements()
	r := placer.Replica{ID: l.Replica, StartedAtMs: l.StartedAtMs}
	if e := c.entries[l.Replica]; e != nil {
		if !s.covers(e.replica.StartedAtMs) {
			return false
		}
		e.suspicion = announcedLeaving
		r = e.replica
	}
	if isNew {
		c.logChange(event, r, now, c.statementFields(l.Replica, now)...)
	}
	return isNew
}

// Leaving returns the registered replicas that have said that they leave although their
// registrations do not say so.
func (c *Catalog) Leaving() []Leaving {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Leaving
	for id, s := range c.statements {
		e := c.entries[id]
		if e != nil && !e.replica.Draining && e.replica.StartedAtMs > 0 && s.covers(e.replica.StartedAtMs) {
			out = append(out, Leaving{Replica: id, StartedAtMs: e.replica.StartedAtMs, SaidAt: s.saidAt})
		}
	}
	return out
}

// hasSaidItLeaves reports whether the replica of a registration has said that it leaves.
func (c *Catalog) hasSaidItLeaves(r placer.Replica) bool {
	s, known := c.statements[r.ID]
	return known && s.covers(r.StartedAtMs)
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
