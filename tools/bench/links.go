package main

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// linkBurstBytes is one write of a connection at most.
const linkBurstBytes = 16 << 10

// links limits the connections between the VMs of one run. Every byte passes
// the sender's uplink, the receiver's downlink and, between regions, the link
// from the one region to the other. Links are full duplex.
type links struct {
	regionBytesPerSecond float64

	mu     sync.Mutex
	up     map[string]*rate.Limiter
	down   map[string]*rate.Limiter
	region map[string]string
	// regions holds the links from one region to another.
	regions map[[2]string]*rate.Limiter
	// dialers maps both addresses of a connection to the VM that dialled. One
	// local port may serve several connections to different addresses.
	dialers map[[2]string]string
	across  map[string]int64
}

func newLinks(regionBytesPerSecond float64) *links {
	return &links{
		regionBytesPerSecond: regionBytesPerSecond,
		up:                   map[string]*rate.Limiter{},
		down:                 map[string]*rate.Limiter{},
		region:               map[string]string{},
		regions:              map[[2]string]*rate.Limiter{},
		dialers:              map[[2]string]string{},
		across:               map[string]int64{},
	}
}

// add sets up the links of a VM.
func (l *links) add(vm, region string, bytesPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.region[vm] = region
	l.up[vm] = rate.NewLimiter(rate.Limit(bytesPerSecond), linkBurstBytes)
	l.down[vm] = rate.NewLimiter(rate.Limit(bytesPerSecond), linkBurstBytes)
}

// path returns the limits between two VMs.
func (l *links) path(from, to string) []*rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	path := []*rate.Limiter{l.up[from], l.down[to]}
	a, b := l.region[from], l.region[to]
	if a != b {
		path = append(path, l.between(a, b))
	}
	return path
}

func (l *links) between(a, b string) *rate.Limiter {
	pair := [2]string{a, b}
	if l.regions[pair] == nil {
		l.regions[pair] = rate.NewLimiter(rate.Limit(l.regionBytesPerSecond), linkBurstBytes)
	}
	return l.regions[pair]
}

// acrossBytes returns the bytes that entered each region from another one.
func (l *links) acrossBytes() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]int64{}
	for region, n := range l.across {
		out[region] = n
	}
	return out
}

func (l *links) count(from, to string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.region[from] != l.region[to] {
		l.across[l.region[to]] += int64(n)
	}
}

func (l *links) dialer(accepted net.Conn) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialers[[2]string{accepted.RemoteAddr().String(), accepted.LocalAddr().String()}]
}

// dial returns a dial function for connections from one VM to another.
func (l *links) dial(from string, vmOf func(address string) string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		l.dialers[[2]string{conn.LocalAddr().String(), conn.RemoteAddr().String()}] = from
		l.mu.Unlock()
		return &linkConn{Conn: conn, links: l, from: from, to: vmOf(address)}, nil
	}
}

// linkListener limits what the VM that listens sends.
type linkListener struct {
	net.Listener
	links *links
	vm    string
}

// Accept implements net.Listener.
func (l *linkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &linkConn{Conn: conn, links: l.links, from: l.vm}, nil
}

// linkConn writes at the rate of the slowest link of its path.
type linkConn struct {
	net.Conn
	links *links
	from  string
	to    string
	path  []*rate.Limiter
	// heard is set once the other end has sent something. Only then is its
	// address sure to be registered; before, the port may still be that of an
	// earlier connection.
	heard atomic.Bool
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	if c.path == nil {
		if c.to == "" && !c.heard.Load() {
			// A gRPC server sends its settings before it has read anything.
			return c.Conn.Write(p)
		}
		if c.to == "" {
			c.to = c.links.dialer(c.Conn)
		}
		c.path = c.links.path(c.from, c.to)
	}
	written := 0
	for written < len(p) {
		n := min(len(p)-written, linkBurstBytes)
		for _, limit := range c.path {
			if err := limit.WaitN(context.Background(), n); err != nil {
				return written, err
			}
		}
		sent, err := c.Conn.Write(p[written : written+n])
		c.links.count(c.from, c.to, sent)
		written += sent
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
