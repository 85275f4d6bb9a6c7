package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/shared/authenticator"
	"github.com/lentilbridge/lentilbridge/internal/shared/launcher"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	readyTimeout = 20 * time.Second
	stopTimeout  = 30 * time.Second
	entryCount   = 7
	domainCount  = 2
	// certificateLifetime exceeds the run time of a demo.
	certificateLifetime = 7 * 24 * time.Hour
)

// system runs one deployment as separate processes.
type system struct {
	opts *options
	dir  string
	set  *parser.Set
	// authority is nil without TLS.
	authority *authenticator.Authority

	objectAPIURL string
	weightsURL   string
	vmListURL    string
	entries      []vm
	agents       []vm

	mu        sync.Mutex
	processes []*launcher.Process
	byName    map[string]*launcher.Process
}

// vm is one VM of the deployment.
type vm struct {
	name          string
	region        string
	failureDomain string
	fleet         string
	service       bool
	ip            string
}

func newSystem(opts *options) (*system, error) {
	s := &system{opts: opts, byName: map[string]*launcher.Process{}}
	dir, err := os.MkdirTemp("", "lentil-demo-")
	if err != nil {
		return nil, err
	}
	s.dir = dir
	if opts.Logs == "" {
		opts.Logs = dir
	}
	if err := os.MkdirAll(opts.Logs, 0o755); err != nil {
		return nil, err
	}
	if s.set, err = readDeployment(filepath.Join(opts.Examples, opts.Deployment)); err != nil {
		return nil, err
	}
	if opts.TLS {
		if s.authority, err = authenticator.NewAuthority(dir, time.Now().Add(certificateLifetime)); err != nil {
			return nil, err
		}
	}
	s.objectAPIURL = "http://" + opts.Network + ".0.1:7000"
	s.weightsURL = "http://" + opts.Network + ".0.1:7001"
	s.vmListURL = "http://" + opts.Network + ".0.1:7002"
	s.placeVMs()
	return s, nil
}

// placeVMs distributes entry VMs and the replicas of each fleet over the regions
// and failure domains of the deployment.
func (s *system) placeVMs() {
	regions := regionsOf(s.set)
	s.opts.OriginRegion = regions[0]
	for k := range entryCount {
		region := regions[k%len(regions)]
		s.entries = append(s.entries, vm{
			name:          fmt.Sprintf("entry-%d", k+1),
			region:        region,
			failureDomain: domainOf(region, k/len(regions)),
			ip:            fmt.Sprintf("%s.1.%d", s.opts.Network, k+1),
		})
	}
	names := make([]string, 0, len(s.set.Fleets))
	for name := range s.set.Fleets {
		names = append(names, name)
	}
	sort.Strings(names)
	number := 0
	for _, name := range names {
		fleet := s.set.Fleets[name]
		if fleet.Model != "" && s.opts.Replicas > 0 {
			fleet.Replicas = s.opts.Replicas
			fleet.MaxUnavailable = min(fleet.MaxUnavailable, max(1, fleet.Replicas/4))
		}
		for k := range fleet.Replicas {
			number++
			region := fleet.Regions[k%len(fleet.Regions)]
			s.agents = append(s.agents, vm{
				name:          fmt.Sprintf("%s-%d", name, k+1),
				region:        region,
				failureDomain: domainOf(region, k/len(fleet.Regions)),
				fleet:         name,
				service:       fleet.Service != "",
				ip:            fmt.Sprintf("%s.2.%d", s.opts.Network, number),
			})
		}
	}
}

func domainOf(region string, k int) string {
	return fmt.Sprintf("%s-%d", region, k%domainCount+1)
}

// start starts the stand-ins, the entry daemons and the agents, and waits until the
// daemons respond to health checks.
func (s *system) start(ctx context.Context) error {
	steps := []func(context.Context) error{s.startStandIns, s.resolveDigests, s.startEntries, s.startAgents}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) startStandIns(ctx context.Context) error {
	originRate := 4 * float64(s.opts.WeightBytes) / s.opts.Window
	platform := s.opts.Network + ".0.1"
	standins := []struct {
		name string
		args []string
		url  string
	}{
		{"object-api", []string{"object-api", "--address", platform + ":7000"}, s.objectAPIURL + "/stats"},
		{"weights", []string{
			"weights", "--address", platform + ":7001",
			"--bytes-per-second", fmt.Sprintf("%.0f", originRate),
			"--versions", s.weightVersions(),
		}, s.weightsURL + "/stats"},
		{"vm-list", []string{"vm-list", "--address", platform + ":7002"}, ""},
	}
	for _, standin := range standins {
		if err := s.startProgram(standin.name, "lentil-standin", standin.args...); err != nil {
			return err
		}
	}
	for _, standin := range standins {
		if standin.url == "" {
			continue
		}
		if err := waitForHTTP(ctx, standin.url); err != nil {
			return fmt.Errorf("%s: %w", standin.name, err)
		}
	}
	return nil
}

func (s *system) startEntries(ctx context.Context) error {
	for _, e := range s.entries {
		tls, err := s.tlsArgs(e.name, authenticator.RoleEntry)
		if err != nil {
			return err
		}
		if err := s.startProgram(e.name, "lentil-entry", append(tls,
			"--vm", e.name,
			"--region", e.region,
			"--failure-domain", e.failureDomain,
			"--public-address", e.ip+":8080",
			"--rpc-address", e.ip+":9090",
			"--debug-address", e.ip+":6060",
			"--object-api", s.objectAPIURL,
			"--vm-list", s.vmListURL,
			"--seeds", s.seeds(),
			"--origin-region", s.opts.OriginRegion,
			"--entries-valid", "2s",
		)...); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		if err := waitForHTTP(ctx, "http://"+e.ip+":6060/healthz"); err != nil {
			return fmt.Errorf("%s: %w", e.name, err)
		}
	}
	return nil
}

