package listener

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// chunks answers calls for a chunk with one of a size, after a time.
type chunks struct {
	messenger.UnimplementedChunksServer
	size int
}

// Get implements messenger.ChunksServer.
func (s chunks) Get(context.Context, *messenger.ChunkRequest) (*messenger.ChunkReply, error) {
	return &messenger.ChunkReply{Data: make([]byte, s.size)}, nil
}

// rpcSite is a gRPC server on a listener.
type rpcSite struct {
	*Listener
	server *grpc.Server
}

func (s *rpcSite) run() { _ = s.server.Serve(s.Listener) }

func newRPCSite(c *qt.C, memory int64, chunkBytes int) *rpcSite {
	return startRPCSite(c, &Listener{Pool: &Pool{Limit: memory}}, insecure.NewCredentials(), chunkBytes)
}

// startRPCSite starts a server on a listener, the other fields of which it sets.
func startRPCSite(c *qt.C, listener *Listener, creds credentials.TransportCredentials, chunkBytes int) *rpcSite {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &rpcSite{server: grpc.NewServer(slices.Concat(RPCOptions(16), []grpc.ServerOption{grpc.MaxSendMsgSize(16 << 20), grpc.MaxRecvMsgSize(16 << 20), grpc.Creds(creds)})...)}
	listener.Listener, listener.Name, listener.MaxConnections, listener.RPC, listener.Reports = l, "test", 16, true, &Reports{Log: zap.NewNop()}
	s.Listener = listener
	messenger.RegisterChunksServer(s.server, chunks{size: chunkBytes})
	go s.run()
	c.Cleanup(s.server.Stop)
	return s
}

func (s *rpcSite) used() int64 {
	s.Pool.mu.Lock()
	defer s.Pool.mu.Unlock()
	return s.Pool.used
}

// rawCall begins a call with raw frames and returns the connection.
func (s *rpcSite) rawCall(c *qt.C, settings ...http2.Setting) (net.Conn, *http2.Framer) {
	conn, err := net.Dial("tcp", s.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte(http2.ClientPreface))
	c.Assert(err, qt.IsNil)
	f := http2.NewFramer(conn, conn)
	c.Assert(f.WriteSettings(settings...), qt.IsNil)
	var block bytes.Buffer
	fields := hpack.NewEncoder(&block)
	for _, field := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", messenger.Chunks_Get_FullMethodName}, {":authority", "h"}, {"content-type", "application/grpc"}, {"te", "trailers"}} {
		c.Assert(fields.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]}), qt.IsNil)
	}
	c.Assert(f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block.Bytes(), EndHeaders: true}), qt.IsNil)
	return conn, f
}

// call makes an ordinary call.
func (s *rpcSite) call(c *qt.C, n int) error {
	conn, err := grpc.NewClient(s.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(16<<20)))
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for range n {
		if _, err = messenger.NewChunksClient(conn).Get(ctx, &messenger.ChunkRequest{Digest: "d"}); err != nil {
			return err
		}
	}
	return nil
}

// TestIncompleteMessages guards against messages that are never completed and hold memory without
// limit, and against an ordinary call that fails beside them.
func TestIncompleteMessages(t *testing.T) {
	c := qt.New(t)
	s := newRPCSite(c, 100<<10, 10)
	conn, f := s.rawCall(c)
	c.Assert(f.WriteData(1, false, binary.BigEndian.AppendUint32([]byte{0}, 8<<20)), qt.IsNil)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		for data := make([]byte, 8<<10); f.WriteData(1, false, data) == nil; {
			time.Sleep(time.Millisecond)
		}
	}()
	<-closed
	_ = conn.Close()
	c.Check(s.call(c, 1), qt.IsNil)
	c.Check(s.used() <= s.Pool.Limit, qt.IsTrue)
}

// TestUnreadMessages guards against messages for clients that do not read and hold memory without
// limit.
func TestUnreadMessages(t *testing.T) {
	c := qt.New(t)
	s := newRPCSite(c, 8<<20, 4<<20)
	var conns []net.Conn
	for i := range 4 {
		conn, f := s.rawCall(c, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1})
		c.Assert(f.WriteData(1, true, []byte{0, 0, 0, 0, 0}), qt.IsNil)
		conns = append(conns, conn)
		// Each message counts before the next call begins, or the ordinary call would not be the
		// newest and could be the one that is closed. There is memory for two.
		if i < 2 {
			for s.used() < int64(i+1)*3<<20 {
				time.Sleep(time.Millisecond)
			}
			continue
		}
		c.Assert(conns[i-2].SetReadDeadline(time.Now().Add(time.Minute)), qt.IsNil)
		_, err := io.Copy(io.Discard, conns[i-2])
		c.Check(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("connection %d is open", i-2))
	}
	c.Check(s.call(c, 3), qt.IsNil)
	c.Check(s.used() <= s.Pool.Limit, qt.IsTrue, qt.Commentf("%d", s.used()))
}

// TestCallsReturnMemory guards against calls whose memory counts after they have ended.
func TestCallsReturnMemory(t *testing.T) {
	c := qt.New(t)
	s := newRPCSite(c, 1<<30, 1<<20)
	c.Assert(s.call(c, 20), qt.IsNil)
	conn, err := grpc.NewClient(s.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	c.Assert(err, qt.IsNil)
	_, err = messenger.NewChunksClient(conn).Manifest(context.Background(), &messenger.ManifestRequest{Name: string(make([]byte, 1<<20))})
	c.Check(status.Code(err), qt.Equals, codes.Unimplemented)
	c.Assert(conn.Close(), qt.IsNil)
	for s.used() > 0 {
		time.Sleep(time.Millisecond)
	}
}
