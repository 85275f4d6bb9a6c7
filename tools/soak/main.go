// Command soak runs the platform's daemons as separate processes against
// simulated callers, replicas, object store and weight origin. It injects faults
// from outside the daemons and checks the platform's guarantees while they run.
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
	exitSuccess    = 0
	exitViolations = 1
	exitUsageError = 2

	// startupWait is the time between the start of the processes and the first
	// request.
	startupWait = 3 * time.Second
	// recoveryWait is the time that the system has to recover after the last fault.
	// At least minServedRatio of the requests in the servedWindow that follows must
	// be served.
	recoveryWait   = 12 * time.Second
	servedWindow   = 4 * time.Second
	minServedRatio = 0.9
)

// soak runs the system with one seed. Fields are set before run.
type soak struct {
	Binary   string
	Dir      string
	Seed     uint64
	Duration time.Duration
	Entries  int
	Engines  int
	Callers  int
	// PartCrashes allows the fault in which a part of prompts crashes replicas.
	PartCrashes bool
	// Extended adds the kinds of faults that earlier seeds do not have.
	Extended bool
	// Signals makes replicas say of themselves that they leave or want no requests.
	Signals bool
	// Silences lets replicas fall silent for a moment and adds changes of the configuration.
	Silences bool
	// Evacuations adds evacuations of failure domains.
	Evacuations bool
	// Cold makes replicas cold after their start, and adds a fault in which they turn cold.
	Cold bool
}

// report is the result of a run.
type report struct {
	violations []violation
	// droppedViolations counts the violations above maxViolations.
	droppedViolations int
	counts            map[string]int
	faults            []string
	// stalls are the times in which the soak itself did not run.
	stalls []string
	// servedRatio is the ratio of requests served after the recovery wait.
	servedRatio float64
}

