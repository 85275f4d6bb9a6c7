package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

const (
	// extraRoutePrefix begins the names of the routes that faults add and remove.
	extraRoutePrefix = "extra-"
	maxExtraRoutes   = 4
	// minFaultInterval is the minimum time between the starts of two faults. The
	// seed chooses the maximum between minMaxFaultInterval and maxMaxFaultInterval:
	// guarantees with a time bound are checked only on undisturbed daemons, while
	// the others are best tested with overlapping faults.
	minFaultInterval    = 50 * time.Millisecond
	minMaxFaultInterval = 300 * time.Millisecond
	maxMaxFaultInterval = 2500 * time.Millisecond
	minFaultDuration    = 300 * time.Millisecond
	maxFaultDuration    = 3 * time.Second
	// storeFaultFactor lengthens store faults, so that they can outlast the
	// registrations of replicas and addressReuseDelay.
	storeFaultFactor = 2
	// agentPauseFactor lengthens the pauses of agents, so that they can outlast
	// maxVersionDelay.
	agentPauseFactor = 4
	// minNamingPause is the minimum time for which daemons are paused at a naming. It is
	// longer than the margins at the end of a version's window.
	minNamingPause = 2 * time.Second
	// writeRetryInterval is the time between two attempts of an operator's write.
	writeRetryInterval = 100 * time.Millisecond
	// maxBackupAge and maxRestoreOutage bound the age of the state to which the store is
	// restored and the time for which it is away before. There are at most maxRestores in
	// a run.
	maxBackupAge     = 8 * time.Second
	maxRestoreOutage = 2 * time.Second
	maxRestores      = 2
	// corruptAnswerRatio is the ratio of corrupt answers during a fault of the
	// origin.
	corruptAnswerRatio = 0.1
)

// schedule injects faults at random; Rand determines their kinds, targets, times
// and durations. Fields are set before run.
type schedule struct {
	Cluster *cluster
	Rand    *rand.Rand
	// Until is the time after which no fault is started.
	Until time.Time
	// OnFault is called with the name of each fault when it starts.
	OnFault func(name string)
	// PartCrashes allows the fault in which a part of prompts crashes replicas.
	PartCrashes bool
	// Extended adds extendedFaults, Signals signalFaults, Silences silenceFaults, Evacuations evacuationFaults, and
	// Cold coldFaults.
	Extended    bool
	Signals     bool
	Silences    bool
	Evacuations bool
	Cold        bool

	// restores counts the restores of the store.
	restores int
	running  sync.WaitGroup
}

func (s *schedule) randomEntry() *vm { return s.Cluster.entries[s.Rand.IntN(len(s.Cluster.entries))] }

func (s *schedule) randomAgent() *vm { return s.Cluster.agents[s.Rand.IntN(len(s.Cluster.agents))] }

func (s *schedule) randomSlot() *replicaSlot {
	return s.Cluster.slots[s.Rand.IntN(len(s.Cluster.slots))]
}

// randomServiceSlot returns a slot of a service without engines.
func (s *schedule) randomServiceSlot() *replicaSlot {
	c := s.Cluster
	return c.slots[s.Rand.IntN(len(c.slots)-c.Engines)]
}

func (s *schedule) randomLinkMode() linkMode {
	return []linkMode{linkSlow, linkReset, linkOneWay, linkSilent, linkDown}[s.Rand.IntN(5)]
}

// run starts faults until s.Until and waits for those in progress.
func (s *schedule) run(ctx context.Context) {
	enabled := s.chooseFaults()
	maxInterval := minMaxFaultInterval + randomDuration(s.Rand, maxMaxFaultInterval-minMaxFaultInterval)
	for {
		waiter.Wait(ctx, minFaultInterval+randomDuration(s.Rand, maxInterval-minFaultInterval))
		if ctx.Err() != nil || time.Now().After(s.Until) {
			break
		}
		f := s.chooseFault(enabled)
		s.OnFault(f.name)
		s.running.Add(1)
		go (&injection{schedule: s, inject: f.prepare(s, minFaultDuration+randomDuration(s.Rand, maxFaultDuration-minFaultDuration))}).run()
	}
	s.running.Wait()
}

