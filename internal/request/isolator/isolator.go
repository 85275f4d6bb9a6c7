// Package isolator limits the damage of requests that crash the backend
// servers that run them. All requests that were in progress at a crash become
// suspects. A suspect runs again only alone and by a permit; a second crash
// blocks its fingerprint, a success clears it.
package isolator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// ShardCount is the number of isolation shards.
	ShardCount = 4
	// BlockDuration is how long a fingerprint stays blocked.
	BlockDuration = 10 * time.Minute
	// SuspicionDuration is how long a suspect that was not tried again stays
	// under suspicion.
	SuspicionDuration = 10 * time.Minute
	// TrialDuration is how long a permit for a trial holds when its holder
	// never reports a result.
	TrialDuration = 2 * time.Minute

	// trialRetryAfter is when a request asks again that waits for the trial of
	// another request with the same fingerprint.
	trialRetryAfter = 500 * time.Millisecond

	// spreadTime is how long a crash report waits for its facts to reach the
	// other entry daemons: the caller, who is answered after it, may send the
	// request again through any of them. A fact takes milliseconds.
	spreadTime = 250 * time.Millisecond

	// forwardTimeout bounds a call to the owner of a shard. After it, this daemon
	// decides itself.
	forwardTimeout = time.Second
	// refreshEvery is the interval of reads of the stored blocks by their owner,
	// and so the longest time until a block that an operator lifts is lifted.
	refreshEvery = 10 * time.Second
)

// Isolator knows the suspects and blocks of this entry daemon and owns those
// of the shards whose lease it holds.
type Isolator struct {
	API adapter.ObjectAPI
	VM  string
	// Owner returns a client to the entry daemon that owns the shard, or nil
	// when this daemon owns it or no owner is known.
	Owner func(shard string) messenger.EntryClient
	// Held reports whether this daemon owns the shard.
	Held func(shard string, now time.Time) bool
	// Spread sends facts to the other entry daemons.
	Spread func([]*messenger.Suspicion)
	Now    func() time.Time
	Log    *logger.Logger

	mu     sync.Mutex
	facts  map[string]fact
	shards [ShardCount]shard
}

// fact is what this daemon has heard about a fingerprint.
type fact struct {
	sequence uint64
	blocked  bool
	vm       string
	crashes  uint32
	until    time.Time
}

// ShardName returns the name of an isolation shard, which is also its lease.
func ShardName(n int) string {
	return fmt.Sprintf("isolation-%d", n)
}

// ShardOf returns the number of the shard of a fingerprint.
func ShardOf(fingerprint string) int {
	return int(xxhash.Sum64String(fingerprint) % ShardCount)
}

// Run keeps the owned shards in step with the object API until ctx ends.
func (i *Isolator) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshEvery)
	defer ticker.Stop()
	for {
		i.refresh(ctx, i.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Blocked reports what is known of a fingerprint without a call.
func (i *Isolator) Blocked(fingerprint string, now time.Time) (until time.Time, blocked, suspected bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f, ok := i.facts[fingerprint]
	if !ok || now.After(f.until) {
		return time.Time{}, false, false
	}
	return f.until, f.blocked, !f.blocked
}

// Suspect reports a crash or a success, or asks for a trial. Crash evidence
// about several fingerprints goes to the owner of each. A crash report returns
// once the other entry daemons have had time to hear of it.
func (i *Isolator) Suspect(ctx context.Context, req *messenger.SuspectRequest) (*messenger.SuspectReply, error) {
	if !req.GetCrashed() {
		return i.ask(ctx, req)
	}
	var own *messenger.SuspectReply
	for _, fingerprint := range suspectsOf(req) {
		reply, err := i.ask(ctx, &messenger.SuspectRequest{
			Fingerprint: fingerprint,
			Vm:          req.GetVm(),
			Crashed:     true,
			InProgress:  req.GetInProgress(),
			Trial:       req.GetTrial(),
		})
		if err != nil {
			return nil, err
		}
		if fingerprint == req.GetFingerprint() || own == nil {
			own = reply
		}
	}
	timer := time.NewTimer(spreadTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return own, nil
}

// SuspectHere handles a request about one fingerprint in this daemon.
func (i *Isolator) SuspectHere(ctx context.Context, req *messenger.SuspectRequest) (*messenger.SuspectReply, error) {
	now := i.Now()
	n := ShardOf(req.GetFingerprint())
	i.load(ctx, n)
	i.mu.Lock()
	i.adopt(n, req.GetFingerprint(), now)
	reply, changed := i.shards[n].decide(req, now)
	var spread *messenger.Suspicion
	if changed {
		spread = i.shards[n].suspicion(req.GetFingerprint(), i.facts[req.GetFingerprint()].sequence, now)
		i.observeLocked([]*messenger.Suspicion{spread}, now)
	}
	i.mu.Unlock()
	if !changed {
		return reply, nil
	}
	i.logDecision(req, reply)
	if i.Spread != nil {
		i.Spread([]*messenger.Suspicion{spread})
	}
	i.store(ctx, n)
	return reply, nil
}

// Observe takes facts that other entry daemons spread.
func (i *Isolator) Observe(suspicions []*messenger.Suspicion) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.observeLocked(suspicions, i.Now())
}

func (i *Isolator) observeLocked(suspicions []*messenger.Suspicion, now time.Time) {
	if i.facts == nil {
		i.facts = map[string]fact{}
	}
	for fingerprint, f := range i.facts {
		if now.After(f.until) {
			delete(i.facts, fingerprint)
		}
	}
	for _, s := range suspicions {
		known := i.facts[s.GetFingerprint()]
		if s.GetSequence() <= known.sequence {
			continue
		}
		until := time.UnixMilli(s.GetUntilMs())
		i.facts[s.GetFingerprint()] = fact{
			sequence: s.GetSequence(),
			blocked:  s.GetBlocked(),
			vm:       s.GetVm(),
			crashes:  s.GetCrashes(),
			until:    until,
		}
	}
}

func (i *Isolator) ask(ctx context.Context, req *messenger.SuspectRequest) (*messenger.SuspectReply, error) {
	shard := ShardName(ShardOf(req.GetFingerprint()))
	if owner := i.Owner(shard); owner != nil {
		forwardCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		reply, err := owner.Suspect(forwardCtx, req)
		if err == nil {
			return reply, nil
		}
		i.Log.Warn("isolation owner not reachable", zap.String("shard", shard), zap.Error(err))
	}
	return i.SuspectHere(ctx, req)
}

func (i *Isolator) logDecision(req *messenger.SuspectRequest, reply *messenger.SuspectReply) {
	reason := "trial asked"
	switch {
	case reply.GetBlocked():
		reason = "second crash"
	case req.GetCrashed():
		reason = "in progress at a crash"
	case req.GetSucceeded():
		reason = "ran without a crash"
	}
	logger.LogDecision(i.Log, logger.Decision{
		Kind:         "isolate",
		Subject:      req.GetFingerprint(),
		Chosen:       req.GetVm(),
		Reason:       reason,
		Alternatives: req.GetInProgress(),
	}, zap.Bool("trial-granted", reply.GetTrialGranted()), zap.Bool("blocked", reply.GetBlocked()))
}

func suspectsOf(req *messenger.SuspectRequest) []string {
	all := make([]string, 0, 1+len(req.GetInProgress()))
	if req.GetFingerprint() != "" {
		all = append(all, req.GetFingerprint())
	}
	for _, fingerprint := range req.GetInProgress() {
		if fingerprint != req.GetFingerprint() && fingerprint != "" {
			all = append(all, fingerprint)
		}
	}
	return all
}
