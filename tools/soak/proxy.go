package main

import (
	"net"
	"sync"
	"time"
)

const (
	proxyBufferBytes = 16 << 10
	proxyDelay       = 150 * time.Millisecond
	proxyDialTimeout = time.Second
	// silentPoll is how often a silenced connection looks whether it was closed.
	silentPoll = 50 * time.Millisecond
)

// linkMode is how a proxy treats its connections.
type linkMode int

const (
	linkUp linkMode = iota
	linkSlow
	// linkResets resets the connections that exist and those that are made.
	linkResets
	// linkOneWay passes nothing from the client to the server.
	linkOneWay
	// linkSilent passes nothing on connections that were open when the mode was
	// set, for good, and lets new ones work.
	linkSilent
	// linkDown passes nothing while it lasts and accepts connections.
	linkDown
)

// proxy passes TCP connections on and disturbs them. Fields are set before run.
type proxy struct {
	Listener net.Listener
	Target   string

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
		case linkResets:
			c.reset()
		case linkSilent:
			c.silence()
		case linkUp, linkSlow, linkOneWay, linkDown:
		}
	}
}

func (p *proxy) current() linkMode {
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

// close ends the proxy and its connections.
func (p *proxy) close() {
	_ = p.Listener.Close()
	p.setMode(linkResets)
}

func (c *connPair) run() {
	if c.proxy.current() == linkResets {
		resetConn(c.client)
		return
	}
	server, err := net.DialTimeout("tcp", c.proxy.Target, proxyDialTimeout)
	if err != nil {
		resetConn(c.client)
		return
	}
	c.server = server
	c.proxy.add(c)
	defer c.proxy.remove(c)
	up := &pump{pair: c, from: c.client, to: server, up: true}
	down := &pump{pair: c, from: server, to: c.client}
	go down.run()
	up.run()
	<-c.closed
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

func (c *connPair) end() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.client.Close()
		_ = c.server.Close()
	})
}

// resetConn closes a connection with a reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// pump passes the bytes of one direction on.
type pump struct {
	pair     *connPair
	from, to net.Conn
	up       bool
}

func (p *pump) run() {
	buf := make([]byte, proxyBufferBytes)
	for {
		n, err := p.from.Read(buf)
		if n > 0 && !p.hold() {
			return
		}
		if n > 0 {
			if _, err := p.to.Write(buf[:n]); err != nil {
				p.pair.end()
				return
			}
		}
		if err != nil {
			// The end of a connection does not pass a link that is down either.
			if p.hold() {
				p.pair.end()
			}
			return
		}
	}
}

// hold waits as the mode says and reports whether the bytes go on.
func (p *pump) hold() bool {
	if p.pair.proxy.current() == linkSlow {
		time.Sleep(proxyDelay)
	}
	for p.blocked() {
		select {
		case <-p.pair.closed:
			return false
		case <-time.After(silentPoll):
		}
	}
	return true
}

func (p *pump) blocked() bool {
	mode := p.pair.proxy.current()
	return p.pair.isSilent() || mode == linkDown || mode == linkOneWay && p.up
}
