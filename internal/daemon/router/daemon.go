package router

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"

	"github.com/lentilbridge/lentilbridge/internal/coordination/controller"
	"github.com/lentilbridge/lentilbridge/internal/coordination/monitor"
	"github.com/lentilbridge/lentilbridge/internal/coordination/reporter"
	"github.com/lentilbridge/lentilbridge/internal/operator/publisher"
	"github.com/lentilbridge/lentilbridge/internal/request/accepter"
	"github.com/lentilbridge/lentilbridge/internal/request/forwarder"
	"github.com/lentilbridge/lentilbridge/internal/request/isolator"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/internal/shared/connector"
	"github.com/lentilbridge/lentilbridge/internal/shared/inspector"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/broadcaster"
	"github.com/lentilbridge/lentilbridge/pkg/claimer"
	"github.com/lentilbridge/lentilbridge/pkg/leaser"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	maxPublicConnections = 16384
	maxRPCConnections    = 8192
	maxRPCMessageBytes   = 16 << 20
	maxRPCStreams        = 1024
	maxHeaderListBytes   = 16 << 10
	// connectionTimeout bounds the handshake of a new connection.
	connectionTimeout = 5 * time.Second
	// updateInterval bounds how often a changed directory reaches the picker.
	updateInterval = 50 * time.Millisecond
)

// daemon is an entry daemon:
//
//	callers → requests → agents               (request path)
//	object API → configuration → membership → other daemons and agents
//	leases → claims, isolation, rollouts      (work with one owner)
type daemon struct {
	cfg *settings
	log *logger.Logger

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

	failed  chan error
	running sync.WaitGroup
}

// run serves until ctx ends, leaves gracefully and returns.
func (d *daemon) run(ctx context.Context) error {
	log, err := logger.New(os.Stderr, d.cfg.LogLevel)
	if err != nil {
		return err
	}
	d.log = log.With(zap.String("entry", d.cfg.VM))
	d.failed = make(chan error, 1)
	d.connectPlatform()
	d.connectMembership(time.Now())
	d.connectOwnedWork()
	d.connectRequests()

	// The parts outlive ctx, because they finish what is in progress.
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer d.running.Wait()
	defer stop()
	public, err := d.listen(parts)
	if err != nil {
		return err
	}
	d.startParts(parts)
	d.log.Info("entry daemon started", zap.String("public-address", d.cfg.PublicAddress), zap.String("rpc-address", d.cfg.RPCAddress))
	select {
	case err := <-d.failed:
		return err
	case <-ctx.Done():
		return d.leave(public)
	}
}

func (d *daemon) connectPlatform() {
	d.api = &adapter.HTTPObjectAPI{BaseURL: d.cfg.ObjectAPI}
	protected := []grpc.DialOption{d.cfg.TLS.DialOption()}
	d.connections = &connector.Pool{Options: protected}
	d.agents = &forwarder.Connections{Options: protected}
	d.publisher = &publisher.Publisher{Objects: d.api, Author: d.cfg.VM}
}

// connectMembership joins configuration, membership and leases, which tell
// each other what they hear.
func (d *daemon) connectMembership(now time.Time) {
	self := &messenger.EntryVM{
		Vm:            d.cfg.VM,
		PublicAddress: d.cfg.AdvertisePublic,
		RpcAddress:    d.cfg.AdvertiseRPC,
		Region:        d.cfg.Region,
		FailureDomain: d.cfg.FailureDomain,
		StartedMs:     now.UnixMilli(),
	}
	d.membership = &monitor.Monitor{
		Self: self, API: d.api, Seeds: d.cfg.Seeds, Client: d.connections.Entry, Log: d.log,
	}
	if d.cfg.VMList != "" {
		d.membership.VMList = &adapter.HTTPVMList{BaseURL: d.cfg.VMList}
	}
	d.configuration = &broadcaster.Broadcaster{
		API: d.api, Load: d.loadRevision, Encode: parser.EncodeRevision, Decode: parser.DecodeRevision,
		IsRelay: d.membership.IsRelay, Peers: d.membership.Peers, Client: d.connections.Entry, Log: d.log,
		LowerRevisions: daemonMetrics().lowerRevisions, PullFailures: daemonMetrics().pullFailures,
	}
	d.leases = &leaser.Leaser{
		API: d.api, VM: d.cfg.VM, Shards: shardsOf(d.cfg.Region), Candidates: d.membership.EntryVMs, Log: d.log,
	}
	d.membership.Revision = d.configuration.RevisionNumber
	d.membership.RevisionChanged = d.configuration.Changed
	d.membership.OnRevision = d.configuration.ObserveRevision
	d.membership.Leases = d.leases.Facts
	d.membership.LeasesChanged = d.leases.Changed
	d.membership.OnLeases = d.leases.Observe
}

