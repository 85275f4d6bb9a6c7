package agent

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/lentilbridge/lentilbridge/internal/daemon/executor"
	"github.com/lentilbridge/lentilbridge/internal/shared/authenticator"
	"github.com/lentilbridge/lentilbridge/internal/shared/listener"
	"github.com/lentilbridge/lentilbridge/internal/shared/recoverer"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	maxRequestBytes      = 16 << 20
	maxConcurrentStreams = 4096
	minKeepaliveInterval = 5 * time.Second
)

// rpcServer serves the gRPC calls of entry daemons and other agents.
type rpcServer struct {
	messenger.UnimplementedAgentServer
	Listener net.Listener
	Executor *executor.Executor
	Orders   *orders
	// Chunks is nil when the agent serves no chunks.
	Chunks messenger.ChunksServer
	TLS    *authenticator.Authenticator
	Log    *logger.Logger

	// drainEnd is the end of the drain, in ns since 1970, or 0 if there was none.
	drainEnd atomic.Int64
}

// serve serves calls until ctx ends and then stops gracefully: it waits until the answers
// have reached their callers, at most until the end of the drain, or for shutdownTimeout
// if that is later.
func (s *rpcServer) serve(ctx context.Context) error {
	options := append(listener.RPCOptions(maxConcurrentStreams),
		grpc.MaxRecvMsgSize(maxRequestBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	options = append(options, recoverer.RPC{Log: s.Log}.ServerOptions()...)
	server := grpc.NewServer(append(options, s.TLS.ServerOptions()...)...)
	messenger.RegisterAgentServer(server, s)
	if s.Chunks != nil {
		messenger.RegisterChunksServer(server, endingChunks{s.Chunks, ctx})
	}
	stopped := make(chan struct{})
	unregister := context.AfterFunc(ctx, func() {
		defer close(stopped)
		timeout := time.Until(time.Unix(0, s.drainEnd.Load()))
		limit := time.AfterFunc(max(timeout, shutdownTimeout), server.Stop)
		defer limit.Stop()
		server.GracefulStop()
	})
	err := server.Serve(s.Listener)
	if unregister() {
		server.Stop()
		return err
	}
	<-stopped
	if errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}

// endingChunks ends the Have streams, which have no end of their own, with a context.
type endingChunks struct {
	messenger.ChunksServer
	ctx context.Context
}

// Have implements messenger.ChunksServer.
func (s endingChunks) Have(req *messenger.HaveRequest, stream grpc.ServerStreamingServer[messenger.HaveReply]) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	return s.ChunksServer.Have(req, &endingStream{stream, ctx})
}

// endingStream is a stream whose context ends before its call does.
type endingStream struct {
	grpc.ServerStreamingServer[messenger.HaveReply]
	ctx context.Context
}

// Context implements grpc.ServerStream.
func (s *endingStream) Context() context.Context { return s.ctx }

// Attempt implements messenger.AgentServer.
func (s *rpcServer) Attempt(stream grpc.BidiStreamingServer[messenger.AttemptFrame, messenger.AttemptEvent]) error {
	return s.Executor.Attempt(stream)
}

// Reserve implements messenger.AgentServer.
func (s *rpcServer) Reserve(ctx context.Context, req *messenger.ReserveRequest) (*messenger.ReserveReply, error) {
	return s.Executor.Reserve(ctx, req)
}

// Cancel implements messenger.AgentServer.
func (s *rpcServer) Cancel(ctx context.Context, req *messenger.CancelRequest) (*messenger.CancelReply, error) {
	return s.Executor.Cancel(ctx, req)
}

// AttemptStatus implements messenger.AgentServer.
func (s *rpcServer) AttemptStatus(ctx context.Context, req *messenger.AttemptStatusRequest) (*messenger.AttemptStatusReply, error) {
	return s.Executor.AttemptStatus(ctx, req)
}

// ClaimedCalls implements messenger.AgentServer.
func (s *rpcServer) ClaimedCalls(ctx context.Context, req *messenger.ClaimedCallsRequest) (*messenger.ClaimedCallsReply, error) {
	return s.Executor.ClaimedCalls(ctx, req)
}

// Order implements messenger.AgentServer.
func (s *rpcServer) Order(ctx context.Context, req *messenger.OrderRequest) (*messenger.OrderReply, error) {
	return s.Orders.Order(ctx, req)
}
