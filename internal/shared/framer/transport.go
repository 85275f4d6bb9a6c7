// Package framer checks the framing of HTTP/1 responses where net/http accepts more than the
// protocol allows: heads that a receiver may read in several ways, and bodies that end with a
// connection which was reset.
package framer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport is an http.RoundTripper whose responses are checked. A head that is malformed fails the
// request with a *MalformedError. A body that ends with its connection fails with a *ResetError
// where the connection was reset, also while the request was still being written.
type Transport struct {
	// DialContext makes the connections. It is set before the first request.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	base *http.Transport
}

// NewTransport returns a transport with the settings of base, which must have a DialContext, and
// must not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	t := &Transport{DialContext: base.DialContext, base: base}
	base.DialContext = t.dial
	return t
}

func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := t.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	x := &exchange{}
	trace := &httptrace.ClientTrace{GotConn: x.gotConn, WroteRequest: x.wroteRequest}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if resp != nil {
		resp.Request = r
	}
	return resp, err
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// exchange is a request that is sent. net/http may try several connections.
type exchange struct {
	mu   sync.Mutex
	conn *conn
}

// gotConn prepares a connection for the request and its response.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	c.begin()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
}

// wroteRequest notes that the request has been written, or the write has failed.
func (x *exchange) wroteRequest(httptrace.WroteRequestInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		x.conn.endUpload()
	}
}
