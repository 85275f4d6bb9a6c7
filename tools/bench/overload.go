package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/admitter"
	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	overloadSeed        = 1
	overloadReplicas    = 8
	overloadSlots       = 8
	overloadWarmUp      = 8 * time.Second
	overloadDuration    = 6 * time.Second
	overloadDeadline    = 2 * time.Second
	overloadPrefill     = 20 * time.Millisecond
	overloadTokenTime   = time.Millisecond
	overloadMeanTokens  = 130
	largeTeamLoadFactor = 4
)

// overloadRun sends requests to entry daemons in front of engines with a fixed
// number of slots.
type overloadRun struct {
	name      string
	entries   int
	admission bool
	teams     []*teamLoad

	target       identifier.Target
	engines      map[string]*slottedEngine
	daemons      []*overloadEntryDaemon
	measureUntil time.Time
	measureFrom  time.Time
	// servedSlotTime is the slot time spent on requests that were served, in
	// nanoseconds.
	servedSlotTime atomic.Int64
	pending        sync.WaitGroup
}

// teamLoad is the load that one team offers: requests at a constant mean rate.
type teamLoad struct {
	team              *parser.Team
	requestsPerSecond float64
	tokens            atomic.Int64
}

// overloadEntryDaemon is the admitter and the picker of one entry daemon.
type overloadEntryDaemon struct {
	admitter *admitter.Admitter
	picker   *picker.Picker
}

// slottedEngine runs one request per slot and queues the others. A request whose
// deadline passes leaves the queue or its slot immediately.
type slottedEngine struct {
	slots chan struct{}
}

// benchOverload measures the goodput at twice the capacity, and the share of a
// small team while a large team offers largeTeamLoadFactor times the capacity.
// The baseline has no admission control.
func benchOverload(w io.Writer) error {
	fmt.Fprintf(w, "overload/seed %d number\n", overloadSeed)
	capacity := measureCapacity()
	fmt.Fprintf(w, "overload/capacity %.1f slots\n", capacity)
	slotRequestsPerSecond := 1 / (overloadPrefill + overloadMeanTokens*overloadTokenTime).Seconds()
	for _, r := range []*overloadRun{
		{name: "admission/entries-1", entries: 1, admission: true},
		{name: "admission/entries-4", entries: 4, admission: true},
		{name: "no-admission/entries-4", entries: 4},
	} {
		r.teams = []*teamLoad{newTeamLoad("presses", 1, 2*capacity*slotRequestsPerSecond)}
		r.simulate()
		goodput := r.goodput()
		fmt.Fprintf(w, "overload/%s/goodput %.1f slots\n", r.name, goodput)
		fmt.Fprintf(w, "overload/%s/goodput-to-capacity %.3f ratio\n", r.name, goodput/capacity)
	}
	for _, r := range []*overloadRun{
		{name: "admission/entries-1", entries: 1, admission: true},
		{name: "admission/entries-4", entries: 4, admission: true},
		{name: "no-admission/entries-4", entries: 4},
	} {
		r.teams = []*teamLoad{
			newTeamLoad("suppliers", 1, 0.5*capacity*slotRequestsPerSecond),
			newTeamLoad("presses", 3, largeTeamLoadFactor*capacity*slotRequestsPerSecond),
		}
		r.simulate()
		r.printShare(w)
	}
	return nil
}

func newTeamLoad(name string, weight int, rate float64) *teamLoad {
	return &teamLoad{team: &parser.Team{Name: name, Weight: weight}, requestsPerSecond: rate}
}

// printShare prints the small team's share of the tokens and its ratio to the
// fair share. The fair share is the team's part of all weights, because the team
// offers more load than that.
func (r *overloadRun) printShare(w io.Writer) {
	small, large := r.teams[0], r.teams[1]
	total := float64(small.tokens.Load() + large.tokens.Load())
	share := float64(small.tokens.Load()) / total
	fair := float64(small.team.Weight) / float64(small.team.Weight+large.team.Weight)
	fmt.Fprintf(w, "overload/%s/small-team-share %.1f %%\n", r.name, 100*share)
	fmt.Fprintf(w, "overload/%s/small-team-to-fair-share %.3f ratio\n", r.name, share/fair)
}

// measureCapacity returns the goodput of a closed loop that keeps twice as many
// requests in flight as there are slots.
func measureCapacity() float64 {
	r := &overloadRun{entries: 1, teams: []*teamLoad{newTeamLoad("presses", 1, 0)}}
	r.setUp()
	for n := range 2 * overloadReplicas * overloadSlots {
		r.pending.Add(1)
		go (&closedLoopWorker{run: r, random: rand.New(rand.NewPCG(overloadSeed, uint64(n)))}).loop()
	}
	r.pending.Wait()
	return r.goodput()
}

