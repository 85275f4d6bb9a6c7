package listener

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

const (
	// messageShare is the part of the process's memory that calls and messages of gRPC may use,
	// and minMessageMemory the least, which is enough for a message of the common limit.
	messageShare     = 0.15
	minMessageMemory = 16 << 20
	// rpcConnectionBytes is about the memory of a connection of gRPC: its buffers and goroutines,
	// and the part of its calls and messages that does not count.
	rpcConnectionBytes = 128 << 10
	freeMessageBytes   = 64 << 10
	// callBytes is about the memory of a call without its messages.
	callBytes = 16 << 10
	// messageStep is the step in which a connection takes memory.
	messageStep = 16 << 10
	// frameBytes is about the memory of a frame of data in addition to its bytes, which gRPC keeps
	// until the message is complete and a handler reads it. freeFrames of each message and of what
	// is unread do not count: a message of 4 MiB in the largest frames has as many.
	frameBytes = 128
	freeFrames = 256
	// messagePrefixBytes is the length of what precedes each message of gRPC.
	messagePrefixBytes = 5
	// maxCompressedBytes bounds a compressed message, which may be a thousand times as large once it
	// is decompressed. The only one that daemons send, a request for a revision, has about 40 bytes.
	maxCompressedBytes = 256
	// expansion is the most that a byte of gzip becomes. What a compressed message may need counts
	// until its call ends.
	expansion = 1032
	// streamWindow and connectionWindow are the flow-control windows. Fixed ones keep gRPC from
	// growing them to megabytes for each stream.
	streamWindow     = 256 << 10
	connectionWindow = 1 << 20
	// rpcHeaderBytes bounds the header list of a call, in which each field counts 32 bytes more
	// than its text. A call has about ten, which need less than 1 KiB, and a frame of 300 bytes.
	// smallHeaderFrame is the size of a frame whose fields callBytes covers; the fields of a
	// larger one need up to fieldsBytes. A connection with one above maxHeaderFrame is closed.
	rpcHeaderBytes   = 4 << 10
	smallHeaderFrame = 512
	fieldsBytes      = 16 << 10
	maxHeaderFrame   = 2 << 10
	// maxResets bounds the calls that a connection resets within a second. A daemon whose callers
	// all leave resets a few hundred at once.
	maxResets = 1000
	// handshakeTimeout bounds the time until a new connection has sent its settings.
	handshakeTimeout = 5 * time.Second
	// maxHandshakeBytes bounds what a client sends before its certificate is verified. Chains of
	// daemons have a few KiB, and crypto/tls accepts 256 KiB, which need many times that once they
	// are parsed.
	maxHandshakeBytes = 32 << 10
	// pingTime is the time without activity after which a server pings a connection, and
	// pingTimeout is how long it waits for the acknowledgement.
	pingTime    = 10 * time.Second
	pingTimeout = 5 * time.Second
)

// RPCConnections returns the limit of a listener for gRPC, see Connections.
func (p Process) RPCConnections(share float64) int {
	n := p.Connections(share)
	if p.MemoryBytes > 0 {
		n = min(n, int(p.share(connectionShare))/rpcConnectionBytes)
	}
	return max(n, minConnections)
}

// MessageMemory returns the memory for calls and messages of gRPC.
func (p Process) MessageMemory() int64 { return max(p.share(messageShare), minMessageMemory) }

// RPCOptions returns the options of a gRPC server that serves on a listener with RPC set. Other
// options may follow and replace them.
func RPCOptions(maxStreams uint32) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.StatsHandler(callCounter{}),
		grpc.ForceServerCodecV2(newBoundedCodec()),
		grpc.ChainUnaryInterceptor(countReply),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.MaxHeaderListSize(rpcHeaderBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.InitialWindowSize(streamWindow),
		grpc.InitialConnWindowSize(connectionWindow),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingTime, Timeout: pingTimeout}),
	}
}

// calls counts the calls and messages of a connection of gRPC. The frames of connections with TLS
// are not inspected: their clients have a certificate.
type calls struct {
	conn      *Conn
	encrypted bool
	// messages is the number of messages from the client, and busySince when the first of the
	// present calls began, in ns since 1970.
	messages, busySince atomic.Int64

	mu      sync.Mutex
	in, out frameScanner
	streams map[uint32]*stream
	// greeted is set once the handshake with TLS is complete, and handshake the number of bytes from
	// the client before.
	greeted   bool
	handshake int
	// handlers is the number of calls whose handlers run.
	handlers int
	// received is the part of the messages from the client that is incomplete or was not read by a
	// handler.
	received int64
	// queued is the part of the messages to the client that was not written.
	queued int64
	// taken is what was taken from the pool.
	taken int64
	// refused is the reason why the connection has to be closed, if any.
	refused string
	// resets is the number of calls that the client has reset since resetsSince, in ns since 1970.
	resets      int
	resetsSince int64
}

