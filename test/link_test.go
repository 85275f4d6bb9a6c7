package test

import (
	"bytes"
	"net"
	"sync"

	qt "github.com/frankban/quicktest"
)

// link is a TCP proxy in front of an agent that can delay and half-open the
// connections from entry daemons.
type link struct {
	target   string
	listener net.Listener

	mu sync.Mutex
	// pattern and after are the rule of hold.
	pattern []byte
	after   bool
	// caught is the connection that is held; holding closes when it is.
	caught  *linkConn
	holding chan struct{}
	// kept is what it has sent meanwhile.
	kept []byte
}

// linkConn is one connection of an entry daemon to the agent.
type linkConn struct {
	link         *link
	entry, agent net.Conn
	isHeld       bool
	// isHalfOpen keeps the agent's side open after the entry daemon's broke.
	isHalfOpen bool
}

// linkArgs starts the link of an agent, or none.
func (s *system) linkArgs(name, ip string) []string {
	if !s.Links {
		return nil
	}
	l := s.links[name]
	if l == nil {
		listener, err := net.Listen("tcp", ip+":9191")
		s.c.Assert(err, qt.IsNil)
		l = &link{target: ip + ":9090", listener: listener}
		s.links[name] = l
		s.t.Cleanup(func() { _ = listener.Close() })
		go l.run()
	}
	return []string{"--advertise-address", ip + ":9191"}
}

// hold keeps back what an entry daemon sends on the first connection that
// carries the text: from that piece on, or from the piece after it.
func (l *link) hold(text string, after bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pattern, l.after, l.caught, l.kept = []byte(text), after, nil, nil
	l.holding = make(chan struct{})
}

// cut breaks the held connection at the entry daemon's side only; what it had
// sent is still under way to the agent, which does not learn of the break.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.caught.isHalfOpen = true
	_ = l.caught.entry.(*net.TCPConn).SetLinger(0)
	_ = l.caught.entry.Close()
}

// deliver lets the held connection go on.
func (l *link) deliver() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.caught.agent.Write(l.kept)
	l.caught.isHeld = false
}

// keeps reports whether a text is among what is held back.
func (l *link) keeps(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Contains(l.kept, []byte(text))
}

func (l *link) run() {
	for {
		entry, err := l.listener.Accept()
		if err != nil {
			return
		}
		agent, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = entry.Close()
			continue
		}
		c := &linkConn{link: l, entry: entry, agent: agent}
		go c.run()
		go c.loop()
	}
}

// run carries what the entry daemon sends.
func (c *linkConn) run() {
	defer c.end()
	buffer := make([]byte, 64<<10)
	for {
		n, err := c.entry.Read(buffer)
		if n > 0 && !c.pass(buffer[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (c *linkConn) end() {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if !c.isHalfOpen {
		_ = c.agent.Close()
	}
}

// loop carries what the agent sends.
func (c *linkConn) loop() {
	defer func() { _ = c.entry.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := c.agent.Read(buffer)
		if err != nil {
			return
		}
		// A connection that was cut at the entry daemon's side goes on here.
		_, _ = c.entry.Write(buffer[:n])
	}
}

func (c *linkConn) pass(piece []byte) bool {
	l := c.link
	l.mu.Lock()
	defer l.mu.Unlock()
	matches := l.pattern != nil && bytes.Contains(piece, l.pattern)
	if matches {
		l.pattern, l.caught = nil, c
		close(l.holding)
	}
	if c.isHeld || matches && !l.after {
		c.isHeld = true
		l.kept = append(l.kept, piece...)
		return true
	}
	c.isHeld = matches
	_, err := c.agent.Write(piece)
	return err == nil
}
