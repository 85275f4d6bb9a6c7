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
	// The backoff between two attempts to reach an agent doubles from
	// minReconnectBackoff to maxReconnectBackoff. It starts low because agents start
	// their transfers within seconds of each other.
	minReconnectBackoff = 50 * time.Millisecond
	maxReconnectBackoff = 2 * time.Second
)

// watch keeps the connection to one agent and reports the chunks that the agent holds.
type watch struct {
	transfer *Transfer
	peer     planner.Peer
	client   messenger.ChunksClient
	closer   io.Closer
	cancel   context.CancelFunc
}

// syncWatches opens and closes watches so that they match the agents that the planner
// wants to watch.
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
	t.wg.Add(1)
	go w.run(ctx)
}

// run reads Have streams and reconnects with backoff until ctx ends.
func (w *watch) run(ctx context.Context) {
	defer w.transfer.wg.Done()
	defer w.closer.Close()
	backoff := minReconnectBackoff
	for {
		if w.readHaveStream(ctx) {
			backoff = minReconnectBackoff
		}
		if !w.sendEvent(ctx, peerDisconnected{watch: w}) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxReconnectBackoff)
	}
}

// readHaveStream reads one Have stream to its end. It reports whether the first reply,
// which contains the bitmap of held chunks, arrived.
func (w *watch) readHaveStream(ctx context.Context) bool {
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
	if !w.sendEvent(ctx, peerConnected{watch: w, chunks: storer.Bitmap(first.GetBitmap()).Indexes(total)}) {
		return true
	}
	for {
		reply, err := stream.Recv()
		if err != nil {
			return true
		}
		if !w.sendEvent(ctx, chunksAdded{watch: w, chunks: reply.GetAdded()}) {
			return true
		}
	}
}

// sendEvent sends an event to the loop. It reports false if ctx ended first.
func (w *watch) sendEvent(ctx context.Context, e event) bool {
	select {
	case w.transfer.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// vmSeed derives a seed from the VM name, so that agents with the same Transfer.Seed
// make different random choices.
func vmSeed(vm string) uint64 { return xxhash.Sum64String(vm) }
