package gossiper

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/internal/shared/recoverer"
	"github.com/lentilbridge/lentilbridge/internal/shared/timekeeper"
)

// Receive handles messages until the connection is closed or ctx is canceled.
func (g *Gossiper) Receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for {
		asked := g.present()
		n, from, err := g.Conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			// A datagram sent earlier to a port without a listener causes an error here.
			continue
		}
		g.recordArrival(asked)
		g.handle(buf[:n], from, time.Now())
	}
}

// minReadTime is the time after which a read has waited for its datagram.
const minReadTime = time.Millisecond

// present returns the present moment if it is needed.
func (g *Gossiper) present() timekeeper.Moment {
	if g.OnEntryMessage == nil {
		return timekeeper.Moment{}
	}
	return timekeeper.Now()
}

// recordArrival records the moment at which the read of a datagram began. A read that did not wait may return
// one that arrived before: many queue up while the process is paused.
func (g *Gossiper) recordArrival(asked timekeeper.Moment) {
	if g.OnEntryMessage != nil && timekeeper.Now().Since(asked) >= minReadTime {
		g.arrivedAfter = asked
	}
}

// reportEntryMessage passes the sender of a message on that is not a forwarded one, which may have been held up.
func (g *Gossiper) reportEntryMessage(m message) {
	if g.OnEntryMessage != nil && m.From.Role == Entry && (m.Digest == nil || len(m.Digest.Receivers) > 0) {
		g.OnEntryMessage(m.From, g.arrivedAfter)
	}
}

// handle decodes and receives one datagram.
func (g *Gossiper) handle(datagram []byte, from net.Addr, now time.Time) {
	defer recoverer.Contain(g.Log, "datagram")
	var m message
	if err := decode(datagram, &m); err != nil {
		g.Log.Debug("message not decoded", zap.Stringer("from", from), zap.Error(err))
		return
	}
	if !m.isPlausible() {
		g.Log.Debug("message with too long names", zap.Stringer("from", from))
		return
	}
	g.receive(m, now)
}

// senderError reports a message without the address of its sender.
type senderError struct{}

func (e *senderError) Error() string { return "the message has no sender" }

func decode(datagram []byte, m *message) error {
	if err := json.Unmarshal(datagram, m); err != nil {
		return err
	}
	if m.From.Address == "" {
		return &senderError{}
	}
	return nil
}

// receive records the sender and the members in the message, passes the other contents
// to the callbacks, and answers a member request.
func (g *Gossiper) receive(m message, now time.Time) {
	g.recordReception(m.From, now)
	joined := g.Members.RecordMessage(m.From, m.Revisions, now)
	if joined {
		g.Log.Info("daemon joined or returned", zap.String("vm", m.From.VM), zap.String("role", string(m.From.Role)),
			zap.String("address", m.From.Address), zap.Bool("ready", m.From.Ready))
	}
	if joined && m.From.Role == Entry && m.From.FailureDomain == g.Self().FailureDomain {
		g.sendKnown(m.From, now)
	}
	g.reportEntryMessage(m)
	g.Members.AddReported(m.Members, now)
	g.receiveAnnouncements(m, now)
	if m.Digest != nil {
		g.receiveDigest(m, now)
		return
	}
	if m.StatePage != nil {
		g.receiveState(m, now)
		return
	}
	// The load of other failure domains arrives in digests.
	if m.Load != nil && g.OnLoad != nil && m.From.FailureDomain == g.Self().FailureDomain {
		g.OnLoad(m.From, false, plausibleLoads(m.Load), now)
	}
	if m.Demand != nil && g.OnDemand != nil && m.From.FailureDomain == g.Self().FailureDomain {
		g.OnDemand(m.From, false, plausibleDemands(m.Demand), now)
	}
	if m.Demand != nil {
		g.receiveMissing(m, now)
	}
	if m.Replica != nil {
		g.receiveReplica(m.From, *m.Replica, now)
	}
	for _, f := range m.Refusals {
		if g.OnRefusal != nil {
			g.OnRefusal(f, now)
		}
	}
	g.receiveReports(m.reports, true, now)
	g.receiveLeaving(m.Leaving, m.From.FailureDomain == g.Self().FailureDomain, false, now)
	if m.RequestMembers {
		g.sendMembers(m.From, now)
	}
	if m.RequestState && g.Self().Role == Entry {
		g.sendState(m.From, now)
	}
}

// recordReception makes an entry daemon ask for what it has missed if a message comes after a
// time without any, or from a daemon of the failure domain that was silent.
func (g *Gossiper) recordReception(from Member, now time.Time) {
	self := g.Self()
	if self.Role != Entry || from.Role != Entry {
		return
	}
	switch {
	case g.resync.recordReception(now):
		g.Resync("no messages for a time", now)
	case from.FailureDomain == self.FailureDomain && g.Members.isReturning(from, now):
		g.Resync("a daemon of the failure domain was silent", now)
	}
}

const (
	// maxRequests and maxPrefillMs bound the load of one replica, so that the sum of the loads
	// of all daemons does not overflow. Both are far above what a replica can hold.
	maxRequests  = 1 << 20
	maxPrefillMs = int(time.Hour / time.Millisecond)
)

// plausibleLoads removes the loads that are out of range.
func plausibleLoads(loads map[string]placer.Load) map[string]placer.Load {
	maps.DeleteFunc(loads, func(_ string, l placer.Load) bool {
		return l.Requests < 0 || l.Requests > maxRequests || l.PrefillMs < 0 || l.PrefillMs > maxPrefillMs
	})
	return loads
}

// maxDemand bounds the demand at one daemon, in requests per second.
const maxDemand = 1e6

// plausibleDemands removes the demands that are out of range.
func plausibleDemands(demands map[string]float64) map[string]float64 {
	maps.DeleteFunc(demands, func(_ string, perSecond float64) bool { return !(perSecond >= 0 && perSecond <= maxDemand) })
	return demands
}

// receiveReplica records the state of a replica. A state of this failure domain goes
// into its digests.
func (g *Gossiper) receiveReplica(from Member, s ReplicaState, now time.Time) {
	if from.FailureDomain == g.Self().FailureDomain {
		g.mu.Lock()
		changed := g.relay.recordReplica(s, cmp.Or(g.MaxReplicas, DefaultMaxReplicas), now)
		g.mu.Unlock()
		if changed {
			g.sendDigestsSoon()
		}
	}
	if g.OnReplica != nil {
		g.OnReplica(s, now)
	}
}

// sendMembers answers a member request with this daemon and the live entry daemons of
// the requester's failure domain, and some of the others.
func (g *Gossiper) sendMembers(to Member, now time.Time) {
	self := g.Self()
	if self.Role != Entry {
		return
	}
	var near, far []Member
	for _, m := range g.Members.Live(Entry, now) {
		if m.FailureDomain == to.FailureDomain {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	list := slices.Concat(near, sample(far, maxMembersPerMessage))
	m := g.compose(self, now)
	m.addBlocks(g.blocks(now), now)
	for {
		n := min(len(list), maxMembersPerMessage)
		m.Members, list = list[:n], list[n:]
		g.sendMessage(m, []Member{to})
		if len(list) == 0 {
			return
		}
		// Further messages only carry members.
		m = message{From: self}
	}
}
