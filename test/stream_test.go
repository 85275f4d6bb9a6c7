package test

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// slowEngine makes streams long enough that a fault can hit one in the middle,
// on an engine that runs on after a cancel.
var slowEngine = []string{"--token-time", "20ms", "--ignore-cancel"}

const longAnswer = 100

// middle sends a stream and waits until an engine is in the middle of it. It
// returns the engine's number.
func (s *system) middle(prompt string) (*call, int) {
	const some = 10
	before := make([]uint64, s.Engines)
	for k := range before {
		before[k] = s.generated(k)
	}
	c := s.sendCompletion(0, prompt, longAnswer, true)
	serving := -1
	s.waitUntil("the stream "+prompt+" is under way", func() bool {
		for k := range before {
			if s.generated(k) >= before[k]+some {
				serving = k
			}
		}
		return serving >= 0
	})
	return c, serving
}

func (s *system) checkWhole(a answer, prompt string, n int) {
	text, complete := textOf(a)
	s.c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
	s.c.Check(a.outcome, qt.Equals, "served", qt.Commentf("%s", a.body))
	s.c.Check(complete, qt.IsTrue)
	s.c.Check(text, qt.Equals, s.expectedText("v1", prompt, n, 1))
}

// waitReady waits until an agent offers its verified version again.
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

// Guards against a stream that is cut, repeats or skips tokens when its agent
// or engine dies or freezes in the middle, against answers that reach another caller when
// an engine runs abandoned requests on, and against a broken stream that looks
// complete.
func TestStreamWhenAgentOrEngineDies(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 1, Engines: 2, EngineArgs: slowEngine}
	s.start(t)

	stream, serving := s.middle("agent dies")
	s.process(agentName(serving)).Kill()
	s.checkWhole(stream.wait(), "agent dies", longAnswer)
	s.startAgent(serving)
	s.waitReady(serving)

	stream, serving = s.middle("engine dies")
	s.process(engineName(serving)).Kill()
	s.checkWhole(stream.wait(), "engine dies", longAnswer)
	s.startEngine(serving)
	s.waitReady(serving)

	// The frozen agent sends the rest of its answer after the resumed one.
	stream, serving = s.middle("agent freezes")
	resumed := s.generated(1 - serving)
	s.freeze(s.process(agentName(serving)))
	s.waitUntil("the stream goes on elsewhere", func() bool { return s.generated(1-serving) > resumed })
	s.process(agentName(serving)).Signal(syscall.SIGCONT)
	s.checkWhole(stream.wait(), "agent freezes", longAnswer)
	s.waitReady(serving)

	// The caller leaves, the engine runs on.
	before := s.generated(0) + s.generated(1)
	ctx, leave := context.WithCancel(context.Background())
	body := `{"model":"draft","prompt":"left","max_tokens":100,"stream":true}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.entryIP(0)+":8080/v1/completions", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	leave()
	_ = resp.Body.Close()
	prompts := []string{"left", "other", "third", "fourth"}
	var calls []*call
	for _, prompt := range prompts {
		calls = append(calls, s.sendCompletion(0, prompt, 20, true))
	}
	for k, prompt := range prompts {
		s.checkWhole(calls[k].wait(), prompt, 20)
	}

	s.waitUntil("the engine has run the abandoned request to its end", func() bool {
		return s.generated(0)+s.generated(1) >= before+longAnswer+uint64(20*len(prompts))
	})

	// No other replica has the version.
	s.process(agentName(1 - serving)).Kill()
	stream, serving = s.middle("no other replica")
	s.process(agentName(serving)).Kill()
	a := stream.wait()
	text, complete := textOf(a)
	c.Check(complete, qt.IsFalse)
	c.Check(a.outcome, qt.Equals, "unknown")
	c.Check(a.body, qt.Contains, `"code":"stream-broken"`)
	c.Check(strings.HasPrefix(s.expectedText("v1", "no other replica", longAnswer, 1), text), qt.IsTrue)
}
