package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"text/template"
	"time"
)

// Ports of a VM. Each VM has a loopback address of its own.
const (
	frontPort     = 8005
	readyPort     = 8002
	controlPort   = 8000
	directoryPort = 8009
	appPort       = 8001
	storePort     = 8007
)

// Networks of the loopback addresses: 127.N.K.i with N chosen by the cluster.
const (
	netEntries = iota + 10
	netAgents
	netPlain
	netEngines
	netFronts
	netStores
	netReplicaProxies
	netServices
)

const settingsTemplate = `Node = "{{.Name}}"
Role = "{{.Role}}"
Ip = "{{.IP}}"
Zone = "{{.Zone}}"
Region = "r"
PortRange = [7700, 7715]
Seeds = [{{.Seeds}}]
{{if .App}}app = "{{.App}}"
Service = "llm"
{{end}}[Zones]
z0 = "r"
z1 = "r"
[Listen]
{{if eq .Role "entry"}}Front = "{{.IP}}:8005"
Ready = "{{.IP}}:8002"
Control = "{{.IP}}:8000"
Directory = "{{.IP}}:8009"
{{end}}[Limits]
MemoryMb = 284
MaxFds = 4100
LinkMbps = 1000.0
[Bounds]
DrainMs = {{.DrainMs}}
GraceS = {{.GraceS}}
RetryBudgetRatio = 0.2
RetrySlack = 100
version_ms = {{.VersionMs}}
ttl_max_s = 2
[Provider]
Address = "{{.Store}}"
`

var settingsFile = template.Must(template.New("settings").Parse(settingsTemplate))

// vm is the place of a daemon with the proxies around it.
type vm struct {
	Role    string
	Index   int
	IP      string
	Process *process
	// Store is the link to the store; Link is the one of callers to an entry VM,
	// or of everybody to an engine.
	Store, Link *proxy
}

// place is where replicas start, one after the other.
type place struct {
	VM      string
	Service string
	Zone    string
	Listen  string
	Link    *proxy
	Engine  *engine

	mu      sync.Mutex
	replica *replica
	busy    bool
	starts  int
}

// cluster is the whole system: the real daemons as processes, and stand-ins for
// what surrounds them. Fields are set before start.
type cluster struct {
	Binary  string
	Dir     string
	Seed    uint64
	Entries int
	Engines int
	Callers int
	Ledger  *ledger

	network int
	// operator serializes the operator's writes.
	operator sync.Mutex
	store    *store
	origin   *origin
	entries  []*vm
	agents   []*vm
	places   []*place
	revision int
	version  int
	// extras are the routes that come and go; next numbers them.
	extras  []string
	next    int
	done    chan struct{}
	closers []func()
	running sync.WaitGroup
}

func (c *cluster) address(network, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", c.network, network, i+1, port)
}

func ipOf(address string) string { return address[:strings.LastIndex(address, ":")] }

func (c *cluster) entryAddress(i int) string     { return c.address(netEntries, i, frontPort) }
func (c *cluster) directoryAddress(i int) string { return c.address(netEntries, i, directoryPort) }

// entryIndex returns the entry VM of an address.
func (c *cluster) entryIndex(address string) int {
	return slices.IndexFunc(c.entries, func(v *vm) bool { return v.IP == ipOf(address) })
}

// frontProxy returns the proxy before the address of an entry VM.
func (c *cluster) frontProxy(address string) string {
	return c.address(netFronts, c.entryIndex(address), frontPort)
}

// start starts the stand-ins and the daemons.
func (c *cluster) start() error {
	c.done = make(chan struct{})
	// The networks of another soak's process are not met.
	c.network = 16 + os.Getpid()%200
	c.store, c.origin = newStore(), &origin{}
	go c.store.run(c.done)
	if err := c.serve(c.address(netServices, 0, storePort), c.store); err != nil {
		return err
	}
	if err := c.serve(c.address(netServices, 1, storePort), c.origin); err != nil {
		return err
	}
	c.configure(time.Now())
	c.nameVersion(time.Now())
	if err := c.startReplicas(); err != nil {
		return err
	}
	return c.startDaemons()
}

