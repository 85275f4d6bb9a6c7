package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// recordLoad sends records one after the other, each under its own key, and
// sends those answered with not-run again under the same key.
type recordLoad struct {
	System *system

	done    chan struct{}
	running sync.WaitGroup

	// accepted are the bodies of the records that the service has stored, as
	// answered to the caller.
	accepted []string
	failed   []string
}

func (l *recordLoad) start() {
	l.done = make(chan struct{})
	l.running.Add(1)
	go l.run()
}

func (l *recordLoad) stop() {
	close(l.done)
	l.running.Wait()
}

func (l *recordLoad) run() {
	defer l.running.Done()
	caller := &caller{loadGenerator: &loadGenerator{System: l.System}}
	for n := 0; ; n++ {
		select {
		case <-l.done:
			return
		default:
		}
		l.send(caller, fmt.Sprintf("record %d", n))
	}
}

func (l *recordLoad) send(c *caller, body string) {
	for {
		address := c.pickEntry(time.Now())
		a := l.System.postTo(address, "/services/records/records", body, map[string]string{"idempotency-key": body})
		switch {
		case a.err == nil && a.status == http.StatusCreated && a.outcome == "served":
			l.accepted = append(l.accepted, body)
			return
		case a.err == nil && a.outcome == "not-run":
			time.Sleep(pollInterval)
		case a.err != nil && strings.Contains(a.err.Error(), "connection refused"):
			c.dropEntry(address, time.Now())
		default:
			l.failed = append(l.failed, fmt.Sprintf("%s: status %d, outcome %s, error %v, %s", body, a.status, a.outcome, a.err, a.body))
			return
		}
	}
}

// terminate sends SIGTERM to a daemon, waits until it has exited and checks
// that its exit code is 0.
func (s *system) terminate(name string) {
	p := s.process(name)
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Exited():
		s.c.Check(p.ExitCode(), qt.Equals, 0, qt.Commentf("%s", name))
	case <-time.After(waitTimeout):
		s.t.Fatalf("%s did not end after SIGTERM", name)
	}
}

