package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/internal/request/shedder"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
)

const (
	contentionSeed     = 1
	contentionReplicas = 9
	contentionDaemons  = 9
	contentionSlots    = 12
	contentionWarmUp   = 6 * time.Second
	contentionDuration = 10 * time.Second
	contentionDeadline = 6 * time.Second
	contentionTarget   = 400 * time.Millisecond
	contentionPrompt   = 900
	contentionEvents   = 18
	// contentionCapacity is about the number of requests per second that a replica completes.
	contentionCapacity = 10.0
	// reportInterval and digestInterval are the times between reports of the daemons within a failure
	// domain and to the others.
	reportInterval = 100 * time.Millisecond
	digestRounds   = 5
)

var contentionDomains = []string{"a", "b", "c"}

// contentionRun is one load on replicas behind daemons that place requests by one policy.
type contentionRun struct {
	policy string
	load   float64
	// evacuated is set if a third of the replicas is lost at the end of the warm-up.
	evacuated bool

	replicas []*passEngine
	daemons  []placing
	random   *rand.Rand
	began    time.Time
	pending  sync.WaitGroup

	mu      sync.Mutex
	inTime  int
	arrived map[string]int
	refused map[string]int
}

// placing is how a daemon places requests. Place returns nil if the request is refused.
type placing interface {
	place(ctx context.Context, returning bool) placement
	evacuate(domain string)
	domain() string
}

// placement is a request that may be sent to a replica.
type placement interface {
	replica() string
	firstToken(now time.Time)
	done(now time.Time)
}

// passEngine runs requests in passes: a pass processes the prompts of those that it admits and then
// generates tokens of all that run.
type passEngine struct {
	placer.Replica
	mu      sync.Mutex
	waiting []*passRequest
	running []*passRequest
}

// passRequest is a request at an engine. Its first and last event are reported.
type passRequest struct {
	ctx         context.Context
	left        int
	first, last chan struct{}
}

func (e *passEngine) run(ctx context.Context) {
	for ctx.Err() == nil {
		waiter.Wait(ctx, e.pass())
		e.finishPass()
	}
}

// pass admits requests and returns how long the pass takes.
func (e *passEngine) pass() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting = slices.DeleteFunc(e.waiting, func(r *passRequest) bool { return r.ctx.Err() != nil })
	took := time.Duration(0)
	for len(e.waiting) > 0 && len(e.running) < e.Slots {
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
		took += time.Duration(contentionPrompt / e.Engine.PrefillTokensPerSecond * float64(time.Second))
	}
	if len(e.running) == 0 {
		return time.Millisecond
	}
	return took + time.Duration(e.Engine.Stride)*(e.Engine.Step+time.Duration(len(e.running))*e.Engine.PerRequest)
}

func (e *passEngine) finishPass() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = slices.DeleteFunc(e.running, func(r *passRequest) bool {
		if r.left == contentionEvents {
			close(r.first)
		}
		r.left--
		if r.left == 0 {
			close(r.last)
		}
		return r.left == 0
	})
}

func (e *passEngine) submit(ctx context.Context) *passRequest {
	r := &passRequest{ctx: ctx, left: contentionEvents, first: make(chan struct{}), last: make(chan struct{})}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting = append(e.waiting, r)
	return r
}

// benchContention measures the answers in time below and above the capacity, and after a third of the
// replicas is lost, of the placer and of baselines: daemons that queue requests first in, first out,
// daemons with a fixed number of requests in progress, and daemons without admission control.
func benchContention(w io.Writer) error {
	fmt.Fprintf(w, "contention/seed %d number\n", contentionSeed)
	for _, s := range []struct {
		name      string
		load      float64
		evacuated bool
	}{{"load-0.95", 0.95, false}, {"load-1.4", 1.4, false}, {"third-evacuated-load-1.4", 1.4, true}} {
		var runs []*contentionRun
		var wg sync.WaitGroup
		for _, policy := range []string{"placer", "fifo", "fixed-concurrency", "no-admission"} {
			r := &contentionRun{policy: policy, load: s.load, evacuated: s.evacuated}
			runs = append(runs, r)
			wg.Go(r.run)
		}
		wg.Wait()
		for _, r := range runs {
			r.print(w, s.name)
		}
	}
	return nil
}

