package isolator

import (
	"fmt"
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// shard is the state of one isolation shard. It is used in the daemon that owns the
// shard, and in others while they cannot reach the owner.
type shard struct {
	// loaded is set once the stored blocks have been read.
	loaded bool
	// version is the version of the stored block list as last read or written, or
	// 0 if there is none.
	version uint64
	// era is the era of the store that had this version.
	era      uint64
	suspects map[string]*suspect
	// trials counts the granted trial permits.
	trials uint64
}

// suspect is a fingerprint that is suspect or blocked.
type suspect struct {
	// vms are the VMs of the backend servers that crashed while the request was in
	// progress, in the order of the crashes.
	vms []string
	// soleCrashes counts the crashes with no other request in progress. Only these
	// identify the request as the cause.
	soleCrashes  int
	updatedAt    time.Time
	blockedUntil time.Time
	// trial identifies the current trial permit. It is empty if there is none.
	trial      string
	trialUntil time.Time
	// crashedTrial is the permit of the last trial that crashed. It is kept so that
	// repeated reports of the crash count once.
	crashedTrial string
	sequence     uint64
	// isStored is set once the block is in the stored block list, which operators
	// edit.
	isStored bool
}

// handle applies one request. It returns the reply and whether the suspicion of the
// fingerprint has changed and must be sent to the other daemons.
func (s *shard) handle(req *messenger.SuspectRequest, now time.Time) (*messenger.SuspectReply, bool) {
	if s.suspects == nil {
		s.suspects = map[string]*suspect{}
	}
	s.expire(now)
	known := s.suspects[req.GetFingerprint()]
	switch {
	case req.GetCrashed() && known == nil && len(s.suspects) >= maxSuspects:
		return &messenger.SuspectReply{}, false
	case req.GetCrashed():
		return s.recordCrash(req, known, now), true
	case req.GetSucceeded():
		return s.recordSuccess(req, known, now)
	case req.GetAskTrial():
		return s.grantTrial(req, known, now), false
	}
	// A trial that neither crashed nor succeeded returns its permit.
	if known != nil && req.GetTrial() != "" && req.GetTrial() == known.trial {
		known.trial = ""
	}
	return known.reply(now), false
}

func (s *shard) recordCrash(req *messenger.SuspectRequest, known *suspect, now time.Time) *messenger.SuspectReply {
	if known == nil {
		known = &suspect{}
		s.suspects[req.GetFingerprint()] = known
	}
	known.updatedAt = now
	known.sequence = nextSequence(known.sequence, now)
	// Each crash of a trial is counted, because a trial runs alone and is the only
	// cause. The permit may have been granted by a former owner of the shard.
	// Other crashes are counted once per VM, because several entry daemons can
	// report the same crash.
	trialCrashed := req.GetTrial() != "" && req.GetTrial() != known.crashedTrial
	if !trialCrashed && slices.Contains(known.vms, req.GetVm()) {
		return known.reply(now)
	}
	if len(known.vms) < maxVMs {
		known.vms = append(known.vms, req.GetVm())
	}
	if trialCrashed {
		known.crashedTrial = req.GetTrial()
	}
	known.trial = ""
	if len(suspectFingerprints(req)) == 1 {
		known.soleCrashes++
	}
	if len(known.vms) >= 2 && known.soleCrashes > 0 {
		known.blockedUntil = now.Add(BlockDuration)
	}
	return known.reply(now)
}

func (s *shard) recordSuccess(req *messenger.SuspectRequest, known *suspect, now time.Time) (*messenger.SuspectReply, bool) {
	if known == nil || known.isBlocked(now) {
		return known.reply(now), false
	}
	delete(s.suspects, req.GetFingerprint())
	return &messenger.SuspectReply{}, true
}

func (s *shard) grantTrial(req *messenger.SuspectRequest, known *suspect, now time.Time) *messenger.SuspectReply {
	if known == nil {
		return &messenger.SuspectReply{TrialGranted: true}
	}
	if known.isBlocked(now) {
		return known.reply(now)
	}
	isAgain := req.GetTrial() != "" && req.GetTrial() == known.trial
	if !isAgain && known.trial != "" && now.Before(known.trialUntil) {
		// Most trials end long before their permit expires.
		wait := min(known.trialUntil.Sub(now), trialRetryDelay)
		return &messenger.SuspectReply{RetryAfterMs: wait.Milliseconds()}
	}
	s.trials++
	known.trial = req.GetTrial()
	if known.trial == "" {
		known.trial = fmt.Sprintf("%d-%d", now.UnixNano(), s.trials)
	}
	known.trialUntil = now.Add(TrialDuration)
	return &messenger.SuspectReply{TrialGranted: true, Trial: known.trial}
}

// suspicion returns the suspicion about a fingerprint to send to other daemons. If the
// fingerprint is no longer suspect, the sequence number is higher than previous.
func (s *shard) suspicion(fingerprint string, previous, era uint64, now time.Time) *messenger.Suspicion {
	known := s.suspects[fingerprint]
	if known == nil {
		return &messenger.Suspicion{
			Fingerprint: fingerprint,
			Cleared:     true,
			Sequence:    nextSequence(previous, now),
		}
	}
	suspicion := &messenger.Suspicion{
		Fingerprint: fingerprint,
		Crashes:     uint32(len(known.vms)),
		UntilMs:     known.updatedAt.Add(SuspicionDuration).UnixMilli(),
		Sequence:    known.sequence,
	}
	// A list that was edited by hand may lack the VMs of a block.
	if len(known.vms) > 0 {
		suspicion.Vm = known.vms[len(known.vms)-1]
	}
	if known.isBlocked(now) {
		suspicion.Blocked = true
		suspicion.UntilMs = known.blockedUntil.UnixMilli()
		suspicion.Era = era
	}
	return suspicion
}

func (s *shard) expire(now time.Time) {
	for fingerprint, known := range s.suspects {
		if !known.isBlocked(now) && now.Sub(known.updatedAt) > SuspicionDuration {
			delete(s.suspects, fingerprint)
		}
	}
}

func (k *suspect) isBlocked(now time.Time) bool {
	return now.Before(k.blockedUntil)
}

func (k *suspect) reply(now time.Time) *messenger.SuspectReply {
	if k == nil || !k.isBlocked(now) {
		return &messenger.SuspectReply{}
	}
	return &messenger.SuspectReply{
		Blocked:        true,
		BlockedUntilMs: k.blockedUntil.UnixMilli(),
		RetryAfterMs:   k.blockedUntil.Sub(now).Milliseconds(),
	}
}

// nextSequence returns a sequence number for a suspicion. Numbers are at least the
// time in milliseconds, so that the suspicions of a new owner are ordered after those
// of the former one.
func nextSequence(previous uint64, now time.Time) uint64 {
	return max(previous+1, uint64(now.UnixMilli()))
}
