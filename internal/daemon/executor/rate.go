package executor

import "time"

const (
	// rateWindow is the busy time over which a rate is measured before it is
	// added to the average.
	rateWindow = 500 * time.Millisecond
	// rateRiseWeight is the weight of a new rate that is above the average,
	// rateFallWeight of one that is below it. rateFallWeight is lower because
	// a server that runs few attempts at once generates fewer tokens than it
	// could. Entry daemons divide the load by the rate, so a lightly used server
	// would otherwise look as expensive as a busy one.
	rateRiseWeight = 0.3
	rateFallWeight = 0.05
)

// rateMeter measures the throughput of the backend server, in tokens or service
// calls (units) per second, as a moving average over the time in which at least
// one attempt runs. An idle backend server keeps its last rate. The average
// rises within seconds and falls within half a minute.
type rateMeter struct {
	running    int
	lastUpdate time.Time
	// busyTime and units are the time with running attempts and the units
	// produced in the current window.
	busyTime time.Duration
	units    float64
	rate     float64
}

func (m *rateMeter) started(now time.Time) {
	m.advance(now)
	m.running++
}

func (m *rateMeter) ended(now time.Time) {
	m.advance(now)
	m.running--
}

func (m *rateMeter) add(units int, now time.Time) {
	m.advance(now)
	m.units += float64(units)
}

func (m *rateMeter) perSecond(now time.Time) float64 {
	m.advance(now)
	if m.rate == 0 && m.busyTime > 0 {
		return m.units / m.busyTime.Seconds()
	}
	return m.rate
}

// advance adds the time since the last update and, at the end of a window, adds
// the rate of the window to the average.
func (m *rateMeter) advance(now time.Time) {
	if m.running > 0 {
		m.busyTime += now.Sub(m.lastUpdate)
	}
	m.lastUpdate = now
	if m.busyTime < rateWindow {
		return
	}
	windowRate := m.units / m.busyTime.Seconds()
	switch {
	case m.rate == 0:
		m.rate = windowRate
	case windowRate > m.rate:
		m.rate += rateRiseWeight * (windowRate - m.rate)
	default:
		m.rate += rateFallWeight * (windowRate - m.rate)
	}
	m.busyTime = 0
	m.units = 0
}