// goodput returns the mean number of slots that worked on requests that were
// served. It counts slot time instead of requests, because a system that rejects
// long requests serves more requests with the same slots.
func (r *overloadRun) goodput() float64 {
	return time.Duration(r.servedSlotTime.Load()).Seconds() / overloadDuration.Seconds()
}

func (r *overloadRun) setUp() {
	r.target = identifier.Target{Model: benchModel}
	r.engines = map[string]*slottedEngine{}
	var all []picker.Candidate
	for i := range overloadReplicas {
		entry := readyReplica(i)
		r.engines[entry.GetVm()] = &slottedEngine{slots: make(chan struct{}, overloadSlots)}
		all = append(all, picker.Candidate{Replica: entry, Load: &messenger.Load{Rate: 1}})
	}
	for i := range r.entries {
		p := &picker.Picker{VM: fmt.Sprintf("entry-%d", i), Region: "r0", FailureDomain: "d0"}
		p.Update(all, time.Now())
		r.daemons = append(r.daemons, &overloadEntryDaemon{
			picker:   p,
			admitter: &admitter.Admitter{Capacity: p.Capacity, Entries: func(time.Time) int { return r.entries }},
		})
	}
	r.measureFrom = time.Now().Add(overloadWarmUp)
	r.measureUntil = r.measureFrom.Add(overloadDuration)
}

func (r *overloadRun) simulate() {
	r.setUp()
	for i, t := range r.teams {
		r.pending.Add(1)
		go (&openLoopGenerator{run: r, team: t, random: rand.New(rand.NewPCG(overloadSeed, uint64(i)))}).loop()
	}
	r.pending.Wait()
}

// openLoopGenerator sends a team's requests as a Poisson process, whether or not
// earlier ones have ended.
type openLoopGenerator struct {
	run    *overloadRun
	team   *teamLoad
	random *rand.Rand
}

func (g *openLoopGenerator) loop() {
	defer g.run.pending.Done()
	due := time.Now()
	for due.Before(g.run.measureUntil) {
		due = due.Add(time.Duration(g.random.ExpFloat64() / g.team.requestsPerSecond * float64(time.Second)))
		time.Sleep(time.Until(due))
		c := g.run.newCall(g.team, g.random, due)
		g.run.pending.Add(1)
		go c.run()
	}
}

// overloadCall is one request.
type overloadCall struct {
	overload *overloadRun
	team     *teamLoad
	entry    *overloadEntryDaemon
	due      time.Time
	tokens   int
}

func (r *overloadRun) newCall(t *teamLoad, random *rand.Rand, due time.Time) *overloadCall {
	return &overloadCall{
		overload: r, team: t, due: due, entry: r.daemons[random.IntN(len(r.daemons))],
		tokens: 1 + int(overloadMeanTokens*logNormal(random)),
	}
}

func (c *overloadCall) serviceTime() time.Duration {
	return overloadPrefill + time.Duration(c.tokens)*overloadTokenTime
}

func (c *overloadCall) run() {
	defer c.overload.pending.Done()
	c.serve(c.due.Add(overloadDeadline))
}

func (c *overloadCall) serve(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if c.overload.admission {
		permit, err := c.entry.admitter.Admit(ctx, &identifier.Request{
			Team: c.team.team, Target: c.overload.target, Cost: c.tokens, Deadline: deadline,
			Priority: messenger.Priority_PRIORITY_STANDARD,
		}, time.Now())
		if err != nil {
			return
		}
		defer func() { permit.Release(time.Now()) }()
	}
	choice, ok := c.entry.picker.Pick(&picker.Query{Target: c.overload.target}, time.Now())
	if !ok {
		return
	}
	done := c.attempt(ctx, choice)
	choice.Release()
	now := time.Now()
	if done && now.After(c.overload.measureFrom) && now.Before(c.overload.measureUntil) {
		c.overload.servedSlotTime.Add(int64(c.serviceTime()))
		c.team.tokens.Add(int64(c.tokens))
	}
}

func (c *overloadCall) attempt(ctx context.Context, choice picker.Choice) bool {
	sent := time.Now()
	e := c.overload.engines[choice.VM]
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.slots }()
	if !waiter.Wait(ctx, overloadPrefill) {
		return false
	}
	choice.FirstToken(time.Since(sent), time.Now())
	return waiter.Wait(ctx, time.Duration(c.tokens)*overloadTokenTime)
}

// closedLoopWorker sends its next request when the previous one has ended.
type closedLoopWorker struct {
	run    *overloadRun
	random *rand.Rand
}

func (w *closedLoopWorker) loop() {
	defer w.run.pending.Done()
	for time.Now().Before(w.run.measureUntil) {
		w.run.newCall(w.run.teams[0], w.random, time.Now()).serve(time.Now().Add(time.Minute))
	}
}
