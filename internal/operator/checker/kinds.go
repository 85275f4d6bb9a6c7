package checker

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

func (c *checker) checkModel(o *parser.Declared, m *parser.Model) {
	if c.checkRange(o, "max-context-tokens", int64(m.MaxContextTokens), 1, maxContextTokens) {
		c.checkRange(o, "default-max-tokens", int64(m.DefaultMaxTokens), 0, int64(m.MaxContextTokens))
	}
}

func (c *checker) checkModelVersion(o *parser.Declared, v *parser.ModelVersion) {
	c.checkReference(o, "model", parser.KindModel, v.Model)
	c.checkContent(o, v.Digest, v.Source, v.SizeBytes, maxVersionBytes)
}

func (c *checker) checkAdapter(o *parser.Declared, a *parser.Adapter) {
	limit := int64(maxVersionBytes)
	if c.checkReference(o, "version", parser.KindModelVersion, a.Version) {
		if base := c.set.ModelVersions[a.Version].SizeBytes; base > 0 {
			limit = base
		}
	}
	c.checkContent(o, a.Digest, a.Source, a.SizeBytes, limit)
}

// checkContent checks the fields that describe the weights of a model version or
// adapter.
func (c *checker) checkContent(o *parser.Declared, digest, source string, size, limit int64) {
	c.checkDigest(o, "digest", digest, "manifest's BLAKE3 digest")
	if !sourcePattern.MatchString(source) {
		c.report(o, "source", fmt.Sprintf("%q is not a path in the weight source", source),
			"write a relative path such as drafting/v2")
	}
	c.checkRange(o, "size-bytes", size, 1, limit)
}

func (c *checker) checkFleet(o *parser.Declared, f *parser.Fleet) {
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
	if c.checkRange(o, "replicas", int64(f.Replicas), 1, maxReplicas) {
		c.checkRange(o, "max-unavailable", int64(f.MaxUnavailable), 0, int64(f.Replicas))
	}
}

func (c *checker) checkModelFleet(o *parser.Declared, f *parser.Fleet) {
	known := c.checkReference(o, "model", parser.KindModel, f.Model)
	if c.checkReference(o, "version", parser.KindModelVersion, f.Version) && known {
		c.checkVersionModel(o, "version", f.Version, f.Model)
	}
	c.checkUnique(o, "adapters", f.Adapters)
	for i, name := range f.Adapters {
		c.checkFleetAdapter(o, f, parser.ItemField("adapters", i), name)
	}
}

// checkFleetAdapter reports an adapter of another model. The adapter may be for
// a version that the fleet does not run at present: this is necessary before a
// rollout starts and after one has been deleted or aborted.
func (c *checker) checkFleetAdapter(o *parser.Declared, f *parser.Fleet, field, name string) {
	if !c.checkReference(o, field, parser.KindAdapter, name) {
		return
	}
	base := c.set.ModelVersions[c.set.Adapters[name].Version]
	if base != nil && base.Model != f.Model && c.set.Models[base.Model] != nil {
		c.report(o, field, fmt.Sprintf("adapter %q is for model %q, the fleet runs %q", name, base.Model, f.Model),
			c.adapterSuggestion(f.Model))
	}
}

func (c *checker) checkServiceFleet(o *parser.Declared, f *parser.Fleet) {
	c.checkReference(o, "service", parser.KindService, f.Service)
	if f.Version != "" {
		c.report(o, "version", "a fleet of a service has no model version", "delete version")
	}
	if len(f.Adapters) > 0 {
		c.report(o, "adapters", "a fleet of a service has no adapters", "delete adapters")
	}
}

func (c *checker) checkRegions(o *parser.Declared, f *parser.Fleet) {
	if len(f.Regions) == 0 {
		c.report(o, "regions", "the list is empty", "write at least one region, for example regions: [central]")
	}
	c.checkRegionNames(o, f.Regions)
	if f.Replicas > 0 && f.Replicas < len(f.Regions) {
		c.report(o, "replicas", fmt.Sprintf("%d replicas cannot be in %d regions", f.Replicas, len(f.Regions)),
			fmt.Sprintf("write at least %d replicas or fewer regions", len(f.Regions)))
	}
}

