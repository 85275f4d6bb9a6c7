package claimer_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/claimer"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// ownerClient calls the claimer of the daemon that owns all shards.
type ownerClient struct {
	messenger.EntryClient
	owner *claimer.Claimer
}

func (o *ownerClient) Claim(ctx context.Context, req *messenger.ClaimRequest, _ ...grpc.CallOption) (*messenger.ClaimReply, error) {
	if o.owner == nil {
		return nil, status.Error(codes.Unavailable, "no connection")
	}
	return o.owner.ClaimLocally(ctx, req)
}

func (o *ownerClient) CompleteClaim(ctx context.Context, req *messenger.CompleteClaimRequest, _ ...grpc.CallOption) (*messenger.CompleteClaimReply, error) {
	if o.owner == nil {
		return nil, status.Error(codes.Unavailable, "no connection")
	}
	return o.owner.CompleteClaimLocally(ctx, req)
}

// eraOfResponses is a client that knows the era only from the responses that it
// has received.
type eraOfResponses struct {
	*emulator.MemoryObjects
	era atomic.Uint64
}

func (e *eraOfResponses) Era() uint64 { return e.era.Load() }

// received records the era of a response. During an outage there is none.
func (e *eraOfResponses) received(err error) {
	var unavailable *adapter.UnavailableError
	if !errors.As(err, &unavailable) {
		e.era.Store(e.MemoryObjects.Era())
	}
}

func (e *eraOfResponses) Get(ctx context.Context, key string) (adapter.Object, error) {
	o, err := e.MemoryObjects.Get(ctx, key)
	e.received(err)
	return o, err
}

func (e *eraOfResponses) List(ctx context.Context, prefix string) ([]adapter.Object, error) {
	objects, err := e.MemoryObjects.List(ctx, prefix)
	e.received(err)
	return objects, err
}

func (e *eraOfResponses) Create(ctx context.Context, key string, value []byte) (adapter.Object, error) {
	o, err := e.MemoryObjects.Create(ctx, key, value)
	e.received(err)
	return o, err
}

