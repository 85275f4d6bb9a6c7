package test

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// domainWatch counts the attempts at the agents of failure domain r1-a, which are
// those with an even index.
type domainWatch struct {
	*system
	load *loadGenerator
}

// attemptCounts are numbers of attempts since the start of the agents.
type attemptCounts struct {
	started, refused float64
}

func (w *domainWatch) counts() attemptCounts {
	var n attemptCounts
	for k := 0; k < w.Engines; k += 2 {
		n.started += w.agentMetric(k, "attempts-started")
		n.refused += w.agentMetric(k, "attempts-refused")
	}
	return n
}

func (w *domainWatch) running() float64 {
	n := 0.0
	for k := 0; k < w.Engines; k += 2 {
		n += w.agentMetric(k, "attempts-running")
	}
	return n
}

// whileServing waits until the callers have got further answers and returns the counts
// from before and after that.
func (w *domainWatch) whileServing(answers int) (before, after attemptCounts) {
	served := w.load.servedCount()
	before = w.counts()
	w.waitUntil("further answers", func() bool { return w.load.servedCount() >= served+answers })
	return before, w.counts()
}

func (g *loadGenerator) servedCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.served
}

// agentMetric returns a metric of the agent of engine VM k.
func (s *system) agentMetric(k int, name string) float64 {
	vars := map[string]json.RawMessage{}
	s.c.Assert(json.Unmarshal(s.get("http://"+s.engineIP(k)+":6060/debug/vars"), &vars), qt.IsNil)
	value := 0.0
	s.c.Assert(json.Unmarshal(vars[name], &value), qt.IsNil, qt.Commentf("%s", name))
	return value
}

// completions sends completions to an entry daemon, which may be stopped, and waits
// for their responses.
type completions struct {
	system  *system
	entry   int
	running sync.WaitGroup
	mu      sync.Mutex
	got     []response
}

func (p *completions) start(n int) {
	for range n {
		p.running.Add(1)
		go p.run()
	}
}

