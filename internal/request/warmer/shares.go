package warmer

import (
	"math"
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/shared/timekeeper"
	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

const (
	// maxHolders is the number of daemons that send requests to a cold replica. With more, the
	// share of each is a few requests per second, part of which a daemon cannot use when it gets no
	// request in time.
	maxHolders = 4
	// minShare and maxShare bound the part of the rate that one of several holders has, so that
	// each can serve a rise of its demand and a wrong report has a limited effect.
	minShare = 0.1
	maxShare = 0.5
	// riseTime is the time for which a higher share must have been due before it is used. It is
	// the time after which silent daemons count as dead, so all others have seen by then what
	// the share is due to.
	riseTime = 1600 * time.Millisecond
	// maxReportAge is the age above which a report of the demand is ignored.
	maxReportAge = riseTime
	// maxPartial bounds the part of the rate that daemons on one side of a partition use who may not know all others.
	maxPartial = 0.5
	// settledRatio and settledMargin are the change of the demand, as a part of it and in requests
	// per second, below which the reported one remains. Shares are whole numbers and would
	// change with each report otherwise.
	settledRatio  = 0.2
	settledMargin = 0.5
	// lossRetention is how long a daemon that has not drained counts as one that may send requests on the other side of a
	// partition after the members have forgotten it, which they do after 5 minutes.
	lossRetention = time.Hour
	// maxLost limits the number of lost daemons that are remembered. The largest deployment has
	// 1,000.
	maxLost = 2048
	// offsetSteps is the number of different offsets for rounding.
	offsetSteps = 1024
)

// Member is an entry daemon.
type Member struct {
	VM            string
	FailureDomain string
	// Live is set if the daemon has sent a message recently, and Ready if it takes requests.
	Live, Ready bool
}

// View is what this daemon knows of the entry daemons.
type View struct {
	// Members are the known daemons, live or not, with this one.
	Members []Member
	// Alone is set if there is no other daemon.
	Alone bool
}

// share is the part of the rate of a cold replica that this daemon has.
type share struct {
	// rate is the number of requests per second in use.
	rate float64
	// pending is the lowest rate that was due since a time, if it is above rate.
	pending float64
	since   time.Time
	// holders are those in the view with a number.
	holders []string
	// reserved is the part of the reserve that the holders use in place of the limit, or 0.
	reserved   float64
	viewNumber int
}

// set sets the rate that is due. A lower one is used at once, a higher one after riseTime.
func (s *share) set(due float64, now time.Time) {
	switch {
	case due <= s.rate:
		s.rate, s.since = due, time.Time{}
	case s.since.IsZero():
		s.pending, s.since = due, now
	default:
		s.pending = min(s.pending, due)
		if now.Sub(s.since) >= riseTime {
			s.rate, s.pending, s.since = s.pending, due, now
		}
	}
}

// RecordMessage records that a message of another entry daemon arrived after a moment.
func (w *Warmer) RecordMessage(arrivedAfter, now timekeeper.Moment) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !arrivedAfter.Time.After(w.lastMessage.Time) {
		return
	}
	if w.checkSilence(now.Time) {
		w.changedAt = now.Time
	}
	w.lastMessage, w.silent, w.checkedAt = arrivedAfter, false, time.Time{}
}

// silence returns the time since the latest message of another entry daemon.
func (w *Warmer) silence(now time.Time) time.Duration {
	if w.lastMessage.Time.IsZero() {
		return math.MaxInt64
	}
	m := timekeeper.Moment{Time: now}
	if w.Suspended != nil {
		m.Suspended = w.Suspended()
	}
	return m.Since(w.lastMessage)
}

// ViewAge returns the time since the latest message of another entry daemon.
func (w *Warmer) ViewAge(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silence(now)
}

// checkSilence drops the shares if this daemon has received no message from another one for too long, or the others
// have received none from this one. It may have been paused or cut off, and others have taken them over.
func (w *Warmer) checkSilence(now time.Time) (silent bool) {
	if w.view.Alone || w.silence(now) <= maxSilence && !w.isMissing(now) {
		return false
	}
	if !w.silent {
		w.silent = true
		for _, r := range w.replicas {
			r.share = share{}
		}
	}
	return true
}

// usable reports whether this daemon may use its shares.
func (w *Warmer) usable(now time.Time) bool {
	if now != w.checkedAt {
		// A choice asks for each cold replica, and the clock of suspensions is read by a system call.
		w.checkedAt, w.checked = now, now.Sub(w.StartedAt) >= startTime && !w.isOutdated(now) && !w.checkSilence(now)
	}
	return w.checked
}

