package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// modelEngine runs requests in passes like the engines of the platform: a pass processes the
// prompts of the requests that it admits, and then generates tokens of all that run.
type modelEngine struct {
	id     string
	domain string
	slots  int
	engine Engine
	// slow multiplies the time of a pass, if set.
	slow  func(now time.Time) float64
	fleet *fleet

	waiting []*modelRequest
	running []*modelRequest
	// busy is set while a pass runs or is due.
	busy bool
	// registeredSlots is the number of slots in its registration.
	registeredSlots int
	// gone is set for an engine that has crashed, and listed until the daemons know.
	gone, listed bool
	// loadsUntil is until when it loads weights, and no passes take place.
	loadsUntil time.Time
}

// modelRequest is a request with a number of events to generate.
type modelRequest struct {
	caller         *caller
	daemon         *Placer
	prompt, events int
}

// submit reports whether the engine has taken the request.
func (e *modelEngine) submit(r *modelRequest) bool {
	if e.gone {
		return false
	}
	e.waiting = append(e.waiting, r)
	if !e.busy {
		e.busy = true
		e.fleet.after(0, e.beginPass)
	}
	return true
}

// beginPass begins a pass if there is work.
func (e *modelEngine) beginPass() {
	if left := e.loadsUntil.Sub(e.fleet.now); left > 0 {
		e.fleet.after(left, e.beginPass)
		return
	}
	e.running, e.waiting = e.dropCanceled(e.running), e.dropCanceled(e.waiting)
	prefill := time.Duration(0)
	for len(e.waiting) > 0 && len(e.running) < e.slots {
		r := e.waiting[0]
		e.waiting, e.running = e.waiting[1:], append(e.running, r)
		prefill += e.engine.prefillTime(r.prompt)
	}
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	took := prefill + e.engine.admissionInterval(float64(len(e.running)))
	if e.slow != nil {
		took = time.Duration(e.slow(e.fleet.now) * float64(took))
	}
	e.fleet.after(took, e.endPass)
}

// endPass generates an event of each request of the pass.
func (e *modelEngine) endPass() {
	if e.gone {
		e.busy = false
		return
	}
	var left []*modelRequest
	for _, r := range e.running {
		r.events--
		last := r.events <= 0
		e.fleet.after(0, func() { r.caller.receive(last) })
		if !last {
			left = append(left, r)
		}
	}
	e.running = left
	e.fleet.after(0, e.beginPass)
}

// dropCanceled drops the requests whose daemon has gone.
func (e *modelEngine) dropCanceled(list []*modelRequest) []*modelRequest {
	var out []*modelRequest
	for _, r := range list {
		if e.fleet.hasLeft(r.daemon) {
			e.fleet.after(0, r.caller.lose)
			continue
		}
		out = append(out, r)
	}
	return out
}

// kindOfRequest is what the callers of one route ask for.
type kindOfRequest struct {
	name           string
	rank           int
	share          float64
	prompt, events int
	target         time.Duration
}

// fleet is a service with its engines, and the daemons before it.
type fleet struct {
	engines []*modelEngine
	daemons []*Placer
	kinds   []kindOfRequest
	// weights are the parts of the load that arrive at the daemons.
	weights []float64
	// reports is false if the daemons receive nothing from each other, and loss is the part of
	// the reports that are lost.
	reports bool
	loss    float64
	// events is false if the daemons don't watch the events of streams.
	events bool

	faults []fault
	// burst doubles the rate of one kind, if set.
	burst *rankBurst

	schedule
	began time.Time
	// arrivals decides when requests of which kind arrive at which daemons, and rng the choices of the
	// daemons and the returns. Plays with the same seed have the same arrivals, whatever the daemons do.
	arrivals, rng *rand.Rand
	// open is the number of requests that have not ended, and 1 while more arrive.
	open   int
	queued []*queuedCaller
	done   []result
	// silent are the daemons that are paused or have been killed, since when, by VM.
	silent map[string]time.Time
	// known are the failure domains of which daemons know that they have live daemons.
	known map[*Placer][]string
	// evacuated is the failure domain that is evacuated.
	evacuated string
	// refusals are the first refusals of callers.
	refusals []modelRefusal
}

