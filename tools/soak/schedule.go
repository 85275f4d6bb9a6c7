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
	// extraPrefix begins the names of the routes that come and go.
	extraPrefix = "extra-"
	maxExtras   = 4
	// minGap is the least time between the beginnings of two faults. The seed
	// decides the longest, between leastMaxGap and mostMaxGap: guarantees with a
	// time bound need calm daemons, the others overlapping faults.
	minGap      = 50 * time.Millisecond
	leastMaxGap = 300 * time.Millisecond
	mostMaxGap  = 2500 * time.Millisecond
	minFault    = 300 * time.Millisecond
	maxFault    = 3 * time.Second
	// storeFactor makes faults of the store longer than the registrations of
	// replicas and the time after which an address is used again.
	storeFactor = 2
	// agentFactor makes pauses of an agent longer than the time in which a
	// version has to be in force.
	agentFactor = 4
	// retryInterval is the time between two tries of the operator to write.
	retryInterval = 100 * time.Millisecond
	// reuseTime is how long an address is not used after a replica's end.
	reuseTime = 2 * time.Second
	// corruptShare is the share of answers of the origin that are corrupt.
	corruptShare = 0.1
)

// schedule injects faults in an order that the seed decides. Fields are set
// before run.
type schedule struct {
	Cluster *cluster
	Rand    *rand.Rand
	// Until is when the last fault begins.
	Until time.Time
	// Note is called with each fault.
	Note func(name string)

	running sync.WaitGroup
}

// fault is one kind of fault. It is prepared with the random numbers of the
// schedule and returns what runs until the fault is over.
type fault struct {
	name    string
	weight  int
	prepare func(s *schedule, d time.Duration) func()
}

// faults lists the kinds of faults.
var faults = []fault{
	{"kill an entry daemon", 2, func(s *schedule, _ time.Duration) func() { return s.killing(s.entry()) }},
	{"stop an entry daemon", 3, func(s *schedule, _ time.Duration) func() { return s.stopping(s.entry()) }},
	{"pause an entry daemon", 2, func(s *schedule, d time.Duration) func() { return s.pausing(s.entry(), d) }},
	{"kill an agent", 2, func(s *schedule, _ time.Duration) func() { return s.killing(s.agent()) }},
	{"pause an agent", 2, func(s *schedule, d time.Duration) func() { return s.pausing(s.agent(), agentFactor*d) }},
	{"kill all daemons", 1, func(s *schedule, _ time.Duration) func() { return s.killingAll() }},
	{"signal changed settings", 1, func(s *schedule, _ time.Duration) func() { return s.reloading(s.entry()) }},
	{"crash a replica", 3, func(s *schedule, d time.Duration) func() { return s.crashing(s.place(), d) }},
	{"replace a replica", 3, func(s *schedule, d time.Duration) func() { return s.replacing(s.place(), d) }},
	{"lose the answers of a replica", 2, func(s *schedule, d time.Duration) func() {
		return s.failing(s.place(), d, (*simulator.Replica).DropResponses)
	}},
	{"truncate the answers of a replica", 2, func(s *schedule, d time.Duration) func() {
		return s.failing(s.place(), d, (*simulator.Replica).TruncateResponses)
	}},
	{"store refuses", 2, func(s *schedule, d time.Duration) func() { return s.storing(simulator.StoreRefuses, d) }},
	{"store hangs", 2, func(s *schedule, d time.Duration) func() { return s.storing(simulator.StoreHangs, d) }},
	{"store is slow", 1, func(s *schedule, d time.Duration) func() { return s.storing(simulator.StoreSlow, d) }},
	{"store loses answers", 2, func(s *schedule, d time.Duration) func() { return s.storing(simulator.StoreDropsResponses, d) }},
	{"store drops its history", 1, func(s *schedule, _ time.Duration) func() { return s.Cluster.store.Compact }},
	{"cut an entry daemon from the store", 2, func(s *schedule, d time.Duration) func() { return s.disturbing(s.entry(), d, storeLink, s.mode()) }},
	{"cut an agent from the store", 1, func(s *schedule, d time.Duration) func() { return s.disturbing(s.agent(), d, storeLink, s.mode()) }},
	{"disturb the link of callers", 3, func(s *schedule, d time.Duration) func() { return s.disturbing(s.entry(), d, callerLink, s.mode()) }},
	{"disturb the link of a replica", 3, func(s *schedule, d time.Duration) func() { return s.disturbingReplica(s.place(), d, s.mode()) }},
	{"reuse an address while the store is down", 2, func(s *schedule, d time.Duration) func() { return s.reusing(s.plainPlace(), d) }},
	{"change the configuration", 4, func(s *schedule, _ time.Duration) func() { return s.configuring(s.Rand.IntN(2) == 0) }},
	{"name a version", 3, func(s *schedule, _ time.Duration) func() { return s.naming() }},
	{"corrupt answers of the origin", 1, func(s *schedule, d time.Duration) func() { return s.corrupting(d) }},
	{"corrupt staged weights", 1, func(s *schedule, _ time.Duration) func() { return s.spoiling() }},
}