// run returns early and ends the processes that it started when ctx is canceled.
func (s *soak) run(ctx context.Context) (*report, error) {
	if err := os.MkdirAll(s.Dir, 0o700); err != nil {
		return nil, err
	}
	c := &cluster{
		Binary: s.Binary, Dir: s.Dir, Seed: s.Seed, Entries: s.Entries, Engines: s.Engines, Callers: s.Callers,
		Signals: s.Signals, Silences: s.Silences, Evacuations: s.Evacuations, Cold: s.Cold, Checker: newChecker(time.Now()),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer c.stop()
	defer cancel()
	if err := c.start(ctx); err != nil {
		return nil, err
	}
	waiter.Wait(ctx, startupWait)
	c.startCallers(ctx)
	watch := &stallWatch{Checker: c.Checker}
	c.running.Go(func() { waiter.Every(ctx, stallInterval, watch.check) })
	out := &report{}
	sched := &schedule{
		Cluster: c, Rand: rand.New(rand.NewPCG(s.Seed, 0)), Until: time.Now().Add(s.Duration), PartCrashes: s.PartCrashes, Extended: s.Extended, Signals: s.Signals, Silences: s.Silences, Evacuations: s.Evacuations, Cold: s.Cold,
		OnFault: func(name string) {
			out.faults = append(out.faults, fmt.Sprintf("%6.1fs %s", time.Since(c.Checker.Start).Seconds(), name))
		},
	}
	sched.run(ctx)
	waiter.Wait(ctx, recoveryWait)
	windowStart := time.Now()
	waiter.Wait(ctx, servedWindow)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	ratio, n := c.Checker.servedRatio(windowStart)
	if ratio < minServedRatio || n == 0 {
		c.Checker.addViolation("RECOVER", "%.2f of %d requests served after the faults", ratio, n)
	}
	for _, v := range append(append([]*vm{}, c.entries...), c.agents...) {
		if n := v.Process.unexpectedExitCount(); n > 0 {
			c.Checker.addViolation("FAULT", "%s exited unexpectedly %d times", v.subject(), n)
		}
	}
	ck := c.Checker
	ck.mu.Lock()
	defer ck.mu.Unlock()
	// Callers still update the checker until the cluster stops, so its data is
	// copied.
	out.violations, out.droppedViolations, out.counts, out.servedRatio, out.stalls = slices.Clone(ck.violations), ck.droppedViolations, maps.Clone(ck.counts), ratio, slices.Clone(ck.stalls)
	return out, nil
}

// print writes a summary line. With violations, the injected faults and the
// violations follow it.
func (r *report) print(w io.Writer, seed uint64) {
	fmt.Fprintf(w, "seed %d: %d violations, %d faults, %.2f served at the end", seed, len(r.violations)+r.droppedViolations, len(r.faults), r.servedRatio)
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
	for _, stall := range r.stalls {
		fmt.Fprintf(w, "  stall %s\n", stall)
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
	// partCrashes allows the fault in which a part of prompts crashes replicas.
	partCrashes bool
	// extended adds the kinds of faults that earlier seeds do not have.
	extended bool
	// signals makes replicas say of themselves that they leave or want no requests.
	signals bool
	// silences lets replicas fall silent for a moment and adds changes of the configuration.
	silences bool
	// evacuations adds evacuations of failure domains.
	evacuations bool
	// cold makes replicas cold after their start, and adds a fault in which they turn cold.
	cold bool
	// untilViolation stops at the first seed with violations and inverts the exit
	// status: a violation is a success.
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
	fs.Uint64Var(&o.seed, "seed", uint64(time.Now().UnixNano()), "first `seed`; the following runs count up from it")
	fs.IntVar(&o.seeds, "seeds", 1, "`number` of seeds to run")
	fs.DurationVar(&o.duration, "duration", 30*time.Second, "`time` during which faults are injected")
	fs.IntVar(&o.entries, "entries", 3, "`number` of entry daemons, 2 or more")
	fs.IntVar(&o.engines, "engines", 4, "`number` of engines, each with its own agent")
	fs.IntVar(&o.callers, "callers", 12, "`number` of callers without pauses; there are twice as many with pauses")
	fs.BoolVar(&o.partCrashes, "part-crashes", true, "allow the fault in which a part of prompts crashes replicas")
	fs.BoolVar(&o.extended, "extended", true, "add the kinds of faults that seeds kept from before do not have")
	fs.BoolVar(&o.signals, "signals", true, "replicas say in their responses that they leave or want no requests, with faults of these kinds")
	fs.BoolVar(&o.silences, "silences", true, "replicas fall silent for a moment, beside changes of the limits of routes, the priorities and the weights of services")
	fs.BoolVar(&o.evacuations, "evacuations", true, "operators evacuate failure domains")
	fs.BoolVar(&o.cold, "cold", true, "replicas are cold after their start, and turn cold")
	fs.StringVar(&o.dir, "dir", filepath.Join(os.TempDir(), "lentil-soak"), "`directory` for binaries and logs; logs of clean runs are removed")
	fs.StringVar(&o.mutation, "without", "", "build the daemons with a `mechanism` removed: "+strings.Join(mutationNames(), ", "))
	fs.BoolVar(&o.untilViolation, "until-violation", false, "stop with success at the first seed with violations; fail if no seed has any")
	status := exitSuccess
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
		return exitSuccess
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "soak: %v; run soak --help for the flags\n", err)
		return exitUsageError
	}
	return status
}

func (o *options) run(ctx context.Context, out io.Writer) (failed int, err error) {
	if o.entries < 2 || o.engines < 1 || o.callers < 1 {
		return 0, errors.New("--entries must be at least 2, --engines and --callers at least 1")
	}
	binary, err := build(o.dir, o.mutation)
	if err != nil {
		return 0, err
	}
	for i := range o.seeds {
		seed := o.seed + uint64(i)
		dir := filepath.Join(o.dir, fmt.Sprintf("seed-%d", seed))
		s := &soak{Binary: binary, Dir: dir, Seed: seed, Duration: o.duration, Entries: o.entries, Engines: o.engines, Callers: o.callers, PartCrashes: o.partCrashes, Extended: o.extended, Signals: o.signals, Silences: o.silences, Evacuations: o.evacuations, Cold: o.cold}
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