func (s *system) startAgents(ctx context.Context) error {
	for _, a := range s.agents {
		if err := s.startBackend(a); err != nil {
			return err
		}
		if err := s.startAgent(a); err != nil {
			return err
		}
	}
	for _, a := range s.agents {
		if err := waitForHTTP(ctx, "http://"+a.ip+":6060/healthz"); err != nil {
			return fmt.Errorf("%s: %w", a.name, err)
		}
	}
	return nil
}

func (s *system) startBackend(a vm) error {
	if a.service {
		return s.startProgram(a.name+"-service", "lentil-standin", "service", "--address", a.ip+":8000", "--latency", "5ms")
	}
	return s.startProgram(a.name+"-engine", "lentil-standin", "engine", "--address", a.ip+":8000")
}

func (s *system) startAgent(a vm) error {
	linkRate := 2 * float64(s.opts.WeightBytes) / s.opts.Window
	args := []string{
		"--vm", a.name,
		"--region", a.region,
		"--failure-domain", a.failureDomain,
		"--fleet", a.fleet,
		"--rpc-address", a.ip + ":9090",
		"--debug-address", a.ip + ":6060",
		"--entries", s.seeds(),
	}
	if a.service {
		args = append(args, "--service", s.set.Fleets[a.fleet].Service, "--service-address", a.ip+":8000")
	} else {
		args = append(args,
			"--model", s.set.Fleets[a.fleet].Model,
			"--engine-address", a.ip+":8000",
			"--weights-address", strings.TrimPrefix(s.weightsURL, "http://"),
			"--download-rate", fmt.Sprintf("%.0f", linkRate),
			"--upload-rate", fmt.Sprintf("%.0f", linkRate),
		)
	}
	tls, err := s.tlsArgs(a.name, authenticator.RoleAgent)
	if err != nil {
		return err
	}
	return s.startProgram(a.name, "lentil-agent", append(args, tls...)...)
}

// tlsArgs issues a certificate for a daemon and returns its TLS flags.
func (s *system) tlsArgs(name string, role authenticator.Role) ([]string, error) {
	if s.authority == nil {
		return nil, nil
	}
	certFile, keyFile, err := s.authority.Issue(name, role, time.Now().Add(certificateLifetime))
	if err != nil {
		return nil, err
	}
	return []string{"--tls-cert", certFile, "--tls-key", keyFile, "--tls-ca", s.authority.CAFile}, nil
}

// startProgram starts a program under a name. byName then refers to the new process
// if an earlier one had the same name.
func (s *system) startProgram(name, program string, args ...string) error {
	p := &launcher.Process{
		Name: name, Path: filepath.Join(s.opts.Bin, program), Args: args, Log: filepath.Join(s.opts.Logs, name+".log"),
	}
	if err := p.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, p)
	s.byName[name] = p
	return nil
}

// stop stops the agents first, then the entry daemons, then the stand-ins. The
// processes of a group stop in parallel.
func (s *system) stop() {
	s.mu.Lock()
	processes := append([]*launcher.Process{}, s.processes...)
	s.mu.Unlock()
	for _, program := range []string{"lentil-agent", "lentil-entry", "lentil-standin"} {
		s.stopProgram(processes, program)
	}
	if s.opts.Logs != s.dir {
		_ = os.RemoveAll(s.dir)
	}
}

func (s *system) stopProgram(processes []*launcher.Process, program string) {
	var wg sync.WaitGroup
	for _, p := range processes {
		if filepath.Base(p.Path) != program || !p.Running() {
			continue
		}
		wg.Add(1)
		stopping := &stopper{process: p, done: wg.Done}
		go stopping.run()
	}
	wg.Wait()
}

// stopper stops one process.
type stopper struct {
	process *launcher.Process
	done    func()
}

func (s *stopper) run() {
	defer s.done()
	s.process.Stop(stopTimeout)
}

func (s *system) seeds() string {
	var addresses []string
	for _, e := range s.entries {
		addresses = append(addresses, e.ip+":9090")
	}
	return strings.Join(addresses, ",")
}

func (s *system) printAddresses(w io.Writer) {
	fmt.Fprintf(w, "object-api=%s\nweights=%s\nvm-list=%s\n", s.objectAPIURL, s.weightsURL, s.vmListURL)
	for _, e := range s.entries {
		fmt.Fprintf(w, "%s=http://%s:8080\n%s-debug=http://%s:6060\n", e.name, e.ip, e.name, e.ip)
	}
	for _, a := range s.agents {
		fmt.Fprintf(w, "%s=%s:9090\n%s-debug=http://%s:6060\n", a.name, a.ip, a.name, a.ip)
	}
	fmt.Fprintf(w, "logs=%s\n", s.opts.Logs)
}

func (s *system) objectAPI() adapter.ObjectAPI {
	return &adapter.HTTPObjectAPI{BaseURL: s.objectAPIURL}
}

func waitForHTTP(ctx context.Context, url string) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode < http.StatusInternalServerError {
				return nil
			}
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s did not become healthy within %s: %w", url, readyTimeout, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}
