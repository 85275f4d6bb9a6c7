// Package agent implements the daemon of a backend server VM. It runs attempts
// on the VM's engine or service, executes orders, and reports to entry daemons.
package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/daemon/executor"
	"github.com/lentilbridge/lentilbridge/internal/shared/inspector"
	"github.com/lentilbridge/lentilbridge/internal/shared/listener"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/guard"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// rpcShare and debugShare are the parts of the file descriptors that the connections of the
// listeners may use. The rest is for the backend server, entry daemons and other agents.
const (
	rpcShare   = 0.5
	debugShare = 0.02
)

// Agent is the agent daemon. Its exported fields must be set before Run. Data
// flows between its components like this:
//
//	entry daemon → executor → engine or service     (attempts)
//	entry daemon → orders → weights → guard → engine (orders)
//	backend, executor, weights → reports → sessions → entry daemons
type Agent struct {
	Settings Settings
	// Exactly one of Engine and Service is set.
	Engine  adapter.Engine
	Service adapter.Service
	// Weights is required with Engine.
	Weights Weights
	// Chunks serves chunks to other agents; nil serves none.
	Chunks messenger.ChunksServer
	// OnFirstToken is called with the delay of the first token of each model
	// answer.
	OnFirstToken func(delay time.Duration, now time.Time)
	Log          *logger.Logger
	// Out receives the line "listening on ADDRESS" once the agent accepts calls.
	Out io.Writer

	executor *executor.Executor
	guard    *guard.Guard
	orders   *orders
	backend  *backend
	reports  *reports
	sessions *sessionManager
	rpc      *rpcServer
	debug    *inspector.Inspector

	running sync.WaitGroup
	// failed receives the error of the first component that fails.
	failed chan error
}

// Run serves until ctx ends and then drains the agent.
func (a *Agent) Run(ctx context.Context) error {
	process := listener.ThisProcess(a.Settings.MemoryMB, a.Settings.MaxDescriptors)
	if a.Settings.MemoryMB > 0 {
		// Otherwise the memory may be much less than the weights.
		process.LimitRuntime()
	}
	group := listener.NewGroup(process, a.Log)
	group.Pressure = listener.NewPressure(process, a.Log)
	encrypted := a.Settings.TLS != nil && a.Settings.TLS.CertFile != ""
	rpc, err := group.ListenRPC(ctx, listener.Address{Name: "rpc", Network: "tcp", Address: a.Settings.RPCAddress, Share: rpcShare}, encrypted)
	if err != nil {
		return &SettingError{Setting: "--rpc-address", Text: err.Error()}
	}
	debug, err := group.Listen(ctx, listener.Address{Name: "debug", Network: "tcp", Address: a.Settings.DebugAddress, Share: debugShare}, nil)
	if err != nil {
		_ = rpc.Close()
		return &SettingError{Setting: "--debug-address", Text: err.Error()}
	}
	a.initComponents(rpc, debug, time.Now())
	return a.serve(ctx)
}

// serve runs the components until ctx ends and then drains the agent.
func (a *Agent) serve(ctx context.Context) error {
	// The components outlive ctx so that they can finish attempts in progress.
	componentsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer a.running.Wait()
	defer stop()
	a.startComponents(componentsCtx)
	fmt.Fprintf(a.Out, "listening on %s\n", a.rpc.Listener.Addr())
	a.Log.Info("agent started", zap.String("vm", a.Settings.VM), zap.String("rpc-address", a.rpc.Listener.Addr().String()),
		zap.String("debug-address", a.debug.Listener.Addr().String()), zap.String("incarnation", a.executor.Incarnation))
	select {
	case err := <-a.failed:
		return err
	case <-ctx.Done():
		return a.drain(componentsCtx)
	}
}

// initComponents creates the components.
func (a *Agent) initComponents(rpc net.Listener, debug *listener.Listener, now time.Time) {
	advertised := a.Settings.AdvertiseAddress
	if advertised == "" {
		advertised = rpc.Addr().String()
	}
	a.failed = make(chan error, 1)
	a.guard = &guard.Guard{Engine: a.Engine, Log: a.Log}
	a.executor = &executor.Executor{
		Incarnation: newIncarnation(), Engine: a.Engine, Service: a.Service, ServiceName: a.Settings.Service,
		MaxRunning: a.Settings.MaxRunning, MaxWaiting: a.Settings.MaxWaiting, OnFirstToken: a.OnFirstToken,
		Metrics: executorMetrics(), Log: a.Log,
	}
	if a.Weights != nil {
		a.executor.Versions = a.Weights
	}
	a.orders = &orders{
		Weights: a.Weights, Guard: a.guard, Engine: a.Engine, Admission: a.executor,
		DrainTimeout: a.Settings.DrainTimeout, Log: a.Log,
	}
	a.backend = &backend{Engine: a.Engine, Service: a.Service, Weights: a.Weights, Executor: a.executor, Orders: a.orders, Log: a.Log}
	a.reports = &reports{
		Settings: a.Settings, Address: advertised, Started: now,
		Executor: a.executor, Backend: a.backend, Orders: a.orders, Guard: a.guard, Weights: a.Weights, Gauges: reportGauges(),
	}
	a.sessions = &sessionManager{
		VM: a.Settings.VM, Region: a.Settings.Region, FailureDomain: a.Settings.FailureDomain,
		Seeds: a.Settings.Entries, Reports: a.reports, Guard: a.guard, TLS: a.Settings.TLS, Log: a.Log,
	}
	a.executor.OnCrash = a.backend.recordCrash
	a.reports.Sessions = a.sessions
	a.sessions.OnEvacuated = a.executor.SetEvacuated
	a.orders.Evacuated = a.sessions.isEvacuated
	a.rpc = &rpcServer{Listener: rpc, Executor: a.executor, Orders: a.orders, Chunks: a.Chunks, TLS: a.Settings.TLS, Log: a.Log}
	a.debug = &inspector.Inspector{Listener: debug, Ready: a.reports.ready}
}

func (a *Agent) startComponents(ctx context.Context) {
	components := []component{
		{"executor", a.executor.Run},
		{"orders", a.orders.serve},
		{"backend", a.backend.serve},
		{"reports", a.reports.serve},
		{"sessions", a.sessions.serve},
		{"rpc", a.rpc.serve},
		{"debug", a.debug.Run},
	}
	if a.Weights != nil {
		components = append(components, component{"weights", a.Weights.Run})
	}
	for _, c := range components {
		a.running.Add(1)
		go c.run(ctx, a)
	}
}

// component is a component that runs until the agent stops.
type component struct {
	name  string
	serve func(ctx context.Context) error
}

// run serves the component and reports to the agent when it ends early.
func (c component) run(ctx context.Context, a *Agent) {
	defer a.running.Done()
	err := c.serve(ctx)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		err = errors.New("ended unexpectedly")
	}
	select {
	case a.failed <- fmt.Errorf("%s: %w", c.name, err):
	default:
	}
}
