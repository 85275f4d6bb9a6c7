package emulator

import "time"

// loadHistory answers with the load of a while ago.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample
}

type loadSample struct {
	at      time.Time
	running int
	queued  int
}

func (h *loadHistory) add(running, queued int, now time.Time) {
	h.forget(now)
	h.samples = append(h.samples, loadSample{at: now, running: running, queued: queued})
}

func (h *loadHistory) at(now time.Time) loadSample {
	h.forget(now)
	if len(h.samples) == 0 || now.Sub(h.samples[0].at) < h.lag {
		return loadSample{}
	}
	return h.samples[0]
}

// forget drops the samples that a newer one has replaced.
func (h *loadHistory) forget(now time.Time) {
	n := 0
	for n+1 < len(h.samples) && now.Sub(h.samples[n+1].at) >= h.lag {
		n++
	}
	h.samples = h.samples[n:]
}
