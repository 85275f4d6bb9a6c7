package listener

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readAhead reads while a request is in its handler. net/http reads a single byte then, to notice
// that the client disconnects, and stops at the first byte of the next request. The end of the
// connection behind that byte would be noticed only by a write, so that requests that were sent
// ahead would run for a client that has gone. So the byte is held back until the client
// disconnects or the read is interrupted, which net/http does once it has written the response. A
// byte that arrives after the response has begun may be that of an ordinary next request, and is
// passed on at once: writes fail if the client has gone.
func (c *Conn) readAhead(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n != 1 || len(p) != 1 || err != nil || !c.inBackground.Load() {
		return n, err
	}
	return n, c.awaitDisconnect()
}

// awaitDisconnect returns io.EOF once the client has disconnected, or nil if the read is interrupted
// or the connection cannot be watched. It returns another error once this process has closed the
// connection.
func (c *Conn) awaitDisconnect() error {
	raw := c.raw()
	if raw == nil {
		return nil
	}
	// The network poller reports each change of the socket once, so that bytes that nobody reads
	// do not wake it up again.
	err := raw.Read(isDisconnected)
	switch {
	case err == nil:
		return io.EOF
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil
	}
	return err
}

// raw returns the socket of the connection, or nil if it has none.
func (c *Conn) raw() syscall.RawConn {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// isDisconnected reports whether the client has closed or reset its side of a connection, whether
// or not all that it sent before was read.
func isDisconnected(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}} //nolint:gosec // Descriptors are small.
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// hasDisconnected reports whether a client that has sent requests ahead has disconnected.
func (c *Conn) hasDisconnected() bool {
	if !c.sentAhead {
		return false
	}
	raw := c.raw()
	disconnected := false
	return raw != nil && raw.Control(func(fd uintptr) { disconnected = isDisconnected(fd) }) == nil && disconnected
}

// ofDisconnected returns the request with a context that has ended, as net/http does if it notices
// that the client has disconnected.
func ofDisconnected(r *http.Request) *http.Request {
	ctx, cancel := context.WithCancel(r.Context())
	cancel()
	return r.WithContext(ctx)
}

// setInBackground follows the deadline that net/http sets: none immediately before it reads in the
// background.
func (c *Conn) setInBackground(deadline time.Time) { c.inBackground.Store(deadline.IsZero()) }
