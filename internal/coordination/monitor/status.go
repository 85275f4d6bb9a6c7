package monitor

import (
	"strings"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// DefaultStatusShards sends a status to the holder of its region's status
// shard and, when it is that of an agent, to the holders of the shards whose
// names begin with "rollout", which follow the transfers.
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
// want it. A newer status of the same daemon replaces one not yet sent.
func (m *Monitor) SendStatus(s *messenger.DaemonStatus) {
	m.init()
	m.mu.Lock()
	here := m.routeStatus(s, nil)
	m.mu.Unlock()
	if here && m.OnStatus != nil {
		m.OnStatus(s)
	}
}

// routeStatus queues the status for the links towards its destinations and
// reports whether this daemon is one of them.
func (m *Monitor) routeStatus(s *messenger.DaemonStatus, from *link) bool {
	here := false
	known := make([]string, 0, len(m.leases))
	for shard := range m.leases {
		known = append(known, shard)
	}
	destinations := map[string]bool{}
	for _, shard := range m.StatusShards(s, known) {
		switch holder := m.leases[shard].GetHolder(); holder {
		case "":
		case m.self.GetVm():
			here = true
		default:
			destinations[holder] = true
		}
	}
	for l := range m.nextHops(destinations, from) {
		l.bulk.Put(key{kindStatus, s.GetVm()}, s)
	}
	if here {
		m.takeStatus(s)
	}
	return here
}

// nextHops returns the links towards the VMs: the VM's own link, else the
// relays of its failure domain, else a relay of this one. What came from
// another failure domain or a fellow relay only goes to the VM itself, so that
// a status cannot circulate.
func (m *Monitor) nextHops(destinations map[string]bool, from *link) map[*link]bool {
	hops := map[*link]bool{}
	direct := from != nil && m.roleOf(from) != roleMember
	for vm := range destinations {
		if l := m.linkTo(vm, from); l != nil {
			hops[l] = true
			continue
		}
		e := m.entries[vm]
		if e == nil || direct {
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

func (m *Monitor) linkTo(vm string, except *link) *link {
	for l := range m.links {
		if l != except && l.peer != nil && l.peer.GetVm() == vm {
			return l
		}
	}
	return nil
}

// takeStatus keeps what ReplicaView shows of the status.
func (m *Monitor) takeStatus(s *messenger.DaemonStatus) {
	r := m.replicas[s.GetVm()]
	if r == nil || s.GetReplica() == nil || r.session != nil {
		return
	}
	if r.record.GetIncarnation() != s.GetReplica().GetIncarnation() || s.GetSequence() < r.status {
		return
	}
	r.status, r.transfers, r.lastOrderError = s.GetSequence(), s.GetTransfers(), s.GetLastOrderError()
}
