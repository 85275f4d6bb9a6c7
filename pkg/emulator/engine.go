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

// Engine is a stand-in of a model engine. It starts without a version. The
// exported fields are set before the first request.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// TokenTime is the time between two tokens of one request.
	TokenTime time.Duration
	// PrefillTime is the time for one prompt token that is not cached.
	PrefillTime time.Duration
	// CacheBlocks is the number of prompt blocks that the cache holds.
	CacheBlocks int
	// EventDelay is the age at which a cache event becomes visible. Each
	// event whose number is a multiple of EventGap is lost; 0 loses none.
	EventDelay time.Duration
	EventGap   int
	// LoadLag is the age of the load that the state reports.
	LoadLag time.Duration
	// LoadTime is the time that the engine needs to switch versions after it
	// has read the weights.
	LoadTime time.Duration
	// AnswerTokens ends answers after this many tokens; 0 has no such end.
	AnswerTokens int
	// IgnoreCancel makes requests run on after Cancel and after their
	// connection has closed.
	IgnoreCancel bool
	// IgnoreEpoch makes the engine accept orders with an old epoch.
	IgnoreEpoch bool
	// CrashOn ends the process when a prompt contains it; empty never does.
	CrashOn string
	// Crash ends the process; nil exits with code 3.
	Crash func()

	start    sync.Once
	mux      *http.ServeMux
	instance string
	slots    *slots

	mu            sync.Mutex
	version       string
	contentDigest string
	adapters      map[string]string
	role          string
	epoch         uint64
	switching     context.Context
	stopRunning   context.CancelCauseFunc
	cancels       map[string]context.CancelFunc
	cache         *prefixCache
	load          loadHistory
	promptTokens  uint64
	cachedTokens  uint64
	generated     uint64
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
	// The fields below are for tests and measurements.
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
	e.start.Do(e.setUp)
	e.mux.ServeHTTP(w, r)
}

// ContentDigest returns the BLAKE3 digest of the loaded bytes and the version
// that they were loaded as.
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
	e.instance = newInstance()
	e.slots = newSlots(e.Slots)
	e.adapters = map[string]string{}
	e.cancels = map[string]context.CancelFunc{}
	e.cache = newPrefixCache(e.CacheBlocks, e.EventDelay, e.EventGap)
	e.load.lag = e.LoadLag
	e.switching, e.stopRunning = context.WithCancelCause(context.Background())
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /generate", e.generate)
	e.mux.HandleFunc("DELETE /generations/{id}", e.cancel)
	e.mux.HandleFunc("GET /state", e.state)
	e.mux.HandleFunc("GET /prefix-events", e.prefixEvents)
	e.mux.HandleFunc("PUT /version", e.loadVersion)
	e.mux.HandleFunc("DELETE /version", e.unloadVersion)
	e.mux.HandleFunc("PUT /adapters/{name}", e.loadAdapter)
	e.mux.HandleFunc("DELETE /adapters/{name}", e.unloadAdapter)
	e.mux.HandleFunc("PUT /role", e.setRole)
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req generateRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGenerateBodyBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	g := &generation{engine: e, req: req, w: w, flusher: http.NewResponseController(w)}
	ctx := r.Context()
	if e.IgnoreCancel {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if status, err := e.admit(g, stop); err != "" {
		http.Error(w, err, status)
		return
	}
	defer e.forget(req.ID)
	g.run(ctx)
}

// admit binds a request to the version that is loaded now.
func (e *Engine) admit(g *generation, stop context.CancelFunc) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version == "" {
		return http.StatusServiceUnavailable, "no version is loaded"
	}
	if g.req.Adapter != "" && e.adapters[g.req.Adapter] == "" {
		return http.StatusNotFound, "adapter " + g.req.Adapter + " is not loaded"
	}
	if e.cancels[g.req.ID] != nil {
		return http.StatusConflict, "request " + g.req.ID + " is running"
	}
	g.version = e.version
	g.switching = e.switching
	if !e.IgnoreCancel {
		e.cancels[g.req.ID] = stop
	} else {
		e.cancels[g.req.ID] = func() {}
	}
	return 0, ""
}

func (e *Engine) forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cancels, id)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	stop := e.cancels[r.PathValue("id")]
	e.mu.Unlock()
	if stop != nil {
		stop()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	lagged := e.load.at(time.Now())
	state := engineState{
		Version: e.version, Instance: e.instance, Role: e.role, Adapters: sortedKeys(e.adapters),
		Running: lagged.running, Queued: lagged.queued,
		ContentDigest: e.contentDigest, PromptTokens: e.promptTokens,
		CachedTokens: e.cachedTokens, GeneratedTokens: e.generated,
	}
	if !e.IgnoreEpoch {
		state.Epoch = e.epoch
	}
	e.mu.Unlock()
	writeJSON(w, state)
}

func (e *Engine) prefixEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a sequence number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	found := e.cache.after(after, time.Now())
	e.mu.Unlock()
	events := make([]prefixEvent, len(found))
	for i, event := range found {
		events[i] = prefixEvent(event)
	}
	writeJSON(w, events)
}

func (e *Engine) recordLoad() {
	running, queued := e.slots.counts()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load.add(running, queued, time.Now())
}

// promptTokensOf counts the tokens of a prompt of the stand-in's own coding,
// which has four bytes to the token.
func promptTokensOf(prompt string) int {
	return (len(prompt) + bytesPerPromptToken - 1) / bytesPerPromptToken
}

// prefill returns the number of prompt tokens that the cache does not save.
func (e *Engine) prefill(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := promptTokensOf(prompt)
	cached := e.cache.use(prompt, time.Now()) * adapter.PrefixBlockBytes / bytesPerPromptToken
	e.promptTokens += uint64(total)
	e.cachedTokens += uint64(cached)
	return total - cached
}

func (e *Engine) shouldCrash(prompt string) bool {
	return e.CrashOn != "" && strings.Contains(prompt, e.CrashOn)
}
