package test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/daemon/agent"
	"github.com/lentilbridge/lentilbridge/internal/daemon/router"
	"github.com/lentilbridge/lentilbridge/internal/operator/commander"
	"github.com/lentilbridge/lentilbridge/internal/operator/publisher"
	"github.com/lentilbridge/lentilbridge/internal/shared/launcher"
	"github.com/lentilbridge/lentilbridge/internal/shared/starter"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

const (
	// waitTimeout is how long waitUntil waits before it fails the test. It is
	// not a latency requirement.
	waitTimeout  = 90 * time.Second
	pollInterval = 50 * time.Millisecond
	apiKey       = "test-key"
)

func init() {
	starter.Main(map[string]func(args []string) int{
		"lentil-entry": router.Main, "lentil-agent": agent.Main, "lentil": commander.Main, "lentil-standin": emulator.Main,
	})
}

// system is a deployment of separate processes on a loopback network of its
// own. The exported fields are set before start.
type system struct {
	// Entries, Engines and Services are the numbers of VMs of each kind. With
	// TwoRegions, VMs with an even index are in region "r1" and the others in
	// "r2"; otherwise all are in "r1".
	Entries, Engines, Services int
	TwoRegions                 bool
	// WeightBytes and ChunkBytes are the sizes of each of the versions v1, v2
	// and v3 and of its chunks. The defaults are 1 MiB and 64 KiB.
	WeightBytes, ChunkBytes int64
	// OriginRate limits the weight source, and LinkRate the downloads and
	// uploads of each agent, in bytes per second; 0 does not limit.
	OriginRate, LinkRate float64
	EngineArgs           []string
	ServiceArgs          []string
	EntryArgs            []string
	AgentArgs            []string
	// DelayProxies puts a delayProxy between the entry daemons and each agent.
	DelayProxies bool
	// AgentArgsOf returns additional arguments for the agent of engine VM k.
	AgentArgsOf func(k int) []string
	// VMListLag is how long a change of the VM list stays invisible.
	VMListLag time.Duration

	t       *testing.T
	c       *qt.C
	network string
	dir     string
	api     *adapter.HTTPObjectAPI
	set     *parser.Set

	mu           sync.Mutex
	processes    map[string]*launcher.Process
	delayProxies map[string]*delayProxy
}

// start starts all processes, publishes the configuration and waits until all
// replicas serve v1 and each entry daemon routes to them.
func (s *system) start(t *testing.T) {
	s.t = t
	s.c = qt.New(t)
	s.network = starter.ReserveNetwork(t)
	s.dir = t.TempDir()
	s.processes = map[string]*launcher.Process{}
	s.delayProxies = map[string]*delayProxy{}
	s.api = &adapter.HTTPObjectAPI{BaseURL: "http://" + s.platform(7000)}
	if s.WeightBytes == 0 {
		s.WeightBytes, s.ChunkBytes = 1<<20, 64<<10
	}
	t.Cleanup(s.stop)
	s.startPlatform()
	for k := range s.Entries {
		s.startEntry(k)
	}
	for k := range s.Engines {
		s.startEngine(k)
		s.startAgent(k)
	}
	for k := range s.Services {
		s.startService(k)
		s.startServiceAgent(k)
	}
	s.set = s.objects()
	s.publish()
	s.waitServing("v1")
}

func (s *system) startPlatform() {
	s.startProcess("object-api", "lentil-standin", "object-api", "--address", s.platform(7000))
	var versions []string
	for k, name := range []string{"v1", "v2", "v3"} {
		versions = append(versions, fmt.Sprintf("draft/%s=%d:%d:%d", name, s.WeightBytes, s.ChunkBytes, k+1))
	}
	s.startProcess("weights", "lentil-standin", "weights", "--address", s.platform(7001),
		"--bytes-per-second", fmt.Sprintf("%.0f", s.OriginRate), "--versions", strings.Join(versions, ","))
	s.startProcess("vm-list", "lentil-standin", "vm-list", "--address", s.platform(7002), "--lag", s.VMListLag.String())
	s.waitHTTP("http://" + s.platform(7000) + "/stats")
	s.waitHTTP("http://" + s.platform(7001) + "/stats")
}