// result is what the caller of a request got.
type result struct {
	kind    int
	domain  string
	arrived time.Duration
	inTime  bool
	late    bool
	refused bool
}

func newFleet(engines, daemons int, kinds []kindOfRequest) *fleet {
	return newFleetOfDomains([]string{"a"}, engines, daemons, kinds)
}

// newFleetOfDomains returns a fleet whose engines and daemons are in failure domains in turn.
func newFleetOfDomains(domains []string, engines, daemons int, kinds []kindOfRequest) *fleet {
	f := &fleet{kinds: kinds, reports: true, events: true, began: modelStart, schedule: schedule{now: modelStart}, silent: map[string]time.Time{}}
	f.seed(2)
	for i := range engines {
		f.engines = append(f.engines, &modelEngine{
			id: fmt.Sprintf("r%d", i), domain: domains[i%len(domains)], slots: 12, registeredSlots: 12, listed: true, fleet: f,
			engine: Engine{PrefillTokensPerSecond: 30600, Step: 6730 * time.Microsecond, PerRequest: 22 * time.Microsecond, Stride: 7},
		})
	}
	for i := range daemons {
		f.daemons = append(f.daemons, f.newDaemon(fmt.Sprintf("vm%d", i), domains[i%len(domains)]))
		f.weights = append(f.weights, 1)
	}
	return f
}

func (f *fleet) uniform() float64 {
	return f.rng.Float64()
}

func (f *fleet) newDaemon(vm, domain string) *Placer {
	return &Placer{VM: vm, FailureDomain: domain, Random: f.uniform}
}

func (f *fleet) engine(id string) *modelEngine {
	for _, e := range f.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// pickKind returns the kind of the next request.
func (f *fleet) pickKind() int {
	sum, extra := 1.0, 0.0
	if b := f.burst; b.active(f.since()) {
		extra = f.kinds[b.kind].share
		sum += extra
	}
	left := f.arrivals.Float64() * sum
	for i, k := range f.kinds {
		if left -= k.share; left < 0 {
			return i
		}
	}
	if extra > 0 {
		return f.burst.kind
	}
	return len(f.kinds) - 1
}

// share returns the parts of the requests of a kind, or of all if it is negative, that arrived
// in a span and were answered in time and late.
func (f *fleet) share(kind int, from, to time.Duration) (inTime, late float64) {
	n := 0.0
	for _, r := range f.done {
		if (kind >= 0 && r.kind != kind) || r.arrived < from || r.arrived >= to {
			continue
		}
		n++
		if r.inTime {
			inTime++
		}
		if r.late {
			late++
		}
	}
	return inTime / n, late / n
}

var (
	oneKind = []kindOfRequest{{"only", 0, 1, 900, 18, 400 * time.Millisecond}}
	// rankedKinds are three routes of which the first rank needs most of a replica.
	rankedKinds = []kindOfRequest{
		{"first", 0, 0.33, 1290, 21, 400 * time.Millisecond},
		{"second", 1, 0.39, 787, 21, 400 * time.Millisecond},
		{"third", 2, 0.28, 607, 10, 800 * time.Millisecond},
	}
)

// capacity is about the number of requests per second of oneKind that an engine completes.
const capacity = 10.0

func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// TestLastingOverload guards against a rate of answers in time that falls when more is asked than
// the replicas can answer: callers that were refused return, and their late answers take the
// places of new requests, or daemons place more on a replica than it has slots.
func TestLastingOverload(t *testing.T) {
	tests := []struct {
		name    string
		weights []float64
		reports bool
	}{
		{"equal demand", []float64{1, 1, 1, 1, 1, 1, 1}, true},
		{"uneven demand", []float64{3, 2, 1, 1, 1, 1, 0.5}, true},
		{"no reports", []float64{1, 1, 1, 1, 1, 1, 1}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			rate := func(load float64) float64 {
				var inTime float64
				f := newFleet(9, len(tc.weights), oneKind)
				f.weights, f.reports = tc.weights, tc.reports
				f.play(constant(load*capacity*9), 16*time.Second)
				share, _ := f.share(-1, 6*time.Second, 16*time.Second)
				inTime = share * load
				return inTime
			}
			below, above := rate(0.85), rate(1.4)
			t.Logf("answers in time, of the capacity: %.2f below it, %.2f above it", below, above)
			qt.Check(t, above >= 0.9*below, qt.IsTrue)
		})
	}
}

