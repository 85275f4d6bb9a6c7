package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/lentilbridge/lentilbridge/internal/coordination/monitor"
	"github.com/lentilbridge/lentilbridge/internal/shared/connector"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const homeDomain = "home"

// controlCluster is a set of daemons and agents in this process that talk over
// loopback.
type controlCluster struct {
	size    controlSize
	daemons []*controlDaemon
	others  []*controlDaemon
	workers sync.WaitGroup
}

// controlDaemon is one entry daemon with its listener.
type controlDaemon struct {
	messenger.UnimplementedEntryServer
	monitor *monitor.Monitor
	pool    connector.Pool
	server  *grpc.Server
	bytes   atomic.Int64
}

func (d *controlDaemon) Session(s messenger.Entry_SessionServer) error { return d.monitor.Session(s) }

func (d *controlDaemon) Exchange(s messenger.Entry_ExchangeServer) error {
	return d.monitor.Exchange(s)
}

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, l.bytes}, nil
}

// dial is the dialer of a daemon's outbound links.
func (d *controlDaemon) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, &d.bytes}, nil
}

func (c *controlCluster) startDaemon(ctx context.Context, vm, domain string, seeds ...string) (*controlDaemon, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &controlDaemon{}
	d.pool.Options = []grpc.DialOption{grpc.WithContextDialer(d.dial)}
	d.monitor = &monitor.Monitor{
		Self: &messenger.EntryVM{
			Vm: vm, RpcAddress: listener.Addr().String(), PublicAddress: listener.Addr().String(),
			Region: "region", FailureDomain: domain,
		},
		Seeds: seeds, Client: d.pool.Entry,
		Revision: func() uint64 { return 4711 },
	}
	if c.size.usage {
		seed := uint64(len(c.daemons) + len(c.others))
		d.monitor.Usage = (&changingUsage{random: rand.New(rand.NewPCG(seed, seed))}).usage
	}
	d.server = grpc.NewServer(connector.ServerOptions()...)
	messenger.RegisterEntryServer(d.server, d)
	c.workers.Add(2)
	go controlServer{d}.run(&countedListener{listener, &d.bytes}, &c.workers)
	go d.run(ctx, &c.workers)
	return d, nil
}

// controlServer serves the calls of other daemons and agents.
type controlServer struct {
	*controlDaemon
}

func (d controlServer) run(l net.Listener, workers *sync.WaitGroup) {
	defer workers.Done()
	_ = d.server.Serve(l)
}

func (d *controlDaemon) run(ctx context.Context, workers *sync.WaitGroup) {
	defer workers.Done()
	_ = d.monitor.Run(ctx)
}

func startControlCluster(ctx context.Context, size controlSize) (*controlCluster, error) {
	c := &controlCluster{size: size}
	var seeds []string
	for i := range size.daemons {
		d, err := c.startDaemon(ctx, fmt.Sprintf("entry-home-%04d", i), homeDomain, seeds...)
		if err != nil {
			return c, err
		}
		if i == 0 {
			seeds = []string{d.monitor.Self.GetRpcAddress()}
		}
		c.daemons = append(c.daemons, d)
	}
	for i := range otherDomains {
		d, err := c.startDaemon(ctx, fmt.Sprintf("entry-far-%d", i), fmt.Sprintf("far-%d", i), seeds...)
		if err != nil {
			return c, err
		}
		c.others = append(c.others, d)
		c.startPhantom(ctx, d, i)
	}
	// The daemons find each other before the agents choose among them.
	for len(c.daemons[size.daemons-1].monitor.Entries(time.Now())) < size.daemons+otherDomains {
		time.Sleep(100 * time.Millisecond)
	}
	c.startAgents(ctx)
	return c, nil
}

// close ends everything that the cluster started.
func (c *controlCluster) close(cancel context.CancelFunc) {
	cancel()
	for _, d := range append(c.daemons, c.others...) {
		d.pool.Close()
		d.server.Stop()
	}
	c.workers.Wait()
}

func (c *controlCluster) isComplete(now time.Time) bool {
	for _, d := range c.daemons {
		if len(d.monitor.Replicas(now)) < c.size.replicas+c.size.otherReplicas {
			return false
		}
	}
	return true
}

func (c *controlCluster) bytes() []int64 {
	all := make([]int64, len(c.daemons))
	for i, d := range c.daemons {
		all[i] = d.bytes.Load()
	}
	return all
}

