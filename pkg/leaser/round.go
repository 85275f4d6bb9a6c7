package leaser

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

// round renews the leases held, reads the others when it is time to, and
// challenges those whose holder has stopped renewing.
func (l *Leaser) round(ctx context.Context, now time.Time) error {
	candidates := l.candidates(now)
	if l.failed {
		// One read tells whether the object API answers again. Without it, an
		// outage would cost two calls a round for each lease.
		if err := l.list(ctx); err != nil {
			return err
		}
		l.failed = false
	}
	if err := l.runWrites(ctx, l.renewals(now, candidates)); err != nil {
		return err
	}
	if !l.listDue(now, candidates) {
		return nil
	}
	if err := l.list(ctx); err != nil {
		return err
	}
	return l.runWrites(ctx, l.challenges(time.Now(), candidates))
}

// list reads all leases with one call.
func (l *Leaser) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, err := l.API.List(ctx, Prefix)
	if err != nil {
		return err
	}
	now := time.Now()
	for _, o := range objects {
		l.see(o, now)
	}
	return nil
}

// write is one conditional write of a lease object. Previous is the version it
// replaces, 0 when the object does not exist.
type write struct {
	leaser   *Leaser
	ctx      context.Context
	next     record
	previous uint64
	reason   string
}

func (l *Leaser) runWrites(ctx context.Context, writes []*write) error {
	// A failed write doesn't cancel the others: their answers would be lost.
	var group errgroup.Group
	group.SetLimit(renewalsAtOnce)
	for _, w := range writes {
		w.ctx = ctx
		group.Go(w.run)
	}
	return group.Wait()
}

// renewals returns the writes for the leases held: a renewal, or a release for
// one shard a round that another VM has been preferred for long enough.
func (l *Leaser) renewals(now time.Time, candidates []string) []*write {
	l.mu.Lock()
	defer l.mu.Unlock()
	var writes []*write
	released := false
	for _, s := range l.shards {
		if !s.mine {
			continue
		}
		if !released && l.handOverDue(s, now, candidates) {
			released = true
			writes = append(writes, l.releaseOf(s, "another VM is preferred"))
			continue
		}
		writes = append(writes, l.writeOf(s, s.last.Epoch, "renewal"))
	}
	return writes
}

func (l *Leaser) handOverDue(s *shard, now time.Time, candidates []string) bool {
	if l.position(s.name, candidates) == 0 {
		s.preferredElsewhere = time.Time{}
		return false
	}
	if s.preferredElsewhere.IsZero() {
		s.preferredElsewhere = now
	}
	return now.Sub(s.preferredElsewhere) >= l.HandOverAfter<<min(s.handOvers, maxHandOverDoublings)
}

// releaseOf makes the daemon stop acting on the shard before the release is
// sent.
func (l *Leaser) releaseOf(s *shard, reason string) *write {
	w := l.writeOf(s, s.last.Epoch, reason)
	w.next.Holder = ""
	s.mine = false
	s.handOvers++
	s.deadline = time.Time{}
	s.preferredElsewhere = time.Time{}
	return w
}

func (l *Leaser) writeOf(s *shard, epoch uint64, reason string) *write {
	l.renewal++
	w := &write{leaser: l, reason: reason, next: record{
		Shard:      s.name,
		Holder:     l.VM,
		Epoch:      epoch,
		DurationMS: l.Duration.Milliseconds(),
		Writer:     l.writer,
		Renewal:    l.renewal,
	}}
	if s.exists {
		w.previous = s.version
	}
	return w
}

func (l *Leaser) listDue(now time.Time, candidates []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	others, preferred := false, false
	for _, name := range l.Shards {
		if l.shards[name].mine {
			continue
		}
		others = true
		preferred = preferred || l.position(name, candidates) < observers
	}
	if !others || (!preferred && now.Before(l.nextList)) {
		return false
	}
	l.nextList = now.Add(idleEvery/2 + time.Duration(l.jitter()*float64(idleEvery)))
	return true
}

// see takes one lease object that was read.
func (l *Leaser) see(o adapter.Object, now time.Time) {
	r, err := decodeRecord(o)
	if err != nil {
		l.Log.Warn("unreadable lease object", zap.Error(err))
		return
	}
	l.mu.Lock()
	s := l.shards[r.Shard]
	if s == nil {
		s = &shard{name: r.Shard}
		l.shards[r.Shard] = s
	}
	changed := s.take(r, o.Version, now, l.writer)
	l.mu.Unlock()
	if changed {
		l.notify.Notify()
	}
}

// take records a version that was read. It reports whether holder or epoch
// changed.
func (s *shard) take(r record, version uint64, now time.Time, writer string) bool {
	if s.exists && version <= s.version {
		return false
	}
	s.exists, s.version, s.last, s.firstSeen = true, version, r, now
	mine := r.Writer == writer && r.Holder != ""
	if !mine || !s.mine {
		// An own write that took effect late makes the lease this process's,
		// but only a renewal with a known send time gives it a deadline.
		s.deadline = time.Time{}
	}
	s.mine = mine
	return s.takeFact(r.Holder, r.Epoch)
}

