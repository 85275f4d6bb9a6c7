package gossiper

import (
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/lentilbridge/lentilbridge/internal/coordination/cataloger"
)

const (
	// leavingRepeats is the number of messages to each daemon with a replica that leaves,
	// because datagrams may be lost.
	leavingRepeats = 3
	// delegates is the number of daemons that announce a replica in place of one that has too
	// many to announce, each once.
	delegates = 3
	// delegatesReceived is the number of announcements of others after which a daemon does not
	// announce a replica for another one.
	delegatesReceived = 2
	// leavingBytes is about the size of such a replica in a message.
	leavingBytes = 37
	// The following are the bytes a second, and at once, that a daemon spends on replicas
	// that leave, in messages to its failure domain and in digests. Registrations tell the
	// same later.
	nearLeavingRate    = 4 << 10
	nearLeavingBurst   = 2560
	digestLeavingRate  = 3 << 10
	digestLeavingBurst = 1536
	// maxPendingLeaving is the maximum number of replicas that wait to be sent.
	maxPendingLeaving = 1024
	// maxJoinLeaving is the maximum number of replicas in a message to a daemon that joins.
	maxJoinLeaving = 128
	// maxReplicaID is the maximum length of an ID that is accepted from another daemon.
	maxReplicaID = 256
	// takeoverTime is the age up to which daemons that relay no digests keep what they would
	// send. The next relay takes over when the last one has been silent for livenessTimeout.
	takeoverTime = 2 * livenessTimeout
)

// leavingNotice is a replica that leaves. It is marked as relayed if the receivers need not
// tell other failure domains, and as delegated if the receiver announces it.
type leavingNotice struct {
	cataloger.Leaving
	relayed, delegated bool
	// received is how often other daemons have announced it since.
	received int
}

// reportedLeaving holds replicas that leave by ID: their start, the age of the statement in
// milliseconds, and the marks. It is short because all daemons get it.
type reportedLeaving map[string][3]int64

// Marks of replicas on the wire.
const (
	relayedMark   = 1
	delegatedMark = 2
)

func reportLeaving(list []leavingNotice, now time.Time) reportedLeaving {
	if len(list) == 0 {
		return nil
	}
	out := reportedLeaving{}
	for _, l := range list {
		var marks int64
		if l.relayed {
			marks |= relayedMark
		}
		if l.delegated {
			marks |= delegatedMark
		}
		out[l.Replica] = [3]int64{l.StartedAtMs, ageMs(l.SaidAt, now), marks}
	}
	return out
}

// leavingOutbox holds the replicas that leave and wait to be sent to one group of daemons.
type leavingOutbox struct {
	notices []notice[leavingNotice]
	limiter *rate.Limiter
}

// add adds a replica in place of what waits to be sent about it.
func (o *leavingOutbox) add(l leavingNotice) {
	o.notices = slices.DeleteFunc(o.notices, func(n notice[leavingNotice]) bool { return n.value.Replica == l.Replica })
	if len(o.notices) >= maxPendingLeaving {
		o.notices = o.notices[1:]
	}
	o.notices = append(o.notices, notice[leavingNotice]{value: l, remaining: leavingRepeats})
}

// isOwn reports whether this daemon announces the replica of its own accord and has not begun
// to.
func isOwn(n notice[leavingNotice]) bool { return n.remaining == leavingRepeats && !n.value.delegated }

// isDone reports whether a replica has been announced for another daemon.
func isDone(n notice[leavingNotice]) bool { return n.remaining < leavingRepeats && n.value.delegated }

// recordReceived records that another daemon announces a replica. This one need not, unless it
// has begun to; for others it announces until it has received that twice, because datagrams may
// be lost.
func (o *leavingOutbox) recordReceived(l cataloger.Leaving) {
	for i := range o.notices {
		if n := &o.notices[i]; n.value.Replica == l.Replica && n.value.StartedAtMs <= l.StartedAtMs {
			n.value.received++
		}
	}
	o.notices = slices.DeleteFunc(o.notices, func(n notice[leavingNotice]) bool {
		return isOwn(n) && n.value.received > 0 || n.value.delegated && n.value.received >= delegatesReceived
	})
}

// take returns the replicas for the next message to a number of daemons. The limit of bytes
// a second bounds how many there are.
func (o *leavingOutbox) take(receivers int, limit rate.Limit, burst int, now time.Time) []leavingNotice {
	if len(o.notices) == 0 {
		return nil
	}
	cost, tokens := leavingBytes*receivers, o.tokens(limit, burst, now)
	n := tokens / cost
	if n == 0 && tokens >= burst {
		n = 1
	}
	var taken []leavingNotice
	taken, o.notices = takeNotices(o.notices, atMost[leavingNotice](n), now)
	o.notices = slices.DeleteFunc(o.notices, isDone)
	for i := range taken {
		taken[i].delegated = false
	}
	o.limiter.AllowN(now, min(len(taken)*cost, burst))
	return taken
}

