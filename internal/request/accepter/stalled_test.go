package accepter

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/listener"
)

// singleListener accepts one connection.
type singleListener struct {
	conn   chan net.Conn
	closed chan struct{}
}

func (l *singleListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conn:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *singleListener) Close() error {
	close(l.closed)
	return nil
}

func (l *singleListener) Addr() net.Addr { return &net.TCPAddr{} }

// run serves the connection until the server is shut down.
func (l *singleListener) run(s *http.Server, limited *listener.Listener) { _ = s.Serve(limited) }

// TestStalledBody guards against a caller that stalls within its request and holds one of the
// requests in progress, and the memory of its body, until it closes its connection.
func TestStalledBody(t *testing.T) {
	tests := []struct {
		name   string
		key    string
		status int
	}{
		{"known caller", "key", http.StatusBadRequest},
		{"unknown caller", "other", http.StatusUnauthorized},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				a, served := newAccepter()
				l := &singleListener{conn: make(chan net.Conn), closed: make(chan struct{})}
				limited := listener.NewGroup(listener.Process{}, zap.NewNop()).New("public", 1, ListenerLimits)
				limited.Listener = l
				server := Server(a.Handler(), limited)
				go l.run(server, limited)
				caller, accepted := net.Pipe()
				l.conn <- accepted
				fmt.Fprintf(caller, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", tc.key)
				began := time.Now()
				resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
				c.Assert(err, qt.IsNil)
				_, err = io.Copy(io.Discard, resp.Body)
				c.Assert(err, qt.IsNil)
				_ = resp.Body.Close()
				c.Check(resp.StatusCode, qt.Equals, tc.status)
				c.Check(time.Since(began) < bodyTimeout+writeTimeout, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
				_ = caller.Close()
				c.Check(server.Shutdown(context.Background()), qt.IsNil)
				c.Check(a.running.Load(), qt.Equals, int64(0))
				c.Check(*served, qt.HasLen, 0)
			})
		})
	}
}
