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
	// A small version in small chunks keeps the number of chunks large with little
	// traffic.
	weightsBytes = 8 << 20
	chunkBytes   = 64 << 10
	// linkWindow is the time in which the origin's link carries
	// originCopiesPerWindow copies of the version, a VM's link
	// vmCopiesPerWindow in each direction and a link between two regions
	// regionCopiesPerWindow.
	linkWindow            = 8 * time.Second
	originCopiesPerWindow = 4
	vmCopiesPerWindow     = 2
	regionCopiesPerWindow = 2
	// benchSeed makes the choice of killed VMs reproducible.
	benchSeed = 1
)

var originRegion = "central"

// distributionMethod is the way in which a version is distributed to the VMs.
type distributionMethod int

const (
	// planned uses the transfer code of the agents.
	planned distributionMethod = iota
	// originOnly lets every VM read the whole version from the origin.
	originOnly
	// staticTree lets each VM read the whole version from its parent in a tree.
	staticTree
)

// trial is one distribution of a version to n VMs.
type trial struct {
	name    string
	method  distributionMethod
	n       int
	regions []string
	policy  string
	// killed is the number of VMs that are stopped once half a copy has been read
	// from the origin.
	killed int
}

// trialResult holds the measurements of one trial.
type trialResult struct {
	elapsed      time.Duration
	originCopies float64
	// crossRegionCopies counts the copies received from other regions by receiving
	// region.
	crossRegionCopies map[string]float64
}

// benchDistribution measures the time until N replicas are complete and the
// copies read from the origin. The baselines are reading everything from the
// origin and a static tree.
func benchDistribution(w io.Writer) error {
	fmt.Fprintf(w, "distribution/seed %d number\n", benchSeed)
	sizes := []int{4, 8, 16, 32, 64}
	single := []string{originRegion}
	three := []string{originRegion, "north", "east"}
	baselines := &parallelTrials{}
	for _, n := range sizes {
		baselines.start(trial{name: fmt.Sprintf("distribution/origin-only/n-%d", n), method: originOnly, n: n, regions: single, policy: "time"})
	}
	if err := baselines.report(w); err != nil {
		return err
	}
	var trials []trial
	for _, n := range sizes {
		trials = append(trials,
			trial{name: fmt.Sprintf("distribution/static-tree/n-%d", n), method: staticTree, n: n, regions: single},
			trial{name: fmt.Sprintf("distribution/plan/n-%d", n), method: planned, n: n, regions: single, policy: "time"})
	}
	trials = append(trials,
		trial{name: "distribution/plan-dying/n-30", n: 30, regions: single, policy: "time", killed: 3},
		trial{name: "distribution/plan-dying/n-60", n: 60, regions: single, policy: "time", killed: 6},
		trial{name: "distribution/time-3-regions/n-30", n: 30, regions: three, policy: "time"},
		trial{name: "distribution/origin-bytes-3-regions/n-30", n: 30, regions: three, policy: "origin-bytes"},
		trial{name: "distribution/origin-bytes-3-regions-dying/n-30", n: 30, regions: three, policy: "origin-bytes", killed: 3},
	)
	for _, t := range trials {
		if err := t.report(w); err != nil {
			return err
		}
	}
	return nil
}

// parallelTrials runs trials concurrently. It is used for the origin-only
// baseline, which the origin's link limits and which therefore needs little
// processor time.
type parallelTrials struct {
	wg     sync.WaitGroup
	trials []*parallelTrial
}

type parallelTrial struct {
	trial trial
	out   strings.Builder
	err   error
}

func (p *parallelTrials) start(t trial) {
	pt := &parallelTrial{trial: t}
	p.trials = append(p.trials, pt)
	p.wg.Add(1)
	go pt.run(&p.wg)
}

func (p *parallelTrial) run(wg *sync.WaitGroup) {
	defer wg.Done()
	p.err = p.trial.report(&p.out)
}

func (p *parallelTrials) report(w io.Writer) error {
	p.wg.Wait()
	for _, pt := range p.trials {
		if pt.err != nil {
			return pt.err
		}
		fmt.Fprint(w, pt.out.String())
	}
	return nil
}

// report runs the trial and prints its results.
func (t trial) report(w io.Writer) error {
	result, err := t.measure()
	if err != nil {
		return fmt.Errorf("%s: %w", t.name, err)
	}
	bound := t.lowerBound()
	fmt.Fprintf(w, "%s/time %.2f s\n", t.name, result.elapsed.Seconds())
	fmt.Fprintf(w, "%s/time-to-lower-bound %.2f ratio\n", t.name, result.elapsed.Seconds()/bound.Seconds())
	fmt.Fprintf(w, "%s/origin %.3f copies\n", t.name, result.originCopies)
	if t.policy == "time" && len(t.regions) > 1 {
		fmt.Fprintf(w, "%s/origin-per-region %.3f copies\n", t.name, result.originCopies/float64(len(t.regions)))
	}
	for _, region := range t.regions {
		if copies, ok := result.crossRegionCopies[region]; ok {
			fmt.Fprintf(w, "%s/into-%s %.3f copies\n", t.name, region, copies)
		}
	}
	return nil
}

// lowerBound returns the shortest possible time of the trial: the largest of
// size / origin rate, size / VM rate, N · size / (origin rate + N · VM rate) and,
// with several regions, size / region-link rate. With policy "time" the origin
// sends one copy per region.
func (t trial) lowerBound() time.Duration {
	n := float64(t.n - t.killed)
	copies := 1.0
	if t.policy == "time" {
		copies = float64(len(t.regions))
	}
	bound := max(copies/originCopiesPerWindow, 1.0/vmCopiesPerWindow, n/(originCopiesPerWindow+n*vmCopiesPerWindow))
	if len(t.regions) > 1 {
		bound = max(bound, 1.0/regionCopiesPerWindow)
	}
	return time.Duration(bound * float64(linkWindow))
}

// measure runs the trial once.
func (t trial) measure() (trialResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	f, err := newFleet(t)
	if err != nil {
		return trialResult{}, err
	}
	defer f.stop()
	started := time.Now()
	f.start(ctx)
	if t.killed > 0 {
		f.killRandom(ctx, t.killed)
	}
	if err := f.wait(); err != nil {
		return trialResult{}, err
	}
	result := trialResult{elapsed: f.lastDone().Sub(started), originCopies: f.originCopies(), crossRegionCopies: map[string]float64{}}
	for region, n := range f.links.crossRegionBytes() {
		result.crossRegionCopies[region] = float64(n) / weightsBytes
	}
	return result, nil
}

// killRandom stops n randomly chosen VMs once half a copy has been read from the
// origin.
func (f *fleet) killRandom(ctx context.Context, n int) {
	for f.originCopies() < 0.5 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	random := rand.New(rand.NewPCG(benchSeed, uint64(len(f.vms))))
	shuffled := slices.Clone(f.vms)
	random.Shuffle(len(shuffled), func(a, b int) { shuffled[a], shuffled[b] = shuffled[b], shuffled[a] })
	for _, v := range shuffled[:n] {
		v.kill()
	}
}
