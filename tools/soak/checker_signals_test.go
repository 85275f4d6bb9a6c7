package main

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

const (
	secondReplica = "i-plain-1-1"
	tick          = time.Millisecond
)

// signalPlayer plays requests of callers and the signals of replicas.
type signalPlayer struct {
	checker *checker
	start   time.Time
}

// sent returns a request that a caller sends after a time.
func (p *signalPlayer) sent(id string, entry int, after time.Duration) *request {
	r := newRequest(id, routeLookup, "b", teams[0], entry)
	r.Sent = p.start.Add(after)
	p.checker.recordSent(r)
	return r
}

// arrived plays a request that a caller sends after a time and that reaches firstReplica.
func (p *signalPlayer) arrived(id string, entry int, after time.Duration) {
	p.sent(id, entry, after)
	p.checker.Arrived(firstReplica, id, p.start.Add(after))
}

// leaves plays a request to entry VM 0 to which firstReplica responds that it leaves. The
// caller receives the head of a response from a replica after a time.
func (p *signalPlayer) leaves(status int, from string, after time.Duration) {
	r := p.sent("leaving", 0, 0)
	p.checker.Arrived(firstReplica, r.ID, p.start)
	p.checker.Signaled(firstReplica, r.ID, simulator.Signal{Status: status, Leaving: true}, p.start)
	p.checker.recordHead(r, from, p.start.Add(after))
}

// holdsOff plays a request to entry VM 0 that firstReplica refuses, asking for none for a time.
func (p *signalPlayer) holdsOff(wait time.Duration) {
	p.sent("held", 0, 0)
	p.checker.Arrived(firstReplica, "held", p.start)
	p.checker.Signaled(firstReplica, "held", simulator.Signal{Status: http.StatusServiceUnavailable, HoldOff: wait}, p.start)
}

// disturbed plays a disturbance of a subject between two times.
func (p *signalPlayer) disturbed(subject string, planned bool, from, to time.Duration) {
	p.checker.disturbances = append(p.checker.disturbances, disturbance{subject: subject, planned: planned, from: p.start.Add(from), to: p.start.Add(to)})
}

