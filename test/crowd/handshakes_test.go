package crowd

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"io"
	"math/big"
	"net"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// chainBytes is close to what crypto/tls accepts as the certificates of a client.
	chainBytes = 250 << 10
	// serialBytes is the length of the serial number of a certificate.
	serialBytes = 16
)

// shortCertificate returns a certificate that is as short as possible, and the place of its serial
// number.
func shortCertificate(t *testing.T) (certificate tls.Certificate, serial int) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	number := bytes.Repeat([]byte{1}, serialBytes)
	template := &x509.Certificate{SerialNumber: new(big.Int).SetBytes(number), Subject: pkix.Name{CommonName: "x"}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	qt.Assert(t, err, qt.IsNil)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, bytes.Index(der, number)
}

// cutConn is a connection that sends no more than a number of bytes.
type cutConn struct {
	net.Conn
	left int
}

// Write implements net.Conn.
func (c *cutConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p[:min(len(p), c.left)])
	c.left -= n
	if err == nil && n < len(p) {
		err = io.ErrShortWrite
	}
	return n, err
}

// handshakes are loads on a gRPC server with TLS of clients whose certificates no authority has
// signed.
func handshakes(t *testing.T) []load {
	one, serial := shortCertificate(t)
	// Certificates differ, since crypto/tls keeps equal ones once.
	chain := func() *tls.Certificate {
		out := &tls.Certificate{PrivateKey: one.PrivateKey}
		for n := 0; n < chainBytes; n += len(one.Certificate[0]) + 5 {
			der := slices.Clone(one.Certificate[0])
			_, _ = rand.Read(der[serial+1 : serial+serialBytes])
			out.Certificate = append(out.Certificate, der)
		}
		return out
	}
	greet := func(c *client, most int) {
		config := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}, GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return chain(), nil }}
		if tls.Client(&cutConn{c.conn, most}, config).Handshake() == nil || most < chainBytes {
			c.hold()
		}
	}
	return []load{
		{"many client certificates", manyClients, func(c *client) { greet(c, 2*chainBytes) }},
		{"many client certificates, short of their end", manyClients, func(c *client) { greet(c, chainBytes-(8<<10)) }},
	}
}

// TestHandshakes plays TLS handshakes that need much memory before the server knows its client.
func TestHandshakes(t *testing.T) {
	play(t, func(t *testing.T) *daemon {
		_, agent := startProductTLS(t, smallestEntry, smallestEngine)
		return agent
	}, nil, rows("rpc", handshakes(t)))
}
