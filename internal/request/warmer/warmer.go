// Package warmer decides which replicas are cold and how many requests this daemon may send to
// each of them.
//
// A replica is cold for some time after it has started during traffic. Until then it serves a
// limited number of requests per second, and crashes at a rate well above that. The limit applies
// to all daemons together, so a cold replica gets requests from its holders only: a few entry
// daemons of its failure domain, which all daemons choose in the same way from the list of live
// ones. Each holder has a share of the rate, without a message per request:
//
//	membership -> holders of each cold replica -> shares by reported demand -> requests of the past second
//
// The views of the daemons differ for a time after a change. A share therefore falls at once but
// rises only after the time in which all others have seen the same change, and a daemon that
// receives no messages of others uses none.
package warmer

import (
	"cmp"
	"maps"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/divider"
	"github.com/lentilbridge/lentilbridge/internal/shared/timekeeper"
)

const (
	// MaxCold bounds the time for which a replica is cold. A longer time is a mistake.
	MaxCold = 10 * time.Minute
	// retention is how long an incarnation is remembered after its registration has vanished,
	// so that it does not count as new when it is registered again.
	retention = 10 * time.Minute
	// maxReports is the default of Warmer.MaxReports. Any program on the network could send reports. The largest deployment has 4,300.
	maxReports = 8192
	// minExtension is the smallest extension of a cold time that is acted on at once.
	minExtension = 500 * time.Millisecond
	// startTime is the time after the start of the daemon during which it uses no shares.
	startTime = 2 * time.Second
	// maxSilence is the time without a message of another entry daemon after which this one
	// uses no shares: 1 s, and 0.5 s because a message counts from the time at which this daemon
	// began to wait for it. The others use the shares of a silent daemon after twice riseTime.
	maxSilence = 1500 * time.Millisecond
	// maxUpdateAge is the time without an update of the shares after which this daemon uses none. Others use shares that
	// it should have dropped after riseTime.
	maxUpdateAge = maxSilence
)

// Limit is the limit of the cold replicas of a service.
type Limit struct {
	// Duration is how long a replica is cold after its start.
	Duration time.Duration
	// PerSecond is the number of requests per second that a cold replica serves.
	PerSecond float64
}

// Registration is what the registration of a replica says of its start.
type Registration struct {
	ID, Address, Service, FailureDomain string
	// StartedAtMs identifies the incarnation of the replica.
	StartedAtMs int64
	// Revision changes with each write of the registration.
	Revision uint64
	// ColdLeft is how long the replica remains cold, as it has written; 0 if it is not.
	ColdLeft time.Duration
}

// State is the state of a cold replica.
type State struct {
	Until time.Time
	// Rate is the number of requests per second that this daemon may send to it.
	Rate float64
}

// Warmer holds the cold replicas and the shares of this daemon. Its exported fields are set before
// use.
type Warmer struct {
	// VM and FailureDomain are those of this daemon.
	VM            string
	FailureDomain string
	// StartedAt is when this daemon started.
	StartedAt time.Time
	// Overage and Slack are the bound of the users: a cold replica may get Overage times its limit
	// and Slack requests more in a second. Daemons that may not know all others use only the part
	// of it above the limit.
	Overage, Slack float64
	// Reports holds the demand that the other daemons of the failure domain have reported.
	Reports *divider.Reports
	// ReturnedAt returns, if set, when the evacuation of a failure domain was removed.
	ReturnedAt func(domain string) time.Time
	// Suspended returns, if set, for how long the VM has been suspended since its start, which
	// the present time does not count.
	Suspended func() time.Duration
	// MaxReports is the number of replicas whose reports are kept. 0 stands for maxReports.
	MaxReports int

	mu     sync.Mutex
	limits map[string]Limit
	// listed is set once there was a first list of registrations.
	listed   bool
	replicas map[string]*replica
	// reports holds, by address, the end of the cold time that the agent of a replica has reported.
	reports map[string]time.Time
	view    View
	// viewNumber counts the changes of the view. changedAt is the time of the latest one, of the first message after a
	// silence, or of the first update after a time without any.
	viewNumber int
	changedAt  time.Time
	// updatedAt is the time of the latest update.
	updatedAt time.Time
	// missingFor holds, by VM, when another daemon last reported that this one is missing for it.
	missingFor map[string]time.Time
	// lost holds the daemons by VM that are no longer in the view and have not drained.
	lost map[string]lostDaemon
	// lastMessage is a moment after which the latest message of another entry daemon arrived.
	lastMessage timekeeper.Moment
	// silent is set while this daemon receives no messages from others, or they receive none from it. It has then
	// dropped its shares.
	silent bool
	// checked is whether the shares were usable at the time checkedAt.
	checked   bool
	checkedAt time.Time
	// settled holds the own demand by service.
	settled map[string]float64
	// requests and refused count the tokens taken and the choices without a token.
	requests, refused uint64
}

