package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lentilbridge/lentilbridge/internal/shared/launcher"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
)

const (
	measureWarmUp   = 3 * time.Second
	measureDuration = 12 * time.Second
	// clockTicksPerSecond converts the CPU times in /proc/PID/stat on Linux, which
	// are in clock ticks, to seconds.
	clockTicksPerSecond = 100
)

// measureSteps lists the measured loads: requests per second of the whole system
// and tokens per answer. Two answer lengths separate the cost of a request from
// the cost of a token.
var measureSteps = []struct {
	rate   float64
	tokens int
}{
	{0, 0},
	{50, 8},
	{100, 8},
	{200, 8},
	{50, 96},
	{100, 96},
}

func measureCommand(opts *options) *ffcli.Command {
	return &ffcli.Command{
		Name:       "measure",
		ShortUsage: "demo measure [flags]",
		ShortHelp:  "print CPU time, memory and object API calls of the daemons under several loads",
		FlagSet:    opts.flagSet("demo measure"),
		Exec: func(ctx context.Context, _ []string) error {
			return withSystem(ctx, opts, func(s *system) error {
				for _, team := range s.set.Teams {
					team.RequestsPerSecond, team.TokensPerSecond = 0, 0
				}
				if err := s.apply(ctx, io.Discard, s.baseObjects()); err != nil {
					return err
				}
				m := &measurement{scenario: &scenario{system: s, w: os.Stderr}, w: os.Stdout}
				return m.run(ctx)
			})
		},
	}
}

// measurement measures the cost of entry daemons and agents by load.
type measurement struct {
	scenario *scenario
	w        io.Writer
}

// sample is the cost of one daemon of a role at one load, averaged over the
// daemons.
type sample struct {
	requestsPerSecond, tokensPerSecond float64
	cores                              float64
	memoryBytes                        float64
}

func (m *measurement) run(ctx context.Context) error {
	s := m.scenario.system
	rollout := s.rollout()
	fleet := s.set.Fleets[rollout.Fleet]
	if err := m.scenario.waitUntilServing(ctx, fleet, s.set.ModelVersions[fleet.Version], firstVersionTimeout); err != nil {
		return err
	}
	samples := map[string][]sample{}
	for _, step := range measureSteps {
		l := m.scenario.newLoad(fleet)
		l.service, l.rate, l.answerTokens = "", step.rate, step.tokens
		if err := m.measureLoad(ctx, l, len(fleetAgents(s, fleet.Name)), samples); err != nil {
			return err
		}
	}
	for _, role := range []string{"entry", "agent"} {
		m.printRole(role, samples[role])
	}
	return nil
}

// measureLoad runs one load and appends a sample for each role.
func (m *measurement) measureLoad(ctx context.Context, l *load, replicas int, samples map[string][]sample) error {
	s := m.scenario.system
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	if l.rate > 0 {
		l.start(loadCtx)
	}
	if !waiter.Wait(ctx, measureWarmUp) {
		return ctx.Err()
	}
	entries, agents := s.processesOf("lentil-entry"), fleetProcesses(s, l)
	before := [2]float64{cpuSeconds(entries), cpuSeconds(agents)}
	statsBefore, err := m.objectStats(ctx)
	if err != nil {
		return err
	}
	started := time.Now()
	if !waiter.Wait(ctx, measureDuration) {
		return ctx.Err()
	}
	elapsed := time.Since(started).Seconds()
	after := [2]float64{cpuSeconds(entries), cpuSeconds(agents)}
	memory := [2]float64{residentBytes(entries), residentBytes(agents)}
	statsAfter, err := m.objectStats(ctx)
	if err != nil {
		return err
	}
	stop()
	if l.rate > 0 {
		if counts := l.wait(); counts.served != counts.sent {
			return &FailedError{Reason: fmt.Sprintf("%d of %d requests served at %.0f requests/s: %v", counts.served, counts.sent, l.rate, counts.examples)}
		}
	}
	for k, role := range []string{"entry", "agent"} {
		n := float64([2]int{len(entries), replicas}[k])
		samples[role] = append(samples[role], sample{
			requestsPerSecond: l.rate / n,
			tokensPerSecond:   l.rate * float64(l.answerTokens) / n,
			cores:             (after[k] - before[k]) / elapsed / n,
			memoryBytes:       memory[k] / n,
		})
	}
	prefix := fmt.Sprintf("load-%.0f-%d", l.rate, l.answerTokens)
	fmt.Fprintf(m.w, "%s-object-api-writes %.1f calls/s\n", prefix, float64(statsAfter.Writes-statsBefore.Writes)/elapsed)
	fmt.Fprintf(m.w, "%s-object-api-reads %.1f calls/s\n", prefix, float64(statsAfter.Reads-statsBefore.Reads)/elapsed)
	fmt.Fprintf(m.w, "%s-object-api-waiting-watches %d watches\n", prefix, statsAfter.Waiting)
	return nil
}

