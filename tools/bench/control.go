package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"
)

// controlSize is the size of a measured cluster: one failure domain of entry
// daemons and agents that run the production code on loopback, and other failure
// domains that are each represented by one such daemon.
type controlSize struct {
	daemons, replicas int
	// otherDaemons and otherReplicas are the totals of the other failure domains.
	otherDaemons, otherReplicas int
	// changesPerSecond is the rate of directory changes.
	changesPerSecond int
	// teamUsage makes the daemons exchange the demand of teams.
	teamUsage bool
}

const (
	// otherFailureDomains is the number of failure domains besides the measured one.
	otherFailureDomains = 4
	controlModels       = 8
	controlMeasureTime  = 6 * time.Second
	// controlSettleTime is the wait before the traffic is measured.
	controlSettleTime         = 4 * time.Second
	controlConvergenceTimeout = 90 * time.Second
)

// controlCost is the cost of the control traffic at one size.
type controlCost struct {
	// memberBytesPerSecond and relayBytesPerSecond are the traffic, in both
	// directions, of one daemon that is not a relay and of one relay.
	memberBytesPerSecond, relayBytesPerSecond float64
	// coreShare is the processor time per daemon, in cores. It includes the
	// agents' side.
	coreShare float64
	// heapBytes is the heap of the process per daemon. It includes the agents'
	// side.
	heapBytes float64
}

// benchControl measures the cost of the control traffic of entry daemons: bytes
// on the connections including all framing, processor time and memory. It prints
// the marginal cost of a replica, a daemon and a change, and the cost at the full
// size of one failure domain. The baseline sends every load to every daemon.
func benchControl(w io.Writer) error {
	base := controlSize{daemons: 40, replicas: 172, otherDaemons: 160, otherReplicas: 688}
	moreReplicas, moreDaemons, moreChanges := base, base, base
	moreReplicas.replicas, moreReplicas.otherReplicas = 2*base.replicas, 2*base.otherReplicas
	moreDaemons.daemons, moreDaemons.otherDaemons = 2*base.daemons, 2*base.otherDaemons
	moreChanges.changesPerSecond = 20
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
	printMarginalCost(w, "replica", costs["base"], costs["replicas"], replicas)
	printMarginalCost(w, "daemon", costs["base"], costs["daemons"], daemons)
	printMarginalCost(w, "change", costs["base"], costs["changes"], float64(moreChanges.changesPerSecond))
	fmt.Fprintf(w, "control-full-size-member-bytes %.0f B/s\n", costs["full"].memberBytesPerSecond)
	fmt.Fprintf(w, "control-full-size-relay-bytes %.0f B/s\n", costs["full"].relayBytesPerSecond)
	n := float64(full.daemons)
	fmt.Fprintf(w, "control-full-size-mean-bytes %.0f B/s\n", (costs["full"].memberBytesPerSecond*(n-2)+2*costs["full"].relayBytesPerSecond)/n)
	fmt.Fprintf(w, "control-full-size-core-share %.4f cores\n", costs["full"].coreShare)
	fmt.Fprintf(w, "control-full-size-heap %.1f MB\n", costs["full"].heapBytes/1e6)
	if err := benchControlRevision(w); err != nil {
		return err
	}
	return benchControlBaseline(w, full.replicas+full.otherReplicas)
}

// printMarginalCost prints the additional cost per added unit.
func printMarginalCost(w io.Writer, unit string, base, more controlCost, units float64) {
	fmt.Fprintf(w, "control-member-bytes-per-%s %.2f B/s\n", unit, (more.memberBytesPerSecond-base.memberBytesPerSecond)/units)
	fmt.Fprintf(w, "control-relay-bytes-per-%s %.2f B/s\n", unit, (more.relayBytesPerSecond-base.relayBytesPerSecond)/units)
	fmt.Fprintf(w, "control-core-share-per-%s %.7f cores\n", unit, (more.coreShare-base.coreShare)/units)
	fmt.Fprintf(w, "control-heap-per-%s %.0f B\n", unit, (more.heapBytes-base.heapBytes)/units)
}

// measureControl starts a cluster of the size, waits until its directory is
// complete and measures the traffic of load reports and, if configured,
// directory changes.
func measureControl(size controlSize) (controlCost, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, err := startControlCluster(ctx, size)
	if err != nil {
		return controlCost{}, err
	}
	defer c.close(cancel)
	deadline := time.Now().Add(controlConvergenceTimeout)
	for !c.hasFullDirectory(time.Now()) {
		if time.Now().After(deadline) {
			return controlCost{}, &convergenceError{size: size}
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(controlSettleTime)
	before, cpu, started := c.bytes(), cpuTime(), time.Now()
	time.Sleep(controlMeasureTime)
	seconds := time.Since(started).Seconds()
	after := c.bytes()
	n := float64(size.daemons)
	cost := controlCost{coreShare: (cpuTime() - cpu).Seconds() / seconds / n}
	relays := 0.0
	for i, d := range c.daemons {
		rate := float64(after[i]-before[i]) / seconds
		if d.monitor.IsRelay(time.Now()) {
			cost.relayBytesPerSecond += rate
			relays++
		} else {
			cost.memberBytesPerSecond += rate
		}
	}
	cost.relayBytesPerSecond /= max(relays, 1)
	cost.memberBytesPerSecond /= n - relays
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	cost.heapBytes = float64(memory.HeapAlloc) / n
	return cost, nil
}

// convergenceError reports that the directory was not complete on all daemons in
// time.
type convergenceError struct {
	size controlSize
}

func (e *convergenceError) Error() string {
	return fmt.Sprintf("not every daemon has all %d replicas in its directory after %s", e.size.replicas+e.size.otherReplicas, controlConvergenceTimeout)
}

// cpuTime returns the user and system time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
