package crowd

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// togetherTime is how long TestTogether lasts; 0 leaves it out. It needs a machine of its own to
// tell anything about service.
var togetherTime = flag.Duration("together", 0, "duration of all loads at once")

// ordinaryClients is the number of ordinary clients beside the loads.
const ordinaryClients = 8

// TestTogether plays all loads on all listeners of one entry daemon at once, while ordinary
// callers send requests, and logs how many of these were served. It guards against loads that
// exceed the limits of the VM together although each alone does not.
func TestTogether(t *testing.T) {
	if *togetherTime == 0 {
		t.Skip("by hand only, see -together")
	}
	c := qt.New(t)
	d := startPlatformEntry(t, entryBounds())
	sampler := &descriptorSampler{process: d.process, stop: make(chan struct{}), ended: make(chan struct{})}
	go sampler.run()
	callers := map[string]*ordinary{}
	var ended sync.WaitGroup
	stop := make(chan struct{})
	for _, name := range []string{"callers", "readiness", "directory"} {
		callers[name] = &ordinary{check: d.check[name], stop: stop}
		for range ordinaryClients {
			ended.Go(callers[name].run)
		}
	}
	time.Sleep(time.Second)
	for name, o := range callers {
		t.Logf("%s before the loads: %s", name, o.take())
	}
	all := platformEntryRows()
	var loads sync.WaitGroup
	for _, r := range all {
		clients := max(1, int(*clientsFactor*float64(r.load.clients))/len(all)*4)
		loads.Go((&crowd{address: d.addresses[r.listener], head: platformHead(callerHost), clients: clients, lasts: *togetherTime, play: r.load.play}).run)
	}
	loads.Wait()
	for _, name := range slices.Sorted(maps.Keys(callers)) {
		t.Logf("%s during the loads: %s", name, callers[name].take())
	}
	close(stop)
	ended.Wait()
	close(sampler.stop)
	<-sampler.ended
	c.Assert(d.process.Running(), qt.IsTrue)
	memory := peakMemoryMB(t, d.process)
	t.Logf("peak memory %d MB, %d descriptors", memory, sampler.most)
	c.Check(memory <= d.bounds.MemoryMB, qt.IsTrue, qt.Commentf("%d MB", memory))
	c.Check(sampler.most <= d.bounds.Descriptors-reservedDescriptors, qt.IsTrue, qt.Commentf("%d descriptors", sampler.most))
	for name, check := range d.check {
		c.Check(check(), qt.IsNil, qt.Commentf("%s", name))
	}
}

// ordinary are ordinary clients, which send one request after the other.
type ordinary struct {
	check func() error
	stop  chan struct{}

	served, failed, slowest atomic.Int64
}

func (o *ordinary) run() {
	for {
		select {
		case <-o.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		began := time.Now()
		if o.check() == nil {
			o.served.Add(1)
		} else {
			o.failed.Add(1)
		}
		took := int64(time.Since(began))
		for now := o.slowest.Load(); took > now && !o.slowest.CompareAndSwap(now, took); now = o.slowest.Load() {
		}
	}
}

// tally is what happened to ordinary requests.
type tally struct {
	Served, Failed int64
	Slowest        time.Duration
}

func (t tally) String() string {
	return fmt.Sprintf("%d served, %d failed, the slowest took %s", t.Served, t.Failed, t.Slowest)
}

// take returns what has happened since the last call.
func (o *ordinary) take() tally {
	return tally{o.served.Swap(0), o.failed.Swap(0), time.Duration(o.slowest.Swap(0))}
}
