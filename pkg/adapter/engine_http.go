package adapter

import (
	"bufio"
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/zeebo/blake3"
	"golang.org/x/sync/semaphore"

	"github.com/lentilbridge/lentilbridge/internal/shared/framer"
	"github.com/lentilbridge/lentilbridge/internal/shared/rationer"
)

const (
	engineDialTimeout   = time.Second
	maxIdleControlConns = 2
	controlIdleTimeout  = 30 * time.Second
	// maxTokenLineBytes bounds a line of tokens, and maxLineMemory what the lines of all
	// calls of an engine that are longer than lineBufferBytes may use together.
	maxTokenLineBytes       = 1 << 20
	maxLineMemory           = 16 << 20
	lineBufferBytes         = 16 << 10
	maxResponseHeaderBytes  = 64 << 10
	maxControlResponseBytes = 4 << 20
	maxErrorBodyBytes       = 4 << 10
	maxTokenCount           = 1 << 30
	maxReportedRequests     = 1 << 24
	contentDigestTrailer    = "Content-Digest"
)

// HTTPEngine is an HTTP client of a model engine.
type HTTPEngine struct {
	// Address is the engine's host and port.
	Address string
	// Client sends the requests of Generate and Apply, Control those of all other
	// calls. NewHTTPEngine sets both.
	Client  *http.Client
	Control *http.Client

	memoryOnce sync.Once
	// lineMemory is what long lines of tokens may use.
	lineMemory *semaphore.Weighted
}

// NewHTTPEngine returns a client for the engine at the address.
func NewHTTPEngine(address string) *HTTPEngine {
	control := newTransportWithoutReuse()
	control.DisableKeepAlives = false
	control.MaxIdleConnsPerHost = maxIdleControlConns
	control.IdleConnTimeout = controlIdleTimeout
	return &HTTPEngine{
		Address: address,
		Client:  &http.Client{Transport: framer.NewTransport(newTransportWithoutReuse())},
		Control: &http.Client{Transport: framer.NewTransport(control)},
	}
}

