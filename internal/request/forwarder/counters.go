package forwarder

import (
	"github.com/go-kit/kit/metrics"
)

// Counters count what happens to attempts.
type Counters struct {
	abandonedEvents metrics.Counter
	crossedEvents   metrics.Counter
	faults          metrics.Counter
	retries         metrics.Counter
	retriesDenied   metrics.Counter
	resumes         metrics.Counter
}

// NewCounters makes the counters with a constructor that takes their names.
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