func (c *cluster) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h}
	c.closers = append(c.closers, func() { _ = server.Close() })
	go (&standInServer{server: server, listener: l}).run()
	return nil
}

type standInServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *standInServer) run() { _ = s.server.Serve(s.listener) }

func (c *cluster) link(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{Listener: l, Target: target}
	c.closers = append(c.closers, p.close)
	go p.run()
	return p, nil
}

// startReplicas starts two services of three plain replicas each, and the
// engines.
func (c *cluster) startReplicas() error {
	services := []string{"orders", "orders", "orders", "lookup", "lookup", "lookup"}
	for i, service := range services {
		link, err := c.link(c.address(netReplicaProxies, i, appPort), c.address(netPlain, i, appPort))
		if err != nil {
			return err
		}
		c.places = append(c.places, &place{VM: fmt.Sprintf("plain-%d", i), Service: service, Zone: zone(i), Listen: c.address(netPlain, i, appPort), Link: link})
	}
	for i := range c.Engines {
		link, err := c.link(c.address(netAgents, i, appPort), c.address(netEngines, i, appPort))
		if err != nil {
			return err
		}
		name := fmt.Sprintf("engine-%d", i)
		c.places = append(c.places, &place{
			VM: name, Service: "llm", Zone: zone(i), Listen: c.address(netEngines, i, appPort), Link: link,
			Engine: &engine{VM: name, Ledger: c.Ledger},
		})
	}
	for _, p := range c.places {
		if err := c.startReplica(p); err != nil {
			return err
		}
	}
	return nil
}

func zone(i int) string { return fmt.Sprintf("z%d", i%2) }

// startReplica starts the next replica of a place.
func (c *cluster) startReplica(p *place) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	if p.Engine != nil {
		p.Engine.restart(time.Now())
	}
	p.replica = &replica{
		ID: fmt.Sprintf("i-%s-%d", p.VM, p.starts), Service: p.Service, VM: p.VM, Zone: p.Zone,
		Listen: p.Listen, Address: p.Link.Listener.Addr().String(), Engine: p.Engine, Ledger: c.Ledger, Store: c.store,
	}
	return p.replica.start()
}

func (c *cluster) startDaemons() error {
	for i := range c.Entries {
		v := &vm{Role: "entry", Index: i, IP: ipOf(c.entryAddress(i))}
		var err error
		if v.Link, err = c.link(c.address(netFronts, i, frontPort), c.entryAddress(i)); err != nil {
			return err
		}
		c.entries = append(c.entries, v)
		if err := c.startDaemon(v, zone(i)); err != nil {
			return err
		}
	}
	for i := range c.Engines {
		v := &vm{Role: "agent", Index: i, IP: ipOf(c.address(netAgents, i, appPort)), Link: c.places[len(c.places)-c.Engines+i].Link}
		c.agents = append(c.agents, v)
		if err := c.startDaemon(v, zone(i)); err != nil {
			return err
		}
	}
	return nil
}

// startDaemon writes the settings of a VM and keeps its process running.
func (c *cluster) startDaemon(v *vm, zone string) error {
	name := fmt.Sprintf("%s-%d", v.Role, v.Index)
	link := v.Index
	if v.Role == "agent" {
		link += c.Entries
	}
	var err error
	if v.Store, err = c.link(c.address(netStores, link, storePort), c.address(netServices, 0, storePort)); err != nil {
		return err
	}
	values := map[string]any{
		"Name": name, "Role": v.Role, "IP": v.IP, "Zone": zone, "App": "", "Store": c.address(netStores, link, storePort),
		"Seeds":   fmt.Sprintf("%q, %q", c.address(netEntries, 0, controlPort), c.address(netEntries, 1, controlPort)),
		"DrainMs": drainTime.Milliseconds(), "GraceS": int(stopTime.Seconds()), "VersionMs": versionTime.Milliseconds(),
	}
	if v.Role == "agent" {
		values["App"] = v.Link.Listener.Addr().String()
	}
	path := filepath.Join(c.Dir, name+".toml")
	var text bytes.Buffer
	if err := settingsFile.Execute(&text, values); err != nil {
		return err
	}
	if err := os.WriteFile(path, text.Bytes(), 0o600); err != nil {
		return err
	}
	v.Process = &process{Binary: c.Binary, Role: v.Role, SettingsPath: path, LogPath: filepath.Join(c.Dir, name+".log"), Done: c.done}
	c.running.Add(1)
	go (&keeper{process: v.Process, ended: c.running.Done}).run()
	return nil
}

