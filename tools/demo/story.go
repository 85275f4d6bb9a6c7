package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	loadRate = 40
	// leastTeamRate leaves out teams whose own limit would refuse a part of
	// the load, because each entry daemon grants its share of the limit.
	leastTeamRate   = 10
	firstTimeout    = 2 * time.Minute
	rolloutTimeout  = 3 * time.Minute
	pollInterval    = 100 * time.Millisecond
	restartDelay    = 2 * time.Second
	bytesPerMiB     = 1 << 20
	warmUpBeforeRun = 2 * time.Second
)

// story plays the demo and prints its outcome.
type story struct {
	system *system
	w      io.Writer
}

// FailedError reports a demo whose outcome is not as promised.
type FailedError struct {
	What string
}

func (e *FailedError) Error() string { return e.What }

func (t *story) play(ctx context.Context) error {
	s := t.system
	fmt.Fprintf(t.w, "\n== publish the objects of %s\n", s.opts.Deployment)
	if err := s.apply(ctx, t.w, s.baseObjects()); err != nil {
		return err
	}
	rollout := s.rollout()
	fleet := s.set.Fleets[rollout.Fleet]
	old := s.set.ModelVersions[fleet.Version]
	target := s.set.ModelVersions[rollout.Version]
	fmt.Fprintf(t.w, "\n== the first version reaches every replica\n")
	if err := t.waitServing(ctx, fleet, old, firstTimeout); err != nil {
		return err
	}
	if err := t.showCalls(ctx, fleet); err != nil {
		return err
	}

	fmt.Fprintf(t.w, "\n== roll out %s while requests keep flowing\n", target.Name)
	l := t.newLoad(fleet)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	l.start(loadCtx)
	time.Sleep(warmUpBeforeRun)
	before, err := t.originBytes(ctx)
	if err != nil {
		return err
	}
	started := time.Now()
	if err := s.apply(ctx, t.w, append(s.baseObjects(), rollout)); err != nil {
		return err
	}
	killer := &agentKiller{story: t, rollout: rollout, done: make(chan error, 1)}
	go killer.run(ctx)
	if err := t.waitServing(ctx, fleet, target, rolloutTimeout); err != nil {
		return err
	}
	took := time.Since(started)
	if err := <-killer.done; err != nil {
		return err
	}
	if err := t.waitServing(ctx, fleet, target, rolloutTimeout); err != nil {
		return err
	}
	time.Sleep(warmUpBeforeRun)
	stopLoad()
	counts := l.result()
	if err := s.lentil(ctx, t.w, "rollout", "status", rollout.Name); err != nil {
		return err
	}
	after, err := t.originBytes(ctx)
	if err != nil {
		return err
	}
	return t.report(ctx, l, counts, fleet, took, after[target.Source]-before[target.Source])
}

// newLoad calls the route of the fleet's model and a service that records.
func (t *story) newLoad(fleet *parser.Fleet) *load {
	s := t.system
	l := &load{system: s, rate: loadRate, tokens: defaultTokens, versions: map[string]string{}}
	for _, r := range s.set.Routes {
		if r.Model == fleet.Model && r.Adapter == "" && (l.route == "" || r.Name < l.route) {
			l.route = r.Name
		}
	}
	for _, f := range s.set.Fleets {
		if f.Service != "" && f.Replicas > 1 {
			l.service = f.Service
		}
	}
	for _, team := range s.set.Teams {
		if team.RequestsPerSecond > 0 && team.RequestsPerSecond < leastTeamRate {
			continue
		}
		weighted := slices.Repeat([]string{team.Name}, team.Weight)
		if len(team.Routes) == 0 || slices.Contains(team.Routes, l.route) {
			l.callers = append(l.callers, weighted...)
		}
		if len(team.Services) == 0 || slices.Contains(team.Services, l.service) {
			l.recorders = append(l.recorders, weighted...)
		}
	}
	slices.Sort(l.callers)
	slices.Sort(l.recorders)
	for name, v := range s.set.ModelVersions {
		l.versions[name] = v.Digest
	}
	return l
}

