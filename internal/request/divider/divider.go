// Package divider divides the slots of a replica among the daemons that place requests on it.
//
// Daemons learn of each other's placements some time later. Under high load all of them place
// requests on the same slot that has become free, replicas queue or reject what exceeds their
// slots, and first tokens take several times as long as predicted. With a share of its own a
// daemon knows how many slots are free without asking. The shares follow the demand of
// callers at each daemon, which the daemons report to each other.
package divider

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

const (
	// demandMemory is the time constant of the average of the rate of requests. Callers keep
	// their connections, so that the demand at a daemon changes in seconds.
	demandMemory = 4 * time.Second
	// minWeight is the least weight of a daemon, relative to the average of those that share
	// a replica, so that it can serve a sudden rise of its demand.
	minWeight = 0.3
	// maxReportAge is the age above which the report of another daemon is ignored.
	maxReportAge = 2 * time.Second
	// minDemandTime is the least time for which a daemon has counted requests when it reports its
	// demand. Until then the others assume an average demand.
	minDemandTime = 1500 * time.Millisecond
	// minDiscoveryTime is how long after its start a daemon may not know all others. If all start at the
	// same time, each would take the replicas of other failure domains for its own.
	minDiscoveryTime = 5 * time.Second
	// daemonAbsence is how long a failure domain without live daemons still counts as having some, which
	// may be cut off or restarting. Then its slots belong to the daemons of the others.
	daemonAbsence = 10 * time.Second
	// smallPart is added to the demand of a failure domain, relative to the average, up to twice
	// its demand: the fewer slots there are, the more often all are in use.
	smallPart = 0.1
	// offsetSteps is the number of different offsets for rounding.
	offsetSteps = 1024
)

// Divider holds the demand at this daemon and at others by service. It is not safe for
// concurrent use. VM and FailureDomain are set before use.
type Divider struct {
	// VM is the VM of this daemon.
	VM            string
	FailureDomain string
	// Reports holds the demand at the other daemons of the failure domain. SetReport creates it if it is nil.
	Reports *Reports
	// MaxPeers is the number of daemons and failure domains whose demand is kept. 0 stands for DefaultMaxPeers.
	MaxPeers int

	// began is when the daemon began to count requests.
	began time.Time
	// daemonsAt is when each failure domain last had live daemons; nil if nothing is known of them.
	daemonsAt map[string]time.Time
	demand    map[string]rate
	// vms are the live daemons of the failure domain that share replicas, by service.
	vms map[string][]string
	// domains holds the demand at the other failure domains.
	domains Reports
}

// rate is a rate of events per second at a time.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r rate) now(now time.Time) float64 {
	return r.perSecond * math.Exp(-float64(now.Sub(r.at))/float64(demandMemory))
}

func (r rate) add(now time.Time) rate {
	return rate{perSecond: r.now(now) + 1/demandMemory.Seconds(), at: now}
}

// Begin begins to count requests, unless that has begun.
func (d *Divider) Begin(now time.Time) {
	if d.began.IsZero() {
		d.began = now
	}
}

// RecordRequest records a new request of a caller.
func (d *Divider) RecordRequest(service string, now time.Time) {
	d.Begin(now)
	if d.demand == nil {
		d.demand = map[string]rate{}
	}
	d.demand[service] = d.demand[service].add(now)
}

// Demand returns the requests per second for a service, rounded for reports. It is unknown in
// the first moments of a daemon.
func (d *Divider) Demand(service string, now time.Time) (perSecond float64, known bool) {
	counted := now.Sub(d.began)
	if d.began.IsZero() || counted < minDemandTime {
		return 0, false
	}
	// A daemon that has started lately has counted a part of the requests only.
	part := 1 - math.Exp(-float64(counted)/float64(demandMemory))
	return math.Round(10*d.demand[service].now(now)/part) / 10, true
}

// DomainDemand returns the requests per second for a service at all daemons of the failure domain.
// Those whose demand is unknown count with the average.
func (d *Divider) DomainDemand(service string, now time.Time) (perSecond float64, known bool) {
	vms, sum, n := d.live(service, d.vms[service], now), 0.0, 0
	for _, vm := range vms {
		if demand, ok := d.demandAt(vm, service, now); ok {
			sum += demand
			n++
		}
	}
	if n == 0 {
		return 0, false
	}
	return sum * float64(len(vms)) / float64(n), true
}

