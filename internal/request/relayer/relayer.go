// Package relayer writes answers to callers: OpenAI streams and whole answers,
// answers of plain services, and errors.
package relayer

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/forwarder"
	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
)

// Response headers.
const (
	HeaderOutcome    = "Lentil-Outcome"
	HeaderVersion    = "Lentil-Model-Version"
	HeaderRequestID  = "Lentil-Request-Id"
	HeaderKeyExpires = "Lentil-Key-Expires"
)

const (
	// DefaultBuffer is how many events may wait for one caller.
	DefaultBuffer = 256
	// DefaultSlowTimeout is how long a caller with a full buffer, or one
	// write, may block.
	DefaultSlowTimeout = 5 * time.Second

	// wholeTimeout bounds the write of an answer that is not a stream.
	wholeTimeout = 30 * time.Second
)

// Relayer opens answers. The zero value is ready for use.
type Relayer struct {
	// Buffer and SlowTimeout are the defaults when 0.
	Buffer      int
	SlowTimeout time.Duration
}

// Answer takes one answer and writes it to its caller.
type Answer interface {
	forwarder.Sink
	// Finish writes what is left: the end of the answer or its error.
	Finish(res forwarder.Result)
}

// Open returns the answer for a call. Nothing is written before the first
// token or Finish.
func (r *Relayer) Open(w http.ResponseWriter, id string, call identifier.Call, now time.Time) Answer {
	c, ok := call.(*identifier.Completion)
	if !ok {
		return &serviceAnswer{w: w, id: id}
	}
	f := format{id: id, created: now.Unix(), call: c}
	if c.Stream {
		return r.newStream(w, f)
	}
	return &whole{w: w, format: f}
}

// WriteError writes an error in the OpenAI format.
func WriteError(w http.ResponseWriter, id string, err *identifier.RequestError) {
	h := w.Header()
	h.Set(HeaderRequestID, id)
	h.Set(HeaderOutcome, string(err.Outcome))
	if err.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(err))
	}
	writeJSON(w, err.Status, newErrorBody(err))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte(`{}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	limitWrite(w)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// limitWrite bounds the time in which the caller has to read a whole answer.
// Recorders in tests have no deadlines; a real connection does.
func limitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(wholeTimeout))
}

// format makes the bodies of one answer.
type format struct {
	id      string
	created int64
	call    *identifier.Completion
	version string
}

func (f *format) setVersion(digest, name string) {
	f.version = name
	if name == "" {
		f.version = digest
	}
}

// body returns an answer, or a chunk of one, without its choices.
func (f *format) body(chunk bool) completionAnswer {
	a := completionAnswer{
		ID: "cmpl-" + f.id, Object: "text_completion", Created: f.created,
		Model: f.call.Model, SystemFingerprint: f.version,
	}
	if f.call.Chat {
		a.ID, a.Object = "chatcmpl-"+f.id, "chat.completion"
		if chunk {
			a.Object += ".chunk"
		}
	}
	return a
}

func usageOf(res forwarder.Result) *usage {
	return &usage{
		PromptTokens: res.PromptTokens, CompletionTokens: res.Tokens,
		TotalTokens: res.PromptTokens + res.Tokens,
	}
}

// serviceAnswer writes the answer of a plain service.
type serviceAnswer struct {
	sinkless
	w  http.ResponseWriter
	id string
}

// Finish writes the service's answer as it came.
func (s *serviceAnswer) Finish(res forwarder.Result) {
	if !res.KeyExpires.IsZero() {
		s.w.Header().Set(HeaderKeyExpires, res.KeyExpires.UTC().Format(time.RFC3339))
	}
	if res.Err != nil {
		WriteError(s.w, s.id, res.Err)
		return
	}
	h := s.w.Header()
	for _, header := range res.Answer.GetHeaders() {
		if forwarder.HopByHop(header.GetName()) || isOwn(header.GetName()) {
			continue
		}
		for _, v := range header.GetValues() {
			h.Add(header.GetName(), v)
		}
	}
	h.Set(HeaderRequestID, s.id)
	h.Set(HeaderOutcome, string(res.Outcome))
	limitWrite(s.w)
	s.w.WriteHeader(statusOf(res))
	_, _ = s.w.Write(res.Answer.GetBody())
}

func isOwn(name string) bool { return strings.HasPrefix(strings.ToLower(name), "lentil-") }

// statusOf keeps a wrong status of a service from breaking the connection.
func statusOf(res forwarder.Result) int {
	status := int(res.Answer.GetStatus())
	if status < http.StatusOK || status > 599 {
		return http.StatusBadGateway
	}
	return status
}
