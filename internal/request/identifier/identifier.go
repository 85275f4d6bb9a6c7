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

	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	// DefaultTimeout is the timeout of requests that do not set one. It is
	// sufficient for 8,192 tokens at 26 ms each.
	DefaultTimeout = 5 * time.Minute
	// MaxTimeout is the maximum timeout of a request.
	MaxTimeout = 30 * time.Minute
	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 256

	// defaultMaxTokens limits the answer if neither the request nor the model sets a
	// limit.
	defaultMaxTokens = 1024
	// maxFallbacks limits the length of a chain of fallback routes.
	maxFallbacks = 4
)

// Identifier determines the team, target, priority and cost of requests. Exported fields
// must be set before use.
type Identifier struct {
	// Config returns the current configuration.
	Config func() *parser.Revision
	// Ready reports whether any replica of the target can serve requests that are
	// restricted to the regions. If it is nil, fallback routes are not used.
	Ready func(t Target, regions matcher.Regions, now time.Time) bool

	// keys is the index of the latest configuration.
	keys atomic.Pointer[keyIndex]
}

// keyIndex maps the digests of API keys to teams for one revision of the configuration.
type keyIndex struct {
	set   *parser.Set
	teams map[string]*parser.Team
}

// Identify authenticates the caller and returns the request with all properties that
// later stages need. Errors are of type *RequestError.
func (i *Identifier) Identify(in Incoming, now time.Time) (*Request, error) {
	set := i.Config().Set
	team, err := i.authenticate(set, in.Authorization)
	if err != nil {
		return nil, err
	}
	r := &Request{
		ID:       in.ID,
		Team:     team,
		Set:      set,
		Arrived:  now,
		Deadline: now.Add(effectiveTimeout(in.Timeout)),
		Call:     in.Call,
	}
	switch call := in.Call.(type) {
	case *Completion:
		err = i.identifyCompletion(set, r, call, in, now)
	case *ServiceCall:
		err = identifyService(set, r, call, in)
	}
	if err != nil {
		return nil, err
	}
	return r, nil
}

// Team returns the team of the API key in the value of an Authorization header. Errors
// are of type *RequestError.
func (i *Identifier) Team(authorization string) (*parser.Team, error) {
	return i.authenticate(i.Config().Set, authorization)
}

func (i *Identifier) authenticate(set *parser.Set, authorization string) (*parser.Team, error) {
	scheme, key, _ := strings.Cut(authorization, " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "bearer") || key == "" {
		return nil, unauthorizedError("no API key; send it as \"Authorization: Bearer KEY\"")
	}
	digest := sha256.Sum256([]byte(key))
	team := i.keyIndex(set).teams[hex.EncodeToString(digest[:])]
	if team == nil {
		return nil, unauthorizedError("the API key belongs to no team")
	}
	return team, nil
}

// keyIndex returns the index of the API keys in set, and builds it if the configuration
// has changed.
func (i *Identifier) keyIndex(set *parser.Set) *keyIndex {
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

func (i *Identifier) identifyCompletion(set *parser.Set, r *Request, c *Completion, in Incoming, now time.Time) error {
	route := set.Routes[c.Model]
	if route == nil {
		return &RequestError{
			Status: http.StatusNotFound, Type: TypeInvalidRequest, Code: "model_not_found", Param: "model",
			Message: "the model " + quoteName(c.Model) + " does not exist", Outcome: OutcomeNotRun,
		}
	}
	if !MayUseRoute(r.Team, route.Name) {
		return forbiddenError("model", "team "+quoteName(r.Team.Name)+" may not use the model "+quoteName(c.Model))
	}
	priority, err := effectivePriority(in.Priority, route.Priority, r.Team.Priority)
	if err != nil {
		return err
	}
	r.Priority = priority
	route, r.Regions, r.Routes = i.resolveFallback(set, route, r.Team, now)
	r.Target = targetOf(set, route)
	r.Model = set.Models[r.Target.Model]
	if r.Model == nil {
		return &RequestError{
			Status: http.StatusServiceUnavailable, Type: TypeServer, Code: "model-missing",
			Message: "the model of route " + quoteName(route.Name) + " is not configured", Outcome: OutcomeNotRun,
		}
	}
	if err := limitTokens(r, c); err != nil {
		return err
	}
	if c.Seed == 0 {
		// With a fixed seed, another replica can resume a broken stream with the
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

// resolveFallback returns the first route with a ready target in the chain of fallback
// routes that starts at route, and the regions that the team and the routes up to it
// allow, with the names of these routes. If there is none, it returns route itself.
func (i *Identifier) resolveFallback(set *parser.Set, route *parser.Route, team *parser.Team, now time.Time) (*parser.Route, matcher.Regions, []string) {
	names := []string{route.Name}
	own := matcher.CommonRegions(restriction(route.Regions), restriction(team.Regions))
	if i.Ready == nil {
		return route, own, names
	}
	candidate, regions := route, own
	for range maxFallbacks {
		if i.Ready(targetOf(set, candidate), regions, now) {
			return candidate, regions, names
		}
		next := set.Routes[candidate.Fallback]
		if next == nil {
			break
		}
		candidate, regions = next, matcher.CommonRegions(regions, restriction(next.Regions))
		names = append(names, next.Name)
	}
	return route, own, names[:1]
}

// RegionsIn returns the regions in which the request may run under a configuration that may be newer than that under
// which it arrived: those that both allow. A route or team that was removed since adds no restriction.
func (r *Request) RegionsIn(set *parser.Set) matcher.Regions {
	regions := r.Regions
	if set == r.Set {
		return regions
	}
	for _, name := range r.Routes {
		if route := set.Routes[name]; route != nil {
			regions = matcher.CommonRegions(regions, restriction(route.Regions))
		}
	}
	if team := set.Teams[r.Team.Name]; team != nil {
		regions = matcher.CommonRegions(regions, restriction(team.Regions))
	}
	return regions
}

// restriction returns the regions of a route or a team. An empty list allows all.
func restriction(regions []string) matcher.Regions {
	if len(regions) == 0 {
		return nil
	}
	return regions
}

// targetOf returns the target of a route. The model of a route with only an adapter is
// the model of the version that the adapter belongs to.
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

// limitTokens sets the maximum number of tokens of the answer, reduced to what fits into
// the context of the model, and the cost of the request.
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
			return invalidRequestError("messages", "context_length_exceeded", "the prompt is longer than the context of the model")
		}
		c.MaxTokens = min(c.MaxTokens, limit-prompt)
	}
	r.Cost = prompt + c.MaxTokens
	return nil
}