// stop ends everything that the soak started.
func (c *cluster) stop() {
	close(c.done)
	for _, v := range append(slices.Clone(c.entries), c.agents...) {
		v.Process.kill()
	}
	c.running.Wait()
	for _, p := range c.places {
		p.replica.crash()
	}
	for _, end := range c.closers {
		end()
	}
}

// configure writes the next configuration.
func (c *cluster) configure(now time.Time) bool {
	var routes []map[string]any
	for _, r := range []route{routeStream, routeOrder, routeLook} {
		routes = append(routes, map[string]any{
			"Name": r.Name, "Host": host, "PathPrefix": r.Prefix, "Kind": r.Kind, "TimeoutMs": 4000, "TargetLatencyMs": 500,
			"GapTargetMs": 400, "Service": r.Service, "MaxAttempts": r.Attempts, "Resumable": r.Kind == "streaming", "Priority": 1,
		})
	}
	for _, name := range c.extras {
		routes = append(routes, map[string]any{
			"Name": name, "Host": host, "PathPrefix": "/" + name + "/", "Kind": "idempotent", "TimeoutMs": 4000, "TargetLatencyMs": 500,
			"Service": routeLook.Service, "MaxAttempts": 2, "Priority": 1,
		})
	}
	spec := map[string]any{
		"Version": c.revision + 1, "Routes": routes,
		"Services": []map[string]any{
			{"Name": "llm", "MaxConns": 200, "Engine": map[string]any{
				"Slots": replicaSlots, "Models": []map[string]any{{"Name": model}}, "layers": modelLayers, "Chunks": modelChunks,
				"ChunkBytes": chunkBytes, "read_per_s": 19000, "step_ms": 8, "per_seq_ms": 0.1, "Stride": 2,
			}},
			{"Name": "orders", "MaxConns": 200},
			{"Name": "lookup", "MaxConns": 200},
			{"Name": "weights", "Origin": c.address(netServices, 1, storePort), "Zone": "z0"},
		},
		"Tenants": []map[string]any{{"Name": "red", "ApiKeys": []string{"key-red"}}, {"Name": "blue", "ApiKeys": []string{"key-blue"}}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 5000},
	}
	if !c.store.write(kindConfiguration, "main", spec) {
		return false
	}
	c.revision++
	c.Ledger.configured(c.extras, now)
	return true
}

// changeConfiguration adds a route or removes the oldest one.
func (c *cluster) changeConfiguration(add bool, write func(try func(now time.Time) bool)) {
	changed := false
	write(func(now time.Time) bool {
		switch {
		case changed:
		case len(c.extras) == 0 || add && len(c.extras) < maxExtras:
			c.next++
			c.extras = append(c.extras, fmt.Sprintf("%s%d", extraPrefix, c.next))
		default:
			c.extras = slices.Clone(c.extras[1:])
		}
		changed = true
		return c.configure(now)
	})
}

// nameVersion names the next version of the weights.
func (c *cluster) nameVersion(now time.Time) bool {
	if !c.store.write(kindVersions, model, map[string]any{"Model": model, "Version": c.version + 1}) {
		return false
	}
	c.version++
	c.Ledger.name(c.version, now)
	return true
}

// runCallers starts the callers.
func (c *cluster) runCallers() {
	teams := []struct{ team, key string }{{"red", "key-red"}, {"blue", "key-blue"}}
	for i := range c.Callers {
		t := teams[i%len(teams)]
		go (&caller{
			Cluster: c, Rand: rand.New(rand.NewPCG(c.Seed, uint64(i))), Name: fmt.Sprintf("c%d", i),
			Key: t.key, Team: t.team, Stays: i%4 == 0,
		}).run()
	}
	for i := range c.Entries {
		go (&prober{Cluster: c, Entry: i, Rand: rand.New(rand.NewPCG(c.Seed, uint64(1000+i)))}).run()
	}
}
