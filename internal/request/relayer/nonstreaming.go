package relayer

import (
	"context"
	"net/http"
	"strings"

	"github.com/lentilbridge/lentilbridge/internal/request/forwarder"
)

// discardSink is the forwarder.Sink of answers without tokens.
type discardSink struct{}

// Tokens implements forwarder.Sink.
func (discardSink) Tokens(context.Context, []string) error { return nil }

// Version implements forwarder.Sink.
func (discardSink) Version(string, string) {}

// nonStreamingAnswer collects the tokens of a model answer and writes it as a single JSON
// body.
type nonStreamingAnswer struct {
	w      http.ResponseWriter
	format answerFormat
	text   strings.Builder
}

// Version implements forwarder.Sink.
func (a *nonStreamingAnswer) Version(digest, name string) { a.format.setVersion(digest, name) }

// Tokens implements forwarder.Sink.
func (a *nonStreamingAnswer) Tokens(_ context.Context, tokens []string) error {
	for _, t := range tokens {
		a.text.WriteString(t)
	}
	return nil
}

// Finish writes the answer or the error. An incomplete answer is discarded.
func (a *nonStreamingAnswer) Finish(res forwarder.Result) {
	if a.format.version != "" {
		a.w.Header().Set(HeaderVersion, a.format.version)
	}
	if res.Err != nil {
		WriteError(a.w, a.format.id, res.Err)
		return
	}
	body := a.format.body(false)
	body.Usage = newUsage(res)
	body.Choices = []choice{a.choice(finishReason(res.FinishReason))}
	h := a.w.Header()
	h.Set(HeaderRequestID, a.format.id)
	h.Set(HeaderOutcome, string(res.Outcome))
	writeJSON(a.w, http.StatusOK, body)
}

func (a *nonStreamingAnswer) choice(reason string) choice {
	if a.format.call.Chat {
		return chatChoice{Message: chatMessage{Role: "assistant", Content: a.text.String()}, FinishReason: reason}
	}
	return textChoice{Text: a.text.String(), FinishReason: &reason}
}
