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
	// loadRate is in requests per second.
	loadRate = 40
	// minTeamRate is the lowest rate limit, in requests per second, of a team that
	// the load uses. Each entry daemon grants only its share of a team's limit, so
	// lower limits would reject a part of the load.
	minTeamRate         = 10
	firstVersionTimeout = 2 * time.Minute
	rolloutTimeout      = 3 * time.Minute
	pollInterval        = 100 * time.Millisecond
	agentRestartDelay   = 2 * time.Second
	bytesPerMiB         = 1 << 20
	// loadMargin is the time that the load runs before and after the rollout.
	loadMargin = 2 * time.Second
)

// scenario performs a rollout under load and prints its outcome.
type scenario struct {
	system *system
	w      io.Writer
}

// FailedError reports a demo that did not have the expected outcome.
type FailedError struct {
	Reason string
}

func (e *FailedError) Error() string { return e.Reason }

func (sc *scenario) run(ctx context.Context) error {
	s := sc.system
	fmt.Fprintf(sc.w, "\n== publish the objects of %s\n", s.opts.Deployment)
	if err := s.apply(ctx, sc.w, s.baseObjects()); err != nil {
		return err
	}
	rollout := s.rollout()
	fleet := s.set.Fleets[rollout.Fleet]
	old := s.set.ModelVersions[fleet.Version]
	target := s.set.ModelVersions[rollout.Version]
	fmt.Fprintf(sc.w, "\n== the first version reaches every replica\n")
	if err := sc.waitUntilServing(ctx, fleet, old, firstVersionTimeout); err != nil {
		return err
	}
	if err := sc.printSampleCalls(ctx, fleet); err != nil {
		return err
	}

	fmt.Fprintf(sc.w, "\n== roll out %s while requests keep flowing\n", target.Name)
	l := sc.newLoad(fleet)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	l.start(loadCtx)
	time.Sleep(loadMargin)
	before, err := sc.originBytesBySource(ctx)
	if err != nil {
		return err
	}
	started := time.Now()
	if err := s.apply(ctx, sc.w, append(s.baseObjects(), rollout)); err != nil {
		return err
	}
	killer := &agentKiller{scenario: sc, rollout: rollout, done: make(chan error, 1)}
	go killer.run(ctx)
	if err := sc.waitUntilServing(ctx, fleet, target, rolloutTimeout); err != nil {
		return err
	}
	elapsed := time.Since(started)
	if err := <-killer.done; err != nil {
		return err
	}
	if err := sc.waitUntilServing(ctx, fleet, target, rolloutTimeout); err != nil {
		return err
	}
	time.Sleep(loadMargin)
	stopLoad()
	counts := l.wait()
	if err := s.runLentil(ctx, sc.w, "rollout", "status", rollout.Name); err != nil {
		return err
	}
	after, err := sc.originBytesBySource(ctx)
	if err != nil {
		return err
	}
	return sc.report(ctx, l, counts, fleet, elapsed, after[target.Source]-before[target.Source])
}

// newLoad returns a load on the route of the fleet's model and on a service that
// stores records.
func (sc *scenario) newLoad(fleet *parser.Fleet) *load {
	s := sc.system
	l := &load{system: s, rate: loadRate, answerTokens: defaultAnswerTokens, digestsByVersion: map[string]string{}}
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
		if team.RequestsPerSecond > 0 && team.RequestsPerSecond < minTeamRate {
			continue
		}
		weighted := slices.Repeat([]string{team.Name}, team.Weight)
		if len(team.Routes) == 0 || slices.Contains(team.Routes, l.route) {
			l.completionTeams = append(l.completionTeams, weighted...)
		}
		if len(team.Services) == 0 || slices.Contains(team.Services, l.service) {
			l.recordTeams = append(l.recordTeams, weighted...)
		}
	}
	slices.Sort(l.completionTeams)
	slices.Sort(l.recordTeams)
	for name, v := range s.set.ModelVersions {
		l.digestsByVersion[name] = v.Digest
	}
	return l
}

