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

// fakeFleet is a fleet of agents that carry out orders with a delay. Their reports
// arrive after another reportDelay.
type fakeFleet struct {
	mu sync.Mutex
	// replicas holds the state of the agents by VM, and reported their last reports.
	replicas map[string]*controller.Replica
	reported map[string]controller.Replica
	// epochs holds the highest epoch that each agent has received.
	epochs             map[string]uint64
	maxUnavailableSeen int
	orders             int
	// activations counts the orders to activate by VM.
	activations map[string]int
	// failing holds the VMs whose next transfer fails.
	failing map[string]bool
	// crashing is the digest of a version that crashes every engine, or "".
	crashing string
}

func newFleet(n int, version string) *fakeFleet {
	f := &fakeFleet{replicas: map[string]*controller.Replica{}, reported: map[string]controller.Replica{}, epochs: map[string]uint64{}, activations: map[string]int{}, failing: map[string]bool{}}
	for k := range n {
		f.add(fmt.Sprintf("vm-%02d", k), version)
	}
	return f
}

func (f *fakeFleet) add(vm, version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &controller.Replica{Replica: &messenger.Replica{
		Vm: vm, Address: vm, Fleet: "drafting", Version: version, VersionName: versionNames[version],
		FailureDomain: "fd-" + vm[len(vm)-1:],
		State:         messenger.ReplicaState_REPLICA_STATE_READY,
	}}
	f.replicas[vm] = r
	f.reported[vm] = cloneReplica(r)
}

// versionNames maps the digests of the tests to version names.
var versionNames = map[string]string{"d1": "draft-1", "d2": "draft-2"}

// errTooManyVersions is the error of an agent that refuses a transfer above its limit.
const errTooManyVersions = "too many versions are held; drop one first"

// countTransfers returns the number of versions that a VM holds or transfers. The
// caller holds the lock.
func (f *fakeFleet) countTransfers(vm string) int {
	n := 0
	if r := f.replicas[vm]; r != nil {
		n = len(r.Transfers)
	}
	return n
}

func (f *fakeFleet) remove(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.replicas, vm)
	delete(f.reported, vm)
}

func (f *fakeFleet) listReported(time.Time) []controller.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []controller.Replica
	for _, r := range f.reported {
		all = append(all, r)
	}
	return all
}

