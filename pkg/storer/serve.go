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

// maxAddedPerReply is the maximum number of chunk indexes in one message of a Have
// stream.
const maxAddedPerReply = 4096

// Manifest implements messenger.ChunksServer. It returns the canonical manifest of a
// version, which is given by its digest or by its model and name.
func (s *Storer) Manifest(_ context.Context, req *messenger.ManifestRequest) (*messenger.ManifestReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[req.GetDigest()]
	if req.GetDigest() == "" {
		v = s.versionNamed(req.GetModel(), req.GetName())
	}
	if v == nil {
		return nil, &UnknownVersionError{Digest: req.GetDigest()}
	}
	return &messenger.ManifestReply{Manifest: v.canonical}, nil
}

// versionNamed returns the version of a model with a name, or nil. It is called with the
// lock held.
func (s *Storer) versionNamed(model, name string) *version {
	for _, v := range s.versions {
		if v.manifest.Model == model && v.manifest.Name == name {
			return v
		}
	}
	return nil
}

// Have implements messenger.ChunksServer. It sends the bitmap of a version and then the
// chunks that are added, until the version is dropped or the client disconnects.
func (s *Storer) Have(req *messenger.HaveRequest, stream grpc.ServerStreamingServer[messenger.HaveReply]) error {
	v, err := s.beginHaveStream(req.GetDigest())
	if err != nil {
		return err
	}
	defer s.endHaveStream()
	bitmap, sent, changed := s.snapshot(v)
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
		added, changed, dropped = s.changesAfter(v, sent)
		if dropped {
			return &UnknownVersionError{Digest: req.GetDigest()}
		}
		sent += len(added)
		for len(added) > 0 {
			n := min(len(added), maxAddedPerReply)
			if err := stream.Send(&messenger.HaveReply{Added: added[:n]}); err != nil {
				return err
			}
			added = added[n:]
		}
	}
}

// Get implements messenger.ChunksServer. It returns one chunk, or a reply that the chunk
// is missing or that too many requests are in progress.
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
	slots := s.slotsFor(req.GetAcrossRegions())
	if err := slots.Acquire(ctx, 1); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	defer slots.Release(1)
	if err := s.Limiter.Wait(ctx, link, len(data)); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	return &messenger.ChunkReply{Data: data}, nil
}

// slotsFor returns the semaphore that admits MaxUploads concurrent uploads in the order
// of their arrival. Requests from other regions have a semaphore of their own and do not
// queue behind those of this region, because the links between regions are scarcer.
func (s *Storer) slotsFor(acrossRegions bool) *semaphore.Weighted {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := &s.uploadSlots
	if acrossRegions {
		slots = &s.crossRegionSlots
	}
	if *slots == nil {
		*slots = semaphore.NewWeighted(int64(orDefault(s.MaxUploads, DefaultMaxUploads)))
	}
	return *slots
}

// beginHaveStream looks up a version and counts a Have stream.
func (s *Storer) beginHaveStream(digest string) (*version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[digest]
	if v == nil {
		return nil, &UnknownVersionError{Digest: digest}
	}
	if s.haveStreams >= orDefault(s.MaxWatches, DefaultMaxWatches) {
		return nil, status.Error(codes.ResourceExhausted, "too many streams watch this agent")
	}
	s.haveStreams++
	return v, nil
}

func (s *Storer) endHaveStream() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.haveStreams--
}

// snapshot returns the bitmap of a version, the number of chunks in it and the channel
// that is closed at the next change.
func (s *Storer) snapshot(v *version) (Bitmap, int, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return v.bitmap.Clone(), len(v.added), v.changed
}

// changesAfter returns the chunks added after the first sent ones, the channel that is
// closed at the next change, and whether the version has been dropped.
func (s *Storer) changesAfter(v *version, sent int) ([]uint32, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return v.added[sent:], v.changed, v.dropped
}

// beginUpload returns the data of a chunk and counts an upload, or returns a reply or an
// error to send instead.
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
