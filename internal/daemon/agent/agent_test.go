package agent

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/zeebo/blake3"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/storer"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

const (
	testShard   = "rollouts/1"
	testTimeout = 20 * time.Second
)

// fakeEntry is an entry daemon that passes its reports to the test and confirms
// drains.
type fakeEntry struct {
	messenger.UnimplementedEntryServer
	notice  *messenger.EntryNotice
	reports chan *messenger.AgentReport
	// sessionEnded receives a value when a session ends.
	sessionEnded chan struct{}
}

func (f *fakeEntry) Session(stream messenger.Entry_SessionServer) error {
	if err := stream.Send(f.notice); err != nil {
		return err
	}
	for {
		report, err := stream.Recv()
		if err != nil {
			select {
			case f.sessionEnded <- struct{}{}:
			default:
			}
			return nil //nolint:nilerr // The agent has disconnected.
		}
		select {
		case f.reports <- report:
		default:
		}
		if report.GetReplica().GetState() == messenger.ReplicaState_REPLICA_STATE_DRAINING {
			if err := stream.Send(&messenger.EntryNotice{DrainConfirmed: true}); err != nil {
				return err
			}
		}
	}
}

// waitFor reads reports until the condition is true for one.
func (f *fakeEntry) waitFor(c *qt.C, what string, condition func(r *messenger.AgentReport) bool) *messenger.AgentReport {
	limit := time.After(testTimeout)
	var last *messenger.AgentReport
	for {
		select {
		case r := <-f.reports:
			last = r
			if condition(r) {
				return r
			}
		case <-limit:
			c.Fatalf("no report with %s; the last one is %v", what, last)
		}
	}
}

// discardReports discards the reports that have arrived so far.
func (f *fakeEntry) discardReports() {
	for {
		select {
		case <-f.reports:
		default:
			return
		}
	}
}

func inState(state messenger.ReplicaState) func(*messenger.AgentReport) bool {
	return func(r *messenger.AgentReport) bool { return r.GetReplica().GetState() == state }
}

// fakeSource maps source names to the data of versions.
type fakeSource map[string][]byte

func (s fakeSource) Manifest(_ context.Context, source string) ([]byte, error) {
	return manifestOf(source, s[source]).Canonical(), nil
}

func manifestOf(source string, data []byte) *verifier.Manifest {
	// Reading from memory cannot fail.
	m, _ := verifier.BuildManifest("drafter", source, 1<<20, bytes.NewReader(data))
	return m
}

func (s fakeSource) ReadRange(_ context.Context, source string, offset, length int64) ([]byte, error) {
	data, ok := s[source]
	if !ok {
		return nil, errors.New("no such version")
	}
	return data[offset : offset+length], nil
}

func refOf(source string, data []byte) *messenger.VersionRef {
	return &messenger.VersionRef{Model: "drafter", Name: source, Source: source, Digest: manifestOf(source, data).Digest(), SizeBytes: uint64(len(data))}
}

// process is a running agent.
type process struct {
	agent *Agent
	ctx   context.Context
	ended chan error
}

func (p *process) run() { p.ended <- p.agent.Run(p.ctx) }

// lineWriter sends written lines to a channel.
type lineWriter chan string

func (w lineWriter) Write(p []byte) (int, error) {
	w <- strings.TrimSpace(string(p))
	return len(p), nil
}

func startEntry(c *qt.C) (*fakeEntry, string) {
	entry, server, address := newEntry(c)
	c.Cleanup(server.Stop)
	return entry, address
}

