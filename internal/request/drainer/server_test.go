package drainer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/grpc/test/bufconn"
)

// connectionBufferBytes is the size of the buffers of a connection in memory.
const connectionBufferBytes = 4096

// slowListener takes some time to return an accepted connection.
type slowListener struct {
	net.Listener
	delay time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	time.Sleep(l.delay)
	return c, err
}

// testServer is a server that answers each request after a time, or with status 502 soon
// after the context of the request has ended.
type testServer struct {
	*Server
	conns *bufconn.Listener
	takes time.Duration
	logs  *observer.ObservedLogs
}

func newTestServer(takes, acceptDelay time.Duration) *testServer {
	s := &testServer{conns: bufconn.Listen(connectionBufferBytes), takes: takes}
	core, logs := observer.New(zapcore.InfoLevel)
	s.logs = logs
	s.Server = &Server{HTTP: &http.Server{Handler: s}, Listener: slowListener{s.conns, acceptDelay}, Log: zap.New(core)}
	go s.Run()
	return s
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(s.takes):
	case <-r.Context().Done():
		time.Sleep(10 * time.Millisecond)
		w.WriteHeader(http.StatusBadGateway)
	}
}

// send sends a request and returns the status of the answer.
func (s *testServer) send(conn net.Conn) (int, error) {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// TestStopLastsLongerThanItsRequests guards against a stop that goes on after the last
// request, waits for connections that send nothing, or reports requests that it has not.
func TestStopLastsLongerThanItsRequests(t *testing.T) {
	const intake, stop = 2 * time.Second, 8 * time.Second
	tests := []struct {
		name string
		// sends holds when a request is sent on a connection of its own, after the signal.
		sends    []time.Duration
		silent   int
		idleKept int
		want     time.Duration
		messages int
	}{
		{"nothing", nil, 0, 0, intake, 0},
		{"idle connections", nil, 0, 3, intake, 0},
		{"requests that end within the intake", []time.Duration{0, 100 * time.Millisecond}, 0, 0, intake, 0},
		{"requests that end after the intake", []time.Duration{0, 1900 * time.Millisecond}, 0, 1, 3400 * time.Millisecond, 0},
		{"connections that send nothing", nil, 2, 0, intake + maxSilence + minAnswerTime, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newTestServer(1500*time.Millisecond, 0)
				dial := func() net.Conn {
					conn, err := s.conns.Dial()
					c.Assert(err, qt.IsNil)
					t.Cleanup(func() { _ = conn.Close() })
					return conn
				}
				for range tc.idleKept {
					status, err := s.send(dial())
					c.Assert(err, qt.IsNil)
					c.Assert(status, qt.Equals, http.StatusOK)
				}
				for range tc.silent {
					dial()
				}
				began := time.Now()
				var answered sync.WaitGroup
				for _, at := range tc.sends {
					conn := dial()
					answered.Go(func() {
						time.Sleep(at)
						status, err := s.send(conn)
						c.Check(err, qt.IsNil)
						c.Check(status, qt.Equals, http.StatusOK)
					})
				}
				c.Check(s.Drain(context.Background(), NewPlan(began, intake, stop)), qt.IsTrue)
				c.Check(time.Since(began), qt.Equals, tc.want)
				answered.Wait()
				c.Check(s.logs.Len(), qt.Equals, tc.messages, qt.Commentf("%v", s.logs.All()))
			})
		})
	}
}

// TestStopDropsConnectionBeingAccepted guards against a request that is dropped because
// its connection was accepted when the listener was closed.
func TestStopDropsConnectionBeingAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestServer(time.Second, 2*time.Millisecond)
		began := time.Now()
		drained := make(chan struct{})
		go func() {
			s.Drain(context.Background(), NewPlan(began, 2*time.Second, 8*time.Second))
			close(drained)
		}()
		time.Sleep(2*time.Second - time.Millisecond)
		conn, err := s.conns.Dial()
		c.Assert(err, qt.IsNil)
		status, err := s.send(conn)
		c.Check(err, qt.IsNil)
		c.Check(status, qt.Equals, http.StatusOK)
		_ = conn.Close()
		<-drained
		c.Check(s.logs.Len(), qt.Equals, 0, qt.Commentf("%v", s.logs.All()))
	})
}

// TestSuspendedStopResetsRequest guards against a request without an answer because all
// times of the plan passed while the process was suspended.
func TestSuspendedStopResetsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestServer(time.Minute, 0)
		conn, err := s.conns.Dial()
		c.Assert(err, qt.IsNil)
		drained := make(chan bool)
		go func() {
			time.Sleep(time.Second)
			drained <- s.Drain(context.Background(), NewPlan(time.Now().Add(-10*time.Second), 2*time.Second, 8*time.Second))
		}()
		status, err := s.send(conn)
		c.Check(err, qt.IsNil)
		c.Check(status, qt.Equals, http.StatusBadGateway)
		_ = conn.Close()
		c.Check(<-drained, qt.IsFalse)
	})
}

// TestStopDropsFirstRequestAtItsEnd guards against a connection that is closed without an
// answer because its first request comes while the last requests end.
func TestStopDropsFirstRequestAtItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestServer(time.Minute, 0)
		busy, err := s.conns.Dial()
		c.Assert(err, qt.IsNil)
		silent, err := s.conns.Dial()
		c.Assert(err, qt.IsNil)
		plan := NewPlan(time.Now(), 2*time.Second, 8*time.Second)
		drained := make(chan bool)
		go func() { drained <- s.Drain(context.Background(), plan) }()
		var answered sync.WaitGroup
		answered.Go(func() {
			status, err := s.send(busy)
			c.Check(err, qt.IsNil)
			c.Check(status, qt.Equals, http.StatusBadGateway)
		})
		time.Sleep(time.Until(plan.RequestsEnd.Add(100 * time.Millisecond)))
		status, err := s.send(silent)
		c.Check(err, qt.IsNil)
		c.Check(status, qt.Equals, http.StatusBadGateway)
		answered.Wait()
		_, _ = busy.Close(), silent.Close()
		c.Check(<-drained, qt.IsFalse)
	})
}
