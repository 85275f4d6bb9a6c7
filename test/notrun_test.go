package test

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// call is a request of a caller that is under way.
type call struct {
	system    *system
	entry     int
	key, body string
	// Of a completion, if isModel is set.
	isModel, stream bool
	prompt          string
	tokens          int
	done            chan struct{}
	answer          answer
}

func (c *call) run() {
	defer close(c.done)
	if c.isModel {
		c.answer = c.system.complete(c.entry, c.prompt, c.tokens, c.stream, 1)
		return
	}
	c.answer = c.system.record(c.entry, c.key, c.body)
}

// sendRecord sends a record through the first entry daemon.
func (s *system) sendRecord(key, body string) *call {
	c := &call{system: s, key: key, body: body, done: make(chan struct{})}
	go c.run()
	return c
}

func (s *system) sendCompletion(entry int, prompt string, tokens int, stream bool) *call {
	c := &call{system: s, entry: entry, isModel: true, prompt: prompt, tokens: tokens, stream: stream, done: make(chan struct{})}
	go c.run()
	return c
}

func (c *call) wait() answer {
	<-c.done
	return c.answer
}

// logged reports whether a process has logged a text.
func (s *system) logged(name, text string) bool {
	log, err := os.ReadFile(s.process(name).Log)
	return err == nil && strings.Contains(string(log), text)
}

// generated is the number of tokens that an engine has made.
func (s *system) generated(k int) uint64 {
	var state struct {
		Generated uint64 `json:"generated-tokens"`
	}
	s.c.Assert(json.Unmarshal(s.get("http://"+s.engineIP(k)+":8000/state"), &state), qt.IsNil)
	return state.Generated
}

// Guards against a request that runs after its caller was told not-run: the
// connection to the agent breaks half open, the agent confirms the cancel on a
// new one, and then the start arrives on the old one.
func TestLateStartAfterNotRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 1, Engines: 1, Services: 1, Links: true}
	s.start(t)

	before := s.generated(0)
	l := s.links[agentName(0)]
	l.hold("late prompt", false)
	completion := s.sendCompletion(0, "late prompt", 5, false)
	<-l.holding
	l.cut()
	a := completion.wait()
	c.Assert(a.outcome, qt.Equals, "not-run", qt.Commentf("%s", a.body))
	l.deliver()
	s.waitUntil("the late start is refused or runs", func() bool {
		return s.logged(agentName(0), "the attempt was canceled before it started") || s.generated(0) > before
	})
	c.Assert(s.generated(0), qt.Equals, before)

	l = s.links[serviceAgentName(0)]
	l.hold("late order", false)
	record := s.sendRecord("late", "late order")
	<-l.holding
	l.cut()
	a = record.wait()
	c.Assert(a.outcome, qt.Equals, "not-run", qt.Commentf("%s", a.body))
	l.deliver()
	again := s.record(0, "late", "late order")
	c.Assert(again.status, qt.Equals, http.StatusCreated, qt.Commentf("%s", again.body))
	c.Assert(s.storedRecords("late order"), qt.Equals, 1)
}

// Guards against a call that runs twice because its entry daemon was paused
// between claim and start: the start arrives after the caller has sent the
// call again through another entry daemon.
func TestPausedEntryStartsLate(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 2, Engines: 1, Services: 1, Links: true}
	s.start(t)
	l := s.links[serviceAgentName(0)]
	// The reservation carries the key; the start follows it.
	l.hold("mill/records/paused", true)
	first := s.sendRecord("paused", "paused order")
	<-l.holding
	s.waitUntil("the start is on the link", func() bool { return l.keeps("paused order") })
	s.freeze(s.process(entryName(0)))
	second := s.record(1, "paused", "paused order")
	c.Assert(second.status, qt.Equals, http.StatusCreated, qt.Commentf("%s", second.body))
	l.deliver()
	s.waitUntil("the late start is refused or runs", func() bool {
		return s.logged(serviceAgentName(0), "no reservation is held for the attempt") || s.storedRecords("paused order") > 1
	})
	c.Assert(s.storedRecords("paused order"), qt.Equals, 1)
	s.process(entryName(0)).Signal(syscall.SIGCONT)
	// The first call did not run itself; it may find the answer of the second.
	if a := first.wait(); a.outcome == "served" {
		c.Assert(a.body, qt.Equals, second.body)
	}
	c.Assert(s.storedRecords("paused order"), qt.Equals, 1)
}

// Guards against not-run for a request that a frozen agent runs when it
// resumes, and against a second run of it when its caller sends it again, also
// while the object API is down.
func TestFrozenAgent(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 2, Engines: 1, Services: 1, Links: true}
	s.start(t)

	// The start of a completion waits in the socket of the frozen agent.
	s.freeze(s.process(agentName(0)))
	a := s.complete(0, "frozen prompt", 5, false, 1)
	c.Assert(a.outcome, qt.Equals, "unknown", qt.Commentf("%s", a.body))
	s.process(agentName(0)).Signal(syscall.SIGCONT)

	// The start of a record does.
	l := s.links[serviceAgentName(0)]
	l.hold("frozen order", false)
	first := s.sendRecord("frozen", "frozen order")
	<-l.holding
	s.freeze(s.process(serviceAgentName(0)))
	l.deliver()
	a = first.wait()
	c.Assert(a.outcome, qt.Equals, "unknown", qt.Commentf("%s", a.body))

	s.fault(7000, `{"down":true}`)
	a = s.record(1, "frozen", "frozen order")
	c.Assert(a.status, qt.Not(qt.Equals), http.StatusCreated)
	s.process(serviceAgentName(0)).Signal(syscall.SIGCONT)
	s.fault(7000, `{"down":false}`)
	s.waitUntil("the record is filed", func() bool {
		return s.record(1, "frozen", "frozen order").status == http.StatusCreated
	})
	c.Assert(s.storedRecords("frozen order"), qt.Equals, 1)
}
