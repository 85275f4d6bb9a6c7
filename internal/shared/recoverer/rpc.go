package recoverer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

// errPanic is the error of a call whose handler panicked.
var errPanic = status.Error(codes.Internal, "the call failed because of an unexpected error")

// RPC contains the panics of gRPC handlers, which would end the process.
type RPC struct {
	Log *logger.Logger
}

// ServerOptions returns the options of a gRPC server with the interceptors of r.
func (r RPC) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.ChainUnaryInterceptor(r.unary), grpc.ChainStreamInterceptor(r.stream)}
}

func (r RPC) unary(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (reply any, err error) {
	err = errPanic
	defer Contain(r.Log, info.FullMethod)
	return handler(ctx, req)
}

func (r RPC) stream(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	err = errPanic
	defer Contain(r.Log, info.FullMethod)
	return handler(srv, stream)
}
