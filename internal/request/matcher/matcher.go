// Package matcher holds the configuration of routes, services and teams, and finds
// the route and the team of a request in it.
package matcher

import (
	"sort"
	"strings"
	"time"
)

// Kind is the kind of a route. It determines which requests may be repeated.
type Kind string

// Kinds of routes.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non-idempotent"
	Streaming     Kind = "streaming"
)

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Backends holds the services with their weights.
	Backends []Backend
	// Timeout is the maximum duration of a request, including its stream.
	Timeout time.Duration
	// TargetLatency is the target time to the response, or to the first event of a
	// stream.
	TargetLatency time.Duration
	// GapTarget is the target for the longest pause between events of a stream.
	GapTarget time.Duration
	// Priority is a rank, 0 for the highest.
	Priority int
	// MaxAttempts is the maximum number of replicas that may run one request.
	MaxAttempts int
	// Anonymous is set if requests without a key are accepted.
	Anonymous bool
	// Resumable is set if a broken stream may continue on another replica.
	Resumable bool
	// Regions are the regions in which requests may be served.
	Regions Regions
}

// Backend is a service with its share of a route's requests: its weight divided by
// the sum of the weights.
type Backend struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// SelectService selects a service by weight; u is a uniform random number in [0, 1).
func (r *Route) SelectService(u float64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		if len(r.Backends) == 0 {
			return ""
		}
		return r.Backends[0].Service
	}
	remaining := u * float64(total)
	for _, b := range r.Backends {
		remaining -= float64(b.Weight)
		if remaining < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Team is a customer with its API keys.
type Team struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route, if set.
	Priority *int
	// Regions are the regions in which the team's requests may be served.
	Regions Regions
}

// Service is a group of replicas, or the origin that serves model weights.
type Service struct {
	Name string
	// Engine is set if the replicas are model engines.
	Engine *Engine
	// OriginAddress and OriginRegion are set for the origin, which has no replicas.
	OriginAddress string
	OriginRegion  string
	// ColdTime is how long a replica is cold after its start, and ColdPerSecond the number of
	// requests per second that it serves meanwhile; 0 if there is no limit.
	ColdTime      time.Duration
	ColdPerSecond float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Layers is the number of layers of a model.
	Layers int
	// Models are the names of the models that the service serves.
	Models []string
	// PrefillTokensPerSecond is the prefill speed in prompt tokens per second.
	PrefillTokensPerSecond float64
	// StepTime is the base time of a decoding step, which generates one token of
	// each running request.
	StepTime time.Duration
	// StepTimePerRequest is the time that each running request adds to a step.
	StepTimePerRequest time.Duration
	// Stride is the number of steps between two admissions of waiting prompts.
	Stride int
}

// Limits are the limits of a caller's request.
type Limits struct {
	MaxBodyBytes int64
	// MaxHeaderBytes, HeaderTimeout and IdleTimeout limit the connections of callers. Zero
	// stands for the default.
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of the routes, services and teams.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Teams    []Team
	// HasTeams is set if requests need an API key, except on anonymous routes.
	HasTeams bool
	Limits   Limits

	routesByHost  map[string][]*Route
	regionsByHost map[string]Regions
	teamsByKey    map[string]*Team
	// ranked holds the services whose routes have different ranks.
	ranked map[string]bool
}

// Index builds the indexes that Match and TeamByKey use. It must be called before
// them, and again after each change of the routes or teams.
func (c *Configuration) Index() {
	c.routesByHost, c.regionsByHost = map[string][]*Route{}, map[string]Regions{}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
		c.regionsByHost[host] = CommonRegions(c.regionsByHost[host], r.Regions)
	}
	for _, routes := range c.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	c.teamsByKey = map[string]*Team{}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			c.teamsByKey[key] = &c.Teams[i]
		}
	}
	c.indexRanks()
}

// indexRanks finds the services whose routes have different ranks.
func (c *Configuration) indexRanks() {
	c.ranked = map[string]bool{}
	ranks := map[string]int{}
	for _, r := range c.Routes {
		for _, b := range r.Backends {
			if rank, ok := ranks[b.Service]; ok && rank != r.Priority {
				c.ranked[b.Service] = true
			}
			ranks[b.Service] = r.Priority
		}
	}
}

// Ranked reports whether the routes of a service have different ranks.
func (c *Configuration) Ranked(service string) bool { return c.ranked[service] }

// Match returns the route of the host with the longest prefix of the path, or nil.
func (c *Configuration) Match(host, path string) *Route {
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// HostRegions returns the regions that all restricted routes of a host allow, or nil if it has none.
func (c *Configuration) HostRegions(host string) Regions {
	return c.regionsByHost[strings.ToLower(host)]
}

// TeamByKey returns the team with the API key, or nil.
func (c *Configuration) TeamByKey(key string) *Team {
	if key == "" {
		return nil
	}
	return c.teamsByKey[key]
}
