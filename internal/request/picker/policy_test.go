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
	places      = 4
	serviceTime = 40 * time.Millisecond
	slowness    = 4
	failureTime = time.Millisecond
	reportEvery = time.Second
	servers     = 16
	// arrivalsPerSecond is 70% of what the 14 normal servers and the slow one
	// can serve.
	arrivalsPerSecond = 0.7 * (14 + 1.0/slowness) * places * float64(time.Second) / float64(serviceTime)
	simulated         = 15 * time.Second
)

// event is something that happens at a virtual time.
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

// engine is a backend server with a few places and a queue.
type engine struct {
	service time.Duration
	running int
	queue   []*job
}

type job struct {
	arrived time.Time
	choice  Choice
	tried   []*Server
}

// world drives a picker with fake engines in virtual time.
type world struct {
	events  events
	picker  *Picker
	random  *rand.Rand
	engines map[string]*engine
	delays  []time.Duration
}

func (w *world) after(now time.Time, d time.Duration, do func(time.Time)) {
	heap.Push(&w.events, event{now.Add(d), do})
}

func (w *world) arrive(now time.Time) {
	if now.Sub(start) < simulated {
		w.after(now, time.Duration(w.random.ExpFloat64()/arrivalsPerSecond*float64(time.Second)), w.arrive)
		w.pick(&job{arrived: now}, now)
	}
}

func (w *world) pick(j *job, now time.Time) {
	c, ok := w.picker.Pick(&Query{Target: model, Exclude: j.tried}, now)
	if !ok {
		return
	}
	j.choice = c
	j.tried = append(j.tried, c.Server)
	e := w.engines[c.VM]
	if e == nil {
		w.after(now, failureTime, func(now time.Time) {
			c.Done(false, now)
			w.pick(j, now)
		})
		return
	}
	e.queue = append(e.queue, j)
	w.serve(e, now)
}

func (w *world) serve(e *engine, now time.Time) {
	for e.running < places && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		w.after(now, time.Duration(w.random.ExpFloat64()*float64(e.service)), func(now time.Time) {
			e.running--
			w.delays = append(w.delays, now.Sub(j.arrived))
			j.choice.FirstToken(now.Sub(j.arrived), now)
			j.choice.Done(true, now)
			w.serve(e, now)
		})
	}
}

// report takes the loads of now and delivers them a lag later.
func (w *world) report(now time.Time) {
	if now.Sub(start) > simulated {
		return
	}
	for _, s := range w.picker.Servers(model) {
		load := &messenger.Load{Rate: places * float64(time.Second) / float64(serviceTime), Sequence: uint64(now.UnixNano())}
		if e := w.engines[s.VM]; e != nil {
			load.Queued = uint32(len(e.queue))
			load.Rate = places * float64(time.Second) / float64(e.service)
		}
		w.after(now, reportEvery, func(now time.Time) { s.Report(load, now) })
	}
	w.after(now, reportEvery, w.report)
}

// p99 runs one policy and returns the 99th percentile of the delays.
func p99(policy Policy, seed uint64) time.Duration {
	source := rand.NewPCG(seed, seed)
	w := &world{
		picker:  &Picker{VM: "entry", Region: "r0", FailureDomain: "d0", Policy: policy, Random: source.Uint64},
		random:  rand.New(rand.NewPCG(seed, 1)),
		engines: map[string]*engine{},
	}
	all := near(servers)
	// The last server has no engine: it fails fast.
	for i, c := range all[:servers-1] {
		c.Load.Rate = 0
		w.engines[c.Replica.GetVm()] = &engine{service: serviceTime}
		if i == 0 {
			w.engines[c.Replica.GetVm()].service = slowness * serviceTime
		}
	}
	w.picker.Update(all, start)
	w.arrive(start)
	w.report(start)
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		e.do(e.at)
	}
	slices.Sort(w.delays)
	return w.delays[len(w.delays)*99/100]
}

// TestFirstTokenAgainstBaselines guards against a policy that herds on lagging
// reports, overloads a slow server or feeds a server that fails fast.
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
		ours := p99(TwoChoices{}, seed)
		for _, b := range baselines {
			theirs := p99(b.policy, seed)
			t.Logf("seed %d: p99 %v, %s %v", seed, ours, b.name, theirs)
			qt.Check(t, ours < theirs, qt.IsTrue, qt.Commentf("seed %d: %s", seed, b.name))
		}
	}
}
