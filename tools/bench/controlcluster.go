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

// homeFailureDomain is the measured failure domain.
const homeFailureDomain = "home"

// controlCluster runs entry daemons and agents in this process, connected over
// loopback.
type controlCluster struct {
	size         controlSize
	daemons      []*controlDaemon
	otherDaemons []*controlDaemon
	wg           sync.WaitGroup
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

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingListener counts the bytes of accepted connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l.bytes}, nil
}

// dial opens outbound connections of the daemon and counts their bytes.
func (d *controlDaemon) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, &d.bytes}, nil
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
	if c.size.teamUsage {
		seed := uint64(len(c.daemons) + len(c.otherDaemons))
		d.monitor.Usage = (&randomUsage{random: rand.New(rand.NewPCG(seed, seed))}).usage
	}
	d.server = grpc.NewServer(connector.ServerOptions()...)
	messenger.RegisterEntryServer(d.server, d)
	c.wg.Add(2)
	go controlServer{d}.run(&countingListener{listener, &d.bytes}, &c.wg)
	go d.run(ctx, &c.wg)
	return d, nil
}

// controlServer serves RPCs from other daemons and agents.
type controlServer struct {
	*controlDaemon
}

func (d controlServer) run(l net.Listener, wg *sync.WaitGroup) {
	defer wg.Done()
	_ = d.server.Serve(l)
}

func (d *controlDaemon) run(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	_ = d.monitor.Run(ctx)
}

func startControlCluster(ctx context.Context, size controlSize) (*controlCluster, error) {
	c := &controlCluster{size: size}
	var seeds []string
	for i := range size.daemons {
		d, err := c.startDaemon(ctx, fmt.Sprintf("entry-home-%04d", i), homeFailureDomain, seeds...)
		if err != nil {
			return c, err
		}
		if i == 0 {
			seeds = []string{d.monitor.Self.GetRpcAddress()}
		}
		c.daemons = append(c.daemons, d)
	}
	for i := range otherFailureDomains {
		d, err := c.startDaemon(ctx, fmt.Sprintf("entry-far-%d", i), fmt.Sprintf("far-%d", i), seeds...)
		if err != nil {
			return c, err
		}
		c.otherDaemons = append(c.otherDaemons, d)
		c.startSimulatedDomain(ctx, d, i)
	}
	// Agents connect only once the daemons have discovered each other.
	for len(c.daemons[size.daemons-1].monitor.Entries(time.Now())) < size.daemons+otherFailureDomains {
		time.Sleep(100 * time.Millisecond)
	}
	c.startAgents(ctx)
	return c, nil
}

// close stops all daemons and agents and waits for their goroutines.
func (c *controlCluster) close(cancel context.CancelFunc) {
	cancel()
	for _, d := range append(c.daemons, c.otherDaemons...) {
		d.pool.Close()
		d.server.Stop()
	}
	c.wg.Wait()
}

// hasFullDirectory reports whether every daemon of the measured failure domain
// knows all replicas.
func (c *controlCluster) hasFullDirectory(now time.Time) bool {
	for _, d := range c.daemons {
		if len(d.monitor.Replicas(now)) < c.size.replicas+c.size.otherReplicas {
			return false
		}
	}
	return true
}

// bytes returns the traffic of each daemon so far.
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

// startSimulatedDomain sends the daemon that represents another failure domain
// the directory of that domain: replicas with their loads, and daemons that exist
// only in the directory.
func (c *controlCluster) startSimulatedDomain(ctx context.Context, d *controlDaemon, i int) {
	domain := &simulatedDomain{ctx: ctx, domain: d.monitor.Self.GetFailureDomain()}
	for n := range c.size.otherReplicas / otherFailureDomains {
		domain.replicas = append(domain.replicas, controlReplica(domain.domain, n))
	}
	for n := range c.size.otherDaemons / otherFailureDomains {
		// Leaving daemons are not chosen as relays.
		domain.entries = append(domain.entries, &messenger.EntryVM{
			Vm: fmt.Sprintf("entry-dark-%d-%04d", i, n), RpcAddress: "127.0.0.1:1", PublicAddress: "127.0.0.1:1",
			Region: "region", FailureDomain: fmt.Sprintf("dark-%d", i), StartedMs: 1, Leaving: true,
		})
	}
	c.wg.Add(1)
	go domain.run(d.monitor, &c.wg)
}

