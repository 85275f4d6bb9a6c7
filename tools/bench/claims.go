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
	claimRate      = 500
	claimsDuration = 6 * time.Second
	// objectDelay is the response time of the object API.
	objectDelay = 3 * time.Millisecond
	// objectWrites is the write rate that the object API allows.
	objectWrites = 400
)

// claimsRun records claims and outcomes at a constant rate.
type claimsRun struct {
	name string
	api  *emulator.MemoryObjects
	// record claims a key and later records its outcome; it reports whether
	// both were stored.
	record func(ctx context.Context, key string) bool

	mu      sync.Mutex
	delay   *hdrhistogram.Histogram
	refused int
	pending sync.WaitGroup
}

// benchClaims measures the writes to the object API of non-idempotent calls.
func benchClaims(w io.Writer) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, start := range []func(context.Context) *claimsRun{batchedClaims, directClaims} {
		r := start(ctx)
		r.send(ctx)
		r.print(w)
	}
	return nil
}

func newClaimObjects() *emulator.MemoryObjects {
	return &emulator.MemoryObjects{WritesPerSecond: objectWrites, Faults: emulator.ObjectFaults{Delay: objectDelay}}
}

// batchedClaims uses the claimer with one owner for all shards.
func batchedClaims(ctx context.Context) *claimsRun {
	r := &claimsRun{name: "batched", api: newClaimObjects()}
	c := &claimer.Claimer{
		API: r.api, VM: "entry-1", Log: zap.NewNop(),
		Held: func(string, time.Time) bool { return true },
	}
	r.record = func(ctx context.Context, key string) bool { return recordClaim(ctx, c, key) }
	go runClaimer{c}.run(ctx)
	return r
}

type runClaimer struct {
	claimer *claimer.Claimer
}

func (r runClaimer) run(ctx context.Context) {
	// Run returns when the benchmark ends.
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

// directClaims writes one object for each claim and updates it with the
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

func (r *claimsRun) send(ctx context.Context) {
	r.delay = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	started := time.Now()
	total := int(claimRate * claimsDuration.Seconds())
	for n := range total {
		due := started.Add(time.Duration(n) * time.Second / claimRate)
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
		c.claims.refused++
		return
	}
	_ = c.claims.delay.RecordValue(time.Since(c.due).Microseconds())
}

func (r *claimsRun) print(w io.Writer) {
	name := "claims/" + r.name
	stats := r.api.Stats()
	fmt.Fprintf(w, "%s/calls %d calls/s\n", name, claimRate)
	fmt.Fprintf(w, "%s/writes %.1f writes/s\n", name, float64(stats.Writes)/claimsDuration.Seconds())
	fmt.Fprintf(w, "%s/writes-per-call %.3f ratio\n", name, float64(stats.Writes)/(claimRate*claimsDuration.Seconds()))
	fmt.Fprintf(w, "%s/rate-limited %d calls\n", name, stats.RateLimited)
	fmt.Fprintf(w, "%s/not-recorded %d calls\n", name, r.refused)
	fmt.Fprintf(w, "%s/claim-and-outcome-p95 %.0f ms\n", name, float64(r.delay.ValueAtQuantile(95))/1000)
}
