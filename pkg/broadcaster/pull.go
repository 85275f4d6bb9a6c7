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

// maxRevisionBytes limits the size of a reply of Entry.Revision. It is below the
// default limit of gRPC for sent messages.
const maxRevisionBytes = 64 << 20

// PullError reports a peer that did not return the requested revision.
type PullError struct {
	Address string
	Wanted  uint64
	Got     uint64
}

func (e *PullError) Error() string {
	return fmt.Sprintf("peer %s has revision %d, wanted %d", e.Address, e.Got, e.Wanted)
}

// Revision implements messenger.EntryServer. When the current revision is lower
// than the requested one, the reply has only its number.
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

// puller pulls revisions that heartbeats announced.
type puller struct {
	*Broadcaster
}

func (b puller) run(ctx context.Context, workers *sync.WaitGroup) {
	defer workers.Done()
	retry := b.newBackoff(initialRetryDelay)
	for ctx.Err() == nil {
		wanted, from, behind := b.pendingRevision()
		if !behind {
			retry.Reset()
			select {
			case <-ctx.Done():
			case <-b.announced:
			}
			continue
		}
		if b.pullFromAny(ctx, wanted, from) {
			continue
		}
		b.PullFailures.Add(1)
		b.sleep(ctx, retry.NextBackOff())
	}
}

// pendingRevision returns the highest known revision, the peer that announced it,
// and whether the current revision is lower.
func (b *Broadcaster) pendingRevision() (wanted uint64, from string, behind bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.highestKnown, b.announcedBy, b.current == nil || b.highestKnown > b.current.Number
}

// pullFromAny requests the revision from the daemon that announced it, then from
// another peer, then from the object API. It reports whether one of them had it.
func (b *Broadcaster) pullFromAny(ctx context.Context, wanted uint64, from string) bool {
	addresses := append([]string{from}, b.randomPeers(time.Now(), 1)...)
	for _, address := range addresses {
		err := b.pull(ctx, address, wanted)
		if err == nil {
			return true
		}
		b.Log.Info("revision not pulled", zap.String("peer", address), zap.Uint64("revision", wanted), zap.Error(err))
	}
	return b.loadFromAPI(ctx) == nil && b.RevisionNumber() >= wanted
}

// pull requests the revision from one peer and makes it current.
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
	return b.offerPulled(revision, address, wanted)
}

func (b *Broadcaster) offerPulled(revision *parser.Revision, address string, wanted uint64) error {
	// Another source may have provided a higher revision during the pull. A peer
	// that lags behind is expected and not reported as a lower revision.
	if revision.Number < max(wanted, b.RevisionNumber()) {
		return &PullError{Address: address, Wanted: wanted, Got: revision.Number}
	}
	b.Offer(revision, address)
	return nil
}

// randomPeers returns at most n consecutive peers, starting at a random one.
func (b *Broadcaster) randomPeers(now time.Time, n int) []string {
	if b.Peers == nil {
		return nil
	}
	peers := b.Peers(now)
	offset := int(b.jitter() * float64(len(peers)))
	var chosen []string
	for i := range min(n, len(peers)) {
		chosen = append(chosen, peers[(offset+i)%len(peers)])
	}
	return chosen
}