// delegate removes and returns the replicas that other daemons have to announce, if there
// are too many for the next message.
func (o *leavingOutbox) delegate(receivers int, limit rate.Limit, burst int, now time.Time) []leavingNotice {
	var own []leavingNotice
	for _, n := range o.notices {
		if isOwn(n) {
			own = append(own, n.value)
		}
	}
	tokens := o.tokens(limit, burst, now)
	if receivers <= delegates || len(own) <= tokens/(leavingBytes*receivers) {
		return nil
	}
	own = own[:min(len(own), tokens/(leavingBytes*delegates))]
	for i, l := range own {
		o.notices = slices.DeleteFunc(o.notices, func(n notice[leavingNotice]) bool { return n.value.Replica == l.Replica })
		own[i].delegated = true
	}
	o.limiter.AllowN(now, len(own)*leavingBytes*delegates)
	return own
}

func (o *leavingOutbox) tokens(limit rate.Limit, burst int, now time.Time) int {
	if o.limiter == nil {
		o.limiter = rate.NewLimiter(limit, burst)
	}
	return int(o.limiter.TokensAt(now))
}

// AnnounceLeaving announces with the next messages that a replica leaves.
func (g *Gossiper) AnnounceLeaving(l cataloger.Leaving) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving.add(leavingNotice{Leaving: l})
	g.relay.leaving.add(leavingNotice{Leaving: l})
}

// takeLeaving returns the replicas for the next message to the daemons of the failure domain,
// and by address those that single ones have to announce.
func (g *Gossiper) takeLeaving(near []Member, now time.Time) (reportedLeaving, map[string]reportedLeaving) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.leaving.notices) == 0 {
		return nil, nil
	}
	live := g.Members.Live(Entry, now)
	candidates := slices.DeleteFunc(slices.Clone(near), func(m Member) bool { return !hasAddress(live, m.Address) })
	byAddress := map[string][]leavingNotice{}
	for _, l := range g.leaving.delegate(len(candidates), nearLeavingRate, nearLeavingBurst, now) {
		for _, m := range sample(candidates, delegates) {
			byAddress[m.Address] = append(byAddress[m.Address], l)
		}
	}
	delegated := map[string]reportedLeaving{}
	for address, list := range byAddress {
		delegated[address] = reportLeaving(list, now)
	}
	return reportLeaving(g.leaving.take(len(near), nearLeavingRate, nearLeavingBurst, now), now), delegated
}

// sendDelegated sends a message with replicas to announce to those daemons that have to, and
// returns the others.
func (g *Gossiper) sendDelegated(m message, near []Member, delegated map[string]reportedLeaving) []Member {
	var others []Member
	for _, member := range near {
		list := delegated[member.Address]
		if len(list) == 0 {
			others = append(others, member)
			continue
		}
		single := m
		single.Leaving = maps.Clone(list)
		maps.Copy(single.Leaving, m.Leaving)
		g.sendMessage(single, []Member{member})
	}
	return others
}

// takeDigestLeaving returns the replicas for the next digest.
func (g *Gossiper) takeDigestLeaving(receivers int, now time.Time) reportedLeaving {
	g.mu.Lock()
	defer g.mu.Unlock()
	if receivers == 0 {
		g.relay.leaving.notices = slices.DeleteFunc(g.relay.leaving.notices, func(n notice[leavingNotice]) bool {
			return now.Sub(n.value.SaidAt) > takeoverTime
		})
		return nil
	}
	return reportLeaving(g.relay.leaving.take(receivers, digestLeavingRate, digestLeavingBurst, now), now)
}

// knownLeaving returns replicas for a daemon that joins.
func (g *Gossiper) knownLeaving(now time.Time) reportedLeaving {
	if g.Leaving == nil {
		return nil
	}
	known := g.Leaving()
	slices.SortFunc(known, func(a, b cataloger.Leaving) int { return b.SaidAt.Compare(a.SaidAt) })
	var list []leavingNotice
	for _, l := range known[:min(len(known), maxJoinLeaving)] {
		list = append(list, leavingNotice{Leaving: l, relayed: true})
	}
	return reportLeaving(list, now)
}

// receiveLeaving passes replicas that leave to the callback. This daemon tells the other
// failure domains of those in messages of its own, and its own of those in a digest that was
// sent to it. Each receiver does, because the one that forwards the digest may have failed.
func (g *Gossiper) receiveLeaving(list reportedLeaving, near, receiver bool, now time.Time) {
	for id, r := range list {
		saidAt, ok := fromAge(r[1], now)
		if !ok || r[0] <= 0 || id == "" || len(id) > maxReplicaID || g.OnLeaving == nil {
			continue
		}
		l := leavingNotice{
			Leaving: cataloger.Leaving{Replica: id, StartedAtMs: r[0], SaidAt: saidAt},
			relayed: r[2]&relayedMark != 0, delegated: r[2]&delegatedMark != 0,
		}
		isNew := g.OnLeaving(l.Leaving, now)
		g.mu.Lock()
		switch {
		case near && isNew:
			g.announceReceived(l)
		case near && !l.delegated:
			g.leaving.recordReceived(l.Leaving)
		case receiver && isNew:
			g.leaving.add(leavingNotice{Leaving: l.Leaving, relayed: true})
		}
		g.mu.Unlock()
	}
}

// announceReceived announces a replica of the failure domain to the others, and one that is
// delegated to the failure domain.
func (g *Gossiper) announceReceived(l leavingNotice) {
	if !l.relayed {
		g.relay.leaving.add(leavingNotice{Leaving: l.Leaving})
	}
	if l.delegated {
		g.leaving.add(l)
	}
}
