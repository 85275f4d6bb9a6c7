package monitor_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/lentilbridge/lentilbridge/internal/coordination/monitor"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// network connects monitors in memory. A partition drops messages without an
// error; the streams of a stopped daemon break.
type network struct {
	mu        sync.Mutex
	nodes     map[string]*node
	partition func(from, to string) bool
	bytes     map[string]int
	// demandBytes is the part of bytes that belongs to demand records.
	demandBytes map[string]int
}

// node is one entry daemon.
type node struct {
	*monitor.Monitor
	network *network
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
}

func newNetwork() *network {
	return &network{nodes: map[string]*node{}, bytes: map[string]int{}, demandBytes: map[string]int{}}
}

func (n *network) setPartition(partition func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partition = partition
}

func (n *network) isPartitioned(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partition != nil && n.partition(from, to)
}

func (n *network) start(t *testing.T, m *monitor.Monitor, seeds ...string) *node {
	ctx, cancel := context.WithCancel(t.Context())
	d := &node{Monitor: m, network: n, address: m.Self.GetRpcAddress(), ctx: ctx, cancel: cancel, done: make(chan struct{})}
	m.Seeds = seeds
	m.Client = d.client
	n.mu.Lock()
	n.nodes[d.address] = d
	n.mu.Unlock()
	go d.run()
	return d
}

func (d *node) run() {
	defer close(d.done)
	_ = d.Run(d.ctx)
}

func (d *node) stop() {
	d.cancel()
	<-d.done
}

func (d *node) client(address string) (messenger.EntryClient, error) {
	return &client{from: d.address, to: address, network: d.network}, nil
}

// client calls the daemon at an address.
type client struct {
	messenger.EntryClient
	from, to string
	network  *network
}

func (c *client) dial() (*node, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	target := c.network.nodes[c.to]
	if target == nil || target.ctx.Err() != nil || (c.network.partition != nil && c.network.partition(c.from, c.to)) {
		return nil, status.Error(codes.Unavailable, "no connection")
	}
	return target, nil
}

func (c *client) Exchange(ctx context.Context, _ ...grpc.CallOption) (messenger.Entry_ExchangeClient, error) {
	target, err := c.dial()
	if err != nil {
		return nil, err
	}
	p := newPipe(ctx, c, target)
	go p.runExchange(target)
	return &exchangeClient{pipe: p}, nil
}

// pipe is one stream. Frames in up go to the server, those in down to the
// client.
type pipe struct {
	client   *client
	ctx      context.Context
	cancel   context.CancelFunc
	up, down chan *messenger.ExchangeFrame
	reports  chan *messenger.AgentReport
	notices  chan *messenger.EntryNotice
}

func newPipe(ctx context.Context, c *client, target *node) *pipe {
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(target.ctx, cancel)
	return &pipe{
		client: c, ctx: ctx, cancel: cancel,
		up: make(chan *messenger.ExchangeFrame, 100), down: make(chan *messenger.ExchangeFrame, 100),
		reports: make(chan *messenger.AgentReport, 100), notices: make(chan *messenger.EntryNotice, 1000),
	}
}

func (p *pipe) runExchange(target *node) {
	defer p.cancel()
	_ = target.Exchange(&exchangeServer{pipe: p})
}

func (p *pipe) runSession(target *node) {
	defer p.cancel()
	_ = target.Session(&sessionServer{pipe: p})
}

func transmit[T proto.Message](p *pipe, ch chan T, m T, from, to string) error {
	if p.ctx.Err() != nil {
		return io.EOF
	}
	if p.client.network.isPartitioned(from, to) {
		return nil
	}
	p.client.network.mu.Lock()
	p.client.network.bytes[from+" "+to] += proto.Size(m)
	if frame, ok := any(m).(*messenger.ExchangeFrame); ok {
		p.client.network.demandBytes[from+" "+to] += proto.Size(&messenger.ExchangeFrame{Usages: frame.GetUsages()})
	}
	p.client.network.mu.Unlock()
	select {
	case ch <- proto.CloneOf(m):
		return nil
	case <-p.ctx.Done():
		return io.EOF
	}
}

