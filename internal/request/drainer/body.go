package drainer

import (
	"context"
	"net/http"
	"time"
)

// LimitBody makes reads of the body of a request fail once the server ends its requests,
// until release is called.
func LimitBody(w http.ResponseWriter, r *http.Request) (release func() bool) {
	return context.AfterFunc(r.Context(), (&bodyEnd{http.NewResponseController(w)}).run)
}

// bodyEnd ends reads of a body.
type bodyEnd struct {
	controller *http.ResponseController
}

func (e *bodyEnd) run() {
	// It fails if the writer has no connection, and then nothing waits for one.
	_ = e.controller.SetReadDeadline(time.Now())
}
