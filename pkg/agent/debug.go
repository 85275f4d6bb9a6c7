package agent

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/kit/metrics"
	kitexpvar "github.com/go-kit/kit/metrics/expvar"
	"golang.org/x/net/netutil"

	"github.com/lentilbridge/lentilbridge/pkg/executor"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	maxDebugConnections  = 64
	debugReadTimeout     = 5 * time.Second
	debugWriteTimeout    = 10 * time.Second
	maxDebugHeaderBytes  = 16 << 10
	maxDebugRequestBytes = 1 << 10
)

// executorMetrics returns the metrics of this process, which expvar lets a
// process publish once.
var executorMetrics = sync.OnceValue(func() executor.Metrics {
	return executor.Metrics{
		Started:         kitexpvar.NewCounter("attempts-started"),
		Refused:         kitexpvar.NewCounter("attempts-refused"),
		Finished:        kitexpvar.NewCounter("attempts-finished"),
		Broken:          kitexpvar.NewCounter("attempts-broken"),
		Canceled:        kitexpvar.NewCounter("attempts-canceled"),
		BackendCrashes:  kitexpvar.NewCounter("backend-crashes"),
		Tokens:          kitexpvar.NewCounter("tokens-relayed"),
		CancelsUnproven: kitexpvar.NewCounter("cancels-unproven"),
	}
})

// gauges show the newest report.
type gauges struct {
	running  metrics.Gauge
	queued   metrics.Gauge
	rate     metrics.Gauge
	revision metrics.Gauge
	sessions metrics.Gauge
	state    metrics.Gauge
}

var reportGauges = sync.OnceValue(func() gauges {
	return gauges{
		running:  kitexpvar.NewGauge("attempts-running"),
		queued:   kitexpvar.NewGauge("attempts-queued"),
		rate:     kitexpvar.NewGauge("units-per-second"),
		revision: kitexpvar.NewGauge("revision"),
		sessions: kitexpvar.NewGauge("sessions-open"),
		state:    kitexpvar.NewGauge("replica-state"),
	}
})

func (g gauges) set(report *messenger.AgentReport, sessions int) {
	g.running.Set(float64(report.GetLoad().GetRunning()))
	g.queued.Set(float64(report.GetLoad().GetQueued()))
	g.rate.Set(report.GetLoad().GetRate())
	g.revision.Set(float64(report.GetRevision()))
	g.sessions.Set(float64(sessions))
	g.state.Set(float64(report.GetReplica().GetState()))
}

// debugServer serves metrics, health and readiness.
type debugServer struct {
	Listener net.Listener
	Reports  *reports
}

func (s *debugServer) serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /readyz", s.ready)
	server := &http.Server{
		Handler:           http.MaxBytesHandler(mux, maxDebugRequestBytes),
		ReadHeaderTimeout: debugReadTimeout,
		ReadTimeout:       debugReadTimeout,
		WriteTimeout:      debugWriteTimeout,
		MaxHeaderBytes:    maxDebugHeaderBytes,
	}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	err := server.Serve(netutil.LimitListener(s.Listener, maxDebugConnections))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *debugServer) health(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "ok")
}

func (s *debugServer) ready(w http.ResponseWriter, _ *http.Request) {
	state := s.Reports.state()
	if state != messenger.ReplicaState_REPLICA_STATE_READY {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintln(w, state)
}
