package storer_test

import (
	"context"
	"fmt"
	"strings"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/storer"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

// A verified chunk is served to peers immediately. Reader returns the content of a version
// only when all chunks are held.
func Example() {
	manifest, err := verifier.BuildManifest("assistant", "v1", 4, strings.NewReader("weights!"))
	if err != nil {
		fmt.Println(err)
		return
	}
	store := &storer.Storer{}
	digest, err := store.AddVersion(manifest)
	if err != nil {
		fmt.Println(err)
		return
	}
	chunk, err := verifier.VerifyChunk(manifest, 0, []byte("weig"))
	if err != nil {
		fmt.Println(err)
		return
	}
	if _, err := store.AddChunk(digest, chunk); err != nil {
		fmt.Println(err)
	}
	reply, err := store.Get(context.Background(), &messenger.ChunkRequest{Digest: digest, Index: 0})
	fmt.Printf("%s %v\n", reply.GetData(), err)
	_, _, err = store.Reader(digest)
	fmt.Printf("%T\n", err)
	// Output:
	// weig <nil>
	// *storer.IncompleteError
}
