package loader

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/recoverer"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/internal/weights/selector"
	"github.com/lentilbridge/lentilbridge/pkg/fetcher"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

// peerUpdateInterval is how often the peers of a running transfer are updated.
// Each read of the list of peers has a cost.
const peerUpdateInterval = 2 * time.Second

// transferRun is the transfer of one version.
type transferRun struct {
	loader  *Loader
	model   string
	version int
	began   time.Time
	cancel  context.CancelFunc
	// transfer is set once the manifest is known.
	transfer atomic.Pointer[fetcher.Transfer]
	// ended is set when run returns.
	ended atomic.Bool
}

// state returns what the selector decides on.
func (r *transferRun) state(now time.Time) selector.Transfer {
	return selector.Transfer{Model: r.model, Version: r.version, Progress: r.progress(), Elapsed: now.Sub(r.began)}
}

// progress returns the fraction of the version's chunks that is held.
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
	defer recoverer.Contain(r.loader.Log, "transfer")
	if err := r.transferAll(ctx); err != nil {
		r.loader.Log.Warn("transfer ended", zap.String("model", r.model), zap.Int("version", r.version), zap.Error(err))
		waiter.Wait(ctx, retryDelay)
		return
	}
	r.loader.Log.Info("version transferred", zap.Int("version", r.version), zap.Duration("took", time.Since(r.began)))
}

// transferAll adds the version to the store and transfers its missing chunks.
func (r *transferRun) transferAll(ctx context.Context) error {
	l := r.loader
	m, err := l.addVersion(ctx, r.model, r.version)
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
		Self: l.Self, Policy: policy, OriginRegion: region, Source: l.Origin, Dial: l.Dial, Store: l.Store,
		Limiter: l.Limiter, InFlight: l.InFlight, Importers: l.Importers, MaxImportBackoff: l.MaxImportBackoff, ImportsFirst: true, Log: l.Log,
	}
	r.updatePeers(ctx, t)
	r.transfer.Store(t)
	go (&peerRefresher{transferRun: r, transfer: t}).run(ctx)
	err = t.Run(ctx)
	if err != nil {
		r.discardBadManifest(t, m)
		return &transferError{Model: r.model, Version: r.version, Cause: err}
	}
	return nil
}

// updatePeers passes the current peers to the transfer and the load position to
// the loader.
func (r *transferRun) updatePeers(ctx context.Context, t *fetcher.Transfer) {
	peers, position := r.loader.Peers(ctx)
	r.loader.setPosition(position)
	t.SetPeers(peers)
}

// discardBadManifest discards the manifest if no received chunk matched it, so that
// it is read again.
func (r *transferRun) discardBadManifest(t *fetcher.Transfer, m *verifier.Manifest) {
	p := t.Progress()
	if p.GetChunksHeld() > 0 || p.GetCorruptChunks() < maxCorruptChunks {
		return
	}
	l := r.loader
	l.Log.Warn("no chunk matches the manifest, it is read again", zap.Int("version", r.version))
	l.mu.Lock()
	delete(l.held, r.version)
	l.mu.Unlock()
	l.Store.Drop(m.Digest())
}

// peerRefresher updates the peers of a transfer periodically.
type peerRefresher struct {
	transferRun *transferRun
	transfer    *fetcher.Transfer
}

func (p *peerRefresher) run(ctx context.Context) {
	waiter.Every(ctx, peerUpdateInterval, func(time.Time) { p.refresh(ctx) })
}

func (p *peerRefresher) refresh(ctx context.Context) {
	defer recoverer.Contain(p.transferRun.loader.Log, "peers")
	p.transferRun.updatePeers(ctx, p.transfer)
}

// transferError reports a version whose transfer or staging failed.
type transferError struct {
	Model   string
	Version int
	Cause   error
}

func (e *transferError) Error() string {
	return fmt.Sprintf("weights of %s version %d: %v", e.Model, e.Version, e.Cause)
}

func (e *transferError) Unwrap() error { return e.Cause }