func entryName(k int) string        { return fmt.Sprintf("entry-%d", k) }
func engineName(k int) string       { return fmt.Sprintf("engine-%d", k) }
func agentName(k int) string        { return fmt.Sprintf("agent-%d", k) }
func serviceName(k int) string      { return fmt.Sprintf("service-%d", k) }
func serviceAgentName(k int) string { return fmt.Sprintf("service-agent-%d", k) }

func (s *system) startEntry(k int) {
	region, domain := s.location(k)
	args := []string{
		"--vm", entryName(k), "--region", region, "--failure-domain", domain,
		"--public-address", s.entryIP(k) + ":8080", "--rpc-address", s.entryIP(k) + ":9090", "--debug-address", s.entryIP(k) + ":6060",
		"--object-api", "http://" + s.platform(7000), "--vm-list", "http://" + s.platform(7002),
		"--seeds", s.seeds(), "--origin-region", "r1", "--entries-valid", "2s",
	}
	s.startProcess(entryName(k), "lentil-entry", append(args, s.EntryArgs...)...)
	s.waitHTTP("http://" + s.entryIP(k) + ":6060/healthz")
}

func (s *system) startEngine(k int) {
	args := []string{"engine", "--address", s.engineIP(k) + ":8000", "--load-time", "50ms"}
	s.startProcess(engineName(k), "lentil-standin", append(args, s.EngineArgs...)...)
}

func (s *system) startAgent(k int) {
	region, domain := s.location(k)
	rate := fmt.Sprintf("%.0f", s.LinkRate)
	args := []string{
		"--vm", agentName(k), "--region", region, "--failure-domain", domain, "--fleet", "drafting", "--model", "draft",
		"--rpc-address", s.engineIP(k) + ":9090", "--debug-address", s.engineIP(k) + ":6060", "--entries", s.seeds(),
		"--engine-address", s.engineIP(k) + ":8000", "--weights-address", s.platform(7001),
		"--download-rate", rate, "--upload-rate", rate,
	}
	args = append(args, s.delayProxyArgs(agentName(k), s.engineIP(k))...)
	if s.AgentArgsOf != nil {
		args = append(args, s.AgentArgsOf(k)...)
	}
	s.startProcess(agentName(k), "lentil-agent", append(args, s.AgentArgs...)...)
}

func (s *system) startService(k int) {
	args := []string{"service", "--address", s.serviceIP(k) + ":8000"}
	s.startProcess(serviceName(k), "lentil-standin", append(args, s.ServiceArgs...)...)
}

func (s *system) startServiceAgent(k int) {
	region, domain := s.location(k)
	args := []string{
		"--vm", serviceAgentName(k), "--region", region, "--failure-domain", domain, "--fleet", "records", "--service", "records",
		"--rpc-address", s.serviceIP(k) + ":9090", "--debug-address", s.serviceIP(k) + ":6060", "--entries", s.seeds(),
		"--service-address", s.serviceIP(k) + ":8000",
	}
	args = append(args, s.delayProxyArgs(serviceAgentName(k), s.serviceIP(k))...)
	s.startProcess(serviceAgentName(k), "lentil-agent", append(args, s.AgentArgs...)...)
}

// objects returns the initial configuration: one model with three versions and
// its fleet, the records service if there are VMs for it, and one team whose
// limits the tests do not reach.
func (s *system) objects() *parser.Set {
	set := parser.NewSet()
	regions := []string{"r1"}
	if s.TwoRegions {
		regions = append(regions, "r2")
	}
	set.Add(&parser.Model{Kind: parser.KindModel, Name: "draft", MaxContextTokens: 8192, DefaultMaxTokens: 64})
	for _, name := range []string{"v1", "v2", "v3"} {
		manifest := s.get("http://" + s.platform(7001) + "/draft/" + name + "/manifest")
		set.Add(&parser.ModelVersion{
			Kind: parser.KindModelVersion, Name: name, Model: "draft",
			Digest: verifier.Sum(manifest), Source: "draft/" + name, SizeBytes: s.WeightBytes,
		})
	}
	set.Add(&parser.Fleet{Kind: parser.KindFleet, Name: "drafting", Model: "draft", Version: "v1", Regions: regions, Replicas: s.Engines, MaxUnavailable: 1})
	set.Add(&parser.Route{Kind: parser.KindRoute, Name: "draft", Model: "draft"})
	if s.Services > 0 {
		set.Add(&parser.Service{Kind: parser.KindService, Name: "records", IdempotentMethods: []string{"GET", "HEAD"}})
		set.Add(&parser.Fleet{Kind: parser.KindFleet, Name: "records", Service: "records", Regions: regions, Replicas: s.Services})
	}
	set.Add(&parser.Team{
		Kind: parser.KindTeam, Name: "mill", KeyDigests: []string{keyDigest(apiKey)}, Weight: 1,
		RequestsPerSecond: 100_000, TokensPerSecond: 10_000_000, Priority: "interactive",
	})
	return set
}

