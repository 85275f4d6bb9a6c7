package claimer

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// callReadInterval is the interval at which agents are asked for their calls
	// until all of them have answered.
	callReadInterval = time.Second
	// callReadTimeout is the timeout of one such question.
	callReadTimeout = time.Second
)

// StartedCalls are the calls with a claim that the agents of services have
// started lately. Agents remember them independently of the object API and of
// entry daemons.
type StartedCalls struct {
	Calls []StartedCall
	// Unanswered lists the services with an agent that did not answer.
	Unanswered []string
}

// StartedCall is a claim whose call an agent has started.
type StartedCall struct {
	Claim     *messenger.ClaimRequest
	StartedAt time.Time
}

// callState is what a shard knows in the present era about the calls that agents
// have started.
type callState struct {
	// wantedFrom is the time from which agents are to be asked, in ns since 1970,
	// or 0 if they need not be. Other goroutines read it.
	wantedFrom atomic.Int64
	// reports receives the answers.
	reports chan callReport
	// known is set after the first report of the era, and unanswered lists the
	// services that it lacks. Their new keys are refused until giveUpAt.
	known      bool
	unanswered []string
	giveUpAt   time.Time
}

type callReport struct {
	era   uint64
	calls StartedCalls
}

// callReader asks the agents for the calls of the shards that have entered an era.
type callReader struct {
	*Claimer
}

func (c callReader) run(ctx context.Context, done func()) {
	defer done()
	waiter.Every(ctx, callReadInterval, func(time.Time) { c.read(ctx, c.Now()) })
}

func (c callReader) read(ctx context.Context, now time.Time) {
	eras := map[int]uint64{}
	var numbers []uint32
	for n, s := range c.shards {
		// A shard sets wantedFrom before its era.
		era := s.era.Load()
		if from := s.calls.wantedFrom.Load(); from != 0 && now.UnixNano() >= from {
			eras[n] = era
			numbers = append(numbers, uint32(n))
		}
	}
	if len(numbers) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callReadTimeout)
	defer cancel()
	calls := c.StartedCalls(callCtx, numbers)
	for n, era := range eras {
		r := callReport{era: era, calls: calls}
		r.calls.Calls = nil
		for _, call := range calls.Calls {
			if ShardOf(call.Claim.GetKey()) == n {
				r.calls.Calls = append(r.calls.Calls, call)
			}
		}
		select {
		case c.shards[n].calls.reports <- r:
		default:
		}
	}
}

// expectCalls prepares for the calls of a new era. They are read after the delay
// in which no claims are granted: reservations of the earlier era have expired
// then, so that no call of that era can start later.
func (s *shard) expectCalls() {
	s.calls.known, s.calls.unanswered = s.claimer.StartedCalls == nil, nil
	s.calls.giveUpAt = s.grantsFrom.Add(recentDuration)
	if !s.calls.known {
		s.calls.wantedFrom.Store(s.grantsFrom.UnixNano())
	}
}

// applyCalls writes the claims of started calls that the store has lost.
func (s *shard) applyCalls(ctx context.Context, r callReport, now time.Time) {
	if r.era != s.era.Load() || s.isOutdated() {
		return
	}
	for _, call := range r.calls.Calls {
		s.rememberStarted(call, now)
	}
	if err := s.restoreClaims(ctx); err != nil {
		s.index = nil
		s.claimer.Log.Warn("claims of started calls not written again after a restore of the object API",
			zap.String("shard", ShardName(s.number)), zap.Error(err))
		return
	}
	if len(r.calls.Unanswered) > 0 && !slices.Equal(r.calls.Unanswered, s.calls.unanswered) {
		s.claimer.Log.Warn("claims are refused until all agents have named their calls",
			zap.String("shard", ShardName(s.number)), zap.Strings("services", r.calls.Unanswered))
	}
	s.calls.known, s.calls.unanswered = true, r.calls.Unanswered
	if len(s.calls.unanswered) == 0 || !now.Before(s.calls.giveUpAt) {
		s.calls.unanswered = nil
		s.calls.wantedFrom.Store(0)
	}
}

// rememberStarted adds a started call to the recent claims, unless its claim is
// known.
func (s *shard) rememberStarted(call StartedCall, now time.Time) {
	r := newClaimRecord(call.Claim, call.StartedAt)
	r.started = true
	s.recentMu.Lock()
	known, found := s.recent[r.Key]
	s.recentMu.Unlock()
	if found && (known.record.isClaimedBy(call.Claim.GetAttempt()) || !known.record.isUnstarted()) {
		return
	}
	s.remember(r, now)
}

// mayBeStarted reports whether a call of the service with a key without a claim
// may have been started in an earlier era.
func (s *shard) mayBeStarted(service string) bool {
	return slices.Contains(s.calls.unanswered, service)
}

// isUnstarted reports whether the claim may be one whose call has not started.
func (r record) isUnstarted() bool {
	return !r.started && (r.Outcome == "" || r.Outcome == OutcomeNotRun)
}
