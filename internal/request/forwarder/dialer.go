package forwarder

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// keepaliveTime and keepaliveTimeout close a dead connection after 30 s, so
	// that no frame of it can arrive later.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 20 * time.Second
	connectTimeout   = time.Second
	// idleTimeout closes connections to agents that this daemon does not use.
	idleTimeout     = 5 * time.Minute
	maxConnectDelay = 2 * time.Second
	// maxMessageBytes bounds one event; service answers are the largest.
	maxMessageBytes = 32 << 20
)

// Connections caches one connection per agent.
type Connections struct {
	// Options are added to the default ones.
	Options []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// Dial returns a client of the agent at the address. It does not wait for the
// connection.
func (c *Connections) Dial(address string) (messenger.AgentClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return messenger.NewAgentClient(conn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, append(options(), c.Options...)...)
	if err != nil {
		return nil, err
	}
	if c.conns == nil {
		c.conns = map[string]*grpc.ClientConn{}
	}
	c.conns[address] = conn
	return messenger.NewAgentClient(conn), nil
}

func options() []grpc.DialOption {
	retry := backoff.DefaultConfig
	retry.MaxDelay = maxConnectDelay
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: connectTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		// grpc-go may send a stream again by itself; attempts are retried by
		// the forwarder only.
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDisableServiceConfig(),
	}
}

// Keep closes the connections to agents that are no longer in the directory,
// once they carry no attempt: an agent that cannot report may still be
// answering.
func (c *Connections) Keep(addresses map[string]struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		if _, used := addresses[address]; used || busy(conn) {
			continue
		}
		conn.Close()
		delete(c.conns, address)
	}
}

// busy reports whether the connection may carry attempts. grpc-go makes a
// connection without any idle after idleTimeout.
func busy(conn *grpc.ClientConn) bool {
	switch conn.GetState() {
	case connectivity.Idle, connectivity.TransientFailure, connectivity.Shutdown:
		return false
	}
	return true
}

// Close closes all connections.
func (c *Connections) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}
