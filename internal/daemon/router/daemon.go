package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/lentilbridge/lentilbridge/internal/coordination/controller"
	"github.com/lentilbridge/lentilbridge/internal/coordination/monitor"
	"github.com/lentilbridge/lentilbridge/internal/coordination/reporter"
	"github.com/lentilbridge/lentilbridge/internal/operator/publisher"
	"github.com/lentilbridge/lentilbridge/internal/request/accepter"
	"github.com/lentilbridge/lentilbridge/internal/request/drainer"
	"github.com/lentilbridge/lentilbridge/internal/request/forwarder"
	"github.com/lentilbridge/lentilbridge/internal/request/isolator"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/internal/shared/connector"
	"github.com/lentilbridge/lentilbridge/internal/shared/inspector"
	"github.com/lentilbridge/lentilbridge/internal/shared/listener"
	"github.com/lentilbridge/lentilbridge/internal/shared/recoverer"
	"github.com/lentilbridge/lentilbridge/internal/shared/timekeeper"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/broadcaster"
	"github.com/lentilbridge/lentilbridge/pkg/claimer"
	"github.com/lentilbridge/lentilbridge/pkg/leaser"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	maxRPCMessageBytes = 16 << 20
	maxRPCStreams      = 1024
	// publicShare, rpcShare and debugShare are the parts of the file descriptors that the
	// connections of the listeners may use. The rest is for agents and other entry daemons.
	publicShare = 0.4
	rpcShare    = 0.25
	debugShare  = 0.02
	// updateInterval is the minimum time between two updates of the picker.
	updateInterval = 50 * time.Millisecond
)

// daemon is an entry daemon. Its components depend on each other like this:
//
//	callers → requests → agents               (request path)
//	object API → configuration → membership → other daemons and agents
//	leases → claims, isolation, rollouts      (work of the lease holder)
type daemon struct {
	cfg *settings
	log *logger.Logger
	// started is when the daemon was started.
	started time.Time

	api           adapter.ObjectAPI
	connections   *connector.Pool
	agents        *forwarder.Connections
	publisher     *publisher.Publisher
	configuration *broadcaster.Broadcaster
	membership    *monitor.Monitor
	leases        *leaser.Leaser
	claims        *claimer.Claimer
	isolation     *isolator.Isolator
	rollouts      *controller.Controller
	statuses      *reporter.Reporter
	picker        *picker.Picker
	requests      *Requests
	// public serves callers, and rpc other entry daemons and agents.
	public *drainer.Server
	rpc    *grpc.Server
	// streams ends the streams of rpc at the stop.
	streams streamEnder

	// failed receives the error of the first component that fails.
	failed  chan error
	running sync.WaitGroup
}

// run serves until ctx ends, then stops gracefully.
func (d *daemon) run(ctx context.Context) error {
	log, err := logger.New(os.Stderr, d.cfg.LogLevel)
	if err != nil {
		return err
	}
	d.log = log.With(zap.String("entry", d.cfg.VM))
	d.failed = make(chan error, 1)
	d.initPlatform()
	d.started = time.Now()
	d.initMembership(d.started)
	d.initLeasedWork()
	d.initRequests()

	// The components outlive ctx so that they can finish requests in progress.
	componentsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer d.running.Wait()
	defer stop()
	if err := d.listen(componentsCtx); err != nil {
		return err
	}
	d.startComponents(componentsCtx)
	d.log.Info("entry daemon started", zap.String("public-address", d.cfg.PublicAddress), zap.String("rpc-address", d.cfg.RPCAddress))
	select {
	case err := <-d.failed:
		return err
	case <-ctx.Done():
		err := d.leave(time.Now())
		d.stopComponents(stop)
		return err
	}
}

// initPlatform creates the clients of the object API and of other daemons.
func (d *daemon) initPlatform() {
	d.api = &adapter.HTTPObjectAPI{BaseURL: d.cfg.ObjectAPI, Log: d.log}
	options := []grpc.DialOption{d.cfg.TLS.DialOption()}
	d.connections = &connector.Pool{Options: options}
	d.agents = &forwarder.Connections{Options: options}
	d.publisher = &publisher.Publisher{Objects: d.api, Author: d.cfg.VM}
}

