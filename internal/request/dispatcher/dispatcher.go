// Package dispatcher executes a request: it selects a replica, sends an attempt,
// decides from the outcome whether to try another replica, and returns the result
// to the caller.
//
// A request that is not idempotent is sent again only with the proof that the
// earlier attempt has not run. An idempotent one is sent again after any failure,
// within the route's maximum of attempts and the retry budget, and a resumable
// stream continues after its last complete event.
package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/drainer"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/internal/request/prover"
	"github.com/lentilbridge/lentilbridge/internal/request/shedder"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

const (
	// maxWaitFraction is the fraction of the target latency that a request may wait
	// for a free replica. After a longer wait the response would be late, and an
	// early refusal leaves the caller time to retry.
	maxWaitFraction = 0.3
	// A request that was refused before may wait for the fraction returningWaitFraction
	// of its remaining time, at most maxReturningWait. Its response is late in any case,
	// and a second refusal would be final.
	returningWaitFraction = 0.4
	maxReturningWait      = 1500 * time.Millisecond
	// maxSends bounds the attempts of one request, including refused ones.
	maxSends = 4
	// minRemainingTime is the time before the deadline below which a request is not
	// sent, because no replica responds so fast.
	minRemainingTime = 20 * time.Millisecond
	// silenceTimeoutFactor is the ratio of the silence timeout to the target latency.
	// If a replica has not sent the first byte within the silence timeout, a
	// repeatable request is sent to another replica as well.
	silenceTimeoutFactor = 4.5
	// minSilenceTimeout is the lower bound of the silence timeout.
	minSilenceTimeout = 700 * time.Millisecond
	// Callers leave a stream after the longest of minCallerPatience, patienceTargets
	// times the target latency, and patienceGaps times the target of the pauses.
	minCallerPatience = 2 * time.Second
	patienceTargets   = 4
	patienceGaps      = 8
	// leaveMargin is the time for a caller to leave after the end of its patience.
	leaveMargin = 500 * time.Millisecond
	// retryExtraSlots is the number of requests beyond its slots that a replica may
	// get for a repeat, because the work of the earlier attempt is lost if no replica
	// is found.
	retryExtraSlots = 2
	// replicaEndMargin is the time before the deadline of a request from which on its replica may
	// have ended it: replicas are given slightly less time than is left.
	replicaEndMargin = 10 * time.Millisecond
	// maxRetryWait bounds the wait of a repeat for a free replica.
	maxRetryWait = time.Second
	// minServerErrorStatus is the lowest HTTP status that counts as a failure of the
	// replica.
	minServerErrorStatus = 500
	// minRedirectStatus is above all HTTP statuses that mean success.
	minRedirectStatus = 300
)

// Dispatcher executes requests. Its fields must be set before the first call.
type Dispatcher struct {
	Placer *placer.Placer
	Sender Sender
	// Budgets returns the retry budget of a service.
	Budgets  func(service string) *budgeter.Budget
	Blocker  *blocker.Blocker
	Versions Versions
	// OnCrash is called, if set, for each replica crash that this daemon was the
	// first to detect.
	OnCrash func(c blocker.Crash, at time.Time)
	// OnReplaced is called, if set, for each replica at whose address another one has responded.
	OnReplaced func(r placer.Replica, now time.Time)
	// RetryAfter returns the retry-after time of a refusal; 0 means none.
	RetryAfter func(r *Request, now time.Time) time.Duration
	// Regions returns, if set, the regions in which a request may be served now. Those that it arrived with may
	// be of a configuration that was replaced since.
	Regions func(r *Request) matcher.Regions
	// Stop returns, if set, the schedule of the stop of this daemon, or nil before it.
	Stop     func() *drainer.Plan
	Log      *logger.Logger
	Observer Observer
}

// execution is the state of one request in progress.
type execution struct {
	*Dispatcher
	request *Request
	sink    Sink

	// mayHaveRun is set once an attempt was lost: it ended without a proof that it
	// has not run.
	mayHaveRun bool
	// possibleRuns counts the attempts that have run or may have run.
	possibleRuns int
	// sends counts all attempts.
	sends         int
	triedReplicas []string
	// proof is the proof of the latest attempt that has not run.
	proof prover.NotRun
	// serverError is a replica's response with a server error, which is returned to
	// the caller if no later attempt succeeds.
	serverError *Response
	// unplaced is the latest reason why the request got no place.
	unplaced *placer.RefusedError
	// streamBegun is set once the caller has the beginning of a stream.
	streamBegun bool
	// successor takes the place of the present attempt, which has ended.
	successor *successor
	// lastEventID is the id of the last event that the caller has; empty for none.
	lastEventID     string
	timeToFirstByte time.Duration
	queueTime       time.Duration
}

