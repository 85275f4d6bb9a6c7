package monitor

import (
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

const (
	// SubsetSize is how many replicas of one model an entry daemon gets the
	// load of in detail.
	SubsetSize = 64
	// indexEvery is the least time between two computations of the subsets.
	indexEvery = time.Second
)

// subsetIndex orders the replicas for the choice of subsets and keeps the
// subsets of the daemons that were asked for.
type subsetIndex struct {
	generation uint64
	byModel    map[string][]*messenger.Replica
	wanted     map[string]map[string]bool
	abroad     map[string]map[string]bool
}

// nameOf is the model or service of the replica.
func nameOf(r *messenger.Replica) string {
	if r.GetModel() != "" {
		return r.GetModel()
	}
	return r.GetService()
}

func (m *Monitor) updateIndex(now time.Time) *subsetIndex {
	if m.index != nil && (m.index.generation == m.generation || now.Sub(m.indexed) < indexEvery) {
		return m.index
	}
	index := &subsetIndex{
		generation: m.generation,
		byModel:    map[string][]*messenger.Replica{},
		wanted:     map[string]map[string]bool{},
		abroad:     map[string]map[string]bool{},
	}
	for _, r := range m.replicas {
		if !r.isGone() {
			index.byModel[nameOf(r.record)] = append(index.byModel[nameOf(r.record)], r.record)
		}
	}
	m.index, m.indexed = index, now
	m.subset = index.of(m.self)
	return index
}

// of returns the VMs of the daemon's subset: of each model up to SubsetSize
// replicas, from its failure domain first, then its region, then any.
func (x *subsetIndex) of(e *messenger.EntryVM) map[string]bool {
	if subset := x.wanted[e.GetVm()]; subset != nil {
		return subset
	}
	subset := map[string]bool{}
	for model, replicas := range x.byModel {
		x.choose(subset, e, model, replicas)
	}
	x.wanted[e.GetVm()] = subset
	return subset
}

func (x *subsetIndex) choose(subset map[string]bool, e *messenger.EntryVM, model string, replicas []*messenger.Replica) {
	var near [3][]string
	for _, r := range replicas {
		switch {
		case r.GetFailureDomain() == e.GetFailureDomain():
			near[0] = append(near[0], r.GetVm())
		case r.GetRegion() == e.GetRegion():
			near[1] = append(near[1], r.GetVm())
		default:
			near[2] = append(near[2], r.GetVm())
		}
	}
	free := SubsetSize
	for _, names := range near {
		for _, vm := range ranker.Top(nil, "subset/"+e.GetVm()+"/"+model, names, free) {
			subset[vm] = true
			free--
		}
	}
}

// wanted reports whether the daemon's subset has the replica.
func (m *Monitor) wanted(e *messenger.EntryVM, r *replica, now time.Time) bool {
	return m.updateIndex(now).of(e)[r.record.GetVm()]
}

// wantedAbroad reports whether the load of the replica is passed on to a relay
// of another failure domain: when a subset there has the replica, when the
// replica belongs there, or when no failure domain watches over it.
func (m *Monitor) wantedAbroad(e *messenger.EntryVM, r *replica, now time.Time) bool {
	domain := e.GetFailureDomain()
	own := r.record.GetFailureDomain()
	if own == domain || !m.hasEntries(own) {
		return true
	}
	index := m.updateIndex(now)
	if index.abroad[domain] == nil {
		index.abroad[domain] = m.subsetsOf(domain, index)
	}
	return index.abroad[domain][r.record.GetVm()]
}

func (m *Monitor) subsetsOf(domain string, index *subsetIndex) map[string]bool {
	union := map[string]bool{}
	for _, e := range m.entries {
		if e.record.GetFailureDomain() != domain || !e.isLive() {
			continue
		}
		for model, replicas := range index.byModel {
			if !index.fills(domain, replicas) {
				index.choose(union, e.record, model, replicas)
			}
		}
	}
	return union
}

// fills reports whether the failure domain has enough replicas of a model for
// subsets that need no others.
func (x *subsetIndex) fills(domain string, replicas []*messenger.Replica) bool {
	n := 0
	for _, r := range replicas {
		if r.GetFailureDomain() == domain {
			n++
		}
	}
	return n >= SubsetSize
}
