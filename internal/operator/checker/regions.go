package checker

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// maxDomainBytes is the maximum length of the name of a failure domain.
const maxDomainBytes = 128

// checkEvacuation reports a failure domain that has no name or two evacuations. The
// daemons know the failure domains and the checker does not, so one that does not
// exist is not reported.
func (c *checker) checkEvacuation(o *parser.Declared, e *parser.Evacuation) {
	switch {
	case e.FailureDomain == "":
		c.report(o, "failure-domain", "the key is missing", "write the name of a failure domain, as in --failure-domain of its agents")
		return
	case len(e.FailureDomain) > maxDomainBytes || strings.TrimSpace(e.FailureDomain) != e.FailureDomain:
		c.report(o, "failure-domain", fmt.Sprintf("%q is not a failure domain", e.FailureDomain),
			fmt.Sprintf("write 1 to %d bytes without spaces at the ends", maxDomainBytes))
		return
	}
	if first := c.evacuationsByDomain[e.FailureDomain]; first != e.Name {
		c.report(o, "failure-domain", fmt.Sprintf("evacuation %q already evacuates failure domain %q", first, e.FailureDomain),
			"delete one of the two")
	}
}

// evacuationsByDomain returns the evacuation of each failure domain, the first by
// name if there are several.
func evacuationsByDomain(s *parser.Set) map[string]string {
	names := map[string]string{}
	for _, o := range s.All() {
		e, ok := o.(*parser.Evacuation)
		if !ok {
			continue
		}
		if _, found := names[e.FailureDomain]; !found {
			names[e.FailureDomain] = e.Name
		}
	}
	return names
}

// checkRegionNames reports malformed and repeated regions and returns whether all
// are valid.
func (c *checker) checkRegionNames(o *parser.Declared, regions []string) bool {
	before := len(c.problems)
	c.checkUnique(o, "regions", regions)
	for i, region := range regions {
		if !namePattern.MatchString(region) {
			c.report(o, parser.ItemField("regions", i), fmt.Sprintf("%q is not a region", region),
				"write 1 to 63 lower-case letters, digits, - and .")
		}
	}
	return len(c.problems) == before
}

// checkRouteRegions reports a route that is restricted to regions without a fleet
// that can serve it.
func (c *checker) checkRouteRegions(o *parser.Declared, r *parser.Route) {
	if len(r.Regions) == 0 || !c.checkRegionNames(o, r.Regions) {
		return
	}
	if available := c.routeRegions(r); len(available) > 0 && !servedIn(r.Regions, available) {
		c.report(o, "regions", fmt.Sprintf("no fleet of model %q is in %s", r.Model, strings.Join(r.Regions, ", ")),
			"write at least one of "+strings.Join(available, ", "))
	}
}

// checkTeamRegions reports a team that is restricted to regions in which a route or
// a service that it lists, or every one if it lists none, has no fleet.
func (c *checker) checkTeamRegions(o *parser.Declared, t *parser.Team) {
	if len(t.Regions) == 0 || !c.checkRegionNames(o, t.Regions) {
		return
	}
	for i, name := range t.Routes {
		r := c.set.Routes[name]
		if r == nil {
			continue
		}
		if available := c.routeRegions(r); len(available) > 0 && !servedIn(matcher.CommonRegions(r.Regions, t.Regions), available) {
			c.report(o, "regions", fmt.Sprintf("route %q (%s) has no fleet in a region that it and the team allow", name, parser.ItemField("routes", i)),
				"write at least one of "+strings.Join(allowedRegions(r, available), ", "))
			return
		}
	}
	for i, name := range t.Services {
		if available := c.serviceRegions(name); len(available) > 0 && !servedIn(t.Regions, available) {
			c.report(o, "regions", fmt.Sprintf("service %q (%s) has no fleet in %s", name, parser.ItemField("services", i), strings.Join(t.Regions, ", ")),
				"write at least one of "+strings.Join(available, ", "))
			return
		}
	}
	if len(t.Routes) == 0 && len(t.Services) == 0 {
		c.checkAnyFleet(o, t)
	}
}

// checkAnyFleet reports a team that may use everything and whose regions have no
// fleet.
func (c *checker) checkAnyFleet(o *parser.Declared, t *parser.Team) {
	var available []string
	for _, f := range c.set.Fleets {
		available = append(available, f.Regions...)
	}
	if available = sortedUnique(available); len(available) > 0 && !servedIn(t.Regions, available) {
		c.report(o, "regions", "no fleet is in "+strings.Join(t.Regions, ", "), "write at least one of "+strings.Join(available, ", "))
	}
}

// routeRegions returns the regions of the fleets that can serve the route.
func (c *checker) routeRegions(r *parser.Route) []string {
	var regions []string
	for _, f := range c.set.Fleets {
		if f.Model != "" && f.Model == r.Model && (r.Adapter == "" || slices.Contains(f.Adapters, r.Adapter)) {
			regions = append(regions, f.Regions...)
		}
	}
	return sortedUnique(regions)
}

// serviceRegions returns the regions of the fleets that run the service.
func (c *checker) serviceRegions(service string) []string {
	var regions []string
	for _, f := range c.set.Fleets {
		if f.Service != "" && f.Service == service {
			regions = append(regions, f.Regions...)
		}
	}
	return sortedUnique(regions)
}

// allowedRegions returns the available regions that the route allows, or all if it
// allows none of them.
func allowedRegions(r *parser.Route, available []string) []string {
	if len(r.Regions) == 0 {
		return available
	}
	if allowed := matcher.CommonRegions(available, r.Regions); len(allowed) > 0 {
		return allowed
	}
	return available
}

// servedIn reports whether one of the available regions is allowed.
func servedIn(allowed matcher.Regions, available []string) bool {
	return slices.ContainsFunc(available, allowed.Allows)
}

func sortedUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}
