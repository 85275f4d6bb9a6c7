package controller_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/coordination/controller"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// rolloutHarness runs a controller whose configuration publish replaces.
type rolloutHarness struct {
	c     *qt.C
	fleet *fakeFleet
	set   atomic.Pointer[parser.Set]
}

func startRolloutHarness(ctx context.Context, c *qt.C) *rolloutHarness {
	r := &rolloutHarness{c: c, fleet: newFleet(8, "d1")}
	r.publish("draft-2", parser.RolloutRunning)
	leases := &fakeLease{}
	leases.take("entry-1")
	config := func() *parser.Revision { return &parser.Revision{Number: 1, Set: r.set.Load()} }
	startController(ctx, "entry-1", &emulator.MemoryObjects{}, leases, r.fleet, config)
	return r
}

// publish sets the version and the state of the rollout.
func (r *rolloutHarness) publish(version, state string) {
	set := rolloutSet(state, 2)
	for n := 3; n < 30; n++ {
		set.Add(&parser.ModelVersion{Name: fmt.Sprintf("draft-%d", n), Model: "draft", Digest: fmt.Sprintf("d%d", n)})
	}
	set.Rollouts["to-draft-2"].Version = version
	r.set.Store(set)
}

// waitSwitching waits until at least one replica has switched and another one is
// switching.
func (r *rolloutHarness) waitSwitching() {
	for range 600 {
		time.Sleep(100 * time.Millisecond)
		if r.fleet.countVersion("d2") > 0 && r.fleet.countState(messenger.ReplicaState_REPLICA_STATE_SWITCHING) > 0 {
			return
		}
	}
	r.c.Fatal("no replica switches")
}

func (f *fakeFleet) countState(state messenger.ReplicaState) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.replicas {
		if r.Replica.GetState() == state {
			n++
		}
	}
	return n
}

// Guards against a rollout that mishandles a change of its state or version while
// replicas switch: it continues while paused, does not resume, leaves replicas on a
// withdrawn version, or exceeds max-unavailable.
func TestRolloutChangesWhileReplicasSwitch(t *testing.T) {
	tests := []struct {
		name string
		// during runs while replicas switch and returns the version to reach.
		during   func(r *rolloutHarness) string
		replicas int
	}{
		{"paused and resumed", func(r *rolloutHarness) string {
			r.publish("draft-2", parser.RolloutPaused)
			time.Sleep(5 * time.Second)
			paused := r.fleet.countVersion("d2")
			r.c.Assert(paused < 8, qt.IsTrue)
			time.Sleep(10 * time.Minute)
			r.c.Assert(r.fleet.countVersion("d2"), qt.Equals, paused)
			r.publish("draft-2", parser.RolloutRunning)
			return "d2"
		}, 8},
		{"aborted", func(r *rolloutHarness) string {
			r.publish("draft-2", parser.RolloutAborted)
			return "d1"
		}, 8},
		{"paused and aborted", func(r *rolloutHarness) string {
			r.publish("draft-2", parser.RolloutPaused)
			time.Sleep(5 * time.Second)
			r.publish("draft-2", parser.RolloutAborted)
			return "d1"
		}, 8},
		{"aborted and started again", func(r *rolloutHarness) string {
			r.publish("draft-2", parser.RolloutAborted)
			time.Sleep(5 * time.Second)
			r.publish("draft-2", parser.RolloutRunning)
			return "d2"
		}, 8},
		{"a newer version", func(r *rolloutHarness) string {
			r.publish("draft-3", parser.RolloutRunning)
			return "d3"
		}, 8},
		{"a newer version that is withdrawn", func(r *rolloutHarness) string {
			r.publish("draft-3", parser.RolloutRunning)
			time.Sleep(time.Second)
			r.publish("draft-2", parser.RolloutRunning)
			return "d2"
		}, 8},
		{"a VM joins", func(r *rolloutHarness) string {
			r.fleet.add("vm-99", "")
			return "d2"
		}, 9},
		{"a VM joins while paused", func(r *rolloutHarness) string {
			r.publish("draft-2", parser.RolloutPaused)
			r.fleet.add("vm-99", "")
			time.Sleep(time.Minute)
			r.c.Assert(r.fleet.versionOf("vm-99"), qt.Equals, "d1")
			r.publish("draft-2", parser.RolloutRunning)
			return "d2"
		}, 9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				r := startRolloutHarness(ctx, c)
				r.waitSwitching()
				want := test.during(r)
				time.Sleep(2 * time.Minute)
				c.Assert(r.fleet.countVersion(want), qt.Equals, test.replicas)
				c.Assert(r.fleet.countState(messenger.ReplicaState_REPLICA_STATE_READY), qt.Equals, test.replicas)
				c.Assert(r.fleet.maxUnavailableSeen <= 2, qt.IsTrue, qt.Commentf("%d replicas unavailable at once", r.fleet.maxUnavailableSeen))
			})
		})
	}
}

