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
	// configurationChangeInterval is the minimum time between two changes. It lets
	// a change reach every daemon before the next.
	configurationChangeInterval = 400 * time.Millisecond
	// configurationWarmUp lets the daemons discover each other.
	configurationWarmUp = 4 * time.Second
	idleDuration        = 4 * time.Second
	agentReportInterval = 2 * time.Second
)

// configurationRun runs entry daemons and agents that share one object API.
type configurationRun struct {
	name    string
	daemons int
	agents  int
	// watchPerDaemon lets every daemon watch the object API instead of the relays
	// only.
	watchPerDaemon bool

	api              *emulator.MemoryObjects
	entries          []*configurationDaemon
	wg               sync.WaitGroup
	propagationDelay *hdrhistogram.Histogram
}

// configurationDaemon is the configuration and membership part of one entry
// daemon.
type configurationDaemon struct {
	messenger.UnimplementedEntryServer
	membership    *monitor.Monitor
	configuration *broadcaster.Broadcaster
	server        *grpc.Server
	listener      net.Listener
	connections   *connector.Pool
}

// benchConfiguration measures the time from an accepted change until it is in
// force on the last daemon, and the calls to the object API. The baseline is one
// watch per daemon.
func benchConfiguration(w io.Writer) error {
	runs := []*configurationRun{}
	for _, n := range []int{8, 16, 32, 64} {
		runs = append(runs, &configurationRun{name: "relays", daemons: n})
	}
	runs = append(runs,
		&configurationRun{name: "relays", daemons: 8, agents: 64},
		&configurationRun{name: "watch-per-daemon", daemons: 64, watchPerDaemon: true},
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
	defer r.wg.Wait()
	defer r.stop()
	defer cancel()
	r.api = &emulator.MemoryObjects{Faults: emulator.ObjectFaults{Delay: objectLatency}}
	r.propagationDelay = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	p := &publisher.Publisher{Objects: r.api, Author: "bench"}
	if err := r.publish(ctx, p, 0); err != nil {
		return err
	}
	if err := r.start(ctx); err != nil {
		return err
	}
	time.Sleep(configurationWarmUp)
	idleCalls := r.objectCalls()
	time.Sleep(idleDuration)
	idleCalls = r.objectCalls() - idleCalls
	before := r.objectCalls()
	for change := range configurationChanges {
		started := time.Now()
		if err := r.publish(ctx, p, change+1); err != nil {
			return err
		}
		accepted := time.Now()
		last, err := r.waitForRevision(ctx, uint64(change+2))
		if err != nil {
			return err
		}
		_ = r.propagationDelay.RecordValue(max(last.Sub(accepted), 0).Microseconds())
		time.Sleep(time.Until(started.Add(configurationChangeInterval)))
	}
	r.print(w, float64(idleCalls)/idleDuration.Seconds(), float64(r.objectCalls()-before)/configurationChanges)
	return nil
}

func (r *configurationRun) print(w io.Writer, idleCallsPerSecond, callsPerChange float64) {
	name := fmt.Sprintf("configuration/%s/daemons-%d/agents-%d", r.name, r.daemons, r.agents)
	fmt.Fprintf(w, "%s/in-force-p50 %.0f ms\n", name, float64(r.propagationDelay.ValueAtQuantile(50))/1000)
	fmt.Fprintf(w, "%s/in-force-p99 %.0f ms\n", name, float64(r.propagationDelay.ValueAtQuantile(99))/1000)
	fmt.Fprintf(w, "%s/quiet-calls %.1f calls/s\n", name, idleCallsPerSecond)
	fmt.Fprintf(w, "%s/calls-per-change %.1f calls\n", name, callsPerChange)
}

// objectCalls returns the number of calls to the object API. A pending watch
// counts as one call per second.
func (r *configurationRun) objectCalls() uint64 {
	stats := r.api.Stats()
	return stats.Reads + stats.Writes
}

// publish publishes a change of a team's weight.
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
		d, err := newConfigurationDaemon(r, i)
		if err != nil {
			return err
		}
		r.entries = append(r.entries, d)
	}
	for _, d := range r.entries {
		d.membership.Seeds = []string{r.entries[0].listener.Addr().String(), r.entries[r.daemons/2].listener.Addr().String()}
		for _, fn := range []func(context.Context) error{d.membership.Run, d.configuration.Run, d.serve} {
			r.wg.Add(1)
			go task{fn, &r.wg}.run(ctx)
		}
	}
	for i := range r.agents {
		a := &reportingAgent{number: i, entry: r.entries[i%r.daemons]}
		r.wg.Add(1)
		go task{a.serve, &r.wg}.run(ctx)
	}
	return nil
}

func (r *configurationRun) stop() {
	for _, d := range r.entries {
		d.server.Stop()
		d.connections.Close()
	}
}

// task is a function that runs until the run ends.
type task struct {
	fn func(context.Context) error
	wg *sync.WaitGroup
}

func (t task) run(ctx context.Context) {
	defer t.wg.Done()
	// The error only reports that the run has ended.
	_ = t.fn(ctx)
}

func newConfigurationDaemon(r *configurationRun, i int) (*configurationDaemon, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &configurationDaemon{listener: l, server: grpc.NewServer(), connections: &connector.Pool{}}
	domain := i % failureDomains
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
		API: r.api, Load: revisionLoader{p}.load, Encode: parser.EncodeRevision, Decode: parser.DecodeRevision,
		IsRelay: d.membership.IsRelay, Peers: d.membership.Peers, Client: d.connections.Entry, Log: log,
	}
	if r.watchPerDaemon {
		d.configuration.IsRelay = nil
	}
	d.membership.Revision = d.configuration.RevisionNumber
	d.membership.RevisionChanged = d.configuration.Changed
	d.membership.OnRevision = d.configuration.ObserveRevision
	messenger.RegisterEntryServer(d.server, d)
	return d, nil
}

func (d *configurationDaemon) serve(context.Context) error { return d.server.Serve(d.listener) }

// Session implements messenger.EntryServer.
func (d *configurationDaemon) Session(stream messenger.Entry_SessionServer) error {
	return d.membership.Session(stream)
}

// Exchange implements messenger.EntryServer.
func (d *configurationDaemon) Exchange(stream messenger.Entry_ExchangeServer) error {
	return d.membership.Exchange(stream)
}

// Revision implements messenger.EntryServer.
func (d *configurationDaemon) Revision(ctx context.Context, req *messenger.RevisionRequest) (*messenger.RevisionReply, error) {
	return d.configuration.Revision(ctx, req)
}

// revisionLoader loads revisions for a broadcaster.
type revisionLoader struct {
	publisher *publisher.Publisher
}

func (l revisionLoader) load(ctx context.Context) (*parser.Revision, error) {
	revision, _, err := l.publisher.Load(ctx)
	return revision, err
}

// waitForRevision waits until the revision is in force on all daemons and returns
// the time at which it was on the last one.
func (r *configurationRun) waitForRevision(ctx context.Context, revision uint64) (time.Time, error) {
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

// reportingAgent keeps a session with an entry daemon open and sends reports, as
// an agent does.
type reportingAgent struct {
	number int
	entry  *configurationDaemon
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
		r := readyReplica(a.number)
		err := stream.Send(&messenger.AgentReport{Replica: r, Load: &messenger.Load{Sequence: sequence, Rate: 1}})
		if err != nil || !waiter.Wait(ctx, agentReportInterval) {
			return err
		}
	}
}
