// Package piper provides listeners for tests whose connections are in memory, so that they follow the
// virtual time of testing/synctest. Only tests import it.
package piper

import (
	"context"
	"net"
	"sync"
	"time"
)

// Listener accepts connections that are made in memory. Exported fields are set before use.
type Listener struct {
	// ReadDelay is the delay of each read of a client.
	ReadDelay time.Duration

	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// New returns an open listener.
func New() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial returns a connection, or net.ErrClosed if the listener is closed.
func (l *Listener) Dial() (net.Conn, error) { return l.DialContext(context.Background(), "") }

// DialContext is Dial for grpc.WithContextDialer.
func (l *Listener) DialContext(ctx context.Context, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return l.delayed(client), nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *Listener) delayed(conn net.Conn) net.Conn {
	if l.ReadDelay == 0 {
		return conn
	}
	return &slowConn{conn, l.ReadDelay}
}

// slowConn delays each read.
type slowConn struct {
	net.Conn
	delay time.Duration
}

func (c *slowConn) Read(p []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Read(p)
}
