package listener

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// maxServerHeaderBytes is the limit of net/http, above those of all listeners.
	maxServerHeaderBytes = MaxHeaderBytes + 2*headerSlack
	// MaxHeaderBytes is the highest limit of a header block.
	MaxHeaderBytes = 1 << 20
	// unreadTime is how long a client whose body is not needed may go on sending it, so that it
	// reads the response before the connection ends.
	unreadTime = 200 * time.Millisecond
)

// Attach makes a server follow the limits of the listener, which replace its own time limits of
// header blocks and idle connections. The server must serve on this listener only, and its handler
// must be set.
func (l *Listener) Attach(s *http.Server) {
	s.ReadHeaderTimeout, s.ReadTimeout, s.IdleTimeout = 0, 0, 0
	s.MaxHeaderBytes = maxServerHeaderBytes
	states := stateHooks{l.recordState, s.ConnState}
	s.ConnState = states.run
	s.Handler = fieldCounter{Handler: s.Handler, listener: l}
}

// fieldCounter counts the parsed fields of requests before their handler runs. The connection does
// not count all of them: it does not see the bytes that were read together with the previous
// request, and each name in a Trailer field becomes a field.
type fieldCounter struct {
	http.Handler
	listener *Listener
}

// ServeHTTP implements http.Handler.
func (h fieldCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if c == nil || c.listener != h.listener {
		h.Handler.ServeHTTP(w, r)
		return
	}
	if c.hasDisconnected() {
		r = ofDisconnected(r)
	}
	now := time.Now()
	if cost := requestCost(r); cost > 0 && !h.listener.holdComplete(c, cost, now) {
		h.listener.report(reasonHeaderMemory, now)
		LeaveBody(w, r)
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.Handler.ServeHTTP(w, r)
}

// requestCost returns the memory that the header block of a request takes from the pool.
func requestCost(r *http.Request) int64 {
	size, fields := len(r.RequestURI), 0
	for name, values := range r.Header {
		fields += len(values)
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	for name := range r.Trailer {
		size += len(name)
	}
	return headerCost(size, fields+len(r.Trailer))
}

// stateHooks are the functions that follow the states of connections.
type stateHooks [2]func(net.Conn, http.ConnState)

func (h stateHooks) run(c net.Conn, state http.ConnState) {
	for _, hook := range h {
		if hook != nil {
			hook(c, state)
		}
	}
}

// connOf returns the connection of a request, or nil if its listener is not of this package.
func connOf(ctx context.Context) *Conn {
	a, _ := ctx.Value(http.LocalAddrContextKey).(*localAddr)
	return (*Conn)(a)
}

// Accepted returns when the connection of a request was accepted.
func Accepted(ctx context.Context) (time.Time, bool) {
	c := connOf(ctx)
	if c == nil {
		return time.Time{}, false
	}
	return time.Unix(0, c.accepted), true
}

// WithoutBody is a handler of requests that need no body.
type WithoutBody struct {
	http.Handler
}

// ServeHTTP implements http.Handler.
func (h WithoutBody) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	LeaveBody(w, r)
	h.Handler.ServeHTTP(w, r)
}

// LeaveBody prepares the response to a request whose body is not read: the connection is closed
// after it.
func LeaveBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	w.Header().Set("Connection", "close")
	if c := connOf(r.Context()); c != nil {
		c.leaving.Store(true)
	}
	// It fails if the writer has no connection, and then nothing waits for the body.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadTime))
}
