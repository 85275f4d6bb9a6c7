package storer

import (
	"context"

	"golang.org/x/sync/semaphore"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/pkg/limiter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// maxAddedPerReply bounds one message of a Have stream.
const maxAddedPerReply = 4096

// Manifest returns the canonical manifest of a version.
func (s *Storer) Manifest(_ context.Context, req *messenger.ManifestRequest) (*messenger.ManifestReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[req.GetDigest()]
	if v == nil {
		return nil, &UnknownVersionError{Digest: req.GetDigest()}
	}
	return &messenger.ManifestReply{Manifest: v.raw}, nil
}

// Have sends the bitmap of a version and then the chunks that are added,
// until the version is dropped or the requester leaves.
func (s *Storer) Have(req *messenger.HaveRequest, stream grpc.ServerStreamingServer[messenger.HaveReply]) error {
	v, err := s.beginWatch(req.GetDigest())
	if err != nil {
		return err
	}
	defer s.endWatch()
	bitmap, position, changed := s.snapshot(v)
	if err := stream.Send(&messenger.HaveReply{Bitmap: bitmap}); err != nil {
		return err
	}
	for {
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-changed:
		}
		var added []uint32
		var dropped bool
		added, changed, dropped = s.changesAfter(v, position)
		if dropped {
			return &UnknownVersionError{Digest: req.GetDigest()}
		}
		position += len(added)
		for len(added) > 0 {
			n := min(len(added), maxAddedPerReply)
			if err := stream.Send(&messenger.HaveReply{Added: added[:n]}); err != nil {
				return err
			}
			added = added[n:]
		}
	}
}

// Get returns one chunk, or says that it is missing or that too many requests
// are in progress.
func (s *Storer) Get(ctx context.Context, req *messenger.ChunkRequest) (*messenger.ChunkReply, error) {
	data, reply, err := s.beginUpload(req)
	if reply != nil || err != nil {
		return reply, err
	}
	defer s.endUpload()
	link := limiter.Upload
	if req.GetAcrossRegions() {
		link = limiter.AcrossRegions
	}
	sending := s.sending(req.GetAcrossRegions())
	if err := sending.Acquire(ctx, 1); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	defer sending.Release(1)
	if err := s.Limiter.Wait(ctx, link, len(data)); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	return &messenger.ChunkReply{Data: data}, nil
}

// sending admits MaxUploads requests at once, in the order of their arrival.
// Requests from other regions do not wait behind those of this region, because
// the link between regions is the scarcer one.
func (s *Storer) sending(acrossRegions bool) *semaphore.Weighted {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := &s.slots
	if acrossRegions {
		slots = &s.acrossSlots
	}
	if *slots == nil {
		*slots = semaphore.NewWeighted(int64(orDefault(s.MaxUploads, DefaultMaxUploads)))
	}
	return *slots
}

func (s *Storer) beginWatch(digest string) (*version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[digest]
	if v == nil {
		return nil, &UnknownVersionError{Digest: digest}
	}
	if s.watches >= orDefault(s.MaxWatches, DefaultMaxWatches) {
		return nil, status.Error(codes.ResourceExhausted, "too many streams watch this agent")
	}
	s.watches++
	return v, nil
}

func (s *Storer) endWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches--
}

func (s *Storer) snapshot(v *version) (Bitmap, int, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return v.bitmap.Clone(), len(v.added), v.changed
}

func (s *Storer) changesAfter(v *version, position int) ([]uint32, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return v.added[position:], v.changed, v.dropped
}

func (s *Storer) beginUpload(req *messenger.ChunkRequest) ([]byte, *messenger.ChunkReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[req.GetDigest()]
	if v == nil {
		return nil, nil, &UnknownVersionError{Digest: req.GetDigest()}
	}
	if !v.bitmap.Has(int(req.GetIndex())) {
		return nil, &messenger.ChunkReply{Missing: true}, nil
	}
	if s.uploads >= orDefault(s.MaxUploads, DefaultMaxUploads)+orDefault(s.MaxQueued, DefaultMaxQueued) {
		return nil, &messenger.ChunkReply{Busy: true}, nil
	}
	s.uploads++
	return v.chunks[req.GetIndex()], nil, nil
}

func (s *Storer) endUpload() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uploads--
}
