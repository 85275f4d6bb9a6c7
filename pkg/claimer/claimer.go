// Package claimer records claims on idempotency keys, so that a
// non-idempotent call runs at most once, whichever entry daemon receives it.
//
// Claims of one shard are written in batches as numbered segment objects with
// create-if-absent. A writer that has not read all earlier segments loses the
// create, so that safety does not depend on the lease of the shard; the lease
// only keeps two daemons from contending for the same number.
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
	// DefaultGather is how long the first claim of a batch waits for others.
	DefaultGather = 5 * time.Millisecond
	// DefaultMaxKeys bounds the keys of one shard, about 30 MB of memory.
	DefaultMaxKeys = 100_000
	// DefaultWritesPerSecond bounds the segments of one shard. Each segment is
	// deleted later, so that sixteen shards stay at 256 writes/s of the object
	// API's several hundred.
	DefaultWritesPerSecond = 8

	// writeBurst is how many segments a shard may write at once after a pause.
	writeBurst = 5
	// forwardTimeout bounds a call to the owner of a shard. After it, this daemon
	// writes the segment itself.
	forwardTimeout = time.Second
	// callTimeout bounds a call to the object API.
	callTimeout = 2 * time.Second
	// outageBackoff is how long claims are refused after the object API failed.
	outageBackoff = 500 * time.Millisecond
	// idleIndexTimeout is how long a daemon that does not own a shard keeps its
	// index.
	idleIndexTimeout = time.Minute
)

// Claimer answers claims of this entry daemon, by asking the owner of the
// shard or, when the owner cannot be reached, by writing the segment itself.
type Claimer struct {
	API adapter.ObjectAPI
	// VM is the name of this entry VM.
	VM string
	// Owner returns a client to the entry daemon that owns the shard, or nil
	// when this daemon owns it or no owner is known.
	Owner func(shard string) messenger.EntryClient
	// Held reports whether this daemon owns the shard, for compaction.
	Held            func(shard string, now time.Time) bool
	Now             func() time.Time
	Log             *logger.Logger
	Retention       time.Duration
	Gather          time.Duration
	MaxKeys         int
	WritesPerSecond float64
	// CompactAfter is the number of segments that makes the owner write a
	// snapshot.
	CompactAfter int

	start  sync.Once
	shards [ShardCount]*shard
}

// ShardName returns the name of a claim shard, which is also its lease.
func ShardName(n int) string {
	return fmt.Sprintf("claims-%d", n)
}

// ShardOf returns the number of the shard of a key.
func ShardOf(key string) int {
	return int(xxhash.Sum64String(key) % ShardCount)
}

// Run serves claims until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	c.init()
	var wg sync.WaitGroup
	for _, s := range c.shards {
		wg.Add(1)
		go s.run(ctx, wg.Done)
	}
	wg.Wait()
	return ctx.Err()
}

// Claim asks for the right to run the call of a key. A reply other than
// CLAIM_STATE_GRANTED means that the caller must not run it.
func (c *Claimer) Claim(ctx context.Context, req *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	c.init()
	n := ShardOf(req.GetKey())
	if owner := c.Owner(ShardName(n)); owner != nil {
		forwardCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
		reply, err := owner.Claim(forwardCtx, req)
		cancel()
		if err == nil {
			return reply, nil
		}
		// The owner may have recorded the claim. Writing it here with the same
		// attempt is granted in that case too.
		c.Log.Warn("claim owner not reachable", zap.String("shard", ShardName(n)), zap.Error(err))
	}
	return c.ClaimHere(ctx, req)
}

// ClaimHere handles a claim in this daemon, for requests that another entry
// daemon forwarded to the owner.
func (c *Claimer) ClaimHere(ctx context.Context, req *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
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
	if owner := c.Owner(ShardName(n)); owner != nil {
		forwardCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
		reply, err := owner.CompleteClaim(forwardCtx, req)
		cancel()
		if err == nil {
			return reply, nil
		}
	}
	return c.CompleteClaimHere(ctx, req)
}

// CompleteClaimHere records an outcome in this daemon.
func (c *Claimer) CompleteClaimHere(ctx context.Context, req *messenger.CompleteClaimRequest) (*messenger.CompleteClaimReply, error) {
	c.init()
	op := &operation{complete: req, done: make(chan struct{})}
	if err := c.shards[ShardOf(req.GetKey())].submit(ctx, op); err != nil {
		return &messenger.CompleteClaimReply{}, nil
	}
	return op.completeReply, nil
}

func (c *Claimer) init() {
	c.start.Do(c.setDefaults)
}

func (c *Claimer) setDefaults() {
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	if c.Gather == 0 {
		c.Gather = DefaultGather
	}
	if c.MaxKeys == 0 {
		c.MaxKeys = DefaultMaxKeys
	}
	if c.WritesPerSecond == 0 {
		c.WritesPerSecond = DefaultWritesPerSecond
	}
	if c.CompactAfter == 0 {
		c.CompactAfter = 256
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
