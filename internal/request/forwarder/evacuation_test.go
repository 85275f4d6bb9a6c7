package forwarder

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// domains is a fixture whose agent n is in failure domain dn of region rn.
type domains struct {
	*fixture
	mu       sync.Mutex
	revision *parser.Revision
}

func newDomains(t *testing.T, agents ...*fakeAgent) *domains {
	f := &domains{fixture: newFixture(t, "", agents...), revision: &parser.Revision{Number: 1, Set: parser.NewSet()}}
	f.Picker.Config = f.current
	var all []picker.Candidate
	for i := range agents {
		n := string(rune('0' + i))
		for _, r := range []*messenger.Replica{{Model: "m", Version: "v1"}, {Service: "ledger"}} {
			r.Vm, r.Address, r.Incarnation, r.FailureDomain, r.Region = "vm"+n, "vm"+n, "i"+r.GetModel(), "d"+n, "r"+n
			r.State = messenger.ReplicaState_REPLICA_STATE_READY
			all = append(all, picker.Candidate{Replica: r, Load: &messenger.Load{Queued: uint32(i), Rate: 1}})
		}
	}
	f.Picker.Update(nil, time.Now())
	f.Picker.Update(all, time.Now())
	return f
}

func (f *domains) current() *parser.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// evacuate replaces the evacuations.
func (f *domains) evacuate(domains ...string) {
	set := parser.NewSet()
	for _, d := range domains {
		set.Add(&parser.Evacuation{Kind: parser.KindEvacuation, Name: d, FailureDomain: d})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = &parser.Revision{Number: f.revision.Number + 1, Set: set}
}

// evacuatingDialer evacuates a failure domain when its agent is dialed, which is
// after the choice of the server.
type evacuatingDialer struct {
	*domains
	address, domain string
}

func (d *evacuatingDialer) dial(address string) (messenger.AgentClient, error) {
	if address == d.address {
		d.evacuate(d.domain)
	}
	return d.domains.dial(address)
}

// evacuatingClaims evacuates a failure domain while a call is claimed.
type evacuatingClaims struct {
	*fakeClaims
	domains *domains
	domain  string
}

func (c *evacuatingClaims) Claim(ctx context.Context, req *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	c.domains.evacuate(c.domain)
	return c.fakeClaims.Claim(ctx, req)
}

// TestRestrictedAttempts guards against an attempt in an evacuated failure domain or
// outside of the request's regions on each path to an agent, and against an unknown
// outcome as the result of an attempt that was never sent. Agent n is in failure domain dn of region rn.
func TestRestrictedAttempts(t *testing.T) {
	cut := playEvents(acceptedV1, firstTwo)
	tests := []struct {
		name    string
		scripts []script
		// service runs a non-idempotent call with a key instead of a model request.
		service bool
		regions matcher.Regions
		prepare func(f *domains)
		// during is called at the first attempt that reaches an agent.
		during func(f *domains)
		starts []int
		// unsent is the number of attempts that were chosen and not sent.
		unsent  int
		outcome identifier.Outcome
		code    string
		message string
	}{
		{name: "first attempt", scripts: []script{serveWords, serveWords}, prepare: func(f *domains) { f.evacuate("d0") }, starts: []int{0, 1}, outcome: "served"},
		{
			name: "evacuated between the choice and the send", scripts: []script{serveWords, serveWords},
			prepare: func(f *domains) { f.Dial = (&evacuatingDialer{f, "vm0", "d0"}).dial }, starts: []int{0, 1}, unsent: 1, outcome: "served",
		},
		{
			name: "the only one is evacuated between the choice and the send", scripts: []script{serveWords},
			prepare: func(f *domains) { f.Dial = (&evacuatingDialer{f, "vm0", "d0"}).dial }, starts: []int{0}, unsent: 1, outcome: "not-run", code: "no-replica",
			message: "every failure domain in which a replica of m could run the request is evacuated",
		},
		{name: "retry", scripts: []script{playEvents(), serveWords, serveWords}, during: func(f *domains) { f.evacuate("d1") }, starts: []int{1, 0, 1}, outcome: "served"},
		{name: "resumed stream", scripts: []script{cut, serveWords, serveWords}, during: func(f *domains) { f.evacuate("d1") }, starts: []int{1, 0, 1}, outcome: "served"},
		{name: "attempt beside a silent one", scripts: []script{after(time.Hour, serveWords), serveWords, serveWords}, during: func(f *domains) { f.evacuate("d1") }, starts: []int{1, 0, 1}, outcome: "served"},
		{
			name: "attempt beside a silent one, evacuated between the choice and the send", scripts: []script{after(2500*time.Millisecond, serveWords), serveWords},
			prepare: func(f *domains) { f.Dial = (&evacuatingDialer{f, "vm1", "d1"}).dial }, starts: []int{1, 0}, unsent: 1, outcome: "served",
		},
		{name: "running attempt goes on", scripts: []script{pausesWithin(time.Second), serveWords}, during: func(f *domains) { f.evacuate("d0") }, starts: []int{1, 0}, outcome: "served"},
		{name: "regions", scripts: []script{serveWords, serveWords}, regions: matcher.Regions{"r1"}, starts: []int{0, 1}, outcome: "served"},
		{name: "retry within regions", scripts: []script{playEvents(), serveWords, serveWords}, regions: matcher.Regions{"r0", "r2"}, starts: []int{1, 0, 1}, outcome: "served"},
		{
			name: "no other region", scripts: []script{playEvents(func() *messenger.AttemptEvent { return refusal(draining) }), serveWords}, regions: matcher.Regions{"r0"},
			starts: []int{1, 0}, outcome: "not-run", code: "no-replica",
		},
		{
			name: "no region", scripts: []script{serveWords}, regions: matcher.Regions{}, starts: []int{0}, outcome: "not-run", code: "no-replica",
			message: "no replica of m is ready in a region in which the request may run",
		},
		{name: "call", service: true, scripts: []script{serveStored, serveStored}, prepare: func(f *domains) { f.evacuate("d0") }, starts: []int{0, 1}, outcome: "served"},
		{
			name: "call, evacuated before the reservation", service: true, scripts: []script{serveStored, serveStored},
			prepare: func(f *domains) { f.Dial = (&evacuatingDialer{f, "vm0", "d0"}).dial }, starts: []int{0, 1}, unsent: 1, outcome: "served",
		},
		{
			name: "call, evacuated between the reservation and the start", service: true, scripts: []script{serveStored, serveStored},
			prepare: func(f *domains) { f.Claims = &evacuatingClaims{f.claims, f, "d0"} }, starts: []int{0, 1}, unsent: 1, outcome: "served",
		},
		{
			name: "call without a replica", service: true, scripts: []script{serveStored}, prepare: func(f *domains) { f.evacuate("d0") }, starts: []int{0}, outcome: "not-run", code: "no-replica",
			message: "every failure domain in which a replica of ledger could run the request is evacuated",
		},
		{name: "call within regions", service: true, scripts: []script{serveStored, serveStored}, regions: matcher.Regions{"r1"}, starts: []int{0, 1}, outcome: "served"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				agents := make([]*fakeAgent, len(tt.scripts))
				var f *domains
				for i, s := range tt.scripts {
					agents[i] = &fakeAgent{cancelState: neverStarted, script: func(stream *fakeStream, start *messenger.AttemptStart) error {
						if tt.during != nil && f.current().Number == 1 {
							tt.during(f)
						}
						return s(stream, start)
					}}
				}
				f = newDomains(t, agents...)
				if tt.prepare != nil {
					tt.prepare(f)
				}
				req := modelRequest()
				if tt.service {
					req = orderRequest("key")
				}
				req.Regions = tt.regions
				var got sink
				res := f.Run(t.Context(), req, &got)
				c.Assert(res.Outcome, qt.Equals, tt.outcome, qt.Commentf("%v", res.Err))
				if tt.outcome == "served" && !tt.service {
					c.Check(got.text, qt.Equals, "abcd")
				}
				if res.Err != nil {
					c.Check(res.Err.Code, qt.Equals, tt.code)
					c.Check(res.Err.RetryAfter > 0, qt.IsTrue)
				}
				if tt.message != "" {
					c.Check(res.Err.Message, qt.Equals, tt.message)
				}
				attempts := tt.unsent
				for i, want := range tt.starts {
					attempts += want
					c.Check(len(agents[i].starts), qt.Equals, want, qt.Commentf("starts at agent %d", i))
					if f.Claims == f.claims && tt.service {
						c.Check(agents[i].reserves, qt.Equals, want, qt.Commentf("reservations at agent %d", i))
					}
				}
				c.Check(res.Attempts, qt.Equals, attempts)
				// Without the evacuation, all servers are listed again.
				f.evacuate()
				c.Check(f.Picker.Ready(req.Target, nil, time.Now()), qt.IsTrue)
				c.Check(f.Picker.Servers(req.Target), qt.HasLen, len(agents))
				for _, s := range f.Picker.Servers(req.Target) {
					c.Check(s.InFlight(), qt.Equals, 0)
				}
			})
		})
	}
}

