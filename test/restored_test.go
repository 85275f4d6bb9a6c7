package test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/operator/publisher"
	"github.com/lentilbridge/lentilbridge/pkg/claimer"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	// inForceTimeout is the time until an accepted configuration is in force
	// everywhere while the object API can be reached.
	inForceTimeout = 4 * time.Second
	// carryOverTimeout is the time until the configuration is published again after
	// a restore of the object API. A publish waits no longer.
	carryOverTimeout = 20 * time.Second
)

// commandObjectAPI sends a POST request without a body to the object API stand-in.
func (s *system) commandObjectAPI(path string) {
	resp, err := http.Post("http://"+s.platform(7000)+path, "", nil)
	s.c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	s.c.Assert(resp.StatusCode, qt.Equals, http.StatusNoContent)
}

// addRoute publishes a route and returns its revision. An operator whose edit is based
// on a copy of the object API gets a conflict and repeats it.
func (s *system) addRoute(name string) uint64 {
	route := &parser.Route{Kind: parser.KindRoute, Name: name, Model: "draft"}
	p := &publisher.Publisher{Objects: s.api, Author: "test"}
	for {
		current, _, err := p.Load(context.Background())
		s.c.Assert(err, qt.IsNil)
		result, err := p.Publish(context.Background(), time.Now(), publisher.Request{
			BaseRevision: current.Number, Edits: []publisher.Edit{{Ref: route.Ref(), After: route}},
		})
		var conflict *publisher.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		s.c.Assert(err, qt.IsNil)
		return result.Revision
	}
}

// ownerOfClaim returns the number of the entry daemon that holds the lease for the
// claims of a key of the service "records".
func (s *system) ownerOfClaim(key string) int {
	shard := claimer.ShardName(claimer.ShardOf("mill/records/" + key))
	owner := -1
	s.waitUntil("a daemon holds the lease of "+shard, func() bool {
		o, err := s.api.Get(context.Background(), "leases/"+shard)
		if err != nil {
			return false
		}
		var lease struct {
			Holder string `json:"holder"`
		}
		s.c.Assert(json.Unmarshal(o.Value, &lease), qt.IsNil)
		for k := range s.Entries {
			if entryName(k) == lease.Holder {
				owner = k
			}
		}
		return owner >= 0
	})
	return owner
}

// routeCaller sends requests for a route to an entry daemon and records those that
// are answered as if the route did not exist.
type routeCaller struct {
	System *system
	Entry  int
	Route  string

	served  int
	missing int
}

func (r *routeCaller) run(ctx context.Context, done func()) {
	defer done()
	for ctx.Err() == nil {
		body := fmt.Sprintf(`{"model":%q,"prompt":"route","max_tokens":1}`, r.Route)
		switch a := r.System.post(r.Entry, "/v1/completions", body, nil); a.status {
		case http.StatusOK:
			r.served++
		case http.StatusNotFound:
			r.missing++
		}
		time.Sleep(pollInterval)
	}
}

