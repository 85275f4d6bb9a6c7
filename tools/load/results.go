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
	// longestDelay bounds the histograms; they keep 3 significant figures.
	longestDelay = 10 * time.Minute
	maxExamples  = 5
	noOutcome    = "none"
)

// results are the delays and outcomes of one run.
type results struct {
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	whole      *hdrhistogram.Histogram
	outcomes   map[string]int
	sent       int
	answered   int
	failed     int
	wrong      int
	unsent     int
	examples   []string
}

func newResults() *results {
	return &results{firstToken: newHistogram(), between: newHistogram(), whole: newHistogram(), outcomes: map[string]int{}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestDelay.Microseconds(), 3)
}

func (r *results) skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}

// note takes one call. Delays count from the time at which the request was
// due, so that a stall of the sender or of the system is not left out.
func (r *results) note(c *call, got answer, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if got.outcome == "" {
		got.outcome = noOutcome
	}
	r.outcomes[got.outcome]++
	if got.err != nil {
		r.noteError(got)
		return
	}
	r.answered++
	record(r.whole, now.Sub(c.due))
	for i, at := range c.tokens {
		if i == 0 {
			record(r.firstToken, at.Sub(c.due))
		} else {
			record(r.between, at.Sub(c.tokens[i-1]))
		}
	}
}

func (r *results) noteError(got answer) {
	r.failed++
	var wrong *WrongAnswerError
	if errors.As(got.err, &wrong) {
		r.wrong++
	}
	if len(r.examples) < maxExamples {
		r.examples = append(r.examples, fmt.Sprintf("%s: %v", got.outcome, got.err))
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A value above the bound would be refused; it is kept as the bound.
	_ = h.RecordValue(min(max(d, 0), longestDelay).Microseconds())
}

// print writes the results and fails when an answer was wrong.
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
	printHistogram(w, "first-token", r.firstToken)
	printHistogram(w, "between-tokens", r.between)
	printHistogram(w, "whole", r.whole)
	for _, example := range r.examples {
		fmt.Fprintf(w, "# failed: %s\n", example)
	}
	if r.wrong > 0 {
		return fmt.Errorf("%d answers were wrong", r.wrong)
	}
	return nil
}

func printHistogram(w io.Writer, name string, h *hdrhistogram.Histogram) {
	if h.TotalCount() == 0 {
		return
	}
	for _, q := range []float64{50, 95, 99} {
		ms := float64(h.ValueAtQuantile(q)) / 1000
		fmt.Fprintf(w, "load/%s/p%g %.2f ms\n", name, q, ms)
	}
	fmt.Fprintf(w, "load/%s/max %.2f ms\n", name, float64(h.Max())/1000)
}