// isOutdated reports whether the shares have not been compared with the view for too long, as when the process gets too
// little processor time. Others may have taken them over.
func (w *Warmer) isOutdated(now time.Time) bool {
	return !w.view.Alone && now.Sub(w.updatedAt) > maxUpdateAge
}

// SettleDemand returns the demand that this daemon reports for a service, which follows larger changes
// only.
func (w *Warmer) SettleDemand(service string, demand float64) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.limits[service]; !ok {
		return demand
	}
	if w.settled == nil {
		w.settled = map[string]float64{}
	}
	old, ok := w.settled[service]
	if !ok || math.Abs(demand-old) > settledRatio*old+settledMargin {
		w.settled[service] = demand
	}
	return w.settled[service]
}

// setView sets the view and counts its changes.
func (w *Warmer) setView(view View, now time.Time) {
	expired := w.expireLost(now)
	if !expired && view.Alone == w.view.Alone && slices.Equal(view.Members, w.view.Members) {
		return
	}
	w.recordLost(view, now)
	w.view = view
	w.viewNumber++
	w.changedAt = now
}

// lostDaemon is an entry daemon that was known and has not drained.
type lostDaemon struct {
	domain string
	at     time.Time
}

// recordLost remembers the daemons of the present view that are not in the next one.
func (w *Warmer) recordLost(next View, now time.Time) {
	for _, m := range w.view.Members {
		if m.Ready && len(w.lost) < maxLost {
			if w.lost == nil {
				w.lost = map[string]lostDaemon{}
			}
			w.lost[m.VM] = lostDaemon{domain: m.FailureDomain, at: now}
		}
	}
	for _, m := range next.Members {
		delete(w.lost, m.VM)
	}
}

// expireLost forgets the daemons that were lost long ago.
func (w *Warmer) expireLost(now time.Time) (expired bool) {
	for vm, l := range w.lost {
		if now.Sub(l.at) > lossRetention {
			delete(w.lost, vm)
			expired = true
		}
	}
	return expired
}

// holding identifies the cold replicas of a service to which a daemon sends requests.
type holding struct{ vm, service string }

// setHolders chooses the holders of a cold replica, unless they are known for the present view.
func (w *Warmer) setHolders(r *replica) {
	if s := &r.share; s.viewNumber != w.viewNumber || s.holders == nil {
		s.holders, s.reserved = w.holders(r.ID, r.FailureDomain)
		s.viewNumber = w.viewNumber
	}
}

// updateShare sets the share of this daemon in a cold replica. held is the number of cold replicas to which each
// daemon sends requests.
func (w *Warmer) updateShare(r *replica, held map[holding]int, now time.Time) {
	s := &r.share
	i := slices.Index(s.holders, w.VM)
	if i < 0 {
		s.set(0, now)
		return
	}
	total := w.limits[r.Service].PerSecond
	if s.reserved > 0 {
		total = min(w.reserve(total)*s.reserved, maxPartial*total)
	}
	parts, hash := divide(w.weights(r.Service, s.holders, held, now)), ranker.Hash(r.ID)
	due := rates(total, parts, hash)[i]
	if s.rate == 0 && s.since.IsZero() && w.agreesOnHolders(r, now) {
		s.rate = min(due, rates(total, equalParts(len(parts)), hash)[i])
	}
	s.set(due, now)
}

// agreesOnHolders reports whether all daemons know the same holders of a replica that has just started: the view of this one
// has not changed for riseTime. Equal shares may then be used at once, whose sum is not above the limit although the daemons
// may know different demands and replicas. If an earlier incarnation was listed until then, daemons that do not know the
// new one yet send it the usual load.
func (w *Warmer) agreesOnHolders(r *replica, now time.Time) bool {
	return r.unused && !r.startedAt.IsZero() && now.Sub(r.startedAt) < riseTime && now.Sub(w.changedAt) >= riseTime && r.share.reserved == 0
}

func equalParts(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 1 / float64(n)
	}
	return out
}

// reserve returns the requests per second beyond a limit for all daemons together that may not know the others. Half of
// the slack remains for requests that are on their way.
func (w *Warmer) reserve(limit float64) float64 {
	return max(w.Overage-1, 0)*limit + w.Slack/2
}