// initMembership creates the configuration, membership and leases components. The
// membership component exchanges revisions and lease holders with other daemons
// for the other two.
func (d *daemon) initMembership(now time.Time) {
	self := &messenger.EntryVM{
		Vm:            d.cfg.VM,
		PublicAddress: d.cfg.AdvertisePublic,
		RpcAddress:    d.cfg.AdvertiseRPC,
		Region:        d.cfg.Region,
		FailureDomain: d.cfg.FailureDomain,
		StartedMs:     now.UnixMilli(),
	}
	d.membership = &monitor.Monitor{
		Self: self, API: d.api, Seeds: d.cfg.Seeds, Client: d.connections.Entry, Log: d.log, MaxReportBytes: d.cfg.MaxReportBytes,
	}
	if d.cfg.VMList != "" {
		d.membership.VMList = &adapter.HTTPVMList{BaseURL: d.cfg.VMList}
	}
	d.configuration = &broadcaster.Broadcaster{
		API: d.api, Load: d.loadRevision, CarryOver: d.carryOver, IsFromCopy: d.isFromCopy, Encode: parser.EncodeRevision, Decode: parser.DecodeRevision,
		IsRelay: d.membership.IsRelay, Peers: d.membership.Peers, Client: d.connections.Entry, Log: d.log,
		LowerRevisions: daemonMetrics().lowerRevisions, PullFailures: daemonMetrics().pullFailures,
	}
	d.leases = &leaser.Leaser{
		API: d.api, VM: d.cfg.VM, Shards: leaseShards(d.cfg.Region), Candidates: d.membership.ActiveEntryNames, Log: d.log,
		Suspended: timekeeper.Suspended,
	}
	d.membership.Revision = d.configuration.RevisionNumber
	d.membership.RevisionChanged = d.configuration.Changed
	d.membership.OnRevision = d.configuration.ObserveRevision
	d.membership.Evacuated = d.evacuated
	d.membership.Leases = d.leases.Holders
	d.membership.LeasesChanged = d.leases.Changed
	d.membership.OnLeases = d.leases.MergeHolders
}

// initLeasedWork creates the components whose work is divided by leases: only
// the holder of a shard's lease does the work of the shard.
func (d *daemon) initLeasedWork() {
	d.claims = &claimer.Claimer{
		API: d.api, VM: d.cfg.VM, Owner: d.ownerClient, Held: d.holdsLease, StartedCalls: d.startedCalls, Log: d.log,
	}
	d.isolation = &isolator.Isolator{
		API: d.api, VM: d.cfg.VM, Owner: d.ownerClient, Held: d.holdsLease,
		Spread: d.membership.BroadcastSuspicions, Now: time.Now, Log: d.log,
	}
	d.membership.OnSuspicions = d.isolation.Observe
	d.rollouts = &controller.Controller{
		API: d.api, Held: d.leases.Held, Config: d.configuration.Current, Replicas: d.rolloutReplicas,
		Agent: d.agents.Dial, OriginRegion: d.cfg.OriginRegion, MaxRateBytesPerSecond: d.cfg.MaxTransferBytes,
		Now: time.Now, Log: d.log,
	}
	d.statuses = &reporter.Reporter{
		API: d.api, Regions: []string{d.cfg.Region}, Held: d.leases.Held,
		Self: d.status, Send: d.membership.SendStatus, SelfChanged: d.configuration.Changed, Log: d.log,
	}
	d.membership.OnStatus = d.statuses.Put
}

// initRequests creates the request path.
func (d *daemon) initRequests() {
	d.picker = &picker.Picker{
		VM: d.cfg.VM, Region: d.cfg.Region, FailureDomain: d.cfg.FailureDomain, Config: d.configuration.Current, Log: d.log,
	}
	d.membership.OnCacheEvents = d.picker.ApplyCacheEvents
	d.requests = &Requests{
		Region: d.cfg.Region, Config: d.configuration.Current, Entries: d.membership.Entries, Picker: d.picker,
		Dial: d.agents.Dial, Claims: d.claims, Isolation: d.isolation,
		Log:          d.log,
		EntriesValid: d.cfg.EntriesValid, MaxBody: d.cfg.MaxBodyBytes, MaxDecoding: d.cfg.MaxDecodingBytes,
	}
	d.membership.Usage = d.requests.ExchangeUsage
}

// component is a component that runs until the daemon stops.
type component struct {
	name  string
	serve func(ctx context.Context) error
}

func (d *daemon) startComponents(ctx context.Context) {
	for _, c := range []component{
		{"configuration", d.configuration.Run},
		{"membership", d.membership.Run},
		{"leases", d.leases.Run},
		{"claims", d.claims.Run},
		{"isolation", d.isolation.Run},
		{"rollouts", d.rollouts.Run},
		{"status", d.statuses.Run},
		{"clean-up", d.cleanUp},
		{"directory", d.updatePicker},
		{"metrics", d.updateMetrics},
	} {
		d.running.Add(1)
		go c.run(ctx, d)
	}
}

