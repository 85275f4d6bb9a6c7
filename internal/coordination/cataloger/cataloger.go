// Package cataloger maintains the list of usable replicas. It combines the
// registrations in the object store, which are up to date only after a delay, with
// the reports of the agents that run next to the replicas.
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
	// agentReportTTL is how long a report of an agent overrides the registration,
	// which lags by about a second. Agents report at least every two seconds and at
	// once after a change, so one message may be lost.
	agentReportTTL = 4600 * time.Millisecond
	// agentReportRetention is the age at which a report is removed.
	agentReportRetention = time.Minute
	// reregistrationTime is how long registrations that vanished in an outage of the
	// store are kept. Live replicas register again within about two seconds after
	// the outage.
	reregistrationTime = 2200 * time.Millisecond
	// detectionDelay is the part of the drain time that is not available for waiting:
	// the loss of a replica is detected late, and the list for placement is rebuilt
	// every half second.
	detectionDelay = 800 * time.Millisecond
	// massLossShare is the minimum share of the replicas of a service whose
	// simultaneous loss of registrations is attributed to the store, because so many
	// replicas do not end at once.
	massLossShare = 0.34
	// minMassLoss is the minimum number of vanished registrations for which
	// massLossShare applies.
	minMassLoss = 3
)

// agentReport is the last report of the agent of a replica.
type agentReport struct {
	up       bool
	loading  bool
	versions map[string]int
	at       time.Time
}

// catalogEntry is a registered replica or one whose registration has vanished.
type catalogEntry struct {
	replica placer.Replica
	// missingSince is when the registration vanished, or zero while it exists.
	missingSince time.Time
	// keepUntil is when the wait for a vanished registration ends.
	keepUntil time.Time
}

// Catalog is the list of replicas. Its exported fields are set before use.
type Catalog struct {
	// DrainTime is the time within which requests to a replica that left must stop.
	// It limits the wait for a vanished registration.
	DrainTime time.Duration
	Log       *logger.Logger

	mu sync.Mutex
	// entries holds the replicas by ID.
	entries map[string]*catalogEntry
	// agentReports holds the last reports by the address of the replica.
	agentReports map[string]agentReport
	// lastOutage is when the store was last unreachable.
	lastOutage time.Time
}

// RecordOutage records that the store was unreachable at a time.
func (c *Catalog) RecordOutage(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastOutage = now
}

// RecordRestore records that the store has been restored from a copy. It is called
// before the first list of the restored store is set. Registrations written since the
// copy was made are missing in that list, as after an outage.
func (c *Catalog) RecordRestore(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastOutage = now
	c.Log.Info("store restored", zap.Int("replicas", len(c.entries)), zap.Time("at", now))
}

// SetRegistrations replaces the registrations. Vanished ones are kept for a while if
// the store may have lost them.
func (c *Catalog) SetRegistrations(list []placer.Replica, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries = map[string]*catalogEntry{}
	}
	present := map[string]bool{}
	for _, r := range list {
		present[r.ID] = true
		if old := c.entries[r.ID]; old == nil || !old.missingSince.IsZero() || old.replica.Draining != r.Draining || old.replica.Address != r.Address {
			c.logChange("registered", r, now)
		}
		c.entries[r.ID] = &catalogEntry{replica: r}
	}
	vanished, total := map[string]int{}, map[string]int{}
	for id, e := range c.entries {
		total[e.replica.Service]++
		if !present[id] && e.missingSince.IsZero() {
			vanished[e.replica.Service]++
		}
	}
	afterOutage := !c.lastOutage.IsZero() && now.Sub(c.lastOutage) < reregistrationTime
	for id, e := range c.entries {
		if present[id] {
			continue
		}
		if e.missingSince.IsZero() {
			e.missingSince = now
			service := e.replica.Service
			massLoss := vanished[service] >= minMassLoss && float64(vanished[service]) >= massLossShare*float64(total[service])
			// A draining replica is removed at once, because it has announced that it
			// leaves.
			switch {
			case e.replica.Draining:
			case afterOutage:
				e.keepUntil = earlier(c.lastOutage.Add(reregistrationTime), now.Add(c.maxWait()))
			case massLoss:
				e.keepUntil = now.Add(c.maxWait())
			}
			if now.Before(e.keepUntil) {
				c.logChange("registration vanished, waiting for its return", e.replica, now)
			}
		}
		if !now.Before(e.keepUntil) {
			delete(c.entries, id)
			c.logChange("gone", e.replica, now)
		}
	}
}

// maxWait returns the maximum wait for a vanished registration.
func (c *Catalog) maxWait() time.Duration { return max(0, c.DrainTime-detectionDelay) }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// logChange logs a change of a replica.
func (c *Catalog) logChange(event string, r placer.Replica, now time.Time) {
	c.Log.Info("replica changed", zap.String("event", event), zap.String("replica", r.ID), zap.String("address", r.Address),
		zap.String("service", r.Service), zap.Bool("draining", r.Draining), zap.Any("versions", r.Versions), zap.Time("at", now))
}

// RecordReport records a report of the agent of the replica at an address. It returns
// true if the report differs from the last one or the last one has expired.
func (c *Catalog) RecordReport(address string, up, loading bool, versions map[string]int, now time.Time) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.agentReports == nil {
		c.agentReports = map[string]agentReport{}
	}
	old := c.agentReports[address]
	c.agentReports[address] = agentReport{up: up, loading: loading, versions: versions, at: now}
	return old.up != up || old.loading != loading || !maps.Equal(old.versions, versions) || now.Sub(old.at) > agentReportTTL
}

// Replicas returns the replicas for placement. Reports of agents override the
// registrations: a replica that is down or loading is marked as draining.
func (c *Catalog) Replicas(now time.Time) []placer.Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []placer.Replica
	for id, e := range c.entries {
		if !e.missingSince.IsZero() && !now.Before(e.keepUntil) {
			delete(c.entries, id)
			c.logChange("did not return", e.replica, now)
			continue
		}
		r := e.replica
		if report, ok := c.agentReports[r.Address]; ok && now.Sub(report.at) <= agentReportTTL {
			if r.Versions != nil {
				r.Versions = report.versions
			}
			r.Draining = r.Draining || !report.up || report.loading
		}
		out = append(out, r)
	}
	for address, report := range c.agentReports {
		if now.Sub(report.at) > agentReportRetention {
			delete(c.agentReports, address)
		}
	}
	return out
}
