// Package matcher finds the route and the team of a request in a configuration.
package matcher

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind string

// Kinds of routes.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non-idempotent"
	Streaming     Kind = "streaming"
)

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Backends are the services with their shares of the requests.
	Backends []Backend
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream.
	Target time.Duration
	// Priority is the rank, 0 first.
	Priority int
	// MaxAttempts bounds the replicas that see one request.
	MaxAttempts int
	// Anonymous routes take requests without a key.
	Anonymous bool
	// Resumable streams may continue on another replica.
	Resumable bool
}

// Backend is a service with its weight in a route.
type Backend struct {
	Service string
	Weight  int
}

// Repeatable tells whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Service chooses a backend by weight; u is uniform in [0, 1).
func (r *Route) Service(u float64) string {
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
	at := u * float64(total)
	for _, b := range r.Backends {
		at -= float64(b.Weight)
		if at < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Team is a customer with its keys.
type Team struct {
	Name     string
	Keys     []string
	Priority *int
}

// Service is a group of replicas.
type Service struct {
	Name string
	// Engine is set for model engines.
	Engine *Engine
	// OriginAddress is set for the origin of weights, which has no replicas.
	OriginAddress string
	OriginRegion  string
}

// Engine describes the replicas of a model.
type Engine struct {
	Layers int
	Models []string
	// ReadPerSecond, Step, PerRequest and Stride are the engine's speed: prompt
	// tokens read in a second, the time of one token of each running answer, what
	// each running answer adds to it, and the steps between two looks at waiting
	// prompts.
	ReadPerSecond float64
	Step          time.Duration
	PerRequest    time.Duration
	Stride        int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes int64
}

// Configuration is one version of the routes, services and teams.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Teams    []Team
	// HasTeams is set when requests need a key.
	HasTeams bool
	Limits   Limits

	hosts map[string][]*Route
	keys  map[string]*Team
}

// Index prepares the lookups. It is called once after the fields are set.
func (c *Configuration) Index() {
	c.hosts = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, routes := range c.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	c.keys = map[string]*Team{}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			c.keys[key] = &c.Teams[i]
		}
	}
}

// Match returns the route with the longest prefix of the path, or nil.
func (c *Configuration) Match(host, path string) *Route {
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that holds the key, or nil.
func (c *Configuration) Team(key string) *Team {
	if key == "" {
		return nil
	}
	return c.keys[key]
}