// simulatedDomain is the client side of an Exchange stream without a connection.
type simulatedDomain struct {
	grpc.ServerStream
	ctx      context.Context
	domain   string
	replicas []*messenger.Replica
	entries  []*messenger.EntryVM
	sent     int
}

func (s *simulatedDomain) run(m *monitor.Monitor, wg *sync.WaitGroup) {
	defer wg.Done()
	_ = m.Exchange(s)
}

func (s *simulatedDomain) Context() context.Context { return s.ctx }

func (s *simulatedDomain) Send(*messenger.ExchangeFrame) error { return s.ctx.Err() }

// Recv returns the whole directory first, then half of the loads each second.
func (s *simulatedDomain) Recv() (*messenger.ExchangeFrame, error) {
	s.sent++
	if s.sent == 1 {
		return &messenger.ExchangeFrame{
			Sender: &messenger.EntryVM{
				Vm: "entry-phantom-" + s.domain, RpcAddress: "127.0.0.1:1", Region: "region",
				FailureDomain: s.domain, Leaving: true, StartedMs: 1,
			},
			Entries: s.entries, Replicas: s.replicas,
		}, nil
	}
	select {
	case <-s.ctx.Done():
		return nil, io.EOF
	case <-time.After(time.Second):
	}
	frame := &messenger.ExchangeFrame{}
	for i := s.sent % 2; i < len(s.replicas); i += 2 {
		frame.Loads = append(frame.Loads, &messenger.ReplicaLoad{Vm: s.replicas[i].GetVm(), Load: controlLoad(s.sent)})
	}
	return frame, nil
}

// controlAgent sends a report to two daemons once a second.
type controlAgent struct {
	replica *messenger.Replica
	load    *atomic.Int64
	// changeInterval is the time between changes of the replica's directory entry;
	// 0 means no changes.
	changeInterval time.Duration
}

func (c *controlCluster) startAgents(ctx context.Context) {
	byVM := map[string]*controlDaemon{}
	var entries []*messenger.EntryVM
	for _, d := range c.daemons {
		byVM[d.monitor.Self.GetVm()] = d
		entries = append(entries, d.monitor.Self)
	}
	for i := range c.size.replicas {
		a := &controlAgent{replica: controlReplica(homeFailureDomain, i), load: new(atomic.Int64)}
		if c.size.changesPerSecond > 0 {
			a.changeInterval = time.Second * time.Duration(c.size.replicas) / time.Duration(c.size.changesPerSecond)
		}
		order := monitor.SessionOrder(a.replica.GetVm(), homeFailureDomain, "region", entries)
		for _, e := range order[:min(2, len(order))] {
			c.wg.Add(1)
			go a.run(ctx, byVM[e.GetVm()].monitor.Self.GetRpcAddress(), i, &c.wg)
		}
	}
}

func (a *controlAgent) run(ctx context.Context, address string, i int, wg *sync.WaitGroup) {
	defer wg.Done()
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return
	}
	defer conn.Close()
	stream, err := messenger.NewEntryClient(conn).Session(ctx)
	if err != nil {
		return
	}
	wg.Add(1)
	go noticeReader{a}.run(stream, wg)
	started := time.Now()
	// Stagger the reports of the agents over one second.
	time.Sleep(time.Duration(i%100) * 10 * time.Millisecond)
	sent := uint64(0)
	for n := 1; ctx.Err() == nil; n++ {
		replica := proto.CloneOf(a.replica)
		if a.changeInterval > 0 {
			offset := time.Duration(i) * a.changeInterval / 1000
			replica.Sequence += uint64((time.Since(started) + offset) / a.changeInterval)
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

// noticeReader reads and discards the notices of one session.
type noticeReader struct {
	*controlAgent
}

func (a noticeReader) run(stream messenger.Entry_SessionClient, wg *sync.WaitGroup) {
	defer wg.Done()
	for {
		if _, err := stream.Recv(); err != nil {
			return
		}
	}
}
