package fetcher

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilbridge/lentilbridge/internal/weights/planner"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/storer"
)

const (
	// minWatchPause and maxWatchPause bound the time between two tries to
	// reach an agent. Agents start their transfers within seconds of each
	// other, so the first tries are close together.
	minWatchPause = 50 * time.Millisecond
	maxWatchPause = 2 * time.Second
)

// watch follows the bitmap of one agent and holds the connection to it.
type watch struct {
	transfer *Transfer
	peer     planner.Peer
	client   messenger.ChunksClient
	closer   io.Closer
	cancel   context.CancelFunc
}

// syncWatches opens and closes watches so that they are those of the plan.
func (t *Transfer) syncWatches(ctx context.Context) {
	wanted := t.plan.Watched()
	for vm, w := range t.watches {
		if !slices.Contains(wanted, w.peer) {
			w.cancel()
			delete(t.watches, vm)
		}
	}
	for _, peer := range wanted {
		if t.watches[peer.VM] == nil {
			t.openWatch(ctx, peer)
		}
	}
}

func (t *Transfer) openWatch(ctx context.Context, peer planner.Peer) {
	client, closer, err := t.Dial(ctx, peer.Address)
	if err != nil {
		t.plan.MarkUnreachable(peer.VM, t.Clock())
		return
	}
	w := &watch{transfer: t, peer: peer, client: client, closer: closer}
	ctx, w.cancel = context.WithCancel(ctx)
	t.watches[peer.VM] = w
	t.running.Add(1)
	go w.run(ctx)
}

func (w *watch) run(ctx context.Context) {
	defer w.transfer.running.Done()
	defer w.closer.Close()
	pause := minWatchPause
	for {
		if w.follow(ctx) {
			pause = minWatchPause
		}
		if !w.send(ctx, peerDown{watch: w}) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, maxWatchPause)
	}
}

// follow reads one Have stream to its end and tells whether it began.
func (w *watch) follow(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := w.client.Have(ctx, &messenger.HaveRequest{
		Digest: w.transfer.digest,
		Vm:     w.transfer.Self.GetVm(),
	})
	if err != nil {
		return false
	}
	first, err := stream.Recv()
	if err != nil {
		return false
	}
	total := len(w.transfer.manifest.Chunks)
	if !w.send(ctx, peerUp{watch: w, chunks: storer.Bitmap(first.GetBitmap()).Indexes(total)}) {
		return true
	}
	for {
		reply, err := stream.Recv()
		if err != nil {
			return true
		}
		if !w.send(ctx, peerAdded{watch: w, chunks: reply.GetAdded()}) {
			return true
		}
	}
}

func (w *watch) send(ctx context.Context, e event) bool {
	select {
	case w.transfer.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

func samePeers(a, b []planner.Peer) bool { return slices.Equal(a, b) }

// planSeed separates the random choices of agents that share a seed.
func planSeed(vm string) uint64 { return xxhash.Sum64String(vm) }
