package forwarder

import (
	"github.com/go-kit/kit/metrics"
)

// Counters are the metrics of attempts and retries.
type Counters struct {
	abandonedEvents metrics.Counter
	crossedEvents   metrics.Counter
	faults          metrics.Counter
	retries         metrics.Counter
	retriesDenied   metrics.Counter
	resumes         metrics.Counter
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
