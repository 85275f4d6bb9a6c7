package accepter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

func newAccepter() (*Accepter, *[]identifier.Incoming) {
	digest := sha256.Sum256([]byte("key"))
	set := parser.NewSet()
	set.Add(&parser.Team{Name: "t", KeyDigests: []string{hex.EncodeToString(digest[:])}})
	config := func() *parser.Revision { return &parser.Revision{Set: set} }
	var served []identifier.Incoming
	return &Accepter{
		Config: config, Identify: &identifier.Identifier{Config: config},
		Serve: func(_ context.Context, _ http.ResponseWriter, in identifier.Incoming) { served = append(served, in) },
	}, &served
}

// unknownLengthBody is a body without a known length, as in a chunked request.
type unknownLengthBody struct {
	io.Reader
}

// TestLimits guards against requests with unlimited memory use or timeouts, and against
// refusals without the headers for the outcome and the request identifier.
func TestLimits(t *testing.T) {
	body := helloPrefix + "}"
	tests := []struct {
		name   string
		change func(a *Accepter, r *http.Request)
		body   io.Reader
		status int
		code   string
	}{
		{name: "accepted", body: strings.NewReader(body), status: 200},
		{name: "large body", body: strings.NewReader(body + strings.Repeat(" ", 200)), status: 413, code: "body-too-large"},
		{name: "large body of unknown length", body: unknownLengthBody{strings.NewReader(body + strings.Repeat(" ", 200))}, status: 413, code: "body-too-large"},
		{name: "too many bodies", body: unknownLengthBody{strings.NewReader(body + strings.Repeat(" ", 8<<10))}, change: func(a *Accepter, _ *http.Request) { a.MaxBody, a.MaxBodies = 16<<10, 100 }, status: 503, code: "overloaded"},
		{name: "no key", body: strings.NewReader(body), change: func(_ *Accepter, r *http.Request) { r.Header.Del("Authorization") }, status: 401, code: "invalid_api_key"},
		{name: "wrong timeout", body: strings.NewReader(body), change: func(_ *Accepter, r *http.Request) { r.Header.Set("lentil-timeout-ms", "soon") }, status: 400, code: "invalid-timeout"},
		{name: "huge timeout", body: strings.NewReader(body), change: func(_ *Accepter, r *http.Request) { r.Header.Set("lentil-timeout-ms", "9223372036854775807") }, status: 200},
		{name: "too many requests", body: strings.NewReader(body), change: func(a *Accepter, _ *http.Request) { a.running.Store(DefaultMaxRequests) }, status: 503, code: "overloaded"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			a, served := newAccepter()
			a.MaxBody = 128
			r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", tt.body)
			r.Header.Set("Authorization", "Bearer key")
			if tt.change != nil {
				tt.change(a, r)
			}
			w := httptest.NewRecorder()
			a.Handler().ServeHTTP(w, r)
			c.Check(w.Code, qt.Equals, tt.status)
			c.Check(w.Body.String(), qt.Contains, tt.code)
			c.Check(len(*served) == 1, qt.Equals, tt.status == 200)
			if tt.status != 200 {
				c.Check(w.Header().Get("lentil-outcome"), qt.Equals, "not-run")
				c.Check(w.Header().Get("lentil-request-id"), qt.HasLen, 32)
				return
			}
			c.Check((*served)[0].Timeout <= identifier.MaxTimeout, qt.IsTrue)
		})
	}
}

// TestWriteDeadline guards against a write deadline of one request that remains set on
// the connection and breaks the next request.
func TestWriteDeadline(t *testing.T) {
	a, _ := newAccepter()
	w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(helloPrefix+"}"))
	r.Header.Set("Authorization", "Bearer key")
	a.Handler().ServeHTTP(w, r)
	qt.Assert(t, w.set, qt.HasLen, 2)
	qt.Assert(t, w.set[0].After(time.Now()), qt.IsTrue)
	qt.Assert(t, w.set[1].IsZero(), qt.IsTrue)
}

type deadlineWriter struct {
	*httptest.ResponseRecorder
	set []time.Time
}

func (w *deadlineWriter) SetWriteDeadline(at time.Time) error {
	w.set = append(w.set, at)
	return nil
}
