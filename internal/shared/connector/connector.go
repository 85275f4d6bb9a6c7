// Package connector shares one gRPC connection per entry daemon among the packages that call
// it.
package connector

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// A dead connection is closed after keepaliveTime + keepaliveTimeout. The sum is
	// 30 s, the time after which no late frame may arrive.
	keepaliveTime    = 20 * time.Second
	keepaliveTimeout = 10 * time.Second
	// idleTimeout is the time after which a connection without calls is closed.
	idleTimeout = 5 * time.Minute
)

// Pool is a set of gRPC connections by address. The zero value is ready to use.
type Pool struct {
	// Options are additional dial options.
	Options []grpc.DialOption

	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
}

// Entry returns a client of the entry daemon at the address. The connection is established at
// the first call.
func (p *Pool) Entry(address string) (messenger.EntryClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.connections[address]; conn != nil {
		return messenger.NewEntryClient(conn), nil
	}
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDisableServiceConfig(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    keepaliveTime,
			Timeout: keepaliveTimeout,
		}),
	}, p.Options...)
	// The passthrough scheme disables name resolution. Addresses are IP addresses with
	// a port.
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, err
	}
	if p.connections == nil {
		p.connections = map[string]*grpc.ClientConn{}
	}
	p.connections[address] = conn
	return messenger.NewEntryClient(conn), nil
}

// Retain closes the connections to all addresses but the given ones, so that connections to
// replaced VMs do not accumulate.
func (p *Pool) Retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.connections {
		if !addresses[address] {
			_ = conn.Close()
			delete(p.connections, address)
		}
	}
}

// Close closes all connections.
func (p *Pool) Close() { p.Retain(nil) }

// ServerOptions returns the options of a gRPC server that clients of a Pool call. A server with
// the default enforcement policy would close their connections because of the frequent
// keepalive pings.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: keepaliveTime / 2, PermitWithoutStream: true,
		}),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time: keepaliveTime, Timeout: keepaliveTimeout,
		}),
	}
}
