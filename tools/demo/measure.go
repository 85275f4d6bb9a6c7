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
	measureSettle = 3 * time.Second
	measureTime   = 12 * time.Second
	// clockTicks is the unit of processor time in /proc/PID/stat on Linux.
	clockTicks = 100
)

// measureSteps are the loads: requests per second of the whole system and
// tokens per answer. Two lengths of answers tell the cost of a request from
// that of a token.
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
		ShortHelp:  "print processor time, memory and object API calls of the daemons under several loads",
		FlagSet:    opts.flagSet("demo measure"),
		Exec: func(ctx context.Context, _ []string) error {
			return withSystem(ctx, opts, func(s *system) error {
				for _, team := range s.set.Teams {
					team.RequestsPerSecond, team.TokensPerSecond = 0, 0
				}
				if err := s.apply(ctx, io.Discard, s.baseObjects()); err != nil {
					return err
				}
				m := &measurement{story: &story{system: s, w: os.Stderr}, w: os.Stdout}
				return m.run(ctx)
			})
		},
	}
}

// measurement relates the cost of each role to the load.
type measurement struct {
	story *story
	w     io.Writer
}

// sample is the cost of a role at one load, for one daemon.
type sample struct {
	requests, tokens float64
	cores            float64
	memory           float64
}

func (m *measurement) run(ctx context.Context) error {
	s := m.story.system
	rollout := s.rollout()
	fleet := s.set.Fleets[rollout.Fleet]
	if err := m.story.waitServing(ctx, fleet, s.set.ModelVersions[fleet.Version], firstTimeout); err != nil {
		return err
	}
	samples := map[string][]sample{}
	for _, step := range measureSteps {
		l := m.story.newLoad(fleet)
		l.service, l.rate, l.tokens = "", step.rate, step.tokens
		if err := m.step(ctx, l, len(fleetAgents(s, fleet.Name)), samples); err != nil {
			return err
		}
	}
	for _, role := range []string{"entry", "agent"} {
		m.printRole(role, samples[role])
	}
	return nil
}

// step runs one load and adds its cost.
func (m *measurement) step(ctx context.Context, l *load, replicas int, samples map[string][]sample) error {
	s := m.story.system
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	if l.rate > 0 {
		l.start(loadCtx)
	}
	if !waiter.Wait(ctx, measureSettle) {
		return ctx.Err()
	}
	entries, agents := s.processesOf("lentil-entry"), fleetProcesses(s, l)
	before := [2]float64{processorTime(entries), processorTime(agents)}
	calls, err := m.objectStats(ctx)
	if err != nil {
		return err
	}
	started := time.Now()
	if !waiter.Wait(ctx, measureTime) {
		return ctx.Err()
	}
	elapsed := time.Since(started).Seconds()
	after := [2]float64{processorTime(entries), processorTime(agents)}
	memory := [2]float64{residentMemory(entries), residentMemory(agents)}
	callsAfter, err := m.objectStats(ctx)
	if err != nil {
		return err
	}
	stop()
	if l.rate > 0 {
		if counts := l.result(); counts.served != counts.sent {
			return &FailedError{What: fmt.Sprintf("%d of %d requests served at %.0f requests/s: %v", counts.served, counts.sent, l.rate, counts.examples)}
		}
	}
	for k, role := range []string{"entry", "agent"} {
		n := float64([2]int{len(entries), replicas}[k])
		samples[role] = append(samples[role], sample{
			requests: l.rate / n,
			tokens:   l.rate * float64(l.tokens) / n,
			cores:    (after[k] - before[k]) / elapsed / n,
			memory:   memory[k] / n,
		})
	}
	prefix := fmt.Sprintf("load-%.0f-%d", l.rate, l.tokens)
	fmt.Fprintf(m.w, "%s-object-api-writes %.1f calls/s\n", prefix, float64(callsAfter.Writes-calls.Writes)/elapsed)
	fmt.Fprintf(m.w, "%s-object-api-reads %.1f calls/s\n", prefix, float64(callsAfter.Reads-calls.Reads)/elapsed)
	fmt.Fprintf(m.w, "%s-object-api-waiting-watches %d watches\n", prefix, callsAfter.Waiting)
	return nil
}

func (m *measurement) printRole(role string, samples []sample) {
	for _, x := range samples {
		fmt.Fprintf(m.w, "%s-at-%.1f-requests-%.0f-tokens %.5f cores\n", role, x.requests, x.tokens, x.cores)
	}
	idle, perRequest, perToken := fit(samples)
	fmt.Fprintf(m.w, "%s-idle %.5f cores\n", role, idle)
	fmt.Fprintf(m.w, "%s-per-request %.1f us\n", role, perRequest*1e6)
	fmt.Fprintf(m.w, "%s-per-token %.2f us\n", role, perToken*1e6)
	fmt.Fprintf(m.w, "%s-memory-idle %.1f MB\n", role, samples[0].memory/1e6)
	fmt.Fprintf(m.w, "%s-memory-loaded %.1f MB\n", role, samples[len(samples)-1].memory/1e6)
}

// fit solves cores = idle + perRequest * requests + perToken * tokens by least
// squares.
func fit(samples []sample) (idle, perRequest, perToken float64) {
	var normal [3][4]float64
	for _, s := range samples {
		row := [3]float64{1, s.requests, s.tokens}
		for i := range row {
			for j := range row {
				normal[i][j] += row[i] * row[j]
			}
			normal[i][3] += row[i] * s.cores
		}
	}
	for i := range normal {
		for j := range normal {
			if i == j || normal[i][i] == 0 {
				continue
			}
			factor := normal[j][i] / normal[i][i]
			for k := range normal[j] {
				normal[j][k] -= factor * normal[i][k]
			}
		}
	}
	return normal[0][3] / normal[0][0], normal[1][3] / normal[1][1], normal[2][3] / normal[2][2]
}

func (m *measurement) objectStats(ctx context.Context) (emulator.ObjectStats, error) {
	var stats emulator.ObjectStats
	body, err := get(ctx, m.story.system.objectAPI+"/stats")
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

// processorTime is the processor time of all processes in seconds.
func processorTime(processes []*launcher.Process) float64 {
	total := 0.0
	for _, p := range processes {
		// Fields 14 and 15 are user and system time; the name in field 2 holds
		// no space.
		fields := strings.Fields(readProc(p, "stat"))
		if len(fields) < 15 {
			continue
		}
		for _, field := range fields[13:15] {
			ticks, _ := strconv.ParseFloat(field, 64)
			total += ticks / clockTicks
		}
	}
	return total
}

// residentMemory is the resident memory of all processes in bytes.
func residentMemory(processes []*launcher.Process) float64 {
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
