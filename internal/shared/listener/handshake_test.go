package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// TestHandshakeSize guards against clients that make the server keep certificates before it has
// verified them, and against a limit that applies to calls after the handshake.
func TestHandshakeSize(t *testing.T) {
	c := qt.New(t)
	s := startRPCSite(c, &Listener{Pool: &Pool{Limit: 1 << 20}, Encrypted: true}, insecure.NewCredentials(), 1)
	conn, err := grpc.NewClient(s.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err = messenger.NewChunksClient(conn).Get(ctx, &messenger.ChunkRequest{Digest: string(make([]byte, 4*maxHandshakeBytes))})
	c.Assert(err, qt.IsNil)
}

// TestHandshakeWithoutEnd is TestHandshakeSize for a client hello that goes on.
func TestHandshakeWithoutEnd(t *testing.T) {
	c := qt.New(t)
	s := startRPCSite(c, &Listener{Pool: &Pool{Limit: 1 << 20}, Encrypted: true}, credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert}), 1)
	conn, err := net.Dial("tcp", s.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	c.Assert(conn.SetDeadline(time.Now().Add(handshakeTimeout/2)), qt.IsNil)
	// A hello of 60 KiB in records of 8 KiB, without its last byte.
	const size, piece = 60 << 10, 8 << 10
	hello := append([]byte{1, 0, size >> 8, 0}, make([]byte, size-1)...)
	for len(hello) > 0 {
		n := min(piece, len(hello))
		if _, err := conn.Write(append([]byte{22, 3, 1, byte(n >> 8), byte(n)}, hello[:n]...)); err != nil {
			break
		}
		hello = hello[n:]
	}
	_, err = io.ReadAll(conn)
	c.Check(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("the connection is open"))
}