// TestSignalsAreIgnored guards against a checker that misses requests to replicas that leave or
// want none, or that reports requests that are allowed.
func TestSignalsAreIgnored(t *testing.T) {
	const (
		late   = drainTime + tick
		wait   = 4 * time.Second
		inHold = holdOffDelay + schedulingSlack + tick
	)
	entry, process, link := entrySubject(0), processSubject(entrySubject(0)), linkSubject("plain-0")
	ids := []string{"a", "b", "c", "d"}
	tests := []struct {
		name string
		play func(p *signalPlayer)
		want string
	}{
		{"sent after the response that says so", func(p *signalPlayer) {
			p.leaves(http.StatusOK, firstReplica, 0)
			p.arrived("a", 0, late)
		}, "DRAIN"},
		{"sent in time", func(p *signalPlayer) {
			p.leaves(http.StatusOK, firstReplica, 0)
			p.arrived("a", 0, drainTime)
		}, ""},
		{"sent in time after the caller knows", func(p *signalPlayer) {
			p.leaves(http.StatusOK, firstReplica, time.Second)
			p.arrived("a", 0, time.Second+drainTime)
		}, ""},
		{"sent in time, reached late", func(p *signalPlayer) {
			p.leaves(http.StatusOK, firstReplica, 0)
			p.sent("a", 0, drainTime)
			p.checker.Arrived(firstReplica, "a", p.start.Add(time.Minute))
		}, ""},
		{"failed", func(p *signalPlayer) {
			p.leaves(http.StatusInternalServerError, firstReplica, 0)
			p.arrived("a", 0, late)
		}, "DRAIN"},
		{"refused", func(p *signalPlayer) {
			p.leaves(http.StatusServiceUnavailable, "", 0)
			p.arrived("a", 0, late)
		}, "DRAIN"},
		{"refused and answered by another replica", func(p *signalPlayer) {
			p.leaves(http.StatusServiceUnavailable, secondReplica, 0)
			p.arrived("a", 0, late)
		}, "DRAIN"},
		{"misdirected and answered by another replica", func(p *signalPlayer) {
			p.leaves(http.StatusMisdirectedRequest, secondReplica, 0)
			p.arrived("a", 0, late)
		}, "DRAIN"},
		{"refused over a faulty link", func(p *signalPlayer) {
			p.disturbed(link, false, 0, time.Second)
			p.leaves(http.StatusServiceUnavailable, secondReplica, time.Second)
			p.arrived("a", 0, time.Second+late)
		}, ""},
		{"served over a faulty link", func(p *signalPlayer) {
			p.disturbed(link, false, 0, time.Second)
			p.leaves(http.StatusOK, firstReplica, time.Second)
			p.arrived("a", 0, time.Second+late)
		}, "DRAIN"},
		{"not passed on", func(p *signalPlayer) {
			p.leaves(http.StatusOK, secondReplica, 0)
			p.arrived("a", 0, late)
		}, ""},
		{"another entry VM", func(p *signalPlayer) {
			p.leaves(http.StatusOK, firstReplica, 0)
			p.arrived("a", 1, late)
		}, ""},
		{"another replica", func(p *signalPlayer) {
			p.leaves(http.StatusOK, firstReplica, 0)
			p.sent("a", 0, late)
			p.checker.Arrived(secondReplica, "a", p.start.Add(late))
		}, ""},
		{"the store and the VM's links are disturbed", func(p *signalPlayer) {
			p.disturbed(subjectStore, false, 0, time.Minute)
			p.disturbed(entry, false, 0, time.Minute)
			p.disturbed(entry, true, 0, time.Minute)
			p.leaves(http.StatusOK, firstReplica, 0)
			p.arrived("a", 0, late)
		}, "DRAIN"},
		{"the VM was restarted or paused since then", func(p *signalPlayer) {
			p.leaves(http.StatusOK, firstReplica, 0)
			p.disturbed(process, true, time.Second, time.Second+tick)
			p.arrived("a", 0, late)
		}, ""},
		{"the VM was restarted before", func(p *signalPlayer) {
			p.disturbed(process, false, -time.Second, -restartDelay-tick)
			p.leaves(http.StatusOK, firstReplica, 0)
			p.arrived("a", 0, late)
		}, "DRAIN"},
		{"another VM was restarted", func(p *signalPlayer) {
			p.leaves(http.StatusOK, firstReplica, 0)
			p.disturbed(processSubject(entrySubject(1)), false, time.Second, time.Second+tick)
			p.arrived("a", 0, late)
		}, "DRAIN"},
		{"passed on again after a restart", func(p *signalPlayer) {
			p.leaves(http.StatusOK, firstReplica, 0)
			p.disturbed(process, false, tick, 2*tick)
			r := p.sent("again", 0, time.Second)
			p.checker.Arrived(firstReplica, r.ID, r.Sent)
			p.checker.Signaled(firstReplica, r.ID, simulator.Signal{Status: http.StatusOK, Leaving: true}, r.Sent)
			p.checker.recordHead(r, firstReplica, r.Sent)
			p.arrived("a", 0, time.Second+late)
		}, "DRAIN"},
		{"passed on again, still running", func(p *signalPlayer) {
			p.leaves(http.StatusOK, firstReplica, 0)
			r := p.sent("again", 0, time.Second)
			p.checker.Arrived(firstReplica, r.ID, r.Sent)
			p.checker.Signaled(firstReplica, r.ID, simulator.Signal{Status: http.StatusOK, Leaving: true}, r.Sent)
			p.checker.recordHead(r, firstReplica, r.Sent)
			p.arrived("a", 0, late)
		}, "DRAIN"},

		{"more requests than allowed while none are wanted", func(p *signalPlayer) {
			p.holdsOff(wait)
			for _, id := range ids[:maxHeldOffArrivals+1] {
				p.arrived(id, 0, inHold)
			}
		}, "BUDGET"},
		{"as many requests as allowed", func(p *signalPlayer) {
			p.holdsOff(wait)
			for _, id := range ids[:maxHeldOffArrivals] {
				p.arrived(id, 0, inHold)
			}
		}, ""},
		{"requests sent before that arrive during the time", func(p *signalPlayer) {
			for _, id := range ids {
				p.sent(id, 0, 0)
			}
			p.holdsOff(wait)
			for _, id := range ids {
				p.checker.Arrived(firstReplica, id, p.start.Add(inHold))
			}
		}, "BUDGET"},
		{"requests at the beginning of the time", func(p *signalPlayer) {
			p.holdsOff(wait)
			for _, id := range ids {
				p.arrived(id, 0, holdOffDelay+schedulingSlack)
			}
		}, ""},
		{"requests until the end of the time", func(p *signalPlayer) {
			p.holdsOff(wait)
			for _, id := range ids {
				p.arrived(id, 0, wait-tick)
			}
		}, "BUDGET"},
		{"requests at the end of the time", func(p *signalPlayer) {
			p.holdsOff(wait)
			for _, id := range ids {
				p.arrived(id, 0, wait)
			}
		}, ""},
		{"requests through several entry VMs", func(p *signalPlayer) {
			p.holdsOff(wait)
			for i, id := range ids {
				p.arrived(id, i%2, inHold)
			}
		}, ""},
		{"none wanted, the VM was restarted or paused", func(p *signalPlayer) {
			p.holdsOff(wait)
			p.disturbed(process, false, time.Second, time.Second+tick)
			for _, id := range ids {
				p.arrived(id, 0, inHold)
			}
		}, ""},
		{"none wanted, the VM was cut from the replica", func(p *signalPlayer) {
			p.disturbed(link, false, -time.Second, 0)
			p.holdsOff(wait)
			for _, id := range ids {
				p.arrived(id, 0, inHold)
			}
		}, ""},
		{"none wanted, the VM was cut from another replica", func(p *signalPlayer) {
			p.disturbed(linkSubject("plain-1"), false, 0, time.Second)
			p.holdsOff(wait)
			for _, id := range ids {
				p.arrived(id, 0, inHold)
			}
		}, "BUDGET"},
		{"none wanted, the store and the VM's links are disturbed", func(p *signalPlayer) {
			p.disturbed(subjectStore, false, 0, time.Minute)
			p.disturbed(entry, false, 0, time.Minute)
			p.holdsOff(wait)
			for _, id := range ids {
				p.arrived(id, 0, inHold)
			}
		}, "BUDGET"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Now()
			c := newChecker(start)
			tc.play(&signalPlayer{checker: c, start: start})
			got := ""
			for _, v := range c.violations {
				got = v.Rule
			}
			qt.Assert(t, got, qt.Equals, tc.want, qt.Commentf("%v", c.violations))
		})
	}
}
