// Package forwarder runs requests on agents. It implements attempts, retries, the
// resumption of broken streams, at-most-once claims and trial runs of suspect
// requests, and determines the outcome that is reported to the caller.
package forwarder

import (
	"context"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// DefaultStartTimeout is how long an agent may be silent before it accepts or
	// refuses an attempt. It accepts one when the backend server has begun with it, which
	// includes the time in its own queue.
	DefaultStartTimeout = 2 * time.Second
	// DefaultFirstTokenTimeout is how long it may be silent from acceptance to the first
	// event, which includes the time in the engine's queue.
	DefaultFirstTokenTimeout = 30 * time.Second
	// DefaultTokenTimeout is how long it may be silent between two events of a stream.
	DefaultTokenTimeout = 10 * time.Second
	// DefaultCancelTimeout limits calls that must also complete for a request that
	// has ended: cancels, status queries and reports to the isolation owner.
	DefaultCancelTimeout = time.Second

	// maxAttempts limits the attempts of one request, however they end.
	maxAttempts = 6
	// maxLoadRetries limits the retries on other servers after refusals because of
	// load.
	maxLoadRetries = 1
)

// Claims records at-most-once claims.
type Claims interface {
	Claim(ctx context.Context, req *messenger.ClaimRequest) (*messenger.ClaimReply, error)
	CompleteClaim(ctx context.Context, req *messenger.CompleteClaimRequest) (*messenger.CompleteClaimReply, error)
}

// Isolation tracks requests that are suspected of crashing backend servers. See
// package isolator.
type Isolation interface {
	Blocked(fingerprint string, now time.Time) (until time.Time, blocked, suspected bool)
	Suspect(ctx context.Context, req *messenger.SuspectRequest) (*messenger.SuspectReply, error)
}

// Dialer returns a client for the agent at an address.
type Dialer func(address string) (messenger.AgentClient, error)

// Sink receives the tokens of a model answer in order.
type Sink interface {
	// Tokens passes on tokens. It may block if the caller is slow. An error ends
	// the request.
	Tokens(ctx context.Context, tokens []string) error
	// Version sets the model version. It is called each time an attempt is
	// accepted, before its tokens.
	Version(digest, name string)
}

// Forwarder runs requests on agents. Exported fields must be set before use.
type Forwarder struct {
	Picker    *picker.Picker
	Dial      Dialer
	Claims    Claims
	Isolation Isolation
	Budget    *budgeter.Budget
	Counters  *Counters
	Log       *logger.Logger

	// Timeouts. 0 means the respective default. An attempt that is silent for longer goes on
	// for a while, and another one is made beside it; a call that is not idempotent ends.
	StartTimeout      time.Duration
	FirstTokenTimeout time.Duration
	TokenTimeout      time.Duration
	CancelTimeout     time.Duration
}

// Result is the result of a request. Err is nil if the caller gets an answer.
type Result struct {
	Outcome identifier.Outcome
	Err     *identifier.RequestError
	// Version is the digest of the model version that generated the answer.
	Version      string
	VersionName  string
	FinishReason string
	PromptTokens int
	// Tokens is the number of tokens passed to the sink.
	Tokens int
	// Answer is the answer of a service call that was served.
	Answer *messenger.ServiceAnswer
	// KeyExpires is when the idempotency key expires, or zero without a key.
	KeyExpires time.Time
	Attempts   int
	// VM is the VM of the last attempt.
	VM string
	// FirstToken is the time from the arrival of the request to the first token,
	// or 0 if there was no token.
	FirstToken time.Duration
}

// Run runs a request. It returns when the complete answer has been passed to the
// sink or is in the result, or when the request has failed.
func (f *Forwarder) Run(ctx context.Context, req *identifier.Request, sink Sink) Result {
	refusal, suspected := f.blocked(req, time.Now())
	if refusal != nil {
		return Result{Outcome: refusal.Outcome, Err: refusal}
	}
	call, isService := req.Call.(*identifier.ServiceCall)
	if isService && !req.Idempotent {
		c := &nonIdempotentCall{Forwarder: f, req: req, call: call}
		return c.run(ctx, suspected)
	}
	r := &retryableRequest{Forwarder: f, req: req}
	if !isService {
		r.sink = sink
	}
	return r.run(ctx, suspected)
}

// regions returns the regions in which a request may run under the configuration in force.
func (f *Forwarder) regions(req *identifier.Request) matcher.Regions {
	if f.Picker.Config == nil {
		return req.Regions
	}
	revision := f.Picker.Config()
	if revision == nil {
		return req.Regions
	}
	return req.RegionsIn(revision.Set)
}

func (f *Forwarder) startTimeout() time.Duration {
	return orDefault(f.StartTimeout, DefaultStartTimeout)
}

func (f *Forwarder) firstTokenTimeout() time.Duration {
	return orDefault(f.FirstTokenTimeout, DefaultFirstTokenTimeout)
}

func (f *Forwarder) tokenTimeout() time.Duration {
	return orDefault(f.TokenTimeout, DefaultTokenTimeout)
}

func (f *Forwarder) cancelTimeout() time.Duration {
	return orDefault(f.CancelTimeout, DefaultCancelTimeout)
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// blocked returns an error if the request is blocked because it crashed two
// backend servers. The second result reports whether the request is suspect and may
// only run as a trial.
func (f *Forwarder) blocked(req *identifier.Request, now time.Time) (*identifier.RequestError, bool) {
	if f.Isolation == nil {
		return nil, false
	}
	until, blocked, suspected := f.Isolation.Blocked(req.Fingerprint, now)
	if blocked {
		return blockedError(until, now, identifier.OutcomeNotRun), false
	}
	return nil, suspected
}

// detachedContext returns a context that keeps the values of ctx but is not canceled
// with it, for calls that must complete even if the caller has disconnected.
func (f *Forwarder) detachedContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), f.cancelTimeout())
}
