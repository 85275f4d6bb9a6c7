package claimer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/claimer"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// silence is a time until which nothing answers, in nanoseconds since 1970.
type silence struct {
	until atomic.Int64
}

func (s *silence) begin(d time.Duration) { s.until.Store(time.Now().Add(d).UnixNano()) }

func (s *silence) left() time.Duration { return time.Until(time.Unix(0, s.until.Load())) }

func (s *silence) wait(ctx context.Context) error {
	select {
	case <-time.After(s.left()):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// silentObjects is an object API that may be silent. Writes take effect when it goes on.
type silentObjects struct {
	*emulator.MemoryObjects
	silence *silence
}

func (o *silentObjects) Get(ctx context.Context, key string) (adapter.Object, error) {
	if err := o.silence.wait(ctx); err != nil {
		return adapter.Object{}, err
	}
	return o.MemoryObjects.Get(ctx, key)
}

func (o *silentObjects) List(ctx context.Context, prefix string) ([]adapter.Object, error) {
	if err := o.silence.wait(ctx); err != nil {
		return nil, err
	}
	return o.MemoryObjects.List(ctx, prefix)
}

func (o *silentObjects) Create(ctx context.Context, key string, value []byte) (adapter.Object, error) {
	if err := o.silence.wait(ctx); err != nil {
		time.AfterFunc(o.silence.left(), func() { _, _ = o.MemoryObjects.Create(context.WithoutCancel(ctx), key, value) })
		return adapter.Object{}, err
	}
	return o.MemoryObjects.Create(ctx, key, value)
}

// silentOwner is the owner of all shards, which handles calls late that it gets in a silence.
type silentOwner struct {
	messenger.EntryClient
	claimer *claimer.Claimer
	silence *silence
}

func (o *silentOwner) Claim(ctx context.Context, req *messenger.ClaimRequest, _ ...grpc.CallOption) (*messenger.ClaimReply, error) {
	if err := o.silence.wait(ctx); err != nil {
		time.AfterFunc(o.silence.left(), func() { _, _ = o.claimer.ClaimLocally(context.WithoutCancel(ctx), req) })
		return nil, err
	}
	reply, err := o.claimer.ClaimLocally(ctx, req)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return reply, err
}

// TestPauseRefusesClaim guards against a claim that is refused, or granted to two attempts,
// because the object API or the owner of its shard pauses.
func TestPauseRefusesClaim(t *testing.T) {
	for _, pause := range []time.Duration{1100 * time.Millisecond, 1500 * time.Millisecond, 1900 * time.Millisecond} {
		for _, paused := range []string{"object API", "owner"} {
			for _, known := range []bool{true, false} {
				t.Run(pause.String()+"/"+paused, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c := qt.New(t)
						ctx, cancel := context.WithCancel(t.Context())
						defer cancel()
						silences := map[string]*silence{"object API": {}, "owner": {}}
						api := &silentObjects{MemoryObjects: &emulator.MemoryObjects{}, silence: silences["object API"]}
						owner := startClaimer(ctx, api, "entry-1", true)
						other := newClaimer(api, "entry-2", false)
						other.Owner = func(string) messenger.EntryClient {
							return &silentOwner{claimer: owner, silence: silences["owner"]}
						}
						go other.Run(ctx)
						if known {
							c.Assert(claimState(c, other, claimRequest("before", "b", "r0")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
						}
						silences[paused].begin(pause)
						c.Check(claimState(c, other, claimRequest("k", "b", "r1")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
						c.Check(claimState(c, other, claimRequest("k", "b", "r2")), qt.Equals, messenger.ClaimState_CLAIM_STATE_IN_PROGRESS)
						time.Sleep(5 * time.Second)
						c.Check(claimState(c, owner, claimRequest("k", "b", "r3")), qt.Equals, messenger.ClaimState_CLAIM_STATE_IN_PROGRESS)
						c.Check(claimState(c, other, claimRequest("k", "b", "r1")), qt.Equals, messenger.ClaimState_CLAIM_STATE_GRANTED)
					})
				})
			}
		}
	}
}