func identifyService(set *parser.Set, r *Request, c *ServiceCall, in Incoming) error {
	s := set.Services[c.Service]
	if s == nil {
		return &RequestError{
			Status: http.StatusNotFound, Type: TypeNotFound, Code: "service-not-found",
			Message: "the service " + quoteName(c.Service) + " does not exist", Outcome: OutcomeNotRun,
		}
	}
	if len(r.Team.Services) > 0 && !slices.Contains(r.Team.Services, s.Name) {
		return forbiddenError("", "team "+quoteName(r.Team.Name)+" may not use the service "+quoteName(s.Name))
	}
	priority, err := effectivePriority(in.Priority, "", r.Team.Priority)
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
	r.Regions = restriction(r.Team.Regions)
	r.Idempotent = slices.Contains(s.IdempotentMethods, c.Method)
	r.Cost = EstimateTokens(string(c.Body)) + 1
	r.Fingerprint = fingerprint(r.Team.Name, r.Target, []byte(c.Method), []byte(c.Path), c.Body)
	if s.TimeoutMillis > 0 {
		limit := r.Arrived.Add(time.Duration(s.TimeoutMillis) * time.Millisecond)
		if limit.Before(r.Deadline) {
			r.Deadline = limit
		}
	}
	return setClaimKey(r, s, c, in.IdempotencyKey)
}

// setClaimKey sets the claim key and the body digest of a non-idempotent call with an
// idempotency key. It returns an error if the key is too long, or if it is absent and the
// service requires one.
func setClaimKey(r *Request, s *parser.Service, c *ServiceCall, key string) error {
	if r.Idempotent {
		return nil
	}
	if len(key) > MaxKeyBytes {
		return invalidRequestError("idempotency-key", "invalid-idempotency-key", "the idempotency key is longer than 256 bytes")
	}
	if key == "" {
		if s.RequireKey {
			return invalidRequestError("idempotency-key", "idempotency-key-missing",
				"the service "+quoteName(s.Name)+" needs the header idempotency-key for "+c.Method)
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

func effectiveTimeout(requested time.Duration) time.Duration {
	if requested <= 0 {
		return DefaultTimeout
	}
	return min(requested, MaxTimeout)
}

// effectivePriority returns the requested priority, or else that of the route, or else
// the standard one. The priority of the team is the upper limit.
func effectivePriority(requested, route, limit string) (messenger.Priority, error) {
	p := messenger.Priority_PRIORITY_STANDARD
	if parsed, ok := parsePriority(route); ok {
		p = parsed
	}
	if requested != "" {
		parsed, ok := parsePriority(requested)
		if !ok {
			return 0, invalidRequestError("lentil-priority", "invalid-priority",
				"the priority "+quoteName(requested)+" does not exist; use interactive, standard or batch")
		}
		p = parsed
	}
	if maxPriority, ok := parsePriority(limit); ok {
		p = min(p, maxPriority)
	}
	return p, nil
}

func parsePriority(name string) (messenger.Priority, bool) {
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

func unauthorizedError(message string) error {
	return &RequestError{
		Status: http.StatusUnauthorized, Type: TypeAuthentication, Code: "invalid_api_key",
		Message: message, Outcome: OutcomeNotRun,
	}
}

func forbiddenError(param, message string) error {
	return &RequestError{
		Status: http.StatusForbidden, Type: TypePermission, Code: "not-allowed", Param: param,
		Message: message, Outcome: OutcomeNotRun,
	}
}

func invalidRequestError(param, code, message string) error {
	return &RequestError{
		Status: http.StatusBadRequest, Type: TypeInvalidRequest, Code: code, Param: param,
		Message: message, Outcome: OutcomeNotRun,
	}
}
