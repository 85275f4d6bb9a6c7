package router

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/internal/request/drainer"
	"github.com/lentilbridge/lentilbridge/internal/request/forwarder"
)

const (
	// propagationTime is how long other daemons may still list this one after Leave.
	propagationTime = 3 * time.Second
	// answerTime limits the time from the end of the requests to their answers. Before
	// these, agents are instructed to cancel the attempts.
	answerTime = 2 * forwarder.DefaultCancelTimeout
	// rpcStopTimeout limits the wait for calls of other daemons.
	rpcStopTimeout = time.Second
)

// DrainTimeoutError reports that requests were still in progress at the end of a stop.
type DrainTimeoutError struct{}

func (e *DrainTimeoutError) Error() string {
	return "--drain-timeout passed before all requests ended"
}

// leave stops the daemon gracefully. It announces that it is leaving, so that
// /v1/entries no longer lists it, serves until the last answer that listed it has
// expired, and then waits for its requests to end, at most for DrainTimeout.
func (d *daemon) leave(now time.Time) error {
	listedTime := d.cfg.EntriesValid + propagationTime
	plan := drainer.NewPlan(now, listedTime, listedTime+d.cfg.DrainTimeout)
	plan.ConnectionsClose = plan.RequestsEnd.Add(answerTime)
	d.log.Info("entry daemon leaves", zap.Duration("intake", plan.IntakeEnds.Sub(now)), zap.Duration("requests-end", plan.RequestsEnd.Sub(now)))
	d.requests.Stop(plan)
	d.membership.Leave()
	var err error
	if !d.public.Drain(context.Background(), plan) {
		err = &DrainTimeoutError{}
	}
	d.log.Info("entry daemon stopped", zap.Error(err))
	return err
}

// connectionCloser closes the connection of each answer while the daemon stops, so that
// callers connect to another daemon.
type connectionCloser struct {
	http.Handler
	requests *Requests
}

func (h connectionCloser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.requests.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	h.Handler.ServeHTTP(w, r)
}

// stopComponents ends the calls of other daemons and then stops the components, which
// serve these calls until then.
func (d *daemon) stopComponents(stop context.CancelFunc) {
	defer stop()
	limit := time.AfterFunc(rpcStopTimeout, d.rpc.Stop)
	defer limit.Stop()
	close(d.streams.end)
	d.rpc.GracefulStop()
}

// streamEnder ends the streams of other daemons, which have no end of their own.
type streamEnder struct {
	end chan struct{}
}

// intercept implements grpc.StreamServerInterceptor.
func (s *streamEnder) intercept(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	h := &streamHandler{ended: make(chan error, 1)}
	go h.run(srv, stream, handler)
	select {
	case err := <-h.ended:
		return err
	case <-s.end:
		return status.Error(codes.Unavailable, "the entry daemon stops")
	}
}

// streamHandler runs the handler of a stream, which ends at the latest with the context
// of the stream.
type streamHandler struct {
	ended chan error
}

func (h *streamHandler) run(srv any, stream grpc.ServerStream, handler grpc.StreamHandler) {
	h.ended <- handler(srv, stream)
}
