package framer

import (
	"net"
	"net/http/httptrace"
	"sync"
)

// conn is a connection that checks the heads of responses.
type conn struct {
	net.Conn

	mu   sync.Mutex
	head headScanner
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, head: headScanner{ended: true}} }

// gotConn prepares a connection for the response to a request.
func gotConn(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*conn); ok {
		c.begin()
	}
}

// begin prepares the connection for the response to a request.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headScanner{}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.scan(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

func (c *conn) scan(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.scan(data)
}