// live returns the daemons of the failure domain in the order of their names: this one, vms, and
// those that have reported their demand.
func (d *Divider) live(service string, vms []string, now time.Time) []string {
	out := append([]string{d.VM}, vms...)
	out = append(out, d.Reports.names(service, now)...)
	slices.Sort(out)
	return slices.Compact(out)
}

// SetReport records the demand at another daemon of the failure domain.
func (d *Divider) SetReport(vm string, demand map[string]float64, now time.Time) {
	if d.Reports == nil {
		d.Reports = &Reports{MaxPeers: d.MaxPeers}
	}
	d.Reports.Set(vm, demand, now)
}

// SetDomainReport records the demand at another failure domain.
func (d *Divider) SetDomainReport(domain string, demand map[string]float64, now time.Time) {
	d.domains.MaxPeers = d.MaxPeers
	d.domains.Set(domain, demand, now)
}

// Division is how the slots of a service are divided.
type Division struct {
	divider *Divider
	service string
	now     time.Time
	// domains are all failure domains in the order of their names.
	domains []domainPart
	// vms are the daemons of this failure domain in the order of their names, and passed the sums of
	// their weights and those before them.
	vms    []string
	passed []float64
	// slots is the number of slots that this failure domain gets.
	slots float64
}

// domainPart is a failure domain with the part of its slots that it leaves to others, and the part
// that it gets of what others leave.
type domainPart struct {
	name         string
	leaves, gets float64
}

// Divide divides the slots of a service. Capacity holds the usable slots by failure domain, and vms
// are the live daemons of this one that prefer replicas of the service.
func (d *Divider) Divide(service string, capacity map[string]int, vms []string, now time.Time) *Division {
	if d.vms == nil {
		d.vms = map[string][]string{}
	}
	d.vms[service] = vms
	v := &Division{divider: d, service: service, now: now, vms: d.live(service, vms, now)}
	v.divideDomains(capacity)
	v.passed = sums(v.weights(v.vms))
	return v
}

// SetDaemonDomains records the failure domains that have live daemons.
func (d *Divider) SetDaemonDomains(domains []string, now time.Time) {
	if d.daemonsAt == nil {
		d.daemonsAt = map[string]time.Time{}
	}
	for _, domain := range domains {
		d.daemonsAt[domain] = now
	}
}

// HasDaemons reports whether a failure domain has daemons, as far as is known.
func (d *Divider) HasDaemons(domain string, now time.Time) bool {
	return d.daemonsAt == nil || now.Sub(d.began) < minDiscoveryTime || now.Sub(d.daemonsAt[domain]) <= daemonAbsence
}

// divideDomains decides what each failure domain leaves to others, and what it gets. Those whose
// demand is unknown are assumed to have an average one; without slots, they have no daemons either.
func (v *Division) divideDomains(capacity map[string]int) {
	d := v.divider
	names := slices.AppendSeq([]string{d.FailureDomain}, maps.Keys(capacity))
	names = append(names, d.domains.all()...)
	slices.Sort(names)
	names = slices.Compact(names)
	demands, known, demand := map[string]float64{}, 0, 0.0
	for _, name := range names {
		perSecond, ok := d.domains.Demand(name, v.service, maxReportAge, v.now)
		if name == d.FailureDomain {
			perSecond, ok = d.DomainDemand(v.service, v.now)
		}
		if ok {
			demands[name] = perSecond
			demand += perSecond
			known++
		}
	}
	average, slots := 1.0, 0
	if demand > 0 {
		average = demand / float64(known)
	}
	demand = 0
	for _, name := range names {
		slots += capacity[name]
		perSecond, ok := demands[name]
		switch {
		case ok:
			demands[name] = perSecond + min(perSecond, smallPart*average)
		case capacity[name] > 0 && d.HasDaemons(name, v.now), name == d.FailureDomain:
			demands[name] = average
		}
		demand += demands[name]
	}
	excess := 0.0
	for _, name := range names {
		perSecond := demands[name]
		part := domainPart{name: name}
		// fair is the demand that the slots of the failure domain serve if all callers have the same chance.
		fair := demand * float64(capacity[name]) / float64(max(slots, 1))
		switch {
		case perSecond > fair:
			part.gets = perSecond - fair
			excess += part.gets
		case fair > 0:
			part.leaves = 1 - perSecond/fair
		}
		v.domains = append(v.domains, part)
	}
	for i := range v.domains {
		if excess > 0 {
			v.domains[i].gets /= excess
		}
	}
	gets := v.part(d.FailureDomain).gets
	for _, part := range v.domains {
		share := part.leaves * gets
		if part.name == d.FailureDomain {
			share = 1 - part.leaves
		}
		v.slots += share * float64(capacity[part.name])
	}
}

