package test

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// pendingRequest is a request of a caller that is in progress.
type pendingRequest struct {
	system    *system
	entry     int
	key, body string
	// isCompletion selects a completion, with prompt, tokens and stream,
	// instead of a record, with key and body.
	isCompletion, stream bool
	prompt               string
	tokens               int
	done                 chan struct{}
	response             response
}

func (c *pendingRequest) run() {
	defer close(c.done)
	if c.isCompletion {
		c.response = c.system.postCompletion(c.entry, c.prompt, c.tokens, c.stream, 1)
		return
	}
	c.response = c.system.postRecord(c.entry, c.key, c.body)
}

// sendRecord sends a record through the first entry daemon and does not wait
// for the response.
func (s *system) sendRecord(key, body string) *pendingRequest {
	c := &pendingRequest{system: s, key: key, body: body, done: make(chan struct{})}
	go c.run()
	return c
}

// sendCompletion sends a completion and does not wait for the response.
func (s *system) sendCompletion(entry int, prompt string, tokens int, stream bool) *pendingRequest {
	c := &pendingRequest{system: s, entry: entry, isCompletion: true, prompt: prompt, tokens: tokens, stream: stream, done: make(chan struct{})}
	go c.run()
	return c
}

func (c *pendingRequest) wait() response {
	<-c.done
	return c.response
}

// hasLogged reports whether the log of a process contains a text.
func (s *system) hasLogged(name, text string) bool {
	log, err := os.ReadFile(s.process(name).Log)
	return err == nil && strings.Contains(string(log), text)
}

// generatedTokens returns the number of tokens that the engine of VM k has
// generated.
func (s *system) generatedTokens(k int) uint64 {
	var state struct {
		Generated uint64 `json:"generated-tokens"`
	}
	s.c.Assert(json.Unmarshal(s.get("http://"+s.engineIP(k)+":8000/state"), &state), qt.IsNil)
	return state.Generated
}

// Guards against a request that runs after its caller got not-run: the
// connection to the agent is half-open, the agent confirms the cancel on a new
// one, and then the start arrives on the old one.
func TestLateStartAfterNotRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 1, Engines: 1, Services: 1, DelayProxies: true}
	s.start(t)

	before := s.generatedTokens(0)
	proxy := s.delayProxies[agentName(0)]
	proxy.hold("late prompt", false)
	completion := s.sendCompletion(0, "late prompt", 5, false)
	<-proxy.held
	proxy.resetEntrySide()
	a := completion.wait()
	c.Assert(a.outcome, qt.Equals, "not-run", qt.Commentf("%s", a.body))
	proxy.release()
	s.waitUntil("the late start is refused or runs", func() bool {
		return s.hasLogged(agentName(0), "the attempt was canceled before it started") || s.generatedTokens(0) > before
	})
	c.Assert(s.generatedTokens(0), qt.Equals, before)

	proxy = s.delayProxies[serviceAgentName(0)]
	proxy.hold("late order", false)
	record := s.sendRecord("late", "late order")
	<-proxy.held
	proxy.resetEntrySide()
	a = record.wait()
	c.Assert(a.outcome, qt.Equals, "not-run", qt.Commentf("%s", a.body))
	proxy.release()
	again := s.postRecord(0, "late", "late order")
	c.Assert(again.status, qt.Equals, http.StatusCreated, qt.Commentf("%s", again.body))
	c.Assert(s.storedRecords("late order"), qt.Equals, 1)
}

// Guards against a call that runs twice because its entry daemon was paused
// between claim and start: the start arrives after the caller has sent the
// call again through another entry daemon.
func TestPausedEntryStartsLate(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 2, Engines: 1, Services: 1, DelayProxies: true}
	s.start(t)
	proxy := s.delayProxies[serviceAgentName(0)]
	// The reservation carries the key; the start follows it.
	proxy.hold("mill/records/paused", true)
	first := s.sendRecord("paused", "paused order")
	<-proxy.held
	s.waitUntil("the start is held by the proxy", func() bool { return proxy.hasHeld("paused order") })
	s.freeze(s.process(entryName(0)))
	second := s.postRecord(1, "paused", "paused order")
	c.Assert(second.status, qt.Equals, http.StatusCreated, qt.Commentf("%s", second.body))
	proxy.release()
	s.waitUntil("the late start is refused or runs", func() bool {
		return s.hasLogged(serviceAgentName(0), "no reservation is held for the attempt") || s.storedRecords("paused order") > 1
	})
	c.Assert(s.storedRecords("paused order"), qt.Equals, 1)
	s.resume(s.process(entryName(0)))
	// The first call was not run; it may get the recorded answer of the second.
	if a := first.wait(); a.outcome == "served" {
		c.Assert(a.body, qt.Equals, second.body)
	}
	c.Assert(s.storedRecords("paused order"), qt.Equals, 1)
}

// Guards against not-run for a request that a frozen agent runs when it
// resumes, and against a second run of the request when its caller sends it
// again, also while the object API is down.
func TestFrozenAgent(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 2, Engines: 1, Services: 1, DelayProxies: true}
	s.start(t)

	// The start of a completion waits in the socket buffer of the frozen agent.
	s.freeze(s.process(agentName(0)))
	a := s.postCompletion(0, "frozen prompt", 5, false, 1)
	c.Assert(a.outcome, qt.Equals, "unknown", qt.Commentf("%s", a.body))
	s.resume(s.process(agentName(0)))

	// The start of a record waits in the socket buffer of the frozen agent.
	proxy := s.delayProxies[serviceAgentName(0)]
	proxy.hold("frozen order", false)
	first := s.sendRecord("frozen", "frozen order")
	<-proxy.held
	s.freeze(s.process(serviceAgentName(0)))
	proxy.release()
	a = first.wait()
	c.Assert(a.outcome, qt.Equals, "unknown", qt.Commentf("%s", a.body))

	s.injectFaults(7000, `{"down":true}`)
	a = s.postRecord(1, "frozen", "frozen order")
	c.Assert(a.status, qt.Not(qt.Equals), http.StatusCreated)
	s.resume(s.process(serviceAgentName(0)))
	s.injectFaults(7000, `{"down":false}`)
	s.waitUntil("the record is stored", func() bool {
		return s.postRecord(1, "frozen", "frozen order").status == http.StatusCreated
	})
	c.Assert(s.storedRecords("frozen order"), qt.Equals, 1)
}
