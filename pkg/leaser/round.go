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

// round renews the held leases, reads the other leases when a read is due, and
// takes over those that their holders have stopped renewing.
func (l *Leaser) round(ctx context.Context, now time.Time) error {
	candidates := l.candidates(now)
	if l.lastRoundFailed {
		// A single read checks whether the object API is available again. Without
		// it, every round of an outage would make two calls per lease.
		if err := l.readLeases(ctx); err != nil {
			return err
		}
		l.lastRoundFailed = false
	}
	if err := l.runWrites(ctx, l.renewals(now, candidates)); err != nil {
		return err
	}
	if !l.readDue(now, candidates) {
		return nil
	}
	if err := l.readLeases(ctx); err != nil {
		return err
	}
	return l.runWrites(ctx, l.takeovers(time.Now(), candidates))
}

// readLeases reads all leases in one call.
func (l *Leaser) readLeases(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, err := l.API.List(ctx, Prefix)
	if err != nil {
		return err
	}
	now := time.Now()
	for _, o := range objects {
		l.recordRead(o, now)
	}
	return nil
}

// write is a conditional write of a lease object. previousVersion is the
// version that it replaces, or 0 when the object does not exist.
type write struct {
	leaser          *Leaser
	ctx             context.Context
	next            record
	previousVersion uint64
	reason          string
}

func (l *Leaser) runWrites(ctx context.Context, writes []*write) error {
	// A failed write does not cancel the others, because their responses would
	// be lost.
	var group errgroup.Group
	group.SetLimit(maxConcurrentWrites)
	for _, w := range writes {
		w.ctx = ctx
		group.Go(w.run)
	}
	return group.Wait()
}

// renewals returns the writes for the held leases. These are renewals, except
// that at most one lease per round is released when its hand-over is due.
func (l *Leaser) renewals(now time.Time, candidates []string) []*write {
	l.mu.Lock()
	defer l.mu.Unlock()
	var writes []*write
	released := false
	for _, s := range l.leases {
		if !s.held {
			continue
		}
		if !released && l.handOverDue(s, now, candidates) {
			released = true
			writes = append(writes, l.newRelease(s, "another VM is preferred"))
			continue
		}
		writes = append(writes, l.newWrite(s, s.last.Epoch, "renewal"))
	}
	return writes
}

// handOverDue reports whether another VM has been preferred for the lease for
// long enough to release it.
func (l *Leaser) handOverDue(s *leaseState, now time.Time, candidates []string) bool {
	if l.position(s.shard, candidates) == 0 {
		s.otherPreferredSince = time.Time{}
		return false
	}
	if s.otherPreferredSince.IsZero() {
		s.otherPreferredSince = now
	}
	return now.Sub(s.otherPreferredSince) >= l.HandOverDelay<<min(s.handOvers, maxHandOverDoublings)
}

// newRelease returns a write that releases the lease. It ends the use of the
// lease immediately, before the release is sent.
func (l *Leaser) newRelease(s *leaseState, reason string) *write {
	w := l.newWrite(s, s.last.Epoch, reason)
	w.next.Holder = ""
	s.held = false
	s.handOvers++
	s.deadline = time.Time{}
	s.otherPreferredSince = time.Time{}
	return w
}

func (l *Leaser) newWrite(s *leaseState, epoch uint64, reason string) *write {
	l.lastRenewal++
	w := &write{leaser: l, reason: reason, next: record{
		Shard:      s.shard,
		Holder:     l.VM,
		Epoch:      epoch,
		DurationMS: l.Duration.Milliseconds(),
		Writer:     l.writer,
		Renewal:    l.lastRenewal,
	}}
	if s.exists {
		w.previousVersion = s.version
	}
	return w
}

// readDue reports whether this daemon must read the leases in this round: in
// every round if it is a preferred reader of a lease that it does not hold, and
// otherwise when nextRead has passed.
func (l *Leaser) readDue(now time.Time, candidates []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	unheld, preferred := false, false
	for _, name := range l.Shards {
		if l.leases[name].held {
			continue
		}
		unheld = true
		preferred = preferred || l.position(name, candidates) < preferredReaders
	}
	if !unheld || (!preferred && now.Before(l.nextRead)) {
		return false
	}
	l.nextRead = now.Add(idleReadInterval/2 + time.Duration(l.jitter()*float64(idleReadInterval)))
	return true
}

// recordRead updates the state of a lease from an object that was read.
func (l *Leaser) recordRead(o adapter.Object, now time.Time) {
	r, err := decodeRecord(o)
	if err != nil {
		l.Log.Warn("lease object cannot be decoded", zap.Error(err))
		return
	}
	l.mu.Lock()
	s := l.leases[r.Shard]
	if s == nil {
		s = &leaseState{shard: r.Shard}
		l.leases[r.Shard] = s
	}
	changed := s.update(r, o, now, l.writer)
	l.mu.Unlock()
	if changed {
		l.notify.Notify()
	}
}

// update records a version that was read. It reports whether the holder or the
// epoch changed.
func (s *leaseState) update(r record, o adapter.Object, now time.Time, writer string) bool {
	if !s.isNewer(o) {
		return false
	}
	s.exists, s.version, s.era, s.last, s.unchangedSince = true, o.Version, o.Era, r, now
	held := r.Writer == writer && r.Holder != "" && r.Epoch > o.Era*epochsPerEra
	if !held || !s.held {
		// A write of this process that took effect late makes it the holder, but
		// only a renewal with a known send time sets a deadline.
		s.deadline = time.Time{}
	}
	s.held = held
	return s.updateHolder(r.Holder, r.Epoch)
}