func (r *contentionRun) print(w io.Writer, scenario string) {
	least, most := 1.0, 0.0
	for _, domain := range contentionDomains {
		part := float64(r.refused[domain]) / float64(max(r.arrived[domain], 1))
		least, most = min(least, part), max(most, part)
	}
	name := "contention/" + scenario + "/" + r.policy
	fmt.Fprintf(w, "%s/answers-in-time %.2f of capacity\n", name, float64(r.inTime)/contentionDuration.Seconds()/(r.remaining()*contentionCapacity))
	fmt.Fprintf(w, "%s/refused-by-failure-domain %.2f to %.2f\n", name, least, most)
}

// remaining returns the number of replicas in the time that is measured.
func (r *contentionRun) remaining() float64 {
	if r.evacuated {
		return contentionReplicas * 2 / 3
	}
	return contentionReplicas
}

func (r *contentionRun) run() {
	ctx, cancel := context.WithCancel(context.Background())
	r.setUp()
	var background sync.WaitGroup
	for _, e := range r.replicas {
		background.Go(func() { e.run(ctx) })
	}
	if r.policy == "placer" {
		background.Go(func() { (&placerReports{r}).run(ctx) })
	}
	due, evacuated := r.began, false
	for due.Before(r.began.Add(contentionWarmUp + contentionDuration)) {
		rate := r.load * contentionCapacity * contentionReplicas
		if due.After(r.began.Add(contentionWarmUp)) {
			rate = r.load * contentionCapacity * r.remaining()
			if r.evacuated && !evacuated {
				evacuated = true
				for _, d := range r.daemons {
					d.evacuate("a")
				}
			}
		}
		due = due.Add(time.Duration(r.random.ExpFloat64() / rate * float64(time.Second)))
		waiter.Wait(ctx, time.Until(due))
		c := &contentionCall{run: r, due: due, daemon: r.daemons[r.random.IntN(len(r.daemons))], pause: 900 + r.random.IntN(900)}
		r.pending.Go(c.serve)
	}
	r.pending.Wait()
	cancel()
	background.Wait()
}

func (r *contentionRun) setUp() {
	r.random = rand.New(rand.NewPCG(contentionSeed, 1))
	r.arrived, r.refused = map[string]int{}, map[string]int{}
	engine := &placer.Engine{PrefillTokensPerSecond: 30600, Step: 6730 * time.Microsecond, PerRequest: 22 * time.Microsecond, Stride: 7}
	for i := range contentionReplicas {
		id := fmt.Sprint("replica-", i)
		r.replicas = append(r.replicas, &passEngine{Replica: placer.Replica{
			ID: id, Address: id, Service: "llm", FailureDomain: contentionDomains[i%len(contentionDomains)], Slots: contentionSlots, Engine: engine,
		}})
	}
	for i := range contentionDaemons {
		domain := contentionDomains[i%len(contentionDomains)]
		if r.policy == "placer" {
			r.daemons = append(r.daemons, &placerDaemon{&placer.Placer{VM: fmt.Sprint("vm-", i), FailureDomain: domain}})
			continue
		}
		r.daemons = append(r.daemons, newCountingDaemon(r, domain))
	}
	r.began = time.Now()
}

// contentionCall is a request of a caller, which returns once after a refusal.
type contentionCall struct {
	run    *contentionRun
	daemon placing
	due    time.Time
	// pause is the time until the caller returns, in milliseconds.
	pause int
}

