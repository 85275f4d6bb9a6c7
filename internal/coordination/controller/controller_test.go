package controller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/lentilbridge/lentilbridge/internal/coordination/controller"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/leaser"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
	"github.com/lentilbridge/lentilbridge/pkg/storer"
)

const (
	transferTime = 2 * time.Second
	switchTime   = time.Second
	reportDelay  = 700 * time.Millisecond
)

// fleetFake is a fleet of agents that obey orders after a while. What they
// report arrives reportDelay later.
type fleetFake struct {
	mu       sync.Mutex
	replicas map[string]*controller.Replica
	reported map[string]controller.Replica
	epochs   map[string]uint64
	maxAway  int
	orders   int
	// activations counts the orders to activate by VM.
	activations map[string]int
	// failing holds the VMs whose next transfer ends with an error.
	failing map[string]bool
	// crashing is a version that crashes each engine; empty is none.
	crashing string
}

func newFleet(n int, version string) *fleetFake {
	f := &fleetFake{replicas: map[string]*controller.Replica{}, reported: map[string]controller.Replica{}, epochs: map[string]uint64{}, activations: map[string]int{}, failing: map[string]bool{}}
	for k := range n {
		f.add(fmt.Sprintf("vm-%02d", k), version)
	}
	return f
}

func (f *fleetFake) add(vm, version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &controller.Replica{Replica: &messenger.Replica{
		Vm: vm, Address: vm, Fleet: "drafting", Version: version, VersionName: nameOf[version],
		FailureDomain: "fd-" + vm[len(vm)-1:],
		State:         messenger.ReplicaState_REPLICA_STATE_READY,
	}}
	f.replicas[vm] = r
	f.reported[vm] = cloneView(r)
}

// nameOf maps the digests of the tests to version names.
var nameOf = map[string]string{"d1": "draft-1", "d2": "draft-2"}

// errHeld is how an agent refuses a transfer above its limit.
const errHeld = "too many versions are held; drop one first"

func (f *fleetFake) heldBy(vm string) int {
	n := 0
	if r := f.replicas[vm]; r != nil {
		n = len(r.Transfers)
	}
	return n
}

func (f *fleetFake) remove(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.replicas, vm)
	delete(f.reported, vm)
}

func (f *fleetFake) view(time.Time) []controller.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []controller.Replica
	for _, r := range f.reported {
		all = append(all, r)
	}
	return all
}

