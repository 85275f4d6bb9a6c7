package main

import (
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// virtualEngine is an engine in virtual time: a number of slots, a queue, and
// reports that show the load of a while ago.
type virtualEngine struct {
	events *events
	slots  int
	// slowness multiplies all times.
	slowness float64
	// failing engines answer each attempt with a failure after failAfter.
	failing   bool
	failAfter time.Duration

	running  int
	waiting  []*virtualRun
	history  []engineSample
	sequence uint64
	meter    virtualMeter
	decoding int
	since    time.Time
	served   int
}

const (
	meterWindow     = 500 * time.Millisecond
	meterRiseWeight = 0.3
	meterFallWeight = 0.05
)

// virtualMeter measures a rate like the agent's: tokens per second of the time
// in which at least one attempt ran, averaged over windows.
type virtualMeter struct {
	tokens float64
	busy   time.Duration
	rate   float64
}

func (m *virtualMeter) add(tokens float64, busy time.Duration) {
	m.tokens += tokens
	m.busy += busy
	if m.busy < meterWindow {
		return
	}
	latest := m.tokens / m.busy.Seconds()
	switch {
	case m.rate == 0:
		m.rate = latest
	case latest > m.rate:
		m.rate += meterRiseWeight * (latest - m.rate)
	default:
		m.rate += meterFallWeight * (latest - m.rate)
	}
	m.tokens, m.busy = 0, 0
}

type engineSample struct {
	at   time.Time
	load *messenger.Load
}

// virtualRun is one attempt on an engine.
type virtualRun struct {
	prefill time.Duration
	decode  time.Duration
	first   func()
	done    func(ok bool)
}

// run takes an attempt.
func (e *virtualEngine) run(r *virtualRun) {
	if e.failing {
		e.events.after(e.failAfter, func() { r.done(false) })
		return
	}
	if e.running >= e.slots {
		e.waiting = append(e.waiting, r)
		return
	}
	e.begin(r)
}

func (e *virtualEngine) begin(r *virtualRun) {
	e.settle()
	e.running++
	prefill := time.Duration(float64(r.prefill) * e.slowness)
	decode := time.Duration(float64(r.decode) * e.slowness)
	e.events.after(prefill, func() {
		e.settle()
		e.decoding++
		r.first()
	})
	e.events.after(prefill+decode, func() { e.end(r) })
}

func (e *virtualEngine) end(r *virtualRun) {
	e.settle()
	e.decoding--
	e.running--
	e.served++
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.begin(next)
	}
	r.done(true)
}

// settle counts the tokens since the last call and the time in which at least
// one attempt ran.
func (e *virtualEngine) settle() {
	if e.running > 0 {
		passed := e.events.now.Sub(e.since)
		e.meter.add(float64(e.decoding)*passed.Seconds()/(tokenTime.Seconds()*e.slowness), passed)
	}
	e.since = e.events.now
}

// sample notes the present load and returns the newest load that is at least
// lag old, or nil.
func (e *virtualEngine) sample(lag time.Duration) *messenger.Load {
	e.settle()
	e.sequence++
	l := &messenger.Load{Sequence: e.sequence, Queued: uint32(len(e.waiting)), Running: uint32(e.running)}
	l.Rate = e.meter.rate
	e.history = append(e.history, engineSample{at: e.events.now, load: l})
	var newest *messenger.Load
	for len(e.history) > 0 && e.events.now.Sub(e.history[0].at) >= lag {
		newest = e.history[0].load
		e.history = e.history[1:]
	}
	return newest
}
