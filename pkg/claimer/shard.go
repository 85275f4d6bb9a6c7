package claimer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// maxBatchOperations limits the operations of one batch.
	maxBatchOperations = 256
	// maxQueuedOperations limits the operations that wait for a batch. Further
	// operations are refused immediately.
	maxQueuedOperations = 1024
	// maxCreateAttempts limits the attempts to create a segment after lost
	// responses, and the attempts to write a batch after conflicts with other
	// writers.
	maxCreateAttempts = 8
	// recordOverheadBytes is an upper bound of the encoded size of a record
	// without its key and answer: digest, request, agent address and field names.
	recordOverheadBytes = 512
	// maxSegmentBytes is the size limit of a segment. It is below the object
	// API's limit, to leave space for the encoding of the envelope.
	maxSegmentBytes = 900_000
)

// operation is a queued claim or outcome: either claim and claimReply are set or
// complete and completeReply. done is closed when the reply is set.
type operation struct {
	claim         *messenger.ClaimRequest
	complete      *messenger.CompleteClaimRequest
	claimReply    *messenger.ClaimReply
	completeReply *messenger.CompleteClaimReply
	done          chan struct{}
}

// shard writes the segments of one claim shard. The fields after queue are used
// only by the goroutine that runs the run method.
type shard struct {
	claimer *Claimer
	number  int
	queue   chan *operation

	limiter *rate.Limiter
	index   *index
	// nextSequence is the sequence number of the next segment.
	nextSequence uint64
	// segmentsSinceSnapshot is the number of segments after the last snapshot.
	segmentsSinceSnapshot int
	// head is the head of the last snapshot, and headVersion the version of its
	// object in the object API, or 0 when there is none.
	head        snapshotHead
	headVersion uint64
	// lastUsed is the time of the last batch. A daemon that does not own the
	// shard drops an index that it does not use.
	lastUsed time.Time
	// outageUntil is the time until which operations are refused immediately
	// after a failed call to the object API, so that callers do not wait for the
	// timeouts of earlier operations.
	outageUntil time.Time
	// era is the era of the store into which the recent claims were written, and
	// grantsFrom the time from which the shard grants claims in it. Other
	// goroutines read era.
	era        atomic.Uint64
	grantsFrom time.Time
	// settling is set from the entry into an era until the shard grants claims.
	settling atomic.Bool
	// eraChanged holds a value after the store had another era than era.
	eraChanged chan struct{}
	calls      callState

	recentMu sync.Mutex
	// recent holds the claims by key that this daemon made or granted.
	recent map[string]recentClaim
}

func newShard(c *Claimer, n int) *shard {
	return &shard{
		claimer: c,
		number:  n,
		queue:   make(chan *operation, maxQueuedOperations),
		limiter: rate.NewLimiter(rate.Limit(c.WritesPerSecond), writeBurst),
		recent:  map[string]recentClaim{},

		eraChanged: make(chan struct{}, 1),
		calls:      callState{reports: make(chan callReport, 1)},
	}
}

// submit queues an operation and waits for its reply. If ctx ends first, the
// operation may still be performed.
func (s *shard) submit(ctx context.Context, op *operation) error {
	select {
	case s.queue <- op:
	default:
		op.refuse(messenger.ClaimState_CLAIM_STATE_UNAVAILABLE)
		return nil
	}
	select {
	case <-op.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *shard) run(ctx context.Context, done func()) {
	defer done()
	ticker := time.NewTicker(idleIndexTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.maintain(ctx, s.claimer.Now())
		case <-s.eraChanged:
			s.enterEra(ctx, s.claimer.Now())
		case r := <-s.calls.reports:
			s.applyCalls(ctx, r, s.claimer.Now())
		case first := <-s.queue:
			s.commitBatch(ctx, s.collectBatch(ctx, first))
		}
	}
}

