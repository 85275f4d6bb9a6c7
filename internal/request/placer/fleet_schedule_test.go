package placer

import (
	"container/heap"
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// playSeed selects the arrivals of requests and the order of simultaneous events of all plays. Another
// value gives another sample of the same loads.
var playSeed = flag.Uint64("seed", 1, "seed of the plays of the fleet model")

// modelStart is the time at which plays begin.
var modelStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// schedule runs the events of a play one at a time in virtual time. Simultaneous events run in a
// random order, which a seed decides.
type schedule struct {
	now    time.Time
	order  *rand.Rand
	events eventHeap
}

// scheduled is an event. Key orders simultaneous ones.
type scheduled struct {
	at  time.Time
	key uint64
	do  func()
}

// eventHeap implements heap.Interface.
type eventHeap []scheduled

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(scheduled)) }

func (h eventHeap) Less(i, j int) bool {
	if c := h[i].at.Compare(h[j].at); c != 0 {
		return c < 0
	}
	return h[i].key < h[j].key
}

func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// after calls a function after a time.
func (s *schedule) after(wait time.Duration, do func()) {
	heap.Push(&s.events, scheduled{at: s.now.Add(max(wait, 0)), key: s.order.Uint64(), do: do})
}

// step runs the next event.
func (s *schedule) step() {
	next := heap.Pop(&s.events).(scheduled)
	s.now = next.at
	next.do()
}

// seed selects the arrivals and the order of events of a play.
func (f *fleet) seed(play int) {
	f.arrivals = rand.New(rand.NewPCG(*playSeed, uint64(play)))
	f.rng = rand.New(rand.NewPCG(uint64(play), *playSeed+1<<32))
	f.order = rand.New(rand.NewPCG(uint64(play), *playSeed))
}

// since returns the time since the play began.
func (f *fleet) since() time.Duration { return f.now.Sub(f.began) }

// queuedCaller is a caller whose request is queued at its daemon.
type queuedCaller struct {
	caller *caller
	waiter *waiter
}

// expire ends the wait if it lasts still.
func (q *queuedCaller) expire() {
	f := q.caller.fleet
	if i := slices.Index(f.queued, q); i >= 0 {
		f.queued = slices.Delete(f.queued, i, i+1)
		q.leave(reasonNoPlace)
	}
}

func (q *queuedCaller) leave(reason string) {
	q.caller.settle(q.caller.daemon.leave(q.waiter, reason, q.caller.fleet.now))
}

// settleQueued lets the callers go on whose requests have left the queues of their daemons.
func (f *fleet) settleQueued() {
	f.queued = slices.DeleteFunc(f.queued, func(q *queuedCaller) bool {
		select {
		case placed := <-q.waiter.ready:
			f.after(0, func() { q.caller.settle(placed, nil) })
		case <-q.waiter.refused:
			f.after(0, func() { q.leave(reasonUnplaceable) })
		default:
			return false
		}
		return true
	})
}

// arrive begins a request after a random time, and then the next one until the end of the play.
func (f *fleet) arrive(perSecond func(at time.Duration) float64, length time.Duration) {
	if f.since() >= length {
		f.open--
		return
	}
	// Arrivals are independent of each other.
	rate := perSecond(f.since())
	if b := f.burst; b.active(f.since()) {
		rate *= 1 + f.kinds[b.kind].share
	}
	gap := f.arrivals.ExpFloat64() / rate
	f.after(time.Duration(gap*float64(time.Second)), func() {
		(&caller{fleet: f, kind: f.pickKind()}).begin()
		f.arrive(perSecond, length)
	})
}

// play offers a load in requests per second for a time, and returns when all have ended.
func (f *fleet) play(perSecond func(at time.Duration) float64, length time.Duration) {
	f.update()
	f.after(reportInterval, (&reporter{fleet: f}).run)
	for _, fault := range f.faults {
		f.after(fault.at, func() { fault.do(f) })
	}
	f.open++
	f.arrive(perSecond, length)
	for f.open > 0 {
		f.step()
		f.settleQueued()
	}
}

// TestPlaysRepeat guards against plays whose results depend on the order of goroutines or maps, so that
// a check near its bound passes or fails by chance.
func TestPlaysRepeat(t *testing.T) {
	play := func() *fleet {
		f := newFleetOfDomains(modelDomains, 9, 9, rankedKinds)
		f.loss = 0.1
		f.faults = []fault{
			{time.Second, func(f *fleet) { f.restart(0, 1, 2, 3) }},
			{2 * time.Second, func(f *fleet) { f.loseEngines(func(e *modelEngine) bool { return e.id == "r4" }) }},
			{3 * time.Second, func(f *fleet) { f.kill(4) }},
		}
		f.play(constant(1.4*capacity*9), 8*time.Second)
		return f
	}
	first := play()
	for range 3 {
		again := play()
		qt.Assert(t, slices.Equal(first.done, again.done), qt.IsTrue)
		qt.Assert(t, slices.Equal(first.refusals, again.refusals), qt.IsTrue)
	}
}
