// Package accepter implements the HTTP interface for callers. It reads and decodes
// requests, enforces limits on their size and number, and passes them on to be run.
package accepter

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/lentilbridge/lentilbridge/internal/request/drainer"
	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/relayer"
	"github.com/lentilbridge/lentilbridge/internal/shared/listener"
	"github.com/lentilbridge/lentilbridge/internal/shared/rationer"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	// DefaultMaxBody limits the size of a request body in bytes.
	DefaultMaxBody = 8 << 20
	// DefaultMaxBodies limits the total size in bytes of the bodies of all requests
	// in progress. A daemon may use 128 MB of memory, and the prompt is a copy of
	// most of the body.
	DefaultMaxBodies = 32 << 20
	// DefaultMaxRequests limits the number of requests in progress in one daemon.
	DefaultMaxRequests = 8192
	// DefaultMaxDecoding limits the total size in bytes of the bodies that are decoded at the same
	// time. Decoding a body needs about four times its size until it ends.
	DefaultMaxDecoding = 4 << 20
	// SmallBody is the size in bytes of bodies that do not count in MaxDecoding. They are decoded
	// in less than a millisecond and do not wait for larger ones.
	SmallBody = 32 << 10

	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 10 * time.Second
	// bodyTimeout limits the time to read a request body.
	bodyTimeout = 30 * time.Second
	// writeTimeout limits the time from the arrival of a request to the end of its
	// answer, for requests that are not passed to Serve.
	writeTimeout = time.Minute
	idleTimeout  = 2 * time.Minute
)

