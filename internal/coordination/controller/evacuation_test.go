package controller_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// Guards against orders to the replicas of an evacuated failure domain, against a
// rollout that waits for them or counts them as failed or unavailable, and against
// one that forgets them after the evacuation. Replica vm-0n is in failure domain fd-n.
func TestRolloutDuringEvacuation(t *testing.T) {
	tests := []struct {
		name      string
		evacuated []string
		// prepare changes the fleet before the rollout.
		prepare   func(f *fakeFleet)
		active    int
		phase     string
		evacuates int
		message   string
	}{
		{name: "none", active: 8, phase: parser.PhaseDone},
		{name: "unknown failure domain", evacuated: []string{"fd-9"}, active: 8, phase: parser.PhaseDone},
		{
			name: "two replicas", evacuated: []string{"fd-6", "fd-7"}, active: 6, phase: parser.PhaseDone, evacuates: 2,
			message: "2 replicas in evacuated failure domains are left out",
		},
		{
			name: "replicas that fail there", evacuated: []string{"fd-5", "fd-6", "fd-7"}, active: 5, phase: parser.PhaseDone, evacuates: 3,
			message: "3 replicas in evacuated failure domains are left out",
			prepare: func(f *fakeFleet) {
				for _, vm := range []string{"vm-05", "vm-06", "vm-07"} {
					f.setFailed(vm)
				}
			},
		},
		{
			name: "VMs there are gone", evacuated: []string{"fd-4", "fd-5", "fd-6", "fd-7"}, active: 4, phase: parser.PhaseDone,
			prepare: func(f *fakeFleet) {
				for _, vm := range []string{"vm-04", "vm-05", "vm-06", "vm-07"} {
					f.remove(vm)
				}
			},
		},
		{
			name: "all", evacuated: []string{"fd-0", "fd-1", "fd-2", "fd-3", "fd-4", "fd-5", "fd-6", "fd-7"}, phase: parser.PhaseTransferring, evacuates: 8,
			message: "8 replicas in evacuated failure domains are left out",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				api, leases, fleet := &emulator.MemoryObjects{}, &fakeLease{}, newFleet(8, "d1")
				if test.prepare != nil {
					test.prepare(fleet)
				}
				before := len(fleet.replicas)
				leases.take("entry-1")
				var set atomic.Pointer[parser.Set]
				set.Store(evacuatedSet(test.evacuated))
				startController(ctx, "entry-1", api, leases, fleet, func() *parser.Revision { return &parser.Revision{Number: 1, Set: set.Load()} })
				time.Sleep(time.Minute)
				c.Check(fleet.countVersion("d2"), qt.Equals, test.active)
				for _, domain := range test.evacuated {
					c.Check(fleet.ordersTo("vm-0"+domain[3:]), qt.Equals, uint64(0), qt.Commentf("orders to the replica in %s", domain))
				}
				status := readRollout(ctx, c, api)
				c.Check(status.Phase, qt.Equals, test.phase)
				c.Check(status.Active, qt.Equals, test.active)
				c.Check(status.Evacuated, qt.Equals, test.evacuates)
				c.Check(status.Message, qt.Equals, test.message)

				fleet.repair()
				set.Store(evacuatedSet(nil))
				time.Sleep(time.Minute)
				c.Check(fleet.countVersion("d2"), qt.Equals, before)
				c.Check(readRollout(ctx, c, api).Evacuated, qt.Equals, 0)
			})
		})
	}
}

// evacuatedSet returns the set of a running rollout with evacuations.
func evacuatedSet(domains []string) *parser.Set {
	set := rolloutSet(parser.RolloutRunning, 2)
	for _, d := range domains {
		set.Add(&parser.Evacuation{Kind: parser.KindEvacuation, Name: d, FailureDomain: d})
	}
	return set
}

func readRollout(ctx context.Context, c *qt.C, api *emulator.MemoryObjects) parser.RolloutStatus {
	c.Helper()
	stored, err := api.Get(ctx, "rollouts/to-draft-2")
	c.Assert(err, qt.IsNil)
	var status parser.RolloutStatus
	c.Assert(json.Unmarshal(stored.Value, &status), qt.IsNil)
	return status
}

// setFailed gives a replica a complete transfer of version d2 whose activation failed.
func (f *fakeFleet) setFailed(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.replicas[vm]
	r.Transfers = []*messenger.Transfer{{Digest: "d2", Complete: true}}
	r.LastOrderError = "the engine crashed"
	r.Replica.State = messenger.ReplicaState_REPLICA_STATE_FAILED
	f.reported[vm] = cloneReplica(r)
}

// repair makes all replicas ready.
func (f *fakeFleet) repair() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for vm, r := range f.replicas {
		r.LastOrderError, r.Replica.State = "", messenger.ReplicaState_REPLICA_STATE_READY
		f.reported[vm] = cloneReplica(r)
	}
}

// ordersTo returns the epoch of the last order to a VM, or 0 if there was none.
func (f *fakeFleet) ordersTo(vm string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.epochs[vm]
}
