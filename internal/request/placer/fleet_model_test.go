package placer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/shedder"
)

const (
	// modelLiveness is how long the others count a daemon that has fallen silent as live.
	modelLiveness = 1600 * time.Millisecond
	// modelDigestInterval is the time between reports to other failure domains.
	modelDigestInterval = 500 * time.Millisecond
)

// fault is something that happens to a fleet at a time of a play.
type fault struct {
	at time.Duration
	do func(f *fleet)
}

// rankBurst is a span in which the rate of one kind of request is doubled.
type rankBurst struct {
	kind     int
	from, to time.Duration
}

func (b *rankBurst) active(at time.Duration) bool { return b != nil && at >= b.from && at < b.to }

// modelRefusal is the refusal of a new request, with the number of free slots of the engines.
type modelRefusal struct {
	at     time.Duration
	vm     string
	reason string
	free   int
	// waited is the time in the queue.
	waited time.Duration
}

// live returns the daemons that the others count as live.
func (f *fleet) live(now time.Time) []*Placer {
	var out []*Placer
	for _, d := range f.daemons {
		if since, ok := f.silent[d.VM]; !ok || now.Sub(since) < modelLiveness {
			out = append(out, d)
		}
	}
	return out
}

// running returns the daemons that are neither paused nor killed.
func (f *fleet) running() []*Placer {
	var out []*Placer
	for _, d := range f.daemons {
		if _, ok := f.silent[d.VM]; !ok {
			out = append(out, d)
		}
	}
	return out
}

// update gives all daemons the list of replicas.
func (f *fleet) update() {
	now := f.now
	vms := map[string][]string{}
	for _, d := range f.live(now) {
		vms[d.FailureDomain] = append(vms[d.FailureDomain], d.VM)
	}
	for _, d := range f.running() {
		var list []Replica
		for _, e := range f.engines {
			if !e.listed {
				continue
			}
			r := Replica{ID: e.id, Address: e.id, Service: "llm", FailureDomain: e.domain, Slots: e.registeredSlots, Draining: now.Before(e.loadsUntil), Engine: &e.engine}
			if e.domain == d.FailureDomain {
				r.PreferredBy = vms[e.domain]
			}
			list = append(list, r)
		}
		d.Update(list, now)
	}
}

// reporter exchanges the reports of the daemons.
type reporter struct {
	*fleet
	rounds int
}

const reportInterval = 100 * time.Millisecond

// run exchanges reports now and after each interval.
func (r *reporter) run() {
	r.after(reportInterval, r.run)
	r.rounds++
	if r.rounds%5 == 0 {
		r.update()
		r.repeatKnown()
	}
	running := r.running()
	var relays []*Placer
	for _, from := range running {
		if !slices.ContainsFunc(relays, func(d *Placer) bool { return d.FailureDomain == from.FailureDomain }) {
			relays = append(relays, from)
		}
		for _, to := range running {
			if from == to || from.FailureDomain != to.FailureDomain || r.loses() {
				continue
			}
			to.SetPeerLoad(from.VM, from.Loads(), r.now)
			to.SetPeerDemand(from.VM, from.Demand(r.now), r.now)
		}
	}
	if r.rounds%int(modelDigestInterval/reportInterval) != 0 {
		return
	}
	for _, from := range relays {
		for _, to := range running {
			if to.FailureDomain != from.FailureDomain && !r.loses() {
				to.SetDomainLoad(from.FailureDomain, from.DomainLoads(r.now), r.now)
				to.SetDomainDemand(from.FailureDomain, from.DomainDemand(r.now), r.now)
			}
		}
	}
}

// loses reports whether a report is lost.
func (r *reporter) loses() bool {
	return !r.reports || r.loss > 0 && r.uniform() < r.loss
}

// caller is one request and, after a refusal, its repeat.
type caller struct {
	fleet     *fleet
	kind      int
	arrived   time.Time
	res       result
	returning bool

	daemon *Placer
	query  Query
	// placements is the number of times that the present attempt has asked for a place.
	placements int
	placed     Placement
	// hasFirst is set after the first event, and ended after the last one.
	hasFirst, ended bool
}

// maxPlacements is how often a request is placed again if its replica has gone.
const maxPlacements = 4

// begin asks for a place as a new request.
func (c *caller) begin() {
	f := c.fleet
	f.open++
	c.arrived, c.daemon = f.now, f.pick(f.arrivals, "")
	c.res = result{kind: c.kind, domain: c.daemon.FailureDomain, arrived: f.since()}
	c.send()
}

