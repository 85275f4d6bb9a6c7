package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the highest value of the histograms, which keep 3 significant
	// figures.
	maxLatency  = 10 * time.Minute
	maxExamples = 5
	noOutcome   = "none"
)

// results collects the latencies and outcomes of one run.
type results struct {
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	outcomes   map[string]int
	sent       int
	answered   int
	failed     int
	wrong      int
	unsent     int
	examples   []string
}

func newResults() *results {
	return &results{firstToken: newHistogram(), interToken: newHistogram(), total: newHistogram(), outcomes: map[string]int{}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

func (r *results) recordUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}

// recordCall records the result of a call. Latencies are measured from the time at
// which the request was due, so that stalls of the sender or the system count.
func (r *results) recordCall(c *call, result callResult, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if result.outcome == "" {
		result.outcome = noOutcome
	}
	r.outcomes[result.outcome]++
	if result.err != nil {
		r.recordError(result)
		return
	}
	r.answered++
	recordLatency(r.total, now.Sub(c.dueAt))
	for i, tokenTime := range c.tokenTimes {
		if i == 0 {
			recordLatency(r.firstToken, tokenTime.Sub(c.dueAt))
		} else {
			recordLatency(r.interToken, tokenTime.Sub(c.tokenTimes[i-1]))
		}
	}
}

func (r *results) recordError(result callResult) {
	r.failed++
	var wrong *WrongAnswerError
	if errors.As(result.err, &wrong) {
		r.wrong++
	}
	if len(r.examples) < maxExamples {
		r.examples = append(r.examples, fmt.Sprintf("%s: %v", result.outcome, result.err))
	}
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue rejects values above the maximum, so they are clamped to it.
	_ = h.RecordValue(min(max(d, 0), maxLatency).Microseconds())
}

// print writes the results and returns an error if an answer was wrong.
func (r *results) print(w io.Writer, elapsed time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(w, "load/sent %d requests\n", r.sent)
	fmt.Fprintf(w, "load/unsent %d requests\n", r.unsent)
	fmt.Fprintf(w, "load/answered %d requests\n", r.answered)
	fmt.Fprintf(w, "load/failed %d requests\n", r.failed)
	fmt.Fprintf(w, "load/wrong %d requests\n", r.wrong)
	fmt.Fprintf(w, "load/goodput %.1f requests/s\n", float64(r.answered)/elapsed.Seconds())
	outcomes := make([]string, 0, len(r.outcomes))
	for outcome := range r.outcomes {
		outcomes = append(outcomes, outcome)
	}
	slices.Sort(outcomes)
	for _, outcome := range outcomes {
		fmt.Fprintf(w, "load/outcome-%s %d requests\n", outcome, r.outcomes[outcome])
	}
	printLatencies(w, "first-token", r.firstToken)
	printLatencies(w, "between-tokens", r.interToken)
	printLatencies(w, "whole", r.total)
	for _, example := range r.examples {
		fmt.Fprintf(w, "# failed: %s\n", example)
	}
	if r.wrong > 0 {
		return fmt.Errorf("%d answers were wrong", r.wrong)
	}
	return nil
}

func printLatencies(w io.Writer, name string, h *hdrhistogram.Histogram) {
	if h.TotalCount() == 0 {
		return
	}
	for _, q := range []float64{50, 95, 99} {
		ms := float64(h.ValueAtQuantile(q)) / 1000
		fmt.Fprintf(w, "load/%s/p%g %.2f ms\n", name, q, ms)
	}
	fmt.Fprintf(w, "load/%s/max %.2f ms\n", name, float64(h.Max())/1000)
}
