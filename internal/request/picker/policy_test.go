package picker

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	slots       = 4
	serviceTime = 40 * time.Millisecond
	// slowFactor is the service time of the slow server as a multiple of the normal
	// one.
	slowFactor = 4
	// failureDelay is the time until an attempt on the failing server fails.
	failureDelay   = time.Millisecond
	reportInterval = time.Second
	serverCount    = 16
	// arrivalsPerSecond is 70% of the capacity of the 14 normal servers and the
	// slow one.
	arrivalsPerSecond = 0.7 * (14 + 1.0/slowFactor) * slots * float64(time.Second) / float64(serviceTime)
	simulatedTime     = 15 * time.Second
)

// event is a callback scheduled at a virtual time.
type event struct {
	at time.Time
	do func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// engine simulates a backend server with a fixed number of slots and a queue.
type engine struct {
	service time.Duration
	running int
	queue   []*job
}

// job is a request with its current attempt.
type job struct {
	arrived time.Time
	choice  Choice
	tried   []*Server
}

// simulation runs engines in virtual time and routes jobs to them with a picker.
type simulation struct {
	events  events
	picker  *Picker
	random  *rand.Rand
	engines map[string]*engine
	delays  []time.Duration
}

// after schedules a callback.
func (sim *simulation) after(now time.Time, d time.Duration, do func(time.Time)) {
	heap.Push(&sim.events, event{now.Add(d), do})
}

// arrive starts a job and schedules the next one.
func (sim *simulation) arrive(now time.Time) {
	if now.Sub(start) < simulatedTime {
		sim.after(now, time.Duration(sim.random.ExpFloat64()/arrivalsPerSecond*float64(time.Second)), sim.arrive)
		sim.pick(&job{arrived: now}, now)
	}
}

// pick sends a job to a server, or drops it if none is left.
func (sim *simulation) pick(j *job, now time.Time) {
	c, ok := sim.picker.Pick(&Query{Target: model, Exclude: j.tried}, now)
	if !ok {
		return
	}
	j.choice = c
	j.tried = append(j.tried, c.Server)
	e := sim.engines[c.VM]
	if e == nil {
		sim.after(now, failureDelay, func(now time.Time) {
			c.Done(false, now)
			sim.pick(j, now)
		})
		return
	}
	e.queue = append(e.queue, j)
	sim.serve(e, now)
}

// serve starts queued jobs in the free slots of an engine.
func (sim *simulation) serve(e *engine, now time.Time) {
	for e.running < slots && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		sim.after(now, time.Duration(sim.random.ExpFloat64()*float64(e.service)), func(now time.Time) {
			e.running--
			sim.delays = append(sim.delays, now.Sub(j.arrived))
			j.choice.FirstToken(now.Sub(j.arrived), now)
			j.choice.Done(true, now)
			sim.serve(e, now)
		})
	}
}

// report samples the load of all servers and delivers it one interval later.
func (sim *simulation) report(now time.Time) {
	if now.Sub(start) > simulatedTime {
		return
	}
	for _, s := range sim.picker.Servers(model) {
		load := &messenger.Load{Rate: slots * float64(time.Second) / float64(serviceTime), Sequence: uint64(now.UnixNano())}
		if e := sim.engines[s.VM]; e != nil {
			load.Queued = uint32(len(e.queue))
			load.Rate = slots * float64(time.Second) / float64(e.service)
		}
		sim.after(now, reportInterval, func(now time.Time) { s.Report(load, now) })
	}
	sim.after(now, reportInterval, sim.report)
}

// p99 simulates one policy and returns the 99th percentile of the delays.
func p99(policy Policy, seed uint64) time.Duration {
	source := rand.NewPCG(seed, seed)
	sim := &simulation{
		picker:  &Picker{VM: "entry", Region: "r0", FailureDomain: "d0", Policy: policy, Random: source.Uint64},
		random:  rand.New(rand.NewPCG(seed, 1)),
		engines: map[string]*engine{},
	}
	all := near(serverCount)
	// The last server has no engine, so its attempts fail after failureDelay.
	for i, c := range all[:serverCount-1] {
		c.Load.Rate = 0
		sim.engines[c.Replica.GetVm()] = &engine{service: serviceTime}
		if i == 0 {
			sim.engines[c.Replica.GetVm()].service = slowFactor * serviceTime
		}
	}
	sim.picker.Update(all, start)
	sim.arrive(start)
	sim.report(start)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		e.do(e.at)
	}
	slices.Sort(sim.delays)
	return sim.delays[len(sim.delays)*99/100]
}

// TestFirstTokenAgainstBaselines compares the tail latency of TwoChoices with the
// baselines. It guards against a policy that sends all requests to the server
// with the lowest outdated report, overloads a slow server, or keeps sending to a
// server that fails fast.
func TestFirstTokenAgainstBaselines(t *testing.T) {
	baselines := []struct {
		name   string
		policy Policy
	}{
		{name: "random", policy: Random{}},
		{name: "round-robin", policy: RoundRobin{}},
		{name: "least-reported", policy: LeastReported{}},
	}
	for seed := uint64(1); seed <= 2; seed++ {
		p99TwoChoices := p99(TwoChoices{}, seed)
		for _, b := range baselines {
			p99Baseline := p99(b.policy, seed)
			t.Logf("seed %d: p99 %v, %s %v", seed, p99TwoChoices, b.name, p99Baseline)
			qt.Check(t, p99TwoChoices < p99Baseline, qt.IsTrue, qt.Commentf("seed %d: %s", seed, b.name))
		}
	}
}
