// Package relayer writes answers to callers: streaming and non-streaming answers in the
// OpenAI format, answers of plain services, and errors.
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
	// HeaderOutcome is the outcome of the request. Streams that have started send it
	// as a trailer.
	HeaderOutcome   = "Lentil-Outcome"
	HeaderVersion   = "Lentil-Model-Version"
	HeaderRequestID = "Lentil-Request-Id"
	// HeaderKeyExpires is the time at which the idempotency key expires, in RFC 3339
	// format.
	HeaderKeyExpires = "Lentil-Key-Expires"
)

const (
	// DefaultBuffer is the maximum number of buffered events of a stream.
	DefaultBuffer = 256
	// DefaultSlowTimeout is how long a stream may be blocked by a full buffer or by
	// a single write.
	DefaultSlowTimeout = 5 * time.Second

	// answerWriteTimeout limits the time to write an answer that is not a stream.
	answerWriteTimeout = 30 * time.Second
	// restOfBodyTimeout limits the time for which net/http reads the rest of the body of a
	// refused request, before it sends the response.
	restOfBodyTimeout = time.Second
)

// Relayer creates the answers of requests. The zero value is ready to use.
type Relayer struct {
	// Buffer and SlowTimeout replace DefaultBuffer and DefaultSlowTimeout. 0 means
	// the default.
	Buffer      int
	SlowTimeout time.Duration
}

// Answer receives the answer to a request and writes it to the caller.
type Answer interface {
	forwarder.Sink
	// Finish writes the rest of the answer, or the error.
	Finish(res forwarder.Result)
}

// Open creates the answer for a call. Nothing is written before the first call of Tokens
// or Finish.
func (r *Relayer) Open(w http.ResponseWriter, id string, call identifier.Call, now time.Time) Answer {
	c, ok := call.(*identifier.Completion)
	if !ok {
		return &serviceAnswer{w: w, id: id}
	}
	f := answerFormat{id: id, created: now.Unix(), call: c}
	if c.Stream {
		return r.newStream(w, f)
	}
	return &nonStreamingAnswer{w: w, format: f}
}

// WriteError writes an error response in the OpenAI format.
func WriteError(w http.ResponseWriter, id string, err *identifier.RequestError) {
	h := w.Header()
	h.Set(HeaderRequestID, id)
	h.Set(HeaderOutcome, string(err.Outcome))
	if err.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(err))
	}
	// The error is ignored, because response writers in tests do not support deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restOfBodyTimeout))
	writeJSON(w, err.Status, newErrorBody(err))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte(`{}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	setWriteDeadline(w)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// setWriteDeadline limits the time to write an answer that is not a stream. It ignores
// errors, because response writers in tests do not support deadlines.
func setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWriteTimeout))
}

// answerFormat creates the JSON bodies of a model answer.
type answerFormat struct {
	id      string
	created int64
	call    *identifier.Completion
	version string
}

// setVersion sets the model version to name, or to digest if there is no name.
func (f *answerFormat) setVersion(digest, name string) {
	f.version = name
	if name == "" {
		f.version = digest
	}
}

// body returns a response body, or that of a chunk of a stream, without choices.
func (f *answerFormat) body(chunk bool) completionAnswer {
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

func newUsage(res forwarder.Result) *usage {
	return &usage{
		PromptTokens: res.PromptTokens, CompletionTokens: res.Tokens,
		TotalTokens: res.PromptTokens + res.Tokens,
	}
}

// serviceAnswer writes the answer of a plain service.
type serviceAnswer struct {
	discardSink
	w  http.ResponseWriter
	id string
}

// Finish writes the answer of the service, without its hop-by-hop and lentil-* headers.
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
		if forwarder.HopByHop(header.GetName()) || isLentilHeader(header.GetName()) {
			continue
		}
		for _, v := range header.GetValues() {
			h.Add(header.GetName(), v)
		}
	}
	h.Set(HeaderRequestID, s.id)
	h.Set(HeaderOutcome, string(res.Outcome))
	setWriteDeadline(s.w)
	s.w.WriteHeader(validStatus(res))
	_, _ = s.w.Write(res.Answer.GetBody())
}

func isLentilHeader(name string) bool { return strings.HasPrefix(strings.ToLower(name), "lentil-") }

// validStatus returns the status of the answer, or 502 if it is not between 200 and 599.
// An invalid status of a service would otherwise break the connection.
func validStatus(res forwarder.Result) int {
	status := int(res.Answer.GetStatus())
	if status < http.StatusOK || status > 599 {
		return http.StatusBadGateway
	}
	return status
}
