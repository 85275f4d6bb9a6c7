package broadcaster

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// maxRevisionBytes bounds a reply of Entry.Revision. It stays under the limit
// of a gRPC message that senders accept by default.
const maxRevisionBytes = 64 << 20

// PullError reports a peer that did not give the revision asked for.
type PullError struct {
	Address string
	Wanted  uint64
	Got     uint64
}

func (e *PullError) Error() string {
	return fmt.Sprintf("peer %s has revision %d, wanted %d", e.Address, e.Got, e.Wanted)
}

// Revision implements the method of the Entry service. A daemon with a lower
// revision than the requester asks for answers with the number alone.
func (b *Broadcaster) Revision(_ context.Context, req *messenger.RevisionRequest) (*messenger.RevisionReply, error) {
	b.init()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == nil {
		return nil, status.Error(codes.Unavailable, "no configuration yet")
	}
	reply := &messenger.RevisionReply{Revision: b.current.Number}
	if b.current.Number < req.GetAtLeast() {
		return reply, nil
	}
	if b.encoded == nil {
		encoded, err := b.Encode(b.current)
		if err != nil {
			return nil, status.Errorf(codes.Internal, "revision %d: %v", b.current.Number, err)
		}
		b.encoded = encoded
	}
	reply.Objects = b.encoded
	return reply, nil
}

// puller pulls revisions that heartbeats named.
type puller struct {
	*Broadcaster
}

func (b puller) run(ctx context.Context, workers *sync.WaitGroup) {
	defer workers.Done()
	retry := b.newBackoff(retryAfter)
	for ctx.Err() == nil {
		wanted, from, behind := b.behind()
		if !behind {
			retry.Reset()
			select {
			case <-ctx.Done():
			case <-b.heard:
			}
			continue
		}
		if b.pullFromAny(ctx, wanted, from) {
			continue
		}
		b.PullFailures.Add(1)
		b.pause(ctx, retry.NextBackOff())
	}
}

func (b *Broadcaster) behind() (wanted uint64, from string, behind bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.wanted, b.from, b.current == nil || b.wanted > b.current.Number
}

// pullFromAny asks the daemon that named the revision, then one other, then
// the object API.
func (b *Broadcaster) pullFromAny(ctx context.Context, wanted uint64, from string) bool {
	addresses := append([]string{from}, b.somePeers(time.Now(), 1)...)
	for _, address := range addresses {
		err := b.pull(ctx, address, wanted)
		if err == nil {
			return true
		}
		b.Log.Info("revision not pulled", zap.String("peer", address), zap.Uint64("revision", wanted), zap.Error(err))
	}
	return b.load(ctx) == nil && b.Number() >= wanted
}

func (b *Broadcaster) pull(ctx context.Context, address string, wanted uint64) error {
	if address == "" || b.Client == nil {
		return &PullError{Address: address, Wanted: wanted}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := b.Client(address)
	if err != nil {
		return err
	}
	reply, err := client.Revision(ctx, &messenger.RevisionRequest{AtLeast: wanted},
		grpc.UseCompressor(gzip.Name), grpc.MaxCallRecvMsgSize(maxRevisionBytes))
	if err != nil {
		return err
	}
	if len(reply.GetObjects()) == 0 || reply.GetRevision() < wanted {
		return &PullError{Address: address, Wanted: wanted, Got: reply.GetRevision()}
	}
	revision, err := b.Decode(reply.GetObjects())
	if err != nil {
		return err
	}
	return b.takePulled(revision, address, wanted)
}

func (b *Broadcaster) takePulled(revision *parser.Revision, address string, wanted uint64) error {
	// A peer may lag behind the revision that another source gave meanwhile;
	// that is no reason for an alarm.
	if revision.Number < max(wanted, b.Number()) {
		return &PullError{Address: address, Wanted: wanted, Got: revision.Number}
	}
	b.Offer(revision, address)
	return nil
}

// somePeers returns at most n peers, beginning at a random one.
func (b *Broadcaster) somePeers(now time.Time, n int) []string {
	if b.Peers == nil {
		return nil
	}
	peers := b.Peers(now)
	first := int(b.jitter() * float64(len(peers)))
	var some []string
	for i := range min(n, len(peers)) {
		some = append(some, peers[(first+i)%len(peers)])
	}
	return some
}
