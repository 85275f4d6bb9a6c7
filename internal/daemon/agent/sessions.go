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
	// sessionCount is the number of sessions of an agent. With two, the failure of
	// one entry daemon does not interrupt its reports.
	sessionCount      = 2
	maxKnownEntries   = 4096
	minReportInterval = 200 * time.Millisecond
	maxReportInterval = 2 * time.Second
	reconcileInterval = 500 * time.Millisecond

	minRetryInterval = 200 * time.Millisecond
	maxRetryInterval = 10 * time.Second
	retryMultiplier  = 2
	retryJitter      = 0.5
	// stableSessionDuration is how long a session must last until the backoff for
	// its entry daemon is reset.
	stableSessionDuration = 5 * time.Second
)

// sessionManager keeps sessions with sessionCount entry daemons.
type sessionManager struct {
	VM            string
	Region        string
	FailureDomain string
	Seeds         []string
	Reports       *reports
	Guard         *guard.Guard
	TLS           *authenticator.Authenticator
	// OnEvacuated is called when the evacuation of the failure domain begins or ends.
	// It must not call the sessions.
	OnEvacuated func(evacuated bool)
	Log         *logger.Logger

	initOnce sync.Once
	wakeUp   chan struct{}
	mu       sync.Mutex
	entries  []*messenger.EntryVM
	// sessions and retries are keyed by the address of the entry daemon.
	sessions map[string]*session
	retries  map[string]*retryState
	// highestRevision is the highest revision in a notice, and evacuated whether the
	// failure domain is evacuated in it.
	highestRevision uint64
	evacuated       bool
	// changed is closed and replaced when the state of a session changes.
	changed chan struct{}
}

// retryState is the backoff for an entry daemon whose last session failed.
type retryState struct {
	retryAt time.Time
	backoff backoff.ExponentialBackOff
}

func (m *sessionManager) init() {
	m.initOnce.Do(func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.wakeUp = make(chan struct{}, 1)
		m.sessions = map[string]*session{}
		m.retries = map[string]*retryState{}
		m.changed = make(chan struct{})
	})
}

// serve opens and closes sessions until ctx ends.
func (m *sessionManager) serve(ctx context.Context) error {
	m.init()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		m.reconcile(ctx, time.Now())
		select {
		case <-ctx.Done():
			m.waitForSessions()
			return ctx.Err()
		case <-m.wakeUp:
		case <-ticker.C:
		}
	}
}

// reconcile opens sessions with the selected entry daemons and stops the others.
func (m *sessionManager) reconcile(ctx context.Context, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	selected := m.selectEntries(now)
	for address, s := range m.sessions {
		if !selected[address] {
			s.stop()
		}
	}
	for address := range selected {
		if m.sessions[address] != nil {
			continue
		}
		s := newSession(ctx, m, address)
		m.sessions[address] = s
		go s.run()
	}
}

// selectEntries returns the addresses of the entry daemons to have sessions
// with: the first sessionCount in order of preference that are connected or have
// not failed. Preferred ones that failed are retried in addition, so that a retry
// does not replace a working session.
func (m *sessionManager) selectEntries(now time.Time) map[string]bool {
	selected := map[string]bool{}
	remaining := sessionCount
	retriesLeft := sessionCount
	for _, address := range preferredEntries(m.VM, m.Region, m.FailureDomain, m.entries, m.Seeds) {
		if remaining == 0 {
			break
		}
		s := m.sessions[address]
		retry := m.retries[address]
		switch {
		case s != nil && s.connected:
			remaining--
		case retry == nil:
			remaining--
		case s == nil && now.Before(retry.retryAt):
			continue
		case retriesLeft == 0:
			continue
		default:
			retriesLeft--
		}
		selected[address] = true
	}
	return selected
}

// requestReports requests a report from each session.
func (m *sessionManager) requestReports() {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.sessions {
		s.requestReport()
	}
}

// handleNotice records the contents of a notice.
func (m *sessionManager) handleNotice(s *session, notice *messenger.EntryNotice) {
	m.Guard.RaiseEpochs(notice.GetEpochs())
	m.mu.Lock()
	defer m.mu.Unlock()
	s.drainConfirmed = s.drainConfirmed || notice.GetDrainConfirmed()
	hadHint := s.drainHint
	s.drainHint = notice.GetDrainHint()
	m.observeRevision(notice)
	if n := len(notice.GetEntries()); n > 0 && n <= maxKnownEntries {
		m.entries = notice.GetEntries()
		m.wake()
	}
	m.notifyChanged()
	if hadHint != s.drainHint {
		m.Log.Info("drain hint changed", zap.Bool("leaving", s.drainHint), zap.String("entry", s.address))
	}
}

// sessionOpened records that a session is connected.
func (m *sessionManager) sessionOpened(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.connected = true
	m.Log.Info("session opened", zap.String("entry", s.address))
	m.wake()
	m.notifyChanged()
}

