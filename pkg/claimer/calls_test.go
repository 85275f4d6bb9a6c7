package claimer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/claimer"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// serviceAgents are the agents of the service "ledger". They run each call whose
// claim was granted, and survive entry daemons.
type serviceAgents struct {
	mu    sync.Mutex
	calls []claimer.StartedCall
	// silent is set while an agent does not answer, gone after all are replaced.
	silent, gone bool
	questions    int
}

func (a *serviceAgents) startClaimer(ctx context.Context, api *emulator.MemoryObjects, vm string) *claimer.Claimer {
	cl := &claimer.Claimer{
		API: &eraOfResponses{MemoryObjects: api}, VM: vm, CompactionThreshold: 8, StartedCalls: a.startedCalls,
		Held: func(string, time.Time) bool { return true },
	}
	go cl.Run(ctx)
	return cl
}

func (a *serviceAgents) startedCalls(context.Context, []uint32) claimer.StartedCalls {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.questions++
	switch {
	case a.gone:
		return claimer.StartedCalls{}
	case a.silent:
		return claimer.StartedCalls{Unanswered: []string{"ledger"}}
	}
	return claimer.StartedCalls{Calls: a.calls}
}

// claim claims the key and starts the call if the claim is granted.
func (a *serviceAgents) claim(c *qt.C, cl *claimer.Claimer, key, request string) messenger.ClaimState {
	req := claimRequest(key, "b", request)
	req.Service = "ledger"
	state := claimState(c, cl, req)
	if state == messenger.ClaimState_CLAIM_STATE_GRANTED {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.calls = append(a.calls, claimer.StartedCall{Claim: req, StartedAt: time.Now()})
	}
	return state
}

func (a *serviceAgents) set(silent, gone bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent, a.gone = silent, gone
}

func (a *serviceAgents) questionCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.questions
}

// claimRepeatedly claims the key each 100 ms and returns the number of grants.
func (a *serviceAgents) claimRepeatedly(c *qt.C, cl *claimer.Claimer, key string, duration time.Duration) int {
	grants := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if a.claim(c, cl, key, "r-again") == messenger.ClaimState_CLAIM_STATE_GRANTED {
			grants++
		}
	}
	return grants
}

// Guards against a grant of a lost claim while the agent that ran its call does
// not answer, and against refusals of all services, or without end, because of it.
func TestSilentAgentHoldsBackGrants(t *testing.T) {
	tests := []struct {
		name string
		// end is called after 30 s.
		end  func(*serviceAgents)
		want int
	}{
		{"agent answers again", func(a *serviceAgents) { a.set(false, false) }, 0},
		{"agent is gone", func(a *serviceAgents) { a.set(false, true) }, 1},
		{"agent never answers", func(*serviceAgents) {}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				api, agents := &emulator.MemoryObjects{}, &serviceAgents{}
				ownerCtx, stopOwner := context.WithCancel(ctx)
				owner := agents.startClaimer(ownerCtx, api, "entry-1")
				earlier := api.Copy()
				c.Assert(agents.claim(c, owner, "key", "r1"), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
				stopOwner()
				api.Restore(earlier)
				agents.set(true, false)
				other := agents.startClaimer(ctx, api, "entry-2")
				c.Assert(agents.claimRepeatedly(c, other, "key", 30*time.Second), qt.Equals, 0)
				c.Assert(claimState(c, other, claimRequest(keyOfShard(claimer.ShardOf("key"), 1), "b", "r2")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
				tt.end(agents)
				c.Assert(min(1, agents.claimRepeatedly(c, other, "key", 6*time.Minute)), qt.Equals, tt.want)
				asked := agents.questionCount()
				time.Sleep(time.Minute)
				c.Assert(agents.questionCount(), qt.Equals, asked)
			})
		})
	}
}

// Guards against a call that is run again because the restored store has an
// earlier claim of its key, whose call was not run.
func TestStartedCallReplacesEarlierClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		api, agents := &emulator.MemoryObjects{}, &serviceAgents{}
		ownerCtx, stopOwner := context.WithCancel(ctx)
		owner := agents.startClaimer(ownerCtx, api, "entry-1")
		c.Assert(claimState(c, owner, claimRequest("key", "b", "r1")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
		earlier := api.Copy()
		_, err := owner.CompleteClaim(ctx, completeRequest("key", "r1", claimer.OutcomeNotRun, ""))
		c.Assert(err, qt.IsNil)
		c.Assert(agents.claim(c, owner, "key", "r2"), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
		stopOwner()
		api.Restore(earlier)
		other := agents.startClaimer(ctx, api, "entry-2")
		claimState(c, other, claimRequest("key", "b", "r3"))
		time.Sleep(10 * time.Second)
		// The call of the earlier claim is found not to have run.
		_, err = other.CompleteClaim(ctx, completeRequest("key", "r1", claimer.OutcomeNotRun, ""))
		c.Assert(err, qt.IsNil)
		c.Assert(claimState(c, other, claimRequest("key", "b", "r3")), qt.Equals, messenger.ClaimState_CLAIM_STATE_IN_PROGRESS)
	})
}
