package broadcaster_test

import (
	"context"
	"fmt"

	"github.com/lentilbridge/lentilbridge/pkg/broadcaster"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// A process that watches the head applies each new revision. A lower revision is
// refused.
func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	api := &emulator.MemoryObjects{}
	head, err := api.Create(ctx, broadcaster.HeadKey, []byte("1"))
	if err != nil {
		fmt.Println(err)
	}
	b := &broadcaster.Broadcaster{API: api, Load: func(ctx context.Context) (*parser.Revision, error) {
		o, err := api.Get(ctx, broadcaster.HeadKey)
		if err != nil {
			return nil, err
		}
		revision := &parser.Revision{Set: parser.NewSet()}
		_, err = fmt.Sscan(string(o.Value), &revision.Number)
		return revision, err
	}}
	go b.Run(ctx)
	waitFor(b, 1)
	fmt.Println("revision", b.RevisionNumber())

	if _, err := api.Update(ctx, broadcaster.HeadKey, []byte("2"), head.Version); err != nil {
		fmt.Println(err)
	}
	waitFor(b, 2)
	fmt.Println("revision", b.RevisionNumber())
	fmt.Println("lower taken:", b.Offer(&parser.Revision{Number: 1}, "a peer"))
	// Output:
	// revision 1
	// revision 2
	// lower taken: false
}

func waitFor(b *broadcaster.Broadcaster, revision uint64) {
	for {
		changed := b.Changed()
		if b.RevisionNumber() >= revision {
			return
		}
		<-changed
	}
}
