package claimer_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/claimer"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// startClaimer runs a claimer with the object API until ctx ends.
func startClaimer(ctx context.Context, api adapter.ObjectAPI, vm string, held bool) *claimer.Claimer {
	c := newClaimer(api, vm, held)
	go c.Run(ctx)
	return c
}

func newClaimer(api adapter.ObjectAPI, vm string, held bool) *claimer.Claimer {
	return &claimer.Claimer{
		API:                 api,
		VM:                  vm,
		Log:                 zap.NewNop(),
		CompactionThreshold: 8,
		Held:                func(string, time.Time) bool { return held },
	}
}

func claimRequest(key, body, request string) *messenger.ClaimRequest {
	return &messenger.ClaimRequest{
		Key:          key,
		BodyDigest:   []byte(body),
		Attempt:      &messenger.AttemptId{RequestId: request, Number: 1},
		AgentAddress: "127.0.0.1:1",
	}
}

func completeRequest(key, request, outcome, body string) *messenger.CompleteClaimRequest {
	return &messenger.CompleteClaimRequest{
		Key:     key,
		Attempt: &messenger.AttemptId{RequestId: request, Number: 1},
		Outcome: outcome,
		Answer:  &messenger.ServiceAnswer{Status: 201, Body: []byte(body)},
	}
}

func claimState(c *qt.C, cl *claimer.Claimer, req *messenger.ClaimRequest) messenger.ClaimState {
	reply, err := cl.Claim(context.Background(), req)
	c.Assert(err, qt.IsNil)
	return reply.GetState()
}

// Guards against two granted claims of one key by different entry daemons, and
// against a recorded answer that is not returned.
func TestClaimThroughTwoDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		api := &emulator.MemoryObjects{}
		first := startClaimer(ctx, api, "entry-1", false)
		second := startClaimer(ctx, api, "entry-2", false)

		steps := []struct {
			name   string
			daemon *claimer.Claimer
			req    *messenger.ClaimRequest
			want   messenger.ClaimState
		}{
			{"first claim", first, claimRequest("k", "body", "r1"), messenger.ClaimState_CLAIM_STATE_GRANTED},
			{"same attempt again", second, claimRequest("k", "body", "r1"), messenger.ClaimState_CLAIM_STATE_GRANTED},
			{"other attempt elsewhere", second, claimRequest("k", "body", "r2"), messenger.ClaimState_CLAIM_STATE_IN_PROGRESS},
			{"other body", second, claimRequest("k", "other", "r3"), messenger.ClaimState_CLAIM_STATE_MISMATCH},
		}
		for _, step := range steps {
			c.Assert(claimState(c, step.daemon, step.req), qt.Equals, step.want, qt.Commentf(step.name))
		}

		done, err := first.CompleteClaim(ctx, completeRequest("k", "r1", claimer.OutcomeServed, "order 12"))
		c.Assert(err, qt.IsNil)
		c.Assert(done.GetRecorded(), qt.IsTrue)
		third := startClaimer(ctx, api, "entry-3", false)
		reply, err := third.Claim(ctx, claimRequest("k", "body", "r4"))
		c.Assert(err, qt.IsNil)
		c.Assert(reply.GetState(), qt.Equals, messenger.ClaimState_CLAIM_STATE_DONE)
		c.Assert(string(reply.GetAnswer().GetBody()), qt.Equals, "order 12")
	})
}

