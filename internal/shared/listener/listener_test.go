package listener

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lentilbridge/lentilbridge/internal/shared/piper"
)

// site is a server on a listener in memory.
type site struct {
	*Listener
	conns  *piper.Listener
	server *http.Server
}

// newSite starts a server whose handler answers "ok", on a path /wait when release is closed, and
// on a path /body after it has read the body.
func newSite(connections int, limits Limits, memory int64, release chan struct{}) *site {
	s := &site{conns: piper.New()}
	s.Listener = &Listener{
		Listener: s.conns, Name: "test", MaxConnections: connections, Limits: func() Limits { return limits },
		Pool: &Pool{Limit: memory}, Reports: &Reports{Log: zap.NewNop()},
	}
	bodies := NewBodies(1 << 20)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/wait":
			<-release
		case "/slow":
			time.Sleep(10 * time.Millisecond)
		case "/body":
			body := &Body{Pool: bodies}
			defer body.Release()
			if _, err := body.ReadRequest(r, r.Body, 1<<20); err != nil {
				w.WriteHeader(http.StatusRequestTimeout)
				return
			}
		default:
			LeaveBody(w, r)
		}
		_, _ = io.WriteString(w, "ok")
	})}
	s.Attach(s.server)
	go s.run()
	return s
}

func (s *site) run() { _ = s.server.Serve(s.Listener) }

func (s *site) dial(c *qt.C) *peer {
	conn, err := s.conns.Dial()
	c.Assert(err, qt.IsNil)
	return &peer{c: c, Conn: conn, in: bufio.NewReader(conn)}
}

// peer is a client.
type peer struct {
	net.Conn
	c  *qt.C
	in *bufio.Reader
}

func (p *peer) send(text string) {
	_, err := io.WriteString(p.Conn, text)
	p.c.Assert(err, qt.IsNil)
}

// status reads a response and returns its status, or 0 if the connection ends.
func (p *peer) status() int {
	resp, err := http.ReadResponse(p.in, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (p *peer) get(path string) int {
	p.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
	return p.status()
}

// isOpen reports whether the server has not closed the connection.
func (p *peer) isOpen() bool {
	_ = p.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer func() { _ = p.SetReadDeadline(time.Time{}) }()
	_, err := p.in.Peek(1)
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded) || strings.Contains(err.Error(), "timeout")
}

// TestFullListener guards against clients that do nothing and lock out others, and against a kept
// connection of an ordinary caller that is closed before those of clients that sent no request.
func TestFullListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		release := make(chan struct{})
		s := newSite(4, Limits{}, 1<<20, release)
		kept, silent, half := s.dial(c), s.dial(c), s.dial(c)
		c.Assert(kept.get("/"), qt.Equals, 200)
		half.send("GET / HTTP/1.1\r\n")
		busy := s.dial(c)
		busy.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		synctest.Wait()

		// The connections without a request give way, the oldest first, and then the kept one.
		peers := []*peer{silent, half, kept}
		for i := range peers {
			next := s.dial(c)
			c.Assert(next.get("/"), qt.Equals, 200, qt.Commentf("%d", i))
			for k, p := range peers {
				c.Check(p.isOpen(), qt.Equals, k > i, qt.Commentf("connection %d after %d", k, i))
			}
		}
		c.Check(busy.isOpen(), qt.IsTrue)

		// All connections have requests in handlers.
		var others []*peer
		for range 3 {
			p := s.dial(c)
			p.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
			synctest.Wait()
			others = append(others, p)
		}
		c.Check(s.dial(c).status(), qt.Equals, 0)
		close(release)
		for _, p := range append(others, busy) {
			c.Check(p.status(), qt.Equals, 200)
		}
		c.Assert(s.server.Close(), qt.IsNil)
	})
}

// TestReconnectingClients guards against an ordinary client whose connection is closed before its
// first request is read, because others connect again and again.
func TestReconnectingClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(8, Limits{}, 1<<20, nil)
		stop := make(chan struct{})
		var clients sync.WaitGroup
		for range 4 {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Millisecond):
						s.dial(c)
					}
				}
			})
		}
		time.Sleep(time.Second)
		for range 10 {
			p := s.dial(c)
			time.Sleep(10 * time.Millisecond)
			c.Check(p.get("/"), qt.Equals, 200)
		}
		close(stop)
		clients.Wait()
		c.Assert(s.server.Close(), qt.IsNil)
		time.Sleep(time.Second)
	})
}

// TestPipeliningClientsGiveWay guards against clients that send many requests at once and lock out
// others, because all connections have requests in handlers at almost any time.
func TestPipeliningClientsGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(2, Limits{}, 1<<20, nil)
		var clients sync.WaitGroup
		for range 2 {
			p := s.dial(c)
			clients.Go(func() { _, _ = io.WriteString(p.Conn, strings.Repeat("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n", 1000)) })
			clients.Go(func() { _, _ = io.Copy(io.Discard, p.in) })
		}
		time.Sleep(time.Second)
		c.Check(s.dial(c).get("/"), qt.Equals, 200)
		c.Assert(s.server.Close(), qt.IsNil)
		clients.Wait()
		time.Sleep(time.Second)
	})
}

// TestStalledBodiesGiveWay guards against clients that stop within the bodies of their requests and
// lock out others until the time limit of requests.
func TestStalledBodiesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(2, Limits{}, 1<<20, nil)
		var stalled []*peer
		for range 2 {
			p := s.dial(c)
			p.send("POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
			stalled = append(stalled, p)
			synctest.Wait()
		}
		c.Check(s.dial(c).status(), qt.Equals, 0, qt.Commentf("before the bodies count as stalled"))
		time.Sleep(stallTime)
		c.Check(s.dial(c).get("/"), qt.Equals, 200)
		c.Check(stalled[0].status(), qt.Equals, http.StatusRequestTimeout)
		stalled[1].send("x")
		c.Check(stalled[1].status(), qt.Equals, 200)
		c.Assert(s.server.Close(), qt.IsNil)
	})
}

