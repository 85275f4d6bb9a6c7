package warmer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/coordination/gossiper"
	"github.com/lentilbridge/lentilbridge/internal/coordination/partitioner"
	"github.com/lentilbridge/lentilbridge/internal/request/divider"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/internal/request/warmer"
	"github.com/lentilbridge/lentilbridge/internal/shared/timekeeper"
	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

const (
	step         = 5 * time.Millisecond
	perSecond    = 17.0
	overage      = 1.5
	slack        = 5.0
	service      = "llm"
	coldDuration = 10 * time.Second
	// bound is what the users allow.
	bound = perSecond*overage + slack
)

// daemon is an entry daemon with its own view of the others and of the replicas.
type daemon struct {
	vm, domain string
	placer     *placer.Placer
	warmer     *warmer.Warmer
	members    gossiper.Members
	self       gossiper.Member
	// stopped daemons are gone, and paused ones do not run.
	stopped, paused bool
	// cutOff daemons exchange no messages, and lateBy delays those to the daemon.
	cutOff bool
	// missing daemons receive messages, and all that they send are lost.
	missing bool
	lateBy  time.Duration
	// group is the side of a partition of the network.
	group   int
	demand  float64
	inbox   []message
	updated time.Time
	listed  time.Time
	// down is a failure domain whose replicas are not listed, and not used.
	down    string
	sent    time.Time
	digest  time.Time
	changes []func(now time.Time)
}

// message is what a daemon has sent to another one.
type message struct {
	at      time.Time
	from    gossiper.Member
	demand  map[string]float64
	missing []string
	loads   map[string]placer.Load
	domain  []gossiper.Member
}

// held is a placed request that is sent, or ends, at a time.
type held struct {
	daemon *daemon
	placed placer.Placement
	query  placer.Query
	at     time.Time
	sent   bool
}

// fleet is a service whose replicas may be cold, and the daemons before it, in virtual time.
type fleet struct {
	now      time.Time
	began    time.Time
	rng      *rand.Rand
	daemons  []*daemon
	replicas []placer.Replica
	held     []held
	loss     float64
	// silentDomain is a failure domain whose daemons exchange messages with those of others only.
	silentDomain string
	// duration is how long a request runs, and sendDelay the time from its placement to the send.
	duration, sendDelay time.Duration
	// sends are the times of the sends by replica.
	sends   map[string][]time.Time
	refused int
	placed  int
}

func newFleet(perDomain, replicas int, seed uint64) *fleet {
	now := time.Unix(1_000_000, 0)
	engine := &placer.Engine{PrefillTokensPerSecond: 30600, Step: 6730 * time.Microsecond, Stride: 7}
	f := &fleet{now: now, began: now, rng: rand.New(rand.NewPCG(seed, 7)), loss: 0.02, duration: 400 * time.Millisecond, sends: map[string][]time.Time{}}
	for _, domain := range []string{"a", "b", "c"} {
		for i := range perDomain {
			f.add(domain, i, now.Add(-time.Minute))
		}
		for i := range replicas {
			id := fmt.Sprintf("%s-%d", domain, i)
			f.replicas = append(f.replicas, placer.Replica{ID: id, Address: id, Service: service, FailureDomain: domain, Slots: 12, StartedAtMs: 1, Engine: engine})
		}
	}
	for _, d := range f.daemons {
		f.list(d, 0)
	}
	f.run(3 * time.Second)
	return f
}

func (f *fleet) add(domain string, i int, startedAt time.Time) *daemon {
	vm := fmt.Sprintf("%s%d", domain, i)
	w := &warmer.Warmer{VM: vm, FailureDomain: domain, StartedAt: startedAt, Overage: overage, Slack: slack, Reports: &divider.Reports{}}
	w.SetLimits(map[string]warmer.Limit{service: {Duration: coldDuration, PerSecond: perSecond}})
	d := &daemon{
		vm: vm, domain: domain, warmer: w, demand: 20,
		placer: &placer.Placer{VM: vm, FailureDomain: domain, Warmer: w, Divider: divider.Divider{Reports: w.Reports}, Random: f.rng.Float64},
		self:   gossiper.Member{VM: vm, Role: gossiper.Entry, FailureDomain: domain, Address: vm, Incarnation: startedAt.UnixMilli(), Ready: true},
	}
	d.placer.SetColdServices([]string{service})
	d.sent = f.now.Add(-time.Duration(f.rng.IntN(500)) * time.Millisecond)
	d.digest = d.sent
	f.daemons = append(f.daemons, d)
	return d
}

