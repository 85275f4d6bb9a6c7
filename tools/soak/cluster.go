package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/shared/launcher"
	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

// Ports of a VM. Each VM has its own loopback address.
const (
	callerPort    = 8005
	readyPort     = 8002
	controlPort   = 8000
	directoryPort = 8009
	replicaPort   = 8001
	storePort     = 8007
)

// Settings that all routes share.
const (
	routeTimeout       = 6 * time.Second
	routeTargetLatency = 500 * time.Millisecond
	maxBodyBytes       = 64 << 10
)

// Third octets K of the loopback addresses 127.N.K.i. N is chosen per process,
// see cluster.networkOctet.
const (
	netEntries = iota + 10
	netAgents
	netServiceReplicas
	netEngines
	netEntryProxies
	netStoreProxies
	netReplicaProxies
	netStandIns
)

// Networks of soaks, as second octets of addresses.
const (
	firstNetwork = 16
	networks     = 200
)

// Roles of daemons.
const (
	roleEntry = "entry"
	roleAgent = "agent"
)

// replicaRestartDelay is the time from a crash of a replica to its restart.
const replicaRestartDelay = 2 * time.Second

// model is the model that the engines serve.
const model = "lentil"

// vm is a VM with a daemon and the proxies on its links.
type vm struct {
	Role    string
	Index   int
	IP      string
	Process *supervisor
	// StoreProxy is on the daemon's link to the store. InboundProxy is on the link
	// from callers to an entry VM, or on the link to an agent's engine.
	StoreProxy, InboundProxy *proxy
}

// replicaSlot runs one replica at a time on one VM and listen address.
type replicaSlot struct {
	VM      string
	Service string
	Domain  string
	Listen  string
	Proxy   *proxy
	Engine  *simulator.Engine

	mu      sync.Mutex
	replica *simulator.Replica
	// reserved is set while a fault replaces the replica.
	reserved   bool
	startCount int
}

// cluster is the system under test: the daemons as processes and simulators of
// the systems around them. Fields are set before start.
type cluster struct {
	Binary  string
	Dir     string
	Seed    uint64
	Entries int
	Engines int
	Callers int
	// Signals makes replicas say of themselves that they leave or want no requests.
	Signals bool
	// Silences adds a second service for streams if there are two engines or more.
	Silences bool
	// Evacuations gives the deployment a time for evacuations.
	Evacuations bool
	// Cold makes replicas cold after their start, except the first ones.
	Cold bool
	// Restricted puts each failure domain into a region of its own, and restricts a route and a team to one.
	Restricted bool
	Checker    *checker

	// networkOctet is the second octet of the loopback addresses.
	networkOctet int
	// operatorMu serializes the operator's writes to the store.
	operatorMu sync.Mutex
	store      *simulator.Store
	origin     *simulator.Origin
	entries    []*vm
	agents     []*vm
	slots      []*replicaSlot
	revision   int
	version    int
	// extraRoutes are the routes that faults add and remove; lastExtraRoute is the
	// number of the newest.
	extraRoutes    []string
	lastExtraRoute int
	// limits and priorities hold what faults changed, by the names of routes and teams, and
	// secondWeight the weight of secondStreamService.
	limits       map[string]limits
	priorities   map[string]int
	secondWeight int
	// partCrashes is set while callers send requests with crashPart.
	partCrashes atomic.Bool
	// evacuating holds the failure domains that a fault evacuates.
	evacuating sync.Map
	// stopped is set when no replica may be started any more.
	stopped atomic.Bool
	closers []func()
	running sync.WaitGroup
}

func (c *cluster) address(network, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", c.networkOctet, network, i+1, port)
}

func ipOf(address string) string { return address[:strings.LastIndex(address, ":")] }

func (c *cluster) entryAddress(i int) string     { return c.address(netEntries, i, callerPort) }
func (c *cluster) directoryAddress(i int) string { return c.address(netEntries, i, directoryPort) }

// entryIndex returns the index of the entry VM with an address.
func (c *cluster) entryIndex(address string) int {
	return slices.IndexFunc(c.entries, func(v *vm) bool { return v.IP == ipOf(address) })
}

// entryProxyAddress returns the address of the proxy in front of an entry VM.
func (c *cluster) entryProxyAddress(address string) string {
	return c.address(netEntryProxies, c.entryIndex(address), callerPort)
}

