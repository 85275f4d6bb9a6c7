package main

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// linkBurstBytes is the burst of each link and the largest write to a
// connection.
const linkBurstBytes = 16 << 10

// links simulates the network between the VMs of one run by rate limits. Every
// byte passes the sender's uplink, the receiver's downlink and, across regions,
// the link from the sender's region to the receiver's. Links are full duplex.
type links struct {
	regionBytesPerSecond float64

	mu        sync.Mutex
	uplinks   map[string]*rate.Limiter
	downlinks map[string]*rate.Limiter
	regionOf  map[string]string
	// regionLinks holds the links between regions by sending and receiving region.
	regionLinks map[[2]string]*rate.Limiter
	// dialers maps the local and remote address of a connection to the VM that
	// dialled it. The local address alone is ambiguous, because one local port may
	// serve several connections to different addresses.
	dialers map[[2]string]string
	// crossRegion counts the bytes received from other regions by receiving region.
	crossRegion map[string]int64
}

func newLinks(regionBytesPerSecond float64) *links {
	return &links{
		regionBytesPerSecond: regionBytesPerSecond,
		uplinks:              map[string]*rate.Limiter{},
		downlinks:            map[string]*rate.Limiter{},
		regionOf:             map[string]string{},
		regionLinks:          map[[2]string]*rate.Limiter{},
		dialers:              map[[2]string]string{},
		crossRegion:          map[string]int64{},
	}
}

// add sets up the links of a VM.
func (l *links) add(vm, region string, bytesPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.regionOf[vm] = region
	l.uplinks[vm] = rate.NewLimiter(rate.Limit(bytesPerSecond), linkBurstBytes)
	l.downlinks[vm] = rate.NewLimiter(rate.Limit(bytesPerSecond), linkBurstBytes)
}

// pathLimits returns the rate limits of all links between two VMs.
func (l *links) pathLimits(from, to string) []*rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits := []*rate.Limiter{l.uplinks[from], l.downlinks[to]}
	a, b := l.regionOf[from], l.regionOf[to]
	if a != b {
		limits = append(limits, l.regionLink(a, b))
	}
	return limits
}

func (l *links) regionLink(a, b string) *rate.Limiter {
	pair := [2]string{a, b}
	if l.regionLinks[pair] == nil {
		l.regionLinks[pair] = rate.NewLimiter(rate.Limit(l.regionBytesPerSecond), linkBurstBytes)
	}
	return l.regionLinks[pair]
}

// crossRegionBytes returns the bytes that each region received from others.
func (l *links) crossRegionBytes() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]int64{}
	for region, n := range l.crossRegion {
		out[region] = n
	}
	return out
}

func (l *links) countCrossRegion(from, to string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.regionOf[from] != l.regionOf[to] {
		l.crossRegion[l.regionOf[to]] += int64(n)
	}
}

// dialerOf returns the VM that dialled an accepted connection.
func (l *links) dialerOf(accepted net.Conn) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialers[[2]string{accepted.RemoteAddr().String(), accepted.LocalAddr().String()}]
}

// dial returns a dial function for connections from the VM; vmOf maps an address
// to the VM that listens on it.
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

// linkListener limits what the listening VM sends on accepted connections.
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

// linkConn limits writes to the rate of the slowest link of its path.
type linkConn struct {
	net.Conn
	links  *links
	from   string
	to     string
	limits []*rate.Limiter
	// received is set once the other end has sent data. Only then is its address
	// certain to be in dialers: dial registers a connection after it has been
	// established, and until then the entry may be that of an earlier connection
	// with the same port.
	received atomic.Bool
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	if c.limits == nil {
		if c.to == "" && !c.received.Load() {
			// A gRPC server sends its SETTINGS frame before it has read anything,
			// when the sender's peer is not known yet. That frame is not limited.
			return c.Conn.Write(p)
		}
		if c.to == "" {
			c.to = c.links.dialerOf(c.Conn)
		}
		c.limits = c.links.pathLimits(c.from, c.to)
	}
	written := 0
	for written < len(p) {
		n := min(len(p)-written, linkBurstBytes)
		for _, limit := range c.limits {
			if err := limit.WaitN(context.Background(), n); err != nil {
				return written, err
			}
		}
		sent, err := c.Conn.Write(p[written : written+n])
		c.links.countCrossRegion(c.from, c.to, sent)
		written += sent
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
