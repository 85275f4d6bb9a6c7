package fetcher_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/fetcher"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/storer"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

// chunkTime is the simulated time to transfer one chunk.
const chunkTime = 20 * time.Millisecond

// fakeNetwork connects agents in memory, so that tests can run in the fake time of
// synctest.
type fakeNetwork struct {
	mu      sync.Mutex
	stores  map[string]*storer.Storer
	stopped map[string]bool
	// corrupt holds the addresses of agents that send only corrupt chunks.
	corrupt map[string]bool
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{stores: map[string]*storer.Storer{}, stopped: map[string]bool{}, corrupt: map[string]bool{}}
}

func (n *fakeNetwork) dialer() fetcher.Dialer {
	return func(_ context.Context, address string) (messenger.ChunksClient, io.Closer, error) {
		return &fakeClient{network: n, address: address}, io.NopCloser(nil), nil
	}
}

func (n *fakeNetwork) store(address string) (*storer.Storer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped[address] || n.stores[address] == nil {
		return nil, status.Error(codes.Unavailable, "agent is stopped")
	}
	return n.stores[address], nil
}

func (n *fakeNetwork) kill(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped[address] = true
}

func (n *fakeNetwork) isCorrupt(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.corrupt[address]
}

type fakeClient struct {
	network *fakeNetwork
	address string
}

func (c *fakeClient) Manifest(ctx context.Context, req *messenger.ManifestRequest, _ ...grpc.CallOption) (*messenger.ManifestReply, error) {
	s, err := c.network.store(c.address)
	if err != nil {
		return nil, err
	}
	return s.Manifest(ctx, req)
}

func (c *fakeClient) Get(ctx context.Context, req *messenger.ChunkRequest, _ ...grpc.CallOption) (*messenger.ChunkReply, error) {
	if err := waitChunkTime(ctx); err != nil {
		return nil, err
	}
	s, err := c.network.store(c.address)
	if err != nil {
		return nil, err
	}
	reply, err := s.Get(ctx, req)
	if err == nil && len(reply.GetData()) > 0 && c.network.isCorrupt(c.address) {
		data := append([]byte(nil), reply.GetData()...)
		data[0] ^= 1
		return &messenger.ChunkReply{Data: data}, nil
	}
	return reply, err
}