// stream is a call that is open on the wire.
type stream struct {
	// prefix holds the first bytes of the prefix of a message, and left what is missing of it.
	prefix      [messagePrefixBytes]byte
	prefixBytes int
	left        int64
	// fields is the memory for its header fields.
	fields int64
	// partial is the size of the incomplete message so far, and unread what the server has not
	// made room for again. partialFrames and unreadFrames are the numbers of their frames.
	partial, unread             int64
	partialFrames, unreadFrames int64
	// expanded is the memory for the largest of its compressed messages.
	expanded int64
	// overCompressed is set once a compressed message above maxCompressedBytes has begun.
	overCompressed bool
}

func newCalls(c *Conn, encrypted bool) *calls {
	out := &calls{conn: c, encrypted: encrypted, streams: map[uint32]*stream{}}
	out.in.skip = prefaceBytes
	return out
}

// read counts bytes from the client, and written bytes to it. They return false if the connection
// has to be closed for its memory.
func (c *calls) read(p []byte, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.encrypted:
		c.in.scan(p, (*callsIn)(c))
	case !c.greeted:
		// The read that completes the handshake may have filled the buffer of gRPC, which has
		// the same size, with the first message.
		if c.handshake > maxHandshakeBytes {
			c.refused = reasonHandshakeSize
		}
		c.handshake += len(p)
	}
	return c.settleLocked(now)
}

func (c *calls) written(p []byte, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.encrypted {
		c.out.scan(p, (*callsOut)(c))
	}
	return c.settleLocked(now)
}

// settleLocked follows the number of calls, and takes the memory that is needed from the pool.
func (c *calls) settleLocked(now time.Time) bool {
	c.limitResetsLocked(now)
	if c.refused != "" {
		c.conn.listener.report(c.refused, now)
		return false
	}
	open := max(len(c.streams), c.handlers)
	c.followLocked(open, now)
	if open == 0 || c.encrypted {
		// What was queued for calls that the client has reset was dropped.
		c.queued = 0
	}
	need := c.received + max(0, c.queued) + callBytes*int64(open) - freeMessageBytes
	need = max(0, (need+messageStep-1)/messageStep*messageStep)
	if need == c.taken {
		return true
	}
	c.taken = need
	return c.conn.listener.hold(c.conn, need, reasonMessageMemory, now)
}

// limitResetsLocked refuses a client that opens and resets calls all the time. Each of them costs a
// handler.
func (c *calls) limitResetsLocked(now time.Time) {
	switch {
	case c.resets > maxResets:
		c.refused = reasonResets
	case now.UnixNano()-c.resetsSince >= int64(time.Second):
		c.resets, c.resetsSince = 0, now.UnixNano()
	}
}

// followLocked changes the phase of the connection with the number of open calls.
func (c *calls) followLocked(open int, now time.Time) {
	to := phaseIdle
	if open > 0 {
		to = phaseBusy
	}
	current := phase(c.conn.phase.Load())
	if current == to || current == phaseNew && open == 0 {
		return
	}
	c.conn.listener.move(c.conn, to)
	if open > 0 {
		c.busySince.Store(now.UnixNano())
	}
}

// areSilent reports whether the client has opened calls and sent no message for them.
func (c *calls) areSilent(now time.Time) bool {
	return !c.encrypted && c.messages.Load() == 0 && now.UnixNano()-c.busySince.Load() >= int64(writeStallTime)
}

// end closes a stream.
func (c *calls) end(id uint32) {
	s := c.streams[id]
	if s == nil {
		return
	}
	c.received -= s.cost()
	delete(c.streams, id)
}

// cost returns what a stream holds of what the client has sent.
func (s *stream) cost() int64 {
	frames := max(0, s.partialFrames-freeFrames) + max(0, s.unreadFrames-freeFrames)
	return s.fields + s.expanded + s.partial + s.unread + frameBytes*frames
}

// beginFrame counts a frame of data.
func (s *stream) beginFrame() {
	s.partialFrames++
	s.unreadFrames++
}

// addCredit records that the server has made room for bytes. The frames of what is unread are about
// as long as the others.
func (s *stream) addCredit(bytes int64) {
	if bytes >= s.unread {
		s.unread, s.unreadFrames = 0, 0
		return
	}
	s.unreadFrames -= int64(float64(s.unreadFrames) * float64(bytes) / float64(s.unread))
	s.unread -= bytes
}

// callsIn handles the frames from the client.
type callsIn calls

