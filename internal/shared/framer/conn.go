package framer

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// uploadTimeout bounds the wait for the end of an upload whose response has ended with its
// connection. A peer that has closed the connection answers further data with a reset, after a
// retransmission timeout of 200 ms or more if it has announced that it takes no more data.
const uploadTimeout = time.Second

// ResetError reports a connection that ended without the regular end of its stream of bytes.
type ResetError struct {
	// Cause is the error of the write that failed, or nil if only the state of the connection shows
	// the reset.
	Cause error
}

func (e *ResetError) Error() string {
	if e.Cause != nil {
		return "the connection was reset while the request was written: " + e.Cause.Error()
	}
	return "the connection was reset"
}

func (e *ResetError) Unwrap() error { return e.Cause }

// conn is a connection that checks the heads of responses, and reports a reset to its reader. The
// kernel reports one only once, to whichever of reading and writing comes first, and the other
// one finds the regular end of the connection.
type conn struct {
	net.Conn
	closed chan struct{}
	once   sync.Once

	mu   sync.Mutex
	head headScanner
	// uploaded is closed once the request has been written, and nil before the first one.
	uploaded chan struct{}
	writeErr error
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, closed: make(chan struct{}), head: headScanner{ended: true}}
}

// begin prepares the connection for a request and its response.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.uploaded = headScanner{}, make(chan struct{})
}

// endUpload notes that the request has been written, or the write has failed.
func (c *conn) endUpload() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.uploaded:
	default:
		close(c.uploaded)
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.scan(p[:n]); malformed != nil {
		return 0, malformed
	}
	if errors.Is(err, io.EOF) {
		err = c.endError(err)
	}
	return n, err
}

func (c *conn) scan(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.scan(data)
}

// endError returns the error of a read at the end of the connection, after any write that is in
// progress: it may be what shows a reset.
func (c *conn) endError(end error) error {
	c.mu.Lock()
	uploaded := c.uploaded
	c.mu.Unlock()
	if uploaded != nil {
		timer := time.NewTimer(uploadTimeout)
		defer timer.Stop()
		select {
		case <-uploaded:
		case <-c.closed:
		case <-timer.C:
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil || wasReset(c.Conn) {
		return &ResetError{Cause: c.writeErr}
	}
	return end
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		c.writeErr = err
		c.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
