package test

import (
	"bytes"
	"net"
	"sync"

	qt "github.com/frankban/quicktest"
)

// delayProxy is a TCP proxy in front of an agent that can hold back what entry
// daemons send and leave their connections half-open.
type delayProxy struct {
	target   string
	listener net.Listener

	mu sync.Mutex
	// pattern and after are the arguments of hold.
	pattern []byte
	after   bool
	// heldConn is the connection that is held; held is closed once there is
	// one.
	heldConn *delayProxyConn
	held     chan struct{}
	// heldBytes are the bytes that the entry daemon has sent on it since.
	heldBytes []byte
}

// delayProxyConn is a connection of an entry daemon to the agent.
type delayProxyConn struct {
	proxy        *delayProxy
	entry, agent net.Conn
	isHeld       bool
	// isHalfOpen keeps the agent's side open after the entry daemon's side was
	// reset.
	isHalfOpen bool
}

// delayProxyArgs starts the proxy of an agent, unless it runs already, and
// returns the arguments with which the agent advertises it. Without
// DelayProxies it returns none.
func (s *system) delayProxyArgs(name, ip string) []string {
	if !s.DelayProxies {
		return nil
	}
	p := s.delayProxies[name]
	if p == nil {
		listener, err := net.Listen("tcp", ip+":9191")
		s.c.Assert(err, qt.IsNil)
		p = &delayProxy{target: ip + ":9090", listener: listener}
		s.delayProxies[name] = p
		s.t.Cleanup(func() { _ = listener.Close() })
		go p.run()
	}
	return []string{"--advertise-address", ip + ":9191"}
}

// hold holds back what an entry daemon sends on the first connection that
// carries the text: from the piece with the text on or, if after is set, from
// the next piece on. A piece is what one read returns.
func (p *delayProxy) hold(text string, after bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pattern, p.after, p.heldConn, p.heldBytes = []byte(text), after, nil, nil
	p.held = make(chan struct{})
}

// resetEntrySide resets the held connection on the entry daemon's side only.
// The agent does not learn of it, and release still delivers the held bytes.
func (p *delayProxy) resetEntrySide() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldConn.isHalfOpen = true
	_ = p.heldConn.entry.(*net.TCPConn).SetLinger(0)
	_ = p.heldConn.entry.Close()
}

// release delivers the held bytes and forwards the connection again.
func (p *delayProxy) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = p.heldConn.agent.Write(p.heldBytes)
	p.heldConn.isHeld = false
}

// hasHeld reports whether the held bytes contain a text.
func (p *delayProxy) hasHeld(text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return bytes.Contains(p.heldBytes, []byte(text))
}

func (p *delayProxy) run() {
	for {
		entry, err := p.listener.Accept()
		if err != nil {
			return
		}
		agent, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = entry.Close()
			continue
		}
		c := &delayProxyConn{proxy: p, entry: entry, agent: agent}
		go c.run()
		go c.loop()
	}
}

// run forwards what the entry daemon sends.
func (c *delayProxyConn) run() {
	defer c.closeAgentSide()
	buffer := make([]byte, 64<<10)
	for {
		n, err := c.entry.Read(buffer)
		if n > 0 && !c.forward(buffer[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}

// closeAgentSide closes the connection to the agent, unless it is to stay
// half-open.
func (c *delayProxyConn) closeAgentSide() {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	if !c.isHalfOpen {
		_ = c.agent.Close()
	}
}

// loop forwards what the agent sends.
func (c *delayProxyConn) loop() {
	defer func() { _ = c.entry.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := c.agent.Read(buffer)
		if err != nil {
			return
		}
		// An error is ignored: after resetEntrySide the agent's side stays
		// open.
		_, _ = c.entry.Write(buffer[:n])
	}
}

// forward sends a piece to the agent, or holds it back. It returns false if the
// agent's side is closed.
func (c *delayProxyConn) forward(piece []byte) bool {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	matches := p.pattern != nil && bytes.Contains(piece, p.pattern)
	if matches {
		p.pattern, p.heldConn = nil, c
		close(p.held)
	}
	if c.isHeld || matches && !p.after {
		c.isHeld = true
		p.heldBytes = append(p.heldBytes, piece...)
		return true
	}
	c.isHeld = matches
	_, err := c.agent.Write(piece)
	return err == nil
}
