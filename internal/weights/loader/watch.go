package loader

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/fetcher"
)

// watchInterval is how often a running transfer hears of new peers and of newer
// versions.
const watchInterval = 200 * time.Millisecond

// peersEvery is the number of intervals between two reads of the peers, which
// have a price.
const peersEvery = 5

// transferWatch accompanies one transfer.
type transferWatch struct {
	loader   *Loader
	transfer *fetcher.Transfer
	cancel   context.CancelFunc
	model    string
	version  int
	// superseded is set when a newer version ended the transfer.
	superseded atomic.Bool
}

func (w *transferWatch) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for round := 1; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w.loader.observe(ctx)
		if w.loader.Named.Newest(w.model) > w.version {
			w.superseded.Store(true)
			w.cancel()
			return
		}
		if round%peersEvery == 0 {
			w.refresh(ctx)
		}
	}
}

// refresh gives the present peers to the transfer.
func (w *transferWatch) refresh(ctx context.Context) {
	peers, turn := w.loader.Peers(ctx)
	w.loader.setTurn(turn)
	w.transfer.SetPeers(peers)
}