// change applies a change to a replica, and to its report later.
func (f *fleetFake) change(vm string, apply func(*controller.Replica)) {
	f.mu.Lock()
	r := f.replicas[vm]
	if r == nil {
		f.mu.Unlock()
		return
	}
	apply(r)
	f.noteAway()
	report := cloneView(r)
	f.mu.Unlock()
	time.Sleep(reportDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replicas[vm] != nil {
		f.reported[vm] = report
	}
}

func (f *fleetFake) countVersion(version string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.replicas {
		if r.Replica.GetVersion() == version {
			n++
		}
	}
	return n
}

// noteAway counts the replicas that served a version and are not ready. A new
// VM that loads its first version takes no capacity away.
func (f *fleetFake) noteAway() {
	away := 0
	for _, r := range f.replicas {
		if r.Replica.GetVersion() != "" && r.Replica.GetState() != messenger.ReplicaState_REPLICA_STATE_READY {
			away++
		}
	}
	f.maxAway = max(f.maxAway, away)
}

func (f *fleetFake) agent(address string) (messenger.AgentClient, error) {
	return &agentFake{fleet: f, vm: address}, nil
}

type agentFake struct {
	messenger.AgentClient
	fleet *fleetFake
	vm    string
}

func (a *agentFake) Order(_ context.Context, req *messenger.OrderRequest, _ ...grpc.CallOption) (*messenger.OrderReply, error) {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders++
	known := f.epochs[a.vm]
	if req.GetFence().GetEpoch() < known {
		return &messenger.OrderReply{HighestEpoch: known, Error: "old epoch"}, nil
	}
	f.epochs[a.vm] = req.GetFence().GetEpoch()
	if f.replicas[a.vm] == nil {
		return nil, fmt.Errorf("VM %q is gone", a.vm)
	}
	if req.GetActivate() != nil {
		f.activations[a.vm]++
	}
	if req.GetPrepare() != nil && f.heldBy(a.vm) >= storer.DefaultMaxVersions {
		return &messenger.OrderReply{HighestEpoch: req.GetFence().GetEpoch(), Error: errHeld}, nil
	}
	go (&orderFake{fleet: f, vm: a.vm, request: req}).run()
	return &messenger.OrderReply{Accepted: true, HighestEpoch: req.GetFence().GetEpoch()}, nil
}

// orderFake carries out one accepted order.
type orderFake struct {
	fleet   *fleetFake
	vm      string
	request *messenger.OrderRequest
}

func (o *orderFake) run() {
	switch order := o.request.GetOrder().(type) {
	case *messenger.OrderRequest_Prepare:
		digest := order.Prepare.GetVersion().GetDigest()
		o.fleet.change(o.vm, func(r *controller.Replica) {
			r.Transfers = append(without(r.Transfers, digest), &messenger.Transfer{Digest: digest})
		})
		time.Sleep(transferTime)
		o.fleet.change(o.vm, func(r *controller.Replica) { o.endTransfer(r, digest) })
	case *messenger.OrderRequest_Drop:
		o.fleet.change(o.vm, func(r *controller.Replica) {
			r.Transfers = without(r.Transfers, order.Drop.GetDigest())
		})
	case *messenger.OrderRequest_Activate:
		o.fleet.change(o.vm, func(r *controller.Replica) {
			r.Replica.State = messenger.ReplicaState_REPLICA_STATE_SWITCHING
		})
		time.Sleep(switchTime)
		if o.fleet.isCrashing(order.Activate.GetVersion().GetDigest()) {
			o.fleet.change(o.vm, func(r *controller.Replica) {
				r.Replica.Version, r.Replica.VersionName = "", ""
				r.Replica.State = messenger.ReplicaState_REPLICA_STATE_STARTING
				r.LastOrderError = "the engine crashed"
			})
			return
		}
		o.fleet.change(o.vm, func(r *controller.Replica) {
			r.LastOrderError = ""
			r.Replica.Version = order.Activate.GetVersion().GetDigest()
			r.Replica.VersionName = order.Activate.GetVersion().GetName()
			r.Replica.State = messenger.ReplicaState_REPLICA_STATE_READY
		})
	}
}

// endTransfer is called with the fleet's lock held. A transfer that was dropped
// meanwhile stays away.
func (o *orderFake) endTransfer(r *controller.Replica, digest string) {
	kept := without(r.Transfers, digest)
	if len(kept) == len(r.Transfers) {
		return
	}
	r.Transfers = kept
	ended := &messenger.Transfer{Digest: digest, Complete: true}
	if o.fleet.failing[o.vm] {
		o.fleet.failing[o.vm] = false
		ended = &messenger.Transfer{Digest: digest, Error: "the store refused the version"}
	}
	r.Transfers = append(r.Transfers, ended)
}

func without(transfers []*messenger.Transfer, digest string) []*messenger.Transfer {
	return slices.DeleteFunc(slices.Clone(transfers), func(t *messenger.Transfer) bool { return t.GetDigest() == digest })
}

func cloneView(r *controller.Replica) controller.Replica {
	return controller.Replica{
		Replica: proto.Clone(r.Replica).(*messenger.Replica), Transfers: r.Transfers, LastOrderError: r.LastOrderError,
	}
}

// leaseFake is the lease that several controllers believe in.
type leaseFake struct {
	mu     sync.Mutex
	holder string
	epoch  uint64
}

func (l *leaseFake) take(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder = vm
	l.epoch++
}

func (l *leaseFake) heldBy(vm string) func(string, time.Time) (leaser.Lease, bool) {
	return func(shard string, _ time.Time) (leaser.Lease, bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return leaser.Lease{Shard: shard, Epoch: l.epoch}, l.holder == vm
	}
}

func rolloutSet(state string, maxUnavailable int) *parser.Set {
	set := parser.NewSet()
	set.Add(&parser.Model{Name: "draft"})
	set.Add(&parser.ModelVersion{Name: "draft-1", Model: "draft", Digest: "d1"})
	set.Add(&parser.ModelVersion{Name: "draft-2", Model: "draft", Digest: "d2"})
	set.Add(&parser.Fleet{Name: "drafting", Model: "draft", Version: "draft-1", Replicas: 8, MaxUnavailable: maxUnavailable})
	set.Add(&parser.Rollout{Name: "to-draft-2", Fleet: "drafting", Version: "draft-2", State: state, Policy: parser.PolicyTime})
	return set
}

func startController(ctx context.Context, vm string, api *emulator.MemoryObjects, leases *leaseFake, fleet *fleetFake, set func() *parser.Revision) {
	c := &controller.Controller{
		API: api, Held: leases.heldBy(vm), Config: set, Replicas: fleet.view, Agent: fleet.agent, Now: time.Now, Log: zap.NewNop(),
	}
	go c.Run(ctx)
}

// Guards against a rollout that takes away more capacity than allowed, stops
// when a VM or the controlling daemon dies, or leaves out a new VM.
func TestRolloutReachesEveryReplica(t *testing.T) {
	tests := []struct {
		name        string
		activations int
		during      func(*fleetFake, *leaseFake)
	}{
		{"undisturbed", 1, func(*fleetFake, *leaseFake) {}},
		{"a VM dies and another one comes", 1, func(f *fleetFake, _ *leaseFake) {
			f.remove("vm-03")
			f.add("vm-99", "")
		}},
		{"the controlling daemon is replaced", 2, func(_ *fleetFake, l *leaseFake) { l.take("entry-2") }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				api, leases, fleet := &emulator.MemoryObjects{}, &leaseFake{}, newFleet(8, "d1")
				leases.take("entry-1")
				set := rolloutSet(parser.RolloutRunning, 2)
				config := func() *parser.Revision { return &parser.Revision{Number: 1, Set: set} }
				startController(ctx, "entry-1", api, leases, fleet, config)
				startController(ctx, "entry-2", api, leases, fleet, config)
				time.Sleep(6 * time.Second)
				test.during(fleet, leases)
				time.Sleep(time.Minute)
				c.Assert(fleet.countVersion("d2"), qt.Equals, 8)
				for vm, n := range fleet.activations {
					c.Assert(n <= test.activations, qt.IsTrue, qt.Commentf("%s was ordered to activate %d times", vm, n))
				}
				c.Assert(fleet.maxAway <= 2, qt.IsTrue, qt.Commentf("%d replicas away at once", fleet.maxAway))
				stored, err := api.Get(ctx, "rollouts/to-draft-2")
				c.Assert(err, qt.IsNil)
				var status parser.RolloutStatus
				c.Assert(json.Unmarshal(stored.Value, &status), qt.IsNil)
				c.Assert(status.Phase, qt.Equals, parser.PhaseDone)
				c.Assert(status.Active, qt.Equals, 8)
			})
		})
	}
}

