package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/experimental"
	"google.golang.org/grpc/mem"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/fetcher"
	"github.com/lentilbridge/lentilbridge/pkg/limiter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/storer"
)

const (
	benchSource = "assistant/2"
	originVM    = "origin"
	// unlimitedBytesPerSecond is the rate of a link that is never the bottleneck.
	unlimitedBytesPerSecond = 1e12
)

// messageBuffers has a tier that fits a message with one chunk. The default pool
// would take and clear a buffer of 1 MiB for each message of 64 KiB, which would
// make the processor the bottleneck.
var messageBuffers = mem.NewTieredBufferPool(256, 4<<10, 16<<10, 33<<10, chunkBytes+1<<10, 1<<20)

// fleet runs the origin and the VMs of one trial in this process, connected over
// loopback with rate limits.
type fleet struct {
	trial  trial
	links  *links
	origin *emulator.Weights
	server *http.Server
	ref    *messenger.VersionRef
	vms    []*vm
	wg     sync.WaitGroup
}

// vm is the weight transfer and chunk server of one agent.
type vm struct {
	fleet    *fleet
	peer     *messenger.Peer
	listener net.Listener
	server   *grpc.Server
	store    *storer.Storer
	dial     fetcher.Dialer
	source   adapter.WeightSource
	// limiter limits the rate of the transfer; nil means no limit.
	limiter *limiter.Limiter
	cancel  context.CancelFunc
	killed  bool
	doneAt  time.Time
	err     error
}

func newFleet(t trial) (*fleet, error) {
	bytesPerSecond := func(copies float64) float64 { return copies * weightsBytes / linkWindow.Seconds() }
	f := &fleet{trial: t, links: newLinks(bytesPerSecond(regionCopiesPerWindow))}
	f.origin = &emulator.Weights{
		Sources: map[string]emulator.WeightsVersion{
			benchSource: {Model: "assistant", Name: "assistant-2", SizeBytes: weightsBytes, ChunkSizeBytes: chunkBytes, Seed: benchSeed},
		},
		BytesPerSecond: bytesPerSecond(originCopiesPerWindow),
	}
	f.ref = &messenger.VersionRef{Model: "assistant", Name: "assistant-2", Source: benchSource, SizeBytes: weightsBytes, Digest: f.origin.Digest(benchSource)}
	f.links.add(originVM, originRegion, unlimitedBytesPerSecond)
	l, err := f.listen(originVM)
	if err != nil {
		return nil, err
	}
	f.server = &http.Server{Handler: f.origin, ReadHeaderTimeout: time.Second}
	go serverRunner{f.server}.run(l)
	for i := range t.n {
		region := t.regions[i%len(t.regions)]
		v := &vm{fleet: f, peer: &messenger.Peer{Vm: fmt.Sprintf("vm-%02d", i), Region: region}}
		f.links.add(v.peer.GetVm(), region, bytesPerSecond(vmCopiesPerWindow))
		if err := v.listen(l.Addr().String()); err != nil {
			return nil, err
		}
		f.vms = append(f.vms, v)
	}
	return f, nil
}

// serverRunner serves HTTP until the server is closed.
type serverRunner struct {
	server *http.Server
}

func (o serverRunner) run(l net.Listener) {
	// Serve returns an error when the server is closed.
	_ = o.server.Serve(l)
}

// listen returns a loopback listener behind the VM's links.
func (f *fleet) listen(vm string) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &linkListener{Listener: l, links: f.links, vm: vm}, nil
}

// vmAt returns the VM that listens on an address. Any other address is the
// origin's.
func (f *fleet) vmAt(address string) string {
	for _, v := range f.vms {
		if v.peer.GetAddress() == address {
			return v.peer.GetVm()
		}
	}
	return originVM
}

func (v *vm) listen(originAddress string) error {
	l, err := v.fleet.listen(v.peer.GetVm())
	if err != nil {
		return err
	}
	v.listener = l
	v.peer.Address = l.Addr().String()
	v.store = &storer.Storer{}
	v.server = grpc.NewServer(append(fetcher.ServerOptions(), experimental.BufferPool(messageBuffers))...)
	messenger.RegisterChunksServer(v.server, v.store)
	dial := v.fleet.links.dial(v.peer.GetVm(), v.fleet.vmAt)
	v.dial = fetcher.DialGRPC(grpc.WithContextDialer(dial), experimental.WithBufferPool(messageBuffers))
	transport := &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		MaxIdleConnsPerHost: 4,
	}
	v.source = &adapter.HTTPWeightSource{BaseURL: "http://" + originAddress, Client: &http.Client{Transport: transport}}
	return nil
}

// start serves chunks on all VMs and starts their transfers.
func (f *fleet) start(ctx context.Context) {
	for _, v := range f.vms {
		go v.loop()
	}
	for i, v := range f.vms {
		vmCtx, cancel := context.WithCancel(ctx)
		v.cancel = cancel
		f.wg.Add(1)
		go v.run(vmCtx, i)
	}
}

// loop serves the VM's chunks until the VM stops.
func (v *vm) loop() {
	_ = v.server.Serve(v.listener)
}

// run transfers the version to the VM.
func (v *vm) run(ctx context.Context, index int) {
	defer v.fleet.wg.Done()
	defer v.cancel()
	if v.fleet.trial.method == staticTree {
		v.err = v.readFromParent(ctx, index)
	} else {
		v.err = v.transfer(index).Run(ctx)
	}
	v.doneAt = time.Now()
}

func (v *vm) transfer(index int) *fetcher.Transfer {
	t := &fetcher.Transfer{
		Version:      v.fleet.ref,
		Self:         v.peer,
		Policy:       v.fleet.trial.policy,
		OriginRegion: originRegion,
		Source:       v.source,
		Dial:         v.dial,
		Store:        v.store,
		Limiter:      v.limiter,
		Seed:         uint64(benchSeed + index),
	}
	if v.fleet.trial.method == originOnly {
		return t
	}
	var peers []*messenger.Peer
	for _, other := range v.fleet.vms {
		peers = append(peers, other.peer)
	}
	t.SetPeers(peers)
	return t
}

// kill stops the VM's transfer and its chunk server.
func (v *vm) kill() {
	v.killed = true
	v.cancel()
	v.server.Stop()
}

// wait waits for all transfers and returns the first error of a VM that was not
// killed.
func (f *fleet) wait() error {
	f.wg.Wait()
	for _, v := range f.vms {
		if v.err != nil && !v.killed {
			return fmt.Errorf("%s: %w", v.peer.GetVm(), v.err)
		}
	}
	return nil
}

// lastDone returns when the last of the VMs that were not killed finished.
func (f *fleet) lastDone() time.Time {
	var last time.Time
	for _, v := range f.vms {
		if !v.killed && v.doneAt.After(last) {
			last = v.doneAt
		}
	}
	return last
}

// originCopies returns the copies of the version read from the origin so far.
func (f *fleet) originCopies() float64 {
	return float64(f.origin.Stats()[benchSource].DataBytes) / weightsBytes
}

func (f *fleet) stop() {
	for _, v := range f.vms {
		v.server.Stop()
	}
	_ = f.server.Close()
}
