// Package cataloger decides which replicas may be used, from registrations that
// lag and from what the agents beside the replicas say.
package cataloger

import (
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

const (
	// agentAge is how long the word of an agent goes before the registration,
	// which lags by about a second. Agents speak at least each two seconds, and
	// at once of a change; one message may be lost.
	agentAge = 4600 * time.Millisecond
	// returnTime is how long registrations that vanished in an outage of the
	// store are waited for: living replicas are registered again within about
	// two seconds of its return.
	returnTime = 2200 * time.Millisecond
	// noticeTime is the part of the drain time that is not available for waiting:
	// the end of a replica becomes known a little late, and the list for placing
	// is rebuilt each half second.
	noticeTime = 800 * time.Millisecond
	// massShare is the share of a service's replicas whose registrations do not
	// vanish at once unless the store lost them.
	massShare = 0.34
	// minMass is the least number for which the share is looked at.
	minMass = 3
)

// agentWord is what the agent beside a replica said last.
type agentWord struct {
	up       bool
	loading  bool
	versions map[string]int
	at       time.Time
}

type entry struct {
	replica placer.Replica
	// missing is when the registration vanished; zero while it is there.
	missing time.Time
	// keep is until when a vanished registration is waited for.
	keep time.Time
}

// Catalog is the list of replicas. Fields are set before use.
type Catalog struct {
	// DrainTime is within which a replica that left has to be left alone. It
	// bounds the wait for a registration that vanished.
	DrainTime time.Duration
	Log       *logger.Logger

	mu      sync.Mutex
	entries map[string]*entry
	agents  map[string]agentWord
	// outage is when the store was last out of reach.
	outage time.Time
}

// Outage records that the store is out of reach at a time.
func (c *Catalog) Outage(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage = now
}

// Register replaces the registrations.
func (c *Catalog) Register(list []placer.Replica, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries = map[string]*entry{}
	}
	present := map[string]bool{}
	for _, r := range list {
		present[r.ID] = true
		if old := c.entries[r.ID]; old == nil || !old.missing.IsZero() || old.replica.Draining != r.Draining || old.replica.Address != r.Address {
			c.log("registered", r, now)
		}
		c.entries[r.ID] = &entry{replica: r}
	}
	vanished, total := map[string]int{}, map[string]int{}
	for id, e := range c.entries {
		total[e.replica.Service]++
		if !present[id] && e.missing.IsZero() {
			vanished[e.replica.Service]++
		}
	}
	afterOutage := !c.outage.IsZero() && now.Sub(c.outage) < returnTime
	for id, e := range c.entries {
		if present[id] {
			continue
		}
		if e.missing.IsZero() {
			e.missing = now
			service := e.replica.Service
			mass := vanished[service] >= minMass && float64(vanished[service]) >= massShare*float64(total[service])
			// A replica that announced its end is gone whatever the cause.
			switch {
			case e.replica.Draining:
			case afterOutage:
				e.keep = earlier(c.outage.Add(returnTime), now.Add(c.maxWait()))
			case mass:
				e.keep = now.Add(c.maxWait())
			}
			if now.Before(e.keep) {
				c.log("registration vanished, waiting for its return", e.replica, now)
			}
		}
		if !now.Before(e.keep) {
			delete(c.entries, id)
			c.log("gone", e.replica, now)
		}
	}
}

// maxWait is the longest wait for a registration that vanished.
func (c *Catalog) maxWait() time.Duration { return max(0, c.DrainTime-noticeTime) }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// log writes one line for a change of a replica.
func (c *Catalog) log(event string, r placer.Replica, now time.Time) {
	c.Log.Info("replica changed", zap.String("event", event), zap.String("replica", r.ID), zap.String("address", r.Address),
		zap.String("service", r.Service), zap.Bool("draining", r.Draining), zap.Any("versions", r.Versions), zap.Time("at", now))
}

// Hear takes the word of the agent beside the replica at an address.
func (c *Catalog) Hear(address string, up, loading bool, versions map[string]int, now time.Time) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.agents == nil {
		c.agents = map[string]agentWord{}
	}
	old := c.agents[address]
	c.agents[address] = agentWord{up: up, loading: loading, versions: versions, at: now}
	return old.up != up || old.loading != loading || !maps.Equal(old.versions, versions) || now.Sub(old.at) > agentAge
}

// Replicas returns the replicas for placing.
func (c *Catalog) Replicas(now time.Time) []placer.Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []placer.Replica
	for id, e := range c.entries {
		if !e.missing.IsZero() && !now.Before(e.keep) {
			delete(c.entries, id)
			c.log("did not return", e.replica, now)
			continue
		}
		r := e.replica
		if word, ok := c.agents[r.Address]; ok && now.Sub(word.at) <= agentAge {
			if r.Versions != nil {
				r.Versions = word.versions
			}
			r.Draining = r.Draining || !word.up || word.loading
		}
		out = append(out, r)
	}
	for address, word := range c.agents {
		if now.Sub(word.at) > time.Minute {
			delete(c.agents, address)
		}
	}
	return out
}
