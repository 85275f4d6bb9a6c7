package forwarder

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// trialPollInterval is the time between requests for a trial permit if the
// isolation owner does not specify one.
const trialPollInterval = 250 * time.Millisecond

// trial is a permit to run a suspect request alone on a backend server.
type trial struct {
	id string
}

// afterCrash handles the crash of a backend server. The crash is reported before
// the caller gets an answer. A request that was in progress at the crash is retried
// once, as a trial.
func (r *retryableRequest) afterCrash(ctx context.Context, a *attempt, e broken) *identifier.RequestError {
	reply, err := r.reportCrash(ctx, a, e, r.trial)
	switch {
	case err != nil:
		return err
	case reply.GetBlocked():
		r.trial = nil
		return blockedError(time.UnixMilli(reply.GetBlockedUntilMs()), time.Now(), identifier.OutcomeUnknown)
	case r.trial != nil:
		r.trial = nil
		return serverError(http.StatusBadGateway, "backend-crashed", "the backend server crashed in a trial run")
	}
	if err := r.retry(a, "backend-crashed", "the backend server crashed"); err != nil {
		return err
	}
	if !isSuspect(r.req, e) {
		return nil
	}
	r.trial, err = r.requestTrial(ctx, r.req)
	return err
}

// isSuspect reports whether the request is among those in progress at the crash. If
// the agent lists no requests, every request is suspect.
func isSuspect(req *identifier.Request, e broken) bool {
	return len(e.GetInProgress()) == 0 || slices.Contains(e.GetInProgress(), req.Fingerprint)
}

// crashReport is the report of a crash beside other attempts of the request.
type crashReport struct {
	attempt *attempt
	ending  broken
	// done is closed once reply and err are set.
	done  chan struct{}
	reply *messenger.SuspectReply
	err   *identifier.RequestError
}

func (r *crashReport) run(ctx context.Context) {
	defer close(r.done)
	r.reply, r.err = r.attempt.sendCrash(ctx, r.attempt, r.ending, nil)
}

// reportCrash reports the crash to the owner of the isolation shard, or waits for the report
// if that is being made. If it fails, the request must not be retried: it could crash more
// than two backend servers.
func (f *Forwarder) reportCrash(ctx context.Context, a *attempt, e broken, t *trial) (*messenger.SuspectReply, *identifier.RequestError) {
	if a.crash == nil {
		return f.sendCrash(ctx, a, e, t)
	}
	<-a.crash.done
	return a.crash.reply, a.crash.err
}

func (f *Forwarder) sendCrash(ctx context.Context, a *attempt, e broken, t *trial) (*messenger.SuspectReply, *identifier.RequestError) {
	if f.Isolation == nil {
		return &messenger.SuspectReply{}, nil
	}
	cctx, cancel := f.detachedContext(ctx)
	defer cancel()
	report := &messenger.SuspectRequest{
		Fingerprint: a.req.Fingerprint, Vm: a.choice.VM, Crashed: true, InProgress: e.GetInProgress(),
	}
	if t != nil {
		report.Trial = t.id
	}
	reply, err := f.Isolation.Suspect(cctx, report)
	if err != nil {
		a.warn("failed to report the crash of a backend server: " + err.Error())
		return nil, serverError(http.StatusBadGateway, "backend-crashed",
			"the backend server crashed and the crash could not be recorded")
	}
	return reply, nil
}

// requestTrial waits for a permit to run the request alone. Without isolation it
// returns nil.
func (f *Forwarder) requestTrial(ctx context.Context, req *identifier.Request) (*trial, *identifier.RequestError) {
	if f.Isolation == nil {
		return nil, nil
	}
	for {
		reply, err := f.Isolation.Suspect(ctx, &messenger.SuspectRequest{Fingerprint: req.Fingerprint, AskTrial: true})
		switch {
		case ctx.Err() != nil:
			return nil, requestEndedError(context.Cause(ctx))
		case err != nil:
			return nil, serverError(http.StatusServiceUnavailable, "trial-unavailable",
				"the request is suspected to crash backend servers and no trial run could be arranged")
		case reply.GetBlocked():
			now := time.Now()
			return nil, blockedError(time.UnixMilli(reply.GetBlockedUntilMs()), now, identifier.OutcomeNotRun)
		case reply.GetTrialGranted():
			return &trial{id: reply.GetTrial()}, nil
		}
		wait := time.Duration(reply.GetRetryAfterMs()) * time.Millisecond
		if !waiter.Wait(ctx, orDefault(wait, trialPollInterval)) {
			return nil, requestEndedError(context.Cause(ctx))
		}
	}
}

// endTrial returns the permit to the isolation owner. If the trial succeeded, this
// also clears the suspicion.
func (f *Forwarder) endTrial(ctx context.Context, req *identifier.Request, t *trial, ok bool) {
	cctx, cancel := f.detachedContext(ctx)
	defer cancel()
	_, err := f.Isolation.Suspect(cctx, &messenger.SuspectRequest{Fingerprint: req.Fingerprint, Trial: t.id, Succeeded: ok})
	if err != nil && f.Log != nil {
		f.Log.Warn("failed to report the end of a trial run: " + err.Error())
	}
}
