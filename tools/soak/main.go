// Command soak runs the daemons of the platform as processes of their own,
// between stand-ins for callers, replicas, the object store and the origin of
// weights, injects faults from outside and checks the guarantees while they run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
)

const (
	exitClean      = 0
	exitViolations = 1
	exitWrongUsage = 2

	// startTime is between the start of the processes and the first request.
	startTime = 3 * time.Second
	// recoveryTime is after the last fault, and settledTime is in which the
	// callers then have to be served.
	recoveryTime = 12 * time.Second
	settledTime  = 4 * time.Second
	// minServed is the share of requests that have to be served then.
	minServed = 0.9
)

// soak is one run. Fields are set before run.
type soak struct {
	Binary   string
	Dir      string
	Seed     uint64
	Duration time.Duration
	Entries  int
	Engines  int
	Callers  int
	Out      io.Writer
}

// report is the result of a run.
type report struct {
	violations []violation
	dropped    int
	counts     map[string]int
	faults     []string
	// served is the share of requests served after the last fault.
	served float64
}

// run ends early, with its processes, when ctx does.
func (s *soak) run(ctx context.Context) (*report, error) {
	if err := os.MkdirAll(s.Dir, 0o700); err != nil {
		return nil, err
	}
	c := &cluster{
		Binary: s.Binary, Dir: s.Dir, Seed: s.Seed, Entries: s.Entries, Engines: s.Engines, Callers: s.Callers,
		Ledger: newLedger(time.Now()),
	}
	ctx, end := context.WithCancel(ctx)
	defer c.stop()
	defer end()
	if err := c.start(ctx); err != nil {
		return nil, err
	}
	waiter.Wait(ctx, startTime)
	c.runCallers(ctx)
	out := &report{}
	sched := &schedule{
		Cluster: c, Rand: rand.New(rand.NewPCG(s.Seed, 0)), Until: time.Now().Add(s.Duration),
		Note: func(name string) {
			out.faults = append(out.faults, fmt.Sprintf("%6.1fs %s", time.Since(c.Ledger.Start).Seconds(), name))
		},
	}
	sched.run(ctx)
	waiter.Wait(ctx, recoveryTime)
	since := time.Now()
	waiter.Wait(ctx, settledTime)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	share, n := c.Ledger.served(since)
	if share < minServed || n == 0 {
		c.Ledger.violate("RECOVER", "%.2f of %d requests served after the faults", share, n)
	}
	for _, v := range append(append([]*vm{}, c.entries...), c.agents...) {
		if n := v.Process.unexpectedEnds(); n > 0 {
			c.Ledger.violate("FAULT", "%s ended %d times by itself", v.subject(), n)
		}
	}
	l := c.Ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	// The callers go on until the cluster stops.
	out.violations, out.dropped, out.counts, out.served = slices.Clone(l.violations), l.dropped, maps.Clone(l.counts), share
	return out, nil
}

// print writes one line for a clean run, and the faults and violations of
// another.
func (r *report) print(w io.Writer, seed uint64) {
	fmt.Fprintf(w, "seed %d: %d violations, %d faults, %.2f served at the end", seed, len(r.violations)+r.dropped, len(r.faults), r.served)
	for _, name := range slices.Sorted(maps.Keys(r.counts)) {
		fmt.Fprintf(w, ", %s %d", name, r.counts[name])
	}
	fmt.Fprintln(w)
	if len(r.violations) == 0 {
		return
	}
	for _, f := range r.faults {
		fmt.Fprintf(w, "  fault %s\n", f)
	}
	for _, v := range r.violations {
		fmt.Fprintf(w, "  %6.1fs %s %s\n", v.At.Seconds(), v.Rule, v.Text)
	}
}

type options struct {
	seed     uint64
	seeds    int
	duration time.Duration
	entries  int
	engines  int
	callers  int
	dir      string
	mutation string
	// untilViolation ends the run, with success, at the first seed that has
	// violations.
	untilViolation bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], os.Stdout)
	stop()
	os.Exit(status)
}

func run(ctx context.Context, args []string, out io.Writer) int {
	var o options
	fs := flag.NewFlagSet("soak", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	fs.Uint64Var(&o.seed, "seed", uint64(time.Now().UnixNano()), "first `seed`; the others follow it")
	fs.IntVar(&o.seeds, "seeds", 1, "`number` of seeds to run")
	fs.DurationVar(&o.duration, "duration", 30*time.Second, "`time` in which faults begin")
	fs.IntVar(&o.entries, "entries", 3, "`number` of entry daemons, 2 or more")
	fs.IntVar(&o.engines, "engines", 4, "`number` of engines with an agent each")
	fs.IntVar(&o.callers, "callers", 12, "`number` of callers")
	fs.StringVar(&o.dir, "dir", filepath.Join(os.TempDir(), "lentil-soak"), "`directory` for binaries and logs; logs of clean runs are removed")
	fs.StringVar(&o.mutation, "without", "", "build the daemons without a `mechanism`: "+strings.Join(mutationNames(), ", "))
	fs.BoolVar(&o.untilViolation, "until-violation", false, "end with success at the first seed with violations, and fail without one")
	status := exitClean
	cmd := &ffcli.Command{
		Name: "soak", ShortUsage: "soak [flags]", FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix("LENTIL_SOAK")},
		Exec: func(ctx context.Context, _ []string) error {
			failed, err := o.run(ctx, out)
			if failed > 0 {
				fmt.Fprintf(out, "%d of %d seeds have violations; logs are in %s\n", failed, o.seeds, o.dir)
			}
			if err == nil && (failed > 0) != o.untilViolation {
				status = exitViolations
			}
			return err
		},
	}
	err := cmd.ParseAndRun(ctx, args)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprint(out, ffcli.DefaultUsageFunc(cmd))
		return exitClean
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "soak: %v; run soak --help for the flags\n", err)
		return exitWrongUsage
	}
	return status
}

func (o *options) run(ctx context.Context, out io.Writer) (failed int, err error) {
	if o.entries < 2 || o.engines < 1 || o.callers < 1 {
		return 0, errors.New("--entries has to be 2 or more, --engines and --callers 1 or more")
	}
	binary, err := build(o.dir, o.mutation)
	if err != nil {
		return 0, err
	}
	for i := range o.seeds {
		seed := o.seed + uint64(i)
		dir := filepath.Join(o.dir, fmt.Sprintf("seed-%d", seed))
		s := &soak{Binary: binary, Dir: dir, Seed: seed, Duration: o.duration, Entries: o.entries, Engines: o.engines, Callers: o.callers}
		r, err := s.run(ctx)
		if err != nil {
			return failed, err
		}
		r.print(out, seed)
		if len(r.violations) > 0 {
			failed++
			if o.untilViolation {
				return failed, nil
			}
		} else if err := os.RemoveAll(dir); err != nil {
			return failed, err
		}
	}
	return failed, nil
}