func randomDuration(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d)))
}

// injection is a fault in progress.
type injection struct {
	schedule *schedule
	inject   func()
}

func (i *injection) run() {
	defer i.schedule.running.Done()
	i.inject()
}

func (v *vm) subject() string {
	if v.Role == roleEntry {
		return entrySubject(v.Index)
	}
	return agentSubject(v.Index)
}

// interrupt records that the process of a VM ends or is paused from now on, and returns the
// function that ends this.
func (s *schedule) interrupt(v *vm, planned bool) (end func()) {
	endVM := s.Cluster.Checker.beginDisturbance(v.subject(), planned)
	endProcess := s.Cluster.Checker.beginDisturbance(processSubject(v.subject()), planned)
	return func() {
		endProcess()
		endVM()
	}
}

// killDaemon returns a fault that kills a daemon with SIGKILL.
func (s *schedule) killDaemon(v *vm) func() {
	return func() {
		defer s.interrupt(v, false)()
		v.Process.signal(syscall.SIGKILL)
		time.Sleep(restartDelay)
	}
}

// killAllDaemons returns a fault that kills all daemons at the same time.
func (s *schedule) killAllDaemons() func() {
	return func() {
		for _, v := range append(append([]*vm{}, s.Cluster.entries...), s.Cluster.agents...) {
			s.running.Add(1)
			go (&injection{schedule: s, inject: s.killDaemon(v)}).run()
		}
	}
}

// stopDaemon returns a fault that stops a daemon with SIGTERM and reports one that
// does not end in time.
func (s *schedule) stopDaemon(v *vm) func() {
	return func() {
		ck := s.Cluster.Checker
		defer s.interrupt(v, true)()
		requested := time.Now()
		if v.Role == roleEntry && v.Process.isRunning() {
			ck.recordStop(v.Index, requested)
		}
		if !v.Process.stop() {
			ck.mu.Lock()
			defer ck.mu.Unlock()
			if ck.undisturbed(requested, true, v.subject()) {
				ck.addViolationLocked("STOP", "%s did not end within %s", v.subject(), stopTimeout)
			}
		}
	}
}

// stopInTurn returns a fault that stops all entry daemons one after the other, without
// waiting for the end of the previous one.
func (s *schedule) stopInTurn(interval time.Duration) func() {
	order := s.Rand.Perm(len(s.Cluster.entries))
	return func() {
		for _, i := range order {
			s.running.Add(1)
			go (&injection{schedule: s, inject: s.stopDaemon(s.Cluster.entries[i])}).run()
			time.Sleep(interval)
		}
	}
}

// pauseDaemon returns a fault that suspends a daemon with SIGSTOP.
func (s *schedule) pauseDaemon(v *vm, d time.Duration) func() {
	return func() {
		defer s.interrupt(v, false)()
		if v.Process.signal(syscall.SIGSTOP) {
			time.Sleep(d)
			v.Process.signal(syscall.SIGCONT)
		}
	}
}

// reloadSettings returns a fault that sends SIGHUP to a daemon.
func (s *schedule) reloadSettings(v *vm) func() {
	return func() {
		defer s.Cluster.Checker.beginDisturbance(v.subject(), true)()
		v.Process.signal(syscall.SIGHUP)
	}
}

// injectStoreFault returns a fault that changes the mode of the store for a while.
func (s *schedule) injectStoreFault(m simulator.StoreMode, d time.Duration) func() {
	return func() {
		defer s.Cluster.Checker.beginDisturbance(subjectStore, false)()
		s.Cluster.store.SetMode(m)
		time.Sleep(storeFaultFactor * d)
		s.Cluster.store.SetMode(simulator.StoreUp)
	}
}

