package crowd

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

// rpcClient is a client of a gRPC server that sends frames of its own.
type rpcClient struct {
	*client
	framer *http2.Framer
	block  bytes.Buffer
	fields *hpack.Encoder

	mu   sync.Mutex
	next uint32
	// extra are additional header fields of each call.
	extra  [][2]string
	window map[uint32]int64
	wake   chan struct{}
	closed bool
}

// initialWindow is the window of streams and connections until the server changes it.
const initialWindow = 65535

// rpc returns a load of frames. The client reads what the server sends unless it is deaf.
func rpc(name string, clients int, deaf bool, settings []http2.Setting, play func(c *rpcClient)) load {
	return load{name, clients, func(c *client) {
		r := &rpcClient{client: c, framer: http2.NewFramer(c.conn, c.conn), next: 1, window: map[uint32]int64{0: initialWindow}, wake: make(chan struct{}, 1)}
		r.fields = hpack.NewEncoder(&r.block)
		if !c.write([]byte(http2.ClientPreface)) || r.framer.WriteSettings(settings...) != nil {
			return
		}
		if !deaf {
			var reader sync.WaitGroup
			reader.Go(r.read)
			defer reader.Wait()
			defer func() { _ = c.conn.Close() }()
		}
		play(r)
	}}
}

// read answers the frames of the server until the connection is closed.
func (r *rpcClient) read() {
	for {
		f, err := r.framer.ReadFrame()
		if err != nil {
			r.mu.Lock()
			r.closed = true
			r.mu.Unlock()
			return
		}
		r.mu.Lock()
		switch f := f.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				_ = r.framer.WriteSettingsAck()
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				_ = r.framer.WritePing(true, f.Data)
			}
		case *http2.WindowUpdateFrame:
			r.window[f.StreamID] += int64(f.Increment)
			select {
			case r.wake <- struct{}{}:
			default:
			}
		}
		r.mu.Unlock()
	}
}

// open begins a call and returns its stream.
func (r *rpcClient) open(method string, fields ...string) (uint32, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.block.Reset()
	for _, f := range append([][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", method}, {":authority", "h"}, {"content-type", "application/grpc"}, {"te", "trailers"}}, r.extra...) {
		_ = r.fields.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	for _, f := range fields {
		_ = r.fields.WriteField(hpack.HeaderField{Name: f, Value: "1", Sensitive: true})
	}
	id := r.next
	r.next += 2
	r.window[id] = initialWindow
	err := r.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: r.block.Bytes(), EndHeaders: true})
	return id, err == nil
}

// send sends data on a stream as far as the windows permit, and returns the number of bytes.
func (r *rpcClient) send(id uint32, data []byte) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := int(min(int64(len(data)), 16<<10, r.window[0], r.window[id]))
	if n <= 0 {
		return 0, true
	}
	r.window[0] -= int64(n)
	r.window[id] -= int64(n)
	return n, r.framer.WriteData(id, false, data[:n]) == nil
}

// message returns a message in the framing of gRPC.
func message(m proto.Message) []byte {
	raw, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(raw))), raw...)
}

// Sizes of the loads on gRPC servers.
const (
	streamsOfClient = 8
	rpcMessage      = 4<<20 - 1<<10
	rpcClients      = 50
	unreadStreams   = 40
)

