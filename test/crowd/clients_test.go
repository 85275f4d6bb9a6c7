package crowd

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/platform"
)

// crowd is a number of clients that play the same load on one address for a while.
type crowd struct {
	address string
	// head returns the head of a request, without the empty line at its end.
	head    func(method, path string) string
	clients int
	lasts   time.Duration
	play    func(c *client)
	// network is that of the address, or empty for tcp.
	network string

	end chan struct{}
}

// reconnectPause is the time after which a client whose connection was closed connects again.
const reconnectPause = 100 * time.Millisecond

// run plays the load to its end.
func (c *crowd) run() {
	c.end = make(chan struct{})
	var clients sync.WaitGroup
	for range c.clients {
		clients.Go((&client{crowd: c}).run)
	}
	time.Sleep(c.lasts)
	close(c.end)
	clients.Wait()
}

// client is one client of a crowd.
type client struct {
	crowd *crowd
	conn  net.Conn
}

func (c *client) run() {
	for !c.ended() {
		conn, err := net.DialTimeout(cmp.Or(c.crowd.network, "tcp"), c.crowd.address, time.Second)
		if err == nil {
			c.conn = conn
			var closer sync.WaitGroup
			closed := make(chan struct{})
			closer.Go(func() {
				select {
				case <-c.crowd.end:
				case <-closed:
				}
				_ = conn.Close()
			})
			c.crowd.play(c)
			close(closed)
			closer.Wait()
		}
		c.wait(reconnectPause)
	}
}

func (c *client) ended() bool {
	select {
	case <-c.crowd.end:
		return true
	default:
		return false
	}
}

// wait waits for a time or until the load ends, and reports whether it goes on.
func (c *client) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.crowd.end:
		return false
	}
}

// write writes data and reports whether the connection is open.
func (c *client) write(data []byte) bool {
	_, err := c.conn.Write(data)
	return err == nil
}

// hold reads nothing until the server closes the connection or the load ends.
func (c *client) hold() {
	one := make([]byte, 1)
	for c.wait(200 * time.Millisecond) {
		// A closed connection reports its end once all that it sent was read, so the client reads
		// a byte now and then.
		_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.conn.Read(one); err != nil && !isTimeout(err) {
			return
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// load is one kind of misbehavior.
type load struct {
	name    string
	clients int
	play    func(c *client)
}

// Sizes of the loads.
const (
	legalBody   = 4 << 20
	hugeBody    = 1 << 30
	manyClients = 600
	fewClients  = 200
)

// filling is what bodies consist of.
var filling = bytes.Repeat([]byte{'x'}, legalBody)

// shortFields returns many short header fields of at most n bytes.
func shortFields(n int) []byte {
	var out []byte
	for i := 0; ; i++ {
		field := fmt.Sprintf("a%x:1\r\n", i)
		if len(out)+len(field) > n {
			return out
		}
		out = append(out, field...)
	}
}

var (
	legalHead     = shortFields(15 << 10)
	largeHead     = shortFields(60 << 10)
	oneLargeField = append([]byte("a: "), filling[:900<<10]...)
)

// head returns the head of a request, without the empty line.
func (c *client) head(method, path string, fields ...string) []byte {
	out := c.crowd.head(method, path)
	for _, f := range fields {
		out += f + "\r\n"
	}
	return []byte(out)
}

// platformHead returns the function for heads of requests to the platform adapter.
func platformHead(host string) func(method, path string) string {
	return func(method, path string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: a-1\r\n%s: %s\r\n%s: 60000\r\n",
			method, path, host, platform.HeaderAttempt, platform.HeaderKey, callerKey, platform.HeaderDeadline)
	}
}

// sendBody sends a head and a body of n bytes in pieces, and reports whether the connection is
// open.
func (c *client) sendBody(head []byte, n, piece int, pause time.Duration) bool {
	if !c.write(append(head, "\r\n"...)) {
		return false
	}
	for sent := 0; sent < n; sent += piece {
		if !c.write(filling[:min(piece, n-sent)]) || pause > 0 && !c.wait(pause) {
			return false
		}
	}
	return true
}

// sendChunks sends a body in chunks without its last one.
func (c *client) sendChunks(head []byte, n, piece int) bool {
	if !c.write(append(head, "Transfer-Encoding: chunked\r\n\r\n"...)) {
		return false
	}
	for sent := 0; sent < n; sent += piece {
		if !c.write(fmt.Appendf(nil, "%x\r\n", piece)) || !c.write(filling[:piece]) || !c.write([]byte("\r\n")) {
			return false
		}
	}
	return true
}

func contentLength(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

// bodies are loads of bodies that the listener may have to read.
func bodies(method, path string) []load {
	return []load{
		{"body short of its end", fewClients, func(c *client) {
			if c.sendBody(c.head(method, path, contentLength(legalBody)), legalBody-1, legalBody, 0) {
				c.hold()
			}
		}},
		{"body in small pieces", manyClients, func(c *client) {
			c.sendBody(c.head(method, path, contentLength(legalBody)), legalBody-1, 64<<10, 10*time.Millisecond)
		}},
		{"chunked body without end", fewClients, func(c *client) {
			if c.sendChunks(c.head(method, path), legalBody-(64<<10), 64<<10) {
				c.hold()
			}
		}},
		{"body far over the limit", fewClients, func(c *client) {
			c.sendBody(c.head(method, path, contentLength(hugeBody)), hugeBody, 1<<20, 0)
		}},
		{"chunked body far over the limit", fewClients, func(c *client) { c.sendChunks(c.head(method, path), hugeBody, 1<<20) }},
		{"body after 100 Continue", fewClients, func(c *client) {
			if c.sendBody(c.head(method, path, contentLength(legalBody), "Expect: 100-continue"), legalBody-1, 64<<10, time.Millisecond) {
				c.hold()
			}
		}},
	}
}

// heads are loads of header blocks.
func heads(method, path string) []load {
	return []load{
		{"many fields, body short of its end", manyClients, func(c *client) {
			if c.write(append(append(c.head(method, path, contentLength(2)), legalHead...), "\r\nx"...)) {
				c.hold()
			}
		}},
		{"many fields without end", manyClients, func(c *client) {
			if c.write(append(c.head(method, path), largeHead...)) {
				c.hold()
			}
		}},
		{"header block far over the limit", manyClients, func(c *client) {
			if c.write(append(c.head(method, path), oneLargeField...)) {
				c.hold()
			}
		}},
		{"slow header block", 2 * manyClients, func(c *client) {
			for _, b := range c.head(method, path) {
				if !c.write([]byte{b}) || !c.wait(300*time.Millisecond) {
					return
				}
			}
		}},
		{"silent connections", 2 * manyClients, (*client).hold},
	}
}

// pipelines are loads of requests whose responses are not read.
func pipelines(method, path string) []load {
	const requests = 4000
	return []load{
		{"pipelined requests", manyClients, func(c *client) {
			one := append(c.head(method, path, contentLength(0)), "\r\n"...)
			if c.write(bytes.Repeat(one, requests)) {
				c.hold()
			}
		}},
	}
}

// readers are loads of large responses that are read slowly.
func readers(path string) []load {
	return []load{
		{"slow reader", manyClients, func(c *client) {
			if !c.write(append(c.head("GET", path), "\r\n"...)) {
				return
			}
			for c.wait(100 * time.Millisecond) {
				if _, err := io.ReadFull(c.conn, make([]byte, 1<<10)); err != nil {
					return
				}
			}
		}},
	}
}