// publish publishes the set as the next revision. It does not wait until the
// revision is in force.
func (s *system) publish() publisher.Result {
	p := &publisher.Publisher{Objects: s.api, Author: "test"}
	current, _, err := p.Load(context.Background())
	s.c.Assert(err, qt.IsNil)
	request := publisher.Request{BaseRevision: current.Number}
	for _, o := range s.set.All() {
		request.Edits = append(request.Edits, publisher.Edit{Ref: o.Ref(), After: o})
	}
	result, err := p.Publish(context.Background(), time.Now(), request)
	s.c.Assert(err, qt.IsNil)
	return result
}

// rollOut publishes a running rollout of the fleet "drafting" to a version. It
// replaces an earlier rollout.
func (s *system) rollOut(version string) {
	s.set.Rollouts = map[string]*parser.Rollout{}
	s.set.Add(&parser.Rollout{Kind: parser.KindRollout, Name: "next", Fleet: "drafting", Version: version, Policy: parser.PolicyTime, State: parser.RolloutRunning})
	s.publish()
}

// response is an HTTP response, or the error that prevented or interrupted it.
type response struct {
	status  int
	outcome string
	version string
	header  http.Header
	body    string
	err     error
}

// post sends a POST request with the key of the test's team to an entry daemon
// and reads the complete response.
func (s *system) post(entry int, path, body string, header map[string]string) response {
	return s.postTo(s.entryIP(entry)+":8080", path, body, header)
}

// postCompletion requests a completion of n tokens.
func (s *system) postCompletion(entry int, prompt string, n int, stream bool, seed int) response {
	body, err := json.Marshal(map[string]any{"model": "draft", "prompt": prompt, "max_tokens": n, "stream": stream, "seed": seed})
	s.c.Assert(err, qt.IsNil)
	return s.post(entry, "/v1/completions", string(body), nil)
}

// postRecord posts a record to the service "records" under an idempotency key,
// or without one if key is empty.
func (s *system) postRecord(entry int, key, body string) response {
	header := map[string]string{}
	if key != "" {
		header["idempotency-key"] = key
	}
	return s.post(entry, "/services/records/records", body, header)
}

// expectedText returns the complete text that a version generates for a prompt.
func (s *system) expectedText(version, prompt string, n, seed int) string {
	return strings.Join(emulator.Answer(s.set.ModelVersions[version].Digest, prompt, n, int64(seed)), "")
}

// textOf extracts the text of a completion or of the events of a stream.
// complete is false for a stream without its end marker.
func textOf(a response) (text string, complete bool) {
	var out strings.Builder
	payloads := []string{a.body}
	if strings.HasPrefix(a.header.Get("Content-Type"), "text/event-stream") {
		payloads = nil
		for line := range strings.SplitSeq(a.body, "\n") {
			if data, isEvent := strings.CutPrefix(line, "data: "); isEvent {
				payloads = append(payloads, data)
			}
		}
	} else {
		complete = true
	}
	for _, payload := range payloads {
		if payload == "[DONE]" {
			return out.String(), true
		}
		var parsed struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(payload), &parsed) == nil && len(parsed.Choices) > 0 {
			out.WriteString(parsed.Choices[0].Text)
		}
	}
	return out.String(), complete
}