// list gives a daemon the registrations, in which the replicas of a failure domain remain cold for a time.
func (f *fleet) list(d *daemon, left time.Duration, domains ...string) {
	var list []warmer.Registration
	for _, r := range f.replicas {
		if r.FailureDomain == d.down {
			continue
		}
		reg := warmer.Registration{ID: r.ID, Address: r.Address, Service: r.Service, FailureDomain: r.FailureDomain, StartedAtMs: r.StartedAtMs, Revision: 1}
		if left > 0 && slices.Contains(domains, r.FailureDomain) {
			reg.ColdLeft, reg.Revision = left, uint64(f.now.UnixNano())
		}
		list = append(list, reg)
	}
	d.warmer.SetRegistrations(list, f.now)
	d.update(f)
	d.placer.Update(f.preferred(d), f.now)
}

// preferred returns the replicas with the daemons of the cells that prefer them, as a daemon sees them.
func (f *fleet) preferred(d *daemon) []placer.Replica {
	names := []string{d.vm}
	for _, m := range d.members.Live(gossiper.Entry, f.now) {
		if m.FailureDomain == d.domain {
			names = append(names, m.VM)
		}
	}
	var ids []string
	for _, r := range f.replicas {
		if r.FailureDomain == d.domain {
			ids = append(ids, r.ID)
		}
	}
	preferredBy := partitioner.New(names).Assign(ids)
	out := slices.Clone(f.replicas)
	for i, r := range out {
		out[i].PreferredBy = preferredBy[r.ID]
		out[i].Draining = r.Draining || r.FailureDomain == d.down
	}
	return out
}

// drain makes the replicas of failure domains unusable from the next list on.
func (f *fleet) drain(domains ...string) {
	for i, r := range f.replicas {
		f.replicas[i].Draining = slices.Contains(domains, r.FailureDomain)
	}
}

// turnCold makes the replicas of failure domains cold. The daemons learn of it at different times.
func (f *fleet) turnCold(left time.Duration, domains ...string) {
	for _, d := range f.daemons {
		due := f.now.Add(time.Duration(f.rng.IntN(300)) * time.Millisecond)
		d.changes = append(d.changes, func(now time.Time) {
			if now.Before(due) {
				return
			}
			due = now.Add(time.Hour)
			f.list(d, left, domains...)
		})
	}
}

// restart takes the replicas of a failure domain down for a time. They return as new incarnations, of which the daemons learn
// at different times.
func (f *fleet) restart(domain string, downTime time.Duration) {
	for _, d := range f.daemons {
		d.down = domain
		f.list(d, 0)
	}
	f.run(downTime)
	for i, r := range f.replicas {
		if r.FailureDomain == domain {
			f.replicas[i].StartedAtMs++
		}
	}
	for _, d := range f.daemons {
		due := f.now.Add(time.Duration(f.rng.IntN(300)) * time.Millisecond)
		d.changes = append(d.changes, func(now time.Time) {
			if now.Before(due) {
				return
			}
			due = now.Add(time.Hour)
			d.down = ""
			f.list(d, 0)
		})
	}
}

func (d *daemon) update(f *fleet) {
	d.updated = f.now
	d.placer.SetCold(d.warmer.Update(d.members.EntryView(d.self, f.now), f.now), f.now)
}

func (f *fleet) run(t time.Duration) {
	for end := f.now.Add(t); f.now.Before(end); f.now = f.now.Add(step) {
		for _, d := range f.daemons {
			if !d.stopped && !d.paused {
				f.step(d)
			}
		}
		f.progress()
	}
}

func (f *fleet) step(d *daemon) {
	for _, change := range d.changes {
		change(f.now)
	}
	f.receive(d)
	if f.now.Sub(d.updated) >= 100*time.Millisecond {
		d.update(f)
	}
	if f.now.Sub(d.listed) >= 500*time.Millisecond {
		d.listed = f.now
		d.placer.Update(f.preferred(d), f.now)
	}
	if f.now.Sub(d.sent) >= 500*time.Millisecond {
		d.sent = f.now
		f.send(d)
	}
	if f.now.Sub(d.digest) >= 500*time.Millisecond {
		d.digest = f.now
		f.sendDigest(d)
	}
	for n := f.arrivals(d.demand); n > 0; n-- {
		f.place(d)
	}
}

// arrivals returns the number of requests that arrive at a daemon in a step.
func (f *fleet) arrivals(perSecond float64) int {
	n := 0
	for p := perSecond * step.Seconds(); p > 0; p-- {
		if f.rng.Float64() < p {
			n++
		}
	}
	return n
}

func (f *fleet) place(d *daemon) {
	q := placer.Query{Service: service}
	placed, err := d.placer.Place(context.Background(), q, f.now)
	if err != nil {
		f.refused++
		return
	}
	f.placed++
	f.held = append(f.held, held{daemon: d, placed: placed, query: q, at: f.now.Add(f.sendDelay)})
}

// progress sends and ends the requests that are due.
func (f *fleet) progress() {
	kept := f.held[:0]
	for _, h := range f.held {
		switch {
		case h.daemon.stopped:
			continue
		case h.daemon.paused, f.now.Before(h.at):
		case h.sent:
			h.placed.Done(placer.Succeeded, f.now)
			continue
		case h.placed.Permitted(h.query, f.now) != nil:
			h.placed.Done(placer.Neutral, f.now)
			continue
		default:
			h.sent, h.at = true, f.now.Add(f.duration)
			f.sends[h.placed.Replica.ID] = append(f.sends[h.placed.Replica.ID], f.now)
		}
		kept = append(kept, h)
	}
	f.held = kept
}

