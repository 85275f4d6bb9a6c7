package listener

import (
	"context"
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
	"golang.org/x/sync/semaphore"

	"github.com/lentilbridge/lentilbridge/internal/shared/rationer"
)

// TestHeaderMemory guards against header blocks that exceed the memory for them together, against
// an ordinary request that is rejected because of them, and against memory that is not returned.
func TestHeaderMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const one = 2000 * fieldBytes
		release := make(chan struct{})
		s := newSite(64, Limits{MaxHeaderBytes: 16 << 10}, 4*one, release)
		var incomplete []*peer
		for i := range 8 {
			p := s.dial(c)
			p.send("GET /wait HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 2000-10*i))
			synctest.Wait()
			incomplete = append(incomplete, p)
		}
		closed := 0
		for i, p := range incomplete {
			if p.isOpen() {
				continue
			}
			closed++
			c.Check(i < 4, qt.IsTrue, qt.Commentf("connection %d holds less than others", i))
		}
		c.Check(closed, qt.Equals, 4)
		c.Check(s.dial(c).get("/"), qt.Equals, 200)
		s.Pool.mu.Lock()
		used := s.Pool.used
		s.Pool.mu.Unlock()
		c.Check(used > 0 && used <= s.Pool.Limit, qt.IsTrue, qt.Commentf("%d of %d", used, s.Pool.Limit))
		for _, p := range incomplete[4:] {
			p.send("\r\n")
		}
		close(release)
		for _, p := range incomplete[4:] {
			c.Check(p.status(), qt.Equals, 200)
		}
		synctest.Wait()
		s.Pool.mu.Lock()
		c.Check(s.Pool.used, qt.Equals, int64(0))
		s.Pool.mu.Unlock()
		c.Assert(s.server.Close(), qt.IsNil)
	})
}

// TestFieldsOutsideOfScan guards against parsed fields that do not count: those of a request that
// was read together with the one before, and the names of trailers.
func TestFieldsOutsideOfScan(t *testing.T) {
	var names []string
	for i := range 500 {
		names = append(names, fmt.Sprintf("a%x", i))
	}
	const first = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := []struct {
		name   string
		sent   string
		memory int64
		// status is that of the last response, and responses the number of them.
		responses, status int
	}{
		{"fields sent ahead", first + "GET /wait HTTP/1.1\r\nHost: h\r\n" + strings.Join(names, ":\r\n") + ":\r\n\r\n", 1 << 20, 2, 200},
		{"fields sent ahead, no memory", first + "GET /wait HTTP/1.1\r\nHost: h\r\n" + strings.Join(names, ":\r\n") + ":\r\n\r\n", 50 << 10, 2, 503},
		{"trailers", "POST /wait HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: " + strings.Join(names, ",") + "\r\n\r\n0\r\n\r\n", 1 << 20, 1, 200},
		{"trailers, no memory", "POST /wait HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: " + strings.Join(names, ",") + "\r\n\r\n0\r\n\r\n", 50 << 10, 1, 503},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				release := make(chan struct{})
				s := newSite(4, Limits{MaxHeaderBytes: 16 << 10}, tc.memory, release)
				p := s.dial(c)
				var sender sync.WaitGroup
				sender.Go(func() { _, _ = io.WriteString(p.Conn, tc.sent) })
				for range tc.responses - 1 {
					c.Check(p.status(), qt.Equals, 200)
				}
				synctest.Wait()
				s.Pool.mu.Lock()
				used := s.Pool.used
				s.Pool.mu.Unlock()
				c.Check(used > 400*fieldBytes, qt.Equals, tc.status == 200, qt.Commentf("%d", used))
				close(release)
				c.Check(p.status(), qt.Equals, tc.status)
				synctest.Wait()
				s.Pool.mu.Lock()
				c.Check(s.Pool.used, qt.Equals, int64(0))
				s.Pool.mu.Unlock()
				_ = p.Close()
				sender.Wait()
				c.Assert(s.server.Close(), qt.IsNil)
			})
		})
	}
}