// lateWorth is the part of the worth of an answer in time that a late one has.
const lateWorth = 0.25

// TestRanksUnderOverload guards against a first rank that is served worst because it needs more of
// a replica than the others or may wait for a shorter time, and against a last rank without
// answers.
func TestRanksUnderOverload(t *testing.T) {
	const plays = 4
	worth := make([]float64, len(rankedKinds))
	for play := range plays {
		f := newFleet(9, 7, rankedKinds)
		f.seed(play)
		f.play(constant(1.35*capacity*9), 24*time.Second)
		for i := range f.kinds {
			inTime, late := f.share(i, 8*time.Second, 24*time.Second)
			worth[i] += (inTime + lateWorth*late) / plays
		}
	}
	t.Logf("worth of the answers, of that asked for, by rank: %.2f", worth)
	qt.Check(t, worth[0] >= worth[1] && worth[1] >= worth[2], qt.IsTrue)
	qt.Check(t, worth[2] >= 0.3, qt.IsTrue)
}

// TestEndOfBurst guards against a service that stays late after a burst, because callers that were
// refused in it return for seconds. Two seconds after it, the service answers as it does without
// a burst.
func TestEndOfBurst(t *testing.T) {
	const plays = 8
	usual := func(time.Duration) float64 { return 0.8 * capacity * 9 }
	burst := func(at time.Duration) float64 {
		if at >= 6*time.Second && at < 10*time.Second {
			return 1.5 * capacity * 9
		}
		return usual(at)
	}
	inTime := func(load func(time.Duration) float64) (mean float64) {
		for play := range plays {
			f := newFleet(9, 7, oneKind)
			f.seed(play)
			f.play(load, 16*time.Second)
			share, _ := f.share(-1, 12*time.Second, 14*time.Second)
			mean += share / plays
		}
		return mean
	}
	without, after := inTime(usual), inTime(burst)
	t.Logf("in time: %.2f without a burst, %.2f two seconds after it", without, after)
	qt.Check(t, after >= 0.9*without, qt.IsTrue)
}

// TestSlowReplicas guards against as many requests for replicas that work several times as long for
// some hundred milliseconds as for the others. The daemons learn it from the pauses of streams;
// without them, more answers are late.
func TestSlowReplicas(t *testing.T) {
	const plays = 8
	late := func(events bool) (mean float64) {
		for play := range plays {
			f := newFleet(10, 5, oneKind)
			f.seed(play)
			f.events = events
			// Two of ten replicas are slow at a time, others every 600 ms.
			for i, e := range f.engines {
				e.slow = func(now time.Time) float64 {
					if (int(now.Sub(f.began)/(600*time.Millisecond))+i)%5 == 0 {
						return 2.5
					}
					return 1
				}
			}
			f.play(constant(0.6*capacity*10), 16*time.Second)
			_, share := f.share(-1, 3*time.Second, 16*time.Second)
			mean += share / plays
		}
		return mean
	}
	with, without := late(true), late(false)
	t.Logf("late: %.3f, without the pauses of streams %.3f", with, without)
	qt.Check(t, with <= 0.7*without, qt.IsTrue)
}
