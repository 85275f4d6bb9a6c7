package main

import (
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// virtualEngine simulates an engine in virtual time. It has a number of slots
// and a FIFO queue, and its load reports are delayed.
type virtualEngine struct {
	scheduler *scheduler
	slots     int
	// slowness multiplies the prefill and decode times.
	slowness float64
	// A failing engine fails each attempt after failAfter.
	failing   bool
	failAfter time.Duration

	running   int
	waiting   []*virtualAttempt
	history   []loadSample
	sequence  uint64
	meter     rateMeter
	decoding  int
	meteredAt time.Time
	served    int
}

const (
	meterWindow     = 500 * time.Millisecond
	meterRiseWeight = 0.3
	meterFallWeight = 0.05
)

// rateMeter measures the token rate as the agent does: tokens per second of the
// time in which at least one attempt runs, smoothed over windows of that time.
type rateMeter struct {
	tokens float64
	busy   time.Duration
	rate   float64
}

func (m *rateMeter) add(tokens float64, busy time.Duration) {
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

// loadSample is the load at one point in time.
type loadSample struct {
	at   time.Time
	load *messenger.Load
}

// virtualAttempt is one attempt on an engine.
type virtualAttempt struct {
	prefill      time.Duration
	decode       time.Duration
	onFirstToken func()
	onDone       func(ok bool)
}

// run starts the attempt, or queues it while all slots are in use.
func (e *virtualEngine) run(a *virtualAttempt) {
	if e.failing {
		e.scheduler.after(e.failAfter, func() { a.onDone(false) })
		return
	}
	if e.running >= e.slots {
		e.waiting = append(e.waiting, a)
		return
	}
	e.start(a)
}

func (e *virtualEngine) start(a *virtualAttempt) {
	e.updateMeter()
	e.running++
	prefill := time.Duration(float64(a.prefill) * e.slowness)
	decode := time.Duration(float64(a.decode) * e.slowness)
	e.scheduler.after(prefill, func() {
		e.updateMeter()
		e.decoding++
		a.onFirstToken()
	})
	e.scheduler.after(prefill+decode, func() { e.finish(a) })
}

func (e *virtualEngine) finish(a *virtualAttempt) {
	e.updateMeter()
	e.decoding--
	e.running--
	e.served++
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(next)
	}
	a.onDone(true)
}

// updateMeter adds to the rate meter the tokens generated since the last call
// and the time in which at least one attempt ran.
func (e *virtualEngine) updateMeter() {
	if e.running > 0 {
		elapsed := e.scheduler.now.Sub(e.meteredAt)
		e.meter.add(float64(e.decoding)*elapsed.Seconds()/(tokenTime.Seconds()*e.slowness), elapsed)
	}
	e.meteredAt = e.scheduler.now
}

// sampleLoad records the current load and returns the newest recorded load that
// is at least lag old, or nil. It drops the samples up to the returned one.
func (e *virtualEngine) sampleLoad(lag time.Duration) *messenger.Load {
	e.updateMeter()
	e.sequence++
	l := &messenger.Load{Sequence: e.sequence, Queued: uint32(len(e.waiting)), Running: uint32(e.running)}
	l.Rate = e.meter.rate
	e.history = append(e.history, loadSample{at: e.scheduler.now, load: l})
	var newest *messenger.Load
	for len(e.history) > 0 && e.scheduler.now.Sub(e.history[0].at) >= lag {
		newest = e.history[0].load
		e.history = e.history[1:]
	}
	return newest
}
