package gossiper

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

const (
	// digestReceivers is the number of daemons of another failure domain that get a
	// digest. The first one that is live forwards it.
	digestReceivers = 2
	// completeInterval is the time between digests that list all members and replicas
	// of the failure domain.
	completeInterval = time.Second
	// minDigestInterval is the time between digests while something changes. A replica
	// that is about to load is announced 100 ms before.
	minDigestInterval = 20 * time.Millisecond
	// replicaRetention is how long the state of a replica stays in digests without a
	// message of its agent.
	replicaRetention = 3 * time.Second
	// changeRepeats is the number of digests that repeat a change, because datagrams
	// may be lost.
	changeRepeats = 3
)

// digest is the state of a failure domain for the daemons of another one.
type digest struct {
	Domain string `json:"domain"`
	// Receivers are the VMs to which the digest was sent, in the order in which they
	// forward it. It is empty in a forwarded digest.
	Receivers []string `json:"receivers,omitempty"`
	// Entries are the live entry daemons of the failure domain, all of them if
	// Complete is set.
	Entries  []Member               `json:"entries,omitempty"`
	Complete bool                   `json:"complete,omitempty"`
	Replicas []ReplicaState         `json:"replicas,omitempty"`
	Load     map[string]placer.Load `json:"load,omitempty"`
	// Demand is the demand at all entry daemons of the failure domain by service.
	Demand map[string]float64 `json:"demand,omitempty"`
	reports
}

// relay holds what this daemon would send in digests.
type relay struct {
	// replicas are the states of the replicas of this failure domain by address.
	replicas map[string]relayedReplica
	outbox   outbox
	leaving  leavingOutbox
	// entries are the members of the last digest by VM.
	entries      map[string]Member
	lastComplete time.Time
	// revisions are those of the last digest, and repeat is the number of digests
	// that still have to repeat them and the entries.
	revisions map[string]uint64
	repeat    int
}

// relayedReplica is the state of a replica with the number of digests that still have
// to repeat it.
type relayedReplica struct {
	state     ReplicaState
	at        time.Time
	remaining int
}

// present returns the state with the time for which the replica remains cold from now on.
func (r relayedReplica) present(now time.Time) ReplicaState {
	s := r.state
	s.ColdMs = max(s.ColdMs-int(now.Sub(r.at).Milliseconds()), 0)
	return s
}

// recordReplica records the state of a replica, unless that would be one more than limit, and
// reports whether it has changed.
func (r *relay) recordReplica(s ReplicaState, limit int, now time.Time) bool {
	if r.replicas == nil {
		r.replicas = map[string]relayedReplica{}
	}
	old, known := r.replicas[s.Address]
	if !known && len(r.replicas) >= limit {
		return false
	}
	remaining := old.remaining
	changed := !known || old.state.Up != s.Up || old.state.Loading != s.Loading || !maps.Equal(old.state.Versions, s.Versions) || s.isColder(&old.state)
	if changed {
		remaining = changeRepeats
	}
	r.replicas[s.Address] = relayedReplica{state: s, at: now, remaining: remaining}
	return changed
}

// takeChanges adds the changes that have not been sent often enough to a digest, and
// reports whether there are any. With complete, it adds all replicas and entry daemons.
func (r *relay) takeChanges(d *digest, live []Member, revisions map[string]uint64, complete bool, now time.Time) bool {
	changed := false
	if !maps.Equal(r.revisions, revisions) || !sameMembers(r.entries, live) {
		r.revisions = maps.Clone(revisions)
		r.entries = map[string]Member{}
		for _, m := range live {
			r.entries[m.VM] = m
		}
		r.repeat = changeRepeats
	}
	if r.repeat > 0 {
		r.repeat--
		changed = true
	}
	if changed || complete {
		d.Entries, d.Complete = live, true
	}
	for address, replica := range r.replicas {
		if now.Sub(replica.at) > replicaRetention {
			delete(r.replicas, address)
			continue
		}
		if replica.remaining > 0 {
			replica.remaining--
			r.replicas[address] = replica
			changed = true
		} else if !complete {
			continue
		}
		d.Replicas = append(d.Replicas, replica.present(now))
	}
	taken := r.outbox.take(maxDigestCrashes, now)
	d.reports = taken
	return changed || !taken.isEmpty()
}

func sameMembers(known map[string]Member, live []Member) bool {
	if len(known) != len(live) {
		return false
	}
	for _, m := range live {
		if known[m.VM] != m {
			return false
		}
	}
	return true
}