func (c *checker) checkService(o *parser.Declared, s *parser.Service) {
	c.checkUnique(o, "idempotent-methods", s.IdempotentMethods)
	for i, method := range s.IdempotentMethods {
		c.checkAllowed(o, parser.ItemField("idempotent-methods", i), method, allowedMethods)
	}
	c.checkRange(o, "timeout-ms", s.TimeoutMillis, 0, maxTimeoutMillis)
	c.checkRange(o, "max-body-bytes", s.MaxBodyBytes, 0, maxServiceBodyBytes)
}

func (c *checker) checkTeam(o *parser.Declared, t *parser.Team) {
	c.checkKeyDigests(o, t)
	c.checkRange(o, "weight", int64(t.Weight), 1, maxWeight)
	c.checkRate(o, "requests-per-second", t.RequestsPerSecond, maxRequestsPerSecond)
	c.checkRate(o, "tokens-per-second", t.TokensPerSecond, maxTokensPerSecond)
	if t.TokensPerSecond > 0 && t.TokensPerSecond < t.RequestsPerSecond {
		c.report(o, "tokens-per-second", fmt.Sprintf("%g tokens/s cannot serve %g requests/s: a request has at least one token", t.TokensPerSecond, t.RequestsPerSecond),
			fmt.Sprintf("write at least %g", t.RequestsPerSecond))
	}
	if t.Priority != "" {
		c.checkAllowed(o, "priority", t.Priority, allowedPriorities)
	}
	c.checkUnique(o, "routes", t.Routes)
	for i, name := range t.Routes {
		c.checkReference(o, parser.ItemField("routes", i), parser.KindRoute, name)
	}
	c.checkUnique(o, "services", t.Services)
	for i, name := range t.Services {
		c.checkReference(o, parser.ItemField("services", i), parser.KindService, name)
	}
	c.checkTeamRegions(o, t)
}

func (c *checker) checkKeyDigests(o *parser.Declared, t *parser.Team) {
	if len(t.KeyDigests) == 0 {
		c.report(o, "key-digests", "the list is empty, so the team cannot call",
			"write the SHA-256 digest of an API key: printf %s KEY | sha256sum")
	}
	for i, digest := range t.KeyDigests {
		field := parser.ItemField("key-digests", i)
		if !c.checkDigest(o, field, digest, "API key's SHA-256 digest") {
			continue
		}
		if other, taken := c.teamsByKeyDigest[digest]; taken {
			c.report(o, field, fmt.Sprintf("team %q has the same API key digest", other), "give each team its own API key")
			continue
		}
		c.teamsByKeyDigest[digest] = t.Name
	}
}

// checkRate reports a rate outside of 0 to limit.
func (c *checker) checkRate(o *parser.Declared, field string, value, limit float64) {
	if value < 0 || value > limit {
		c.report(o, field, fmt.Sprintf("%g is not allowed", value), fmt.Sprintf("write a number from 0 (no limit) to %.0f", limit))
	}
}

func (c *checker) checkRollout(o *parser.Declared, r *parser.Rollout) {
	c.checkAllowed(o, "policy", r.Policy, allowedPolicies)
	if r.State != "" {
		c.checkAllowed(o, "state", r.State, allowedStates)
	}
	c.checkRange(o, "max-unavailable", int64(r.MaxUnavailable), 0, maxReplicas)
	versionKnown := c.checkReference(o, "version", parser.KindModelVersion, r.Version)
	if !c.checkReference(o, "fleet", parser.KindFleet, r.Fleet) {
		return
	}
	fleet := c.set.Fleets[r.Fleet]
	if fleet.Model == "" {
		c.report(o, "fleet", fmt.Sprintf("fleet %q runs a service, which has no model versions", r.Fleet), "write a fleet with a model")
		return
	}
	if versionKnown {
		c.checkVersionModel(o, "version", r.Version, fleet.Model)
	}
	c.checkUnavailable(o, r, fleet)
	if others := c.rolloutsByFleet[r.Fleet]; len(others) > 1 && others[0] != r && r.State != parser.RolloutAborted {
		c.report(o, "fleet", fmt.Sprintf("rollout %q already acts on fleet %q", others[0].Name, r.Fleet),
			"delete or abort one of the two")
	}
}