func (s *schedule) entry() *vm { return s.Cluster.entries[s.Rand.IntN(len(s.Cluster.entries))] }

func (s *schedule) agent() *vm { return s.Cluster.agents[s.Rand.IntN(len(s.Cluster.agents))] }

func (s *schedule) place() *place { return s.Cluster.places[s.Rand.IntN(len(s.Cluster.places))] }

// plainPlace returns a place of a plain service.
func (s *schedule) plainPlace() *place {
	c := s.Cluster
	return c.places[s.Rand.IntN(len(c.places)-c.Engines)]
}

func (s *schedule) mode() linkMode {
	return []linkMode{linkSlow, linkResets, linkOneWay, linkSilent, linkDown}[s.Rand.IntN(5)]
}

// run begins faults until the end and waits for those in progress.
func (s *schedule) run(ctx context.Context) {
	kinds := s.chooseKinds()
	maxGap := leastMaxGap + rand64(s.Rand, mostMaxGap-leastMaxGap)
	for {
		waiter.Wait(ctx, minGap+rand64(s.Rand, maxGap-minGap))
		if ctx.Err() != nil || time.Now().After(s.Until) {
			break
		}
		f := s.pick(kinds)
		s.Note(f.name)
		s.running.Add(1)
		go (&injection{schedule: s, inject: f.prepare(s, minFault+rand64(s.Rand, maxFault-minFault))}).run()
	}
	s.running.Wait()
}

func rand64(r *rand.Rand, d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }

// chooseKinds returns the kinds of faults of this seed. Leaving some out shows
// faults that others would hide, and leaves calm what a time bound depends on.
func (s *schedule) chooseKinds() []fault {
	var out []fault
	for _, f := range faults {
		if s.Rand.IntN(2) == 0 {
			out = append(out, f)
		}
	}
	if len(out) == 0 {
		return faults
	}
	return out
}

// pick chooses a kind by its weight.
func (s *schedule) pick(kinds []fault) fault {
	total := 0
	for _, f := range kinds {
		total += f.weight
	}
	n := s.Rand.IntN(total)
	for _, f := range kinds {
		if n -= f.weight; n < 0 {
			return f
		}
	}
	return kinds[0]
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

func (s *schedule) killing(v *vm) func() {
	return func() {
		defer s.Cluster.Ledger.disturb(v.subject(), false)()
		v.Process.signal(syscall.SIGKILL)
		time.Sleep(restartPause)
	}
}

func (s *schedule) killingAll() func() {
	return func() {
		for _, v := range append(append([]*vm{}, s.Cluster.entries...), s.Cluster.agents...) {
			s.running.Add(1)
			go (&injection{schedule: s, inject: s.killing(v)}).run()
		}
	}
}

// stopping asks a process to end. One that does not end in time is reported.
func (s *schedule) stopping(v *vm) func() {
	return func() {
		l := s.Cluster.Ledger
		defer l.disturb(v.subject(), true)()
		before := time.Now()
		if !v.Process.stop() {
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.calm(before, true, v.subject()) {
				l.report("STOP", "%s did not end within %s", v.subject(), stopTime)
			}
		}
	}
}

func (s *schedule) pausing(v *vm, d time.Duration) func() {
	return func() {
		defer s.Cluster.Ledger.disturb(v.subject(), false)()
		if v.Process.signal(syscall.SIGSTOP) {
			time.Sleep(d)
			v.Process.signal(syscall.SIGCONT)
		}
	}
}

func (s *schedule) reloading(v *vm) func() {
	return func() {
		defer s.Cluster.Ledger.disturb(v.subject(), true)()
		v.Process.signal(syscall.SIGHUP)
	}
}

// take reserves a place for one fault that replaces its replica.
func (p *place) take() (*simulator.Replica, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy {
		return nil, false
	}
	p.busy = true
	return p.replica, true
}

func (p *place) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
}

// crashing ends a replica at once and starts another one at its address, of the
// other plain service at times.
func (s *schedule) crashing(p *place, d time.Duration) func() {
	other := s.Rand.IntN(2) == 0
	return func() {
		r, ok := p.take()
		if !ok {
			return
		}
		defer p.release()
		defer s.Cluster.Ledger.disturb(subjectReplicas, false)()
		r.Crash()
		time.Sleep(d)
		s.move(p, other)
		s.restart(p)
	}
}

