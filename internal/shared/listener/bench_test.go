package listener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/netutil"
)

// benchmarkServers are a server as it was before this package, and one with its limits.
var benchmarkServers = []struct {
	name  string
	start func(l net.Listener, h http.Handler) *http.Server
}{
	{"before", func(l net.Listener, h http.Handler) *http.Server {
		s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 90 * time.Second, MaxHeaderBytes: 64 << 10}
		go (&benchmarkServer{s, netutil.LimitListener(l, 1<<14)}).run()
		return s
	}},
	{"listener", func(l net.Listener, h http.Handler) *http.Server {
		limited := NewGroup(Process{}, zap.NewNop()).New("bench", 1, nil)
		limited.Listener = l
		s := &http.Server{Handler: h}
		limited.Attach(s)
		go (&benchmarkServer{s, limited}).run()
		return s
	}},
}

type benchmarkServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *benchmarkServer) run() { _ = s.server.Serve(s.listener) }

const benchmarkRequest = "POST /v1/orders HTTP/1.1\r\nHost: fleet.example\r\nX-Attempt-Id: a-4711\r\nX-Key: key-of-mill\r\nX-Deadline-Ms: 5000\r\n" +
	"User-Agent: client/1.0\r\nAccept: */*\r\nContent-Type: application/json\r\nContent-Length: 16\r\n\r\n{\"order\": 471100}"

// BenchmarkRequests measures ordinary requests on kept connections. The rows are of one run.
func BenchmarkRequests(b *testing.B) {
	for _, server := range benchmarkServers {
		b.Run(server.name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := server.start(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "done")
			}))
			defer func() { _ = s.Close() }()
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				conn, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					b.Error(err)
					return
				}
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				request := []byte(benchmarkRequest[:len(benchmarkRequest)-1])
				for pb.Next() {
					if _, err := conn.Write(request); err != nil {
						b.Error(err)
						return
					}
					resp, err := http.ReadResponse(in, nil)
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			})
		})
	}
}

// BenchmarkIdleConnections measures the memory of a kept connection after a request, without that
// of the client.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 2000
	for _, server := range benchmarkServers {
		b.Run(server.name, func(b *testing.B) {
			for range b.N {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				s := server.start(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }))
				before := memoryInUse()
				var clients []net.Conn
				answer := make([]byte, 4<<10)
				for range connections {
					conn, err := net.Dial("tcp", l.Addr().String())
					if err != nil {
						b.Fatal(err)
					}
					clients = append(clients, conn)
					if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
						b.Fatal(err)
					}
					if _, err := conn.Read(answer); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(memoryInUse()-before)/connections, "B/connection")
				var ended sync.WaitGroup
				for _, conn := range clients {
					ended.Go(func() { _ = conn.Close() })
				}
				ended.Wait()
				_ = s.Close()
			}
		})
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkRequestCost measures what the count of the parsed fields adds to each request.
func BenchmarkRequestCost(b *testing.B) {
	r := &http.Request{RequestURI: "/v1/completions", Header: http.Header{}}
	for i := range 12 {
		r.Header.Add(fmt.Sprintf("Header-%d", i), "value of a field")
	}
	for b.Loop() {
		requestCost(r)
	}
}
