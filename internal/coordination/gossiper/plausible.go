package gossiper

import (
	"maps"
	"slices"
)

// Limits of what a message may name, far above those of any deployment. The contents of a
// message are kept for minutes, so that others than daemons could fill the memory with few of them.
const (
	// maxNameBytes limits names and addresses.
	maxNameBytes = 256
	// maxKinds limits the kinds of mirrored objects, and maxVersions the models of a replica.
	maxKinds    = 64
	maxVersions = 64
	// maxServices limits the services of a demand report.
	maxServices = 1024
)

// DefaultMaxReplicas limits the replicas whose states are relayed. The largest deployment has 4,300.
const DefaultMaxReplicas = 8192

// isPlausible reports whether the names of a member are within the limits.
func (m *Member) isPlausible() bool {
	for _, name := range []string{m.VM, string(m.Role), m.FailureDomain, m.Address, m.CallerAddress, m.QueryAddress} {
		if len(name) > maxNameBytes {
			return false
		}
	}
	return true
}

// isPlausible reports whether the state of a replica is within the limits.
func (s *ReplicaState) isPlausible() bool {
	return len(s.Address) <= maxNameBytes && areShort(s.Versions, maxVersions)
}

// areShort reports whether a map has at most limit names, which are within their limit.
func areShort[V any](m map[string]V, limit int) bool {
	if len(m) > limit {
		return false
	}
	for name := range m {
		if len(name) > maxNameBytes {
			return false
		}
	}
	return true
}

// isPlausible reports whether the sender of a message is within the limits, and removes the other
// contents that are not.
func (m *message) isPlausible() bool {
	if !m.From.isPlausible() || !areShort(m.Revisions, maxKinds) {
		return false
	}
	m.Members = slices.DeleteFunc(m.Members, isImplausibleMember)
	if m.Replica != nil && !m.Replica.isPlausible() {
		m.Replica = nil
	}
	if !areShort(m.Demand, maxServices) {
		m.Demand = nil
	}
	if len(m.Missing) > maxMissing {
		m.Missing = nil
	}
	removeLongNames(m.Load)
	if d := m.Digest; d != nil {
		d.Entries = slices.DeleteFunc(d.Entries, isImplausibleMember)
		d.Replicas = slices.DeleteFunc(d.Replicas, func(s ReplicaState) bool { return !s.isPlausible() })
		removeLongNames(d.Load)
		if !areShort(d.Demand, maxServices) {
			d.Demand = nil
		}
	}
	return true
}

func isImplausibleMember(m Member) bool { return !m.isPlausible() }

func removeLongNames[V any](m map[string]V) {
	maps.DeleteFunc(m, func(name string, _ V) bool { return len(name) > maxNameBytes })
}
