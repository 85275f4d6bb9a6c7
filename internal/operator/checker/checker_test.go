package checker

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const digest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

// valid is a set without problems. Each test case replaces a part of it.
const valid = `{kind: model, name: m, max-context-tokens: 4096}
---
{kind: model, name: other, max-context-tokens: 4096}
---
{kind: model-version, name: m-1, model: m, digest: "DIGEST", source: m/1, size-bytes: 100}
---
{kind: model-version, name: m-2, model: m, digest: "DIGEST", source: m/2, size-bytes: 100}
---
{kind: model-version, name: other-1, model: other, digest: "DIGEST", source: o/1, size-bytes: 100}
---
{kind: adapter, name: a, version: m-1, digest: "DIGEST", source: a/1, size-bytes: 10}
---
{kind: fleet, name: f, model: m, version: m-1, adapters: [a], regions: [r1, r2], replicas: 4, max-unavailable: 1}
---
{kind: service, name: s, idempotent-methods: [GET]}
---
{kind: fleet, name: fs, service: s, regions: [r1], replicas: 1}
---
{kind: team, name: t, key-digests: ["DIGEST"], weight: 1, routes: [x], services: [s]}
---
{kind: route, name: x, model: m, adapter: a, fallback: y}
---
{kind: route, name: y, model: m}
---
{kind: rollout, name: r, fleet: f, version: m-2, policy: time}
`

