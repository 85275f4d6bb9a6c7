package blocker

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// partRecords holds the crashes and successes of parts.
type partRecords struct {
	suspects map[Fingerprint]*suspect
	// repeated holds the suspects with crashes of several replicas.
	repeated map[Fingerprint]*suspect
	// blocked holds the suspects that are or were blocked.
	blocked map[Fingerprint]*suspect
	// successes are those on this daemon, and reported those on others.
	successes, reported successLog
}

// lastSuccess returns when a request with the part last succeeded anywhere, or zero.
func (r *partRecords) lastSuccess(part Fingerprint) time.Time {
	return later(r.successes.last(part), r.reported.last(part))
}

// count counts the crashes of a part that no stronger suspect explains.
func (r *partRecords) count(part Fingerprint, s *suspect, rivals []rival, now time.Time) (crashes, requests int) {
	lastSuccess := r.lastSuccess(part)
	crashes, requests = s.count(lastSuccess, now, notExplained)
	if crashes < minSuspectCrashes {
		return crashes, requests
	}
	own := r.strength(part, s, now)
	return s.count(lastSuccess, now, func(replica string) bool {
		return slices.ContainsFunc(rivals, func(other rival) bool {
			return other.suspect != s && other.suspect.hasCrashOf(replica) && other.exceeds(own)
		})
	})
}

// strength compares suspects that were part of the same crashes.
type strength struct {
	part        Fingerprint
	replicas    int
	lastSuccess time.Time
}

func (r *partRecords) strength(part Fingerprint, s *suspect, now time.Time) strength {
	out := strength{part: part, lastSuccess: r.lastSuccess(part)}
	for _, c := range s.crashes {
		if c.counts(out.lastSuccess, now) {
			out.replicas++
		}
	}
	return out
}

// rival is a suspect that may explain the crashes of others.
type rival struct {
	strength
	suspect *suspect
}

// rivalKey holds what suspects need to have in common to explain the same crashes.
type rivalKey struct {
	replicas    uint64
	lastSuccess int64
}

// rivals returns the suspects that may explain crashes of others. Of those with the same
// crashes and the same last success, it returns the strongest one, so that there are few
// even if prompts have thousands of parts in common.
func (r *partRecords) rivals(now time.Time) []rival {
	strongest := map[rivalKey]rival{}
	for part, s := range r.repeated {
		candidate := rival{strength: r.strength(part, s, now), suspect: s}
		if candidate.replicas < minSuspectCrashes {
			continue
		}
		key := rivalKey{replicas: s.replicas, lastSuccess: candidate.lastSuccess.UnixNano()}
		if known, ok := strongest[key]; !ok || candidate.exceeds(known.strength) {
			strongest[key] = candidate
		}
	}
	return slices.Collect(maps.Values(strongest))
}

// exceeds reports whether s is the more probable cause: it was part of more crashes, or of
// about as many and has been without success for longer. A difference of one crash means
// little, because the reports of a crash arrive one by one.
func (s strength) exceeds(other strength) bool {
	switch {
	case s.replicas < minSuspectCrashes:
		return false
	case s.replicas > other.replicas+1:
		return true
	case s.replicas < other.replicas-1:
		return false
	}
	return cmp.Or(s.lastSuccess.Compare(other.lastSuccess), cmp.Compare(s.part, other.part)) < 0
}

func notExplained(string) bool { return false }

// add returns the suspect for a part. If there are too many, others make room.
func (r *partRecords) add(part Fingerprint, now time.Time) *suspect {
	if s := r.suspects[part]; s != nil {
		return s
	}
	if r.suspects == nil {
		r.suspects, r.repeated, r.blocked = map[Fingerprint]*suspect{}, map[Fingerprint]*suspect{}, map[Fingerprint]*suspect{}
	}
	if len(r.suspects) >= maxSuspects {
		r.evict(now)
	}
	s := &suspect{}
	r.suspects[part] = s
	return s
}

// evict removes a quarter of the suspects: those with the oldest last crashes, and after them
// those of several crashes and the blocked ones.
func (r *partRecords) evict(now time.Time) {
	for _, part := range leastQuarter(r.suspects, func(x, y *suspect) int {
		return cmp.Or(cmp.Compare(x.rank(now), y.rank(now)), x.lastCrash.Compare(y.lastCrash))
	}) {
		r.remove(part)
	}
}

func (r *partRecords) remove(part Fingerprint) {
	delete(r.suspects, part)
	delete(r.repeated, part)
	delete(r.blocked, part)
}

// recordCrash records a crash for its parts, reports whether it was unknown for one of
// them, and returns the decisions that follow. Parts for which it was known, as in a notice
// that is repeated, are not decided again.
func (r *partRecords) recordCrash(c Crash, now time.Time) (isNew bool, decisions []Decision) {
	var unknown []Fingerprint
	for _, part := range c.Parts {
		s := r.add(part, now)
		if s.add(c, now) {
			unknown = append(unknown, part)
		}
		if len(s.crashes) >= minSuspectCrashes {
			r.repeated[part] = s
		}
		decisions = r.vouch(decisions, part, s, false, now)
	}
	if len(unknown) == 0 {
		return false, decisions
	}
	rivals := r.rivals(now)
	for _, part := range unknown {
		decisions = r.decide(decisions, part, rivals, now)
	}
	return true, decisions
}

