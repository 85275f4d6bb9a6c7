package gossiper

import "time"

// header returns a message with what each has.
func (g *Gossiper) header(self Member) message {
	m := message{From: self}
	if g.Revisions != nil {
		m.Revisions = g.Revisions()
	}
	return m
}

// compose returns a message with the state of this daemon, and records the replica state
// for nearInterval.
func (g *Gossiper) compose(self Member, now time.Time) message {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.header(self)
	m.Announcements = g.reportAnnouncements(now)
	if g.Load != nil {
		m.Load = g.Load()
	}
	if g.Demand != nil {
		m.Demand = g.Demand(now)
	}
	g.addMissing(&m)
	if g.Replica != nil {
		m.Replica = g.Replica()
		if !m.Replica.isSteady(g.lastSentState) {
			g.stateChangedAt = now
		}
		g.lastSentState = m.Replica
	}
	return m
}
