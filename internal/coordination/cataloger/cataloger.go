// Package cataloger maintains the list of usable replicas. It combines the
// registrations in the object store, which are up to date only after a delay, with
// the reports of the agents that run next to the replicas.
package cataloger

import (
	"cmp"
	"maps"
	"slices"
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
	// maxAgentReports limits the reports that are kept, so that messages of other programs do not
	// fill the memory. The largest deployment has 4,300 replicas.
	maxAgentReports = 8192
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
	// silentHeartbeats is the number of heartbeats after which the store removes the
	// registration of a silent replica.
	silentHeartbeats = 3
	// removalDelay is the maximum time until this daemon learns of a removal.
	removalDelay = 2 * time.Second
	// departureRetention is how long a replica that left is remembered. It is well
	// above the age of the copies from which the store is restored.
	departureRetention = 2 * time.Minute
	// maxDepartures is the maximum number of remembered replicas.
	maxDepartures = 4096
)

// departure describes how a replica left.
type departure struct {
	startedAtMs int64
	// announced is set if the replica was registered as draining.
	announced bool
	// restores is the number of restores of the store before that.
	restores int
	// at is when the replica was last registered as draining or was removed.
	at time.Time
}

// suspicion is why a registration is not used.
type suspicion int

const (
	notSuspected suspicion = iota
	// mayHaveLeft is set if the replica was gone before the restore.
	mayHaveLeft
	// announcedLeaving is set if the same incarnation of the replica was draining.
	announcedLeaving
	// addressTaken is set if another replica has the address.
	addressTaken
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
	// lost is set if the registration vanished in a restore of the store.
	lost      bool
	suspicion suspicion
	// takenAt is when another replica was found to have the address, and confirmed is set once the
	// registration has outlasted that.
	takenAt   time.Time
	confirmed bool
}

// Catalog is the list of replicas. Its exported fields are set before use.
type Catalog struct {
	// DrainTime is the time within which requests to a replica that left must stop.
	// It limits the wait for a vanished registration.
	DrainTime time.Duration
	// HeartbeatInterval is how often replicas write their registrations.
	HeartbeatInterval time.Duration
	Log               *logger.Logger

	mu sync.Mutex
	// entries holds the replicas by ID.
	entries map[string]*catalogEntry
	// agentReports holds the last reports by the address of the replica.
	agentReports map[string]agentReport
	// lastOutage is when the store was last unreachable.
	lastOutage time.Time
	// lastRestore is when the store was last restored from a copy.
	lastRestore time.Time
	restores    int
	// awaitsRestored is set until the first list of the restored store is set.
	awaitsRestored bool
	// departures holds the replicas that left, by ID.
	departures map[string]departure
	// statements holds the replicas that have said that they leave, by ID.
	statements map[string]statement
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
	c.lastRestore, c.awaitsRestored = now, true
	c.restores++
	c.Log.Info("store restored", zap.Int("replicas", len(c.entries)), zap.Int("departures", len(c.departures)), zap.Time("at", now))
}

// SetRegistrations replaces the registrations, which changed now. Vanished ones are kept
// for a while if the store may have lost them.
func (c *Catalog) SetRegistrations(list []placer.Replica, now time.Time) {
	c.SetChangedRegistrations(list, now, now)
}

// SetChangedRegistrations is SetRegistrations with the earliest time at which they changed.
// The time within which requests to a replica that left must stop began then.
func (c *Catalog) SetChangedRegistrations(list []placer.Replica, changedAfter, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries = map[string]*catalogEntry{}
		c.departures = map[string]departure{}
	}
	restored := c.awaitsRestored
	c.awaitsRestored = false
	owners := c.addressOwners(list, now)
	present := map[string]bool{}
	for _, r := range list {
		present[r.ID] = true
		c.register(r, owners[c.placeOf(r, now)], restored, now)
	}
	c.removeVanished(present, restored, changedAfter, now)
	c.forgetDepartures(now)
	c.forgetStatements()
}

// place is an address at which only one replica of a service can be.
type place struct {
	address string
	// service is empty where the replicas of all services are compared.
	service string
}

// placeOf returns the place of a replica. The list of a restored store may contain replicas whose
// addresses have been given to other services.
func (c *Catalog) placeOf(r placer.Replica, now time.Time) place {
	if c.restores > 0 && !c.silentRemoved(c.lastDisturbance(), now) {
		return place{address: r.Address}
	}
	return place{address: r.Address, service: r.Service}
}