// decide suspects or blocks a part after a crash.
func (r *partRecords) decide(decisions []Decision, part Fingerprint, rivals []rival, now time.Time) []Decision {
	s := r.suspects[part]
	if s == nil {
		return decisions
	}
	crashes, requests := r.count(part, s, rivals, now)
	d := Decision{Part: part, Crashes: crashes, Requests: requests, LastCrash: s.lastCrash, LastSuccess: r.lastSuccess(part)}
	switch {
	case crashes == 0:
		return decisions
	case s.inForce(now):
		s.blockedUntil = later(s.blockedUntil, now.Add(crashTTL))
		return decisions
	case crashes >= minCrashes && requests >= minCrashes, !s.blockedUntil.IsZero():
		s.blockedUntil, s.suspected = now.Add(crashTTL), true
		r.blocked[part] = s
		d.Kind = Blocked
		return r.lift(append(decisions, d), rivals, now)
	case crashes >= minSuspectCrashes && !s.suspected:
		s.suspected = true
		d.Kind = Suspected
		return append(decisions, d)
	}
	return decisions
}

// lift ends blocks of which the crashes have turned out to be explained by another part.
func (r *partRecords) lift(decisions []Decision, rivals []rival, now time.Time) []Decision {
	for part, s := range r.blocked {
		if !s.inForce(now) || len(s.crashes) == 0 {
			continue
		}
		all, _ := s.count(r.lastSuccess(part), now, notExplained)
		crashes, requests := r.count(part, s, rivals, now)
		if crashes == all || crashes >= minCrashes {
			continue
		}
		s.blockedUntil, s.suspected = time.Time{}, false
		delete(r.blocked, part)
		decisions = append(decisions, Decision{Kind: Cleared, Part: part, Crashes: crashes, Requests: requests, LastCrash: s.lastCrash, LastSuccess: r.lastSuccess(part)})
	}
	return decisions
}

// recordBlock adopts a block of another daemon unless this one knows a success, or
// another cause of the crashes.
func (r *partRecords) recordBlock(p PartTime, now time.Time) (isNew bool, decisions []Decision) {
	if now.Sub(p.At) >= crashTTL {
		return false, nil
	}
	s := r.add(p.Part, now)
	s.lastCrash = later(s.lastCrash, p.At)
	lastSuccess := r.lastSuccess(p.Part)
	if !p.At.After(lastSuccess.Add(successShield)) {
		return false, r.vouch(nil, p.Part, s, true, now)
	}
	rivals := r.rivals(now)
	crashes, requests := r.count(p.Part, s, rivals, now)
	all, _ := s.count(lastSuccess, now, notExplained)
	if all > 0 && crashes == 0 {
		return false, nil
	}
	until := p.At.Add(crashTTL)
	// Messages take time: without a minimum difference, daemons would extend the block
	// for each other.
	if until.Sub(s.blockedUntil) < blockExtension {
		return false, nil
	}
	wasInForce := s.inForce(now)
	s.blockedUntil, s.suspected = until, true
	r.blocked[p.Part] = s
	if !wasInForce {
		decisions = append(decisions, Decision{Kind: Blocked, Part: p.Part, Crashes: crashes, Requests: requests, LastCrash: p.At, LastSuccess: lastSuccess, Reported: true})
	}
	return true, r.lift(decisions, rivals, now)
}

// vouch decides to tell the other daemons of a success on this one if, without it, they
// suspect the part. isBlocked is set if another daemon has blocked it.
func (r *partRecords) vouch(decisions []Decision, part Fingerprint, s *suspect, isBlocked bool, now time.Time) []Decision {
	own, reported := r.successes.last(part), r.reported.last(part)
	if now.Sub(own) >= crashTTL || own.Sub(reported) <= successInterval || now.Sub(s.vouchedAt) < successInterval {
		return decisions
	}
	crashes, requests := s.count(reported, now, notExplained)
	if crashes < minSuspectCrashes && !isBlocked && !s.inForce(now) {
		return decisions
	}
	s.vouchedAt = now
	return append(decisions, Decision{Kind: Vouched, Part: part, Crashes: crashes, Requests: requests, LastCrash: s.lastCrash, LastSuccess: own})
}

// clear removes a suspect after a success that is not much older than its last crash.
func (r *partRecords) clear(decisions []Decision, part Fingerprint, s *suspect, reported bool, now time.Time) []Decision {
	lastSuccess := r.lastSuccess(part)
	if s.lastCrash.After(lastSuccess.Add(successShield)) {
		return decisions
	}
	r.remove(part)
	if !s.suspected && !s.inForce(now) {
		return decisions
	}
	return append(decisions, Decision{Kind: Cleared, Part: part, LastCrash: s.lastCrash, LastSuccess: lastSuccess, Reported: reported})
}

// successLog holds the time of the last success of each part. The older half is
// discarded after crashTTL, or earlier if there are too many parts.
type successLog struct {
	recent, older map[Fingerprint]time.Time
	began         time.Time
}

func (l *successLog) last(part Fingerprint) time.Time { return later(l.recent[part], l.older[part]) }

func (l *successLog) record(part Fingerprint, at, now time.Time) {
	if l.recent == nil || len(l.recent) >= maxSuccesses/2 || now.Sub(l.began) >= crashTTL {
		l.recent, l.older, l.began = map[Fingerprint]time.Time{}, l.recent, now
	}
	l.recent[part] = later(l.last(part), at)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
