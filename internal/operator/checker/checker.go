// Package checker validates a whole set of objects together: references,
// cycles, and limits that cannot hold. It reports all problems at once.
package checker

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// Bounds of fields. They catch typing mistakes, such as bytes for tokens;
// no deployment comes near them.
const (
	maxReplicas      = 100_000
	maxContextTokens = 10_000_000
	// maxVersionBytes is 10 TB, above any set of weights that fits on a VM.
	maxVersionBytes      = 10_000_000_000_000
	maxWeight            = 1_000
	maxRequestsPerSecond = 1_000_000
	maxTokensPerSecond   = 1_000_000_000
	maxTimeoutMillis     = 600_000
	maxServiceBodyBytes  = 64 << 20
	// digestDigits is the length of a SHA-256 or BLAKE3 digest in hexadecimal.
	digestDigits = 64
	// maxFallbacks bounds the routes that one request may be passed along.
	maxFallbacks = 8
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	// Callers use model names of other systems, which have slashes, colons
	// and capitals.
	routeNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
	digestPattern    = regexp.MustCompile(`^[0-9a-f]{64}$`)
	sourcePattern    = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9._-]*(/[A-Za-z0-9_][A-Za-z0-9._-]*)*$`)
	priorities       = []string{"interactive", "standard", "batch"}
	policies         = []string{parser.PolicyTime, parser.PolicyOriginBytes}
	states           = []string{parser.RolloutRunning, parser.RolloutPaused, parser.RolloutAborted}
	httpMethods      = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

// Check returns all problems of the declaration, those found while reading it
// included, ordered by file and line.
func Check(d *parser.Declaration) []parser.Problem {
	c := &check{
		places:   d,
		set:      d.Set,
		names:    namesByKind(d.Set),
		rollouts: rolloutsByFleet(d.Set),
		digests:  map[string]string{},
	}
	for _, o := range d.Objects {
		c.checkObject(o)
	}
	problems := append(append([]parser.Problem(nil), d.Problems...), c.problems...)
	parser.SortProblems(problems)
	return problems
}

// CheckReplacement returns the problems of replacing one set by another. The
// content of a version never changes under the same name, because agents and
// callers take the name for the content.
func CheckReplacement(before *parser.Set, after *parser.Declaration) []parser.Problem {
	c := &check{set: after.Set}
	for _, o := range after.Objects {
		old := before.Find(o.Object.Ref())
		if old == nil {
			continue
		}
		switch current := o.Object.(type) {
		case *parser.ModelVersion:
			c.unchanged(o, "digest", old.(*parser.ModelVersion).Digest, current.Digest)
			c.unchanged(o, "model", old.(*parser.ModelVersion).Model, current.Model)
		case *parser.Adapter:
			c.unchanged(o, "digest", old.(*parser.Adapter).Digest, current.Digest)
			c.unchanged(o, "version", old.(*parser.Adapter).Version, current.Version)
		}
	}
	parser.SortProblems(c.problems)
	return c.problems
}

type check struct {
	places   *parser.Declaration
	set      *parser.Set
	names    map[string][]string
	rollouts map[string][]*parser.Rollout
	// digests maps each API key digest to its team.
	digests  map[string]string
	problems []parser.Problem
}

func (c *check) checkObject(o *parser.Declared) {
	c.checkName(o)
	c.checkSize(o)
	switch object := o.Object.(type) {
	case *parser.Model:
		c.checkModel(o, object)
	case *parser.ModelVersion:
		c.checkModelVersion(o, object)
	case *parser.Adapter:
		c.checkAdapter(o, object)
	case *parser.Fleet:
		c.checkFleet(o, object)
	case *parser.Service:
		c.checkService(o, object)
	case *parser.Team:
		c.checkTeam(o, object)
	case *parser.Rollout:
		c.checkRollout(o, object)
	case *parser.Route:
		c.checkRoute(o, object)
	}
}

func (c *check) checkName(o *parser.Declared) {
	ref := o.Object.Ref()
	pattern, rule := namePattern, "write 1 to 63 lower-case letters, digits, - and ."
	if ref.Kind == parser.KindRoute {
		pattern, rule = routeNamePattern, "write 1 to 128 letters, digits and . _ : / -"
	}
	switch {
	case ref.Name == "":
		c.report(o, "name", "the key is missing", rule)
	case !pattern.MatchString(ref.Name):
		c.report(o, "name", fmt.Sprintf("%q is not a name", ref.Name), rule)
	}
}

func (c *check) checkSize(o *parser.Declared) {
	encoded, err := parser.EncodeObject(o.Object)
	if err == nil && len(encoded) > parser.MaxEncodedObjectBytes {
		c.report(o, "", fmt.Sprintf("the object has %d bytes", len(encoded)),
			fmt.Sprintf("shorten its lists to at most %d bytes in all", parser.MaxEncodedObjectBytes))
	}
}

// report adds a problem, unless the field already has one.
func (c *check) report(o *parser.Declared, field, message, suggestion string) {
	list, _, _ := strings.Cut(field, "[")
	if o.Invalid[field] || o.Invalid[list] {
		return
	}
	c.problems = append(c.problems, parser.Problem{
		File: o.File, Line: o.LineOf(field), Object: o.Object.Ref(), Field: field,
		Message: message, Suggestion: suggestion,
	})
}

func (c *check) unchanged(o *parser.Declared, field, before, after string) {
	if before == after {
		return
	}
	c.report(o, field, fmt.Sprintf("%s of a published version cannot change from %q to %q", field, before, after),
		fmt.Sprintf("write a new %s with another name", o.Object.Ref().Kind))
}

func (c *check) inRange(o *parser.Declared, field string, value, low, high int64) bool {
	if value >= low && value <= high {
		return true
	}
	c.report(o, field, fmt.Sprintf("%d is not allowed", value), fmt.Sprintf("write a number from %d to %d", low, high))
	return false
}

func (c *check) oneOf(o *parser.Declared, field, value string, allowed []string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	suggestion := "write one of " + strings.Join(allowed, ", ")
	if near := parser.Nearest(value, allowed); near != "" {
		suggestion = "write " + near
	}
	c.report(o, field, fmt.Sprintf("%q is not allowed", value), suggestion)
}

// reference reports whether the object that the field names exists.
func (c *check) reference(o *parser.Declared, field, kind, name string) bool {
	if name == "" {
		c.report(o, field, "the key is missing", fmt.Sprintf("write the name of a %s", kind))
		return false
	}
	if c.set.Find(parser.Ref{Kind: kind, Name: name}) != nil {
		return true
	}
	suggestion := fmt.Sprintf("declare a %s with this name", kind)
	if near := parser.Nearest(name, c.names[kind]); near != "" {
		suggestion = "write " + near
	}
	c.report(o, field, fmt.Sprintf("%s %q does not exist", kind, name), suggestion)
	return false
}

func (c *check) unique(o *parser.Declared, field string, values []string) {
	first := map[string]int{}
	for i, value := range values {
		if j, repeated := first[value]; repeated {
			c.report(o, parser.ItemField(field, i), fmt.Sprintf("%q is also item %d", value, j), "delete one of the two")
			continue
		}
		first[value] = i
	}
}

func (c *check) checkDigest(o *parser.Declared, field, digest, of string) bool {
	if digestPattern.MatchString(digest) {
		return true
	}
	message := fmt.Sprintf("%q is not a digest", digest)
	if digest == "" {
		message = "the digest is missing"
	}
	c.report(o, field, message, fmt.Sprintf("write the %s as %d digits of 0-9 and a-f, in quotes", of, digestDigits))
	return false
}

// namesByKind leaves names out that are not allowed, so that none of them is
// suggested.
func namesByKind(s *parser.Set) map[string][]string {
	names := map[string][]string{}
	for _, o := range s.All() {
		ref := o.Ref()
		if ref.Kind == parser.KindRoute || namePattern.MatchString(ref.Name) {
			names[ref.Kind] = append(names[ref.Kind], ref.Name)
		}
	}
	return names
}

// rolloutsByFleet leaves aborted rollouts out: they no longer act on a fleet.
func rolloutsByFleet(s *parser.Set) map[string][]*parser.Rollout {
	rollouts := map[string][]*parser.Rollout{}
	for _, o := range s.All() {
		if r, ok := o.(*parser.Rollout); ok && r.State != parser.RolloutAborted {
			rollouts[r.Fleet] = append(rollouts[r.Fleet], r)
		}
	}
	return rollouts
}