// Guards against a change that is lost or late, and a call that runs twice, when the
// object API returns from an earlier copy and the only entry daemon that knows the
// claim of the call is replaced.
func TestRestoredObjectAPI(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 3, Engines: 1, Services: 2}
	s.start(t)
	watch := &revisionWatcher{System: s}
	watch.start()
	owner := s.ownerOfClaim("order-2")
	c.Assert(s.postRecord(owner, "order-1", "order 1").status, qt.Equals, http.StatusCreated)

	s.commandObjectAPI("/copy")
	before := s.addRoute("added")
	s.waitUntil("the route is in force", func() bool { return watch.inForce(before) })
	callers := []*routeCaller{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var running sync.WaitGroup
	for k := range s.Entries {
		caller := &routeCaller{System: s, Entry: k, Route: "added"}
		callers = append(callers, caller)
		running.Add(1)
		go caller.run(ctx, running.Done)
	}
	first := s.postRecord(owner, "order-2", "order 2")
	c.Assert(first.status, qt.Equals, http.StatusCreated, qt.Commentf("%s", first.body))

	s.injectFaults(7000, `{"down":true}`)
	s.process(entryName(owner)).Kill()
	s.commandObjectAPI("/restore")
	s.injectFaults(7000, `{"down":false}`)
	s.startEntry(owner)
	restored := time.Now()
	after := s.addRoute("later")
	published := time.Now()
	c.Check(published.Sub(restored) < carryOverTimeout, qt.IsTrue, qt.Commentf("published after %s", published.Sub(restored)))
	s.waitUntil("the later route is in force", func() bool { return watch.inForce(after) })
	inForce := time.Since(published)
	c.Check(inForce < inForceTimeout, qt.IsTrue, qt.Commentf("in force after %s", inForce))
	for k := range s.Entries {
		for _, route := range []string{"added", "later"} {
			a := s.post(k, "/v1/completions", fmt.Sprintf(`{"model":%q,"prompt":"p","max_tokens":1}`, route), nil)
			c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s, route %s: %s", entryName(k), route, a.body))
		}
	}

	// The caller sends its calls again, to each daemon.
	for k := range s.Entries {
		for _, n := range []int{1, 2, 3} {
			var a response
			body := fmt.Sprint("order ", n)
			s.waitUntil(fmt.Sprintf("%s answers a call of %s", entryName(k), body), func() bool {
				a = s.postRecord(k, fmt.Sprint("order-", n), body)
				return a.status != http.StatusServiceUnavailable && a.status != 0
			})
			c.Check(a.status, qt.Equals, http.StatusCreated, qt.Commentf("%s at %s: %s", body, entryName(k), a.body))
			c.Check(s.storedRecords(body), qt.Equals, 1, qt.Commentf("%s at %s", body, entryName(k)))
			if n == 2 {
				c.Check(a.body, qt.Equals, first.body)
			}
		}
	}
	t.Logf("published %s after the restore, in force %s later, calls answered %s after the restore",
		published.Sub(restored).Round(time.Millisecond), inForce.Round(time.Millisecond), time.Since(restored).Round(time.Millisecond))
	s.waitUntil("the agent reports the later revision", func() bool { return s.revisionOf(agentName(0)) >= after })
	cancel()
	running.Wait()
	for k, caller := range callers {
		c.Check(caller.served > 0, qt.IsTrue)
		c.Check(caller.missing, qt.Equals, 0, qt.Commentf("%s", entryName(k)))
	}
	watch.stop()
	c.Check(watch.decreases, qt.HasLen, 0)
}

// Guards against a call that runs twice when all entry daemons end with the store that
// loses its claim, and the agent that ran it is found late by the new ones.
func TestRestoredObjectAPIWithNewEntryDaemons(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 2, Engines: 1, Services: 2}
	s.start(t)
	s.commandObjectAPI("/copy")
	first := s.postRecord(0, "order-1", "order 1")
	c.Assert(first.status, qt.Equals, http.StatusCreated, qt.Commentf("%s", first.body))
	for k := range s.Entries {
		s.process(entryName(k)).Kill()
	}
	s.commandObjectAPI("/restore")
	agent := s.process(serviceAgentName(s.serviceWithRecord("order 1")))
	s.freeze(agent)
	for k := range s.Entries {
		s.startEntry(k)
	}
	started := time.Now()
	thaw := time.AfterFunc(agentFoundAfter, func() { agent.Signal(syscall.SIGCONT) })
	defer thaw.Stop()
	for k := range s.Entries {
		var a response
		s.waitUntil(entryName(k)+" answers the call", func() bool {
			a = s.postRecord(k, "order-1", "order 1")
			return a.status != http.StatusServiceUnavailable && a.status != 0
		})
		c.Check(a.status, qt.Equals, http.StatusCreated, qt.Commentf("%s: %s", entryName(k), a.body))
		c.Check(a.body, qt.Equals, first.body)
	}
	t.Logf("answered %s after the start of the entry daemons", time.Since(started).Round(time.Millisecond))
	c.Check(s.storedRecords("order 1"), qt.Equals, 1)
}

// agentFoundAfter is how late new entry daemons find an agent in the test. An agent
// that has lost all entry daemons for long tries again within 15 s.
const agentFoundAfter = 15 * time.Second

// serviceWithRecord returns the number of the service replica that has a record.
func (s *system) serviceWithRecord(body string) int {
	for k := range s.Services {
		if strings.Contains(string(s.get("http://"+s.serviceIP(k)+":8000/records")), body) {
			return k
		}
	}
	s.t.Fatalf("no replica has the record %q", body)
	return 0
}