func (c *fakeClient) Have(ctx context.Context, req *messenger.HaveRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[messenger.HaveReply], error) {
	s, err := c.network.store(c.address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	stream := &fakeStream{ctx: ctx, cancel: cancel, client: c, replies: make(chan *messenger.HaveReply, 16)}
	go stream.run(s, req)
	go stream.loop()
	return stream, nil
}

// fakeStream is the client side of a Have stream.
type fakeStream struct {
	grpc.ClientStream
	ctx     context.Context
	cancel  context.CancelFunc
	client  *fakeClient
	replies chan *messenger.HaveReply
}

func (s *fakeStream) run(store *storer.Storer, req *messenger.HaveRequest) {
	defer s.cancel()
	_ = store.Have(req, &fakeServerStream{stream: s})
}

// loop cancels the stream when the serving agent is killed.
func (s *fakeStream) loop() {
	for waitChunkTime(s.ctx) == nil {
		if _, err := s.client.network.store(s.client.address); err != nil {
			s.cancel()
		}
	}
}

// fakeServerStream is the server side of a Have stream.
type fakeServerStream struct {
	grpc.ServerStream
	stream *fakeStream
}

func (s *fakeServerStream) Context() context.Context { return s.stream.ctx }

func (s *fakeServerStream) Send(reply *messenger.HaveReply) error {
	select {
	case s.stream.replies <- reply:
		return nil
	case <-s.stream.ctx.Done():
		return s.stream.ctx.Err()
	}
}

func (s *fakeStream) Recv() (*messenger.HaveReply, error) {
	select {
	case reply := <-s.replies:
		return reply, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// fakeSource is an in-memory weight source. All agents of a test share it, so that its
// counters are totals.
type fakeSource struct {
	mu       sync.Mutex
	version  emulator.WeightsVersion
	content  []byte
	manifest []byte
	// reads counts the completed reads by offset, and bytes their total length.
	reads map[int64]int
	bytes int64
	// corruptReads is the number of first reads of each chunk that return corrupt data.
	corruptReads int
	// No read completes between stalledFrom and stalledUntil.
	stalledFrom, stalledUntil time.Time
}

func newFakeSource(chunks int) *fakeSource {
	v := emulator.WeightsVersion{Model: "m", Name: "m-1", SizeBytes: int64(chunks)*1024 - 10, ChunkSizeBytes: 1024, Seed: 7}
	content, err := io.ReadAll(v.Reader())
	if err != nil {
		panic(err)
	}
	m, err := v.Manifest()
	if err != nil {
		panic(err)
	}
	return &fakeSource{version: v, content: content, manifest: m.Canonical(), reads: map[int64]int{}}
}

func (s *fakeSource) ref() *messenger.VersionRef {
	return &messenger.VersionRef{Model: "m", Name: "m-1", Digest: verifier.Sum(s.manifest), Source: "m/1"}
}

func (s *fakeSource) Manifest(context.Context, string) ([]byte, error) { return s.manifest, nil }

func (s *fakeSource) ReadRange(ctx context.Context, _ string, offset, length int64) ([]byte, error) {
	if err := waitChunkTime(ctx); err != nil {
		return nil, err
	}
	for now := time.Now(); now.After(s.stalledFrom) && now.Before(s.stalledUntil); now = time.Now() {
		if err := waitChunkTime(ctx); err != nil {
			return nil, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads[offset]++
	s.bytes += length
	data := append([]byte(nil), s.content[offset:offset+length]...)
	if s.reads[offset] <= s.corruptReads {
		data[0] ^= 1
	}
	return data, nil
}

// copiesRead returns the bytes read as a multiple of the size of the version.
func (s *fakeSource) copiesRead() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.bytes) / float64(len(s.content))
}

// stallingSource completes the given number of remaining reads and stalls all later
// ones.
type stallingSource struct {
	*fakeSource
	mu        sync.Mutex
	remaining int
}

func (s *stallingSource) ReadRange(ctx context.Context, source string, offset, length int64) ([]byte, error) {
	s.mu.Lock()
	s.remaining--
	stalled := s.remaining < 0
	s.mu.Unlock()
	if stalled {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return s.fakeSource.ReadRange(ctx, source, offset, length)
}

// waitChunkTime waits for chunkTime or until ctx ends.
func waitChunkTime(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(chunkTime):
		return nil
	}
}

// testAgent runs one transfer.
type testAgent struct {
	vm       string
	store    *storer.Storer
	transfer *fetcher.Transfer
	cancel   context.CancelFunc
	err      error
}

func (a *testAgent) run(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	a.err = a.transfer.Run(ctx)
}

// swarm is a set of agents that run transfers of one version over a fake network.
type swarm struct {
	network *fakeNetwork
	source  *fakeSource
	agents  []*testAgent
	wg      sync.WaitGroup
}

func newSwarm(source *fakeSource, policy string, regions ...string) *swarm {
	s := &swarm{network: newFakeNetwork(), source: source}
	var peers []*messenger.Peer
	for i, region := range regions {
		vm := fmt.Sprintf("vm-%02d", i)
		peers = append(peers, &messenger.Peer{Vm: vm, Address: vm, Region: region})
	}
	for i, peer := range peers {
		store := &storer.Storer{}
		s.network.stores[peer.GetVm()] = store
		t := &fetcher.Transfer{
			Version:      source.ref(),
			Self:         peer,
			Policy:       policy,
			OriginRegion: regions[0],
			Source:       source,
			Dial:         s.network.dialer(),
			Store:        store,
			Seed:         uint64(i + 1),
		}
		t.SetPeers(peers)
		s.agents = append(s.agents, &testAgent{vm: peer.GetVm(), store: store, transfer: t})
	}
	return s
}

func (s *swarm) start(ctx context.Context) {
	for _, a := range s.agents {
		var agentCtx context.Context
		agentCtx, a.cancel = context.WithCancel(ctx)
		s.wg.Add(1)
		go a.run(agentCtx, &s.wg)
	}
}

// kill stops an agent and makes it unreachable.
func (s *swarm) kill(a *testAgent) {
	s.network.kill(a.vm)
	a.cancel()
}
