package identifier

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

var now = time.Unix(1_000_000, 0)

func keyDigests(key string) []string {
	d := sha256.Sum256([]byte(key))
	return []string{hex.EncodeToString(d[:])}
}

func testSet() *parser.Set {
	set := parser.NewSet()
	set.Add(&parser.Team{Name: "all", KeyDigests: keyDigests("k-all")})
	set.Add(&parser.Team{Name: "few", KeyDigests: keyDigests("k-few"), Routes: []string{"small"}, Services: []string{"portal"}, Priority: "standard"})
	set.Add(&parser.Model{Name: "m", MaxContextTokens: 100, DefaultMaxTokens: 50})
	set.Add(&parser.Model{Name: "s"})
	set.Add(&parser.Route{Name: "big", Model: "m", Fallback: "small", Priority: "interactive"})
	set.Add(&parser.Route{Name: "small", Model: "s"})
	set.Add(&parser.Service{Name: "ledger", IdempotentMethods: []string{"GET"}, RequireKey: true, TimeoutMillis: 1000, MaxBodyBytes: 10})
	set.Add(&parser.Service{Name: "portal"})
	return set
}

// TestIdentify guards against requests that run for the wrong team, on the wrong target,
// or with a priority or timeout that is not allowed.
func TestIdentify(t *testing.T) {
	chat := func(model string) Call { return &Completion{Model: model, Prompt: "hello"} }
	order := func(method, body string) Call {
		return &ServiceCall{Service: "ledger", Method: method, Path: "/orders", Body: []byte(body)}
	}
	std, interactive := messenger.Priority_PRIORITY_STANDARD, messenger.Priority_PRIORITY_INTERACTIVE
	tests := []struct {
		name     string
		in       Incoming
		notReady string
		target   Target
		priority messenger.Priority
		claim    string
		timeout  time.Duration
		code     string
	}{
		{name: "route", in: Incoming{Authorization: "Bearer k-all", Call: chat("big")}, target: Target{Model: "m"}, priority: interactive, timeout: DefaultTimeout},
		{name: "scheme in another case", in: Incoming{Authorization: "bearer k-all", Call: chat("big")}, target: Target{Model: "m"}, priority: interactive, timeout: DefaultTimeout},
		{name: "fallback", in: Incoming{Authorization: "Bearer k-all", Call: chat("big")}, notReady: "m", target: Target{Model: "s"}, priority: interactive, timeout: DefaultTimeout},
		{name: "requested timeout", in: Incoming{Authorization: "Bearer k-all", Timeout: time.Second, Call: chat("small")}, target: Target{Model: "s"}, priority: std, timeout: time.Second},
		{name: "timeout above the maximum", in: Incoming{Authorization: "Bearer k-all", Timeout: time.Hour, Call: chat("small")}, target: Target{Model: "s"}, priority: std, timeout: MaxTimeout},
		{name: "priority above that of the team", in: Incoming{Authorization: "Bearer k-few", Priority: "interactive", Call: chat("small")}, target: Target{Model: "s"}, priority: std, timeout: DefaultTimeout},
		{name: "unknown priority", in: Incoming{Authorization: "Bearer k-all", Priority: "urgent", Call: chat("small")}, code: "invalid-priority"},
		{name: "no key", in: Incoming{Call: chat("small")}, code: "invalid_api_key"},
		{name: "unknown key", in: Incoming{Authorization: "Bearer other", Call: chat("small")}, code: "invalid_api_key"},
		{name: "digest as key", in: Incoming{Authorization: "Bearer " + keyDigests("k-all")[0], Call: chat("small")}, code: "invalid_api_key"},
		{name: "unknown model", in: Incoming{Authorization: "Bearer k-all", Call: chat("x")}, code: "model_not_found"},
		{name: "route of other teams", in: Incoming{Authorization: "Bearer k-few", Call: chat("big")}, code: "not-allowed"},
		{name: "service of other teams", in: Incoming{Authorization: "Bearer k-few", Call: order("GET", "")}, code: "not-allowed"},
		{name: "long prompt", in: Incoming{Authorization: "Bearer k-all", Call: &Completion{Model: "big", Prompt: strings.Repeat("x", 400)}}, code: "context_length_exceeded"},
		{name: "idempotent call", in: Incoming{Authorization: "Bearer k-all", IdempotencyKey: "1", Call: order("GET", "")}, target: Target{Service: "ledger"}, priority: std, timeout: time.Second},
		{name: "call with a key", in: Incoming{Authorization: "Bearer k-all", IdempotencyKey: "1", Call: order("POST", "x")}, target: Target{Service: "ledger"}, priority: std, claim: "all/ledger/1", timeout: time.Second},
		{name: "call without a key", in: Incoming{Authorization: "Bearer k-all", Call: order("POST", "x")}, code: "idempotency-key-missing"},
		{name: "large body", in: Incoming{Authorization: "Bearer k-all", IdempotencyKey: "1", Call: order("POST", strings.Repeat("x", 11))}, code: "body-too-large"},
		{name: "unknown service", in: Incoming{Authorization: "Bearer k-all", Call: &ServiceCall{Service: "x"}}, code: "service-not-found"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			set := testSet()
			i := &Identifier{
				Config: func() *parser.Revision { return &parser.Revision{Set: set} },
				Ready:  func(target Target, _ matcher.Regions, _ time.Time) bool { return target.Model != tt.notReady },
			}
			r, err := i.Identify(tt.in, now)
			if tt.code != "" {
				var e *RequestError
				c.Assert(errors.As(err, &e), qt.IsTrue)
				c.Assert(e.Code, qt.Equals, tt.code)
				c.Assert(e.Outcome, qt.Equals, OutcomeNotRun)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(r.Target, qt.Equals, tt.target)
			c.Check(r.Priority, qt.Equals, tt.priority)
			c.Check(r.ClaimKey, qt.Equals, tt.claim)
			c.Check(r.Deadline.Sub(now), qt.Equals, tt.timeout)
		})
	}
}

// TestFingerprint guards against different requests with the same fingerprint. Blocking
// one of them would then also block the other.
func TestFingerprint(t *testing.T) {
	target := Target{Model: "m"}
	same := fingerprint("a", target, []byte("x"))
	qt.Assert(t, fingerprint("a", target, []byte("x")), qt.Equals, same)
	others := []string{
		fingerprint("b", target, []byte("x")),
		fingerprint("a", Target{Model: "m", Adapter: "x"}),
		fingerprint("a", Target{Service: "m"}, []byte("x")),
		fingerprint("a", target, []byte("x"), nil),
	}
	for _, other := range others {
		qt.Assert(t, other, qt.Not(qt.Equals), same)
	}
}

// TestPrefixHashMatchesEngineHashes guards against prefix hashes that engines never
// report. Cache events would then have no effect on the choice of a replica.
func TestPrefixHashMatchesEngineHashes(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{adapter.PrefixBlockBytes, 150, 1024, 5000} {
		prompt := strings.Repeat("inspection report ", 400)[:n]
		c.Check(slices.Contains(adapter.PrefixHashes(prompt), PrefixHash(prompt)), qt.IsTrue, qt.Commentf("%d bytes", n))
	}
}