// Dispatch executes the request and returns once its result has been passed to sink.
func (d *Dispatcher) Dispatch(ctx context.Context, r *Request, sink Sink) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	x := &execution{Dispatcher: d, request: r, sink: sink, lastEventID: r.LastEventID, proof: prover.NeverSent("no attempt was made")}
	d.Budgets(r.Service).AddFirstAttempt(r.Arrived)
	if reason, blocked := x.blocked(r.Arrived); blocked {
		x.Blocker.RecordRefusal(r.Fingerprint, r.Arrived)
		x.refuse(reason)
		return
	}
	defer x.dropSuccessor()
	for !x.advance(ctx) {
	}
}

// advance goes on with an attempt that responds already, or makes another one, and reports
// whether the request has ended.
func (x *execution) advance(ctx context.Context) (ended bool) {
	if next := x.successor; next != nil {
		x.successor = nil
		return x.handle(ctx, next.send, next.outcome)
	}
	return x.attempt(ctx)
}

// attempt makes one attempt and reports whether the request has ended.
func (x *execution) attempt(ctx context.Context) (ended bool) {
	now := time.Now()
	if x.shouldAbandon(ctx, now) {
		return x.abandon(ctx)
	}
	placed, err := x.Placer.Place(ctx, x.placementQuery(now), now)
	if err != nil {
		return x.handlePlacementError(ctx, err)
	}
	now = time.Now()
	x.queueTime += placed.Waited
	if x.shouldAbandon(ctx, now) {
		placed.Done(placer.Neutral, now)
		return x.abandon(ctx)
	}
	// Replicas may have crashed while the request waited.
	if reason, blocked := x.blocked(now); blocked {
		placed.Done(placer.Neutral, now)
		return x.finish(reason)
	}
	versionLeft, usable := x.versionLeft(placed.Version, now)
	if !usable {
		placed.Done(placer.Neutral, now)
		x.Log.Info("decision", zap.String("kind", "version-expired"), zap.String("subject", x.request.ID), zap.String("chosen", placed.Replica.ID),
			zap.Int("version", placed.Version), zap.Duration("waited", placed.Waited))
		return false
	}
	a := x.newSend(ctx, placed, versionLeft, now)
	a.wait()
	out := a.run()
	responded := x.responds(out)
	x.successor = a.settle(responded)
	if responded && x.successor != nil {
		x.recordUnused(a, out)
		return false
	}
	return x.handle(ctx, a, out)
}

// handle goes on with the outcome of an attempt.
func (x *execution) handle(ctx context.Context, s *send, out Outcome) (ended bool) {
	switch out := out.(type) {
	case Refused:
		return x.handleRefused(ctx, s, out)
	case Lost:
		return x.handleLost(ctx, out)
	case Answered:
		return x.handleAnswered(s, out)
	case Streaming:
		return x.handleStreaming(ctx, s, out)
	}
	s.placed.Done(placer.Neutral, time.Now())
	return x.fail(false, fmt.Sprintf("unknown outcome type %T", out))
}

// blocked reports whether the request may not be sent because it, or others with a part
// of its prompt, crashed replicas.
func (x *execution) blocked(now time.Time) (reason string, blocked bool) {
	if x.Blocker.Blocked(x.request.Fingerprint, now) {
		return "the request crashed several replicas", true
	}
	if x.Blocker.PartBlocked(x.request.SharedParts, now) {
		return "requests with a part of the prompt crashed several replicas", true
	}
	return "", false
}

// shouldAbandon reports whether the caller has left or too little time remains for
// an attempt.
func (x *execution) shouldAbandon(ctx context.Context, now time.Time) bool {
	return ctx.Err() != nil || x.isTooLate(now) || x.mayOutlastStop(now)
}

// isTooLate reports whether too little time remains for an attempt. A repeat needs
// at least the target latency, the usual time until a response begins. The caller
// may leave before the deadline, which is counted from the arrival of the request
// here: without this margin, repeats reached replicas 0.6 s after their callers had
// left.
func (x *execution) isTooLate(now time.Time) bool {
	remaining := x.end().Sub(now)
	if x.possibleRuns > 0 {
		return remaining < max(minRemainingTime, x.request.Route.TargetLatency)
	}
	return remaining < minRemainingTime
}

// endedByDeadline reports whether a replica that ends its work now may do so because of the
// deadline that it was given.
func (x *execution) endedByDeadline(now time.Time) bool {
	return x.request.Deadline.Sub(now) <= replicaEndMargin
}