// part returns the part of a failure domain.
func (v *Division) part(domain string) domainPart {
	for _, part := range v.domains {
		if part.name == domain {
			return part
		}
	}
	return domainPart{}
}

// Daemons returns the daemons of this failure domain in the order of their names.
func (v *Division) Daemons() []string { return v.vms }

// SlotsPerDaemon returns the average number of slots that the daemons of this failure domain get.
func (v *Division) SlotsPerDaemon() float64 { return v.slots / float64(len(v.vms)) }

// Share returns the number of slots of a replica that this daemon may use. All daemons with the
// same reports compute shares whose sum is the number of slots. Vms are those that share the
// replica in its own failure domain.
func (v *Division) Share(replica, domain string, slots int, vms []string) int {
	d, hash := v.divider, ranker.Hash(replica)
	local, own := domain == d.FailureDomain, v.domainShare(domain, slots, hash)
	switch {
	case own == 0, local && len(vms) < 2:
		return own
	case !local:
		return part(own, v.passed, slices.Index(v.vms, d.VM), hash/offsetSteps)
	}
	if i := slices.Index(vms, d.VM); i >= 0 {
		return part(own, sums(v.weights(vms)), i, hash/offsetSteps)
	}
	return 0
}

// DomainShare returns the number of slots of a replica that the daemons of this failure domain may use.
func (v *Division) DomainShare(replica, domain string, slots int) int {
	return v.domainShare(domain, slots, ranker.Hash(replica))
}

func (v *Division) domainShare(domain string, slots int, hash uint64) int {
	of := v.part(domain)
	parts, mine := []float64{1 - of.leaves}, 0
	for _, other := range v.domains {
		if other.name == domain {
			continue
		}
		if other.name == v.divider.FailureDomain {
			mine = len(parts)
		}
		parts = append(parts, of.leaves*other.gets)
	}
	return part(slots, sums(parts), mine, hash)
}

// weights returns the weights of daemons by their demand. One without a report has the
// average weight.
func (v *Division) weights(vms []string) []float64 {
	out, sum, known := make([]float64, len(vms)), 0.0, 0
	for i, vm := range vms {
		demand, ok := v.divider.demandAt(vm, v.service, v.now)
		if !ok {
			out[i] = -1
			continue
		}
		out[i] = demand
		sum += demand
		known++
	}
	if sum <= 0 {
		return equalWeights(len(vms))
	}
	average := sum / float64(known)
	for i, w := range out {
		if w < 0 {
			w = average
		}
		out[i] = max(w, minWeight*average)
	}
	return out
}

func equalWeights(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 1
	}
	return out
}

func (d *Divider) demandAt(vm, service string, now time.Time) (demand float64, ok bool) {
	if vm == d.VM {
		return d.Demand(service, now)
	}
	return d.Reports.Demand(vm, service, maxReportAge, now)
}

// sums returns the sums of the weights up to each one.
func sums(weights []float64) []float64 {
	sum := 0.0
	for i, w := range weights {
		sum += w
		weights[i] = sum
	}
	return weights
}

// part returns the part of slots with an index, if they are divided by weight into whole numbers whose
// sum is slots. Passed holds the sums of the weights. The hash of the replica decides which numbers
// are rounded up, so that no daemon gets more of all replicas.
func part(slots int, passed []float64, i int, hash uint64) int {
	out := upTo(slots, passed, i, hash)
	if i > 0 {
		out -= upTo(slots, passed, i-1, hash)
	}
	return out
}

// upTo returns the sum of the parts up to an index.
func upTo(slots int, passed []float64, i int, hash uint64) int {
	last := len(passed) - 1
	if i == last {
		return slots
	}
	offset := float64(hash%offsetSteps) / offsetSteps
	return min(int(float64(slots)*passed[i]/passed[last]+offset), slots)
}
