package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
)

// dialTCP connects to a server and sends the request.
func (r sentRequest) dialTCP(c *qt.C, server *httptest.Server) *net.TCPConn {
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s", r.path, len(r.body), r.body)
	c.Assert(err, qt.IsNil)
	return conn.(*net.TCPConn)
}

// TestHalfClosedCallerGetsWrongOutcome guards against a false statement, to a caller that
// has closed its side of the connection, of whether its request has run.
func TestHalfClosedCallerGetsWrongOutcome(t *testing.T) {
	tests := []struct {
		name    string
		request sentRequest
		// waits is set if the only server runs another request.
		waits   bool
		status  int
		outcome string
	}{
		{"waits for a server", plainRequest, true, http.StatusServiceUnavailable, "not-run"},
		{"runs, may be repeated", plainRequest, false, 499, "unknown"},
		{"runs once", orderRequest, false, http.StatusCreated, "served"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			d := newStoppingDaemon(time.Minute, &slowAgent{takes: time.Second})
			defer func() { _ = d.public.HTTP.Close() }()
			d.requests.admitter.Capacity = func(identifier.Target, matcher.Regions, time.Time) int { return 1 }
			server := httptest.NewServer(d.public.HTTP.Handler)
			defer server.Close()
			first := tc.request
			if tc.waits {
				first = plainRequest
			}
			conn := first.dialTCP(c, server)
			for d.agent.count() == 0 {
				time.Sleep(time.Millisecond)
			}
			if tc.waits {
				conn = tc.request.dialTCP(c, server)
			}
			c.Assert(conn.CloseWrite(), qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			c.Check(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, tc.status)
			c.Check(resp.Header.Get("lentil-outcome"), qt.Equals, tc.outcome)
			c.Check(d.agent.count(), qt.Equals, 1)
		})
	}
}
