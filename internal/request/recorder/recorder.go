// Package recorder writes one log line per request and keeps the request
// metrics.
package recorder

import (
	"sync"
	"time"

	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/expvar"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/forwarder"
	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

// histogramBuckets is the size that go-kit recommends.
const histogramBuckets = 50

// Entry is one finished request. Request is nil when it was not identified.
type Entry struct {
	ID      string
	Request *identifier.Request
	Result  forwarder.Result
	// Queued is the time in the admission queue.
	Queued   time.Duration
	Duration time.Duration
}

// Metrics are the request metrics of one entry daemon.
type Metrics struct {
	Served       metrics.Counter
	NotRun       metrics.Counter
	Unknown      metrics.Counter
	Tokens       metrics.Counter
	PromptTokens metrics.Counter
	Attempts     metrics.Counter
	FirstToken   metrics.Histogram
	Duration     metrics.Histogram
	Queued       metrics.Histogram
}

// Counter returns an expvar counter of the request path.
func Counter(name string) metrics.Counter { return expvar.NewCounter("requests." + name) }

func histogram(name string) metrics.Histogram {
	return expvar.NewHistogram("requests."+name, histogramBuckets)
}

// ExpvarMetrics returns the metrics of this process. expvar allows each name
// once.
var ExpvarMetrics = sync.OnceValue(newExpvarMetrics)

func newExpvarMetrics() *Metrics {
	return &Metrics{
		Served:       Counter("served"),
		NotRun:       Counter("not-run"),
		Unknown:      Counter("unknown"),
		Tokens:       Counter("tokens"),
		PromptTokens: Counter("prompt-tokens"),
		Attempts:     Counter("attempts"),
		FirstToken:   histogram("first-token-seconds"),
		Duration:     histogram("duration-seconds"),
		Queued:       histogram("queued-seconds"),
	}
}

// ExpvarCounters returns the attempt counters of this process.
var ExpvarCounters = sync.OnceValue(newExpvarCounters)

func newExpvarCounters() *forwarder.Counters { return forwarder.NewCounters(Counter) }

// Recorder records finished requests.
type Recorder struct {
	Log     *logger.Logger
	Metrics *Metrics
}

// Record writes the line of one request and counts it.
func (r *Recorder) Record(e Entry) {
	r.count(e)
	if r.Log == nil {
		return
	}
	r.Log.Info("request", fields(e)...)
}

func (r *Recorder) count(e Entry) {
	m := r.Metrics
	if m == nil {
		return
	}
	switch e.Result.Outcome {
	case identifier.OutcomeServed:
		m.Served.Add(1)
	case identifier.OutcomeNotRun:
		m.NotRun.Add(1)
	default:
		m.Unknown.Add(1)
	}
	m.Attempts.Add(float64(e.Result.Attempts))
	m.Tokens.Add(float64(e.Result.Tokens))
	m.PromptTokens.Add(float64(e.Result.PromptTokens))
	m.Duration.Observe(e.Duration.Seconds())
	m.Queued.Observe(e.Queued.Seconds())
	if e.Result.FirstToken > 0 {
		m.FirstToken.Observe(e.Result.FirstToken.Seconds())
	}
}

func fields(e Entry) []zap.Field {
	res := e.Result
	all := []zap.Field{
		zap.String("id", e.ID),
		zap.String("outcome", string(res.Outcome)),
		zap.Duration("duration", e.Duration),
		zap.Duration("queued", e.Queued),
		zap.Int("attempts", res.Attempts),
		zap.String("vm", res.VM),
		zap.String("version", res.Version),
		zap.Int("prompt-tokens", res.PromptTokens),
		zap.Int("tokens", res.Tokens),
		zap.Duration("first-token", res.FirstToken),
	}
	if e.Request != nil {
		all = append(all, zap.String("team", e.Request.Team.Name),
			zap.String("target", e.Request.Target.Name()),
			zap.String("priority", e.Request.Priority.String()))
	}
	if res.Err != nil {
		all = append(all, zap.Int("status", res.Err.Status), zap.String("code", res.Err.Code), zap.String("error", res.Err.Message))
	}
	return all
}
