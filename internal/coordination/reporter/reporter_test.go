package reporter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/coordination/reporter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/leaser"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// leaseHolder runs a reporter until stop is called.
type leaseHolder struct {
	*reporter.Reporter
	done chan struct{}
	stop context.CancelFunc
}

func (h *leaseHolder) run(ctx context.Context) {
	defer close(h.done)
	_ = h.Run(ctx)
}

func startReporter(t *testing.T, objects *emulator.FaultyObjects, held func() (leaser.Lease, bool)) *leaseHolder {
	ctx, cancel := context.WithCancel(t.Context())
	h := &leaseHolder{
		Reporter: &reporter.Reporter{
			API: objects, Regions: []string{"north"},
			Held: func(string, time.Time) (leaser.Lease, bool) { return held() },
		},
		done: make(chan struct{}),
	}
	h.stop = cancel
	go h.run(ctx)
	return h
}

func alwaysHeld() (leaser.Lease, bool) { return leaser.Lease{Shard: "status-north", Epoch: 1}, true }

func status(vm string, sequence uint64, orderError string) *messenger.DaemonStatus {
	return &messenger.DaemonStatus{
		Vm: vm, Role: "agent", Region: "north", Sequence: sequence, LastOrderError: orderError,
		Replica: &messenger.Replica{Vm: vm, State: messenger.ReplicaState_REPLICA_STATE_READY},
	}
}

type document struct {
	Parts   int `json:"parts"`
	Daemons []struct {
		VM             string `json:"vm"`
		State          string `json:"state"`
		LastOrderError string `json:"last-order-error"`
	} `json:"daemons"`
}

func documents(t *testing.T, objects *emulator.FaultyObjects) []document {
	found, err := objects.List(t.Context(), "status/north")
	if err != nil {
		t.Fatal(err)
	}
	var all []document
	for _, o := range found {
		var doc document
		if err := json.Unmarshal(o.Value, &doc); err != nil {
			t.Fatal(err)
		}
		all = append(all, doc)
	}
	return all
}

// Guards against one write per status, and against a write that contains an older
// status than the latest one received.
func TestOneWriteASecondWithTheLatest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		objects := &emulator.FaultyObjects{}
		h := startReporter(t, objects, alwaysHeld)
		for i := range 600 {
			h.Put(status("vm-1", uint64(i), fmt.Sprint(i)))
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		c.Assert(objects.WriteCalls() <= 33, qt.IsTrue, qt.Commentf("%d writes", objects.WriteCalls()))
		docs := documents(t, objects)
		c.Assert(docs, qt.HasLen, 1)
		c.Assert(docs[0].Daemons, qt.HasLen, 1)
		c.Assert(docs[0].Daemons[0].LastOrderError, qt.Equals, "599")
		c.Assert(docs[0].Daemons[0].State, qt.Equals, "ready")
		h.stop()
		<-h.done
	})
}

// Guards against an object above the size limit of the object API, and against parts
// that remain after the region has shrunk.
func TestLargeRegionIsSplit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		objects := &emulator.FaultyObjects{}
		h := startReporter(t, objects, alwaysHeld)
		long := strings.Repeat("x", 500)
		for range 3 {
			for i := range 5000 {
				h.Put(status(fmt.Sprintf("vm-%d", i), 1, long))
			}
			time.Sleep(10 * time.Second)
		}
		docs := documents(t, objects)
		vms := map[string]bool{}
		for _, doc := range docs {
			c.Assert(doc.Parts, qt.Equals, len(docs))
			for _, d := range doc.Daemons {
				vms[d.VM] = true
			}
		}
		c.Assert(len(docs) > 2, qt.IsTrue)
		c.Assert(vms, qt.HasLen, 5000)
		stored, err := objects.List(t.Context(), "")
		c.Assert(err, qt.IsNil)
		for _, o := range stored {
			c.Assert(len(o.Value) < 901_000, qt.IsTrue, qt.Commentf("%s: %d", o.Key, len(o.Value)))
		}
		for range 12 {
			h.Put(status("vm-1", 2, ""))
			time.Sleep(10 * time.Second)
		}
		docs = documents(t, objects)
		c.Assert(docs, qt.HasLen, 1)
		c.Assert(docs[0].Daemons, qt.HasLen, 1)
		h.stop()
		<-h.done
	})
}