// calls are loads on the gRPC server of a daemon. The method has one message as its request, and
// stream is a method with a stream of messages. The sizes of messages are within the limits of
// both.
func calls(method, stream string) []load {
	names := make([]string, 300)
	for i := range names {
		names[i] = fmt.Sprintf("x-field-%04d", i)
	}
	messages := func(method string) func(r *rpcClient) {
		return func(r *rpcClient) {
			sent := map[uint32]int{}
			for range streamsOfClient {
				id, ok := r.open(method)
				if !ok {
					return
				}
				sent[id] = 0
			}
			prefix := binary.BigEndian.AppendUint32([]byte{0}, rpcMessage+1)
			for {
				progress := false
				for id, n := range sent {
					data := filling[:rpcMessage-max(0, n-len(prefix))]
					if n < len(prefix) {
						data = prefix[n:]
					}
					k, ok := r.send(id, data)
					if !ok {
						return
					}
					sent[id] += k
					progress = progress || k > 0
				}
				if progress {
					continue
				}
				select {
				case <-r.wake:
				case <-r.crowd.end:
					return
				case <-time.After(100 * time.Millisecond):
					if r.isClosed() {
						return
					}
				}
			}
		}
	}
	return []load{
		rpc("messages short of their end", rpcClients, false, nil, messages(method)),
		rpc("stream messages short of their end", rpcClients, false, nil, messages(stream)),
		rpc("calls with many fields", rpcClients, false, nil, func(r *rpcClient) {
			for range 2000 {
				if _, ok := r.open(stream, names...); !ok {
					return
				}
			}
			r.holdOpen()
		}),
		rpc("header block without end", rpcClients, false, nil, func(r *rpcClient) {
			if r.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: nil}) != nil {
				return
			}
			fragment := bytes.Repeat([]byte{0x10, 1, 'a', 1, 'b'}, 3000)
			for r.framer.WriteContinuation(1, false, fragment) == nil && r.wait(time.Millisecond) {
			}
		}),
		rpc("calls that are reset", rpcClients, false, nil, func(r *rpcClient) {
			for {
				id, ok := r.open(stream)
				if !ok || r.framer.WriteRSTStream(id, http2.ErrCodeCancel) != nil {
					return
				}
			}
		}),
		{"connections without preface", 2 * manyClients, (*client).hold},
		rpc("connections without calls", manyClients, false, nil, (*rpcClient).holdOpen),
		{"bytes of another protocol", fewClients, func(c *client) {
			for c.write(filling[:64<<10]) {
			}
		}},
	}
}

// isClosed reports whether the server has closed the connection.
func (r *rpcClient) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// holdOpen keeps the connection open until the load ends.
func (r *rpcClient) holdOpen() {
	for !r.isClosed() && r.wait(200*time.Millisecond) {
	}
}

// unreadChunks is a load of calls for chunks whose responses the client has no window for.
func unreadChunks(model, name string) load {
	return rpc("chunks that are not read", rpcClients, false, []http2.Setting{{ID: http2.SettingInitialWindowSize, Val: 1}}, func(r *rpcClient) {
		digest, err := digestOf(r.crowd.address, model, name, insecure.NewCredentials())
		if err != nil {
			return
		}
		request := message(&messenger.ChunkRequest{Digest: digest, Index: 1, Vm: "x"})
		for range unreadStreams {
			id, ok := r.open(messenger.Chunks_Get_FullMethodName)
			if !ok {
				return
			}
			if _, ok := r.send(id, request); !ok {
				return
			}
			r.mu.Lock()
			err := r.framer.WriteData(id, true, nil)
			r.mu.Unlock()
			if err != nil || !r.wait(20*time.Millisecond) {
				return
			}
		}
		r.holdOpen()
	})
}

// digestOf returns the digest of a version that an agent holds.
func digestOf(address, model, name string, client credentials.TransportCredentials) (string, error) {
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(client))
	if err != nil {
		return "", err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reply, err := messenger.NewChunksClient(conn).Manifest(ctx, &messenger.ManifestRequest{Model: model, Name: name})
	if err != nil {
		return "", err
	}
	return verifier.Sum(reply.GetManifest()), nil
}

// chunkCheck checks that an agent sends a chunk of a version.
func chunkCheck(address, model, name string, client credentials.TransportCredentials) error {
	digest, err := digestOf(address, model, name, client)
	if err != nil {
		return err
	}
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(client))
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reply, err := messenger.NewChunksClient(conn).Get(ctx, &messenger.ChunkRequest{Digest: digest, Index: 1, Vm: "ordinary"})
	if err == nil && len(reply.GetData()) == 0 {
		return &net.AddrError{Err: "no chunk", Addr: address}
	}
	return err
}
