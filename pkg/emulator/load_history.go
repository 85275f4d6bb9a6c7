package emulator

import "time"

// loadHistory reports the load of the engine with a lag.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample
}

type loadSample struct {
	recordedAt time.Time
	running    int
	queued     int
}

func (h *loadHistory) add(running, queued int, now time.Time) {
	h.prune(now)
	h.samples = append(h.samples, loadSample{recordedAt: now, running: running, queued: queued})
}

// lagged returns the sample that was current one lag before now; it is zero
// when there is none.
func (h *loadHistory) lagged(now time.Time) loadSample {
	h.prune(now)
	if len(h.samples) == 0 || now.Sub(h.samples[0].recordedAt) < h.lag {
		return loadSample{}
	}
	return h.samples[0]
}

// prune drops the samples that precede the one that is current after the lag.
func (h *loadHistory) prune(now time.Time) {
	n := 0
	for n+1 < len(h.samples) && now.Sub(h.samples[n+1].recordedAt) >= h.lag {
		n++
	}
	h.samples = h.samples[n:]
}