// newTransportWithoutReuse returns a transport that opens a new connection for each
// call, as calls that must run at most once require: when a reused connection
// breaks, it is unknown whether the call reached the server, and net/http retries
// some calls automatically on a new connection.
func newTransportWithoutReuse() *http.Transport {
	dialer := &net.Dialer{Timeout: engineDialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

type generateBody struct {
	ID           string   `json:"id"`
	Model        string   `json:"model,omitempty"`
	Adapter      string   `json:"adapter,omitempty"`
	Prompt       string   `json:"prompt"`
	MaxTokens    int      `json:"max-tokens"`
	ResumeOffset int      `json:"resume-offset,omitempty"`
	Priority     int      `json:"priority,omitempty"`
	Temperature  float64  `json:"temperature,omitempty"`
	Seed         int64    `json:"seed,omitempty"`
	Stop         []string `json:"stop,omitempty"`
	Request      []byte   `json:"request,omitempty"`
}

type tokenLine struct {
	Offset       int      `json:"offset"`
	Tokens       []string `json:"tokens"`
	End          bool     `json:"end"`
	TokenCount   int      `json:"token-count"`
	PromptTokens int      `json:"prompt-tokens"`
	FinishReason string   `json:"finish-reason"`
	Version      string   `json:"version"`
	Error        string   `json:"error"`
}

type engineStateBody struct {
	Version  string   `json:"version"`
	Instance string   `json:"instance"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	Running  int      `json:"running"`
	Queued   int      `json:"queued"`
	Epoch    uint64   `json:"epoch"`
}

type prefixEventBody struct {
	Sequence   uint64 `json:"sequence"`
	PrefixHash uint64 `json:"prefix-hash"`
	Removed    bool   `json:"removed"`
}

type staleEpochBody struct {
	Highest uint64 `json:"highest-epoch"`
}

// Generate implements Engine.
func (e *HTTPEngine) Generate(ctx context.Context, req GenerateRequest) (TokenStream, error) {
	body, err := json.Marshal(generateBody(req))
	if err != nil {
		return nil, &EngineError{Operation: "generate", Cause: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url("/generate"), bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, &EngineError{Operation: "generate", Cause: err}
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := e.Client.Do(r)
	if err != nil {
		cancel()
		return nil, callError("generate", err)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer resp.Body.Close()
		return nil, statusError("generate", resp)
	}
	e.memoryOnce.Do(func() { e.lineMemory = semaphore.NewWeighted(maxLineMemory) })
	lines := &lineReader{r: bufio.NewReaderSize(resp.Body, lineBufferBytes), memory: rationer.Ration{Pool: e.lineMemory}}
	return &httpTokenStream{ctx: ctx, body: resp.Body, lines: lines, cancel: cancel}, nil
}

// Cancel implements Engine.
func (e *HTTPEngine) Cancel(ctx context.Context, id string) error {
	_, err := e.call(ctx, "cancel", http.MethodDelete, "/generations/"+url.PathEscape(id), decodeEmptyResponse)
	return err
}

// State implements Engine.
func (e *HTTPEngine) State(ctx context.Context) (EngineState, error) {
	response, err := e.call(ctx, "state", http.MethodGet, "/state", decodeState)
	if err != nil {
		return EngineState{}, err
	}
	return response.(EngineState), nil
}

// PrefixEvents implements Engine.
func (e *HTTPEngine) PrefixEvents(ctx context.Context, after uint64) ([]PrefixEvent, error) {
	path := "/prefix-events?after=" + strconv.FormatUint(after, 10)
	response, err := e.call(ctx, "prefix-events", http.MethodGet, path, decodePrefixEvents)
	if err != nil {
		return nil, err
	}
	return response.([]PrefixEvent), nil
}

// Apply implements Engine.
func (e *HTTPEngine) Apply(ctx context.Context, epoch uint64, order EngineOrder) error {
	query := url.Values{"epoch": {strconv.FormatUint(epoch, 10)}}
	switch o := order.(type) {
	case LoadVersion:
		query.Set("model", o.Model)
		query.Set("version", o.Version)
		return e.sendOrder(ctx, "load-version", http.MethodPut, "/version", query, o.Weights, o.Bytes)
	case UnloadVersion:
		query.Set("model", o.Model)
		return e.sendOrder(ctx, "unload-version", http.MethodDelete, "/version", query, nil, 0)
	case LoadAdapter:
		return e.sendOrder(ctx, "load-adapter", http.MethodPut, "/adapters/"+url.PathEscape(o.Adapter), query, o.Weights, o.Bytes)
	case UnloadAdapter:
		return e.sendOrder(ctx, "unload-adapter", http.MethodDelete, "/adapters/"+url.PathEscape(o.Adapter), query, nil, 0)
	case SetRole:
		query.Set("role", o.Role)
		return e.sendOrder(ctx, "set-role", http.MethodPut, "/role", query, nil, 0)
	}
	return &EngineError{Operation: "order", Cause: fmt.Errorf("unknown order type %T", order)}
}

// sendOrder sends one order. A trailer holds the digest of the weights, so that the
// engine can verify that it has received all of them.
func (e *HTTPEngine) sendOrder(ctx context.Context, operation, method, path string, query url.Values, weights io.Reader, size int64) error {
	r, err := http.NewRequestWithContext(ctx, method, e.url(path)+"?"+query.Encode(), nil)
	if err != nil {
		return &EngineError{Operation: operation, Cause: err}
	}
	if weights != nil {
		r.Trailer = http.Header{contentDigestTrailer: nil}
		// A trailer requires a chunked body without Content-Length, so a header of
		// its own holds the size.
		r.Header.Set("Content-Bytes", strconv.FormatInt(size, 10))
		r.Body = io.NopCloser(&digestingReader{r: weights, hash: blake3.New(), trailer: r.Trailer})
		r.ContentLength = -1
	}
	resp, err := e.Client.Do(r)
	if err != nil {
		return callError(operation, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusConflict {
		var stale staleEpochBody
		epoch, _ := strconv.ParseUint(query.Get("epoch"), 10, 64)
		if err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBodyBytes)).Decode(&stale); err == nil && stale.Highest > epoch {
			return &StaleEpochError{Epoch: epoch, Highest: stale.Highest}
		}
	}
	if resp.StatusCode/100 != 2 {
		return statusError(operation, resp)
	}
	return readToEnd(operation, resp)
}

// readToEnd returns an error if a response that reports success is not complete.
func readToEnd(operation string, resp *http.Response) error {
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxControlResponseBytes)); err != nil {
		return &EngineError{Operation: operation, Started: true, Cause: err}
	}
	return nil
}

func (e *HTTPEngine) call(ctx context.Context, operation, method, path string, decode kithttp.DecodeResponseFunc) (any, error) {
	target, err := url.Parse(e.url(path))
	if err != nil {
		return nil, &EngineError{Operation: operation, Cause: err}
	}
	client := kithttp.NewClient(method, target, encodeEmptyRequest, decode, kithttp.SetClient(e.Control))
	response, err := client.Endpoint()(ctx, nil)
	if err == nil {
		return response, nil
	}
	var engineErr *EngineError
	if errors.As(err, &engineErr) {
		engineErr.Operation = operation
		return nil, engineErr
	}
	return nil, callError(operation, err)
}

func (e *HTTPEngine) url(path string) string { return "http://" + e.Address + path }

type httpTokenStream struct {
	ctx    context.Context
	body   io.ReadCloser
	lines  *lineReader
	cancel context.CancelFunc
	ended  bool
}

// Next implements TokenStream.
func (s *httpTokenStream) Next() (GeneratedTokens, error) {
	if s.ended {
		return GeneratedTokens{}, io.EOF
	}
	line, terminated, err := s.lines.next()
	if err != nil {
		return GeneratedTokens{}, s.interruptedError(err)
	}
	generated, err := decodeTokenLine(line)
	var syntax *json.SyntaxError
	if !terminated && errors.As(err, &syntax) {
		return GeneratedTokens{}, s.interruptedError(io.ErrUnexpectedEOF)
	}
	if err != nil {
		return GeneratedTokens{}, &EngineError{Operation: "generate", Started: true, Cause: err}
	}
	s.ended = generated.End
	return generated, nil
}

// Close implements TokenStream.
func (s *httpTokenStream) Close() error {
	s.cancel()
	s.lines.memory.Close()
	return s.body.Close()
}

// interruptedError returns the error for a stream that ended without an element
// with End set.
func (s *httpTokenStream) interruptedError(err error) error {
	if s.ctx.Err() != nil {
		return &EngineError{Operation: "generate", Started: true, Cause: context.Cause(s.ctx)}
	}
	var tooLong *lineTooLongError
	var noMemory *rationer.MemoryError
	if errors.As(err, &tooLong) || errors.As(err, &noMemory) {
		return &EngineError{Operation: "generate", Started: true, Cause: err}
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &EngineError{Operation: "generate", Started: true, Crashed: true, Cause: err}
}

// decodeTokenLine decodes one line of a token stream, for example
// {"offset":2,"tokens":[" kalomi"],"version":"…"}.
func decodeTokenLine(line []byte) (GeneratedTokens, error) {
	var l tokenLine
	if err := json.Unmarshal(line, &l); err != nil {
		return GeneratedTokens{}, fmt.Errorf("decode token line: %w", err)
	}
	if l.Error != "" {
		return GeneratedTokens{}, fmt.Errorf("engine ended the stream with an error: %s", l.Error)
	}
	for _, n := range []int{l.Offset, l.TokenCount, l.PromptTokens} {
		if n < 0 || n > maxTokenCount {
			return GeneratedTokens{}, fmt.Errorf("token line: number %d is out of range", n)
		}
	}
	return GeneratedTokens{
		Offset: l.Offset, Tokens: l.Tokens, End: l.End, TokenCount: l.TokenCount,
		PromptTokens: l.PromptTokens, FinishReason: l.FinishReason, Version: l.Version,
	}, nil
}

// digestingReader hashes the bytes that it reads. At EOF it sets their digest in the
// trailer.
type digestingReader struct {
	r       io.Reader
	hash    *blake3.Hasher
	trailer http.Header
}

func (d *digestingReader) Read(p []byte) (int, error) {
	n, err := d.r.Read(p)
	_, _ = d.hash.Write(p[:n])
	if err == io.EOF {
		d.trailer.Set(contentDigestTrailer, hex.EncodeToString(d.hash.Sum(nil)))
	}
	return n, err
}

func encodeEmptyRequest(context.Context, *http.Request, any) error { return nil }

func decodeEmptyResponse(_ context.Context, resp *http.Response) (any, error) {
	if resp.StatusCode/100 != 2 {
		return nil, statusError("", resp)
	}
	return nil, readToEnd("", resp)
}

func decodeState(_ context.Context, resp *http.Response) (any, error) {
	var body engineStateBody
	if err := decodeJSONResponse(resp, &body); err != nil {
		return nil, err
	}
	for _, n := range []int{body.Running, body.Queued} {
		if n < 0 || n > maxReportedRequests {
			return nil, &EngineError{Operation: "state", Started: true, Cause: fmt.Errorf("number of requests %d is out of range", n)}
		}
	}
	return EngineState(body), nil
}

func decodePrefixEvents(_ context.Context, resp *http.Response) (any, error) {
	var body []prefixEventBody
	if err := decodeJSONResponse(resp, &body); err != nil {
		return nil, err
	}
	events := make([]PrefixEvent, len(body))
	for i, e := range body {
		events[i] = PrefixEvent(e)
	}
	return events, nil
}

func decodeJSONResponse(resp *http.Response, body any) error {
	if resp.StatusCode != http.StatusOK {
		return statusError("", resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxControlResponseBytes)).Decode(body); err != nil {
		return &EngineError{Started: true, Cause: err}
	}
	return nil
}

// statusError returns the error for a response with an unexpected status. The engine has not
// started the work if it rejected the request (4xx), or has no capacity (503).
func statusError(operation string, resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	cause := errors.New(strings.TrimSpace(string(text)))
	rejected := resp.StatusCode/100 == 4 || resp.StatusCode == http.StatusServiceUnavailable
	return &EngineError{Operation: operation, Status: resp.StatusCode, RetryAfter: resp.Header.Values("Retry-After"), Started: !rejected, Cause: cause}
}

// callError returns the error for a call without a response.
func callError(operation string, err error) error {
	started := !isDialError(err)
	canceled := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	return &EngineError{Operation: operation, Started: started, Crashed: started && !canceled, Cause: err}
}
