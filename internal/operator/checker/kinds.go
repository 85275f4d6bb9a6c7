package checker

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

func (c *check) checkModel(o *parser.Declared, m *parser.Model) {
	if c.inRange(o, "max-context-tokens", int64(m.MaxContextTokens), 1, maxContextTokens) {
		c.inRange(o, "default-max-tokens", int64(m.DefaultMaxTokens), 0, int64(m.MaxContextTokens))
	}
}

func (c *check) checkModelVersion(o *parser.Declared, v *parser.ModelVersion) {
	c.reference(o, "model", parser.KindModel, v.Model)
	c.checkContent(o, v.Digest, v.Source, v.SizeBytes, maxVersionBytes)
}

func (c *check) checkAdapter(o *parser.Declared, a *parser.Adapter) {
	limit := int64(maxVersionBytes)
	if c.reference(o, "version", parser.KindModelVersion, a.Version) {
		if base := c.set.ModelVersions[a.Version].SizeBytes; base > 0 {
			limit = base
		}
	}
	c.checkContent(o, a.Digest, a.Source, a.SizeBytes, limit)
}

func (c *check) checkContent(o *parser.Declared, digest, source string, size, limit int64) {
	c.checkDigest(o, "digest", digest, "manifest's BLAKE3 digest")
	if !sourcePattern.MatchString(source) {
		c.report(o, "source", fmt.Sprintf("%q is not a path in the weight source", source),
			"write a relative path such as drafting/v2")
	}
	c.inRange(o, "size-bytes", size, 1, limit)
}

func (c *check) checkFleet(o *parser.Declared, f *parser.Fleet) {
	switch {
	case f.Model != "" && f.Service != "":
		c.report(o, "service", "model and service are both set", "delete one of the two")
	case f.Model == "" && f.Service == "":
		c.report(o, "model", "neither model nor service is set", "write model: or service: with a name")
	case f.Model != "":
		c.checkModelFleet(o, f)
	default:
		c.checkServiceFleet(o, f)
	}
	c.checkRegions(o, f)
	if c.inRange(o, "replicas", int64(f.Replicas), 1, maxReplicas) {
		c.inRange(o, "max-unavailable", int64(f.MaxUnavailable), 0, int64(f.Replicas))
	}
}

func (c *check) checkModelFleet(o *parser.Declared, f *parser.Fleet) {
	known := c.reference(o, "model", parser.KindModel, f.Model)
	if c.reference(o, "version", parser.KindModelVersion, f.Version) && known {
		c.versionOf(o, "version", f.Version, f.Model)
	}
	c.unique(o, "adapters", f.Adapters)
	for i, name := range f.Adapters {
		c.checkFleetAdapter(o, f, parser.ItemField("adapters", i), name)
	}
}

// checkFleetAdapter reports an adapter of another model. An adapter of a
// version that the fleet does not run at present is accepted: it is needed
// before a rollout begins and after it has been deleted or aborted.
func (c *check) checkFleetAdapter(o *parser.Declared, f *parser.Fleet, field, name string) {
	if !c.reference(o, field, parser.KindAdapter, name) {
		return
	}
	base := c.set.ModelVersions[c.set.Adapters[name].Version]
	if base != nil && base.Model != f.Model && c.set.Models[base.Model] != nil {
		c.report(o, field, fmt.Sprintf("adapter %q is for model %q, the fleet runs %q", name, base.Model, f.Model),
			c.adapterSuggestion(f.Model))
	}
}

func (c *check) checkServiceFleet(o *parser.Declared, f *parser.Fleet) {
	c.reference(o, "service", parser.KindService, f.Service)
	if f.Version != "" {
		c.report(o, "version", "a fleet of a service has no model version", "delete version")
	}
	if len(f.Adapters) > 0 {
		c.report(o, "adapters", "a fleet of a service has no adapters", "delete adapters")
	}
}

func (c *check) checkRegions(o *parser.Declared, f *parser.Fleet) {
	if len(f.Regions) == 0 {
		c.report(o, "regions", "the list is empty", "write at least one region, for example regions: [central]")
	}
	c.unique(o, "regions", f.Regions)
	for i, region := range f.Regions {
		if !namePattern.MatchString(region) {
			c.report(o, parser.ItemField("regions", i), fmt.Sprintf("%q is not a region", region),
				"write 1 to 63 lower-case letters, digits, - and .")
		}
	}
	if f.Replicas > 0 && f.Replicas < len(f.Regions) {
		c.report(o, "replicas", fmt.Sprintf("%d replicas cannot be in %d regions", f.Replicas, len(f.Regions)),
			fmt.Sprintf("write at least %d replicas or fewer regions", len(f.Regions)))
	}
}