// showCalls shows one answer of each kind that callers get.
func (t *story) showCalls(ctx context.Context, fleet *parser.Fleet) error {
	l := t.newLoad(fleet)
	entry := t.system.entries[0]
	body, err := get(ctx, "http://"+entry.ip+":8080/v1/entries")
	if err != nil {
		return err
	}
	fmt.Fprintf(t.w, "GET /v1/entries: %s\n", strings.TrimSpace(string(body)))
	request := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"Draft a mould specification"}],"max_tokens":8,"stream":%%t}`, l.route)
	for _, stream := range []bool{false, true} {
		c := &call{load: l, entry: entry}
		resp, err := c.post(ctx, c.team(l.callers), "/v1/chat/completions", fmt.Appendf(nil, request, stream), nil)
		if err != nil {
			return err
		}
		answer, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return &FailedError{What: fmt.Sprintf("chat completion: status %d: %s", resp.StatusCode, answer)}
		}
		fmt.Fprintf(t.w, "POST /v1/chat/completions (stream %t): version %s\n%s\n", stream, resp.Header.Get(versionHeader), strings.TrimSpace(string(answer)))
	}
	return nil
}

// waitServing waits until every replica of the fleet serves the version.
func (t *story) waitServing(ctx context.Context, fleet *parser.Fleet, version *parser.ModelVersion, timeout time.Duration) error {
	started := time.Now()
	shown := -1
	for {
		serving, err := t.countServing(ctx, fleet.Name, version.Digest)
		if err != nil {
			return err
		}
		if serving != shown {
			fmt.Fprintf(t.w, "%6.1f s  %d of %d replicas of %s serve %s\n", time.Since(started).Seconds(), serving, fleet.Replicas, fleet.Name, version.Name)
			shown = serving
		}
		if serving >= fleet.Replicas {
			return nil
		}
		if time.Since(started) > timeout {
			return &FailedError{What: fmt.Sprintf("only %d of %d replicas serve %s after %s", serving, fleet.Replicas, version.Name, timeout)}
		}
		if !waiter.Wait(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}

func (t *story) countServing(ctx context.Context, fleet, digest string) (int, error) {
	objects, err := t.system.objects().List(ctx, parser.StatusPrefix)
	if err != nil {
		return 0, err
	}
	serving := 0
	for _, o := range objects {
		status, err := parser.DecodeStatus[parser.RegionStatus](o.Value)
		if err != nil {
			return 0, err
		}
		for _, d := range status.Daemons {
			if d.Fleet == fleet && d.Version == digest && d.State == "ready" {
				serving++
			}
		}
	}
	return serving, nil
}

// agentKiller kills one agent when half of the rollout's bytes have arrived
// and starts it again later, as the VM's supervisor would.
type agentKiller struct {
	story   *story
	rollout *parser.Rollout
	done    chan error
}

func (k *agentKiller) run(ctx context.Context) {
	k.done <- k.kill(ctx)
}

func (k *agentKiller) kill(ctx context.Context) error {
	s := k.story.system
	if !s.opts.KillAgent {
		return nil
	}
	if !waiter.Wait(ctx, time.Duration(s.opts.Window/4*float64(time.Second))) {
		return ctx.Err()
	}
	victim := s.agents[slices.IndexFunc(s.agents, func(a vm) bool { return a.fleet == k.rollout.Fleet })]
	s.mu.Lock()
	p := s.byName[victim.name]
	s.mu.Unlock()
	p.Kill()
	fmt.Fprintf(k.story.w, "          killed the agent of %s\n", victim.name)
	if !waiter.Wait(ctx, restartDelay) {
		return ctx.Err()
	}
	return s.startAgent(victim)
}

func (t *story) originBytes(ctx context.Context) (map[string]int64, error) {
	body, err := get(ctx, t.system.weights+"/stats")
	if err != nil {
		return nil, err
	}
	var stats struct {
		Sources map[string]emulator.WeightsStats `json:"sources"`
	}
	if err := json.Unmarshal(body, &stats); err != nil {
		return nil, err
	}
	read := map[string]int64{}
	for source, st := range stats.Sources {
		read[source] = st.DataBytes
	}
	return read, nil
}

func (t *story) report(ctx context.Context, l *load, counts outcomes, fleet *parser.Fleet, took time.Duration, originBytes int64) error {
	s := t.system
	size := float64(s.opts.WeightBytes)
	originRate, linkRate := 4*size/s.opts.Window, 2*size/s.opts.Window
	n := float64(fleet.Replicas)
	bound := max(size/originRate, size/linkRate, n*size/(originRate+n*linkRate))
	recorded, duplicates, err := t.countRecords(ctx, l.service)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.w, "\n== outcome\n")
	fmt.Fprintf(t.w, "time until %d replicas serve     %8.1f s   (links alone need %.1f s)\n", fleet.Replicas, took.Seconds(), bound)
	fmt.Fprintf(t.w, "bytes read from the origin       %8.1f MiB (%.2f copies; one per region is %d)\n",
		float64(originBytes)/bytesPerMiB, float64(originBytes)/size, len(regionsOf(s.set)))
	fmt.Fprintf(t.w, "requests sent                    %8d\n", counts.sent)
	fmt.Fprintf(t.w, "  served                         %8d   by version %v\n", counts.served, counts.byVersion)
	fmt.Fprintf(t.w, "  not run                        %8d\n", counts.notRun)
	fmt.Fprintf(t.w, "  unknown                        %8d\n", counts.unknown)
	fmt.Fprintf(t.w, "  wrong, mixed or cut            %8d\n", counts.wrong)
	fmt.Fprintf(t.w, "first token p50 / p95            %8.1f / %.1f ms\n",
		float64(l.firstToken.ValueAtQuantile(50))/1000, float64(l.firstToken.ValueAtQuantile(95))/1000)
	fmt.Fprintf(t.w, "records sent / served / stored   %d / %d / %d, duplicates %d\n", counts.recordsSent, counts.recordsServed, recorded, duplicates)
	for _, example := range counts.examples {
		fmt.Fprintf(t.w, "  %s\n", example)
	}
	if counts.wrong > 0 || duplicates > 0 || counts.unknown > 0 || counts.notRun > 0 || recorded != counts.recordsServed {
		return &FailedError{What: "the outcome is not as promised"}
	}
	fmt.Fprintln(t.w, "every request was answered whole, from one version, and every record was stored once")
	return nil
}

// countRecords adds up what the replicas of the service have stored.
func (t *story) countRecords(ctx context.Context, service string) (records, duplicates int, err error) {
	distinct := map[string]int{}
	for _, a := range t.system.agents {
		if !a.service || t.system.set.Fleets[a.fleet].Service != service {
			continue
		}
		body, err := get(ctx, "http://"+a.ip+":8000/records")
		if err != nil {
			return 0, 0, err
		}
		var stored []struct {
			Body string `json:"body"`
		}
		if err := json.Unmarshal(body, &stored); err != nil {
			return 0, 0, err
		}
		for _, r := range stored {
			records++
			distinct[r.Body]++
		}
	}
	return records, records - len(distinct), nil
}
