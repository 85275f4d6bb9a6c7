package picker

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/shared/ramper"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// returnTime is the time in which the share of a backend server rises to its full
// value after the evacuation of its failure domain. All entry daemons see an idle
// server at once, whose caches are empty.
const returnTime = 5 * time.Second

// restrictions are the parts of a configuration that restrict the choice of servers.
type restrictions struct {
	// set is the configuration from which they were taken.
	set *parser.Set
	// evacuated holds the evacuated failure domains.
	evacuated map[string]bool
	// hasRegions is set if a route or a team is restricted to regions.
	hasRegions bool
}

// NotPermittedError reports an attempt that must not be sent to its server any more.
type NotPermittedError struct {
	VM            string
	FailureDomain string
	Region        string
	// Evacuated is set if the failure domain is evacuated, and not if the request
	// is restricted to other regions.
	Evacuated bool
}

func (e *NotPermittedError) Error() string {
	if e.Evacuated {
		return fmt.Sprintf("failure domain %q of VM %q is evacuated", e.FailureDomain, e.VM)
	}
	return fmt.Sprintf("the request may not run in region %q of VM %q", e.Region, e.VM)
}

// Evacuations returns the number of evacuated failure domains.
func (p *Picker) Evacuations() int {
	r := p.restricted.Load()
	if r == nil {
		return 0
	}
	return len(r.evacuated)
}

// Permitted returns a *NotPermittedError if the attempt must not be sent to its
// server under the configuration in force, which may be newer than the choice.
func (p *Picker) Permitted(c Choice, regions matcher.Regions, now time.Time) error {
	p.applyConfiguration(now)
	// The flag of a server that has left the directory is not updated any more.
	if r := p.restricted.Load(); r != nil && r.evacuated[c.failureDomain] {
		return &NotPermittedError{VM: c.VM, FailureDomain: c.failureDomain, Evacuated: true}
	}
	if !regions.Allows(c.region) {
		return &NotPermittedError{VM: c.VM, Region: c.region}
	}
	return nil
}

// Refusal returns why regions or evacuations prevent a request for the target from
// running on any of its ready servers, or an empty string if they don't.
func (p *Picker) Refusal(t identifier.Target, regions matcher.Regions, now time.Time) string {
	p.applyConfiguration(now)
	pl := p.pool(t)
	if pl == nil || len(pl.allowed(regions)) > 0 {
		return ""
	}
	if slices.ContainsFunc(pl.evacuated, func(s *Server) bool { return regions.Allows(s.region) }) {
		return "every failure domain in which a replica of " + t.Name() + " could run the request is evacuated"
	}
	if regions != nil && len(pl.servers)+len(pl.evacuated) > 0 {
		return "no replica of " + t.Name() + " is ready in a region in which the request may run"
	}
	return ""
}

// applyConfiguration applies the restrictions of the configuration in force. Every
// decision calls it first, so that an evacuation is in force no later than this
// daemon reports its revision.
func (p *Picker) applyConfiguration(now time.Time) {
	if p.Config == nil {
		return
	}
	revision := p.Config()
	if old := p.restricted.Load(); revision == nil || old != nil && old.set == revision.Set {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// It is read again, because another goroutine may have applied a newer one.
	revision = p.Config()
	old := p.restricted.Load()
	if old == nil {
		old = &restrictions{}
	}
	if old.set == revision.Set {
		return
	}
	current := newRestrictions(revision.Set)
	changed := p.recordEvacuations(old, current, revision.Number, now)
	p.restricted.Store(current)
	if changed || old.hasRegions != current.hasRegions {
		p.rebuildPools()
	}
}

func newRestrictions(set *parser.Set) *restrictions {
	r := &restrictions{set: set, evacuated: set.EvacuatedDomains()}
	for _, route := range set.Routes {
		r.hasRegions = r.hasRegions || len(route.Regions) > 0
	}
	for _, team := range set.Teams {
		r.hasRegions = r.hasRegions || len(team.Regions) > 0
	}
	return r
}

// recordEvacuations marks the servers of the failure domains whose evacuation began
// or ended and reports whether there is any. The caller holds the lock.
func (p *Picker) recordEvacuations(old, current *restrictions, revision uint64, now time.Time) bool {
	changed := false
	for domain := range current.evacuated {
		if !old.evacuated[domain] {
			changed = true
			delete(p.returned, domain)
			p.logEvacuation("evacuation in force", domain, revision)
		}
	}
	for domain := range old.evacuated {
		if !current.evacuated[domain] {
			changed = true
			if p.returned == nil {
				p.returned = map[string]time.Time{}
			}
			p.returned[domain] = now
			p.logEvacuation("evacuation ended", domain, revision)
		}
	}
	for _, s := range p.servers {
		p.markServer(s, current)
	}
	return changed
}

// markServer sets whether the server is in an evacuated failure domain, and when its
// evacuation ended. The caller holds the lock.
func (p *Picker) markServer(s *Server, r *restrictions) {
	s.evacuated.Store(r != nil && r.evacuated[s.failureDomain])
	if at, found := p.returned[s.failureDomain]; found {
		s.returnedAt.Store(at.UnixNano())
	}
}

func (p *Picker) logEvacuation(message, domain string, revision uint64) {
	if p.Log == nil {
		return
	}
	n := 0
	for _, s := range p.servers {
		if s.failureDomain == domain {
			n++
		}
	}
	p.Log.Info(message, zap.String("failure-domain", domain), zap.Uint64("revision", revision), zap.Int("backend-servers", n))
}

// returning returns which part of the server's share is still kept away from it
// after an evacuation: 1 at its end, 0 after returnTime and without an evacuation.
func (s *Server) returning(now int64) float64 {
	at := s.returnedAt.Load()
	if at == 0 {
		return 0
	}
	return ramper.Left(time.Duration(now-at), returnTime)
}

// limitAt returns the limit on attempts in flight at a time. It is lower for a while
// after an evacuation.
func (s *Server) limitAt(now int64) int {
	limit := s.limit.Limit()
	if left := s.returning(now); left > 0 {
		return max(1, int(float64(limit)*(1-left)))
	}
	return limit
}
