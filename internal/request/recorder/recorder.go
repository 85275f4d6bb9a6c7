// Package recorder writes a log line for each request and updates the request metrics.
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

// histogramBuckets is the number of buckets that go-kit recommends.
const histogramBuckets = 50

// Entry describes a finished request.
type Entry struct {
	ID string
	// Request is nil if the request was not identified.
	Request *identifier.Request
	Result  forwarder.Result
	// Queued is the time in the admission queue.
	Queued time.Duration
	// Duration is the time from the arrival of the request to the end of its answer.
	// It is 0 for requests that were refused before they were decoded.
	Duration time.Duration
}

// Metrics contains the request metrics of an entry daemon. Histograms are in seconds.
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

// Counter creates an expvar counter with the prefix "requests.".
func Counter(name string) metrics.Counter { return expvar.NewCounter("requests." + name) }

// histogram creates an expvar histogram with the prefix "requests.".
func histogram(name string) metrics.Histogram {
	return expvar.NewHistogram("requests."+name, histogramBuckets)
}

// ExpvarMetrics returns the request metrics of this process. They are created only once,
// because expvar panics if a name is published twice.
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

// ExpvarCounters returns the counters of attempts and retries of this process. They are
// created only once, like those of ExpvarMetrics.
var ExpvarCounters = sync.OnceValue(newExpvarCounters)

func newExpvarCounters() *forwarder.Counters { return forwarder.NewCounters(Counter) }

// Recorder records finished requests. Nothing is logged if Log is nil, and nothing is
// counted if Metrics is nil.
type Recorder struct {
	Log     *logger.Logger
	Metrics *Metrics
}

// Record updates the metrics and writes the log line of a request.
func (r *Recorder) Record(e Entry) {
	r.count(e)
	if r.Log == nil {
		return
	}
	r.Log.Info("request", logFields(e)...)
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

func logFields(e Entry) []zap.Field {
	res := e.Result
	fields := []zap.Field{
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
		fields = append(fields, zap.String("team", e.Request.Team.Name),
			zap.String("target", e.Request.Target.Name()),
			zap.String("priority", e.Request.Priority.String()))
	}
	if res.Err != nil {
		fields = append(fields, zap.Int("status", res.Err.Status), zap.String("code", res.Err.Code), zap.String("error", res.Err.Message))
	}
	return fields
}
