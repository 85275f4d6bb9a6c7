package identifier

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	// DefaultTimeout is the time a caller waits that names none: enough for
	// 8,192 tokens at 26 ms each.
	DefaultTimeout = 5 * time.Minute
	// MaxTimeout is the longest deadline that a caller can ask for.
	MaxTimeout = 30 * time.Minute
	// MaxKeyBytes is the longest idempotency key.
	MaxKeyBytes = 256

	defaultMaxTokens = 1024
	// maxFallbacks bounds a chain of fallback routes.
	maxFallbacks = 4
)

// Identifier finds team, target, priority and cost of each request.
type Identifier struct {
	Config func() *parser.Revision
	// Ready reports whether any replica of the target can serve; nil skips
	// fallback routes.
	Ready func(Target) bool

	keys atomic.Pointer[keyIndex]
}

// keyIndex maps digests of API keys to teams for one revision.
type keyIndex struct {
	set   *parser.Set
	teams map[string]*parser.Team
}

// Identify returns the request with everything that later stages need, or a
// *RequestError.
func (i *Identifier) Identify(in Incoming, now time.Time) (*Request, error) {
	set := i.Config().Set
	team, err := i.team(set, in.Authorization)
	if err != nil {
		return nil, err
	}
	r := &Request{
		ID:       in.ID,
		Team:     team,
		Arrived:  now,
		Deadline: now.Add(timeout(in.Timeout)),
		Call:     in.Call,
	}
	switch call := in.Call.(type) {
	case *Completion:
		err = i.completion(set, r, call, in)
	case *ServiceCall:
		err = service(set, r, call, in)
	}
	if err != nil {
		return nil, err
	}
	return r, nil
}

// Team returns the team of a bearer key.
func (i *Identifier) Team(authorization string) (*parser.Team, error) {
	return i.team(i.Config().Set, authorization)
}

func (i *Identifier) team(set *parser.Set, authorization string) (*parser.Team, error) {
	scheme, key, _ := strings.Cut(authorization, " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "bearer") || key == "" {
		return nil, unauthorized("no API key; send it as \"Authorization: Bearer KEY\"")
	}
	digest := sha256.Sum256([]byte(key))
	team := i.index(set).teams[hex.EncodeToString(digest[:])]
	if team == nil {
		return nil, unauthorized("the API key belongs to no team")
	}
	return team, nil
}

func (i *Identifier) index(set *parser.Set) *keyIndex {
	index := i.keys.Load()
	if index != nil && index.set == set {
		return index
	}
	index = &keyIndex{set: set, teams: map[string]*parser.Team{}}
	for _, t := range set.Teams {
		for _, d := range t.KeyDigests {
			index.teams[strings.ToLower(d)] = t
		}
	}
	i.keys.Store(index)
	return index
}

func (i *Identifier) completion(set *parser.Set, r *Request, c *Completion, in Incoming) error {
	route := set.Routes[c.Model]
	if route == nil {
		return &RequestError{
			Status: http.StatusNotFound, Type: TypeInvalidRequest, Code: "model_not_found", Param: "model",
			Message: "the model " + quote(c.Model) + " does not exist", Outcome: OutcomeNotRun,
		}
	}
	if !MayUseRoute(r.Team, route.Name) {
		return forbidden("model", "team "+quote(r.Team.Name)+" may not use the model "+quote(c.Model))
	}
	priority, err := priorityOf(in.Priority, route.Priority, r.Team.Priority)
	if err != nil {
		return err
	}
	r.Priority = priority
	route = i.withFallback(set, route)
	r.Target = targetOf(set, route)
	r.Model = set.Models[r.Target.Model]
	if r.Model == nil {
		return &RequestError{
			Status: http.StatusServiceUnavailable, Type: TypeServer, Code: "model-missing",
			Message: "the model of route " + quote(route.Name) + " is not configured", Outcome: OutcomeNotRun,
		}
	}
	if err := limitTokens(r, c); err != nil {
		return err
	}
	if c.Seed == 0 {
		// A fixed seed lets another replica continue a broken stream with the
		// same tokens.
		c.Seed = rand.Int64N(1<<53) + 1
	}
	r.Idempotent = true
	r.Fingerprint = fingerprint(r.Team.Name, r.Target, c.Body)
	if route.Affinity == nil || *route.Affinity {
		r.PrefixHash = PrefixHash(c.Prompt)
	}
	return nil
}

func (i *Identifier) withFallback(set *parser.Set, route *parser.Route) *parser.Route {
	if i.Ready == nil {
		return route
	}
	at := route
	for range maxFallbacks {
		if i.Ready(targetOf(set, at)) {
			return at
		}
		next := set.Routes[at.Fallback]
		if next == nil {
			break
		}
		at = next
	}
	return route
}

func targetOf(set *parser.Set, route *parser.Route) Target {
	t := Target{Model: route.Model, Adapter: route.Adapter}
	if t.Model != "" || t.Adapter == "" {
		return t
	}
	if a := set.Adapters[t.Adapter]; a != nil {
		if v := set.ModelVersions[a.Version]; v != nil {
			t.Model = v.Model
		}
	}
	return t
}

