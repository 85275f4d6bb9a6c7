package mirrorer

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/timekeeper"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
)

// maxPollTime is the time after which a poll counts as left without an answer.
const maxPollTime = 250 * time.Millisecond

// Probe polls the store at each ProbeInterval while active returns true, until ctx is
// canceled. A watch may miss changes without an error when the store compacts its
// history, and then returns only at the next change. One daemon probes for all: the
// others learn from it that their copies are out of date.
func (m *Mirror) Probe(ctx context.Context, active func() bool) {
	for ctx.Err() == nil {
		waiter.Wait(ctx, m.ProbeInterval)
		if active() {
			m.probe(ctx)
		} else {
			m.recordPoll(time.Time{})
		}
	}
}

// probe polls the store once. Another daemon takes over from one whose store does not
// answer, so the poll ends before the next one is due.
func (m *Mirror) probe(ctx context.Context) {
	before := m.ContentRevision()
	callCtx, cancel := context.WithTimeout(ctx, m.ProbeInterval)
	defer cancel()
	readAt, err := m.pollOnce(callCtx)
	var compacted *CompactedError
	switch {
	case err == nil:
		m.recordPoll(readAt)
	case errors.As(err, &compacted):
		m.Log.Info("history compacted, listing again", zap.String("kind", m.Kind), zap.Uint64("revision", compacted.Revision))
		m.list(ctx)
	case ctx.Err() == nil:
		if m.StoreReachable() {
			m.Log.Info("probe failed", zap.String("kind", m.Kind), zap.Uint64("revision", m.Revision()), zap.Error(err))
		}
		m.setUnreachable(time.Now())
	}
	if m.ContentRevision() != before && m.OnProbeChange != nil {
		m.OnProbeChange()
	}
}

// pollOnce asks the source for the changes of now, and returns when it was asked.
func (m *Mirror) pollOnce(ctx context.Context) (readAt time.Time, err error) {
	asked := m.present()
	changes, err := m.Source.Watch(ctx, m.Kind, m.Revision(), 0)
	if err != nil {
		return time.Time{}, err
	}
	now := time.Now()
	m.recordAnswer(now)
	m.apply(changes, now)
	m.recordConfirmation(asked, changes.Revision)
	return changes.ReadAt, nil
}

// Poll updates the copy from the source once, between the calls of Run and Probe. It reports whether the
// source answered.
func (m *Mirror) Poll(ctx context.Context) bool {
	if _, loaded := m.Get(); !loaded {
		return m.list(ctx)
	}
	_, err := m.pollOnce(ctx)
	var compacted *CompactedError
	if errors.As(err, &compacted) {
		return m.list(ctx)
	}
	return err == nil
}

func (m *Mirror) present() timekeeper.Moment {
	if m.Now == nil {
		return timekeeper.Now()
	}
	return m.Now()
}

// recordConfirmation records that the source, asked at a moment, had nothing newer than the copy, unless
// its answer is older than the copy.
func (m *Mirror) recordConfirmation(asked timekeeper.Moment, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision >= m.snapshot.Revision {
		m.confirmedAt = asked
	}
}

// ConfirmedAt returns when the source was last asked and had nothing newer than the copy.
func (m *Mirror) ConfirmedAt() timekeeper.Moment {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmedAt
}

// recordPoll records when the last answered poll was made, or that this daemon polls no more.
func (m *Mirror) recordPoll(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.polledAt = at
}

// isUnanswered reports whether the source left polls without an answer. It is called with
// the lock held.
func (m *Mirror) isUnanswered(now time.Time) bool {
	return !m.polledAt.IsZero() && now.Sub(m.polledAt) > m.ProbeInterval+maxPollTime
}
