package main

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
)

const (
	routingSeed     = 1
	routingReplicas = 16
	routingEntries  = 8
	routingLag      = time.Second
	reportEvery     = 200 * time.Millisecond
	routingWarmUp   = 30 * time.Second
	routingDuration = 10 * time.Minute
	engineSlots     = 8
	tokenTime       = 20 * time.Millisecond
	slowFactor      = 2
	routingTries    = 3
	// requestTimeout is noted for a request whose tries all failed.
	requestTimeout = 30 * time.Second
	// prefillMean and tokensMean give a mean run of 1.1 s.
	prefillMean = 100 * time.Millisecond
	tokensMean  = 50
)

// routingRun is one policy at one load.
type routingRun struct {
	name    string
	policy  picker.Policy
	load    float64
	events  *events
	random  *rand.Rand
	engines []*virtualEngine
	byVM    map[string]*virtualEngine
	pickers []*picker.Picker
	zipf    *rand.Zipf
	first   *hdrhistogram.Histogram
	failed  int
	measure bool
}

// routedRequest is one request of the run.
type routedRequest struct {
	run     *routingRun
	picker  *picker.Picker
	arrived time.Time
	prefill time.Duration
	tokens  int
	tries   int
	exclude []*picker.Server
}

// benchRouting measures the time to the first token with lagging load reports,
// one slow replica and one that fails fast.
func benchRouting(w io.Writer) error {
	fmt.Fprintf(w, "routing/seed %d number\n", routingSeed)
	for _, load := range []float64{0.4, 0.7} {
		for _, r := range []*routingRun{
			{name: "two-choices", policy: picker.TwoChoices{}},
			{name: "linear-scan", policy: picker.LinearScan{}},
			{name: "random", policy: picker.Random{}},
			{name: "round-robin", policy: picker.RoundRobin{}},
			{name: "least-reported", policy: picker.LeastReported{}},
		} {
			r.load = load
			r.simulate()
			r.print(w)
		}
	}
	return nil
}

func (r *routingRun) print(w io.Writer) {
	name := fmt.Sprintf("routing/load-%.1f/%s", r.load, r.name)
	for _, q := range []float64{50, 95, 99} {
		fmt.Fprintf(w, "%s/first-token-p%g %.0f ms\n", name, q, float64(r.first.ValueAtQuantile(q))/1000)
	}
	fmt.Fprintf(w, "%s/failed %d requests\n", name, r.failed)
}

func (r *routingRun) simulate() {
	r.events = newEvents()
	r.random = rand.New(rand.NewPCG(routingSeed, routingSeed))
	r.first = hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
	r.byVM = map[string]*virtualEngine{}
	for i := range routingReplicas {
		e := &virtualEngine{events: r.events, slots: engineSlots, slowness: 1, failAfter: 5 * time.Millisecond}
		r.engines = append(r.engines, e)
		r.byVM[replica(i).GetVm()] = e
	}
	r.engines[0].slowness = slowFactor
	r.engines[1].failing = true
	// A few entry daemons get most of the requests, as callers stay with one.
	r.zipf = rand.NewZipf(r.random, 1.5, 2, routingEntries-1)
	for i := range routingEntries {
		r.pickers = append(r.pickers, &picker.Picker{
			VM: fmt.Sprintf("entry-%d", i), Region: "r0", FailureDomain: "d0", Policy: r.policy, Random: r.random.Uint64,
		})
	}
	r.report()
	r.arrive()
	r.events.run(routingWarmUp)
	r.measure = true
	r.events.run(routingDuration)
}

// report gives the lagging loads to all pickers, again and again.
func (r *routingRun) report() {
	candidates := make([]picker.Candidate, len(r.engines))
	for i, e := range r.engines {
		candidates[i] = picker.Candidate{Replica: replica(i), Load: e.sample(routingLag), LoadTime: r.events.now}
	}
	for _, p := range r.pickers {
		p.Update(candidates, r.events.now)
	}
	r.events.after(reportEvery, r.report)
}

// rate returns the arrivals per second at the load, relative to what the
// engines can serve.
func (r *routingRun) rate() float64 {
	runSeconds := prefillMean.Seconds() + tokensMean*tokenTime.Seconds()
	total := 0.0
	for _, e := range r.engines {
		if !e.failing {
			total += float64(e.slots) / (runSeconds * e.slowness)
		}
	}
	return r.load * total
}

func (r *routingRun) arrive() {
	q := &routedRequest{
		run: r, picker: r.pickers[r.zipf.Uint64()], arrived: r.events.now,
		prefill: time.Duration(float64(prefillMean) * skewed(r.random)),
		tokens:  int(math.Ceil(tokensMean * skewed(r.random))),
	}
	q.try()
	r.events.after(time.Duration(r.random.ExpFloat64()/r.rate()*float64(time.Second)), r.arrive)
}

// skewed returns log-normal numbers with mean 1.
func skewed(random *rand.Rand) float64 {
	const sigma = 0.8
	return math.Exp(random.NormFloat64()*sigma - sigma*sigma/2)
}

func (q *routedRequest) try() {
	r := q.run
	query := picker.Query{Target: identifier.Target{Model: benchModel}, Exclude: q.exclude}
	choice, ok := q.picker.Pick(&query, r.events.now)
	if !ok || q.tries >= routingTries {
		if ok {
			choice.Release()
		}
		q.note(requestTimeout)
		r.failed++
		return
	}
	q.tries++
	sent := r.events.now
	r.byVM[choice.VM].run(&virtualRun{
		prefill: q.prefill, decode: time.Duration(q.tokens) * tokenTime,
		first: func() {
			choice.FirstToken(r.events.now.Sub(sent), r.events.now)
			q.note(r.events.now.Sub(q.arrived))
		},
		done: func(ok bool) {
			choice.Done(ok, r.events.now)
			if !ok {
				q.exclude = append(q.exclude, choice.Server)
				q.try()
			}
		},
	})
}

func (q *routedRequest) note(d time.Duration) {
	if q.run.measure {
		_ = q.run.first.RecordValue(d.Microseconds())
	}
}