// Guards against a second grant of a key whose claim or outcome a restore of the
// store has lost.
func TestClaimLostByRestoreIsNotGrantedAgain(t *testing.T) {
	tests := []struct {
		name   string
		outage time.Duration
		// newOwner replaces the owner, which has no memory of the claim then.
		newOwner bool
		// claimCopied is set if the copy has the claim, and lacks only its outcome.
		claimCopied bool
		outcome     string
		restores    int
		// others is the number of keys claimed between copy and restore.
		others int
		want   messenger.ClaimState
	}{
		{"claim", 0, false, false, "", 1, 0, messenger.ClaimState_CLAIM_STATE_IN_PROGRESS},
		{"claim among others", 0, false, false, "", 1, 20, messenger.ClaimState_CLAIM_STATE_IN_PROGRESS},
		{"claim, after an outage", 3 * time.Second, false, false, "", 1, 3, messenger.ClaimState_CLAIM_STATE_IN_PROGRESS},
		{"claim and owner", 3 * time.Second, true, false, "", 1, 3, messenger.ClaimState_CLAIM_STATE_IN_PROGRESS},
		{"claim and outcome", 0, false, false, claimer.OutcomeServed, 1, 3, messenger.ClaimState_CLAIM_STATE_DONE},
		{"claim, outcome and owner", 0, true, false, claimer.OutcomeServed, 1, 3, messenger.ClaimState_CLAIM_STATE_DONE},
		{"outcome", 0, true, true, claimer.OutcomeServed, 1, 3, messenger.ClaimState_CLAIM_STATE_DONE},
		{"claim, twice", 3 * time.Second, false, false, "", 2, 3, messenger.ClaimState_CLAIM_STATE_IN_PROGRESS},
		{"claim of a call that was not run", 0, false, false, claimer.OutcomeNotRun, 1, 3, messenger.ClaimState_CLAIM_STATE_GRANTED},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				api := &emulator.MemoryObjects{}
				ownerCtx, stopOwner := context.WithCancel(ctx)
				client := &ownerClient{owner: startClaimer(ownerCtx, &eraOfResponses{MemoryObjects: api}, "entry-1", true)}
				defer stopOwner()
				forwarding := &claimer.Claimer{
					API: &eraOfResponses{MemoryObjects: api}, VM: "entry-2", Log: zap.NewNop(),
					Owner: func(string) messenger.EntryClient { return client },
				}
				go forwarding.Run(ctx)
				c.Assert(claimState(c, forwarding, claimRequest(keyOfShard(4, 1), "b", "r0")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)

				key := keyOfShard(4, 0)
				earlier := api.Copy()
				c.Assert(claimState(c, forwarding, claimRequest(key, "b", "r1")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
				if test.claimCopied {
					earlier = api.Copy()
				}
				if test.outcome != "" {
					_, err := forwarding.CompleteClaim(ctx, completeRequest(key, "r1", test.outcome, "answer"))
					c.Assert(err, qt.IsNil)
				}
				for n := range test.others {
					claimState(c, client.owner, claimRequest(keyOfShard(4, n+2), "b", "other"))
				}
				for range test.restores {
					api.SetDown(true)
					if test.outage > 0 {
						claimState(c, client.owner, claimRequest(keyOfShard(4, 99), "b", "during the outage"))
					}
					time.Sleep(test.outage)
					api.Restore(earlier)
					api.SetDown(false)
				}
				if test.newOwner {
					stopOwner()
					client.owner = startClaimer(ctx, &eraOfResponses{MemoryObjects: api}, "entry-3", true)
				}

				// The caller sends its request again.
				state := messenger.ClaimState_CLAIM_STATE_UNAVAILABLE
				for tries := 0; state == messenger.ClaimState_CLAIM_STATE_UNAVAILABLE; tries++ {
					c.Assert(tries < 150, qt.IsTrue)
					time.Sleep(100 * time.Millisecond)
					state = claimState(c, client.owner, claimRequest(key, "b", "r2"))
				}
				c.Assert(state, qt.Equals, test.want)
				// All claims are stored again.
				fresh := startClaimer(ctx, &eraOfResponses{MemoryObjects: api}, "entry-4", false)
				time.Sleep(10 * time.Second)
				claimState(c, fresh, claimRequest(key, "b", "r3"))
				time.Sleep(10 * time.Second)
				want := test.want
				if want == messenger.ClaimState_CLAIM_STATE_GRANTED {
					want = messenger.ClaimState_CLAIM_STATE_IN_PROGRESS
				}
				c.Assert(claimState(c, fresh, claimRequest(key, "b", "r3")), qt.Equals, want)
				c.Assert(claimState(c, fresh, claimRequest(keyOfShard(4, 200), "b", "r4")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
				if test.others > 0 && !test.newOwner {
					c.Assert(claimState(c, fresh, claimRequest(keyOfShard(4, 2), "b", "r5")), qt.Equals, messenger.ClaimState_CLAIM_STATE_IN_PROGRESS)
				}
			})
		})
	}
}

// Guards against a daemon with an index from before a lost claim, whose write the
// restored store accepts because the sequence number is free again.
func TestOutdatedWriterIsNotGrantedLostClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		api := &emulator.MemoryObjects{}
		outdated := startClaimer(ctx, &eraOfResponses{MemoryObjects: api}, "entry-1", false)
		owner := startClaimer(ctx, &eraOfResponses{MemoryObjects: api}, "entry-2", true)
		c.Assert(claimState(c, outdated, claimRequest(keyOfShard(4, 1), "b", "r0")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
		key := keyOfShard(4, 0)
		earlier := api.Copy()
		c.Assert(claimState(c, owner, claimRequest(key, "b", "r1")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
		api.Restore(earlier)
		time.Sleep(10 * time.Millisecond)
		c.Assert(claimState(c, outdated, claimRequest(key, "b", "r2")), qt.Equals, messenger.ClaimState_CLAIM_STATE_UNAVAILABLE)
		time.Sleep(20 * time.Second)
		reply, err := outdated.Claim(ctx, claimRequest(key, "b", "r3"))
		c.Assert(err, qt.IsNil)
		c.Assert(reply.GetState(), qt.Equals, messenger.ClaimState_CLAIM_STATE_IN_PROGRESS)
		c.Assert(reply.GetAttempt().GetRequestId(), qt.Equals, "r1")
	})
}

// Guards against a second grant of a claim whose daemons end together with the
// store that loses it.
func TestClaimLostWithItsDaemonsIsNotGrantedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		api := &emulator.MemoryObjects{}
		agents := &serviceAgents{}
		ownerCtx, stopOwner := context.WithCancel(ctx)
		owner := agents.startClaimer(ownerCtx, api, "entry-1")
		earlier := api.Copy()
		c.Assert(agents.claim(c, owner, "key", "r1"), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
		stopOwner()
		api.Restore(earlier)
		other := agents.startClaimer(ctx, api, "entry-2")
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			state := agents.claim(c, other, "key", "r2")
			c.Assert(state, qt.Not(qt.Equals), messenger.ClaimState_CLAIM_STATE_GRANTED)
		}
		// The caller is informed by its agent what became of the call.
		reply, err := other.Claim(ctx, claimRequest("key", "b", "r2"))
		c.Assert(err, qt.IsNil)
		c.Assert(reply.GetState(), qt.Equals, messenger.ClaimState_CLAIM_STATE_IN_PROGRESS)
		c.Assert(reply.GetAttempt().GetRequestId(), qt.Equals, "r1")
		c.Assert(agents.claim(c, other, keyOfShard(claimer.ShardOf("key"), 1), "r3"), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
	})
}

