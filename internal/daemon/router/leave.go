package router

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// propagationTime is how long other daemons may still list this one after Leave.
const propagationTime = 3 * time.Second

// leave stops the daemon gracefully. It announces that it is leaving, so that
// /v1/entries no longer lists it, serves until the last answer that listed it has
// expired, and then waits for its requests to end, at most for DrainTimeout.
func (d *daemon) leave(public *http.Server) error {
	d.log.Info("entry daemon leaves")
	d.membership.Leave()
	time.Sleep(d.cfg.EntriesValid + propagationTime)
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.DrainTimeout)
	defer cancel()
	err := public.Shutdown(ctx)
	d.log.Info("entry daemon stopped", zap.Error(err))
	return err
}
