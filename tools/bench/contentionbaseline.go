package main

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/placer"
)

// countingDaemon is a baseline: it knows its own requests only, and places each on the replica that
// has fewest of them. Its limit is its part of all slots; without admission control there is none.
type countingDaemon struct {
	failureDomain string
	// queues is set if requests at the limit wait in the order of their arrival, instead of being refused.
	queues   bool
	limited  bool
	mu       sync.Mutex
	replicas []placer.Replica
	inFlight map[string]int
	total    int
	// waiting are the requests at the limit; each gets a replica or its channel is removed.
	waiting []chan string
}

func newCountingDaemon(r *contentionRun, domain string) *countingDaemon {
	d := &countingDaemon{failureDomain: domain, queues: r.policy == "fifo", limited: r.policy != "no-admission", inFlight: map[string]int{}}
	for _, e := range r.replicas {
		d.replicas = append(d.replicas, e.Replica)
	}
	return d
}

func (d *countingDaemon) domain() string { return d.failureDomain }

func (d *countingDaemon) evacuate(domain string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replicas = slices.DeleteFunc(d.replicas, func(r placer.Replica) bool { return r.FailureDomain == domain })
}

func (d *countingDaemon) place(ctx context.Context, _ bool) placement {
	d.mu.Lock()
	if !d.limited || d.total < d.limit() {
		defer d.mu.Unlock()
		return &countedPlacement{daemon: d, id: d.take()}
	}
	if !d.queues {
		d.mu.Unlock()
		return nil
	}
	ready := make(chan string, 1)
	d.waiting = append(d.waiting, ready)
	d.mu.Unlock()
	select {
	case id := <-ready:
		return &countedPlacement{daemon: d, id: id}
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := slices.Index(d.waiting, ready); i >= 0 {
		d.waiting = slices.Delete(d.waiting, i, i+1)
		return nil
	}
	return &countedPlacement{daemon: d, id: <-ready}
}

// limit returns the daemon's part of all slots.
func (d *countingDaemon) limit() int { return len(d.replicas) * contentionSlots / contentionDaemons }

// take reserves the replica with fewest requests.
func (d *countingDaemon) take() string {
	best := d.replicas[0].ID
	for _, r := range d.replicas {
		if d.inFlight[r.ID] < d.inFlight[best] {
			best = r.ID
		}
	}
	d.inFlight[best]++
	d.total++
	return best
}

type countedPlacement struct {
	daemon *countingDaemon
	id     string
}

func (p *countedPlacement) replica() string      { return p.id }
func (p *countedPlacement) firstToken(time.Time) {}

func (p *countedPlacement) done(time.Time) {
	d := p.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight[p.id]--
	d.total--
	if len(d.waiting) > 0 && d.total < d.limit() {
		d.waiting[0] <- d.take()
		d.waiting = d.waiting[1:]
	}
}
