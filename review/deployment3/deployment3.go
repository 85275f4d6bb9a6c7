// Package deployment3 starts a deployment of stand-ins and entry daemons on loopback addresses for
// the scripts of the third review.
package deployment3

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

// Exit codes of a script.
const (
	RuleHeld   = 0
	RuleBroken = 1
	NotRun     = 2
)

// Host is the host of all routes, and Key the key of the only tenant.
const (
	Host = "fleet.example"
	Key  = "key-of-mill"
)

const (
	program      = "target/lentil-platform"
	storePort    = ":8007"
	callerPort   = ":8005"
	readyPort    = ":8002"
	queryPort    = ":8000"
	resolvePort  = ":8009"
	replicaPort  = ":8001"
	firstEntry   = 10
	firstReplica = 50
	startTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Deployment is a store, replicas and entry daemons on a loopback network of their own.
type Deployment struct {
	// Network holds the first three octets of the addresses.
	Network string
	// Dir is a temporary folder for settings and logs.
	Dir   string
	Store *simulator.Store

	lock net.Listener
}

// New reserves a loopback network and starts the store.
func New(ctx context.Context) (*Deployment, error) {
	d := &Deployment{Store: simulator.NewStore()}
	var err error
	for n := range 250 {
		d.Network = fmt.Sprintf("127.%d.%d", 40+os.Getpid()%50, (os.Getpid()+n)%250)
		if d.lock, err = net.Listen("tcp", d.Network+".1:6999"); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	if d.Dir, err = os.MkdirTemp("", "review-3-"); err != nil {
		return nil, err
	}
	go d.Store.Run(ctx)
	return d, d.Serve(d.StoreAddress(), d.Store)
}

// Close removes the temporary folder and frees the network.
func (d *Deployment) Close() {
	_ = os.RemoveAll(d.Dir)
	_ = d.lock.Close()
}

// StoreAddress returns the address of the store.
func (d *Deployment) StoreAddress() string { return d.Network + ".30" + storePort }

// ReplicaAddress returns the address of a replica.
func (d *Deployment) ReplicaAddress(n int) string {
	return fmt.Sprintf("%s.%d%s", d.Network, firstReplica+n, replicaPort)
}

// Serve serves HTTP at an address until the program ends.
func (d *Deployment) Serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go (&server{listener: l, http: http.Server{Handler: h, ReadHeaderTimeout: time.Minute}}).run()
	return nil
}

type server struct {
	listener net.Listener
	http     http.Server
}

func (s *server) run() { _ = s.http.Serve(s.listener) }

// Put writes an object as operators and replicas do.
func (d *Deployment) Put(kind, name string, spec any) error {
	raw, err := json.Marshal(map[string]any{"Metadata": map[string]any{"Name": name}, "Spec": spec})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+d.StoreAddress()+"/-/objects/"+kind, "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %s", resp.Status)
	}
	return nil
}

// init keeps the goroutine of main on the main thread: a daemon is killed at the end of the thread
// that has started it.
func init() { runtime.LockOSThread() }

// Delete removes an object, as the store does with the registrations of silent replicas.
func (d *Deployment) Delete(kind, name string) error {
	r, err := http.NewRequest(http.MethodDelete, "http://"+d.StoreAddress()+"/-/objects/"+kind+"/"+name, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %s", resp.Status)
	}
	return nil
}

// Entry is an entry daemon.
type Entry struct {
	IP      string
	Process *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
}

// EntryIP returns the address of an entry machine.
func (d *Deployment) EntryIP(n int) string { return fmt.Sprintf("%s.%d", d.Network, firstEntry+n) }

// StartEntry starts the daemon of an entry machine and waits until it is ready.
func (d *Deployment) StartEntry(n, memoryMB, descriptors int) (*Entry, error) {
	e, err := d.LaunchEntry(n, memoryMB, descriptors)
	if err != nil {
		return nil, err
	}
	return e, e.WaitReady()
}

// LaunchEntry starts the daemon of an entry machine with the command of the deploy file.
func (d *Deployment) LaunchEntry(n, memoryMB, descriptors int) (*Entry, error) {
	ip := d.EntryIP(n)
	name := fmt.Sprintf("entry-%d", n)
	settings := simulator.Settings{
		VM: name, IP: ip, FailureDomain: "z0", Regions: map[string]string{"z0": "r0"}, CallerAddress: ip + callerPort, ReadyAddress: ip + readyPort,
		ControlAddress: ip + queryPort, DirectoryAddress: ip + resolvePort, Seeds: []string{d.EntryIP(0) + queryPort}, StoreAddress: d.StoreAddress(),
		DrainTime: 4 * time.Second, StopTime: 8 * time.Second, VersionTime: 9700 * time.Millisecond, MemoryMB: memoryMB, MaxDescriptors: descriptors,
	}
	file := filepath.Join(d.Dir, name+".toml")
	if err := settings.Write(file); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.Dir, name+".log"))
	if err != nil {
		return nil, err
	}
	e := &Entry{IP: ip, Process: exec.Command(program, "entry"), ended: make(chan struct{})}
	e.Process.Env = []string{simulator.Environment(file)}
	e.Process.Stdout, e.Process.Stderr = log, log
	e.Process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.Process.Start(); err != nil {
		return nil, err
	}
	go e.run()
	return e, nil
}

// WaitReady waits until the daemon is ready. One that is not ready in time is killed.
func (e *Entry) WaitReady() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if e.isReady() {
			return nil
		}
	}
	e.Stop()
	return fmt.Errorf("the entry daemon is not ready after %s", startTimeout)
}

func (e *Entry) run() {
	_ = e.Process.Wait()
	close(e.ended)
}

// CallerAddress returns the address for callers.
func (e *Entry) CallerAddress() string { return e.IP + callerPort }

func (e *Entry) isReady() bool {
	resp, err := http.Get("http://" + e.IP + readyPort + "/-/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// HasEnded reports whether the process has ended.
func (e *Entry) HasEnded() bool {
	select {
	case <-e.ended:
		return true
	default:
		return false
	}
}

// Stop kills the process.
func (e *Entry) Stop() {
	_ = e.Process.Process.Kill()
	<-e.ended
}
