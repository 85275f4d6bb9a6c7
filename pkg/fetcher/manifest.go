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
	// manifestTimeout bounds one try to read a manifest.
	manifestTimeout = 5 * time.Second
	// manifestRounds is the number of rounds in which only peers are asked, so
	// that a burst of agents does not read the manifest from the origin.
	manifestRounds = 10
	// manifestReaders of a region ask the origin at once.
	manifestReaders  = 2
	minManifestPause = 50 * time.Millisecond
	maxManifestPause = 5 * time.Second
)

// obtainManifest takes the manifest from the store, from peers or from the
// origin. Only one with the version's digest is accepted.
func (t *Transfer) obtainManifest(ctx context.Context) error {
	if m, err := t.Store.Lookup(t.Version.GetDigest()); err == nil {
		t.manifest = m
		return nil
	}
	pause := minManifestPause
	for round := 0; ; round++ {
		if (round >= manifestRounds || t.readsManifestFirst()) && t.manifestFromOrigin(ctx) {
			return nil
		}
		if t.manifestFromPeers(ctx, round) {
			return nil
		}
		if round >= manifestRounds {
			pause = min(2*pause, maxManifestPause)
		}
		jitter := time.Duration(t.random.Int64N(int64(pause)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause + jitter):
		}
	}
}

func (t *Transfer) manifestFromOrigin(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	raw, err := t.Source.Manifest(ctx, t.Version.GetSource())
	if err != nil {
		t.noteManifest("origin", err)
		return false
	}
	return t.acceptManifest(raw, "origin")
}

// manifestFromPeers asks one peer. The number of peers to choose from doubles
// with each round, beginning with those that read from the origin, so that the
// manifest spreads without many connections to agents that lack it.
func (t *Transfer) manifestFromPeers(ctx context.Context, round int) bool {
	peers := planner.Ranked(t.Version.GetDigest(), t.regionPeers())
	if len(peers) == 0 {
		return false
	}
	among := min(len(peers), manifestReaders<<min(round, manifestRounds))
	return t.manifestFromPeer(ctx, peers[t.random.IntN(among)])
}

func (t *Transfer) manifestFromPeer(ctx context.Context, peer planner.Peer) bool {
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

func (t *Transfer) acceptManifest(raw []byte, from string) bool {
	m, err := verifier.ParseExpected(raw, t.Version.GetDigest())
	if err != nil {
		t.noteManifest(from, err)
		return false
	}
	t.manifest = m
	return true
}

func (t *Transfer) noteManifest(from string, err error) {
	t.setError(err)
	t.Log.Warn("manifest is not usable", zap.String("version", t.Version.GetDigest()), zap.String("from", from), zap.Error(err))
}

// regionPeers returns the other agents of this region.
func (t *Transfer) regionPeers() []planner.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []planner.Peer
	for _, peer := range t.peers {
		if peer.VM != t.Self.GetVm() && peer.Region == t.Self.GetRegion() {
			out = append(out, peer)
		}
	}
	return out
}

// readsManifestFirst tells whether this agent is among the first of its region
// in rendezvous order.
func (t *Transfer) readsManifestFirst() bool {
	self := toPeer(t.Self)
	return planner.Rank(t.Version.GetDigest(), self.VM, t.regionPeers()) < manifestReaders
}