// Guards against a second grant of a claim that followed one whose call was not run,
// because the claims that daemons write again are taken in the wrong order.
func TestLaterClaimOfKeySurvivesRestore(t *testing.T) {
	tests := []struct {
		name string
		// firstCopied is set if the copy has the first claim.
		firstCopied bool
		// first is set if a daemon other than the owner made the first claim, and
		// second the same for the second one.
		first, second bool
	}{
		{"owner made both", true, false, false},
		{"owner made the second one", true, true, false},
		{"another daemon made both", true, true, true},
		{"neither is in the copy", false, true, false},
		{"neither is in the copy, another daemon made the second one", false, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				api := &emulator.MemoryObjects{}
				owner := startClaimer(ctx, &eraOfResponses{MemoryObjects: api}, "entry-1", true)
				other := &claimer.Claimer{
					API: &eraOfResponses{MemoryObjects: api}, VM: "entry-2", Log: zap.NewNop(),
					Owner: func(string) messenger.EntryClient { return &ownerClient{owner: owner} },
				}
				go other.Run(ctx)
				daemon := map[bool]*claimer.Claimer{false: owner, true: other}
				earlier := api.Copy()
				c.Assert(claimState(c, daemon[tt.first], claimRequest("key", "b", "r1")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
				if tt.firstCopied {
					earlier = api.Copy()
				}
				// The outcome is recorded by the daemon of the second call.
				_, err := daemon[tt.second].CompleteClaim(ctx, completeRequest("key", "r1", claimer.OutcomeNotRun, ""))
				c.Assert(err, qt.IsNil)
				c.Assert(claimState(c, daemon[tt.second], claimRequest("key", "b", "r2")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
				api.Restore(earlier)
				time.Sleep(20 * time.Second)
				for range 3 {
					reply, err := owner.Claim(ctx, claimRequest("key", "b", "r3"))
					c.Assert(err, qt.IsNil)
					c.Assert(reply.GetState(), qt.Not(qt.Equals), messenger.ClaimState_CLAIM_STATE_GRANTED)
					// The first call is found not to have run.
					_, err = owner.CompleteClaim(ctx, completeRequest("key", "r1", claimer.OutcomeNotRun, ""))
					c.Assert(err, qt.IsNil)
					time.Sleep(5 * time.Second)
				}
			})
		})
	}
}

// Guards against a delay of the first claim of each shard long after a restore.
func TestHeldShardsEnterEraWithoutClaims(t *testing.T) {
	tests := []struct {
		name string
		// newOwner is set if the daemon starts after the restore.
		newOwner bool
	}{
		{"owner before and after the restore", false},
		{"owner that starts after the restore", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				api, agents := &emulator.MemoryObjects{}, &serviceAgents{}
				client := &eraOfResponses{MemoryObjects: api}
				start := func() *claimer.Claimer {
					cl := &claimer.Claimer{
						API: client, VM: "entry-1", StartedCalls: agents.startedCalls,
						Held: func(string, time.Time) bool { return true },
					}
					go cl.Run(ctx)
					return cl
				}
				var owner *claimer.Claimer
				if !tt.newOwner {
					owner = start()
				}
				api.Restore(api.Copy())
				if tt.newOwner {
					owner = start()
				}
				time.Sleep(5 * time.Second)
				// Another component of the daemon gets a response.
				_, _ = client.Get(ctx, "leases/claims-0")
				time.Sleep(10 * time.Second)
				for n := range claimer.ShardCount {
					c.Assert(claimState(c, owner, claimRequest(keyOfShard(n, 0), "b", "r1")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED, qt.Commentf("shard %d", n))
				}
				reads := api.Stats().Reads
				time.Sleep(4 * time.Minute)
				// The claims make the daemon read the era of the store.
				c.Assert(api.Stats().Reads-reads <= 4*60/2+10, qt.IsTrue)
			})
		})
	}
}

