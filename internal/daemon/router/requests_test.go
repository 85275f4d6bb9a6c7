package router

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"github.com/lentilbridge/lentilbridge/internal/request/forwarder"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// fakeAgent is an agent over gRPC. For prompts with "cut" it ends the stream
// before the end event. For prompts with "hang" it waits for resume, sends one
// more token and then waits for the cancel.
type fakeAgent struct {
	messenger.UnimplementedAgentServer
	resume    chan struct{}
	cancelled chan struct{}
}

func (a fakeAgent) Attempt(stream grpc.BidiStreamingServer[messenger.AttemptFrame, messenger.AttemptEvent]) error {
	frame, err := stream.Recv()
	if err != nil {
		return err
	}
	start := frame.GetStart()
	events := []*messenger.AttemptEvent{
		{Event: &messenger.AttemptEvent_Accepted{Accepted: &messenger.AttemptAccepted{Version: "d1", VersionName: "mould-7"}}},
	}
	if call := start.GetService(); call != nil {
		events = append(events, &messenger.AttemptEvent{Event: &messenger.AttemptEvent_Answer{Answer: &messenger.ServiceAnswer{
			Status: 201, Body: []byte(call.GetMethod() + " " + call.GetPath()),
			Headers: []*messenger.Header{{Name: "X-Order", Values: []string{"1"}}},
		}}})
	} else {
		events = append(events, &messenger.AttemptEvent{Event: &messenger.AttemptEvent_Tokens{Tokens: &messenger.AttemptTokens{Tokens: []string{"Hello", " there"}}}})
		if strings.Contains(start.GetModel().GetPrompt(), "hi") {
			events = append(events, &messenger.AttemptEvent{Event: &messenger.AttemptEvent_End{End: &messenger.AttemptEnd{
				TokenCount: 2, Version: "d1", FinishReason: "stop", PromptTokens: 3,
			}}})
		}
	}
	for _, e := range events {
		e.Id = start.GetId()
		if err := stream.Send(e); err != nil {
			return err
		}
	}
	if strings.Contains(start.GetModel().GetPrompt(), "hang") {
		return a.waitForCancel(stream, start.GetId())
	}
	return nil
}

func (a fakeAgent) waitForCancel(stream grpc.BidiStreamingServer[messenger.AttemptFrame, messenger.AttemptEvent], id *messenger.AttemptId) error {
	<-a.resume
	err := stream.Send(&messenger.AttemptEvent{Id: id, Event: &messenger.AttemptEvent_Tokens{
		Tokens: &messenger.AttemptTokens{Offset: 2, Tokens: []string{" again"}},
	}})
	<-stream.Context().Done()
	close(a.cancelled)
	return err
}

func (fakeAgent) Reserve(context.Context, *messenger.ReserveRequest) (*messenger.ReserveReply, error) {
	return &messenger.ReserveReply{Reservation: "r"}, nil
}

func startAgent(t *testing.T, a fakeAgent) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := grpc.NewServer()
	messenger.RegisterAgentServer(s, a)
	go s.Serve(l) //nolint:errcheck // Serve ends with an error at Stop.
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

func startEntry(t *testing.T, a fakeAgent) (string, *forwarder.Connections) {
	t.Helper()
	digest := sha256.Sum256([]byte("key-1"))
	set := parser.NewSet()
	set.Add(&parser.Team{Name: "moulds", KeyDigests: []string{hex.EncodeToString(digest[:])}})
	set.Add(&parser.Model{Name: "mould"})
	set.Add(&parser.Route{Name: "assistant", Model: "mould"})
	set.Add(&parser.Service{Name: "ledger", IdempotentMethods: []string{"GET"}, RequireKey: false})
	address := startAgent(t, a)
	p := &picker.Picker{VM: "entry-1", Region: "north", FailureDomain: "n1"}
	connections := &forwarder.Connections{}
	t.Cleanup(connections.Close)
	r := &Requests{
		Region: "north",
		Config: func() *parser.Revision { return &parser.Revision{Number: 1, Set: set} },
		Entries: func(time.Time) []*messenger.EntryVM {
			return []*messenger.EntryVM{
				{Vm: "e1", PublicAddress: "192.0.2.1:80", Region: "east"},
				{Vm: "e2", PublicAddress: "192.0.2.2:80", Region: "north", FailureDomain: "n1"},
				{Vm: "e3", PublicAddress: "192.0.2.3:80", Region: "north", Leaving: true},
			}
		},
		Picker: p, Dial: connections.Dial,
	}
	handler := r.Handler()
	// The token timeout must not end the attempt before the disconnect does.
	r.forwarder.TokenTimeout = time.Hour
	p.Update([]picker.Candidate{
		{Replica: &messenger.Replica{Vm: "vm1", Address: address, Model: "mould", Version: "d1", State: messenger.ReplicaState_REPLICA_STATE_READY}},
		{Replica: &messenger.Replica{Vm: "vm2", Address: address, Service: "ledger", State: messenger.ReplicaState_REPLICA_STATE_READY}},
	}, time.Now())
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return s.URL, connections
}

type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
}

func call(t *testing.T, method, url, body string) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer key-1")
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return reply{resp.StatusCode, resp.Header, resp.Trailer, string(text)}
}

