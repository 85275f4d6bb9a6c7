package adapter

import (
	"context"
	"fmt"
	"io"
)

// GenerateRequest is a request to generate tokens.
type GenerateRequest struct {
	// ID identifies the attempt in a call to Cancel.
	ID           string
	Model        string
	Adapter      string
	Prompt       string
	MaxTokens    int
	ResumeOffset int
	Priority     int
	Temperature  float64
	Seed         int64
	Stop         []string
	// Request is the JSON body of the caller's request. The engine takes from it
	// the parameters that have no field in GenerateRequest.
	Request []byte
}

// GeneratedTokens is one element of a token stream. The last element has End set.
type GeneratedTokens struct {
	Offset       int
	Tokens       []string
	End          bool
	TokenCount   int
	PromptTokens int
	FinishReason string
	// Version is the digest of the weights that generated the tokens.
	Version string
}

// TokenStream delivers the generated tokens of one request. Next returns io.EOF
// only after an element with End set; a stream that ends earlier returns an
// *EngineError.
type TokenStream interface {
	Next() (GeneratedTokens, error)
	Close() error
}

// EngineState is the state that an engine reports. Running and Queued may be
// stale.
type EngineState struct {
	// Version is the digest of the loaded weights, or empty when none are loaded.
	Version string
	// Instance changes each time the engine starts.
	Instance string
	Adapters []string
	Role     string
	Running  int
	Queued   int
	// Epoch is the highest fencing epoch that the engine has seen, or 0 when the
	// engine does not check epochs.
	Epoch uint64
}

// PrefixEvent reports that an engine cached or evicted a prompt prefix.
type PrefixEvent struct {
	Sequence   uint64
	PrefixHash uint64
	Removed    bool
}

// EngineOrder is an order that changes the weights, adapters or role of an engine.
type EngineOrder interface {
	engineOrder()
}

// LoadVersion replaces the engine's weights in a single operation.
type LoadVersion struct {
	Model   string
	Version string
	// Weights reads the complete, verified weights.
	Weights io.Reader
	Bytes   int64
}

// UnloadVersion unloads the engine's weights.
type UnloadVersion struct {
	Model string
}

// LoadAdapter loads an adapter on top of the loaded version.
type LoadAdapter struct {
	Adapter string
	Weights io.Reader
	Bytes   int64
}

// UnloadAdapter unloads an adapter.
type UnloadAdapter struct {
	Adapter string
}

// SetRole changes the engine's role.
type SetRole struct {
	Role string
}

func (LoadVersion) engineOrder()   {}
func (UnloadVersion) engineOrder() {}
func (LoadAdapter) engineOrder()   {}
func (UnloadAdapter) engineOrder() {}
func (SetRole) engineOrder()       {}

// Engine is the model engine on a backend server VM.
type Engine interface {
	Generate(ctx context.Context, req GenerateRequest) (TokenStream, error)
	Cancel(ctx context.Context, id string) error
	State(ctx context.Context) (EngineState, error)
	// PrefixEvents returns the events after a sequence number. Events may be
	// delayed, and some may be missing.
	PrefixEvents(ctx context.Context, after uint64) ([]PrefixEvent, error)
	// Apply sends an order with a fencing epoch. An engine that checks epochs
	// refuses an epoch lower than the highest that it has seen.
	Apply(ctx context.Context, epoch uint64, order EngineOrder) error
}

// EngineError reports a call to an engine that failed or did not complete.
type EngineError struct {
	Operation string
	// Status is the HTTP status, or 0 without a response.
	Status int
	// RetryAfter are the values of the header of the response.
	RetryAfter []string
	// Started reports whether the engine may have started the work.
	Started bool
	// Crashed reports whether the connection broke during the call.
	Crashed bool
	Cause   error
}

func (e *EngineError) Error() string {
	return fmt.Sprintf("engine: %s: status %d: %v", e.Operation, e.Status, e.Cause)
}

func (e *EngineError) Unwrap() error { return e.Cause }

// StaleEpochError reports an order that was refused because a higher fencing epoch
// is already known.
type StaleEpochError struct {
	Shard   string
	Epoch   uint64
	Highest uint64
}

func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("order with epoch %d of shard %q refused: epoch %d is known", e.Epoch, e.Shard, e.Highest)
}