// TestRestrictedAnswerIsNotStored guards against the answer of a request that is
// restricted to regions in a claim, which passes through entry daemons and the object
// API of other regions. The claim and its outcome are recorded.
func TestRestrictedAnswerIsNotStored(t *testing.T) {
	tests := []struct {
		name    string
		regions matcher.Regions
		stored  bool
	}{
		{name: "no restriction", stored: true},
		{name: "restricted", regions: matcher.Regions{"r0"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newDomains(t, &fakeAgent{script: serveStored})
				req := orderRequest("key")
				req.Regions = tt.regions
				res := f.Run(t.Context(), req, nil)
				c.Assert(res.Outcome, qt.Equals, identifier.OutcomeServed)
				c.Assert(string(res.Answer.GetBody()), qt.Equals, "stored")
				c.Assert(f.claims.completed, qt.HasLen, 1)
				c.Check(f.claims.completed[0].GetOutcome(), qt.Equals, "served")
				c.Check(f.claims.completed[0].GetAnswer() != nil, qt.Equals, tt.stored)

				// A retry of the caller is not run again.
				f.claims.replies = []*messenger.ClaimReply{{
					State: messenger.ClaimState_CLAIM_STATE_DONE, Outcome: "served", Answer: f.claims.completed[0].GetAnswer(),
				}}
				retry := orderRequest("key")
				retry.ID, retry.Regions = "retry", tt.regions
				res = f.Run(t.Context(), retry, nil)
				c.Assert(res.Outcome, qt.Equals, identifier.OutcomeServed)
				if !tt.stored {
					c.Assert(res.Err != nil, qt.IsTrue)
					c.Check(res.Err.Code, qt.Equals, "answer-not-kept")
				}
				c.Check(f.agents["vm0"].starts, qt.HasLen, 1)
			})
		})
	}
}

// TestUnsentAttemptsAreNoFailures guards against a server that is ejected after its
// return because attempts were not sent while its failure domain was evacuated.
func TestUnsentAttemptsAreNoFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newDomains(t, &fakeAgent{script: serveWords}, &fakeAgent{script: serveWords}, &fakeAgent{script: serveWords})
		dial := f.Dial
		for range 8 {
			f.Dial = (&evacuatingDialer{f, "vm0", "d0"}).dial
			c.Assert(f.Run(t.Context(), modelRequest(), &sink{}).Outcome, qt.Equals, identifier.OutcomeServed)
			f.evacuate()
		}
		f.Dial = dial
		time.Sleep(time.Second)
		res := f.Run(t.Context(), modelRequest(), &sink{})
		c.Assert(res.VM, qt.Equals, "vm0")
	})
}
