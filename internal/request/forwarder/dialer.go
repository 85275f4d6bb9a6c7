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
	// keepaliveTime and keepaliveTimeout together close a dead connection after
	// 30 s, so that no frame can arrive on it later.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 20 * time.Second
	// connectTimeout limits one attempt to connect.
	connectTimeout = time.Second
	// idleTimeout is how long an unused connection to an agent stays open.
	idleTimeout = 5 * time.Minute
	// maxConnectDelay limits the delay between two attempts to connect.
	maxConnectDelay = 2 * time.Second
	// maxMessageBytes limits the size of one event. Service answers are the
	// largest events.
	maxMessageBytes = 32 << 20
)

// Connections caches one gRPC connection per agent.
type Connections struct {
	// Options are appended to the default dial options.
	Options []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// Dial returns a client for the agent at the address. It does not wait until the
// connection is established.
func (c *Connections) Dial(address string) (messenger.AgentClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return messenger.NewAgentClient(conn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, append(defaultOptions(), c.Options...)...)
	if err != nil {
		return nil, err
	}
	if c.conns == nil {
		c.conns = map[string]*grpc.ClientConn{}
	}
	c.conns[address] = conn
	return messenger.NewAgentClient(conn), nil
}

func defaultOptions() []grpc.DialOption {
	retry := backoff.DefaultConfig
	retry.MaxDelay = maxConnectDelay
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: connectTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		// Without this option, grpc-go may retry a stream transparently. Only the
		// forwarder may retry attempts.
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDisableServiceConfig(),
	}
}

// Retain closes connections to agents that are not in addresses, unless they may
// carry attempts: an agent that does not report may still be sending answers.
func (c *Connections) Retain(addresses map[string]struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		if _, used := addresses[address]; used || mayCarryAttempts(conn) {
			continue
		}
		conn.Close()
		delete(c.conns, address)
	}
}

// mayCarryAttempts reports whether the connection may carry attempts. grpc-go
// changes a connection without streams to idle after idleTimeout.
func mayCarryAttempts(conn *grpc.ClientConn) bool {
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
