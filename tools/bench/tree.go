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
	// treeMaxInFlight is the number of concurrent requests to the parent.
	treeMaxInFlight = 4
	// treeRetryInterval is the delay before a chunk that the parent does not have
	// yet is requested again.
	treeRetryInterval = 5 * time.Millisecond
)

// treeReader reads the chunks of a version from the VM's parent in a static
// tree. The root reads from the origin.
type treeReader struct {
	vm       *vm
	parent   messenger.ChunksClient
	manifest *verifier.Manifest
	indexes  chan int
	wg       sync.WaitGroup
	mu       sync.Mutex
	err      error
}

// readFromParent requests all chunks of the version in order. The parent of VM i
// is VM (i-1)/treeDegree.
func (v *vm) readFromParent(ctx context.Context, index int) error {
	r := &treeReader{vm: v, indexes: make(chan int)}
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
	for range treeMaxInFlight {
		r.wg.Add(1)
		go r.run(ctx)
	}
	for i := range r.manifest.Chunks {
		r.indexes <- i
	}
	close(r.indexes)
	r.wg.Wait()
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
	defer r.wg.Done()
	for i := range r.indexes {
		if err := r.readChunk(ctx, i); err != nil {
			r.mu.Lock()
			r.err = err
			r.mu.Unlock()
		}
	}
}

func (r *treeReader) readChunk(ctx context.Context, i int) error {
	data, err := r.fetchChunk(ctx, i)
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

// fetchChunk returns the data of a chunk from the origin or the parent. It polls
// the parent until it has the chunk or ctx ends.
func (r *treeReader) fetchChunk(ctx context.Context, i int) ([]byte, error) {
	if r.parent == nil {
		return r.vm.source.ReadRange(ctx, benchSource, r.manifest.ChunkOffset(i), r.manifest.ChunkBytes(i))
	}
	for ctx.Err() == nil {
		reply, err := r.parent.Get(ctx, &messenger.ChunkRequest{Digest: r.vm.fleet.ref.GetDigest(), Index: uint32(i)})
		if err == nil && len(reply.GetData()) > 0 {
			return reply.GetData(), nil
		}
		time.Sleep(treeRetryInterval)
	}
	return nil, context.Cause(ctx)
}