func (f *fakeFleet) versionOf(vm string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicas[vm].Replica.GetVersion()
}

// Guards against superseded transfers that accumulate until agents refuse the
// target version, and against a version that is not transferred again when it
// becomes the target after it was dropped.
func TestSupersededTransfersAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := startRolloutHarness(ctx, c)
		time.Sleep(4 * time.Second)
		last := 0
		for n := 3; n < 30; n++ {
			last = n
			r.publish(fmt.Sprintf("draft-%d", n), parser.RolloutRunning)
			time.Sleep(time.Second)
		}
		time.Sleep(2 * time.Minute)
		c.Assert(r.fleet.countVersion(fmt.Sprintf("d%d", last)), qt.Equals, 8)
		r.fleet.mu.Lock()
		defer r.fleet.mu.Unlock()
		for vm := range r.fleet.replicas {
			c.Assert(r.fleet.countTransfers(vm) <= 2, qt.IsTrue, qt.Commentf("%s holds %d versions", vm, r.fleet.countTransfers(vm)))
		}
	})
}

func (f *fakeFleet) failNextTransfer(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing[vm] = true
}

// Guards against a failed transfer that is never ordered again.
func TestFailedTransferIsOrderedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := startRolloutHarness(ctx, c)
		r.fleet.failNextTransfer("vm-03")
		time.Sleep(2 * time.Minute)
		c.Assert(r.fleet.countVersion("d2"), qt.Equals, 8)
	})
}

func (f *fakeFleet) isCrashing(digest string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashing == digest
}

func (f *fakeFleet) setCrashing(digest string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashing = digest
}

// Guards against a version that crashes every engine and takes down one replica
// after the other. This happens when a replica that lost its version is treated
// like a new one, which takes no capacity away.
func TestVersionThatCrashesEnginesStopsItsRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := startRolloutHarness(ctx, c)
		r.fleet.setCrashing("d2")
		time.Sleep(10 * time.Minute)
		c.Assert(r.fleet.countVersion("d1"), qt.Equals, 6)
		r.publish("draft-2", parser.RolloutAborted)
		time.Sleep(2 * time.Minute)
		c.Assert(r.fleet.countVersion("d1"), qt.Equals, 8)
	})
}

// Guards against dropping a version while its engine restarts: the agent reports no
// version during the restart but needs the chunks to load the version again.
func TestRestartingEngineKeepsItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := startRolloutHarness(ctx, c)
		time.Sleep(2 * time.Minute)
		c.Assert(r.fleet.countVersion("d2"), qt.Equals, 8)
		r.fleet.updateReplica("vm-03", func(r *controller.Replica) {
			r.Replica.Version, r.Replica.VersionName = "", ""
			r.Replica.State = messenger.ReplicaState_REPLICA_STATE_STARTING
		})
		r.publish("draft-3", parser.RolloutRunning)
		time.Sleep(time.Second)
		r.fleet.mu.Lock()
		held := slices.Clone(r.fleet.replicas["vm-03"].Transfers)
		r.fleet.mu.Unlock()
		c.Assert(len(without(held, "d2")) < len(held), qt.IsTrue, qt.Commentf("%v", held))
		time.Sleep(2 * time.Minute)
		c.Assert(r.fleet.countVersion("d3"), qt.Equals, 8)
	})
}
