package forwarder

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// placementInterval is the time between two looks for a server beside a silent one.
const placementInterval = 500 * time.Millisecond

// race is an attempt with those made beside it while it is silent.
type race struct {
	*retryableRequest
	lead    lead
	ends    chan attemptEnd
	running int
	// again is when a server is looked for again, or nil.
	again <-chan time.Time
	// crashes are the ends of attempts beside others at which their backend servers
	// crashed. No further attempt is made after the first.
	crashes []attemptEnd
}

// attemptEnd is the end of an attempt.
type attemptEnd struct {
	attempt *attempt
	ending  ending
}

func newRace(r *retryableRequest) *race {
	return &race{retryableRequest: r, lead: lead{silences: make(chan struct{}, 1)}, ends: make(chan attemptEnd, maxAttempts)}
}

// attemptRun runs an attempt of a race.
type attemptRun struct {
	attempt *attempt
	start   *messenger.AttemptStart
	ends    chan<- attemptEnd
}

func (r *attemptRun) run(ctx context.Context) {
	r.ends <- attemptEnd{attempt: r.attempt, ending: r.attempt.run(ctx, r.start)}
}

// run makes the attempt and others beside it. It returns the attempt that serves the caller,
// or the last one, with its ending.
func (c *race) run(ctx context.Context, a *attempt) (*attempt, ending) {
	c.lead.holder = a
	c.start(ctx, a)
	for {
		select {
		case <-c.lead.silences:
			c.addAttempt(ctx, time.Now())
		case <-c.again:
			c.addAttempt(ctx, time.Now())
		case end := <-c.ends:
			c.running--
			if c.lead.remove(end.attempt) && (c.running == 0 || endsRequest(end.ending)) {
				return c.finish(ctx, end)
			}
			c.recordUnused(ctx, end)
			c.addAttempt(ctx, time.Now())
		}
	}
}

// endsRequest reports whether no other attempt may go on after an ending of the attempt that
// serves the caller.
func endsRequest(e ending) bool {
	switch e.(type) {
	case completed, answered, requestEnded:
		return true
	}
	return isCrash(e)
}

func isCrash(e ending) bool {
	b, ok := e.(broken)
	return ok && b.GetBackendCrashed()
}

func (c *race) newAttempt(choice picker.Choice, offset int, version string) *attempt {
	return &attempt{
		Forwarder: c.Forwarder, req: c.req, choice: choice, incarnation: choice.Incarnation, sink: c.sink, lead: &c.lead,
		id:     &messenger.AttemptId{RequestId: c.req.ID, Number: uint32(c.result.Attempts + 1)},
		offset: offset, version: version,
	}
}

func (c *race) start(ctx context.Context, a *attempt) {
	c.result.Attempts++
	c.tried = append(c.tried, a.choice.Server)
	c.running++
	if a.stop == nil {
		a.open(ctx)
	}
	go (&attemptRun{attempt: a, start: c.startFrame(a), ends: c.ends}).run(ctx)
}

// addAttempt makes an attempt beside the silent ones, if one is wanted and allowed. If there is
// no server or no budget for it, it is tried again later.
func (c *race) addAttempt(ctx context.Context, now time.Time) {
	c.again = nil
	offset, version, wanted := c.lead.position()
	if !wanted || len(c.crashes) > 0 || c.trial != nil || c.result.Attempts >= maxAttempts || ctx.Err() != nil {
		return
	}
	choice, ok := c.pick(version, now)
	if !ok {
		c.again = time.After(placementInterval)
		return
	}
	if !c.Budget.Take(now) {
		choice.Release()
		c.again = time.After(placementInterval)
		return
	}
	a := c.newAttempt(choice, offset, version)
	a.open(ctx)
	if !c.lead.add(a) {
		a.stop(errSuperseded)
		choice.Release()
		return
	}
	c.Counters.add(c.Counters.retries)
	if offset > 0 {
		c.Counters.add(c.Counters.resumes)
	}
	if c.Log != nil {
		logger.LogDecision(c.Log, logger.Decision{Kind: "silent", Subject: c.req.ID, Chosen: choice.VM, Reason: "no event from the agent in time"},
			zap.Int("offset", offset), zap.String("version", version))
	}
	c.start(ctx, a)
}

// recordUnused records the end of an attempt that does not serve the caller. A crash is
// reported while the others go on.
func (c *race) recordUnused(ctx context.Context, end attemptEnd) {
	c.recordAttempt(end.attempt, end.ending)
	switch e := end.ending.(type) {
	case broken:
		c.started = true
		if isCrash(e) {
			c.crashes = append(c.crashes, end)
			end.attempt.crash = &crashReport{attempt: end.attempt, ending: e, done: make(chan struct{})}
			go end.attempt.crash.run(ctx)
		}
	case refused:
		if e.GetReason() == messenger.RefuseReason_REFUSE_REASON_OVERLOADED {
			end.attempt.choice.Overloaded(time.Now())
		}
	case lost, superseded, requestEnded:
		c.abandoned = append(c.abandoned, end.attempt)
	}
}

// finish ends the attempts beside the last one and returns the ending that decides how to go
// on: that of a crash beside it, unless the last one ends the request or crashed too.
func (c *race) finish(ctx context.Context, last attemptEnd) (*attempt, ending) {
	c.lead.close()
	for ; c.running > 0; c.running-- {
		c.recordUnused(ctx, <-c.ends)
	}
	if len(c.crashes) > 0 && !endsRequest(last.ending) {
		c.recordUnused(ctx, last)
		last, c.crashes = c.crashes[0], c.crashes[1:]
	} else {
		c.recordAttempt(last.attempt, last.ending)
	}
	for _, crash := range c.crashes {
		// reportCrash logs its error.
		_, _ = c.reportCrash(ctx, crash.attempt, crash.ending.(broken), nil)
	}
	return last.attempt, last.ending
}
