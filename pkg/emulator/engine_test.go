package emulator_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
)

func startEngine(t *testing.T, e *emulator.Engine) (*adapter.HTTPEngine, *httptest.Server) {
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return adapter.NewHTTPEngine(strings.TrimPrefix(server.URL, "http://")), server
}

func load(c *qt.C, engine adapter.Engine, epoch uint64, version string) {
	weights := []byte("weights of " + version)
	err := engine.Apply(context.Background(), epoch, adapter.LoadVersion{
		Model: "drafter", Version: version, Weights: bytes.NewReader(weights), Bytes: int64(len(weights)),
	})
	c.Assert(err, qt.IsNil)
}

// readAll returns the tokens up to the end or the error.
func readAll(stream adapter.TokenStream) ([]string, adapter.GeneratedTokens, error) {
	defer func() { _ = stream.Close() }()
	var tokens []string
	for {
		piece, err := stream.Next()
		if err != nil || piece.End {
			return tokens, piece, err
		}
		tokens = append(tokens, piece.Tokens...)
	}
}

// Guards against answers in which tests cannot detect lost tokens or tokens of
// another version.
func TestAnswerIsDeterministicAndResumes(t *testing.T) {
	c := qt.New(t)
	engine, _ := startEngine(t, &emulator.Engine{Slots: 2})
	_, err := engine.Generate(context.Background(), adapter.GenerateRequest{ID: "r0", Prompt: "p"})
	var engineErr *adapter.EngineError
	c.Assert(errors.As(err, &engineErr), qt.IsTrue)
	c.Assert(engineErr.Started, qt.IsFalse)

	load(c, engine, 1, "v1")
	for _, offset := range []int{0, 3} {
		stream, err := engine.Generate(context.Background(), adapter.GenerateRequest{ID: "r1", Prompt: "p", MaxTokens: 8, ResumeOffset: offset, Seed: 7})
		c.Assert(err, qt.IsNil)
		tokens, end, err := readAll(stream)
		c.Assert(err, qt.IsNil)
		c.Assert(tokens, qt.DeepEquals, emulator.Answer("v1", "p", 8, 7)[offset:])
		c.Assert(end.TokenCount, qt.Equals, 8)
		c.Assert(end.Version, qt.Equals, "v1")
		c.Assert(end.FinishReason, qt.Equals, "length")
	}
	c.Assert(emulator.Answer("v2", "p", 8, 7), qt.Not(qt.DeepEquals), emulator.Answer("v1", "p", 8, 7))
}

// resendingWriter sends a request again as soon as the last line of its stream is written.
type resendingWriter struct {
	*httptest.ResponseRecorder
	engine *emulator.Engine
	body   string
	resent *httptest.ResponseRecorder
}

func (w *resendingWriter) Write(p []byte) (int, error) {
	if w.resent == nil && strings.Contains(string(p), `"end":true`) {
		w.resent = httptest.NewRecorder()
		w.engine.ServeHTTP(w.resent, httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/generate", strings.NewReader(w.body)))
	}
	return w.ResponseRecorder.Write(p)
}

// Guards against an engine that refuses a request whose stream the caller has read to its end.
func TestEndedRequestCountsAsRunning(t *testing.T) {
	c := qt.New(t)
	engine := &emulator.Engine{Slots: 1}
	client, _ := startEngine(t, engine)
	load(c, client, 1, "v1")
	w := &resendingWriter{ResponseRecorder: httptest.NewRecorder(), engine: engine, body: `{"id": "r1", "prompt": "p", "max-tokens": 2}`}
	engine.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/generate", strings.NewReader(w.body)))
	c.Assert(w.Code, qt.Equals, http.StatusOK)
	c.Assert(w.resent, qt.IsNotNil)
	c.Assert(w.resent.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", w.resent.Body))
}

// Guards against an engine that loads weights whose digest or size does not match.
func TestWrongWeightsAreRefused(t *testing.T) {
	c := qt.New(t)
	engine, server := startEngine(t, &emulator.Engine{})
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, server.URL+"/version?epoch=1&version=v1&content-digest=00", strings.NewReader("weights"))
	c.Assert(err, qt.IsNil)
	resp, err := server.Client().Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusUnprocessableEntity)
	short := adapter.LoadVersion{Version: "v1", Weights: strings.NewReader("weights"), Bytes: 8}
	c.Assert(engine.Apply(context.Background(), 1, short), qt.IsNotNil)
	state, err := engine.State(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(state.Version, qt.Equals, "")
}

// Guards against an answer that continues after its version was replaced.
func TestSwitchEndsRunningAnswers(t *testing.T) {
	c := qt.New(t)
	engine, _ := startEngine(t, &emulator.Engine{TokenTime: time.Millisecond})
	load(c, engine, 1, "v1")
	stream, err := engine.Generate(context.Background(), adapter.GenerateRequest{ID: "r1", Prompt: "p", MaxTokens: 1 << 20})
	c.Assert(err, qt.IsNil)
	_, err = stream.Next()
	c.Assert(err, qt.IsNil)
	load(c, engine, 1, "v2")
	_, _, err = readAll(stream)
	var engineErr *adapter.EngineError
	c.Assert(errors.As(err, &engineErr), qt.IsTrue)
	c.Assert(engineErr.Crashed, qt.IsFalse)
}

// Guards against an engine that accepts a stale fencing epoch, and against one with
// IgnoreEpoch that refuses orders or reports an epoch.
func TestEpochs(t *testing.T) {
	tests := []struct {
		name    string
		ignore  bool
		refused bool
		epoch   uint64
	}{
		{"checks", false, true, 5},
		{"ignores", true, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			engine, _ := startEngine(t, &emulator.Engine{IgnoreEpoch: test.ignore})
			load(c, engine, 5, "v1")
			err := engine.Apply(context.Background(), 4, adapter.SetRole{Role: "decode"})
			var stale *adapter.StaleEpochError
			c.Assert(errors.As(err, &stale), qt.Equals, test.refused)
			state, err := engine.State(context.Background())
			c.Assert(err, qt.IsNil)
			c.Assert(state.Epoch, qt.Equals, test.epoch)
		})
	}
}

