package fetcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/weights/planner"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

const (
	// manifestTimeout is the timeout of one attempt to read a manifest.
	manifestTimeout = 5 * time.Second
	// peerOnlyRounds is the number of rounds in which agents other than the manifest
	// readers ask only peers, so that many agents that start at the same time do not
	// all read the manifest from the origin.
	peerOnlyRounds = 10
	// manifestReaders is the number of agents of a region that ask the origin from
	// the first round on.
	manifestReaders = 2
	// The backoff between two rounds is minManifestBackoff in the first
	// peerOnlyRounds rounds and doubles after that, up to maxManifestBackoff.
	minManifestBackoff = 50 * time.Millisecond
	maxManifestBackoff = 5 * time.Second
)

// fetchManifest reads the manifest from the store, a peer or the origin and retries
// until ctx ends. It accepts only a manifest with the digest of the version.
func (t *Transfer) fetchManifest(ctx context.Context) error {
	if m, err := t.Store.LookupManifest(t.Version.GetDigest()); err == nil {
		t.manifest = m
		return nil
	}
	backoff := minManifestBackoff
	for round := 0; ; round++ {
		if (round >= peerOnlyRounds || t.isManifestReader()) && t.fetchManifestFromOrigin(ctx) {
			return nil
		}
		if t.fetchManifestFromRandomPeer(ctx, round) {
			return nil
		}
		if round >= peerOnlyRounds {
			backoff = min(2*backoff, maxManifestBackoff)
		}
		jitter := time.Duration(t.random.Int64N(int64(backoff)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(backoff + jitter):
		}
	}
}

func (t *Transfer) fetchManifestFromOrigin(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	raw, err := t.Source.Manifest(ctx, t.Version.GetSource())
	if err != nil {
		t.reportManifestError("origin", err)
		return false
	}
	return t.acceptManifest(raw, "origin")
}

// fetchManifestFromRandomPeer asks a random one of the first peers in rendezvous order.
// The first round chooses among the manifest readers. Each later round, up to
// peerOnlyRounds, chooses among twice as many peers as the one before. In this way few
// requests reach agents that do not have the manifest yet.
func (t *Transfer) fetchManifestFromRandomPeer(ctx context.Context, round int) bool {
	peers := planner.Ranked(t.Version.GetDigest(), t.regionPeers())
	if len(peers) == 0 {
		return false
	}
	candidates := min(len(peers), manifestReaders<<min(round, peerOnlyRounds))
	return t.fetchManifestFromPeer(ctx, peers[t.random.IntN(candidates)])
}

func (t *Transfer) fetchManifestFromPeer(ctx context.Context, peer planner.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	client, closer, err := t.Dial(ctx, peer.Address)
	if err != nil {
		return false
	}
	defer closer.Close()
	reply, err := client.Manifest(ctx, &messenger.ManifestRequest{Digest: t.Version.GetDigest()})
	if err != nil {
		return false
	}
	return t.acceptManifest(reply.GetManifest(), peer.VM)
}

// acceptManifest parses a manifest, sets t.manifest if it has the expected digest and
// reports whether it has.
func (t *Transfer) acceptManifest(raw []byte, source string) bool {
	m, err := verifier.ParseExpectedManifest(raw, t.Version.GetDigest())
	if err != nil {
		t.reportManifestError(source, err)
		return false
	}
	t.manifest = m
	return true
}

// reportManifestError records an error of a manifest in the progress and logs it.
func (t *Transfer) reportManifestError(source string, err error) {
	t.setError(err)
	t.Log.Warn("manifest is not usable", zap.String("version", t.Version.GetDigest()), zap.String("from", source), zap.Error(err))
}

// regionPeers returns the other agents in the region of this agent.
func (t *Transfer) regionPeers() []planner.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var peers []planner.Peer
	for _, peer := range t.peers {
		if peer.VM != t.Self.GetVm() && peer.Region == t.Self.GetRegion() {
			peers = append(peers, peer)
		}
	}
	return peers
}

// isManifestReader reports whether this agent is among the first manifestReaders
// agents of its region in rendezvous order.
func (t *Transfer) isManifestReader() bool {
	self := toPeer(t.Self)
	return planner.Rank(t.Version.GetDigest(), self.VM, t.regionPeers()) < manifestReaders
}
