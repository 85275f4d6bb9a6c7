package listener

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection is doing.
type phase int32

const (
	// phaseNew is the phase of a connection without a complete request so far.
	phaseNew phase = iota
	// phaseIdle is the phase between two requests, up to the end of the next header block.
	phaseIdle
	// phaseBusy is the phase from the end of a header block to the end of the response.
	phaseBusy
	phaseClosed
)

// A body has to grow by bodyStep, and by a share of one in bodyStepShare of what was received,
// within stallTime to count as progress. For 4 MiB that is 128 KiB; a caller that is slower needs
// longer for its body than the time limits of requests.
const (
	bodyStep      = 1 << 10
	bodyStepShare = 32
)

// Conn is a connection whose header blocks and bodies are counted.
type Conn struct {
	net.Conn
	listener *Listener

	// phase changes with the mutex of the listener, which guards the links of the list of the
	// phase, too. list is nil once the connection ends.
	phase          atomic.Int32
	list           *order
	previous, next *Conn
	// accepted is when the connection was accepted, in ns since 1970.
	accepted int64
	// ending is set while the last response is written. The mutex of the listener guards it.
	ending bool

	// The goroutine that reads uses these fields. waiting is set once the time limit of the
	// phase is, and counted once the header block has taken memory. sentAhead is set if the client
	// may have sent the request before it had the response to the one before, or another one behind
	// it.
	waiting   bool
	begun     bool
	counted   bool
	sentAhead bool
	block     blockScanner

	// The pool guards these fields. held is -1 once the connection has been closed for its memory.
	held      int64
	heapOrder int64
	heapIndex int32

	// calls is set if the listener serves gRPC.
	calls *calls
	body  body
	// leaving is set once the connection only waits for a body that nobody needs.
	leaving atomic.Bool
	// writingSince is when the write began that is in progress, in ns since 1970, or 0.
	writingSince atomic.Int64
	// inBackground is set from when net/http reads in the background, to notice that the client
	// disconnects, until the response begins.
	inBackground atomic.Bool
}

// body is the body that the handler of a connection reads.
type body struct {
	// reading is set while the handler reads it.
	reading atomic.Bool

	mu       sync.Mutex
	aborted  bool
	received int64
	// marked is the value of received at progressAt, in ns since 1970. began is when the handler
	// began to read.
	marked, progressAt, began int64
}

// refusedError is the error of reads after the connection was refused.
type refusedError struct{ Reason string }

func (e *refusedError) Error() string { return "connection refused: " + e.Reason }

// readError returns an error that net/http does not respond to.
func (c *Conn) readError(reason string) error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: &refusedError{Reason: reason}}
}

// Read implements net.Conn. What was read is passed on once the process has memory for it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if n > 0 {
		c.listener.Pressure.wait(maxPressureWait)
	}
	return n, err
}

func (c *Conn) read(p []byte) (int, error) {
	if c.calls != nil {
		return c.readFrames(p)
	}
	if phase(c.phase.Load()) == phaseBusy {
		n, err := c.readAhead(p)
		if n > 0 && c.body.reading.Load() {
			c.body.add(n, time.Now())
		}
		return n, err
	}
	if !c.waiting {
		c.wait(time.Now())
	}
	n, err := c.Conn.Read(p)
	if n == len(p) {
		// More may have arrived than there is room for.
		c.sentAhead = true
	}
	if n > 0 {
		if refusal := c.scan(p[:n], time.Now()); refusal != nil {
			return 0, refusal
		}
	}
	return n, err
}

// readFrames reads a part of the frames of a connection of gRPC.
func (c *Conn) readFrames(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.calls.read(p[:n], time.Now()) {
		_ = c.Close()
		return 0, c.readError(reasonMessageMemory)
	}
	return n, err
}

// RemoteAddr implements net.Conn. For gRPC, the address leads to the connection.
func (c *Conn) RemoteAddr() net.Addr {
	if c.calls != nil {
		return (*remoteAddr)(c)
	}
	return c.Conn.RemoteAddr()
}

// LocalAddr implements net.Conn. net/http passes it to handlers, for which it leads to the
// connection.
func (c *Conn) LocalAddr() net.Addr { return (*localAddr)(c) }

// localAddr is the local address of a connection, and remoteAddr that of its client.
type (
	localAddr  Conn
	remoteAddr Conn
)

// Network implements net.Addr.
func (a *localAddr) Network() string { return a.Conn.LocalAddr().Network() }

// String implements net.Addr.
func (a *localAddr) String() string { return a.Conn.LocalAddr().String() }

// Network implements net.Addr.
func (a *remoteAddr) Network() string { return a.Conn.RemoteAddr().Network() }

// String implements net.Addr.
func (a *remoteAddr) String() string { return a.Conn.RemoteAddr().String() }