// Guards against invalid sets that are accepted, and so published, and against
// problems reported at the wrong line or field or with a useless suggestion.
func TestCheck(t *testing.T) {
	tests := []struct {
		name, old, replacement, want string
	}{
		{"valid", "", "", ""},
		{"missing reference", "model: m, digest: \"DIGEST\", source: m/2", "model: n, digest: \"DIGEST\", source: m/2", `f:7: model-version/m-2: model: model "n" does not exist; write m`},
		{"version of another model", "model: m, digest: \"DIGEST\", source: m/2", "model: other, digest: \"DIGEST\", source: m/2", `f:25: rollout/r: version: version "m-2" is of model "other", the fleet runs "m"; write one of m-1`},
		{"name", "name: s,", "name: S_,", `f:15: service/S_: name: "S_" is not a name; write 1 to 63 lower-case letters, digits, - and .
f:17: fleet/fs: service: service "s" does not exist; declare a service with this name
f:19: team/t: services[0]: service "s" does not exist; declare a service with this name`},
		{"digest", "\"DIGEST\", source: a/1", "abc, source: a/1", `f:11: adapter/a: digest: "abc" is not a digest; write the manifest's BLAKE3 digest as 64 digits of 0-9 and a-f, in quotes`},
		{"source", "source: a/1", "source: ../a", `f:11: adapter/a: source: "../a" is not a path in the weight source; write a relative path such as drafting/v2`},
		{"adapter larger than its version", "size-bytes: 10}", "size-bytes: 101}", `f:11: adapter/a: size-bytes: 101 is not allowed; write a number from 1 to 100`},
		{"adapter of another model", "name: a, version: m-1", "name: a, version: other-1", `f:13: fleet/f: adapters[0]: adapter "a" is for model "other", the fleet runs "m"; declare an adapter for model m
f:21: route/x: adapter: adapter "a" is for model "other", the route has model "m"; declare an adapter for model m`},
		{"adapter of another version, as after a rollout", "version: m-1, adapters", "version: m-2, adapters", ``},
		{"adapter of no fleet", "adapters: [a], ", "", `f:21: route/x: adapter: no fleet has adapter "a"; add it to the adapters of a fleet of model m`},
		{"model and service", "service: s, regions", "service: s, model: m, regions", `f:17: fleet/fs: service: model and service are both set; delete one of the two`},
		{"neither model nor service", "service: s, regions", "regions", `f:17: fleet/fs: model: neither model nor service is set; write model: or service: with a name`},
		{"more regions than replicas", "replicas: 4", "replicas: 1", `f:13: fleet/f: replicas: 1 replicas cannot be in 2 regions; write at least 2 replicas or fewer regions
f:25: rollout/r: fleet: fleet "f" is too small for a rollout: its only replica would be unavailable; write replicas: 2 or more in the fleet`},
		{"fleet too small", "max-unavailable: 1", "max-unavailable: 4", `f:25: rollout/r: max-unavailable: fleet "f" is too small: 4 of its 4 replicas may be unavailable, so none may serve; write a number from 1 to 3`},
		{"nothing may be unavailable", ", max-unavailable: 1", "", `f:25: rollout/r: max-unavailable: neither the rollout nor fleet "f" allows an unavailable replica, so no replica can switch; write a number from 1 to 3`},
		{"replicas out of range", "replicas: 4, max-unavailable: 1", "replicas: 0, max-unavailable: 1", `f:13: fleet/f: replicas: 0 is not allowed; write a number from 1 to 100000`},
		{"rollout of a service", "fleet: f,", "fleet: fs,", `f:25: rollout/r: fleet: fleet "fs" runs a service, which has no model versions; write a fleet with a model`},
		{"two rollouts of a fleet", "policy: time}", "policy: time}\n---\n{kind: rollout, name: r2, fleet: f, version: m-2, policy: tme, state: stopped}", `f:27: rollout/r2: policy: "tme" is not allowed; write time
f:27: rollout/r2: state: "stopped" is not allowed; write one of running, paused, aborted
f:27: rollout/r2: fleet: rollout "r" already acts on fleet "f"; delete or abort one of the two`},
		{"aborted rollout beside another", "policy: time}", "policy: time}\n---\n{kind: rollout, name: a2, fleet: f, version: m-2, policy: time, state: aborted}", ``},
		{"duplicate key digest", "policy: time}", "policy: time}\n---\n{kind: team, name: u, key-digests: [\"DIGEST\"], weight: 0}", `f:27: team/u: key-digests[0]: team "t" has the same API key digest; give each team its own API key
f:27: team/u: weight: 0 is not allowed; write a number from 1 to 1000`},
		{"team limits", "weight: 1,", "weight: 1, requests-per-second: 50, tokens-per-second: 10, priority: high,", `f:19: team/t: tokens-per-second: 10 tokens/s cannot serve 50 requests/s: a request has at least one token; write at least 50
f:19: team/t: priority: "high" is not allowed; write one of interactive, standard, batch`},
		{"cycle", "name: y, model: m", "name: y, model: m, fallback: x", `f:21: route/x: fallback: the fallbacks form a cycle: x → y → x; delete this fallback`},
		{"cycle beyond the start", "name: y, model: m", "name: y, model: m, fallback: z}\n---\n{kind: route, name: z, model: m, fallback: y", `f:23: route/y: fallback: the fallbacks form a cycle: y → z → y; delete this fallback`},
		{"too many fallbacks", "name: y, model: m}", "name: y, model: m, fallback: z1}\n---\n{kind: route, name: z1, model: m, fallback: z2}\n---\n{kind: route, name: z2, model: m, fallback: z3}\n---\n{kind: route, name: z3, model: m, fallback: z4}\n---\n{kind: route, name: z4, model: m, fallback: z5}\n---\n{kind: route, name: z5, model: m, fallback: z6}\n---\n{kind: route, name: z6, model: m, fallback: z7}\n---\n{kind: route, name: z7, model: m, fallback: z8}\n---\n{kind: route, name: z8, model: m, fallback: z9}\n---\n{kind: route, name: z9, model: m}", `f:21: route/x: fallback: more than 8 routes follow each other as fallbacks; write a route that is nearer to the end
f:23: route/y: fallback: more than 8 routes follow each other as fallbacks; write a route that is nearer to the end`},
		{"methods", "[GET]", "[get, GET, GET]", `f:15: service/s: idempotent-methods[2]: "GET" is also item 1; delete one of the two
f:15: service/s: idempotent-methods[0]: "get" is not allowed; write GET`},
		{"evacuations", "policy: time}", "policy: time}\n---\n{kind: evacuation, name: e, failure-domain: d1}\n---\n{kind: evacuation, name: e2, failure-domain: d2}", ``},
		{"two evacuations of a failure domain", "policy: time}", "policy: time}\n---\n{kind: evacuation, name: e, failure-domain: d1}\n---\n{kind: evacuation, name: a, failure-domain: d1}", `f:27: evacuation/e: failure-domain: evacuation "a" already evacuates failure domain "d1"; delete one of the two`},
		{"evacuation of nothing", "policy: time}", "policy: time}\n---\n{kind: evacuation, name: e}", `f:27: evacuation/e: failure-domain: the key is missing; write the name of a failure domain, as in --failure-domain of its agents`},
		{"regions of a route", "name: y, model: m", "name: y, model: m, regions: [r1]", ``},
		{"route without a fleet in its regions", "name: y, model: m", "name: y, model: m, regions: [r3]", `f:23: route/y: regions: no fleet of model "m" is in r3; write at least one of r1, r2`},
		{"malformed region of a route", "name: y, model: m", "name: y, model: m, regions: [R1]", `f:23: route/y: regions[0]: "R1" is not a region; write 1 to 63 lower-case letters, digits, - and .`},
		{"regions of a team", "services: [s]}", "services: [s], regions: [r1, r1]}", `f:19: team/t: regions[1]: "r1" is also item 0; delete one of the two`},
		{"team without a fleet of its route", "services: [s]}", "services: [s], regions: [r3]}", `f:19: team/t: regions: route "x" (routes[0]) has no fleet in a region that it and the team allow; write at least one of r1, r2`},
		{"team without a fleet of its service", "services: [s]}", "services: [s], regions: [r2]}", `f:19: team/t: regions: service "s" (services[0]) has no fleet in r2; write at least one of r1`},
		{"regions of a team and an empty list of its route", "services: [s]}\n---\n{kind: route, name: x, model: m,", "services: [s], regions: [r1]}\n---\n{kind: route, name: x, regions: [], model: m,", ``},
		{"team without any fleet", "weight: 1, routes: [x], services: [s]}", "weight: 1, regions: [r3]}", `f:19: team/t: regions: no fleet is in r3; write at least one of r1, r2`},
		{"no second problem for a bad field", "replicas: 4", "replcas: 4", `f:13: fleet/f: replcas: the key is not known for kind fleet; write replicas`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(strings.Contains(valid, test.old), qt.IsTrue)
			text := strings.Replace(valid, test.old, test.replacement, 1)
			d := parser.NewDeclaration()
			d.ReadFile("f", []byte(strings.ReplaceAll(text, "DIGEST", digest)))
			var got []string
			for _, p := range Check(d) {
				got = append(got, p.String())
			}
			c.Assert(strings.Join(got, "\n"), qt.Equals, test.want)
		})
	}
}

// Guards against changing the digest of a published version, after which
// replicas with different weights would report the same version.
func TestCheckReplacement(t *testing.T) {
	c := qt.New(t)
	read := func(text string) *parser.Declaration {
		d := parser.NewDeclaration()
		d.ReadFile("f", []byte(strings.ReplaceAll(text, "DIGEST", digest)))
		return d
	}
	before := read(valid)
	c.Assert(CheckReplacement(before.Set, read(valid)), qt.HasLen, 0)
	after := read(strings.Replace(valid, `"DIGEST", source: m/2`, `"`+strings.Repeat("0", 64)+`", source: m/2`, 1))
	problems := CheckReplacement(before.Set, after)
	c.Assert(problems, qt.HasLen, 1)
	c.Assert(problems[0].Field, qt.Equals, "digest")
	c.Assert(problems[0].Suggestion, qt.Equals, "write a new model-version with another name")
}
