package agent

import (
	"sync"

	"github.com/go-kit/kit/metrics"
	kitexpvar "github.com/go-kit/kit/metrics/expvar"

	"github.com/lentilbridge/lentilbridge/internal/daemon/executor"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// executorMetrics returns the metrics of this process. expvar panics when a name
// is published twice, so they are created once.
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
		HeldOff:         kitexpvar.NewCounter("backend-held-off"),
	}
})

// gauges publishes values of the latest report.
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