func (c *contentionCall) serve() {
	ctx, cancel := context.WithDeadline(context.Background(), c.due.Add(contentionDeadline))
	defer cancel()
	placed := c.daemon.place(ctx, false)
	refused := placed == nil
	if refused {
		waiter.Wait(ctx, time.Duration(c.pause)*time.Millisecond)
		placed = c.daemon.place(ctx, true)
	}
	inTime := placed != nil && c.send(ctx, placed)
	if from := c.run.began.Add(contentionWarmUp); c.due.Before(from) {
		return
	}
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	c.run.arrived[c.daemon.domain()]++
	if refused {
		c.run.refused[c.daemon.domain()]++
	}
	if inTime {
		c.run.inTime++
	}
}

// send runs the request and reports whether its first token came in time.
func (c *contentionCall) send(ctx context.Context, placed placement) (inTime bool) {
	defer func() { placed.done(time.Now()) }()
	i := slices.IndexFunc(c.run.replicas, func(e *passEngine) bool { return e.ID == placed.replica() })
	sent := c.run.replicas[i].submit(ctx)
	select {
	case <-sent.first:
		placed.firstToken(time.Now())
		inTime = time.Since(c.due) <= contentionTarget
	case <-ctx.Done():
		return false
	}
	<-sent.last
	return inTime
}

// placerDaemon is a daemon with the project's placer.
type placerDaemon struct{ placer *placer.Placer }

func (d *placerDaemon) domain() string { return d.placer.FailureDomain }

func (d *placerDaemon) evacuate(domain string) {
	d.placer.SetEvacuated([]string{domain}, time.Now())
}

func (d *placerDaemon) place(ctx context.Context, returning bool) placement {
	q := placer.Query{
		Service: "llm", Class: shedder.Class{Returning: returning}, MaxWait: 3 * contentionTarget / 10, PromptTokens: contentionPrompt, TargetLatency: contentionTarget,
	}
	if returning {
		q.MaxWait = 1500 * time.Millisecond
	}
	placed, err := d.placer.Place(ctx, q, time.Now())
	if err != nil {
		return nil
	}
	return placerPlacement{placed}
}

type placerPlacement struct{ placer.Placement }

func (p placerPlacement) replica() string          { return p.Replica.ID }
func (p placerPlacement) firstToken(now time.Time) { p.RecordFirstToken(now) }
func (p placerPlacement) done(now time.Time)       { p.Done(placer.Succeeded, now) }

// placerReports exchanges the reports of the daemons of a run.
type placerReports struct{ *contentionRun }

func (r *placerReports) run(ctx context.Context) {
	r.update()
	for round := 1; waiter.Wait(ctx, reportInterval); round++ {
		if round%digestRounds == 0 {
			r.update()
		}
		r.exchange(round%digestRounds == 0, time.Now())
	}
}

func (r *placerReports) update() {
	for _, d := range r.daemons {
		p := d.(*placerDaemon).placer
		var list []placer.Replica
		for _, e := range r.replicas {
			replica := e.Replica
			if replica.FailureDomain == p.FailureDomain {
				replica.PreferredBy = r.daemonsOf(p.FailureDomain)
			}
			list = append(list, replica)
		}
		p.Update(list, time.Now())
	}
}

func (r *placerReports) daemonsOf(domain string) []string {
	var out []string
	for _, d := range r.daemons {
		if d.domain() == domain {
			out = append(out, d.(*placerDaemon).placer.VM)
		}
	}
	return out
}

// exchange sends the reports within the failure domains, and those to others if digests is set.
func (r *placerReports) exchange(digests bool, now time.Time) {
	for i, from := range r.daemons {
		from := from.(*placerDaemon).placer
		for _, to := range r.daemons {
			to := to.(*placerDaemon).placer
			switch {
			case from == to:
			case from.FailureDomain == to.FailureDomain:
				to.SetPeerLoad(from.VM, from.Loads(), now)
				to.SetPeerDemand(from.VM, from.Demand(now), now)
			case digests && i < len(contentionDomains):
				to.SetDomainLoad(from.FailureDomain, from.DomainLoads(now), now)
				to.SetDomainDemand(from.FailureDomain, from.DomainDemand(now), now)
			}
		}
	}
}
