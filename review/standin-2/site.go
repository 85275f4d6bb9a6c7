package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"text/template"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/shared/launcher"
	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

// Hosts of the deployment on its loopback network.
const (
	entryHost = ".10"
	storeHost = ".30"
	// firstReplica is the host of the first replica.
	firstReplica = 101
)

// Names of the deployment.
const (
	callerHost = "doors.example"
	callerKey  = "key-of-inspector"
	teamName   = "sfax-inspection"
	modelName  = "draft-model"
	zone       = "sfax-a"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	startTimeout      = 20 * time.Second
	pollInterval      = 50 * time.Millisecond
	maxNetworks       = 200
	stopTime          = 8 * time.Second
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

func (r *recorder) add(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.WriteString(line)
}

// site is a deployment of one entry daemon with stand-ins of the store and the replicas.
type site struct {
	record  *recorder
	trouble bool

	network string
	dir     string
	store   *simulator.Store
	entry   *launcher.Process
	cancel  context.CancelFunc
	closers []func()
}

// open starts the store on a free loopback network.
func (s *site) open() error {
	var err error
	if s.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel, s.store = cancel, simulator.NewStore()
	for i := range maxNetworks {
		s.network = fmt.Sprintf("127.%d.%d", 40+os.Getpid()%80, (os.Getpid()/80+i)%250)
		if err = s.serve(s.network+storeHost+":8007", s.store); err == nil {
			break
		}
	}
	go s.store.Run(ctx)
	return err
}

// serve serves a stand-in at an address.
func (s *site) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.closers = append(s.closers, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return nil
}

// put writes an object to the store, as operators and replicas do.
func (s *site) put(kind, name string, spec any) error {
	raw, err := json.Marshal(map[string]any{"Metadata": map[string]any{"Name": name}, "Spec": spec})
	if err != nil {
		return err
	}
	q, err := http.NewRequest(http.MethodPut, "http://"+s.network+storeHost+":8007/-/objects/"+kind+"/"+name, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %d", resp.StatusCode)
	}
	return nil
}

// route is a route of the configuration.
type route struct {
	Name, Host, PathPrefix, Kind, Service string
	TimeoutMs, TargetLatencyMs, Priority  int
	MaxAttempts                           int
	Anonymous, Sticky, Resumable          bool
	GapTargetMs                           int `json:",omitempty"`
}

// service is a service of the configuration.
type service struct {
	Name       string
	HealthPath string
	MaxConns   int
	Engine     map[string]any `json:",omitempty"`
}

// engine describes the model engines of the deployment, which has the values of sscf-lentil.
func engine(slots int) map[string]any {
	return map[string]any{
		"Slots": slots, "KvCapacity": 1180000, "KvTokenBytes": 163840, "Stride": 5, "Models": []any{map[string]any{"Name": modelName, "WarmS": 0.3}},
		"Megabytes": 266000.0, "step_ms": 8.87, "per_seq_ms": 0.0388, "context_per_k": 0.0227, "read_per_s": 19100.0, "layers": modelLayers, "layer_mb": 4540.0, "Chunks": 48, "ChunkBytes": 49152,
	}
}

// configure writes a configuration.
func (s *site) configure(version int, maxBody int, routes []route, services []service) error {
	s.record.add("the operator writes configuration %d", version)
	return s.put("config", "main", map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": maxBody, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": teamName, "ApiKeys": []string{callerKey}, "Priority": 1}},
	})
}

// settingsText is the settings file of an edge machine, with the bounds of sscf-lentil.
const settingsText = `Node = "edge-sfax-a-1"
Role = "entry"
MachineClass = "edge"
Serves = ["edge","registry","control"]
Ip = "{{.IP}}"
Zone = "sfax-a"
Region = "sfax"
PortRange = [7700,7715]
Seeds = ["{{.IP}}:8000"]
Bootstrap = true
InFaultBudget = false
Discovery = "platform"
EntryMode = "registry"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","chunks"]
[Zones]
sfax-a = "sfax"
tunis-a = "tunis"
sousse-a = "sousse"
[Listen]
Front = "{{.IP}}:8005"
Ready = "{{.IP}}:8002"
Control = "{{.IP}}:8000"
Directory = "{{.IP}}:8009"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = {{.MemoryMB}}
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
StableWindowMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetrySlack = 106
RecoveryS = 12
PassMs = 120
version_ms = 8000
ttl_max_s = 5
[Provider]
Address = "{{.Store}}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
`

var settingsFile = template.Must(template.New("settings").Parse(settingsText))

// memoryMB is the memory of an edge machine of sscf-lentil.
const memoryMB = 284

// startEntry starts the entry daemon with the command of the deploy file and waits until it is
// ready.
func (s *site) startEntry() error {
	var text bytes.Buffer
	ip := s.network + entryHost
	if err := settingsFile.Execute(&text, map[string]any{"IP": ip, "MemoryMB": memoryMB, "Store": s.network + storeHost + ":8007"}); err != nil {
		return err
	}
	file := filepath.Join(s.dir, "settings.toml")
	if err := os.WriteFile(file, text.Bytes(), 0o600); err != nil {
		return err
	}
	s.entry = &launcher.Process{
		Name: "entry", Path: "target/lentil-platform", Args: []string{"entry"}, Env: []string{"LENTILBRIDGE_NODE_FILE=" + file}, Log: filepath.Join(s.dir, "entry.log"),
	}
	if err := s.entry.Start(); err != nil {
		s.entry = nil
		return err
	}
	s.record.add("target/lentil-platform entry started, %d MB of memory in its settings", memoryMB)
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(pollInterval) {
		if !s.entry.Running() {
			return fmt.Errorf("the entry daemon has ended")
		}
		if s.isReady() {
			s.record.add("the entry daemon is ready")
			// The list of replicas is rebuilt twice a second.
			time.Sleep(time.Second)
			return nil
		}
	}
	return fmt.Errorf("the entry daemon is not ready after %s", startTimeout)
}

func (s *site) callerAddress() string { return s.network + entryHost + ":8005" }

// isReady asks the entry daemon whether it is ready, as the platform does.
func (s *site) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + s.network + entryHost + ":8002/-/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends all processes and stand-ins.
func (s *site) stop() {
	if s.entry != nil && s.entry.Running() {
		s.entry.Stop(stopTime)
	}
	if s.cancel != nil {
		s.cancel()
	}
	for _, closeFunc := range s.closers {
		closeFunc()
	}
	if s.dir != "" {
		_ = os.RemoveAll(s.dir)
	}
}