// replica is a replica with its registration and, while it is cold, the share of this daemon.
type replica struct {
	Registration
	listedAt time.Time
	// missingAt is when a list was the first without the registration; zero if the latest one has it.
	missingAt time.Time
	// unused is set if no daemon has recently sent requests to an earlier incarnation.
	unused bool
	// startedAt is when an incarnation that started during traffic was first seen, and
	// registeredUntil is the end of its cold time according to its registration.
	startedAt, registeredUntil time.Time
	// coldUntil is the time that the last Update found.
	coldUntil time.Time
	share     share
	window    window
}

// SetLimits sets the limits by service. Services without a rate have none.
func (w *Warmer) SetLimits(limits map[string]Limit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits = maps.Clone(limits)
	maps.DeleteFunc(w.limits, func(_ string, l Limit) bool { return !(l.PerSecond > 0) })
}

// SetRegistrations replaces the list of registrations. Incarnations that the first list has may have
// started long ago; later ones start during traffic.
func (w *Warmer) SetRegistrations(list []Registration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.replicas == nil {
		w.replicas = make(map[string]*replica, len(list))
	}
	for _, reg := range list {
		w.register(reg, now)
	}
	w.listed = true
	for id, r := range w.replicas {
		switch {
		case now.Sub(r.listedAt) > retention:
			delete(w.replicas, id)
		case r.listedAt.Equal(now):
			r.missingAt = time.Time{}
		case r.missingAt.IsZero():
			r.missingAt = now
		}
	}
}

func (w *Warmer) register(reg Registration, now time.Time) {
	r := w.replicas[reg.ID]
	if r == nil || r.StartedAtMs != reg.StartedAtMs || r.Address != reg.Address {
		r = &replica{unused: r == nil || r.isMissing(now)}
		if w.listed {
			r.startedAt = now
		}
		w.replicas[reg.ID] = r
	}
	if r.Revision != reg.Revision || r.listedAt.IsZero() {
		// A registration that says less is an old one, of a store that was restored from a copy.
		if until := now.Add(min(reg.ColdLeft, MaxCold)); reg.ColdLeft > 0 && until.After(r.registeredUntil) {
			r.registeredUntil = until
		}
	}
	if r.FailureDomain != reg.FailureDomain || r.Service != reg.Service {
		// Other daemons hold it.
		r.share = share{}
	}
	r.Registration, r.listedAt = reg, now
}

// isMissing reports whether the replica has not been listed for so long that all daemons have
// noticed.
func (r *replica) isMissing(now time.Time) bool {
	return !r.missingAt.IsZero() && now.Sub(r.missingAt) >= riseTime
}

// RecordReport records how long the replica at an address remains cold according to its agent; 0 if
// it is not cold. It reports whether an update is needed at once.
func (w *Warmer) RecordReport(address string, left time.Duration, now time.Time) (changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.reports[address]
	if left <= 0 {
		delete(w.reports, address)
		return false
	}
	if w.reports == nil {
		w.reports = map[string]time.Time{}
	}
	limit := cmp.Or(w.MaxReports, maxReports)
	if len(w.reports) >= limit && old.IsZero() {
		maps.DeleteFunc(w.reports, func(_ string, until time.Time) bool { return !now.Before(until) })
		if len(w.reports) >= limit && !w.isRegistered(address) {
			return false
		}
	}
	until := now.Add(min(left, MaxCold))
	w.reports[address] = until
	return !now.Before(old) || until.Sub(old) > minExtension
}

