package adapter

import (
	"context"
	"fmt"
	"io"
)

// GenerateRequest is one model call to an engine.
type GenerateRequest struct {
	// ID identifies the attempt, for Cancel.
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
	// Request is the caller's JSON body, for parameters without a field here.
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
	// Version is the digest of the weights that made the tokens.
	Version string
}

// TokenStream delivers the pieces of one answer. Next returns io.EOF only
// after a piece with End; an earlier end is an *EngineError.
type TokenStream interface {
	Next() (GeneratedTokens, error)
	Close() error
}

// EngineState is what an engine reports of itself. Load numbers lag.
type EngineState struct {
	// Version is the digest of the loaded weights; empty when none are loaded.
	Version string
	// Instance changes each time the engine starts.
	Instance string
	Adapters []string
	Role     string
	Running  int
	Queued   int
	// Epoch is the highest fencing epoch that the engine has seen; 0 for
	// engines that ignore it.
	Epoch uint64
}

// PrefixEvent tells that an engine cached or evicted a prompt prefix.
type PrefixEvent struct {
	Sequence   uint64
	PrefixHash uint64
	Removed    bool
}

// EngineOrder is one order to an engine.
type EngineOrder interface {
	engineOrder()
}

// LoadVersion replaces the engine's weights in one step.
type LoadVersion struct {
	Model   string
	Version string
	// Weights is the whole verified version.
	Weights io.Reader
	Bytes   int64
}

// UnloadVersion frees the engine's weights.
type UnloadVersion struct {
	Model string
}

// LoadAdapter adds an adapter to the loaded version.
type LoadAdapter struct {
	Adapter string
	Weights io.Reader
	Bytes   int64
}

// UnloadAdapter removes an adapter.
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

// Engine is the model engine of one backend server VM.
type Engine interface {
	Generate(ctx context.Context, req GenerateRequest) (TokenStream, error)
	Cancel(ctx context.Context, id string) error
	State(ctx context.Context) (EngineState, error)
	// PrefixEvents returns the events after a sequence number. Events come
	// late and with gaps.
	PrefixEvents(ctx context.Context, after uint64) ([]PrefixEvent, error)
	// Apply gives an order with a fencing epoch.
	Apply(ctx context.Context, epoch uint64, order EngineOrder) error
}

// EngineError reports a call that an engine answered with an error or did not
// complete. Started tells whether the engine may have started the work.
type EngineError struct {
	Operation string
	Status    int
	Started   bool
	// Crashed is set when the connection broke in the middle of a call.
	Crashed bool
	Cause   error
}

func (e *EngineError) Error() string {
	return fmt.Sprintf("engine: %s: status %d: %v", e.Operation, e.Status, e.Cause)
}

func (e *EngineError) Unwrap() error { return e.Cause }

// StaleEpochError reports an order with an old fencing epoch.
type StaleEpochError struct {
	Shard   string
	Epoch   uint64
	Highest uint64
}

func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("order with epoch %d of shard %q refused: epoch %d is known", e.Epoch, e.Shard, e.Highest)
}