// placementQuery returns the requirements of the next attempt on its replica.
func (x *execution) placementQuery(now time.Time) placer.Query {
	r := x.request
	q := placer.Query{
		Service: r.Service, Model: r.Model, Regions: x.regions(), Exclude: x.triedReplicas, Class: x.class(), Ranked: r.Ranked,
		MaxWait:      time.Duration(maxWaitFraction * float64(r.Route.TargetLatency)),
		PromptTokens: r.PromptTokens, TargetLatency: r.Route.TargetLatency,
	}
	if r.Model != "" {
		q.MinVersion = x.Versions.OldestAllowed(r.Model, now)
	}
	if r.Returning {
		q.MaxWait = min(maxReturningWait, time.Duration(returningWaitFraction*float64(r.Deadline.Sub(now))))
	}
	if x.streamBegun || x.possibleRuns > 0 {
		q.ExtraSlots = retryExtraSlots
		q.TargetLatency = 0
		q.MaxWait = min(maxRetryWait, r.Deadline.Sub(now)/2)
	}
	return q
}

// class returns the class of the request in the competition for places.
func (x *execution) class() shedder.Class {
	r := x.request
	return shedder.Class{Returning: r.Returning, Rank: r.Priority, RouteRank: r.Route.Priority}
}

// versionLeft returns how long the request may still begin on a model version, 0 for no
// bound, and false if it may not: the version may have expired while the request waited
// for a place.
func (x *execution) versionLeft(version int, now time.Time) (left time.Duration, usable bool) {
	if version == 0 {
		return 0, true
	}
	left, expires := x.Versions.ExpiresIn(x.request.Model, version, now)
	if !expires {
		return 0, true
	}
	return left, left > 0 && version >= x.Versions.OldestAllowed(x.request.Model, now)
}

// firstByteSilence returns the time after which a replica that has not sent the first byte
// counts as silent, if the request can be repeated on another replica; 0 means never. It does
// not for the last attempt, nor if less than a third of the remaining time would be left.
func (x *execution) firstByteSilence(remaining time.Duration) time.Duration {
	r := x.request
	if !r.Route.Repeatable() || x.possibleRuns+1 >= r.Route.MaxAttempts {
		return 0
	}
	limit := max(minSilenceTimeout, time.Duration(silenceTimeoutFactor*float64(r.Route.TargetLatency)))
	if limit > remaining*2/3 {
		return 0
	}
	return limit
}

// eventSilence returns the time after the latest event from which on a replica counts as
// silent, if another one can resume the stream; 0 means never.
func (x *execution) eventSilence() time.Duration {
	r := x.request.Route
	if r.Kind != matcher.Streaming || !r.Resumable || x.possibleRuns+1 >= r.MaxAttempts {
		return 0
	}
	return callerPatience(r) / 2
}

// stallTimeout returns the maximum pause between two events of a stream. Slow streams go on
// as long as each event comes within it. It is above the time after which callers leave, so
// that only those that stay have their streams ended.
func (x *execution) stallTimeout() time.Duration {
	r := x.request.Route
	if r.Kind != matcher.Streaming {
		return 0
	}
	return callerPatience(r) + leaveMargin
}

// callerPatience returns the pause between two events after which callers leave a stream.
func callerPatience(r *matcher.Route) time.Duration {
	return max(minCallerPatience, patienceTargets*r.TargetLatency, patienceGaps*r.GapTarget)
}

// handlePlacementError ends a request that was not placed. Like the other handle
// functions, it reports whether the request has ended.
func (x *execution) handlePlacementError(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return x.abandon(ctx)
	}
	x.recordUnplaced(err)
	return x.finish(err.Error())
}

// handleRefused ends the request if it may not be sent again after a refusal.
func (x *execution) handleRefused(ctx context.Context, s *send, out Refused) bool {
	now := time.Now()
	x.recordRefused(s, out, now)
	switch {
	case ctx.Err() != nil:
		return x.abandon(ctx)
	case x.successor != nil:
		return false
	case x.sends >= maxSends:
		return x.finish(out.Proof.Reason())
	}
	// An attempt that reached no replica does not use the retry budget.
	if !out.Proof.Unreachable() && !out.NotPermitted {
		return !x.takeRetryBudget(now) && x.finish(out.Proof.Reason())
	}
	if x.streamBegun || x.mayHaveRun {
		// The replica may be back before the request has to fail.
		x.forgetTried(s.placed.Replica.ID)
	}
	return false
}

// forgetTried lets the request be placed on a replica again.
func (x *execution) forgetTried(replica string) {
	x.triedReplicas = slices.DeleteFunc(x.triedReplicas, func(id string) bool { return id == replica })
}

