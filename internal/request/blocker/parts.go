package blocker

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCrashes is the number of crashes, of distinct replicas and under distinct
	// requests, after which a part is blocked. Parts beside the cause are seldom part
	// of so many without a success in between.
	minCrashes = 3
	// minSuspectCrashes is the number of crashes after which daemons that know
	// successes of a part tell the others.
	minSuspectCrashes = 2
	// crashSpacing is the time within which crashes count as one. When a VM or a link
	// fails, connections to many replicas break at once.
	crashSpacing = 200 * time.Millisecond
	// successShield is the time after a success of a part in which crashes do not count.
	// It keeps popular parts usable, of which some request is part of each crash.
	successShield = 2 * time.Second
	// successInterval is the time between reports of the successes of a part.
	successInterval = 500 * time.Millisecond
	// blockExtension is the minimum time by which the report of another daemon extends
	// a block.
	blockExtension = time.Second
	// maxSuccesses and maxSuspects limit memory use. Both hold all parts of a prompt whose
	// header has 64 KiB, the maximum.
	maxSuccesses = 32768
	maxSuspects  = 16384
	// maxCrashesPerPart and maxRequestsPerCrash are more than a decision needs.
	maxCrashesPerPart   = 16
	maxRequestsPerCrash = minCrashes
	// MaxBlocks is the maximum number of blocks that are reported to other daemons.
	MaxBlocks = 16
)

// DecisionKind is what was decided about a part.
type DecisionKind string

// Kinds of decisions.
const (
	Suspected DecisionKind = "part-suspected"
	Blocked   DecisionKind = "part-blocked"
	Cleared   DecisionKind = "part-cleared"
	// Vouched means that this daemon knows a success of a part that others may suspect.
	Vouched DecisionKind = "part-vouched"
)

// Decision is a decision about a part with its inputs.
type Decision struct {
	Kind DecisionKind
	Part Fingerprint
	// Crashes and Requests are the crashes that count and the distinct requests in them.
	Crashes, Requests int
	// LastCrash and LastSuccess are zero if none is known.
	LastCrash, LastSuccess time.Time
	// Reported is set if another daemon made the decision.
	Reported bool
}

// PartTime is a part with the time of its last success, or of the last crash of a
// blocked one.
type PartTime struct {
	Part Fingerprint
	At   time.Time
}

// PartHasher computes the fingerprints of parts of prompts for one model.
type PartHasher struct {
	digest xxhash.Digest
	prefix string
}

// NewPartHasher returns a hasher for a model.
func NewPartHasher(model string) *PartHasher {
	return &PartHasher{prefix: strconv.Itoa(len(model)) + ":" + model + ":"}
}

// Fingerprint returns the fingerprint of a part. The length of the model's name is part of
// what is hashed, so that the boundary counts.
func (h *PartHasher) Fingerprint(part string) Fingerprint {
	h.digest.Reset()
	_, _ = h.digest.WriteString(h.prefix)
	_, _ = h.digest.WriteString(part)
	return Fingerprint(h.digest.Sum64())
}

// RecordPartSuccess records that a replica began to answer a request with these parts at
// a time, and went on.
func (b *Blocker) RecordPartSuccess(parts []Fingerprint, at, now time.Time) {
	if len(parts) == 0 {
		return
	}
	b.mu.Lock()
	var decisions []Decision
	for _, part := range parts {
		b.parts.successes.record(part, at, now)
		if s := b.parts.suspects[part]; s != nil {
			decisions = b.parts.vouch(decisions, part, s, false, now)
			decisions = b.parts.clear(decisions, part, s, false, now)
		}
	}
	b.mu.Unlock()
	b.report(decisions)
}

// RecordReportedSuccess records a success on another daemon and reports whether it is
// considerably later than the last one that was reported.
func (b *Blocker) RecordReportedSuccess(p PartTime, now time.Time) bool {
	b.mu.Lock()
	isNew := p.At.Sub(b.parts.reported.last(p.Part)) > successInterval
	b.parts.reported.record(p.Part, p.At, now)
	var decisions []Decision
	if s := b.parts.suspects[p.Part]; s != nil {
		decisions = b.parts.clear(decisions, p.Part, s, true, now)
	}
	b.mu.Unlock()
	b.report(decisions)
	return isNew
}

// RecordReportedBlock records that another daemon blocks a part, and reports whether this
// was unknown and does not contradict what this daemon knows.
func (b *Blocker) RecordReportedBlock(p PartTime, now time.Time) bool {
	b.mu.Lock()
	isNew, decisions := b.parts.recordBlock(p, now)
	b.mu.Unlock()
	b.report(decisions)
	return isNew
}

// SuspectParts returns the parts that may have caused a crash: those without a recent
// success. Parts of earlier crashes come first, because messages to other daemons are
// limited.
func (b *Blocker) SuspectParts(parts []Fingerprint, now time.Time) []Fingerprint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var known, unknown []Fingerprint
	for _, part := range parts {
		switch {
		case !now.After(b.parts.lastSuccess(part).Add(successShield)):
		case b.parts.suspects[part] != nil:
			known = append(known, part)
		default:
			unknown = append(unknown, part)
		}
	}
	return append(known, unknown...)
}

// PartBlocked reports whether one of the parts is blocked.
func (b *Blocker) PartBlocked(parts []Fingerprint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.parts.blocked) == 0 {
		return false
	}
	for _, part := range parts {
		if s := b.parts.blocked[part]; s != nil && s.inForce(now) {
			return true
		}
	}
	return false
}

// PartSuspected reports whether one of the parts was in more than one crash that no other
// part explains.
func (b *Blocker) PartSuspected(parts []Fingerprint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.parts.suspects) == 0 {
		return false
	}
	rivals := b.parts.rivals(now)
	for _, part := range parts {
		s := b.parts.suspects[part]
		if s == nil {
			continue
		}
		if crashes, _ := b.parts.count(part, s, rivals, now); crashes >= minSuspectCrashes {
			return true
		}
	}
	return false
}

// Blocks returns the newest blocks in force with the times of their last crashes.
func (b *Blocker) Blocks(now time.Time) []PartTime {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []PartTime
	for part, s := range b.parts.blocked {
		if s.inForce(now) {
			out = append(out, PartTime{Part: part, At: s.blockedUntil.Add(-crashTTL)})
		}
	}
	slices.SortFunc(out, func(x, y PartTime) int { return cmp.Or(y.At.Compare(x.At), cmp.Compare(x.Part, y.Part)) })
	return out[:min(len(out), MaxBlocks)]
}

// report passes decisions on. It is called without the lock.
func (b *Blocker) report(decisions []Decision) {
	if b.OnDecision == nil {
		return
	}
	for _, d := range decisions {
		b.OnDecision(d)
	}
}
