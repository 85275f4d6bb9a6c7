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

// Dialer connects to the Chunks service of another agent. The io.Closer closes the
// connection.
type Dialer func(ctx context.Context, address string) (messenger.ChunksClient, io.Closer, error)

const (
	// MaxMessageBytes limits the size of a gRPC message: the largest chunk plus 64 KiB
	// for the encoding.
	MaxMessageBytes = verifier.MaxChunkBytes + 64<<10
	// A dead connection is closed after keepaliveTime + keepaliveTimeout, 15 s.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 5 * time.Second
	// initialWindowBytes is the flow-control window of a stream and of a connection. It
	// has room for one chunk of the default size.
	initialWindowBytes = 4 << 20
	// writeBufferBytes is the write buffer of a server connection. It batches the
	// frames of a chunk into fewer writes.
	writeBufferBytes = 64 << 10
)

// DialGRPC returns a Dialer that uses gRPC with DialOptions and the given options.
func DialGRPC(options ...grpc.DialOption) Dialer {
	return func(_ context.Context, address string) (messenger.ChunksClient, io.Closer, error) {
		conn, err := grpc.NewClient("passthrough:///"+address, append(DialOptions(), options...)...)
		if err != nil {
			return nil, nil, err
		}
		return messenger.NewChunksClient(conn), conn, nil
	}
}

// DialOptions returns the gRPC options of connections between agents.
func DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
		grpc.WithInitialWindowSize(initialWindowBytes),
		grpc.WithInitialConnWindowSize(initialWindowBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	}
}

// ServerOptions returns the options of a gRPC server of the Chunks service. They
// permit the keepalive pings of clients that use DialOptions.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.MaxRecvMsgSize(verifier.MaxManifestBytes),
		grpc.WriteBufferSize(writeBufferBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	}
}
