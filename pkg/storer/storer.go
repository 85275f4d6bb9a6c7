// Package storer holds the verified chunks of versions in memory and serves
// them to other agents.
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

// Defaults of the limits.
const (
	// DefaultMaxUploads bounds the chunks that are sent at once. A few keep the
	// link busy; more of them share its rate, so that each chunk arrives later
	// and can be passed on later.
	DefaultMaxUploads = 3
	// DefaultMaxQueued bounds the requests that wait for their turn.
	DefaultMaxQueued = 16
	// DefaultMaxWatches bounds the open Have streams of all versions.
	DefaultMaxWatches = 1024
	// DefaultMaxVersions allows the running version, the next one and
	// adapters.
	DefaultMaxVersions = 16
)

// Storer holds versions. Fields are set before use. It implements
// messenger.ChunksServer.
type Storer struct {
	messenger.UnimplementedChunksServer

	// Limiter paces uploads; nil does not limit.
	Limiter *limiter.Limiter
	// MaxBytes bounds the size of all versions together; 0 is no bound.
	MaxBytes    int64
	MaxUploads  int
	MaxQueued   int
	MaxWatches  int
	MaxVersions int

	mu       sync.Mutex
	versions map[string]*version
	bytes    int64
	uploads  int
	slots    *semaphore.Weighted
	// acrossSlots admits requests from other regions.
	acrossSlots *semaphore.Weighted
	watches     int
}

// version is one version, in transfer or complete.
type version struct {
	manifest *verifier.Manifest
	raw      []byte
	chunks   [][]byte
	bitmap   Bitmap
	held     int
	// added lists the chunks in the order in which they were added, so that
	// each watcher keeps only a position.
	added []uint32
	// changed is closed and replaced at each change.
	changed chan struct{}
	dropped bool
}

// Progress counts the chunks of a version.
type Progress struct {
	Held, Total int
}

// Complete tells whether all chunks are held.
func (p Progress) Complete() bool { return p.Total > 0 && p.Held == p.Total }

// UnknownVersionError reports a version that is not held.
type UnknownVersionError struct {
	Digest string
}

func (e *UnknownVersionError) Error() string { return "version " + e.Digest + " is not held" }

// GRPCStatus makes the error NotFound for remote callers.
func (e *UnknownVersionError) GRPCStatus() *status.Status {
	return status.New(codes.NotFound, e.Error())
}

// IncompleteError reports a version that lacks chunks.
type IncompleteError struct {
	Digest      string
	Held, Total int
}

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("version %s is incomplete: %d of %d chunks", e.Digest, e.Held, e.Total)
}

// FullError reports a version that the memory limits do not admit.
type FullError struct {
	Digest   string
	Bytes    int64
	MaxBytes int64
	Versions int
}

func (e *FullError) Error() string {
	return fmt.Sprintf("no room for version %s of %d bytes: %d versions held, limit %d bytes", e.Digest, e.Bytes, e.Versions, e.MaxBytes)
}

// Begin makes room for a version and returns its digest. A version that is
// held already keeps its chunks, so that a transfer resumes.
func (s *Storer) Begin(m *verifier.Manifest) (string, error) {
	raw := m.Canonical()
	digest := verifier.Sum(raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions[digest] != nil {
		return digest, nil
	}
	tooMany := len(s.versions) >= orDefault(s.MaxVersions, DefaultMaxVersions)
	tooLarge := s.MaxBytes > 0 && s.bytes+m.SizeBytes > s.MaxBytes
	if tooMany || tooLarge {
		return "", &FullError{Digest: digest, Bytes: m.SizeBytes, MaxBytes: s.MaxBytes, Versions: len(s.versions)}
	}
	if s.versions == nil {
		s.versions = map[string]*version{}
	}
	s.versions[digest] = &version{
		manifest: m,
		raw:      raw,
		chunks:   make([][]byte, len(m.Chunks)),
		bitmap:   NewBitmap(len(m.Chunks)),
		changed:  make(chan struct{}),
	}
	s.bytes += m.SizeBytes
	return digest, nil
}

// Add stores a verified chunk and tells whether it was new. The chunk's
// digest is compared once more, because a chunk may belong to another version.
func (s *Storer) Add(digest string, c verifier.Chunk) (bool, error) {
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
	v.notify()
	return true, nil
}

// Drop frees a version and ends the streams that watch it.
func (s *Storer) Drop(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[digest]
	if v == nil {
		return
	}
	v.dropped = true
	v.notify()
	s.bytes -= v.manifest.SizeBytes
	delete(s.versions, digest)
}

// Held returns a copy of the bitmap of a version.
func (s *Storer) Held(digest string) (Bitmap, Progress, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[digest]
	if v == nil {
		return Bitmap{}, Progress{}, &UnknownVersionError{Digest: digest}
	}
	return v.bitmap.Clone(), Progress{Held: v.held, Total: len(v.chunks)}, nil
}

// Lookup returns the manifest of a version that is held or in transfer.
func (s *Storer) Lookup(digest string) (*verifier.Manifest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[digest]
	if v == nil {
		return nil, &UnknownVersionError{Digest: digest}
	}
	return v.manifest, nil
}

// Versions returns the progress of each version by digest.
func (s *Storer) Versions() map[string]Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Progress, len(s.versions))
	for digest, v := range s.versions {
		out[digest] = Progress{Held: v.held, Total: len(v.chunks)}
	}
	return out
}

// Reader returns the bytes of a complete version and their number, and an
// *IncompleteError for a version that lacks chunks. The reader stays valid
// after Drop.
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

// Chunk returns one chunk of a version, which must not be changed, and whether
// it is held.
func (s *Storer) Chunk(digest string, index int) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[digest]
	if v == nil || !v.bitmap.Has(index) {
		return nil, false
	}
	return v.chunks[index], true
}

func (v *version) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// reader concatenates chunks.
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

func orDefault(n, fallback int) int {
	if n <= 0 {
		return fallback
	}
	return n
}
