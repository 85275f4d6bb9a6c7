package relayer

import (
	"context"
	"net/http"
	"strings"

	"github.com/lentilbridge/lentilbridge/internal/request/forwarder"
)

// sinkless is the sink of answers without tokens.
type sinkless struct{}

// Tokens implements forwarder.Sink.
func (sinkless) Tokens(context.Context, []string) error { return nil }

// Version implements forwarder.Sink.
func (sinkless) Version(string, string) {}

// whole collects a model answer and writes it as one JSON body.
type whole struct {
	w      http.ResponseWriter
	format format
	text   strings.Builder
}

// Version implements forwarder.Sink.
func (a *whole) Version(digest, name string) { a.format.setVersion(digest, name) }

// Tokens implements forwarder.Sink.
func (a *whole) Tokens(_ context.Context, tokens []string) error {
	for _, t := range tokens {
		a.text.WriteString(t)
	}
	return nil
}

// Finish writes the whole answer. An incomplete one is not shown.
func (a *whole) Finish(res forwarder.Result) {
	if a.format.version != "" {
		a.w.Header().Set(HeaderVersion, a.format.version)
	}
	if res.Err != nil {
		WriteError(a.w, a.format.id, res.Err)
		return
	}
	body := a.format.body(false)
	body.Usage = usageOf(res)
	body.Choices = []choice{a.choice(finishReason(res.FinishReason))}
	h := a.w.Header()
	h.Set(HeaderRequestID, a.format.id)
	h.Set(HeaderOutcome, string(res.Outcome))
	writeJSON(a.w, http.StatusOK, body)
}

func (a *whole) choice(reason string) choice {
	if a.format.call.Chat {
		return chatChoice{Message: chatMessage{Role: "assistant", Content: a.text.String()}, FinishReason: reason}
	}
	return textChoice{Text: a.text.String(), FinishReason: &reason}
}
