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

const (
	// trialPoll is how often a suspect request asks for its trial when the
	// owner names no time.
	trialPoll = 250 * time.Millisecond
)

// trial is the permit to run a suspect request alone.
type trial struct {
	id string
}

// afterCrash reports the crash before the caller gets any answer. A request
// that was in progress at the crash runs once more, alone.
func (m *repeatable) afterCrash(ctx context.Context, a *attempt, e broken) *identifier.RequestError {
	reply, err := m.reportCrash(ctx, a, e, m.trial)
	switch {
	case err != nil:
		return err
	case reply.GetBlocked():
		m.trial = nil
		return blockedError(time.UnixMilli(reply.GetBlockedUntilMs()), time.Now(), identifier.OutcomeUnknown)
	case m.trial != nil:
		m.trial = nil
		return serverError(http.StatusBadGateway, "backend-crashed", "the backend server crashed in a trial run")
	}
	if err := m.retry(a, "backend-crashed", "the backend server crashed"); err != nil {
		return err
	}
	if !suspicious(m.req, e) {
		return nil
	}
	m.trial, err = m.askTrial(ctx, m.req)
	return err
}

// suspicious reports whether the request is among those in progress. An agent
// that names none leaves every request under suspicion.
func suspicious(req *identifier.Request, e broken) bool {
	return len(e.GetInProgress()) == 0 || slices.Contains(e.GetInProgress(), req.Fingerprint)
}

// reportCrash gives the evidence to the isolation shard's owner. Without its
// answer the request is not run again: more than two backend servers could be
// lost to it.
func (f *Forwarder) reportCrash(ctx context.Context, a *attempt, e broken, t *trial) (*messenger.SuspectReply, *identifier.RequestError) {
	if f.Isolation == nil {
		return &messenger.SuspectReply{}, nil
	}
	cctx, cancel := f.forget(ctx)
	defer cancel()
	report := &messenger.SuspectRequest{
		Fingerprint: a.req.Fingerprint, Vm: a.choice.VM, Crashed: true, InProgress: e.GetInProgress(),
	}
	if t != nil {
		report.Trial = t.id
	}
	reply, err := f.Isolation.Suspect(cctx, report)
	if err != nil {
		a.warn("crash evidence was not recorded: " + err.Error())
		return nil, serverError(http.StatusBadGateway, "backend-crashed",
			"the backend server crashed and the crash could not be recorded")
	}
	return reply, nil
}

// askTrial waits for the permit to run alone.
func (f *Forwarder) askTrial(ctx context.Context, req *identifier.Request) (*trial, *identifier.RequestError) {
	if f.Isolation == nil {
		return nil, nil
	}
	for {
		reply, err := f.Isolation.Suspect(ctx, &messenger.SuspectRequest{Fingerprint: req.Fingerprint, AskTrial: true})
		switch {
		case ctx.Err() != nil:
			return nil, unwantedError(context.Cause(ctx))
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
		if !waiter.Wait(ctx, orDefault(wait, trialPoll)) {
			return nil, unwantedError(context.Cause(ctx))
		}
	}
}

// closeTrial clears the suspicion after a success, or only returns the permit.
func (f *Forwarder) closeTrial(ctx context.Context, req *identifier.Request, t *trial, ok bool) {
	cctx, cancel := f.forget(ctx)
	defer cancel()
	_, err := f.Isolation.Suspect(cctx, &messenger.SuspectRequest{Fingerprint: req.Fingerprint, Trial: t.id, Succeeded: ok})
	if err != nil && f.Log != nil {
		f.Log.Warn("the end of a trial run was not recorded: " + err.Error())
	}
}