// repeat asks for a place again after a refusal.
func (c *caller) repeat() {
	c.returning, c.daemon = true, c.fleet.pick(c.fleet.rng, c.res.domain)
	c.send()
}

func (c *caller) finish() {
	c.fleet.done = append(c.fleet.done, c.res)
	c.fleet.open--
}

func (c *caller) send() {
	kind := c.fleet.kinds[c.kind]
	c.query = Query{
		Service: "llm", Class: shedder.Class{Returning: c.returning, RouteRank: kind.rank}, Ranked: len(c.fleet.kinds) > 1,
		MaxWait: time.Duration(0.3 * float64(kind.target)), PromptTokens: kind.prompt, TargetLatency: kind.target,
	}
	if c.returning {
		c.query.MaxWait = 1500 * time.Millisecond
	}
	c.placements = 0
	c.place()
}

func (c *caller) place() {
	if c.placements == maxPlacements {
		c.finish()
		return
	}
	c.placements++
	placed, w, err := c.daemon.placeOrQueue(c.query, c.fleet.now)
	if w == nil {
		c.settle(placed, err)
		return
	}
	q := &queuedCaller{caller: c, waiter: w}
	c.fleet.queued = append(c.fleet.queued, q)
	c.fleet.after(w.query.MaxWait, q.expire)
}

// settle sends the request to its replica, or repeats it some time after a refusal.
func (c *caller) settle(placed Placement, err error) {
	f := c.fleet
	if err != nil {
		f.recordRefusal(c.daemon, err, c.returning, f.now.Sub(c.arrived))
		c.res.refused = true
		if c.returning {
			c.finish()
			return
		}
		f.after(time.Duration((0.9+0.9*f.uniform())*float64(time.Second)), c.repeat)
		return
	}
	c.query.Exclude = append(c.query.Exclude, placed.Replica.ID)
	c.placed, c.hasFirst, c.ended = placed, false, false
	if !f.engine(placed.Replica.ID).submit(&modelRequest{caller: c, daemon: c.daemon, prompt: c.query.PromptTokens, events: f.kinds[c.kind].events}) {
		placed.Done(Unreachable, f.now)
		c.place()
	}
}

// receive records an event of the response.
func (c *caller) receive(last bool) {
	f := c.fleet
	switch {
	case c.ended:
		return
	case !c.hasFirst:
		c.hasFirst = true
		c.placed.RecordFirstToken(f.now)
		c.res.inTime = f.now.Sub(c.arrived) <= f.kinds[c.kind].target
		c.res.late = !c.res.inTime
	case f.events:
		c.placed.RecordEvent(f.now)
	}
	if last {
		c.end()
	}
}

// end ends the response.
func (c *caller) end() {
	c.ended = true
	c.placed.Done(Succeeded, c.fleet.now)
	c.finish()
}

// lose ends a request that its replica or its daemon has lost. Without an event it is placed again.
func (c *caller) lose() {
	switch {
	case c.ended:
		return
	case c.hasFirst:
		c.end()
		return
	}
	c.placed.Done(Failed, c.fleet.now)
	if c.fleet.hasLeft(c.daemon) {
		c.finish()
		return
	}
	c.query.ExtraSlots, c.query.TargetLatency, c.query.MaxWait = 2, 0, time.Second
	c.place()
}

func (f *fleet) recordRefusal(d *Placer, err error, returning bool, waited time.Duration) {
	var refused *RefusedError
	if returning || !errors.As(err, &refused) {
		return
	}
	free := 0
	for _, e := range f.engines {
		if !e.gone && e.domain != f.evacuated && !f.now.Before(e.loadsUntil) {
			free += max(e.slots-len(e.running)-len(e.waiting), 0)
		}
	}
	f.refusals = append(f.refusals, modelRefusal{at: f.since(), vm: d.VM, reason: refused.Reason, free: free, waited: waited})
}

// hasLeft reports whether a daemon has been killed or restarted.
func (f *fleet) hasLeft(d *Placer) bool {
	for _, known := range f.daemons {
		if known == d {
			return false
		}
	}
	return true
}

// pick returns the daemon of a caller, in a failure domain if it is given.
func (f *fleet) pick(rng *rand.Rand, domain string) *Placer {
	for {
		sum := 0.0
		for _, w := range f.weights {
			sum += w
		}
		left := rng.Float64() * sum
		for i, w := range f.weights {
			if left -= w; left >= 0 {
				continue
			}
			d := f.daemons[i]
			if _, silent := f.silent[d.VM]; !silent && (domain == "" || d.FailureDomain == domain) {
				return d
			}
			break
		}
	}
}

