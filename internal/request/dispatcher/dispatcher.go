// Package dispatcher runs a request: it asks for a place, sends an attempt,
// decides from the outcome whether to try another replica, and tells the caller
// how the request ended.
//
// A request that must not run twice is sent again only with the proof that the
// earlier attempt has not run. One that may be repeated is sent again after any
// failure while the route's attempts and the retry budget allow it, and a
// resumable stream continues after its last whole event.
package dispatcher

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/internal/request/prover"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

const (
	// waitShare is the part of the target that a request may wait for a place.
	// After a longer wait the answer would be late, and a refusal that comes
	// early leaves the caller time to come back.
	waitShare = 0.3
	// maxSends bounds the sends of one request, refused ones included.
	maxSends = 4
	// minRemaining is the time below which a request is not sent: no replica
	// answers so quickly.
	minRemaining = 20 * time.Millisecond
	// silenceFactor times the target is how long a replica may stay silent
	// before a repeatable request is sent to another.
	silenceFactor = 4.5
	// minSilence is the least of that time.
	minSilence = 700 * time.Millisecond
	// retryExcess is the number of requests above its places that a replica may
	// get for an attempt after the first. Work is lost if no place is found.
	retryExcess = 2
	// maxRetryWait bounds the wait of such an attempt for a place.
	maxRetryWait = time.Second
	// firstServerError is the first status that a replica's own failure has.
	firstServerError = 500
)

// Dispatcher runs requests. Fields are set before use.
type Dispatcher struct {
	Placer   *placer.Placer
	Sender   Sender
	Budgets  func(service string) *budgeter.Budget
	Blocker  *blocker.Blocker
	Versions Versions
	// Crashed is called for each crash that this daemon saw first, if set.
	Crashed func(blocker.Crash)
	// RetryAfter decides when a refused caller should come back; 0 names no
	// time.
	RetryAfter func(r *Request, now time.Time) time.Duration
	Log        *logger.Logger
	Observer   Observer
}

// run is one request in progress.
type run struct {
	*Dispatcher
	request *Request
	sink    Sink

	// mayHaveRun is set once an attempt ended without proof.
	mayHaveRun bool
	// runs counts the replicas that may have run the request.
	runs  int
	sends int
	tried []string
	// proof is the newest proof that an attempt has not run.
	proof prover.NotRun
	// fallback is a failure of a replica, delivered when no retry succeeds.
	fallback *Answer
	// began is set once the caller has the beginning of a stream.
	began  bool
	resume string
	first  time.Duration
	waited time.Duration
}

// Dispatch runs the request and returns when the caller has been told its end.
func (d *Dispatcher) Dispatch(ctx context.Context, r *Request, sink Sink) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	x := &run{Dispatcher: d, request: r, sink: sink, resume: r.Resume, proof: prover.NeverSent("no attempt was made")}
	d.Budgets(r.Service).AddFirstAttempt(r.Arrived)
	if d.Blocker.Blocked(r.Fingerprint, r.Arrived) {
		x.refuse("the request crashed several replicas")
		return
	}
	for !x.attempt(ctx) {
	}
}

// attempt makes one attempt and reports whether the request has ended.
func (x *run) attempt(ctx context.Context) (ended bool) {
	now := time.Now()
	if x.timeIsOver(ctx, now) {
		return x.giveUp(ctx)
	}
	placed, err := x.Placer.Place(ctx, x.query(now), now)
	if err != nil {
		return x.unplaced(ctx, err)
	}
	now = time.Now()
	x.waited += placed.Waited
	if x.timeIsOver(ctx, now) {
		placed.Done(placer.Neutral, now)
		return x.giveUp(ctx)
	}
	x.sends++
	x.tried = append(x.tried, placed.Replica.ID)
	remaining := x.request.Deadline.Sub(now)
	a := Attempt{
		Request: x.request, Number: x.sends, Replica: placed.Replica, Version: placed.Version,
		Remaining: remaining, Resume: x.resume, FirstByte: x.firstByte(placed.Version, remaining, now),
	}
	out := x.Sender.Send(ctx, a)
	x.logAttempt(a, placed, out)
	switch out := out.(type) {
	case Refused:
		return x.refused(ctx, placed, out)
	case Lost:
		return x.lost(ctx, placed, out)
	case Answered:
		return x.answered(placed, out)
	case Streaming:
		return x.stream(ctx, placed, out)
	}
	placed.Done(placer.Neutral, time.Now())
	return x.fail(false, "outcome of an unknown type")
}

