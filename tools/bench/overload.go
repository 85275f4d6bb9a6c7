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
	overloadSeed     = 1
	overloadReplicas = 8
	overloadSlots    = 8
	overloadWarmUp   = 8 * time.Second
	overloadDuration = 6 * time.Second
	overloadDeadline = 2 * time.Second
	overloadPrefill  = 20 * time.Millisecond
	overloadToken    = time.Millisecond
	overloadTokens   = 130
	floodFactor      = 4
)

// overloadRun offers load to entry daemons in front of engines with slots.
type overloadRun struct {
	name     string
	entries  int
	admitted bool
	teams    []*offeringTeam

	target  identifier.Target
	engines map[string]*slottedEngine
	daemons []*overloadEntry
	until   time.Time
	from    time.Time
	// useful is the time that slots spent on requests that were served.
	useful  atomic.Int64
	pending sync.WaitGroup
}

// offeringTeam sends requests at a constant rate.
type offeringTeam struct {
	team   *parser.Team
	rate   float64
	tokens atomic.Int64
}

// overloadEntry is the part of an entry daemon that admits and picks.
type overloadEntry struct {
	admitter *admitter.Admitter
	picker   *picker.Picker
}

// slottedEngine runs a number of requests at once and queues the others. A
// request whose caller has gone leaves the queue or its slot at once.
type slottedEngine struct {
	slots chan struct{}
}

// benchOverload measures goodput above the capacity and the share of a small
// team beside one that floods.
func benchOverload(w io.Writer) error {
	fmt.Fprintf(w, "overload/seed %d number\n", overloadSeed)
	capacity := measureCapacity()
	fmt.Fprintf(w, "overload/capacity %.1f slots\n", capacity)
	perSlot := 1 / (overloadPrefill + overloadTokens*overloadToken).Seconds()
	for _, r := range []*overloadRun{
		{name: "admission/entries-1", entries: 1, admitted: true},
		{name: "admission/entries-4", entries: 4, admitted: true},
		{name: "no-admission/entries-4", entries: 4},
	} {
		r.teams = []*offeringTeam{newOffering("presses", 1, 2*capacity*perSlot)}
		r.simulate()
		goodput := r.goodput()
		fmt.Fprintf(w, "overload/%s/goodput %.1f slots\n", r.name, goodput)
		fmt.Fprintf(w, "overload/%s/goodput-to-capacity %.3f ratio\n", r.name, goodput/capacity)
	}
	for _, r := range []*overloadRun{
		{name: "admission/entries-1", entries: 1, admitted: true},
		{name: "admission/entries-4", entries: 4, admitted: true},
		{name: "no-admission/entries-4", entries: 4},
	} {
		r.teams = []*offeringTeam{
			newOffering("suppliers", 1, 0.5*capacity*perSlot),
			newOffering("presses", 3, floodFactor*capacity*perSlot),
		}
		r.simulate()
		r.printShare(w)
	}
	return nil
}

func newOffering(name string, weight int, rate float64) *offeringTeam {
	return &offeringTeam{team: &parser.Team{Name: name, Weight: weight}, rate: rate}
}

// printShare prints the tokens of the small team relative to its fair share,
// which is its weight, as it offers more than that.
func (r *overloadRun) printShare(w io.Writer) {
	small, large := r.teams[0], r.teams[1]
	total := float64(small.tokens.Load() + large.tokens.Load())
	share := float64(small.tokens.Load()) / total
	fair := float64(small.team.Weight) / float64(small.team.Weight+large.team.Weight)
	fmt.Fprintf(w, "overload/%s/small-team-share %.1f %%\n", r.name, 100*share)
	fmt.Fprintf(w, "overload/%s/small-team-to-fair-share %.3f ratio\n", r.name, share/fair)
}

// measureCapacity keeps twice as many requests in progress as there are slots.
func measureCapacity() float64 {
	r := &overloadRun{entries: 1, teams: []*offeringTeam{newOffering("presses", 1, 0)}}
	r.setUp()
	for n := range 2 * overloadReplicas * overloadSlots {
		r.pending.Add(1)
		go (&closedWorker{run: r, random: rand.New(rand.NewPCG(overloadSeed, uint64(n)))}).loop()
	}
	r.pending.Wait()
	return r.goodput()
}

