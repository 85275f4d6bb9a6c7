package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/claimer"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	claimsPerSecond = 500
	claimsDuration  = 6 * time.Second
	// objectLatency is the response time of the object API.
	objectLatency = 3 * time.Millisecond
	// objectWritesPerSecond is the write rate limit of the object API.
	objectWritesPerSecond = 400
)

// claimsRun records claims and their outcomes at a constant rate of calls.
type claimsRun struct {
	name string
	api  *emulator.MemoryObjects
	// record claims a key, then records its outcome, and reports whether both were
	// stored.
	record func(ctx context.Context, key string) bool

	mu          sync.Mutex
	latency     *hdrhistogram.Histogram
	notRecorded int
	pending     sync.WaitGroup
}

// benchClaims measures the writes to the object API for non-idempotent calls.
// The baseline writes an object per call.
func benchClaims(w io.Writer) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, start := range []func(context.Context) *claimsRun{batchedClaims, directClaims} {
		r := start(ctx)
		r.sendCalls(ctx)
		r.print(w)
	}
	return nil
}

func newClaimObjects() *emulator.MemoryObjects {
	return &emulator.MemoryObjects{WritesPerSecond: objectWritesPerSecond, Faults: emulator.ObjectFaults{Delay: objectLatency}}
}

// batchedClaims uses a claimer that owns all shards.
func batchedClaims(ctx context.Context) *claimsRun {
	r := &claimsRun{name: "batched", api: newClaimObjects()}
	c := &claimer.Claimer{
		API: r.api, VM: "entry-1", Log: zap.NewNop(),
		Held: func(string, time.Time) bool { return true },
	}
	r.record = func(ctx context.Context, key string) bool { return recordClaim(ctx, c, key) }
	go claimerRunner{c}.run(ctx)
	return r
}

// claimerRunner runs the claimer until the benchmark ends.
type claimerRunner struct {
	claimer *claimer.Claimer
}

func (r claimerRunner) run(ctx context.Context) {
	// Run returns when ctx ends.
	_ = r.claimer.Run(ctx)
}

func recordClaim(ctx context.Context, c *claimer.Claimer, key string) bool {
	id := &messenger.AttemptId{RequestId: key, Number: 1}
	reply, err := c.Claim(ctx, &messenger.ClaimRequest{Key: key, BodyDigest: []byte(key), Attempt: id})
	if err != nil || reply.GetState() != messenger.ClaimState_CLAIM_STATE_GRANTED {
		return false
	}
	done, err := c.CompleteClaim(ctx, &messenger.CompleteClaimRequest{
		Key: key, Attempt: id, Outcome: claimer.OutcomeServed, Answer: &messenger.ServiceAnswer{Status: 201, Body: []byte("stored")},
	})
	return err == nil && done.GetRecorded()
}

// directClaims creates one object for each claim and updates it with the
// outcome.
func directClaims(context.Context) *claimsRun {
	r := &claimsRun{name: "write-per-call", api: newClaimObjects()}
	r.record = func(ctx context.Context, key string) bool { return writeClaim(ctx, r.api, key) }
	return r
}

func writeClaim(ctx context.Context, api adapter.ObjectAPI, key string) bool {
	o, err := api.Create(ctx, "claims/"+key, []byte("claimed"))
	if err != nil {
		return false
	}
	_, err = api.Update(ctx, o.Key, []byte("served"), o.Version)
	return err == nil
}

// claimCall is one non-idempotent call.
type claimCall struct {
	claims *claimsRun
	key    string
	due    time.Time
}

// sendCalls starts calls at claimsPerSecond and waits for all of them.
func (r *claimsRun) sendCalls(ctx context.Context) {
	r.latency = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	started := time.Now()
	total := int(claimsPerSecond * claimsDuration.Seconds())
	for n := range total {
		due := started.Add(time.Duration(n) * time.Second / claimsPerSecond)
		time.Sleep(time.Until(due))
		c := &claimCall{claims: r, key: fmt.Sprintf("team/ledger/%d", n), due: due}
		r.pending.Add(1)
		go c.run(ctx)
	}
	r.pending.Wait()
}

func (c *claimCall) run(ctx context.Context) {
	defer c.claims.pending.Done()
	stored := c.claims.record(ctx, c.key)
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	if !stored {
		c.claims.notRecorded++
		return
	}
	_ = c.claims.latency.RecordValue(time.Since(c.due).Microseconds())
}

func (r *claimsRun) print(w io.Writer) {
	name := "claims/" + r.name
	stats := r.api.Stats()
	fmt.Fprintf(w, "%s/calls %d calls/s\n", name, claimsPerSecond)
	fmt.Fprintf(w, "%s/writes %.1f writes/s\n", name, float64(stats.Writes)/claimsDuration.Seconds())
	fmt.Fprintf(w, "%s/writes-per-call %.3f ratio\n", name, float64(stats.Writes)/(claimsPerSecond*claimsDuration.Seconds()))
	fmt.Fprintf(w, "%s/rate-limited %d calls\n", name, stats.RateLimited)
	fmt.Fprintf(w, "%s/not-recorded %d calls\n", name, r.notRecorded)
	fmt.Fprintf(w, "%s/claim-and-outcome-p95 %.0f ms\n", name, float64(r.latency.ValueAtQuantile(95))/1000)
}