// addressOwners returns the replica that started last at each place. The registration of a
// replica that crashed remains until it has been silent for several heartbeats, while its
// successor is registered already.
func (c *Catalog) addressOwners(list []placer.Replica, now time.Time) map[place]placer.Replica {
	out := map[place]placer.Replica{}
	add := func(r placer.Replica) {
		if p := c.placeOf(r, now); r.StartedAtMs > out[p].StartedAtMs {
			out[p] = r
		}
	}
	for _, r := range list {
		add(r)
	}
	for _, e := range c.entries {
		add(e.replica)
	}
	return out
}

// register sets the registration of a replica. The argument owner is the replica that
// has its address, if known, and restored is set for the first list of a restored store.
func (c *Catalog) register(r, owner placer.Replica, restored bool, now time.Time) {
	old := c.entries[r.ID]
	e := &catalogEntry{replica: r, suspicion: c.suspect(r, old, restored)}
	superseded := owner.ID != r.ID && r.StartedAtMs != 0 && r.StartedAtMs < owner.StartedAtMs
	unchanged := old != nil && sameRegistration(old.replica, r)
	wasSuperseded := old != nil && old.suspicion == addressTaken
	e.confirmed = unchanged && old.confirmed
	if e.suspicion == notSuspected && !r.Draining && !e.confirmed && (superseded || wasSuperseded && unchanged) {
		e.suspicion, e.takenAt = addressTaken, now
		if wasSuperseded {
			e.takenAt = old.takenAt
		}
	}
	c.entries[r.ID] = e
	changed := old == nil || !old.missingSince.IsZero() || old.replica.Draining != r.Draining || old.replica.Address != r.Address || old.replica.StartedAtMs != r.StartedAtMs
	switch {
	case e.suspicion == announcedLeaving:
		if changed || old.suspicion != e.suspicion {
			c.logSuspicion("registered as ready after it was draining, not used", r, now)
		}
	case e.suspicion == mayHaveLeft:
		if restored {
			c.logSuspicion("registered in the restored store after it left, not used", r, now)
		}
	case e.suspicion == addressTaken:
		if !wasSuperseded {
			c.logChange("registered at the address of a later replica, not used", r, now, zap.String("owner", owner.ID),
				zap.Int64("owner-started-at-ms", owner.StartedAtMs), zap.Duration("since-restore", now.Sub(c.lastRestore)))
		}
	case old != nil && old.suspicion == announcedLeaving && e.suspicion == notSuspected && !r.Draining:
		c.logSuspicion("started again after it said that it leaves", r, now)
	case old != nil && old.suspicion != notSuspected:
		c.logSuspicion("registered by a running replica", r, now)
	case changed:
		c.logChange("registered", r, now)
	}
	switch {
	case r.Draining:
		c.recordDeparture(r, true, now)
	case e.suspicion == notSuspected:
		delete(c.departures, r.ID)
	}
}

// suspect returns whether a registration may be out of date because the store was
// restored from a copy that was made before the replica left. A registration that is
// not in the first list of the restored store, or has changed since, was written by a
// running replica.
func (c *Catalog) suspect(r placer.Replica, old *catalogEntry, restored bool) suspicion {
	d, left := c.departures[r.ID]
	switch {
	case r.Draining:
	case c.hasSaidItLeaves(r):
		return announcedLeaving
	case !left:
	case d.restores == c.restores:
	case d.announced && d.startedAtMs == r.StartedAtMs && r.StartedAtMs != 0:
		return announcedLeaving
	// A later start is that of a new incarnation. If one of both is unknown, the
	// incarnation may be the same.
	case d.startedAtMs != 0 && r.StartedAtMs > d.startedAtMs:
	case restored:
		return mayHaveLeft
	case old != nil && old.suspicion == mayHaveLeft && sameRegistration(old.replica, r):
		return mayHaveLeft
	}
	return notSuspected
}

// sameRegistration reports whether two decoded registrations are the same.
func sameRegistration(a, b placer.Replica) bool {
	return a.Address == b.Address && a.Service == b.Service && a.FailureDomain == b.FailureDomain && a.StartedAtMs == b.StartedAtMs &&
		a.Slots == b.Slots && a.Draining == b.Draining && maps.Equal(a.Versions, b.Versions)
}

// removeVanished removes the replicas whose registrations have vanished, or lets them
// wait for their return.
func (c *Catalog) removeVanished(present map[string]bool, restored bool, changedAfter, now time.Time) {
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
			e.missingSince, e.lost = now, restored
			service := e.replica.Service
			massLoss := vanished[service] >= minMassLoss && float64(vanished[service]) >= massLossShare*float64(total[service])
			// A draining replica is removed at once, because it has announced that it
			// leaves.
			switch {
			case e.replica.Draining || e.suspicion != notSuspected:
			case afterOutage:
				e.keepUntil = earlier(c.lastOutage.Add(reregistrationTime), now.Add(c.maxWait()))
			case massLoss:
				e.keepUntil = changedAfter.Add(c.maxWait())
			}
			if now.Before(e.keepUntil) {
				c.logChange("registration vanished, waiting for its return", e.replica, now)
			}
		}
		if !now.Before(e.keepUntil) {
			c.remove(id, e, "gone", now)
		}
	}
}