// goodput is the mean number of slots that worked on requests which were
// served. It counts work instead of requests, because a system that refuses
// the long ones serves more requests with the same slots.
func (r *overloadRun) goodput() float64 {
	return time.Duration(r.useful.Load()).Seconds() / overloadDuration.Seconds()
}

func (r *overloadRun) setUp() {
	r.target = identifier.Target{Model: benchModel}
	r.engines = map[string]*slottedEngine{}
	var all []picker.Candidate
	for i := range overloadReplicas {
		entry := replica(i)
		r.engines[entry.GetVm()] = &slottedEngine{slots: make(chan struct{}, overloadSlots)}
		all = append(all, picker.Candidate{Replica: entry, Load: &messenger.Load{Rate: 1}})
	}
	for i := range r.entries {
		p := &picker.Picker{VM: fmt.Sprintf("entry-%d", i), Region: "r0", FailureDomain: "d0"}
		p.Update(all, time.Now())
		r.daemons = append(r.daemons, &overloadEntry{
			picker:   p,
			admitter: &admitter.Admitter{Capacity: p.Capacity, Entries: func(time.Time) int { return r.entries }},
		})
	}
	r.from = time.Now().Add(overloadWarmUp)
	r.until = r.from.Add(overloadDuration)
}

func (r *overloadRun) simulate() {
	r.setUp()
	for i, t := range r.teams {
		r.pending.Add(1)
		go (&teamSource{run: r, team: t, random: rand.New(rand.NewPCG(overloadSeed, uint64(i)))}).loop()
	}
	r.pending.Wait()
}

// teamSource sends a team's requests when they are due.
type teamSource struct {
	run    *overloadRun
	team   *offeringTeam
	random *rand.Rand
}

func (s *teamSource) loop() {
	defer s.run.pending.Done()
	due := time.Now()
	for due.Before(s.run.until) {
		due = due.Add(time.Duration(s.random.ExpFloat64() / s.team.rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		c := s.run.newCall(s.team, s.random, due)
		s.run.pending.Add(1)
		go c.run()
	}
}

// overloadCall is one request.
type overloadCall struct {
	owner  *overloadRun
	team   *offeringTeam
	entry  *overloadEntry
	due    time.Time
	tokens int
}

func (r *overloadRun) newCall(t *offeringTeam, random *rand.Rand, due time.Time) *overloadCall {
	return &overloadCall{
		owner: r, team: t, due: due, entry: r.daemons[random.IntN(len(r.daemons))],
		tokens: 1 + int(overloadTokens*skewed(random)),
	}
}

func (c *overloadCall) runTime() time.Duration {
	return overloadPrefill + time.Duration(c.tokens)*overloadToken
}

func (c *overloadCall) run() {
	defer c.owner.pending.Done()
	c.serve(c.due.Add(overloadDeadline))
}

func (c *overloadCall) serve(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if c.owner.admitted {
		permit, err := c.entry.admitter.Admit(ctx, &identifier.Request{
			Team: c.team.team, Target: c.owner.target, Cost: c.tokens, Deadline: deadline,
			Priority: messenger.Priority_PRIORITY_STANDARD,
		}, time.Now())
		if err != nil {
			return
		}
		defer func() { permit.Release(time.Now()) }()
	}
	choice, ok := c.entry.picker.Pick(&picker.Query{Target: c.owner.target}, time.Now())
	if !ok {
		return
	}
	done := c.attempt(ctx, choice)
	choice.Release()
	now := time.Now()
	if done && now.After(c.owner.from) && now.Before(c.owner.until) {
		c.owner.useful.Add(int64(c.runTime()))
		c.team.tokens.Add(int64(c.tokens))
	}
}

func (c *overloadCall) attempt(ctx context.Context, choice picker.Choice) bool {
	sent := time.Now()
	e := c.owner.engines[choice.VM]
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
	return waiter.Wait(ctx, time.Duration(c.tokens)*overloadToken)
}

// closedWorker sends its next request when the last one has ended.
type closedWorker struct {
	run    *overloadRun
	random *rand.Rand
}

func (w *closedWorker) loop() {
	defer w.run.pending.Done()
	for time.Now().Before(w.run.until) {
		w.run.newCall(w.run.teams[0], w.random, time.Now()).serve(time.Now().Add(time.Minute))
	}
}