func (x *run) timeIsOver(ctx context.Context, now time.Time) bool {
	return ctx.Err() != nil || x.tooLate(now)
}

// tooLate tells whether too little time is left for an attempt. A repeat needs
// the target, the time that an answer usually takes to begin: its caller leaves
// before it is of use, and possibly earlier than this daemon knows, because the
// deadline is counted from the arrival of the request. On tmfpa-grown scale-2
// repeats reached replicas 0.6 s after their callers had left.
func (x *run) tooLate(now time.Time) bool {
	left := x.request.Deadline.Sub(now)
	if x.runs > 0 {
		return left < max(minRemaining, x.request.Route.Target)
	}
	return left < minRemaining
}

// query says what the next attempt needs.
func (x *run) query(now time.Time) placer.Query {
	r := x.request
	q := placer.Query{
		Service: r.Service, Model: r.Model, Exclude: x.tried, Returning: r.Returning, Priority: r.Priority,
		MaxWait: time.Duration(waitShare * float64(r.Route.Target)),
		Prompt:  r.Prompt, Target: r.Route.Target,
	}
	if r.Model != "" {
		q.MinVersion = x.Versions.Oldest(r.Model, now)
	}
	if x.began || x.runs > 0 {
		q.ExtraSlots = retryExcess
		q.Target = 0
		q.MaxWait = min(maxRetryWait, r.Deadline.Sub(now)/2)
	}
	return q
}

// firstByte bounds the wait for the first byte: by the silence that is allowed,
// and by the time in which the request may begin on the version of its replica.
// A request that waits at a replica which loads weights would begin too late.
func (x *run) firstByte(version int, remaining time.Duration, now time.Time) time.Duration {
	limit := x.silence(remaining)
	if version == 0 {
		return limit
	}
	left, ends := x.Versions.Expires(x.request.Model, version, now)
	if ends && left > 0 && (limit == 0 || left < limit) {
		return left
	}
	return limit
}

// silence bounds the wait for the first byte of a request that may be repeated
// while another attempt is left.
func (x *run) silence(remaining time.Duration) time.Duration {
	r := x.request
	if !r.Route.Repeatable() || x.runs+1 >= r.Route.MaxAttempts {
		return 0
	}
	limit := max(minSilence, time.Duration(silenceFactor*float64(r.Route.Target)))
	if limit > remaining*2/3 {
		return 0
	}
	return limit
}

func (x *run) unplaced(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return x.giveUp(ctx)
	}
	return x.stop(err.Error())
}

func (x *run) refused(ctx context.Context, placed placer.Placement, out Refused) bool {
	now := time.Now()
	x.proof = out.Proof
	switch {
	case ctx.Err() != nil:
		placed.Done(placer.Neutral, now)
		return x.giveUp(ctx)
	case out.Proof.Unreachable(), out.OtherReplica:
		placed.Done(placer.Unreachable, now)
	case out.OtherVersion:
		x.Placer.Refute(placed.Replica.Address, x.request.Model, placed.Version, now)
		placed.Done(placer.Neutral, now)
	default:
		placed.Done(placer.Full, now)
	}
	if x.sends >= maxSends {
		return x.stop(out.Proof.Reason())
	}
	// A connection that was not made reached no replica and costs no budget.
	if !out.Proof.Unreachable() && !x.takeRetry(now) {
		return x.stop(out.Proof.Reason())
	}
	return false
}

func (x *run) lost(ctx context.Context, placed placer.Placement, out Lost) bool {
	now := time.Now()
	x.mayHaveRun = true
	x.runs++
	if ctx.Err() != nil {
		result := placer.Neutral
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			result = placer.Failed
		}
		placed.Done(result, now)
		return x.giveUp(ctx)
	}
	placed.Done(placer.Failed, now)
	if out.Broken {
		x.crashed(placed.Replica, now)
	}
	if !x.mayRepeat(now) {
		return x.stop(out.Cause.Error())
	}
	return false
}

func (x *run) answered(placed placer.Placement, out Answered) bool {
	now := time.Now()
	x.runs++
	if out.Answer.Status >= firstServerError {
		placed.Done(placer.Failed, now)
		x.fallback = &out.Answer
		if !x.mayRepeat(now) {
			return x.stop("the replica failed the request")
		}
		return false
	}
	placed.Done(placer.Succeeded, now)
	x.Blocker.Succeeded(x.request.Fingerprint)
	if x.began {
		return x.stop("the replica did not resume the stream")
	}
	x.first = now.Sub(x.request.Arrived)
	x.sink.Answer(out.Answer)
	x.ended("answered")
	return true
}

