package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/lentilbridge/lentilbridge/internal/coordination/monitor"
	"github.com/lentilbridge/lentilbridge/internal/operator/publisher"
	"github.com/lentilbridge/lentilbridge/internal/shared/connector"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/broadcaster"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	configurationChanges = 20
	// configurationPause lets a change reach every daemon before the next.
	configurationPause = 400 * time.Millisecond
	// settleTime lets the daemons find each other.
	settleTime    = 4 * time.Second
	quietDuration = 4 * time.Second
	agentReport   = 2 * time.Second
)

// configurationRun is a number of daemons on one object API.
type configurationRun struct {
	name    string
	daemons int
	agents  int
	// watchEach lets every daemon watch instead of the relays.
	watchEach bool

	api     *emulator.MemoryObjects
	entries []*configuredDaemon
	running sync.WaitGroup
	delay   *hdrhistogram.Histogram
}

// configuredDaemon is the configuration and membership of one entry daemon.
type configuredDaemon struct {
	messenger.UnimplementedEntryServer
	membership    *monitor.Monitor
	configuration *broadcaster.Broadcaster
	server        *grpc.Server
	listener      net.Listener
	connections   *connector.Pool
}

// benchConfiguration measures the time from an accepted change until the last
// daemon has it in force, and the calls to the object API.
func benchConfiguration(w io.Writer) error {
	runs := []*configurationRun{}
	for _, n := range []int{8, 16, 32, 64} {
		runs = append(runs, &configurationRun{name: "relays", daemons: n})
	}
	runs = append(runs,
		&configurationRun{name: "relays", daemons: 8, agents: 64},
		&configurationRun{name: "watch-per-daemon", daemons: 64, watchEach: true},
	)
	for _, r := range runs {
		if err := r.measure(w); err != nil {
			return err
		}
	}
	return nil
}

func (r *configurationRun) measure(w io.Writer) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer r.running.Wait()
	defer r.stop()
	defer cancel()
	r.api = &emulator.MemoryObjects{Faults: emulator.ObjectFaults{Delay: objectDelay}}
	r.delay = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	p := &publisher.Publisher{Objects: r.api, Author: "bench"}
	if err := r.publish(ctx, p, 0); err != nil {
		return err
	}
	if err := r.start(ctx); err != nil {
		return err
	}
	time.Sleep(settleTime)
	quiet := r.calls()
	time.Sleep(quietDuration)
	quiet = r.calls() - quiet
	before := r.calls()
	for change := range configurationChanges {
		started := time.Now()
		if err := r.publish(ctx, p, change+1); err != nil {
			return err
		}
		accepted := time.Now()
		last, err := r.waitFor(ctx, uint64(change+2))
		if err != nil {
			return err
		}
		_ = r.delay.RecordValue(max(last.Sub(accepted), 0).Microseconds())
		time.Sleep(time.Until(started.Add(configurationPause)))
	}
	r.print(w, float64(quiet)/quietDuration.Seconds(), float64(r.calls()-before)/configurationChanges)
	return nil
}

func (r *configurationRun) print(w io.Writer, quiet, perChange float64) {
	name := fmt.Sprintf("configuration/%s/daemons-%d/agents-%d", r.name, r.daemons, r.agents)
	fmt.Fprintf(w, "%s/in-force-p50 %.0f ms\n", name, float64(r.delay.ValueAtQuantile(50))/1000)
	fmt.Fprintf(w, "%s/in-force-p99 %.0f ms\n", name, float64(r.delay.ValueAtQuantile(99))/1000)
	fmt.Fprintf(w, "%s/quiet-calls %.1f calls/s\n", name, quiet)
	fmt.Fprintf(w, "%s/calls-per-change %.1f calls\n", name, perChange)
}

// calls counts a waiting watch as one call per second.
func (r *configurationRun) calls() uint64 {
	stats := r.api.Stats()
	return stats.Reads + stats.Writes
}

// publish changes the weight of a team.
func (r *configurationRun) publish(ctx context.Context, p *publisher.Publisher, change int) error {
	team := &parser.Team{Kind: "team", Name: "presses", KeyDigests: []string{}, Weight: change + 1}
	_, err := p.Publish(ctx, time.Now(), publisher.Request{
		Edits:        []publisher.Edit{{Ref: parser.Ref{Kind: "team", Name: team.Name}, After: team}},
		BaseRevision: uint64(change),
	})
	return err
}

