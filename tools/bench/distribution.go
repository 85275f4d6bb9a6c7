package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// weightsBytes and chunkBytes keep the ratio of a version to its chunks
	// large with little traffic.
	weightsBytes = 8 << 20
	chunkBytes   = 64 << 10
	// window is the time in which the origin's link carries originCopies and
	// a VM's link vmCopies in each direction.
	window       = 8 * time.Second
	originCopies = 4
	vmCopies     = 2
	// regionCopies is the rate of the link from one region to another.
	regionCopies = 2
	// benchSeed makes the choice of VMs that die reproducible.
	benchSeed = 1
)

var originRegion = "central"

// distributor is how a version reaches the VMs of a run.
type distributor int

const (
	// byPlan is the weights path of the agents.
	byPlan distributor = iota
	// byOrigin lets every VM read everything from the origin.
	byOrigin
	// byTree is a static tree in which each VM reads from its parent.
	byTree
)

// trial is one distribution to N VMs.
type trial struct {
	name    string
	by      distributor
	n       int
	regions []string
	policy  string
	// dying VMs stop when half of a copy was read from the origin.
	dying int
}

// outcome is what a trial measured.
type outcome struct {
	elapsed      time.Duration
	originCopies float64
	// acrossCopies is by the region that received.
	acrossCopies map[string]float64
}

// benchDistribution measures the time to N complete replicas and the copies
// read from the origin, against two baselines.
func benchDistribution(w io.Writer) error {
	fmt.Fprintf(w, "distribution/seed %d number\n", benchSeed)
	sizes := []int{4, 8, 16, 32, 64}
	single := []string{originRegion}
	three := []string{originRegion, "north", "east"}
	baselines := &parallel{}
	for _, n := range sizes {
		baselines.start(trial{name: fmt.Sprintf("distribution/origin-only/n-%d", n), by: byOrigin, n: n, regions: single, policy: "time"})
	}
	if err := baselines.report(w); err != nil {
		return err
	}
	var trials []trial
	for _, n := range sizes {
		trials = append(trials,
			trial{name: fmt.Sprintf("distribution/static-tree/n-%d", n), by: byTree, n: n, regions: single},
			trial{name: fmt.Sprintf("distribution/plan/n-%d", n), by: byPlan, n: n, regions: single, policy: "time"})
	}
	trials = append(trials,
		trial{name: "distribution/plan-dying/n-30", n: 30, regions: single, policy: "time", dying: 3},
		trial{name: "distribution/plan-dying/n-60", n: 60, regions: single, policy: "time", dying: 6},
		trial{name: "distribution/time-3-regions/n-30", n: 30, regions: three, policy: "time"},
		trial{name: "distribution/origin-bytes-3-regions/n-30", n: 30, regions: three, policy: "origin-bytes"},
		trial{name: "distribution/origin-bytes-3-regions-dying/n-30", n: 30, regions: three, policy: "origin-bytes", dying: 3},
	)
	for _, t := range trials {
		if err := t.report(w); err != nil {
			return err
		}
	}
	return nil
}

// parallel runs trials side by side. It serves the baseline that is limited by
// the origin and so needs little of the machine.
type parallel struct {
	wait  sync.WaitGroup
	parts []*parallelTrial
}

type parallelTrial struct {
	trial trial
	out   strings.Builder
	err   error
}

func (p *parallel) start(t trial) {
	part := &parallelTrial{trial: t}
	p.parts = append(p.parts, part)
	p.wait.Add(1)
	go part.run(&p.wait)
}

func (p *parallelTrial) run(wait *sync.WaitGroup) {
	defer wait.Done()
	p.err = p.trial.report(&p.out)
}

func (p *parallel) report(w io.Writer) error {
	p.wait.Wait()
	for _, part := range p.parts {
		if part.err != nil {
			return part.err
		}
		fmt.Fprint(w, part.out.String())
	}
	return nil
}

// report runs the trial and prints what it measured.
func (t trial) report(w io.Writer) error {
	got, err := t.measure()
	if err != nil {
		return fmt.Errorf("%s: %w", t.name, err)
	}
	bound := t.lowerBound()
	fmt.Fprintf(w, "%s/time %.2f s\n", t.name, got.elapsed.Seconds())
	fmt.Fprintf(w, "%s/time-to-lower-bound %.2f ratio\n", t.name, got.elapsed.Seconds()/bound.Seconds())
	fmt.Fprintf(w, "%s/origin %.3f copies\n", t.name, got.originCopies)
	if t.policy == "time" && len(t.regions) > 1 {
		fmt.Fprintf(w, "%s/origin-per-region %.3f copies\n", t.name, got.originCopies/float64(len(t.regions)))
	}
	for _, region := range t.regions {
		if copies, ok := got.acrossCopies[region]; ok {
			fmt.Fprintf(w, "%s/into-%s %.3f copies\n", t.name, region, copies)
		}
	}
	return nil
}

// lowerBound is the largest of size / origin rate, size / VM rate, N · size /
// (origin rate + N · VM rate) and, across regions, size / region-link rate.
// With policy "time" the origin sends one copy per region.
func (t trial) lowerBound() time.Duration {
	n := float64(t.n - t.dying)
	copies := 1.0
	if t.policy == "time" {
		copies = float64(len(t.regions))
	}
	bound := max(copies/originCopies, 1.0/vmCopies, n/(originCopies+n*vmCopies))
	if len(t.regions) > 1 {
		bound = max(bound, 1.0/regionCopies)
	}
	return time.Duration(bound * float64(window))
}

// measure runs the trial once.
func (t trial) measure() (outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	f, err := newFleet(t)
	if err != nil {
		return outcome{}, err
	}
	defer f.stop()
	started := time.Now()
	f.start(ctx)
	if t.dying > 0 {
		f.killSome(ctx, t.dying)
	}
	if err := f.wait(); err != nil {
		return outcome{}, err
	}
	out := outcome{elapsed: f.lastDone().Sub(started), originCopies: f.originCopies(), acrossCopies: map[string]float64{}}
	for region, n := range f.links.acrossBytes() {
		out.acrossCopies[region] = float64(n) / weightsBytes
	}
	return out, nil
}

// killSome stops randomly chosen VMs in the middle of the transfer.
func (f *fleet) killSome(ctx context.Context, n int) {
	for f.originCopies() < 0.5 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	random := rand.New(rand.NewPCG(benchSeed, uint64(len(f.vms))))
	doomed := slices.Clone(f.vms)
	random.Shuffle(len(doomed), func(a, b int) { doomed[a], doomed[b] = doomed[b], doomed[a] })
	for _, v := range doomed[:n] {
		v.kill()
	}
}
