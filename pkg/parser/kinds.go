// Package parser defines the kinds of configuration objects, parses them from
// YAML or JSON files with the line number of each field, and encodes and decodes
// sets of them as canonical JSON.
package parser

// Object is a configuration object of one of the kinds defined in this file.
type Object interface {
	object()
	// Ref returns the object's kind and name.
	Ref() Ref
}

// Ref identifies an object by its kind and name.
type Ref struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

func (r Ref) String() string { return r.Kind + "/" + r.Name }

// Kinds of objects.
const (
	KindModel        = "model"
	KindModelVersion = "model-version"
	KindAdapter      = "adapter"
	KindFleet        = "fleet"
	KindService      = "service"
	KindTeam         = "team"
	KindRollout      = "rollout"
	KindRoute        = "route"
	KindEvacuation   = "evacuation"
)

// Model is a model that callers request through a route.
type Model struct {
	Kind             string `json:"kind"`
	Name             string `json:"name"`
	MaxContextTokens int    `json:"max-context-tokens"`
	DefaultMaxTokens int    `json:"default-max-tokens,omitempty"`
}

// ModelVersion is one immutable set of weights of a model.
type ModelVersion struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Model string `json:"model"`
	// Digest is the digest of the manifest.
	Digest    string `json:"digest"`
	Source    string `json:"source"`
	SizeBytes int64  `json:"size-bytes"`
}

// Adapter is a small set of weights that an engine loads on top of a model
// version.
type Adapter struct {
	Kind      string `json:"kind"`
	Name      string `json:"name"`
	Version   string `json:"version"`
	Digest    string `json:"digest"`
	Source    string `json:"source"`
	SizeBytes int64  `json:"size-bytes"`
}

// Fleet is a set of backend server VMs that run one model or one service.
// A VM belongs to the fleet that its agent's settings name.
type Fleet struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Exactly one of Model and Service is set.
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	// Version is the model version to run unless a rollout of the fleet is
	// running or paused.
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Regions  []string `json:"regions"`
	Replicas int      `json:"replicas"`
	// MaxUnavailable is the maximum number of replicas that switch versions at
	// the same time.
	MaxUnavailable int `json:"max-unavailable,omitempty"`
}

// Service is an HTTP service that does not run a model.
type Service struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// IdempotentMethods are the HTTP methods that may be retried without an
	// idempotency key.
	IdempotentMethods []string `json:"idempotent-methods"`
	// RequireKey rejects requests with any other method that have no
	// idempotency key.
	RequireKey    bool  `json:"require-key,omitempty"`
	TimeoutMillis int64 `json:"timeout-ms,omitempty"`
	MaxBodyBytes  int64 `json:"max-body-bytes,omitempty"`
}

// Team is a customer. Its callers authenticate with one of its API keys and share
// its rate limits and scheduling weight.
type Team struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// KeyDigests are hexadecimal SHA-256 digests of the team's API keys.
	KeyDigests        []string `json:"key-digests"`
	Weight            int      `json:"weight"`
	RequestsPerSecond float64  `json:"requests-per-second,omitempty"`
	TokensPerSecond   float64  `json:"tokens-per-second,omitempty"`
	// Priority is the highest priority that the team may request: interactive,
	// standard or batch.
	Priority string `json:"priority,omitempty"`
	// Routes and Services list what the team may use; an empty list allows
	// everything.
	Routes   []string `json:"routes,omitempty"`
	Services []string `json:"services,omitempty"`
	// Regions are the regions in which the team's requests may be served and
	// their answers stored; an empty list allows all.
	Regions []string `json:"regions,omitempty"`
}

// Rollout switches a fleet to a model version.
type Rollout struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Fleet   string `json:"fleet"`
	Version string `json:"version"`
	// Policy is what to minimize: the time until completion (time) or the bytes
	// read from the origin (origin-bytes).
	Policy string `json:"policy"`
	// State is running, paused or aborted. Aborting a rollout returns the
	// fleet to Fleet.Version.
	State string `json:"state,omitempty"`
	// MaxUnavailable overrides Fleet.MaxUnavailable.
	MaxUnavailable int `json:"max-unavailable,omitempty"`
}

