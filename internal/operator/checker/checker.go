// Package checker validates a set of configuration objects: the values of
// fields, the references between objects, cycles, and limits that contradict
// each other. It returns all problems at once.
package checker

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// Upper limits of fields. They are far above the values of any deployment and
// catch mistakes such as a number of bytes in place of tokens.
const (
	maxReplicas      = 100_000
	maxContextTokens = 10_000_000
	// maxVersionBytes is 10 TB, more than the weights that fit on any VM.
	maxVersionBytes      = 10_000_000_000_000
	maxWeight            = 1_000
	maxRequestsPerSecond = 1_000_000
	maxTokensPerSecond   = 1_000_000_000
	maxTimeoutMillis     = 600_000
	maxServiceBodyBytes  = 64 << 20
	// digestDigits is the length of a SHA-256 or BLAKE3 digest in hexadecimal.
	digestDigits = 64
	// maxFallbacks limits the length of a chain of fallback routes.
	maxFallbacks = 8
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	// Callers request routes by the model names of other systems, which contain
	// slashes, colons and upper-case letters.
	routeNamePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
	digestPattern     = regexp.MustCompile(`^[0-9a-f]{64}$`)
	sourcePattern     = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9._-]*(/[A-Za-z0-9_][A-Za-z0-9._-]*)*$`)
	allowedPriorities = []string{"interactive", "standard", "batch"}
	allowedPolicies   = []string{parser.PolicyTime, parser.PolicyOriginBytes}
	allowedStates     = []string{parser.RolloutRunning, parser.RolloutPaused, parser.RolloutAborted}
	allowedMethods    = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

// Check returns all problems of the declaration, including those found while
// reading it, ordered by file and line.
func Check(d *parser.Declaration) []parser.Problem {
	c := &checker{
		declaration:      d,
		set:              d.Set,
		namesByKind:      validNamesByKind(d.Set),
		rolloutsByFleet:  activeRolloutsByFleet(d.Set),
		teamsByKeyDigest: map[string]string{},

		evacuationsByDomain: evacuationsByDomain(d.Set),
	}
	for _, o := range d.Objects {
		c.checkObject(o)
	}
	problems := append(append([]parser.Problem(nil), d.Problems...), c.problems...)
	parser.SortProblems(problems)
	return problems
}

// CheckReplacement returns the problems of replacing the published set with
// another. The digest and the parent of a model version or adapter are
// immutable, because agents and callers identify the content by the name.
func CheckReplacement(before *parser.Set, after *parser.Declaration) []parser.Problem {
	c := &checker{set: after.Set}
	for _, o := range after.Objects {
		old := before.Find(o.Object.Ref())
		if old == nil {
			continue
		}
		switch current := o.Object.(type) {
		case *parser.ModelVersion:
			c.checkUnchanged(o, "digest", old.(*parser.ModelVersion).Digest, current.Digest)
			c.checkUnchanged(o, "model", old.(*parser.ModelVersion).Model, current.Model)
		case *parser.Adapter:
			c.checkUnchanged(o, "digest", old.(*parser.Adapter).Digest, current.Digest)
			c.checkUnchanged(o, "version", old.(*parser.Adapter).Version, current.Version)
		}
	}
	parser.SortProblems(c.problems)
	return c.problems
}

// checker collects the problems of a declaration.
type checker struct {
	declaration *parser.Declaration
	set         *parser.Set
	// namesByKind contains valid names only, for suggestions.
	namesByKind map[string][]string
	// rolloutsByFleet contains the rollouts that are not aborted.
	rolloutsByFleet map[string][]*parser.Rollout
	// teamsByKeyDigest maps the API key digests seen so far to their teams.
	teamsByKeyDigest map[string]string
	// evacuationsByDomain maps each failure domain to its first evacuation.
	evacuationsByDomain map[string]string
	problems            []parser.Problem
}

// checkObject checks one object, including its references to others.
func (c *checker) checkObject(o *parser.Declared) {
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
	case *parser.Evacuation:
		c.checkEvacuation(o, object)
	}
}

func (c *checker) checkName(o *parser.Declared) {
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

func (c *checker) checkSize(o *parser.Declared) {
	encoded, err := parser.EncodeObject(o.Object)
	if err == nil && len(encoded) > parser.MaxEncodedObjectBytes {
		c.report(o, "", fmt.Sprintf("the object has %d bytes", len(encoded)),
			fmt.Sprintf("shorten its lists to at most %d bytes in all", parser.MaxEncodedObjectBytes))
	}
}

// report adds a problem, unless the field or the list that contains it already
// had one when the file was read.
func (c *checker) report(o *parser.Declared, field, message, suggestion string) {
	listField, _, _ := strings.Cut(field, "[")
	if o.Invalid[field] || o.Invalid[listField] {
		return
	}
	c.problems = append(c.problems, parser.Problem{
		File: o.File, Line: o.LineOf(field), Object: o.Object.Ref(), Field: field,
		Message: message, Suggestion: suggestion,
	})
}

// checkUnchanged reports a change of an immutable field.
func (c *checker) checkUnchanged(o *parser.Declared, field, before, after string) {
	if before == after {
		return
	}
	c.report(o, field, fmt.Sprintf("%s of a published version cannot change from %q to %q", field, before, after),
		fmt.Sprintf("write a new %s with another name", o.Object.Ref().Kind))
}

// checkRange reports a value outside of low to high, and returns whether it is
// inside.
func (c *checker) checkRange(o *parser.Declared, field string, value, low, high int64) bool {
	if value >= low && value <= high {
		return true
	}
	c.report(o, field, fmt.Sprintf("%d is not allowed", value), fmt.Sprintf("write a number from %d to %d", low, high))
	return false
}

// checkAllowed reports a value that is not in the list of allowed ones.
func (c *checker) checkAllowed(o *parser.Declared, field, value string, allowed []string) {
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

// checkReference reports a missing name or an object that does not exist, and
// returns whether the object exists.
func (c *checker) checkReference(o *parser.Declared, field, kind, name string) bool {
	if name == "" {
		c.report(o, field, "the key is missing", fmt.Sprintf("write the name of a %s", kind))
		return false
	}
	if c.set.Find(parser.Ref{Kind: kind, Name: name}) != nil {
		return true
	}
	suggestion := fmt.Sprintf("declare a %s with this name", kind)
	if near := parser.Nearest(name, c.namesByKind[kind]); near != "" {
		suggestion = "write " + near
	}
	c.report(o, field, fmt.Sprintf("%s %q does not exist", kind, name), suggestion)
	return false
}

// checkUnique reports repeated items of a list.
func (c *checker) checkUnique(o *parser.Declared, field string, values []string) {
	first := map[string]int{}
	for i, value := range values {
		if j, repeated := first[value]; repeated {
			c.report(o, parser.ItemField(field, i), fmt.Sprintf("%q is also item %d", value, j), "delete one of the two")
			continue
		}
		first[value] = i
	}
}

// checkDigest reports a malformed digest and returns whether it is valid. The
// description says in the suggestion what the digest is computed from.
func (c *checker) checkDigest(o *parser.Declared, field, digest, description string) bool {
	if digestPattern.MatchString(digest) {
		return true
	}
	message := fmt.Sprintf("%q is not a digest", digest)
	if digest == "" {
		message = "the digest is missing"
	}
	c.report(o, field, message, fmt.Sprintf("write the %s as %d digits of 0-9 and a-f, in quotes", description, digestDigits))
	return false
}

// validNamesByKind returns the names of objects that may be suggested. Malformed
// names are left out, except those of routes.
func validNamesByKind(s *parser.Set) map[string][]string {
	names := map[string][]string{}
	for _, o := range s.All() {
		ref := o.Ref()
		if ref.Kind == parser.KindRoute || namePattern.MatchString(ref.Name) {
			names[ref.Kind] = append(names[ref.Kind], ref.Name)
		}
	}
	return names
}

// activeRolloutsByFleet returns the rollouts of each fleet that are not aborted.
// Aborted rollouts no longer act on the fleet.
func activeRolloutsByFleet(s *parser.Set) map[string][]*parser.Rollout {
	rollouts := map[string][]*parser.Rollout{}
	for _, o := range s.All() {
		if r, ok := o.(*parser.Rollout); ok && r.State != parser.RolloutAborted {
			rollouts[r.Fleet] = append(rollouts[r.Fleet], r)
		}
	}
	return rollouts
}
