package test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// slowEngineArgs make streams long enough that a fault can hit one before its
// end, on an engine that continues requests after a cancel.
var slowEngineArgs = []string{"--token-time", "20ms", "--ignore-cancel"}

const longResponseTokens = 100

// streamInProgress sends a stream and waits until an engine has generated some
// of its tokens. It returns the engine's index.
func (s *system) streamInProgress(prompt string) (*pendingRequest, int) {
	const minTokens = 10
	before := make([]uint64, s.Engines)
	for k := range before {
		before[k] = s.generatedTokens(k)
	}
	c := s.sendCompletion(0, prompt, longResponseTokens, true)
	serving := -1
	s.waitUntil("the stream "+prompt+" is under way", func() bool {
		for k := range before {
			if s.generatedTokens(k) >= before[k]+minTokens {
				serving = k
			}
		}
		return serving >= 0
	})
	return c, serving
}

// checkComplete checks that a response has the complete text of v1.
func (s *system) checkComplete(a response, prompt string, n int) {
	text, complete := textOf(a)
	s.c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
	s.c.Check(a.outcome, qt.Equals, "served", qt.Commentf("%s", a.body))
	s.c.Check(complete, qt.IsTrue)
	s.c.Check(text, qt.Equals, s.expectedText("v1", prompt, n, 1))
}

// waitReady waits until the agent of engine VM k is ready, that is, offers its
// verified version.
func (s *system) waitReady(k int) {
	s.waitUntil(agentName(k)+" is ready", func() bool {
		resp, err := http.Get("http://" + s.engineIP(k) + ":6060/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// Guards against a stream that is cut off or repeats or skips tokens when its
// agent or engine dies or freezes before the end, against an answer that
// reaches another caller when an engine continues abandoned requests, and
// against a broken stream that looks complete.
func TestStreamWhenAgentOrEngineDies(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 1, Engines: 2, EngineArgs: slowEngineArgs}
	s.start(t)

	stream, serving := s.streamInProgress("agent dies")
	s.process(agentName(serving)).Kill()
	s.checkComplete(stream.wait(), "agent dies", longResponseTokens)
	s.startAgent(serving)
	s.waitReady(serving)

	stream, serving = s.streamInProgress("engine dies")
	s.process(engineName(serving)).Kill()
	s.checkComplete(stream.wait(), "engine dies", longResponseTokens)
	s.startEngine(serving)
	s.waitReady(serving)

	// After the stream has resumed on the other replica, the frozen agent wakes
	// and sends the rest of its answer.
	stream, serving = s.streamInProgress("agent freezes")
	resumed := s.generatedTokens(1 - serving)
	s.freeze(s.process(agentName(serving)))
	s.waitUntil("the stream resumes on the other replica", func() bool { return s.generatedTokens(1-serving) > resumed })
	s.resume(s.process(agentName(serving)))
	s.checkComplete(stream.wait(), "agent freezes", longResponseTokens)
	s.waitReady(serving)

	// The caller disconnects, and the engine continues the request.
	before := s.generatedTokens(0) + s.generatedTokens(1)
	ctx, disconnect := context.WithCancel(context.Background())
	body := `{"model":"draft","prompt":"left","max_tokens":100,"stream":true}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.entryIP(0)+":8080/v1/completions", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	disconnect()
	_ = resp.Body.Close()
	prompts := []string{"left", "other", "third", "fourth"}
	var calls []*pendingRequest
	for _, prompt := range prompts {
		calls = append(calls, s.sendCompletion(0, prompt, 20, true))
	}
	for k, prompt := range prompts {
		s.checkComplete(calls[k].wait(), prompt, 20)
	}

	s.waitUntil("the engine has run the abandoned request to its end", func() bool {
		return s.generatedTokens(0)+s.generatedTokens(1) >= before+longResponseTokens+uint64(20*len(prompts))
	})

	// With no other replica of the version, the stream cannot resume.
	s.process(agentName(1 - serving)).Kill()
	stream, serving = s.streamInProgress("no other replica")
	s.process(agentName(serving)).Kill()
	a := stream.wait()
	text, complete := textOf(a)
	c.Check(complete, qt.IsFalse)
	c.Check(a.outcome, qt.Equals, "unknown")
	c.Check(a.body, qt.Contains, `"code":"stream-broken"`)
	c.Check(strings.HasPrefix(s.expectedText("v1", "no other replica", longResponseTokens, 1), text), qt.IsTrue)
}
