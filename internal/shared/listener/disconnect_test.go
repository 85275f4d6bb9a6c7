package listener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// disconnectTimeout bounds the time until a handler sees that its client has disconnected. It is no
// requirement.
const disconnectTimeout = 5 * time.Second

// largeField is the size of a field that makes a request a little smaller than the buffer of the
// server.
const largeField = 3000

// start is a request that a handler has begun. ended is set if its context had ended before.
type start struct {
	ended bool
	// left receives whether the context ended before the request was released.
	left    chan bool
	release chan struct{}
}

// aheadSite is a server on the loopback interface whose handler reports each request to starts and
// responds when its context ends or it is released.
type aheadSite struct {
	c       *qt.C
	address string
	server  *http.Server
	starts  chan *start
}

func newAheadSite(c *qt.C) *aheadSite {
	p := Process{MemoryBytes: 184 << 20}
	s := &aheadSite{c: c, starts: make(chan *start, 1000)}
	inner, err := p.Listen(c.Context(), "tcp4", "127.0.0.1:0", p.Connections(1))
	c.Assert(err, qt.IsNil)
	s.address = inner.Addr().String()
	l := &Listener{Listener: inner, Name: "test", MaxConnections: 16, Pool: &Pool{Limit: 1 << 20}, Reports: &Reports{Log: zap.NewNop()}}
	s.server = &http.Server{Handler: s}
	l.Attach(s.server)
	c.Cleanup(func() { _ = s.server.Close() })
	go func() { _ = s.server.Serve(l) }()
	return s
}

// ServeHTTP implements http.Handler.
func (s *aheadSite) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	ctx := r.Context()
	begun := &start{ended: ctx.Err() != nil, left: make(chan bool, 1), release: make(chan struct{})}
	_, _ = io.Copy(io.Discard, r.Body)
	s.starts <- begun
	select {
	case <-ctx.Done():
		begun.left <- true
	case <-begun.release:
		begun.left <- false
	}
}

// send opens a connection and sends n requests with a field of size bytes on it.
func (s *aheadSite) send(n, size int, body string) *net.TCPConn {
	conn, err := net.Dial("tcp4", s.address)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { _ = conn.Close() })
	tcp := conn.(*net.TCPConn)
	s.c.Assert(tcp.SetWriteBuffer(1<<20), qt.IsNil)
	s.c.Assert(tcp.SetDeadline(time.Now().Add(2*disconnectTimeout)), qt.IsNil)
	one := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\na: %s\r\nContent-Length: %d\r\n\r\n%s", strings.Repeat("x", size), len(body), body)
	_, err = io.WriteString(conn, strings.Repeat(one, n))
	s.c.Assert(err, qt.IsNil)
	return tcp
}

// next returns the next request that a handler has begun, or nil if there is none for a while.
func (s *aheadSite) next(within time.Duration) *start {
	select {
	case begun := <-s.starts:
		return begun
	case <-time.After(within):
		return nil
	}
}

// first returns the first request of a connection, whose client is connected.
func (s *aheadSite) first() *start {
	begun := s.next(disconnectTimeout)
	s.c.Assert(begun, qt.IsNotNil)
	s.c.Assert(begun.ended, qt.IsFalse)
	return begun
}

// checkNoneRuns checks that handlers of all further requests see that the client has disconnected.
func (s *aheadSite) checkNoneRuns() {
	for begun := s.next(200 * time.Millisecond); begun != nil; begun = s.next(200 * time.Millisecond) {
		s.c.Check(begun.ended, qt.IsTrue, qt.Commentf("a request was started after its client had disconnected"))
		close(begun.release)
	}
}

// TestDisconnectBehindRequestsSentAhead guards against requests that go on, or begin, after their
// client has sent others behind them and disconnected.
func TestDisconnectBehindRequestsSentAhead(t *testing.T) {
	leave := func(_ *aheadSite, conn *net.TCPConn) error { return conn.Close() }
	reset := func(_ *aheadSite, conn *net.TCPConn) error {
		if err := conn.SetLinger(0); err != nil {
			return err
		}
		return conn.Close()
	}
	tests := []struct {
		name     string
		requests int
		body     string
		leave    func(s *aheadSite, conn *net.TCPConn) error
	}{
		{"closed", 12, "", leave},
		{"closed, with bodies", 12, "body", leave},
		{"reset", 12, "", reset},
		{"reset, with bodies", 12, "body", reset},
		{"reset, more than the receive buffer", 100, "", reset},
		{"closed, next request in the buffer of the server", 2, "", leave},
		{"closed by the server", 12, "", func(s *aheadSite, _ *net.TCPConn) error { return s.server.Close() }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newAheadSite(qt.New(t))
			conn := s.send(tc.requests, largeField, tc.body)
			first := s.first()
			s.c.Assert(tc.leave(s, conn), qt.IsNil)
			select {
			case left := <-first.left:
				s.c.Check(left, qt.IsTrue)
			case <-time.After(disconnectTimeout):
				t.Error("the handler does not see that the client has disconnected")
			}
			close(first.release)
			s.checkNoneRuns()
		})
	}
}

// TestDisconnectBetweenRequests guards against a request that begins after its client has
// disconnected, if that could not be seen while the one before was in its handler.
func TestDisconnectBetweenRequests(t *testing.T) {
	tests := []struct {
		name           string
		requests, size int
	}{
		// The end of the connection arrives only after the requests, for which there is no room.
		{"more than the receive buffer", 100, largeField},
		{"within the buffer of the server", 8, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newAheadSite(qt.New(t))
			conn := s.send(tc.requests, tc.size, "")
			first := s.first()
			s.c.Assert(conn.Close(), qt.IsNil)
			close(first.release)
			s.checkNoneRuns()
		})
	}
}

// TestRequestsSentAheadAreServed guards against a connected client that is taken for one that has
// left because it sends requests ahead, and against responses that a client which has closed only
// its sending direction does not get.
func TestRequestsSentAheadAreServed(t *testing.T) {
	for _, tc := range []struct {
		name       string
		body       string
		halfClosed bool
	}{
		{"connected", "", false},
		{"connected, with bodies", "body", false},
		{"half-closed", "", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const requests = 40
			s := newAheadSite(qt.New(t))
			conn := s.send(requests, largeField, tc.body)
			if tc.halfClosed {
				s.c.Assert(conn.CloseWrite(), qt.IsNil)
			}
			in := bufio.NewReader(conn)
			for i := range requests {
				begun := s.next(disconnectTimeout)
				s.c.Assert(begun, qt.IsNotNil, qt.Commentf("request %d", i))
				if !tc.halfClosed {
					s.c.Assert(s.next(5*time.Millisecond), qt.IsNil)
				}
				close(begun.release)
				if left := <-begun.left; !tc.halfClosed {
					s.c.Check(left, qt.IsFalse, qt.Commentf("request %d", i))
				}
				resp, err := http.ReadResponse(in, nil)
				s.c.Assert(err, qt.IsNil, qt.Commentf("response %d", i))
				s.c.Assert(resp.Body.Close(), qt.IsNil)
			}
		})
	}
}
