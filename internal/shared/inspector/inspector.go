// Package inspector serves the metrics, health and readiness of a daemon over HTTP on a
// separate listener.
package inspector

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/shared/listener"
)

// Limits of the HTTP server.
const (
	writeTimeout = 10 * time.Second
)

// Inspector is an HTTP server for /debug/vars, /healthz and /readyz. Fields must be set before
// Run.
type Inspector struct {
	Listener *listener.Listener
	// Ready returns the state of the daemon in one word and reports whether it accepts work.
	Ready func(now time.Time) (state string, ready bool)
}

// Run serves until ctx ends.
func (i *Inspector) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", i.health)
	mux.HandleFunc("GET /readyz", i.ready)
	server := &http.Server{Handler: listener.WithoutBody{Handler: mux}, WriteTimeout: writeTimeout}
	i.Listener.Attach(server)
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	err := server.Serve(i.Listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (i *Inspector) health(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "ok")
}

func (i *Inspector) ready(w http.ResponseWriter, _ *http.Request) {
	state, ready := i.Ready(time.Now())
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintln(w, state)
}