// TestSlowBodiesGiveWay guards against clients that send their bodies just fast enough to make
// progress and lock out others until the time limit of requests, and against bodies that are aborted
// although nobody needs their place.
func TestSlowBodiesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(2, Limits{}, 1<<20, nil)
		const parts = 20
		var slow []*peer
		var senders sync.WaitGroup
		for range 2 {
			p := s.dial(c)
			p.send(fmt.Sprintf("POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", parts*bodyStep))
			senders.Go(func() {
				for range parts {
					if _, err := p.Write(make([]byte, bodyStep)); err != nil {
						return
					}
					time.Sleep(stallTime / 2)
				}
			})
			slow = append(slow, p)
			synctest.Wait()
		}
		time.Sleep(DefaultSlowBodyTime + stallTime/4)
		c.Check(s.dial(c).get("/"), qt.Equals, 200)
		c.Check(slow[0].status(), qt.Equals, http.StatusRequestTimeout)
		c.Check(slow[1].status(), qt.Equals, 200)
		_ = slow[0].Close()
		senders.Wait()
		c.Assert(s.server.Close(), qt.IsNil)
	})
}

// TestSlowBodyTime guards against a setting of the time for slow bodies that has no effect.
func TestSlowBodyTime(t *testing.T) {
	for _, limit := range []time.Duration{MinSlowBodyTime, 4 * time.Second} {
		t.Run(limit.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newSite(1, Limits{}, 1<<20, nil)
				s.SlowBodyTime = limit
				p := s.dial(c)
				p.send(fmt.Sprintf("POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 20*bodyStep))
				var sender sync.WaitGroup
				sender.Go(func() {
					for {
						if _, err := p.Write(make([]byte, bodyStep)); err != nil {
							return
						}
						time.Sleep(stallTime / 4)
					}
				})
				// A new connection waits for up to fullTime.
				time.Sleep(limit - 2*fullTime)
				c.Check(s.dial(c).status(), qt.Equals, 0)
				time.Sleep(2 * fullTime)
				c.Check(s.dial(c).get("/"), qt.Equals, 200)
				c.Check(p.status(), qt.Equals, http.StatusRequestTimeout)
				_ = p.Close()
				sender.Wait()
				c.Assert(s.server.Close(), qt.IsNil)
			})
		})
	}
}

// TestHeaderLimits guards against header blocks over their limits, incomplete ones that are kept,
// and limits that do not follow the configuration.
func TestHeaderLimits(t *testing.T) {
	fields := func(n int) string { return strings.Repeat("a: b\r\n", n) }
	limits := Limits{MaxHeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	tests := []struct {
		name   string
		sent   string
		status int
		// ends is when the connection ends if the client sends no more.
		ends time.Duration
	}{
		{"within the limits", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 200, 15 * time.Second},
		{"at the limit, short fields", "GET / HTTP/1.1\r\nHost: h\r\n" + fields(2720) + "\r\n", 200, 15 * time.Second},
		{"at the limit, one field", "GET / HTTP/1.1\r\nHost: h\r\na: " + strings.Repeat("b", 16300) + "\r\n\r\n", 200, 15 * time.Second},
		{"over the limit", "GET / HTTP/1.1\r\nHost: h\r\n" + fields(5000), 431, 0},
		{"without end", "GET / HTTP/1.1\r\nHost: h\r\n", 0, 3 * time.Second},
		{"nothing", "", 0, 15 * time.Second},
		{"one byte", "G", 0, 3 * time.Second},
		{"old protocol", "GET / HTTP/1.0\r\n\r\n", 200, 0},
		// net/http passes it on as a request, which the handlers have no route for.
		{"other protocol", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 200, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newSite(4, limits, 1<<20, nil)
				p := s.dial(c)
				began := time.Now()
				var sender sync.WaitGroup
				sender.Go(func() { _, _ = io.WriteString(p.Conn, tc.sent) })
				if tc.status != 0 {
					c.Check(p.status(), qt.Equals, tc.status)
				}
				_, _ = io.Copy(io.Discard, p.in)
				took := time.Since(began)
				c.Check(took >= tc.ends && took <= tc.ends+lingerTime+time.Second/2, qt.IsTrue, qt.Commentf("%s", took))
				_ = p.Close()
				sender.Wait()
				c.Assert(s.server.Close(), qt.IsNil)
			})
		})
	}
}

// TestReports guards against a log line for each refused client.
func TestReports(t *testing.T) {
	c := qt.New(t)
	core, logs := newObserver()
	r := &Reports{Log: zap.New(core)}
	start := time.Unix(1000, 0)
	for i := range 3000 {
		r.add("test", reasonReplaced, start.Add(time.Duration(i)*time.Millisecond))
	}
	r.add("test", reasonHeaderSize, start)
	var counts []string
	for _, line := range logs.All() {
		counts = append(counts, fmt.Sprint(line.ContextMap()["reason"], line.ContextMap()["count"]))
	}
	c.Check(counts, qt.DeepEquals, []string{"replaced1", "replaced1000", "replaced1000", "header-size1"})
}

func newObserver() (zapcore.Core, *observer.ObservedLogs) { return observer.New(zapcore.WarnLevel) }