// recordRefused records why the replica refused the attempt.
func (x *execution) recordRefused(s *send, out Refused, now time.Time) {
	x.proof = out.Proof
	x.possibleRuns--
	switch {
	case out.NotPermitted:
		s.placed.Done(placer.Neutral, now)
		// Nothing was sent, and the replica may be permitted a moment later: the daemon may have been paused.
		x.forgetTried(s.placed.Replica.ID)
	case s.parent.Err() != nil:
		s.placed.Done(placer.Neutral, now)
	case out.OtherReplica:
		if x.OnReplaced != nil {
			x.OnReplaced(s.placed.Replica, now)
		}
		s.placed.Done(placer.Unreachable, now)
	case out.Proof.Unreachable():
		s.placed.Done(placer.Unreachable, now)
	case out.OtherVersion:
		x.Placer.InvalidateVersion(s.placed.Replica.Address, x.request.Model, s.placed.Version, now)
		s.placed.Done(placer.Neutral, now)
	default:
		s.placed.Done(placer.Full, now)
	}
}

// handleLost ends the request unless it can be repeated after an attempt that may
// have run.
func (x *execution) handleLost(ctx context.Context, out Lost) bool {
	now := time.Now()
	x.mayHaveRun = true
	switch {
	case ctx.Err() != nil:
		return x.abandon(ctx)
	case x.successor != nil:
		return false
	case out.Broken && x.Blocker.PartSuspected(x.request.SharedParts, now), !x.allowRepeat(now):
		return x.finish(out.Cause.Error())
	}
	return false
}

// handleAnswered sends the response to the caller, or repeats the request after a
// server error.
func (x *execution) handleAnswered(s *send, out Answered) bool {
	now := time.Now()
	if out.Response.Status >= minServerErrorStatus {
		x.recordServerError(s, out, now)
		if x.successor == nil && !x.allowRepeat(now) {
			return x.finish("the replica returned a server error")
		}
		return false
	}
	s.placed.Done(placer.Succeeded, now)
	x.Blocker.RecordSuccess(x.request.Fingerprint, now)
	if out.Response.Status < minRedirectStatus {
		x.Blocker.RecordPartSuccess(x.request.SharedParts, now, now)
	}
	if x.streamBegun {
		return x.finish("the replica did not resume the stream")
	}
	x.timeToFirstByte = now.Sub(x.request.Arrived)
	x.sink.Respond(out.Response)
	x.recordEnd("answered")
	return true
}

// recordServerError keeps a response with a server error for the caller.
func (x *execution) recordServerError(s *send, out Answered, now time.Time) {
	s.placed.Done(placer.Failed, now)
	x.serverError = &out.Response
}

// allowRepeat reports whether a request that may have run can be sent again, and
// if so takes one retry from the budget.
func (x *execution) allowRepeat(now time.Time) bool {
	r := x.request
	if !r.Route.Repeatable() || x.possibleRuns >= r.Route.MaxAttempts || x.sends >= maxSends {
		return false
	}
	if _, blocked := x.blocked(now); blocked || x.isTooLate(now) {
		return false
	}
	return x.takeRetryBudget(now)
}

// takeRetryBudget takes one retry from the budget of the service and reports
// whether there was one.
func (x *execution) takeRetryBudget(now time.Time) bool {
	b := x.Budgets(x.request.Service)
	allowed := b.Take(now)
	x.Log.Info("decision", zap.String("kind", "retry"), zap.String("subject", x.request.ID), zap.String("service", x.request.Service),
		zap.Bool("allowed", allowed), zap.Float64("left", b.Available(now)), zap.Int("sends", x.sends), zap.Int("runs", x.possibleRuns))
	if allowed {
		x.Observer.Retried(x.request.Service)
	} else {
		x.Observer.RetryDenied(x.request.Service)
	}
	return allowed
}

// recordCrash records a crash of the replica, which one of the parts of the prompt may
// have caused, and announces it if it is new.
func (x *execution) recordCrash(replica placer.Replica, parts []blocker.Fingerprint, now time.Time) {
	c := blocker.Crash{
		Fingerprint: x.request.Fingerprint, Replica: incarnation(replica), Parts: x.Blocker.SuspectParts(parts, now),
	}
	if x.Blocker.RecordCrash(c, now) && x.OnCrash != nil {
		x.OnCrash(c, now)
	}
}

// incarnation names one run of a replica, which may start again under the ID and the address
// that it had.
func incarnation(r placer.Replica) string {
	return r.ID + "@" + r.Address + "#" + strconv.FormatInt(r.StartedAtMs, 10)
}