// Guards against a crash that is reported as a refused connection, and the
// reverse. The caller may retry only a request that was not started.
func TestCrashAndRefusedConnection(t *testing.T) {
	c := qt.New(t)
	emulated := &emulator.Engine{CrashOn: "poison"}
	engine, server := startEngine(t, emulated)
	emulated.Crash = func() { panic(http.ErrAbortHandler) }
	load(c, engine, 1, "v1")
	stream, err := engine.Generate(context.Background(), adapter.GenerateRequest{ID: "r1", Prompt: "some poison", MaxTokens: 2})
	c.Assert(err, qt.IsNil)
	_, _, err = readAll(stream)
	var engineErr *adapter.EngineError
	c.Assert(errors.As(err, &engineErr), qt.IsTrue)
	c.Assert(engineErr.Started && engineErr.Crashed, qt.IsTrue)

	server.Close()
	_, err = engine.Generate(context.Background(), adapter.GenerateRequest{ID: "r2", Prompt: "p"})
	c.Assert(errors.As(err, &engineErr), qt.IsTrue)
	c.Assert(engineErr.Started || engineErr.Crashed, qt.IsFalse)
}

// Guards against cache events without delay and gaps, which would hide faults of
// their readers.
func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	c := qt.New(t)
	engine, _ := startEngine(t, &emulator.Engine{CacheBlocks: 2, EventGap: 2})
	load(c, engine, 1, "v1")
	prompt := strings.Repeat("0123456789abcdef", 12)
	for _, id := range []string{"r1", "r2"} {
		stream, err := engine.Generate(context.Background(), adapter.GenerateRequest{ID: id, Prompt: prompt, MaxTokens: 1})
		c.Assert(err, qt.IsNil)
		_, _, err = readAll(stream)
		c.Assert(err, qt.IsNil)
	}
	events, err := engine.PrefixEvents(context.Background(), 0)
	c.Assert(err, qt.IsNil)
	c.Assert(len(events) > 0, qt.IsTrue)
	for _, e := range events {
		c.Assert(e.Sequence%2, qt.Equals, uint64(1))
	}
	late, _ := startEngine(t, &emulator.Engine{CacheBlocks: 2, EventDelay: time.Hour})
	load(c, late, 1, "v1")
	stream, err := late.Generate(context.Background(), adapter.GenerateRequest{ID: "r1", Prompt: prompt, MaxTokens: 1})
	c.Assert(err, qt.IsNil)
	_, _, err = readAll(stream)
	c.Assert(err, qt.IsNil)
	events, err = late.PrefixEvents(context.Background(), 0)
	c.Assert(err, qt.IsNil)
	c.Assert(events, qt.HasLen, 0)
}

// Guards against an error that reports a call as not started although the service
// recorded it.
func TestServiceRecordsAndCrash(t *testing.T) {
	c := qt.New(t)
	emulated := &emulator.Service{CrashOn: "poison", Crash: func() { panic(http.ErrAbortHandler) }}
	server := httptest.NewServer(emulated)
	defer server.Close()
	service := adapter.NewHTTPService(strings.TrimPrefix(server.URL, "http://"))
	post := func(body string) (adapter.ServiceAnswer, error) {
		return service.Call(context.Background(), adapter.ServiceCall{
			Method: http.MethodPost, Path: "/records", Body: []byte(body),
			Header: http.Header{"Idempotency-Key": {"k1"}},
		})
	}
	for range 2 {
		answer, err := post("order 1")
		c.Assert(err, qt.IsNil)
		c.Assert(answer.Status, qt.Equals, http.StatusCreated)
	}
	_, err := post("poison")
	var serviceErr *adapter.ServiceError
	c.Assert(errors.As(err, &serviceErr), qt.IsTrue)
	c.Assert(serviceErr.Started, qt.IsTrue)
	answer, err := service.Call(context.Background(), adapter.ServiceCall{Method: http.MethodGet, Path: "/records/count"})
	c.Assert(err, qt.IsNil)
	c.Assert(strings.TrimSpace(string(answer.Body)), qt.Equals, `{"records":2,"distinct":1,"duplicates":1}`)
	c.Assert(service.Healthy(context.Background()), qt.IsNil)
	server.Close()
	_, err = post("order 2")
	c.Assert(errors.As(err, &serviceErr), qt.IsTrue)
	c.Assert(serviceErr.Started, qt.IsFalse)
}

// Guards against io.EOF before the final piece, which a reader would take for the
// end of a complete answer.
func TestNextAfterEnd(t *testing.T) {
	c := qt.New(t)
	engine, _ := startEngine(t, &emulator.Engine{AnswerTokens: 1})
	load(c, engine, 1, "v1")
	stream, err := engine.Generate(context.Background(), adapter.GenerateRequest{ID: "r1", Prompt: "p"})
	c.Assert(err, qt.IsNil)
	tokens, end, err := readAll(stream)
	c.Assert(err, qt.IsNil)
	c.Assert(tokens, qt.HasLen, 1)
	c.Assert(end.FinishReason, qt.Equals, "stop")
	_, err = stream.Next()
	c.Assert(err, qt.Equals, io.EOF)
}