// holders returns the daemons that may send requests to a cold replica: the first of the ready ones
// of its failure domain in rendezvous order, or of all if it has none.
//
// If half of the daemons that may be holders are not live, they may be on the other side of a partition of the network
// and send requests too. reserved is then the part of the reserve that these holders may use, in proportion to the
// live daemons, so that the parts of any number of sides, of which one may have the whole limit, are not above the reserve.
func (w *Warmer) holders(id, domain string) (list []string, reserved float64) {
	var near, far census
	for _, m := range w.view.Members {
		if m.FailureDomain == domain {
			near.add(m)
		} else {
			far.add(m)
		}
	}
	for _, l := range w.lost {
		if l.domain == domain {
			near.known++
		} else {
			far.known++
		}
	}
	switch {
	case len(near.usable) > 0:
		list, reserved = near.usable, near.reserved()
	case near.reserved() > 0 || near.known > 0 && near.live == 0:
		// All daemons of the failure domain may be cut off, and use the whole limit.
		list, reserved = far.usable, float64(far.live)/float64(max(far.known, 1))
	default:
		list, reserved = far.usable, far.reserved()
	}
	return ranker.Top([]string{}, id, list, maxHolders), reserved
}

// census counts daemons that may be holders.
type census struct {
	usable      []string
	live, known int
}

func (c *census) add(m Member) {
	if !m.Live && !m.Ready {
		// A daemon that was not ready when it sent its last message has drained.
		return
	}
	c.known++
	if !m.Live {
		return
	}
	c.live++
	if m.Ready {
		c.usable = append(c.usable, m.VM)
	}
}

// reserved returns 0 if most of the known daemons are live, and the part of the reserve that these may use otherwise. All
// sides without a majority have less than half of the daemons if another one has it.
func (c *census) reserved() float64 {
	if 2*c.live > c.known {
		return 0
	}
	return 2 * float64(c.live) / float64(max(c.known, 1))
}

// weights returns the weights of holders by their demand. One without a recent report has the
// average weight. A daemon divides its demand among all cold replicas that it sends requests to: with the same
// weight for each, daemons that have many of them could not use their shares.
func (w *Warmer) weights(service string, holders []string, held map[holding]int, now time.Time) []float64 {
	out, sum, known := make([]float64, len(holders)), 0.0, 0
	for i, vm := range holders {
		out[i] = -1
		demand, ok := w.settled[service]
		if vm != w.VM {
			demand, ok = w.Reports.Demand(vm, service, maxReportAge, now)
		}
		if ok {
			out[i] = demand
			sum += demand
			known++
		}
	}
	for i := range out {
		switch {
		case sum <= 0:
			out[i] = 1
		case out[i] < 0:
			out[i] = sum / float64(known)
		}
		out[i] /= float64(max(held[holding{holders[i], service}], 1))
	}
	return out
}

// divide returns parts of 1 that follow the weights, each within minShare and maxShare.
func divide(weights []float64) []float64 {
	n := len(weights)
	low, high := min(minShare, 1/float64(n)), max(maxShare, 1/float64(n))
	out := make([]float64, n)
	fixed := make([]bool, n)
	// Each round fixes a part at a bound: those above it first, then those below it.
	for range 2*n + 1 {
		left, sum, others := 1.0, 0.0, n
		for i := range weights {
			if fixed[i] {
				left -= out[i]
				others--
			} else {
				sum += weights[i]
			}
		}
		worst, excess := -1, 1e-12
		for i := range weights {
			if fixed[i] {
				continue
			}
			out[i] = left / float64(others)
			if sum > 0 {
				out[i] = left * weights[i] / sum
			}
			if e := max(out[i]-high, low-out[i]); e > excess {
				worst, excess = i, e
			}
		}
		if worst < 0 {
			break
		}
		out[worst] = min(max(out[worst], low), high)
		fixed[worst] = true
	}
	return out
}

// rates divides a rate into whole numbers whose sum is not above it, so that all holders together send no
// more than the rate in any second. The hash of the replica decides which of the holders are rounded up,
// so that no daemon gets more of all replicas.
func rates(total float64, parts []float64, hash uint64) []float64 {
	out := make([]float64, len(parts))
	whole := math.Floor(total + roundingError)
	if whole < 1 {
		out[0] = total
		return out
	}
	offset := float64(hash%offsetSteps) / offsetSteps
	passed, given := 0.0, 0.0
	for i, part := range parts {
		passed += part
		upTo := min(math.Floor(whole*passed+offset), whole)
		if i == len(parts)-1 {
			upTo = whole
		}
		out[i] = upTo - given
		given = upTo
	}
	return out
}
