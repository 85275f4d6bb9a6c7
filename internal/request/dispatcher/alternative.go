package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
)

// placementInterval is the time between two looks for a replica beside a silent one.
const placementInterval = 100 * time.Millisecond

// supersededError is the cause with which a silent attempt ends once another replica has
// begun to respond.
type supersededError struct{}

func (*supersededError) Error() string { return "another replica has begun to respond" }

// send is an attempt in progress. While its replica is silent, another one may be tried.
type send struct {
	*execution
	attempt Attempt
	placed  placer.Placement
	// parent is the context of the request, and ctx that of the attempt, which cancel ends.
	parent context.Context
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// waiting is set while the request waits for a part of the response.
	waiting bool
	// alternative is nil unless the replica was silent for too long in this wait.
	alternative *alternative
}

// alternative is the search for another replica while that of an attempt is silent, and the
// attempt there. The silent attempt goes on: a replica that pauses is not a failed one, and
// there may be no other place. The first of the two that sends a part of the response
// serves the caller. Its goroutine has the execution to itself: the request waits for the
// silent replica, and then for the goroutine. So does the goroutine of a further search,
// beside the attempt of this one.
type alternative struct {
	silent *send
	ctx    context.Context
	cancel context.CancelFunc
	since  time.Time
	// done is closed at the end of the goroutine.
	done chan struct{}

	// The silent attempt's mu protects the fields below. sent is set while an attempt is in
	// progress, dropped once its response is not wanted, and won once it serves the caller.
	sent    bool
	dropped bool
	won     *successor
}

// successor is an attempt that takes the place of another one, with its outcome.
type successor struct {
	send    *send
	outcome Outcome
}

// newSend prepares an attempt on a replica that has been reserved.
func (x *execution) newSend(ctx context.Context, placed placer.Placement, versionLeft time.Duration, now time.Time) *send {
	remaining := x.request.Deadline.Sub(now)
	s := &send{execution: x, placed: placed, parent: ctx}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	s.attempt = Attempt{
		Request: x.request, Number: x.sends + 1, Replica: placed.Replica, Version: placed.Version, VersionLeft: versionLeft,
		Remaining: remaining, LastEventID: x.lastEventID, StallTimeout: x.stallTimeout(),
		FirstByteSilence: x.firstByteSilence(remaining), EventSilence: x.eventSilence(), OnSilence: s.onSilence, Permitted: s.permitted,
	}
	if x.request.Ranked {
		urgency := x.class().Urgency()
		s.attempt.Urgency = &urgency
	}
	x.sends++
	x.possibleRuns++
	x.triedReplicas = append(x.triedReplicas, placed.Replica.ID)
	return s
}

// run sends the attempt and returns its outcome.
func (s *send) run() Outcome {
	out := s.sendPermitted(time.Now())
	s.logAttempt(s.attempt, s.placed, out)
	if lost, ok := out.(Lost); ok {
		s.recordLost(lost, time.Now())
	}
	return out
}

// recordLost releases the place of an attempt that may have run, and records a crash. Nothing
// of that waits for an attempt beside this one.
func (s *send) recordLost(out Lost, now time.Time) {
	if err := s.parent.Err(); err != nil {
		result := placer.Neutral
		if errors.Is(err, context.DeadlineExceeded) {
			result = placer.Failed
		}
		s.placed.Done(result, now)
		return
	}
	s.placed.Done(placer.Failed, now)
	if out.Broken && !s.endedByDeadline(now) {
		s.recordCrash(s.placed.Replica, s.request.SharedParts, now)
	}
}

// wait begins to wait for a part of the response. Each wait ends with settle.
func (s *send) wait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = true
}

// onSilence begins to look for another replica, once in each wait.
func (s *send) onSilence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.waiting || s.alternative != nil {
		return
	}
	a := &alternative{silent: s, since: time.Now(), done: make(chan struct{})}
	a.ctx, a.cancel = context.WithCancel(s.parent)
	s.alternative = a
	go a.run()
}

// settle ends a wait and returns the attempt that serves the caller from now on, or nil if
// that is this one. If this one has neither responded nor can do so any longer, an attempt on
// another replica that is in progress is awaited.
func (s *send) settle(responded bool) *successor {
	s.mu.Lock()
	s.waiting = false
	a := s.alternative
	if a == nil {
		s.mu.Unlock()
		return nil
	}
	s.alternative = nil
	if a.won == nil && (responded || !a.sent) {
		a.dropped = true
		a.cancel()
	}
	s.mu.Unlock()
	<-a.done
	s.Log.Info("decision", zap.String("kind", "silence-ended"), zap.String("subject", s.request.ID), zap.String("replica", s.attempt.Replica.ID),
		zap.Duration("after", time.Since(a.since)), zap.Bool("responded", responded), zap.Bool("superseded", a.won != nil))
	return a.won
}

