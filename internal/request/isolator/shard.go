package isolator

import (
	"fmt"
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// shard holds the suspects of one isolation shard at its owner.
type shard struct {
	loaded   bool
	version  uint64
	suspects map[string]*suspect
	trials   uint64
}

// suspect is one fingerprint under suspicion or blocked.
type suspect struct {
	// vms are the backend servers that crashed while the request was in
	// progress, in order.
	vms []string
	// soleCrashes counts the crashes with no other request in progress. Only
	// these name one cause.
	soleCrashes  int
	seenAt       time.Time
	blockedUntil time.Time
	trial        string
	trialUntil   time.Time
	// crashedTrial is the last trial that crashed; it counts once, however
	// often it is reported.
	crashedTrial string
	sequence     uint64
	// isStored is set once the block is in the list that operators edit.
	isStored bool
}

// decide applies one request and returns the reply, and whether anything that
// others need to know has changed.
func (s *shard) decide(req *messenger.SuspectRequest, now time.Time) (*messenger.SuspectReply, bool) {
	if s.suspects == nil {
		s.suspects = map[string]*suspect{}
	}
	s.expire(now)
	known := s.suspects[req.GetFingerprint()]
	switch {
	case req.GetCrashed():
		return s.noteCrash(req, known, now), true
	case req.GetSucceeded():
		return s.noteSuccess(req, known, now)
	case req.GetAskTrial():
		return s.permitTrial(known, now), false
	}
	// A trial that neither crashed nor succeeded gives its permit back.
	if known != nil && req.GetTrial() != "" && req.GetTrial() == known.trial {
		known.trial = ""
	}
	return known.reply(now), false
}

func (s *shard) noteCrash(req *messenger.SuspectRequest, known *suspect, now time.Time) *messenger.SuspectReply {
	if known == nil {
		known = &suspect{}
		s.suspects[req.GetFingerprint()] = known
	}
	known.seenAt = now
	known.sequence = nextSequence(known.sequence, now)
	// A trial runs alone, so that its crash has one cause. Without a trial,
	// the same VM can be reported by several entry daemons for one crash.
	// The permit may come from a former owner of the shard.
	trialCrashed := req.GetTrial() != "" && req.GetTrial() != known.crashedTrial
	if !trialCrashed && slices.Contains(known.vms, req.GetVm()) {
		return known.reply(now)
	}
	known.vms = append(known.vms, req.GetVm())
	if trialCrashed {
		known.crashedTrial = req.GetTrial()
	}
	known.trial = ""
	if len(suspectsOf(req)) == 1 {
		known.soleCrashes++
	}
	if len(known.vms) >= 2 && known.soleCrashes > 0 {
		known.blockedUntil = now.Add(BlockDuration)
	}
	return known.reply(now)
}

func (s *shard) noteSuccess(req *messenger.SuspectRequest, known *suspect, now time.Time) (*messenger.SuspectReply, bool) {
	if known == nil || known.isBlocked(now) {
		return known.reply(now), false
	}
	delete(s.suspects, req.GetFingerprint())
	return &messenger.SuspectReply{}, true
}

func (s *shard) permitTrial(known *suspect, now time.Time) *messenger.SuspectReply {
	if known == nil {
		return &messenger.SuspectReply{TrialGranted: true}
	}
	if known.isBlocked(now) {
		return known.reply(now)
	}
	if known.trial != "" && now.Before(known.trialUntil) {
		// Most trials end long before their permit does.
		wait := min(known.trialUntil.Sub(now), trialRetryAfter)
		return &messenger.SuspectReply{RetryAfterMs: wait.Milliseconds()}
	}
	s.trials++
	known.trial = fmt.Sprintf("%d-%d", now.UnixNano(), s.trials)
	known.trialUntil = now.Add(TrialDuration)
	return &messenger.SuspectReply{TrialGranted: true, Trial: known.trial}
}

// suspicion returns the fact to spread about a fingerprint. A fact that clears
// it comes after the one with the previous sequence number.
func (s *shard) suspicion(fingerprint string, previous uint64, now time.Time) *messenger.Suspicion {
	known := s.suspects[fingerprint]
	if known == nil {
		return &messenger.Suspicion{
			Fingerprint: fingerprint,
			Cleared:     true,
			Sequence:    nextSequence(previous, now),
		}
	}
	fact := &messenger.Suspicion{
		Fingerprint: fingerprint,
		Vm:          known.vms[len(known.vms)-1],
		Crashes:     uint32(len(known.vms)),
		UntilMs:     known.seenAt.Add(SuspicionDuration).UnixMilli(),
		Sequence:    known.sequence,
	}
	if known.isBlocked(now) {
		fact.Blocked = true
		fact.UntilMs = known.blockedUntil.UnixMilli()
	}
	return fact
}

func (s *shard) expire(now time.Time) {
	for fingerprint, known := range s.suspects {
		if !known.isBlocked(now) && now.Sub(known.seenAt) > SuspicionDuration {
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

// nextSequence orders facts about one fingerprint also across owners, because
// a new owner starts above the time of the old one's last fact.
func nextSequence(previous uint64, now time.Time) uint64 {
	return max(previous+1, uint64(now.UnixMilli()))
}