// remove removes a replica and remembers that it left. The absence of a registration
// that was lost in a restore does not show that the replica left.
func (c *Catalog) remove(id string, e *catalogEntry, event string, now time.Time) {
	delete(c.entries, id)
	if !e.lost {
		c.recordDeparture(e.replica, e.replica.Draining, now)
	}
	c.logChange(event, e.replica, now)
}

// recordDeparture remembers a replica that left.
func (c *Catalog) recordDeparture(r placer.Replica, announced bool, now time.Time) {
	if old, ok := c.departures[r.ID]; ok && old.startedAtMs == r.StartedAtMs {
		announced = announced || old.announced
	}
	c.departures[r.ID] = departure{startedAtMs: r.StartedAtMs, announced: announced, restores: c.restores, at: now}
}

// forgetDepartures bounds the number of remembered replicas. Those that are registered
// are kept.
func (c *Catalog) forgetDepartures(now time.Time) {
	var unregistered []string
	for id, d := range c.departures {
		switch {
		case c.entries[id] != nil:
		case now.Sub(d.at) > departureRetention:
			delete(c.departures, id)
		default:
			unregistered = append(unregistered, id)
		}
	}
	excess := len(unregistered) - maxDepartures
	if excess <= 0 {
		return
	}
	slices.SortFunc(unregistered, func(a, b string) int {
		return cmp.Or(c.departures[a].at.Compare(c.departures[b].at), cmp.Compare(a, b))
	})
	for _, id := range unregistered[:excess] {
		delete(c.departures, id)
	}
}

// lastDisturbance returns when the store was last restored or unreachable. It removes nothing
// while it is unreachable.
func (c *Catalog) lastDisturbance() time.Time {
	if c.lastOutage.After(c.lastRestore) {
		return c.lastOutage
	}
	return c.lastRestore
}

// silentRemoved reports whether the store has removed replicas by now that have been silent
// since a time.
func (c *Catalog) silentRemoved(since, now time.Time) bool {
	return now.Sub(since) > silentHeartbeats*c.HeartbeatInterval+removalDelay
}

// confirm ends the suspicion of a replica that is still registered after the store has
// removed silent ones.
func (c *Catalog) confirm(e *catalogEntry, now time.Time) {
	if e.suspicion == notSuspected || e.suspicion == announcedLeaving || !c.silentRemoved(c.lastDisturbance(), now) || !c.silentRemoved(e.takenAt, now) {
		return
	}
	c.logSuspicion("still registered", e.replica, now)
	e.suspicion, e.confirmed = notSuspected, true
	delete(c.departures, e.replica.ID)
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
func (c *Catalog) logChange(event string, r placer.Replica, now time.Time, more ...zap.Field) {
	c.Log.Info("replica changed", append([]zap.Field{
		zap.String("event", event), zap.String("replica", r.ID), zap.String("address", r.Address), zap.String("service", r.Service),
		zap.Int64("started-at-ms", r.StartedAtMs), zap.Bool("draining", r.Draining), zap.Any("versions", r.Versions), zap.Time("at", now),
	}, more...)...)
}

// logSuspicion logs a decision about a registration after a restore.
func (c *Catalog) logSuspicion(event string, r placer.Replica, now time.Time) {
	d := c.departures[r.ID]
	fields := append(c.statementFields(r.ID, now), zap.Int64("left-started-at-ms", d.startedAtMs), zap.Bool("announced", d.announced),
		zap.Duration("since-left", now.Sub(d.at)), zap.Duration("since-restore", now.Sub(c.lastRestore)), zap.Duration("since-outage", now.Sub(c.lastOutage)))
	c.logChange(event, r, now, fields...)
}

// RecordReport records a report of the agent of the replica at an address. It returns
// true if the report differs from the last one or the last one has expired.
func (c *Catalog) RecordReport(address string, up, loading bool, versions map[string]int, now time.Time) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.agentReports == nil {
		c.agentReports = map[string]agentReport{}
	}
	old, known := c.agentReports[address]
	if !known && len(c.agentReports) >= maxAgentReports {
		return false
	}
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
			c.remove(id, e, "did not return", now)
			continue
		}
		c.confirm(e, now)
		r := e.replica
		r.Draining = r.Draining || e.suspicion != notSuspected
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