// Route maps the model name that callers use to a model.
type Route struct {
	Kind string `json:"kind"`
	// Name is the model name in the requests of callers.
	Name    string `json:"name"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// Fallback is the route to use while no replica of the model is ready.
	Fallback string `json:"fallback,omitempty"`
	// Priority is the default priority of requests.
	Priority string `json:"priority,omitempty"`
	// Affinity enables prefix affinity; nil means enabled.
	Affinity *bool `json:"affinity,omitempty"`
	// Regions are the regions in which requests of the route may be served; an
	// empty list allows all.
	Regions []string `json:"regions,omitempty"`
}

// Evacuation keeps new requests, transfers and activations away from the backend
// servers of a failure domain until it is deleted.
type Evacuation struct {
	Kind          string `json:"kind"`
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
}

func (*Model) object()        {}
func (*ModelVersion) object() {}
func (*Adapter) object()      {}
func (*Fleet) object()        {}
func (*Service) object()      {}
func (*Team) object()         {}
func (*Rollout) object()      {}
func (*Route) object()        {}
func (*Evacuation) object()   {}

// Ref implements Object.
func (o *Model) Ref() Ref { return Ref{KindModel, o.Name} }

// Ref implements Object.
func (o *ModelVersion) Ref() Ref { return Ref{KindModelVersion, o.Name} }

// Ref implements Object.
func (o *Adapter) Ref() Ref { return Ref{KindAdapter, o.Name} }

// Ref implements Object.
func (o *Fleet) Ref() Ref { return Ref{KindFleet, o.Name} }

// Ref implements Object.
func (o *Service) Ref() Ref { return Ref{KindService, o.Name} }

// Ref implements Object.
func (o *Team) Ref() Ref { return Ref{KindTeam, o.Name} }

// Ref implements Object.
func (o *Rollout) Ref() Ref { return Ref{KindRollout, o.Name} }

// Ref implements Object.
func (o *Route) Ref() Ref { return Ref{KindRoute, o.Name} }

// Ref implements Object.
func (o *Evacuation) Ref() Ref { return Ref{KindEvacuation, o.Name} }

// Set is a complete configuration; the objects of each kind are indexed by name.
type Set struct {
	Models        map[string]*Model
	ModelVersions map[string]*ModelVersion
	Adapters      map[string]*Adapter
	Fleets        map[string]*Fleet
	Services      map[string]*Service
	Teams         map[string]*Team
	Rollouts      map[string]*Rollout
	Routes        map[string]*Route
	Evacuations   map[string]*Evacuation
}

// Revision is one published configuration. Daemons switch from one revision to
// the next as a whole.
type Revision struct {
	Number uint64
	Set    *Set
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		Models:        map[string]*Model{},
		ModelVersions: map[string]*ModelVersion{},
		Adapters:      map[string]*Adapter{},
		Fleets:        map[string]*Fleet{},
		Services:      map[string]*Service{},
		Teams:         map[string]*Team{},
		Rollouts:      map[string]*Rollout{},
		Routes:        map[string]*Route{},
		Evacuations:   map[string]*Evacuation{},
	}
}

// Add adds the object and reports true, or reports false when the set already
// has an object of the same kind and name.
func (s *Set) Add(o Object) bool {
	switch o := o.(type) {
	case *Model:
		return addNamed(s.Models, o.Name, o)
	case *ModelVersion:
		return addNamed(s.ModelVersions, o.Name, o)
	case *Adapter:
		return addNamed(s.Adapters, o.Name, o)
	case *Fleet:
		return addNamed(s.Fleets, o.Name, o)
	case *Service:
		return addNamed(s.Services, o.Name, o)
	case *Team:
		return addNamed(s.Teams, o.Name, o)
	case *Rollout:
		return addNamed(s.Rollouts, o.Name, o)
	case *Route:
		return addNamed(s.Routes, o.Name, o)
	case *Evacuation:
		return addNamed(s.Evacuations, o.Name, o)
	}
	return false
}

// DesiredVersion returns the model version that the fleet's replicas should run:
// the version of the running or paused rollout, which is the second result, or
// else Fleet.Version and nil.
func (s *Set) DesiredVersion(fleet string) (*ModelVersion, *Rollout) {
	f := s.Fleets[fleet]
	if f == nil {
		return nil, nil
	}
	for _, r := range s.Rollouts {
		if r.Fleet == fleet && r.State != RolloutAborted {
			return s.ModelVersions[r.Version], r
		}
	}
	return s.ModelVersions[f.Version], nil
}

// EvacuatedDomains returns the failure domains that an evacuation names.
func (s *Set) EvacuatedDomains() map[string]bool {
	domains := make(map[string]bool, len(s.Evacuations))
	for _, e := range s.Evacuations {
		domains[e.FailureDomain] = true
	}
	return domains
}

// Evacuates reports whether an evacuation names the failure domain.
func (s *Set) Evacuates(failureDomain string) bool {
	for _, e := range s.Evacuations {
		if e.FailureDomain == failureDomain {
			return true
		}
	}
	return false
}

// States of a rollout object.
const (
	RolloutRunning = "running"
	RolloutPaused  = "paused"
	RolloutAborted = "aborted"
)

// Policies of a rollout object.
const (
	PolicyTime        = "time"
	PolicyOriginBytes = "origin-bytes"
)

func addNamed[T any](m map[string]T, name string, o T) bool {
	if _, taken := m[name]; taken {
		return false
	}
	m[name] = o
	return true
}
