package main

import (
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

// fault is a kind of fault.
type fault struct {
	name string
	// weight is the relative frequency of the fault.
	weight int
	// planned is set if the fault is no reason for a connection to end without a
	// response.
	planned bool
	// prepare draws the random numbers of a fault and returns the function that
	// injects it and returns when the fault is over. It is called by the goroutine
	// of the schedule, so that the order of the draws depends on the seed only.
	prepare func(s *schedule, d time.Duration) func()
}

// faults lists all kinds of faults.
var faults = []fault{
	{"kill an entry daemon", 2, false, func(s *schedule, _ time.Duration) func() { return s.killDaemon(s.randomEntry()) }},
	{"stop an entry daemon", 3, true, func(s *schedule, _ time.Duration) func() { return s.stopDaemon(s.randomEntry()) }},
	{"stop the entry daemons in turn", 3, true, func(s *schedule, d time.Duration) func() { return s.stopInTurn(d) }},
	{"pause an entry daemon", 2, false, func(s *schedule, d time.Duration) func() { return s.pauseDaemon(s.randomEntry(), d) }},
	{"kill an agent", 2, false, func(s *schedule, _ time.Duration) func() { return s.killDaemon(s.randomAgent()) }},
	{"pause an agent", 2, false, func(s *schedule, d time.Duration) func() { return s.pauseDaemon(s.randomAgent(), agentPauseFactor*d) }},
	{"kill all daemons", 1, false, func(s *schedule, _ time.Duration) func() { return s.killAllDaemons() }},
	{"signal an entry daemon to reload", 1, true, func(s *schedule, _ time.Duration) func() { return s.reloadSettings(s.randomEntry()) }},
	{"crash a replica", 3, false, func(s *schedule, d time.Duration) func() { return s.crashReplica(s.randomSlot(), d) }},
	{"replace a replica", 3, true, func(s *schedule, d time.Duration) func() { return s.replaceReplica(s.randomSlot(), 0, d) }},
	{"lose the answers of a replica", 2, false, func(s *schedule, d time.Duration) func() {
		return s.injectReplicaFault(s.randomSlot(), d, (*simulator.Replica).DropResponses)
	}},
	{"truncate the answers of a replica", 2, false, func(s *schedule, d time.Duration) func() {
		return s.injectReplicaFault(s.randomSlot(), d, (*simulator.Replica).TruncateResponses)
	}},
	{"slow down replicas", 4, true, func(s *schedule, d time.Duration) func() { return s.slowDownReplicas(slowdownFactor * d) }},
	{"a part of prompts crashes replicas", 4, false, func(s *schedule, _ time.Duration) func() {
		return func() { s.Cluster.partCrashes.Store(s.PartCrashes) }
	}},
	{"store refuses", 2, false, func(s *schedule, d time.Duration) func() { return s.injectStoreFault(simulator.StoreRefuses, d) }},
	{"store hangs", 2, false, func(s *schedule, d time.Duration) func() { return s.injectStoreFault(simulator.StoreHangs, d) }},
	{"store is slow", 1, false, func(s *schedule, d time.Duration) func() { return s.injectStoreFault(simulator.StoreSlow, d) }},
	{"store loses answers", 2, false, func(s *schedule, d time.Duration) func() { return s.injectStoreFault(simulator.StoreDropsResponses, d) }},
	{"store drops its history", 1, false, func(s *schedule, _ time.Duration) func() { return s.Cluster.store.Compact }},
	{"cut an entry daemon from the store", 2, false, func(s *schedule, d time.Duration) func() {
		return s.disturbLink(s.randomEntry(), d, storeProxy, s.randomLinkMode())
	}},
	{"cut an agent from the store", 1, false, func(s *schedule, d time.Duration) func() {
		return s.disturbLink(s.randomAgent(), d, storeProxy, s.randomLinkMode())
	}},
	{"disturb the link of callers", 3, false, func(s *schedule, d time.Duration) func() {
		return s.disturbLink(s.randomEntry(), d, inboundProxy, s.randomLinkMode())
	}},
	{"disturb the link of a replica", 3, false, func(s *schedule, d time.Duration) func() {
		return s.disturbReplicaLink(s.randomSlot(), d, s.randomLinkMode())
	}},
	{"reuse an address while the store is down", 2, false, func(s *schedule, d time.Duration) func() { return s.reuseAddress(s.randomServiceSlot(), d) }},
	{"change the configuration", 4, true, func(s *schedule, _ time.Duration) func() { return s.changeConfiguration(s.Rand.IntN(2) == 0) }},
	{"change the model version", 3, true, func(s *schedule, _ time.Duration) func() { return s.changeVersion() }},
	{"corrupt answers of the origin", 1, false, func(s *schedule, d time.Duration) func() { return s.corruptOrigin(d) }},
	{"corrupt staged weights", 1, false, func(s *schedule, _ time.Duration) func() { return s.corruptStagedWeights() }},
}

// extendedFaults lists kinds of faults that are drawn only with Extended, so that the seeds
// of runs without it keep their faults.
var extendedFaults = []fault{
	{"name a version while daemons are paused", 5, false, func(s *schedule, d time.Duration) func() { return s.nameVersionInPause(d) }},
	{"store comes back from an old copy", 5, false, func(s *schedule, _ time.Duration) func() { return s.restoreStore() }},
}

// signalFaults lists kinds of faults with replicas that say of themselves that they leave or
// want no requests. They are drawn only with Signals.
var signalFaults = []fault{
	{"a replica says that it leaves before its registration does", 5, true, func(s *schedule, d time.Duration) func() {
		return s.replaceReplica(s.randomSlot(), drainTime+randomDuration(s.Rand, maxNoticeDelay-drainTime), d)
	}},
	{"replicas leave while the store is away", 4, false, func(s *schedule, d time.Duration) func() { return s.leaveWithoutStore(d) }},
	{"overload replicas", 5, true, func(s *schedule, d time.Duration) func() { return s.overloadReplicas(overloadFactor * d) }},
}

// chooseFaults returns about half of the kinds of faults, because some kinds hide
// the effects of others, and because time bounds are checked only on undisturbed
// components. In a third of the seeds, it returns the planned kinds.
func (s *schedule) chooseFaults() []fault {
	var out []fault
	kinds := slices.Clone(faults)
	if s.Extended {
		kinds = append(kinds, extendedFaults...)
	}
	if s.Signals {
		kinds = append(kinds, signalFaults...)
	}
	if s.Silences {
		kinds = append(kinds, silenceFaults...)
	}
	if s.Evacuations {
		kinds = append(kinds, evacuationFaults...)
	}
	if s.Cold {
		kinds = append(kinds, coldFaults...)
	}
	plannedOnly := s.Rand.IntN(3) == 0
	for _, f := range kinds {
		if chosen := s.Rand.IntN(2) == 0; plannedOnly && f.planned || !plannedOnly && chosen {
			out = append(out, f)
		}
	}
	if len(out) == 0 {
		return kinds
	}
	return out
}

// chooseFault returns a random fault according to the weights.
func (s *schedule) chooseFault(enabled []fault) fault {
	total := 0
	for _, f := range enabled {
		total += f.weight
	}
	n := s.Rand.IntN(total)
	for _, f := range enabled {
		if n -= f.weight; n < 0 {
			return f
		}
	}
	return enabled[0]
}
