package crowd

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/net/http2"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// The smallest entry VM and the smallest engine VM of the deployments. Loads whose cost is that of
// each connection show only with as many connections as these have.
var (
	smallestEntry  = bounds{MemoryMB: 184, Descriptors: 4100}
	smallestEngine = bounds{MemoryMB: 152, Descriptors: 2048}
)

// Sizes of the loads that need many connections.
const (
	mostClients = 1300
	// bufferBytes is the size of the buffer in which net/http reads requests. What it holds of the
	// next request was not read by itself.
	bufferBytes = 4 << 10
)

// commaList returns a list of n bytes of short names.
func commaList(n int) string {
	var out strings.Builder
	for i := 0; out.Len() < n; i++ {
		_, _ = fmt.Fprintf(&out, "a%x,", i)
	}
	return strings.TrimSuffix(out.String(), ",")
}

// forms are requests within the limits of size that need much more memory than they have bytes.
func forms(method, path string) []load {
	return []load{
		{"many fields sent ahead, body short of its end", mostClients, func(c *client) {
			first := append(c.head("GET", "/nowhere"), "\r\n"...)
			second := c.head(method, path, contentLength(2))
			fields := shortFields(bufferBytes - len(first) - len(second) - 8)
			if c.write(bytes.Join([][]byte{first, second, fields, []byte("\r\nx")}, nil)) {
				c.hold()
			}
		}},
		{"many names of trailers", mostClients, func(c *client) {
			head := c.head(method, path, "Transfer-Encoding: chunked", "Trailer: "+commaList(3<<10))
			if c.write(append(head, "\r\n2\r\nx"...)) {
				c.hold()
			}
		}},
		{"many connection options", mostClients, func(c *client) {
			head := c.head(method, path, contentLength(2), "Connection: "+commaList(3<<10))
			if c.write(append(head, "\r\nx"...)) {
				c.hold()
			}
		}},
		{"connections that are reset", manyClients, func(c *client) {
			_ = c.write(c.head(method, path, contentLength(100)))
		}},
	}
}

// complete are requests that are complete and wait for the response of a slow replica.
func complete(path string) []load {
	return []load{
		{"many fields, complete", manyClients, func(c *client) {
			if c.write(append(append(c.head("POST", path, contentLength(2)), legalHead...), "\r\nxx"...)) {
				c.hold()
			}
		}},
		{"body, complete", fewClients, func(c *client) {
			if c.sendBody(c.head("POST", path, contentLength(legalBody)), legalBody, legalBody, 0) {
				c.hold()
			}
		}},
		{"many parts of a prompt, complete", mostClients, func(c *client) {
			if c.write(append(c.head("POST", path, contentLength(2), "X-Model: lentil", "X-Prompt-Parts: "+commaList(3<<10)), "\r\nxx"...)) {
				c.hold()
			}
		}},
	}
}

// lists are bodies of JSON whose lists have very many short elements.
func lists() []load {
	out := []load{}
	for _, l := range []struct{ name, path, before, element, after string }{
		{"messages", "/v1/chat/completions", `{"model":"draft","messages":[`, "{}", "]}"},
		{"parts of a message", "/v1/chat/completions", `{"model":"draft","messages":[{"role":"user","content":[`, "{}", "]}]}"},
		{"prompts", "/v1/completions", `{"model":"draft","prompt":[`, `""`, "]}"},
		{"stops", "/v1/completions", `{"model":"draft","prompt":"x","stop":[`, `""`, "]}"},
		{"tools", "/v1/chat/completions", `{"model":"draft","messages":[{"role":"user","content":"x"}],"tools":[`, "1", "]}"},
	} {
		n := (legalBody - len(l.before) - len(l.after)) / (len(l.element) + 1)
		body := l.before + strings.Repeat(l.element+",", n-1) + l.element + l.after
		out = append(out, load{"list of many " + l.name, 8, func(c *client) {
			if c.write(append(c.head("POST", l.path, contentLength(len(body))), "\r\n"+body...)) {
				c.hold()
			}
		}})
	}
	return out
}

// texts are complete bodies of JSON with one long text.
func texts() []load {
	out := []load{}
	for _, l := range []struct{ name, path, before, after string }{
		{"prompt", "/v1/completions", `{"model":"draft","max_tokens":2,"prompt":"`, `"}`},
		{"message", "/v1/chat/completions", `{"model":"draft","max_tokens":2,"messages":[{"role":"user","content":"`, `"}]}`},
	} {
		body := l.before + string(filling[:legalBody-len(l.before)-len(l.after)]) + l.after
		out = append(out, load{"long " + l.name + ", complete", fewClients, func(c *client) {
			if c.write(append(c.head("POST", l.path, contentLength(len(body))), "\r\n"+body...)) {
				c.hold()
			}
		}})
	}
	return out
}

