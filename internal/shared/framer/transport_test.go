package framer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestHeadIsChecked guards against a malformed head that is accepted, and against a sound one that
// is not, wherever the reads of the connection divide it.
func TestHeadIsChecked(t *testing.T) {
	tests := []struct {
		name  string
		head  string
		sound bool
	}{
		{"fields", "HTTP/1.1 200 OK\r\nA: b\r\nC:d\r\n\r\n", true},
		{"no reason", "HTTP/1.1 204\r\n\r\n", true},
		{"empty reason", "HTTP/1.0 500 \r\n\r\n", true},
		{"empty value", "HTTP/1.1 200 OK\r\nA:\r\n\r\n", true},
		{"tabulator and UTF-8 in a value", "HTTP/1.1 200 OK\r\nA: \tb\xc3\xa9\r\n\r\n", true},
		{"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", true},
		{"empty line first", "\r\nHTTP/1.1 200 OK\r\n\r\n", false},
		{"status 000", "HTTP/1.1 000 OK\r\n\r\n", false},
		{"status 0200", "HTTP/1.1 0200 OK\r\n\r\n", false},
		{"status 20", "HTTP/1.1 20\r\n\r\n", false},
		{"status 600", "HTTP/1.1 600 OK\r\n\r\n", false},
		{"other version", "HTTP/2.0 200 OK\r\n\r\n", false},
		{"no version", "HTTP 200 OK\r\n\r\n", false},
		{"two blanks before the status", "HTTP/1.1  200 OK\r\n\r\n", false},
		{"control character in the reason", "HTTP/1.1 200 O\x00K\r\n\r\n", false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nA b: c\r\n\r\n", false},
		{"blank after a name", "HTTP/1.1 200 OK\r\nA : c\r\n\r\n", false},
		{"blank before a name", "HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n", false},
		{"no name", "HTTP/1.1 200 OK\r\n: b\r\n\r\n", false},
		{"no colon", "HTTP/1.1 200 OK\r\nA\r\n\r\n", false},
		{"line feed only", "HTTP/1.1 200 OK\r\nA: b\n\r\n", false},
		{"line feed before a name", "HTTP/1.1 200 OK\r\n\nA: b\r\n\r\n", false},
		{"carriage return in a value", "HTTP/1.1 200 OK\r\nA: b\rC: d\r\n\r\n", false},
		{"delete character in a value", "HTTP/1.1 200 OK\r\nA: \x7f\r\n\r\n", false},
		{"blank in a name of an interim response", "HTTP/1.1 103 Early\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			for cut := range len(tc.head) {
				var s headScanner
				err := s.scan([]byte(tc.head[:cut]))
				if err == nil {
					err = s.scan([]byte(tc.head[cut:] + "\x00 body\n"))
				}
				var malformed *MalformedError
				qt.Assert(t, errors.As(err, &malformed), qt.Equals, !tc.sound, qt.Commentf("cut at %d: %v", cut, err))
				qt.Assert(t, s.ended, qt.Equals, tc.sound)
			}
		})
	}
}

// echoServer responds to each request with its body.
type echoServer struct {
	listener net.Listener
}

func (s *echoServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go (&echoConn{conn: conn}).run()
	}
}

type echoConn struct {
	conn net.Conn
}

func (c *echoConn) run() {
	defer func() { _ = c.conn.Close() }()
	in := bufio.NewReader(c.conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection-Number: %s\r\n\r\n%s", len(body), c.conn.RemoteAddr(), body)
	}
}

// TestKeptConnection guards against a connection that is not used again although its responses are
// sound, or that checks the body of a response as the next head.
func TestKeptConnection(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go (&echoServer{listener: l}).run()
	client := &http.Client{Transport: NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})}
	connections := map[string]bool{}
	for i := range 5 {
		sent := strings.Repeat("\x00 body\n", i*1000)
		resp, err := client.Post("http://"+l.Addr().String()+"/", "text/plain", strings.NewReader(sent))
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		c.Assert(string(body) == sent, qt.IsTrue)
		connections[resp.Header.Get("Connection-Number")] = true
	}
	c.Assert(connections, qt.HasLen, 1)
}