func (s *schedule) restart(p *place) {
	if err := s.Cluster.startReplica(p); err != nil {
		s.Cluster.Ledger.violate("SOAK", "replica of %s not started: %v", p.VM, err)
	}
}

// replacing empties a replica and starts another one at its address, of the
// other plain service at times.
func (s *schedule) replacing(p *place, d time.Duration) func() {
	notice, other := s.Rand.IntN(3) > 0, s.Rand.IntN(2) == 0
	return func() {
		r, ok := p.take()
		if !ok {
			return
		}
		defer p.release()
		r.Shutdown(notice, d)
		s.move(p, other)
		s.restart(p)
	}
}

// move gives a place to the other plain service, once its address may be used
// again.
func (s *schedule) move(p *place, other bool) {
	if p.Engine == nil && other && s.Cluster.reassign(p) {
		time.Sleep(reuseTime)
	}
}

// reassign gives a place to the other plain service unless that leaves its own
// with too few replicas.
func (c *cluster) reassign(p *place) bool {
	other := map[string]string{routeOrder.Service: routeLook.Service, routeLook.Service: routeOrder.Service}[p.Service]
	n := 0
	for _, q := range c.places {
		q.mu.Lock()
		if q.Service == p.Service {
			n++
		}
		q.mu.Unlock()
	}
	if n < 3 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Service = other
	return true
}

// reusing gives the address of a replica that crashed to the other service while
// daemons cannot hear of either.
func (s *schedule) reusing(p *place, d time.Duration) func() {
	return func() {
		r, ok := p.take()
		if !ok {
			return
		}
		defer p.release()
		defer s.Cluster.Ledger.disturb(subjectReplicas, false)()
		defer s.Cluster.Ledger.disturb(subjectStore, false)()
		s.Cluster.store.SetMode(simulator.StoreRefuses)
		r.Crash()
		s.move(p, true)
		s.restart(p)
		time.Sleep(d)
		s.Cluster.store.SetMode(simulator.StoreUp)
	}
}

func (s *schedule) failing(p *place, d time.Duration, set func(r *simulator.Replica, on bool)) func() {
	return func() {
		defer s.Cluster.Ledger.disturb(subjectReplicas, false)()
		p.mu.Lock()
		r := p.replica
		p.mu.Unlock()
		set(r, true)
		time.Sleep(d)
		set(r, false)
	}
}

func (s *schedule) storing(m simulator.StoreMode, d time.Duration) func() {
	return func() {
		defer s.Cluster.Ledger.disturb(subjectStore, false)()
		s.Cluster.store.SetMode(m)
		time.Sleep(storeFactor * d)
		s.Cluster.store.SetMode(simulator.StoreUp)
	}
}

func storeLink(v *vm) *proxy  { return v.Store }
func callerLink(v *vm) *proxy { return v.Link }

func (s *schedule) disturbing(v *vm, d time.Duration, link func(*vm) *proxy, m linkMode) func() {
	return func() {
		defer s.Cluster.Ledger.disturb(v.subject(), false)()
		link(v).setMode(m)
		time.Sleep(d)
		link(v).setMode(linkUp)
	}
}

func (s *schedule) disturbingReplica(p *place, d time.Duration, m linkMode) func() {
	return func() {
		defer s.Cluster.Ledger.disturb(subjectReplicas, false)()
		p.Link.setMode(m)
		time.Sleep(d)
		p.Link.setMode(linkUp)
	}
}

// configuring adds a route or removes the oldest.
func (s *schedule) configuring(add bool) func() {
	return func() { s.Cluster.changeConfiguration(add, s.write) }
}

func (s *schedule) naming() func() {
	return func() {
		s.write(func(now time.Time) bool { return s.Cluster.nameVersion(now) })
	}
}

// write tries until the store takes a write of the operator.
func (s *schedule) write(try func(now time.Time) bool) {
	s.Cluster.operator.Lock()
	defer s.Cluster.operator.Unlock()
	for !try(time.Now()) {
		time.Sleep(retryInterval)
	}
}

func (s *schedule) corrupting(d time.Duration) func() {
	return func() {
		s.Cluster.origin.SetCorruptShare(corruptShare)
		time.Sleep(d)
		s.Cluster.origin.SetCorruptShare(0)
	}
}

func (s *schedule) spoiling() func() {
	p := s.Cluster.places[len(s.Cluster.places)-1-s.Rand.IntN(s.Cluster.Engines)]
	return func() { p.Engine.CorruptStaged(time.Now()) }
}
