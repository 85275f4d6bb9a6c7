package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"
)

// controlSize is one measured size: a whole failure domain of real entry
// daemons and agents on loopback, and other failure domains that one real
// daemon each stands for.
type controlSize struct {
	daemons, replicas int
	// otherDaemons and otherReplicas are in the other failure domains.
	otherDaemons, otherReplicas int
	// changes is the number of directory changes a second.
	changes int
	// usage is set to exchange the demand of teams.
	usage bool
}

const (
	otherDomains    = 4
	controlModels   = 8
	controlMeasure  = 6 * time.Second
	controlSettle   = 4 * time.Second
	controlDeadline = 90 * time.Second
)

// controlCost is what one size costs.
type controlCost struct {
	// member and relay are bytes a second in both directions of one daemon.
	member, relay float64
	// core is the share of a core of one daemon, with the agents' side.
	core float64
	// heap is the memory of the process for one daemon, with the agents' side.
	heap float64
}

// benchControl measures the cost of the control traffic of entry daemons:
// bytes at the connections with all framing, processor time and memory, by
// replica, by daemon and by change, and at the full size of one failure
// domain. The baseline sends every load to every daemon.
func benchControl(w io.Writer) error {
	base := controlSize{daemons: 40, replicas: 172, otherDaemons: 160, otherReplicas: 688}
	moreReplicas, moreDaemons, moreChanges := base, base, base
	moreReplicas.replicas, moreReplicas.otherReplicas = 2*base.replicas, 2*base.otherReplicas
	moreDaemons.daemons, moreDaemons.otherDaemons = 2*base.daemons, 2*base.otherDaemons
	moreChanges.changes = 20
	full := controlSize{daemons: 200, replicas: 860, otherDaemons: 800, otherReplicas: 3440}

	costs := map[string]controlCost{}
	for _, run := range []struct {
		name string
		size controlSize
	}{
		{"base", base},
		{"replicas", moreReplicas},
		{"daemons", moreDaemons},
		{"changes", moreChanges},
		{"full", full},
	} {
		cost, err := measureControl(run.size)
		if err != nil {
			return fmt.Errorf("control size %s: %w", run.name, err)
		}
		costs[run.name] = cost
	}
	replicas := float64(moreReplicas.replicas + moreReplicas.otherReplicas - base.replicas - base.otherReplicas)
	daemons := float64(moreDaemons.daemons + moreDaemons.otherDaemons - base.daemons - base.otherDaemons)
	printSlope(w, "replica", costs["base"], costs["replicas"], replicas)
	printSlope(w, "daemon", costs["base"], costs["daemons"], daemons)
	printSlope(w, "change", costs["base"], costs["changes"], float64(moreChanges.changes))
	fmt.Fprintf(w, "control-full-size-member-bytes %.0f B/s\n", costs["full"].member)
	fmt.Fprintf(w, "control-full-size-relay-bytes %.0f B/s\n", costs["full"].relay)
	n := float64(full.daemons)
	fmt.Fprintf(w, "control-full-size-mean-bytes %.0f B/s\n", (costs["full"].member*(n-2)+2*costs["full"].relay)/n)
	fmt.Fprintf(w, "control-full-size-core-share %.4f cores\n", costs["full"].core)
	fmt.Fprintf(w, "control-full-size-heap %.1f MB\n", costs["full"].heap/1e6)
	if err := benchControlRevision(w); err != nil {
		return err
	}
	return benchControlBaseline(w, full.replicas+full.otherReplicas)
}

func printSlope(w io.Writer, by string, base, more controlCost, units float64) {
	fmt.Fprintf(w, "control-member-bytes-per-%s %.2f B/s\n", by, (more.member-base.member)/units)
	fmt.Fprintf(w, "control-relay-bytes-per-%s %.2f B/s\n", by, (more.relay-base.relay)/units)
	fmt.Fprintf(w, "control-core-share-per-%s %.7f cores\n", by, (more.core-base.core)/units)
	fmt.Fprintf(w, "control-heap-per-%s %.0f B\n", by, (more.heap-base.heap)/units)
}

// measureControl starts a cluster of the size and measures it at rest, with
// its reports and, if any, changes.
func measureControl(size controlSize) (controlCost, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, err := startControlCluster(ctx, size)
	if err != nil {
		return controlCost{}, err
	}
	defer c.close(cancel)
	deadline := time.Now().Add(controlDeadline)
	for !c.isComplete(time.Now()) {
		if time.Now().After(deadline) {
			return controlCost{}, &incompleteError{size: size}
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(controlSettle)
	before, cpu, started := c.bytes(), processorTime(), time.Now()
	time.Sleep(controlMeasure)
	seconds := time.Since(started).Seconds()
	after := c.bytes()
	n := float64(size.daemons)
	cost := controlCost{core: (processorTime() - cpu).Seconds() / seconds / n}
	relays := 0.0
	for i, d := range c.daemons {
		rate := float64(after[i]-before[i]) / seconds
		if d.monitor.IsRelay(time.Now()) {
			cost.relay += rate
			relays++
		} else {
			cost.member += rate
		}
	}
	cost.relay /= max(relays, 1)
	cost.member /= n - relays
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	cost.heap = float64(memory.HeapAlloc) / n
	return cost, nil
}

// incompleteError reports daemons that did not learn the whole directory.
type incompleteError struct {
	size controlSize
}

func (e *incompleteError) Error() string {
	return fmt.Sprintf("daemons did not learn %d replicas in %s", e.size.replicas+e.size.otherReplicas, controlDeadline)
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