func (m *measurement) printRole(role string, samples []sample) {
	for _, s := range samples {
		fmt.Fprintf(m.w, "%s-at-%.1f-requests-%.0f-tokens %.5f cores\n", role, s.requestsPerSecond, s.tokensPerSecond, s.cores)
	}
	idle, perRequest, perToken := fitCosts(samples)
	fmt.Fprintf(m.w, "%s-idle %.5f cores\n", role, idle)
	fmt.Fprintf(m.w, "%s-per-request %.1f us\n", role, perRequest*1e6)
	fmt.Fprintf(m.w, "%s-per-token %.2f us\n", role, perToken*1e6)
	fmt.Fprintf(m.w, "%s-memory-idle %.1f MB\n", role, samples[0].memoryBytes/1e6)
	fmt.Fprintf(m.w, "%s-memory-loaded %.1f MB\n", role, samples[len(samples)-1].memoryBytes/1e6)
}

// fitCosts fits cores = idle + perRequest * requests + perToken * tokens by least
// squares. It solves the normal equations by Gauss-Jordan elimination.
func fitCosts(samples []sample) (idle, perRequest, perToken float64) {
	var equations [3][4]float64
	for _, s := range samples {
		row := [3]float64{1, s.requestsPerSecond, s.tokensPerSecond}
		for i := range row {
			for j := range row {
				equations[i][j] += row[i] * row[j]
			}
			equations[i][3] += row[i] * s.cores
		}
	}
	for i := range equations {
		for j := range equations {
			if i == j || equations[i][i] == 0 {
				continue
			}
			factor := equations[j][i] / equations[i][i]
			for k := range equations[j] {
				equations[j][k] -= factor * equations[i][k]
			}
		}
	}
	return equations[0][3] / equations[0][0], equations[1][3] / equations[1][1], equations[2][3] / equations[2][2]
}

func (m *measurement) objectStats(ctx context.Context) (emulator.ObjectStats, error) {
	var stats emulator.ObjectStats
	body, err := get(ctx, m.scenario.system.objectAPIURL+"/stats")
	if err != nil {
		return stats, err
	}
	return stats, json.Unmarshal(body, &stats)
}

func (s *system) processesOf(program string) []*launcher.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*launcher.Process
	for _, p := range s.processes {
		if strings.HasSuffix(p.Path, "/"+program) && p.Running() {
			found = append(found, p)
		}
	}
	return found
}

func fleetAgents(s *system, fleet string) []vm {
	var members []vm
	for _, a := range s.agents {
		if a.fleet == fleet {
			members = append(members, a)
		}
	}
	return members
}

// fleetProcesses returns the agents that serve the load.
func fleetProcesses(s *system, l *load) []*launcher.Process {
	model := s.set.Routes[l.route].Model
	var found []*launcher.Process
	for _, a := range s.agents {
		if s.set.Fleets[a.fleet].Model != model {
			continue
		}
		s.mu.Lock()
		found = append(found, s.byName[a.name])
		s.mu.Unlock()
	}
	return found
}

// cpuSeconds returns the total CPU time of the processes in seconds.
func cpuSeconds(processes []*launcher.Process) float64 {
	total := 0.0
	for _, p := range processes {
		// Fields 14 and 15 are user and system time. Splitting at spaces works
		// because the program names in field 2 contain none.
		fields := strings.Fields(readProc(p, "stat"))
		if len(fields) < 15 {
			continue
		}
		for _, field := range fields[13:15] {
			ticks, _ := strconv.ParseFloat(field, 64)
			total += ticks / clockTicksPerSecond
		}
	}
	return total
}

// residentBytes returns the total resident memory of the processes in bytes.
func residentBytes(processes []*launcher.Process) float64 {
	total := 0.0
	for _, p := range processes {
		fields := strings.Fields(readProc(p, "statm"))
		if len(fields) < 2 {
			continue
		}
		pages, _ := strconv.ParseFloat(fields[1], 64)
		total += pages * float64(os.Getpagesize())
	}
	return total
}

func readProc(p *launcher.Process, file string) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.PID(), file))
	if err != nil {
		return ""
	}
	return string(text)
}