// slowOwner passes outcomes on after a delay.
type slowOwner struct {
	ownerClient
	delay time.Duration
}

func (o *slowOwner) CompleteClaim(ctx context.Context, req *messenger.CompleteClaimRequest, opts ...grpc.CallOption) (*messenger.CompleteClaimReply, error) {
	time.Sleep(o.delay)
	return o.ownerClient.CompleteClaim(ctx, req, opts...)
}

// Guards against a response that is lost when a daemon that enters a new era writes the
// outcome of a call, which it remembers without the response, before the owner of the
// shard has written the outcome with the response.
func TestAnswerSurvivesOutcomeWrittenByRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		api := &emulator.MemoryObjects{}
		api.Restore(api.Copy())
		owner := startClaimer(ctx, &eraOfResponses{MemoryObjects: api}, "entry-1", true)
		claimState(c, owner, claimRequest(keyOfShard(4, 0), "b", "r0"))
		time.Sleep(20 * time.Second)
		// The delay is below the timeout of a forwarded call.
		client := &slowOwner{ownerClient{owner: owner}, 900 * time.Millisecond}
		forwarding := &claimer.Claimer{
			API: &eraOfResponses{MemoryObjects: api}, VM: "entry-2", Log: zap.NewNop(),
			Owner: func(string) messenger.EntryClient { return client },
		}
		go forwarding.Run(ctx)
		// The daemon writes its recent claims again at several times in these 9 s.
		for n := range 10 {
			key := keyOfShard(4, n+1)
			c.Assert(claimState(c, forwarding, claimRequest(key, "b", "r1")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
			reply, err := forwarding.CompleteClaim(ctx, completeRequest(key, "r1", claimer.OutcomeServed, "answer"))
			c.Assert(err, qt.IsNil)
			c.Check(reply.GetRecorded(), qt.IsTrue)
			again, err := owner.Claim(ctx, claimRequest(key, "b", "r2"))
			c.Assert(err, qt.IsNil)
			c.Check(again.GetState(), qt.Equals, messenger.ClaimState_CLAIM_STATE_DONE)
			c.Check(string(again.GetAnswer().GetBody()), qt.Equals, "answer", qt.Commentf("call %d", n))
		}
	})
}