// Guards against a paused rollout that goes on, an aborted one that leaves
// replicas on the new version, and orders given without a lease.
func TestRolloutObeysItsState(t *testing.T) {
	tests := []struct {
		name      string
		state     string
		withLease bool
		wantOld   int
		wantPhase string
	}{
		{"paused", parser.RolloutPaused, true, 8, parser.PhasePaused},
		{"aborted", parser.RolloutAborted, true, 8, parser.PhaseAborted},
		{"no lease", parser.RolloutRunning, false, 8, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				api, leases, fleet := &emulator.MemoryObjects{}, &leaseFake{}, newFleet(8, "d1")
				if test.withLease {
					leases.take("entry-1")
				}
				set := rolloutSet(test.state, 2)
				startController(ctx, "entry-1", api, leases, fleet, func() *parser.Revision { return &parser.Revision{Set: set} })
				time.Sleep(time.Minute)
				c.Assert(fleet.countVersion("d1"), qt.Equals, test.wantOld)
				stored, err := api.Get(ctx, "rollouts/to-draft-2")
				if test.wantPhase == "" {
					c.Assert(err, qt.IsNotNil)
					c.Assert(fleet.orders, qt.Equals, 0)
					return
				}
				c.Assert(err, qt.IsNil)
				c.Assert(string(stored.Value), qt.Contains, `"phase":"`+test.wantPhase+`"`)
			})
		})
	}
}