// Request headers.
const (
	// HeaderTimeout is the timeout of the request in milliseconds.
	HeaderTimeout        = "Lentil-Timeout-Ms"
	HeaderPriority       = "Lentil-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Accepter serves the HTTP interface for callers. Exported fields must be set before
// Handler is called.
type Accepter struct {
	// Region is the region of this entry daemon. Entry daemons of this region are
	// listed first.
	Region string
	// Config returns the current configuration.
	Config func() *parser.Revision
	// Entries returns the known entry daemons.
	Entries func(now time.Time) []*messenger.EntryVM
	// Identify authenticates callers.
	Identify *identifier.Identifier
	// Serve runs one decoded request.
	Serve func(ctx context.Context, w http.ResponseWriter, in identifier.Incoming)
	// Refused, if set, is called for each request that is refused before Serve.
	Refused func(id string, err *identifier.RequestError)

	// EntriesValid is how long callers may use the list of entry daemons. 0 means
	// DefaultEntriesValid.
	EntriesValid time.Duration
	// MaxBody, MaxBodies, MaxRequests and MaxDecoding replace the defaults DefaultMaxBody,
	// DefaultMaxBodies, DefaultMaxRequests and DefaultMaxDecoding. 0 means the default.
	MaxBody     int64
	MaxBodies   int64
	MaxRequests int64
	MaxDecoding int64
	// Reports counts the bodies that are aborted, if set.
	Reports *listener.Reports

	// running counts the requests in progress.
	running atomic.Int64
	// bodies limits the total size of the bodies in progress.
	bodies *listener.Bodies
	// decoding limits the total size of the bodies that are decoded at the same time.
	decoding *semaphore.Weighted
}

// Handler returns the handler of all paths of the caller interface.
func (a *Accepter) Handler() http.Handler {
	a.bodies = listener.NewBodies(orDefault(a.MaxBodies, DefaultMaxBodies))
	a.bodies.Reports = a.Reports
	a.decoding = semaphore.NewWeighted(orDefault(a.MaxDecoding, DefaultMaxDecoding))
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", a.chatCompletion)
	mux.HandleFunc("POST /v1/completions", a.textCompletion)
	mux.Handle("GET /v1/models", a.modelsHandler())
	mux.Handle("GET /v1/models/{id...}", a.modelHandler())
	mux.Handle("GET /v1/entries", a.entriesHandler())
	mux.HandleFunc("/services/{service}/{path...}", a.service)
	mux.HandleFunc("/v1/chat/completions", a.wrongMethod)
	mux.HandleFunc("/v1/completions", a.wrongMethod)
	mux.HandleFunc("/", a.notFound)
	return writeDeadlineHandler{mux}
}

// writeDeadlineHandler limits the time to answer a request. The deadline is set for
// each request because the deadline of the previous request on the same connection
// would otherwise remain in effect.
type writeDeadlineHandler struct {
	http.Handler
}

func (h writeDeadlineHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	setWriteDeadline(w, time.Now().Add(writeTimeout))
	h.Handler.ServeHTTP(w, r)
}

// setReadDeadline sets the read deadline of the connection. It ignores errors, because
// response writers in tests do not support deadlines.
func setReadDeadline(w http.ResponseWriter, at time.Time) {
	_ = http.NewResponseController(w).SetReadDeadline(at)
}

// setWriteDeadline sets the write deadline of the connection. It ignores errors, because
// response writers in tests do not support deadlines.
func setWriteDeadline(w http.ResponseWriter, at time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(at)
}

// ListenerLimits returns the limits of header blocks and idle connections of the caller interface.
func ListenerLimits() listener.Limits {
	return listener.Limits{MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// Server returns an HTTP server of the caller interface on a listener.
func Server(h http.Handler, l *listener.Listener) *http.Server {
	server := &http.Server{Handler: h}
	l.Attach(server)
	return server
}

func (a *Accepter) chatCompletion(w http.ResponseWriter, r *http.Request) {
	a.completion(w, r, decodeChat)
}

func (a *Accepter) textCompletion(w http.ResponseWriter, r *http.Request) {
	a.completion(w, r, decodeText)
}

// decoder decodes the body of a completion request.
type decoder func(body []byte) (*identifier.Completion, error)

func (a *Accepter) completion(w http.ResponseWriter, r *http.Request, decode decoder) {
	a.accept(w, r, func(body []byte) (identifier.Call, error) { return decode(body) })
}

func (a *Accepter) service(w http.ResponseWriter, r *http.Request) {
	a.accept(w, r, func(body []byte) (identifier.Call, error) {
		return &identifier.ServiceCall{
			Service: r.PathValue("service"),
			Method:  r.Method,
			Path:    servicePath(r),
			Header:  r.Header,
			Body:    body,
		}, nil
	})
}

// servicePath returns the path relative to the service, and the query, with the escapes
// of the caller. For example, /services/ledger/orders/a%2Fb?x=1 gives
// /orders/a%2Fb?x=1.
func servicePath(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	_, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// accept reads a request, enforces the limits, and passes the request to Serve.
func (a *Accepter) accept(w http.ResponseWriter, r *http.Request, decode func([]byte) (identifier.Call, error)) {
	id := newID()
	defer a.running.Add(-1)
	if a.running.Add(1) > orDefault(a.MaxRequests, DefaultMaxRequests) {
		listener.LeaveBody(w, r)
		a.refuse(w, id, overloadedError())
		return
	}
	memory := &listener.Body{Pool: a.bodies}
	defer memory.Release()
	in, err := a.readRequest(w, r, id, memory, decode)
	if err != nil {
		listener.LeaveBody(w, r)
		a.refuse(w, id, asRequestError(err))
		return
	}
	// The relayer sets a new deadline when it starts to write the answer.
	setWriteDeadline(w, time.Time{})
	a.Serve(r.Context(), w, in)
}

func (a *Accepter) readRequest(w http.ResponseWriter, r *http.Request, id string, memory *listener.Body, decode func([]byte) (identifier.Call, error)) (identifier.Incoming, error) {
	in := identifier.Incoming{
		ID:             id,
		Authorization:  r.Header.Get("Authorization"),
		Priority:       r.Header.Get(HeaderPriority),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
	}
	var err error
	if in.Timeout, err = parseTimeout(r.Header.Get(HeaderTimeout)); err != nil {
		return in, err
	}
	// The caller is authenticated before the body is read, so that unknown callers
	// use no memory for bodies.
	if _, err = a.Identify.Team(in.Authorization); err != nil {
		return in, err
	}
	body, err := a.readBody(w, r, memory)
	if err != nil {
		return in, err
	}
	release, err := a.startDecoding(r.Context(), len(body))
	if err != nil {
		return in, overloadedError()
	}
	defer release()
	in.Call, err = decode(body)
	return in, err
}

// startDecoding waits until a body may be decoded. The caller calls release afterwards.
func (a *Accepter) startDecoding(ctx context.Context, size int) (release func(), err error) {
	if size <= SmallBody {
		return func() {}, nil
	}
	n := min(int64(size), orDefault(a.MaxDecoding, DefaultMaxDecoding))
	if err := a.decoding.Acquire(ctx, n); err != nil {
		return nil, err
	}
	return func() { a.decoding.Release(n) }, nil
}

func (a *Accepter) readBody(w http.ResponseWriter, r *http.Request, memory *listener.Body) ([]byte, error) {
	limit := orDefault(a.MaxBody, DefaultMaxBody)
	if r.ContentLength > limit {
		return nil, bodyTooLargeError(limit)
	}
	setReadDeadline(w, time.Now().Add(bodyTimeout))
	defer drainer.LimitBody(w, r)()
	body, err := memory.ReadRequest(r, http.MaxBytesReader(w, r.Body, limit), limit)
	if err == nil {
		// The server goes on reading, to notice that the caller leaves.
		setReadDeadline(w, time.Time{})
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bodyTooLargeError(tooLarge.Limit)
	}
	var noMemory *rationer.MemoryError
	if errors.As(err, &noMemory) {
		return nil, overloadedError()
	}
	if err != nil && drainer.StopCause(r.Context()) != nil {
		return nil, identifier.StoppingError(identifier.OutcomeNotRun)
	}
	if err != nil {
		return nil, invalidRequestError("", "body-incomplete", "the body could not be read")
	}
	return body, nil
}

func bodyTooLargeError(limit int64) error {
	return &identifier.RequestError{
		Status: http.StatusRequestEntityTooLarge, Type: identifier.TypeInvalidRequest, Code: "body-too-large",
		Message: "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes", Outcome: identifier.OutcomeNotRun,
	}
}

func orDefault(n, def int64) int64 {
	if n > 0 {
		return n
	}
	return def
}

// parseTimeout parses the value of HeaderTimeout. It returns 0 if the header is absent,
// and at most identifier.MaxTimeout.
func parseTimeout(header string) (time.Duration, error) {
	if header == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 {
		return 0, invalidRequestError("lentil-timeout-ms", "invalid-timeout", "lentil-timeout-ms is not a positive number of milliseconds")
	}
	return time.Duration(min(ms, identifier.MaxTimeout.Milliseconds())) * time.Millisecond, nil
}

func (a *Accepter) refuse(w http.ResponseWriter, id string, err *identifier.RequestError) {
	if a.Refused != nil {
		a.Refused(id, err)
	}
	relayer.WriteError(w, id, err)
}

func (a *Accepter) notFound(w http.ResponseWriter, r *http.Request) {
	listener.LeaveBody(w, r)
	a.refuse(w, newID(), &identifier.RequestError{
		Status: http.StatusNotFound, Type: identifier.TypeInvalidRequest, Code: "unknown-path",
		Message: "the path does not exist", Outcome: identifier.OutcomeNotRun,
	})
}

func (a *Accepter) wrongMethod(w http.ResponseWriter, r *http.Request) {
	listener.LeaveBody(w, r)
	w.Header().Set("Allow", http.MethodPost)
	a.refuse(w, newID(), &identifier.RequestError{
		Status: http.StatusMethodNotAllowed, Type: identifier.TypeInvalidRequest, Code: "method-not-allowed",
		Message: "the path accepts POST only", Outcome: identifier.OutcomeNotRun,
	})
}

func overloadedError() *identifier.RequestError {
	return &identifier.RequestError{
		Status: http.StatusServiceUnavailable, Type: identifier.TypeServer, Code: "overloaded",
		Message: "the entry daemon has too many requests in progress", Outcome: identifier.OutcomeNotRun,
		RetryAfter: time.Second,
	}
}

func asRequestError(err error) *identifier.RequestError {
	var e *identifier.RequestError
	if errors.As(err, &e) {
		return e
	}
	return &identifier.RequestError{
		Status: http.StatusInternalServerError, Type: identifier.TypeServer, Code: "internal",
		Message: err.Error(), Outcome: identifier.OutcomeNotRun,
	}
}

func newID() string {
	var id [16]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