// know sets the failure domains of which a daemon knows that they have live daemons. reporter repeats it.
func (f *fleet) know(d *Placer, domains []string) {
	if f.known == nil {
		f.known = map[*Placer][]string{}
	}
	f.known[d] = domains
	d.SetDaemonDomains(domains, f.now)
}

// repeatKnown repeats what know has set.
func (f *fleet) repeatKnown() {
	for d, domains := range f.known {
		d.SetDaemonDomains(domains, f.now)
	}
}

// restart replaces daemons by new processes, which know nothing of the others.
func (f *fleet) restart(vms ...int) {
	for _, i := range vms {
		d := f.newDaemon(f.daemons[i].VM, f.daemons[i].FailureDomain)
		f.know(d, []string{d.FailureDomain})
		f.after(time.Second, func() { f.know(d, modelDomains) })
		f.daemons[i] = d
	}
	f.update()
}

// kill ends daemons, whose requests are canceled.
func (f *fleet) kill(vms ...int) {
	f.pause(vms...)
	for _, i := range vms {
		f.daemons[i] = f.newDaemon(f.daemons[i].VM, f.daemons[i].FailureDomain)
	}
}

// pause makes daemons fall silent. Their requests go on at the engines.
func (f *fleet) pause(vms ...int) {
	for _, i := range vms {
		f.silent[f.daemons[i].VM] = f.now
	}
}

// register changes the number of slots in the registration of an engine, but not its slots.
func (e *modelEngine) register(slots int) {
	e.registeredSlots = slots
}

// loseEngines lets engines crash. The daemons learn of it a moment later.
func (f *fleet) loseEngines(lost func(e *modelEngine) bool) {
	for _, e := range f.engines {
		if !lost(e) {
			continue
		}
		e.gone = true
		for _, r := range append(e.running, e.waiting...) {
			f.after(0, r.caller.lose)
		}
		e.running, e.waiting = nil, nil
	}
	f.after(300*time.Millisecond, func() {
		for _, e := range f.engines {
			if lost(e) {
				e.listed = false
			}
		}
		f.update()
	})
}

// evacuate begins the evacuation of a failure domain.
func (f *fleet) evacuate(domain string) {
	f.evacuated = domain
	for _, d := range f.running() {
		d.SetEvacuated([]string{domain}, f.now)
	}
}

// loadWeights lets engines load weights for a time, during which they take no requests.
func (f *fleet) loadWeights(loads func(e *modelEngine) bool, length time.Duration) {
	for _, e := range f.engines {
		if loads(e) {
			e.loadsUntil = f.now.Add(length)
		}
	}
	f.update()
	f.after(length, f.update)
}

// loadInTurn lets the engines outside a failure domain load weights for a time, one after another.
func (f *fleet) loadInTurn(except string, interval, length time.Duration) {
	after := time.Duration(0)
	for _, e := range f.engines {
		if e.domain != except {
			f.after(after, func() { f.loadWeights(func(other *modelEngine) bool { return other == e }, length) })
			after += interval
		}
	}
}

// trace describes the refusals of a span: the reasons, and the free slots at the time.
func (f *fleet) trace(from, to time.Duration) string {
	reasons, free, n, waited := map[string]int{}, 0, 0, time.Duration(0)
	for _, r := range f.refusals {
		if r.at >= from && r.at < to {
			reasons[r.reason]++
			free += r.free
			waited += r.waited
			n++
		}
	}
	if n == 0 {
		return "no refusals"
	}
	return fmt.Sprintf("%d refusals with %.1f free slots after %v: %v", n, float64(free)/float64(n), (waited / time.Duration(n)).Round(time.Millisecond), reasons)
}

// perSecond returns the answers in time per second to requests that arrived in a span.
func (f *fleet) perSecond(from, to time.Duration) float64 {
	n := 0
	for _, r := range f.done {
		if r.inTime && r.arrived >= from && r.arrived < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// refusedShare returns the part of the new requests at a failure domain that were refused.
func (f *fleet) refusedShare(domain string, from, to time.Duration) float64 {
	refused, n := 0.0, 0.0
	for _, r := range f.done {
		if r.domain != domain || r.arrived < from || r.arrived >= to {
			continue
		}
		n++
		if r.refused {
			refused++
		}
	}
	return refused / n
}