func (s *shard) takeFact(holder string, epoch uint64) bool {
	if epoch < s.epoch || (epoch == s.epoch && holder == s.holder) {
		return false
	}
	s.holder, s.epoch = holder, epoch
	return true
}

// challenges returns the writes that take over leases not renewed in time.
func (l *Leaser) challenges(now time.Time, candidates []string) []*write {
	l.mu.Lock()
	defer l.mu.Unlock()
	var writes []*write
	for _, name := range l.Shards {
		s := l.shards[name]
		if s.mine {
			continue
		}
		if s.firstSeen.IsZero() {
			s.firstSeen = now
		}
		rank := min(l.position(name, candidates), maxRankSteps)
		if now.Sub(s.firstSeen) < l.patience(s, rank) {
			continue
		}
		reason := "not renewed in time"
		if s.last.Holder == "" {
			reason = "held by nobody"
		}
		writes = append(writes, l.writeOf(s, max(s.last.Epoch, s.epoch)+1, reason))
	}
	return writes
}

// patience is how long the shard's version must have been the same before a
// daemon at this place in the order of preference takes the lease.
func (l *Leaser) patience(s *shard, rank int) time.Duration {
	if !s.exists || s.last.Holder == "" {
		// Half an interval a place lets the next round of the second choice
		// acquire a lease that the first choice left alone.
		return time.Duration(rank) * l.RenewEvery / 2
	}
	duration := max(l.Duration, time.Duration(s.last.DurationMS)*time.Millisecond)
	return duration + l.Drift + time.Duration(rank)*rankStep
}

// run performs the write. A conflict is an ordinary outcome; an error is
// returned only when the object API did not answer.
func (w *write) run() error {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	object, err := w.send(ctx)
	if err == nil {
		w.succeed(object.Version, sent)
		return nil
	}
	var refused *adapter.UnavailableError
	if errors.As(err, &refused) && refused.Refused {
		return err
	}
	return w.readBack(sent, err)
}

func (w *write) send(ctx context.Context) (adapter.Object, error) {
	key := Prefix + w.next.Shard
	if w.previous == 0 {
		return w.leaser.API.Create(ctx, key, encodeRecord(w.next))
	}
	return w.leaser.API.Update(ctx, key, encodeRecord(w.next), w.previous)
}

// readBack finds out what became of a write that conflicted or got no answer.
// An earlier write of this process whose answer was lost also conflicts.
func (w *write) readBack(sent time.Time, cause error) error {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	object, err := w.leaser.API.Get(ctx, Prefix+w.next.Shard)
	var missing *adapter.NotFoundError
	if errors.As(err, &missing) {
		w.leaser.forget(w.next.Shard)
		return nil
	}
	if err != nil {
		return errors.Join(cause, err)
	}
	r, err := decodeRecord(object)
	if err != nil {
		return err
	}
	if r.Writer == w.next.Writer && r.Renewal == w.next.Renewal {
		w.succeed(object.Version, sent)
		return nil
	}
	w.leaser.see(object, time.Now())
	return nil
}

// succeed records a write that took effect. The deadline counts from the time
// of sending, because challengers may have seen the version since then.
func (w *write) succeed(version uint64, sent time.Time) {
	l := w.leaser
	l.mu.Lock()
	s := l.shards[w.next.Shard]
	if s.exists && version <= s.version {
		l.mu.Unlock()
		return
	}
	acquired := s.last.Epoch != w.next.Epoch
	s.exists, s.version, s.last, s.firstSeen = true, version, w.next, time.Now()
	s.mine = w.next.Holder != ""
	s.deadline = time.Time{}
	if s.mine {
		s.deadline = sent.Add(l.Duration - l.Drift)
	}
	changed := s.takeFact(w.next.Holder, w.next.Epoch)
	l.mu.Unlock()
	if changed {
		l.notify.Notify()
	}
	if acquired || w.next.Holder == "" {
		logger.LogDecision(l.Log, logger.Decision{
			Kind: "lease", Subject: w.next.Shard, Chosen: w.next.Holder, Reason: w.reason,
		}, zap.Uint64("epoch", w.next.Epoch))
	}
}

// forget records that the lease object does not exist. The epoch is kept, so
// that a new object continues from it.
func (l *Leaser) forget(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shards[name]
	s.exists, s.mine, s.deadline = false, false, time.Time{}
}

// release gives up all leases when the daemon stops.
func (l *Leaser) release(ctx context.Context) {
	l.mu.Lock()
	var writes []*write
	for _, s := range l.shards {
		if s.mine {
			writes = append(writes, l.releaseOf(s, "daemon stops"))
		}
	}
	l.mu.Unlock()
	if err := l.runWrites(ctx, writes); err != nil {
		l.Log.Warn("leases not released; others take them over when they expire", zap.Error(err))
	}
}
