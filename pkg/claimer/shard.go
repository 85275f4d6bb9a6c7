package claimer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// maxBatch bounds the operations of one segment.
	maxBatch = 256
	// maxSubmitted bounds the operations that wait for a batch; further ones
	// are refused at once.
	maxSubmitted = 1024
	// createAttempts bounds the tries of one segment, after lost answers or
	// after segments of other writers.
	createAttempts = 8
	// recordBytes bounds the encoded size of a record without key and answer:
	// digest, request, agent address and the names of the fields.
	recordBytes = 512
	// maxSegmentBytes leaves room below the object API's limit for the
	// encoding of the envelope.
	maxSegmentBytes = 900_000
)

// operation is one claim or outcome that waits for its batch.
type operation struct {
	claim         *messenger.ClaimRequest
	complete      *messenger.CompleteClaimRequest
	claimReply    *messenger.ClaimReply
	completeReply *messenger.CompleteClaimReply
	done          chan struct{}
}

// shard writes the segments of one claim shard. Only its run method touches
// the fields below submitted.
type shard struct {
	claimer   *Claimer
	number    int
	submitted chan *operation

	limiter *rate.Limiter
	index   *index
	// next is the sequence number of the segment to write.
	next uint64
	// sinceSnapshot counts the segments after the last snapshot.
	sinceSnapshot int
	// head is the last snapshot, and headVersion the version of its object in
	// the object API; 0 when there is none.
	head        snapshotHead
	headVersion uint64
	// lastUsed is when the index was needed last. A daemon that does not own
	// the shard drops an index that it does not use.
	lastUsed time.Time
	// outageUntil refuses claims at once after the object API failed, so
	// that callers are not queued behind timeouts.
	outageUntil time.Time
}

func newShard(c *Claimer, n int) *shard {
	return &shard{
		claimer:   c,
		number:    n,
		submitted: make(chan *operation, maxSubmitted),
		limiter:   rate.NewLimiter(rate.Limit(c.WritesPerSecond), writeBurst),
	}
}

// submit hands over an operation and waits for its reply.
func (s *shard) submit(ctx context.Context, op *operation) error {
	select {
	case s.submitted <- op:
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
		case first := <-s.submitted:
			s.commit(ctx, s.gather(ctx, first))
		}
	}
}

