package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/authenticator"
	"github.com/lentilbridge/lentilbridge/pkg/guard"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	sessionCount      = 2
	maxKnownEntries   = 4096
	minReportInterval = 200 * time.Millisecond
	maxReportInterval = 2 * time.Second
	chooseInterval    = 500 * time.Millisecond

	minRetryInterval = 200 * time.Millisecond
	maxRetryInterval = 10 * time.Second
	retryMultiplier  = 2
	retryJitter      = 0.5
	// stableTime is how long a session has to last before its entry daemon
	// counts as working again.
	stableTime = 5 * time.Second
)

// sessions keeps sessions with entry daemons.
type sessions struct {
	VM            string
	Region        string
	FailureDomain string
	Seeds         []string
	Reports       *reports
	Guard         *guard.Guard
	TLS           *authenticator.Authenticator
	Log           *logger.Logger

	setUp   sync.Once
	wakeUp  chan struct{}
	mu      sync.Mutex
	entries []*messenger.EntryVM
	links   map[string]*link
	failing map[string]*failure
	highest uint64
	changed chan struct{}
}

// failure is an entry daemon that the last session with did not last.
type failure struct {
	retryAt time.Time
	backoff backoff.ExponentialBackOff
}

func (s *sessions) init() {
	s.setUp.Do(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.wakeUp = make(chan struct{}, 1)
		s.links = map[string]*link{}
		s.failing = map[string]*failure{}
		s.changed = make(chan struct{})
	})
}

// serve opens and closes sessions until the context ends.
func (s *sessions) serve(ctx context.Context) error {
	s.init()
	ticker := time.NewTicker(chooseInterval)
	defer ticker.Stop()
	for {
		s.adjust(ctx, time.Now())
		select {
		case <-ctx.Done():
			s.waitForLinks()
			return ctx.Err()
		case <-s.wakeUp:
		case <-ticker.C:
		}
	}
}

// adjust opens the sessions that are wanted and closes the others.
func (s *sessions) adjust(ctx context.Context, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := s.choose(now)
	for address, l := range s.links {
		if !wanted[address] {
			l.stop()
		}
	}
	for address := range wanted {
		if s.links[address] != nil {
			continue
		}
		l := newLink(ctx, s, address)
		s.links[address] = l
		go l.run()
	}
}

// choose returns the entry daemons to have sessions with: the first ones in
// order of preference that work. One that failed before is tried again beside
// them, so that a trial does not cost a working session.
func (s *sessions) choose(now time.Time) map[string]bool {
	wanted := map[string]bool{}
	places := sessionCount
	trials := sessionCount
	for _, address := range preferredEntries(s.VM, s.Region, s.FailureDomain, s.entries, s.Seeds) {
		if places == 0 {
			break
		}
		l := s.links[address]
		f := s.failing[address]
		switch {
		case l != nil && l.connected:
			places--
		case f == nil:
			places--
		case l == nil && now.Before(f.retryAt):
			continue
		case trials == 0:
			continue
		default:
			trials--
		}
		wanted[address] = true
	}
	return wanted
}

// notify makes each session send a report soon.
func (s *sessions) notify() {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.notify()
	}
}

// take handles a notice.
func (s *sessions) take(l *link, notice *messenger.EntryNotice) {
	s.Guard.RaiseEpochs(notice.GetEpochs())
	s.mu.Lock()
	defer s.mu.Unlock()
	l.confirmed = l.confirmed || notice.GetDrainConfirmed()
	hinted := l.hinted
	l.hinted = notice.GetDrainHint()
	s.highest = max(s.highest, notice.GetRevision())
	if n := len(notice.GetEntries()); n > 0 && n <= maxKnownEntries {
		s.entries = notice.GetEntries()
		s.wake()
	}
	s.announceChange()
	if hinted != l.hinted {
		s.Log.Info("drain hint changed", zap.Bool("leaving", l.hinted), zap.String("entry", l.address))
	}
}

// opened and closed keep the record of sessions that work.
func (s *sessions) opened(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.connected = true
	s.Log.Info("session opened", zap.String("entry", l.address))
	s.wake()
	s.announceChange()
}

func (s *sessions) closed(l *link, lasted time.Duration, err error, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, l.address)
	s.announceChange()
	s.wake()
	if l.stopped.Load() {
		return
	}
	f := s.failing[l.address]
	if f == nil || lasted >= stableTime {
		f = &failure{backoff: backoff.ExponentialBackOff{
			InitialInterval: minRetryInterval, MaxInterval: maxRetryInterval,
			Multiplier: retryMultiplier, RandomizationFactor: retryJitter,
		}}
	}
	f.retryAt = now.Add(f.backoff.NextBackOff())
	if len(s.failing) < maxKnownEntries {
		s.failing[l.address] = f
	}
	s.Log.Info("session closed", zap.String("entry", l.address), zap.Duration("lasted", lasted), zap.Error(err))
}

// settled forgets the failures of an entry daemon whose session lasts.
func (s *sessions) settled(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.failing, l.address)
}

// sent records which state an entry daemon has been told.
func (s *sessions) sent(l *link, state messenger.ReplicaState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A confirmation is worth nothing once another state has been reported.
	l.confirmed = l.confirmed && state == messenger.ReplicaState_REPLICA_STATE_DRAINING
	if l.told != state {
		l.told = state
		s.announceChange()
	}
}

// waitForDrainConfirmed returns when all sessions have confirmed the drain, or
// after the timeout. Without a session it takes the whole timeout, because
// entry daemons may still know the agent from an earlier one.
func (s *sessions) waitForDrainConfirmed(ctx context.Context, timeout time.Duration) {
	s.waitUntil(ctx, timeout, func(l *link) bool { return l.confirmed })
}

// waitForGone returns when all sessions have been told that the agent is gone.
func (s *sessions) waitForGone(ctx context.Context, timeout time.Duration) {
	s.waitUntil(ctx, timeout, func(l *link) bool { return l.told == messenger.ReplicaState_REPLICA_STATE_GONE })
}

func (s *sessions) waitUntil(ctx context.Context, timeout time.Duration, holds func(l *link) bool) {
	s.init()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		s.mu.Lock()
		done := s.all(holds)
		changed := s.changed
		s.mu.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *sessions) all(holds func(l *link) bool) bool {
	connected := 0
	for _, l := range s.links {
		if !l.connected {
			continue
		}
		connected++
		if !holds(l) {
			return false
		}
	}
	return connected > 0
}

func (s *sessions) waitForLinks() {
	s.mu.Lock()
	var ended []chan struct{}
	for _, l := range s.links {
		ended = append(ended, l.ended)
	}
	s.mu.Unlock()
	for _, c := range ended {
		<-c
	}
}

// revision returns the highest revision that an entry daemon has named.
func (s *sessions) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highest
}

// openCount returns the number of sessions that are open.
func (s *sessions) openCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, l := range s.links {
		if l.connected {
			n++
		}
	}
	return n
}

// isDrainHinted reports whether an entry daemon says that the VM leaves.
func (s *sessions) isDrainHinted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if l.hinted {
			return true
		}
	}
	return false
}

// wake and announceChange are called with the lock held.
func (s *sessions) wake() {
	select {
	case s.wakeUp <- struct{}{}:
	default:
	}
}

func (s *sessions) announceChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}