// smallFrames are loads on a gRPC server of frames that are as short as possible. stream is a
// method with a stream of messages.
func smallFrames(method, stream string) []load {
	messages := func(method string) func(r *rpcClient) {
		return func(r *rpcClient) {
			prefix := binary.BigEndian.AppendUint32([]byte{0}, rpcMessage)
			id, ok := r.open(method)
			if !ok {
				return
			}
			for _, b := range prefix {
				if _, ok := r.send(id, []byte{b}); !ok {
					return
				}
			}
			r.sendFrames(id, rpcMessage-1, []byte{'x'})
		}
	}
	return []load{
		rpc("message in frames of one byte", rpcClients, false, nil, messages(method)),
		rpc("stream message in frames of one byte", rpcClients, false, nil, messages(stream)),
		rpc("messages that no handler reads", rpcClients, false, nil, func(r *rpcClient) {
			if id, ok := r.open(method); ok {
				r.sendFrames(id, 1<<20, make([]byte, 5))
			}
		}),
		rpc("pings and settings", rpcClients, true, nil, func(r *rpcClient) {
			for r.framer.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 1}) == nil && r.framer.WritePing(false, [8]byte{}) == nil {
			}
		}),
	}
}

// completeMessages is a load of messages that are complete and whose handlers keep them. The last
// call stays open.
func completeMessages(name, method string, request func(call int) proto.Message) load {
	return rpc(name, rpcClients, false, nil, func(r *rpcClient) {
		for call := range 8 {
			id, ok := r.open(method)
			if !ok {
				return
			}
			for data := message(request(call)); len(data) > 0; {
				n, ok := r.send(id, data)
				if !ok {
					return
				}
				data = data[n:]
				if n == 0 && (r.isClosed() || !r.wait(time.Millisecond)) {
					return
				}
			}
		}
		r.holdOpen()
	})
}

// largeText is a text that is as large as a message may be.
var largeText = string(filling[:rpcMessage-1024])

// entryMessages are complete messages to an entry daemon.
func entryMessages() []load {
	return []load{
		completeMessages("claims with large keys", messenger.Entry_Claim_FullMethodName, func(int) proto.Message {
			return &messenger.ClaimRequest{Key: rand.Text() + largeText}
		}),
		completeMessages("sessions with large reports", messenger.Entry_Session_FullMethodName, func(int) proto.Message {
			return &messenger.AgentReport{Replica: &messenger.Replica{Vm: rand.Text(), Incarnation: "x", Address: largeText}}
		}),
	}
}

// agentMessages are complete messages to an agent.
func agentMessages() []load {
	return []load{
		completeMessages("reservations with large names", messenger.Agent_Reserve_FullMethodName, func(int) proto.Message {
			return &messenger.ReserveRequest{Id: &messenger.AttemptId{RequestId: rand.Text()}, Service: largeText}
		}),
		completeMessages("attempts with large bodies", messenger.Agent_Attempt_FullMethodName, func(int) proto.Message {
			return &messenger.AttemptFrame{Frame: &messenger.AttemptFrame_Start{Start: &messenger.AttemptStart{Id: &messenger.AttemptId{RequestId: rand.Text()}, Incarnation: largeText}}}
		}),
	}
}

// framesAtOnce is the number of frames of one byte that the client writes at once.
const framesAtOnce = 1000

// sendFrames sends n frames with the same data as far as the windows permit.
func (r *rpcClient) sendFrames(id uint32, n int, data []byte) {
	one := binary.BigEndian.AppendUint32([]byte{0, 0, byte(len(data)), byte(http2.FrameData), 0}, id)
	one = append(one, data...)
	for n > 0 {
		r.mu.Lock()
		k := min(n, framesAtOnce, int(min(r.window[0], r.window[id]))/len(data))
		r.window[0] -= int64(k * len(data))
		r.window[id] -= int64(k * len(data))
		ok := !r.closed
		if ok && k > 0 {
			ok = r.write(bytes.Repeat(one, k))
		}
		r.mu.Unlock()
		n -= k
		if !ok || k <= 0 && !r.wait(10*time.Millisecond) {
			return
		}
	}
	r.holdOpen()
}