// connectOwnedWork joins the work that is divided by leases.
func (d *daemon) connectOwnedWork() {
	d.claims = &claimer.Claimer{API: d.api, VM: d.cfg.VM, Owner: d.owner, Held: d.held, Log: d.log}
	d.isolation = &isolator.Isolator{
		API: d.api, VM: d.cfg.VM, Owner: d.owner, Held: d.held,
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

func (d *daemon) connectRequests() {
	d.picker = &picker.Picker{VM: d.cfg.VM, Region: d.cfg.Region, FailureDomain: d.cfg.FailureDomain, Log: d.log}
	d.membership.OnCacheEvents = d.picker.CacheEvents
	d.requests = &Requests{
		Region: d.cfg.Region, Config: d.configuration.Current, Entries: d.membership.Entries, Picker: d.picker,
		Dial: d.agents.Dial, Claims: d.claims, Isolation: d.isolation,
		Log:          d.log,
		EntriesValid: d.cfg.EntriesValid, MaxBody: d.cfg.MaxBodyBytes,
	}
	d.membership.Usage = d.requests.Share
}

// part is one part of the daemon that runs as long as the daemon does.
type part struct {
	name  string
	serve func(ctx context.Context) error
}

func (d *daemon) startParts(ctx context.Context) {
	for _, p := range []part{
		{"configuration", d.configuration.Run},
		{"membership", d.membership.Run},
		{"leases", d.leases.Run},
		{"claims", d.claims.Run},
		{"isolation", d.isolation.Run},
		{"rollouts", d.rollouts.Run},
		{"status", d.statuses.Run},
		{"clean-up", d.cleanUp},
		{"directory", d.updatePicker},
		{"metrics", d.showMetrics},
	} {
		d.running.Add(1)
		go p.run(ctx, d)
	}
}

func (p part) run(ctx context.Context, d *daemon) {
	defer d.running.Done()
	err := p.serve(ctx)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return
	}
	d.fail(fmt.Errorf("%s ended: %w", p.name, err))
}

func (d *daemon) fail(err error) {
	select {
	case d.failed <- err:
	default:
	}
}

// listen opens the three listeners and starts to serve them.
func (d *daemon) listen(ctx context.Context) (*http.Server, error) {
	public, err := net.Listen("tcp", d.cfg.PublicAddress)
	if err != nil {
		return nil, &SettingError{Flag: "public-address", Value: d.cfg.PublicAddress, Advice: err.Error()}
	}
	rpc, err := net.Listen("tcp", d.cfg.RPCAddress)
	if err != nil {
		return nil, &SettingError{Flag: "rpc-address", Value: d.cfg.RPCAddress, Advice: err.Error()}
	}
	debug, err := net.Listen("tcp", d.cfg.DebugAddress)
	if err != nil {
		return nil, &SettingError{Flag: "debug-address", Value: d.cfg.DebugAddress, Advice: err.Error()}
	}
	server := accepter.Server(d.whenConfigured(d.requests.Handler()))
	rpcs := d.rpcServer()
	context.AfterFunc(ctx, rpcs.Stop)
	for _, p := range []part{
		{"public listener", func(context.Context) error {
			return server.Serve(netutil.LimitListener(public, maxPublicConnections))
		}},
		{"rpc listener", func(context.Context) error { return rpcs.Serve(netutil.LimitListener(rpc, maxRPCConnections)) }},
		{"debug listener", (&inspector.Inspector{Listener: debug, Ready: d.ready}).Run},
	} {
		d.running.Add(1)
		go p.run(ctx, d)
	}
	return server, nil
}

func (d *daemon) rpcServer() *grpc.Server {
	options := append(connector.ServerOptions(),
		grpc.ConnectionTimeout(connectionTimeout),
		grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.MaxRecvMsgSize(maxRPCMessageBytes),
		grpc.MaxConcurrentStreams(maxRPCStreams),
	)
	server := grpc.NewServer(append(options, d.cfg.TLS.ServerOptions()...)...)
	messenger.RegisterEntryServer(server, &entryServer{daemon: d})
	return server
}

// ready reports a daemon that has a configuration, so that it can answer.
func (d *daemon) ready(time.Time) (string, bool) {
	if d.configuration.Current() == nil {
		return "no configuration yet", false
	}
	return "ready", true
}

// loadRevision reads the revision in force from the object API.
func (d *daemon) loadRevision(ctx context.Context) (*parser.Revision, error) {
	revision, _, err := d.publisher.Load(ctx)
	return revision, err
}