func (c *callsIn) begin(f frame) {
	switch f.kind {
	case frameContinuation:
		c.refused = reasonHeaderSize
	case frameHeaders:
		if f.length > maxHeaderFrame {
			c.refused = reasonHeaderSize
		}
		if f.stream != 0 && c.streams[f.stream] == nil {
			s := &stream{}
			if f.length > smallHeaderFrame {
				s.fields = fieldsBytes
			}
			c.received += s.fields
			c.streams[f.stream] = s
		}
	case frameData:
		if s := c.streams[f.stream]; s != nil {
			before := s.cost()
			s.beginFrame()
			c.received += s.cost() - before
		}
	case frameReset:
		c.resets++
		if n := int64(len(c.streams)); n > 0 && c.streams[f.stream] != nil {
			c.queued -= c.queued / n
		}
		(*calls)(c).end(f.stream)
	}
}

func (c *callsIn) data(id uint32, data []byte) {
	s := c.streams[id]
	if s == nil {
		return
	}
	before := s.cost()
	s.unread += int64(len(data))
	c.messages.Add(s.add(data))
	if s.overCompressed {
		c.refused = reasonCompressed
	}
	c.received += s.cost() - before
}

func (c *callsIn) credit(uint32, uint32) {}

// add follows the messages in the data of a stream and returns how many are complete.
func (s *stream) add(data []byte) (complete int64) {
	for len(data) > 0 {
		if s.prefixBytes < messagePrefixBytes {
			n := copy(s.prefix[s.prefixBytes:], data)
			s.prefixBytes += n
			data = data[n:]
			if s.prefixBytes == messagePrefixBytes {
				s.left = int64(binary.BigEndian.Uint32(s.prefix[1:]))
				if s.prefix[0] != 0 {
					s.expanded = max(s.expanded, expansion*s.left)
					s.overCompressed = s.overCompressed || s.left > maxCompressedBytes
				}
			}
		} else {
			n := min(s.left, int64(len(data)))
			s.partial += n
			s.left -= n
			data = data[n:]
		}
		if s.prefixBytes == messagePrefixBytes && s.left == 0 {
			s.prefixBytes, s.partial, s.partialFrames = 0, 0, 0
			complete++
		}
	}
	return complete
}

// callsOut handles the frames to the client.
type callsOut calls

func (c *callsOut) begin(f frame) {
	switch f.kind {
	case frameData:
		c.queued -= int64(f.length)
	case frameReset:
		(*calls)(c).end(f.stream)
	}
	if (f.kind == frameHeaders || f.kind == frameData) && f.flags&flagEndStream != 0 {
		(*calls)(c).end(f.stream)
	}
}

func (c *callsOut) data(uint32, []byte) {}

func (c *callsOut) credit(id uint32, bytes uint32) {
	s := c.streams[id]
	if s == nil {
		return
	}
	before := s.cost()
	s.addCredit(int64(bytes))
	c.received += s.cost() - before
}

// callCounter counts the handlers and the messages that they send. It implements stats.Handler.
type callCounter struct{}

// callsKey is the key of the calls of the connection in the context of each.
type callsKey struct{}

// TagConn implements stats.Handler.
func (callCounter) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	if a, ok := info.RemoteAddr.(*remoteAddr); ok {
		a.calls.greet()
		return context.WithValue(ctx, callsKey{}, a.calls)
	}
	return ctx
}

// greet records that the handshake is complete.
func (c *calls) greet() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.greeted = true
}

// HandleConn implements stats.Handler.
func (callCounter) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (callCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, replyKey{}, &reply{})
}

// reply is the reply of a call with one, once its memory was taken.
type reply struct{ size int64 }

// replyKey is the key of the reply in the context of a call.
type replyKey struct{}

// countReply takes the memory of a reply before it is encoded.
func countReply(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	out, err := handler(ctx, request)
	c, ok := ctx.Value(callsKey{}).(*calls)
	r, isTagged := ctx.Value(replyKey{}).(*reply)
	message, isMessage := out.(proto.Message)
	if err != nil || !ok || !isTagged || !isMessage {
		return out, err
	}
	if !c.reserve(r, int64(proto.Size(message)), time.Now()) {
		_ = c.conn.Conn.Close()
		return nil, status.Error(codes.ResourceExhausted, "the memory for messages is used up")
	}
	return out, nil
}

func (c *calls) reserve(r *reply, size int64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.size = size
	c.queued += size
	return c.settleLocked(now)
}

// HandleRPC implements stats.Handler.
func (callCounter) HandleRPC(ctx context.Context, event stats.RPCStats) {
	c, ok := ctx.Value(callsKey{}).(*calls)
	if !ok {
		return
	}
	r, _ := ctx.Value(replyKey{}).(*reply)
	if r == nil {
		r = &reply{}
	}
	if !c.count(event, r, time.Now()) {
		_ = c.conn.Conn.Close()
	}
}

func (c *calls) count(event stats.RPCStats, r *reply, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch event := event.(type) {
	case *stats.Begin:
		c.handlers++
	case *stats.End:
		c.handlers--
		c.queued -= r.size
	case *stats.OutPayload:
		c.queued += int64(event.WireLength) - r.size
		r.size = 0
	default:
		return true
	}
	return c.settleLocked(now)
}
