package forwarder

import (
	"github.com/go-kit/kit/metrics"
)

// Counters are the metrics of attempts and retries.
type Counters struct {
	// abandonedEvents counts events of earlier attempts of the same request.
	abandonedEvents metrics.Counter
	// crossedEvents counts events of other requests.
	crossedEvents metrics.Counter
	// faults counts attempts whose events were inconsistent.
	faults  metrics.Counter
	retries metrics.Counter
	// retriesDenied counts failed attempts that were not retried because the retry
	// budget was used up.
	retriesDenied metrics.Counter
	// resumes counts retries that continue a broken stream.
	resumes metrics.Counter
}

// NewCounters creates each counter by calling counter with its metric name.
func NewCounters(counter func(name string) metrics.Counter) *Counters {
	return &Counters{
		abandonedEvents: counter("attempt-events-abandoned"),
		crossedEvents:   counter("attempt-events-crossed"),
		faults:          counter("attempt-faults"),
		retries:         counter("retries"),
		retriesDenied:   counter("retries-denied"),
		resumes:         counter("resumes"),
	}
}

func (c *Counters) add(counter metrics.Counter) { counter.Add(1) }
