// Package identifier finds out who sends a request and what it asks for: team,
// route, model or service, priority, cost, fingerprint and prompt prefix.
package identifier

import (
	"net/http"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// Call is what a caller asks for: *Completion or *ServiceCall.
type Call interface {
	call()
}

// Completion is a call to a model, as decoded from the caller's JSON.
type Completion struct {
	// Chat distinguishes /v1/chat/completions from /v1/completions.
	Chat bool
	// Model is the name that the caller used: the name of a route.
	Model string
	// Prompt is the text for the engine; chat messages are rendered into it.
	Prompt string
	// MaxTokens is 0 when the caller did not set it.
	MaxTokens   int
	Temperature float64
	Stop        []string
	// Seed is 0 when the caller did not set it.
	Seed         int64
	Stream       bool
	IncludeUsage bool
	// Body is the caller's JSON body.
	Body []byte
}

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Service string
	Method  string
	// Path is the path below the service, with the query.
	Path   string
	Header http.Header
	Body   []byte
}

func (*Completion) call()  {}
func (*ServiceCall) call() {}

// Incoming is one request as the accepter read it.
type Incoming struct {
	ID string
	// Authorization and the fields up to Timeout are request headers.
	Authorization  string
	Priority       string
	IdempotencyKey string
	Timeout        time.Duration
	Call           Call
}

// Target is the set of replicas that can run a request.
type Target struct {
	Model   string
	Adapter string
	Service string
}

// Name returns the model or service.
func (t Target) Name() string {
	if t.Service != "" {
		return t.Service
	}
	return t.Model
}

// Request is one identified request.
type Request struct {
	ID       string
	Team     *parser.Team
	Priority messenger.Priority
	Arrived  time.Time
	Deadline time.Time
	Target   Target
	Call     Call
	// Cost is an estimate in tokens: prompt plus the longest answer.
	Cost int
	// Fingerprint is a digest of team, target and body.
	Fingerprint string
	// PrefixHash is the digest of the start of the prompt; 0 turns prefix
	// affinity off.
	PrefixHash uint64
	// Model is set for completions, Service for service calls.
	Model   *parser.Model
	Service *parser.Service
	// Idempotent service calls may be run more than once.
	Idempotent bool
	// ClaimKey is set for non-idempotent calls with an idempotency key.
	ClaimKey string
	// BodyDigest tells two calls with the same key apart.
	BodyDigest []byte
}

// Outcome is what a caller is told about the fate of its request.
type Outcome string

// Outcomes. OutcomeNotRun promises that the request was not and will not be
// run.
const (
	OutcomeServed  Outcome = "served"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Types of errors in the OpenAI error format.
const (
	TypeInvalidRequest = "invalid_request_error"
	TypeAuthentication = "authentication_error"
	TypePermission     = "permission_error"
	TypeNotFound       = "not_found_error"
	TypeRateLimit      = "rate_limit_error"
	TypeServer         = "server_error"
)

// RequestError is a request that ends without its answer.
type RequestError struct {
	Status  int
	Type    string
	Code    string
	Param   string
	Message string
	Outcome Outcome
	// RetryAfter is 0 when no time is known.
	RetryAfter time.Duration
}

func (e *RequestError) Error() string { return e.Message }

// Text returns the message with a statement whether the request was run.
func (e *RequestError) Text() string {
	switch e.Outcome {
	case OutcomeServed:
		return e.Message + "; the request was run"
	case OutcomeUnknown:
		return e.Message + "; it is not known whether the request was run to its end"
	}
	return e.Message + "; the request was not run"
}