// start starts the simulators and the daemons.
func (c *cluster) start(ctx context.Context) error {
	c.limits, c.priorities, c.secondWeight = map[string]limits{}, map[string]int{}, maxWeight/2
	c.store, c.origin = simulator.NewStore(), &simulator.Origin{Model: model}
	go c.store.Run(ctx)
	if err := c.serveStore(os.Getpid()); err != nil {
		return err
	}
	if err := c.serve(c.address(netStandIns, 1, storePort), c.origin); err != nil {
		return err
	}
	c.writeConfiguration(time.Now())
	c.writeNextVersion(time.Now())
	if err := c.startReplicas(); err != nil {
		return err
	}
	return c.startDaemons(ctx)
}

// serveStore serves the store on the first network, from a number on, that no other soak uses
// at the same time.
func (c *cluster) serveStore(first int) error {
	var err error
	for i := range networks {
		c.networkOctet = firstNetwork + (first+i)%networks
		if err = c.serve(c.address(netStandIns, 0, storePort), c.store); !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
	return err
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

func (c *cluster) startProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{Listener: l, Target: target}
	c.closers = append(c.closers, p.close)
	go p.run()
	return p, nil
}

// startReplicas starts two services of three replicas each, and the engines.
func (c *cluster) startReplicas() error {
	services := []string{"orders", "orders", "orders", "lookup", "lookup", "lookup"}
	for i, service := range services {
		proxy, err := c.startProxy(c.address(netReplicaProxies, i, replicaPort), c.address(netServiceReplicas, i, replicaPort))
		if err != nil {
			return err
		}
		c.slots = append(c.slots, &replicaSlot{VM: fmt.Sprintf("plain-%d", i), Service: service, Domain: failureDomain(i), Listen: c.address(netServiceReplicas, i, replicaPort), Proxy: proxy})
	}
	for i := range c.Engines {
		proxy, err := c.startProxy(c.address(netAgents, i, replicaPort), c.address(netEngines, i, replicaPort))
		if err != nil {
			return err
		}
		name, service := fmt.Sprintf("engine-%d", i), routeStream.Service
		if c.hasSecondService() && i%2 == 1 {
			service = secondStreamService
		}
		c.slots = append(c.slots, &replicaSlot{
			VM: name, Service: service, Domain: failureDomain(i), Listen: c.address(netEngines, i, replicaPort), Proxy: proxy,
			Engine: &simulator.Engine{VM: name, Model: model, Observer: c.Checker},
		})
	}
	for _, slot := range c.slots {
		c.Checker.recordReplicaDomain(slot.VM, slot.Domain)
		if err := c.startReplica(slot); err != nil {
			return err
		}
	}
	return nil
}

func failureDomain(i int) string { return fmt.Sprintf("z%d", i%2) }

// crashesOn reports whether a prompt has the part that crashes replicas.
func (c *cluster) crashesOn(prompt []simulator.PromptPart) bool {
	return c.partCrashes.Load() && slices.Contains(prompt, crashPart)
}

// restart starts a replica again after a crash.
type restart struct {
	cluster *cluster
	slot    *replicaSlot
}

func (r *restart) run() {
	if _, ok := r.slot.reserve(); !ok {
		// The fault that has the slot starts the replica.
		return
	}
	defer r.slot.release()
	time.Sleep(replicaRestartDelay)
	if r.cluster.stopped.Load() {
		return
	}
	if err := r.cluster.startReplica(r.slot); err != nil {
		r.cluster.Checker.addViolation("SOAK", "replica of %s not started: %v", r.slot.VM, err)
	}
}

// startReplica starts the next replica of a slot.
func (c *cluster) startReplica(slot *replicaSlot) error {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.startCount++
	if slot.Engine != nil {
		slot.Engine.Restart(time.Now())
	}
	slot.replica = &simulator.Replica{
		ID: replicaID(slot.VM, slot.startCount), Service: slot.Service, VM: slot.VM, FailureDomain: slot.Domain, DrainTime: drainTime,
		Listen: slot.Listen, Address: slot.Proxy.Listener.Addr().String(), Engine: slot.Engine, Observer: c.Checker, Store: c.store,
		Signals: c.Signals, CrashesOn: c.crashesOn, OnCrash: func(now time.Time) {
			c.Checker.recordPartCrash(now)
			go (&restart{cluster: c, slot: slot}).run()
		},
	}
	if c.Cold && slot.startCount > 1 {
		slot.replica.ColdTime = coldTime
		c.Checker.beginCold(slot.replica.ID, time.Now(), 0)
	}
	return slot.replica.Start()
}

func (c *cluster) startDaemons(ctx context.Context) error {
	for i := range c.Entries {
		v := &vm{Role: roleEntry, Index: i, IP: ipOf(c.entryAddress(i))}
		var err error
		if v.InboundProxy, err = c.startProxy(c.address(netEntryProxies, i, callerPort), c.entryAddress(i)); err != nil {
			return err
		}
		c.entries = append(c.entries, v)
		if err := c.startDaemon(ctx, v, failureDomain(i)); err != nil {
			return err
		}
	}
	for i := range c.Engines {
		v := &vm{Role: roleAgent, Index: i, IP: ipOf(c.address(netAgents, i, replicaPort)), InboundProxy: c.slots[len(c.slots)-c.Engines+i].Proxy}
		c.agents = append(c.agents, v)
		if err := c.startDaemon(ctx, v, failureDomain(i)); err != nil {
			return err
		}
	}
	return nil
}

// startDaemon writes the settings of a VM's daemon and starts its supervisor.
func (c *cluster) startDaemon(ctx context.Context, v *vm, domain string) error {
	proxyIndex := v.Index
	if v.Role == roleAgent {
		proxyIndex += c.Entries
	}
	storeAddress := c.address(netStoreProxies, proxyIndex, storePort)
	var err error
	if v.StoreProxy, err = c.startProxy(storeAddress, c.address(netStandIns, 0, storePort)); err != nil {
		return err
	}
	settings := &simulator.Settings{
		VM: fmt.Sprintf("%s-%d", v.Role, v.Index), IP: v.IP, FailureDomain: domain, Regions: c.regions(), StoreAddress: storeAddress,
		Seeds:     []string{c.address(netEntries, 0, controlPort), c.address(netEntries, 1, controlPort)},
		DrainTime: drainTime, StopTime: stopTimeout, VersionTime: maxVersionDelay,
	}
	if c.Evacuations {
		settings.EvacuateTime = maxEvacuationDelay
	}
	if c.Cold {
		settings.ColdOverage, settings.ColdSlack = coldOverage, coldSlack
	}
	if v.Role == roleAgent {
		settings.EngineAddress, settings.EngineService = v.InboundProxy.Listener.Addr().String(), c.slots[len(c.slots)-c.Engines+v.Index].Service
	} else {
		settings.CallerAddress = c.address(netEntries, v.Index, callerPort)
		settings.ReadyAddress = c.address(netEntries, v.Index, readyPort)
		settings.ControlAddress = c.address(netEntries, v.Index, controlPort)
		settings.DirectoryAddress = c.directoryAddress(v.Index)
	}
	path := filepath.Join(c.Dir, settings.VM+".toml")
	if err := settings.Write(path); err != nil {
		return err
	}
	v.Process = &supervisor{Template: launcher.Process{
		Name: settings.VM, Path: c.Binary, Args: []string{v.Role}, Env: []string{simulator.Environment(path)},
		Log: filepath.Join(c.Dir, settings.VM+".log"),
	}}
	c.running.Go(func() { v.Process.run(ctx) })
	return nil
}

// stop waits for the goroutines to end and stops replicas, servers and proxies.
// It is called after the context of start was canceled.
func (c *cluster) stop() {
	c.stopped.Store(true)
	c.running.Wait()
	for _, slot := range c.slots {
		slot.mu.Lock()
		slot.replica.Crash()
		slot.mu.Unlock()
	}
	for _, closeFunc := range c.closers {
		closeFunc()
	}
}

// writeNextVersion writes the next model version and reports whether the store
// accepted it.
func (c *cluster) writeNextVersion(now time.Time) bool {
	if !c.store.WriteVersion(model, c.version+1, now) {
		return false
	}
	c.version++
	c.Checker.recordVersion(c.version, now)
	return true
}

// startCallers starts the callers and one prober for each entry VM.
func (c *cluster) startCallers(ctx context.Context) {
	for i := range c.Callers + pausingCallerFactor*c.Callers {
		client := &caller{
			Cluster: c, Rand: rand.New(rand.NewPCG(c.Seed, uint64(i))), Name: fmt.Sprintf("c%d", i), Team: teams[i%len(teams)], KeepsConnection: i%4 == 0,
		}
		if i >= c.Callers {
			client.MaxPause, client.KeepsConnection = maxPause, i/2%2 == 0
		}
		c.running.Go(func() { client.run(ctx) })
	}
	for i := range c.Entries {
		client := &prober{Cluster: c, Entry: i, Rand: rand.New(rand.NewPCG(c.Seed, uint64(1000+i)))}
		c.running.Go(func() { client.run(ctx) })
	}
}
