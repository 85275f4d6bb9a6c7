package claimer

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// recentDuration is how long a daemon remembers the claims that it made or
	// granted. A store that is restored from an older copy loses claims.
	recentDuration = 5 * time.Minute
	// eraCheckInterval is the interval at which a daemon with recent claims reads
	// the era of the store.
	eraCheckInterval = 2 * time.Second
	// newEraDelay is how long a shard grants nothing in a new era, so that all
	// daemons can write their recent claims again.
	newEraDelay = 6 * time.Second
)

// recentClaim is a claim that this daemon made or granted.
type recentClaim struct {
	record record
	at     time.Time
}

// eraWatcher reads the era of the store while there are recent claims. It tells
// their shards, and those that this daemon holds, about a new one.
type eraWatcher struct {
	*Claimer
}

func (c eraWatcher) run(ctx context.Context, done func()) {
	defer done()
	waiter.Every(ctx, eraCheckInterval, func(time.Time) { c.check(ctx, c.Now()) })
}

func (c eraWatcher) check(ctx context.Context, now time.Time) {
	shards := c.shardsWithRecentClaims(now)
	if len(shards) > 0 {
		// The client keeps the era of the response.
		if _, _, err := shards[0].readHead(ctx); err != nil {
			c.Log.Debug("era of the object API not read", zap.Error(err))
		}
	}
	era := adapter.EraOf(c.API)
	for _, s := range c.shards {
		if s.hasRecentClaims() || c.Held(ShardName(s.number), now) {
			s.notifyEra(era)
		}
	}
}

// shardsWithRecentClaims drops older claims and returns the shards that have
// recent ones.
func (c *Claimer) shardsWithRecentClaims(now time.Time) []*shard {
	var found []*shard
	for _, s := range c.shards {
		s.dropOldClaims(now)
		if s.hasRecentClaims() {
			found = append(found, s)
		}
	}
	return found
}

// notifyEra wakes the goroutine of the shard if the era is above the one that it
// has entered.
func (s *shard) notifyEra(era uint64) {
	if era == s.era.Load() && !s.settling.Load() {
		return
	}
	select {
	case s.eraChanged <- struct{}{}:
	default:
	}
}

func (s *shard) hasRecentClaims() bool {
	s.recentMu.Lock()
	defer s.recentMu.Unlock()
	return len(s.recent) > 0
}

func (s *shard) dropOldClaims(now time.Time) {
	s.recentMu.Lock()
	defer s.recentMu.Unlock()
	for key, c := range s.recent {
		if now.Sub(c.at) > recentDuration {
			delete(s.recent, key)
		}
	}
}

// remember keeps a claim or an outcome, without its answer.
func (s *shard) remember(r record, now time.Time) {
	r.Answer = nil
	s.recentMu.Lock()
	defer s.recentMu.Unlock()
	s.recent[r.Key] = recentClaim{record: r, at: now}
}

// rememberOutcome adds the outcome to a recent claim of the same attempt.
func (s *shard) rememberOutcome(req *messenger.CompleteClaimRequest, now time.Time) {
	s.recentMu.Lock()
	c, found := s.recent[req.GetKey()]
	s.recentMu.Unlock()
	if !found || !c.record.isClaimedBy(req.GetAttempt()) || c.record.Outcome == OutcomeServed {
		return
	}
	c.record.Outcome, c.record.AnswerSize = req.GetOutcome(), len(req.GetAnswer().GetBody())
	s.remember(c.record, now)
}

// enterEra reports whether claims may be granted. When the store has a new era,
// it first writes the recent claims that the store has lost.
func (s *shard) enterEra(ctx context.Context, now time.Time) bool {
	era := adapter.EraOf(s.claimer.API)
	if era == s.era.Load() && !now.Before(s.grantsFrom) {
		s.settling.Store(false)
		return era == 0 || s.calls.known
	}
	err := s.restoreClaims(ctx)
	// The index is read again after the delay, with what other daemons write.
	s.index = nil
	if err != nil {
		s.claimer.Log.Warn("recent claims not written again after a restore of the object API",
			zap.String("shard", ShardName(s.number)), zap.Error(err))
		return false
	}
	if era != s.era.Load() && era == adapter.EraOf(s.claimer.API) {
		s.grantsFrom = s.claimer.Now().Add(newEraDelay)
		s.expectCalls()
		s.era.Store(era)
		s.settling.Store(true)
	}
	return false
}

// isOutdated reports whether the store has an era that the shard has not entered.
func (s *shard) isOutdated() bool { return adapter.EraOf(s.claimer.API) != s.era.Load() }

// withdraw marks claims that were written and not granted as not run.
func (s *shard) withdraw(records []record, now time.Time) {
	for _, r := range records {
		if r.Outcome == "" {
			r.Outcome = OutcomeNotRun
		}
		s.remember(r, now)
	}
}

// restoreClaims reads the shard again and writes the recent claims that it lacks.
func (s *shard) restoreClaims(ctx context.Context) error {
	s.index = nil
	for range maxCreateAttempts {
		if err := s.load(ctx); err != nil {
			return err
		}
		missing := s.missingClaims()
		if len(missing) == 0 {
			return nil
		}
		err := s.write(ctx, missing)
		var conflict *adapter.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return err
		}
	}
	return &adapter.ConflictError{Key: segmentKey(s.number, s.nextSequence)}
}

// missingClaims returns the recent claims and outcomes that the index lacks, at
// most as many as fit into a segment.
func (s *shard) missingClaims() []record {
	s.recentMu.Lock()
	defer s.recentMu.Unlock()
	var missing []record
	for _, c := range s.recent {
		if s.index.lacks(c.record) {
			missing = append(missing, c.record)
		}
	}
	slices.SortFunc(missing, func(a, b record) int {
		return cmp.Or(cmp.Compare(a.ClaimedMS, b.ClaimedMS), cmp.Compare(a.Key, b.Key))
	})
	if len(missing) == 0 {
		return nil
	}
	return splitPart(missing)[0]
}

// lacks reports whether a claim or outcome is newer than the record of its key.
func (x *index) lacks(r record) bool {
	existing := x.keys[r.Key]
	switch {
	case existing == nil:
		return true
	case existing.RequestID == r.RequestID && existing.Attempt == r.Attempt:
		return existing.Outcome != r.Outcome && existing.Outcome != OutcomeServed && r.Outcome != ""
	case r.started:
		return existing.isUnstarted()
	}
	// A key is claimed again only after its earlier call was not run. A claim that
	// was withdrawn may have the same number as the one that the store has lost.
	switch {
	case r.Outcome == OutcomeNotRun || !existing.isUnstarted():
		return false
	case existing.Outcome == OutcomeNotRun:
		return r.EarlierGrants >= existing.EarlierGrants
	}
	return r.EarlierGrants > existing.EarlierGrants
}
