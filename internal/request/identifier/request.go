// Package identifier authenticates requests and determines their properties: team, route,
// model or service, priority, cost, fingerprint and prompt prefix.
package identifier

import (
	"net/http"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// Call is the content of a request: a *Completion or a *ServiceCall.
type Call interface {
	call()
}

// Completion is a call to a model, decoded from the JSON body of the request.
type Completion struct {
	// Chat is true for /v1/chat/completions and false for /v1/completions.
	Chat bool
	// Model is the name of the model in the request. It is the name of a route.
	Model string
	// Prompt is the text for the engine. For chats, it is rendered from the
	// messages.
	Prompt string
	// MaxTokens is 0 if the request does not set it.
	MaxTokens   int
	Temperature float64
	Stop        []string
	// Seed is 0 if the request does not set it.
	Seed         int64
	Stream       bool
	IncludeUsage bool
	// Body is the JSON body of the request.
	Body []byte
}

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Service string
	Method  string
	// Path is the path relative to the service, and the query.
	Path   string
	Header http.Header
	Body   []byte
}

func (*Completion) call()  {}
func (*ServiceCall) call() {}

// Incoming is a request as read by the accepter.
type Incoming struct {
	ID string
	// Authorization, Priority, IdempotencyKey and Timeout are the values of request
	// headers.
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

// Name returns the name of the service, or of the model if there is no service.
func (t Target) Name() string {
	if t.Service != "" {
		return t.Service
	}
	return t.Model
}

// Request is an authenticated request with the properties that later stages need.
type Request struct {
	ID       string
	Team     *parser.Team
	Priority messenger.Priority
	Arrived  time.Time
	Deadline time.Time
	Target   Target
	Call     Call
	// Regions are the regions in which the request may run; nil means any.
	Regions matcher.Regions
	// Routes are the names of the routes whose restrictions Regions contains, and Set is the configuration from
	// which it was taken.
	Routes []string
	Set    *parser.Set
	// Cost is the estimated cost in tokens: the prompt plus the longest possible
	// answer.
	Cost int
	// Fingerprint identifies requests with the same team, target and content. It is
	// the name of the team and a digest.
	Fingerprint string
	// PrefixHash is the hash of the prefix of the prompt. 0 disables prefix
	// affinity.
	PrefixHash uint64
	// Model is set for completions, and Service for service calls.
	Model   *parser.Model
	Service *parser.Service
	// Idempotent is true if the request may be run more than once, as completions
	// always may.
	Idempotent bool
	// ClaimKey is the key of the at-most-once claim. It is set for non-idempotent
	// calls with an idempotency key.
	ClaimKey string
	// BodyDigest distinguishes different calls with the same idempotency key.
	BodyDigest []byte
}

// Outcome states whether a request was run, as reported to the caller.
type Outcome string

// Outcomes. OutcomeNotRun guarantees that the request was not run and will not be run.
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

// RequestError describes why a request ended without an answer. It contains the fields of
// the error response.
type RequestError struct {
	Status  int
	Type    string
	Code    string
	Param   string
	Message string
	Outcome Outcome
	// RetryAfter is how long the caller should wait before a retry, or 0 if that is
	// not known.
	RetryAfter time.Duration
}

// StoppingError returns the error of a request that the entry daemon does not wait for
// because it stops. The caller can turn to another daemon at once.
func StoppingError(outcome Outcome) *RequestError {
	return &RequestError{
		Status: http.StatusServiceUnavailable, Type: TypeServer, Code: "entry-stopping",
		Message: "the entry daemon stops", Outcome: outcome, RetryAfter: time.Second,
	}
}

// unplaceableRetryAfter is the retry-after time of a request that regions or an
// evacuation keep from every backend server. Operators change these, not the load.
const unplaceableRetryAfter = 5 * time.Second

// UnplaceableError returns the error of a request that regions or an evacuation keep
// from every backend server, for the given reason.
func UnplaceableError(reason string) *RequestError {
	return &RequestError{
		Status: http.StatusServiceUnavailable, Type: TypeServer, Code: "no-replica",
		Message: reason, Outcome: OutcomeNotRun, RetryAfter: unplaceableRetryAfter,
	}
}

func (e *RequestError) Error() string { return e.Message }

// Text returns the message followed by a statement about whether the request was run.
func (e *RequestError) Text() string {
	switch e.Outcome {
	case OutcomeServed:
		return e.Message + "; the request was run"
	case OutcomeUnknown:
		return e.Message + "; it is not known whether the request was run to its end"
	}
	return e.Message + "; the request was not run"
}
