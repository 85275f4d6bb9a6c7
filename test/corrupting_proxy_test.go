package test

import (
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	frameHeaderBytes = 9
	frameTypeData    = 0
	// minCorruptBytes exempts the small frames of attempts and orders, so that
	// only frames with weight chunks are corrupted.
	minCorruptBytes = 8 << 10
)

// corruptingProxy forwards TCP connections to a daemon and inverts one byte of
// every CorruptEvery-th large HTTP/2 data frame that the daemon sends.
type corruptingProxy struct {
	Target       string
	CorruptEvery int64

	listener  net.Listener
	frames    atomic.Int64
	corrupted atomic.Int64
}

func (p *corruptingProxy) start(t *testing.T, address string) {
	listener, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	p.listener = listener
	t.Cleanup(func() { _ = listener.Close() })
	go p.run()
}

func (p *corruptingProxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.Target)
		if err != nil {
			_ = client.Close()
			continue
		}
		pair := &corruptingProxyConn{proxy: p, client: client, server: server}
		go pair.runUp()
		go pair.runDown()
	}
}

type corruptingProxyConn struct {
	proxy          *corruptingProxy
	client, server net.Conn
}

func (c *corruptingProxyConn) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// runUp forwards what the client sends without changes.
func (c *corruptingProxyConn) runUp() {
	defer c.close()
	_, _ = io.Copy(c.server, c.client)
}

// runDown forwards the frames of the server. Unlike a client, a server sends no
// connection preface before its first frame.
func (c *corruptingProxyConn) runDown() {
	defer c.close()
	frame := make([]byte, frameHeaderBytes)
	for {
		frame = frame[:frameHeaderBytes]
		if _, err := io.ReadFull(c.server, frame); err != nil {
			return
		}
		length := int(binary.BigEndian.Uint32(frame[:4]) >> 8)
		if cap(frame) < frameHeaderBytes+length {
			frame = append(make([]byte, 0, frameHeaderBytes+length), frame...)
		}
		frame = frame[:frameHeaderBytes+length]
		if _, err := io.ReadFull(c.server, frame[frameHeaderBytes:]); err != nil {
			return
		}
		c.proxy.corrupt(frame, length)
		if _, err := c.client.Write(frame); err != nil {
			return
		}
	}
}

// corrupt inverts one byte of the frame's payload if the frame is a large data
// frame and its number is a multiple of CorruptEvery.
func (p *corruptingProxy) corrupt(frame []byte, length int) {
	if frame[3] != frameTypeData || length < minCorruptBytes || p.CorruptEvery == 0 {
		return
	}
	if p.frames.Add(1)%p.CorruptEvery == 0 {
		frame[frameHeaderBytes+length/2] ^= 0xff
		p.corrupted.Add(1)
	}
}