// TestBodyMemory guards against bodies that stall and keep their memory, against ones that are
// aborted although they make progress, and against large bodies that leave no room for small ones.
func TestBodyMemory(t *testing.T) {
	const size = 1 << 20
	tests := []struct {
		name string
		// part is the size of each part of the first body after 8 KiB, and pause the time before it.
		part    int
		pause   time.Duration
		aborted bool
	}{
		{"stalled", 1 << 10, time.Minute, true},
		{"few bytes", 10, 100 * time.Millisecond, true},
		{"in progress", 4 << 10, 40 * time.Millisecond, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				pool := &Bodies{Available: semaphore.NewWeighted(size / 2)}
				first := newBody(pool, 8<<10, tc.part, 64, tc.pause)
				var reader sync.WaitGroup
				var firstErr error
				reader.Go(func() { _, firstErr = first.read(); first.body.Release() })
				time.Sleep(2 * time.Second)
				second := newBody(pool, size/2-8<<10, 0, 0, 0)
				_, err := second.read()
				second.body.Release()
				reader.Wait()
				first.close()
				second.close()
				c.Check(errors.Is(firstErr, os.ErrDeadlineExceeded), qt.Equals, tc.aborted, qt.Commentf("%v", firstErr))
				var noMemory *rationer.MemoryError
				c.Check(errors.As(err, &noMemory), qt.Equals, !tc.aborted, qt.Commentf("%v", err))
			})
		})
	}
	t.Run("small beside large", func(t *testing.T) {
		c := qt.New(t)
		pool := NewBodies(4 * size)
		var held []*Body
		for range 8 {
			b := &Body{Pool: pool}
			_, _ = b.ReadAll(strings.NewReader(strings.Repeat("x", size)), 4*size)
			held = append(held, b)
		}
		small := &Body{Pool: pool}
		data, err := small.ReadAll(strings.NewReader(strings.Repeat("x", 64<<10)), 4*size)
		c.Check(err, qt.IsNil)
		c.Check(data, qt.HasLen, 64<<10)
		small.Release()
		for _, b := range held {
			b.Release()
		}
		c.Check(pool.Available.TryAcquire(4*size), qt.IsTrue)
		c.Check(pool.Large.TryAcquire(3*size), qt.IsTrue)
	})
}

// testBody is the body of a request on a connection in memory, which a client sends in parts.
type testBody struct {
	body   Body
	conn   *Conn
	client net.Conn
	first  int
	part   int
	parts  int
	pause  time.Duration
	writer sync.WaitGroup
}

func newBody(pool *Bodies, first, part, parts int, pause time.Duration) *testBody {
	server, client := net.Pipe()
	conn := &Conn{Conn: server, listener: &Listener{Name: "test", Pool: &Pool{}, Reports: &Reports{Log: zap.NewNop()}}, heapIndex: -1}
	conn.phase.Store(int32(phaseBusy))
	return &testBody{body: Body{Pool: pool}, conn: conn, client: client, first: first, part: part, parts: parts, pause: pause}
}

func (b *testBody) send() {
	if _, err := b.client.Write(make([]byte, b.first)); err != nil {
		return
	}
	for range b.parts {
		time.Sleep(b.pause)
		if _, err := b.client.Write(make([]byte, b.part)); err != nil {
			return
		}
	}
}

func (b *testBody) read() ([]byte, error) {
	b.writer.Go(b.send)
	r, err := http.NewRequestWithContext(context.WithValue(context.Background(), http.LocalAddrContextKey, b.conn.LocalAddr()), http.MethodPost, "/", nil)
	if err != nil {
		return nil, err
	}
	return b.body.ReadRequest(r, io.LimitReader(b.conn, int64(b.first+b.part*b.parts)), 1<<20)
}

func (b *testBody) close() {
	_, _ = b.conn.Close(), b.client.Close()
	b.writer.Wait()
}