// printSampleCalls prints the entry list and one chat completion with and without
// streaming.
func (sc *scenario) printSampleCalls(ctx context.Context, fleet *parser.Fleet) error {
	l := sc.newLoad(fleet)
	entry := sc.system.entries[0]
	body, err := get(ctx, "http://"+entry.ip+":8080/v1/entries")
	if err != nil {
		return err
	}
	fmt.Fprintf(sc.w, "GET /v1/entries: %s\n", strings.TrimSpace(string(body)))
	request := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"Draft a mould specification"}],"max_tokens":8,"stream":%%t}`, l.route)
	for _, stream := range []bool{false, true} {
		c := &call{load: l, entry: entry}
		resp, err := c.post(ctx, c.randomTeam(l.completionTeams), "/v1/chat/completions", fmt.Appendf(nil, request, stream), nil)
		if err != nil {
			return err
		}
		answer, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return &FailedError{Reason: fmt.Sprintf("chat completion: status %d: %s", resp.StatusCode, answer)}
		}
		fmt.Fprintf(sc.w, "POST /v1/chat/completions (stream %t): version %s\n%s\n", stream, resp.Header.Get(versionHeader), strings.TrimSpace(string(answer)))
	}
	return nil
}

// waitUntilServing waits until every replica of the fleet serves the version.
func (sc *scenario) waitUntilServing(ctx context.Context, fleet *parser.Fleet, version *parser.ModelVersion, timeout time.Duration) error {
	started := time.Now()
	printed := -1
	for {
		serving, err := sc.countServing(ctx, fleet.Name, version.Digest)
		if err != nil {
			return err
		}
		if serving != printed {
			fmt.Fprintf(sc.w, "%6.1f s  %d of %d replicas of %s serve %s\n", time.Since(started).Seconds(), serving, fleet.Replicas, fleet.Name, version.Name)
			printed = serving
		}
		if serving >= fleet.Replicas {
			return nil
		}
		if time.Since(started) > timeout {
			return &FailedError{Reason: fmt.Sprintf("only %d of %d replicas serve %s after %s", serving, fleet.Replicas, version.Name, timeout)}
		}
		if !waiter.Wait(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}

func (sc *scenario) countServing(ctx context.Context, fleet, digest string) (int, error) {
	objects, err := sc.system.objectAPI().List(ctx, parser.StatusPrefix)
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

// agentKiller kills one agent when half of the rollout's weights can have arrived
// over its link, and restarts it after agentRestartDelay, as the VM's supervisor
// would.
type agentKiller struct {
	scenario *scenario
	rollout  *parser.Rollout
	done     chan error
}

func (k *agentKiller) run(ctx context.Context) {
	k.done <- k.kill(ctx)
}

func (k *agentKiller) kill(ctx context.Context) error {
	s := k.scenario.system
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
	fmt.Fprintf(k.scenario.w, "          killed the agent of %s\n", victim.name)
	if !waiter.Wait(ctx, agentRestartDelay) {
		return ctx.Err()
	}
	return s.startAgent(victim)
}

func (sc *scenario) originBytesBySource(ctx context.Context) (map[string]int64, error) {
	body, err := get(ctx, sc.system.weightsURL+"/stats")
	if err != nil {
		return nil, err
	}
	var stats struct {
		Sources map[string]emulator.WeightsStats `json:"sources"`
	}
	if err := json.Unmarshal(body, &stats); err != nil {
		return nil, err
	}
	bytesRead := map[string]int64{}
	for source, st := range stats.Sources {
		bytesRead[source] = st.DataBytes
	}
	return bytesRead, nil
}

func (sc *scenario) report(ctx context.Context, l *load, counts loadCounts, fleet *parser.Fleet, elapsed time.Duration, originBytes int64) error {
	s := sc.system
	weightBytes := float64(s.opts.WeightBytes)
	originRate, linkRate := 4*weightBytes/s.opts.Window, 2*weightBytes/s.opts.Window
	replicas := float64(fleet.Replicas)
	minDuration := max(weightBytes/originRate, weightBytes/linkRate, replicas*weightBytes/(originRate+replicas*linkRate))
	stored, duplicates, err := sc.countRecords(ctx, l.service)
	if err != nil {
		return err
	}
	fmt.Fprintf(sc.w, "\n== outcome\n")
	fmt.Fprintf(sc.w, "time until %d replicas serve     %8.1f s   (links alone need %.1f s)\n", fleet.Replicas, elapsed.Seconds(), minDuration)
	fmt.Fprintf(sc.w, "bytes read from the origin       %8.1f MiB (%.2f copies; one per region is %d)\n",
		float64(originBytes)/bytesPerMiB, float64(originBytes)/weightBytes, len(regionsOf(s.set)))
	fmt.Fprintf(sc.w, "requests sent                    %8d\n", counts.sent)
	fmt.Fprintf(sc.w, "  served                         %8d   by version %v\n", counts.served, counts.byVersion)
	fmt.Fprintf(sc.w, "  not run                        %8d\n", counts.notRun)
	fmt.Fprintf(sc.w, "  unknown                        %8d\n", counts.unknown)
	fmt.Fprintf(sc.w, "  wrong, mixed or cut            %8d\n", counts.wrong)
	fmt.Fprintf(sc.w, "first token p50 / p95            %8.1f / %.1f ms\n",
		float64(l.firstToken.ValueAtQuantile(50))/1000, float64(l.firstToken.ValueAtQuantile(95))/1000)
	fmt.Fprintf(sc.w, "records sent / served / stored   %d / %d / %d, duplicates %d\n", counts.recordsSent, counts.recordsServed, stored, duplicates)
	for _, example := range counts.examples {
		fmt.Fprintf(sc.w, "  %s\n", example)
	}
	if counts.wrong > 0 || duplicates > 0 || counts.unknown > 0 || counts.notRun > 0 || stored != counts.recordsServed {
		return &FailedError{Reason: "requests were not served correctly, or records were lost or stored twice"}
	}
	fmt.Fprintln(sc.w, "every request was answered whole, from one version, and every record was stored once")
	return nil
}

// countRecords counts the records that the replicas of the service have stored.
func (sc *scenario) countRecords(ctx context.Context, service string) (records, duplicates int, err error) {
	distinct := map[string]int{}
	for _, a := range sc.system.agents {
		if !a.service || sc.system.set.Fleets[a.fleet].Service != service {
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
