package loader

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/fetcher"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

// peersInterval is how often a running transfer hears of new peers. Each read
// of the list has a price.
const peersInterval = time.Second

// transferRun is one transfer.
type transferRun struct {
	loader  *Loader
	model   string
	version int
	cancel  context.CancelFunc
	// transfer is set once the manifest is known.
	transfer atomic.Pointer[fetcher.Transfer]
	ended    atomic.Bool
}

// progress returns the part of the version that is there.
func (r *transferRun) progress() float64 {
	t := r.transfer.Load()
	if t == nil {
		return 0
	}
	p := t.Progress()
	return float64(p.GetChunksHeld()) / float64(max(p.GetChunksTotal(), 1))
}

func (r *transferRun) run(ctx context.Context) {
	defer r.ended.Store(true)
	defer r.cancel()
	started := time.Now()
	if err := r.transferAll(ctx); err != nil {
		r.loader.Log.Warn("transfer ended", zap.String("model", r.model), zap.Int("version", r.version), zap.Error(err))
		waiter.Wait(ctx, errorPause)
		return
	}
	r.loader.Log.Info("version transferred", zap.Int("version", r.version), zap.Duration("took", time.Since(started)))
}

func (r *transferRun) transferAll(ctx context.Context) error {
	l := r.loader
	m, err := l.begin(ctx, r.model, r.version)
	if err != nil {
		return err
	}
	region, slow := l.Origin.Region()
	policy := "time"
	if slow {
		policy = "origin-bytes"
	}
	t := &fetcher.Transfer{
		Version: &messenger.VersionRef{
			Model: r.model, Name: strconv.Itoa(r.version), Digest: m.Digest(),
			Source: SourcePath(r.model, r.version), SizeBytes: uint64(m.SizeBytes),
		},
		Self: l.Self, Policy: policy, OriginRegion: region, Source: l.Origin, Dial: fetcher.DialGRPC(), Store: l.Store,
		Limiter: l.Limiter, InFlight: l.InFlight, Importers: l.Importers, MaxImportBackoff: l.MaxImportBackoff, Log: l.Log,
	}
	r.givePeers(ctx, t)
	r.transfer.Store(t)
	go (&peerRefresher{of: r, transfer: t}).run(ctx)
	err = t.Run(ctx)
	if err != nil {
		r.checkManifest(t, m)
		return &transferError{Model: r.model, Version: r.version, Cause: err}
	}
	return nil
}

// givePeers gives the present peers to the transfer, and the turn to the loader.
func (r *transferRun) givePeers(ctx context.Context, t *fetcher.Transfer) {
	peers, turn := r.loader.Peers(ctx)
	r.loader.setTurn(turn)
	t.SetPeers(peers)
}

// checkManifest drops a manifest that no chunk matches, so that it is read
// anew.
func (r *transferRun) checkManifest(t *fetcher.Transfer, m *verifier.Manifest) {
	p := t.Progress()
	if p.GetChunksHeld() > 0 || p.GetCorruptChunks() < corruptLimit {
		return
	}
	l := r.loader
	l.Log.Warn("no chunk matches the manifest, it is read anew", zap.Int("version", r.version))
	l.mu.Lock()
	delete(l.held, r.version)
	l.mu.Unlock()
	l.Store.Drop(m.Digest())
}

// peerRefresher gives the present peers to a transfer.
type peerRefresher struct {
	of       *transferRun
	transfer *fetcher.Transfer
}

func (p *peerRefresher) run(ctx context.Context) {
	waiter.Each(ctx, peersInterval, func(time.Time) { p.of.givePeers(ctx, p.transfer) })
}
