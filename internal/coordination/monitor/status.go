package monitor

import (
	"strings"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// DefaultStatusShards returns the status shard of the daemon's region and, for
// the status of an agent, the shards whose names begin with "rollout", whose
// holders track weight transfers.
func DefaultStatusShards(s *messenger.DaemonStatus, known []string) []string {
	shards := []string{"status-" + s.GetRegion()}
	if s.GetReplica() == nil {
		return shards
	}
	for _, shard := range known {
		if strings.HasPrefix(shard, "rollout") {
			shards = append(shards, shard)
		}
	}
	return shards
}

// SendStatus sends the status of a daemon to the holders of the shards that
// StatusShards returns. A newer status of the same daemon replaces one that is
// still queued.
func (m *Monitor) SendStatus(s *messenger.DaemonStatus) {
	m.init()
	m.mu.Lock()
	local := m.routeStatus(s, nil)
	m.mu.Unlock()
	if local && m.OnStatus != nil {
		m.OnStatus(s)
	}
}

// routeStatus queues the status on the links towards its destinations and
// reports whether this daemon is one of the destinations.
func (m *Monitor) routeStatus(s *messenger.DaemonStatus, from *link) bool {
	local := false
	known := make([]string, 0, len(m.leases))
	for shard := range m.leases {
		known = append(known, shard)
	}
	destinations := map[string]bool{}
	for _, shard := range m.StatusShards(s, known) {
		switch holder := m.leases[shard].GetHolder(); holder {
		case "":
		case m.self.GetVm():
			local = true
		default:
			destinations[holder] = true
		}
	}
	for l := range m.nextHops(destinations, from) {
		l.bulk.Put(recordKey{kindStatus, s.GetVm()}, s)
	}
	if local {
		m.updateReplicaStatus(s)
	}
	return local
}

// nextHops returns the links through which the VMs are reached: a direct link,
// or a relay of the VM's failure domain, or, when this daemon is not a relay,
// a relay of its own failure domain. A status received from another failure
// domain or from another relay is forwarded on a direct link only, which
// prevents routing loops.
func (m *Monitor) nextHops(destinations map[string]bool, from *link) map[*link]bool {
	hops := map[*link]bool{}
	directOnly := from != nil && m.roleOf(from) != roleMember
	for vm := range destinations {
		if l := m.linkTo(vm, from); l != nil {
			hops[l] = true
			continue
		}
		e := m.entries[vm]
		if e == nil || directOnly {
			continue
		}
		domain := e.record.GetFailureDomain()
		if !m.topology().relay {
			domain = m.self.GetFailureDomain()
		}
		for _, relay := range m.topology().relays[domain] {
			if l := m.linkTo(relay, from); l != nil {
				hops[l] = true
				break
			}
		}
	}
	return hops
}

// linkTo returns a link to the VM other than except, or nil.
func (m *Monitor) linkTo(vm string, except *link) *link {
	for l := range m.links {
		if l != except && l.peer != nil && l.peer.GetVm() == vm {
			return l
		}
	}
	return nil
}

// updateReplicaStatus stores the transfers and the last order error of the
// status for ReplicaView. It ignores statuses of another incarnation, outdated
// ones, and those of agents with a session on this daemon.
func (m *Monitor) updateReplicaStatus(s *messenger.DaemonStatus) {
	r := m.replicas[s.GetVm()]
	if r == nil || s.GetReplica() == nil || r.session != nil {
		return
	}
	if r.record.GetIncarnation() != s.GetReplica().GetIncarnation() || s.GetSequence() < r.statusSequence {
		return
	}
	r.statusSequence, r.transfers, r.lastOrderError = s.GetSequence(), s.GetTransfers(), s.GetLastOrderError()
}