// mayRepeat decides whether a request that may have run is sent once more.
func (x *run) mayRepeat(now time.Time) bool {
	r := x.request
	if !r.Route.Repeatable() || x.runs >= r.Route.MaxAttempts || x.sends >= maxSends {
		return false
	}
	if x.Blocker.Blocked(r.Fingerprint, now) || x.tooLate(now) {
		return false
	}
	return x.takeRetry(now)
}

func (x *run) takeRetry(now time.Time) bool {
	if !x.Budgets(x.request.Service).Take(now) {
		return false
	}
	x.Observer.Retried(x.request.Service)
	return true
}

func (x *run) crashed(replica placer.Replica, now time.Time) {
	c := blocker.Crash{Fingerprint: x.request.Fingerprint, Replica: replica.ID + "@" + replica.Address}
	if x.Blocker.Crashed(c, now) && x.Crashed != nil {
		x.Crashed(c)
	}
}

// giveUp ends a request whose caller left or whose time is over.
func (x *run) giveUp(ctx context.Context) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		if x.began {
			x.sink.Abort()
		} else {
			x.sink.Fail(false, "the caller left")
		}
		x.ended("caller-left")
		return true
	}
	if x.began || x.mayHaveRun {
		return x.fail(true, "deadline passed")
	}
	return x.stop("deadline passed before an attempt ran")
}

// stop ends a request that gets no further attempt.
func (x *run) stop(reason string) bool {
	switch {
	case x.began:
		return x.fail(false, reason)
	case x.fallback != nil:
		x.first = time.Since(x.request.Arrived)
		x.sink.Answer(*x.fallback)
		x.ended("failed-by-replica")
		return true
	case x.mayHaveRun:
		return x.fail(false, reason)
	}
	return x.refuse(reason)
}

func (x *run) refuse(reason string) bool {
	after := x.RetryAfter(x.request, time.Now())
	x.sink.Refuse(x.proof, after)
	x.Log.Info("decision", zap.String("kind", "refuse"), zap.String("subject", x.request.ID), zap.String("reason", reason),
		zap.String("proof", x.proof.Reason()), zap.Duration("retry-after", after), zap.Bool("returning", x.request.Returning))
	x.ended("refused")
	return true
}

func (x *run) fail(timeout bool, reason string) bool {
	outcome := "failed"
	if x.began {
		x.sink.Abort()
		outcome = "stream-broken"
	} else {
		x.sink.Fail(timeout, reason)
	}
	x.Log.Info("decision", zap.String("kind", "fail"), zap.String("subject", x.request.ID), zap.String("reason", reason), zap.Bool("timeout", timeout))
	x.ended(outcome)
	return true
}

func (x *run) ended(outcome string) {
	total := time.Since(x.request.Arrived)
	x.Observer.Ended(x.request, outcome, x.first, total)
	x.Log.Info("request", zap.String("subject", x.request.ID), zap.String("outcome", outcome),
		zap.String("route", x.request.Route.Name), zap.String("kind", string(x.request.Route.Kind)),
		zap.String("team", x.request.Team), zap.Uint64("configuration", x.request.ConfigurationVersion),
		zap.Int("sends", x.sends), zap.Int("runs", x.runs), zap.Duration("waited", x.waited),
		zap.Duration("first", x.first), zap.Duration("total", total))
}

func (x *run) logAttempt(a Attempt, placed placer.Placement, out Outcome) {
	entry := x.Log.Check(zap.InfoLevel, "decision")
	if entry == nil {
		return
	}
	outcome, detail := describe(out)
	entry.Write(zap.String("kind", "attempt"), zap.String("subject", x.request.ID), zap.Int("number", a.Number),
		zap.String("chosen", a.Replica.ID), zap.String("address", a.Replica.Address), zap.Float64("load", placed.Load),
		zap.Duration("load-age", placed.LoadAge), zap.Duration("predicted", placed.Predicted), zap.Int("version", a.Version), zap.Duration("remaining", a.Remaining),
		zap.String("outcome", outcome), zap.String("detail", detail))
}

func describe(out Outcome) (outcome, detail string) {
	switch out := out.(type) {
	case Refused:
		return "refused", out.Proof.Reason()
	case Lost:
		return "lost", out.Cause.Error()
	case Answered:
		return "answered", ""
	case Streaming:
		return "streaming", ""
	}
	return "unknown", ""
}
