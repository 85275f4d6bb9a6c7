package executor

import "time"

const (
	rateWindow     = 500 * time.Millisecond
	rateRiseWeight = 0.3
	// rateFallWeight is low because a server that runs few attempts at once
	// makes fewer tokens than it could. Entry daemons divide the load by the
	// rate, so a lightly used server would look as expensive as a busy one.
	rateFallWeight = 0.05
)

// rateMeter measures tokens (or calls) per second of the time in which at
// least one attempt ran, so that an idle backend server keeps the rate that
// it has shown. It rises within seconds and falls within half a minute.
type rateMeter struct {
	running int
	since   time.Time
	busy    time.Duration
	units   float64
	rate    float64
}

func (m *rateMeter) started(now time.Time) {
	m.settle(now)
	m.running++
}

func (m *rateMeter) ended(now time.Time) {
	m.settle(now)
	m.running--
}

func (m *rateMeter) add(units int, now time.Time) {
	m.settle(now)
	m.units += float64(units)
}

func (m *rateMeter) perSecond(now time.Time) float64 {
	m.settle(now)
	if m.rate == 0 && m.busy > 0 {
		return m.units / m.busy.Seconds()
	}
	return m.rate
}

func (m *rateMeter) settle(now time.Time) {
	if m.running > 0 {
		m.busy += now.Sub(m.since)
	}
	m.since = now
	if m.busy < rateWindow {
		return
	}
	latest := m.units / m.busy.Seconds()
	switch {
	case m.rate == 0:
		m.rate = latest
	case latest > m.rate:
		m.rate += rateRiseWeight * (latest - m.rate)
	default:
		m.rate += rateFallWeight * (latest - m.rate)
	}
	m.busy = 0
	m.units = 0
}
