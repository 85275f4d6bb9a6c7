// Package blocker blocks requests that crash every replica that runs them, and requests
// with a shared part of the prompt that does so. Daemons exchange the crashes that they
// observe and decide independently, without coordination. Package isolator, in contrast,
// gives suspected requests trial runs one at a time, which needs an owner for each
// request.
package blocker

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// minCrashedReplicas is the number of distinct replicas that must crash while
	// running a request before it is blocked. A harmless request that ran
	// concurrently with the cause of a crash is unlikely to be part of so many
	// crashes.
	minCrashedReplicas = 3
	// sweepInterval is the time between searches for records that have expired.
	sweepInterval = time.Second
	// crashTTL is how long the crashes of a request count after the last one.
	crashTTL = 60 * time.Second
	// maxBlockTime is the time after the last crash until which a block is extended while
	// its request is refused, and in which one more crash blocks the request again.
	maxBlockTime = 10 * time.Minute
	// minCrashTimes is the number of separate times of its crashes from which on the block
	// of a request is extended. When a VM or a link fails, all connections break at once.
	minCrashTimes = 2
	// maxFingerprints is the maximum number of requests whose crashes are recorded,
	// which limits memory use. Others make room for further ones.
	maxFingerprints = 4096
)

// Fingerprint identifies requests that look the same to a replica.
type Fingerprint uint64

