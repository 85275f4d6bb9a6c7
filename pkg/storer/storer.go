// Package storer keeps the verified chunks of weights versions in memory and serves them
// to other agents.
package storer

import (
	"fmt"
	"io"
	"sync"

	"golang.org/x/sync/semaphore"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/pkg/limiter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

// Default limits of a Storer.
const (
	// DefaultMaxUploads is the number of concurrent uploads, counted separately for
	// this region and for other regions. A few are enough to use the whole link. With
	// more, each chunk takes longer to arrive, and its receiver can serve it only later.
	DefaultMaxUploads = 3
	// DefaultMaxQueued is the number of requests that may wait for an upload slot.
	DefaultMaxQueued = 16
	// DefaultMaxWatches is the number of open Have streams, over all versions.
	DefaultMaxWatches = 1024
	// DefaultMaxVersions is enough for the running version, the next one and
	// adapters.
	DefaultMaxVersions = 16
)

// Storer stores versions in memory. Exported fields must be set before use. It implements
// messenger.ChunksServer.
type Storer struct {
	messenger.UnimplementedChunksServer

	// Limiter limits the upload rate; nil means no limit.
	Limiter *limiter.Limiter
	// MaxBytes limits the total size of all versions; 0 means no limit.
	MaxBytes int64
	// MaxUploads, MaxQueued, MaxWatches and MaxVersions replace the defaults if
	// positive.
	MaxUploads  int
	MaxQueued   int
	MaxWatches  int
	MaxVersions int

	mu       sync.Mutex
	versions map[string]*version
	// reservedBytes is the total size of all versions when complete.
	reservedBytes int64
	// uploads counts the requests in progress, including those that wait for a slot.
	uploads int
	// uploadSlots admits requests from this region.
	uploadSlots *semaphore.Weighted
	// crossRegionSlots admits requests from other regions.
	crossRegionSlots *semaphore.Weighted
	haveStreams      int
}

// version is a version that is being transferred or is complete.
type version struct {
	manifest  *verifier.Manifest
	canonical []byte
	chunks    [][]byte
	bitmap    Bitmap
	// held is the number of chunks held.
	held int
	// added lists the chunks in the order in which they were added. A Have stream only
	// has to remember how many of them it has sent.
	added []uint32
	// changed is closed and replaced when a chunk is added or the version is dropped.
	changed chan struct{}
	dropped bool
}

// Progress counts the chunks of a version.
type Progress struct {
	Held, Total int
}

// Complete reports whether all chunks are held.
func (p Progress) Complete() bool { return p.Total > 0 && p.Held == p.Total }

// UnknownVersionError reports a version that is not in the store.
type UnknownVersionError struct {
	Digest string
}

func (e *UnknownVersionError) Error() string { return "version " + e.Digest + " is not held" }

// GRPCStatus maps the error to the code NotFound.
func (e *UnknownVersionError) GRPCStatus() *status.Status {
	return status.New(codes.NotFound, e.Error())
}

// IncompleteError reports a version with missing chunks.
type IncompleteError struct {
	Digest      string
	Held, Total int
}

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("version %s is incomplete: %d of %d chunks", e.Digest, e.Held, e.Total)
}

// CapacityError reports a version that exceeds MaxBytes or MaxVersions.
type CapacityError struct {
	Digest   string
	Bytes    int64
	MaxBytes int64
	Versions int
}

func (e *CapacityError) Error() string {
	return fmt.Sprintf("version %s of %d bytes exceeds the limits of the store: %d versions held, limit %d bytes", e.Digest, e.Bytes, e.Versions, e.MaxBytes)
}

