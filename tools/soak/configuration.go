package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
)

const (
	// secondStreamService is the service of every second engine with Silences, and its share
	// of the streams is its weight of maxWeight.
	secondStreamService = "drafts"
	maxWeight           = 4
	// maxPriority is the last of the priorities that routes and teams are changed to.
	maxPriority = 3
)

// writeConfiguration writes the next configuration and reports whether the store
// accepted it.
func (c *cluster) writeConfiguration(now time.Time) bool {
	routes := []route{routeStream, routeOrder, routeLookup}
	for _, name := range c.extraRoutes {
		routes = append(routes, extraRoute(name))
	}
	cfg := &matcher.Configuration{
		Version: uint64(c.revision + 1),
		Services: map[string]*matcher.Service{
			routeStream.Service: {Name: routeStream.Service, Engine: &matcher.Engine{Models: []string{model}}},
			routeOrder.Service:  {Name: routeOrder.Service},
			routeLookup.Service: {Name: routeLookup.Service},
			"weights":           {Name: "weights", OriginAddress: c.address(netStandIns, 1, storePort), OriginRegion: failureDomain(0)},
		},
		Limits: matcher.Limits{MaxBodyBytes: maxBodyBytes},
	}
	for _, r := range routes {
		l := c.limitsOf(r)
		c.Checker.recordLimits(r.Name, l, now)
		priority, changed := c.priorities[r.Name]
		if !changed {
			priority = 1
		}
		cfg.Routes = append(cfg.Routes, matcher.Route{
			Name: r.Name, Host: host, PathPrefix: r.Prefix, Kind: r.Kind, Timeout: l.timeout, TargetLatency: routeTargetLatency,
			Backends: []matcher.Backend{{Service: r.Service}}, MaxAttempts: l.attempts, Resumable: r.Kind == matcher.Streaming, Priority: priority,
			Regions: c.Checker.allowedRegions[r.Name],
		})
	}
	cfg.Routes[0].Backends = c.streamBackends()
	if c.hasSecondService() {
		cfg.Services[secondStreamService] = &matcher.Service{Name: secondStreamService, Engine: &matcher.Engine{Models: []string{model}}}
	}
	if c.Cold {
		for _, service := range cfg.Services {
			service.ColdTime, service.ColdPerSecond = coldTime, coldPerSecond
		}
	}
	for _, t := range teams {
		out := matcher.Team{Name: t.name, Keys: []string{t.key}, Regions: c.Checker.allowedRegions[t.name]}
		if priority, changed := c.priorities[t.name]; changed {
			out.Priority = &priority
		}
		cfg.Teams = append(cfg.Teams, out)
	}
	if !c.store.WriteConfiguration(cfg, now) {
		return false
	}
	c.revision++
	c.Checker.recordRoutes(c.extraRoutes, now)
	return true
}

// restrictions are the regions of routes and teams with Restricted.
var restrictions = map[string]matcher.Regions{
	routeLookup.Name: {"region of z1"}, routeStream.Name: {"region of z0", "region of z1"}, teams[0].name: {"region of z0"},
}

// regions maps the failure domains to their regions.
func (c *cluster) regions() map[string]string {
	out := map[string]string{}
	for i := range 2 {
		out[failureDomain(i)] = "r"
		if c.Restricted {
			out[failureDomain(i)] = "region of " + failureDomain(i)
		}
	}
	return out
}

// limitsOf returns the limits of a route in the next configuration.
func (c *cluster) limitsOf(r route) limits {
	if l, changed := c.limits[r.Name]; changed {
		return l
	}
	return limits{timeout: routeTimeout, attempts: r.Attempts}
}

// streamBackends returns the services of the streams.
func (c *cluster) streamBackends() []matcher.Backend {
	if !c.hasSecondService() {
		return []matcher.Backend{{Service: routeStream.Service}}
	}
	return []matcher.Backend{{Service: routeStream.Service, Weight: maxWeight - c.secondWeight}, {Service: secondStreamService, Weight: c.secondWeight}}
}

func (c *cluster) hasSecondService() bool { return c.Silences && c.Engines > 1 }

// extraRoute returns the extra route with a name.
func extraRoute(name string) route {
	return route{Name: name, Prefix: "/" + name + "/", Kind: matcher.Idempotent, Service: routeLookup.Service, Attempts: 2}
}

// changeConfiguration adds an extra route or removes the oldest one. A retried
// write repeats the same change.
func (c *cluster) changeConfiguration(add bool, writeWithRetry func(write func(now time.Time) bool)) {
	changed := false
	writeWithRetry(func(now time.Time) bool {
		switch {
		case changed:
		case len(c.extraRoutes) == 0 || add && len(c.extraRoutes) < maxExtraRoutes:
			c.lastExtraRoute++
			c.extraRoutes = append(c.extraRoutes, fmt.Sprintf("%s%d", extraRoutePrefix, c.lastExtraRoute))
		default:
			c.extraRoutes = slices.Clone(c.extraRoutes[1:])
		}
		changed = true
		return c.writeConfiguration(now)
	})
}