func (c *check) checkService(o *parser.Declared, s *parser.Service) {
	c.unique(o, "idempotent-methods", s.IdempotentMethods)
	for i, method := range s.IdempotentMethods {
		c.oneOf(o, parser.ItemField("idempotent-methods", i), method, httpMethods)
	}
	c.inRange(o, "timeout-ms", s.TimeoutMillis, 0, maxTimeoutMillis)
	c.inRange(o, "max-body-bytes", s.MaxBodyBytes, 0, maxServiceBodyBytes)
}

func (c *check) checkTeam(o *parser.Declared, t *parser.Team) {
	c.checkKeys(o, t)
	c.inRange(o, "weight", int64(t.Weight), 1, maxWeight)
	c.rate(o, "requests-per-second", t.RequestsPerSecond, maxRequestsPerSecond)
	c.rate(o, "tokens-per-second", t.TokensPerSecond, maxTokensPerSecond)
	if t.TokensPerSecond > 0 && t.TokensPerSecond < t.RequestsPerSecond {
		c.report(o, "tokens-per-second", fmt.Sprintf("%g tokens/s cannot serve %g requests/s: a request has at least one token", t.TokensPerSecond, t.RequestsPerSecond),
			fmt.Sprintf("write at least %g", t.RequestsPerSecond))
	}
	if t.Priority != "" {
		c.oneOf(o, "priority", t.Priority, priorities)
	}
	c.unique(o, "routes", t.Routes)
	for i, name := range t.Routes {
		c.reference(o, parser.ItemField("routes", i), parser.KindRoute, name)
	}
	c.unique(o, "services", t.Services)
	for i, name := range t.Services {
		c.reference(o, parser.ItemField("services", i), parser.KindService, name)
	}
}

func (c *check) checkKeys(o *parser.Declared, t *parser.Team) {
	if len(t.KeyDigests) == 0 {
		c.report(o, "key-digests", "the list is empty, so the team cannot call",
			"write the SHA-256 digest of an API key: printf %s KEY | sha256sum")
	}
	for i, digest := range t.KeyDigests {
		field := parser.ItemField("key-digests", i)
		if !c.checkDigest(o, field, digest, "API key's SHA-256 digest") {
			continue
		}
		if other, taken := c.digests[digest]; taken {
			c.report(o, field, fmt.Sprintf("team %q has the same API key digest", other), "give each team its own API key")
			continue
		}
		c.digests[digest] = t.Name
	}
}

func (c *check) rate(o *parser.Declared, field string, value, limit float64) {
	if value < 0 || value > limit {
		c.report(o, field, fmt.Sprintf("%g is not allowed", value), fmt.Sprintf("write a number from 0 (no limit) to %.0f", limit))
	}
}

func (c *check) checkRollout(o *parser.Declared, r *parser.Rollout) {
	c.oneOf(o, "policy", r.Policy, policies)
	if r.State != "" {
		c.oneOf(o, "state", r.State, states)
	}
	c.inRange(o, "max-unavailable", int64(r.MaxUnavailable), 0, maxReplicas)
	versionKnown := c.reference(o, "version", parser.KindModelVersion, r.Version)
	if !c.reference(o, "fleet", parser.KindFleet, r.Fleet) {
		return
	}
	fleet := c.set.Fleets[r.Fleet]
	if fleet.Model == "" {
		c.report(o, "fleet", fmt.Sprintf("fleet %q runs a service, which has no model versions", r.Fleet), "write a fleet with a model")
		return
	}
	if versionKnown {
		c.versionOf(o, "version", r.Version, fleet.Model)
	}
	c.checkCapacity(o, r, fleet)
	if others := c.rollouts[r.Fleet]; len(others) > 1 && others[0] != r && r.State != parser.RolloutAborted {
		c.report(o, "fleet", fmt.Sprintf("rollout %q already acts on fleet %q", others[0].Name, r.Fleet),
			"delete or abort one of the two")
	}
}

// checkCapacity reports a rollout that cannot switch any replica, or that may
// switch all at once and so leaves none to serve.
func (c *check) checkCapacity(o *parser.Declared, r *parser.Rollout, fleet *parser.Fleet) {
	unavailable := fleet.MaxUnavailable
	if r.MaxUnavailable > 0 {
		unavailable = r.MaxUnavailable
	}
	switch {
	case fleet.Replicas < 1:
		// The fleet has its own problem.
	case fleet.Replicas == 1:
		c.report(o, "fleet", fmt.Sprintf("fleet %q is too small for a rollout: its only replica would be unavailable", fleet.Name),
			"write replicas: 2 or more in the fleet")
	case unavailable < 1:
		c.report(o, "max-unavailable", fmt.Sprintf("neither the rollout nor fleet %q allows an unavailable replica, so no replica can switch", fleet.Name),
			fmt.Sprintf("write a number from 1 to %d", fleet.Replicas-1))
	case unavailable >= fleet.Replicas:
		c.report(o, "max-unavailable", fmt.Sprintf("fleet %q is too small: %d of its %d replicas may be unavailable, so none may serve", fleet.Name, unavailable, fleet.Replicas),
			fmt.Sprintf("write a number from 1 to %d", fleet.Replicas-1))
	}
}

