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
	// minCorruptBytes spares the small frames of attempts and orders, so that
	// only chunks are corrupted.
	minCorruptBytes = 8 << 10
)

// proxy passes TCP connections on to a daemon and changes a byte of every n-th
// large HTTP/2 data frame that the daemon sends.
type proxy struct {
	Target       string
	CorruptEvery int64

	listener  net.Listener
	frames    atomic.Int64
	corrupted atomic.Int64
}

func (p *proxy) start(t *testing.T, address string) {
	listener, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	p.listener = listener
	t.Cleanup(func() { _ = listener.Close() })
	go p.run()
}

func (p *proxy) run() {
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
		pair := &proxiedConn{proxy: p, client: client, server: server}
		go pair.runUp()
		go pair.runDown()
	}
}

type proxiedConn struct {
	proxy          *proxy
	client, server net.Conn
}

func (c *proxiedConn) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

func (c *proxiedConn) runUp() {
	defer c.close()
	_, _ = io.Copy(c.server, c.client)
}

// runDown passes on the frames of the server, which begin without a preface.
func (c *proxiedConn) runDown() {
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

func (p *proxy) corrupt(frame []byte, length int) {
	if frame[3] != frameTypeData || length < minCorruptBytes || p.CorruptEvery == 0 {
		return
	}
	if p.frames.Add(1)%p.CorruptEvery == 0 {
		frame[frameHeaderBytes+length/2] ^= 0xff
		p.corrupted.Add(1)
	}
}
