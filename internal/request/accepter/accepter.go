// Package accepter is the HTTP interface to callers: it reads and bounds their
// requests and routes them into the request path.
package accepter

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/relayer"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	// DefaultMaxBody bounds the body of a request.
	DefaultMaxBody = 8 << 20
	// DefaultMaxBodies bounds the bodies of all requests in progress. A daemon
	// may use 128 MB, and the prompt is a copy of most of the body.
	DefaultMaxBodies = 32 << 20
	// DefaultMaxRequests bounds the requests in progress of one daemon.
	DefaultMaxRequests = 8192

	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 10 * time.Second
	// bodyTimeout bounds the time to read a body.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds a request that is answered at once.
	writeTimeout = time.Minute
	idleTimeout  = 2 * time.Minute
)

// Request headers.
const (
	// HeaderTimeout is the caller's deadline in milliseconds from now.
	HeaderTimeout        = "Lentil-Timeout-Ms"
	HeaderPriority       = "Lentil-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Accepter serves the caller interface. Set its exported fields before
// Handler.
type Accepter struct {
	// Region is that of this entry daemon; its entries are listed first.
	Region string
	Config func() *parser.Revision
	// Entries returns the known entry daemons.
	Entries func(now time.Time) []*messenger.EntryVM
	// Identify finds the team of a request for the list of models.
	Identify *identifier.Identifier
	// Serve runs one decoded request.
	Serve func(ctx context.Context, w http.ResponseWriter, in identifier.Incoming)
	// Refused is told of requests that were refused before Serve, if set.
	Refused func(id string, err *identifier.RequestError)

	// EntriesValid is DefaultEntriesValid when 0.
	EntriesValid time.Duration
	// MaxBody, MaxBodies and MaxRequests are the defaults when 0.
	MaxBody     int64
	MaxBodies   int64
	MaxRequests int64

	running atomic.Int64
	bodies  *semaphore.Weighted
}

// Handler returns the handler of all caller paths.
func (a *Accepter) Handler() http.Handler {
	a.bodies = semaphore.NewWeighted(orDefault(a.MaxBodies, DefaultMaxBodies))
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", a.chat)
	mux.HandleFunc("POST /v1/completions", a.text)
	mux.Handle("GET /v1/models", a.modelsHandler())
	mux.Handle("GET /v1/models/{id...}", a.modelHandler())
	mux.Handle("GET /v1/entries", a.entriesHandler())
	mux.HandleFunc("/services/{service}/{path...}", a.service)
	mux.HandleFunc("/v1/chat/completions", a.wrongMethod)
	mux.HandleFunc("/v1/completions", a.wrongMethod)
	mux.HandleFunc("/", a.notFound)
	return limited{mux}
}

// limited bounds the time to write an answer. Each request sets the deadline
// anew: it would else stay from the previous request of the connection.
type limited struct {
	http.Handler
}

func (l limited) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	setWriteDeadline(w, time.Now().Add(writeTimeout))
	l.Handler.ServeHTTP(w, r)
}

// setWriteDeadline has no effect on writers in tests, which have no deadlines.
func setWriteDeadline(w http.ResponseWriter, at time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(at)
}

// Server returns an HTTP server with the limits of the caller interface.
func Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

func (a *Accepter) chat(w http.ResponseWriter, r *http.Request) {
	a.completion(w, r, decodeChat)
}

func (a *Accepter) text(w http.ResponseWriter, r *http.Request) {
	a.completion(w, r, decodeText)
}

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

// servicePath returns the path below the service as the caller escaped it, so
// /services/ledger/orders/a%2Fb?x=1 gives /orders/a%2Fb?x=1.
func servicePath(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	_, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// accept reads one request and passes it on.
func (a *Accepter) accept(w http.ResponseWriter, r *http.Request, decode func([]byte) (identifier.Call, error)) {
	id := newID()
	defer a.running.Add(-1)
	if a.running.Add(1) > orDefault(a.MaxRequests, DefaultMaxRequests) {
		a.refuse(w, id, tooManyRequests())
		return
	}
	size := a.bodySize(r)
	if !a.bodies.TryAcquire(size) {
		a.refuse(w, id, tooManyRequests())
		return
	}
	defer a.bodies.Release(size)
	in, err := a.read(w, r, id, decode)
	if err != nil {
		a.refuse(w, id, asRequestError(err))
		return
	}
	// The relayer sets a deadline again when it begins to write.
	setWriteDeadline(w, time.Time{})
	a.Serve(r.Context(), w, in)
}

func (a *Accepter) read(w http.ResponseWriter, r *http.Request, id string, decode func([]byte) (identifier.Call, error)) (identifier.Incoming, error) {
	in := identifier.Incoming{
		ID:             id,
		Authorization:  r.Header.Get("Authorization"),
		Priority:       r.Header.Get(HeaderPriority),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
	}
	var err error
	if in.Timeout, err = timeout(r.Header.Get(HeaderTimeout)); err != nil {
		return in, err
	}
	// A body is read only for a known team: an unknown caller costs no memory.
	if _, err = a.Identify.Team(in.Authorization); err != nil {
		return in, err
	}
	body, err := a.body(w, r)
	if err != nil {
		return in, err
	}
	in.Call, err = decode(body)
	return in, err
}

func (a *Accepter) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	// Writers in tests have no deadlines; a real connection does.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, orDefault(a.MaxBody, DefaultMaxBody)))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &identifier.RequestError{
			Status: http.StatusRequestEntityTooLarge, Type: identifier.TypeInvalidRequest, Code: "body-too-large",
			Message: "the body is larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes", Outcome: identifier.OutcomeNotRun,
		}
	}
	if err != nil {
		return nil, invalid("", "body-incomplete", "the body could not be read")
	}
	return body, nil
}

// bodySize is the memory to set aside for the body of a request. A body of
// unknown length may become the largest one.
func (a *Accepter) bodySize(r *http.Request) int64 {
	most := orDefault(a.MaxBody, DefaultMaxBody)
	if r.ContentLength < 0 {
		return most
	}
	return min(r.ContentLength, most)
}

func orDefault(n, standard int64) int64 {
	if n > 0 {
		return n
	}
	return standard
}

// timeout reads the caller's deadline in milliseconds.
func timeout(header string) (time.Duration, error) {
	if header == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 {
		return 0, invalid("lentil-timeout-ms", "invalid-timeout", "lentil-timeout-ms is not a positive number of milliseconds")
	}
	return time.Duration(min(ms, identifier.MaxTimeout.Milliseconds())) * time.Millisecond, nil
}

func (a *Accepter) refuse(w http.ResponseWriter, id string, err *identifier.RequestError) {
	if a.Refused != nil {
		a.Refused(id, err)
	}
	relayer.WriteError(w, id, err)
}

func (a *Accepter) notFound(w http.ResponseWriter, _ *http.Request) {
	a.refuse(w, newID(), &identifier.RequestError{
		Status: http.StatusNotFound, Type: identifier.TypeInvalidRequest, Code: "unknown-path",
		Message: "the path does not exist", Outcome: identifier.OutcomeNotRun,
	})
}

func (a *Accepter) wrongMethod(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Allow", http.MethodPost)
	a.refuse(w, newID(), &identifier.RequestError{
		Status: http.StatusMethodNotAllowed, Type: identifier.TypeInvalidRequest, Code: "method-not-allowed",
		Message: "the path accepts POST only", Outcome: identifier.OutcomeNotRun,
	})
}

func tooManyRequests() *identifier.RequestError {
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
	// Read of crypto/rand never returns an error.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
