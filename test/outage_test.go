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
	"github.com/lentilbridge/lentilbridge/internal/shared/starter"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// revisionWatcher polls the revision that each entry daemon has in force and
// records each return to a lower one.
type revisionWatcher struct {
	System *system

	clients []messenger.EntryClient
	done    chan struct{}
	running sync.WaitGroup

	mu        sync.Mutex
	latest    []uint64
	decreases []string
}

func (r *revisionWatcher) start() {
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

func (r *revisionWatcher) stop() {
	close(r.done)
	r.running.Wait()
}

func (r *revisionWatcher) run() {
	defer r.running.Done()
	for {
		for k := range r.clients {
			r.read(k)
		}
		select {
		case <-r.done:
			return
		case <-time.After(pollInterval):
		}
	}
}

func (r *revisionWatcher) read(k int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := r.clients[k].Revision(ctx, &messenger.RevisionRequest{})
	if err != nil {
		return // The daemon is being replaced or has no configuration yet.
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.GetRevision() < r.latest[k] {
		r.decreases = append(r.decreases, fmt.Sprintf("%s went from revision %d to %d", entryName(k), r.latest[k], reply.GetRevision()))
	}
	r.latest[k] = reply.GetRevision()
}

// inForce reports whether each entry daemon has at least the revision in force.
func (r *revisionWatcher) inForce(revision uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.latest {
		if n < revision {
			return false
		}
	}
	return true
}

// objectAPICalls returns the number of calls that the object API has counted.
func (s *system) objectAPICalls() uint64 {
	var stats emulator.ObjectStats
	s.c.Assert(json.Unmarshal(s.get("http://"+s.platform(7000)+"/stats"), &stats), qt.IsNil)
	return stats.Writes + stats.Reads
}

// lentil runs the command lentil and returns its exit code and output.
func (s *system) lentil(args ...string) (code int, out, errOut string) {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), starter.Env("lentil"), "LENTIL_OBJECT_API=http://"+s.platform(7000), "LENTIL_AUTHOR=mali", "GORACE=atexit_sleep_ms=0")
	var stdout, stderr strings.Builder
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		s.c.Assert(err, qt.IsNil)
	}
	return cmd.ProcessState.ExitCode(), stdout.String(), stderr.String()
}

// mustLentil runs the command lentil, which has to succeed, and returns its
// output.
func (s *system) mustLentil(args ...string) []byte {
	code, out, errOut := s.lentil(args...)
	s.c.Assert(code, qt.Equals, 0, qt.Commentf("lentil %v: %s", args, errOut))
	return []byte(out)
}

// hasLoggedTransfer reports whether the agent has logged that the transfer of a
// version is complete. Statuses do not reach the object API during an outage.
func (s *system) hasLoggedTransfer(vm, version string) bool {
	text, err := os.ReadFile(s.process(vm).Log)
	s.c.Assert(err, qt.IsNil)
	return strings.Contains(string(text), `"transfer is complete","version":"`+s.set.ModelVersions[version].Digest)
}

// callCountWindow is how long calls are counted. It is a measuring interval,
// not a timeout.
const callCountWindow = 3 * time.Second

func (s *system) objectAPICallsInWindow() uint64 {
	before := s.objectAPICalls()
	time.Sleep(callCountWindow)
	return s.objectAPICalls() - before
}