// sendDigests sends a digest to each failure domain for which this daemon is the
// relay: the first ready one in the rendezvous order of that domain. Digests are sent
// at DigestInterval, and sooner after a change.
func (g *Gossiper) sendDigests(self Member, far []Member, immediate bool, now time.Time) {
	// A digest with changes only must not delay the next one with the load.
	due := now.Sub(g.lastDueDigest) >= orDefault(g.DigestInterval, DefaultDigestInterval)
	if now.Sub(g.lastDigest) < minDigestInterval && !immediate && !due {
		return
	}
	live := []Member{self}
	for _, m := range g.Members.Live(Entry, now) {
		if m.FailureDomain == self.FailureDomain && m.VM != self.VM {
			live = append(live, m)
		}
	}
	sortMembers(live)
	domains := byDomain(far)
	maps.DeleteFunc(domains, func(domain string, _ []Member) bool { return !isRelay(self, live, domain) })
	if len(domains) == 0 && !due {
		return
	}
	m := message{From: self, Announcements: g.reportAnnouncements(now), Digest: &digest{Domain: self.FailureDomain}}
	if g.Revisions != nil {
		m.Revisions = g.Revisions()
	}
	g.mu.Lock()
	complete := due && now.Sub(g.relay.lastComplete) >= completeInterval
	if complete {
		g.relay.lastComplete = now
	}
	changed := g.relay.takeChanges(m.Digest, live, m.Revisions, complete, now)
	g.mu.Unlock()
	if complete {
		m.Digest.addBlocks(g.blocks(now), now)
	}
	if !due && !changed {
		return
	}
	g.lastDigest = now
	if due {
		g.lastDueDigest = now
		if g.DomainLoad != nil && len(domains) > 0 {
			m.Digest.Load = g.DomainLoad(now)
		}
		if g.DomainDemand != nil && len(domains) > 0 {
			m.Digest.Demand = g.DomainDemand(now)
		}
	}
	m.Digest.Leaving = g.takeDigestLeaving(digestReceivers*len(domains), now)
	for _, members := range domains {
		receivers := g.digestReceivers(members, self.FailureDomain, now)
		d := *m.Digest
		for _, r := range receivers {
			d.Receivers = append(d.Receivers, r.VM)
		}
		out := m
		out.Digest = &d
		g.sendMessage(out, receivers)
	}
}

// isRelay reports whether self is the first ready daemon in the rendezvous order of
// another failure domain. A daemon that is not ready may not know the others yet.
func isRelay(self Member, live []Member, domain string) bool {
	var names []string
	for _, m := range live {
		if m.Ready || m.VM == self.VM {
			names = append(names, m.VM)
		}
	}
	return ranker.Position(domain, names, self.VM) == 0
}

func byDomain(list []Member) map[string][]Member {
	out := map[string][]Member{}
	for _, m := range list {
		out[m.FailureDomain] = append(out[m.FailureDomain], m)
	}
	return out
}

// digestReceivers returns the members of a failure domain that get a digest: live ones
// if possible, in the rendezvous order of the sending domain.
func (g *Gossiper) digestReceivers(members []Member, domain string, now time.Time) []Member {
	live := g.Members.Live(Entry, now)
	candidates := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !hasAddress(live, m.Address) })
	if len(candidates) == 0 {
		// No report of any has arrived yet, so that any of them may be gone.
		return sample(members, digestReceivers)
	}
	var names []string
	for _, m := range candidates {
		names = append(names, m.VM)
	}
	first := ranker.Top(nil, domain, names, digestReceivers)
	var out []Member
	for _, name := range first {
		out = append(out, candidates[slices.Index(names, name)])
	}
	return out
}

// receiveDigest passes the contents of a digest to the callbacks, and forwards it to
// this failure domain if this daemon is the first live receiver.
func (g *Gossiper) receiveDigest(m message, now time.Time) {
	self := g.Self()
	d := m.Digest
	if d.Domain == self.FailureDomain {
		return
	}
	g.Members.RecordDomain(d.Domain, d.Entries, d.Complete, now)
	if d.Load != nil && g.OnLoad != nil {
		g.OnLoad(Member{VM: m.From.VM, Role: Entry, FailureDomain: d.Domain}, true, plausibleLoads(d.Load), now)
	}
	if d.Demand != nil && g.OnDemand != nil {
		g.OnDemand(Member{VM: m.From.VM, Role: Entry, FailureDomain: d.Domain}, true, plausibleDemands(d.Demand), now)
	}
	for _, s := range d.Replicas {
		if g.OnReplica != nil {
			g.OnReplica(s, now)
		}
	}
	g.receiveReports(d.reports, false, now)
	g.receiveLeaving(d.Leaving, false, slices.Contains(d.Receivers, self.VM), now)
	if g.forwards(self, d.Receivers, now) {
		g.forward(self, m, now)
	}
}

// forwards reports whether this daemon is the first live one of the receivers.
func (g *Gossiper) forwards(self Member, receivers []string, now time.Time) bool {
	if !slices.Contains(receivers, self.VM) {
		return false
	}
	live := g.Members.Live(Entry, now)
	for _, vm := range receivers {
		if vm == self.VM {
			return true
		}
		if slices.ContainsFunc(live, func(m Member) bool { return m.VM == vm }) {
			return false
		}
	}
	return false
}

func (g *Gossiper) forward(self Member, m message, now time.Time) {
	d := *m.Digest
	d.Receivers, d.Leaving = nil, nil
	m.Digest = &d
	var near []Member
	for _, member := range g.Members.Live(Entry, now) {
		if member.FailureDomain == self.FailureDomain && member.Address != self.Address {
			near = append(near, member)
		}
	}
	g.sendMessage(m, near)
	g.Log.Debug("digest forwarded", zap.String("domain", d.Domain), zap.Int("daemons", len(near)))
}
