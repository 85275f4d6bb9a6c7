// Package forwarder runs requests on agents: attempts, retries, resume of
// broken streams, at-most-once claims and trials of suspect requests. It
// decides the outcome that the caller is told.
package forwarder

import (
	"context"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// DefaultStartTimeout is how long an agent may take to accept or refuse an
	// attempt. An agent answers at once, so silence means a stopped process or
	// a broken link.
	DefaultStartTimeout = 2 * time.Second
	// DefaultFirstTokenTimeout bounds the wait in an engine's queue.
	DefaultFirstTokenTimeout = 30 * time.Second
	// DefaultTokenTimeout bounds the pause between two events of a stream.
	DefaultTokenTimeout = 10 * time.Second
	// DefaultCancelTimeout bounds the question what became of an attempt that
	// was given up.
	DefaultCancelTimeout = time.Second

	// maxAttempts bounds the attempts of one request, whatever their endings.
	maxAttempts = 6
	// maxLoadRetries is how often a refusal for load is tried elsewhere.
	maxLoadRetries = 1
)

// Claims records at-most-once claims.
type Claims interface {
	Claim(ctx context.Context, req *messenger.ClaimRequest) (*messenger.ClaimReply, error)
	CompleteClaim(ctx context.Context, req *messenger.CompleteClaimRequest) (*messenger.CompleteClaimReply, error)
}

// Isolation keeps requests that crash backend servers apart.
type Isolation interface {
	Blocked(fingerprint string, now time.Time) (until time.Time, blocked, suspected bool)
	Suspect(ctx context.Context, req *messenger.SuspectRequest) (*messenger.SuspectReply, error)
}

// Dialer returns the client of the agent at an address.
type Dialer func(address string) (messenger.AgentClient, error)

// Sink takes the tokens of a model answer in order.
type Sink interface {
	// Tokens may block for a slow caller; its error ends the request.
	Tokens(ctx context.Context, tokens []string) error
	// Version is called before the first token and after each resume.
	Version(digest, name string)
}

// Forwarder runs requests. Set its exported fields before use.
type Forwarder struct {
	Picker    *picker.Picker
	Dial      Dialer
	Claims    Claims
	Isolation Isolation
	Budget    *budgeter.Budget
	Counters  *Counters
	Log       *logger.Logger

	// Timeouts; 0 is the default of each.
	StartTimeout      time.Duration
	FirstTokenTimeout time.Duration
	TokenTimeout      time.Duration
	CancelTimeout     time.Duration
}

// Result is how a request ended. Err is nil when the caller gets its answer.
type Result struct {
	Outcome      identifier.Outcome
	Err          *identifier.RequestError
	Version      string
	VersionName  string
	FinishReason string
	PromptTokens int
	Tokens       int
	// Answer is set for service calls that were served.
	Answer *messenger.ServiceAnswer
	// KeyExpires is when the idempotency key is forgotten; zero without one.
	KeyExpires time.Time
	Attempts   int
	VM         string
	// FirstToken is the time from arrival to the first token; 0 without one.
	FirstToken time.Duration
}

// Run runs a request. It returns when the whole answer has been given to the
// sink or is in the result, or with the reason and outcome of its failure.
func (f *Forwarder) Run(ctx context.Context, req *identifier.Request, sink Sink) Result {
	refusal, suspected := f.blocked(req, time.Now())
	if refusal != nil {
		return Result{Outcome: refusal.Outcome, Err: refusal}
	}
	call, isService := req.Call.(*identifier.ServiceCall)
	if isService && !req.Idempotent {
		o := &once{Forwarder: f, req: req, call: call}
		return o.run(ctx, suspected)
	}
	m := &repeatable{Forwarder: f, req: req}
	if !isService {
		m.sink = sink
	}
	return m.run(ctx, suspected)
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

func orDefault(d, standard time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return standard
}

// blocked refuses a request that crashed two backend servers. The second
// value says that it has to run alone.
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

// forget ends the context of the caller but keeps its values: what follows has
// to be settled also for a caller that has gone.
func (f *Forwarder) forget(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), f.cancelTimeout())
}
