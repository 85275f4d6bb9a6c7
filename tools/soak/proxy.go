package main

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	proxyBufferBytes = 16 << 10
	proxyDelay       = 150 * time.Millisecond
	proxyDialTimeout = time.Second
	// maxProxyDialTime exceeds the longest deadline of a request.
	maxProxyDialTime = 10 * time.Second
	// blockedPollInterval is how often a blocked connection checks whether its link
	// mode has changed.
	blockedPollInterval = 50 * time.Millisecond
)

// linkMode is the behaviour of a proxy.
type linkMode int

const (
	linkUp linkMode = iota
	linkSlow
	// linkReset resets open and new connections.
	linkReset
	// linkOneWay forwards nothing from the client to the server.
	linkOneWay
	// linkSilent blocks the connections that are open when the mode is set until
	// they are closed, also after the mode changes. New connections work.
	linkSilent
	// linkDown accepts connections but forwards nothing.
	linkDown
)

// proxy forwards TCP connections and injects faults into them. Fields are set
// before run.
type proxy struct {
	Listener net.Listener
	Target   string
	// Dial connects to the target; nil means net.DialTimeout.
	Dial func(network, address string, timeout time.Duration) (net.Conn, error)

	mu    sync.Mutex
	mode  linkMode
	pairs map[*connPair]bool
}

// connPair is one connection through the proxy.
type connPair struct {
	proxy          *proxy
	client, server net.Conn
	once           sync.Once
	closed         chan struct{}
	mu             sync.Mutex
	silent         bool
}

func (p *proxy) setMode(m linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for c := range p.pairs {
		switch m {
		case linkReset:
			c.reset()
		case linkSilent:
			c.silence()
		case linkUp, linkSlow, linkOneWay, linkDown:
		}
	}
}

func (p *proxy) currentMode() linkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) run() {
	for {
		client, err := p.Listener.Accept()
		if err != nil {
			return
		}
		c := &connPair{proxy: p, client: client, closed: make(chan struct{})}
		go c.run()
	}
}

// close closes the listener and resets all connections.
func (p *proxy) close() {
	_ = p.Listener.Close()
	p.setMode(linkReset)
}

func (c *connPair) run() {
	if c.proxy.currentMode() == linkReset {
		resetConn(c.client)
		return
	}
	server, err := c.proxy.connect(time.Now())
	if err != nil {
		resetConn(c.client)
		return
	}
	c.server = server
	c.proxy.add(c)
	defer c.proxy.remove(c)
	toServer := &forwarder{pair: c, from: c.client, to: server, toServer: true}
	toClient := &forwarder{pair: c, from: server, to: c.client}
	go toClient.run()
	toServer.run()
	<-c.closed
}

// connect connects to the target. Timeouts are tried again, because a connection that is not
// established in time does not end the one to the client.
func (p *proxy) connect(start time.Time) (net.Conn, error) {
	dial := p.Dial
	if dial == nil {
		dial = net.DialTimeout
	}
	for {
		conn, err := dial("tcp", p.Target, proxyDialTimeout)
		var netErr net.Error
		again := errors.As(err, &netErr) && netErr.Timeout() && time.Since(start) < maxProxyDialTime && p.currentMode() != linkReset
		if !again {
			return conn, err
		}
	}
}

func (p *proxy) add(c *connPair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pairs == nil {
		p.pairs = map[*connPair]bool{}
	}
	p.pairs[c] = true
}

func (p *proxy) remove(c *connPair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, c)
}

func (c *connPair) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *connPair) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *connPair) reset() {
	c.once.Do(func() {
		close(c.closed)
		resetConn(c.client)
		resetConn(c.server)
	})
}

func (c *connPair) close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.client.Close()
		_ = c.server.Close()
	})
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// forwarder copies the bytes of one direction of a connection.
type forwarder struct {
	pair     *connPair
	from, to net.Conn
	toServer bool
}

func (f *forwarder) run() {
	buf := make([]byte, proxyBufferBytes)
	for {
		n, err := f.from.Read(buf)
		if n > 0 && !f.waitUntilPassable() {
			return
		}
		if n > 0 {
			if _, err := f.to.Write(buf[:n]); err != nil {
				f.pair.close()
				return
			}
		}
		if err != nil {
			// A blocked link does not forward the end of a connection either.
			if f.waitUntilPassable() {
				f.pair.close()
			}
			return
		}
	}
}

// waitUntilPassable delays or blocks according to the link mode. It returns false
// if the connection was closed meanwhile.
func (f *forwarder) waitUntilPassable() bool {
	if f.pair.proxy.currentMode() == linkSlow {
		time.Sleep(proxyDelay)
	}
	for f.blocked() {
		select {
		case <-f.pair.closed:
			return false
		case <-time.After(blockedPollInterval):
		}
	}
	return true
}

func (f *forwarder) blocked() bool {
	mode := f.pair.proxy.currentMode()
	return f.pair.isSilent() || mode == linkDown || mode == linkOneWay && f.toServer
}