// collectBatch collects the operations of one batch. The batch also includes
// operations that arrive while it waits for the write rate limit.
func (s *shard) collectBatch(ctx context.Context, first *operation) []*operation {
	batch := []*operation{first}
	wait := max(s.claimer.BatchDelay, s.limiter.Reserve().Delay())
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for len(batch) < maxBatchOperations {
		select {
		case op := <-s.queue:
			batch = append(batch, op)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// commitBatch decides the operations of a batch and writes the resulting
// records.
func (s *shard) commitBatch(ctx context.Context, batch []*operation) {
	now := s.claimer.Now()
	s.lastUsed = now
	if now.Before(s.outageUntil) {
		refuseAll(batch, messenger.ClaimState_CLAIM_STATE_UNAVAILABLE)
		return
	}
	for range maxCreateAttempts {
		if !s.enterEra(ctx, now) {
			refuseAll(batch, messenger.ClaimState_CLAIM_STATE_UNAVAILABLE)
			return
		}
		if err := s.load(ctx); err != nil {
			s.recordOutage(s.claimer.Now(), err)
			refuseAll(batch, messenger.ClaimState_CLAIM_STATE_UNAVAILABLE)
			return
		}
		if s.isOutdated() {
			continue
		}
		s.index.expire(now.Add(-s.claimer.Retention))
		var pending []*operation
		var records []record
		pending, records, batch = s.decide(batch, now)
		if len(records) == 0 {
			return
		}
		err := s.write(ctx, records)
		var conflict *adapter.ConflictError
		switch {
		case err == nil && s.isOutdated():
			// The claims were decided without those that the store has lost.
			s.withdraw(records, now)
			batch = append(pending, batch...)
		case err == nil:
			s.reply(pending, records, now)
			s.compactIfDue(ctx, now)
			if len(batch) == 0 {
				return
			}
		case errors.As(err, &conflict):
			// Another daemon wrote the segment with this sequence number. After its
			// segment is replayed, the same operations are decided again.
			batch = append(pending, batch...)
		default:
			s.recordOutage(s.claimer.Now(), err)
			s.index = nil
			state := messenger.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME
			if definitelyNotApplied(err) {
				state = messenger.ClaimState_CLAIM_STATE_UNAVAILABLE
			}
			refuseAll(append(pending, batch...), state)
			return
		}
	}
	refuseAll(batch, messenger.ClaimState_CLAIM_STATE_UNAVAILABLE)
}

// decide replies to the operations that need no write. It returns the
// operations that need one with their records, and the operations that must go
// into the next segment: their key is already in this segment, or the segment
// is full.
func (s *shard) decide(batch []*operation, now time.Time) (pending []*operation, records []record, rest []*operation) {
	pendingKeys := map[string]bool{}
	size := 0
	for _, op := range batch {
		if pendingKeys[op.key()] || size > maxSegmentBytes-2*MaxAnswerBytes {
			rest = append(rest, op)
			continue
		}
		r := s.decideOperation(op, now)
		if r == nil {
			close(op.done)
			continue
		}
		pendingKeys[op.key()] = true
		size += r.estimatedBytes()
		pending = append(pending, op)
		records = append(records, *r)
	}
	return pending, records, rest
}

func (s *shard) decideOperation(op *operation, now time.Time) *record {
	if op.claim != nil {
		reply, r := s.index.decideClaim(op.claim, s.claimer.MaxKeys, s.claimer.Retention, now)
		if r != nil && s.mayBeStarted(op.claim.GetService()) {
			reply, r = &messenger.ClaimReply{State: messenger.ClaimState_CLAIM_STATE_UNAVAILABLE}, nil
		}
		op.claimReply = reply
		return r
	}
	recorded, r := s.index.decideOutcome(op.complete)
	op.completeReply = &messenger.CompleteClaimReply{Recorded: recorded}
	return r
}

// write creates the next segment and applies its records to the index. It
// returns nil only when the segment is stored and no snapshot covers its
// sequence number.
func (s *shard) write(ctx context.Context, records []record) error {
	seg := segment{Writer: fmt.Sprintf("%s/%x", s.claimer.VM, rand.Uint64()), Records: records}
	value, err := json.Marshal(seg)
	if err != nil {
		return err
	}
	if err := s.createSegment(ctx, seg.Writer, value); err != nil {
		return err
	}
	// Segments that a snapshot covers are deleted, so that a paused writer could
	// create a segment with one of their numbers again. The snapshot head is
	// updated before the deletion, so that reading it here detects this case.
	head, version, err := s.readHead(ctx)
	if err != nil {
		return &unknownResultError{cause: err}
	}
	if head.Through >= s.nextSequence {
		s.index = nil
		return &adapter.ConflictError{Key: segmentKey(s.number, s.nextSequence)}
	}
	s.head, s.headVersion = head, version
	for _, r := range records {
		s.index.apply(r)
	}
	s.nextSequence++
	s.segmentsSinceSnapshot++
	return nil
}

// createSegment creates the segment with the next sequence number. When the
// response to a create is lost, the segment is read back and its writer is
// compared.
func (s *shard) createSegment(ctx context.Context, writer string, value []byte) error {
	key := segmentKey(s.number, s.nextSequence)
	maybeApplied := false
	var lastErr error
	for range maxCreateAttempts {
		err := s.create(ctx, key, value)
		if err == nil {
			return nil
		}
		lastErr = err
		var conflict *adapter.ConflictError
		if errors.As(err, &conflict) {
			return s.resolveConflict(ctx, key, writer)
		}
		if definitelyNotApplied(err) && !maybeApplied {
			return err
		}
		// The next create either succeeds or conflicts with the one whose
		// response was lost.
		maybeApplied = true
	}
	return &unknownResultError{cause: lastErr}
}

// resolveConflict returns nil when the write conflicted with an earlier attempt
// of its own. Otherwise it replays the segments of the other daemon and returns
// a conflict.
func (s *shard) resolveConflict(ctx context.Context, key, writer string) error {
	o, err := s.get(ctx, key)
	if err != nil {
		return &unknownResultError{cause: err}
	}
	seg, err := decodeSegment(o.Value)
	if err != nil {
		return err
	}
	if seg.Writer == writer {
		return nil
	}
	if err := s.catchUp(ctx); err != nil {
		return &unknownResultError{cause: err}
	}
	return &adapter.ConflictError{Key: key}
}

// load builds the index from the snapshot and the segments of the shard unless
// it is already loaded.
func (s *shard) load(ctx context.Context) error {
	if s.index != nil {
		return nil
	}
	head, version, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	x := newIndex()
	if err := s.loadSnapshot(ctx, head, x); err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	objects, err := s.claimer.API.List(callCtx, segmentPrefix(s.number))
	cancel()
	if err != nil {
		return err
	}
	next := head.Through + 1
	replayed := 0
	for _, o := range objects {
		n, ok := sequenceOf(s.number, o.Key)
		if !ok || n != next {
			continue
		}
		seg, err := decodeSegment(o.Value)
		if err != nil {
			return err
		}
		for _, r := range seg.Records {
			x.apply(r)
		}
		next++
		replayed++
	}
	s.index, s.nextSequence, s.segmentsSinceSnapshot, s.head, s.headVersion = x, next, replayed, head, version
	return nil
}

// catchUp replays the segments that other daemons wrote, starting at the next
// sequence number.
func (s *shard) catchUp(ctx context.Context) error {
	for {
		o, err := s.get(ctx, segmentKey(s.number, s.nextSequence))
		var notFound *adapter.NotFoundError
		if errors.As(err, &notFound) {
			return nil
		}
		if err != nil {
			s.index = nil
			return err
		}
		seg, err := decodeSegment(o.Value)
		if err != nil {
			s.index = nil
			return err
		}
		for _, r := range seg.Records {
			s.index.apply(r)
		}
		s.nextSequence++
		s.segmentsSinceSnapshot++
	}
}

// reply sends the replies to the operations of a stored segment.
func (s *shard) reply(pending []*operation, records []record, now time.Time) {
	for i, op := range pending {
		s.remember(records[i], now)
		if op.claim != nil {
			op.claimReply = records[i].reply(messenger.ClaimState_CLAIM_STATE_GRANTED, s.claimer.Retention)
		}
		close(op.done)
	}
}

// maintain writes a snapshot when one is due and drops the index of a shard
// that this daemon neither owns nor uses.
func (s *shard) maintain(ctx context.Context, now time.Time) {
	if s.index == nil {
		return
	}
	if s.claimer.Held(ShardName(s.number), now) {
		s.index.expire(now.Add(-s.claimer.Retention))
		s.compactIfDue(ctx, now)
		return
	}
	if now.Sub(s.lastUsed) > idleIndexTimeout {
		s.index = nil
	}
}

// recordOutage starts the refusal of operations. now must be the time after the
// failed call, because a call that timed out took longer than outageBackoff.
func (s *shard) recordOutage(now time.Time, err error) {
	s.outageUntil = now.Add(outageBackoff)
	s.claimer.Log.Warn("claims not recorded", zap.String("shard", ShardName(s.number)), zap.Error(err))
}

func (s *shard) create(ctx context.Context, key string, value []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.claimer.API.Create(callCtx, key, value)
	return err
}

func (s *shard) get(ctx context.Context, key string) (adapter.Object, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.claimer.API.Get(callCtx, key)
}

// unknownResultError reports a write that may have taken effect.
type unknownResultError struct {
	cause error
}

func (e *unknownResultError) Error() string {
	return fmt.Sprintf("claim segment may have been written: %v", e.cause)
}

func (e *unknownResultError) Unwrap() error { return e.cause }

// definitelyNotApplied reports whether a failed write cannot have taken effect.
func definitelyNotApplied(err error) bool {
	var unknownResult *unknownResultError
	if errors.As(err, &unknownResult) {
		return false
	}
	var unavailable *adapter.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Refused
}

func (op *operation) key() string {
	if op.claim != nil {
		return op.claim.GetKey()
	}
	return op.complete.GetKey()
}

func (op *operation) refuse(state messenger.ClaimState) {
	if op.claim != nil {
		op.claimReply = &messenger.ClaimReply{State: state}
	} else {
		op.completeReply = &messenger.CompleteClaimReply{}
	}
	close(op.done)
}

func refuseAll(batch []*operation, state messenger.ClaimState) {
	for _, op := range batch {
		op.refuse(state)
	}
}
