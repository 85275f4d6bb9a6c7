package fetcher

import (
	"context"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

// Dialer connects to the Chunks service of another agent. The closer ends the
// connection.
type Dialer func(ctx context.Context, address string) (messenger.ChunksClient, io.Closer, error)

const (
	// MaxMessageBytes holds one chunk of the largest size and its envelope.
	MaxMessageBytes = verifier.MaxChunkBytes + 64<<10
	// keepaliveTime and keepaliveTimeout close a dead connection after 15 s.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 5 * time.Second
	// windowBytes lets one chunk of the default size be in flight.
	windowBytes = 4 << 20
	// writeBufferBytes batches the frames of a chunk into fewer writes.
	writeBufferBytes = 64 << 10
)

// DialGRPC returns a Dialer over gRPC with the options added.
func DialGRPC(options ...grpc.DialOption) Dialer {
	return func(_ context.Context, address string) (messenger.ChunksClient, io.Closer, error) {
		conn, err := grpc.NewClient("passthrough:///"+address, append(DialOptions(), options...)...)
		if err != nil {
			return nil, nil, err
		}
		return messenger.NewChunksClient(conn), conn, nil
	}
}

// DialOptions are the options of connections between agents.
func DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	}
}

// ServerOptions are the options of a server of the Chunks service. They allow
// the keepalive that DialOptions sends.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.MaxRecvMsgSize(verifier.MaxManifestBytes),
		grpc.WriteBufferSize(writeBufferBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	}
}
