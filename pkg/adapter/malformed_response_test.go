package adapter

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// responseCalls are the calls of this package, with the body of a response to each.
var responseCalls = []struct {
	name string
	// status is that of a sound response.
	status int
	body   string
	// call returns the error, and whether the callee may have started the work.
	call func(address string) (err error, started bool)
}{
	{"generate", 200, `{"tokens":["a"]}` + "\n" + `{"offset":1,"end":true,"token-count":1}` + "\n", func(address string) (error, bool) {
		stream, err := NewHTTPEngine(address).Generate(context.Background(), GenerateRequest{ID: "a"})
		for err == nil {
			_, err = stream.Next()
		}
		if errors.Is(err, io.EOF) {
			return nil, true
		}
		return err, isStarted(err)
	}},
	{"order", 200, "{}", func(address string) (error, bool) {
		order := LoadVersion{Model: "m", Version: "v", Weights: strings.NewReader("w"), Bytes: 1}
		err := NewHTTPEngine(address).Apply(context.Background(), 1, order)
		return err, isStarted(err)
	}},
	{"state", 200, "{}", func(address string) (error, bool) {
		_, err := NewHTTPEngine(address).State(context.Background())
		return err, true
	}},
	{"service", 200, "answer", func(address string) (error, bool) {
		_, err := NewHTTPService(address).Call(context.Background(), ServiceCall{Method: http.MethodPost, Path: "/", Body: []byte("b")})
		var failed *ServiceError
		return err, err == nil || errors.As(err, &failed) && failed.Started
	}},
	{"write of an object", 200, "{}", func(address string) (error, bool) {
		_, err := (&HTTPObjectAPI{BaseURL: address}).Update(context.Background(), "k", []byte("v"), 1)
		var failed *UnavailableError
		return err, err == nil || errors.As(err, &failed) && !failed.Refused
	}},
	{"weights", 206, "a", func(address string) (error, bool) {
		_, err := (&HTTPWeightSource{BaseURL: "http://" + address}).ReadRange(context.Background(), "m/v", 0, 1)
		return err, true
	}},
}

func isStarted(err error) bool {
	var failed *EngineError
	return err == nil || errors.As(err, &failed) && failed.Started
}

// TestMalformedResponseCounts guards against a response with a malformed head that counts as that
// of the callee, or as a proof that a call was not started.
func TestMalformedResponseCounts(t *testing.T) {
	tests := []struct {
		name, head string
		complete   bool
	}{
		{"sound", "HTTP/1.1 STATUS OK\r\nLENGTH\r\n\r\n", true},
		{"status 000", "HTTP/1.1 000 OK\r\nLENGTH\r\n\r\n", false},
		{"status 700", "HTTP/1.1 700 OK\r\nLENGTH\r\n\r\n", false},
		{"blank in a name", "HTTP/1.1 STATUS OK\r\nLENGTH\r\nX Spoilt: 1\r\n\r\n", false},
		{"blank before a name", "HTTP/1.1 STATUS OK\r\nLENGTH\r\n X-Spoilt: 1\r\n\r\n", false},
		{"line feed before a name", "HTTP/1.1 STATUS OK\r\nLENGTH\r\n\nX-Spoilt: 1\r\n\r\n", false},
		{"no name", "HTTP/1.1 STATUS OK\r\nLENGTH\r\n: 1\r\n\r\n", false},
		{"control character in a name", "HTTP/1.1 STATUS OK\r\nLENGTH\r\nX\x01: 1\r\n\r\n", false},
	}
	for _, tc := range tests {
		for _, call := range responseCalls {
			t.Run(tc.name+", "+call.name, func(t *testing.T) {
				c := qt.New(t)
				head := strings.NewReplacer("STATUS", fmt.Sprint(call.status), "LENGTH", fmt.Sprintf("Content-Length: %d", len(call.body))).Replace(tc.head)
				err, started := call.call(newRawServer(t, true, head+call.body).listener.Addr().String())
				c.Assert(err == nil, qt.Equals, tc.complete, qt.Commentf("%v", err))
				c.Assert(started, qt.IsTrue, qt.Commentf("%v", err))
			})
		}
	}
}

// earlyServer responds to an upload before it has read it, without a length, and closes the
// connection.
type earlyServer struct {
	listener net.Listener
	body     string
}

func (s *earlyServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReaderSize(conn, 512)
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+s.body)
			// The response arrives while the connection is still open.
			time.Sleep(20 * time.Millisecond)
		}
		_ = conn.Close()
	}
}

// blankWeights are weights of a given size.
type blankWeights struct {
	left int
}

// Read implements io.Reader.
func (w *blankWeights) Read(p []byte) (int, error) {
	if w.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), w.left)
	w.left -= n
	return n, nil
}

// TestOrderCutDuringUpload guards against an order to the engine that counts as executed because the
// engine responded before it reset the connection during the upload of the weights.
func TestOrderCutDuringUpload(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go (&earlyServer{listener: l, body: "{}"}).run()
	const size = 64 << 20
	order := LoadVersion{Model: "m", Version: "v", Weights: &blankWeights{left: size}, Bytes: size}
	err = NewHTTPEngine(l.Addr().String()).Apply(context.Background(), 1, order)
	qt.Assert(t, err, qt.Not(qt.IsNil))
	qt.Assert(t, isStarted(err), qt.IsTrue)
}
