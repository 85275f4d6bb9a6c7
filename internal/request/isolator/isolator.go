// Package isolator limits the damage of requests that crash the backend servers
// that run them. When a backend server crashes, all requests in progress on it become
// suspects. A suspect may be retried only as a trial: alone on a backend server, and
// with a permit. A second crash blocks its fingerprint; a success clears it.
package isolator

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// ShardCount is the number of isolation shards.
	ShardCount = 4
	// BlockDuration is how long a fingerprint stays blocked.
	BlockDuration = 10 * time.Minute
	// SuspicionDuration is how long a fingerprint stays suspect after its last
	// reported crash if it is neither cleared nor blocked.
	SuspicionDuration = 10 * time.Minute
	// TrialDuration is how long a trial permit is valid if its holder never
	// reports a result.
	TrialDuration = 2 * time.Minute

	// trialRetryDelay is how long a request waits before it requests a permit again
	// while another request with the same fingerprint holds one.
	trialRetryDelay = 500 * time.Millisecond

	// broadcastWait is how long a crash report waits for its suspicions to reach the
	// other entry daemons, which normally takes milliseconds. The caller gets its
	// answer after this time and may resend the request through any of them.
	broadcastWait = 250 * time.Millisecond

	// forwardTimeout limits a call to the owner of a shard. After a timeout, this
	// daemon handles the request itself.
	forwardTimeout = time.Second
	// maxTrialAsks is how many times an owner that does not answer is asked for a trial
	// permit before this daemon grants one: it may pause, and two daemons that grant
	// permits at a time allow two trials.
	maxTrialAsks = 3
	// refreshInterval is the interval at which the owner of a shard reads its stored
	// blocks. It limits the time until a block that an operator removes is lifted.
	refreshInterval = 10 * time.Second

	// maxSuspects bounds the suspects of a shard, maxSuspicions what is known from other daemons,
	// and maxVMs the VMs that are kept of a suspect. What exceeds them is not recorded. If a third
	// of 52 engine VMs with 64 requests each crashes at once, 1,100 requests are suspect.
	maxSuspects   = 2048
	maxSuspicions = ShardCount * maxSuspects
	maxVMs        = 64
	// MaxTextBytes bounds fingerprints, permits and the names of VMs in requests to an owner.
	MaxTextBytes = 256
)

// Isolator stores the suspicions that are known to this entry daemon, and manages the
// suspects and blocks of the shards that the daemon owns. Exported fields must be set
// before use.
type Isolator struct {
	API adapter.ObjectAPI
	VM  string
	// Owner returns a client for the entry daemon that owns the shard, or nil if
	// this daemon owns it or no owner is known.
	Owner func(shard string) messenger.EntryClient
	// Held reports whether this daemon holds the lease of the shard and so owns
	// it.
	Held func(shard string, now time.Time) bool
	// Spread sends suspicions to the other entry daemons.
	Spread func([]*messenger.Suspicion)
	Now    func() time.Time
	Log    *logger.Logger

	mu         sync.Mutex
	suspicions map[string]knownSuspicion
	lifted     lifts
	shards     [ShardCount]shard
}

// knownSuspicion is the newest suspicion about a fingerprint that this daemon has
// received.
type knownSuspicion struct {
	sequence uint64
	blocked  bool
	vm       string
	crashes  uint32
	until    time.Time
	era      uint64
}

// ShardName returns the name of an isolation shard, which is also the name of its
// lease.
func ShardName(n int) string {
	return fmt.Sprintf("isolation-%d", n)
}

// ShardOf returns the number of the shard that a fingerprint belongs to.
func ShardOf(fingerprint string) int {
	return int(xxhash.Sum64String(fingerprint) % ShardCount)
}

// Run synchronizes the owned shards with the object API until ctx ends.
func (i *Isolator) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
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

// Blocked returns whether a fingerprint is blocked or suspect, and until when. It uses
// local data only.
func (i *Isolator) Blocked(fingerprint string, now time.Time) (until time.Time, blocked, suspected bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f, ok := i.suspicions[fingerprint]
	if !ok || now.After(f.until) {
		return time.Time{}, false, false
	}
	return f.until, f.blocked, !f.blocked
}

