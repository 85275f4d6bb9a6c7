package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/shared/launcher"
	"github.com/lentilbridge/lentilbridge/platform/simulator"
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

// What the routes of the soak have in common.
const (
	routeTimeout = 4 * time.Second
	routeTarget  = 500 * time.Millisecond
	maxBodyBytes = 64 << 10
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

// Roles of daemons.
const (
	roleEntry = "entry"
	roleAgent = "agent"
)

// model is the name of the model of the engines.
const model = "lentil"

// vm is the place of a daemon with the proxies around it.
type vm struct {
	Role    string
	Index   int
	IP      string
	Process *keeper
	// Store is the link to the store; Link is the one of callers to an entry VM,
	// or of everybody to an engine.
	Store, Link *proxy
}

// place is where replicas start, one after the other.
type place struct {
	VM      string
	Service string
	Domain  string
	Listen  string
	Link    *proxy
	Engine  *simulator.Engine

	mu      sync.Mutex
	replica *simulator.Replica
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
	store    *simulator.Store
	origin   *simulator.Origin
	entries  []*vm
	agents   []*vm
	places   []*place
	revision int
	version  int
	// extras are the routes that come and go; next numbers them.
	extras  []string
	next    int
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
func (c *cluster) start(ctx context.Context) error {
	// The networks of another soak's process are not met.
	c.network = 16 + os.Getpid()%200
	c.store, c.origin = simulator.NewStore(), &simulator.Origin{Model: model}
	go c.store.Run(ctx)
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
	return c.startDaemons(ctx)
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
		c.places = append(c.places, &place{VM: fmt.Sprintf("plain-%d", i), Service: service, Domain: domain(i), Listen: c.address(netPlain, i, appPort), Link: link})
	}
	for i := range c.Engines {
		link, err := c.link(c.address(netAgents, i, appPort), c.address(netEngines, i, appPort))
		if err != nil {
			return err
		}
		name := fmt.Sprintf("engine-%d", i)
		c.places = append(c.places, &place{
			VM: name, Service: "llm", Domain: domain(i), Listen: c.address(netEngines, i, appPort), Link: link,
			Engine: &simulator.Engine{VM: name, Model: model, Observer: c.Ledger},
		})
	}
	for _, p := range c.places {
		if err := c.startReplica(p); err != nil {
			return err
		}
	}
	return nil
}

func domain(i int) string { return fmt.Sprintf("z%d", i%2) }

// startReplica starts the next replica of a place.
func (c *cluster) startReplica(p *place) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	if p.Engine != nil {
		p.Engine.Restart(time.Now())
	}
	p.replica = &simulator.Replica{
		ID: fmt.Sprintf("i-%s-%d", p.VM, p.starts), Service: p.Service, VM: p.VM, FailureDomain: p.Domain, DrainTime: drainTime,
		Listen: p.Listen, Address: p.Link.Listener.Addr().String(), Engine: p.Engine, Observer: c.Ledger, Store: c.store,
	}
	return p.replica.Start()
}

func (c *cluster) startDaemons(ctx context.Context) error {
	for i := range c.Entries {
		v := &vm{Role: roleEntry, Index: i, IP: ipOf(c.entryAddress(i))}
		var err error
		if v.Link, err = c.link(c.address(netFronts, i, frontPort), c.entryAddress(i)); err != nil {
			return err
		}
		c.entries = append(c.entries, v)
		if err := c.startDaemon(ctx, v, domain(i)); err != nil {
			return err
		}
	}
	for i := range c.Engines {
		v := &vm{Role: roleAgent, Index: i, IP: ipOf(c.address(netAgents, i, appPort)), Link: c.places[len(c.places)-c.Engines+i].Link}
		c.agents = append(c.agents, v)
		if err := c.startDaemon(ctx, v, domain(i)); err != nil {
			return err
		}
	}
	return nil
}

