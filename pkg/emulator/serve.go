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
	maxStandinConnections = 4096
	readHeaderTimeout     = 5 * time.Second
	idleTimeout           = 2 * time.Minute
	maxHeaderBytes        = 64 << 10
	shutdownTimeout       = 5 * time.Second
)

// serve runs the handler on the address until the context ends. It prints
// "listening on ADDRESS" once connections are accepted.
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
	stopped := make(chan struct{})
	unregister := context.AfterFunc(ctx, func() {
		defer close(stopped)
		limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if server.Shutdown(limit) != nil {
			_ = server.Close()
		}
	})
	fmt.Fprintf(out, "listening on %s\n", listener.Addr())
	err = server.Serve(netutil.LimitListener(listener, maxStandinConnections))
	if unregister() {
		return err
	}
	<-stopped
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
