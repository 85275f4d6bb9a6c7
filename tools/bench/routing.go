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
	routingSeed         = 1
	routingReplicas     = 16
	routingEntryDaemons = 8
	loadReportLag       = time.Second
	loadReportInterval  = 200 * time.Millisecond
	routingWarmUp       = 30 * time.Second
	routingDuration     = 10 * time.Minute
	engineSlots         = 8
	tokenTime           = 20 * time.Millisecond
	slowEngineFactor    = 2
	routingMaxAttempts  = 3
	// requestTimeout is recorded as the first-token time of a request whose
	// attempts all failed.
	requestTimeout = 30 * time.Second
	// With tokenTime, these give a mean run time of 1.1 s.
	meanPrefill = 100 * time.Millisecond
	meanTokens  = 50
)

// routingRun simulates one policy at one load.
type routingRun struct {
	name        string
	policy      picker.Policy
	load        float64
	scheduler   *scheduler
	random      *rand.Rand
	engines     []*virtualEngine
	byVM        map[string]*virtualEngine
	pickers     []*picker.Picker
	zipf        *rand.Zipf
	firstTokens *hdrhistogram.Histogram
	failed      int
	measuring   bool
}

// routedRequest is one request of the run.
type routedRequest struct {
	run      *routingRun
	picker   *picker.Picker
	arrived  time.Time
	prefill  time.Duration
	tokens   int
	attempts int
	exclude  []*picker.Server
}

// benchRouting measures the time to the first token with delayed load reports,
// one slow replica and one replica that fails every attempt after 5 ms.
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
		fmt.Fprintf(w, "%s/first-token-p%g %.0f ms\n", name, q, float64(r.firstTokens.ValueAtQuantile(q))/1000)
	}
	fmt.Fprintf(w, "%s/failed %d requests\n", name, r.failed)
}

func (r *routingRun) simulate() {
	r.scheduler = newScheduler()
	r.random = rand.New(rand.NewPCG(routingSeed, routingSeed))
	r.firstTokens = hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
	r.byVM = map[string]*virtualEngine{}
	for i := range routingReplicas {
		e := &virtualEngine{scheduler: r.scheduler, slots: engineSlots, slowness: 1, failAfter: 5 * time.Millisecond}
		r.engines = append(r.engines, e)
		r.byVM[readyReplica(i).GetVm()] = e
	}
	r.engines[0].slowness = slowEngineFactor
	r.engines[1].failing = true
	// Callers keep using one entry daemon, so a few entry daemons get most of the
	// requests.
	r.zipf = rand.NewZipf(r.random, 1.5, 2, routingEntryDaemons-1)
	for i := range routingEntryDaemons {
		r.pickers = append(r.pickers, &picker.Picker{
			VM: fmt.Sprintf("entry-%d", i), Region: "r0", FailureDomain: "d0", Policy: r.policy, Random: r.random.Uint64,
		})
	}
	r.reportLoads()
	r.scheduleArrivals()
	r.scheduler.run(routingWarmUp)
	r.measuring = true
	r.scheduler.run(routingDuration)
}

// reportLoads delivers the delayed loads to all pickers every
// loadReportInterval.
func (r *routingRun) reportLoads() {
	candidates := make([]picker.Candidate, len(r.engines))
	for i, e := range r.engines {
		candidates[i] = picker.Candidate{Replica: readyReplica(i), Load: e.sampleLoad(loadReportLag), LoadTime: r.scheduler.now}
	}
	for _, p := range r.pickers {
		p.Update(candidates, r.scheduler.now)
	}
	r.scheduler.after(loadReportInterval, r.reportLoads)
}

// arrivalRate returns the requests per second at the run's load, which is
// relative to the capacity of the engines that do not fail.
func (r *routingRun) arrivalRate() float64 {
	runSeconds := meanPrefill.Seconds() + meanTokens*tokenTime.Seconds()
	total := 0.0
	for _, e := range r.engines {
		if !e.failing {
			total += float64(e.slots) / (runSeconds * e.slowness)
		}
	}
	return r.load * total
}

// scheduleArrivals sends one request and schedules the next one. Arrivals are a
// Poisson process.
func (r *routingRun) scheduleArrivals() {
	q := &routedRequest{
		run: r, picker: r.pickers[r.zipf.Uint64()], arrived: r.scheduler.now,
		prefill: time.Duration(float64(meanPrefill) * logNormal(r.random)),
		tokens:  int(math.Ceil(meanTokens * logNormal(r.random))),
	}
	q.attempt()
	r.scheduler.after(time.Duration(r.random.ExpFloat64()/r.arrivalRate()*float64(time.Second)), r.scheduleArrivals)
}

// logNormal returns a log-normal random number with mean 1.
func logNormal(random *rand.Rand) float64 {
	const sigma = 0.8
	return math.Exp(random.NormFloat64()*sigma - sigma*sigma/2)
}

// attempt sends the request to a server that has not failed it yet. After
// routingMaxAttempts failures, or when there is no server, the request fails.
func (q *routedRequest) attempt() {
	r := q.run
	query := picker.Query{Target: identifier.Target{Model: benchModel}, Exclude: q.exclude}
	choice, ok := q.picker.Pick(&query, r.scheduler.now)
	if !ok || q.attempts >= routingMaxAttempts {
		if ok {
			choice.Release()
		}
		q.recordFirstToken(requestTimeout)
		r.failed++
		return
	}
	q.attempts++
	sent := r.scheduler.now
	r.byVM[choice.VM].run(&virtualAttempt{
		prefill: q.prefill, decode: time.Duration(q.tokens) * tokenTime,
		onFirstToken: func() {
			choice.FirstToken(r.scheduler.now.Sub(sent), r.scheduler.now)
			q.recordFirstToken(r.scheduler.now.Sub(q.arrived))
		},
		onDone: func(ok bool) {
			choice.Done(ok, r.scheduler.now)
			if !ok {
				q.exclude = append(q.exclude, choice.Server)
				q.attempt()
			}
		},
	})
}

func (q *routedRequest) recordFirstToken(d time.Duration) {
	if q.run.measuring {
		_ = q.run.firstTokens.RecordValue(d.Microseconds())
	}
}