// startDaemon writes the settings of a VM and keeps its process running.
func (c *cluster) startDaemon(ctx context.Context, v *vm, domain string) error {
	link := v.Index
	if v.Role == roleAgent {
		link += c.Entries
	}
	storeAddress := c.address(netStores, link, storePort)
	var err error
	if v.Store, err = c.link(storeAddress, c.address(netServices, 0, storePort)); err != nil {
		return err
	}
	settings := &simulator.Settings{
		VM: fmt.Sprintf("%s-%d", v.Role, v.Index), IP: v.IP, FailureDomain: domain, StoreAddress: storeAddress,
		Seeds:     []string{c.address(netEntries, 0, controlPort), c.address(netEntries, 1, controlPort)},
		DrainTime: drainTime, StopTime: stopTime, VersionTime: versionTime,
	}
	if v.Role == roleAgent {
		settings.EngineAddress, settings.EngineService = v.Link.Listener.Addr().String(), routeStream.Service
	} else {
		settings.CallerAddress = c.address(netEntries, v.Index, frontPort)
		settings.ReadyAddress = c.address(netEntries, v.Index, readyPort)
		settings.ControlAddress = c.address(netEntries, v.Index, controlPort)
		settings.DirectoryAddress = c.directoryAddress(v.Index)
	}
	path := filepath.Join(c.Dir, settings.VM+".toml")
	if err := settings.Write(path); err != nil {
		return err
	}
	v.Process = &keeper{Start: launcher.Process{
		Name: settings.VM, Path: c.Binary, Args: []string{v.Role}, Env: []string{simulator.Environment(path)},
		Log: filepath.Join(c.Dir, settings.VM+".log"),
	}}
	c.running.Go(func() { v.Process.run(ctx) })
	return nil
}

// stop ends what is left when the context of start has ended.
func (c *cluster) stop() {
	c.running.Wait()
	for _, p := range c.places {
		p.replica.Crash()
	}
	for _, end := range c.closers {
		end()
	}
}

// configure writes the next configuration.
func (c *cluster) configure(now time.Time) bool {
	routes := []route{routeStream, routeOrder, routeLook}
	for _, name := range c.extras {
		routes = append(routes, extraRoute(name))
	}
	cfg := &matcher.Configuration{
		Version: uint64(c.revision + 1),
		Services: map[string]*matcher.Service{
			routeStream.Service: {Name: routeStream.Service, Engine: &matcher.Engine{Models: []string{model}}},
			routeOrder.Service:  {Name: routeOrder.Service},
			routeLook.Service:   {Name: routeLook.Service},
			"weights":           {Name: "weights", OriginAddress: c.address(netServices, 1, storePort), OriginRegion: domain(0)},
		},
		Limits: matcher.Limits{MaxBodyBytes: maxBodyBytes},
	}
	for _, r := range routes {
		cfg.Routes = append(cfg.Routes, matcher.Route{
			Name: r.Name, Host: host, PathPrefix: r.Prefix, Kind: r.Kind, Timeout: routeTimeout, TargetLatency: routeTarget,
			Backends: []matcher.Backend{{Service: r.Service}}, MaxAttempts: r.Attempts, Resumable: r.Kind == matcher.Streaming, Priority: 1,
		})
	}
	for _, t := range teams {
		cfg.Teams = append(cfg.Teams, matcher.Team{Name: t.name, Keys: []string{t.key}})
	}
	if !c.store.WriteConfiguration(cfg) {
		return false
	}
	c.revision++
	c.Ledger.configured(c.extras, now)
	return true
}

// extraRoute is a route that comes and goes.
func extraRoute(name string) route {
	return route{Name: name, Prefix: "/" + name + "/", Kind: matcher.Idempotent, Service: routeLook.Service, Attempts: 2}
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
	if !c.store.WriteVersion(model, c.version+1) {
		return false
	}
	c.version++
	c.Ledger.name(c.version, now)
	return true
}

// runCallers starts the callers.
func (c *cluster) runCallers(ctx context.Context) {
	for i := range c.Callers {
		one := &caller{
			Cluster: c, Rand: rand.New(rand.NewPCG(c.Seed, uint64(i))), Name: fmt.Sprintf("c%d", i), Team: teams[i%len(teams)], Stays: i%4 == 0,
		}
		c.running.Go(func() { one.run(ctx) })
	}
	for i := range c.Entries {
		one := &prober{Cluster: c, Entry: i, Rand: rand.New(rand.NewPCG(c.Seed, uint64(1000+i)))}
		c.running.Go(func() { one.run(ctx) })
	}
}