// Suspect reports a crash or a success, requests a trial permit, or returns one. A
// crash report is sent to the owner of each fingerprint that was in progress. Suspect
// then returns after the other entry daemons have had time to receive the suspicions.
func (i *Isolator) Suspect(ctx context.Context, req *messenger.SuspectRequest) (*messenger.SuspectReply, error) {
	if !req.GetCrashed() {
		return i.askOwner(ctx, req)
	}
	var own *messenger.SuspectReply
	for _, fingerprint := range suspectFingerprints(req) {
		reply, err := i.askOwner(ctx, &messenger.SuspectRequest{
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
	timer := time.NewTimer(broadcastWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return own, nil
}

// SuspectHere handles a request about one fingerprint in this daemon instead of
// sending it to the owner of the shard.
func (i *Isolator) SuspectHere(ctx context.Context, req *messenger.SuspectRequest) (*messenger.SuspectReply, error) {
	now := i.Now()
	n := ShardOf(req.GetFingerprint())
	i.loadShard(ctx, n)
	i.mu.Lock()
	i.importSuspicion(n, req.GetFingerprint(), now)
	reply, changed := i.shards[n].handle(req, now)
	var spread *messenger.Suspicion
	if changed {
		spread = i.shards[n].suspicion(req.GetFingerprint(), i.suspicions[req.GetFingerprint()].sequence, adapter.EraOf(i.API), now)
		i.applySuspicions([]*messenger.Suspicion{spread}, now)
	}
	i.mu.Unlock()
	if !changed {
		return reply, nil
	}
	i.logDecision(req, reply)
	i.spread([]*messenger.Suspicion{spread})
	i.storeBlocks(ctx, n)
	return reply, nil
}

func (i *Isolator) spread(suspicions []*messenger.Suspicion) {
	if i.Spread != nil && len(suspicions) > 0 {
		i.Spread(suspicions)
	}
}

// Observe applies suspicions that other entry daemons have sent.
func (i *Isolator) Observe(suspicions []*messenger.Suspicion) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.applySuspicions(suspicions, i.Now())
}

func (i *Isolator) applySuspicions(suspicions []*messenger.Suspicion, now time.Time) {
	if i.suspicions == nil {
		i.suspicions = map[string]knownSuspicion{}
	}
	for fingerprint, f := range i.suspicions {
		if now.After(f.until) {
			delete(i.suspicions, fingerprint)
		}
	}
	for _, s := range suspicions {
		known, isKnown := i.suspicions[s.GetFingerprint()]
		if s.GetSequence() <= known.sequence {
			continue
		}
		isLong := len(s.GetFingerprint()) > MaxTextBytes || len(s.GetVm()) > MaxTextBytes
		if isLong || !isKnown && len(i.suspicions) >= maxSuspicions {
			continue
		}
		until := time.UnixMilli(s.GetUntilMs())
		i.suspicions[s.GetFingerprint()] = knownSuspicion{
			sequence: s.GetSequence(),
			blocked:  s.GetBlocked(),
			vm:       s.GetVm(),
			crashes:  s.GetCrashes(),
			until:    until,
			era:      s.GetEra(),
		}
	}
}

func (i *Isolator) askOwner(ctx context.Context, req *messenger.SuspectRequest) (*messenger.SuspectReply, error) {
	shard := ShardName(ShardOf(req.GetFingerprint()))
	if req.GetAskTrial() && req.GetTrial() == "" {
		// The owner grants the same permit when it is asked again.
		req = &messenger.SuspectRequest{Fingerprint: req.GetFingerprint(), AskTrial: true, Trial: rand.Text()}
	}
	for n := 1; ; n++ {
		owner := i.Owner(shard)
		if owner == nil {
			break
		}
		reply, err := forward(ctx, owner, req)
		if err == nil {
			return reply, nil
		}
		i.Log.Warn("isolation owner not reachable", zap.String("shard", shard), zap.Error(err))
		if !req.GetAskTrial() || status.Code(err) != codes.DeadlineExceeded || n == maxTrialAsks || ctx.Err() != nil {
			break
		}
	}
	return i.SuspectHere(ctx, req)
}

func forward(ctx context.Context, owner messenger.EntryClient, req *messenger.SuspectRequest) (*messenger.SuspectReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return owner.Suspect(ctx, req)
}

func (i *Isolator) logDecision(req *messenger.SuspectRequest, reply *messenger.SuspectReply) {
	reason := "trial requested"
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

func suspectFingerprints(req *messenger.SuspectRequest) []string {
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