// isReady reports whether the daemon of the VM with this address reports that
// it is ready.
func (s *system) isReady(ip string) bool {
	resp, err := http.Get("http://" + ip + ":6060/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// storedCounts counts the records by body on all replicas of the service.
func (s *system) storedCounts() map[string]int {
	counts := map[string]int{}
	for k := range s.Services {
		var records []struct {
			Body string `json:"body"`
		}
		s.c.Assert(json.Unmarshal(s.get("http://"+s.serviceIP(k)+":8000/records"), &records), qt.IsNil)
		for _, r := range records {
			counts[r.Body]++
		}
	}
	return counts
}

// metric reads a metric of an entry daemon.
func (s *system) metric(entry int, name string) float64 {
	vars := map[string]json.RawMessage{}
	s.c.Assert(json.Unmarshal(s.get("http://"+s.entryIP(entry)+":6060/debug/vars"), &vars), qt.IsNil)
	value := 0.0
	s.c.Assert(json.Unmarshal(vars[name], &value), qt.IsNil, qt.Commentf("%s", name))
	return value
}

// Guards against requests that are lost when VMs are replaced one after the
// other under load: entry VMs that callers still know, agents with long streams
// open, and agents of a service whose calls must not run twice.
func TestRollingReplacementLosesNoRequest(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 3, Engines: 2, Services: 2}
	s.start(t)
	load := &loadGenerator{System: s, Callers: 4, Tokens: 60}
	records := &recordLoad{System: s}
	load.start()
	records.start()

	for k := range s.Engines {
		var streams []*longStream
		for n := range 3 {
			streams = append(streams, (&longStream{System: s, Entry: n, Prompt: fmt.Sprintf("agent %d stream %d", k, n), Tokens: longStreamTokens}).open())
		}
		s.terminate(agentName(k))
		for n, stream := range streams {
			c.Check(stream.isComplete("v1"), qt.IsTrue, qt.Commentf("%s", stream.body))
			c.Check(s.metric(n, "requests.resumes"), qt.Equals, 0.0, qt.Commentf("a drain lets streams end where they run"))
		}
		s.process(engineName(k)).Kill()
		s.startEngine(k)
		s.startAgent(k)
		s.waitUntil(agentName(k)+" is ready", func() bool { return s.isReady(s.engineIP(k)) && s.engineRuns(k, "v1") })
	}
	for k := range s.Services {
		s.terminate(serviceAgentName(k))
		s.startServiceAgent(k)
		s.waitUntil(serviceAgentName(k)+" is ready", func() bool { return s.isReady(s.serviceIP(k)) })
	}
	for k := range s.Entries {
		// The stream lasts longer than the daemon serves after the signal
		// without requests.
		stream := (&longStream{System: s, Entry: k, Prompt: fmt.Sprintf("entry %d", k), Tokens: 2 * longStreamTokens}).open()
		s.terminate(entryName(k))
		c.Check(stream.isOpen(), qt.IsFalse)
		c.Check(stream.isComplete("v1"), qt.IsTrue)
		s.startEntry(k)
		s.waitUntil(entryName(k)+" is ready", func() bool { return s.isReady(s.entryIP(k)) })
	}
	load.stop()
	records.stop()
	c.Check(load.failed, qt.HasLen, 0)
	c.Check(load.unexpected, qt.HasLen, 0)
	c.Check(load.refusedEarly, qt.HasLen, 0)
	c.Check(records.failed, qt.HasLen, 0)
	stored := s.storedCounts()
	for _, body := range records.accepted {
		c.Check(stored[body], qt.Equals, 1, qt.Commentf("%s", body))
	}
	t.Logf("%d answers, %d records", load.served, len(records.accepted))
}

// Guards against new work for a leaving backend server from an entry daemon
// that missed the announcement: the daemon is frozen while the agent announces
// that it leaves, and the VM list lags by 30 s.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 2, Engines: 2, VMListLag: 30 * time.Second}
	s.start(t)
	list := `{"vms":[{"vm":"agent-0","leaving":true},{"vm":"agent-1","leaving":false}]}`
	req, err := http.NewRequest(http.MethodPut, "http://"+s.platform(7002)+"/v1/vms", strings.NewReader(list))
	c.Assert(err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()

	// Open streams on both servers keep the leaving one running.
	var streams []*longStream
	for n := range 8 {
		streams = append(streams, (&longStream{System: s, Entry: 1, Prompt: fmt.Sprintf("stream %d", n), Tokens: 4 * longStreamTokens}).open())
	}
	s.freeze(s.process(entryName(0)))
	s.process(agentName(0)).Signal(syscall.SIGTERM)
	sent := 0
	newWork := func(entry, requests int) uint64 {
		before, ok := s.readEngineState(0)
		c.Assert(ok, qt.IsTrue)
		for range requests {
			sent++
			prompt := fmt.Sprintf("request %d", sent)
			a := s.postCompletion(entry, prompt, 2, false, 1)
			text, _ := textOf(a)
			c.Check(text, qt.Equals, s.expectedText("v1", prompt, 2, 1), qt.Commentf("%s", a.body))
		}
		after, ok := s.readEngineState(0)
		c.Assert(ok, qt.IsTrue)
		return after.PromptTokens - before.PromptTokens
	}
	s.waitUntil("the reachable entry daemon sends no new work", func() bool { return newWork(1, 10) == 0 })
	s.resume(s.process(entryName(0)))
	s.waitUntil("the resumed entry daemon sends no new work", func() bool { return newWork(0, 10) == 0 })
	c.Check(newWork(0, 40), qt.Equals, uint64(0))
	c.Check(newWork(1, 40), qt.Equals, uint64(0))
	open := 0
	for _, stream := range streams {
		if stream.isOpen() {
			open++
		}
	}
	c.Check(open, qt.Equals, len(streams))
	for _, stream := range streams {
		c.Check(stream.isComplete("v1"), qt.IsTrue)
	}
	<-s.process(agentName(0)).Exited()
	c.Check(s.process(agentName(0)).ExitCode(), qt.Equals, 0)
}