func (r *configurationRun) start(ctx context.Context) error {
	for i := range r.daemons {
		d, err := newConfiguredDaemon(r, i)
		if err != nil {
			return err
		}
		r.entries = append(r.entries, d)
	}
	for _, d := range r.entries {
		d.membership.Seeds = []string{r.entries[0].listener.Addr().String(), r.entries[r.daemons/2].listener.Addr().String()}
		for _, serve := range []func(context.Context) error{d.membership.Run, d.configuration.Run, d.serve} {
			r.running.Add(1)
			go served{serve, &r.running}.run(ctx)
		}
	}
	for i := range r.agents {
		a := &reportingAgent{number: i, entry: r.entries[i%r.daemons]}
		r.running.Add(1)
		go served{a.serve, &r.running}.run(ctx)
	}
	return nil
}

func (r *configurationRun) stop() {
	for _, d := range r.entries {
		d.server.Stop()
		d.connections.Close()
	}
}

// served is one part that runs until the run ends.
type served struct {
	serve func(context.Context) error
	done  *sync.WaitGroup
}

func (s served) run(ctx context.Context) {
	defer s.done.Done()
	// The error says that the run has ended.
	_ = s.serve(ctx)
}

func newConfiguredDaemon(r *configurationRun, i int) (*configuredDaemon, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &configuredDaemon{listener: l, server: grpc.NewServer(), connections: &connector.Pool{}}
	domain := i % domains
	log := zap.NewNop()
	d.membership = &monitor.Monitor{
		Self: &messenger.EntryVM{
			Vm: fmt.Sprintf("entry-%d", i), RpcAddress: l.Addr().String(), StartedMs: time.Now().UnixMilli(),
			Region: fmt.Sprintf("r%d", domain%regions), FailureDomain: fmt.Sprintf("d%d", domain),
		},
		API: r.api, Client: d.connections.Entry, Log: log,
	}
	p := &publisher.Publisher{Objects: r.api}
	d.configuration = &broadcaster.Broadcaster{
		API: r.api, Load: loadRevision{p}.load, Encode: parser.EncodeRevision, Decode: parser.DecodeRevision,
		IsRelay: d.membership.IsRelay, Peers: d.membership.Peers, Client: d.connections.Entry, Log: log,
	}
	if r.watchEach {
		d.configuration.IsRelay = nil
	}
	d.membership.Revision = d.configuration.RevisionNumber
	d.membership.RevisionChanged = d.configuration.Changed
	d.membership.OnRevision = d.configuration.ObserveRevision
	messenger.RegisterEntryServer(d.server, d)
	return d, nil
}

func (d *configuredDaemon) serve(context.Context) error { return d.server.Serve(d.listener) }

// Session implements messenger.EntryServer.
func (d *configuredDaemon) Session(stream messenger.Entry_SessionServer) error {
	return d.membership.Session(stream)
}

// Exchange implements messenger.EntryServer.
func (d *configuredDaemon) Exchange(stream messenger.Entry_ExchangeServer) error {
	return d.membership.Exchange(stream)
}

// Revision implements messenger.EntryServer.
func (d *configuredDaemon) Revision(ctx context.Context, req *messenger.RevisionRequest) (*messenger.RevisionReply, error) {
	return d.configuration.Revision(ctx, req)
}

type loadRevision struct {
	publisher *publisher.Publisher
}

func (l loadRevision) load(ctx context.Context) (*parser.Revision, error) {
	revision, _, err := l.publisher.Load(ctx)
	return revision, err
}

// waitFor returns when the last daemon has the revision in force.
func (r *configurationRun) waitFor(ctx context.Context, revision uint64) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	var last time.Time
	for i, d := range r.entries {
		for {
			changed := d.configuration.Changed()
			if d.configuration.RevisionNumber() >= revision {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return last, fmt.Errorf("entry-%d has revision %d, not %d: %w", i, d.configuration.RevisionNumber(), revision, ctx.Err())
			}
		}
		last = time.Now()
	}
	return last, nil
}

// reportingAgent holds a session like an agent.
type reportingAgent struct {
	number int
	entry  *configuredDaemon
}

func (a *reportingAgent) serve(ctx context.Context) error {
	pool := &connector.Pool{}
	defer pool.Close()
	client, err := pool.Entry(a.entry.listener.Addr().String())
	if err != nil {
		return err
	}
	stream, err := client.Session(ctx, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	for sequence := uint64(1); ; sequence++ {
		r := replica(a.number)
		err := stream.Send(&messenger.AgentReport{Replica: r, Load: &messenger.Load{Sequence: sequence, Rate: 1}})
		if err != nil || !waiter.Wait(ctx, agentReport) {
			return err
		}
	}
}