// Guards against an outage of the object API during which requests fail,
// transfers stop or orders are given without a lease, or which ends with a
// burst of calls. An agent dies and an entry daemon is replaced meanwhile.
func TestOutageOfObjectAPI(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 2, Engines: 2, WeightBytes: 4 << 20, ChunkBytes: 64 << 10, LinkRate: 400 << 10}
	s.start(t)
	watch := &revisionWatcher{System: s}
	watch.start()
	load := &loadGenerator{System: s, Callers: 2, Tokens: 30}
	load.start()
	team := filepath.Join(s.dir, "team.yaml")
	c.Assert(os.WriteFile(team, []byte("kind: team\nname: legal\nkey-digests: [\""+keyDigest("legal")+"\"]\nweight: 2\n"), 0o644), qt.IsNil)

	before := s.objectAPICallsInWindow()
	s.rollOut("v2")
	s.waitUntil("a transfer is under way", func() bool { return s.transferredFraction(agentName(1), "v2") > 0.1 })
	head, err := s.api.Get(context.Background(), "config/head")
	c.Assert(err, qt.IsNil)
	s.injectFaults(7000, `{"down":true}`)
	code, _, errOut := s.lentil("apply", team)
	c.Check(code, qt.Equals, commander.ExitUnavailable, qt.Commentf("%s", errOut))
	s.process(agentName(0)).Kill()
	s.startAgent(0)
	s.waitUntil("the agent serves again", func() bool { return s.isReady(s.engineIP(0)) })
	s.waitUntil("the transfer is complete", func() bool { return s.hasLoggedTransfer(agentName(1), "v2") })
	// Replacing the daemon takes longer than an order takes after a report, so
	// that an order without a lease would arrive before the checks.
	s.terminate(entryName(1))
	s.startEntry(1)
	s.waitUntil("the new entry daemon has the configuration of its peer", func() bool { return s.isReady(s.entryIP(1)) })
	for k := range s.Engines {
		c.Check(s.engineRuns(k, "v1"), qt.IsTrue, qt.Commentf("engine %d", k))
	}

	s.injectFaults(7000, `{"down":false}`)
	after := s.objectAPICallsInWindow()
	t.Logf("%d calls in %s before the outage, %d after it", before, callCountWindow, after)
	unchanged, err := s.api.Get(context.Background(), "config/head")
	c.Assert(err, qt.IsNil)
	c.Check(unchanged.Version, qt.Equals, head.Version)
	// Each lease has to be acquired again, with one write.
	c.Check(after <= 2*before+leasesPerRegion, qt.IsTrue, qt.Commentf("%d calls before, %d after", before, after))
	s.waitServing("v2")

	s.injectFaults(7000, `{"delay-ms":2000}`)
	s.set.Add(&parser.Route{Kind: parser.KindRoute, Name: "slow", Model: "draft"})
	published := s.publish()
	s.waitUntil("the revision is in force", func() bool { return watch.inForce(published.Revision) })
	load.stop()
	watch.stop()
	c.Check(load.failed, qt.HasLen, 0)
	c.Check(load.unexpected, qt.HasLen, 0)
	c.Check(load.served > 0, qt.IsTrue)
	c.Check(watch.decreases, qt.HasLen, 0)
}

// leasesPerRegion is the number of lease objects of one region: 16 claim
// shards, 4 rollout shards, 1 status shard and 4 isolation shards.
const leasesPerRegion = 25

// operator publishes its team repeatedly. Nobody else changes the team, so that
// a conflict could only be with the operator's own write.
type operator struct {
	System    *system
	Team      string
	Publishes int

	ended           chan struct{}
	err             error
	highestRevision uint64
}

func (o *operator) run() {
	defer close(o.ended)
	p := &publisher.Publisher{Objects: o.System.api, Author: o.Team}
	for n := 0; n < o.Publishes; {
		current, _, err := p.Load(context.Background())
		if err != nil {
			o.err = err
			return
		}
		ref := parser.Ref{Kind: parser.KindTeam, Name: o.Team}
		edit := publisher.Edit{Ref: ref, After: &parser.Team{
			Kind: parser.KindTeam, Name: o.Team, KeyDigests: []string{keyDigest(o.Team)}, Weight: n + 1,
			RequestsPerSecond: 100, TokensPerSecond: 10_000, Priority: "standard",
		}}
		result, err := p.Publish(context.Background(), time.Now(), publisher.Request{BaseRevision: current.Number, Edits: []publisher.Edit{edit}})
		var unavailable *adapter.UnavailableError
		if errors.As(err, &unavailable) {
			continue // An operator repeats the command.
		}
		if err != nil {
			o.err = err
			return
		}
		o.highestRevision = result.Revision
		n++
	}
}

// Guards against a change that is lost when two operators publish at the same
// time and answers to their writes are lost, and against a daemon that does not
// reach the last revision or returns to an earlier one, also when it is
// restarted.
func TestRacingOperatorsEndInForceEverywhere(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := &system{Entries: 3, Engines: 1, TwoRegions: true}
	s.start(t)
	watch := &revisionWatcher{System: s}
	watch.start()
	// Daemons write as well; 40 lost answers are enough to affect writes of the
	// operators.
	s.injectFaults(7000, `{"lose-answers":40}`)
	var operators []*operator
	for _, team := range []string{"legal", "press"} {
		o := &operator{System: s, Team: team, Publishes: 10, ended: make(chan struct{})}
		operators = append(operators, o)
		go o.run()
	}
	highest := uint64(0)
	s.process(entryName(2)).Kill()
	s.startEntry(2)
	for _, o := range operators {
		<-o.ended
		c.Assert(o.err, qt.IsNil)
		highest = max(highest, o.highestRevision)
	}
	s.waitUntil("the last revision is in force at each entry daemon", func() bool { return watch.inForce(highest) })
	s.waitUntil("the agent reports the last revision", func() bool { return s.revisionOf(agentName(0)) >= highest })
	watch.stop()
	c.Check(watch.decreases, qt.HasLen, 0)
	current, _, err := (&publisher.Publisher{Objects: s.api}).Load(context.Background())
	c.Assert(err, qt.IsNil)
	c.Check(current.Number, qt.Equals, highest)
	for _, o := range operators {
		c.Assert(current.Set.Teams[o.Team], qt.IsNotNil, qt.Commentf("the edits of %s are lost", o.Team))
		c.Check(current.Set.Teams[o.Team].Weight, qt.Equals, o.Publishes)
	}
}
