package adapter

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// endlessCalls is the number of calls that an engine in trouble holds at once.
	endlessCalls = 200
	// agentVM is the memory of the VM of an agent in MB.
	agentVM = 152
	// endlessTime is how long the engine sends.
	endlessTime = 2 * time.Second
)

// endlessEngine sends a beginning and then a piece again and again, but one line to calls
// whose body contains "sound".
type endlessEngine struct {
	begin, piece string
}

func (e *endlessEngine) run(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

func (e *endlessEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err == nil && strings.Contains(string(body), "sound") {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n"+`{"tokens":["a"],"end":true}`+"\n")
		return
	}
	_, err = conn.Write([]byte(e.begin))
	for err == nil {
		_, err = conn.Write([]byte(e.piece))
		time.Sleep(5 * time.Millisecond)
	}
}

// endlessCall is a call whose response does not end.
type endlessCall struct {
	call func(ctx context.Context, id string) (string, error)
	id   string
}

func (c *endlessCall) run(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	_, _ = c.call(ctx, c.id)
}

// generate returns the tokens of a call of an engine.
func generate(engine *HTTPEngine) func(ctx context.Context, id string) (string, error) {
	return func(ctx context.Context, id string) (string, error) {
		stream, err := engine.Generate(ctx, GenerateRequest{ID: id})
		if err != nil {
			return "", err
		}
		defer func() { _ = stream.Close() }()
		for all := ""; ; {
			tokens, err := stream.Next()
			if err != nil || tokens.End {
				return all + strings.Join(tokens.Tokens, ""), err
			}
			all += strings.Join(tokens.Tokens, "")
		}
	}
}

// callService returns the answer of a service.
func callService(service *HTTPService) func(ctx context.Context, id string) (string, error) {
	return func(ctx context.Context, id string) (string, error) {
		answer, err := service.Call(ctx, ServiceCall{Method: http.MethodPost, Path: "/x", Body: []byte(id)})
		return string(answer.Body), err
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestManyCallsWithoutEnd guards against an agent that runs out of memory, or fails sound
// calls, because its engine or service sends bytes without end to many calls at once.
func TestManyCallsWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name         string
		isService    bool
		begin, piece string
	}{
		{"line of tokens", false, head + "\r\n", strings.Repeat("x", 20<<10)},
		{"head", false, head, strings.Repeat("X-Line: 1\r\n", 1000)},
		{"line of a head", false, head + "X-Long: ", strings.Repeat("x", 20<<10)},
		{"body of a service", true, head + "\r\n", strings.Repeat("x", 20<<10)},
		{"head of a service", true, head, strings.Repeat("X-Line: 1\r\n", 1000)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = l.Close() }()
			go (&endlessEngine{begin: tc.begin, piece: tc.piece}).run(l)
			call := generate(NewHTTPEngine(l.Addr().String()))
			if tc.isService {
				call = callService(NewHTTPService(l.Addr().String()))
			}
			ctx, cancel := context.WithTimeout(context.Background(), endlessTime)
			defer cancel()
			before, peak := liveHeap(), uint64(0)
			var pending sync.WaitGroup
			for i := range endlessCalls {
				pending.Add(1)
				go (&endlessCall{call: call, id: fmt.Sprint(i)}).run(ctx, &pending)
			}
			for ctx.Err() == nil {
				peak = max(peak, liveHeap())
				answer, err := call(context.Background(), "sound")
				c.Check(err, qt.IsNil)
				c.Check(strings.Contains(answer, "a"), qt.IsTrue)
				time.Sleep(50 * time.Millisecond)
			}
			pending.Wait()
			growth := peak - min(peak, before)
			c.Check(growth <= agentVM<<20/2, qt.IsTrue, qt.Commentf("the heap grew by %d MB", growth>>20))
			t.Logf("the heap grew by %d MB", growth>>20)
		})
	}
}
