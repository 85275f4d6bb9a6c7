package placer

import (
	"math"
	"time"
)

const (
	// placementMemory is the time constant of the average of a placementRate.
	placementMemory = time.Second
	// extraQueued is the number of requests that may be queued beyond the estimate, so that it
	// grows when more places become free.
	extraQueued = 2
)

// placementRate is the rate at which returning requests get places, per second, at a time.
// New requests go before them, so they get the places that are left.
type placementRate struct {
	perSecond float64
	at        time.Time
}

func (r placementRate) now(now time.Time) float64 {
	return r.perSecond * math.Exp(-float64(now.Sub(r.at))/float64(placementMemory))
}

func (r placementRate) add(now time.Time) placementRate {
	return placementRate{perSecond: r.now(now) + 1/placementMemory.Seconds(), at: now}
}

// recordRate counts the placement of a returning request.
func (p *Placer) recordRate(q Query, now time.Time) {
	if !q.Class.Returning {
		return
	}
	if p.rates == nil {
		p.rates = map[string]placementRate{}
	}
	p.rates[q.Service] = p.rates[q.Service].add(now)
}

// reasonNotToQueue returns why a request without a place is refused at once, or an empty string
// if it is queued.
func (p *Placer) reasonNotToQueue(q Query, now time.Time) string {
	switch {
	case q.MaxWait <= 0, len(p.waiting) >= maxWaiting, p.countUsable(q, now, now.Add(q.MaxWait)) == 0:
		return "no free slot"
	case p.queuedTooMany(q, now):
		return "too many requests are queued for the places that become free"
	}
	return ""
}

// queuedTooMany reports whether a returning request would get no place in time: more requests are
// queued before it than get places in the time for which it may wait. New requests wait for a
// moment only, and repeats are queued anyway, because the work of the earlier attempt is lost
// without a place.
func (p *Placer) queuedTooMany(q Query, now time.Time) bool {
	if !q.Class.Returning || q.ExtraSlots > 0 {
		return false
	}
	return float64(p.countAhead(q)) >= extraQueued+p.rates[q.Service].now(now)*q.MaxWait.Seconds()
}
