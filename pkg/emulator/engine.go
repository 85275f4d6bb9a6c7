package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

const (
	crashExitCode          = 3
	maxGenerateBodyBytes   = 8 << 20
	defaultMaxTokens       = 64
	bytesPerPromptToken    = 4
	finishReasonLength     = "length"
	finishReasonStop       = "stop"
	contentTypeTokenStream = "application/x-ndjson"
)

// Engine emulates a model engine over HTTP. It starts without a loaded version.
// The exported fields must be set before the first request.
type Engine struct {
	// Slots is the maximum number of requests that run concurrently; 0 means 1.
	Slots int
	// TokenTime is the time between two tokens of one request.
	TokenTime time.Duration
	// PrefillTime is the time for each prompt token that is not cached.
	PrefillTime time.Duration
	// CacheBlocks is the capacity of the prefix cache in prompt blocks.
	CacheBlocks int
	// EventDelay is the age at which a cache event becomes visible.
	EventDelay time.Duration
	// EventGap drops each cache event whose sequence number is a multiple of
	// it; 0 drops none.
	EventGap int
	// LoadLag is the age of the load in the reported state.
	LoadLag time.Duration
	// LoadTime is the time to activate a version after its weights have been
	// received.
	LoadTime time.Duration
	// AnswerTokens is the maximum length of an answer; 0 means no limit other
	// than that of the request.
	AnswerTokens int
	// IgnoreCancel keeps requests running after they are canceled or their
	// connection is closed.
	IgnoreCancel bool
	// IgnoreEpoch accepts orders with a stale fencing epoch.
	IgnoreEpoch bool
	// CrashOn crashes the engine when a prompt contains it; empty disables this.
	CrashOn string
	// Crash is called to crash the engine; nil exits the process with code 3.
	Crash func()

	setUpOnce  sync.Once
	mux        *http.ServeMux
	instanceID string
	slots      *slots

	mu            sync.Mutex
	version       string
	contentDigest string
	adapters      map[string]string
	role          string
	epoch         uint64
	// versionCtx ends when the loaded version is replaced.
	versionCtx      context.Context
	cancelVersion   context.CancelCauseFunc
	cancelFuncs     map[string]context.CancelFunc
	cache           *prefixCache
	loadHistory     loadHistory
	promptTokens    uint64
	cachedTokens    uint64
	generatedTokens uint64
}

type generateRequest struct {
	ID           string   `json:"id"`
	Model        string   `json:"model"`
	Adapter      string   `json:"adapter"`
	Prompt       string   `json:"prompt"`
	MaxTokens    int      `json:"max-tokens"`
	ResumeOffset int      `json:"resume-offset"`
	Priority     int      `json:"priority"`
	Seed         int64    `json:"seed"`
	Stop         []string `json:"stop"`
}

type generateLine struct {
	Offset       int      `json:"offset"`
	Tokens       []string `json:"tokens,omitempty"`
	End          bool     `json:"end,omitempty"`
	TokenCount   int      `json:"token-count,omitempty"`
	PromptTokens int      `json:"prompt-tokens,omitempty"`
	FinishReason string   `json:"finish-reason,omitempty"`
	Version      string   `json:"version"`
	Error        string   `json:"error,omitempty"`
}

