package main

import (
	"time"

	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

const (
	// maxNoticeDelay is the longest time for which a replica says that it leaves before
	// its registration does.
	maxNoticeDelay = 8 * time.Second
	// overloadFactor lengthens the time in which replicas are overloaded, so that it can
	// outlast maxHoldOff, the longest time for which they then want no requests.
	overloadFactor = 4
	minHoldOff     = time.Second
	maxHoldOff     = 6 * time.Second
	// slowdownFactor lengthens the time in which replicas are slow, so that it can
	// outlast a stop. With maxSlowdown a stream takes nearly as long as the longest
	// deadline.
	slowdownFactor = 4
	minSlowdown    = 10
	maxSlowdown    = 16
	// addressReuseDelay is how long the address of a replica that ended is not given
	// to another service.
	addressReuseDelay = 2 * time.Second
)

// slowDownReplicas returns a fault that slows down some of the replicas.
func (s *schedule) slowDownReplicas(d time.Duration) func() {
	order, n, factor := s.Rand.Perm(len(s.Cluster.slots)), 1+s.Rand.IntN(len(s.Cluster.slots)), minSlowdown+s.Rand.IntN(maxSlowdown-minSlowdown+1)
	return func() {
		var slowed []*simulator.Replica
		for _, i := range order[:n] {
			r := s.Cluster.slots[i].currentReplica()
			r.SlowDown(factor)
			slowed = append(slowed, r)
		}
		time.Sleep(d)
		for _, r := range slowed {
			r.SlowDown(1)
		}
	}
}

// reserve reserves a slot for one fault that replaces its replica. It fails if
// another fault has the slot.
func (s *replicaSlot) reserve() (*simulator.Replica, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved {
		return nil, false
	}
	s.reserved = true
	return s.replica, true
}

func (s *replicaSlot) currentReplica() *simulator.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica
}

func (s *replicaSlot) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved = false
}

// crashReplica returns a fault that ends a replica at once and starts another one
// at its address, sometimes for the other service.
func (s *schedule) crashReplica(slot *replicaSlot, d time.Duration) func() {
	otherService := s.Rand.IntN(2) == 0
	return func() {
		r, ok := slot.reserve()
		if !ok {
			return
		}
		defer slot.release()
		r.Crash()
		time.Sleep(d)
		s.reassignSlot(slot, otherService)
		s.startReplica(slot)
	}
}

func (s *schedule) startReplica(slot *replicaSlot) {
	if err := s.Cluster.startReplica(slot); err != nil {
		s.Cluster.Checker.addViolation("SOAK", "replica of %s not started: %v", slot.VM, err)
	}
}

// replaceReplica returns a fault that drains a replica, or removes it from the
// store without announcing its end, and starts another one at its address,
// sometimes for the other service. The replica decides to leave the time noticeDelay
// before its registration shows that.
func (s *schedule) replaceReplica(slot *replicaSlot, noticeDelay, d time.Duration) func() {
	announce, otherService := s.Rand.IntN(3) > 0, s.Rand.IntN(2) == 0
	return func() {
		r, ok := slot.reserve()
		if !ok {
			return
		}
		defer slot.release()
		r.Leave()
		time.Sleep(noticeDelay)
		r.Shutdown(announce, d)
		s.reassignSlot(slot, otherService)
		s.startReplica(slot)
	}
}

// leaveWithoutStore returns a fault in which up to half of the replicas leave while the store
// is away.
func (s *schedule) leaveWithoutStore(d time.Duration) func() {
	order, n := s.Rand.Perm(len(s.Cluster.slots)), 1+s.Rand.IntN(len(s.Cluster.slots)/2)
	mode := []simulator.StoreMode{simulator.StoreRefuses, simulator.StoreHangs}[s.Rand.IntN(2)]
	var replacements []func()
	for _, i := range order[:n] {
		replacements = append(replacements, s.replaceReplica(s.Cluster.slots[i], 0, d))
	}
	return func() {
		for _, replace := range replacements {
			s.running.Add(1)
			go (&injection{schedule: s, inject: replace}).run()
		}
		s.injectStoreFault(mode, drainTime+d)()
	}
}

// overloadReplicas returns a fault in which some of the replicas refuse all requests and ask
// for none for a time.
func (s *schedule) overloadReplicas(d time.Duration) func() {
	order, n, wait := s.Rand.Perm(len(s.Cluster.slots)), 1+s.Rand.IntN(len(s.Cluster.slots)), minHoldOff+randomDuration(s.Rand, maxHoldOff-minHoldOff)
	return func() {
		var overloaded []*simulator.Replica
		for _, i := range order[:n] {
			r := s.Cluster.slots[i].currentReplica()
			r.HoldOff(wait)
			overloaded = append(overloaded, r)
		}
		time.Sleep(d)
		for _, r := range overloaded {
			r.HoldOff(0)
		}
	}
}

// reassignSlot assigns a slot to the other service if otherService is set, and
// waits until its address may be reused.
func (s *schedule) reassignSlot(slot *replicaSlot, otherService bool) {
	if slot.Engine == nil && otherService && s.Cluster.tryReassign(slot) {
		time.Sleep(addressReuseDelay)
	}
}

// tryReassign assigns a slot to the other service unless its own service would
// keep fewer than two slots.
func (c *cluster) tryReassign(slot *replicaSlot) bool {
	other := map[string]string{routeOrder.Service: routeLookup.Service, routeLookup.Service: routeOrder.Service}[slot.Service]
	replicas := 0
	for _, candidate := range c.slots {
		candidate.mu.Lock()
		if candidate.Service == slot.Service {
			replicas++
		}
		candidate.mu.Unlock()
	}
	if replicas < 3 {
		return false
	}
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.Service = other
	return true
}

// reuseAddress returns a fault that gives the address of a crashed replica to the
// other service while the store is down, so that daemons do not learn of the
// change.
func (s *schedule) reuseAddress(slot *replicaSlot, d time.Duration) func() {
	return func() {
		r, ok := slot.reserve()
		if !ok {
			return
		}
		defer slot.release()
		defer s.Cluster.Checker.beginDisturbance(subjectStore, false)()
		s.Cluster.store.SetMode(simulator.StoreRefuses)
		r.Crash()
		s.reassignSlot(slot, true)
		s.startReplica(slot)
		time.Sleep(d)
		s.Cluster.store.SetMode(simulator.StoreUp)
	}
}

// injectReplicaFault returns a fault that sets a failure mode of a replica for a
// while.
func (s *schedule) injectReplicaFault(slot *replicaSlot, d time.Duration, setFault func(r *simulator.Replica, on bool)) func() {
	return func() {
		defer s.Cluster.Checker.beginDisturbance(replicaSubject(slot.VM), false)()
		r := slot.currentReplica()
		setFault(r, true)
		time.Sleep(d)
		setFault(r, false)
	}
}