// updateReplica changes a replica at once and its report after reportDelay.
func (f *fakeFleet) updateReplica(vm string, apply func(*controller.Replica)) {
	f.mu.Lock()
	r := f.replicas[vm]
	if r == nil {
		f.mu.Unlock()
		return
	}
	apply(r)
	f.recordUnavailable()
	report := cloneReplica(r)
	f.mu.Unlock()
	time.Sleep(reportDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replicas[vm] != nil {
		f.reported[vm] = report
	}
}

func (f *fakeFleet) countVersion(version string) int {
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

// recordUnavailable updates the largest number of unavailable replicas. Only replicas
// that have a version count: a new VM that loads its first version takes no
// capacity away. The caller holds the lock.
func (f *fakeFleet) recordUnavailable() {
	unavailable := 0
	for _, r := range f.replicas {
		if r.Replica.GetVersion() != "" && r.Replica.GetState() != messenger.ReplicaState_REPLICA_STATE_READY {
			unavailable++
		}
	}
	f.maxUnavailableSeen = max(f.maxUnavailableSeen, unavailable)
}

func (f *fakeFleet) agent(address string) (messenger.AgentClient, error) {
	return &fakeAgent{fleet: f, vm: address}, nil
}

type fakeAgent struct {
	messenger.AgentClient
	fleet *fakeFleet
	vm    string
}

func (a *fakeAgent) Order(_ context.Context, req *messenger.OrderRequest, _ ...grpc.CallOption) (*messenger.OrderReply, error) {
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
	if req.GetPrepare() != nil && f.countTransfers(a.vm) >= storer.DefaultMaxVersions {
		return &messenger.OrderReply{HighestEpoch: req.GetFence().GetEpoch(), Error: errTooManyVersions}, nil
	}
	go (&fakeOrder{fleet: f, vm: a.vm, request: req}).run()
	return &messenger.OrderReply{Accepted: true, HighestEpoch: req.GetFence().GetEpoch()}, nil
}

// fakeOrder carries out one accepted order.
type fakeOrder struct {
	fleet   *fakeFleet
	vm      string
	request *messenger.OrderRequest
}

func (o *fakeOrder) run() {
	switch order := o.request.GetOrder().(type) {
	case *messenger.OrderRequest_Prepare:
		digest := order.Prepare.GetVersion().GetDigest()
		o.fleet.updateReplica(o.vm, func(r *controller.Replica) {
			r.Transfers = append(without(r.Transfers, digest), &messenger.Transfer{Digest: digest})
		})
		time.Sleep(transferTime)
		o.fleet.updateReplica(o.vm, func(r *controller.Replica) { o.endTransfer(r, digest) })
	case *messenger.OrderRequest_Drop:
		o.fleet.updateReplica(o.vm, func(r *controller.Replica) {
			r.Transfers = without(r.Transfers, order.Drop.GetDigest())
		})
	case *messenger.OrderRequest_Activate:
		o.fleet.updateReplica(o.vm, func(r *controller.Replica) {
			r.Replica.State = messenger.ReplicaState_REPLICA_STATE_SWITCHING
		})
		time.Sleep(switchTime)
		if o.fleet.isCrashing(order.Activate.GetVersion().GetDigest()) {
			o.fleet.updateReplica(o.vm, func(r *controller.Replica) {
				r.Replica.Version, r.Replica.VersionName = "", ""
				r.Replica.State = messenger.ReplicaState_REPLICA_STATE_STARTING
				r.LastOrderError = "the engine crashed"
			})
			return
		}
		o.fleet.updateReplica(o.vm, func(r *controller.Replica) {
			r.LastOrderError = ""
			r.Replica.Version = order.Activate.GetVersion().GetDigest()
			r.Replica.VersionName = order.Activate.GetVersion().GetName()
			r.Replica.State = messenger.ReplicaState_REPLICA_STATE_READY
		})
	}
}

// endTransfer completes or fails a transfer, unless it was dropped meanwhile. The
// caller holds the lock of the fleet.
func (o *fakeOrder) endTransfer(r *controller.Replica, digest string) {
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

func cloneReplica(r *controller.Replica) controller.Replica {
	return controller.Replica{
		Replica: proto.Clone(r.Replica).(*messenger.Replica), Transfers: r.Transfers, LastOrderError: r.LastOrderError,
	}
}

// fakeLease is a lease that several controllers share.
type fakeLease struct {
	mu     sync.Mutex
	holder string
	epoch  uint64
}

func (l *fakeLease) take(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder = vm
	l.epoch++
}

func (l *fakeLease) heldBy(vm string) func(string, time.Time) (leaser.Lease, bool) {
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

func startController(ctx context.Context, vm string, api *emulator.MemoryObjects, leases *fakeLease, fleet *fakeFleet, set func() *parser.Revision) {
	c := &controller.Controller{
		API: api, Held: leases.heldBy(vm), Config: set, Replicas: fleet.listReported, Agent: fleet.agent, Now: time.Now, Log: zap.NewNop(),
	}
	go c.Run(ctx)
}

// Guards against a rollout that exceeds max-unavailable, stops when a VM dies or
// the shard changes its holder, or skips a new VM.
func TestRolloutReachesEveryReplica(t *testing.T) {
	tests := []struct {
		name        string
		activations int
		during      func(*fakeFleet, *fakeLease)
	}{
		{"no faults", 1, func(*fakeFleet, *fakeLease) {}},
		{"a VM dies and another one comes", 1, func(f *fakeFleet, _ *fakeLease) {
			f.remove("vm-03")
			f.add("vm-99", "")
		}},
		{"the controlling daemon is replaced", 2, func(_ *fakeFleet, l *fakeLease) { l.take("entry-2") }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				api, leases, fleet := &emulator.MemoryObjects{}, &fakeLease{}, newFleet(8, "d1")
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
				c.Assert(fleet.maxUnavailableSeen <= 2, qt.IsTrue, qt.Commentf("%d replicas unavailable at once", fleet.maxUnavailableSeen))
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

// Guards against a paused rollout that continues, an aborted one that leaves
// replicas on the new version, and orders that are sent without a lease.
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
				api, leases, fleet := &emulator.MemoryObjects{}, &fakeLease{}, newFleet(8, "d1")
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
