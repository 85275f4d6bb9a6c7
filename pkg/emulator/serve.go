package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
)

const (
	maxConnections    = 4096
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	shutdownTimeout   = 5 * time.Second
)

// serve runs an HTTP server on the address until ctx ends and then shuts it
// down. It prints "listening on ADDRESS" once the server accepts connections.
func serve(ctx context.Context, address string, handler http.Handler, out io.Writer) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("--address: %w", err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	shutdownDone := make(chan struct{})
	stopShutdown := context.AfterFunc(ctx, func() {
		defer close(shutdownDone)
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			_ = server.Close()
		}
	})
	fmt.Fprintf(out, "listening on %s\n", listener.Addr())
	err = server.Serve(netutil.LimitListener(listener, maxConnections))
	if stopShutdown() {
		return err
	}
	<-shutdownDone
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