// gather collects the operations of one batch. Operations that arrive while
// the write rate is used up join the batch too.
func (s *shard) gather(ctx context.Context, first *operation) []*operation {
	batch := []*operation{first}
	wait := max(s.claimer.Gather, s.limiter.Reserve().Delay())
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for len(batch) < maxBatch {
		select {
		case op := <-s.submitted:
			batch = append(batch, op)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// commit decides a batch and writes what it grants.
func (s *shard) commit(ctx context.Context, batch []*operation) {
	now := s.claimer.Now()
	s.lastUsed = now
	if now.Before(s.outageUntil) {
		refuseAll(batch, messenger.ClaimState_CLAIM_STATE_UNAVAILABLE)
		return
	}
	for range createAttempts {
		if err := s.load(ctx); err != nil {
			s.noteOutage(s.claimer.Now(), err)
			refuseAll(batch, messenger.ClaimState_CLAIM_STATE_UNAVAILABLE)
			return
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
		case err == nil:
			s.reply(pending, records)
			s.compactIfDue(ctx, now)
			if len(batch) == 0 {
				return
			}
		case errors.As(err, &conflict):
			// Another daemon wrote this sequence number first. Its segment is
			// replayed and the same operations are decided again.
			batch = append(pending, batch...)
		default:
			s.noteOutage(s.claimer.Now(), err)
			s.index = nil
			state := messenger.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME
			if surelyNotApplied(err) {
				state = messenger.ClaimState_CLAIM_STATE_UNAVAILABLE
			}
			refuseAll(append(pending, batch...), state)
			return
		}
	}
	refuseAll(batch, messenger.ClaimState_CLAIM_STATE_UNAVAILABLE)
}

// decide replies to the operations that need no write. It returns those that
// do, their records, and the operations left for the next segment because
// they concern a key that this segment already holds or exceed its size.
func (s *shard) decide(batch []*operation, now time.Time) (pending []*operation, records []record, rest []*operation) {
	seen := map[string]bool{}
	size := 0
	for _, op := range batch {
		if seen[op.key()] || size > maxSegmentBytes-2*MaxAnswerBytes {
			rest = append(rest, op)
			continue
		}
		r := s.decideOne(op, now)
		if r == nil {
			close(op.done)
			continue
		}
		seen[op.key()] = true
		size += r.encodedBytes()
		pending = append(pending, op)
		records = append(records, *r)
	}
	return pending, records, rest
}

func (s *shard) decideOne(op *operation, now time.Time) *record {
	if op.claim != nil {
		reply, r := s.index.answerClaim(op.claim, s.claimer.MaxKeys, s.claimer.Retention, now)
		op.claimReply = reply
		return r
	}
	recorded, r := s.index.answerComplete(op.complete)
	op.completeReply = &messenger.CompleteClaimReply{Recorded: recorded}
	return r
}

// write creates the next segment. It returns nil only when the segment is
// stored and no snapshot has passed its number.
func (s *shard) write(ctx context.Context, records []record) error {
	seg := segment{Writer: fmt.Sprintf("%s/%x", s.claimer.VM, rand.Uint64()), Records: records}
	value, err := json.Marshal(seg)
	if err != nil {
		return err
	}
	if err := s.createSegment(ctx, seg.Writer, value); err != nil {
		return err
	}
	// Segments up to the snapshot's number are deleted, so that a writer that
	// was paused could create one of these numbers again. The snapshot head
	// moves before the deletion, so that reading it now finds this out.
	head, version, err := s.readHead(ctx)
	if err != nil {
		return &uncertainError{cause: err}
	}
	if head.Through >= s.next {
		s.index = nil
		return &adapter.ConflictError{Key: segmentKey(s.number, s.next)}
	}
	s.head, s.headVersion = head, version
	for _, r := range records {
		s.index.apply(r)
	}
	s.next++
	s.sinceSnapshot++
	return nil
}

// createSegment stores the value under the next number. When the answer to a
// create is lost, the segment is read back and its writer compared.
func (s *shard) createSegment(ctx context.Context, writer string, value []byte) error {
	key := segmentKey(s.number, s.next)
	maybeApplied := false
	var lastErr error
	for range createAttempts {
		err := s.create(ctx, key, value)
		if err == nil {
			return nil
		}
		lastErr = err
		var conflict *adapter.ConflictError
		if errors.As(err, &conflict) {
			return s.resolveConflict(ctx, key, writer)
		}
		if surelyNotApplied(err) && !maybeApplied {
			return err
		}
		// The next create either succeeds or conflicts with the one whose
		// answer was lost.
		maybeApplied = true
	}
	return &uncertainError{cause: lastErr}
}

// resolveConflict tells a conflict with an earlier try of the same write from
// one with another daemon, whose segments it replays.
func (s *shard) resolveConflict(ctx context.Context, key, writer string) error {
	o, err := s.get(ctx, key)
	if err != nil {
		return &uncertainError{cause: err}
	}
	seg, err := decodeSegment(o.Value)
	if err != nil {
		return err
	}
	if seg.Writer == writer {
		return nil
	}
	if err := s.catchUp(ctx); err != nil {
		return &uncertainError{cause: err}
	}
	return &adapter.ConflictError{Key: key}
}

// load reads the snapshot and the segments of the shard unless the index is
// there already.
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
	loose := 0
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
		loose++
	}
	s.index, s.next, s.sinceSnapshot, s.head, s.headVersion = x, next, loose, head, version
	return nil
}

// catchUp replays the segments that others wrote from the next number on.
func (s *shard) catchUp(ctx context.Context) error {
	for {
		o, err := s.get(ctx, segmentKey(s.number, s.next))
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
		s.next++
		s.sinceSnapshot++
	}
}

// reply answers the operations of a stored segment.
func (s *shard) reply(pending []*operation, records []record) {
	for i, op := range pending {
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

// noteOutage takes the time after the failed call: a call that timed out took
// longer than outageBackoff.
func (s *shard) noteOutage(now time.Time, err error) {
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

// uncertainError reports a write of which nobody knows whether it took
// effect.
type uncertainError struct {
	cause error
}

func (e *uncertainError) Error() string {
	return fmt.Sprintf("claim segment may have been written: %v", e.cause)
}

func (e *uncertainError) Unwrap() error { return e.cause }

func surelyNotApplied(err error) bool {
	var uncertain *uncertainError
	if errors.As(err, &uncertain) {
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