// run looks for a replica and sends the request there, until one of the two replicas
// responds.
func (a *alternative) run() {
	defer close(a.done)
	for a.allowed(time.Now()) {
		if !a.try(time.Now()) {
			waiter.Wait(a.ctx, placementInterval)
		}
	}
	if a.won == nil {
		a.cancel()
	}
}

// allowed reports whether the request may be sent to a further replica.
func (a *alternative) allowed(now time.Time) bool {
	s := a.silent
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.dropped || a.won != nil || !s.waiting || a.ctx.Err() != nil {
		return false
	}
	_, blocked := s.blocked(now)
	return !blocked && s.possibleRuns < s.request.Route.MaxAttempts && s.sends < maxSends && !s.isTooLate(now)
}

// try makes one attempt. It reports false if there was no replica for it.
func (a *alternative) try(now time.Time) bool {
	x := a.silent.execution
	placed, err := x.Placer.Place(a.ctx, x.placementQuery(now), now)
	if err != nil {
		return false
	}
	now = time.Now()
	versionLeft, usable := x.versionLeft(placed.Version, now)
	// An attempt that is not sent takes no retry.
	if !usable || !x.permittedAt(placed, now) || !a.begin(placed, now) {
		placed.Done(placer.Neutral, now)
		return false
	}
	s := x.newSend(a.ctx, placed, versionLeft, now)
	// This replica may be silent too.
	s.wait()
	out := s.run()
	if next := s.settle(x.responds(out)); next != nil {
		x.recordUnused(s, out)
		s, out = next.send, next.outcome
	}
	if !a.offer(s, out) {
		x.recordUnused(s, out)
	}
	return true
}

// begin reports whether the request is sent to a replica that has been reserved, and if so
// takes a retry from the budget.
func (a *alternative) begin(placed placer.Placement, now time.Time) bool {
	s := a.silent
	if !a.allowed(now) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// The wait does not end while the retry is taken.
	if a.dropped || !s.waiting || !s.takeRetryBudget(now) {
		return false
	}
	a.sent = true
	s.Observer.Silent(s.request.Service)
	s.Log.Info("decision", zap.String("kind", "silent"), zap.String("subject", s.request.ID), zap.String("replica", s.attempt.Replica.ID),
		zap.String("chosen", placed.Replica.ID), zap.String("resume", s.lastEventID), zap.Int("runs", s.possibleRuns), zap.Duration("since", now.Sub(a.since)))
	return true
}

// offer makes an attempt that responds the one that serves the caller, and reports whether
// it does.
func (a *alternative) offer(s *send, out Outcome) bool {
	a.silent.mu.Lock()
	defer a.silent.mu.Unlock()
	a.sent = false
	if a.dropped || !a.silent.responds(out) {
		return false
	}
	a.won = &successor{send: s, outcome: out}
	a.silent.cancel(&supersededError{})
	return true
}

// responds reports whether an outcome serves the caller. A stream that has begun is continued
// by a stream only.
func (x *execution) responds(out Outcome) bool {
	switch out := out.(type) {
	case Streaming:
		return true
	case Answered:
		return !x.streamBegun && out.Response.Status < minServerErrorStatus
	}
	return false
}

// recordUnused records the outcome of an attempt that does not serve the caller.
func (x *execution) recordUnused(s *send, out Outcome) {
	now := time.Now()
	defer s.cancel(nil)
	switch out := out.(type) {
	case Refused:
		x.recordRefused(s, out, now)
		return
	case Lost:
		x.mayHaveRun = true
		return
	case Answered:
		if out.Response.Status >= minServerErrorStatus {
			x.recordServerError(s, out, now)
			return
		}
	case Streaming:
		out.Events.Close()
	}
	x.mayHaveRun = true
	s.placed.Done(placer.Neutral, now)
}

// dropSuccessor ends an attempt that no longer serves a request, because that has ended.
func (x *execution) dropSuccessor() {
	if next := x.successor; next != nil {
		x.successor = nil
		x.recordUnused(next.send, next.outcome)
	}
}
