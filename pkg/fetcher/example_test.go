package fetcher_test

import (
	"bytes"
	"context"
	"fmt"
	"io"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/fetcher"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/storer"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

// memorySource is an in-memory weight source with one version.
type memorySource struct {
	manifest []byte
	content  []byte
}

func (s *memorySource) Manifest(context.Context, string) ([]byte, error) { return s.manifest, nil }

func (s *memorySource) ReadRange(_ context.Context, _ string, offset, length int64) ([]byte, error) {
	return bytes.Clone(s.content[offset : offset+length]), nil
}

// An agent without peers reads a version from the weight source chunk by chunk. The
// store returns the content once all chunks are verified.
func Example() {
	version := emulator.WeightsVersion{Model: "assistant", Name: "v1", SizeBytes: 10_000, ChunkSizeBytes: 4096, Seed: 1}
	manifest, err := version.Manifest()
	if err != nil {
		fmt.Println(err)
		return
	}
	content, err := io.ReadAll(version.Reader())
	if err != nil {
		fmt.Println(err)
		return
	}
	digest := verifier.Sum(manifest.Canonical())
	store := &storer.Storer{}
	t := &fetcher.Transfer{
		Version:      &messenger.VersionRef{Model: "assistant", Name: "v1", Digest: digest, Source: "assistant/v1"},
		Self:         &messenger.Peer{Vm: "vm-1", Region: "central"},
		OriginRegion: "central",
		Source:       &memorySource{manifest: manifest.Canonical(), content: content},
		Dial:         fetcher.DialGRPC(grpc.WithTransportCredentials(insecure.NewCredentials())),
		Store:        store,
	}
	if err := t.Run(context.Background()); err != nil {
		fmt.Println(err)
		return
	}
	r, size, err := store.Reader(digest)
	if err != nil {
		fmt.Println(err)
		return
	}
	read, err := io.ReadAll(r)
	fmt.Println(size, "bytes, equal to the origin's:", bytes.Equal(read, content), err)
	fmt.Println(t.Progress().GetBytesFromOrigin(), "bytes from the origin")
	// Output:
	// 10000 bytes, equal to the origin's: true <nil>
	// 10000 bytes from the origin
}
