package monitor

import (
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

const (
	// SubsetSize is the number of replicas of one model whose detailed load is
	// sent to an entry daemon.
	SubsetSize = 64
	// indexInterval is the minimum time between two rebuilds of the subset index.
	indexInterval = time.Second
)

// subsetIndex groups the replicas by model and caches the subsets computed
// from them.
type subsetIndex struct {
	generation uint64
	byModel    map[string][]*messenger.Replica
	// subsets maps the VM of an entry daemon to the VMs of its subset.
	subsets map[string]map[string]bool
	// domainSubsets maps a failure domain to the union of the subsets of its
	// entry daemons.
	domainSubsets map[string]map[string]bool
}

// modelOrService returns the model of the replica or, if it has none, its
// service.
func modelOrService(r *messenger.Replica) string {
	if r.GetModel() != "" {
		return r.GetModel()
	}
	return r.GetService()
}

// updateIndex returns the subset index, rebuilt if the directory has changed
// and the index is at least indexInterval old.
func (m *Monitor) updateIndex(now time.Time) *subsetIndex {
	if m.index != nil && (m.index.generation == m.generation || now.Sub(m.indexedAt) < indexInterval) {
		return m.index
	}
	index := &subsetIndex{
		generation:    m.generation,
		byModel:       map[string][]*messenger.Replica{},
		subsets:       map[string]map[string]bool{},
		domainSubsets: map[string]map[string]bool{},
	}
	for _, r := range m.replicas {
		if !r.isGone() {
			index.byModel[modelOrService(r.record)] = append(index.byModel[modelOrService(r.record)], r.record)
		}
	}
	m.index, m.indexedAt = index, now
	m.subset = index.subsetFor(m.self)
	return index
}

// subsetFor returns the VMs in the daemon's subset: up to SubsetSize replicas
// of each model, preferring its failure domain, then its region.
func (x *subsetIndex) subsetFor(e *messenger.EntryVM) map[string]bool {
	if subset := x.subsets[e.GetVm()]; subset != nil {
		return subset
	}
	subset := map[string]bool{}
	for model, replicas := range x.byModel {
		x.addReplicas(subset, e, model, replicas)
	}
	x.subsets[e.GetVm()] = subset
	return subset
}

// addReplicas adds the replicas of one model that belong to the daemon's
// subset.
func (x *subsetIndex) addReplicas(subset map[string]bool, e *messenger.EntryVM, model string, replicas []*messenger.Replica) {
	var byProximity [3][]string
	for _, r := range replicas {
		switch {
		case r.GetFailureDomain() == e.GetFailureDomain():
			byProximity[0] = append(byProximity[0], r.GetVm())
		case r.GetRegion() == e.GetRegion():
			byProximity[1] = append(byProximity[1], r.GetVm())
		default:
			byProximity[2] = append(byProximity[2], r.GetVm())
		}
	}
	remaining := SubsetSize
	for _, names := range byProximity {
		for _, vm := range ranker.Top(nil, "subset/"+e.GetVm()+"/"+model, names, remaining) {
			subset[vm] = true
			remaining--
		}
	}
}

// inSubset reports whether the replica is in the daemon's subset.
func (m *Monitor) inSubset(e *messenger.EntryVM, r *replica, now time.Time) bool {
	return m.updateIndex(now).subsetFor(e)[r.record.GetVm()]
}

// inDomainSubset reports whether the load of the replica is forwarded to a
// relay in another failure domain: when a subset there contains the replica,
// when the replica belongs to that domain, or when the replica's domain has no
// entry daemon to monitor it.
func (m *Monitor) inDomainSubset(e *messenger.EntryVM, r *replica, now time.Time) bool {
	domain := e.GetFailureDomain()
	own := r.record.GetFailureDomain()
	if own == domain || !m.hasEntries(own) {
		return true
	}
	index := m.updateIndex(now)
	if index.domainSubsets[domain] == nil {
		index.domainSubsets[domain] = m.unionOfSubsets(domain, index)
	}
	return index.domainSubsets[domain][r.record.GetVm()]
}

// unionOfSubsets returns the union of the subsets of the failure domain's
// daemons. Models with SubsetSize replicas in that domain are skipped: their
// subsets contain no replica of another domain.
func (m *Monitor) unionOfSubsets(domain string, index *subsetIndex) map[string]bool {
	union := map[string]bool{}
	for _, e := range m.entries {
		if e.record.GetFailureDomain() != domain || !e.isLive() {
			continue
		}
		for model, replicas := range index.byModel {
			if !index.hasFullSubset(domain, replicas) {
				index.addReplicas(union, e.record, model, replicas)
			}
		}
	}
	return union
}

// hasFullSubset reports whether the failure domain has enough replicas of
// a model to fill a subset on its own.
func (x *subsetIndex) hasFullSubset(domain string, replicas []*messenger.Replica) bool {
	n := 0
	for _, r := range replicas {
		if r.GetFailureDomain() == domain {
			n++
		}
	}
	return n >= SubsetSize
}
