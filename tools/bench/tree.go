package main

import (
	"context"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

const (
	// treeDegree is the number of children of each VM.
	treeDegree = 2
	// treeInFlight is the number of requests to the parent at once.
	treeInFlight = 4
	// treePoll is the pause before a chunk that the parent lacks is asked for
	// again.
	treePoll = 5 * time.Millisecond
)

// treeReader reads chunks from the VM's parent in a static tree; the root
// reads from the origin.
type treeReader struct {
	vm       *vm
	parent   messenger.ChunksClient
	manifest *verifier.Manifest
	next     chan int
	wait     sync.WaitGroup
	mu       sync.Mutex
	err      error
}

// readFromParent reads the whole version in order.
func (v *vm) readFromParent(ctx context.Context, index int) error {
	r := &treeReader{vm: v, next: make(chan int)}
	if index > 0 {
		client, closer, err := v.dial(ctx, v.fleet.vms[(index-1)/treeDegree].peer.GetAddress())
		if err != nil {
			return err
		}
		defer closer.Close()
		r.parent = client
	}
	if err := r.readManifest(ctx); err != nil {
		return err
	}
	for range treeInFlight {
		r.wait.Add(1)
		go r.run(ctx)
	}
	for i := range r.manifest.Chunks {
		r.next <- i
	}
	close(r.next)
	r.wait.Wait()
	if r.err != nil {
		return r.err
	}
	_, _, err := v.store.Reader(v.fleet.ref.GetDigest())
	return err
}

func (r *treeReader) readManifest(ctx context.Context) error {
	raw, err := r.vm.source.Manifest(ctx, benchSource)
	if err != nil {
		return err
	}
	r.manifest, err = verifier.ParseExpectedManifest(raw, r.vm.fleet.ref.GetDigest())
	if err != nil {
		return err
	}
	_, err = r.vm.store.AddVersion(r.manifest)
	return err
}

func (r *treeReader) run(ctx context.Context) {
	defer r.wait.Done()
	for i := range r.next {
		if err := r.readChunk(ctx, i); err != nil {
			r.mu.Lock()
			r.err = err
			r.mu.Unlock()
		}
	}
}

func (r *treeReader) readChunk(ctx context.Context, i int) error {
	data, err := r.read(ctx, i)
	if err != nil {
		return err
	}
	chunk, err := verifier.VerifyChunk(r.manifest, i, data)
	if err != nil {
		return err
	}
	_, err = r.vm.store.AddChunk(r.vm.fleet.ref.GetDigest(), chunk)
	return err
}

func (r *treeReader) read(ctx context.Context, i int) ([]byte, error) {
	if r.parent == nil {
		return r.vm.source.ReadRange(ctx, benchSource, r.manifest.ChunkOffset(i), r.manifest.ChunkBytes(i))
	}
	for ctx.Err() == nil {
		reply, err := r.parent.Get(ctx, &messenger.ChunkRequest{Digest: r.vm.fleet.ref.GetDigest(), Index: uint32(i)})
		if err == nil && len(reply.GetData()) > 0 {
			return reply.GetData(), nil
		}
		time.Sleep(treePoll)
	}
	return nil, context.Cause(ctx)
}
