package fetcher_test

import (
	"io"
	"net"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/fetcher"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/storer"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

type chunksServer struct {
	server *grpc.Server
}

func (s chunksServer) run(l net.Listener) { _ = s.server.Serve(l) }

// Guards against gRPC message limits that are smaller than a chunk of the default size.
// The other tests use in-memory fakes without such limits.
func TestTransferOverGRPC(t *testing.T) {
	c := qt.New(t)
	version := emulator.WeightsVersion{Model: "m", Name: "m-1", SizeBytes: 2*verifier.DefaultChunkBytes + 5, ChunkSizeBytes: verifier.DefaultChunkBytes, Seed: 1}
	origin := &emulator.Weights{Sources: map[string]emulator.WeightsVersion{"m/1": version}}
	httpServer := httptest.NewServer(origin)
	defer httpServer.Close()
	ref := &messenger.VersionRef{Model: "m", Name: "m-1", Digest: origin.Digest("m/1"), Source: "m/1"}

	seederStore := &storer.Storer{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := grpc.NewServer(fetcher.ServerOptions()...)
	messenger.RegisterChunksServer(server, seederStore)
	go chunksServer{server}.run(l)
	defer server.Stop()

	peer := &messenger.Peer{Vm: "a", Address: l.Addr().String(), Region: "central"}
	seeder := &fetcher.Transfer{Version: ref, Self: peer, Source: &adapter.HTTPWeightSource{BaseURL: httpServer.URL}, Dial: fetcher.DialGRPC(), Store: seederStore}
	c.Assert(seeder.Run(t.Context()), qt.IsNil)

	downloaderStore := &storer.Storer{}
	downloader := &fetcher.Transfer{Version: ref, Self: &messenger.Peer{Vm: "b", Region: "central"}, Source: &adapter.HTTPWeightSource{BaseURL: httpServer.URL}, Dial: fetcher.DialGRPC(), Store: downloaderStore}
	downloader.SetPeers([]*messenger.Peer{peer})
	c.Assert(downloader.Run(t.Context()), qt.IsNil)

	r, _, err := downloaderStore.Reader(ref.GetDigest())
	c.Assert(err, qt.IsNil)
	got, err := io.ReadAll(r)
	c.Assert(err, qt.IsNil)
	want, err := io.ReadAll(version.Reader())
	c.Assert(err, qt.IsNil)
	c.Assert(string(got) == string(want), qt.IsTrue)
	c.Assert(downloader.Progress().GetBytesFromOrigin(), qt.Equals, uint64(0))
	c.Assert(downloader.Progress().GetBytesFromPeers(), qt.Equals, uint64(version.SizeBytes))
}
