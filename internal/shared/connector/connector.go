// Package connector keeps one gRPC connection for each address of an entry
// daemon, shared by the packages that call it.
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
	// A dead connection is closed after keepaliveTime + keepaliveTimeout, which
	// adds up to the 30 s after which no late frame may arrive.
	keepaliveTime    = 20 * time.Second
	keepaliveTimeout = 10 * time.Second
	// idleTimeout closes connections to daemons that are no longer called.
	idleTimeout = 5 * time.Minute
)

// Pool keeps connections. The zero value is ready for use.
type Pool struct {
	// Options are added to those of each connection.
	Options []grpc.DialOption

	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
}

// Entry returns a client for the entry daemon at the address. It connects at
// the first call of the client.
func (p *Pool) Entry(address string) (messenger.EntryClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if connection := p.connections[address]; connection != nil {
		return messenger.NewEntryClient(connection), nil
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
	// The passthrough scheme keeps name resolution out: addresses are IP
	// addresses with a port.
	connection, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, err
	}
	if p.connections == nil {
		p.connections = map[string]*grpc.ClientConn{}
	}
	p.connections[address] = connection
	return messenger.NewEntryClient(connection), nil
}

// Retain closes the connections to all other addresses, so that replaced VMs
// leave nothing behind.
func (p *Pool) Retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, connection := range p.connections {
		if !addresses[address] {
			_ = connection.Close()
			delete(p.connections, address)
		}
	}
}

// Close closes all connections.
func (p *Pool) Close() { p.Retain(nil) }

// ServerOptions returns the options of a gRPC server that clients of a Pool
// call. The default server takes their keepalive pings for abuse and closes
// the connection.
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
