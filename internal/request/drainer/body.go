package drainer

import (
	"context"
	"net/http"
	"time"
)

// LimitBody makes reads of the body of a request fail once the server ends its requests,
// until release is called.
func LimitBody(w http.ResponseWriter, r *http.Request) (release func() bool) {
	return context.AfterFunc(r.Context(), (&bodyEnd{r.Context(), http.NewResponseController(w)}).run)
}

// bodyEnd ends reads of a body.
type bodyEnd struct {
	ctx        context.Context
	controller *http.ResponseController
}

func (e *bodyEnd) run() {
	if StopCause(e.ctx) == nil {
		// The client has closed its side of the connection. What it sent before can be read.
		return
	}
	// It fails if the writer has no connection, and then nothing waits for one.
	_ = e.controller.SetReadDeadline(time.Now())
}
