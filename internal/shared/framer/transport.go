// Package framer checks the framing of HTTP/1 responses where net/http accepts more than the
// protocol allows: heads that a receiver may read in several ways.
package framer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper whose responses are checked. A head that is malformed fails the
// request with a *MalformedError.
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
	checked := r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: gotConn}))
	resp, err := t.base.RoundTrip(checked)
	if resp != nil {
		resp.Request = r
	}
	return resp, err
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
