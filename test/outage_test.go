package test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lentilbridge/lentilbridge/internal/operator/commander"
	"github.com/lentilbridge/lentilbridge/internal/operator/publisher"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// revisions watches the revision that each entry daemon has in force.
type revisions struct {
	System *system

	clients []messenger.EntryClient
	done    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	latest   []uint64
	reverted []string
}

func (r *revisions) start() {
	r.done = make(chan struct{})
	r.latest = make([]uint64, r.System.Entries)
	for k := range r.System.Entries {
		conn, err := grpc.NewClient("passthrough:///"+r.System.entryIP(k)+":9090", grpc.WithTransportCredentials(insecure.NewCredentials()))
		r.System.c.Assert(err, qt.IsNil)
		r.System.t.Cleanup(func() { _ = conn.Close() })
		r.clients = append(r.clients, messenger.NewEntryClient(conn))
	}
	r.running.Add(1)
	go r.run()
}

func (r *revisions) stop() {
	close(r.done)
	r.running.Wait()
}

func (r *revisions) run() {
	defer r.running.Done()
	for {
		for k := range r.clients {
			r.read(k)
		}
		select {
		case <-r.done:
			return
		case <-time.After(pollEvery):
		}
	}
}

func (r *revisions) read(k int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := r.clients[k].Revision(ctx, &messenger.RevisionRequest{})
	if err != nil {
		return // The daemon is being replaced or has no configuration yet.
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.GetRevision() < r.latest[k] {
		r.reverted = append(r.reverted, fmt.Sprintf("%s went from revision %d to %d", entryName(k), r.latest[k], reply.GetRevision()))
	}
	r.latest[k] = reply.GetRevision()
}

// inForce reports whether each entry daemon has the revision.
func (r *revisions) inForce(revision uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.latest {
		if n < revision {
			return false
		}
	}
	return true
}

// calls is the number of calls that the object API has counted.
func (s *system) calls() uint64 {
	var stats emulator.ObjectStats
	s.c.Assert(json.Unmarshal(s.get("http://"+s.platform(7000)+"/stats"), &stats), qt.IsNil)
	return stats.Writes + stats.Reads
}

// lentil runs the operators' program and returns its exit code and output.
func (s *system) lentil(args ...string) (code int, out, errOut string) {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), programEnv+"=lentil", "LENTIL_OBJECT_API=http://"+s.platform(7000), "LENTIL_AUTHOR=mali", "GORACE=atexit_sleep_ms=0")
	var stdout, stderr strings.Builder
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		s.c.Assert(err, qt.IsNil)
	}
	return cmd.ProcessState.ExitCode(), stdout.String(), stderr.String()
}

// mustLentil runs the operators' program, which has to succeed, and returns
// its output.
func (s *system) mustLentil(args ...string) []byte {
	code, out, errOut := s.lentil(args...)
	s.c.Assert(code, qt.Equals, 0, qt.Commentf("lentil %v: %s", args, errOut))
	return []byte(out)
}

// hasTransferred reports whether the agent's log tells of a complete transfer.
// Statuses do not reach the object API during an outage.
func (s *system) hasTransferred(vm, version string) bool {
	text, err := os.ReadFile(s.process(vm).Log)
	s.c.Assert(err, qt.IsNil)
	return strings.Contains(string(text), `"transfer is complete","version":"`+s.set.ModelVersions[version].Digest)
}

// rateWindow is how long calls are counted. It is no condition that a test
// waits for.
const rateWindow = 3 * time.Second

func (s *system) callsInWindow() uint64 {
	before := s.calls()
	time.Sleep(rateWindow)
	return s.calls() - before
}