// Guards against a claim that is granted twice or lost when the response to a
// write is lost, and against a claim that blocks its key although its call was
// not run.
func TestClaimWithObjectAPIFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		api := &emulator.MemoryObjects{}
		first := startClaimer(ctx, api, "entry-1", false)
		second := startClaimer(ctx, api, "entry-2", false)

		api.LoseAnswers(1)
		c.Assert(claimState(c, first, claimRequest("lost", "b", "r1")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
		c.Assert(claimState(c, second, claimRequest("lost", "b", "r2")), qt.Equals, messenger.ClaimState_CLAIM_STATE_IN_PROGRESS)

		api.SetDown(true)
		c.Assert(claimState(c, first, claimRequest("down", "b", "r3")), qt.Equals, messenger.ClaimState_CLAIM_STATE_UNAVAILABLE)
		api.SetDown(false)
		time.Sleep(time.Second)
		c.Assert(claimState(c, second, claimRequest("down", "b", "r4")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)

		_, err := second.CompleteClaim(ctx, completeRequest("down", "r4", claimer.OutcomeNotRun, ""))
		c.Assert(err, qt.IsNil)
		c.Assert(claimState(c, first, claimRequest("down", "b", "r5")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
	})
}

// pausingObjects delays a create, like a process that is paused between the
// decision and the write.
type pausingObjects struct {
	*emulator.MemoryObjects
	pause atomic.Int64
}

func (p *pausingObjects) Create(ctx context.Context, key string, value []byte) (adapter.Object, error) {
	if d := p.pause.Swap(0); d > 0 {
		time.Sleep(time.Duration(d))
	}
	return p.MemoryObjects.Create(context.WithoutCancel(ctx), key, value)
}

// Guards against a former owner of a shard that is paused before its write and
// then grants a key that another daemon has granted, also when a snapshot has
// replaced the segments written in between.
func TestPausedWriterIsNotGrantedClaim(t *testing.T) {
	tests := []struct {
		name  string
		keys  int
		pause time.Duration
	}{
		{"segments present", 1, time.Minute},
		{"segments compacted", 40, 10 * time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				api := &emulator.MemoryObjects{}
				slow := &pausingObjects{MemoryObjects: api}
				paused := startClaimer(ctx, slow, "entry-1", false)
				owner := startClaimer(ctx, api, "entry-2", true)
				key := keyOfShard(3, 0)

				c.Assert(claimState(c, paused, claimRequest(keyOfShard(3, 1), "b", "r0")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
				slow.pause.Store(int64(test.pause))
				pausedState := make(chan messenger.ClaimState, 1)
				caller := &pendingClaim{claimer: paused, req: claimRequest(key, "b", "r1"), state: pausedState}
				go caller.run(ctx)
				time.Sleep(10 * time.Second)
				c.Assert(claimState(c, owner, claimRequest(key, "b", "r2")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
				for n := range test.keys {
					claimState(c, owner, claimRequest(keyOfShard(3, n+2), "b", fmt.Sprint("x", n)))
				}
				c.Assert(<-pausedState, qt.Equals, messenger.ClaimState_CLAIM_STATE_IN_PROGRESS)
			})
		})
	}
}

// pendingClaim makes a claim in its own goroutine and sends the resulting state.
type pendingClaim struct {
	claimer *claimer.Claimer
	req     *messenger.ClaimRequest
	state   chan messenger.ClaimState
}

func (l *pendingClaim) run(ctx context.Context) {
	reply, _ := l.claimer.Claim(ctx, l.req)
	l.state <- reply.GetState()
}

// Guards against storage that grows without bound, and against a key that
// expires before the end of its retention.
func TestClaimsExpireAndStorageStaysBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		api := &emulator.MemoryObjects{}
		owner := startClaimer(ctx, api, "entry-1", true)
		key := keyOfShard(5, 0)
		c.Assert(claimState(c, owner, claimRequest(key, "b", "r1")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
		for n := range 100 {
			claimState(c, owner, claimRequest(keyOfShard(5, n+1), "b", fmt.Sprint("x", n)))
			time.Sleep(13 * time.Minute)
		}
		c.Assert(claimState(c, owner, claimRequest(key, "b", "r2")), qt.Equals, messenger.ClaimState_CLAIM_STATE_IN_PROGRESS)
		time.Sleep(3 * time.Hour)
		c.Assert(claimState(c, owner, claimRequest(key, "b", "r3")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
		time.Sleep(30 * time.Hour)
		for n := range 20 {
			claimState(c, owner, claimRequest(keyOfShard(5, n+200), "b", fmt.Sprint("y", n)))
		}
		objects, err := api.List(ctx, "claim")
		c.Assert(err, qt.IsNil)
		c.Assert(len(objects) < 20, qt.IsTrue, qt.Commentf("%d objects left", len(objects)))
	})
}

// maxWritesPerSecond is the share of claims in the object API's limit of
// several hundred writes per second.
const maxWritesPerSecond = 300

// Guards against a separate write to the object API for each claim.
func TestClaimsAreWrittenInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		api := &emulator.MemoryObjects{Faults: emulator.ObjectFaults{Delay: 3 * time.Millisecond}}
		cl := &claimer.Claimer{API: api, VM: "entry-1", Log: zap.NewNop(), Held: func(string, time.Time) bool { return true }}
		go cl.Run(ctx)
		const calls = 2000
		states := make(chan messenger.ClaimState, calls)
		for n := range calls {
			caller := &pendingClaim{claimer: cl, req: claimRequest(fmt.Sprint("key-", n), "b", fmt.Sprint("r", n)), state: states}
			go caller.run(ctx)
			time.Sleep(time.Millisecond)
		}
		for range calls {
			c.Assert(<-states, qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
		}
		writes := api.Stats().Writes
		t.Logf("%d claims in 2 s took %d writes", calls, writes)
		c.Assert(writes <= 2*maxWritesPerSecond, qt.IsTrue)
	})
}

// keyOfShard returns the n-th key of a shard.
func keyOfShard(shard, n int) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("team/ledger/%d", i)
		if claimer.ShardOf(key) != shard {
			continue
		}
		if n == 0 {
			return key
		}
		n--
	}
}

// Guards against callers that wait one after the other for the timeout of an
// object API that does not answer. Only the first call may wait.
func TestUnresponsiveObjectAPIRefusesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		api := &emulator.MemoryObjects{}
		cl := startClaimer(t.Context(), api, "vm-1", true)
		api.SetDelay(time.Hour)
		var waits []time.Duration
		for range 2 {
			begin := time.Now()
			state := claimState(c, cl, claimRequest("key", "body", "request"))
			c.Assert(state, qt.Equals, messenger.ClaimState_CLAIM_STATE_UNAVAILABLE)
			waits = append(waits, time.Since(begin))
		}
		c.Assert(waits[1] < waits[0]/2, qt.IsTrue, qt.Commentf("%v", waits))
	})
}