func receive[T proto.Message](p *pipe, ch chan T) (T, error) {
	select {
	case m := <-ch:
		return m, nil
	case <-p.ctx.Done():
		var none T
		return none, io.EOF
	}
}

type exchangeClient struct {
	grpc.ClientStream
	*pipe
}

func (s *exchangeClient) Send(f *messenger.ExchangeFrame) error {
	return transmit(s.pipe, s.up, f, s.client.from, s.client.to)
}

func (s *exchangeClient) Recv() (*messenger.ExchangeFrame, error) { return receive(s.pipe, s.down) }

type exchangeServer struct {
	grpc.ServerStream
	*pipe
}

func (s *exchangeServer) Context() context.Context { return s.ctx }

func (s *exchangeServer) Send(f *messenger.ExchangeFrame) error {
	return transmit(s.pipe, s.down, f, s.client.to, s.client.from)
}

func (s *exchangeServer) Recv() (*messenger.ExchangeFrame, error) { return receive(s.pipe, s.up) }

type sessionServer struct {
	grpc.ServerStream
	*pipe
}

func (s *sessionServer) Context() context.Context { return s.ctx }

func (s *sessionServer) Send(m *messenger.EntryNotice) error {
	return transmit(s.pipe, s.notices, m, s.client.to, s.client.from)
}

func (s *sessionServer) Recv() (*messenger.AgentReport, error) { return receive(s.pipe, s.reports) }

// agent reports every second to the daemons it has sessions with, until it is
// stopped.
type agent struct {
	network *network
	daemons []*node
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu      sync.Mutex
	replica *messenger.Replica
	load    *messenger.Load
	silent  bool
	notices map[string]*messenger.EntryNotice
}

func (n *network) startAgent(t *testing.T, replica *messenger.Replica, daemons ...*node) *agent {
	ctx, cancel := context.WithCancel(t.Context())
	a := &agent{
		network: n, daemons: daemons, cancel: cancel, replica: replica,
		load: &messenger.Load{Sequence: 1}, notices: map[string]*messenger.EntryNotice{},
	}
	for _, daemon := range daemons {
		a.done.Add(1)
		go a.run(ctx, daemon)
	}
	return a
}

func (a *agent) stop() {
	a.cancel()
	a.done.Wait()
}

// change edits the agent's record and increments its sequence.
func (a *agent) change(edit func(r *messenger.Replica)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.replica = proto.CloneOf(a.replica)
	edit(a.replica)
	a.replica.Sequence++
}

func (a *agent) setSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
}

func (a *agent) notice(daemon *node) *messenger.EntryNotice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.notices[daemon.address]
}

func (a *agent) run(ctx context.Context, daemon *node) {
	defer a.done.Done()
	for ctx.Err() == nil {
		a.session(ctx, daemon)
		sleep(ctx, time.Second)
	}
}

func (a *agent) session(ctx context.Context, daemon *node) {
	c := &client{from: a.replica.GetVm(), to: daemon.address, network: a.network}
	target, err := c.dial()
	if err != nil {
		return
	}
	p := newPipe(ctx, c, target)
	defer p.cancel()
	go p.runSession(target)
	var sent *messenger.Replica
	for p.ctx.Err() == nil {
		a.mu.Lock()
		report := &messenger.AgentReport{Load: a.load}
		if a.replica != sent && !a.silent {
			report.Replica, sent = a.replica, a.replica
		}
		silent := a.silent
		a.mu.Unlock()
		if !silent {
			_ = transmit(p, p.reports, report, c.from, c.to)
		}
		sleep(p.ctx, time.Second)
		a.takeNotices(p, daemon)
	}
}

func (a *agent) takeNotices(p *pipe, daemon *node) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		select {
		case n := <-p.notices:
			merged := proto.CloneOf(n)
			if last := a.notices[daemon.address]; last != nil && len(n.GetEntries()) == 0 {
				merged.Entries = last.GetEntries()
			}
			a.notices[daemon.address] = merged
		default:
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