type engineState struct {
	Version  string   `json:"version"`
	Instance string   `json:"instance"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	Running  int      `json:"running"`
	Queued   int      `json:"queued"`
	Epoch    uint64   `json:"epoch"`
	// The fields below are for tests and benchmarks.
	ContentDigest   string `json:"content-digest"`
	PromptTokens    uint64 `json:"prompt-tokens"`
	CachedTokens    uint64 `json:"cached-tokens"`
	GeneratedTokens uint64 `json:"generated-tokens"`
}

type prefixEvent struct {
	Sequence   uint64 `json:"sequence"`
	PrefixHash uint64 `json:"prefix-hash"`
	Removed    bool   `json:"removed"`
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.setUpOnce.Do(e.setUp)
	e.mux.ServeHTTP(w, r)
}

// ContentDigest returns the loaded version and the BLAKE3 digest of its weights.
func (e *Engine) ContentDigest() (version, digest string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, e.contentDigest
}

func (e *Engine) setUp() {
	if e.Slots <= 0 {
		e.Slots = 1
	}
	if e.Crash == nil {
		e.Crash = func() { os.Exit(crashExitCode) }
	}
	e.instanceID = newInstanceID()
	e.slots = newSlots(e.Slots)
	e.adapters = map[string]string{}
	e.cancelFuncs = map[string]context.CancelFunc{}
	e.cache = newPrefixCache(e.CacheBlocks, e.EventDelay, e.EventGap)
	e.loadHistory.lag = e.LoadLag
	e.versionCtx, e.cancelVersion = context.WithCancelCause(context.Background())
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /generate", e.serveGenerate)
	e.mux.HandleFunc("DELETE /generations/{id}", e.serveCancel)
	e.mux.HandleFunc("GET /state", e.serveState)
	e.mux.HandleFunc("GET /prefix-events", e.servePrefixEvents)
	e.mux.HandleFunc("PUT /version", e.serveLoadVersion)
	e.mux.HandleFunc("DELETE /version", e.serveUnloadVersion)
	e.mux.HandleFunc("PUT /adapters/{name}", e.serveLoadAdapter)
	e.mux.HandleFunc("DELETE /adapters/{name}", e.serveUnloadAdapter)
	e.mux.HandleFunc("PUT /role", e.serveSetRole)
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req generateRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGenerateBodyBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	g := &generation{engine: e, req: req, w: w, controller: http.NewResponseController(w)}
	ctx := r.Context()
	if e.IgnoreCancel {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if status, message := e.admit(g, stop); message != "" {
		http.Error(w, message, status)
		return
	}
	g.run(ctx)
}

// admit checks a request and binds it to the loaded version. It returns the HTTP
// status and message of a rejection; the message is empty on success.
func (e *Engine) admit(g *generation, stop context.CancelFunc) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version == "" {
		return http.StatusServiceUnavailable, "no version is loaded"
	}
	if g.req.Adapter != "" && e.adapters[g.req.Adapter] == "" {
		return http.StatusNotFound, "adapter " + g.req.Adapter + " is not loaded"
	}
	if e.cancelFuncs[g.req.ID] != nil {
		return http.StatusConflict, "request " + g.req.ID + " is running"
	}
	g.version = e.version
	g.versionCtx = e.versionCtx
	if !e.IgnoreCancel {
		e.cancelFuncs[g.req.ID] = stop
	} else {
		e.cancelFuncs[g.req.ID] = func() {}
	}
	return 0, ""
}

func (e *Engine) removeRequest(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cancelFuncs, id)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	stop := e.cancelFuncs[r.PathValue("id")]
	e.mu.Unlock()
	if stop != nil {
		stop()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	lagged := e.loadHistory.lagged(time.Now())
	state := engineState{
		Version: e.version, Instance: e.instanceID, Role: e.role, Adapters: sortedKeys(e.adapters),
		Running: lagged.running, Queued: lagged.queued,
		ContentDigest: e.contentDigest, PromptTokens: e.promptTokens,
		CachedTokens: e.cachedTokens, GeneratedTokens: e.generatedTokens,
	}
	if !e.IgnoreEpoch {
		state.Epoch = e.epoch
	}
	e.mu.Unlock()
	writeJSON(w, state)
}

func (e *Engine) servePrefixEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a sequence number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	found := e.cache.eventsAfter(after, time.Now())
	e.mu.Unlock()
	events := make([]prefixEvent, len(found))
	for i, event := range found {
		events[i] = prefixEvent(event)
	}
	writeJSON(w, events)
}

// recordLoad adds the current load to the history.
func (e *Engine) recordLoad() {
	running, queued := e.slots.counts()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadHistory.add(running, queued, time.Now())
}

// countPromptTokens returns the number of tokens of a prompt. The emulated
// tokenizer has four bytes per token.
func countPromptTokens(prompt string) int {
	return (len(prompt) + bytesPerPromptToken - 1) / bytesPerPromptToken
}

// cachePrompt adds the prompt to the prefix cache and returns the number of
// tokens that were not cached and need prefill.
func (e *Engine) cachePrompt(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := countPromptTokens(prompt)
	cached := e.cache.lookupAndInsert(prompt, time.Now()) * adapter.PrefixBlockBytes / bytesPerPromptToken
	e.promptTokens += uint64(total)
	e.cachedTokens += uint64(cached)
	return total - cached
}

func (e *Engine) shouldCrash(prompt string) bool {
	return e.CrashOn != "" && strings.Contains(prompt, e.CrashOn)
}