// isRegistered reports whether a replica is registered at an address.
func (w *Warmer) isRegistered(address string) bool {
	for _, r := range w.replicas {
		if r.Address == address {
			return true
		}
	}
	return false
}

// Update finds the cold replicas and the shares of this daemon, and returns the state of each cold
// replica by ID.
func (w *Warmer) Update(view View, now time.Time) map[string]State {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setView(view, now)
	if w.isOutdated(now) {
		w.changedAt = now
	}
	w.updatedAt, w.checkedAt = now, time.Time{}
	silent := w.checkSilence(now)
	maps.DeleteFunc(w.reports, func(_ string, until time.Time) bool { return !now.Before(until) })
	cold, held := 0, map[holding]int{}
	for _, r := range w.replicas {
		limit, limited := w.limits[r.Service]
		r.coldUntil = time.Time{}
		if limited {
			r.coldUntil = w.coldUntil(r, limit)
		}
		if !now.Before(r.coldUntil) {
			r.share, r.window = share{}, window{}
			continue
		}
		cold++
		w.setHolders(r)
		for _, vm := range r.share.holders {
			held[holding{vm, r.Service}]++
		}
	}
	if cold == 0 {
		return nil
	}
	out := make(map[string]State, cold)
	for id, r := range w.replicas {
		if now.Before(r.coldUntil) {
			if !silent {
				// The time until a share is used begins with the first message after a silence.
				w.updateShare(r, held, now)
			}
			out[id] = State{Until: r.coldUntil, Rate: r.share.rate}
		}
	}
	return out
}

// coldUntil returns the latest end of the cold time among those of the registration, the start, the
// removed evacuation and the report of the agent.
func (w *Warmer) coldUntil(r *replica, limit Limit) time.Time {
	until := r.registeredUntil
	extend := func(t time.Time) {
		if t.After(until) {
			until = t
		}
	}
	if !r.startedAt.IsZero() {
		extend(r.startedAt.Add(limit.Duration))
	}
	if w.ReturnedAt != nil {
		if at := w.ReturnedAt(r.FailureDomain); !at.IsZero() {
			extend(at.Add(limit.Duration))
		}
	}
	extend(w.reports[r.Address])
	return until
}

// Take takes a token for a request to a cold replica, and reports whether there was one.
func (w *Warmer) Take(id string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.replicas[id]
	if r == nil || !w.usable(now) || !r.window.take(r.share.rate, now) {
		w.refused++
		return false
	}
	w.requests++
	return true
}

// Usable reports whether this daemon may use its shares: it has run for some time and receives messages of others.
func (w *Warmer) Usable(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usable(now)
}

// Has reports whether Take would succeed.
func (w *Warmer) Has(id string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.replicas[id]
	if r == nil || !w.usable(now) || r.window.wait(r.share.rate, now) > 0 {
		w.refused++
		return false
	}
	return true
}

// Return returns the token of a request that was not sent, which was taken at a time.
func (w *Warmer) Return(id string, at, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests--
	if r := w.replicas[id]; r != nil {
		r.window.put(at, now)
	}
}

// NextToken returns the time until a token for one of the replicas is due, and false if this daemon has no
// share in any.
func (w *Warmer) NextToken(now time.Time) (wait time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.replicas {
		if r.share.rate == 0 || !now.Before(r.coldUntil) {
			continue
		}
		if next := r.window.wait(r.share.rate, now); !ok || next < wait {
			wait, ok = next, true
		}
	}
	return wait, ok
}

// Counts returns the number of requests with a token so far, and of the choices without one.
func (w *Warmer) Counts() (requests, refused uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requests, w.refused
}
