package adapter

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// rawServer writes a fixed response to each request on a connection, by the number of the
// connection, and closes it if closes is set.
type rawServer struct {
	listener  net.Listener
	responses []string
	closes    bool
}

func newRawServer(t *testing.T, closes bool, responses ...string) *rawServer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{listener: l, responses: responses, closes: closes}
	go s.run()
	return s
}

func (s *rawServer) run() {
	for n := 0; ; n++ {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go (&rawConn{server: s, conn: conn, response: s.responses[min(n, len(s.responses)-1)]}).run()
	}
}

type rawConn struct {
	server   *rawServer
	conn     net.Conn
	response string
}

func (c *rawConn) run() {
	defer func() { _ = c.conn.Close() }()
	in := bufio.NewReader(c.conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c.conn, c.response)
		if c.server.closes {
			return
		}
	}
}

// TestHeadCut guards against a head that the engine or the service cuts off and that is
// taken for a complete response, or for a call that was not started.
func TestHeadCut(t *testing.T) {
	heads := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
	}
	for i, head := range heads {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			c := qt.New(t)
			for cut := range len(head) {
				server := newRawServer(t, true, head[:cut])
				address := server.listener.Addr().String()
				_, err := NewHTTPEngine(address).Generate(context.Background(), GenerateRequest{ID: "r"})
				var engineErr *EngineError
				c.Assert(errors.As(err, &engineErr), qt.IsTrue, qt.Commentf("%q: %v", head[:cut], err))
				c.Assert(engineErr.Started, qt.IsTrue, qt.Commentf("%q: %v", head[:cut], err))
				_, err = NewHTTPService(address).Call(context.Background(), ServiceCall{Method: http.MethodPost, Path: "/x", Body: []byte("b")})
				var serviceErr *ServiceError
				c.Assert(errors.As(err, &serviceErr), qt.IsTrue, qt.Commentf("%q: %v", head[:cut], err))
				c.Assert(serviceErr.Started, qt.IsTrue, qt.Commentf("%q: %v", head[:cut], err))
				_ = server.listener.Close()
			}
		})
	}
}

// TestRefusalWrittenAgain guards against the copy of a refusal that is taken for the
// response to the next call, which the engine or the service runs.
func TestRefusalWrittenAgain(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		c := qt.New(t)
		refusal := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status)
		const success = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nran\n"
		// The second request on a connection would get the refusal again.
		address := newRawServer(t, false, refusal, refusal, success).listener.Addr().String()
		engine, service := NewHTTPEngine(address), NewHTTPService(address)
		_, err := engine.Generate(context.Background(), GenerateRequest{ID: "a"})
		c.Assert(err, qt.Not(qt.IsNil))
		answer, err := service.Call(context.Background(), ServiceCall{Method: http.MethodPost, Path: "/x"})
		c.Assert(err, qt.IsNil)
		c.Assert(answer.Status, qt.Equals, status)
		stream, err := engine.Generate(context.Background(), GenerateRequest{ID: "b"})
		c.Assert(err, qt.IsNil, qt.Commentf("status %d", status))
		_ = stream.Close()
		answer, err = service.Call(context.Background(), ServiceCall{Method: http.MethodPost, Path: "/x"})
		c.Assert(err, qt.IsNil)
		c.Assert(answer.Status, qt.Equals, http.StatusOK)
	}
}

// TestErrorWithinTokens guards against another response on the connection of a token
// stream that is taken for tokens or for the end of the answer.
func TestErrorWithinTokens(t *testing.T) {
	const line = `{"offset":0,"tokens":["a"],"version":"v"}` + "\n"
	const other = "HTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\nerror\n"
	tests := []struct {
		name     string
		response string
	}{
		{"no length", "HTTP/1.1 200 OK\r\n\r\n" + line + other},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n" + line + other},
		{"between chunks", fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(line), line) + other},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			server := newRawServer(t, true, tc.response)
			stream, err := NewHTTPEngine(server.listener.Addr().String()).Generate(context.Background(), GenerateRequest{ID: "r"})
			c.Assert(err, qt.IsNil)
			defer func() { _ = stream.Close() }()
			piece, err := stream.Next()
			c.Assert(err, qt.IsNil)
			c.Assert(strings.Join(piece.Tokens, ""), qt.Equals, "a")
			_, err = stream.Next()
			var engineErr *EngineError
			c.Assert(errors.As(err, &engineErr), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(engineErr.Started, qt.IsTrue)
		})
	}
}