// restoreStore returns a fault in which the store is away for a moment and comes back in an
// earlier state, but not in one from before the start of the callers.
func (s *schedule) restoreStore() func() {
	outage := minFaultDuration + randomDuration(s.Rand, maxRestoreOutage-minFaultDuration)
	age := outage + randomDuration(s.Rand, maxBackupAge-outage)
	mode := []simulator.StoreMode{simulator.StoreRefuses, simulator.StoreHangs}[s.Rand.IntN(2)]
	s.restores++
	if s.restores > maxRestores {
		return func() {}
	}
	return func() {
		store, ck := s.Cluster.store, s.Cluster.Checker
		defer ck.beginDisturbance(subjectStore, false)()
		store.SetMode(mode)
		time.Sleep(outage)
		now := time.Now()
		store.Restore(min(age, now.Sub(ck.Start)-startupWait), now)
		ck.recordRestore(time.Now())
		store.SetMode(simulator.StoreUp)
	}
}

func storeProxy(v *vm) *proxy   { return v.StoreProxy }
func inboundProxy(v *vm) *proxy { return v.InboundProxy }

// disturbLink returns a fault that changes the mode of a VM's link for a while.
func (s *schedule) disturbLink(v *vm, d time.Duration, link func(*vm) *proxy, m linkMode) func() {
	return func() {
		defer s.Cluster.Checker.beginDisturbance(v.subject(), false)()
		link(v).setMode(m)
		time.Sleep(d)
		link(v).setMode(linkUp)
	}
}

// disturbReplicaLink returns a fault that changes the mode of a replica's link for
// a while.
func (s *schedule) disturbReplicaLink(slot *replicaSlot, d time.Duration, m linkMode) func() {
	return func() {
		defer s.Cluster.Checker.beginDisturbance(linkSubject(slot.VM), false)()
		slot.Proxy.setMode(m)
		time.Sleep(d)
		slot.Proxy.setMode(linkUp)
	}
}

// changeConfiguration returns a fault that adds an extra route or removes the
// oldest.
func (s *schedule) changeConfiguration(add bool) func() {
	return func() { s.Cluster.changeConfiguration(add, s.writeWithRetry) }
}

// changeVersion returns a fault that writes the next model version.
func (s *schedule) changeVersion() func() {
	return func() {
		s.writeWithRetry(func(now time.Time) bool { return s.Cluster.writeNextVersion(now) })
	}
}

// nameVersionInPause returns a fault that writes the next model version while some of the
// entry daemons and an agent, whose engine keeps its version, are paused.
func (s *schedule) nameVersionInPause(d time.Duration) func() {
	order, n, agent := s.Rand.Perm(len(s.Cluster.entries)), 1+s.Rand.IntN(len(s.Cluster.entries)), s.randomAgent()
	return func() {
		pauses := []func(){s.pauseDaemon(agent, agentPauseFactor*maxFaultDuration)}
		for _, i := range order[:n] {
			pauses = append(pauses, s.pauseDaemon(s.Cluster.entries[i], minNamingPause+d/2))
		}
		for _, p := range pauses {
			s.running.Add(1)
			go (&injection{schedule: s, inject: p}).run()
		}
		time.Sleep(minFaultDuration)
		s.changeVersion()()
	}
}

// writeWithRetry repeats a write of the operator until the store accepts it.
func (s *schedule) writeWithRetry(write func(now time.Time) bool) {
	s.Cluster.operatorMu.Lock()
	defer s.Cluster.operatorMu.Unlock()
	for !write(time.Now()) {
		time.Sleep(writeRetryInterval)
	}
}

// corruptOrigin returns a fault that corrupts some answers of the origin.
func (s *schedule) corruptOrigin(d time.Duration) func() {
	return func() {
		s.Cluster.origin.SetCorruptShare(corruptAnswerRatio)
		time.Sleep(d)
		s.Cluster.origin.SetCorruptShare(0)
	}
}

// corruptStagedWeights returns a fault that corrupts a staged chunk of an engine.
func (s *schedule) corruptStagedWeights() func() {
	slot := s.Cluster.slots[len(s.Cluster.slots)-1-s.Rand.IntN(s.Cluster.Engines)]
	return func() { slot.Engine.CorruptStaged(time.Now()) }
}