// AddVersion adds a version without chunks and returns its digest. If the version is already
// in the store, it keeps its chunks, so that a transfer can resume.
func (s *Storer) AddVersion(m *verifier.Manifest) (string, error) {
	canonical := m.Canonical()
	digest := verifier.Sum(canonical)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions[digest] != nil {
		return digest, nil
	}
	tooManyVersions := len(s.versions) >= orDefault(s.MaxVersions, DefaultMaxVersions)
	exceedsBytes := s.MaxBytes > 0 && s.reservedBytes+m.SizeBytes > s.MaxBytes
	if tooManyVersions || exceedsBytes {
		return "", &CapacityError{Digest: digest, Bytes: m.SizeBytes, MaxBytes: s.MaxBytes, Versions: len(s.versions)}
	}
	if s.versions == nil {
		s.versions = map[string]*version{}
	}
	s.versions[digest] = &version{
		manifest:  m,
		canonical: canonical,
		chunks:    make([][]byte, len(m.Chunks)),
		bitmap:    NewBitmap(len(m.Chunks)),
		changed:   make(chan struct{}),
	}
	s.reservedBytes += m.SizeBytes
	return digest, nil
}

// AddChunk stores a verified chunk and reports whether it was new. It compares the digest with
// the manifest again, because the chunk may have been verified for another version.
func (s *Storer) AddChunk(digest string, c verifier.Chunk) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[digest]
	if v == nil {
		return false, &UnknownVersionError{Digest: digest}
	}
	i := c.Index()
	if i < 0 || i >= len(v.chunks) {
		return false, &verifier.RangeError{Chunk: i, Chunks: len(v.chunks)}
	}
	if c.Digest() != v.manifest.Chunks[i] {
		return false, &verifier.DigestError{Chunk: i, Expected: v.manifest.Chunks[i].String(), Found: c.Digest().String()}
	}
	if v.bitmap.Has(i) {
		return false, nil
	}
	v.chunks[i] = c.Data()
	v.bitmap.Set(i)
	v.held++
	v.added = append(v.added, uint32(i))
	v.notifyChanged()
	return true, nil
}

// Drop removes a version and ends its Have streams.
func (s *Storer) Drop(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[digest]
	if v == nil {
		return
	}
	v.dropped = true
	v.notifyChanged()
	s.reservedBytes -= v.manifest.SizeBytes
	delete(s.versions, digest)
}

// HeldChunks returns a copy of the bitmap of a version, and its progress.
func (s *Storer) HeldChunks(digest string) (Bitmap, Progress, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[digest]
	if v == nil {
		return Bitmap{}, Progress{}, &UnknownVersionError{Digest: digest}
	}
	return v.bitmap.Clone(), Progress{Held: v.held, Total: len(v.chunks)}, nil
}

// LookupManifest returns the manifest of a version that is complete or in transfer.
func (s *Storer) LookupManifest(digest string) (*verifier.Manifest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[digest]
	if v == nil {
		return nil, &UnknownVersionError{Digest: digest}
	}
	return v.manifest, nil
}

// Versions returns the progress of all versions by digest.
func (s *Storer) Versions() map[string]Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Progress, len(s.versions))
	for digest, v := range s.versions {
		out[digest] = Progress{Held: v.held, Total: len(v.chunks)}
	}
	return out
}

// Reader returns a reader of a complete version and its size in bytes, or an
// *IncompleteError if chunks are missing. The reader remains valid after Drop.
func (s *Storer) Reader(digest string) (io.Reader, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[digest]
	if v == nil {
		return nil, 0, &UnknownVersionError{Digest: digest}
	}
	if v.held != len(v.chunks) {
		return nil, 0, &IncompleteError{Digest: digest, Held: v.held, Total: len(v.chunks)}
	}
	return &reader{chunks: append([][]byte(nil), v.chunks...)}, v.manifest.SizeBytes, nil
}

// Chunk returns the data of a chunk and reports whether the chunk is held. The caller
// must not modify the data.
func (s *Storer) Chunk(digest string, index int) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[digest]
	if v == nil || !v.bitmap.Has(index) {
		return nil, false
	}
	return v.chunks[index], true
}

// notifyChanged wakes the Have streams of the version.
func (v *version) notifyChanged() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// reader reads the concatenation of chunks.
type reader struct {
	chunks [][]byte
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	for len(r.chunks) > 0 && len(r.chunks[0]) == 0 {
		r.chunks = r.chunks[1:]
	}
	if len(r.chunks) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.chunks[0])
	r.chunks[0] = r.chunks[0][n:]
	return n, nil
}

// orDefault returns n, or fallback if n is not positive.
func orDefault(n, fallback int) int {
	if n <= 0 {
		return fallback
	}
	return n
}