// windowUpdates is a load of a client that reads no responses and sends window updates.
func windowUpdates(model, name string) load {
	settings := []http2.Setting{{ID: http2.SettingInitialWindowSize, Val: 1 << 24}}
	// Few clients with one call each stay below the memory for messages.
	const clients = 8
	return rpc("window updates while nothing is read", clients, true, settings, func(r *rpcClient) {
		digest, err := digestOf(r.crowd.address, model, name, insecure.NewCredentials())
		if err != nil {
			return
		}
		// A small buffer makes the server wait for the client within a response.
		if tcp, ok := r.conn.(*net.TCPConn); !ok || tcp.SetReadBuffer(bufferBytes) != nil {
			return
		}
		request := message(&messenger.ChunkRequest{Digest: digest, Index: 1, Vm: "x"})
		if r.framer.WriteWindowUpdate(0, 1<<24) != nil {
			return
		}
		id, ok := r.open(messenger.Chunks_Get_FullMethodName)
		if !ok {
			return
		}
		if _, ok := r.send(id, request); !ok || r.framer.WriteData(id, true, nil) != nil {
			return
		}
		updates := bytes.Repeat([]byte{0, 0, 4, byte(http2.FrameWindowUpdate), 0, 0, 0, 0, 1, 0, 0, 0, 1}, framesAtOnce)
		for r.write(updates) {
		}
	})
}

// TestForms plays requests within the limits of size that need much more memory than they have
// bytes.
func TestForms(t *testing.T) {
	t.Run("platform entry", func(t *testing.T) {
		start := func(t *testing.T) *daemon { return startPlatformEntry(t, smallestEntry) }
		play(t, start, platformHead(callerHost), append(rows("callers", forms("POST", "/plain/x"), complete("/plain/held")), rows("directory", forms("GET", "/-/resolve"))...))
	})
	t.Run("entry", func(t *testing.T) {
		start := func(t *testing.T) *daemon {
			entry, _ := startProduct(t, smallestEntry, smallestEngine)
			return entry
		}
		play(t, start, productHead, append(rows("callers", forms("POST", "/v1/completions"), lists(), texts()),
			rows("rpc", entryMessages(), smallFrames(messenger.Entry_Claim_FullMethodName, messenger.Entry_Session_FullMethodName))...))
	})
	t.Run("agent", func(t *testing.T) {
		start := func(t *testing.T) *daemon {
			_, agent := startProduct(t, smallestEntry, smallestEngine)
			return agent
		}
		play(t, start, productHead, rows("rpc", agentMessages(), smallFrames(messenger.Agent_Reserve_FullMethodName, messenger.Agent_Attempt_FullMethodName), []load{windowUpdates("draft", "v1")}))
	})
	t.Run("platform agent", func(t *testing.T) {
		start := func(t *testing.T) *daemon { return startPlatformAgent(t, smallestEngine) }
		play(t, start, platformHead("h"), rows("chunks", smallFrames(messenger.Chunks_Get_FullMethodName, messenger.Chunks_Have_FullMethodName), []load{windowUpdates(streamModel, "1")}))
	})
}

// mix are loads that are played at once on the listeners of a daemon.
type mix struct {
	name  string
	start func(t *testing.T) *daemon
	head  func(method, path string) string
	rows  []row
}

// mixes returns the mixes of all daemons.
func mixes() []mix {
	const update = "/updates/servers?since=0&wait-ms=0"
	platformEntry := func(t *testing.T) *daemon { return startPlatformEntry(t, smallestEntry) }
	out := []mix{}
	for i, f := range forms("", "")[:3] {
		var all []row
		// The listener of callers has more places than the others together.
		for _, r := range []struct{ listener, method, path string }{
			{"callers", "POST", "/plain/x"},
			{"callers", "POST", "/plain/x"},
			{"directory", "GET", "/-/resolve"},
			{"control", "GET", update},
			{"readiness", "GET", "/-/readyz"},
			{"metrics", "GET", "/debug/vars"},
		} {
			all = append(all, row{r.listener, forms(r.method, r.path)[i].of(mostClients / 2)})
		}
		out = append(out, mix{"platform entry, " + f.name, platformEntry, platformHead(callerHost), all})
	}
	return append(out,
		mix{"platform entry, all bodies and heads", platformEntry, platformHead(callerHost), slices.Concat(
			rows("callers", bodies("POST", "/plain/x"), heads("POST", "/plain/x"), readers("/large/x"), forms("POST", "/plain/x"), complete("/plain/held")),
			rows("directory", forms("GET", "/-/resolve")), rows("control", readers(update)),
		)},
		mix{"entry, all", func(t *testing.T) *daemon {
			entry, _ := startProduct(t, smallestEntry, smallestEngine)
			return entry
		}, productHead, slices.Concat(
			rows("callers", bodies("POST", "/v1/completions"), heads("POST", "/v1/completions"), forms("POST", "/v1/completions"), lists()),
			rows("rpc", calls(messenger.Entry_Claim_FullMethodName, messenger.Entry_Session_FullMethodName), smallFrames(messenger.Entry_Claim_FullMethodName, messenger.Entry_Session_FullMethodName)),
			rows("debug", readers("/debug/vars"), forms("GET", "/readyz")),
		)},
		mix{"agent, all", func(t *testing.T) *daemon {
			_, agent := startProduct(t, smallestEntry, smallestEngine)
			return agent
		}, productHead, slices.Concat(
			rows("rpc", calls(messenger.Agent_Reserve_FullMethodName, messenger.Agent_Attempt_FullMethodName), smallFrames(messenger.Agent_Reserve_FullMethodName, messenger.Agent_Attempt_FullMethodName)),
			rows("rpc", []load{unreadChunks("draft", "v1"), windowUpdates("draft", "v1")}),
			rows("debug", readers("/debug/vars"), forms("GET", "/readyz")),
		)},
		mix{"platform agent, all", func(t *testing.T) *daemon { return startPlatformAgent(t, smallestEngine) }, platformHead("h"), slices.Concat(
			rows("chunks", calls(messenger.Chunks_Get_FullMethodName, messenger.Chunks_Have_FullMethodName), smallFrames(messenger.Chunks_Get_FullMethodName, messenger.Chunks_Have_FullMethodName)),
			rows("chunks", []load{unreadChunks(streamModel, "1"), windowUpdates(streamModel, "1")}),
			rows("metrics", readers("/debug/vars"), forms("GET", "/debug/vars")),
		)},
	)
}