func controlReplica(domain string, i int) *messenger.Replica {
	return &messenger.Replica{
		Vm: fmt.Sprintf("replica-%s-%04d", domain, i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		Region: "region", FailureDomain: domain, Fleet: fmt.Sprintf("fleet-%d", i%controlModels),
		Model:   fmt.Sprintf("model-%d", i%controlModels),
		Version: fmt.Sprintf("%064d", i%controlModels), VersionName: "version-12",
		Incarnation: fmt.Sprintf("%016x", i), State: messenger.ReplicaState_REPLICA_STATE_READY,
		Sequence: 1, StartedMs: 1_790_000_000_000,
	}
}

func controlLoad(sequence int) *messenger.Load {
	return &messenger.Load{
		Queued: uint32(sequence % 7), Running: uint32(20 + sequence%11), Rate: 812.5,
		Sequence: uint64(sequence),
	}
}

// startPhantom feeds the daemon that stands for another failure domain: its
// replicas with their loads, and daemons that are only in the directory.
func (c *controlCluster) startPhantom(ctx context.Context, d *controlDaemon, i int) {
	p := &phantom{ctx: ctx, domain: d.monitor.Self.GetFailureDomain()}
	for n := range c.size.otherReplicas / otherDomains {
		p.replicas = append(p.replicas, controlReplica(p.domain, n))
	}
	for n := range c.size.otherDaemons / otherDomains {
		// They leave, so that nobody takes them for relays.
		p.entries = append(p.entries, &messenger.EntryVM{
			Vm: fmt.Sprintf("entry-dark-%d-%04d", i, n), RpcAddress: "127.0.0.1:1", PublicAddress: "127.0.0.1:1",
			Region: "region", FailureDomain: fmt.Sprintf("dark-%d", i), StartedMs: 1, Leaving: true,
		})
	}
	c.workers.Add(1)
	go p.run(d.monitor, &c.workers)
}

// phantom is the other end of an Exchange stream without a connection.
type phantom struct {
	grpc.ServerStream
	ctx      context.Context
	domain   string
	replicas []*messenger.Replica
	entries  []*messenger.EntryVM
	sent     int
}

func (p *phantom) run(m *monitor.Monitor, workers *sync.WaitGroup) {
	defer workers.Done()
	_ = m.Exchange(p)
}

func (p *phantom) Context() context.Context { return p.ctx }

func (p *phantom) Send(*messenger.ExchangeFrame) error { return p.ctx.Err() }

// Recv gives the whole directory first, then half of the loads each second.
func (p *phantom) Recv() (*messenger.ExchangeFrame, error) {
	p.sent++
	if p.sent == 1 {
		return &messenger.ExchangeFrame{
			Sender: &messenger.EntryVM{
				Vm: "entry-phantom-" + p.domain, RpcAddress: "127.0.0.1:1", Region: "region",
				FailureDomain: p.domain, Leaving: true, StartedMs: 1,
			},
			Entries: p.entries, Replicas: p.replicas,
		}, nil
	}
	select {
	case <-p.ctx.Done():
		return nil, io.EOF
	case <-time.After(time.Second):
	}
	frame := &messenger.ExchangeFrame{}
	for i := p.sent % 2; i < len(p.replicas); i += 2 {
		frame.Loads = append(frame.Loads, &messenger.ReplicaLoad{Vm: p.replicas[i].GetVm(), Load: controlLoad(p.sent)})
	}
	return frame, nil
}

// controlAgent reports to two daemons once a second.
type controlAgent struct {
	replica *messenger.Replica
	load    *atomic.Int64
	// changeEvery is the interval of changes of the record; 0 is never.
	changeEvery time.Duration
}

func (c *controlCluster) startAgents(ctx context.Context) {
	byVM := map[string]*controlDaemon{}
	var entries []*messenger.EntryVM
	for _, d := range c.daemons {
		byVM[d.monitor.Self.GetVm()] = d
		entries = append(entries, d.monitor.Self)
	}
	for i := range c.size.replicas {
		a := &controlAgent{replica: controlReplica(homeDomain, i), load: new(atomic.Int64)}
		if c.size.changes > 0 {
			a.changeEvery = time.Second * time.Duration(c.size.replicas) / time.Duration(c.size.changes)
		}
		order := monitor.SessionOrder(a.replica.GetVm(), homeDomain, "region", entries)
		for _, e := range order[:min(2, len(order))] {
			c.workers.Add(1)
			go a.run(ctx, byVM[e.GetVm()].monitor.Self.GetRpcAddress(), i, &c.workers)
		}
	}
}

func (a *controlAgent) run(ctx context.Context, address string, i int, workers *sync.WaitGroup) {
	defer workers.Done()
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return
	}
	defer conn.Close()
	stream, err := messenger.NewEntryClient(conn).Session(ctx)
	if err != nil {
		return
	}
	workers.Add(1)
	go noticeReader{a}.run(stream, workers)
	started := time.Now()
	// The agents do not report all at the same moment.
	time.Sleep(time.Duration(i%100) * 10 * time.Millisecond)
	sent := uint64(0)
	for n := 1; ctx.Err() == nil; n++ {
		replica := proto.CloneOf(a.replica)
		if a.changeEvery > 0 {
			offset := time.Duration(i) * a.changeEvery / 1000
			replica.Sequence += uint64((time.Since(started) + offset) / a.changeEvery)
		}
		report := &messenger.AgentReport{Load: controlLoad(n), Revision: 4711}
		if replica.GetSequence() != sent {
			report.Replica, sent = replica, replica.GetSequence()
		}
		if stream.Send(report) != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// noticeReader takes the notices of one session.
type noticeReader struct {
	*controlAgent
}

func (a noticeReader) run(stream messenger.Entry_SessionClient, workers *sync.WaitGroup) {
	defer workers.Done()
	for {
		if _, err := stream.Recv(); err != nil {
			return
		}
	}
}
