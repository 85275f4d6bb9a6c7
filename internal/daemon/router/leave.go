package router

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// propagation is the time until no other daemon names this one any more.
const propagation = 3 * time.Second

// leave stops gracefully. The daemon is no longer named to callers from now
// on, but serves until the last answer that named it has expired and its
// requests have ended.
func (d *daemon) leave(public *http.Server) error {
	d.log.Info("entry daemon leaves")
	d.membership.Leave()
	time.Sleep(d.cfg.EntriesValid + propagation)
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.DrainTimeout)
	defer cancel()
	err := public.Shutdown(ctx)
	d.log.Info("entry daemon stopped", zap.Error(err))
	return err
}