// of returns the load with another number of clients.
func (l load) of(clients int) load {
	l.clients = clients
	return l
}

// mostOfMix is the highest number of clients of a load in a mix of many.
const mostOfMix = 150

// TestMixes plays loads on all listeners of a daemon at once. It guards against costs of each
// connection, and of each load, that a daemon can bear one at a time only.
func TestMixes(t *testing.T) {
	for _, m := range mixes() {
		t.Run(m.name, func(t *testing.T) {
			c := qt.New(t)
			d := m.start(t)
			sampler := &descriptorSampler{process: d.process, stop: make(chan struct{}), ended: make(chan struct{})}
			go sampler.run()
			var ended sync.WaitGroup
			for _, r := range m.rows {
				clients := r.load.clients
				if len(m.rows) > 6 {
					clients = min(clients, mostOfMix)
				}
				ended.Go((&crowd{address: d.addresses[r.listener], head: m.head, clients: clients, lasts: 2 * loadTime, play: r.load.play}).run)
			}
			ended.Wait()
			close(sampler.stop)
			<-sampler.ended
			c.Assert(d.process.Running(), qt.IsTrue, qt.Commentf("the process has exited"))
			memory := peakMemoryMB(t, d.process)
			t.Logf("peak memory %d MB, %d descriptors", memory, sampler.most)
			c.Check(memory <= d.bounds.MemoryMB, qt.IsTrue, qt.Commentf("%d MB, bound %d MB", memory, d.bounds.MemoryMB))
			c.Check(sampler.most <= d.bounds.Descriptors-reservedDescriptors, qt.IsTrue, qt.Commentf("%d descriptors of %d", sampler.most, d.bounds.Descriptors))
			for name, check := range d.check {
				c.Check(check(), qt.IsNil, qt.Commentf("%s", name))
			}
		})
	}
}

// TestRequestsSentAhead guards against requests that the server has read together with the one
// before, and that it does not answer for this reason.
func TestRequestsSentAhead(t *testing.T) {
	entry, _ := startProduct(t, entryBounds(), agentBounds())
	platform := startPlatformEntry(t, entryBounds())
	for _, d := range []struct{ name, address, first, second, body string }{
		{"platform", platform.addresses["callers"], platformHead(callerHost)("GET", "/nowhere"), platformHead(callerHost)("POST", "/plain/x"), strings.Repeat("x\n", legalBody/2)},
		{"product", entry.addresses["callers"], productHead("GET", "/v1/models"), productHead("POST", "/v1/completions"), `{"model":"draft","prompt":"ordinary","max_tokens":2}` + strings.Repeat(" ", 1<<20)},
	} {
		t.Run(d.name, func(t *testing.T) {
			c := qt.New(t)
			conn, err := net.Dial("tcp", d.address)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			c.Assert(conn.SetDeadline(time.Now().Add(waitTimeout)), qt.IsNil)
			small := d.first + "\r\n"
			large := d.second + contentLength(len(d.body)) + "\r\n\r\n" + d.body
			go func() { _, _ = io.WriteString(conn, small+small+large+small+large+small) }()
			answers := bufio.NewReader(conn)
			for i, isLarge := range []bool{false, false, true, false, true, false} {
				resp, err := http.ReadResponse(answers, nil)
				c.Assert(err, qt.IsNil, qt.Commentf("response %d", i))
				_, err = io.Copy(io.Discard, resp.Body)
				c.Assert(err, qt.IsNil)
				c.Assert(resp.Body.Close(), qt.IsNil)
				if isLarge {
					c.Check(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("response %d", i))
				}
			}
		})
	}
}