func (c *check) versionOf(o *parser.Declared, field, version, model string) {
	v := c.set.ModelVersions[version]
	if v == nil || v.Model == model || c.set.Models[v.Model] == nil || c.set.Models[model] == nil {
		return
	}
	suggestion := fmt.Sprintf("declare a model-version of %s", model)
	if names := c.versionsOf(model); len(names) > 0 {
		suggestion = "write one of " + strings.Join(names, ", ")
	}
	c.report(o, field, fmt.Sprintf("version %q is of model %q, the fleet runs %q", version, v.Model, model), suggestion)
}

func (c *check) versionsOf(model string) []string {
	var names []string
	for _, name := range c.names[parser.KindModelVersion] {
		if c.set.ModelVersions[name].Model == model {
			names = append(names, name)
		}
	}
	return names
}

func (c *check) adapterSuggestion(model string) string {
	var names []string
	for _, name := range c.names[parser.KindAdapter] {
		if base := c.set.ModelVersions[c.set.Adapters[name].Version]; base != nil && base.Model == model {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "declare an adapter for model " + model
	}
	return "write one of " + strings.Join(names, ", ")
}

func (c *check) checkRoute(o *parser.Declared, r *parser.Route) {
	if c.reference(o, "model", parser.KindModel, r.Model) && r.Adapter != "" {
		c.checkRouteAdapter(o, r)
	}
	if r.Priority != "" {
		c.oneOf(o, "priority", r.Priority, priorities)
	}
	if r.Fallback != "" && c.reference(o, "fallback", parser.KindRoute, r.Fallback) {
		c.checkFallbacks(o, r)
	}
}

func (c *check) checkRouteAdapter(o *parser.Declared, r *parser.Route) {
	if !c.reference(o, "adapter", parser.KindAdapter, r.Adapter) {
		return
	}
	base := c.set.ModelVersions[c.set.Adapters[r.Adapter].Version]
	if base != nil && base.Model != r.Model {
		c.report(o, "adapter", fmt.Sprintf("adapter %q is for model %q, the route has model %q", r.Adapter, base.Model, r.Model),
			c.adapterSuggestion(r.Model))
		return
	}
	for _, f := range c.set.Fleets {
		if slices.Contains(f.Adapters, r.Adapter) {
			return
		}
	}
	c.report(o, "adapter", fmt.Sprintf("no fleet has adapter %q", r.Adapter),
		fmt.Sprintf("add it to the adapters of a fleet of model %s", r.Model))
}

// checkFallbacks reports a cycle once: at the route with the first name among
// those that are in a file, else among all.
func (c *check) checkFallbacks(o *parser.Declared, start *parser.Route) {
	chain, last := c.followFallbacks(start)
	switch {
	case last == nil:
	case last != start:
		c.report(o, "fallback", fmt.Sprintf("more than %d routes follow each other as fallbacks", maxFallbacks),
			"write a route that is nearer to the end")
	case c.isReporter(o, chain):
		c.report(o, "fallback", "the fallbacks form a cycle: "+strings.Join(append(chain, start.Name), " → "),
			"delete this fallback")
	}
}

// followFallbacks returns the names of the routes from start on, and the route
// at which it stopped: start itself in a cycle, nil at the end of the chain or
// at a cycle that does not contain start.
func (c *check) followFallbacks(start *parser.Route) ([]string, *parser.Route) {
	chain := []string{start.Name}
	r := c.set.Routes[start.Fallback]
	for r != nil && r != start && len(chain) <= maxFallbacks {
		if slices.Contains(chain, r.Name) {
			return chain, nil
		}
		chain = append(chain, r.Name)
		r = c.set.Routes[r.Fallback]
	}
	return chain, r
}

func (c *check) isReporter(o *parser.Declared, cycle []string) bool {
	for _, name := range cycle {
		other := c.places.Find(parser.Ref{Kind: parser.KindRoute, Name: name})
		if other == nil || other == o {
			continue
		}
		if other.Line > 0 && o.Line == 0 {
			return false
		}
		if (other.Line > 0) == (o.Line > 0) && name < o.Object.Ref().Name {
			return false
		}
	}
	return true
}
