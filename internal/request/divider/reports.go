package divider

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// DefaultMaxPeers is the number of daemons and failure domains whose demand is kept unless it is set.
// The largest deployment has 1,000 daemons.
const DefaultMaxPeers = 2048

// Reports holds the demand that others have reported, by name. It is safe for concurrent use, and the zero value is ready
// for use.
type Reports struct {
	// MaxPeers is the number of names whose demand is kept. 0 stands for DefaultMaxPeers.
	MaxPeers int

	mu     sync.Mutex
	byName map[string]report
}

// report is the demand that another daemon has reported, in requests per second by service.
type report struct {
	demand map[string]float64
	at     time.Time
}

// Set adds a report and removes those that are too old.
func (r *Reports) Set(name string, demand map[string]float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byName == nil {
		r.byName = map[string]report{}
	}
	if _, known := r.byName[name]; known || len(r.byName) < cmp.Or(r.MaxPeers, DefaultMaxPeers) {
		r.byName[name] = report{demand: demand, at: now}
	}
	maps.DeleteFunc(r.byName, func(_ string, old report) bool { return now.Sub(old.at) > maxReportAge })
}

// Demand returns the reported demand for a service, if the report is not older than an age. Those above 2 s are
// ignored in any case.
func (r *Reports) Demand(name, service string, maxAge time.Duration, now time.Time) (perSecond float64, known bool) {
	if r == nil {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byName[name].demandOf(service, maxAge, now)
}

// names returns the names with a recent report for a service.
func (r *Reports) names(service string, now time.Time) []string {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for name, report := range r.byName {
		if _, known := report.demandOf(service, maxReportAge, now); known {
			out = append(out, name)
		}
	}
	return out
}

// all returns all names in any order.
func (r *Reports) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.byName))
}

// demandOf returns the reported demand for a service, if the report is recent.
func (r report) demandOf(service string, maxAge time.Duration, now time.Time) (perSecond float64, known bool) {
	if r.at.IsZero() || now.Sub(r.at) > min(maxAge, maxReportAge) {
		return 0, false
	}
	perSecond, known = r.demand[service]
	return perSecond, known
}