func newEntry(c *qt.C) (*fakeEntry, *grpc.Server, string) {
	entry := &fakeEntry{
		notice:       &messenger.EntryNotice{Revision: 3, Epochs: map[string]uint64{testShard: 5}},
		reports:      make(chan *messenger.AgentReport, 256),
		sessionEnded: make(chan struct{}, 1),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := grpc.NewServer()
	messenger.RegisterEntryServer(server, entry)
	s := &entryServer{server, listener}
	go s.run()
	return entry, server, listener.Addr().String()
}

type entryServer struct {
	server   *grpc.Server
	listener net.Listener
}

func (s *entryServer) run() { _ = s.server.Serve(s.listener) }

// startAgent runs an agent and returns a client of it.
func startAgent(c *qt.C, a *Agent) (messenger.AgentClient, context.CancelFunc, *process) {
	out := make(lineWriter, 1)
	a.Out, a.Log = out, zap.NewNop()
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{agent: a, ctx: ctx, ended: make(chan error, 1)}
	go p.run()
	address := strings.TrimPrefix(<-out, "listening on ")
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return messenger.NewAgentClient(conn), cancel, p
}

func testSettings(entry string) Settings {
	return Settings{
		VM: "model-1", Region: "central", FailureDomain: "central-a", Fleet: "drafters", RPCAddress: "127.0.0.1:0",
		DebugAddress: "127.0.0.1:0", Entries: []string{entry}, DrainTimeout: testTimeout, MaxRunning: 8, MaxWaiting: 8,
	}
}

func order(c *qt.C, client messenger.AgentClient, epoch uint64, req *messenger.OrderRequest) *messenger.OrderReply {
	req.Fence = &messenger.Fence{Shard: testShard, Epoch: epoch}
	reply, err := client.Order(context.Background(), req)
	c.Assert(err, qt.IsNil)
	return reply
}

func activate(ref *messenger.VersionRef) *messenger.OrderRequest {
	return &messenger.OrderRequest{Order: &messenger.OrderRequest_Activate{Activate: &messenger.ActivateOrder{Version: ref}}}
}

func prepare(ref *messenger.VersionRef) *messenger.OrderRequest {
	return &messenger.OrderRequest{Order: &messenger.OrderRequest_Prepare{Prepare: &messenger.PrepareOrder{Version: ref}}}
}

// Guards against faults in the interaction of the components: orders, switches
// of versions, attempts, a restart of the engine, and the drain.
func TestAgentFromOrderToDrain(t *testing.T) {
	c := qt.New(t)
	entry, entryAddress := startEntry(c)
	first := &emulator.Engine{Slots: 4, IgnoreEpoch: true, TokenTime: time.Millisecond}
	handler := &replaceableHandler{current: first}
	engineServer := httptest.NewServer(handler)
	defer engineServer.Close()
	engine := adapter.NewHTTPEngine(strings.TrimPrefix(engineServer.URL, "http://"))
	data := bytes.Repeat([]byte("w"), 5<<20)
	weights := &transferWeights{
		Self: &messenger.Peer{Vm: "model-1", Region: "central"}, Source: fakeSource{"v1": data}, Engine: engine,
		Store: &storer.Storer{}, Log: zap.NewNop(),
	}
	client, stop, p := startAgent(c, &Agent{Settings: testSettings(entryAddress), Engine: engine, Weights: weights})
	defer stop()

	ref := refOf("v1", data)
	report := entry.waitFor(c, "epochs", func(r *messenger.AgentReport) bool { return r.GetEpochs()[testShard] == 5 })
	c.Assert(report.GetReplica().GetState(), qt.Equals, messenger.ReplicaState_REPLICA_STATE_STARTING)
	c.Assert(order(c, client, 4, prepare(ref)).GetAccepted(), qt.IsFalse)
	c.Assert(order(c, client, 5, activate(ref)).GetAccepted(), qt.IsFalse)
	c.Assert(order(c, client, 5, prepare(ref)).GetAccepted(), qt.IsTrue)
	entry.waitFor(c, "a complete transfer", func(r *messenger.AgentReport) bool {
		return len(r.GetTransfers()) == 1 && r.GetTransfers()[0].GetComplete()
	})
	c.Assert(order(c, client, 5, activate(ref)).GetAccepted(), qt.IsTrue)
	ready := inState(messenger.ReplicaState_REPLICA_STATE_READY)
	report = entry.waitFor(c, "state ready", ready)
	c.Assert(report.GetReplica().GetVersion(), qt.Equals, ref.GetDigest())
	c.Assert(report.GetReplica().GetVersionName(), qt.Equals, "v1")
	checkAnswer(c, client, report, "r1")

	second := &emulator.Engine{Slots: 4, TokenTime: time.Millisecond}
	blocked := &blockedLoads{second, make(chan struct{})}
	handler.set(blocked)
	entry.waitFor(c, "a state other than ready after the engine was replaced", func(r *messenger.AgentReport) bool { return !ready(r) })
	close(blocked.open)
	report = entry.waitFor(c, "state ready after the engine was replaced", ready)
	version, digest := second.ContentDigest()
	sum := blake3.Sum256(data)
	c.Assert([]string{version, digest}, qt.DeepEquals, []string{ref.GetDigest(), hex.EncodeToString(sum[:])})
	checkAnswer(c, client, report, "r2")

	running := startAnswer(c, client, report, "r3", 500)
	stop()
	entry.waitFor(c, "state gone", inState(messenger.ReplicaState_REPLICA_STATE_GONE))
	c.Assert(p.agent.executor.InProgress(), qt.Equals, 0)
	tokens, end := readAnswer(c, running)
	c.Assert(tokens, qt.DeepEquals, emulator.Answer(ref.GetDigest(), "r3", 500, 0))
	c.Assert(end.GetTokenCount(), qt.Equals, uint32(500))
	c.Assert(<-p.ended, qt.IsNil)
}

// Guards against an agent that does not replace a session whose entry daemon has
// stopped, and against reports that only one entry daemon receives.
func TestSessionMovesWhenAnEntryDaemonDies(t *testing.T) {
	c := qt.New(t)
	stub := httptest.NewServer(&emulator.Service{})
	defer stub.Close()
	notice := &messenger.EntryNotice{Revision: 3}
	entries := map[string]*fakeEntry{}
	servers := map[string]*grpc.Server{}
	for _, vm := range []string{"entry-1", "entry-2", "entry-3"} {
		entry, server, address := newEntry(c)
		defer server.Stop()
		entry.notice = notice
		entries[address], servers[address] = entry, server
		notice.Entries = append(notice.Entries, &messenger.EntryVM{Vm: vm, RpcAddress: address, Region: "central", FailureDomain: "central-a"})
	}
	order := preferredEntries("model-1", "central", "central-a", notice.Entries, nil)
	settings := testSettings(order[2])
	service := adapter.NewHTTPService(strings.TrimPrefix(stub.URL, "http://"))
	_, stop, p := startAgent(c, &Agent{Settings: settings, Service: service})
	ready := inState(messenger.ReplicaState_REPLICA_STATE_READY)
	entries[order[0]].waitFor(c, "state ready", ready)
	entries[order[1]].waitFor(c, "state ready", ready)
	<-entries[order[2]].sessionEnded
	entries[order[2]].discardReports()
	servers[order[0]].Stop()
	entries[order[2]].waitFor(c, "state ready after another entry daemon died", ready)
	stop()
	gone := inState(messenger.ReplicaState_REPLICA_STATE_GONE)
	entries[order[1]].waitFor(c, "state gone", gone)
	entries[order[2]].waitFor(c, "state gone", gone)
	c.Assert(<-p.ended, qt.IsNil)
}

func startAnswer(c *qt.C, client messenger.AgentClient, report *messenger.AgentReport, request string, tokens uint32) messenger.Agent_AttemptClient {
	stream, err := client.Attempt(context.Background())
	c.Assert(err, qt.IsNil)
	err = stream.Send(&messenger.AttemptFrame{Frame: &messenger.AttemptFrame_Start{Start: &messenger.AttemptStart{
		Id: &messenger.AttemptId{RequestId: request, Number: 1}, Incarnation: report.GetReplica().GetIncarnation(),
		Call: &messenger.AttemptStart_Model{Model: &messenger.ModelCall{
			Model: "drafter", Version: report.GetReplica().GetVersion(), Prompt: request, MaxTokens: tokens,
		}},
	}}})
	c.Assert(err, qt.IsNil)
	accepted, err := stream.Recv()
	c.Assert(err, qt.IsNil)
	c.Assert(accepted.GetAccepted(), qt.IsNotNil, qt.Commentf("%v", accepted))
	return stream
}

func readAnswer(c *qt.C, stream messenger.Agent_AttemptClient) ([]string, *messenger.AttemptEnd) {
	var tokens []string
	for {
		event, err := stream.Recv()
		c.Assert(err, qt.IsNil)
		c.Assert(event.GetBroken(), qt.IsNil)
		tokens = append(tokens, event.GetTokens().GetTokens()...)
		if event.GetEnd() != nil {
			_, err = stream.Recv()
			c.Assert(err, qt.Equals, io.EOF)
			return tokens, event.GetEnd()
		}
	}
}

func checkAnswer(c *qt.C, client messenger.AgentClient, report *messenger.AgentReport, request string) {
	tokens, end := readAnswer(c, startAnswer(c, client, report, request, 5))
	c.Assert(tokens, qt.DeepEquals, emulator.Answer(report.GetReplica().GetVersion(), request, 5, 0))
	c.Assert(end.GetVersion(), qt.Equals, report.GetReplica().GetVersion())
}