// wait starts the time limit of a connection that waits for a request.
func (c *Conn) wait(now time.Time) {
	c.waiting, c.begun, c.sentAhead, c.block = true, false, false, blockScanner{}
	c.setReadDeadline(now.Add(c.listener.limits().IdleTimeout))
}

// scan counts bytes of a header block. It returns an error if the connection is refused.
func (c *Conn) scan(data []byte, now time.Time) error {
	c.block.scan(data)
	limits := c.listener.limits()
	if int(c.block.bytes) > limits.MaxHeaderBytes+headerSlack {
		return c.refuse(reasonHeaderSize, "431 Request Header Fields Too Large", now)
	}
	if cost := headerCost(int(c.block.bytes), c.block.fields()); cost > 0 {
		c.counted = true
		if !c.listener.hold(c, cost, reasonHeaderMemory, now) {
			return c.refuse(reasonHeaderMemory, "503 Service Unavailable", now)
		}
	}
	if !c.begun && !c.block.ended {
		c.setReadDeadline(now.Add(limits.HeaderTimeout))
	}
	c.begun = true
	return nil
}

// setReadDeadline sets the time limit of the connection itself.
func (c *Conn) setReadDeadline(t time.Time) {
	if err := c.Conn.SetReadDeadline(t); err != nil && !errors.Is(err, net.ErrClosed) {
		c.listener.report(reasonDeadline, time.Now())
	}
}

const (
	// headerSlack is what a header block may exceed its limit by, for the request line.
	headerSlack = 4 << 10
	// lingerTime and lingerBytes bound what is read from a refused client, so that the end of the
	// connection does not destroy the response.
	lingerTime  = 100 * time.Millisecond
	lingerBytes = 256 << 10
)

// refuse responds with a status and ends the connection. No response is in progress, because
// the header block of the request is incomplete or was not passed on.
func (c *Conn) refuse(reason, status string, now time.Time) error {
	c.listener.report(reason, now)
	c.listener.Pool.release(c)
	if c.listener.end(c) && c.Conn.SetDeadline(now.Add(lingerTime)) == nil {
		if _, err := c.Conn.Write([]byte("HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: 1\r\n\r\n")); err == nil {
			c.linger()
		}
	}
	_ = c.Close()
	return c.readError(reason)
}

func (c *Conn) linger() {
	if c.CloseWrite() != nil {
		return
	}
	buffer := make([]byte, 4<<10)
	for read := 0; read < lingerBytes; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		read += n
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.inBackground.Load() {
		c.inBackground.Store(false)
	}
	now := time.Now()
	c.writingSince.Store(now.UnixNano())
	n, err := c.Conn.Write(p)
	c.writingSince.Store(0)
	if c.calls != nil && n > 0 && !c.calls.written(p[:n], now) {
		_ = c.Close()
	}
	return n, err
}

// SetReadDeadline implements net.Conn. While the connection waits for a request, the limits of
// the listener apply instead.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.calls == nil && (phase(c.phase.Load()) != phaseBusy || c.body.isAborted()) {
		return nil
	}
	c.setInBackground(t)
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite closes the sending side of a TCP connection. net/http does so after the last response
// and waits, so that a client that goes on sending reads it.
func (c *Conn) CloseWrite() error {
	c.leaving.Store(true)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.forget(c)
	return c.Conn.Close()
}

// add counts received bytes. A body makes progress with each part of a fixed share of what was
// received, so that a few bytes now and then are none.
func (b *body) add(n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received += int64(n)
	if b.received-b.marked >= max(bodyStep, b.received/bodyStepShare) {
		b.marked, b.progressAt = b.received, now.UnixNano()
	}
}

// stalled returns for how long the handler has waited without progress, and 0 if it does not wait
// for a body.
func (b *body) stalled(now time.Time) time.Duration {
	if !b.reading.Load() {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.aborted {
		return 0
	}
	return time.Duration(now.UnixNano() - b.progressAt)
}

// arriving returns for how long the handler has read the body, and 0 if it reads none.
func (b *body) arriving(now time.Time) time.Duration {
	if !b.reading.Load() {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.aborted {
		return 0
	}
	return time.Duration(now.UnixNano() - b.began)
}

// begin records that the handler reads the body of the request.
func (b *body) begin(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received, b.marked, b.progressAt, b.aborted = 0, 0, now.UnixNano(), false
	b.began = b.progressAt
	b.reading.Store(true)
}

// end records that the handler has read the body, and reports whether it was aborted.
func (b *body) end() (aborted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading.Store(false)
	return b.aborted
}

// abortBody makes the handler's read of the body fail with os.ErrDeadlineExceeded. It returns
// false if the handler reads none.
func (c *Conn) abortBody(now time.Time) bool {
	c.body.mu.Lock()
	defer c.body.mu.Unlock()
	if c.body.aborted || !c.body.reading.Load() {
		return false
	}
	c.body.aborted = true
	return c.Conn.SetReadDeadline(now) == nil
}

// isAborted reports whether the read of the body was aborted.
func (b *body) isAborted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.aborted
}