// sessionClosed removes a session. Unless the agent stopped it, its entry daemon
// is retried after a backoff.
func (m *sessionManager) sessionClosed(s *session, lasted time.Duration, err error, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sessions, s.address)
	m.notifyChanged()
	m.wake()
	if s.stopped.Load() {
		return
	}
	retry := m.retries[s.address]
	if retry == nil || lasted >= stableSessionDuration {
		retry = &retryState{backoff: backoff.ExponentialBackOff{
			InitialInterval: minRetryInterval, MaxInterval: maxRetryInterval,
			Multiplier: retryMultiplier, RandomizationFactor: retryJitter,
		}}
	}
	retry.retryAt = now.Add(retry.backoff.NextBackOff())
	if len(m.retries) < maxKnownEntries {
		m.retries[s.address] = retry
	}
	m.Log.Info("session closed", zap.String("entry", s.address), zap.Duration("lasted", lasted), zap.Error(err))
}

// clearRetry resets the backoff for an entry daemon whose session is stable.
func (m *sessionManager) clearRetry(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.retries, s.address)
}

// reportSent records the replica state of a report that was sent.
func (m *sessionManager) reportSent(s *session, state messenger.ReplicaState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// A confirmation is no longer valid once another state has been reported.
	s.drainConfirmed = s.drainConfirmed && state == messenger.ReplicaState_REPLICA_STATE_DRAINING
	if s.reportedState != state {
		s.reportedState = state
		m.notifyChanged()
	}
}

// waitForDrainConfirmed returns when all sessions have confirmed the drain, or
// after the timeout. Without a session it waits for the whole timeout, because
// entry daemons may still list the agent from an earlier one.
func (m *sessionManager) waitForDrainConfirmed(ctx context.Context, timeout time.Duration) {
	m.waitUntil(ctx, timeout, func(s *session) bool { return s.drainConfirmed })
}

// waitForGone returns when all sessions have sent a report that the agent is
// gone, or after the timeout.
func (m *sessionManager) waitForGone(ctx context.Context, timeout time.Duration) {
	m.waitUntil(ctx, timeout, func(s *session) bool { return s.reportedState == messenger.ReplicaState_REPLICA_STATE_GONE })
}

// waitUntil waits until the condition is true for all connected sessions, of
// which there must be at least one, or until the timeout.
func (m *sessionManager) waitUntil(ctx context.Context, timeout time.Duration, condition func(s *session) bool) {
	m.init()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		m.mu.Lock()
		done := m.allConnected(condition)
		changed := m.changed
		m.mu.Unlock()
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

func (m *sessionManager) allConnected(condition func(s *session) bool) bool {
	connected := 0
	for _, s := range m.sessions {
		if !s.connected {
			continue
		}
		connected++
		if !condition(s) {
			return false
		}
	}
	return connected > 0
}

func (m *sessionManager) waitForSessions() {
	m.mu.Lock()
	var ended []chan struct{}
	for _, s := range m.sessions {
		ended = append(ended, s.ended)
	}
	m.mu.Unlock()
	for _, c := range ended {
		<-c
	}
}

// observeRevision records the revision of a notice and its evacuation, unless
// another entry daemon has announced a later one. The caller holds the lock.
func (m *sessionManager) observeRevision(notice *messenger.EntryNotice) {
	if notice.GetRevision() < m.highestRevision {
		return
	}
	m.highestRevision = notice.GetRevision()
	if m.evacuated == notice.GetEvacuated() {
		return
	}
	m.evacuated = notice.GetEvacuated()
	message := "evacuation ended"
	if m.evacuated {
		message = "evacuation in force"
	}
	m.Log.Info(message, zap.String("failure-domain", m.FailureDomain), zap.Uint64("revision", m.highestRevision))
	if m.OnEvacuated != nil {
		m.OnEvacuated(m.evacuated)
	}
}

// isEvacuated reports whether the failure domain is evacuated.
func (m *sessionManager) isEvacuated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evacuated
}

// revision returns the highest revision that an entry daemon has announced.
func (m *sessionManager) revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.highestRevision
}

// openCount returns the number of connected sessions.
func (m *sessionManager) openCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, s := range m.sessions {
		if s.connected {
			n++
		}
	}
	return n
}

// hasDrainHint reports whether an entry daemon has hinted that the VM is
// leaving.
func (m *sessionManager) hasDrainHint() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.sessions {
		if s.drainHint {
			return true
		}
	}
	return false
}

// wake wakes serve. The caller holds the lock.
func (m *sessionManager) wake() {
	select {
	case m.wakeUp <- struct{}{}:
	default:
	}
}

// notifyChanged wakes the waiting calls of waitUntil. The caller holds the lock.
func (m *sessionManager) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}