// NewFingerprint hashes the parts of a request that a replica receives. The parts
// are prefixed with their lengths, so that their boundaries count.
func NewFingerprint(parts ...string) Fingerprint {
	h := fnv.New64a()
	for _, part := range parts {
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return Fingerprint(h.Sum64())
}

// Crash reports that a replica crashed while it ran a request. A connection that
// breaks during the request counts as a crash.
type Crash struct {
	Fingerprint Fingerprint
	// Replica identifies one incarnation of the replica.
	Replica string
	// Parts are the shared parts of the prompt that may have caused the crash.
	Parts []Fingerprint
}

// Blocker holds the recent crashes. The zero value is ready to use.
type Blocker struct {
	// OnDecision is called, if set, for each decision about a part.
	OnDecision func(d Decision)

	mu      sync.Mutex
	records map[Fingerprint]*crashRecord
	sweptAt time.Time
	parts   partRecords
}

// crashRecord holds the crashes of replicas that ran a request.
type crashRecord struct {
	// crashes are in the order of their times, one for each replica.
	crashes []replicaCrash
	// extendedUntil is the end of a block that was extended, here or by another daemon.
	extendedUntil time.Time
	// succeededAt is when a replica completed the request. Crashes before it do not count.
	succeededAt time.Time
}

// replicaCrash is the crash of a replica that ran a request.
type replicaCrash struct {
	replica string
	at      time.Time
}

// add adds a crash and reports whether it was unknown and counts.
func (r *crashRecord) add(replica string, at time.Time) bool {
	if !at.After(r.succeededAt) || slices.ContainsFunc(r.crashes, func(c replicaCrash) bool { return c.replica == replica }) {
		return false
	}
	r.crashes = append(r.crashes, replicaCrash{replica, at})
	slices.SortStableFunc(r.crashes, func(x, y replicaCrash) int { return x.at.Compare(y.at) })
	return true
}

func (r *crashRecord) lastCrash() time.Time {
	if len(r.crashes) == 0 {
		return time.Time{}
	}
	return r.crashes[len(r.crashes)-1].at
}

// times returns the number of separate times at which replicas crashed.
func (r *crashRecord) times() (n int) {
	var last time.Time
	for _, c := range r.crashes {
		if n == 0 || c.at.Sub(last) >= crashSpacing {
			n++
			last = c.at
		}
	}
	return n
}

// weight returns the number of crashes that the record stands for.
func (r *crashRecord) weight() int {
	if !r.extendedUntil.IsZero() {
		return max(len(r.crashes), minCrashedReplicas)
	}
	return len(r.crashes)
}

// lastEvent returns the time from which the record is kept.
func (r *crashRecord) lastEvent() time.Time {
	return later(later(r.lastCrash(), r.succeededAt), r.extendedUntil.Add(-crashTTL))
}

// isExpired reports whether the record counts no longer. Crashes that have blocked the request
// count for longer.
func (r *crashRecord) isExpired(now time.Time) bool {
	if len(r.crashes) >= minCrashedReplicas && now.Sub(r.lastCrash()) < maxBlockTime {
		return false
	}
	return now.Sub(r.lastEvent()) >= crashTTL
}

// blockEnd returns the end of the block, which is in the past if there is none.
func (r *crashRecord) blockEnd() time.Time {
	if len(r.crashes) >= minCrashedReplicas {
		return later(r.extendedUntil, r.lastCrash().Add(crashTTL))
	}
	return r.extendedUntil
}

// RecordCrash records a crash observed by this or another daemon and reports whether
// it was new. now is the time of the crash.
func (b *Blocker) RecordCrash(c Crash, now time.Time) bool {
	b.mu.Lock()
	isNew := b.recordRequest(c, now)
	partIsNew, decisions := b.parts.recordCrash(c, now)
	b.mu.Unlock()
	b.report(decisions)
	return isNew || partIsNew
}

// recordRequest records a crash for the request as a whole.
func (b *Blocker) recordRequest(c Crash, now time.Time) bool {
	return b.record(c.Fingerprint, now).add(c.Replica, now)
}

// record returns the record of a request, which is empty if it is new or has expired.
func (b *Blocker) record(f Fingerprint, now time.Time) *crashRecord {
	r := b.records[f]
	if r != nil && !r.isExpired(now) {
		return r
	}
	if b.records == nil {
		b.records = map[Fingerprint]*crashRecord{}
	}
	if now.Sub(b.sweptAt) >= sweepInterval {
		b.sweptAt = now
		b.removeExpired(now)
	}
	if r == nil && len(b.records) >= maxFingerprints {
		b.evict()
	}
	r = &crashRecord{}
	b.records[f] = r
	return r
}

// RecordSuccess discards the recorded crashes of a request, and the block that another
// daemon reported, after a replica has completed it.
func (b *Blocker) RecordSuccess(f Fingerprint, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.records[f] != nil {
		b.records[f] = &crashRecord{succeededAt: now}
	}
}

// Blocked reports whether the request must not be sent to a replica.
func (b *Blocker) Blocked(f Fingerprint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[f]
	return r != nil && now.Before(r.blockEnd())
}

// RecordRefusal extends the block of a request that was refused because of it: the request
// still comes, and would crash further replicas. A block that only another daemon knows the
// crashes of is not extended, so that daemons do not extend it for each other without end.
func (b *Blocker) RecordRefusal(f Fingerprint, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[f]
	if r == nil || len(r.crashes) < minCrashedReplicas || r.times() < minCrashTimes || !now.Before(r.blockEnd()) {
		return
	}
	until := now.Add(crashTTL)
	if limit := r.lastCrash().Add(maxBlockTime); until.After(limit) {
		until = limit
	}
	r.extendedUntil = later(r.extendedUntil, until)
}

// evict removes a quarter of the records: those of the fewest crashes, and of these the oldest.
func (b *Blocker) evict() {
	for _, f := range leastQuarter(b.records, func(x, y *crashRecord) int {
		return cmp.Or(cmp.Compare(x.weight(), y.weight()), x.lastEvent().Compare(y.lastEvent()))
	}) {
		delete(b.records, f)
	}
}

// leastQuarter returns the keys of a quarter of the records: the first ones in the given order.
func leastQuarter[R any](records map[Fingerprint]R, compare func(x, y R) int) []Fingerprint {
	keys := slices.Collect(maps.Keys(records))
	slices.SortFunc(keys, func(f, g Fingerprint) int { return compare(records[f], records[g]) })
	return keys[:len(keys)/4]
}

// removeExpired removes records whose last event is too old to count.
func (b *Blocker) removeExpired(now time.Time) {
	for f, r := range b.records {
		if r.isExpired(now) {
			delete(b.records, f)
		}
	}
}