func (f *fleet) connected(a, b *daemon) bool {
	return a != b && !a.missing && !b.stopped && !a.cutOff && !b.cutOff && a.group == b.group && (a.domain != b.domain || a.domain != f.silentDomain)
}

func (f *fleet) deliver(from, to *daemon, m message) {
	if !f.connected(from, to) || f.rng.Float64() < f.loss {
		return
	}
	m.at = f.now.Add(time.Duration(1+f.rng.IntN(20))*time.Millisecond + to.lateBy)
	to.inbox = append(to.inbox, m)
}

func (f *fleet) send(d *daemon) {
	m := message{from: d.self, demand: d.placer.Demand(f.now), missing: d.warmer.Missing(), loads: d.placer.Loads()}
	for _, to := range f.daemons {
		if to.domain == d.domain {
			f.deliver(d, to, m)
		}
	}
}

// sendDigest sends the live daemons of a failure domain to the others, if this one is its first.
func (f *fleet) sendDigest(d *daemon) {
	live := []gossiper.Member{d.self}
	for _, m := range d.members.Live(gossiper.Entry, f.now) {
		if m.FailureDomain == d.domain {
			if m.VM < d.vm {
				return
			}
			live = append(live, m)
		}
	}
	for _, to := range f.daemons {
		if to.domain != d.domain {
			f.deliver(d, to, message{from: d.self, domain: live, demand: d.placer.DomainDemand(f.now), loads: d.placer.DomainLoads(f.now)})
		}
	}
}

func (f *fleet) receive(d *daemon) {
	kept := d.inbox[:0]
	for _, m := range d.inbox {
		if f.now.Before(m.at) {
			kept = append(kept, m)
			continue
		}
		d.members.RecordMessage(m.from, nil, f.now)
		switch {
		case m.domain != nil:
			d.members.RecordDomain(m.from.FailureDomain, m.domain, true, f.now)
			d.placer.SetDomainDemand(m.from.FailureDomain, m.demand, f.now)
			d.placer.SetDomainLoad(m.from.FailureDomain, m.loads, f.now)
		case m.demand != nil:
			d.placer.SetPeerDemand(m.from.VM, m.demand, f.now)
			d.warmer.RecordMissing(m.from.VM, m.missing, f.now)
			d.placer.SetPeerLoad(m.from.VM, m.loads, f.now)
		}
		d.warmer.RecordMessage(timekeeper.Moment{Time: m.at}, timekeeper.Moment{Time: f.now})
	}
	d.inbox = kept
}

// holders returns the first daemons of failure domain a in the order of one of its replicas.
func (f *fleet) holders(n int) []*daemon {
	var names []string
	for _, d := range f.of("a") {
		names = append(names, d.vm)
	}
	var out []*daemon
	for _, vm := range ranker.Top(nil, "a-0", names, n) {
		out = append(out, f.daemons[slices.IndexFunc(f.daemons, func(d *daemon) bool { return d.vm == vm && !d.stopped })])
	}
	return out
}

// setReady makes daemons ready for requests, or not.
func setReady(list []*daemon, ready bool) {
	for _, d := range list {
		d.self.Ready = ready
	}
}

// partition splits the network for a time. The daemons of a group exchange messages with each other only, as do
// those in no group.
func (f *fleet) partition(duration time.Duration, groups ...[]*daemon) {
	for i, group := range groups {
		for _, d := range group {
			d.group = i + 1
		}
	}
	f.run(duration)
	for _, d := range f.daemons {
		d.group = 0
	}
}

// of returns the daemons of a failure domain.
func (f *fleet) of(domain string) []*daemon {
	var out []*daemon
	for _, d := range f.daemons {
		if d.domain == domain && !d.stopped {
			out = append(out, d)
		}
	}
	return out
}

// most returns the largest number of requests that a replica of a failure domain got in any second of a time.
func (f *fleet) most(domain string, from, to time.Time) (most int) {
	for _, r := range f.replicas {
		if r.FailureDomain != domain {
			continue
		}
		sends, first := f.sends[r.ID], 0
		for i, at := range sends {
			if at.Before(from) || at.After(to) {
				first = i + 1
				continue
			}
			for at.Sub(sends[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// use returns the part of the capacity of cold replicas of a failure domain that was used.
func (f *fleet) use(domain string, from, to time.Time) float64 {
	n, replicas := 0, 0
	for _, r := range f.replicas {
		if r.FailureDomain != domain {
			continue
		}
		replicas++
		for _, at := range f.sends[r.ID] {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
	}
	return float64(n) / (float64(replicas) * perSecond * to.Sub(from).Seconds())
}