func (p *completions) run() {
	defer p.running.Done()
	a := p.system.postCompletion(p.entry, "queued", 5, false, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.got = append(p.got, a)
}

func (s *system) writeObjects(name, text string) string {
	path := filepath.Join(s.dir, name)
	s.c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

func (s *system) logContains(vm, text string) bool {
	log, err := os.ReadFile(s.process(vm).Log)
	s.c.Assert(err, qt.IsNil)
	return strings.Contains(string(log), text)
}

// Guards against attempts in an evacuated failure domain: of entry daemons that know
// of the evacuation, of one that was stopped while it was applied and has requests
// waiting at its socket, and of one that starts while the object API is down. Guards
// also against a rollout that waits for the evacuated replicas, against requests that
// fail because of the evacuation, and against replicas that are not used after it.
func TestEvacuation(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 3, Engines: 4, TwoRegions: true}
	s.start(t)
	watch := &revisionWatcher{System: s}
	watch.start()
	// Callers of the daemon that is stopped would wait for it.
	load := &loadGenerator{System: s, Callers: 4, Tokens: 30, Addresses: []string{s.entryIP(0) + ":8080", s.entryIP(1) + ":8080"}}
	load.start()
	domain := &domainWatch{system: s, load: load}
	before, after := domain.whileServing(20)
	c.Assert(after.started > before.started, qt.IsTrue)

	s.freeze(s.process(entryName(2)))
	file := s.writeObjects("evacuate.yaml", "kind: evacuation\nname: works\nfailure-domain: r1-a\n")
	s.mustLentil("apply", file)
	for k := 0; k < s.Engines; k += 2 {
		s.waitUntil(agentName(k)+" knows of the evacuation", func() bool { return s.logContains(agentName(k), "evacuation in force") })
	}
	for k := range 2 {
		s.waitUntil(entryName(k)+" knows of the evacuation", func() bool { return s.metric(k, "evacuations.now") == 1 })
	}
	s.waitUntil("the evacuated replicas are idle", func() bool { return domain.running() == 0 })
	before, after = domain.whileServing(20)
	c.Check(after, qt.Equals, before, qt.Commentf("attempts by daemons that know of the evacuation"))

	s.rollOut("v2")
	s.waitUntil("the rollout is done without the evacuated replicas", func() bool {
		o, err := s.api.Get(context.Background(), "rollouts/next")
		if err != nil {
			return false
		}
		var status parser.RolloutStatus
		return json.Unmarshal(o.Value, &status) == nil && status.Phase == parser.PhaseDone && status.Evacuated == 2 && status.Active == 2
	})
	for k := range s.Engines {
		version := "v1"
		if k%2 == 1 {
			version = "v2"
		}
		c.Check(s.engineRuns(k, version), qt.IsTrue, qt.Commentf("engine %d runs %s", k, version))
	}

	queued := &completions{system: s, entry: 2}
	queued.start(16)
	s.injectFaults(7000, `{"down":true}`)
	before = domain.counts()
	s.resume(s.process(entryName(2)))
	queued.running.Wait()
	s.waitUntil("the stopped daemon knows of the evacuation", func() bool { return s.metric(2, "evacuations.now") == 1 })
	c.Check(domain.counts().started, qt.Equals, before.started, qt.Commentf("attempts by the daemon that was stopped"))
	for _, a := range queued.got {
		c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s %v", a.body, a.err))
	}
	s.terminate(entryName(1))
	s.startEntry(1)
	s.waitUntil("the new entry daemon has the configuration of a peer", func() bool { return s.isReady(s.entryIP(1)) })
	before, after = domain.whileServing(20)
	c.Check(after, qt.Equals, before, qt.Commentf("attempts while the object API is down"))
	for range 20 {
		a := s.postCompletion(1, "new daemon", 5, false, 1)
		c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s %v", a.body, a.err))
	}
	c.Check(domain.counts(), qt.Equals, before, qt.Commentf("attempts by the new entry daemon"))
	s.injectFaults(7000, `{"down":false}`)

	s.waitUntil("the evacuation can be deleted", func() bool {
		code, _, _ := s.lentil("delete", "evacuation/works")
		return code == 0
	})
	s.waitUntil("the replicas are used again", func() bool { return domain.counts().started > before.started })
	s.waitServing("v2")
	load.stop()
	watch.stop()
	c.Check(load.failed, qt.HasLen, 0)
	c.Check(load.unexpected, qt.HasLen, 0)
	c.Check(watch.decreases, qt.HasLen, 0)
}

// Guards against a restricted request that runs in another region, and against one
// without a replica in its regions that waits, or whose response doesn't say that it
// was not run and why.
func TestRestrictedRoute(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 2, Engines: 2, TwoRegions: true}
	s.start(t)
	s.mustLentil("apply", "--wait", s.writeObjects("route.yaml", "kind: route\nname: abroad\nmodel: draft\nregions: [r2]\n"))
	body := `{"model": "abroad", "prompt": "p", "max_tokens": 5}`
	before := s.agentMetric(0, "attempts-started")
	for k := range s.Entries {
		for range 10 {
			a := s.post(k, "/v1/completions", body, nil)
			c.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s %v", a.body, a.err))
		}
	}
	c.Check(s.agentMetric(0, "attempts-started"), qt.Equals, before)

	s.mustLentil("apply", "--wait", s.writeObjects("evacuate.yaml", "kind: evacuation\nname: works\nfailure-domain: r2-a\n"))
	began := time.Now()
	a := s.post(0, "/v1/completions", body, nil)
	t.Logf("rejected after %v", time.Since(began))
	c.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(a.outcome, qt.Equals, "not-run")
	c.Check(a.header.Get("Retry-After"), qt.Equals, "5")
	c.Check(a.body, qt.Contains, "every failure domain in which a replica of draft could run the request is evacuated")
	a = s.post(1, "/v1/completions", strings.Replace(body, "abroad", "draft", 1), nil)
	c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
	s.mustLentil("delete", "evacuation/works")
	s.waitUntil("the region is used again", func() bool { return s.post(0, "/v1/completions", body, nil).status == http.StatusOK })
}