// isNewer reports whether an object is newer than the known version.
func (s *leaseState) isNewer(o adapter.Object) bool {
	return !s.exists || o.Era > s.era || (o.Era == s.era && o.Version > s.version)
}

// updateHolder reports whether the holder or the epoch changed. It ignores a
// lower epoch.
func (s *leaseState) updateHolder(holder string, epoch uint64) bool {
	if epoch < s.epoch || (epoch == s.epoch && holder == s.holder) {
		return false
	}
	s.holder, s.epoch = holder, epoch
	return true
}

// takeovers returns the writes that acquire leases that do not exist, were
// released or were not renewed in time.
func (l *Leaser) takeovers(now time.Time, candidates []string) []*write {
	l.mu.Lock()
	defer l.mu.Unlock()
	firstEpoch := adapter.EraOf(l.API)*epochsPerEra + 1
	var writes []*write
	for _, name := range l.Shards {
		s := l.leases[name]
		if s.held {
			continue
		}
		if s.unchangedSince.IsZero() {
			s.unchangedSince = now
		}
		position := min(l.position(name, candidates), maxTakeoverDelaySteps)
		if now.Sub(s.unchangedSince) < l.takeoverDelay(s, position, firstEpoch) {
			continue
		}
		reason := "not renewed in time"
		if s.last.Holder == "" {
			reason = "held by nobody"
		}
		writes = append(writes, l.newWrite(s, max(s.last.Epoch+1, s.epoch+1, firstEpoch), reason))
	}
	return writes
}

// takeoverDelay returns how long the version of a lease must be unchanged before
// a daemon at this position in the order of preference takes it over. A lease of
// an earlier era may be in use without a record of it in the store.
func (l *Leaser) takeoverDelay(s *leaseState, position int, firstEpoch uint64) time.Duration {
	mayBeLost := firstEpoch > 1 && max(s.last.Epoch, s.epoch) < firstEpoch
	if !mayBeLost && (!s.exists || s.last.Holder == "") {
		// With half a renewal interval per position, the second daemon acquires
		// the lease in its next round if the first one does not.
		return time.Duration(position) * l.RenewInterval / 2
	}
	expiry := max(l.Duration, time.Duration(s.last.DurationMS)*time.Millisecond)
	return expiry + l.DriftMargin + time.Duration(position)*takeoverDelayStep
}

// run performs the write. A conflict is an expected result and not an error; an
// error is returned when the object API did not answer or the object read back
// cannot be decoded.
func (w *write) run() error {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	sent := w.leaser.withSuspensions(time.Now())
	object, err := w.send(ctx)
	if err == nil {
		w.recordWritten(object, sent)
		return nil
	}
	var unavailable *adapter.UnavailableError
	if errors.As(err, &unavailable) && unavailable.Refused {
		return err
	}
	return w.readBack(sent, err)
}

func (w *write) send(ctx context.Context) (adapter.Object, error) {
	key := Prefix + w.next.Shard
	if w.previousVersion == 0 {
		return w.leaser.API.Create(ctx, key, encodeRecord(w.next))
	}
	return w.leaser.API.Update(ctx, key, encodeRecord(w.next), w.previousVersion)
}

// readBack determines the result of a write that conflicted or got no response.
// A write also conflicts with an earlier write of this process whose response
// was lost.
func (w *write) readBack(sent time.Time, cause error) error {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	object, err := w.leaser.API.Get(ctx, Prefix+w.next.Shard)
	var notFound *adapter.NotFoundError
	if errors.As(err, &notFound) {
		w.leaser.recordDeleted(w.next.Shard)
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
		w.recordWritten(object, sent)
		return nil
	}
	w.leaser.recordRead(object, time.Now())
	return nil
}

// recordWritten records a write that took effect. The deadline counts from the
// time of sending, because other daemons may have read the version since then. A
// write with an epoch of an earlier era gives no lease.
func (w *write) recordWritten(o adapter.Object, sent time.Time) {
	l := w.leaser
	l.mu.Lock()
	s := l.leases[w.next.Shard]
	if !s.isNewer(o) {
		l.mu.Unlock()
		return
	}
	acquired := s.last.Epoch != w.next.Epoch
	s.exists, s.version, s.era, s.last, s.unchangedSince = true, o.Version, o.Era, w.next, time.Now()
	s.held = w.next.Holder != "" && w.next.Epoch > o.Era*epochsPerEra
	s.deadline = time.Time{}
	if s.held {
		s.deadline = sent.Add(l.Duration - l.DriftMargin)
	}
	changed := s.updateHolder(w.next.Holder, w.next.Epoch)
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

// recordDeleted records that the lease object does not exist. The epoch is kept,
// so that a new object continues from it.
func (l *Leaser) recordDeleted(shard string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.leases[shard]
	s.exists, s.held, s.deadline, s.unchangedSince = false, false, time.Time{}, time.Now()
}

// releaseAll releases all held leases when the daemon stops.
func (l *Leaser) releaseAll(ctx context.Context) {
	l.mu.Lock()
	var writes []*write
	for _, s := range l.leases {
		if s.held {
			writes = append(writes, l.newRelease(s, "daemon stops"))
		}
	}
	l.mu.Unlock()
	if err := l.runWrites(ctx, writes); err != nil {
		l.Log.Warn("leases not released; other daemons take them over after they expire", zap.Error(err))
	}
}