// statuses returns the reported status of each daemon, or nil if the object API
// does not answer.
func (s *system) statuses() []parser.DaemonStatus {
	objects, err := s.api.List(context.Background(), parser.StatusPrefix)
	if err != nil {
		return nil
	}
	var all []parser.DaemonStatus
	for _, o := range objects {
		if status, err := parser.DecodeStatus[parser.RegionStatus](o.Value); err == nil {
			all = append(all, status.Daemons...)
		}
	}
	return all
}

// waitServing waits until all replicas report the version as ready and each
// entry daemon routes completions to it and, if there are any, calls to the
// service.
func (s *system) waitServing(version string) {
	digest := s.set.ModelVersions[version].Digest
	s.waitUntil("every replica serves "+version, func() bool {
		serving := 0
		for _, d := range s.statuses() {
			if d.Fleet == "drafting" && d.Version == digest && d.State == "ready" {
				serving++
			}
		}
		return serving >= s.Engines
	})
	for k := range s.Entries {
		s.waitUntil(entryName(k)+" routes to "+version, func() bool {
			a := s.postCompletion(k, "warm-up", 1, false, 1)
			text, _ := textOf(a)
			return a.status == http.StatusOK && text == s.expectedText(version, "warm-up", 1, 1)
		})
		if s.Services > 0 {
			s.waitUntil(entryName(k)+" routes to the service", func() bool {
				req, err := http.NewRequest(http.MethodGet, "http://"+s.entryIP(k)+":8080/services/records/records/count", nil)
				s.c.Assert(err, qt.IsNil)
				req.Header.Set("Authorization", "Bearer "+apiKey)
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					return false
				}
				_ = resp.Body.Close()
				return resp.StatusCode == http.StatusOK
			})
		}
	}
}

// storedRecords counts the records with the given body on all replicas of the
// service.
func (s *system) storedRecords(body string) int {
	count := 0
	for k := range s.Services {
		var records []struct {
			Body string `json:"body"`
		}
		s.c.Assert(json.Unmarshal(s.get("http://"+s.serviceIP(k)+":8000/records"), &records), qt.IsNil)
		for _, r := range records {
			if r.Body == body {
				count++
			}
		}
	}
	return count
}

// injectFaults sets the faults of the stand-in on a port: 7000 is the object
// API, 7001 the weight source. For example, injectFaults(7000, `{"down":true}`)
// makes the object API unavailable.
func (s *system) injectFaults(port int, body string) {
	resp, err := http.Post("http://"+s.platform(port)+"/faults", "application/json", strings.NewReader(body))
	s.c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	s.c.Assert(resp.StatusCode/100, qt.Equals, 2)
}

// get reads a URL that has to answer with 200 OK.
func (s *system) get(url string) []byte {
	resp, err := http.Get(url)
	s.c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", url, body))
	return body
}

// waitUntil polls a condition until it holds, and fails the test after
// waitTimeout.
func (s *system) waitUntil(what string, holds func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out after %s waiting for: %s", waitTimeout, what)
		}
		time.Sleep(pollInterval)
	}
}

// waitHTTP waits until a URL answers with a status below 500.
func (s *system) waitHTTP(url string) {
	s.t.Helper()
	s.waitUntil(url+" answers", func() bool {
		resp, err := http.Get(url)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode < http.StatusInternalServerError
	})
}

// location returns the region and the failure domain of VM k.
func (s *system) location(k int) (region, domain string) {
	if s.TwoRegions && k%2 == 1 {
		return "r2", "r2-a"
	}
	return "r1", "r1-a"
}

func (s *system) platform(port int) string { return fmt.Sprintf("%s.1:%d", s.network, port) }
func (s *system) entryIP(k int) string     { return fmt.Sprintf("%s.%d", s.network, 10+k) }
func (s *system) engineIP(k int) string    { return fmt.Sprintf("%s.%d", s.network, 100+k) }
func (s *system) serviceIP(k int) string   { return fmt.Sprintf("%s.%d", s.network, 200+k) }

func (s *system) seeds() string {
	addresses := make([]string, 0, s.Entries)
	for k := range s.Entries {
		addresses = append(addresses, s.entryIP(k)+":9090")
	}
	return strings.Join(addresses, ",")
}