// checkUnavailable reports a rollout that may not make any replica unavailable,
// and so cannot switch one, or that may make all of them unavailable at once.
func (c *checker) checkUnavailable(o *parser.Declared, r *parser.Rollout, fleet *parser.Fleet) {
	unavailable := fleet.MaxUnavailable
	if r.MaxUnavailable > 0 {
		unavailable = r.MaxUnavailable
	}
	switch {
	case fleet.Replicas < 1:
		// checkFleet reports this.
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

// checkVersionModel reports a version of another model than the fleet's. It
// reports nothing if the version or one of the models does not exist, which
// checkReference reports.
func (c *checker) checkVersionModel(o *parser.Declared, field, version, model string) {
	v := c.set.ModelVersions[version]
	if v == nil || v.Model == model || c.set.Models[v.Model] == nil || c.set.Models[model] == nil {
		return
	}
	suggestion := fmt.Sprintf("declare a model-version of %s", model)
	if names := c.versionNames(model); len(names) > 0 {
		suggestion = "write one of " + strings.Join(names, ", ")
	}
	c.report(o, field, fmt.Sprintf("version %q is of model %q, the fleet runs %q", version, v.Model, model), suggestion)
}

// versionNames returns the valid names of the versions of a model.
func (c *checker) versionNames(model string) []string {
	var names []string
	for _, name := range c.namesByKind[parser.KindModelVersion] {
		if c.set.ModelVersions[name].Model == model {
			names = append(names, name)
		}
	}
	return names
}

// adapterSuggestion lists the adapters of a model.
func (c *checker) adapterSuggestion(model string) string {
	var names []string
	for _, name := range c.namesByKind[parser.KindAdapter] {
		if base := c.set.ModelVersions[c.set.Adapters[name].Version]; base != nil && base.Model == model {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "declare an adapter for model " + model
	}
	return "write one of " + strings.Join(names, ", ")
}

func (c *checker) checkRoute(o *parser.Declared, r *parser.Route) {
	if c.checkReference(o, "model", parser.KindModel, r.Model) && r.Adapter != "" {
		c.checkRouteAdapter(o, r)
	}
	if r.Priority != "" {
		c.checkAllowed(o, "priority", r.Priority, allowedPriorities)
	}
	if r.Fallback != "" && c.checkReference(o, "fallback", parser.KindRoute, r.Fallback) {
		c.checkFallbacks(o, r)
	}
	c.checkRouteRegions(o, r)
}

// checkRouteAdapter reports an adapter of another model or one that no fleet has.
func (c *checker) checkRouteAdapter(o *parser.Declared, r *parser.Route) {
	if !c.checkReference(o, "adapter", parser.KindAdapter, r.Adapter) {
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

// checkFallbacks reports fallbacks that form a cycle or too long a chain. A cycle
// is reported once, at the route that reportsCycle selects.
func (c *checker) checkFallbacks(o *parser.Declared, start *parser.Route) {
	chain, last := c.followFallbacks(start)
	switch {
	case last == nil:
	case last != start:
		c.report(o, "fallback", fmt.Sprintf("more than %d routes follow each other as fallbacks", maxFallbacks),
			"write a route that is nearer to the end")
	case c.reportsCycle(o, chain):
		c.report(o, "fallback", "the fallbacks form a cycle: "+strings.Join(append(chain, start.Name), " → "),
			"delete this fallback")
	}
}

// followFallbacks follows the fallbacks from start and returns the names of the
// routes on the way and the route at which it stopped. That route is start in a
// cycle, nil at the end of the chain or in a cycle that does not contain start,
// and another route if the chain is longer than maxFallbacks.
func (c *checker) followFallbacks(start *parser.Route) ([]string, *parser.Route) {
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

// reportsCycle reports whether a cycle of fallbacks is to be reported at o: the
// route with the first name among those declared in a file, or among all if none
// is.
func (c *checker) reportsCycle(o *parser.Declared, cycle []string) bool {
	for _, name := range cycle {
		other := c.declaration.Find(parser.Ref{Kind: parser.KindRoute, Name: name})
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