// run serves the component and reports to the daemon when it ends early.
func (c component) run(ctx context.Context, d *daemon) {
	defer d.running.Done()
	err := c.serve(ctx)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return
	}
	d.fail(fmt.Errorf("%s ended: %w", c.name, err))
}

// fail ends the daemon with the first error that is passed to it.
func (d *daemon) fail(err error) {
	select {
	case d.failed <- err:
	default:
	}
}

// listen opens the public, gRPC and debug listeners and starts to serve them.
func (d *daemon) listen(ctx context.Context) error {
	process := listener.ThisProcess(d.cfg.MemoryMB, d.cfg.MaxDescriptors)
	process.LimitRuntime()
	group := listener.NewGroup(process, d.log)
	group.Pressure = listener.NewPressure(process, d.log)
	group.SlowBodyTime = d.cfg.SlowBodyTimeout
	d.requests.MaxBodies, d.requests.Reports = min(accepter.DefaultMaxBodies, process.BodyMemory()), group.Reports
	public, err := group.Listen(ctx, listener.Address{Name: "public", Network: "tcp", Address: d.cfg.PublicAddress, Share: publicShare}, d.cfg.callerLimits)
	if err != nil {
		return &SettingError{Flag: "public-address", Value: d.cfg.PublicAddress, Advice: err.Error()}
	}
	rpc, err := group.ListenRPC(ctx, listener.Address{Name: "rpc", Network: "tcp", Address: d.cfg.RPCAddress, Share: rpcShare}, d.cfg.TLS.CertFile != "")
	if err != nil {
		return &SettingError{Flag: "rpc-address", Value: d.cfg.RPCAddress, Advice: err.Error()}
	}
	debug, err := group.Listen(ctx, listener.Address{Name: "debug", Network: "tcp", Address: d.cfg.DebugAddress, Share: debugShare}, nil)
	if err != nil {
		return &SettingError{Flag: "debug-address", Value: d.cfg.DebugAddress, Advice: err.Error()}
	}
	d.public = &drainer.Server{
		HTTP:     accepter.Server(d.requireConfiguration(d.requests.Handler()), public),
		Listener: public, Log: d.log,
	}
	d.rpc = d.rpcServer()
	context.AfterFunc(ctx, d.rpc.Stop)
	for _, c := range []component{
		{"public listener", func(context.Context) error { return d.public.Serve() }},
		{"rpc listener", func(context.Context) error { return d.rpc.Serve(rpc) }},
		{"debug listener", (&inspector.Inspector{Listener: debug, Ready: d.ready}).Run},
	} {
		d.running.Add(1)
		go c.run(ctx, d)
	}
	return nil
}

func (d *daemon) rpcServer() *grpc.Server {
	d.streams.end = make(chan struct{})
	options := []grpc.ServerOption{grpc.MaxRecvMsgSize(maxRPCMessageBytes), grpc.ChainStreamInterceptor(d.streams.intercept)}
	server := grpc.NewServer(slices.Concat(listener.RPCOptions(maxRPCStreams), connector.ServerOptions(), options,
		recoverer.RPC{Log: d.log}.ServerOptions(), d.cfg.TLS.ServerOptions())...)
	messenger.RegisterEntryServer(server, &entryServer{daemon: d})
	return server
}

// ready returns the status for /readyz and whether the daemon has a configuration,
// without which it refuses requests.
func (d *daemon) ready(time.Time) (string, bool) {
	if d.configuration.Current() == nil {
		return "no configuration yet", false
	}
	return "ready", true
}

// carryOver publishes the current revision again after a restore of the store.
func (d *daemon) carryOver(ctx context.Context, current *parser.Revision) error {
	return d.publisher.CarryOver(ctx, time.Now(), current)
}

// evacuated returns whether a failure domain is evacuated in the revision in force,
// and that revision.
func (d *daemon) evacuated(failureDomain string) (uint64, bool) {
	revision := d.configuration.Current()
	if revision == nil {
		return 0, false
	}
	return revision.Number, revision.Set.Evacuates(failureDomain)
}

// isFromCopy reports whether the object API was restored since the revision was
// published.
func (d *daemon) isFromCopy(revision *parser.Revision) bool {
	return publisher.IsFromEarlierEra(revision.Number, adapter.EraOf(d.api))
}

// loadRevision reads the revision in force from the object API.
func (d *daemon) loadRevision(ctx context.Context) (*parser.Revision, error) {
	revision, _, err := d.publisher.Load(ctx)
	return revision, err
}
