// Package inspector serves the metrics, health and readiness of a daemon over HTTP on a
// separate listener.
package inspector

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
)

// Limits of the HTTP server.
const (
	maxConnections  = 64
	readTimeout     = 5 * time.Second
	writeTimeout    = 10 * time.Second
	maxHeaderBytes  = 16 << 10
	maxRequestBytes = 1 << 10
)

// Inspector is an HTTP server for /debug/vars, /healthz and /readyz. Fields must be set before
// Run.
type Inspector struct {
	Listener net.Listener
	// Ready returns the state of the daemon in one word and reports whether it accepts work.
	Ready func(now time.Time) (state string, ready bool)
}

// Run serves until ctx ends.
func (i *Inspector) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", i.health)
	mux.HandleFunc("GET /readyz", i.ready)
	server := &http.Server{
		Handler:           http.MaxBytesHandler(mux, maxRequestBytes),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	err := server.Serve(netutil.LimitListener(i.Listener, maxConnections))
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
