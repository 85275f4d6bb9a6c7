// Package claimer records claims on idempotency keys, so that a
// non-idempotent call runs at most once, whichever entry daemon receives it.
//
// The claims of a shard are written in batches, as numbered segment objects
// that are created only if absent. The create of a writer that has not read
// all earlier segments conflicts, so that correctness does not depend on the
// lease of the shard. The lease only avoids contention for the next number.
package claimer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// ShardCount is the number of claim shards.
	ShardCount = 16
	// DefaultRetention is how long a key is remembered after its claim.
	DefaultRetention = 24 * time.Hour
	// DefaultBatchDelay is how long the first claim of a batch waits for others.
	DefaultBatchDelay = 5 * time.Millisecond
	// DefaultMaxKeys limits the keys of a shard. This number of keys takes about
	// 30 MB of memory.
	DefaultMaxKeys = 100_000
	// DefaultWritesPerSecond limits the segments that a shard writes. Each
	// segment is also deleted once, so that 16 shards make at most 256 writes/s;
	// the object API allows several hundred.
	DefaultWritesPerSecond = 8
	// DefaultCompactionThreshold is the number of segments between snapshots.
	DefaultCompactionThreshold = 256

	// writeBurst is the number of segments that a shard may write without delay
	// after a pause.
	writeBurst = 5
	// forwardTimeout is the timeout of a call to the owner of a shard. After it,
	// this daemon writes the segment itself.
	forwardTimeout = time.Second
	// callTimeout is the timeout of a call to the object API.
	callTimeout = 2 * time.Second
	// outageBackoff is how long claims are refused after a failed call to the
	// object API.
	outageBackoff = 500 * time.Millisecond
	// idleIndexTimeout is how long a daemon keeps the unused index of a shard
	// that it does not own.
	idleIndexTimeout = time.Minute
)

// Claimer handles the claims of this entry daemon. It forwards a claim to the
// owner of the shard or, when the owner cannot be reached, writes the segment
// itself.
type Claimer struct {
	API adapter.ObjectAPI
	// VM is the name of this entry VM.
	VM string
	// Owner returns a client for the entry daemon that owns the shard, or nil
	// when this daemon owns it or no owner is known.
	Owner func(shard string) messenger.EntryClient
	// Held reports whether this daemon holds the lease of the shard. Only the
	// holder compacts the shard.
	Held func(shard string, now time.Time) bool
	// StartedCalls asks the agents of all services for the calls of the claim
	// shards. It is called after the object API was restored. If it is nil, agents
	// are not asked.
	StartedCalls func(ctx context.Context, shards []uint32) StartedCalls
	Now          func() time.Time
	Log          *logger.Logger
	// Retention, BatchDelay, MaxKeys, WritesPerSecond and CompactionThreshold
	// default to the constants with the same names.
	Retention       time.Duration
	BatchDelay      time.Duration
	MaxKeys         int
	WritesPerSecond float64
	// CompactionThreshold is the number of segments since the last snapshot after
	// which the owner writes a new one.
	CompactionThreshold int

	once   sync.Once
	shards [ShardCount]*shard
}

// ShardName returns the name of a claim shard, which is also the name of its
// lease.
func ShardName(n int) string {
	return fmt.Sprintf("claims-%d", n)
}

// ShardOf returns the number of the shard to which a key belongs.
func ShardOf(key string) int {
	return int(xxhash.Sum64String(key) % ShardCount)
}

// Run processes claims until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	c.init()
	var wg sync.WaitGroup
	for _, s := range c.shards {
		wg.Add(1)
		go s.run(ctx, wg.Done)
	}
	wg.Add(1)
	go eraWatcher{c}.run(ctx, wg.Done)
	if c.StartedCalls != nil {
		wg.Add(1)
		go callReader{c}.run(ctx, wg.Done)
	}
	wg.Wait()
	return ctx.Err()
}

// Claim requests permission to run the call with a key. The caller must not run
// it unless the reply is CLAIM_STATE_GRANTED.
func (c *Claimer) Claim(ctx context.Context, req *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	c.init()
	n := ShardOf(req.GetKey())
	if owner := c.Owner(ShardName(n)); owner != nil {
		forwardCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
		reply, err := owner.Claim(forwardCtx, req)
		cancel()
		if err == nil {
			if reply.GetState() == messenger.ClaimState_CLAIM_STATE_GRANTED {
				r := newClaimRecord(req, c.Now())
				r.EarlierGrants = reply.GetEarlierGrants()
				c.shards[n].remember(r, c.Now())
			}
			return reply, nil
		}
		// The owner may have recorded the claim. It is granted in that case too,
		// because the attempt is the same.
		c.Log.Warn("claim owner not reachable", zap.String("shard", ShardName(n)), zap.Error(err))
	}
	return c.ClaimLocally(ctx, req)
}

// ClaimLocally handles a claim in this daemon without forwarding it. It serves
// claims that other entry daemons forward to the owner.
func (c *Claimer) ClaimLocally(ctx context.Context, req *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	c.init()
	op := &operation{claim: req, done: make(chan struct{})}
	if err := c.shards[ShardOf(req.GetKey())].submit(ctx, op); err != nil {
		return &messenger.ClaimReply{State: messenger.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME}, nil
	}
	return op.claimReply, nil
}

// CompleteClaim records the outcome of a call.
func (c *Claimer) CompleteClaim(ctx context.Context, req *messenger.CompleteClaimRequest) (*messenger.CompleteClaimReply, error) {
	c.init()
	n := ShardOf(req.GetKey())
	c.shards[n].rememberOutcome(req, c.Now())
	if owner := c.Owner(ShardName(n)); owner != nil {
		forwardCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
		reply, err := owner.CompleteClaim(forwardCtx, req)
		cancel()
		if err == nil {
			return reply, nil
		}
	}
	return c.CompleteClaimLocally(ctx, req)
}

// CompleteClaimLocally records an outcome in this daemon without forwarding it.
func (c *Claimer) CompleteClaimLocally(ctx context.Context, req *messenger.CompleteClaimRequest) (*messenger.CompleteClaimReply, error) {
	c.init()
	op := &operation{complete: req, done: make(chan struct{})}
	if err := c.shards[ShardOf(req.GetKey())].submit(ctx, op); err != nil {
		return &messenger.CompleteClaimReply{}, nil
	}
	return op.completeReply, nil
}

func (c *Claimer) init() {
	c.once.Do(c.setDefaults)
}

func (c *Claimer) setDefaults() {
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	if c.BatchDelay == 0 {
		c.BatchDelay = DefaultBatchDelay
	}
	if c.MaxKeys == 0 {
		c.MaxKeys = DefaultMaxKeys
	}
	if c.WritesPerSecond == 0 {
		c.WritesPerSecond = DefaultWritesPerSecond
	}
	if c.CompactionThreshold == 0 {
		c.CompactionThreshold = DefaultCompactionThreshold
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Owner == nil {
		c.Owner = noOwner
	}
	if c.Held == nil {
		c.Held = neverHeld
	}
	for n := range c.shards {
		c.shards[n] = newShard(c, n)
	}
}

func noOwner(string) messenger.EntryClient { return nil }

func neverHeld(string, time.Time) bool { return false }