func limitTokens(r *Request, c *Completion) error {
	prompt := EstimateTokens(c.Prompt)
	if c.MaxTokens == 0 {
		c.MaxTokens = r.Model.DefaultMaxTokens
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultMaxTokens
	}
	if limit := r.Model.MaxContextTokens; limit > 0 {
		if prompt >= limit {
			return invalid("messages", "context_length_exceeded", "the prompt is longer than the context of the model")
		}
		c.MaxTokens = min(c.MaxTokens, limit-prompt)
	}
	r.Cost = prompt + c.MaxTokens
	return nil
}

func service(set *parser.Set, r *Request, c *ServiceCall, in Incoming) error {
	s := set.Services[c.Service]
	if s == nil {
		return &RequestError{
			Status: http.StatusNotFound, Type: TypeNotFound, Code: "service-not-found",
			Message: "the service " + quote(c.Service) + " does not exist", Outcome: OutcomeNotRun,
		}
	}
	if len(r.Team.Services) > 0 && !slices.Contains(r.Team.Services, s.Name) {
		return forbidden("", "team "+quote(r.Team.Name)+" may not use the service "+quote(s.Name))
	}
	priority, err := priorityOf(in.Priority, "", r.Team.Priority)
	if err != nil {
		return err
	}
	if s.MaxBodyBytes > 0 && int64(len(c.Body)) > s.MaxBodyBytes {
		return &RequestError{
			Status: http.StatusRequestEntityTooLarge, Type: TypeInvalidRequest, Code: "body-too-large",
			Message: "the body is larger than the service accepts", Outcome: OutcomeNotRun,
		}
	}
	r.Priority = priority
	r.Service = s
	r.Target = Target{Service: s.Name}
	r.Idempotent = slices.Contains(s.IdempotentMethods, c.Method)
	r.Cost = EstimateTokens(string(c.Body)) + 1
	r.Fingerprint = fingerprint(r.Team.Name, r.Target, []byte(c.Method), []byte(c.Path), c.Body)
	if s.TimeoutMillis > 0 {
		limit := r.Arrived.Add(time.Duration(s.TimeoutMillis) * time.Millisecond)
		if limit.Before(r.Deadline) {
			r.Deadline = limit
		}
	}
	return claimKey(r, s, c, in.IdempotencyKey)
}

func claimKey(r *Request, s *parser.Service, c *ServiceCall, key string) error {
	if r.Idempotent {
		return nil
	}
	if len(key) > MaxKeyBytes {
		return invalid("idempotency-key", "invalid-idempotency-key", "the idempotency key is longer than 256 bytes")
	}
	if key == "" {
		if s.RequireKey {
			return invalid("idempotency-key", "idempotency-key-missing",
				"the service "+quote(s.Name)+" needs the header idempotency-key for "+c.Method)
		}
		return nil
	}
	r.ClaimKey = r.Team.Name + "/" + s.Name + "/" + key
	r.BodyDigest = digest([]byte(c.Method), []byte(c.Path), c.Body)
	return nil
}

// MayUseRoute reports whether the team may use the route.
func MayUseRoute(t *parser.Team, route string) bool {
	return len(t.Routes) == 0 || slices.Contains(t.Routes, route)
}

func timeout(asked time.Duration) time.Duration {
	if asked <= 0 {
		return DefaultTimeout
	}
	return min(asked, MaxTimeout)
}

func priorityOf(asked, route, limit string) (messenger.Priority, error) {
	p := messenger.Priority_PRIORITY_STANDARD
	if named, ok := namedPriority(route); ok {
		p = named
	}
	if asked != "" {
		named, ok := namedPriority(asked)
		if !ok {
			return 0, invalid("lentil-priority", "invalid-priority",
				"the priority "+quote(asked)+" does not exist; use interactive, standard or batch")
		}
		p = named
	}
	if most, ok := namedPriority(limit); ok {
		p = min(p, most)
	}
	return p, nil
}

func namedPriority(name string) (messenger.Priority, bool) {
	switch name {
	case "interactive":
		return messenger.Priority_PRIORITY_INTERACTIVE, true
	case "standard":
		return messenger.Priority_PRIORITY_STANDARD, true
	case "batch":
		return messenger.Priority_PRIORITY_BATCH, true
	}
	return 0, false
}

func unauthorized(message string) error {
	return &RequestError{
		Status: http.StatusUnauthorized, Type: TypeAuthentication, Code: "invalid_api_key",
		Message: message, Outcome: OutcomeNotRun,
	}
}

func forbidden(param, message string) error {
	return &RequestError{
		Status: http.StatusForbidden, Type: TypePermission, Code: "not-allowed", Param: param,
		Message: message, Outcome: OutcomeNotRun,
	}
}

func invalid(param, code, message string) error {
	return &RequestError{
		Status: http.StatusBadRequest, Type: TypeInvalidRequest, Code: code, Param: param,
		Message: message, Outcome: OutcomeNotRun,
	}
}
