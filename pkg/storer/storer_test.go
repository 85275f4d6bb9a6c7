package storer_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"github.com/lentilbridge/lentilbridge/pkg/limiter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/storer"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

const content = "0123456789abcdef"

// begin adds a version with the content text to the store.
func begin(c *qt.C, s *storer.Storer, text string) (*verifier.Manifest, string) {
	m, err := verifier.BuildManifest("m", "m-1", 4, strings.NewReader(text))
	c.Assert(err, qt.IsNil)
	digest, err := s.AddVersion(m)
	c.Assert(err, qt.IsNil)
	return m, digest
}

// add stores chunk i of content.
func add(c *qt.C, s *storer.Storer, m *verifier.Manifest, i int) {
	chunk, err := verifier.VerifyChunk(m, i, []byte(content[4*i:4*i+4]))
	c.Assert(err, qt.IsNil)
	_, err = s.AddChunk(m.Digest(), chunk)
	c.Assert(err, qt.IsNil)
}

// Guards against passing an incomplete version to the engine.
func TestReaderRefusesIncompleteVersion(t *testing.T) {
	c := qt.New(t)
	s := &storer.Storer{}
	m, digest := begin(c, s, content)
	for i := range 3 {
		add(c, s, m, i)
		_, _, err := s.Reader(digest)
		var incompleteErr *storer.IncompleteError
		c.Assert(errors.As(err, &incompleteErr), qt.IsTrue)
	}
	add(c, s, m, 3)
	r, n, err := s.Reader(digest)
	c.Assert(err, qt.IsNil)
	s.Drop(digest)
	data, err := io.ReadAll(r)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, content)
	c.Assert(n, qt.Equals, int64(len(content)))
}

// Guards against storing a chunk that was verified for another version.
func TestAddRefusesChunkOfOtherVersion(t *testing.T) {
	c := qt.New(t)
	s := &storer.Storer{}
	m, _ := begin(c, s, content)
	_, other := begin(c, s, strings.ToUpper(content))
	chunk, err := verifier.VerifyChunk(m, 3, []byte("cdef"))
	c.Assert(err, qt.IsNil)
	_, err = s.AddChunk(other, chunk)
	var digestErr *verifier.DigestError
	c.Assert(errors.As(err, &digestErr), qt.IsTrue)
}

// Guards against exceeding MaxBytes, and against bytes that Drop does not release.
func TestBeginLimitsMemory(t *testing.T) {
	c := qt.New(t)
	s := &storer.Storer{MaxBytes: 20}
	_, digest := begin(c, s, content)
	m, err := verifier.BuildManifest("m", "m-2", 4, strings.NewReader("zzzzzzzz"))
	c.Assert(err, qt.IsNil)
	_, err = s.AddVersion(m)
	var fullErr *storer.CapacityError
	c.Assert(errors.As(err, &fullErr), qt.IsTrue)
	s.Drop(digest)
	_, err = s.AddVersion(m)
	c.Assert(err, qt.IsNil)
}

type fakeHaveStream struct {
	grpc.ServerStream
	ctx     context.Context
	replies chan *messenger.HaveReply
	err     chan error
}

func (s *fakeHaveStream) Context() context.Context { return s.ctx }

func (s *fakeHaveStream) Send(reply *messenger.HaveReply) error {
	s.replies <- reply
	return nil
}

func (s *fakeHaveStream) run(store *storer.Storer, digest string) {
	s.err <- store.Have(&messenger.HaveRequest{Digest: digest}, s)
}

// Guards against a Have stream that misses a chunk or stays open after its version has
// been dropped.
func TestHaveSendsBitmapThenChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := &storer.Storer{}
		m, digest := begin(c, store, content)
		add(c, store, m, 2)
		s := &fakeHaveStream{ctx: t.Context(), replies: make(chan *messenger.HaveReply, 8), err: make(chan error, 1)}
		go s.run(store, digest)
		c.Assert(storer.Bitmap((<-s.replies).GetBitmap()).Indexes(4), qt.DeepEquals, []uint32{2})
		add(c, store, m, 0)
		c.Assert((<-s.replies).GetAdded(), qt.DeepEquals, []uint32{0})
		store.Drop(digest)
		var unknownErr *storer.UnknownVersionError
		c.Assert(errors.As(<-s.err, &unknownErr), qt.IsTrue)
	})
}

type concurrentGet struct {
	store  *storer.Storer
	digest string
	busy   chan bool
}

func (g *concurrentGet) run(ctx context.Context) {
	reply, err := g.store.Get(ctx, &messenger.ChunkRequest{Digest: g.digest})
	if err == nil {
		g.busy <- reply.GetBusy()
	}
}

// Guards against an unbounded queue of requests on a slow link.
func TestGetRepliesBusyAboveLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		slow := &limiter.Limiter{UploadPolicy: limiter.FixedShare{LinkBytesPerSecond: 1e-9, Share: 1}}
		c.Assert(slow.Wait(ctx, limiter.Upload, 64<<10), qt.IsNil)
		store := &storer.Storer{Limiter: slow, MaxUploads: 2, MaxQueued: 3}
		m, digest := begin(c, store, content)
		missing, err := store.Get(ctx, &messenger.ChunkRequest{Digest: digest, Index: 1 << 31})
		c.Assert(err, qt.IsNil)
		c.Assert(missing.GetMissing(), qt.IsTrue)
		add(c, store, m, 0)
		g := &concurrentGet{store: store, digest: digest, busy: make(chan bool, 8)}
		for range 7 {
			go g.run(ctx)
		}
		synctest.Wait()
		c.Assert(g.busy, qt.HasLen, 2)
		c.Assert(<-g.busy, qt.IsTrue)
		cancel()
	})
}