// TestAnswers guards against responses that a standard client cannot parse. Each
// text of want must occur in the body.
func TestAnswers(t *testing.T) {
	url, _ := startEntry(t, fakeAgent{})
	chat := func(more string) string {
		return `{"model":"assistant","messages":[{"role":"user","content":"` + more + `}`
	}
	tests := []struct {
		name    string
		method  string
		path    string
		body    string
		status  int
		outcome string
		want    []string
	}{
		{
			name: "chat", method: "POST", path: "/v1/chat/completions", body: chat(`hi"}]`), status: 200, outcome: "served",
			want: []string{`"id":"chatcmpl-`, `"object":"chat.completion"`, `"message":{"role":"assistant","content":"Hello there","refusal":null}`, `"finish_reason":"stop"`, `"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}`},
		},
		{
			name: "completion", method: "POST", path: "/v1/completions", body: `{"model":"assistant","prompt":"hi"}`, status: 200, outcome: "served",
			want: []string{`"id":"cmpl-`, `"object":"text_completion"`, `"text":"Hello there"`},
		},
		{
			name: "not completed", method: "POST", path: "/v1/chat/completions", body: chat(`cut"}]`), status: 502, outcome: "unknown",
			want: []string{`"code":"stream-broken"`, `not known whether the request was run`},
		},
		{name: "models", method: "GET", path: "/v1/models", status: 200, want: []string{`{"object":"list","data":[{"id":"assistant","object":"model","created":0,"owned_by":"lentilbridge"}]}`}},
		{name: "model", method: "GET", path: "/v1/models/assistant", status: 200, want: []string{`"id":"assistant"`}},
		{name: "no such model", method: "GET", path: "/v1/models/other", status: 404, outcome: "not-run", want: []string{`"code":"model_not_found"`}},
		{name: "entries", method: "GET", path: "/v1/entries", status: 200, want: []string{`{"entries":[{"vm":"e2","address":"192.0.2.2:80","region":"north","failure-domain":"n1"},{"vm":"e1","address":"192.0.2.1:80","region":"east","failure-domain":""}],"valid-for-seconds":30}`}},
		{name: "idempotent call", method: "GET", path: "/services/ledger/orders/a%2Fb?x=1", status: 201, outcome: "served", want: []string{"GET /orders/a%2Fb?x=1"}},
		{name: "non-idempotent call", method: "POST", path: "/services/ledger/orders", body: "order", status: 201, outcome: "served", want: []string{"POST /orders"}},
		{name: "no such path", method: "GET", path: "/v2", status: 404, outcome: "not-run", want: []string{`"error":{"message":`}},
		{name: "wrong method", method: "GET", path: "/v1/completions", status: 405, outcome: "not-run", want: []string{"the request was not run"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			resp := call(t, tt.method, url+tt.path, tt.body)
			c.Check(resp.status, qt.Equals, tt.status)
			c.Check(resp.header.Get("lentil-outcome"), qt.Equals, tt.outcome)
			for _, want := range tt.want {
				c.Check(resp.body, qt.Contains, want)
			}
			if tt.name == "entries" {
				c.Check(resp.header.Get("Cache-Control"), qt.Equals, "max-age=30")
			}
		})
	}
}

// TestStreams guards against streams from which a client cannot determine the
// outcome: only a complete stream ends with [DONE].
func TestStreams(t *testing.T) {
	url, _ := startEntry(t, fakeAgent{})
	tests := []struct {
		name    string
		prompt  string
		outcome string
		last    string
		events  int
	}{
		// Role, tokens, finish reason, usage and [DONE].
		{name: "complete", prompt: "hi", outcome: "served", last: "[DONE]", events: 5},
		{name: "interrupted", prompt: "cut", outcome: "unknown", last: "error", events: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			resp := call(t, "POST", url+"/v1/chat/completions",
				`{"model":"assistant","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"`+tt.prompt+`"}]}`)
			c.Check(resp.header.Get("Content-Type"), qt.Equals, "text/event-stream")
			c.Check(resp.header.Get("lentil-model-version"), qt.Equals, "mould-7")
			c.Check(resp.trailer.Get("lentil-outcome"), qt.Equals, tt.outcome)
			text, events := "", []string{}
			for lines := bufio.NewScanner(strings.NewReader(resp.body)); lines.Scan(); {
				if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
					events = append(events, data)
					text += content(data)
				}
			}
			c.Check(text, qt.Equals, "Hello there")
			c.Assert(events, qt.HasLen, tt.events)
			c.Check(events[len(events)-1], qt.Contains, tt.last)
			c.Check(strings.Contains(resp.body, "[DONE]"), qt.Equals, tt.outcome == "served")
		})
	}
}

// TestDisconnect guards against attempts that continue after their caller
// disconnects, and against a change of the directory that breaks running
// attempts.
func TestDisconnect(t *testing.T) {
	a := fakeAgent{resume: make(chan struct{}), cancelled: make(chan struct{})}
	url, connections := startEntry(t, a)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	body := `{"model":"assistant","stream":true,"prompt":"hang"}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer key-1")
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	readUntil(t, lines, "Hello there")
	connections.Retain(nil)
	close(a.resume)
	readUntil(t, lines, " again")
	cancel()
	<-a.cancelled
}

func readUntil(t *testing.T, lines *bufio.Scanner, text string) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return
		}
	}
	t.Fatalf("the stream ended before %q", text)
}

func content(data string) string {
	var chunk struct {
		Choices []struct {
			Delta struct{ Content string }
		}
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}