// Guards against an outage of the object API that callers notice, that stops
// transfers, during which orders are given without a lease, or that ends with
// a burst of calls. An agent dies and an entry daemon is replaced meanwhile.
func TestOutageOfObjectAPI(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 2, Engines: 2, WeightBytes: 4 << 20, ChunkBytes: 64 << 10, LinkRate: 400 << 10}
	s.start(t)
	watch := &revisions{System: s}
	watch.start()
	load := &callers{System: s, Number: 2, Tokens: 30}
	load.start()
	team := filepath.Join(s.dir, "team.yaml")
	c.Assert(os.WriteFile(team, []byte("kind: team\nname: legal\nkey-digests: [\""+digestOfKey("legal")+"\"]\nweight: 2\n"), 0o644), qt.IsNil)

	before := s.callsInWindow()
	s.rollOut("v2")
	s.waitUntil("a transfer is under way", func() bool { return s.transferShare(agentName(1), "v2") > 0.1 })
	head, err := s.api.Get(context.Background(), "config/head")
	c.Assert(err, qt.IsNil)
	s.fault(7000, `{"down":true}`)
	code, _, errOut := s.lentil("apply", team)
	c.Check(code, qt.Equals, commander.ExitUnavailable, qt.Commentf("%s", errOut))
	s.process(agentName(0)).Kill()
	s.startAgent(0)
	s.waitUntil("the agent serves again", func() bool { return s.isReady(s.engineIP(0)) })
	s.waitUntil("the transfer is complete", func() bool { return s.hasTransferred(agentName(1), "v2") })
	// The replacement takes longer than the way from a report to an order.
	s.terminate(entryName(1))
	s.startEntry(1)
	s.waitUntil("the new entry daemon has the configuration of its peer", func() bool { return s.isReady(s.entryIP(1)) })
	for k := range s.Engines {
		c.Check(s.runs(k, "v1"), qt.IsTrue, qt.Commentf("engine %d", k))
	}

	s.fault(7000, `{"down":false}`)
	after := s.callsInWindow()
	t.Logf("%d calls in %s before the outage, %d after it", before, rateWindow, after)
	unchanged, err := s.api.Get(context.Background(), "config/head")
	c.Assert(err, qt.IsNil)
	c.Check(unchanged.Version, qt.Equals, head.Version)
	// Each lease has to be acquired again, which is one write for each.
	c.Check(after <= 2*before+leases, qt.IsTrue, qt.Commentf("%d calls before, %d after", before, after))
	s.waitServing("v2")

	s.fault(7000, `{"delay-ms":2000}`)
	s.set.Add(&parser.Route{Kind: parser.KindRoute, Name: "slow", Model: "draft"})
	published := s.publish()
	s.waitUntil("the revision is in force", func() bool { return watch.inForce(published.Revision) })
	load.stop()
	watch.stop()
	c.Check(load.broken, qt.HasLen, 0)
	c.Check(load.mixed, qt.HasLen, 0)
	c.Check(load.served > 0, qt.IsTrue)
	c.Check(watch.reverted, qt.HasLen, 0)
}

// leases is the number of lease objects of one region: 16 claim, 4 rollout, 1
// status and 4 isolation shards.
const leases = 25

// operator publishes a team of its own again and again. Nobody else changes
// it, so that a conflict would be one with its own write.
type operator struct {
	System *system
	Team   string
	Times  int

	ended   chan struct{}
	err     error
	highest uint64
}

func (o *operator) run() {
	defer close(o.ended)
	p := &publisher.Publisher{Objects: o.System.api, Author: o.Team}
	for n := 0; n < o.Times; {
		current, _, err := p.Load(context.Background())
		if err != nil {
			o.err = err
			return
		}
		ref := parser.Ref{Kind: parser.KindTeam, Name: o.Team}
		edit := publisher.Edit{Ref: ref, After: &parser.Team{
			Kind: parser.KindTeam, Name: o.Team, KeyDigests: []string{digestOfKey(o.Team)}, Weight: n + 1,
			RequestsPerSecond: 100, TokensPerSecond: 10_000, Priority: "standard",
		}}
		result, err := p.Publish(context.Background(), time.Now(), publisher.Request{BaseRevision: current.Number, Edits: []publisher.Edit{edit}})
		var unavailable *adapter.UnavailableError
		if errors.As(err, &unavailable) {
			continue // The operator repeats the command.
		}
		if err != nil {
			o.err = err
			return
		}
		o.highest = result.Revision
		n++
	}
}

// Guards against a change that is lost when two operators race and answers to
// their writes are lost, and against a daemon that has another revision than
// the last or goes back to an earlier one, also when it is restarted.
func TestRacingOperatorsEndInForceEverywhere(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 3, Engines: 1, TwoRegions: true}
	s.start(t)
	watch := &revisions{System: s}
	watch.start()
	// Enough for writes of the publishers among those of the daemons.
	s.fault(7000, `{"lose-answers":40}`)
	var operators []*operator
	for _, team := range []string{"legal", "press"} {
		o := &operator{System: s, Team: team, Times: 10, ended: make(chan struct{})}
		operators = append(operators, o)
		go o.run()
	}
	highest := uint64(0)
	s.process(entryName(2)).Kill()
	s.startEntry(2)
	for _, o := range operators {
		<-o.ended
		c.Assert(o.err, qt.IsNil)
		highest = max(highest, o.highest)
	}
	s.waitUntil("the last revision is in force at each entry daemon", func() bool { return watch.inForce(highest) })
	s.waitUntil("the agent has heard of it", func() bool { return s.revisionOf(agentName(0)) >= highest })
	watch.stop()
	c.Check(watch.reverted, qt.HasLen, 0)
	current, _, err := (&publisher.Publisher{Objects: s.api}).Load(context.Background())
	c.Assert(err, qt.IsNil)
	c.Check(current.Number, qt.Equals, highest)
	for _, o := range operators {
		c.Assert(current.Set.Teams[o.Team], qt.IsNotNil, qt.Commentf("the edits of %s are lost", o.Team))
		c.Check(current.Set.Teams[o.Team].Weight, qt.Equals, o.Times)
	}
}