// Guards against a former lease holder that overwrites the object of its successor,
// and against a successor that drops daemons from which it has no status yet.
func TestSuccessorKeepsStatusAndFormerHolderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		objects := &emulator.FaultyObjects{}
		epoch := make(chan uint64, 1)
		epoch <- 1
		heldAt := func(own uint64) func() (leaser.Lease, bool) {
			return func() (leaser.Lease, bool) {
				e := <-epoch
				epoch <- e
				return leaser.Lease{Epoch: e}, e == own
			}
		}
		first := startReporter(t, objects, heldAt(1))
		second := startReporter(t, objects, heldAt(2))
		first.Put(status("vm-1", 1, "first"))
		first.Put(status("vm-2", 1, "first"))
		time.Sleep(5 * time.Second)
		<-epoch
		epoch <- 2
		first.Put(status("vm-1", 2, "late"))
		second.Put(status("vm-2", 2, "second"))
		time.Sleep(5 * time.Second)
		docs := documents(t, objects)
		c.Assert(docs, qt.HasLen, 1)
		c.Assert(docs[0].Daemons, qt.HasLen, 2)
		c.Assert(docs[0].Daemons[0].LastOrderError, qt.Equals, "first")
		c.Assert(docs[0].Daemons[1].LastOrderError, qt.Equals, "second")
		for _, h := range []*leaseHolder{first, second} {
			h.stop()
			<-h.done
		}
	})
}

// Guards against a write after the lease was lost while the objects of the previous
// holder were read.
func TestLeaseLostDuringReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		objects := &emulator.FaultyObjects{}
		var asked atomic.Int32
		h := startReporter(t, objects, func() (leaser.Lease, bool) {
			return leaser.Lease{Epoch: 1}, asked.Add(1)%2 == 1
		})
		h.Put(status("vm-1", 1, ""))
		time.Sleep(10 * time.Second)
		c.Assert(objects.WriteCalls(), qt.Equals, 0)
		c.Assert(objects.TotalCalls() > 0, qt.IsTrue)
		h.stop()
		<-h.done
	})
}

// Guards against statuses that accumulate during an outage of the object API of one
// hour, a burst of calls after the outage, and a lost answer that stops the writes.
func TestOutageAndLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		objects := &emulator.FaultyObjects{}
		h := startReporter(t, objects, alwaysHeld)
		h.Put(status("vm-1", 1, "before"))
		time.Sleep(2 * time.Second)
		objects.SetFault(func(string, string) emulator.Fault { return emulator.FaultDown })
		before := objects.TotalCalls()
		for i := range 3600 {
			h.Put(status("vm-1", uint64(i+2), fmt.Sprint(i)))
			time.Sleep(time.Second)
		}
		c.Assert(objects.TotalCalls()-before < 3600/5, qt.IsTrue, qt.Commentf("%d calls", objects.TotalCalls()-before))

		var lost atomic.Int32
		objects.SetFault(func(operation, _ string) emulator.Fault {
			if operation == "update" && lost.Load() < 3 {
				lost.Add(1)
				return emulator.FaultAnswerLost
			}
			return emulator.NoFault
		})
		before = objects.TotalCalls()
		time.Sleep(40 * time.Second)
		c.Assert(lost.Load(), qt.Equals, int32(3))
		c.Assert(objects.TotalCalls()-before < 40, qt.IsTrue, qt.Commentf("%d calls", objects.TotalCalls()-before))
		docs := documents(t, objects)
		c.Assert(docs[0].Daemons[0].LastOrderError, qt.Equals, "3599")
		h.stop()
		<-h.done
	})
}
